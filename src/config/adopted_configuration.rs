//! The configuration in force in a process that does not store the log.

use std::net::SocketAddr;

use crate::prelude::*;

/// Minimum interval between two fetches from peers with a newer configuration.
const FETCH_INTERVAL_MS: u64 = 200;

/// The configuration in force in an entry or an agent.
///
/// Its revision only increases: an update that is not newer is ignored. A process starts without
/// a configuration and adopts its first one only from the leader's answer to a request of the
/// current process. A lagging peer, or a delayed answer to the process before a restart, could
/// carry an older configuration than was in force before the restart. Later configurations may
/// come from any peer with a newer one.
#[derive(Clone, Debug)]
pub struct AdoptedConfiguration {
    current: Configuration,
    last_fetch_ms: Option<u64>,
}

impl AdoptedConfiguration {
    /// Creates the state of a process that knows no configuration yet.
    pub fn new() -> AdoptedConfiguration {
        let current =
            Configuration { revision: Revision(0), teams: Vec::new(), classes: Vec::new() };
        AdoptedConfiguration { current, last_fetch_ms: None }
    }

    /// Returns the revision in force; zero before the first configuration is known.
    pub fn revision(&self) -> Revision {
        self.current.revision
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.current.teams.iter().find(|it| it.name == name)
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.current.classes.iter().find(|it| it.name == name)
    }

    pub fn classes(&self) -> &[Class] {
        &self.current.classes
    }

    /// Returns the whole configuration, to send to a peer with an older one.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// Adopts a configuration if it is newer; returns whether it was.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        let is_newer = self.current.revision < configuration.revision;
        if is_newer {
            tracing::info!(event = "configuration_adopted", revision = configuration.revision.0);
            self.current = configuration;
        }
        is_newer
    }

    /// Adopts a newer configuration from a peer; ignores it before the leader's first one.
    pub fn adopt_from_peer(&mut self, configuration: Configuration) {
        if Revision(0) < self.current.revision {
            self.adopt(configuration);
        }
    }

    /// Returns the fetch to send to a peer with a newer revision, at most one per interval.
    pub fn config_fetch(
        &mut self,
        now: Now,
        peer_revision: Revision,
        reply_to: SocketAddr,
    ) -> Option<Message> {
        if self.current.revision == Revision(0) {
            return None;
        }
        let fetched_recently =
            self.last_fetch_ms.is_some_and(|it| now.mono_ms < it + FETCH_INTERVAL_MS);
        if peer_revision <= self.current.revision || fetched_recently {
            return None;
        }
        self.last_fetch_ms = Some(now.mono_ms);
        Some(Message::ConfigFetch(ConfigFetch { reply_to }))
    }
}

impl Default for AdoptedConfiguration {
    fn default() -> AdoptedConfiguration {
        AdoptedConfiguration::new()
    }
}
