//! Bounds on the starts in a grant. Each start carries the payload of its workflow, so that a small
//! submission of many tasks takes many times its bytes on the links to the nodes.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Memory of the starts at which a grant is full.
const GRANT_MAX_BYTES: usize = 1 << 20;

/// Memory of the starts at which all grants of one turn are full.
const TURN_MAX_BYTES: usize = 16 << 20;

/// The memory that the grants of a turn may still use for starts.
#[derive(Debug)]
pub(super) struct StartMemory {
    turn_left_bytes: usize,
}

/// The starts of one grant.
#[derive(Debug, Default)]
pub(super) struct StartBatch {
    pub starts: Vec<StartRun>,
    /// Whether it has all starts that are due and were sent before: a node withdraws pending starts
    /// that are missing in a complete grant.
    pub has_all_sent: bool,
    /// The starts that are due and were sent, with this grant or before.
    pub sent: BTreeSet<RunRef>,
}

impl Default for StartMemory {
    fn default() -> StartMemory {
        StartMemory { turn_left_bytes: TURN_MAX_BYTES }
    }
}

impl StartMemory {
    /// Returns the starts of the runs in `due` that fit into one grant. Starts that were sent before
    /// come first; the others follow in later grants, and one larger than a grant goes alone.
    pub(super) fn take(
        &mut self,
        due: &[RunRef],
        sent: &BTreeSet<RunRef>,
        start_of: impl Fn(RunRef) -> Option<StartRun>,
    ) -> StartBatch {
        let mut res = StartBatch { has_all_sent: true, ..StartBatch::default() };
        let mut left_bytes = GRANT_MAX_BYTES.min(self.turn_left_bytes);
        let (again, new): (Vec<RunRef>, Vec<RunRef>) = due.iter().partition(|it| sent.contains(it));
        for run in again.iter().chain(&new) {
            let was_sent = sent.contains(run);
            match left_bytes {
                0 if was_sent => {
                    res.has_all_sent = false;
                    res.sent.insert(*run);
                    continue;
                }
                0 => break,
                _ => (),
            }
            let Some(start) = start_of(*run) else { continue };
            left_bytes = left_bytes.saturating_sub(start_bytes(&start));
            self.turn_left_bytes = self.turn_left_bytes.saturating_sub(start_bytes(&start));
            res.sent.insert(*run);
            res.starts.push(start);
        }
        res
    }
}

fn start_bytes(it: &StartRun) -> usize {
    size_of::<StartRun>() + it.payload.len() + it.checkpoint.len()
}
