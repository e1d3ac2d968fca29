//! Reads whose answers may be large.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Most large reads that are sent and not answered. Each answer may be a whole configuration, of
/// which every process on the way holds a copy.
const IN_FLIGHT_MAX: usize = 4;

/// The large reads of a gateway, which are sent a few at a time, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct LargeReads {
    in_flight: BTreeSet<u64>,
    /// Numbers of calls rise with their arrival.
    waiting: BTreeSet<u64>,
}

impl LargeReads {
    /// Returns whether a call with this request may be sent now; if not, it waits for its turn.
    pub(super) fn may_send(&mut self, id: u64, request: &WorkflowRequest) -> bool {
        let is_large =
            matches!(request, WorkflowRequest::ReadConfig | WorkflowRequest::ReadWaiting(_));
        if !is_large || self.in_flight.contains(&id) {
            return true;
        }
        if self.in_flight.len() < IN_FLIGHT_MAX {
            self.waiting.remove(&id);
            self.in_flight.insert(id);
            return true;
        }
        self.waiting.insert(id);
        false
    }

    /// Forgets a call that has ended; returns the call whose turn it is.
    pub(super) fn end(&mut self, id: u64) -> Option<u64> {
        self.waiting.remove(&id);
        if !self.in_flight.remove(&id) {
            return None;
        }
        self.waiting.pop_first()
    }
}
