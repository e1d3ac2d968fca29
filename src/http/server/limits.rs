//! What the HTTP listeners of a process may hold together.

use std::sync::Arc;

use crate::{
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
    metrics: Arc<Metrics>,
}

impl ServerLimits {
    /// Returns the limits in the settings of a process.
    pub fn new(settings: &ProcessSettings, metrics: Arc<Metrics>) -> ServerLimits {
        ServerLimits { requests: ByteBudget::new(settings.requests_max_bytes as usize), metrics }
    }

    /// Returns limits that are never reached, for stand-ins.
    pub fn unlimited() -> ServerLimits {
        ServerLimits { requests: ByteBudget::new(usize::MAX), metrics: Metrics::new() }
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
