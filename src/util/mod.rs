//! Small helpers without a concept of their own.

mod clock;
mod digest;
mod id;
mod lifetime;
mod step;

pub use self::clock::{Clock, Now, set_clock_ahead};
pub use self::digest::{checksum, digest_of};
pub use self::id::{Place, index_of};
pub use self::lifetime::{id_of_lifetime, lifetime_name};
pub use self::step::StepRef;
