//! What the leader knows of the agents and entries that report to it.
//!
//! Leases are renewed here and not in the log: a renewal costs one message per VM and interval,
//! whatever the number of tasks. A new leader grants every session a full lease from the moment
//! it was elected, which is never earlier than what the old leader had granted.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{control::state::State, prelude::*};

/// Silence after which an entry is no longer shown.
const ENTRY_SILENCE_MS: u64 = 10_000;

/// What the leader knows of one agent's session.
#[derive(Clone, Debug)]
pub(super) struct AgentSeen {
    /// Until then the agent may believe in its lease; its tasks are nobody else's before.
    pub lease_expires_ms: u64,
    pub has_reported: bool,
    pub number: u64,
    pub reconciled: bool,
    pub draining: bool,
    pub in_force: Revision,
    pub usage: Usage,
    /// Whether the end of the session is on its way through the log.
    pub is_closing: bool,
}

/// What the leader knows of one entry.
#[derive(Clone, Debug)]
pub(super) struct EntrySeen {
    pub name: CompactString,
    pub zone: CompactString,
    pub in_force: Revision,
    pub last_report_ms: u64,
    pub latencies: Vec<ClassLatency>,
}

/// The agents and entries of one leader's term.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    pub agents: BTreeMap<SessionId, AgentSeen>,
    pub entries: BTreeMap<SocketAddr, EntrySeen>,
}

impl Sessions {
    /// Takes over every open session with a full lease.
    pub(super) fn take_over(state: &State, now: Now, held_ms: u64) -> Sessions {
        let mut res = Sessions::default();
        for it in state.vms.iter().filter_map(|vm| vm.session.as_ref()) {
            res.open(it.id, now, held_ms);
        }
        res
    }

    /// Adds a session just opened.
    pub(super) fn open(&mut self, session: SessionId, now: Now, held_ms: u64) {
        self.agents.entry(session).or_insert_with(|| AgentSeen {
            lease_expires_ms: now.mono_ms + held_ms,
            has_reported: false,
            number: 0,
            reconciled: false,
            draining: false,
            in_force: Revision(0),
            usage: Usage { cpu_millicores: 0, memory_mib: 0, age_ms: 0 },
            is_closing: false,
        });
    }

    /// Returns the sessions whose lease and margin have run out, and marks them as closing.
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

    /// Returns whether every session has reported to this leader.
    pub(super) fn all_reported(&self) -> bool {
        self.agents.values().all(|it| it.has_reported)
    }

    /// Takes in an entry's report.
    pub(super) fn note_entry(&mut self, now: Now, it: &EntryHeartbeat) {
        let seen = EntrySeen {
            name: it.name.clone(),
            zone: it.zone.clone(),
            in_force: it.in_force,
            last_report_ms: now.mono_ms,
            latencies: it.latencies.clone(),
        };
        self.entries.insert(it.reply_to, seen);
    }

    /// Forgets entries that have been silent.
    pub(super) fn forget_silent_entries(&mut self, now: Now) {
        self.entries.retain(|_, it| now.mono_ms < it.last_report_ms + ENTRY_SILENCE_MS);
    }
}
