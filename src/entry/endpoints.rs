//! What an entry knows of the endpoints.

use std::{collections::BTreeMap, net::SocketAddr};

use slotmap::SlotMap;

use crate::{
    policy::{
        retry::Ejection,
        routing::{self, AnswerTimeEstimate, EndpointView},
    },
    prelude::*,
};

slotmap::new_key_type! {
    /// A small copyable key of an endpoint in this entry.
    pub(super) struct EndpointKey;
}

/// Answer time assumed of an endpoint that has not answered yet.
const FIRST_GUESS_MS: f64 = 5.0;

/// One endpoint as this entry knows it.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub id: EndpointId,
    pub agent: SocketAddr,
    pub class: CompactString,
    pub slots: u32,
    pub leaving: bool,
    /// No longer in the directory; kept while something is in flight there.
    pub gone: bool,
    pub in_flight: u32,
    pub ejection: Ejection,
    pub answer_time: AnswerTimeEstimate,
    same_zone: bool,
    reported: u32,
    reported_ms: u64,
}

impl Endpoint {
    pub(super) fn note_load(&mut self, it: Load, now: Now) {
        self.reported = it.in_use + it.queued;
        self.reported_ms = now.mono_ms;
    }

    fn view(&self, now: Now) -> EndpointView {
        EndpointView {
            slots: self.slots,
            own_in_flight: self.in_flight,
            reported_in_flight: self.reported,
            report_age_ms: now.mono_ms.saturating_sub(self.reported_ms),
            answer_ms: self.answer_time.mean_ms(),
            same_zone: self.same_zone,
        }
    }

    /// Returns whether one more request of this entry may be sent there now.
    fn admits(&self, now: Now) -> bool {
        !self.leaving
            && !self.gone
            && self.in_flight < self.slots
            && self.ejection.admits(now.mono_ms)
    }
}

/// All endpoints, by key and by class.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: BTreeMap<EndpointId, EndpointKey>,
    by_class: BTreeMap<CompactString, Vec<EndpointKey>>,
    pub epoch: u64,
    pub version: u64,
    picked: Vec<usize>,
}

impl Endpoints {
    pub(super) fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    pub(super) fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    pub(super) fn key_of(&self, id: EndpointId) -> Option<EndpointKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns whether any endpoint of a class takes requests.
    pub(super) fn has_open(&self, class: &str) -> bool {
        self.open_of(class).next().is_some()
    }

    /// Returns the slots of a class's endpoints that take requests.
    pub(super) fn slots_of(&self, class: &str) -> u32 {
        self.open_of(class).map(|it| it.slots).sum()
    }

    /// Returns the mean answer time estimated of a class.
    pub(super) fn answer_ms_of(&self, class: &str) -> f64 {
        let keys = self.of_class(class);
        let sum: f64 = keys
            .iter()
            .filter_map(|it| self.endpoints.get(*it))
            .map(|it| it.answer_time.mean_ms())
            .sum();
        if keys.is_empty() { FIRST_GUESS_MS } else { sum / keys.len() as f64 }
    }

    /// Returns the permille of a class's endpoints that are left out now, `key` not counted.
    pub(super) fn out_permille(&self, class: &str, key: EndpointKey, now: Now) -> u32 {
        let keys = self.of_class(class);
        let others = keys.iter().filter(|it| **it != key).filter_map(|it| self.endpoints.get(*it));
        let out = others.filter(|it| !it.ejection.admits(now.mono_ms)).count();
        (out * 1_000 / keys.len().max(1)) as u32
    }

    /// Chooses an endpoint for a request: the best of a few drawn at random, or any that takes
    /// it where none of those does. `tried` are left out.
    pub(super) fn choose(
        &mut self,
        class: &str,
        tried: &[EndpointId],
        now: Now,
        random: &mut fastrand::Rng,
    ) -> Option<EndpointKey> {
        let mut picked = std::mem::take(&mut self.picked);
        let keys = self.of_class(class);
        routing::sample(keys.len(), random, &mut picked);
        let open = |key: &EndpointKey| {
            let it = self.endpoints.get(*key)?;
            (it.admits(now) && !tried.contains(&it.id)).then(|| (*key, it.view(now)))
        };
        let mut candidates: Vec<_> = picked.iter().filter_map(|at| open(keys.get(*at)?)).collect();
        if candidates.is_empty() && routing::SAMPLES < keys.len() {
            // From a random place on, so that a long scan does not favour the first.
            let start = random.usize(0..keys.len());
            let scan = keys[start..].iter().chain(&keys[..start]);
            candidates = scan.filter_map(open).take(routing::SAMPLES).collect();
        }
        let views: Vec<_> = candidates.iter().map(|(_, it)| *it).collect();
        let res = routing::best_of(&views).map(|at| candidates[at].0);
        self.picked = picked;
        res
    }

    /// Takes in what control tells of the directory.
    pub(super) fn update(&mut self, it: DirectoryUpdate, zone: &str, now: Now) {
        let is_older =
            it.epoch < self.epoch || (it.epoch == self.epoch && it.version < self.version);
        if is_older {
            return;
        }
        self.epoch = it.epoch;
        self.version = it.version;
        if it.whole {
            let listed: std::collections::HashSet<_> =
                it.endpoints.iter().map(|it| it.id).collect();
            let gone: Vec<_> =
                self.by_id.keys().filter(|id| !listed.contains(id)).copied().collect();
            gone.into_iter().for_each(|id| self.remove(id));
        }
        it.gone.into_iter().for_each(|id| self.remove(id));
        for endpoint in it.endpoints {
            self.put(endpoint, zone, now);
        }
    }

    /// Notes that an endpoint takes no new work.
    pub(super) fn note_leaving(&mut self, id: EndpointId) {
        if let Some(it) = self.key_of(id).and_then(|key| self.endpoints.get_mut(key)) {
            it.leaving = true;
        }
    }

    /// Notes a request sent to an endpoint.
    pub(super) fn note_sent(&mut self, key: EndpointKey) {
        if let Some(it) = self.endpoints.get_mut(key) {
            it.in_flight += 1;
            it.ejection.note_sent();
        }
    }

    /// Notes that nothing more is expected of a request sent.
    pub(super) fn note_ended(&mut self, key: EndpointKey) {
        let Some(it) = self.endpoints.get_mut(key) else { return };
        it.in_flight = it.in_flight.saturating_sub(1);
        if it.gone && it.in_flight == 0 {
            self.endpoints.remove(key);
        }
    }

    fn open_of(&self, class: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.of_class(class).iter().filter_map(|it| self.endpoints.get(*it));
        endpoints.filter(|it| !it.leaving)
    }

    fn of_class(&self, class: &str) -> &[EndpointKey] {
        self.by_class.get(class).map_or(&[], Vec::as_slice)
    }

    fn put(&mut self, it: DirectoryEndpoint, zone: &str, now: Now) {
        if let Some(known) = self.by_id.get(&it.id).and_then(|key| self.endpoints.get_mut(*key))
            && known.class == it.class
        {
            known.slots = it.slots;
            known.leaving = it.leaving;
            known.agent = it.agent;
            return;
        }
        self.remove(it.id);
        let class = it.class.clone();
        let endpoint = Endpoint {
            id: it.id,
            agent: it.agent,
            class: it.class,
            slots: it.slots,
            leaving: it.leaving,
            gone: false,
            in_flight: 0,
            ejection: Ejection::default(),
            answer_time: AnswerTimeEstimate::new(FIRST_GUESS_MS),
            same_zone: it.zone == zone,
            reported: 0,
            reported_ms: now.mono_ms,
        };
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(it.id, key);
        self.by_class.entry(class).or_default().push(key);
    }

    fn remove(&mut self, id: EndpointId) {
        let Some(key) = self.by_id.remove(&id) else { return };
        let Some(it) = self.endpoints.get_mut(key) else { return };
        it.gone = true;
        let idle = it.in_flight == 0;
        if let Some(list) = self.by_class.get_mut(&it.class) {
            list.retain(|other| *other != key);
            if list.is_empty() {
                let class = it.class.clone();
                self.by_class.remove(&class);
            }
        }
        if idle {
            self.endpoints.remove(key);
        }
    }
}
