//! Derives the options of the cores and HTTP servers from the settings.

use std::net::SocketAddr;

use crate::{
    control::dispatch::Features,
    gateway::GatewayOptions,
    http::ServerOptions,
    node::NodeOptions,
    prelude::*,
    schema::settings::{
        ControlSettings, DispatchSettings, GatewaySettings, NodeSettings, Settings,
    },
};

/// Largest body of a readiness probe or a request for metrics.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Largest headers of a readiness probe or a request for metrics.
const SMALL_HEADERS_BYTES: usize = 16 * 1024;

/// Returns the link addresses of the control processes in the settings.
pub(super) fn control_links(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.link.control_port as u16;
    let link = |it: &SocketAddr| match port {
        0 => *it,
        _ => SocketAddr::new(it.ip(), port),
    };
    settings.link.control.iter().map(link).collect()
}

pub(super) fn small_server_options(listen: SocketAddr) -> ServerOptions {
    ServerOptions {
        listen,
        threads: 1,
        body_max_bytes: SMALL_BODY_BYTES,
        headers_max_bytes: SMALL_HEADERS_BYTES,
        watches_stalls: false,
    }
}

pub(super) fn gateway_options(
    settings: &GatewaySettings,
    zone: CompactString,
    address: SocketAddr,
    controls: &[SocketAddr],
) -> GatewayOptions {
    GatewayOptions {
        address,
        control_addresses: controls.to_vec(),
        zone,
        boot: fastrand::u64(..) >> 1,
        resend_ms: settings.resend_ms.into(),
        election_pause_ms: settings.election_pause_ms.into(),
        give_up_ms: settings.give_up_ms.into(),
        park_ms: settings.park_ms.into(),
        probe_ms: settings.probe_ms.into(),
        calls_max: settings.calls_max as usize,
        calls_max_bytes: settings.calls_max_bytes as usize,
        overload_control: settings.overload_control == 1,
    }
}

pub(super) fn node_options(
    settings: &NodeSettings,
    address: SocketAddr,
    controls: &[SocketAddr],
) -> NodeOptions {
    NodeOptions {
        address,
        control_addresses: controls.to_vec(),
        boot: fastrand::u64(..),
        report_ms: settings.report_ms.into(),
        retry_ms: settings.retry_ms.into(),
        hold_wait_ms: settings.hold_wait_ms.into(),
        watch_wait_ms: settings.watch_wait_ms.into(),
        worker_silent_ms: settings.worker_silent_ms.into(),
        harm_max_ms: settings.harm_max_ms.into(),
    }
}

/// Returns the optional decisions that the settings turn on.
pub(super) fn features(settings: &DispatchSettings) -> Features {
    Features {
        reservations: settings.reservations == 1,
        fair_shares: settings.fair_shares == 1,
        worker_speeds: settings.worker_speeds == 1,
        admission: settings.admission == 1,
        overload_control: settings.overload_control == 1,
    }
}

/// Returns the settings of a member of a group that runs workflows only. Such a group holds no
/// jobs, claims, VMs or watches, so their limits are never reached.
pub(super) fn member_settings(settings: &DispatchSettings, address: SocketAddr) -> ControlSettings {
    ControlSettings {
        claim_retention_ms: 0,
        claims_max: 1,
        data_folder: settings.data_folder.clone(),
        election_timeout_ms: settings.election_timeout_ms,
        free_min_bytes: settings.free_min_bytes.into(),
        heartbeat_ms: settings.heartbeat_ms,
        job_retention_ms: 0,
        jobs_max: 1,
        lease_margin_ms: settings.lease_margin_ms,
        lease_ms: settings.lease_ms,
        listen: address,
        operators_file: CompactString::default(),
        quarantine_ms: 0,
        snapshot_entries: settings.snapshot_entries,
        task_failures_max: 1,
        tasks_max: 1,
        vm_failures_max: 1,
        vms_max: 1,
        watch_events_max: 1,
        watches_max: 1,
    }
}
