//! What the HTTP listeners of a process may hold together.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{
    http::server::connections::{Connections, OpenConnection, UnsentAnswer},
    metrics::{Limit, Metrics},
    prelude::*,
    schema::settings::ProcessSettings,
    util::{ByteBudget, ReservedBytes},
};

/// Time after which a client may send a request again that a limit on a total has refused.
const RETRY_AFTER_MS: u64 = 1_000;

/// Limits that all HTTP listeners of a process share.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    requests: ByteBudget,
    connections: Connections,
    metrics: Arc<Metrics>,
}

impl ServerLimits {
    /// Returns the limits in the settings of a process.
    pub fn new(settings: &ProcessSettings, metrics: Arc<Metrics>) -> ServerLimits {
        ServerLimits {
            requests: ByteBudget::new(settings.requests_max_bytes as usize),
            connections: Connections::new(
                settings.connections_max as usize,
                settings.answers_max_bytes as usize,
            ),
            metrics,
        }
    }

    /// Returns limits that are never reached, for stand-ins.
    pub fn unlimited() -> ServerLimits {
        ServerLimits {
            requests: ByteBudget::new(usize::MAX),
            connections: Connections::new(usize::MAX, usize::MAX),
            metrics: Metrics::new(),
        }
    }

    /// Adds a connection; returns `None` if it has to be closed at once.
    pub(super) fn open_connection(&self) -> Option<(OpenConnection, oneshot::Receiver<()>)> {
        let opened = self.connections.open();
        if opened.as_ref().is_none_or(|it| it.displaced_another) {
            self.metrics.note_limit_reached(Limit::Connections);
        }
        opened.map(|it| (it.connection, it.closed))
    }

    /// Notes that a connection has an answer to send; it is kept until the answer is sent.
    pub(super) fn add_answer(&self, connection: &OpenConnection, bytes: usize) -> UnsentAnswer {
        let (answer, closed_count) = connection.note_answer(bytes);
        (0..closed_count).for_each(|_| self.metrics.note_limit_reached(Limit::AnswersBytes));
        answer
    }

    /// Returns an empty reservation for a body.
    pub(super) fn new_body(&self) -> ReservedBytes {
        self.requests.reserve_none()
    }

    /// Enlarges the reservation of a body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if other requests leave no room.
    pub(super) fn grow_body(
        &self,
        reserved: &mut ReservedBytes,
        bytes: usize,
    ) -> Result<(), Refusal> {
        if reserved.grow_to(bytes) {
            return Ok(());
        }
        self.metrics.note_limit_reached(Limit::RequestsBytes);
        Err(refusal_with_retry_after(
            ErrorKind::QueueFull,
            "other requests leave no memory for the body",
            RETRY_AFTER_MS,
        ))
    }
}
