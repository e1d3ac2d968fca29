//! Requests that wait for their answer.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::oneshot;

use crate::http::HttpAnswer;

/// Requests that wait for their answer from a core.
///
/// A long poll occupies an entry here and its connection, but no thread.
#[derive(Clone, Default)]
pub struct Pending {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    answers: Mutex<HashMap<u64, oneshot::Sender<HttpAnswer>>>,
    next: AtomicU64,
}

impl Pending {
    /// Answers the request with this token; a second answer has no effect.
    pub fn answer(&self, token: u64, answer: HttpAnswer) {
        let waiting = self.lock().remove(&token);
        if let Some(it) = waiting {
            // Fails if the caller has disconnected; the answer is then discarded.
            let _ = it.send(answer);
        }
    }

    pub(super) fn wait(&self) -> (u64, oneshot::Receiver<HttpAnswer>) {
        let token = self.inner.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(token, sender);
        (token, receiver)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<HttpAnswer>>> {
        // The table is consistent at every unlock, also after a panic.
        self.inner.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
