//! The control client that every role uses.
//!
//! The client finds the leader, follows redirects, and resends an operation under the same id until
//! the operation is answered or its deadline passes. All operations are idempotent.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    control::{leader_finder::LeaderFinder, state::ReplyResult},
    prelude::*,
};

/// Time after which an unanswered operation is resent to the next control process.
const RESEND_MS: u64 = 400;

/// Pause after an answer that names no leader, for example during an election.
const ELECTION_PAUSE_MS: u64 = 60;

#[derive(Clone, Debug)]
struct Call<T> {
    operation: Operation,
    token: T,
    deadline_ms: u64,
    next_send_ms: u64,
}

/// Sends operations to the leader; `T` is the caller's token for an operation.
#[derive(Clone, Debug)]
pub struct ControlClient<T> {
    reply_to: SocketAddr,
    leader_finder: LeaderFinder,
    calls: HashMap<u64, Call<T>>,
    next_id: u64,
    outbox: Vec<(SocketAddr, Message)>,
}

impl<T: Clone> ControlClient<T> {
    /// Makes a client that receives replies at `reply_to`. The random number `boot` makes its ids
    /// differ from those of an earlier run of the process.
    pub fn new(reply_to: SocketAddr, controls: Vec<SocketAddr>, boot: u64) -> ControlClient<T> {
        ControlClient {
            reply_to,
            leader_finder: LeaderFinder::new(controls, boot),
            calls: HashMap::new(),
            next_id: boot,
            outbox: Vec::new(),
        }
    }

    /// Returns the presumed leader, or the next process to try.
    pub fn target(&self) -> Option<SocketAddr> {
        self.leader_finder.target()
    }

    /// Sets the presumed leader; with `None` the next process is tried.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        self.leader_finder.set_leader(leader);
    }

    /// Switches to the next control process, because the current one is silent or does not lead.
    pub fn try_next(&mut self) {
        self.leader_finder.try_next();
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Sends an operation, which ends at `deadline_ms` if it has no answer by then.
    pub fn call(&mut self, now: Now, operation: Operation, deadline_ms: u64, token: T) {
        self.next_id = self.next_id.wrapping_add(1);
        let id = self.next_id;
        self.calls.insert(id, Call { operation, token, deadline_ms, next_send_ms: now.mono_ms });
        self.send(now, id);
    }

    /// Handles a reply; returns the token and the outcome if the reply ends an operation.
    pub fn on_reply(&mut self, now: Now, reply: ControlReply) -> Option<(T, ReplyResult)> {
        let call = self.calls.get_mut(&reply.id)?;
        match reply.result {
            ControlResult::Ok(it) => Some((self.calls.remove(&reply.id)?.token, Ok(it))),
            ControlResult::Refused(it) => Some((self.calls.remove(&reply.id)?.token, Err(it))),
            ControlResult::NotLeader(hint) => {
                let pause_ms = if hint.is_some() { 1 } else { ELECTION_PAUSE_MS };
                call.next_send_ms = now.mono_ms + pause_ms;
                self.set_leader(hint);
                None
            }
        }
    }

    /// Resends unanswered operations that are due, and returns those whose deadline has passed.
    pub fn tick(&mut self, now: Now) -> Vec<(T, ReplyResult)> {
        let mut expired: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.deadline_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        expired.sort_unstable();
        let mut due: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, it)| it.next_send_ms <= now.mono_ms)
            .map(|(id, _)| *id)
            .collect();
        due.sort_unstable();
        due.retain(|it| !expired.contains(it));
        if !due.is_empty() && self.leader_finder.leader().is_some() {
            // The leader did not answer at least one of the due operations in time.
            self.try_next();
        }
        for id in due {
            self.send(now, id);
        }
        let unavailable = || {
            refusal_with_retry_after(
                ErrorKind::ControlUnavailable,
                "control did not answer in time",
                1_000,
            )
        };
        expired
            .into_iter()
            .filter_map(|id| Some((self.calls.remove(&id)?.token, Err(unavailable()))))
            .collect()
    }

    /// Returns when [`ControlClient::tick`] is next due; `None` if no operation is under way.
    pub fn next_tick_ms(&self) -> Option<u64> {
        self.calls.values().map(|it| it.next_send_ms.min(it.deadline_ms)).min()
    }

    pub fn take_messages(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outbox)
    }

    fn send(&mut self, now: Now, id: u64) {
        let Some(to) = self.target() else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.next_send_ms = now.mono_ms + RESEND_MS;
        let request =
            ControlRequest { id, reply_to: self.reply_to, operation: call.operation.clone() };
        self.outbox.push((to, Message::ControlRequest(request)));
    }
}
