//! Workers that were marked as lost in silence, and the tasks that ran there.
//!
//! Such a worker has crashed or was only cut off. Which of both is known once its node is heard
//! again: the same incarnation was cut off, and another one has replaced one that crashed. Silences
//! that counted as crashes at once gave up tasks whose workers had been cut off.

use std::net::SocketAddr;

use crate::prelude::*;

/// Time after which a silence is forgotten: its VM may be gone for good.
const SILENCE_MAX_MS: u64 = 60_000;

/// The silences that are not resolved.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Silences {
    silences: Vec<Silence>,
}

/// A worker that was marked as lost in silence.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Silence {
    pub name: CompactString,
    pub node: SocketAddr,
    pub since_ms: u64,
    /// Tasks with a run there that may have crashed it.
    pub tasks: Vec<TaskRef>,
}

/// The tasks of silences that are resolved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedTasks {
    /// The worker was cut off, or it is not known what became of it.
    pub harmless: Vec<TaskRef>,
    /// The worker crashed.
    pub crashed: Vec<TaskRef>,
}

impl Silences {
    pub(super) fn add(&mut self, silence: Silence) {
        self.silences.push(silence);
    }

    /// Returns the number of open silences of a task.
    pub(super) fn count(&self, task: TaskRef) -> u32 {
        self.silences.iter().filter(|it| it.tasks.contains(&task)).count() as u32
    }

    /// Resolves the silences at a node where an incarnation registers.
    pub(super) fn resolve(&mut self, registration: &EnrolWorker) -> ResolvedTasks {
        let mut res = ResolvedTasks::default();
        for it in self.silences.extract_if(.., |it| it.node == registration.node) {
            match it.name == registration.name {
                true => res.harmless.extend(it.tasks),
                false => res.crashed.extend(it.tasks),
            }
        }
        res
    }

    /// Forgets the silences that have lasted too long; returns their tasks.
    pub(super) fn expire(&mut self, time_ms: u64) -> Vec<TaskRef> {
        let is_over = |it: &mut Silence| it.since_ms + SILENCE_MAX_MS <= time_ms;
        self.silences.extract_if(.., is_over).flat_map(|it| it.tasks).collect()
    }
}
