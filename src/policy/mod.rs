//! Scheduling decisions, as functions over plain data.
//!
//! This module does no I/O, reads no clock and has no random generator of its own. The callers
//! pass in time and randomness, so that a decision can be tested, benchmarked and compared with a
//! naive reference implementation.

pub mod admission;
pub mod compaction;
pub mod completion;
pub mod contention;
pub mod crash_evidence;
pub mod disruption;
pub mod feedback;
pub mod forecast;
pub mod interference;
pub mod migration;
pub mod overload;
pub mod placement;
pub mod preemption;
pub mod reservation;
pub mod retry;
pub mod routing;
pub mod run_times;
pub mod shares;
pub mod start_breaker;
pub mod task_queue;
pub mod throttling;
pub mod urgency;
pub mod verdict;
pub mod worker_health;
pub mod worker_speed;
