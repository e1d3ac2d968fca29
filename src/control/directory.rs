//! The directory of endpoints, which the leader collects from agents and sends to entries.
//!
//! The directory is not in the log, where every announcement would cost a commit. After a change of
//! leader it is rebuilt within one round of heartbeats.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::{control::state::Vm, prelude::*};

/// Highest number of removals kept; an entry further behind receives the whole directory.
const REMOVALS_MAX: usize = 4_096;

/// The directory of one leader's term.
#[derive(Clone, Debug)]
pub(super) struct Directory {
    epoch: u64,
    version: u64,
    /// Endpoints and the version that last changed each. Ordered by session, so that the endpoints
    /// of a session are one range.
    endpoints: BTreeMap<(SessionId, u32), (DirectoryEndpoint, u64)>,
    /// Removed endpoints with the version of the removal, oldest first.
    removals: VecDeque<(u64, EndpointId)>,
    /// Version of the newest dropped removal, 1 at first; entries behind it get the whole
    /// directory.
    dropped_removal_version: u64,
}

impl Directory {
    pub(super) fn new(epoch: u64) -> Directory {
        Directory {
            epoch,
            version: 1,
            endpoints: BTreeMap::new(),
            removals: VecDeque::new(),
            dropped_removal_version: 1,
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &DirectoryEndpoint> {
        self.endpoints.values().map(|(it, _)| it)
    }

    /// Replaces the endpoints of a session by those that its agent reports.
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

    pub(super) fn remove_session(&mut self, session: SessionId) {
        let ids: Vec<_> = self.of_session(session).collect();
        for it in ids {
            self.remove(it);
        }
    }

    /// Returns the update for an entry that has `version` of `epoch`; `None` if that is current.
    pub(super) fn update_since(&self, epoch: u64, version: u64) -> Option<DirectoryUpdate> {
        if epoch == self.epoch && version == self.version {
            return None;
        }
        let whole = epoch != self.epoch || version < self.dropped_removal_version;
        let since = if whole { 0 } else { version };
        let changed =
            self.endpoints.values().filter(|(_, changed_version)| since < *changed_version);
        let gone =
            self.removals.iter().filter(|(removed_version, _)| !whole && since < *removed_version);
        Some(DirectoryUpdate {
            epoch: self.epoch,
            version: self.version,
            whole,
            endpoints: changed.map(|(it, _)| it.clone()).collect(),
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
        self.removals.push_back((self.version, id));
        if REMOVALS_MAX < self.removals.len()
            && let Some((removed_version, _)) = self.removals.pop_front()
        {
            self.dropped_removal_version = removed_version;
        }
    }
}

fn key(id: EndpointId) -> (SessionId, u32) {
    (id.session, id.number)
}
