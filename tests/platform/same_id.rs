//! Tests an executor that restarts under its old id, with real processes.

use serde_json::json;

use crate::installation::{Installation, wait};

/// A long-running task ended with its executor and was never started again, though the executor was
/// back at once under its old id.
#[test]
fn same_id_a_task_that_lasts_starts_again() {
    let installation = Installation::start(3);
    installation.install(1);
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 500, "runs_forever": true}]});
    installation.executor.set_work_time(std::time::Duration::from_secs(600));
    assert_eq!(installation.client("POST", "/q/00000000000000cf", &body).0, 200);
    for crashes in 0..3 {
        wait("the start", || installation.executor.running() == [crashes + 1]);
        installation.executor.crash_and_keep_id();
    }
    wait("the last start", || installation.executor.running() == [4]);
}
