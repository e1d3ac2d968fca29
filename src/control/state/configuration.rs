//! The configuration and its history.

use std::collections::VecDeque;

use crate::{
    control::state::{Change, ReplyResult, State},
    prelude::*,
};

/// Changes kept to be shown, and to answer resends.
const HISTORY_MAX: usize = 2_000;

/// Teams and classes that a configuration may hold, so that it fits one message.
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
        it: &ConfigureCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        // A resend is recognised before the revision is compared: its own first success moved it.
        let earlier =
            self.history.iter().find(|row| row.operator == it.operator && row.key == it.key);
        if let Some(row) = earlier {
            return match row.change == it.change && row.based_on == it.based_on {
                true => Ok(Reply::Configured(row.revision)),
                false => Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} made another change", it.key),
                )),
            };
        }
        if it.based_on != self.configuration.revision {
            return Err(self.conflict(it));
        }
        check_change(&it.change)?;
        let Configuration { teams, classes, .. } = &mut self.configuration;
        match &it.change {
            ConfigChange::PutTeam(team) => put(teams, team, |it| &it.name)?,
            ConfigChange::PutClass(class) => put(classes, class, |it| &it.name)?,
            ConfigChange::DeleteTeam(name) => delete(teams, name, |it| &it.name)?,
            ConfigChange::DeleteClass(name) => delete(classes, name, |it| &it.name)?,
        }
        let revision = Revision(self.index);
        self.configuration.revision = revision;
        self.history.push(ConfigHistoryEntry {
            revision,
            based_on: it.based_on,
            operator: it.operator.clone(),
            key: it.key.clone(),
            change: it.change.clone(),
            at_ms: self.time_ms,
        });
        changes.push(Change::Configuration);
        Ok(Reply::Configured(revision))
    }

    fn conflict(&self, it: &ConfigureCommand) -> Refusal {
        let winner = self.history.iter().next_back().map(|row| {
            let change = serde_json::to_string(&row.change).unwrap_or_default();
            format!("; revision {} by {} is {change}", row.revision, row.operator)
        });
        let detail = format!(
            "the change is based on revision {}, in force is {}{}",
            it.based_on,
            self.configuration.revision,
            winner.unwrap_or_default()
        );
        refusal(ErrorKind::RevisionConflict, detail)
    }
}

/// Checks the values of a change by themselves.
fn check_change(change: &ConfigChange) -> Result<(), Refusal> {
    let bad = |detail: &str| Err(refusal(ErrorKind::BadRequest, detail));
    match change {
        ConfigChange::PutTeam(it) if it.name.is_empty() => bad("a team needs a name"),
        ConfigChange::PutClass(it) if it.name.is_empty() => bad("a class needs a name"),
        ConfigChange::PutClass(it) if 999 < it.answer_percentile_permille => {
            bad("answer_percentile_permille is out of range 0 to 999")
        }
        ConfigChange::PutClass(it)
            if it.kind == ClassKind::LatencyCritical
                && (it.answer_target_ms == 0 || it.deadline_max_ms == 0) =>
        {
            bad("a latency_critical class needs answer_target_ms and deadline_max_ms above 0")
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
        Some(at) => list[at] = item.clone(),
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
    let Some(at) = list.iter().position(|it| name_of(it) == name) else {
        return Err(refusal(ErrorKind::NotFound, format_compact!("nothing is named {name}")));
    };
    list.remove(at);
    Ok(())
}
