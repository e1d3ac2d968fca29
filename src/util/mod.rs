//! Small helpers without a concept of their own.

mod clock;
mod digest;
mod id;
mod step;

pub use self::clock::{Clock, Now};
pub use self::digest::{checksum, digest_of};
pub use self::id::{Place, index_of};
pub use self::step::StepRef;
