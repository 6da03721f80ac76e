//! The program on protobuf links: what happens on them goes to the books, then the module's decisions are carried
//! out until there is none.

use bytes::Bytes;
use metrics::counter;
use tideroute::types::{AttemptOutcome, EndpointStatus, RequestId};
use tideroute_wire::link::{Link, Loss, Outbox, Program};
use tideroute_wire::{client, list, worker, Malformed, Micros, Party};

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
    Hello(Link),
    /// Tenants' figures are told.
    Figures,
}

pub(crate) fn key(ring: Ring) -> u64 {
    let (kind, what) = match ring {
        Ring::RequestLifecycle(Timer::Wake) => (0, 0),
        Ring::RequestLifecycle(Timer::CutOff(id)) => (1, short(id)),
        Ring::RequestLifecycle(Timer::Probe(nonce)) => (2, nonce),
        Ring::Hello(link) => (3, link.0),
        Ring::RequestLifecycle(Timer::Shares) => (4, 0),
        Ring::Figures => (5, 0),
    };
    kind << KIND | what
}

pub struct Host {
    pub(crate) config: RouterConfig,
    pub(crate) lifecycle: RequestLifecycle<Said>,
    pub(crate) clients: Clients,
    pub(crate) lines: Lines,
    pub(crate) list_link: Option<Link>,
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
        out: &'a mut Outbox,
    ) -> (&'a mut RequestLifecycle<Said>, Wires<'a>) {
        let (config, clients, lines) = (&self.config, &mut self.clients, &mut self.lines);
        (&mut self.lifecycle, Wires { config, clients, lines, list_link: &mut self.list_link, out })
    }

    pub(crate) fn settle(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        out: &mut Outbox,
    ) {
        let (lifecycle, mut wires) = self.parts(out);
        lifecycle.settle(now, id, number, outcome, &mut wires);
    }

    pub(crate) fn dropped(&mut self, now: Micros, id: RequestId, out: &mut Outbox) {
        let (lifecycle, mut wires) = self.parts(out);
        lifecycle.dropped(now, id, &mut wires);
    }

    /// Takes a new submission, or turns it back at once where the operator's bounds are reached.
    pub(crate) fn submitted(
        &mut self,
        now: Micros,
        s: RequestState<Said>,
        out: &mut Outbox,
    ) -> Result<(), Malformed> {
        if self.config.lifecycle.module.classes.get(usize::from(s.class)).is_none() {
            return Err(Malformed::Range("track"));
        }
        let (link, number) = (s.asked.client, s.asked.number);
        let Some(client) = self.clients.get_mut(link) else { return Err(Malformed::Hello) };
        if client.last.is_some_and(|last| number <= last) {
            return Err(Malformed::Order("a number that is not above the last"));
        }
        client.last = Some(number);
        let (key, full) = (client.key, client.open.len() >= self.config.most_a_client);
        if let Some((_, after)) = self.lifecycle.untaken(full) {
            out.send(link, client::turned_back(number, after));
            return Ok(());
        }
        // A key may have been revoked since its Hello.
        let tenant = self.lifecycle.tenant_admission.as_ref().zip(key).and_then(|(t, key)| t.of(&key));
        // The books number submissions in turn, so that the client hears the id before anything else of it.
        let id = self.lifecycle.requests.coming();
        if let Some(client) = self.clients.get_mut(link) {
            client.open.insert(number, id);
        }
        out.send(link, client::taken(number, id));
        let (lifecycle, mut wires) = self.parts(out);
        lifecycle.submitted(now, s, tenant, &mut wires);
        Ok(())
    }

    /// Tells tenants' figures, and again a while later.
    fn tell_figures(&mut self, now: Micros, out: &mut Outbox) {
        let Some(tenant_admission) = &mut self.lifecycle.tenant_admission else { return };
        tenant_admission.news(&self.config.lifecycle.name).into_iter().for_each(|letter| out.publish(letter));
        out.ring(now + TELLS, key(Ring::Figures));
    }

    /// A client has said Hello; where there are tenants it must speak for one.
    fn greeted(&mut self, link: Link, name: &str, key: &[u8], out: &mut Outbox) {
        let tenant_admission = self.lifecycle.tenant_admission.as_ref();
        let hash = tenant_admission.map(|_| *blake3::hash(key).as_bytes());
        if tenant_admission.zip(hash).is_some_and(|(t, hash)| t.of(&hash).is_none()) {
            counter!("tideroute_denied_total").increment(1);
            tracing::debug!(link = link.0, name, "a client without a tenant's key");
            self.clients.lose(link);
            out.send(link, client::denied("no tenant has this key"));
            return out.close(link, "no tenant has its key");
        }
        tracing::debug!(link = link.0, name, "a client is there");
        self.clients.greeted(link, hash);
    }

    /// A connection to a worker has ended, or never came about.
    fn line_lost(&mut self, now: Micros, link: Link, loss: Loss, out: &mut Outbox) {
        let Some((worker, line)) = self.lines.lose(link) else { return };
        tracing::info!(worker = %shown(worker), ?loss, attempts = line.attempts.len(), "lost a worker's line");
        for id in line.places {
            if let Some(s) = self.lifecycle.requests.get_mut(id) {
                s.places.retain(|&p| p != worker);
            }
        }
        let outcome = match loss {
            Loss::Unreached => AttemptOutcome::Unreachable,
            Loss::NotDialled => AttemptOutcome::NotSent,
            Loss::Broken => AttemptOutcome::ConnectionReset,
        };
        for id in line.attempts {
            let number = self.lifecycle.requests.get(id).and_then(|s| s.attempt.as_ref()).map(|s| s.number);
            if let Some(number) = number {
                self.settle(now, id, number, outcome, out);
            }
        }
        if let Some(nonce) = line.probe {
            let (lifecycle, mut wires) = self.parts(out);
            lifecycle.probed(now, nonce, false, &mut wires);
        }
    }

    /// Tells the worker of a stream that its client has taken tokens, once `least` of them are owed.
    pub(crate) fn pay(&mut self, id: RequestId, least: u32, out: &mut Outbox) {
        let Some(s) = self.lifecycle.requests.get_mut(id) else { return };
        let crowded = self.clients.get_mut(s.asked.client).is_none_or(|c| c.crowded);
        let Some(attempt) = s.attempt.as_mut().filter(|s| s.started && s.owed >= least.max(1)) else {
            return;
        };
        if !crowded {
            let tokens = std::mem::take(&mut attempt.owed);
            self.lines.send_if_there(attempt.worker, worker::more(id, attempt.number, tokens), out);
        }
    }

    /// The list as it stands, as a page that `new` takes again.
    fn list_to_keep(&self) -> Bytes {
        let mut page = list::Page::new(self.lifecycle.version(), true);
        for l in self.lifecycle.listed().filter(|l| l.status != EndpointStatus::Removed) {
            let status = match l.status {
                EndpointStatus::Serving => list::EndpointStatus::Serving,
                _ => list::EndpointStatus::Draining,
            };
            page.add(l.worker, l.kind, l.size, status, l.cell, l.zone, self.lifecycle.start_told(l.worker));
        }
        page.frame()
    }
}

impl Program for Host {
    fn begin(&mut self, now: Micros, out: &mut Outbox) {
        if let Some(kept) = self.kept.take() {
            let mut listener = crate::hear::ListLink { host: self, now };
            if let Err(problem) = list::hear_list(&kept, &mut listener) {
                tracing::warn!(%problem, "the list that was kept cannot be read; starts without");
            }
            // The list server may have started anew too: it is asked for all.
            self.lifecycle.forget_version();
            self.list_changed = false;
        }
        self.tell_figures(now, out);
        self.turn(now, out);
    }

    fn accepted(&mut self, now: Micros, link: Link, _door: usize, out: &mut Outbox) {
        if self.clients.len() >= self.config.most_clients {
            counter!("tideroute_clients_sent_away_total").increment(1);
            return out.close(link, "too many clients");
        }
        self.clients.accepted(link);
        out.ring(now + self.config.lifecycle.unheard, key(Ring::Hello(link)));
    }

    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}

    fn heard(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox) {
        let taken = if self.lines.worker_of(link).is_some() {
            let mut listener = crate::hear::WorkerLink { host: self, now, link, out };
            worker::hear_worker(frame, &mut listener)
        } else if self.list_link == Some(link) {
            let heard = list::hear_list(frame, &mut crate::hear::ListLink { host: self, now });
            self.lifecycle.list_heard(now);
            heard
        } else if self.clients.is_silent(link) {
            tideroute_wire::first(frame).and_then(|(party, name, key)| match party {
                Party::Client => {
                    self.greeted(link, &name, &key, out);
                    Ok(())
                }
                _ => Err(Malformed::Range("party")),
            })
        } else if self.clients.knows(link) {
            client::hear_client(frame, &mut crate::hear::ClientLink { host: self, now, link, out })
        } else {
            Ok(())
        };
        if let Err(problem) = taken {
            tracing::warn!(link = link.0, %problem, "closes a connection that breaks the protocol");
            counter!("tideroute_protocol_breaks_total").increment(1);
            out.close(link, problem.to_string());
            self.lost(now, link, Loss::Broken, out);
        }
    }

    fn lost(&mut self, now: Micros, link: Link, loss: Loss, out: &mut Outbox) {
        if self.list_link == Some(link) {
            tracing::warn!(?loss, "lost the list; the old one stays in force");
            self.list_link = None;
            self.lifecycle.list_failed(now);
        } else if let Some(client) = self.clients.lose(link) {
            for id in client.open.into_values() {
                self.dropped(now, id, out);
            }
        } else {
            self.line_lost(now, link, loss, out);
        }
    }

    fn crowded(&mut self, _now: Micros, link: Link, crowded: bool, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(link) else { return };
        client.crowded = crowded;
        let open: Vec<_> = client.open.values().copied().collect();
        // Who does not read shall not ask for more either.
        out.hush(link, crowded);
        counter!("tideroute_crowded_total").increment(u64::from(crowded));
        if !crowded {
            open.into_iter().for_each(|id| self.pay(id, 1, out));
        }
    }

    fn rang(&mut self, now: Micros, key: u64, out: &mut Outbox) {
        let what = key & ((1 << KIND) - 1);
        let timer = match key >> KIND {
            0 => Timer::Wake,
            1 => Timer::CutOff(self.lifecycle.requests.long(what)),
            2 => Timer::Probe(what),
            4 => Timer::Shares,
            5 => return self.tell_figures(now, out),
            _ => {
                let link = Link(what);
                if self.clients.is_silent(link) {
                    self.clients.lose(link);
                    out.close(link, "no Hello in time");
                }
                return;
            }
        };
        let (lifecycle, mut wires) = self.parts(out);
        lifecycle.rang(now, timer, &mut wires);
    }

    fn turn(&mut self, now: Micros, out: &mut Outbox) {
        let (lifecycle, mut wires) = self.parts(out);
        lifecycle.turn(now, &mut wires);
        if std::mem::take(&mut self.list_changed) {
            out.keep(self.list_to_keep());
        }
    }

    fn told(&mut self, now: Micros, letter: &Bytes, _out: &mut Outbox) {
        let Some(tenant_admission) = &mut self.lifecycle.tenant_admission else { return };
        if let Err(problem) = tideroute_wire::tenant::hear(letter, &mut Ear { tenant_admission, now }) {
            tracing::error!(%problem, "a letter about tenants cannot be read");
        }
        self.lifecycle.stirred = true;
    }

    fn late(&mut self, now: Micros, by: Micros) {
        self.lifecycle.late(now, by);
    }

    fn stop(&mut self, _now: Micros, _out: &mut Outbox) {
        self.lifecycle.stop();
    }

    fn done(&self) -> bool {
        self.lifecycle.done()
    }
}
