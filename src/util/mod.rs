//! Clocks, digests, identifiers and bounds on memory that all parts use.

mod bounded_list;
mod byte_budget;
mod clock;
mod digest;
mod group_id;
mod incarnation;
mod step;

pub use self::bounded_list::bounded_list;
pub use self::byte_budget::{ByteBudget, ReservedBytes, holder_max_bytes};
pub use self::clock::{Clock, Now, set_clock_ahead};
pub use self::digest::{checksum, digest_of};
pub use self::group_id::{GroupId, index_of};
pub use self::incarnation::{id_of_incarnation, incarnation_name};
pub use self::step::StepRef;
