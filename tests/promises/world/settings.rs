//! Settings of the cores, with timeouts short enough for tests.

use aspenrail::{
    prelude::*,
    schema::settings::{AgentSettings, ControlSettings, EntrySettings},
};

use crate::world::{CAPACITY, address};

pub fn control_settings() -> ControlSettings {
    ControlSettings {
        listen: address(200),
        data_folder: "unused".into(),
        operators_file: "unused".into(),
        election_timeout_ms: 300,
        heartbeat_ms: 50,
        lease_ms: 3_000,
        lease_margin_ms: 500,
        snapshot_entries: 200,
        free_min_bytes: 0,
        jobs_max: 10_000,
        tasks_max: 10_000,
        claims_max: 10_000,
        claim_retention_ms: 3_600_000,
        job_retention_ms: 3_600_000,
        watches_max: 100,
        watch_events_max: 50,
        vms_max: 100,
        task_failures_max: 3,
        vm_failures_max: 3,
        quarantine_ms: 2_000,
    }
}

pub(super) fn entry_settings() -> EntrySettings {
    EntrySettings {
        listen: address(201),
        teams_file: "unused".into(),
        threads: 1,
        body_max_bytes: 1 << 20,
        headers_max_bytes: 16 * 1024,
        queue_max: 256,
        in_flight_max: 4_096,
        attempts_max: 4,
        retry_budget_permille: 200,
        poll_max_ms: 30_000,
        operation_max_ms: 10_000,
    }
}

pub(super) fn agent_settings(vm: usize) -> AgentSettings {
    AgentSettings {
        listen: address(202),
        vm: format_compact!("vm-{vm}"),
        worker: address(203),
        cpu_millicores: CAPACITY.cpu_millicores,
        memory_mib: CAPACITY.memory_mib,
        accelerators: CAPACITY.accelerators,
        threads: 64,
        queue_max: 16,
        seen_max: 100_000,
        seen_ms: 600_000,
        heartbeat_ms: 300,
        announce_max_ms: 3_000,
    }
}
