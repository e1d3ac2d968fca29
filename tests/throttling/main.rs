//! Best-effort tasks (fillers) beside serving tasks on one worker, with readings as a real worker
//! gives them: late, noisy and in whole milliseconds.
#![allow(clippy::unwrap_used)]

mod feedback;
mod noise;
mod worker;
