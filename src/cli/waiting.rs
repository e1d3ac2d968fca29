//! The report of who waits for capacity, as tables.

use serde_json::{Value, json};

use crate::{cli::operator::table, prelude::*};

/// Formats a report.
pub(super) fn waiting_tables(report: &WaitingReport, now_ms: u64) -> String {
    let steps: Vec<_> = report.steps.iter().map(|it| step_row(it, now_ms)).collect();
    let rejected: Vec<_> = report.rejected.iter().map(rejected_row).collect();
    let columns = [
        "workflow",
        "step",
        "queue",
        "zone",
        "kind",
        "tasks",
        "cores",
        "memory_mib",
        "age_s",
        "cause",
        "ends_in_s",
        "at_latest_s",
    ];
    let steps = table("WAITING", &steps, &columns);
    let columns = ["workflow", "queue", "zone", "cause", "rejections", "returns_in_s"];
    let rejected = table("REJECTED", &rejected, &columns);
    format!("{} steps wait\n{steps}{rejected}", report.steps_total)
}

fn step_row(it: &WaitingStep, now_ms: u64) -> Value {
    let kind = match (it.long_running, it.best_effort) {
        (true, _) => "long_running",
        (_, true) => "best_effort",
        _ => "plain",
    };
    json!({
        "workflow": format!("{:016x}", it.workflow.0),
        "step": format!("{}.{}", it.occurrence, it.step),
        "queue": it.caller.queue,
        "zone": it.caller.zone,
        "kind": kind,
        "tasks": it.tasks,
        "cores": f64::from(it.need.cpu_millicores) / 1_000.0,
        "memory_mib": it.need.memory_mib,
        "age_s": now_ms.saturating_sub(it.since_ms) / 1_000,
        "cause": it.cause.to_string(),
        "ends_in_s": known_s(it.median_end_ms),
        "at_latest_s": known_s(it.late_end_ms),
    })
}

fn rejected_row(it: &RejectedCaller) -> Value {
    json!({
        "workflow": format!("{:016x}", it.workflow.0),
        "queue": it.caller.queue,
        "zone": it.caller.zone,
        "cause": it.cause.to_string(),
        "rejections": it.rejections,
        "returns_in_s": it.return_in_ms.div_ceil(1_000),
    })
}

/// Returns a forecast in seconds, or nothing if there is none.
fn known_s(forecast_ms: u64) -> Option<u64> {
    (0 < forecast_ms).then(|| forecast_ms.div_ceil(1_000))
}
