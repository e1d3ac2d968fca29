//! The leader's records of the agents and entries that report to it.
//!
//! Lease renewals are kept here and not in the log: a renewal costs one message per VM and
//! interval, whatever the number of tasks. A new leader gives every session a full lease from its
//! election, so that no lease ends earlier than the old leader had granted.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{control::state::State, prelude::*};

/// Silence after which an entry is removed from the status.
const ENTRY_SILENT_MS: u64 = 10_000;

/// State of one agent's session, from its heartbeats.
#[derive(Clone, Debug)]
pub(super) struct AgentStatus {
    /// Until then the agent may consider its lease valid, so its tasks are placed nowhere else.
    pub lease_expires_ms: u64,
    pub has_reported: bool,
    /// Number of the newest heartbeat.
    pub last_number: u64,
    pub reconciled: bool,
    pub draining: bool,
    pub in_force: Revision,
    pub usage: Usage,
    /// Whether the end of the session is proposed and not applied yet.
    pub is_closing: bool,
}

/// State of one entry, from its last heartbeat.
#[derive(Clone, Debug)]
pub(super) struct EntryStatus {
    pub name: CompactString,
    pub zone: CompactString,
    pub in_force: Revision,
    pub last_report_ms: u64,
    pub latencies: Vec<ClassLatency>,
}

/// The agents and entries of one leader's term.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    pub agents: BTreeMap<SessionId, AgentStatus>,
    pub entries: BTreeMap<SocketAddr, EntryStatus>,
}

impl Sessions {
    /// Returns every open session with a full lease, for a new leader.
    pub(super) fn with_full_leases(state: &State, now: Now, lease_with_margin_ms: u64) -> Sessions {
        let mut res = Sessions::default();
        for it in state.vms.iter().filter_map(|vm| vm.session.as_ref()) {
            res.open(it.id, now, lease_with_margin_ms);
        }
        res
    }

    pub(super) fn open(&mut self, session: SessionId, now: Now, lease_with_margin_ms: u64) {
        self.agents.entry(session).or_insert_with(|| AgentStatus {
            lease_expires_ms: now.mono_ms + lease_with_margin_ms,
            has_reported: false,
            last_number: 0,
            reconciled: false,
            draining: false,
            in_force: Revision(0),
            usage: Usage { cpu_millicores: 0, memory_mib: 0, age_ms: 0 },
            is_closing: false,
        });
    }

    /// Returns the sessions whose lease and margin have expired, and marks them as closing.
    pub(super) fn take_expired(&mut self, now: Now) -> Vec<SessionId> {
        let mut res = Vec::new();
        for (id, it) in &mut self.agents {
            if it.lease_expires_ms < now.mono_ms && !it.is_closing {
                it.is_closing = true;
                res.push(*id);
            }
        }
        res
    }

    pub(super) fn all_reported(&self) -> bool {
        self.agents.values().all(|it| it.has_reported)
    }

    pub(super) fn note_entry(&mut self, now: Now, it: &EntryHeartbeat) {
        let status = EntryStatus {
            name: it.name.clone(),
            zone: it.zone.clone(),
            in_force: it.in_force,
            last_report_ms: now.mono_ms,
            latencies: it.latencies.clone(),
        };
        self.entries.insert(it.reply_to, status);
    }

    pub(super) fn remove_silent_entries(&mut self, now: Now) {
        self.entries.retain(|_, it| now.mono_ms < it.last_report_ms + ENTRY_SILENT_MS);
    }
}
