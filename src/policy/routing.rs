//! Selection of the endpoint for a latency-critical request.
//!
//! A few candidates are sampled at random, and the one with the least expected answer time is
//! chosen. The expectation combines the requests that this entry has in flight to the endpoint with
//! the endpoint's own report, whose weight decays with its age.

/// Candidates sampled for one request.
pub const SAMPLES: usize = 3;

/// Age at which a report has half its weight.
const REPORT_HALF_LIFE_MS: f64 = 200.0;

/// Round-trip time to another availability zone.
const ZONE_ROUND_TRIP_MS: f64 = 3.0;

/// The state of one endpoint as known to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointView {
    pub slots: u32,
    /// Requests of this entry in flight to the endpoint.
    pub own_in_flight: u32,
    /// Requests running and waiting at the endpoint by its last report, including those of other
    /// entries.
    pub reported_in_flight: u32,
    pub report_age_ms: u64,
    /// Estimated answer time on a free slot.
    pub answer_ms: f64,
    pub same_zone: bool,
}

/// Returns the expected time until the endpoint answers one more request.
pub fn expected_ms(it: &EndpointView) -> f64 {
    // With the age of the report, the load decays towards this entry's own requests in flight.
    let weight = 0.5f64.powf(it.report_age_ms as f64 / REPORT_HALF_LIFE_MS);
    let own = f64::from(it.own_in_flight);
    let load = own + (f64::from(it.reported_in_flight) - own).max(0.0) * weight;
    let slots = f64::from(it.slots.max(1));
    // A request starts at once on a free slot, and otherwise waits until requests ahead of it are
    // answered. The second term, 0.1 times the utilization, spreads requests over endpoints with
    // free slots.
    let waiting_rounds = ((load + 1.0 - slots) / slots).max(0.0) + 0.1 * load / slots;
    let round_trip_ms = if it.same_zone { 0.0 } else { ZONE_ROUND_TRIP_MS };
    it.answer_ms.max(0.1) * (1.0 + waiting_rounds) + round_trip_ms
}

/// Returns the index of the view with the least expected answer time.
pub fn index_of_best(views: &[EndpointView]) -> Option<usize> {
    let scored = views.iter().enumerate().map(|(at, it)| (at, expected_ms(it)));
    scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Fills `picked` with up to [`SAMPLES`] different random indices below `len`.
pub fn sample_indices(len: usize, random: &mut fastrand::Rng, picked: &mut Vec<usize>) {
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

/// A moving average of answer times.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeEstimate {
    mean_ms: f64,
}

impl AnswerTimeEstimate {
    /// Creates an estimate that starts at `initial_ms`.
    pub fn new(initial_ms: f64) -> AnswerTimeEstimate {
        AnswerTimeEstimate { mean_ms: initial_ms }
    }

    /// Records an answer time. Times above the mean have more weight, so that the estimate rises
    /// faster than it falls.
    pub fn observe(&mut self, answer_ms: f64) {
        let gain = if self.mean_ms < answer_ms { 0.3 } else { 0.1 };
        self.mean_ms += (answer_ms - self.mean_ms) * gain;
    }

    pub fn mean_ms(self) -> f64 {
        self.mean_ms
    }
}
