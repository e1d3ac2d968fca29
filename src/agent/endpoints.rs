//! The endpoints of a VM: their slots, connections and short queues.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use hdrhistogram::Histogram;

use crate::prelude::*;

/// Longest answer time that the histogram tells apart, in ms.
const ANSWER_MAX_MS: u64 = 600_000;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub class: CompactString,
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// One request handed to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutionId(pub u64);

/// A call of an endpoint, to be made by the HTTP adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorCall {
    pub execution: ExecutionId,
    pub address: SocketAddr,
    pub request: RequestId,
    pub team: CompactString,
    pub path: CompactString,
    pub timeout_ms: u64,
    pub body: serde_bytes::ByteBuf,
}

/// How a call of an endpoint ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorResult {
    Answered {
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
    },
    /// The connection was refused, so that nothing of the request was sent.
    NotSent(CompactString),
    Failed(CompactString),
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub request: Execute,
    pub deadline_ms: u64,
}

/// One announced endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub announcement: Announcement,
    pub number: u32,
    pub announced_ms: u64,
    pub leaving: bool,
    pub in_use: u32,
    pub queue: VecDeque<QueuedRequest>,
    answers: Histogram<u32>,
}

impl Endpoint {
    /// Returns whether another request may run now: slots and connections are hard limits.
    pub(super) fn has_slot(&self) -> bool {
        self.in_use < self.announcement.slots.min(self.announcement.connections)
    }

    pub(super) fn load(&self) -> Load {
        Load { in_use: self.in_use, queued: self.queue.len() as u32 }
    }

    pub(super) fn note_answer(&mut self, answer_ms: u64) {
        self.answers.saturating_record(answer_ms.clamp(1, ANSWER_MAX_MS));
    }

    /// Returns the tail of the answers since the last report, and begins anew.
    pub(super) fn take_tail_ms(&mut self) -> u32 {
        let tail_ms =
            if self.answers.is_empty() { 0 } else { self.answers.value_at_quantile(0.99) as u32 };
        self.answers.reset();
        tail_ms
    }
}

/// The endpoints of one VM, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    endpoints: BTreeMap<u32, Endpoint>,
    next: u32,
}

impl Endpoints {
    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&number)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// Adds an endpoint, or notes that one known is alive; returns its number.
    pub(super) fn announce(&mut self, it: Announcement, now: Now) -> u32 {
        let known =
            self.endpoints.values_mut().find(|known| known.announcement.address == it.address);
        if let Some(known) = known {
            // One that left and comes back under its address is a new endpoint of the same name.
            known.leaving = false;
            known.announced_ms = now.mono_ms;
            known.announcement = it;
            return known.number;
        }
        self.next += 1;
        let number = self.next;
        let answers = Histogram::new_with_bounds(1, ANSWER_MAX_MS, 2)
            .expect("the bounds are constant and valid");
        let endpoint = Endpoint {
            announcement: it,
            number,
            announced_ms: now.mono_ms,
            leaving: false,
            in_use: 0,
            queue: VecDeque::new(),
            answers,
        };
        self.endpoints.insert(number, endpoint);
        number
    }

    /// Returns the number of the endpoint at an address.
    pub(super) fn at(&self, address: SocketAddr) -> Option<u32> {
        self.endpoints.values().find(|it| it.announcement.address == address).map(|it| it.number)
    }

    /// Removes endpoints that left and have nothing in flight.
    pub(super) fn remove_idle_leavers(&mut self) {
        self.endpoints.retain(|_, it| !it.leaving || 0 < it.in_use || !it.queue.is_empty());
    }

    /// Returns the requests running and waiting.
    pub(super) fn busy(&self) -> usize {
        self.endpoints.values().map(|it| it.in_use as usize + it.queue.len()).sum()
    }
}
