//! Decisions that an installation turns on by its settings.

/// The optional decisions of the scheduler; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Reserves capacity for large tasks, and moves running tasks to make room for them.
    pub reservations: bool,
    /// Divides scarce capacity equally between callers.
    pub fair_shares: bool,
    /// Learns the speed of each worker, and uses slow workers last.
    pub worker_speeds: bool,
    /// Rejects submissions that would end too late to be of use.
    pub admission: bool,
    /// Works on requests in turns by class, and turns away what would wait for too long.
    pub overload_control: bool,
}

impl Features {
    /// Returns whether a decision needs learned run times.
    pub fn needs_run_times(self) -> bool {
        self.reservations || self.worker_speeds || self.admission
    }
}
