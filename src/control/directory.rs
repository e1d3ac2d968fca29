//! The directory of endpoints, as the leader gathers it from agents and tells it to entries.
//!
//! It is not in the log: it is rebuilt within one round of heartbeats after a change of leader,
//! and would otherwise cost a commit for every announcement.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::{control::state::Vm, prelude::*};

/// Removals remembered; an entry further behind is told the whole directory.
const GONE_MAX: usize = 4_096;

/// The directory of one leader's term.
#[derive(Clone, Debug)]
pub(super) struct Directory {
    epoch: u64,
    version: u64,
    /// Ordered by session, so that a session's endpoints stand together.
    endpoints: BTreeMap<(SessionId, u32), (DirectoryEndpoint, u64)>,
    gone: VecDeque<(u64, EndpointId)>,
    /// Version before which removals are forgotten.
    gone_since: u64,
}

impl Directory {
    pub(super) fn new(epoch: u64) -> Directory {
        Directory {
            epoch,
            version: 1,
            endpoints: BTreeMap::new(),
            gone: VecDeque::new(),
            gone_since: 1,
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &DirectoryEndpoint> {
        self.endpoints.values().map(|(it, _)| it)
    }

    /// Sets the endpoints of a session to what its agent reports.
    pub(super) fn set(
        &mut self,
        session: SessionId,
        agent: SocketAddr,
        vm: &Vm,
        is_evacuated: bool,
        reports: &[EndpointReport],
    ) {
        for it in reports {
            let id = EndpointId { session, number: it.number };
            let endpoint = DirectoryEndpoint {
                id,
                agent,
                zone: vm.zone.clone(),
                class: it.class.clone(),
                slots: it.slots,
                leaving: it.leaving || vm.draining || is_evacuated,
            };
            if self.endpoints.get(&key(id)).is_none_or(|(known, _)| *known != endpoint) {
                self.version += 1;
                self.endpoints.insert(key(id), (endpoint, self.version));
            }
        }
        let known: Vec<_> = self.of_session(session).collect();
        for id in known {
            if !reports.iter().any(|it| it.number == id.number) {
                self.remove(id);
            }
        }
    }

    /// Removes the endpoints of an ended session.
    pub(super) fn remove_session(&mut self, session: SessionId) {
        let ids: Vec<_> = self.of_session(session).collect();
        for it in ids {
            self.remove(it);
        }
    }

    /// Returns what an entry that knows `version` of `epoch` has to learn.
    pub(super) fn update_since(&self, epoch: u64, version: u64) -> Option<DirectoryUpdate> {
        if epoch == self.epoch && version == self.version {
            return None;
        }
        let whole = epoch != self.epoch || version < self.gone_since;
        let since = if whole { 0 } else { version };
        let newer = self.endpoints.values().filter(|(_, at)| since < *at);
        let gone = self.gone.iter().filter(|(at, _)| !whole && since < *at);
        Some(DirectoryUpdate {
            epoch: self.epoch,
            version: self.version,
            whole,
            endpoints: newer.map(|(it, _)| it.clone()).collect(),
            gone: gone.map(|(_, id)| *id).collect(),
        })
    }

    fn of_session(&self, session: SessionId) -> impl Iterator<Item = EndpointId> {
        let range = (session, 0)..=(session, u32::MAX);
        self.endpoints.range(range).map(|(_, (it, _))| it.id)
    }

    fn remove(&mut self, id: EndpointId) {
        self.endpoints.remove(&key(id));
        self.version += 1;
        self.gone.push_back((self.version, id));
        if GONE_MAX < self.gone.len()
            && let Some((at, _)) = self.gone.pop_front()
        {
            self.gone_since = at;
        }
    }
}

fn key(id: EndpointId) -> (SessionId, u32) {
    (id.session, id.number)
}
