//! Retries of requests, and ejection of failing endpoints.

use crate::prelude::*;

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The endpoint's agent refused before it dispatched.
    Busy,
    Leaving,
    StaleSession,
    /// No answer within the attempt's share of the deadline; idempotent requests only.
    NoAnswer,
    /// The endpoint failed; idempotent requests only.
    Failed,
    /// The endpoint's agent answered that it has not received the attempt.
    NotSeen,
}

impl RetryReason {
    /// All reasons, so that a counter can be created for each at start-up.
    pub const ALL: [RetryReason; 6] = [
        RetryReason::Busy,
        RetryReason::Leaving,
        RetryReason::StaleSession,
        RetryReason::NoAnswer,
        RetryReason::Failed,
        RetryReason::NotSeen,
    ];

    /// Returns the label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::Busy => "busy",
            RetryReason::Leaving => "leaving",
            RetryReason::StaleSession => "stale_session",
            RetryReason::NoAnswer => "no_answer",
            RetryReason::Failed => "failed",
            RetryReason::NotSeen => "not_seen",
        }
    }
}

/// Returns the reason for a retry after a refusal before dispatch.
pub fn reason_of_refusal(kind: ErrorKind) -> RetryReason {
    match kind {
        ErrorKind::EndpointLeaving | ErrorKind::Draining | ErrorKind::NoEndpoint => {
            RetryReason::Leaving
        }
        ErrorKind::StaleSession => RetryReason::StaleSession,
        _ => RetryReason::Busy,
    }
}

/// Limits retries to a share of the answers, so that retries do not overload a failing service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    permille: u64,
    tokens_milli: u64,
}

/// Most retries that a budget can accumulate.
const TOKENS_MAX: u64 = 50;

impl RetryBudget {
    /// Creates a budget with a few retries available, for the first failures after a start.
    pub fn new(permille: u32) -> RetryBudget {
        RetryBudget {
            permille: permille.into(),
            tokens_milli: 10_000.min(u64::from(permille) * TOKENS_MAX),
        }
    }

    /// Adds the share of a retry that one answer earns.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + self.permille).min(TOKENS_MAX * 1_000);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    ///
    /// ```
    /// use aspenrail::policy::retry::RetryBudget;
    ///
    /// // Half a retry per answer; the initial retries are used up first.
    /// let mut budget = RetryBudget::new(500);
    /// while budget.try_spend() {}
    /// budget.earn();
    /// assert!(!budget.try_spend());
    /// budget.earn();
    /// assert!(budget.try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        let granted = 1_000 <= self.tokens_milli;
        if granted {
            self.tokens_milli -= 1_000;
        }
        granted
    }
}

/// Failures in a row after which an endpoint is ejected.
const FAILURES_MAX: u32 = 5;

/// Shortest and longest time for which an endpoint is ejected.
const EJECTION_MIN_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;

/// The routing state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Open,
    /// Gets no requests until `until_ms`; the next request is a probe.
    Ejected { until_ms: u64 },
    /// One probe is in flight.
    HalfOpen,
}

/// Ejection of one endpoint, by the failures that one entry observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    health: Health,
    failures_in_row: u32,
    ejections_in_row: u32,
}

impl Ejection {
    /// Returns whether a request may be sent to the endpoint now.
    pub fn admits(&self, now_ms: u64) -> bool {
        match self.health {
            Health::Open => true,
            Health::Ejected { until_ms } => until_ms <= now_ms,
            Health::HalfOpen => false,
        }
    }

    pub fn is_ejected_or_probing(&self) -> bool {
        self.health != Health::Open
    }

    /// Records a request to the endpoint; after an ejection it is the probe.
    pub fn note_sent(&mut self) {
        if self.is_ejected_or_probing() {
            self.health = Health::HalfOpen;
        }
    }

    /// Records an answer without an error, or a refusal that shows that the endpoint is up.
    pub fn note_success(&mut self) {
        *self = Ejection::default();
    }

    /// Records a probe that was refused before it ran, which is neither a success nor a failure.
    pub fn note_probe_refused(&mut self, now_ms: u64) {
        if self.health == Health::HalfOpen {
            self.health = Health::Ejected { until_ms: now_ms + EJECTION_MIN_MS };
        }
    }

    /// Records a failure. An open endpoint is not ejected if at least half of the other endpoints
    /// are (`others_ejected_permille`), so that some endpoints always remain.
    pub fn note_failure(&mut self, now_ms: u64, others_ejected_permille: u32) {
        self.failures_in_row += 1;
        let is_failed_probe = self.health == Health::HalfOpen;
        let exceeds_limit = FAILURES_MAX <= self.failures_in_row && others_ejected_permille < 500;
        if is_failed_probe || exceeds_limit {
            let ejection_ms = EJECTION_MIN_MS << self.ejections_in_row.min(5);
            self.ejections_in_row += 1;
            self.health = Health::Ejected { until_ms: now_ms + ejection_ms.min(EJECTION_MAX_MS) };
        }
    }
}
