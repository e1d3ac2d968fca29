//! Finds the leader among control processes, some of which may no longer exist.

use std::net::SocketAddr;

/// Addresses of control processes, and the presumed leader.
#[derive(Clone, Debug)]
pub struct LeaderFinder {
    /// Addresses from the settings. They are always kept, since all learned members may be gone.
    seeds: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    target_index: usize,
    leader: Option<SocketAddr>,
}

impl LeaderFinder {
    /// Makes a finder that first tries the seed at index `choice` modulo the number of seeds.
    pub fn new(seeds: Vec<SocketAddr>, choice: u64) -> LeaderFinder {
        LeaderFinder {
            target_index: choice as usize % seeds.len().max(1),
            control_addresses: seeds.clone(),
            seeds,
            leader: None,
        }
    }

    /// Returns the presumed leader, or the next process to try.
    pub fn target(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.control_addresses.get(self.target_index).copied())
    }

    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Sets the presumed leader; with `None` the next process is tried.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(_) => self.leader = leader,
            None => self.try_next(),
        }
    }

    /// Sets the addresses of the members; an empty list is ignored.
    pub fn set_members(&mut self, members: &[SocketAddr]) {
        if members.is_empty() {
            return;
        }
        let seeds = self.seeds.iter().filter(|it| !members.contains(it));
        let addresses: Vec<_> = members.iter().chain(seeds).copied().collect();
        if addresses != self.control_addresses {
            self.control_addresses = addresses;
            self.target_index %= self.control_addresses.len();
        }
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let new_addresses: Vec<_> =
            seeds.iter().filter(|it| !self.control_addresses.contains(it)).copied().collect();
        self.control_addresses.extend(new_addresses);
        self.seeds = seeds;
    }

    /// Switches to the next process, because the current one is silent or does not lead.
    pub fn try_next(&mut self) {
        self.leader = None;
        self.target_index = (self.target_index + 1) % self.control_addresses.len().max(1);
    }
}
