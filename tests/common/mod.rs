//! A slow, plain model of what the rules allow, kept beside a router that it drives and checks.
#![allow(dead_code)]

use std::collections::BTreeMap;

use tideroute::scheduler::Scheduler;
use tideroute::types::*;

pub const MS: TenthMillis = 10;

pub fn class(repeat: Idempotency) -> RequestClass {
    RequestClass {
        idempotency: repeat,
        ttft_objective: 1500 * MS,
        ttft_objective_per_1000_tokens: 40 * MS,
        priority_weight: 1.0,
    }
}

pub fn terms() -> SchedulerConfig {
    let nearby = Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 300 * MS };
    let anywhere = Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window: 300 * MS };
    SchedulerConfig {
        router_count: 3,
        classes: [Idempotency::Idempotent, Idempotency::NonIdempotent, nearby, anywhere].map(class).to_vec(),
        role_by_kind: vec![Role::Prefill, Role::Decode],
        reservations_enabled: true,
        decode_workers_prefill: false,
        state_release_timeout: 500 * MS,
        cold_capacity_share: 0.3,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.5,
        overload_window: 2000 * MS,
        max_attempts: 5,
        cancellation_enabled: true,
        health_checks_enabled: true,
        load_reports_enabled: false,
        load_in_tokens: false,
        endpoint_watch_enabled: false,
        retry_after_enabled: true,
        max_retry_after: 1000 * MS,
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub number: u16,
    pub worker: WorkerId,
    pub reading: bool,
    pub sent: TenthMillis,
    pub started: bool,
}

#[derive(Debug)]
pub struct Entry {
    pub class: u8,
    pub ttft_objective: TenthMillis,
    pub deadline: TenthMillis,
    pub attempts: u16,
    pub out: Option<Attempt>,
    pub ran: Option<(TenthMillis, WorkerId)>,
    pub place: Option<WorkerId>,
    pub asked: bool,
    pub held: bool,
    pub since: TenthMillis,
    pub ended: bool,
}

pub struct World {
    pub router: Scheduler,
    pub terms: SchedulerConfig,
    pub now: TenthMillis,
    pub list: BTreeMap<WorkerId, Endpoint>,
    pub open: BTreeMap<RequestId, Entry>,
    pub probes: Vec<WorkerId>,
    pub wakes: Vec<TenthMillis>,
    pub log: Vec<(TenthMillis, Action)>,
    pub finished: BTreeMap<WorkerId, u32>,
    next: RequestId,
}

/// Worker `n`: two cells of one reader and two writers each.
pub fn worker(n: u8) -> WorkerId {
    [10, 0, 0, n, 1, 0]
}

pub fn endpoint(n: u8) -> Endpoint {
    let kind = u16::from(!n.is_multiple_of(3));
    let (cell, zone) = (u16::from(n / 3), n / 3);
    Endpoint {
        worker: worker(n),
        kind,
        size: 4.0,
        status: EndpointStatus::Serving,
        cell,
        zone,
        start_time: 0,
    }
}

impl World {
    pub fn new(terms: SchedulerConfig, workers: u8) -> World {
        World::seeded(terms, workers, 7)
    }

    pub fn logged(&self, decision: &Action) -> bool {
        self.log.iter().any(|(_, d)| d == decision)
    }

    pub fn seeded(terms: SchedulerConfig, workers: u8, seed: u64) -> World {
        let now = 1_000_000;
        let mut world = World {
            router: Scheduler::new(terms.clone(), seed, now),
            terms,
            now,
            list: BTreeMap::new(),
            open: BTreeMap::new(),
            probes: vec![],
            wakes: vec![],
            log: vec![],
            finished: BTreeMap::new(),
            next: 1 + seed * 1000,
        };
        world.router.begin_endpoint_snapshot(now);
        (0..workers).for_each(|n| world.relist(endpoint(n)));
        world.pull();
        world
    }

    pub fn relist(&mut self, endpoint: Endpoint) {
        if self.list.insert(endpoint.worker, endpoint).is_none_or(|old| old.start_time != endpoint.start_time)
        {
            self.finished.insert(endpoint.worker, 0);
        }
        self.router.endpoint_updated(self.now, endpoint);
    }

    pub fn arrive(&mut self, class: u8, prefix: u64, prompt: f64, left: TenthMillis) -> RequestId {
        let session = self.next;
        let id = self.next;
        self.next += 1;
        let new_request =
            NewRequest { id, class, session, prefix, prompt_tokens: prompt, remaining_time: left };
        assert!(self.router.request_arrived(self.now, new_request));
        let deadline = self.now + left;
        let ttft_objective = self.now + self.terms.classes[usize::from(class)].ttft_objective_for(prompt);
        let (since, out, ran, place) = (self.now, None, None, None);
        let entry = Entry {
            class,
            ttft_objective,
            deadline,
            attempts: 0,
            out,
            ran,
            place,
            asked: false,
            held: false,
            since,
            ended: false,
        };
        self.open.insert(id, entry);
        self.pull();
        id
    }

    pub fn settle(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let entry = self.open.get_mut(&id).expect("known");
        let attempt = entry.out.take().expect("a shot is out");
        let proven = matches!(
            outcome,
            AttemptOutcome::Rejected
                | AttemptOutcome::StateMissing
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
                | AttemptOutcome::PrefillComplete
        );
        if !attempt.reading && !proven && entry.ran.is_none() {
            entry.ran = Some((attempt.sent, attempt.worker));
        }
        if matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::PrefillComplete) {
            *self.finished.entry(attempt.worker).or_default() += 1;
        }
        let terminal = outcome == AttemptOutcome::Completed || attempt.started;
        entry.held |= outcome == AttemptOutcome::PrefillComplete;
        entry.held &= !terminal;
        entry.asked = false;
        (entry.since, entry.ended) = (self.now, entry.ended || terminal);
        self.router.attempt_finished(self.now, id, attempt.number, outcome, entry.ended);
        self.pull();
    }

    pub fn start(&mut self, id: RequestId) {
        let entry = self.open.get_mut(&id).expect("known");
        let attempt = entry.out.as_mut().expect("a shot is out");
        attempt.started = true;
        (entry.held, entry.place) = (false, None);
        self.router.response_started(self.now, id, attempt.number);
        self.pull();
    }

    pub fn answer(&mut self, id: RequestId, held: bool) {
        let entry = self.open.get_mut(&id).expect("known");
        assert!(std::mem::take(&mut entry.asked), "one answer a place");
        entry.held |= held;
        self.router.reservation_answered(self.now, id, held);
        self.pull();
    }

    pub fn drop_client(&mut self, id: RequestId) {
        self.open.get_mut(&id).expect("known").ended = true;
        self.router.client_disconnected(self.now, id);
        self.pull();
    }

    /// Lets time pass; timers fire when due, and shots end when their client's time is up.
    pub fn pass(&mut self, time: TenthMillis) {
        let until = self.now + time;
        loop {
            let due = self.wakes.iter().copied().min().unwrap_or(until);
            let timed = self.open.values().filter(|e| !e.ended && e.out.as_ref().is_some_and(|o| !o.started));
            let next = timed.map(|e| e.deadline).min().unwrap_or(until).min(due).min(until);
            self.now = next.max(self.now);
            let late: Vec<_> = self
                .open
                .iter()
                .filter(|(_, e)| {
                    !e.ended && e.deadline <= self.now && e.out.as_ref().is_some_and(|o| !o.started)
                })
                .map(|(&id, _)| id)
                .collect();
            late.into_iter().for_each(|id| self.settle(id, AttemptOutcome::TimedOut));
            if self.wakes.iter().any(|&w| w <= self.now) {
                let now = self.now;
                self.wakes.retain(|&w| w > now);
                self.router.timer_fired(now);
                self.pull();
            }
            if next >= until {
                return;
            }
        }
    }

    pub fn pull(&mut self) {
        while let Some(decision) = self.router.next_action(self.now) {
            self.check(decision);
            self.log.push((self.now, decision));
        }
        for (id, e) in &self.open {
            assert!(
                e.ended || e.out.as_ref().is_some_and(|o| o.started) || self.now <= e.deadline,
                "{id} lost: {e:?}"
            );
            let pinned = e.held && e.out.is_none() && self.now > e.since + self.terms.state_release_timeout;
            assert!(!pinned, "{id} pinned at {}: {e:?}", self.now);
            assert!(!self.held_back(e), "{id} held back at {}: {e:?}", self.now);
        }
    }

    /// Nothing more can come of it and it has no final answer: no shot is left, it may not run again, or its
    /// contract time is over while none is out.
    fn held_back(&self, e: &Entry) -> bool {
        let spent = e.attempts + if e.held { 1 } else { 2 } > self.terms.max_attempts;
        let over =
            e.ran.is_some_and(|(first, _)| match self.terms.classes[usize::from(e.class)].idempotency {
                Idempotency::Idempotent => false,
                Idempotency::NonIdempotent => true,
                // The window closes between two looks.
                Idempotency::IdempotentWithKey { window, .. } => self.now > first + window + 10 * MS,
            });
        !e.ended && e.out.is_none() && (spent || over || self.now > e.ttft_objective.min(e.deadline))
    }

    fn check(&mut self, decision: Action) {
        let now = self.now;
        match decision {
            Action::Dispatch { id, worker, timeout: _ } => {
                self.room(worker, Some(id));
                let endpoint = self.list[&worker];
                let entry = self.open.get_mut(&id).expect("known");
                assert!(!entry.ended && entry.out.is_none() && now < entry.deadline, "{id} sent: {entry:?}");
                assert_eq!(endpoint.status, EndpointStatus::Serving, "sent past a drain");
                assert!(entry.attempts < self.terms.max_attempts);
                let reading = self.terms.role_by_kind[usize::from(endpoint.kind)] == Role::Prefill;
                if let (Some((first, there)), false) = (entry.ran, reading) {
                    match self.terms.classes[usize::from(entry.class)].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => panic!("{id} could run twice"),
                        Idempotency::IdempotentWithKey { scope: group, window } => {
                            assert!(now < first + window, "{id} sent past its window");
                            assert!(
                                group == DeduplicationScope::All || self.list[&there].cell == endpoint.cell,
                                "wrong group"
                            );
                        }
                    }
                }
                let number = entry.attempts;
                entry.attempts += 1;
                (entry.place, entry.asked) = (entry.place.filter(|_| reading), false);
                entry.out = Some(Attempt { number, worker, reading, sent: now, started: false });
            }
            Action::ReserveDecode { id, worker } => {
                self.room(worker, None);
                assert_eq!(self.list[&worker].status, EndpointStatus::Serving, "place past a drain");
                let entry = self.open.get_mut(&id).expect("known");
                assert!(entry.out.as_ref().is_some_and(|o| o.reading));
                (entry.place, entry.asked) = (Some(worker), true);
            }
            Action::Release { id } => {
                let entry = self.open.get_mut(&id).expect("known");
                (entry.held, entry.place) = (false, None);
            }
            Action::CancelAttempt { id, attempt } => assert!(attempt < self.open[&id].attempts),
            Action::Reject { id, retry_after: after } => {
                let entry = self.open.get_mut(&id).expect("known");
                let repeat = self.terms.classes[usize::from(entry.class)].idempotency;
                let all =
                    matches!(repeat, Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. });
                assert!(
                    entry.ran.is_none() || repeat == Idempotency::Idempotent || all,
                    "{id} turned back after it ran"
                );
                assert!(!entry.ended && entry.out.is_none() && after <= self.terms.max_retry_after);
                entry.ended = true;
            }
            Action::Fail { id } => {
                let entry = self.open.get_mut(&id).expect("known");
                assert!(!entry.ended);
                entry.ended = true;
            }
            Action::CheckHealth { worker } => self.probes.push(worker),
            Action::WatchEndpoints => assert!(self.terms.endpoint_watch_enabled),
            Action::SetTimer { delay: after } => self.wakes.push(now + after),
        }
    }

    /// Rule 4 as one router can keep it: what a cold worker has in flight stays by what it has answered.
    fn room(&self, worker: WorkerId, for_place_of: Option<RequestId>) {
        let started = self.list[&worker].start_time;
        if started == 0 || self.now - started >= self.terms.warm_up_time {
            return;
        }
        if for_place_of.is_some_and(|id| self.open[&id].place == Some(worker)) {
            return;
        }
        let mine = |e: &&Entry| e.out.as_ref().is_some_and(|o| o.worker == worker) || e.place == Some(worker);
        let out = self.open.values().filter(mine).count() as u32;
        assert!(out < 2 + self.finished[&worker], "{out} out at a cold worker");
    }
}
