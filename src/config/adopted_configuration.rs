//! The configuration in force in a process that does not hold the log.

use std::net::SocketAddr;

use crate::prelude::*;

/// Pause between two questions to processes that are ahead.
const ASK_MS: u64 = 200;

/// The configuration in force in an entry or an agent.
///
/// It only ever moves forward: an update that is not newer changes nothing. A process starts
/// with none, and takes its first only from the leader's answer to a question of this very run:
/// a peer that lags, or an answer to an earlier run still on its way, could hold an older one
/// than this process had in force before its restart. Later ones come from whoever is ahead.
#[derive(Clone, Debug)]
pub struct AdoptedConfiguration {
    current: Configuration,
    asked_ms: Option<u64>,
}

impl AdoptedConfiguration {
    /// Makes a process's configuration before the first is known.
    pub fn new() -> AdoptedConfiguration {
        let current =
            Configuration { revision: Revision(0), teams: Vec::new(), classes: Vec::new() };
        AdoptedConfiguration { current, asked_ms: None }
    }

    /// Returns the revision in force; zero before the first is known.
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

    /// Returns the whole configuration, for a process that is behind.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// Adopts a configuration if it is newer; returns whether it was.
    pub fn adopt(&mut self, it: Configuration) -> bool {
        let newer = self.current.revision < it.revision;
        if newer {
            tracing::info!(event = "configuration_adopted", revision = it.revision.0);
            self.current = it;
        }
        newer
    }

    /// Adopts what a peer sent, once the first one came from the leader.
    pub fn adopt_from_peer(&mut self, it: Configuration) {
        if Revision(0) < self.current.revision {
            self.adopt(it);
        }
    }

    /// Returns the question to ask a peer whose revision is `theirs`, if it is ahead.
    pub fn config_fetch(
        &mut self,
        now: Now,
        theirs: Revision,
        reply_to: SocketAddr,
    ) -> Option<Message> {
        if self.current.revision == Revision(0) {
            return None;
        }
        let asked_lately = self.asked_ms.is_some_and(|it| now.mono_ms < it + ASK_MS);
        if theirs <= self.current.revision || asked_lately {
            return None;
        }
        self.asked_ms = Some(now.mono_ms);
        Some(Message::ConfigFetch(ConfigFetch { reply_to }))
    }
}

impl Default for AdoptedConfiguration {
    fn default() -> AdoptedConfiguration {
        AdoptedConfiguration::new()
    }
}
