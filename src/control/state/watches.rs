//! Durable subscriptions, read by cursor.

use std::collections::{BTreeMap, VecDeque};

use crate::{control::state::ReplyResult, prelude::*, util::Place};

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
    /// Returns a refusal when events after the cursor are no longer kept, with the cursor from
    /// which on they are; nothing is skipped in silence.
    pub fn read(&self, cursor: u64, limit: usize) -> Result<Vec<WatchEvent>, Refusal> {
        let oldest = self.next_cursor - self.events.len() as u64;
        if cursor + 1 < oldest {
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
    /// Keys of events published, so that a resend is told once.
    published: BTreeMap<(CompactString, CompactString), u64>,
    next: u64,
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

    /// Returns the keys of published events that are kept.
    pub fn published_key_count(&self) -> usize {
        self.published.len()
    }

    pub(super) fn create(&mut self, group_id: Place, it: &CreateWatchCommand) -> ReplyResult {
        let key = (it.team.clone(), it.key.clone());
        if let Some(&id) = self.by_key.get(&key) {
            return match self.watches.get(&id).is_some_and(|watch| watch.subject == it.subject) {
                true => Ok(Reply::WatchCreated(id)),
                false => Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} names another watch", it.key),
                )),
            };
        }
        self.next += 1;
        let id = WatchId(group_id.pack(self.next));
        let watch = Watch {
            id,
            team: it.team.clone(),
            key: it.key.clone(),
            subject: it.subject.clone(),
            events_max: it.events_max.max(1),
            next_cursor: 1,
            events: VecDeque::new(),
        };
        self.by_key.insert(key, id);
        self.by_subject.entry((it.team.clone(), it.subject.clone())).or_default().push(id);
        self.watches.insert(id, watch);
        Ok(Reply::WatchCreated(id))
    }

    pub(super) fn delete(&mut self, it: &DeleteWatchCommand) -> ReplyResult {
        // Deleting what is gone succeeds, so that a resend after a lost answer does too.
        if self.get(&it.team, it.watch).is_some()
            && let Some(watch) = self.watches.remove(&it.watch)
        {
            self.by_key.remove(&(watch.team.clone(), watch.key));
            let subject = (watch.team, watch.subject);
            if let Some(list) = self.by_subject.get_mut(&subject) {
                list.retain(|id| *id != it.watch);
                if list.is_empty() {
                    self.by_subject.remove(&subject);
                }
            }
        }
        Ok(Reply::Done)
    }

    pub(super) fn publish(&mut self, it: &PublishCommand, time_ms: u64) -> ReplyResult {
        let key = (it.team.clone(), it.key.clone());
        if self.published.insert(key, time_ms).is_none() {
            self.tell(&it.team, &it.subject, &it.body, time_ms);
        }
        Ok(Reply::Done)
    }

    pub(super) fn tell(
        &mut self,
        team: &CompactString,
        subject: &CompactString,
        body: &CompactString,
        time_ms: u64,
    ) {
        let ids =
            self.by_subject.get(&(team.clone(), subject.clone())).cloned().unwrap_or_default();
        for id in ids {
            if let Some(it) = self.watches.get_mut(&id) {
                it.push(body, time_ms);
            }
        }
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        self.published.retain(|_, at_ms| before_ms <= *at_ms);
    }
}
