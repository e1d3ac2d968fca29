//! Admission of quick requests: which are sent, queued or refused at once.

use std::sync::Arc;

use crate::{
    entry::{
        core::{EntryCore, KEY_LOOKUP_PENDING_MAX, class_queue},
        pending_request::{PendingRequest, PendingRequestKey, Stage},
        request::{CallerAnswer, QuickRequest},
    },
    policy::admission::{self, Rejection, WaitingRequest},
    prelude::*,
    util::digest_of,
};

impl EntryCore {
    /// Checks whether this entry accepts any request now.
    pub(super) fn check_request_limit(&self, open: usize) -> Result<(), Refusal> {
        if self.is_draining {
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
        limit_refusal: Option<Refusal>,
    ) {
        if !quick.idempotent && quick.key.as_ref().is_none_or(|key| key.is_empty()) {
            let detail = "a request that is not idempotent needs an idempotency key";
            return self
                .answer(token, CallerAnswer::Refused(refusal(ErrorKind::BadRequest, detail)));
        }
        let refusal = match &limit_refusal {
            Some(it) if quick.idempotent => Some(it.clone()),
            Some(_) => None,
            None => self.check_quick(&team, &quick).err(),
        };
        if let Some(it) = refusal {
            return self.answer(token, CallerAnswer::Refused(it));
        }
        if KEY_LOOKUP_PENDING_MAX <= self.pending_requests.len() && limit_refusal.is_some() {
            // The key cannot be looked up, and an earlier request with it may have run.
            let detail =
                "too many requests are open to look up its key: send it again with the same key";
            let refusal = refusal_with_retry_after(ErrorKind::OutcomeUnknown, detail, 500);
            return self.answer(token, CallerAnswer::Refused(refusal));
        }
        let key = self.admit(now, token, team, quick);
        if let Some(refusal) = limit_refusal.or_else(|| self.check_servable(key).err()) {
            return self.refuse(now, key, refusal);
        }
        // A new request goes behind those that wait already.
        let Some(class) = self.pending_requests.get(key).map(|it| it.caller_request.class.clone())
        else {
            return;
        };
        let has_queued = self.class_queues.get(&class).is_some_and(|it| !it.queue.is_empty());
        if has_queued || !self.try_begin(now, key) {
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
        *self.in_flight_by_team.entry(team.clone()).or_insert(0) += 1;
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
        self.keys_by_request.insert(request, key);
        self.timers.insert((deadline_ms, key));
        key
    }

    /// Checks the team's limit and the class's endpoints for a request just admitted.
    pub(super) fn check_servable(&self, key: PendingRequestKey) -> Result<(), Refusal> {
        let Some(pending) = self.pending_requests.get(key) else { return Ok(()) };
        let open = self.in_flight_by_team.get(&pending.team).copied().unwrap_or(0);
        let limit =
            self.configuration.team(&pending.team).map_or(0, |it| it.requests_in_flight_max);
        if limit < open {
            let detail =
                format_compact!("team {} has {limit} requests open here, its most", pending.team);
            return Err(refusal_with_retry_after(ErrorKind::TeamShareExceeded, detail, 100));
        }
        if !self.endpoints.has_accepting(&pending.caller_request.class) {
            let detail =
                format_compact!("class {} has no endpoint now", pending.caller_request.class);
            return Err(refusal_with_retry_after(ErrorKind::NoEndpoint, detail, 1_000));
        }
        Ok(())
    }

    pub(super) fn check_quick(&self, team: &str, quick: &QuickRequest) -> Result<(), Refusal> {
        if self.configuration.team(team).is_none() {
            let detail = format_compact!("no team is named {team}");
            return Err(refusal(ErrorKind::UnknownTeam, detail));
        }
        let Some(class) = self.configuration.class(&quick.class) else {
            return Err(refusal(
                ErrorKind::UnknownClass,
                format_compact!("no class is named {}", quick.class),
            ));
        };
        if class.kind != ClassKind::LatencyCritical {
            let detail = format_compact!(
                "class {} is {}; quick requests need latency_critical",
                quick.class,
                class.kind
            );
            return Err(refusal(ErrorKind::WrongClassKind, detail));
        }
        if quick.deadline_ms == 0 || class.deadline_max_ms < quick.deadline_ms {
            let detail = format_compact!(
                "deadline_ms is {}, out of range 1 to {}",
                quick.deadline_ms,
                class.deadline_max_ms
            );
            return Err(refusal(ErrorKind::DeadlineOutOfRange, detail));
        }
        Ok(())
    }

    /// Queues a request until an endpoint is free; refuses it if the expected wait is too long.
    pub(super) fn enqueue(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let class = pending.caller_request.class.clone();
        let team = pending.team.clone();
        let waiting = WaitingRequest { key, deadline_ms: pending.deadline_ms };
        let answer_ms = self.endpoints.mean_answer_ms(&class);
        let slots = self.endpoints.accepting_slots(&class);
        let len_max = self.options.settings.queue_max as usize;
        let queued = self.class_queues.get(&class).map_or(0, |it| it.queue.len());
        let wait_ms = admission::expected_wait_ms(queued, slots, answer_ms);
        if pending.remaining_ms(now) <= wait_ms + answer_ms as u64 {
            let detail =
                format_compact!("{queued} requests are ahead, about {wait_ms} ms of waiting");
            return self.refuse(
                now,
                key,
                refusal_with_retry_after(ErrorKind::WouldMissDeadline, detail, wait_ms.max(50)),
            );
        }
        let target_queue = class_queue(&mut self.class_queues, &class);
        match target_queue.queue.push(&team, waiting, len_max) {
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
        self.schedule_expiry(now, key);
    }

    /// Sets a timer for when a waiting request can no longer be answered in time.
    pub(super) fn schedule_expiry(&mut self, now: Now, key: PendingRequestKey) {
        let Some(pending) = self.pending_requests.get(key) else { return };
        let answer_ms = self.endpoints.mean_answer_ms(&pending.caller_request.class) as u64;
        let at_ms = pending.deadline_ms.saturating_sub(answer_ms).max(now.mono_ms + 1);
        self.timers.insert((at_ms, key));
    }

    /// Sends queued requests of a class until no endpoint admits the next one.
    pub(super) fn dispatch_queued(&mut self, now: Now, class: &str) {
        loop {
            let Some(next) = self.class_queues.get_mut(class).and_then(|it| it.queue.pop()) else {
                return;
            };
            if !self.try_begin(now, next.key) {
                return self.requeue(next);
            }
        }
    }

    pub(super) fn dispatch_all_queued(&mut self, now: Now) {
        let classes: Vec<_> = self
            .class_queues
            .iter()
            .filter(|(_, it)| !it.queue.is_empty())
            .map(|(class, _)| class.clone())
            .collect();
        for it in classes {
            self.dispatch_queued(now, &it);
        }
    }

    /// Returns a request just taken from its queue to the front.
    pub(super) fn requeue(&mut self, waiting: WaitingRequest<PendingRequestKey>) {
        let Some(pending) = self.pending_requests.get(waiting.key) else { return };
        let team = pending.team.clone();
        class_queue(&mut self.class_queues, &pending.caller_request.class)
            .queue
            .push_front(&team, waiting);
    }
}
