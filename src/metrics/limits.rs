//! The limits on what clients can make a process hold.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Shortest time between two log lines about the same limit, so that a crowd cannot fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A limit on a total, named after its setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    RequestsBytes,
    AnswersBytes,
    Connections,
    LinkQueueBytes,
    Greetings,
}

impl Limit {
    /// All limits, for counters that exist from the start.
    pub const ALL: [Limit; 5] = [
        Limit::RequestsBytes,
        Limit::AnswersBytes,
        Limit::Connections,
        Limit::LinkQueueBytes,
        Limit::Greetings,
    ];

    /// Returns the section and the key of the setting.
    pub fn as_str(self) -> &'static str {
        match self {
            Limit::RequestsBytes => "process.requests_max_bytes",
            Limit::AnswersBytes => "process.answers_max_bytes",
            Limit::Connections => "process.connections_max",
            Limit::LinkQueueBytes => "link.queue_max_bytes",
            Limit::Greetings => "link.greetings_max",
        }
    }
}

/// When each limit was logged last.
#[derive(Debug, Default)]
pub(super) struct LimitLogs {
    last: Mutex<[Option<Instant>; Limit::ALL.len()]>,
}

impl LimitLogs {
    /// Returns whether a line about a limit is due, and notes that it is written.
    pub(super) fn is_due(&self, limit: Limit) -> bool {
        // The times are valid at every unlock, also after a panic.
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let last = &mut last[limit as usize];
        let is_due = last.is_none_or(|it| LOG_INTERVAL <= it.elapsed());
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }
}
