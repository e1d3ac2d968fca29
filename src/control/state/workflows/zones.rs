//! Availability zones that operators have evacuated, where nothing may begin.

use crate::{control::state::ValidationError, prelude::*};

/// Maximum number of evacuated zones, many times the number of zones in an installation.
const ZONES_MAX: usize = 256;

/// Maximum length of a zone name.
const NAME_MAX_BYTES: usize = 200;

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|it| it.zone == zone)
    }

    /// Checks a request to evacuate a zone or to undo that.
    ///
    /// A zone without VMs is accepted: VMs of that zone may be added later, and the list shows that
    /// there are none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid or too many zones are evacuated.
    pub fn check(&self, request: &EvacuateRequest) -> Result<(), ValidationError> {
        let problem = |why: CompactString| Err(ValidationError(why));
        match request.zone.as_str() {
            "" => problem("the name of the zone is empty".into()),
            name if NAME_MAX_BYTES < name.len() => problem(format_compact!(
                "the name of the zone has {} bytes; {NAME_MAX_BYTES} are the most",
                name.len()
            )),
            name if name.chars().any(char::is_control) => {
                problem("the name of the zone has control characters".into())
            }
            name if request.evacuated && ZONES_MAX <= self.zones.len() && !self.contains(name) => {
                problem(format_compact!("{ZONES_MAX} zones are out of use, which are the most"))
            }
            _ => Ok(()),
        }
    }

    /// Applies a change, unless another one was applied since the revision that it is based on.
    ///
    /// Every change raises the revision, even one without effect, so that a late copy of an earlier
    /// request cannot undo a later one.
    pub(super) fn apply(&mut self, change: &EvacuateZone, time_ms: u64) -> WorkflowOutcome {
        if change.based_on != self.revision {
            return WorkflowOutcome::Stale;
        }
        self.revision += 1;
        match (change.evacuated, self.contains(&change.zone)) {
            (true, false) => self.zones.push(Evacuation {
                zone: change.zone.clone(),
                by: change.by.clone(),
                since_ms: time_ms,
            }),
            (false, true) => self.zones.retain(|other| other.zone != change.zone),
            _ => (),
        }
        WorkflowOutcome::Accepted
    }
}
