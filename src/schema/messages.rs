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
///A view that an operator can request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum AdminView {
    #[serde(rename = "status")]
    Status,
    #[serde(rename = "configuration")]
    Configuration,
    #[serde(rename = "history")]
    History,
    #[serde(rename = "teams")]
    Teams,
    #[serde(rename = "classes")]
    Classes,
    #[serde(rename = "vms")]
    Vms,
    #[serde(rename = "endpoints")]
    Endpoints,
    #[serde(rename = "jobs")]
    Jobs,
    #[serde(rename = "leases")]
    Leases,
    #[serde(rename = "members")]
    Members,
    #[serde(rename = "queue")]
    Queue,
    #[serde(rename = "dead_letters")]
    DeadLetters,
    #[serde(rename = "evacuations")]
    Evacuations,
}
impl ::std::convert::From<&Self> for AdminView {
    fn from(value: &AdminView) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AdminView {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Status => f.write_str("status"),
            Self::Configuration => f.write_str("configuration"),
            Self::History => f.write_str("history"),
            Self::Teams => f.write_str("teams"),
            Self::Classes => f.write_str("classes"),
            Self::Vms => f.write_str("vms"),
            Self::Endpoints => f.write_str("endpoints"),
            Self::Jobs => f.write_str("jobs"),
            Self::Leases => f.write_str("leases"),
            Self::Members => f.write_str("members"),
            Self::Queue => f.write_str("queue"),
            Self::DeadLetters => f.write_str("dead_letters"),
            Self::Evacuations => f.write_str("evacuations"),
        }
    }
}
impl ::std::str::FromStr for AdminView {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "status" => Ok(Self::Status),
            "configuration" => Ok(Self::Configuration),
            "history" => Ok(Self::History),
            "teams" => Ok(Self::Teams),
            "classes" => Ok(Self::Classes),
            "vms" => Ok(Self::Vms),
            "endpoints" => Ok(Self::Endpoints),
            "jobs" => Ok(Self::Jobs),
            "leases" => Ok(Self::Leases),
            "members" => Ok(Self::Members),
            "queue" => Ok(Self::Queue),
            "dead_letters" => Ok(Self::DeadLetters),
            "evacuations" => Ok(Self::Evacuations),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AdminView {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AdminView {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AdminView {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why a submission was not accepted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum AdmissionCause {
    #[serde(rename = "late")]
    Late,
    #[serde(rename = "no_capacity")]
    NoCapacity,
}
impl ::std::convert::From<&Self> for AdmissionCause {
    fn from(value: &AdmissionCause) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AdmissionCause {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Late => f.write_str("late"),
            Self::NoCapacity => f.write_str("no_capacity"),
        }
    }
}
impl ::std::str::FromStr for AdmissionCause {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "late" => Ok(Self::Late),
            "no_capacity" => Ok(Self::NoCapacity),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AdmissionCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AdmissionCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AdmissionCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A submission that was not accepted, since it could not be served in time.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionRejection {
    pub cause: AdmissionCause,
    ///When it is forecast to be served in time.
    pub retry_after_ms: u64,
}
impl ::std::convert::From<&AdmissionRejection> for AdmissionRejection {
    fn from(value: &AdmissionRejection) -> Self {
        value.clone()
    }
}
///Reports on an agent's VM and requests a lease renewal.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentHeartbeat {
    pub draining: bool,
    pub endpoints: ::std::vec::Vec<EndpointReport>,
    pub in_force: Revision,
    pub number: u64,
    ///Whether `tasks` lists every task that the worker runs.
    pub reconciled: bool,
    pub reply_to: ::std::net::SocketAddr,
    pub sent_ms: u64,
    pub session: SessionId,
    pub tasks: ::std::vec::Vec<TaskReport>,
    pub usage: Usage,
}
impl ::std::convert::From<&AgentHeartbeat> for AgentHeartbeat {
    fn from(value: &AgentHeartbeat) -> Self {
        value.clone()
    }
}
///Answers an agent's heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentHeartbeatReply {
    ///The configuration in force, if the agent's is older.
    pub configuration: ::std::option::Option<Configuration>,
    pub lease_ms: u32,
    pub number: u64,
    pub orders: ::std::vec::Vec<TaskOrder>,
    ///`sent_ms` of the heartbeat, from which the lease counts.
    pub sent_ms: u64,
    pub session: SessionId,
    pub verdict: SessionVerdict,
}
impl ::std::convert::From<&AgentHeartbeatReply> for AgentHeartbeatReply {
    fn from(value: &AgentHeartbeatReply) -> Self {
        value.clone()
    }
}
///A complete answer of an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    pub body: ::serde_bytes::ByteBuf,
    pub checksum: u32,
    pub content_type: ::compact_str::CompactString,
    pub status: u16,
}
impl ::std::convert::From<&Answer> for Answer {
    fn from(value: &Answer) -> Self {
        value.clone()
    }
}
///Answers an append.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AppendReply {
    pub in_force: Revision,
    ///Highest index known to match; if not `matched`, the index to retry from.
    pub match_index: u64,
    pub matched: bool,
    pub sent_ms: u64,
    pub term: u64,
}
impl ::std::convert::From<&AppendReply> for AppendReply {
    fn from(value: &AppendReply) -> Self {
        value.clone()
    }
}
///Replicates entries; without entries, a heartbeat of the leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct AppendRequest {
    pub commit_index: u64,
    pub entries: ::std::vec::Vec<LogEntry>,
    pub previous_index: u64,
    pub previous_term: u64,
    ///The leader's clock at sending, echoed in the reply.
    pub sent_ms: u64,
    pub term: u64,
}
impl ::std::convert::From<&AppendRequest> for AppendRequest {
    fn from(value: &AppendRequest) -> Self {
        value.clone()
    }
}
///Who competes for capacity: the submissions of one queue that enter in one availability zone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    pub queue: ::compact_str::CompactString,
    ///Availability zone of the gateway that the submission entered by.
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&Caller> for Caller {
    fn from(value: &Caller) -> Self {
        value.clone()
    }
}
///Cancels jobs of one team atomically.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelCommand {
    pub jobs: ::std::vec::Vec<JobId>,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&CancelCommand> for CancelCommand {
    fn from(value: &CancelCommand) -> Self {
        value.clone()
    }
}
///The checkpoint of an evicted task.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    pub run_ms: u64,
    ///Opaque token from which the worker resumes; empty to start anew.
    pub token: ::compact_str::CompactString,
}
impl ::std::convert::From<&Checkpoint> for Checkpoint {
    fn from(value: &Checkpoint) -> Self {
        value.clone()
    }
}
///A claim on an idempotency key.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    pub agent: ::std::net::SocketAddr,
    pub attempt: u32,
    pub changed_ms: u64,
    pub digest: u64,
    pub endpoint: EndpointId,
    pub entry: ::std::net::SocketAddr,
    pub request: RequestId,
    pub state: ClaimState,
}
impl ::std::convert::From<&Claim> for Claim {
    fn from(value: &Claim) -> Self {
        value.clone()
    }
}
///Claims an idempotency key before a non-idempotent request is dispatched.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimCommand {
    pub agent: ::std::net::SocketAddr,
    ///The attempt that this claim makes, one above the claim's last.
    pub attempt: u32,
    ///Digest of the request; reuse of the key with another body is refused.
    pub digest: u64,
    pub endpoint: EndpointId,
    pub entry: ::std::net::SocketAddr,
    pub key: ::compact_str::CompactString,
    pub request: RequestId,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&ClaimCommand> for ClaimCommand {
    fn from(value: &ClaimCommand) -> Self {
        value.clone()
    }
}
///How a claimed attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ClaimOutcome {
    Done(StoredAnswer),
    NotRun,
    Unknown,
}
impl ::std::convert::From<&Self> for ClaimOutcome {
    fn from(value: &ClaimOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<StoredAnswer> for ClaimOutcome {
    fn from(value: StoredAnswer) -> Self {
        Self::Done(value)
    }
}
///Identifies a claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimQuery {
    pub key: ::compact_str::CompactString,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&ClaimQuery> for ClaimQuery {
    fn from(value: &ClaimQuery) -> Self {
        value.clone()
    }
}
///The state of a claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ClaimState {
    Claimed,
    Done(StoredAnswer),
    NotRun,
    Unknown,
}
impl ::std::convert::From<&Self> for ClaimState {
    fn from(value: &ClaimState) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<StoredAnswer> for ClaimState {
    fn from(value: StoredAnswer) -> Self {
        Self::Done(value)
    }
}
///A class of work with the targets that operators set for it.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub answer_percentile_permille: u32,
    ///Target for the answer time at `answer_percentile_permille`; 0 for batch.
    pub answer_target_ms: u32,
    ///Longest deadline that a quick request may set.
    pub deadline_max_ms: u32,
    ///Evictions allowed per hour, over all tasks of the class.
    pub evictions_per_hour: u32,
    ///Target for the time from acceptance to the end of a job; 0 for none.
    pub finish_target_ms: u64,
    pub kind: ClassKind,
    pub name: ::compact_str::CompactString,
    ///Whether tasks of the class may preempt batch work to start at once.
    pub urgent: bool,
}
impl ::std::convert::From<&Class> for Class {
    fn from(value: &Class) -> Self {
        value.clone()
    }
}
///The kind of a class of work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ClassKind {
    #[serde(rename = "latency_critical")]
    LatencyCritical,
    #[serde(rename = "batch")]
    Batch,
}
impl ::std::convert::From<&Self> for ClassKind {
    fn from(value: &ClassKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ClassKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LatencyCritical => f.write_str("latency_critical"),
            Self::Batch => f.write_str("batch"),
        }
    }
}
impl ::std::str::FromStr for ClassKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "latency_critical" => Ok(Self::LatencyCritical),
            "batch" => Ok(Self::Batch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClassKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ClassKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClassKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An entry's measured answer times of a class.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLatency {
    pub answers: u32,
    pub class: ::compact_str::CompactString,
    pub percentile_ms: u32,
}
impl ::std::convert::From<&ClassLatency> for ClassLatency {
    fn from(value: &ClassLatency) -> Self {
        value.clone()
    }
}
///Ends a session; its tasks are then lost.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CloseSessionCommand {
    pub reason: SessionEnd,
    pub session: SessionId,
}
impl ::std::convert::From<&CloseSessionCommand> for CloseSessionCommand {
    fn from(value: &CloseSessionCommand) -> Self {
        value.clone()
    }
}
///A command of the replicated log.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Command {
    OpenSession(OpenSessionCommand),
    CloseSession(CloseSessionCommand),
    Configure(ConfigureCommand),
    Submit(SubmitCommand),
    Cancel(CancelCommand),
    Start(StartCommand),
    TaskEvent(TaskEventCommand),
    Claim(ClaimCommand),
    Settle(SettleCommand),
    CreateWatch(CreateWatchCommand),
    DeleteWatch(DeleteWatchCommand),
    Publish(PublishCommand),
    VmFlags(VmFlagsCommand),
    Expire(ExpireCommand),
    Workflow(WorkflowCommand),
}
impl ::std::convert::From<&Self> for Command {
    fn from(value: &Command) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<OpenSessionCommand> for Command {
    fn from(value: OpenSessionCommand) -> Self {
        Self::OpenSession(value)
    }
}
impl ::std::convert::From<CloseSessionCommand> for Command {
    fn from(value: CloseSessionCommand) -> Self {
        Self::CloseSession(value)
    }
}
impl ::std::convert::From<ConfigureCommand> for Command {
    fn from(value: ConfigureCommand) -> Self {
        Self::Configure(value)
    }
}
impl ::std::convert::From<SubmitCommand> for Command {
    fn from(value: SubmitCommand) -> Self {
        Self::Submit(value)
    }
}
impl ::std::convert::From<CancelCommand> for Command {
    fn from(value: CancelCommand) -> Self {
        Self::Cancel(value)
    }
}
impl ::std::convert::From<StartCommand> for Command {
    fn from(value: StartCommand) -> Self {
        Self::Start(value)
    }
}
impl ::std::convert::From<TaskEventCommand> for Command {
    fn from(value: TaskEventCommand) -> Self {
        Self::TaskEvent(value)
    }
}
impl ::std::convert::From<ClaimCommand> for Command {
    fn from(value: ClaimCommand) -> Self {
        Self::Claim(value)
    }
}
impl ::std::convert::From<SettleCommand> for Command {
    fn from(value: SettleCommand) -> Self {
        Self::Settle(value)
    }
}
impl ::std::convert::From<CreateWatchCommand> for Command {
    fn from(value: CreateWatchCommand) -> Self {
        Self::CreateWatch(value)
    }
}
impl ::std::convert::From<DeleteWatchCommand> for Command {
    fn from(value: DeleteWatchCommand) -> Self {
        Self::DeleteWatch(value)
    }
}
impl ::std::convert::From<PublishCommand> for Command {
    fn from(value: PublishCommand) -> Self {
        Self::Publish(value)
    }
}
impl ::std::convert::From<VmFlagsCommand> for Command {
    fn from(value: VmFlagsCommand) -> Self {
        Self::VmFlags(value)
    }
}
impl ::std::convert::From<ExpireCommand> for Command {
    fn from(value: ExpireCommand) -> Self {
        Self::Expire(value)
    }
}
impl ::std::convert::From<WorkflowCommand> for Command {
    fn from(value: WorkflowCommand) -> Self {
        Self::Workflow(value)
    }
}
///The result of a completed task.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Completion {
    pub result: ::compact_str::CompactString,
    pub run_ms: u64,
}
impl ::std::convert::From<&Completion> for Completion {
    fn from(value: &Completion) -> Self {
        value.clone()
    }
}
///One change to the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ConfigChange {
    PutTeam(Team),
    DeleteTeam(::compact_str::CompactString),
    PutClass(Class),
    DeleteClass(::compact_str::CompactString),
}
impl ::std::convert::From<&Self> for ConfigChange {
    fn from(value: &ConfigChange) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Team> for ConfigChange {
    fn from(value: Team) -> Self {
        Self::PutTeam(value)
    }
}
impl ::std::convert::From<Class> for ConfigChange {
    fn from(value: Class) -> Self {
        Self::PutClass(value)
    }
}
///Requests the configuration of a process that has a newer one.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFetch {
    pub reply_to: ::std::net::SocketAddr,
}
impl ::std::convert::From<&ConfigFetch> for ConfigFetch {
    fn from(value: &ConfigFetch) -> Self {
        value.clone()
    }
}
///The complete accepted configuration at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    pub classes: ::std::vec::Vec<Class>,
    pub revision: Revision,
    pub teams: ::std::vec::Vec<Team>,
}
impl ::std::convert::From<&Configuration> for Configuration {
    fn from(value: &Configuration) -> Self {
        value.clone()
    }
}
///A compare-and-set change to the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigureCommand {
    ///Revision that the change is based on.
    pub based_on: Revision,
    pub change: ConfigChange,
    ///The operator's idempotency key; a resend gets the first answer.
    pub key: ::compact_str::CompactString,
    pub operator: ::compact_str::CompactString,
}
impl ::std::convert::From<&ConfigureCommand> for ConfigureCommand {
    fn from(value: &ConfigureCommand) -> Self {
        value.clone()
    }
}
///Answers a control request.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlReply {
    pub id: u64,
    pub result: ControlResult,
}
impl ::std::convert::From<&ControlReply> for ControlReply {
    fn from(value: &ControlReply) -> Self {
        value.clone()
    }
}
///Requests an operation from a control process.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    pub id: u64,
    pub operation: Operation,
    pub reply_to: ::std::net::SocketAddr,
}
impl ::std::convert::From<&ControlRequest> for ControlRequest {
    fn from(value: &ControlRequest) -> Self {
        value.clone()
    }
}
///The outcome of an operation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ControlResult {
    Ok(Reply),
    Refused(Refusal),
    NotLeader(::std::option::Option<::std::net::SocketAddr>),
}
impl ::std::convert::From<&Self> for ControlResult {
    fn from(value: &ControlResult) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Reply> for ControlResult {
    fn from(value: Reply) -> Self {
        Self::Ok(value)
    }
}
impl ::std::convert::From<Refusal> for ControlResult {
    fn from(value: Refusal) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<::std::option::Option<::std::net::SocketAddr>>
for ControlResult {
    fn from(value: ::std::option::Option<::std::net::SocketAddr>) -> Self {
        Self::NotLeader(value)
    }
}
///Creates a durable subscription.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct CreateWatchCommand {
    ///Maximum number of events kept; set by the leader from its settings.
    pub events_max: u32,
    pub key: ::compact_str::CompactString,
    pub subject: ::compact_str::CompactString,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&CreateWatchCommand> for CreateWatchCommand {
    fn from(value: &CreateWatchCommand) -> Self {
        value.clone()
    }
}
///Deletes a durable subscription.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteWatchCommand {
    pub team: ::compact_str::CompactString,
    pub watch: WatchId,
}
impl ::std::convert::From<&DeleteWatchCommand> for DeleteWatchCommand {
    fn from(value: &DeleteWatchCommand) -> Self {
        value.clone()
    }
}
///An endpoint as listed for entries.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryEndpoint {
    pub agent: ::std::net::SocketAddr,
    pub class: ::compact_str::CompactString,
    pub id: EndpointId,
    pub leaving: bool,
    pub slots: u32,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&DirectoryEndpoint> for DirectoryEndpoint {
    fn from(value: &DirectoryEndpoint) -> Self {
        value.clone()
    }
}
///A change to the directory of endpoints.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryUpdate {
    pub endpoints: ::std::vec::Vec<DirectoryEndpoint>,
    ///The leader's term; versions are comparable only within a term.
    pub epoch: u64,
    pub gone: ::std::vec::Vec<EndpointId>,
    pub version: u64,
    ///Whether endpoints not listed are gone.
    pub whole: bool,
}
impl ::std::convert::From<&DirectoryUpdate> for DirectoryUpdate {
    fn from(value: &DirectoryUpdate) -> Self {
        value.clone()
    }
}
///Sets or clears the draining flag of a VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    pub draining: bool,
    pub vm_name: ::compact_str::CompactString,
}
impl ::std::convert::From<&DrainRequest> for DrainRequest {
    fn from(value: &DrainRequest) -> Self {
        value.clone()
    }
}
///A run end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndedRun {
    pub cursor: u64,
    pub end: RunEnd,
}
impl ::std::convert::From<&EndedRun> for EndedRun {
    fn from(value: &EndedRun) -> Self {
        value.clone()
    }
}
///An endpoint announced in an agent's session.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointId {
    pub number: u32,
    pub session: SessionId,
}
impl ::std::convert::From<&EndpointId> for EndpointId {
    fn from(value: &EndpointId) -> Self {
        value.clone()
    }
}
///Notifies entries that an endpoint accepts no new requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointLeaving {
    pub endpoint: EndpointId,
}
impl ::std::convert::From<&EndpointLeaving> for EndpointLeaving {
    fn from(value: &EndpointLeaving) -> Self {
        value.clone()
    }
}
///An agent's report on one endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointReport {
    ///99th percentile of answer times since the last report; 0 for none.
    pub answer_p99_ms: u32,
    pub class: ::compact_str::CompactString,
    pub leaving: bool,
    pub number: u32,
    pub slots: u32,
}
impl ::std::convert::From<&EndpointReport> for EndpointReport {
    fn from(value: &EndpointReport) -> Self {
        value.clone()
    }
}
///Registers a worker incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnrolWorker {
    pub capacity: Resources,
    pub kind: ::compact_str::CompactString,
    pub name: ::compact_str::CompactString,
    ///Address of the node process beside the worker.
    pub node: ::std::net::SocketAddr,
    pub rack: ::compact_str::CompactString,
    pub service: ::compact_str::CompactString,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&EnrolWorker> for EnrolWorker {
    fn from(value: &EnrolWorker) -> Self {
        value.clone()
    }
}
///The content of a log entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum EntryBody {
    Noop,
    Command(Command),
    Members(Membership),
}
impl ::std::convert::From<&Self> for EntryBody {
    fn from(value: &EntryBody) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Command> for EntryBody {
    fn from(value: Command) -> Self {
        Self::Command(value)
    }
}
impl ::std::convert::From<Membership> for EntryBody {
    fn from(value: Membership) -> Self {
        Self::Members(value)
    }
}
///An entry's report and request for updates.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHeartbeat {
    ///Random number of the entry's process, to detect replies to an earlier one.
    pub boot: u64,
    pub directory_epoch: u64,
    pub directory_version: u64,
    pub in_force: Revision,
    pub latencies: ::std::vec::Vec<ClassLatency>,
    pub name: ::compact_str::CompactString,
    pub reply_to: ::std::net::SocketAddr,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&EntryHeartbeat> for EntryHeartbeat {
    fn from(value: &EntryHeartbeat) -> Self {
        value.clone()
    }
}
///Answers an entry's heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHeartbeatReply {
    pub boot: u64,
    ///The configuration in force, if the entry's is older.
    pub configuration: ::std::option::Option<Configuration>,
    pub directory: ::std::option::Option<DirectoryUpdate>,
}
impl ::std::convert::From<&EntryHeartbeatReply> for EntryHeartbeatReply {
    fn from(value: &EntryHeartbeatReply) -> Self {
        value.clone()
    }
}
///A message with the sender's configuration revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    pub in_force: Revision,
    pub message: Message,
}
impl ::std::convert::From<&Envelope> for Envelope {
    fn from(value: &Envelope) -> Self {
        value.clone()
    }
}
///All kinds of errors.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ErrorKind {
    #[serde(rename = "bad_request")]
    BadRequest,
    #[serde(rename = "unauthenticated")]
    Unauthenticated,
    #[serde(rename = "forbidden")]
    Forbidden,
    #[serde(rename = "not_found")]
    NotFound,
    #[serde(rename = "method_not_allowed")]
    MethodNotAllowed,
    #[serde(rename = "payload_too_large")]
    PayloadTooLarge,
    #[serde(rename = "unknown_team")]
    UnknownTeam,
    #[serde(rename = "unknown_class")]
    UnknownClass,
    #[serde(rename = "wrong_class_kind")]
    WrongClassKind,
    #[serde(rename = "deadline_out_of_range")]
    DeadlineOutOfRange,
    #[serde(rename = "queue_full")]
    QueueFull,
    #[serde(rename = "team_share_exceeded")]
    TeamShareExceeded,
    #[serde(rename = "would_miss_deadline")]
    WouldMissDeadline,
    #[serde(rename = "no_endpoint")]
    NoEndpoint,
    #[serde(rename = "endpoint_leaving")]
    EndpointLeaving,
    #[serde(rename = "endpoint_busy")]
    EndpointBusy,
    #[serde(rename = "stale_session")]
    StaleSession,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "retry_budget_exhausted")]
    RetryBudgetExhausted,
    #[serde(rename = "deadline_expired_queued")]
    DeadlineExpiredQueued,
    #[serde(rename = "attempts_exhausted")]
    AttemptsExhausted,
    #[serde(rename = "outcome_unknown")]
    OutcomeUnknown,
    #[serde(rename = "answer_late")]
    AnswerLate,
    #[serde(rename = "endpoint_failed")]
    EndpointFailed,
    #[serde(rename = "control_unavailable")]
    ControlUnavailable,
    #[serde(rename = "not_leader")]
    NotLeader,
    #[serde(rename = "disk_full")]
    DiskFull,
    #[serde(rename = "table_full")]
    TableFull,
    #[serde(rename = "quota_exceeded")]
    QuotaExceeded,
    #[serde(rename = "infeasible")]
    Infeasible,
    #[serde(rename = "revision_conflict")]
    RevisionConflict,
    #[serde(rename = "key_reused")]
    KeyReused,
    #[serde(rename = "claim_in_progress")]
    ClaimInProgress,
    #[serde(rename = "already_finished")]
    AlreadyFinished,
    #[serde(rename = "membership_unsafe")]
    MembershipUnsafe,
    #[serde(rename = "cursor_too_old")]
    CursorTooOld,
    #[serde(rename = "version_unsupported")]
    VersionUnsupported,
    #[serde(rename = "shutting_down")]
    ShuttingDown,
    #[serde(rename = "internal")]
    Internal,
}
impl ::std::convert::From<&Self> for ErrorKind {
    fn from(value: &ErrorKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::BadRequest => f.write_str("bad_request"),
            Self::Unauthenticated => f.write_str("unauthenticated"),
            Self::Forbidden => f.write_str("forbidden"),
            Self::NotFound => f.write_str("not_found"),
            Self::MethodNotAllowed => f.write_str("method_not_allowed"),
            Self::PayloadTooLarge => f.write_str("payload_too_large"),
            Self::UnknownTeam => f.write_str("unknown_team"),
            Self::UnknownClass => f.write_str("unknown_class"),
            Self::WrongClassKind => f.write_str("wrong_class_kind"),
            Self::DeadlineOutOfRange => f.write_str("deadline_out_of_range"),
            Self::QueueFull => f.write_str("queue_full"),
            Self::TeamShareExceeded => f.write_str("team_share_exceeded"),
            Self::WouldMissDeadline => f.write_str("would_miss_deadline"),
            Self::NoEndpoint => f.write_str("no_endpoint"),
            Self::EndpointLeaving => f.write_str("endpoint_leaving"),
            Self::EndpointBusy => f.write_str("endpoint_busy"),
            Self::StaleSession => f.write_str("stale_session"),
            Self::Draining => f.write_str("draining"),
            Self::RetryBudgetExhausted => f.write_str("retry_budget_exhausted"),
            Self::DeadlineExpiredQueued => f.write_str("deadline_expired_queued"),
            Self::AttemptsExhausted => f.write_str("attempts_exhausted"),
            Self::OutcomeUnknown => f.write_str("outcome_unknown"),
            Self::AnswerLate => f.write_str("answer_late"),
            Self::EndpointFailed => f.write_str("endpoint_failed"),
            Self::ControlUnavailable => f.write_str("control_unavailable"),
            Self::NotLeader => f.write_str("not_leader"),
            Self::DiskFull => f.write_str("disk_full"),
            Self::TableFull => f.write_str("table_full"),
            Self::QuotaExceeded => f.write_str("quota_exceeded"),
            Self::Infeasible => f.write_str("infeasible"),
            Self::RevisionConflict => f.write_str("revision_conflict"),
            Self::KeyReused => f.write_str("key_reused"),
            Self::ClaimInProgress => f.write_str("claim_in_progress"),
            Self::AlreadyFinished => f.write_str("already_finished"),
            Self::MembershipUnsafe => f.write_str("membership_unsafe"),
            Self::CursorTooOld => f.write_str("cursor_too_old"),
            Self::VersionUnsupported => f.write_str("version_unsupported"),
            Self::ShuttingDown => f.write_str("shutting_down"),
            Self::Internal => f.write_str("internal"),
        }
    }
}
impl ::std::str::FromStr for ErrorKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "bad_request" => Ok(Self::BadRequest),
            "unauthenticated" => Ok(Self::Unauthenticated),
            "forbidden" => Ok(Self::Forbidden),
            "not_found" => Ok(Self::NotFound),
            "method_not_allowed" => Ok(Self::MethodNotAllowed),
            "payload_too_large" => Ok(Self::PayloadTooLarge),
            "unknown_team" => Ok(Self::UnknownTeam),
            "unknown_class" => Ok(Self::UnknownClass),
            "wrong_class_kind" => Ok(Self::WrongClassKind),
            "deadline_out_of_range" => Ok(Self::DeadlineOutOfRange),
            "queue_full" => Ok(Self::QueueFull),
            "team_share_exceeded" => Ok(Self::TeamShareExceeded),
            "would_miss_deadline" => Ok(Self::WouldMissDeadline),
            "no_endpoint" => Ok(Self::NoEndpoint),
            "endpoint_leaving" => Ok(Self::EndpointLeaving),
            "endpoint_busy" => Ok(Self::EndpointBusy),
            "stale_session" => Ok(Self::StaleSession),
            "draining" => Ok(Self::Draining),
            "retry_budget_exhausted" => Ok(Self::RetryBudgetExhausted),
            "deadline_expired_queued" => Ok(Self::DeadlineExpiredQueued),
            "attempts_exhausted" => Ok(Self::AttemptsExhausted),
            "outcome_unknown" => Ok(Self::OutcomeUnknown),
            "answer_late" => Ok(Self::AnswerLate),
            "endpoint_failed" => Ok(Self::EndpointFailed),
            "control_unavailable" => Ok(Self::ControlUnavailable),
            "not_leader" => Ok(Self::NotLeader),
            "disk_full" => Ok(Self::DiskFull),
            "table_full" => Ok(Self::TableFull),
            "quota_exceeded" => Ok(Self::QuotaExceeded),
            "infeasible" => Ok(Self::Infeasible),
            "revision_conflict" => Ok(Self::RevisionConflict),
            "key_reused" => Ok(Self::KeyReused),
            "claim_in_progress" => Ok(Self::ClaimInProgress),
            "already_finished" => Ok(Self::AlreadyFinished),
            "membership_unsafe" => Ok(Self::MembershipUnsafe),
            "cursor_too_old" => Ok(Self::CursorTooOld),
            "version_unsupported" => Ok(Self::VersionUnsupported),
            "shutting_down" => Ok(Self::ShuttingDown),
            "internal" => Ok(Self::Internal),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Evacuates an availability zone or puts it back into use.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuateRequest {
    ///Revision of the zone list that the change is based on, once it was read; identifies late copies of earlier requests.
    pub based_on: ::std::option::Option<u64>,
    ///Name of the requester, for readers of the list.
    pub by: ::compact_str::CompactString,
    pub evacuated: bool,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&EvacuateRequest> for EvacuateRequest {
    fn from(value: &EvacuateRequest) -> Self {
        value.clone()
    }
}
///Evacuates an availability zone or puts it back into use, unless another change came since `based_on`.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuateZone {
    pub based_on: u64,
    pub by: ::compact_str::CompactString,
    pub evacuated: bool,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&EvacuateZone> for EvacuateZone {
    fn from(value: &EvacuateZone) -> Self {
        value.clone()
    }
}
///An evacuated availability zone: no task starts there, running tasks continue.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    pub by: ::compact_str::CompactString,
    ///Time of day of the log entry.
    pub since_ms: u64,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&Evacuation> for Evacuation {
    fn from(value: &Evacuation) -> Self {
        value.clone()
    }
}
///All evacuated zones, and the number of changes so far.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuations {
    pub revision: u64,
    pub zones: ::std::vec::Vec<Evacuation>,
}
impl ::std::convert::From<&Evacuations> for Evacuations {
    fn from(value: &Evacuations) -> Self {
        value.clone()
    }
}
///Runs a quick request on an endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Execute {
    pub attempt: u32,
    pub body: ::serde_bytes::ByteBuf,
    pub class: ::compact_str::CompactString,
    ///Time left until the deadline at sending.
    pub deadline_ms: u32,
    pub endpoint: EndpointId,
    pub idempotent: bool,
    pub path: ::compact_str::CompactString,
    pub reply_to: ::std::net::SocketAddr,
    pub request: RequestId,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&Execute> for Execute {
    fn from(value: &Execute) -> Self {
        value.clone()
    }
}
///The state or the outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum ExecuteOutcome {
    Answered(Answer),
    Refused(ErrorKind),
    Failed(::compact_str::CompactString),
    Running,
    NotSeen,
}
impl ::std::convert::From<&Self> for ExecuteOutcome {
    fn from(value: &ExecuteOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Answer> for ExecuteOutcome {
    fn from(value: Answer) -> Self {
        Self::Answered(value)
    }
}
impl ::std::convert::From<ErrorKind> for ExecuteOutcome {
    fn from(value: ErrorKind) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<::compact_str::CompactString> for ExecuteOutcome {
    fn from(value: ::compact_str::CompactString) -> Self {
        Self::Failed(value)
    }
}
///Answers an `Execute` or an `OutcomeQuery`.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteReply {
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub load: Load,
    pub outcome: ExecuteOutcome,
    pub request: RequestId,
}
impl ::std::convert::From<&ExecuteReply> for ExecuteReply {
    fn from(value: &ExecuteReply) -> Self {
        value.clone()
    }
}
///Deletes data whose retention period is over.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExpireCommand {
    ///Claims settled and keys of events published before this time are deleted.
    pub claims_before_ms: u64,
    ///Jobs finished and VMs gone before this time are deleted.
    pub jobs_before_ms: u64,
}
impl ::std::convert::From<&ExpireCommand> for ExpireCommand {
    fn from(value: &ExpireCommand) -> Self {
        value.clone()
    }
}
///Image and CPU use of a filler.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct FillerRole {
    ///CPU use at full speed.
    pub cpu_millicores: u32,
    pub image: ::compact_str::CompactString,
}
impl ::std::convert::From<&FillerRole> for FillerRole {
    fn from(value: &FillerRole) -> Self {
        value.clone()
    }
}
///CPU that fillers of an image used within the time over which tail latencies are measured.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct FillerUse {
    pub cpu_millicores: u32,
    pub image: ::compact_str::CompactString,
}
impl ::std::convert::From<&FillerUse> for FillerUse {
    fn from(value: &FillerUse) -> Self {
        value.clone()
    }
}
///Records the ends that a worker listed up to a cursor.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct FinishRuns {
    pub cursor: u64,
    pub ends: ::std::vec::Vec<RunEnd>,
    pub worker: WorkerId,
}
impl ::std::convert::From<&FinishRuns> for FinishRuns {
    fn from(value: &FinishRuns) -> Self {
        value.clone()
    }
}
///The first frame of a link.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub address: ::std::net::SocketAddr,
    pub group: u32,
    pub process: ::compact_str::CompactString,
    pub region: u32,
    pub version: u32,
}
impl ::std::convert::From<&Hello> for Hello {
    fn from(value: &Hello) -> Self {
        value.clone()
    }
}
///Cost of one filler core to a serving task, by their images.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ImageCost {
    pub filler: ::compact_str::CompactString,
    pub headroom_percent: f32,
    pub serving: ::compact_str::CompactString,
}
impl ::std::convert::From<&ImageCost> for ImageCost {
    fn from(value: &ImageCost) -> Self {
        value.clone()
    }
}
///Confirms an accepted job.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobAccepted {
    pub job: JobId,
    ///Whether the key had been accepted before.
    pub resent: bool,
}
impl ::std::convert::From<&JobAccepted> for JobAccepted {
    fn from(value: &JobAccepted) -> Self {
        value.clone()
    }
}
///A batch job or service, with region and group in its upper bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct JobId(pub u64);
impl ::std::ops::Deref for JobId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<JobId> for u64 {
    fn from(value: JobId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&JobId> for JobId {
    fn from(value: &JobId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for JobId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for JobId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for JobId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for JobId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for JobId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for JobId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Identifies a job of a team.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobQuery {
    pub job: JobId,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&JobQuery> for JobQuery {
    fn from(value: &JobQuery) -> Self {
        value.clone()
    }
}
///A job as its caller declares it.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    pub class: ::compact_str::CompactString,
    ///Declared run time of one task; often inaccurate.
    pub declared_run_ms: u64,
    ///Kind of work, by which run times are learned.
    pub kind: ::compact_str::CompactString,
    pub payload: ::compact_str::CompactString,
    ///Resources that one task needs.
    pub resources: Resources,
    ///Subject of the job, which watches match.
    pub subject: ::compact_str::CompactString,
    pub tasks: u32,
}
impl ::std::convert::From<&JobSpec> for JobSpec {
    fn from(value: &JobSpec) -> Self {
        value.clone()
    }
}
///The ratio of actual to declared run times of one kind of task, as learned by leaders.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedRunTime {
    ///Empty for tasks without an image.
    pub image: ::compact_str::CompactString,
    pub log_ratio: f32,
    pub log_variance: f32,
    ///Number of observations, after decay.
    pub observations: u32,
    pub queue: ::compact_str::CompactString,
}
impl ::std::convert::From<&LearnedRunTime> for LearnedRunTime {
    fn from(value: &LearnedRunTime) -> Self {
        value.clone()
    }
}
///Current load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub in_use: u32,
    pub queued: u32,
}
impl ::std::convert::From<&Load> for Load {
    fn from(value: &Load) -> Self {
        value.clone()
    }
}
///One entry of the replicated log.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    pub body: EntryBody,
    pub index: u64,
    pub term: u64,
    ///The leader's clock, never decreasing along the log; the state's only clock.
    pub time_ms: u64,
}
impl ::std::convert::From<&LogEntry> for LogEntry {
    fn from(value: &LogEntry) -> Self {
        value.clone()
    }
}
///A control member and its address.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub address: ::std::net::SocketAddr,
    pub id: MemberId,
}
impl ::std::convert::From<&Member> for Member {
    fn from(value: &Member) -> Self {
        value.clone()
    }
}
///A change to the group's membership.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum MemberChange {
    Add(Member),
    Promote(MemberId),
    Remove(MemberId),
}
impl ::std::convert::From<&Self> for MemberChange {
    fn from(value: &MemberChange) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Member> for MemberChange {
    fn from(value: Member) -> Self {
        Self::Add(value)
    }
}
///Identity of a control member's disk, created once when its data folder is initialised.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);
impl ::std::ops::Deref for MemberId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<MemberId> for u64 {
    fn from(value: MemberId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&MemberId> for MemberId {
    fn from(value: &MemberId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for MemberId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for MemberId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for MemberId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for MemberId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for MemberId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for MemberId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///The voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    pub learners: ::std::vec::Vec<Member>,
    pub voters: ::std::vec::Vec<Member>,
}
impl ::std::convert::From<&Membership> for Membership {
    fn from(value: &Membership) -> Self {
        value.clone()
    }
}
///A message between processes.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Message {
    Raft(RaftMessage),
    ControlRequest(ControlRequest),
    ControlReply(ControlReply),
    AgentHeartbeat(AgentHeartbeat),
    AgentHeartbeatReply(AgentHeartbeatReply),
    AgentOrders(AgentHeartbeatReply),
    EntryHeartbeat(EntryHeartbeat),
    EntryHeartbeatReply(EntryHeartbeatReply),
    Execute(Execute),
    ExecuteReply(ExecuteReply),
    OutcomeQuery(OutcomeQuery),
    EndpointLeaving(EndpointLeaving),
    ConfigFetch(ConfigFetch),
    ConfigUpdate(Configuration),
    NotLeader(::std::option::Option<::std::net::SocketAddr>),
    Join(Member),
    WorkflowCall(WorkflowCall),
    WorkflowAnswer(WorkflowAnswer),
    NodeReport(NodeReport),
    NodeGrant(NodeGrant),
    TimedCall(TimedCall),
}
impl ::std::convert::From<&Self> for Message {
    fn from(value: &Message) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<RaftMessage> for Message {
    fn from(value: RaftMessage) -> Self {
        Self::Raft(value)
    }
}
impl ::std::convert::From<ControlRequest> for Message {
    fn from(value: ControlRequest) -> Self {
        Self::ControlRequest(value)
    }
}
impl ::std::convert::From<ControlReply> for Message {
    fn from(value: ControlReply) -> Self {
        Self::ControlReply(value)
    }
}
impl ::std::convert::From<AgentHeartbeat> for Message {
    fn from(value: AgentHeartbeat) -> Self {
        Self::AgentHeartbeat(value)
    }
}
impl ::std::convert::From<EntryHeartbeat> for Message {
    fn from(value: EntryHeartbeat) -> Self {
        Self::EntryHeartbeat(value)
    }
}
impl ::std::convert::From<EntryHeartbeatReply> for Message {
    fn from(value: EntryHeartbeatReply) -> Self {
        Self::EntryHeartbeatReply(value)
    }
}
impl ::std::convert::From<Execute> for Message {
    fn from(value: Execute) -> Self {
        Self::Execute(value)
    }
}
impl ::std::convert::From<ExecuteReply> for Message {
    fn from(value: ExecuteReply) -> Self {
        Self::ExecuteReply(value)
    }
}
impl ::std::convert::From<OutcomeQuery> for Message {
    fn from(value: OutcomeQuery) -> Self {
        Self::OutcomeQuery(value)
    }
}
impl ::std::convert::From<EndpointLeaving> for Message {
    fn from(value: EndpointLeaving) -> Self {
        Self::EndpointLeaving(value)
    }
}
impl ::std::convert::From<ConfigFetch> for Message {
    fn from(value: ConfigFetch) -> Self {
        Self::ConfigFetch(value)
    }
}
impl ::std::convert::From<Configuration> for Message {
    fn from(value: Configuration) -> Self {
        Self::ConfigUpdate(value)
    }
}
impl ::std::convert::From<::std::option::Option<::std::net::SocketAddr>> for Message {
    fn from(value: ::std::option::Option<::std::net::SocketAddr>) -> Self {
        Self::NotLeader(value)
    }
}
impl ::std::convert::From<Member> for Message {
    fn from(value: Member) -> Self {
        Self::Join(value)
    }
}
impl ::std::convert::From<WorkflowCall> for Message {
    fn from(value: WorkflowCall) -> Self {
        Self::WorkflowCall(value)
    }
}
impl ::std::convert::From<WorkflowAnswer> for Message {
    fn from(value: WorkflowAnswer) -> Self {
        Self::WorkflowAnswer(value)
    }
}
impl ::std::convert::From<NodeReport> for Message {
    fn from(value: NodeReport) -> Self {
        Self::NodeReport(value)
    }
}
impl ::std::convert::From<NodeGrant> for Message {
    fn from(value: NodeGrant) -> Self {
        Self::NodeGrant(value)
    }
}
impl ::std::convert::From<TimedCall> for Message {
    fn from(value: TimedCall) -> Self {
        Self::TimedCall(value)
    }
}
///Messages between the processes of aspenrail, and the commands of its replicated log.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct Messages(pub ::serde_json::Value);
impl ::std::ops::Deref for Messages {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Messages> for ::serde_json::Value {
    fn from(value: Messages) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Messages> for Messages {
    fn from(value: &Messages) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::serde_json::Value> for Messages {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///Answers a node's report with a lease, a cursor and orders.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeGrant {
    pub acked_cursor: u64,
    ///Worker capacity that the orders are based on.
    pub capacity: Resources,
    ///Costs of the images that run on the worker or are ordered there.
    pub costs: ::std::vec::Vec<ImageCost>,
    ///Whether `orders` lists every run that is to start.
    pub is_complete: bool,
    pub lease_ms: u64,
    pub members: ::std::vec::Vec<::std::net::SocketAddr>,
    pub number: u64,
    pub orders: ::std::vec::Vec<RunOrder>,
    ///`sent_ms` of the report, from which the lease counts; 0 grants none.
    pub sent_ms: u64,
    ///Rises with each grant for one registration, to detect late grants.
    pub sequence: u64,
    ///Worker pools that the configuration names; workers of others must not be used.
    pub services: ::std::vec::Vec<::compact_str::CompactString>,
    pub term: u64,
    ///Fencing token for calls to the worker; rises with the term and with each registration.
    pub token: u64,
    ///Name of the worker incarnation that the orders are for.
    pub worker: ::compact_str::CompactString,
}
impl ::std::convert::From<&NodeGrant> for NodeGrant {
    fn from(value: &NodeGrant) -> Self {
        value.clone()
    }
}
///A node's report to the leader and request for a lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeReport {
    pub boot: u64,
    pub node: ::std::net::SocketAddr,
    pub number: u64,
    pub sent_ms: u64,
    ///The worker beside the node, if it is known.
    pub workers: ::std::vec::Vec<WorkerReport>,
}
impl ::std::convert::From<&NodeReport> for NodeReport {
    fn from(value: &NodeReport) -> Self {
        value.clone()
    }
}
///Run ends that a worker knows to be recorded, by the cursors of its list. Ends whose acknowledgement came after the worker's lease ran out are not recorded, and never will be.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct NotedEnds {
    ///Ends after this cursor, up to `lapsed_cursor`, precede the worker's last lease expiry.
    pub lapsed_after_cursor: u64,
    pub lapsed_cursor: u64,
    ///Ends up to this cursor were acknowledged to the worker.
    pub noted_cursor: u64,
}
impl ::std::convert::From<&NotedEnds> for NotedEnds {
    fn from(value: &NotedEnds) -> Self {
        value.clone()
    }
}
///Opens a new session for a VM's agent, superseding any older one.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OpenSessionCommand {
    pub address: ::std::net::SocketAddr,
    ///Random number of the agent's process, so that a resend opens nothing new.
    pub boot: u64,
    pub capacity: Resources,
    pub rack: ::compact_str::CompactString,
    pub vm_name: ::compact_str::CompactString,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&OpenSessionCommand> for OpenSessionCommand {
    fn from(value: &OpenSessionCommand) -> Self {
        value.clone()
    }
}
///An operation that a client requests from a control process.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Operation {
    Propose(Command),
    Query(Query),
    Membership(MemberChange),
    Drain(DrainRequest),
    Evacuate(EvacuateRequest),
}
impl ::std::convert::From<&Self> for Operation {
    fn from(value: &Operation) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Command> for Operation {
    fn from(value: Command) -> Self {
        Self::Propose(value)
    }
}
impl ::std::convert::From<Query> for Operation {
    fn from(value: Query) -> Self {
        Self::Query(value)
    }
}
impl ::std::convert::From<MemberChange> for Operation {
    fn from(value: MemberChange) -> Self {
        Self::Membership(value)
    }
}
impl ::std::convert::From<DrainRequest> for Operation {
    fn from(value: DrainRequest) -> Self {
        Self::Drain(value)
    }
}
impl ::std::convert::From<EvacuateRequest> for Operation {
    fn from(value: EvacuateRequest) -> Self {
        Self::Evacuate(value)
    }
}
///A workflow with its host and path, and the availability zone that it entered by.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OriginatedSubmission {
    pub submission: WorkflowSubmission,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&OriginatedSubmission> for OriginatedSubmission {
    fn from(value: &OriginatedSubmission) -> Self {
        value.clone()
    }
}
///Accepts a workflow of a known caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OriginatedWorkflow {
    pub workflow: SubmitWorkflow,
    ///Availability zone of the gateway that the submission entered by.
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&OriginatedWorkflow> for OriginatedWorkflow {
    fn from(value: &OriginatedWorkflow) -> Self {
        value.clone()
    }
}
///Asks for the outcome of an attempt; an attempt not seen by then never runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeQuery {
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub reply_to: ::std::net::SocketAddr,
    pub request: RequestId,
}
impl ::std::convert::From<&OutcomeQuery> for OutcomeQuery {
    fn from(value: &OutcomeQuery) -> Self {
        value.clone()
    }
}
///Publishes an event to the team's watches on a subject.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishCommand {
    pub body: ::compact_str::CompactString,
    pub key: ::compact_str::CompactString,
    pub subject: ::compact_str::CompactString,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&PublishCommand> for PublishCommand {
    fn from(value: &PublishCommand) -> Self {
        value.clone()
    }
}
///A read answered by the leader under its lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Query {
    Job(JobQuery),
    JobResult(JobQuery),
    Watch(WatchQuery),
    Claim(ClaimQuery),
    View(AdminView),
}
impl ::std::convert::From<&Self> for Query {
    fn from(value: &Query) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<WatchQuery> for Query {
    fn from(value: WatchQuery) -> Self {
        Self::Watch(value)
    }
}
impl ::std::convert::From<ClaimQuery> for Query {
    fn from(value: ClaimQuery) -> Self {
        Self::Claim(value)
    }
}
impl ::std::convert::From<AdminView> for Query {
    fn from(value: AdminView) -> Self {
        Self::View(value)
    }
}
///A queue for workflows, selected by host and path.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    ///Failed runs after which a task has failed.
    pub attempts_max: u32,
    pub host: ::compact_str::CompactString,
    pub name: ::compact_str::CompactString,
    ///Whether its tasks need tickets of a policy service, which are not served yet.
    pub needs_ticket: bool,
    pub path_prefix: ::compact_str::CompactString,
    ///Priority; 0 is the highest.
    pub priority: u32,
    pub service: ::compact_str::CompactString,
    ///Completion target in percent of the workflow's longest chain of work; `target_ms` is added.
    pub stretch_percent: u32,
    ///Constant part of the completion target.
    pub target_ms: u64,
    ///Longest time for one request.
    pub timeout_ms: u64,
}
impl ::std::convert::From<&Queue> for Queue {
    fn from(value: &Queue) -> Self {
        value.clone()
    }
}
///The configuration of the queues; the highest version is in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    ///The document as the operator sent it.
    pub document: ::serde_bytes::ByteBuf,
    pub queues: ::std::vec::Vec<Queue>,
    ///Worker pools that queues may name.
    pub services: ::std::vec::Vec<::compact_str::CompactString>,
    pub version: u64,
}
impl ::std::convert::From<&QueueConfig> for QueueConfig {
    fn from(value: &QueueConfig) -> Self {
        value.clone()
    }
}
///A message between control members.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum RaftBody {
    Vote(VoteRequest),
    VoteReply(VoteReply),
    Append(AppendRequest),
    AppendReply(AppendReply),
    Snapshot(SnapshotChunk),
    SnapshotReply(SnapshotReply),
    TimeoutNow(TimeoutNow),
}
impl ::std::convert::From<&Self> for RaftBody {
    fn from(value: &RaftBody) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<VoteRequest> for RaftBody {
    fn from(value: VoteRequest) -> Self {
        Self::Vote(value)
    }
}
impl ::std::convert::From<VoteReply> for RaftBody {
    fn from(value: VoteReply) -> Self {
        Self::VoteReply(value)
    }
}
impl ::std::convert::From<AppendRequest> for RaftBody {
    fn from(value: AppendRequest) -> Self {
        Self::Append(value)
    }
}
impl ::std::convert::From<AppendReply> for RaftBody {
    fn from(value: AppendReply) -> Self {
        Self::AppendReply(value)
    }
}
impl ::std::convert::From<SnapshotChunk> for RaftBody {
    fn from(value: SnapshotChunk) -> Self {
        Self::Snapshot(value)
    }
}
impl ::std::convert::From<SnapshotReply> for RaftBody {
    fn from(value: SnapshotReply) -> Self {
        Self::SnapshotReply(value)
    }
}
impl ::std::convert::From<TimeoutNow> for RaftBody {
    fn from(value: TimeoutNow) -> Self {
        Self::TimeoutNow(value)
    }
}
///A message between control members, addressed by disk identity.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RaftMessage {
    pub body: RaftBody,
    pub from: MemberId,
    pub to: MemberId,
}
impl ::std::convert::From<&RaftMessage> for RaftMessage {
    fn from(value: &RaftMessage) -> Self {
        value.clone()
    }
}
///Cancels workflows, and refuses the submissions of those that are not known.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedTombstones {
    ///Tombstones recorded before this time, by the log's clock, are dropped.
    pub expired_before_ms: u64,
    pub ids: ::std::vec::Vec<WorkflowId>,
}
impl ::std::convert::From<&RecordedTombstones> for RecordedTombstones {
    fn from(value: &RecordedTombstones) -> Self {
        value.clone()
    }
}
///An error returned to a client.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    pub detail: ::compact_str::CompactString,
    pub kind: ErrorKind,
    ///Time after which to retry; 0 if a retry would not help.
    pub retry_after_ms: u64,
}
impl ::std::convert::From<&Refusal> for Refusal {
    fn from(value: &Refusal) -> Self {
        value.clone()
    }
}
///Why a worker refused a run permanently.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum RefusalCause {
    #[serde(rename = "room")]
    Room,
    #[serde(rename = "superseded")]
    Superseded,
    #[serde(rename = "unhealthy")]
    Unhealthy,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for RefusalCause {
    fn from(value: &RefusalCause) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Room => f.write_str("room"),
            Self::Superseded => f.write_str("superseded"),
            Self::Unhealthy => f.write_str("unhealthy"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for RefusalCause {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "room" => Ok(Self::Room),
            "superseded" => Ok(Self::Superseded),
            "unhealthy" => Ok(Self::Unhealthy),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RefusalCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A run that the worker refused and will not start.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedRun {
    pub cause: RefusalCause,
    pub run: RunRef,
}
impl ::std::convert::From<&RefusedRun> for RefusedRun {
    fn from(value: &RefusedRun) -> Self {
        value.clone()
    }
}
///A submission that was rejected and has not been accepted since.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RejectedCaller {
    pub caller: Caller,
    pub cause: AdmissionCause,
    pub rejections: u32,
    ///Time after which it may return; 0 if it may now.
    pub return_in_ms: u64,
    pub workflow: WorkflowId,
}
impl ::std::convert::From<&RejectedCaller> for RejectedCaller {
    fn from(value: &RejectedCaller) -> Self {
        value.clone()
    }
}
///The answer to a successful operation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Reply {
    Done,
    SessionOpened(SessionOpened),
    Configured(Revision),
    JobAccepted(JobAccepted),
    WatchCreated(WatchId),
    Claim(Claim),
    Document(::compact_str::CompactString),
}
impl ::std::convert::From<&Self> for Reply {
    fn from(value: &Reply) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<SessionOpened> for Reply {
    fn from(value: SessionOpened) -> Self {
        Self::SessionOpened(value)
    }
}
impl ::std::convert::From<Revision> for Reply {
    fn from(value: Revision) -> Self {
        Self::Configured(value)
    }
}
impl ::std::convert::From<JobAccepted> for Reply {
    fn from(value: JobAccepted) -> Self {
        Self::JobAccepted(value)
    }
}
impl ::std::convert::From<WatchId> for Reply {
    fn from(value: WatchId) -> Self {
        Self::WatchCreated(value)
    }
}
impl ::std::convert::From<Claim> for Reply {
    fn from(value: Claim) -> Self {
        Self::Claim(value)
    }
}
impl ::std::convert::From<::compact_str::CompactString> for Reply {
    fn from(value: ::compact_str::CompactString) -> Self {
        Self::Document(value)
    }
}
///Identity of a quick request, unique across restarts of entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestId {
    pub boot: u64,
    pub number: u64,
}
impl ::std::convert::From<&RequestId> for RequestId {
    fn from(value: &RequestId) -> Self {
        value.clone()
    }
}
///Changes the capacity of a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResizeWorker {
    pub capacity: Resources,
    pub worker: WorkerId,
}
impl ::std::convert::From<&ResizeWorker> for ResizeWorker {
    fn from(value: &ResizeWorker) -> Self {
        value.clone()
    }
}
///An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    pub accelerators: u32,
    pub cpu_millicores: u32,
    pub memory_mib: u32,
}
impl ::std::convert::From<&Resources> for Resources {
    fn from(value: &Resources) -> Self {
        value.clone()
    }
}
///A configuration revision: the log index of the change that created it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);
impl ::std::ops::Deref for Revision {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Revision> for u64 {
    fn from(value: Revision) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Revision> for Revision {
    fn from(value: &Revision) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for Revision {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for Revision {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Revision {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for Revision {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///The role of a process as its peers see it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum Role {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "agent")]
    Agent,
    #[serde(rename = "control")]
    Control,
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
///The end of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunEnd {
    pub checkpoint: ::compact_str::CompactString,
    pub outcome: RunOutcome,
    pub run: RunRef,
}
impl ::std::convert::From<&RunEnd> for RunEnd {
    fn from(value: &RunEnd) -> Self {
        value.clone()
    }
}
///An order for a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum RunOrder {
    Start(StartRun),
    Stop(RunRef),
    Role(RunRole),
}
impl ::std::convert::From<&Self> for RunOrder {
    fn from(value: &RunOrder) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<StartRun> for RunOrder {
    fn from(value: StartRun) -> Self {
        Self::Start(value)
    }
}
impl ::std::convert::From<RunRef> for RunOrder {
    fn from(value: RunRef) -> Self {
        Self::Stop(value)
    }
}
impl ::std::convert::From<RunRole> for RunOrder {
    fn from(value: RunRole) -> Self {
        Self::Role(value)
    }
}
///How a run ended. `crashed`: its worker crashed; `crashed_unseen`: it may have begun on a worker that crashed, but was not seen running; `lapsed`: its worker was lost otherwise.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum RunOutcome {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "lapsed")]
    Lapsed,
    #[serde(rename = "broken")]
    Broken,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "crashed")]
    Crashed,
    #[serde(rename = "crashed_unseen")]
    CrashedUnseen,
}
impl ::std::convert::From<&Self> for RunOutcome {
    fn from(value: &RunOutcome) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Done => f.write_str("done"),
            Self::Failed => f.write_str("failed"),
            Self::Stopped => f.write_str("stopped"),
            Self::Lapsed => f.write_str("lapsed"),
            Self::Broken => f.write_str("broken"),
            Self::Alone => f.write_str("alone"),
            Self::Crashed => f.write_str("crashed"),
            Self::CrashedUnseen => f.write_str("crashed_unseen"),
        }
    }
}
impl ::std::str::FromStr for RunOutcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "done" => Ok(Self::Done),
            "failed" => Ok(Self::Failed),
            "stopped" => Ok(Self::Stopped),
            "lapsed" => Ok(Self::Lapsed),
            "broken" => Ok(Self::Broken),
            "alone" => Ok(Self::Alone),
            "crashed" => Ok(Self::Crashed),
            "crashed_unseen" => Ok(Self::CrashedUnseen),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RunOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RunOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RunOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A run and the worker it is placed on.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunPlacement {
    pub run: RunRef,
    pub worker: WorkerId,
}
impl ::std::convert::From<&RunPlacement> for RunPlacement {
    fn from(value: &RunPlacement) -> Self {
        value.clone()
    }
}
///One run of a task; run numbers begin at 1 and increase with each start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRef {
    pub run: u32,
    pub task: TaskRef,
}
impl ::std::convert::From<&RunRef> for RunRef {
    fn from(value: &RunRef) -> Self {
        value.clone()
    }
}
///Notifies a node of the role of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRole {
    pub role: TaskRole,
    pub run: RunRef,
}
impl ::std::convert::From<&RunRole> for RunRole {
    fn from(value: &RunRole) -> Self {
        value.clone()
    }
}
///A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    pub checkpoint: ::compact_str::CompactString,
    ///Tail latency in ms of a serving task, else CPU use in millicores.
    pub load: u32,
    pub progress_percent: u32,
    pub run: RunRef,
}
impl ::std::convert::From<&RunningTask> for RunningTask {
    fn from(value: &RunningTask) -> Self {
        value.clone()
    }
}
///Image and latency bound of a serving task.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServingRole {
    pub image: ::compact_str::CompactString,
    ///Upper bound for the tail latency.
    pub target_ms: u64,
}
impl ::std::convert::From<&ServingRole> for ServingRole {
    fn from(value: &ServingRole) -> Self {
        value.clone()
    }
}
///The reason why a session ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum SessionEnd {
    #[serde(rename = "expired")]
    Expired,
    #[serde(rename = "left")]
    Left,
    #[serde(rename = "superseded")]
    Superseded,
}
impl ::std::convert::From<&Self> for SessionEnd {
    fn from(value: &SessionEnd) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Expired => f.write_str("expired"),
            Self::Left => f.write_str("left"),
            Self::Superseded => f.write_str("superseded"),
        }
    }
}
impl ::std::str::FromStr for SessionEnd {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "expired" => Ok(Self::Expired),
            "left" => Ok(Self::Left),
            "superseded" => Ok(Self::Superseded),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SessionEnd {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SessionEnd {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SessionEnd {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One run of an agent: the log index of the command that opened it, so newer sessions have higher ids.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct SessionId(pub u64);
impl ::std::ops::Deref for SessionId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<SessionId> for u64 {
    fn from(value: SessionId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&SessionId> for SessionId {
    fn from(value: &SessionId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for SessionId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for SessionId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for SessionId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for SessionId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for SessionId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for SessionId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Confirms an opened session.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SessionOpened {
    pub session: SessionId,
    pub vm: VmId,
}
impl ::std::convert::From<&SessionOpened> for SessionOpened {
    fn from(value: &SessionOpened) -> Self {
        value.clone()
    }
}
///Whether the leader renewed the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum SessionVerdict {
    #[serde(rename = "renewed")]
    Renewed,
    #[serde(rename = "ended")]
    Ended,
}
impl ::std::convert::From<&Self> for SessionVerdict {
    fn from(value: &SessionVerdict) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for SessionVerdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Renewed => f.write_str("renewed"),
            Self::Ended => f.write_str("ended"),
        }
    }
}
impl ::std::str::FromStr for SessionVerdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "renewed" => Ok(Self::Renewed),
            "ended" => Ok(Self::Ended),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SessionVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SessionVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SessionVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Records how a claimed attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettleCommand {
    pub attempt: u32,
    pub key: ::compact_str::CompactString,
    pub outcome: ClaimOutcome,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&SettleCommand> for SettleCommand {
    fn from(value: &SettleCommand) -> Self {
        value.clone()
    }
}
///Settles recorded failures by whether their workers learned of the record.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettleFailures {
    ///Failures that count as attempts.
    pub counted: ::std::vec::Vec<RunRef>,
    ///Failures that do not count: the worker's lease ran out before it learned of the record.
    pub lapsed: ::std::vec::Vec<RunRef>,
}
impl ::std::convert::From<&SettleFailures> for SettleFailures {
    fn from(value: &SettleFailures) -> Self {
        value.clone()
    }
}
///Part of a snapshot for a member that is far behind.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotChunk {
    ///Checksum of the whole snapshot.
    pub checksum: u32,
    pub data: ::serde_bytes::ByteBuf,
    pub index: u64,
    pub index_term: u64,
    pub members: Membership,
    pub offset_bytes: u64,
    pub sent_ms: u64,
    pub term: u64,
    pub total_bytes: u64,
}
impl ::std::convert::From<&SnapshotChunk> for SnapshotChunk {
    fn from(value: &SnapshotChunk) -> Self {
        value.clone()
    }
}
///Answers a snapshot chunk.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotReply {
    pub index: u64,
    pub next_offset_bytes: u64,
    pub sent_ms: u64,
    pub term: u64,
}
impl ::std::convert::From<&SnapshotReply> for SnapshotReply {
    fn from(value: &SnapshotReply) -> Self {
        value.clone()
    }
}
///Places a queued task on a VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartCommand {
    ///Task incarnation that this start makes, one above the last.
    pub incarnation: u32,
    pub session: SessionId,
    pub task: TaskId,
    pub vm: VmId,
}
impl ::std::convert::From<&StartCommand> for StartCommand {
    fn from(value: &StartCommand) -> Self {
        value.clone()
    }
}
///Starts a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartRun {
    pub checkpoint: ::compact_str::CompactString,
    pub payload: ::compact_str::CompactString,
    pub role: TaskRole,
    pub run: RunRef,
}
impl ::std::convert::From<&StartRun> for StartRun {
    fn from(value: &StartRun) -> Self {
        value.clone()
    }
}
///The stored answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    pub body: ::compact_str::CompactString,
    ///Whether the body was small enough to be stored.
    pub body_kept: bool,
    pub content_type: ::compact_str::CompactString,
    pub status: u16,
}
impl ::std::convert::From<&StoredAnswer> for StoredAnswer {
    fn from(value: &StoredAnswer) -> Self {
        value.clone()
    }
}
///Accepts a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitCommand {
    pub key: ::compact_str::CompactString,
    pub spec: JobSpec,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&SubmitCommand> for SubmitCommand {
    fn from(value: &SubmitCommand) -> Self {
        value.clone()
    }
}
///Accepts a workflow.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitWorkflow {
    pub accepted_ms: u64,
    pub id: WorkflowId,
    pub queue: ::compact_str::CompactString,
    pub spec: WorkflowSpec,
}
impl ::std::convert::From<&SubmitWorkflow> for SubmitWorkflow {
    fn from(value: &SubmitWorkflow) -> Self {
        value.clone()
    }
}
///What an agent must do with a task incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum TaskAction {
    Start(TaskStart),
    Checkpoint,
    Stop,
    Throttle(u32),
    Forget,
}
impl ::std::convert::From<&Self> for TaskAction {
    fn from(value: &TaskAction) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<TaskStart> for TaskAction {
    fn from(value: TaskStart) -> Self {
        Self::Start(value)
    }
}
impl ::std::convert::From<u32> for TaskAction {
    fn from(value: u32) -> Self {
        Self::Throttle(value)
    }
}
///An event of a task incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum TaskEvent {
    Running,
    Completed(Completion),
    Failed(::compact_str::CompactString),
    EvictRequested,
    Evicted(Checkpoint),
    Stopped,
    DeadLetter(::compact_str::CompactString),
}
impl ::std::convert::From<&Self> for TaskEvent {
    fn from(value: &TaskEvent) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Completion> for TaskEvent {
    fn from(value: Completion) -> Self {
        Self::Completed(value)
    }
}
impl ::std::convert::From<Checkpoint> for TaskEvent {
    fn from(value: Checkpoint) -> Self {
        Self::Evicted(value)
    }
}
///Records an event of a task incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskEventCommand {
    pub event: TaskEvent,
    pub incarnation: u32,
    pub task: TaskId,
}
impl ::std::convert::From<&TaskEventCommand> for TaskEventCommand {
    fn from(value: &TaskEventCommand) -> Self {
        value.clone()
    }
}
///One task of a job, with region and group in its upper bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct TaskId(pub u64);
impl ::std::ops::Deref for TaskId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<TaskId> for u64 {
    fn from(value: TaskId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&TaskId> for TaskId {
    fn from(value: &TaskId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for TaskId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for TaskId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for TaskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for TaskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for TaskId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///An order for a task incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskOrder {
    pub action: TaskAction,
    pub incarnation: u32,
    pub task: TaskId,
}
impl ::std::convert::From<&TaskOrder> for TaskOrder {
    fn from(value: &TaskOrder) -> Self {
        value.clone()
    }
}
///The phase of a task as its agent reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum TaskPhase {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "checkpointing")]
    Checkpointing,
    #[serde(rename = "completed")]
    Completed,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "evicted")]
    Evicted,
    #[serde(rename = "stopped")]
    Stopped,
}
impl ::std::convert::From<&Self> for TaskPhase {
    fn from(value: &TaskPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for TaskPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Starting => f.write_str("starting"),
            Self::Running => f.write_str("running"),
            Self::Checkpointing => f.write_str("checkpointing"),
            Self::Completed => f.write_str("completed"),
            Self::Failed => f.write_str("failed"),
            Self::Evicted => f.write_str("evicted"),
            Self::Stopped => f.write_str("stopped"),
        }
    }
}
impl ::std::str::FromStr for TaskPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "starting" => Ok(Self::Starting),
            "running" => Ok(Self::Running),
            "checkpointing" => Ok(Self::Checkpointing),
            "completed" => Ok(Self::Completed),
            "failed" => Ok(Self::Failed),
            "evicted" => Ok(Self::Evicted),
            "stopped" => Ok(Self::Stopped),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A task of a workflow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRef {
    pub index: u32,
    pub occurrence: u32,
    pub step: u32,
    pub workflow: WorkflowId,
}
impl ::std::convert::From<&TaskRef> for TaskRef {
    fn from(value: &TaskRef) -> Self {
        value.clone()
    }
}
///An agent's report on one task.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    ///Result, checkpoint or failure, depending on the phase.
    pub detail: ::compact_str::CompactString,
    pub incarnation: u32,
    pub phase: TaskPhase,
    pub run_ms: u64,
    pub task: TaskId,
}
impl ::std::convert::From<&TaskReport> for TaskReport {
    fn from(value: &TaskReport) -> Self {
        value.clone()
    }
}
///How a task takes part in the throttling of fillers.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum TaskRole {
    Plain,
    Serving(ServingRole),
    Filler(FillerRole),
}
impl ::std::convert::From<&Self> for TaskRole {
    fn from(value: &TaskRole) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ServingRole> for TaskRole {
    fn from(value: ServingRole) -> Self {
        Self::Serving(value)
    }
}
impl ::std::convert::From<FillerRole> for TaskRole {
    fn from(value: FillerRole) -> Self {
        Self::Filler(value)
    }
}
///Everything that an agent needs to start a task.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    pub checkpoint: ::compact_str::CompactString,
    pub class: ::compact_str::CompactString,
    pub kind: ::compact_str::CompactString,
    pub payload: ::compact_str::CompactString,
    pub resources: Resources,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&TaskStart> for TaskStart {
    fn from(value: &TaskStart) -> Self {
        value.clone()
    }
}
///The state of a task in the replicated state.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum TaskState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "checkpointing")]
    Checkpointing,
    #[serde(rename = "evicted")]
    Evicted,
    #[serde(rename = "resuming")]
    Resuming,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "completed")]
    Completed,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "dead_letter")]
    DeadLetter,
}
impl ::std::convert::From<&Self> for TaskState {
    fn from(value: &TaskState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for TaskState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Queued => f.write_str("queued"),
            Self::Starting => f.write_str("starting"),
            Self::Running => f.write_str("running"),
            Self::Checkpointing => f.write_str("checkpointing"),
            Self::Evicted => f.write_str("evicted"),
            Self::Resuming => f.write_str("resuming"),
            Self::Stopping => f.write_str("stopping"),
            Self::Completed => f.write_str("completed"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::DeadLetter => f.write_str("dead_letter"),
        }
    }
}
impl ::std::str::FromStr for TaskState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "queued" => Ok(Self::Queued),
            "starting" => Ok(Self::Starting),
            "running" => Ok(Self::Running),
            "checkpointing" => Ok(Self::Checkpointing),
            "evicted" => Ok(Self::Evicted),
            "resuming" => Ok(Self::Resuming),
            "stopping" => Ok(Self::Stopping),
            "completed" => Ok(Self::Completed),
            "cancelled" => Ok(Self::Cancelled),
            "dead_letter" => Ok(Self::DeadLetter),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A team with its quota.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    ///Maximum number of unfinished jobs of the team.
    pub jobs_open_max: u32,
    pub name: ::compact_str::CompactString,
    pub quota: Resources,
    ///Maximum number of quick requests of the team in flight per entry.
    pub requests_in_flight_max: u32,
}
impl ::std::convert::From<&Team> for Team {
    fn from(value: &Team) -> Self {
        value.clone()
    }
}
///A request forwarded to the leader, with the time for which its client waits.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimedCall {
    pub call: WorkflowCall,
    ///Time from the forwarding until the client stops waiting.
    pub remaining_ms: u64,
}
impl ::std::convert::From<&TimedCall> for TimedCall {
    fn from(value: &TimedCall) -> Self {
        value.clone()
    }
}
///Tells a caught-up voter to start an election at once.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimeoutNow {
    pub term: u64,
}
impl ::std::convert::From<&TimeoutNow> for TimeoutNow {
    fn from(value: &TimeoutNow) -> Self {
        value.clone()
    }
}
///Measured resource usage of a VM.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    ///Age of the worker's measurement.
    pub age_ms: u32,
    pub cpu_millicores: u32,
    pub memory_mib: u32,
}
impl ::std::convert::From<&Usage> for Usage {
    fn from(value: &Usage) -> Self {
        value.clone()
    }
}
///Sets the draining and quarantine flags of a VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmFlagsCommand {
    pub draining: bool,
    pub quarantined: bool,
    pub vm: VmId,
}
impl ::std::convert::From<&VmFlagsCommand> for VmFlagsCommand {
    fn from(value: &VmFlagsCommand) -> Self {
        value.clone()
    }
}
///A VM known to control, numbered in the order of first announcement.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct VmId(pub u32);
impl ::std::ops::Deref for VmId {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<VmId> for u32 {
    fn from(value: VmId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&VmId> for VmId {
    fn from(value: &VmId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u32> for VmId {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for VmId {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for VmId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for VmId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for VmId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for VmId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Voids runs that never began and never will.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VoidRuns {
    pub runs: ::std::vec::Vec<RunRef>,
    pub worker: WorkerId,
}
impl ::std::convert::From<&VoidRuns> for VoidRuns {
    fn from(value: &VoidRuns) -> Self {
        value.clone()
    }
}
///Answers a vote request.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VoteReply {
    pub granted: bool,
    pub pre_vote: bool,
    pub term: u64,
}
impl ::std::convert::From<&VoteReply> for VoteReply {
    fn from(value: &VoteReply) -> Self {
        value.clone()
    }
}
///Requests a vote, or asks whether it would be granted (`pre_vote`).
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VoteRequest {
    pub last_index: u64,
    pub last_term: u64,
    pub pre_vote: bool,
    pub term: u64,
    ///Whether the leader itself requested this election.
    pub transfer: bool,
}
impl ::std::convert::From<&VoteRequest> for VoteRequest {
    fn from(value: &VoteRequest) -> Self {
        value.clone()
    }
}
///Why tasks of a step have no worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum WaitCause {
    #[serde(rename = "no_worker")]
    NoWorker,
    #[serde(rename = "no_capacity")]
    NoCapacity,
    #[serde(rename = "no_capacity_in_one_piece")]
    NoCapacityInOnePiece,
    #[serde(rename = "probation")]
    Probation,
    #[serde(rename = "recent_crashes")]
    RecentCrashes,
    #[serde(rename = "next_plan")]
    NextPlan,
}
impl ::std::convert::From<&Self> for WaitCause {
    fn from(value: &WaitCause) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for WaitCause {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NoWorker => f.write_str("no_worker"),
            Self::NoCapacity => f.write_str("no_capacity"),
            Self::NoCapacityInOnePiece => f.write_str("no_capacity_in_one_piece"),
            Self::Probation => f.write_str("probation"),
            Self::RecentCrashes => f.write_str("recent_crashes"),
            Self::NextPlan => f.write_str("next_plan"),
        }
    }
}
impl ::std::str::FromStr for WaitCause {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no_worker" => Ok(Self::NoWorker),
            "no_capacity" => Ok(Self::NoCapacity),
            "no_capacity_in_one_piece" => Ok(Self::NoCapacityInOnePiece),
            "probation" => Ok(Self::Probation),
            "recent_crashes" => Ok(Self::RecentCrashes),
            "next_plan" => Ok(Self::NextPlan),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WaitCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for WaitCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WaitCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Who waits for capacity, and who was rejected lately.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WaitingReport {
    ///The first rejected first.
    pub rejected: ::std::vec::Vec<RejectedCaller>,
    ///The most urgent ones.
    pub steps: ::std::vec::Vec<WaitingStep>,
    ///Steps with tasks that wait, listed or not.
    pub steps_total: u64,
}
impl ::std::convert::From<&WaitingReport> for WaitingReport {
    fn from(value: &WaitingReport) -> Self {
        value.clone()
    }
}
///A step with tasks that wait for a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WaitingStep {
    pub best_effort: bool,
    pub caller: Caller,
    pub cause: WaitCause,
    ///Time until the workflow's end, which one in ten such forecasts exceeds; 0 if it is unknown.
    pub late_end_ms: u64,
    pub long_running: bool,
    ///Time until the workflow's end, which half of such forecasts exceed; 0 if it is unknown.
    pub median_end_ms: u64,
    ///Resources that one task needs.
    pub need: Resources,
    pub occurrence: u32,
    ///When the workflow was accepted or became due, in ms since the Unix epoch.
    pub since_ms: u64,
    pub step: u32,
    ///Tasks that wait.
    pub tasks: u32,
    pub workflow: WorkflowId,
}
impl ::std::convert::From<&WaitingStep> for WaitingStep {
    fn from(value: &WaitingStep) -> Self {
        value.clone()
    }
}
///One event of a watch, read by cursor.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchEvent {
    pub at_ms: u64,
    pub body: ::compact_str::CompactString,
    pub cursor: u64,
    pub subject: ::compact_str::CompactString,
}
impl ::std::convert::From<&WatchEvent> for WatchEvent {
    fn from(value: &WatchEvent) -> Self {
        value.clone()
    }
}
///A durable subscription, with region and group in its upper bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct WatchId(pub u64);
impl ::std::ops::Deref for WatchId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<WatchId> for u64 {
    fn from(value: WatchId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&WatchId> for WatchId {
    fn from(value: &WatchId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for WatchId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for WatchId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for WatchId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for WatchId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for WatchId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for WatchId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Reads a watch from a cursor.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchQuery {
    pub cursor: u64,
    pub team: ::compact_str::CompactString,
    pub watch: WatchId,
}
impl ::std::convert::From<&WatchQuery> for WatchQuery {
    fn from(value: &WatchQuery) -> Self {
        value.clone()
    }
}
///A worker incarnation, numbered when it registers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct WorkerId(pub u64);
impl ::std::ops::Deref for WorkerId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<WorkerId> for u64 {
    fn from(value: WorkerId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&WorkerId> for WorkerId {
    fn from(value: &WorkerId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for WorkerId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for WorkerId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for WorkerId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for WorkerId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for WorkerId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///The state of a worker as its node knows it.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    pub capacity: Resources,
    pub draining: bool,
    pub ended: ::std::vec::Vec<EndedRun>,
    ///CPU used by fillers that ended within the time over which tail latencies are measured.
    pub faded: ::std::vec::Vec<FillerUse>,
    ///Whether the worker has left permanently.
    pub gone: bool,
    pub kind: ::compact_str::CompactString,
    pub name: ::compact_str::CompactString,
    pub noted: NotedEnds,
    pub rack: ::compact_str::CompactString,
    pub refused: ::std::vec::Vec<RefusedRun>,
    pub remaining_ms: u64,
    ///Whether the node lacks the role of a listed run.
    pub roles_missing: bool,
    pub running: ::std::vec::Vec<RunningTask>,
    pub service: ::compact_str::CompactString,
    ///Term of the leader under which the lists were read; 0 if none were read.
    pub term: u64,
    pub zone: ::compact_str::CompactString,
}
impl ::std::convert::From<&WorkerReport> for WorkerReport {
    fn from(value: &WorkerReport) -> Self {
        value.clone()
    }
}
///How slow a worker is, as learned by leaders.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpeed {
    pub log_slowdown: f32,
    pub log_variance: f32,
    ///When it was last observed, by the log's clock.
    pub observed_ms: u64,
    pub worker: WorkerId,
}
impl ::std::convert::From<&WorkerSpeed> for WorkerSpeed {
    fn from(value: &WorkerSpeed) -> Self {
        value.clone()
    }
}
///Answers a `WorkflowCall`.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowAnswer {
    pub id: u64,
    ///Addresses of the members of the control group.
    pub members: ::std::vec::Vec<::std::net::SocketAddr>,
    pub outcome: WorkflowOutcome,
}
impl ::std::convert::From<&WorkflowAnswer> for WorkflowAnswer {
    fn from(value: &WorkflowAnswer) -> Self {
        value.clone()
    }
}
///A request forwarded to the leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowCall {
    pub id: u64,
    pub reply_to: ::std::net::SocketAddr,
    pub request: WorkflowRequest,
}
impl ::std::convert::From<&WorkflowCall> for WorkflowCall {
    fn from(value: &WorkflowCall) -> Self {
        value.clone()
    }
}
///A change to the replicated state of workflows.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum WorkflowCommand {
    Install(QueueConfig),
    Submit(SubmitWorkflow),
    Cancel(WorkflowId),
    Begin(::std::vec::Vec<RunPlacement>),
    Finish(FinishRuns),
    Void(VoidRuns),
    Enrol(EnrolWorker),
    Dismiss(WorkerId),
    Forget(u64),
    Learn(::std::vec::Vec<ImageCost>),
    Evacuate(EvacuateZone),
    Resize(ResizeWorker),
    Settle(SettleFailures),
    SubmitFrom(OriginatedWorkflow),
    LearnRunTimes(::std::vec::Vec<LearnedRunTime>),
    LearnSpeeds(::std::vec::Vec<WorkerSpeed>),
    ConfirmBegun(::std::vec::Vec<WorkflowId>),
    RecordTombstones(RecordedTombstones),
}
impl ::std::convert::From<&Self> for WorkflowCommand {
    fn from(value: &WorkflowCommand) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<QueueConfig> for WorkflowCommand {
    fn from(value: QueueConfig) -> Self {
        Self::Install(value)
    }
}
impl ::std::convert::From<SubmitWorkflow> for WorkflowCommand {
    fn from(value: SubmitWorkflow) -> Self {
        Self::Submit(value)
    }
}
impl ::std::convert::From<WorkflowId> for WorkflowCommand {
    fn from(value: WorkflowId) -> Self {
        Self::Cancel(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<RunPlacement>> for WorkflowCommand {
    fn from(value: ::std::vec::Vec<RunPlacement>) -> Self {
        Self::Begin(value)
    }
}
impl ::std::convert::From<FinishRuns> for WorkflowCommand {
    fn from(value: FinishRuns) -> Self {
        Self::Finish(value)
    }
}
impl ::std::convert::From<VoidRuns> for WorkflowCommand {
    fn from(value: VoidRuns) -> Self {
        Self::Void(value)
    }
}
impl ::std::convert::From<EnrolWorker> for WorkflowCommand {
    fn from(value: EnrolWorker) -> Self {
        Self::Enrol(value)
    }
}
impl ::std::convert::From<WorkerId> for WorkflowCommand {
    fn from(value: WorkerId) -> Self {
        Self::Dismiss(value)
    }
}
impl ::std::convert::From<u64> for WorkflowCommand {
    fn from(value: u64) -> Self {
        Self::Forget(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<ImageCost>> for WorkflowCommand {
    fn from(value: ::std::vec::Vec<ImageCost>) -> Self {
        Self::Learn(value)
    }
}
impl ::std::convert::From<EvacuateZone> for WorkflowCommand {
    fn from(value: EvacuateZone) -> Self {
        Self::Evacuate(value)
    }
}
impl ::std::convert::From<ResizeWorker> for WorkflowCommand {
    fn from(value: ResizeWorker) -> Self {
        Self::Resize(value)
    }
}
impl ::std::convert::From<SettleFailures> for WorkflowCommand {
    fn from(value: SettleFailures) -> Self {
        Self::Settle(value)
    }
}
impl ::std::convert::From<OriginatedWorkflow> for WorkflowCommand {
    fn from(value: OriginatedWorkflow) -> Self {
        Self::SubmitFrom(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<LearnedRunTime>> for WorkflowCommand {
    fn from(value: ::std::vec::Vec<LearnedRunTime>) -> Self {
        Self::LearnRunTimes(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<WorkerSpeed>> for WorkflowCommand {
    fn from(value: ::std::vec::Vec<WorkerSpeed>) -> Self {
        Self::LearnSpeeds(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<WorkflowId>> for WorkflowCommand {
    fn from(value: ::std::vec::Vec<WorkflowId>) -> Self {
        Self::ConfirmBegun(value)
    }
}
impl ::std::convert::From<RecordedTombstones> for WorkflowCommand {
    fn from(value: RecordedTombstones) -> Self {
        Self::RecordTombstones(value)
    }
}
///Identity of a workflow, chosen by its client.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(transparent)]
pub struct WorkflowId(pub u64);
impl ::std::ops::Deref for WorkflowId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<WorkflowId> for u64 {
    fn from(value: WorkflowId) -> Self {
        value.0
    }
}
impl ::std::convert::From<&WorkflowId> for WorkflowId {
    fn from(value: &WorkflowId) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for WorkflowId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for WorkflowId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for WorkflowId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&String> for WorkflowId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for WorkflowId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::fmt::Display for WorkflowId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum WorkflowOutcome {
    Accepted,
    Gone,
    NotFound,
    NoConfig,
    Pong,
    Interrupted,
    Unserved,
    Stale,
    Phase(WorkflowPhase),
    Pending(u64),
    Config(QueueConfig),
    Invalid(::compact_str::CompactString),
    Busy(u64),
    NotLeader(::std::option::Option<::std::net::SocketAddr>),
    Evacuations(Evacuations),
    Rejected(AdmissionRejection),
    Waiting(WaitingReport),
}
impl ::std::convert::From<&Self> for WorkflowOutcome {
    fn from(value: &WorkflowOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<WorkflowPhase> for WorkflowOutcome {
    fn from(value: WorkflowPhase) -> Self {
        Self::Phase(value)
    }
}
impl ::std::convert::From<QueueConfig> for WorkflowOutcome {
    fn from(value: QueueConfig) -> Self {
        Self::Config(value)
    }
}
impl ::std::convert::From<::compact_str::CompactString> for WorkflowOutcome {
    fn from(value: ::compact_str::CompactString) -> Self {
        Self::Invalid(value)
    }
}
impl ::std::convert::From<::std::option::Option<::std::net::SocketAddr>>
for WorkflowOutcome {
    fn from(value: ::std::option::Option<::std::net::SocketAddr>) -> Self {
        Self::NotLeader(value)
    }
}
impl ::std::convert::From<Evacuations> for WorkflowOutcome {
    fn from(value: Evacuations) -> Self {
        Self::Evacuations(value)
    }
}
impl ::std::convert::From<AdmissionRejection> for WorkflowOutcome {
    fn from(value: AdmissionRejection) -> Self {
        Self::Rejected(value)
    }
}
impl ::std::convert::From<WaitingReport> for WorkflowOutcome {
    fn from(value: WaitingReport) -> Self {
        Self::Waiting(value)
    }
}
///The phase of a workflow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum WorkflowPhase {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "completed")]
    Completed,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "cancelled")]
    Cancelled,
}
impl ::std::convert::From<&Self> for WorkflowPhase {
    fn from(value: &WorkflowPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for WorkflowPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Queued => f.write_str("queued"),
            Self::Running => f.write_str("running"),
            Self::Completed => f.write_str("completed"),
            Self::Failed => f.write_str("failed"),
            Self::Cancelled => f.write_str("cancelled"),
        }
    }
}
impl ::std::str::FromStr for WorkflowPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "queued" => Ok(Self::Queued),
            "running" => Ok(Self::Running),
            "completed" => Ok(Self::Completed),
            "failed" => Ok(Self::Failed),
            "cancelled" => Ok(Self::Cancelled),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WorkflowPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for WorkflowPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WorkflowPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A request of a client or operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
pub enum WorkflowRequest {
    ReadConfig,
    Ping,
    ReadEvacuations,
    Submit(WorkflowSubmission),
    Inspect(WorkflowTarget),
    Cancel(WorkflowTarget),
    Install(QueueConfig),
    Evacuate(EvacuateRequest),
    SubmitFrom(OriginatedSubmission),
    ReadWaiting(u32),
}
impl ::std::convert::From<&Self> for WorkflowRequest {
    fn from(value: &WorkflowRequest) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<WorkflowSubmission> for WorkflowRequest {
    fn from(value: WorkflowSubmission) -> Self {
        Self::Submit(value)
    }
}
impl ::std::convert::From<QueueConfig> for WorkflowRequest {
    fn from(value: QueueConfig) -> Self {
        Self::Install(value)
    }
}
impl ::std::convert::From<EvacuateRequest> for WorkflowRequest {
    fn from(value: EvacuateRequest) -> Self {
        Self::Evacuate(value)
    }
}
impl ::std::convert::From<OriginatedSubmission> for WorkflowRequest {
    fn from(value: OriginatedSubmission) -> Self {
        Self::SubmitFrom(value)
    }
}
impl ::std::convert::From<u32> for WorkflowRequest {
    fn from(value: u32) -> Self {
        Self::ReadWaiting(value)
    }
}
///A workflow as its client submits it.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSpec {
    ///Time of day of the first occurrence.
    pub first_run_ms: u64,
    pub interval_ms: u64,
    ///Opaque payload for the worker.
    pub payload: ::compact_str::CompactString,
    ///Number of occurrences; 0 for one, at once.
    pub repeat_count: u32,
    pub steps: ::std::vec::Vec<WorkflowStep>,
}
impl ::std::convert::From<&WorkflowSpec> for WorkflowSpec {
    fn from(value: &WorkflowSpec) -> Self {
        value.clone()
    }
}
///A step of a workflow: tasks with the same requirements.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowStep {
    ///Indexes of earlier steps that must complete first.
    pub after: ::std::vec::Vec<u32>,
    ///Whether the tasks save checkpoints as they run.
    pub checkpoints: bool,
    ///Number of tasks.
    pub count: u32,
    ///Rack that holds the data; empty for none.
    pub data_rack: ::compact_str::CompactString,
    ///Whether copies of a task may run at once.
    pub duplicates: bool,
    ///Declared run time of a task; often inaccurate.
    pub estimate_ms: u64,
    ///Whether the tasks are best-effort (fillers): they use only capacity that other tasks leave idle.
    pub filler: bool,
    ///Whether all tasks must run together or not at all.
    pub gang: bool,
    ///Image that the tasks run; equal images behave alike.
    pub image: ::compact_str::CompactString,
    ///Whether the tasks are long-running: they run until the workflow is cancelled.
    pub lasting: bool,
    ///Resources that one task reserves.
    pub need: Resources,
    ///Maximum number of tasks of the step on one worker; 0 for no limit.
    pub per_worker_max: u32,
    ///Required worker kind; empty for any.
    pub required_label: ::compact_str::CompactString,
    ///Whether the gang runs slowly across racks.
    pub same_rack: bool,
    ///Upper bound for the tail latency of a serving task; 0 for none.
    pub tail_target_ms: u64,
    ///Maximum number of tasks that the scheduler may make unavailable at once; 0 for no guarantee.
    pub unavailable_max: u32,
}
impl ::std::convert::From<&WorkflowStep> for WorkflowStep {
    fn from(value: &WorkflowStep) -> Self {
        value.clone()
    }
}
///A workflow with its host and path.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSubmission {
    pub spec: WorkflowSpec,
    pub target: WorkflowTarget,
}
impl ::std::convert::From<&WorkflowSubmission> for WorkflowSubmission {
    fn from(value: &WorkflowSubmission) -> Self {
        value.clone()
    }
}
///Host and path that a client names.
#[derive(Clone, Debug, PartialEq)]
#[derive(::serde::Deserialize, ::serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowTarget {
    pub host: ::compact_str::CompactString,
    pub path: ::compact_str::CompactString,
}
impl ::std::convert::From<&WorkflowTarget> for WorkflowTarget {
    fn from(value: &WorkflowTarget) -> Self {
        value.clone()
    }
}
