//! Polls held until a result or an event is available.

use crate::{
    control::state::ReplyResult,
    entry::core::{ControlToken, EntryCore, POLL_INTERVAL_MS, Poll, caller_answer},
    prelude::*,
};

impl EntryCore {
    pub(super) fn hold_poll(&mut self, now: Now, token: u64, query: Query, wait_ms: u32) {
        let expires_ms = now.mono_ms + u64::from(wait_ms.min(self.options.settings.poll_max_ms));
        self.polls.insert(token, Poll { query, expires_ms, next_query_ms: Some(now.mono_ms) });
    }

    pub(super) fn tick_polls(&mut self, now: Now) {
        let is_due = |it: &Poll| it.next_query_ms.is_some_and(|at_ms| at_ms <= now.mono_ms);
        let due: Vec<_> =
            self.polls.iter().filter(|(_, it)| is_due(it)).map(|(token, _)| *token).collect();
        for token in due {
            let Some(poll) = self.polls.get_mut(&token) else { continue };
            poll.next_query_ms = None;
            let operation = Operation::Query(poll.query.clone());
            let deadline_ms = now.mono_ms + u64::from(self.options.settings.operation_max_ms);
            self.client.call(now, operation, deadline_ms, ControlToken::Poll(token));
        }
    }

    pub(super) fn on_poll_reply(&mut self, now: Now, token: u64, outcome: ReplyResult) {
        let Some(poll) = self.polls.get_mut(&token) else { return };
        let is_complete = match &outcome {
            Ok(Reply::Document(text)) => is_poll_complete(text),
            _ => true,
        };
        if is_complete || poll.expires_ms <= now.mono_ms + POLL_INTERVAL_MS {
            self.polls.remove(&token);
            self.answer(token, caller_answer(outcome));
        } else {
            poll.next_query_ms = Some(now.mono_ms + POLL_INTERVAL_MS);
        }
    }
}

/// Returns whether a document has events or reports a finished job, so that the poll may end.
fn is_poll_complete(text: &str) -> bool {
    let Ok(document) = serde_json::from_str::<serde_json::Value>(text) else { return true };
    let has_events = document["events"].as_array().is_some_and(|it| !it.is_empty());
    has_events || document["finished"] == true
}
