//! Availability zones that operators have taken out of use.

use crate::{control::state::ValidationError, prelude::*};

/// Zones that may be out of use at once: many times what an installation has.
const ZONES_MAX: usize = 256;

/// Longest name of a zone, in bytes.
const NAME_MAX_BYTES: usize = 200;

impl Evacuations {
    /// Returns whether a zone is out of use.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|it| it.zone == zone)
    }

    /// Checks a request to change them.
    ///
    /// A name that no VM has is taken: VMs of that zone may come, and the list shows that there
    /// are none yet.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the name, or that too many zones are out of use.
    pub fn check(&self, it: &EvacuateRequest) -> Result<(), ValidationError> {
        let problem = |why: CompactString| Err(ValidationError(why));
        match it.zone.as_str() {
            "" => problem("the name of the zone is empty".into()),
            name if NAME_MAX_BYTES < name.len() => problem(format_compact!(
                "the name of the zone has {} bytes; {NAME_MAX_BYTES} are the most",
                name.len()
            )),
            name if name.chars().any(char::is_control) => {
                problem("the name of the zone has control characters".into())
            }
            name if it.evacuated && ZONES_MAX <= self.zones.len() && !self.contains(name) => {
                problem(format_compact!("{ZONES_MAX} zones are out of use, which are the most"))
            }
            _ => Ok(()),
        }
    }

    /// Applies a change, unless another one came since it was asked for.
    ///
    /// Each change counts, also one that changes nothing: a late copy of an earlier request must
    /// not undo a later one.
    pub(super) fn apply(&mut self, it: &EvacuateZone, time_ms: u64) -> WorkflowOutcome {
        if it.based_on != self.revision {
            return WorkflowOutcome::Stale;
        }
        self.revision += 1;
        match (it.evacuated, self.contains(&it.zone)) {
            (true, false) => self.zones.push(Evacuation {
                zone: it.zone.clone(),
                by: it.by.clone(),
                since_ms: time_ms,
            }),
            (false, true) => self.zones.retain(|other| other.zone != it.zone),
            _ => (),
        }
        WorkflowOutcome::Accepted
    }
}
