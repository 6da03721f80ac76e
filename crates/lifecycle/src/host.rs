//! The program on protobuf links: what happens on them goes to the books, then the module's decisions are carried
//! out until there is none.

use bytes::Bytes;
use metrics::counter;
use tideroute::types::{AttemptOutcome, EndpointStatus, RequestId};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{client, endpoint_list, worker, Malformed, Micros, Party};

use crate::clients::Clients;
use crate::config::RouterConfig;
use crate::lifecycle::{shown, RequestLifecycle};
use crate::lines::Lines;
use crate::request_table::{short, RequestState};
use crate::tenant_admission::Ear;
use crate::transport::Timer;
use crate::wires::{Said, Wires};

/// Microseconds between two tellings of tenants' figures: what a person who watches takes for now.
const TELLS: Micros = 1_000_000;
/// The kind of a timer stands in the top byte of its key, what it is for beneath.
const KIND: u32 = 56;

/// What a timer is for.
#[derive(Clone, Copy)]
pub(crate) enum Ring {
    RequestLifecycle(Timer),
    /// A connection, by its number, has not said Hello.
    Hello(ConnectionId),
    /// Tenants' figures are told.
    Figures,
}

pub(crate) fn key(ring: Ring) -> u64 {
    let (kind, what) = match ring {
        Ring::RequestLifecycle(Timer::SchedulerWake) => (0, 0),
        Ring::RequestLifecycle(Timer::Deadline(id)) => (1, short(id)),
        Ring::RequestLifecycle(Timer::HealthCheck(nonce)) => (2, nonce),
        Ring::Hello(connection) => (3, connection.0),
        Ring::RequestLifecycle(Timer::Admission) => (4, 0),
        Ring::Figures => (5, 0),
    };
    kind << KIND | what
}

pub struct Host {
    pub(crate) config: RouterConfig,
    pub(crate) lifecycle: RequestLifecycle<Said>,
    pub(crate) clients: Clients,
    pub(crate) lines: Lines,
    pub(crate) list_link: Option<ConnectionId>,
    pub(crate) list_changed: bool,
    kept: Option<Bytes>,
}

impl Host {
    /// A router that starts now; `kept` is the list as the last run of it kept it.
    pub fn new(config: RouterConfig, kept: Option<Bytes>, now: Micros) -> Host {
        Host {
            lifecycle: RequestLifecycle::new(config.lifecycle.clone(), now),
            config,
            clients: Clients::default(),
            lines: Lines::default(),
            list_link: None,
            list_changed: false,
            kept,
        }
    }

    /// Submissions that are open.
    pub fn open(&self) -> usize {
        self.lifecycle.requests.len()
    }

    /// The books, and the ways by which they speak.
    pub(crate) fn parts<'a>(
        &'a mut self,
        effects: &'a mut Effects,
    ) -> (&'a mut RequestLifecycle<Said>, Wires<'a>) {
        let (config, clients, lines) = (&self.config, &mut self.clients, &mut self.lines);
        (&mut self.lifecycle, Wires { config, clients, lines, list_link: &mut self.list_link, effects })
    }

    pub(crate) fn settle(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        effects: &mut Effects,
    ) {
        let (lifecycle, mut wires) = self.parts(effects);
        lifecycle.finish_attempt(now, id, number, outcome, &mut wires);
    }

    pub(crate) fn dropped(&mut self, now: Micros, id: RequestId, effects: &mut Effects) {
        let (lifecycle, mut wires) = self.parts(effects);
        lifecycle.client_disconnected(now, id, &mut wires);
    }

    /// Takes a new submission, or turns it back at once where the operator's bounds are reached.
    pub(crate) fn submitted(
        &mut self,
        now: Micros,
        s: RequestState<Said>,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        if self.config.lifecycle.scheduler.classes.get(usize::from(s.class)).is_none() {
            return Err(Malformed::Range("track"));
        }
        let (connection, number) = (s.context.client, s.context.number);
        let Some(client) = self.clients.get_mut(connection) else { return Err(Malformed::Hello) };
        if client.last.is_some_and(|last| number <= last) {
            return Err(Malformed::Order("a number that is not above the last"));
        }
        client.last = Some(number);
        let (key, full) = (client.key, client.open.len() >= self.config.max_requests_per_client);
        if let Some((_, after)) = self.lifecycle.rejection(full) {
            effects.send(connection, client::rejected(number, after));
            return Ok(());
        }
        // A key may have been revoked since its Hello.
        let tenant = self.lifecycle.tenant_admission.as_ref().zip(key).and_then(|(t, key)| t.of(&key));
        // The books number submissions in turn, so that the client hears the id before anything else of it.
        let id = self.lifecycle.requests.next_id();
        if let Some(client) = self.clients.get_mut(connection) {
            client.open.insert(number, id);
        }
        effects.send(connection, client::accepted(number, id));
        let (lifecycle, mut wires) = self.parts(effects);
        lifecycle.accept(now, s, tenant, &mut wires);
        Ok(())
    }

    /// Tells tenants' figures, and again a while later.
    fn tell_figures(&mut self, now: Micros, effects: &mut Effects) {
        let Some(tenant_admission) = &mut self.lifecycle.tenant_admission else { return };
        tenant_admission
            .news(&self.config.lifecycle.name)
            .into_iter()
            .for_each(|letter| effects.publish(letter));
        effects.set_timer(now + TELLS, key(Ring::Figures));
    }

    /// A client has said Hello; where there are tenants it must speak for one.
    fn greeted(&mut self, connection: ConnectionId, name: &str, key: &[u8], effects: &mut Effects) {
        let tenant_admission = self.lifecycle.tenant_admission.as_ref();
        let hash = tenant_admission.map(|_| *blake3::hash(key).as_bytes());
        if tenant_admission.zip(hash).is_some_and(|(t, hash)| t.of(&hash).is_none()) {
            counter!("tideroute_denied_total").increment(1);
            tracing::debug!(connection = connection.0, name, "a client without a tenant's key");
            self.clients.lose(connection);
            effects.send(connection, client::unauthorized("no tenant has this key"));
            return effects.close(connection, "no tenant has its key");
        }
        tracing::debug!(connection = connection.0, name, "a client is there");
        self.clients.greeted(connection, hash);
    }

    /// A connection to a worker has ended, or never came about.
    fn line_lost(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some((worker, line)) = self.lines.lose(connection) else { return };
        tracing::info!(worker = %shown(worker), ?loss, attempts = line.attempts.len(), "lost a worker's line");
        for id in line.places {
            if let Some(s) = self.lifecycle.requests.get_mut(id) {
                s.reservations.retain(|&p| p != worker);
            }
        }
        let outcome = match loss {
            DisconnectReason::ConnectFailed => AttemptOutcome::Unreachable,
            DisconnectReason::LocalFailure => AttemptOutcome::NotSent,
            DisconnectReason::Reset => AttemptOutcome::ConnectionReset,
        };
        for id in line.attempts {
            let number = self.lifecycle.requests.get(id).and_then(|s| s.attempt.as_ref()).map(|s| s.number);
            if let Some(number) = number {
                self.settle(now, id, number, outcome, effects);
            }
        }
        if let Some(nonce) = line.probe {
            let (lifecycle, mut wires) = self.parts(effects);
            lifecycle.health_check_finished(now, nonce, false, &mut wires);
        }
    }

    /// Tells the worker of a stream that its client has taken tokens, once `least` of them are owed.
    pub(crate) fn pay(&mut self, id: RequestId, least: u32, effects: &mut Effects) {
        let Some(s) = self.lifecycle.requests.get_mut(id) else { return };
        let crowded = self.clients.get_mut(s.context.client).is_none_or(|c| c.crowded);
        let Some(attempt) =
            s.attempt.as_mut().filter(|s| s.streaming && s.unacknowledged_tokens >= least.max(1))
        else {
            return;
        };
        if !crowded {
            let tokens = std::mem::take(&mut attempt.unacknowledged_tokens);
            self.lines.send_if_there(
                attempt.worker,
                worker::grant_tokens(id, attempt.number, tokens),
                effects,
            );
        }
    }

    /// The list as it stands, as a page that `new` takes again.
    fn list_to_keep(&self) -> Bytes {
        let mut page = endpoint_list::Page::new(self.lifecycle.endpoint_list_version(), true);
        for l in self.lifecycle.endpoints().filter(|l| l.status != EndpointStatus::Removed) {
            let status = match l.status {
                EndpointStatus::Serving => endpoint_list::EndpointStatus::Serving,
                _ => endpoint_list::EndpointStatus::Draining,
            };
            page.add(
                l.worker,
                l.kind,
                l.size,
                status,
                l.cell,
                l.zone,
                self.lifecycle.reported_start_time(l.worker),
            );
        }
        page.frame()
    }
}

impl EventHandler for Host {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(kept) = self.kept.take() {
            let mut listener = crate::hear::ListLink { host: self, now };
            if let Err(problem) = endpoint_list::receive_from_list(&kept, &mut listener) {
                tracing::warn!(%problem, "the list that was kept cannot be read; starts without");
            }
            // The list server may have started anew too: it is asked for all.
            self.lifecycle.reset_endpoint_list_version();
            self.list_changed = false;
        }
        self.tell_figures(now, effects);
        self.on_iteration(now, effects);
    }

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        if self.clients.len() >= self.config.max_clients {
            counter!("tideroute_clients_sent_away_total").increment(1);
            return effects.close(connection, "too many clients");
        }
        self.clients.accepted(connection);
        effects.set_timer(now + self.config.lifecycle.connect_timeout, key(Ring::Hello(connection)));
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        let taken = if self.lines.worker_of(connection).is_some() {
            let mut listener = crate::hear::WorkerLink { host: self, now, connection, effects };
            worker::receive_from_worker(frame, &mut listener)
        } else if self.list_link == Some(connection) {
            let heard =
                endpoint_list::receive_from_list(frame, &mut crate::hear::ListLink { host: self, now });
            self.lifecycle.discovery_synced(now);
            heard
        } else if self.clients.is_silent(connection) {
            tideroute_wire::first(frame).and_then(|(party, name, key)| match party {
                Party::Client => {
                    self.greeted(connection, &name, &key, effects);
                    Ok(())
                }
                _ => Err(Malformed::Range("party")),
            })
        } else if self.clients.knows(connection) {
            client::receive_from_client(
                frame,
                &mut crate::hear::ClientLink { host: self, now, connection, effects },
            )
        } else {
            Ok(())
        };
        if let Err(problem) = taken {
            tracing::warn!(connection = connection.0, %problem, "closes a connection that breaks the protocol");
            counter!("tideroute_protocol_breaks_total").increment(1);
            effects.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        if self.list_link == Some(connection) {
            tracing::warn!(?loss, "lost the list; the old one stays in force");
            self.list_link = None;
            self.lifecycle.discovery_failed(now);
        } else if let Some(client) = self.clients.lose(connection) {
            for id in client.open.into_values() {
                self.dropped(now, id, effects);
            }
        } else {
            self.line_lost(now, connection, loss, effects);
        }
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.crowded = crowded;
        let open: Vec<_> = client.open.values().copied().collect();
        // Who does not read shall not ask for more either.
        effects.pause_reading(connection, crowded);
        counter!("tideroute_crowded_total").increment(u64::from(crowded));
        if !crowded {
            open.into_iter().for_each(|id| self.pay(id, 1, effects));
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        let what = key & ((1 << KIND) - 1);
        let timer = match key >> KIND {
            0 => Timer::SchedulerWake,
            1 => Timer::Deadline(self.lifecycle.requests.expand_id(what)),
            2 => Timer::HealthCheck(what),
            4 => Timer::Admission,
            5 => return self.tell_figures(now, effects),
            _ => {
                let connection = ConnectionId(what);
                if self.clients.is_silent(connection) {
                    self.clients.lose(connection);
                    effects.close(connection, "no Hello in time");
                }
                return;
            }
        };
        let (lifecycle, mut wires) = self.parts(effects);
        lifecycle.timer_fired(now, timer, &mut wires);
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        let (lifecycle, mut wires) = self.parts(effects);
        lifecycle.run_scheduling_pass(now, &mut wires);
        if std::mem::take(&mut self.list_changed) {
            effects.persist(self.list_to_keep());
        }
    }

    fn on_message(&mut self, now: Micros, letter: &Bytes, _out: &mut Effects) {
        let Some(tenant_admission) = &mut self.lifecycle.tenant_admission else { return };
        if let Err(problem) = tideroute_wire::tenant::receive(letter, &mut Ear { tenant_admission, now }) {
            tracing::error!(%problem, "a letter about tenants cannot be read");
        }
        self.lifecycle.scheduling_needed = true;
    }

    fn on_loop_lag(&mut self, now: Micros, by: Micros) {
        self.lifecycle.record_loop_lag(now, by);
    }

    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {
        self.lifecycle.shut_down();
    }

    fn is_finished(&self) -> bool {
        self.lifecycle.is_drained()
    }
}
