//! Types that nearly every module uses.

pub use compact_str::{CompactString, ToCompactString, format_compact};

pub use crate::error::{Error, ErrorKind, Refusal, Result, refusal, refusal_with_retry_after};
pub use crate::schema::messages::*;
pub use crate::util::{Now, StepRef};
