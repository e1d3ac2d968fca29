//! Durable subscriptions, read by cursor.

use std::collections::{BTreeMap, VecDeque};

use crate::{control::state::ReplyResult, prelude::*, util::GroupId};

/// A durable subscription.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Watch {
    pub id: WatchId,
    pub team: CompactString,
    pub key: CompactString,
    pub subject: CompactString,
    events_max: u32,
    next_cursor: u64,
    events: VecDeque<WatchEvent>,
}

impl Watch {
    /// Returns the events after `cursor`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when events after `cursor` have been dropped, with the oldest cursor that
    /// can still be read from. So no event is skipped without notice.
    pub fn read(&self, cursor: u64, limit: usize) -> Result<Vec<WatchEvent>, Refusal> {
        let oldest = self.next_cursor - self.events.len() as u64;
        if cursor.saturating_add(1) < oldest {
            let detail =
                format_compact!("cursor {cursor} is too old, events are kept after {}", oldest - 1);
            return Err(refusal(ErrorKind::CursorTooOld, detail));
        }
        Ok(self.events.iter().filter(|it| cursor < it.cursor).take(limit).cloned().collect())
    }

    fn push(&mut self, body: &CompactString, at_ms: u64) {
        let event = WatchEvent {
            cursor: self.next_cursor,
            at_ms,
            subject: self.subject.clone(),
            body: body.clone(),
        };
        self.events.push_back(event);
        self.next_cursor += 1;
        if (self.events_max as usize) < self.events.len() {
            self.events.pop_front();
        }
    }
}

/// All watches.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Watches {
    watches: BTreeMap<WatchId, Watch>,
    by_key: BTreeMap<(CompactString, CompactString), WatchId>,
    by_subject: BTreeMap<(CompactString, CompactString), Vec<WatchId>>,
    /// Keys of published events with their times, so that a resent event is delivered once.
    published: BTreeMap<(CompactString, CompactString), u64>,
    #[serde(rename = "next")]
    last_index: u64,
}

impl Watches {
    pub fn get(&self, team: &str, id: WatchId) -> Option<&Watch> {
        self.watches.get(&id).filter(|it| it.team == team)
    }

    pub fn len(&self) -> usize {
        self.watches.len()
    }

    pub fn is_empty(&self) -> bool {
        self.watches.is_empty()
    }

    /// Returns the number of kept keys of published events.
    pub fn published_key_count(&self) -> usize {
        self.published.len()
    }

    pub(super) fn create(
        &mut self,
        group_id: GroupId,
        command: &CreateWatchCommand,
    ) -> ReplyResult {
        let key = (command.team.clone(), command.key.clone());
        if let Some(&id) = self.by_key.get(&key) {
            return match self.watches.get(&id).is_some_and(|watch| watch.subject == command.subject)
            {
                true => Ok(Reply::WatchCreated(id)),
                false => Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} names another watch", command.key),
                )),
            };
        }
        self.last_index += 1;
        let id = WatchId(group_id.pack(self.last_index));
        let watch = Watch {
            id,
            team: command.team.clone(),
            key: command.key.clone(),
            subject: command.subject.clone(),
            events_max: command.events_max.max(1),
            next_cursor: 1,
            events: VecDeque::new(),
        };
        self.by_key.insert(key, id);
        self.by_subject
            .entry((command.team.clone(), command.subject.clone()))
            .or_default()
            .push(id);
        self.watches.insert(id, watch);
        Ok(Reply::WatchCreated(id))
    }

    pub(super) fn delete(&mut self, command: &DeleteWatchCommand) -> ReplyResult {
        // Deleting a deleted watch succeeds, so that a resend after a lost answer succeeds too.
        if self.get(&command.team, command.watch).is_some()
            && let Some(watch) = self.watches.remove(&command.watch)
        {
            self.by_key.remove(&(watch.team.clone(), watch.key));
            let subject = (watch.team, watch.subject);
            if let Some(ids) = self.by_subject.get_mut(&subject) {
                ids.retain(|id| *id != command.watch);
                if ids.is_empty() {
                    self.by_subject.remove(&subject);
                }
            }
        }
        Ok(Reply::Done)
    }

    pub(super) fn publish(&mut self, command: &PublishCommand, time_ms: u64) -> ReplyResult {
        let key = (command.team.clone(), command.key.clone());
        if self.published.insert(key, time_ms).is_none() {
            self.notify(&command.team, &command.subject, &command.body, time_ms);
        }
        Ok(Reply::Done)
    }

    pub(super) fn notify(
        &mut self,
        team: &CompactString,
        subject: &CompactString,
        body: &CompactString,
        time_ms: u64,
    ) {
        let ids =
            self.by_subject.get(&(team.clone(), subject.clone())).cloned().unwrap_or_default();
        for id in ids {
            if let Some(watch) = self.watches.get_mut(&id) {
                watch.push(body, time_ms);
            }
        }
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        self.published.retain(|_, at_ms| before_ms <= *at_ms);
    }
}
