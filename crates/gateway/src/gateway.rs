//! The program: what happens on links goes to the books, then their words go out.

use std::collections::BTreeMap;

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, RequestId};
use tideroute_lifecycle::{RequestLifecycle, Timer};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

use crate::clients::{At, Clients};
use crate::config::{self, Terms};
use crate::discovery_watch::Watch;
use crate::egress::{Exit, Later};
use crate::endpoint_list;
use crate::request_head::Asked;
use crate::request_trace::{self, State};
use crate::reserved_state::{Context, Held};
use crate::timers::TimerKey;
use crate::worker_connection::Job;
use crate::worker_pool::Pools;

use crate::worker_events::SILENCE;

/// Microseconds for which a router that starts waits for discovery before it serves by the list it was handed.
const READY: Micros = 1_000_000;
/// Microseconds after a signal to end in which new submissions are still taken: new connections come for 0.4 s more, and
/// what is taken over 0.7 s after the signal must be over before the process is killed, also by a router that was held up
/// for 0.15 s as this time ended.
const GRACE: Micros = 500_000;
/// Microseconds in which the first request of a new connection is there: clients connect in order to ask, and what is
/// on its way as the router is told to end would find its connection closed.
const FIRST_REQUEST: Micros = 200_000;
/// Microseconds for which a client may read nothing of its stream, as long as one may stand idle: then it is ended.
const STALLED: Micros = 15_000_000;
/// A resting connection is put away after this part of the time for which its worker would keep it.
const REST: Micros = 2;
/// Microseconds for which a whole list that is older than the one in force is not believed.
const STALE: Micros = 10_000_000;
/// Microseconds between two tellings of what is believed, one line each.
const TELLS: Micros = 1_000_000;
pub struct Platform {
    pub(crate) terms: Terms,
    pub(crate) lifecycle: RequestLifecycle<Asked>,
    pub(crate) clients: Clients,
    pub(crate) pools: Pools,
    pub(crate) held: Held,
    watch: Watch,
    later: Later,
    /// Since when a whole list is heard that is older than the one in force.
    stale: Option<Micros>,
    /// Discovery has been heard.
    told: bool,
    began: Micros,
    now: Micros,
    pub(crate) stopping: bool,
    grace_over: bool,
}

impl Platform {
    pub fn new(terms: Terms, now: Micros) -> Platform {
        for problem in terms.without_room() {
            tracing::warn!(problem, "the settings leave no room");
        }
        Platform {
            lifecycle: RequestLifecycle::new(terms.lifecycle.clone(), now),
            pools: Pools::new(terms.rooms.workers, terms.dial, terms.idle / REST),
            held: Held::new(terms.release),
            terms,
            clients: Clients::default(),
            watch: Watch::default(),
            later: Later::default(),
            stale: None,
            told: false,
            began: now,
            now,
            stopping: false,
            grace_over: false,
        }
    }

    /// The books, and the ways by which they speak.
    pub(crate) fn parts<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Effects,
    ) -> (&'a mut RequestLifecycle<Asked>, Exit<'a>) {
        let exit = Exit {
            terms: &self.terms,
            clients: &mut self.clients,
            pools: &mut self.pools,
            held: &mut self.held,
            watch: &mut self.watch,
            later: &mut self.later,
            stopping: self.stopping,
            now,
            effects,
        };
        (&mut self.lifecycle, exit)
    }

    /// Whether it can serve: it knows workers, from discovery or, if that is silent, from the list it was handed.
    pub(crate) fn is_up(&self) -> bool {
        let listed = self.pools.workers().next().is_some();
        !self.stopping && listed && (self.told || self.now >= self.began + READY)
    }

    /// What is held, and what is needed to do something for it.
    pub(crate) fn held<'a>(
        &'a mut self,
        now: Micros,
        effects: &'a mut Effects,
    ) -> (&'a mut Held, Context<'a>) {
        (&mut self.held, Context { now, pools: &mut self.pools, effects })
    }

    pub(crate) fn settle(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        effects: &mut Effects,
    ) {
        let (lifecycle, mut exit) = self.parts(now, effects);
        lifecycle.finish_attempt(now, id, number, outcome, &mut exit);
    }

    /// Takes a page of the list.
    fn hear_list(
        &mut self,
        now: Micros,
        line: &[u8],
        effects: &mut Effects,
    ) -> Result<(), endpoint_list::Unreadable> {
        let names = self.terms.names.clone();
        endpoint_list::hear_line(line, &names, &mut Page { platform: self, now, effects })?;
        self.lifecycle.finish_endpoint_update(now);
        for connection in self.pools.under_way_to_none() {
            self.worker_ends(now, connection, effects);
        }
        self.told = true;
        Ok(())
    }

    /// Tells, where the log asks for it, what the books believe is out at each worker and what is out on
    /// connections; the two never differ between turns, or one of them is wrong.
    fn tell_belief(&mut self, now: Micros, effects: &mut Effects) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let mut believed = BTreeMap::<_, usize>::new();
        for attempt in self.lifecycle.requests.iter().filter_map(|(_, s)| s.attempt.as_ref()) {
            *believed.entry(attempt.worker).or_default() += 1;
        }
        let (carried, connections, resting) = self.pools.carried();
        let (open, clients, held) = (self.lifecycle.requests.len(), self.clients.len(), self.clients.held);
        let workers = self.pools.workers().count();
        tracing::debug!(open, clients, held, connections, resting, workers, ?carried, "believes");
        if believed != carried {
            tracing::debug!(?believed, ?carried, "belief and traffic differ");
        }
        TimerKey::Statistics.set(now + TELLS, effects);
    }
}

impl EventHandler for Platform {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.now = now;
        let known = std::mem::take(&mut self.terms.known);
        if !known.is_null() {
            let names = self.terms.names.clone();
            // It was read once when the file was.
            let _ = endpoint_list::hear(&known, &names, &mut Page { platform: self, now, effects });
            self.lifecycle.finish_endpoint_update(now);
        }
        self.watch.begin(now, self.terms.discovery, self.lifecycle.endpoint_list_version(), effects);
        self.tell_belief(now, effects);
        self.on_iteration(now, effects);
    }

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        self.now = now;
        self.client_came(now, connection, effects);
    }

    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(conn) = self.pools.get_mut(connection) else { return };
        conn.up = true;
        let leaves_by = conn.leaves_by;
        let Some(job @ Job::Attempt { id, number, .. }) = conn.job else { return };
        if now > leaves_by || !self.lifecycle.requests.get(id).is_some_and(|s| s.is_current_attempt(number)) {
            // Guards against a loop that comes to it late, and an attempt that nobody waits for.
            self.pools.end(connection, effects);
            return self.came_to_nothing(now, connection, job, AttemptOutcome::Unreachable, effects);
        }
        let (lifecycle, mut exit) = self.parts(now, effects);
        let permit = lifecycle.permit_transmission(now, id, number);
        let leaves = permit.and_then(|permit| Some((permit, lifecycle.requests.get(id)?)));
        let Some((permit, s)) = leaves else {
            self.pools.end(connection, effects);
            return self.came_to_nothing(now, connection, job, AttemptOutcome::NotSent, effects);
        };
        exit.attempt(connection, s, permit);
        let (held, mut context) = self.held(now, effects);
        held.pause(id, &mut context);
    }

    fn on_data(&mut self, now: Micros, connection: ConnectionId, bytes: &Bytes, effects: &mut Effects) {
        self.now = now;
        if !connection.is_outbound() {
            return self.client_heard(now, connection, bytes, effects);
        }
        if !self.watch.is(connection) {
            return self.worker_heard(now, connection, bytes, effects);
        }
        match self.watch.heard(now, bytes, effects) {
            Ok(lines) => {
                for line in lines {
                    if let Err(problem) = self.hear_list(now, &line, effects) {
                        tracing::warn!(%problem, "a line of discovery cannot be read; the watch is opened anew");
                        return self.watch.end(now, effects);
                    }
                }
                self.lifecycle.discovery_synced(now);
            }
            Err(problem) => {
                tracing::warn!(%problem, "discovery's answer cannot be read; the watch is opened anew");
                self.watch.end(now, effects);
            }
        }
    }

    fn on_write_complete(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(conn) = self.pools.get_mut(connection) else { return };
        conn.written = true;
        let (place, job, to) = (conn.place.take(), conn.job, conn.to);
        if conn.silent() && matches!(job, Some(Job::Attempt { .. })) {
            conn.timeout.clear();
        }
        let Some(Job::Attempt { id, number, .. }) = job else { return };
        let Some(trace) = self.lifecycle.requests.get(id).map(|s| s.context.trace.clone()) else { return };
        request_trace::tell(id, &trace, State::AttemptWritten(number, to));
        if let Some(at) = place {
            self.parts(now, effects).1.place(id, &trace, at);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.now = now;
        if self.watch.is(connection) {
            tracing::debug!("discovery ended the watch; the list stays in force");
            self.watch.end(now, effects);
        } else if connection.is_outbound() {
            self.worker_lost(now, connection, loss, effects);
        } else {
            self.client_gone(now, connection, effects);
        }
    }

    /// A client that reads slowly slows its own stream only.
    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        let Some(client) = self.clients.get(connection) else { return };
        if let At::Response(id, ..) = client.at {
            if let Some(worker) = self.pools.attempt_connection(id) {
                effects.pause_reading(worker, crowded);
                // Nothing is read from the worker meanwhile: it is the client that is waited for.
                let until = now + if crowded { STALLED } else { SILENCE };
                if let Some(conn) = self.pools.get_mut(worker) {
                    conn.timeout.set(until, TimerKey::Worker(worker), effects);
                }
            }
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        self.now = now;
        let Some(timer) = TimerKey::decode(key) else { return };
        let timer = match timer {
            TimerKey::SchedulerWake => Timer::SchedulerWake,
            TimerKey::RequestDeadline(id) => Timer::Deadline(self.lifecycle.requests.expand_id(id.0)),
            TimerKey::HealthCheck(nonce) => Timer::HealthCheck(nonce),
            TimerKey::Admission => Timer::Admission,
            TimerKey::Client(connection) => return self.client_rang(now, connection, effects),
            TimerKey::Worker(connection) => return self.worker_rang(now, connection, effects),
            TimerKey::ReservedState(id) => {
                let id = self.lifecycle.requests.expand_id(id.0);
                let (held, mut context) = self.held(now, effects);
                return held.rang(id, &mut context);
            }
            TimerKey::DiscoveryWatch => {
                if self.watch.rang(now, effects) {
                    let version = self.lifecycle.endpoint_list_version();
                    self.watch.begin(now, self.terms.discovery, version, effects);
                }
                return;
            }
            TimerKey::ShutdownGrace => {
                self.grace_over = true;
                return self.lifecycle.shut_down();
            }
            TimerKey::Statistics => return self.tell_belief(now, effects),
        };
        let (lifecycle, mut exit) = self.parts(now, effects);
        lifecycle.timer_fired(now, timer, &mut exit);
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        loop {
            let (lifecycle, mut exit) = self.parts(now, effects);
            lifecycle.run_scheduling_pass(now, &mut exit);
            let outcomes = std::mem::take(&mut self.later.outcomes);
            let answered = std::mem::take(&mut self.later.answered);
            if outcomes.is_empty() && answered.is_empty() {
                break;
            }
            for (id, number, outcome) in outcomes {
                self.settle(now, id, number, outcome, effects);
            }
            for connection in answered {
                self.next_request(now, connection, effects);
            }
        }
        self.clean_up(now, effects);
        self.ask_for_signs(now, effects);
    }

    fn on_config_reload(&mut self, now: Micros, file: &Bytes, effects: &mut Effects) -> bool {
        self.now = now;
        let fresh = match config::read(file) {
            Ok(fresh) => fresh,
            Err(problem) => {
                tracing::error!(%problem, "the new configuration cannot be used; the old one stays in force");
                return false;
            }
        };
        if fresh.rooms != self.terms.rooms || fresh.listen != self.terms.listen {
            tracing::warn!("limits and the address to listen at take effect at the next start");
        }
        tracing::info!("the configuration was read again");
        (self.terms.discovery, self.terms.travel) = (fresh.discovery, fresh.travel);
        self.watch.end(now, effects);
        self.watch.begin(now, self.terms.discovery, self.lifecycle.endpoint_list_version(), effects);
        true
    }

    fn on_loop_lag(&mut self, now: Micros, by: Micros) {
        self.lifecycle.record_loop_lag(now, by);
    }

    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        tracing::info!(open = self.lifecycle.requests.len(), "ends: what is open is finished");
        self.stopping = true;
        for (connection, asked, since) in self.clients.idle() {
            let first_request_by = since + FIRST_REQUEST;
            if !asked && now < first_request_by {
                if let Some(client) = self.clients.get_mut(connection) {
                    client.timeout.set(first_request_by, TimerKey::Client(connection), effects);
                }
                continue;
            }
            self.clients.lose(connection);
            effects.close(connection, "the router ends");
        }
        self.pools.ends(now, effects);
        TimerKey::ShutdownGrace.set(now + GRACE, effects);
    }

    fn is_finished(&self) -> bool {
        self.grace_over
            && self.clients.is_empty()
            && self.held.is_empty()
            && self.lifecycle.requests.is_empty()
    }
}

/// Hears a page of the list for the program.
struct Page<'a> {
    platform: &'a mut Platform,
    now: Micros,
    effects: &'a mut Effects,
}

impl endpoint_list::Ear for Page<'_> {
    /// After a gap discovery may be behind what it told before. What is in force is newer then, and changes are
    /// heard again once they are newer too; only if that lasts has its count begun anew.
    fn page(&mut self, version: u64, whole: bool) -> bool {
        let (p, now) = (&mut *self.platform, self.now);
        if p.told && version < p.lifecycle.endpoint_list_version() {
            let since = *p.stale.get_or_insert(now);
            if !whole || now < since + STALE {
                tracing::debug!(version, whole, "an old list is passed over");
                return false;
            }
        }
        p.stale = None;
        if whole {
            // Those that it does not name are gone.
            let gone: Vec<_> = p.pools.workers().collect();
            gone.into_iter().for_each(|w| p.pools.unlist(w));
        }
        p.lifecycle.begin_endpoint_update(now, version, whole);
        true
    }

    fn entry(&mut self, endpoint: Endpoint, at: Address) {
        let p = &mut *self.platform;
        if endpoint.status == EndpointStatus::Removed {
            p.pools.gone(endpoint.worker, self.effects);
            return p.lifecycle.endpoint_removed(self.now, endpoint.worker);
        }
        let process = p.lifecycle.endpoint_updated(self.now, endpoint);
        let takes = endpoint.status == EndpointStatus::Serving;
        for connection in p.pools.listed(endpoint.worker, at, process.replaced_before, takes) {
            p.worker_ends(self.now, connection, self.effects);
        }
    }
}
