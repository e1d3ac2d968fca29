//! The decisions, as functions over plain data.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: the callers pass
//! in time and randomness, so that a decision can be tested, benchmarked and compared with its
//! naive twin.

pub mod admission;
pub mod estimate;
pub mod feedback;
pub mod harm;
pub mod interference;
pub mod mobility;
pub mod order;
pub mod pacing;
pub mod placement;
pub mod preemption;
pub mod retry;
pub mod routing;
pub mod soundness;
pub mod suspicion;
pub mod urgency;
