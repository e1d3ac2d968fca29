//! The decisions, as functions over plain data.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: the callers pass
//! in time and randomness, so that a decision can be tested, benchmarked and compared with its
//! naive twin.

pub mod admission;
pub mod contention;
pub mod crash_evidence;
pub mod feedback;
pub mod interference;
pub mod migration;
pub mod placement;
pub mod preemption;
pub mod retry;
pub mod routing;
pub mod run_times;
pub mod task_queue;
pub mod throttling;
pub mod urgency;
pub mod worker_health;
