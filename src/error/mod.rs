//! The closed list of error kinds, and the table that maps each kind to its answer.
//!
//! Errors inside the process are [`Report`]s over one opaque [`Error`], with context attached at
//! each layer. Errors sent to a client are a [`Refusal`]. The answer to a refusal is always taken
//! from [`answer_for_error`], and not decided by the code that refuses.

use std::fmt;

use compact_str::CompactString;
use error_stack::Report;

pub use crate::schema::messages::{ErrorKind, Refusal};

/// A result whose error is a [`Report`] with context, unless another type is given.
pub type Result<T, E = Report<Error>> = std::result::Result<T, E>;

/// An error of this process: a kind of the closed list and a message that names the bad value.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    message: CompactString,
}

impl Error {
    pub fn new(kind: ErrorKind, message: impl Into<CompactString>) -> Error {
        Error { kind, message: message.into() }
    }

    /// Creates a report of a new error.
    pub fn report(kind: ErrorKind, message: impl Into<CompactString>) -> Report<Error> {
        Report::new(Error::new(kind, message))
    }

    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}

/// Whether the request that an error refers to was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It was not executed, and will not be executed later.
    NotExecuted,
    /// It may have been executed; a non-idempotent request must not be sent with another key.
    Unknown,
    Executed,
}

impl ExecutionStatus {
    /// Returns the text used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::NotExecuted => "no",
            ExecutionStatus::Unknown => "unknown",
            ExecutionStatus::Executed => "yes",
        }
    }
}

/// The answer to errors of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    pub kind: ErrorKind,
    pub status: u16,
    pub execution: ExecutionStatus,
    /// Whether the same request may succeed later.
    pub retryable: bool,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    execution: ExecutionStatus,
    retryable: bool,
) -> ErrorAnswer {
    ErrorAnswer { kind, status, execution, retryable }
}

/// All kinds with their answers, in the order of the schema.
pub const ERROR_ANSWERS: &[ErrorAnswer] = &[
    row(ErrorKind::BadRequest, 400, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::Unauthenticated, 401, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::Forbidden, 403, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::NotFound, 404, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::MethodNotAllowed, 405, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::PayloadTooLarge, 413, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::UnknownTeam, 403, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::UnknownClass, 400, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::WrongClassKind, 400, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::DeadlineOutOfRange, 400, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::QueueFull, 429, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::TeamShareExceeded, 429, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::WouldMissDeadline, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::NoEndpoint, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::EndpointLeaving, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::EndpointBusy, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::StaleSession, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::Draining, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::RetryBudgetExhausted, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::DeadlineExpiredQueued, 504, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::AttemptsExhausted, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::OutcomeUnknown, 502, ExecutionStatus::Unknown, false),
    row(ErrorKind::AnswerLate, 504, ExecutionStatus::Unknown, true),
    row(ErrorKind::EndpointFailed, 502, ExecutionStatus::Unknown, true),
    row(ErrorKind::ControlUnavailable, 503, ExecutionStatus::Unknown, true),
    row(ErrorKind::NotLeader, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::DiskFull, 507, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::TableFull, 429, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::QuotaExceeded, 429, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::Infeasible, 422, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::RevisionConflict, 409, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::KeyReused, 422, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::ClaimInProgress, 409, ExecutionStatus::Unknown, true),
    row(ErrorKind::AlreadyFinished, 409, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::MembershipUnsafe, 409, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::CursorTooOld, 410, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::VersionUnsupported, 426, ExecutionStatus::NotExecuted, false),
    row(ErrorKind::ShuttingDown, 503, ExecutionStatus::NotExecuted, true),
    row(ErrorKind::Internal, 500, ExecutionStatus::Unknown, true),
];

/// Returns the answer to errors of `kind`.
///
/// ```
/// use aspenrail::error::{ErrorKind, ExecutionStatus, answer_for_error};
///
/// let row = answer_for_error(ErrorKind::QueueFull);
/// assert_eq!((row.status, row.execution, row.retryable), (429, ExecutionStatus::NotExecuted, true));
/// ```
pub fn answer_for_error(kind: ErrorKind) -> ErrorAnswer {
    // The table is in the order of the enum; a test checks that they match.
    ERROR_ANSWERS[kind as usize]
}

/// Creates a refusal without a time to retry.
pub fn refusal(kind: ErrorKind, detail: impl Into<CompactString>) -> Refusal {
    Refusal { kind, detail: detail.into(), retry_after_ms: 0 }
}

/// Creates a refusal with the time after which the client may retry.
pub fn refusal_with_retry_after(
    kind: ErrorKind,
    detail: impl Into<CompactString>,
    retry_after_ms: u64,
) -> Refusal {
    Refusal { kind, detail: detail.into(), retry_after_ms }
}
