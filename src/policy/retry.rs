//! When a request is tried again, and which endpoints are left out.

use crate::prelude::*;

/// Why an attempt is followed by another.
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
    /// The agent was asked and had never seen the attempt.
    NotSeen,
}

impl RetryReason {
    /// Every reason, for counters that exist from the start.
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

/// Returns why a refusal before dispatch is worth another attempt.
pub fn reason_of_refusal(kind: ErrorKind) -> RetryReason {
    match kind {
        ErrorKind::EndpointLeaving | ErrorKind::Draining | ErrorKind::NoEndpoint => {
            RetryReason::Leaving
        }
        ErrorKind::StaleSession => RetryReason::StaleSession,
        _ => RetryReason::Busy,
    }
}

/// Retries allowed as a part of the answers, so that a failing service is not buried under them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    permille: u64,
    tokens_milli: u64,
}

/// Retries that a budget may save up.
const TOKENS_MAX: u64 = 50;

impl RetryBudget {
    /// Makes a budget with a few retries saved up, for the first failures after a start.
    pub fn new(permille: u32) -> RetryBudget {
        RetryBudget {
            permille: permille.into(),
            tokens_milli: 10_000.min(u64::from(permille) * TOKENS_MAX),
        }
    }

    /// Counts an answer.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + self.permille).min(TOKENS_MAX * 1_000);
    }

    /// Takes one retry, or returns whether the budget is spent.
    ///
    /// ```
    /// use aspenrail::policy::retry::RetryBudget;
    ///
    /// // Half a retry for each answer, and nothing saved up beyond the first few.
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

/// Failures in a row after which an endpoint is left out.
const FAILURES_MAX: u32 = 5;

/// Shortest and longest time that an endpoint is left out.
const EJECTION_MIN_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;

/// Whether an endpoint takes part in routing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Open,
    /// Left out until then.
    Ejected { until_ms: u64 },
    /// One probe is under way.
    HalfOpen,
}

/// Failures of one endpoint as one entry sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    health: Health,
    failures_in_row: u32,
    ejections_in_row: u32,
}

impl Ejection {
    /// Returns whether a request may be sent there now.
    pub fn admits(&self, now_ms: u64) -> bool {
        match self.health {
            Health::Open => true,
            Health::Ejected { until_ms } => until_ms <= now_ms,
            Health::HalfOpen => false,
        }
    }

    /// Returns whether the endpoint is left out or under probe.
    pub fn is_ejected_or_probing(&self) -> bool {
        self.health != Health::Open
    }

    /// Notes that a request is sent there: after an ejection it is the one probe.
    pub fn note_sent(&mut self) {
        if self.is_ejected_or_probing() {
            self.health = Health::HalfOpen;
        }
    }

    /// Notes an answer that was not an error, or a refusal that says the endpoint lives.
    pub fn note_success(&mut self) {
        *self = Ejection::default();
    }

    /// Notes a probe that was refused before it ran, which says nothing either way.
    pub fn note_probe_refused(&mut self, now_ms: u64) {
        if self.health == Health::HalfOpen {
            self.health = Health::Ejected { until_ms: now_ms + EJECTION_MIN_MS };
        }
    }

    /// Notes a failure; `others_out_permille` bounds ejections so that they never empty the set.
    pub fn note_failure(&mut self, now_ms: u64, others_out_permille: u32) {
        self.failures_in_row += 1;
        let probe_failed = self.health == Health::HalfOpen;
        let too_many = FAILURES_MAX <= self.failures_in_row && others_out_permille < 500;
        if probe_failed || too_many {
            let doubled = EJECTION_MIN_MS << self.ejections_in_row.min(5);
            self.ejections_in_row += 1;
            self.health = Health::Ejected { until_ms: now_ms + doubled.min(EJECTION_MAX_MS) };
        }
    }
}
