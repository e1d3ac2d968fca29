//! An executor that starts again under the id that it had, with real processes.

use serde_json::json;

use crate::installation::{Installation, wait};

/// Users saw a task that is to last go with its executor and never start again, though the executor
/// was back at once under its id.
#[test]
fn same_id_a_task_that_lasts_starts_again() {
    let it = Installation::start(3);
    it.install(1);
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 500, "runs_forever": true}]});
    it.executor.set_work(std::time::Duration::from_secs(600));
    assert_eq!(it.client("POST", "/q/00000000000000cf", &body).0, 200);
    for crashes in 0..3 {
        wait("the start", || it.executor.running() == [crashes + 1]);
        it.executor.crash_and_keep_id();
    }
    wait("the last start", || it.executor.running() == [4]);
}
