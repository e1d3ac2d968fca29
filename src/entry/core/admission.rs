//! Which quick requests are taken, wait, or are refused at once.

use std::sync::Arc;

use crate::{
    entry::{
        core::{EntryCore, LOOKUPS_MAX, class_queue},
        pending_request::{PendingRequest, PendingRequestKey, Stage},
        request::{CallerAnswer, QuickRequest},
    },
    policy::admission::{self, Rejection, WaitingRequest},
    prelude::*,
    util::digest_of,
};

impl EntryCore {
    /// Checks whether this entry takes anything at all.
    pub(super) fn check_request_limit(&self, open: usize) -> Result<(), Refusal> {
        if self.draining {
            return Err(refusal_with_retry_after(
                ErrorKind::Draining,
                "this entry is stopping: ask another",
                100,
            ));
        }
        if self.configuration.revision() == Revision(0) {
            let detail = "this entry has no configuration yet";
            return Err(refusal_with_retry_after(ErrorKind::NoEndpoint, detail, 1_000));
        }
        if self.options.settings.in_flight_max as usize <= open {
            return Err(refusal_with_retry_after(
                ErrorKind::QueueFull,
                "this entry has its most requests open",
                200,
            ));
        }
        Ok(())
    }

    pub(super) fn on_quick(
        &mut self,
        now: Now,
        token: u64,
        team: CompactString,
        quick: QuickRequest,
        no_room: Option<Refusal>,
    ) {
        if !quick.idempotent && quick.key.as_ref().is_none_or(|key| key.is_empty()) {
            let detail = "a request that is not idempotent needs an idempotency key";
            return self
                .answer(token, CallerAnswer::Refused(refusal(ErrorKind::BadRequest, detail)));
        }
        let refusal = match &no_room {
            Some(it) if quick.idempotent => Some(it.clone()),
            Some(_) => None,
            None => self.check_quick(&team, &quick).err(),
        };
        if let Some(it) = refusal {
            return self.answer(token, CallerAnswer::Refused(it));
        }
        if LOOKUPS_MAX <= self.pending_requests.len() && no_room.is_some() {
            // Not even its key can be looked up, so an earlier sending may have run.
            let detail =
                "too many requests are open to look up its key: send it again with the same key";
            let refusal = refusal_with_retry_after(ErrorKind::OutcomeUnknown, detail, 500);
            return self.answer(token, CallerAnswer::Refused(refusal));
        }
        let key = self.admit(now, token, team, quick);
        if let Some(refusal) = no_room.or_else(|| self.check_busy(key).err()) {
            return self.refuse(now, key, refusal);
        }
        // Who arrives while others wait goes behind them.
        let Some(class) = self.pending_requests.get(key).map(|it| it.caller_request.class.clone())
        else {
            return;
        };
        let others_wait = self.class_queues.get(&class).is_some_and(|it| !it.queue.is_empty());
        if others_wait || !self.try_begin(now, key) {
            self.enqueue(now, key);
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Now,
        token: u64,
        team: CompactString,
        quick: QuickRequest,
    ) -> PendingRequestKey {
        self.next_request += 1;
        let request = RequestId { boot: self.options.boot, number: self.next_request };
        let deadline_ms = now.mono_ms + u64::from(quick.deadline_ms);
        *self.by_team.entry(team.clone()).or_insert(0) += 1;
        let digest = digest_of(&[quick.class.as_bytes(), quick.path.as_bytes(), &quick.body]);
        let key = self.pending_requests.insert(PendingRequest {
            token: Some(token),
            request,
            team,
            caller_request: Arc::new(quick),
            digest,
            arrived_ms: now.mono_ms,
            deadline_ms,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            attempts_made: 0,
            claim_attempt: 0,
            tried_endpoints: Vec::new(),
            may_have_run: false,
            last_refusal: None,
            error_answer: None,
        });
        self.by_request.insert(request, key);
        self.timers.insert((deadline_ms, key));
        key
    }

    /// Checks whether a request admitted a moment ago can be served now.
    pub(super) fn check_busy(&self, key: PendingRequestKey) -> Result<(), Refusal> {
        let Some(pending) = self.pending_requests.get(key) else { return Ok(()) };
        let open = self.by_team.get(&pending.team).copied().unwrap_or(0);
        let most = self.configuration.team(&pending.team).map_or(0, |it| it.requests_in_flight_max);
        if most < open {
            let detail =
                format_compact!("team {} has {most} requests open here, its most", pending.team);
            return Err(refusal_with_retry_after(ErrorKind::TeamShareExceeded, detail, 100));
        }
        if !self.endpoints.has_open(&pending.caller_request.class) {
            let detail =
                format_compact!("class {} has no endpoint now", pending.caller_request.class);
            return Err(refusal_with_retry_after(ErrorKind::NoEndpoint, detail, 1_000));
        }
        Ok(())
    }

    pub(super) fn check_quick(&self, team: &str, it: &QuickRequest) -> Result<(), Refusal> {
        if self.configuration.team(team).is_none() {
            let detail = format_compact!("no team is named {team}");
            return Err(refusal(ErrorKind::UnknownTeam, detail));
        }
        let Some(class) = self.configuration.class(&it.class) else {
            return Err(refusal(
                ErrorKind::UnknownClass,
                format_compact!("no class is named {}", it.class),
            ));
        };
        if class.kind != ClassKind::LatencyCritical {
            let detail = format_compact!(
                "class {} is {}; quick requests need latency_critical",
                it.class,
                class.kind
            );
            return Err(refusal(ErrorKind::WrongClassKind, detail));
        }
        if it.deadline_ms == 0 || class.deadline_max_ms < it.deadline_ms {
            let detail = format_compact!(
                "deadline_ms is {}, out of range 1 to {}",
                it.deadline_ms,
                class.deadline_max_ms
            );
            return Err(refusal(ErrorKind::DeadlineOutOfRange, detail));
        }
        Ok(())
    }

    /// Lets a request wait for a free endpoint, unless it is known that it would wait too long.
    pub(super) fn enqueue(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let class = pending.caller_request.class.clone();
        let team = pending.team.clone();
        let waiting = WaitingRequest { key, deadline_ms: pending.deadline_ms };
        let answer_ms = self.endpoints.answer_ms_of(&class);
        let slots = self.endpoints.slots_of(&class);
        let len_max = self.options.settings.queue_max as usize;
        let queued = self.class_queues.get(&class).map_or(0, |it| it.queue.len());
        let wait_ms = admission::expected_wait_ms(queued, slots, answer_ms);
        if pending.left_ms(now) <= wait_ms + answer_ms as u64 {
            let detail =
                format_compact!("{queued} requests are ahead, about {wait_ms} ms of waiting");
            return self.refuse(
                now,
                key,
                refusal_with_retry_after(ErrorKind::WouldMissDeadline, detail, wait_ms.max(50)),
            );
        }
        let line = class_queue(&mut self.class_queues, &class);
        match line.queue.push(&team, waiting, len_max) {
            Ok(None) => (),
            Ok(Some(displaced)) => {
                let detail = "the queue is full, and this team fills more than its share";
                let refusal =
                    refusal_with_retry_after(ErrorKind::TeamShareExceeded, detail, wait_ms.max(50));
                self.refuse(now, displaced.key, refusal);
            }
            Err(rejection) => {
                let kind = match rejection {
                    Rejection::QueueFull => ErrorKind::QueueFull,
                    Rejection::TeamShareExceeded => ErrorKind::TeamShareExceeded,
                };
                let detail =
                    format_compact!("{queued} requests of class {class} wait here already");
                return self.refuse(
                    now,
                    key,
                    refusal_with_retry_after(kind, detail, wait_ms.max(50)),
                );
            }
        }
        self.schedule_drop(now, key);
    }

    /// Looks at a waiting request again when it can no longer be answered in time.
    pub(super) fn schedule_drop(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let answer_ms = self.endpoints.answer_ms_of(&pending.caller_request.class) as u64;
        let at_ms = pending.deadline_ms.saturating_sub(answer_ms).max(now.mono_ms + 1);
        self.timers.insert((at_ms, key));
    }

    /// Begins waiting requests of a class as far as endpoints take them.
    pub(super) fn pump(&mut self, now: Now, class: &str) {
        loop {
            let Some(next) = self.class_queues.get_mut(class).and_then(|it| it.queue.pop()) else {
                return;
            };
            if !self.try_begin(now, next.key) {
                return self.enqueue_again(next);
            }
        }
    }

    pub(super) fn pump_all(&mut self, now: Now) {
        let classes: Vec<_> = self
            .class_queues
            .iter()
            .filter(|(_, it)| !it.queue.is_empty())
            .map(|(class, _)| class.clone())
            .collect();
        for it in classes {
            self.pump(now, &it);
        }
    }

    /// Puts back what was taken from its queue a moment ago.
    pub(super) fn enqueue_again(&mut self, it: WaitingRequest<PendingRequestKey>) {
        let Some(pending) = self.pending_requests.get(it.key) else { return };
        let team = pending.team.clone();
        class_queue(&mut self.class_queues, &pending.caller_request.class)
            .queue
            .push_front(&team, it);
    }
}
