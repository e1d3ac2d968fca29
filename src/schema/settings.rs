// Generated from the schema of the same name; see tests/schema.rs. Do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///The agent role.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    ///Number of accelerators of the VM.
    pub accelerators: u32,
    ///Silence after which an announced endpoint is considered gone.
    pub announce_max_ms: u32,
    ///CPU capacity of the VM.
    pub cpu_millicores: u32,
    ///Interval of reports to control.
    pub heartbeat_ms: u32,
    ///Address at which endpoints of this VM announce themselves.
    pub listen: ::std::net::SocketAddr,
    ///Memory capacity of the VM.
    pub memory_mib: u32,
    ///Maximum number of quick requests queued for one endpoint.
    pub queue_max: u32,
    ///Maximum number of request attempts remembered, so that none runs twice; more are refused.
    pub seen_max: u32,
    ///Time for which an ended non-idempotent request attempt is remembered.
    pub seen_ms: u32,
    ///Threads that call endpoints, and so the most requests that run at once.
    pub threads: u32,
    ///Name of the VM, unique in the installation.
    pub vm: ::compact_str::CompactString,
    ///Address of the platform's worker on this VM.
    pub worker: ::std::net::SocketAddr,
}
impl ::std::convert::From<&AgentSettings> for AgentSettings {
    fn from(value: &AgentSettings) -> Self {
        value.clone()
    }
}
///The control role.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    ///Time for which a settled claim answers resends.
    pub claim_retention_ms: u64,
    ///Maximum number of claims of idempotency keys kept.
    pub claims_max: u32,
    ///Folder of the log and the snapshots; created by `aspenrail init`.
    pub data_folder: ::compact_str::CompactString,
    ///Minimum silence of the leader after which a voter starts an election; the maximum is twice this.
    pub election_timeout_ms: u32,
    ///Free disk space below which writes are refused.
    pub free_min_bytes: u64,
    ///Interval of a leader's heartbeats.
    pub heartbeat_ms: u32,
    ///Time for which a finished job and its result are kept.
    pub job_retention_ms: u64,
    ///Maximum number of jobs kept, including finished ones.
    pub jobs_max: u32,
    ///Added to a lease before its tasks are placed again, for clocks that run at different speeds.
    pub lease_margin_ms: u32,
    ///Time for which an agent may run tasks, counted from its renewal request.
    pub lease_ms: u32,
    ///Address of the administration API.
    pub listen: ::std::net::SocketAddr,
    ///File with one line per operator: `name = token`.
    pub operators_file: ::compact_str::CompactString,
    ///Time until a quarantined VM is probed with one task.
    pub quarantine_ms: u32,
    ///Log entries after which a snapshot is taken.
    pub snapshot_entries: u32,
    ///Different VMs on which a task may fail before it becomes a dead letter.
    pub task_failures_max: u32,
    ///Maximum number of tasks kept, including finished ones.
    pub tasks_max: u32,
    ///Different tasks in a row that fail on a VM before it is quarantined.
    pub vm_failures_max: u32,
    ///Maximum number of VMs that may register.
    pub vms_max: u32,
    ///Maximum number of events kept per watch; a cursor before them is refused as `cursor_too_old`.
    pub watch_events_max: u32,
    ///Maximum number of watches kept.
    pub watches_max: u32,
}
impl ::std::convert::From<&ControlSettings> for ControlSettings {
    fn from(value: &ControlSettings) -> Self {
        value.clone()
    }
}
///The dispatch role: a control process for workflows, in a group that manages its own membership.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchSettings {
    ///1 to reject submissions that would end too late to be of use, and long-running ones that would not fit in sum if only long-running tasks ran.
    pub admission: u32,
    ///Most memory for submissions that wait for their turn or are not stored yet; more are refused.
    pub calls_max_bytes: u32,
    ///Folder of the log and the snapshots.
    pub data_folder: ::compact_str::CompactString,
    ///Minimum silence of the leader after which a voter starts an election; the maximum is twice this.
    pub election_timeout_ms: u32,
    ///1 to divide scarce capacity equally between callers (queue and availability zone), and to finish first what has begun.
    pub fair_shares: u32,
    ///1 while the whole installation starts for the first time, with empty disks: the control addresses of `[link]` then found the group.
    pub first_start: u32,
    ///Free disk space below which new work is refused.
    pub free_min_bytes: u32,
    ///Interval of the leader's heartbeats to other members.
    pub heartbeat_ms: u32,
    ///Added to the leader's wait for the end of a lease, for calls under way.
    pub lease_margin_ms: u32,
    ///Longest lease that workers accept; `lease_ms` is reduced to it.
    pub lease_max_ms: u32,
    ///Time for which a worker runs tasks without a renewal by the leader.
    pub lease_ms: u32,
    ///Percentage by which a worker's clock may be slow; extends the leader's wait for the end of a lease.
    pub lease_slack_percent: u32,
    ///Memory of the log entries at which a snapshot is taken; half of it is kept behind the snapshot.
    pub log_max_bytes: u32,
    ///Control processes that may be lost at once; the group keeps twice that plus one voters.
    pub losses_tolerated: u32,
    ///1 to work on requests in turns by class, and to turn away those of least use, with a time to return, before they wait too long.
    pub overload_control: u32,
    ///Longest pause between two scheduling passes.
    pub plan_interval_ms: u32,
    ///1 to reserve capacity for tasks that fit into the sum of the free capacities but on no single worker, and to move running tasks to make room for them.
    pub reservations: u32,
    ///Time for which the state of an ended workflow is kept; `tombstone_s` if that is longer.
    pub retention_s: u32,
    ///Silence of a node after which nothing new is placed on its worker.
    pub silent_ms: u32,
    ///Log entries after which a snapshot is taken.
    pub snapshot_entries: u32,
    ///Time for which a cancelled workflow is remembered at least; longer than a copy of its submission waits on its way, which is `give_up_ms` of its gateway and 8 s on links.
    pub tombstone_s: u32,
    ///Maximum number of cancelled workflows that are remembered without having been submitted, so that a late copy of the submission is refused; further cancels of unknown workflows are refused.
    pub tombstones_max: u32,
    ///1 to learn the speed of each worker from the progress of its tasks, to use slow workers last, and to move tasks off them.
    pub worker_speeds: u32,
    ///Most memory for all workflows kept, with their tasks; further submissions are refused.
    pub workflows_max_bytes: u32,
}
impl ::std::convert::From<&DispatchSettings> for DispatchSettings {
    fn from(value: &DispatchSettings) -> Self {
        value.clone()
    }
}
///The entry role.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    ///Maximum number of attempts of one quick request.
    pub attempts_max: u32,
    ///Largest request body.
    pub body_max_bytes: u32,
    ///Largest total size of a request's headers.
    pub headers_max_bytes: u32,
    ///Maximum number of open requests of any kind in this entry; more are refused.
    pub in_flight_max: u32,
    ///Address of the caller API.
    pub listen: ::std::net::SocketAddr,
    ///Longest wait for an operation of a control process.
    pub operation_max_ms: u32,
    ///Longest time that a poll of a watch or job is held open.
    pub poll_max_ms: u32,
    ///Maximum number of quick requests queued in this entry.
    pub queue_max: u32,
    ///Retries allowed per thousand answers.
    pub retry_budget_permille: u32,
    ///File with one line per team: `name = token`.
    pub teams_file: ::compact_str::CompactString,
    ///Threads that read callers' requests and write their answers.
    pub threads: u32,
}
impl ::std::convert::From<&EntrySettings> for EntrySettings {
    fn from(value: &EntrySettings) -> Self {
        value.clone()
    }
}
///The gateway role: forwards requests about workflows to the leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    ///Largest request body accepted.
    pub body_max_bytes: u32,
    ///Maximum number of requests in flight; more are refused.
    pub calls_max: u32,
    ///Most memory for the requests in flight, in their decoded form; more are refused.
    pub calls_max_bytes: u32,
    ///Pause before a retry after an answer that names no leader.
    pub election_pause_ms: u32,
    ///Longest time that a request waits for an answer.
    pub give_up_ms: u32,
    ///Largest total size of a request's headers.
    pub headers_max_bytes: u32,
    ///Address of the API for clients, or for operators beside a control process.
    pub listen: ::std::net::SocketAddr,
    ///Address at which metrics are served.
    pub metrics_listen: ::std::net::SocketAddr,
    ///1 to bound resends by a budget, to keep room for changes and reads, and to answer before a client stops waiting; control processes must be of this version first.
    pub overload_control: u32,
    ///Longest time that a request waits unsent while no leader is known.
    pub park_ms: u32,
    ///Interval at which the gateway checks that it reaches a leader.
    pub probe_ms: u32,
    ///Address at which a load balancer checks whether this process can serve.
    pub readiness_listen: ::std::net::SocketAddr,
    ///Time after which an unanswered request is sent to the next control process.
    pub resend_ms: u32,
}
impl ::std::convert::From<&GatewaySettings> for GatewaySettings {
    fn from(value: &GatewaySettings) -> Self {
        value.clone()
    }
}
///The links between aspenrail processes.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    ///Port to bind if it differs from that of `listen`, as behind a port forwarder; 0 binds that of `listen`.
    pub bind_port: u32,
    ///Addresses of control processes, separated by commas; one of several may be down.
    pub control: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Link port of the control processes, if it differs from those in `control`; 0 uses those.
    pub control_port: u32,
    ///Largest message accepted from a peer.
    pub frame_max_bytes: u32,
    ///Maximum number of connections of peers that have not said hello; beyond it the one that has waited longest is closed.
    pub greetings_max: u32,
    ///Address at which other processes reach this one.
    pub listen: ::std::net::SocketAddr,
    ///Most memory for the messages queued for all peers together, beyond which they are dropped and counted, and as much again for those received and not worked on, beyond which no more are received.
    pub queue_max_bytes: u32,
    ///Maximum number of messages queued for one peer; more are dropped and counted.
    pub queue_messages: u32,
}
impl ::std::convert::From<&LinkSettings> for LinkSettings {
    fn from(value: &LinkSettings) -> Self {
        value.clone()
    }
}
///The node role: the process beside one worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    ///Time within which the worker must answer a call.
    pub call_timeout_ms: u32,
    ///Time for which fillers may keep a serving task over its latency bound; those that slow it are suspended after a quarter of this time, all after half.
    pub harm_max_ms: u32,
    ///Longest wait of one call to the worker for the end of a run.
    pub hold_wait_ms: u32,
    ///Address at which the worker announces itself.
    pub listen: ::std::net::SocketAddr,
    ///Address at which metrics are served.
    pub metrics_listen: ::std::net::SocketAddr,
    ///Interval of reports to the leader while nothing changes.
    pub report_ms: u32,
    ///Pause before an unanswered order or call to the worker is sent again.
    pub retry_ms: u32,
    ///Replaces `hold_wait_ms` while best-effort tasks (fillers) run beside serving tasks.
    pub watch_wait_ms: u32,
    ///Address of the worker.
    pub worker: ::std::net::SocketAddr,
    ///Silence of the worker after which its lease is no longer renewed.
    pub worker_silent_ms: u32,
}
impl ::std::convert::From<&NodeSettings> for NodeSettings {
    fn from(value: &NodeSettings) -> Self {
        value.clone()
    }
}
///Identity and location of the process.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    ///Most memory for answers that are not sent yet, over all HTTP listeners; beyond it connections with unread answers are closed.
    pub answers_max_bytes: u32,
    ///Correction added to the time of day on a VM whose clock is known to be behind; leases do not depend on it. Reloaded on SIGHUP.
    pub clock_ahead_ms: u32,
    ///Maximum number of open connections to all HTTP listeners of the process; beyond it the one that has waited longest for a request is closed.
    pub connections_max: u32,
    ///Longest time that a planned stop waits for work in flight; a second SIGTERM ends the process at once.
    pub drain_max_ms: u32,
    ///Control group number, part of every identifier.
    pub group: u32,
    ///Least severe level that is logged: error, warn, info, debug or trace.
    pub log_level: ::compact_str::CompactString,
    ///Name of the process, unique in the installation; appears in logs and status.
    pub name: ::compact_str::CompactString,
    ///Rack of the VM.
    pub rack: ::compact_str::CompactString,
    ///Region number, part of every identifier.
    pub region: u32,
    ///Most memory for request bodies that are being read, over all HTTP listeners; a body for which it has no room is refused.
    pub requests_max_bytes: u32,
    ///Roles of the process, separated by commas.
    pub roles: ::std::vec::Vec<Role>,
    ///Availability zone of the VM.
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&ProcessSettings> for ProcessSettings {
    fn from(value: &ProcessSettings) -> Self {
        value.clone()
    }
}
///A role of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Role {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "agent")]
    Agent,
    #[serde(rename = "control")]
    Control,
    #[serde(rename = "gateway")]
    Gateway,
    #[serde(rename = "node")]
    Node,
    #[serde(rename = "dispatch")]
    Dispatch,
}
impl ::std::convert::From<&Self> for Role {
    fn from(value: &Role) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Agent => f.write_str("agent"),
            Self::Control => f.write_str("control"),
            Self::Gateway => f.write_str("gateway"),
            Self::Node => f.write_str("node"),
            Self::Dispatch => f.write_str("dispatch"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            "control" => Ok(Self::Control),
            "gateway" => Ok(Self::Gateway),
            "node" => Ok(Self::Node),
            "dispatch" => Ok(Self::Dispatch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The settings of one process.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub agent: ::std::option::Option<AgentSettings>,
    pub control: ::std::option::Option<ControlSettings>,
    pub dispatch: ::std::option::Option<DispatchSettings>,
    pub entry: ::std::option::Option<EntrySettings>,
    pub gateway: ::std::option::Option<GatewaySettings>,
    pub link: LinkSettings,
    pub node: ::std::option::Option<NodeSettings>,
    pub process: ProcessSettings,
}
impl ::std::convert::From<&Settings> for Settings {
    fn from(value: &Settings) -> Self {
        value.clone()
    }
}
///The settings of a process, one definition per section of its INI file.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct SettingsFile(pub ::serde_json::Value);
impl ::std::ops::Deref for SettingsFile {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<SettingsFile> for ::serde_json::Value {
    fn from(value: SettingsFile) -> Self {
        value.0
    }
}
impl ::std::convert::From<&SettingsFile> for SettingsFile {
    fn from(value: &SettingsFile) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::serde_json::Value> for SettingsFile {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
