//! Counters and histograms, one set per process.
//!
//! Label values come from closed lists, so every counter exists at zero from the start. Alerts on
//! it can thus be written before its first increment.

mod limits;

use std::sync::Arc;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::{
    error::ERROR_ANSWERS, gateway::RejectionCause, node::AnnouncementRejection,
    policy::retry::RetryReason, prelude::*,
};

pub use self::limits::Limit;
use self::limits::LimitLogs;

/// Why an entry dropped an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDropReason {
    /// Its request has already been answered or given up.
    Late,
    /// The answer belongs to no request of this process.
    UnknownRequest,
    /// The checksum does not match the body.
    ChecksumMismatch,
}

impl AnswerDropReason {
    const ALL: [AnswerDropReason; 3] = [
        AnswerDropReason::Late,
        AnswerDropReason::UnknownRequest,
        AnswerDropReason::ChecksumMismatch,
    ];

    fn as_str(self) -> &'static str {
        match self {
            AnswerDropReason::Late => "late",
            AnswerDropReason::UnknownRequest => "foreign",
            AnswerDropReason::ChecksumMismatch => "damaged",
        }
    }
}

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    dropped_answers: IntCounterVec,
    answer_seconds: HistogramVec,
    gateway_refusals: IntCounterVec,
    announcements_passed_over: IntCounterVec,
    gateway_answers: HistogramVec,
    link_dropped: IntCounterVec,
    limits_reached: IntCounterVec,
    limit_logs: Arc<LimitLogs>,
    pub requests: IntCounter,
    pub ejections: IntCounter,
    pub orders_ignored: IntCounter,
    pub tasks_started: IntCounter,
    pub leases_lost: IntCounter,
    pub in_force_revision: IntGauge,
    pub link_bytes_sent: IntCounter,
    pub link_bytes_received: IntCounter,
    pub link_frames_sent: IntCounter,
    link_silent: IntCounter,
    pub disk_syncs: IntCounter,
    pub disk_writes: IntCounter,
    pub state: IntGaugeVec,
}

/// Upper bounds of the answer time buckets.
const ANSWER_BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0,
];

/// Reasons for dropping a message between processes.
pub const LINK_DROP_REASONS: [&str; 4] =
    ["queue_full", "queue_bytes", "no_connection", "too_large"];

/// Ends of a request in a gateway: answered, rejected or outcome unknown.
pub const GATEWAY_ENDS: [&str; 3] = ["told", "not_taken", "unknown"];

/// Values of the `table` label of `aspenrail_state`.
pub const STATE_GAUGES: [&str; 14] = [
    "vms",
    "jobs",
    "tasks",
    "waiting",
    "claims",
    "watches",
    "workflows",
    "workers",
    "evacuations",
    "suspects",
    "log_entries",
    "log_bytes",
    "calls_without_memory",
    "workflow_bytes",
];

impl Metrics {
    /// Creates the metrics of a process, all at zero.
    pub fn new() -> Arc<Metrics> {
        Arc::new(Metrics::build().expect("names and labels are constant and valid"))
    }

    fn build() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let res = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(res.clone()))?;
            Ok(res)
        };
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let res = IntCounter::new(name, help)?;
            registry.register(Box::new(res.clone()))?;
            Ok(res)
        };
        let refusals = counters("aspenrail_refusals_total", "Requests refused, by kind.", "kind")?;
        let retries =
            counters("aspenrail_retries_total", "Attempts repeated, by reason.", "reason")?;
        let dropped_answers = counters(
            "aspenrail_answers_dropped_total",
            "Answers not passed on, by reason.",
            "reason",
        )?;
        let link_dropped =
            counters("aspenrail_link_dropped_total", "Messages not sent, by reason.", "reason")?;
        let limits_reached = counters(
            "aspenrail_limits_reached_total",
            "Times that a limit on a total refused something, by setting.",
            "limit",
        )?;
        Limit::ALL.iter().for_each(|it| drop(limits_reached.with_label_values(&[it.as_str()])));
        ERROR_ANSWERS
            .iter()
            .for_each(|it| drop(refusals.with_label_values(&[&it.kind.to_string()])));
        RetryReason::ALL.iter().for_each(|it| drop(retries.with_label_values(&[it.as_str()])));
        AnswerDropReason::ALL
            .iter()
            .for_each(|it| drop(dropped_answers.with_label_values(&[it.as_str()])));
        LINK_DROP_REASONS.iter().for_each(|it| drop(link_dropped.with_label_values(&[it])));
        let options = HistogramOpts::new(
            "aspenrail_answer_seconds",
            "Answer times of quick requests, by class.",
        );
        let answer_seconds =
            HistogramVec::new(options.buckets(ANSWER_BUCKETS_S.to_vec()), &["class"])?;
        registry.register(Box::new(answer_seconds.clone()))?;
        let gateway_refusals = counters(
            "aspenrail_gateway_refusals_total",
            "Requests about workflows that were not taken, by cause.",
            "cause",
        )?;
        RejectionCause::ALL
            .iter()
            .for_each(|it| drop(gateway_refusals.with_label_values(&[it.as_str()])));
        let announcements_passed_over = counters(
            "aspenrail_announcements_passed_over_total",
            "Announcements of workers that named none for use, by cause.",
            "cause",
        )?;
        AnnouncementRejection::ALL
            .iter()
            .for_each(|it| drop(announcements_passed_over.with_label_values(&[it.as_str()])));
        let options = HistogramOpts::new(
            "aspenrail_gateway_answer_seconds",
            "Time of a request about workflows in the gateway, by its end.",
        );
        let gateway_answers =
            HistogramVec::new(options.buckets(ANSWER_BUCKETS_S.to_vec()), &["end"])?;
        registry.register(Box::new(gateway_answers.clone()))?;
        GATEWAY_ENDS.iter().for_each(|it| drop(gateway_answers.with_label_values(&[it])));
        let in_force_revision =
            IntGauge::new("aspenrail_in_force_revision", "Configuration revision in force here.")?;
        registry.register(Box::new(in_force_revision.clone()))?;
        let state = IntGaugeVec::new(
            Opts::new("aspenrail_state", "What control keeps, by table."),
            &["table"],
        )?;
        registry.register(Box::new(state.clone()))?;
        STATE_GAUGES.iter().for_each(|it| drop(state.with_label_values(&[it])));
        Ok(Metrics {
            refusals,
            retries,
            dropped_answers,
            answer_seconds,
            gateway_refusals,
            announcements_passed_over,
            gateway_answers,
            link_dropped,
            limits_reached,
            limit_logs: Arc::default(),
            requests: counter("aspenrail_requests_total", "Requests taken in at the edges.")?,
            ejections: counter(
                "aspenrail_ejections_total",
                "Endpoints left out of routing for failing.",
            )?,
            orders_ignored: counter(
                "aspenrail_orders_ignored_total",
                "Orders from control that were out of date.",
            )?,
            tasks_started: counter(
                "aspenrail_tasks_started_total",
                "Tasks started on the worker.",
            )?,
            leases_lost: counter(
                "aspenrail_leases_lost_total",
                "Times that tasks were stopped for want of a lease.",
            )?,
            in_force_revision,
            link_bytes_sent: counter(
                "aspenrail_link_sent_bytes_total",
                "Bytes of messages sent to processes.",
            )?,
            link_bytes_received: counter(
                "aspenrail_link_received_bytes_total",
                "Bytes of messages received.",
            )?,
            link_silent: counter(
                "aspenrail_link_silent_total",
                "Connections given up since they carried nothing any more.",
            )?,
            link_frames_sent: counter(
                "aspenrail_link_sent_messages_total",
                "Messages sent to processes.",
            )?,
            disk_syncs: counter("aspenrail_disk_syncs_total", "Syncs of the log.")?,
            disk_writes: counter(
                "aspenrail_disk_writes_total",
                "Turns of the core whose writes were synced.",
            )?,
            state,
            registry,
        })
    }

    /// Sets gauges of the state; each table name is one of [`STATE_GAUGES`].
    pub fn set_state(&self, row_counts: &[(&'static str, usize)]) {
        for (table, row_count) in row_counts {
            self.state.with_label_values(&[table]).set(*row_count as i64);
        }
    }

    pub fn count_refusal(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[&kind.to_string()]).inc();
    }

    pub fn refusal_count(&self, kind: ErrorKind) -> u64 {
        self.refusals.with_label_values(&[&kind.to_string()]).get()
    }

    /// Counts an attempt after the first one of a request.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    pub fn count_dropped_answer(&self, reason: AnswerDropReason) {
        self.dropped_answers.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a request about workflows that the gateway did not accept.
    pub fn count_gateway_rejection(&self, cause: RejectionCause) {
        self.gateway_refusals.with_label_values(&[cause.as_str()]).inc();
    }

    /// Counts an ignored announcement of a worker.
    pub fn count_ignored_announcement(&self, cause: AnnouncementRejection) {
        self.announcements_passed_over.with_label_values(&[cause.as_str()]).inc();
    }

    /// Counts the end of a request in a gateway; `end` is one of [`GATEWAY_ENDS`].
    pub fn observe_gateway_answer(&self, end: &'static str, seconds: f64) {
        self.gateway_answers.with_label_values(&[end]).observe(seconds);
    }

    /// Counts a connection that was closed because it carried no data.
    pub fn count_silent_link(&self) {
        self.link_silent.inc();
    }

    pub fn silent_link_count(&self) -> u64 {
        self.link_silent.get()
    }

    /// Counts a dropped message; `reason` is one of [`LINK_DROP_REASONS`].
    pub fn count_dropped_message(&self, reason: &'static str) {
        self.link_dropped.with_label_values(&[reason]).inc();
    }

    pub fn observe_answer(&self, class: &str, seconds: f64) {
        self.answer_seconds.with_label_values(&[class]).observe(seconds);
    }

    /// Counts that a limit refused something, and logs it at most once a second for each limit.
    pub fn note_limit_reached(&self, limit: Limit) {
        let counter = self.limits_reached.with_label_values(&[limit.as_str()]);
        counter.inc();
        if self.limit_logs.is_due(limit) {
            tracing::warn!(event = "limit_reached", limit = limit.as_str(), total = counter.get());
        }
    }

    /// Returns how often a limit has refused something.
    pub fn limit_reached_count(&self, limit: Limit) -> u64 {
        self.limits_reached.with_label_values(&[limit.as_str()]).get()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding into memory fails only for metrics that `Metrics::build` would have rejected.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8(buffer).unwrap_or_default()
    }
}
