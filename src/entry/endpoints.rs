//! An entry's view of the endpoints.

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
    /// Key of an endpoint in this entry's slot map.
    pub(super) struct EndpointKey;
}

/// Answer time assumed for an endpoint that has not answered yet.
const INITIAL_ANSWER_MS: f64 = 5.0;

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub id: EndpointId,
    pub agent: SocketAddr,
    pub class: CompactString,
    pub slots: u32,
    pub leaving: bool,
    /// No longer in the directory; kept while requests are in flight there.
    pub is_removed: bool,
    pub in_flight: u32,
    pub ejection: Ejection,
    pub answer_time: AnswerTimeEstimate,
    same_zone: bool,
    reported_in_flight: u32,
    report_received_ms: u64,
}

impl Endpoint {
    pub(super) fn note_load(&mut self, load: Load, now: Now) {
        self.reported_in_flight = load.in_use + load.queued;
        self.report_received_ms = now.mono_ms;
    }

    fn view(&self, now: Now) -> EndpointView {
        EndpointView {
            slots: self.slots,
            own_in_flight: self.in_flight,
            reported_in_flight: self.reported_in_flight,
            report_age_ms: now.mono_ms.saturating_sub(self.report_received_ms),
            answer_ms: self.answer_time.mean_ms(),
            same_zone: self.same_zone,
        }
    }

    /// Returns whether this entry may send one more request to the endpoint now.
    fn admits(&self, now: Now) -> bool {
        !self.leaving
            && !self.is_removed
            && self.in_flight < self.slots
            && self.ejection.admits(now.mono_ms)
    }
}

/// All known endpoints, with indexes by id and by class.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: BTreeMap<EndpointId, EndpointKey>,
    by_class: BTreeMap<CompactString, Vec<EndpointKey>>,
    pub epoch: u64,
    pub version: u64,
    /// Reused by [`Endpoints::choose`].
    sample_indices: Vec<usize>,
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

    /// Returns whether any endpoint of a class accepts requests.
    pub(super) fn has_accepting(&self, class: &str) -> bool {
        self.accepting_endpoints(class).next().is_some()
    }

    /// Returns the total slots of a class's endpoints that accept requests.
    pub(super) fn accepting_slots(&self, class: &str) -> u32 {
        self.accepting_endpoints(class).map(|it| it.slots).sum()
    }

    /// Returns the mean estimated answer time of a class's endpoints.
    pub(super) fn mean_answer_ms(&self, class: &str) -> f64 {
        let keys = self.keys_of_class(class);
        let sum: f64 = keys
            .iter()
            .filter_map(|it| self.endpoints.get(*it))
            .map(|it| it.answer_time.mean_ms())
            .sum();
        if keys.is_empty() { INITIAL_ANSWER_MS } else { sum / keys.len() as f64 }
    }

    /// Returns the permille of a class's endpoints that are ejected now, not counting `key`.
    pub(super) fn ejected_permille(&self, class: &str, key: EndpointKey, now: Now) -> u32 {
        let keys = self.keys_of_class(class);
        let others = keys.iter().filter(|it| **it != key).filter_map(|it| self.endpoints.get(*it));
        let ejected = others.filter(|it| !it.ejection.admits(now.mono_ms)).count();
        (ejected * 1_000 / keys.len().max(1)) as u32
    }

    /// Chooses an endpoint for a request, except `tried_endpoints`: the best of a few drawn at
    /// random, or of the first few found by a scan if none of those admits the request.
    pub(super) fn choose(
        &mut self,
        class: &str,
        tried_endpoints: &[EndpointId],
        now: Now,
        random: &mut fastrand::Rng,
    ) -> Option<EndpointKey> {
        let mut sample_indices = std::mem::take(&mut self.sample_indices);
        let keys = self.keys_of_class(class);
        routing::sample_indices(keys.len(), random, &mut sample_indices);
        let admitting = |key: &EndpointKey| {
            let it = self.endpoints.get(*key)?;
            (it.admits(now) && !tried_endpoints.contains(&it.id)).then(|| (*key, it.view(now)))
        };
        let mut candidates: Vec<_> =
            sample_indices.iter().filter_map(|index| admitting(keys.get(*index)?)).collect();
        if candidates.is_empty() && routing::SAMPLES < keys.len() {
            // Starts at a random position, so that scans do not favour the first endpoints.
            let start = random.usize(0..keys.len());
            let scan = keys[start..].iter().chain(&keys[..start]);
            candidates = scan.filter_map(admitting).take(routing::SAMPLES).collect();
        }
        let views: Vec<_> = candidates.iter().map(|(_, it)| *it).collect();
        let res = routing::index_of_best(&views).map(|index| candidates[index].0);
        self.sample_indices = sample_indices;
        res
    }

    /// Applies a directory update from control; ignores an older one.
    pub(super) fn update(&mut self, update: DirectoryUpdate, zone: &str, now: Now) {
        let is_outdated = update.epoch < self.epoch
            || (update.epoch == self.epoch && update.version < self.version);
        if is_outdated {
            return;
        }
        self.epoch = update.epoch;
        self.version = update.version;
        if update.whole {
            let listed_ids: std::collections::HashSet<_> =
                update.endpoints.iter().map(|it| it.id).collect();
            let unlisted_ids: Vec<_> =
                self.by_id.keys().filter(|id| !listed_ids.contains(id)).copied().collect();
            unlisted_ids.into_iter().for_each(|id| self.remove(id));
        }
        update.gone.into_iter().for_each(|id| self.remove(id));
        for endpoint in update.endpoints {
            self.upsert(endpoint, zone, now);
        }
    }

    /// Notes that an endpoint accepts no new requests.
    pub(super) fn note_leaving(&mut self, id: EndpointId) {
        if let Some(it) = self.key_of(id).and_then(|key| self.endpoints.get_mut(key)) {
            it.leaving = true;
        }
    }

    /// Counts a request as in flight at an endpoint.
    pub(super) fn note_sent(&mut self, key: EndpointKey) {
        if let Some(it) = self.endpoints.get_mut(key) {
            it.in_flight += 1;
            it.ejection.note_sent();
        }
    }

    /// Notes that a request is no longer in flight at an endpoint.
    pub(super) fn note_ended(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if endpoint.is_removed && endpoint.in_flight == 0 {
            self.endpoints.remove(key);
        }
    }

    fn accepting_endpoints(&self, class: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.keys_of_class(class).iter().filter_map(|it| self.endpoints.get(*it));
        endpoints.filter(|it| !it.leaving)
    }

    fn keys_of_class(&self, class: &str) -> &[EndpointKey] {
        self.by_class.get(class).map_or(&[], Vec::as_slice)
    }

    fn upsert(&mut self, listed: DirectoryEndpoint, zone: &str, now: Now) {
        if let Some(known) = self.by_id.get(&listed.id).and_then(|key| self.endpoints.get_mut(*key))
            && known.class == listed.class
        {
            known.slots = listed.slots;
            known.leaving = listed.leaving;
            known.agent = listed.agent;
            return;
        }
        self.remove(listed.id);
        let class = listed.class.clone();
        let endpoint = Endpoint {
            id: listed.id,
            agent: listed.agent,
            class: listed.class,
            slots: listed.slots,
            leaving: listed.leaving,
            is_removed: false,
            in_flight: 0,
            ejection: Ejection::default(),
            answer_time: AnswerTimeEstimate::new(INITIAL_ANSWER_MS),
            same_zone: listed.zone == zone,
            reported_in_flight: 0,
            report_received_ms: now.mono_ms,
        };
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(listed.id, key);
        self.by_class.entry(class).or_default().push(key);
    }

    fn remove(&mut self, id: EndpointId) {
        let Some(key) = self.by_id.remove(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.is_removed = true;
        let is_idle = endpoint.in_flight == 0;
        if let Some(list) = self.by_class.get_mut(&endpoint.class) {
            list.retain(|other| *other != key);
            if list.is_empty() {
                let class = endpoint.class.clone();
                self.by_class.remove(&class);
            }
        }
        if is_idle {
            self.endpoints.remove(key);
        }
    }
}
