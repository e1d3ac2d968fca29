//! The endpoints of a VM: their slots, connections and short queues.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use hdrhistogram::Histogram;

use crate::prelude::*;

/// Largest recorded answer time; longer ones count as this value.
const ANSWER_TIME_MAX_MS: u64 = 600_000;

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub class: CompactString,
    pub address: SocketAddr,
    /// Number of requests that the endpoint processes at once.
    pub slots: u32,
    /// Number of connections that the endpoint accepts.
    pub connections: u32,
}

/// Identifies one call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutionId(pub u64);

/// A call to an endpoint, made by the HTTP adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCall {
    pub execution: ExecutionId,
    pub address: SocketAddr,
    pub request: RequestId,
    pub team: CompactString,
    pub path: CompactString,
    pub timeout_ms: u64,
    pub body: serde_bytes::ByteBuf,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EndpointResult {
    Answered {
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
    },
    /// The connection was refused, so no part of the request was sent.
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
    answer_times_ms: Histogram<u32>,
}

impl Endpoint {
    /// Returns whether another request may run now; slots and connections are both hard limits.
    pub(super) fn has_slot(&self) -> bool {
        self.in_use < self.announcement.slots.min(self.announcement.connections)
    }

    pub(super) fn load(&self) -> Load {
        Load { in_use: self.in_use, queued: self.queue.len() as u32 }
    }

    pub(super) fn note_answer(&mut self, answer_ms: u64) {
        self.answer_times_ms.saturating_record(answer_ms.clamp(1, ANSWER_TIME_MAX_MS));
    }

    /// Returns the 99th percentile of the answer times since the last call, or 0 without answers.
    pub(super) fn take_p99_ms(&mut self) -> u32 {
        let p99_ms = if self.answer_times_ms.is_empty() {
            0
        } else {
            self.answer_times_ms.value_at_quantile(0.99) as u32
        };
        self.answer_times_ms.reset();
        p99_ms
    }
}

/// The endpoints of one VM, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    endpoints: BTreeMap<u32, Endpoint>,
    last_number: u32,
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

    /// Adds an endpoint, or renews the one with the same address; returns its number.
    pub(super) fn announce(&mut self, announcement: Announcement, now: Now) -> u32 {
        let existing =
            self.endpoints.values_mut().find(|it| it.announcement.address == announcement.address);
        if let Some(existing) = existing {
            // An endpoint that returns before it was removed is active again under its number.
            existing.leaving = false;
            existing.announced_ms = now.mono_ms;
            existing.announcement = announcement;
            return existing.number;
        }
        self.last_number += 1;
        let number = self.last_number;
        let answer_times_ms = Histogram::new_with_bounds(1, ANSWER_TIME_MAX_MS, 2)
            .expect("the bounds are constant and valid");
        let endpoint = Endpoint {
            announcement,
            number,
            announced_ms: now.mono_ms,
            leaving: false,
            in_use: 0,
            queue: VecDeque::new(),
            answer_times_ms,
        };
        self.endpoints.insert(number, endpoint);
        number
    }

    pub(super) fn number_at(&self, address: SocketAddr) -> Option<u32> {
        self.endpoints.values().find(|it| it.announcement.address == address).map(|it| it.number)
    }

    /// Removes leaving endpoints that have no request running or waiting.
    pub(super) fn remove_drained(&mut self) {
        self.endpoints.retain(|_, it| !it.leaving || 0 < it.in_use || !it.queue.is_empty());
    }

    /// Returns the number of requests that run or wait.
    pub(super) fn open_request_count(&self) -> usize {
        self.endpoints.values().map(|it| it.in_use as usize + it.queue.len()).sum()
    }
}
