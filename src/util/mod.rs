//! Small helpers without a concept of their own.

mod clock;
mod digest;
mod id;

pub use self::clock::{Clock, Now};
pub use self::digest::{checksum, digest_of};
pub use self::id::{Place, index_of};
