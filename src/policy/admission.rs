//! Admission of latency-critical requests: which ones wait, and which are refused at once.
//!
//! A request that cannot be answered in time is refused as soon as this is known, with the time
//! after which to retry. It is never held until its deadline.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;

/// A request waiting for a free endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest<K> {
    pub key: K,
    pub deadline_ms: u64,
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    QueueFull,
    /// The queue is full, and the request's team uses its share.
    TeamShareExceeded,
}

/// The waiting requests of one class in an entry, fair between teams.
#[derive(Clone, Debug)]
pub struct FairQueue<K> {
    teams: BTreeMap<CompactString, VecDeque<WaitingRequest<K>>>,
    /// Served requests by team; a returning team starts at least at the minimum of waiting teams,
    /// so only the teams that wait or have been served more are kept.
    served: BTreeMap<CompactString, u64>,
    len: usize,
}

impl<K: Copy + PartialEq> FairQueue<K> {
    pub fn new() -> FairQueue<K> {
        FairQueue { teams: BTreeMap::new(), served: BTreeMap::new(), len: 0 }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    ///
    /// A full queue displaces the newest request of the team with the most waiting requests, and
    /// returns it. If the new request is of that team, or its team would have as many requests, the
    /// new request is rejected instead.
    ///
    /// # Errors
    ///
    /// Returns why the new request was rejected.
    ///
    /// ```
    /// use aspenrail::policy::admission::{FairQueue, Rejection, WaitingRequest};
    ///
    /// let mut queue = FairQueue::new();
    /// let it = |key| WaitingRequest { key, deadline_ms: 100 };
    /// queue.push("noisy", it(1), 2).unwrap();
    /// queue.push("noisy", it(2), 2).unwrap();
    /// assert_eq!(queue.push("noisy", it(3), 2), Err(Rejection::TeamShareExceeded));
    /// assert_eq!(queue.push("quiet", it(4), 2), Ok(Some(it(2))));
    /// ```
    pub fn push(
        &mut self,
        team: &str,
        it: WaitingRequest<K>,
        len_max: usize,
    ) -> Result<Option<WaitingRequest<K>>, Rejection> {
        let mut displaced = None;
        if len_max <= self.len {
            let own = self.teams.get(team).map_or(0, VecDeque::len);
            let largest = self
                .teams
                .iter()
                .max_by_key(|(_, list)| list.len())
                .map(|(name, list)| (name.clone(), list.len()));
            displaced = match largest {
                Some((name, len)) if own + 1 < len => {
                    self.teams.get_mut(&name).and_then(VecDeque::pop_back)
                }
                Some((name, _)) if name == team => return Err(Rejection::TeamShareExceeded),
                _ => return Err(Rejection::QueueFull),
            };
            self.len -= usize::from(displaced.is_some());
        }
        if self.teams.is_empty() {
            // Turns of the past give nobody a claim over another.
            self.served.clear();
        }
        if !self.teams.contains_key(team) {
            // A returning team gains no advantage: its count is at least the minimum of the others.
            let floor =
                self.teams.keys().filter_map(|it| self.served.get(it)).min().copied().unwrap_or(0);
            let served = self.served.entry(team.into()).or_insert(floor);
            *served = (*served).max(floor);
            let teams = &self.teams;
            self.served.retain(|it, count| it == team || floor < *count || teams.contains_key(it));
        }
        self.teams.entry(team.into()).or_default().push_back(it);
        self.len += 1;
        Ok(displaced)
    }

    /// Removes the oldest request of the least served team.
    pub fn pop(&mut self) -> Option<WaitingRequest<K>> {
        let served = &self.served;
        let team =
            self.teams.keys().min_by_key(|it| served.get(*it).copied().unwrap_or(0)).cloned()?;
        let list = self.teams.get_mut(&team)?;
        let it = list.pop_front();
        if list.is_empty() {
            self.teams.remove(&team);
        }
        if it.is_some() {
            self.len -= 1;
            *self.served.entry(team).or_insert(0) += 1;
        }
        it
    }

    /// Returns a request to the queue that [`FairQueue::pop`] has just removed.
    pub fn push_front(&mut self, team: &str, it: WaitingRequest<K>) {
        self.teams.entry(team.into()).or_default().push_front(it);
        self.len += 1;
        if let Some(served) = self.served.get_mut(team) {
            *served = served.saturating_sub(1);
        }
    }

    pub fn remove(&mut self, key: K) {
        for list in self.teams.values_mut() {
            let before = list.len();
            list.retain(|it| it.key != key);
            self.len -= before - list.len();
        }
        self.teams.retain(|_, list| !list.is_empty());
    }
}

impl<K: Copy + PartialEq> Default for FairQueue<K> {
    fn default() -> FairQueue<K> {
        FairQueue::new()
    }
}

/// Returns the expected wait of a new request behind `queued` others.
pub fn expected_wait_ms(queued: usize, slots: u32, answer_ms: f64) -> u64 {
    (queued as f64 * answer_ms / f64::from(slots.max(1))) as u64
}
