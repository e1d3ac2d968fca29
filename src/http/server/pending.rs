//! Requests that wait for their answer.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::oneshot;

use crate::{http::HttpAnswer, util::ReservedBytes};

/// Requests that wait for their answer from a core.
///
/// A long poll occupies an entry here and its connection, but no thread.
#[derive(Clone, Default)]
pub struct Pending {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    answers: Mutex<HashMap<u64, Waiting>>,
    next: AtomicU64,
}

/// A request that waits for its answer.
struct Waiting {
    answer: oneshot::Sender<HttpAnswer>,
    /// Memory of the request, which the core may hold until it answers.
    _reserved: Option<ReservedBytes>,
}

impl Pending {
    /// Answers the request with this token; a second answer has no effect.
    pub fn answer(&self, token: u64, answer: HttpAnswer) {
        let waiting = self.lock().remove(&token);
        if let Some(it) = waiting {
            // Fails if the caller has disconnected; the answer is then discarded.
            let _ = it.answer.send(answer);
        }
    }

    /// Adds a request, whose memory stays reserved until it is answered.
    pub(super) fn wait(
        &self,
        reserved: Option<ReservedBytes>,
    ) -> (u64, oneshot::Receiver<HttpAnswer>) {
        let token = self.inner.next.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = oneshot::channel();
        self.lock().insert(token, Waiting { answer, _reserved: reserved });
        (token, receiver)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Waiting>> {
        // The table is consistent at every unlock, also after a panic.
        self.inner.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
