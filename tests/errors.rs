//! Checks the table of error kinds against the schema, the metrics and docs/API.md.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    error::{ERROR_ANSWERS, ExecutionStatus, answer_for_error},
    metrics::Metrics,
    prelude::*,
};

#[test]
fn table_has_every_kind_in_the_order_of_the_schema() {
    let schema: serde_json::Value =
        serde_json::from_str(include_str!("../schema/messages.json")).unwrap();
    let kinds = schema["definitions"]["ErrorKind"]["enum"].as_array().unwrap();
    let listed: Vec<_> = ERROR_ANSWERS.iter().map(|it| it.kind.to_string()).collect();
    assert_eq!(kinds.iter().map(|it| it.as_str().unwrap()).collect::<Vec<_>>(), listed);
    for row in ERROR_ANSWERS {
        assert_eq!(answer_for_error(row.kind), *row);
    }
}

#[test]
fn statuses_are_errors_and_unknown_outcomes_are_not_conflicts_of_the_caller() {
    for row in ERROR_ANSWERS {
        assert!((400..600).contains(&row.status), "{row:?}");
        let is_caller_fault = row.status < 500 && row.kind != ErrorKind::ClaimInProgress;
        assert!(!(is_caller_fault && row.execution == ExecutionStatus::Unknown), "{row:?}");
    }
}

#[test]
fn every_counter_exists_at_zero_from_the_start() {
    let text = Metrics::new().render();
    for row in ERROR_ANSWERS {
        assert!(
            text.contains(&format!("aspenrail_refusals_total{{kind=\"{}\"}} 0", row.kind)),
            "{}",
            row.kind
        );
    }
    for reason in ["busy", "leaving", "stale_session", "no_answer", "failed", "not_seen"] {
        assert!(
            text.contains(&format!("aspenrail_retries_total{{reason=\"{reason}\"}} 0")),
            "{reason}"
        );
    }
    for reason in ["late", "foreign", "damaged"] {
        assert!(
            text.contains(&format!("aspenrail_answers_dropped_total{{reason=\"{reason}\"}} 0")),
            "{reason}"
        );
    }
}

/// docs/API.md must list each kind with its status, execution status and whether it is retryable.
#[test]
fn api_page_lists_every_kind() {
    let page = include_str!("../docs/API.md");
    for row in ERROR_ANSWERS {
        let line = format!(
            "| `{}` | {} | {} | {} |",
            row.kind,
            row.status,
            row.execution.as_str(),
            if row.retryable { "yes" } else { "no" }
        );
        assert!(page.contains(&line), "docs/API.md lacks: {line}");
    }
}
