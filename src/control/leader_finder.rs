//! Finding the leader among control processes, some of which may be gone.

use std::net::SocketAddr;

/// Where control processes are, and which of them is thought to lead.
#[derive(Clone, Debug)]
pub struct LeaderFinder {
    /// From the settings; never forgotten, since all that was learned may be gone.
    seeds: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    target: usize,
    leader: Option<SocketAddr>,
}

impl LeaderFinder {
    /// Makes a finder that begins with any of `seeds`, chosen by `choice`.
    pub fn new(seeds: Vec<SocketAddr>, choice: u64) -> LeaderFinder {
        LeaderFinder {
            target: choice as usize % seeds.len().max(1),
            control_addresses: seeds.clone(),
            seeds,
            leader: None,
        }
    }

    /// Returns the process that is thought to lead, or the next one to try.
    pub fn target(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.control_addresses.get(self.target).copied())
    }

    /// Returns the process that is thought to lead.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Learns who leads; without a name the next process is tried.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(_) => self.leader = leader,
            None => self.try_next(),
        }
    }

    /// Learns where the members are.
    pub fn set_members(&mut self, members: &[SocketAddr]) {
        if members.is_empty() {
            return;
        }
        let seeds = self.seeds.iter().filter(|it| !members.contains(it));
        let controls: Vec<_> = members.iter().chain(seeds).copied().collect();
        if controls != self.control_addresses {
            self.control_addresses = controls;
            self.target %= self.control_addresses.len();
        }
    }

    /// Takes other seeds from changed settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let fresh: Vec<_> =
            seeds.iter().filter(|it| !self.control_addresses.contains(it)).copied().collect();
        self.control_addresses.extend(fresh);
        self.seeds = seeds;
    }

    /// Turns to the next process, since the current one is silent or does not lead.
    pub fn try_next(&mut self) {
        self.leader = None;
        self.target = (self.target + 1) % self.control_addresses.len().max(1);
    }
}
