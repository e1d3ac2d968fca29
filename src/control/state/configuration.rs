//! The configuration and its history.

use std::collections::VecDeque;

use crate::{
    control::state::{Change, ReplyResult, State},
    prelude::*,
};

/// Changes kept for display and for recognising resent commands.
const HISTORY_MAX: usize = 2_000;

/// Maximum number of teams and of classes, so that a configuration fits into one message.
const ITEMS_MAX: usize = 1_000;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigHistoryEntry {
    pub revision: Revision,
    pub based_on: Revision,
    pub operator: CompactString,
    pub key: CompactString,
    pub change: ConfigChange,
    pub at_ms: u64,
}

/// The newest accepted changes, oldest first.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct ConfigHistory {
    rows: VecDeque<ConfigHistoryEntry>,
}

impl ConfigHistory {
    /// Returns the changes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &ConfigHistoryEntry> {
        self.rows.iter()
    }

    fn push(&mut self, row: ConfigHistoryEntry) {
        self.rows.push_back(row);
        if HISTORY_MAX < self.rows.len() {
            self.rows.pop_front();
        }
    }
}

impl State {
    pub(super) fn configure(
        &mut self,
        command: &ConfigureCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        // Checked before the revision, which the first success of a resent command has changed.
        let applied = self
            .history
            .iter()
            .find(|row| row.operator == command.operator && row.key == command.key);
        if let Some(row) = applied {
            return match row.change == command.change && row.based_on == command.based_on {
                true => Ok(Reply::Configured(row.revision)),
                false => Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} made another change", command.key),
                )),
            };
        }
        if command.based_on != self.configuration.revision {
            return Err(self.revision_conflict(command));
        }
        check_change(&command.change)?;
        let Configuration { teams, classes, .. } = &mut self.configuration;
        match &command.change {
            ConfigChange::PutTeam(team) => put(teams, team, |it| &it.name)?,
            ConfigChange::PutClass(class) => put(classes, class, |it| &it.name)?,
            ConfigChange::DeleteTeam(name) => delete(teams, name, |it| &it.name)?,
            ConfigChange::DeleteClass(name) => delete(classes, name, |it| &it.name)?,
        }
        let revision = Revision(self.index);
        self.configuration.revision = revision;
        self.history.push(ConfigHistoryEntry {
            revision,
            based_on: command.based_on,
            operator: command.operator.clone(),
            key: command.key.clone(),
            change: command.change.clone(),
            at_ms: self.time_ms,
        });
        changes.push(Change::Configuration);
        Ok(Reply::Configured(revision))
    }

    fn revision_conflict(&self, command: &ConfigureCommand) -> Refusal {
        let last_change = self.history.iter().next_back().map(|row| {
            let change = serde_json::to_string(&row.change).unwrap_or_default();
            format!("; revision {} by {} is {change}", row.revision, row.operator)
        });
        let detail = format!(
            "the change is based on revision {}, in force is {}{}",
            command.based_on,
            self.configuration.revision,
            last_change.unwrap_or_default()
        );
        refusal(ErrorKind::RevisionConflict, detail)
    }
}

/// Checks the values of a change without regard to the configuration in force.
fn check_change(change: &ConfigChange) -> Result<(), Refusal> {
    let bad_request = |detail: &str| Err(refusal(ErrorKind::BadRequest, detail));
    match change {
        ConfigChange::PutTeam(it) if it.name.is_empty() => bad_request("a team needs a name"),
        ConfigChange::PutClass(it) if it.name.is_empty() => bad_request("a class needs a name"),
        ConfigChange::PutClass(it) if 999 < it.answer_percentile_permille => {
            bad_request("answer_percentile_permille is out of range 0 to 999")
        }
        ConfigChange::PutClass(it)
            if it.kind == ClassKind::LatencyCritical
                && (it.answer_target_ms == 0 || it.deadline_max_ms == 0) =>
        {
            bad_request(
                "a latency_critical class needs answer_target_ms and deadline_max_ms above 0",
            )
        }
        _ => Ok(()),
    }
}

fn put<T: Clone>(
    list: &mut Vec<T>,
    item: &T,
    name_of: fn(&T) -> &CompactString,
) -> Result<(), Refusal> {
    match list.iter().position(|it| name_of(it) == name_of(item)) {
        Some(index) => list[index] = item.clone(),
        None if ITEMS_MAX <= list.len() => {
            return Err(refusal(
                ErrorKind::TableFull,
                format_compact!("{ITEMS_MAX} items are the most"),
            ));
        }
        None => list.push(item.clone()),
    }
    Ok(())
}

fn delete<T>(
    list: &mut Vec<T>,
    name: &str,
    name_of: fn(&T) -> &CompactString,
) -> Result<(), Refusal> {
    let Some(index) = list.iter().position(|it| name_of(it) == name) else {
        return Err(refusal(ErrorKind::NotFound, format_compact!("nothing is named {name}")));
    };
    list.remove(index);
    Ok(())
}
