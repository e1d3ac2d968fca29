//! Which endpoint a quick request goes to.
//!
//! A few candidates are drawn at random, and the one with the least expected answer time wins.
//! The expectation joins what this entry has in flight there with the endpoint's own report,
//! which counts for less the older it is.

/// Candidates drawn for one request.
pub const SAMPLES: usize = 3;

/// Age at which a report counts half.
const REPORT_HALF_LIFE_MS: f64 = 200.0;

/// What a hop into another availability zone costs, there and back.
const HOP_MS: f64 = 3.0;

/// What an entry knows of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointView {
    pub slots: u32,
    /// Requests of this entry in flight there.
    pub own_in_flight: u32,
    /// Requests running and waiting there by its last report, those of other entries included.
    pub reported_in_flight: u32,
    pub report_age_ms: u64,
    /// Estimated time of one answer on a free slot.
    pub answer_ms: f64,
    pub same_zone: bool,
}

/// Returns the expected time until the endpoint answers one more request.
pub fn expected_ms(it: &EndpointView) -> f64 {
    // Old reports fade towards what this entry knows by itself.
    let weight = 0.5f64.powf(it.report_age_ms as f64 / REPORT_HALF_LIFE_MS);
    let own = f64::from(it.own_in_flight);
    let load = own + (f64::from(it.reported_in_flight) - own).max(0.0) * weight;
    let slots = f64::from(it.slots.max(1));
    // Up to the slots a request starts at once; beyond them it waits for whole rounds. The small
    // part below the slots spreads requests over equal endpoints.
    let waiting_rounds = ((load + 1.0 - slots) / slots).max(0.0) + 0.1 * load / slots;
    let hop_ms = if it.same_zone { 0.0 } else { HOP_MS };
    it.answer_ms.max(0.1) * (1.0 + waiting_rounds) + hop_ms
}

/// Returns the index of the best of the sampled views.
pub fn best_of(views: &[EndpointView]) -> Option<usize> {
    let scored = views.iter().enumerate().map(|(at, it)| (at, expected_ms(it)));
    scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Draws up to [`SAMPLES`] different positions below `len`, in `picked`.
pub fn sample(len: usize, random: &mut fastrand::Rng, picked: &mut Vec<usize>) {
    picked.clear();
    if len <= SAMPLES {
        picked.extend(0..len);
        return;
    }
    while picked.len() < SAMPLES {
        let at = random.usize(0..len);
        if !picked.contains(&at) {
            picked.push(at);
        }
    }
}

/// A moving estimate of an answer time.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeEstimate {
    mean_ms: f64,
}

impl AnswerTimeEstimate {
    /// Makes an estimate that starts at `guess_ms`.
    pub fn new(guess_ms: f64) -> AnswerTimeEstimate {
        AnswerTimeEstimate { mean_ms: guess_ms }
    }

    /// Learns an answer time; slower ones count at once, faster ones slowly.
    pub fn observe(&mut self, answer_ms: f64) {
        let gain = if self.mean_ms < answer_ms { 0.3 } else { 0.1 };
        self.mean_ms += (answer_ms - self.mean_ms) * gain;
    }

    pub fn mean_ms(self) -> f64 {
        self.mean_ms
    }
}
