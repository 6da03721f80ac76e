//! Shares against a slow plain model that keeps lists and looks through all of them for each verdict.

use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_admission::{
    Asked, Capacity, Known, Limits, Micros, Rate, Shares, Tenant, Terms, Ticket, Verdict,
};

const TERMS: Terms = Terms { longest_wait: 800_000, most_waiting: 60, longest_advice: 2_000_000 };

#[derive(Clone)]
struct Member {
    tenant: Tenant,
    limits: Limits,
    /// Of its two rates, when what was taken is due.
    due: [f64; 2],
    paid: f64,
    removed: bool,
}

#[derive(Clone)]
struct Waits {
    asked: Asked,
    order: u64,
    until: Micros,
}

#[derive(Default)]
struct Plain {
    members: Vec<Member>,
    waits: Vec<Waits>,
    flights: Vec<(Ticket, Tenant, Micros)>,
    capacity: Capacity,
    virtually: f64,
    asked: u64,
    verdicts: Vec<Verdict>,
}

impl Plain {
    fn member(&mut self, tenant: Tenant) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.tenant == tenant)
    }

    fn in_flight(&self, tenant: Tenant) -> usize {
        self.flights.iter().filter(|f| f.1 == tenant).count()
    }

    fn free_at(member: &Member, now: Micros, tokens: f64) -> Option<Micros> {
        let rates = [(member.limits.requests, 1.0), (member.limits.tokens, tokens)];
        let mut free = now;
        for ((rate, units), due) in rates.into_iter().zip(member.due) {
            let Some(rate) = rate else { continue };
            if rate.a_second <= 0.0 {
                return None;
            }
            let ahead = (rate.burst.max(units) - units) / rate.a_second * 1e6;
            free = free.max((due - ahead).max(now as f64).ceil() as Micros);
        }
        Some(free)
    }

    /// Those of a tenant that wait, the one to go first first.
    fn of(&self, tenant: Tenant) -> Vec<Waits> {
        let mut of: Vec<_> = self.waits.iter().filter(|w| w.asked.tenant == tenant).cloned().collect();
        of.sort_by(|a, b| {
            b.asked.priority_weight.total_cmp(&a.asked.priority_weight).then(a.order.cmp(&b.order))
        });
        of
    }

    fn refuse(&mut self, now: Micros, waits: &Waits) {
        let ticket = waits.asked.ticket;
        self.waits.retain(|w| w.asked.ticket != ticket);
        let Some(member) = self.member(waits.asked.tenant) else { return };
        let free = Plain::free_at(member, now, f64::from(waits.asked.tokens)).map(|at| at - now);
        let after = free.filter(|after| *after > 0).unwrap_or(TERMS.longest_wait).min(TERMS.longest_advice);
        self.verdicts.push(Verdict::TurnBack { ticket, after });
    }

    fn tenant(&mut self, now: Micros, tenant: Tenant, limits: Limits) {
        if self.member(tenant).is_none() {
            self.members.push(Member { tenant, limits, due: [0.0; 2], paid: 0.0, removed: false });
        }
        let Some(member) = self.member(tenant) else { return };
        let pairs = [(member.limits.requests, limits.requests), (member.limits.tokens, limits.tokens)];
        for (due, pair) in member.due.iter_mut().zip(pairs) {
            let (Some(old), Some(new)) = pair else {
                *due = 0.0;
                continue;
            };
            if new.a_second > 0.0 {
                let units = (*due - now as f64).max(0.0) / 1e6 * old.a_second.max(0.0);
                let most = new.burst.max(1.0) / new.a_second * 1e6;
                *due = now as f64 + (units / new.a_second * 1e6).min(most);
            }
        }
        (member.limits, member.removed) = (limits, false);
        for waits in self.of(tenant).split_off((limits.waiting as usize).min(self.of(tenant).len())) {
            self.refuse(now, &waits);
        }
    }

    fn removed(&mut self, now: Micros, tenant: Tenant) {
        let Some(member) = self.member(tenant) else { return };
        member.removed = true;
        self.of(tenant).iter().for_each(|waits| self.refuse(now, waits));
        self.forget();
    }

    fn forget(&mut self) {
        let flights = &self.flights;
        self.members.retain(|m| !m.removed || flights.iter().any(|f| f.1 == m.tenant));
    }

    fn asked(&mut self, now: Micros, asked: Asked) {
        if !self.members.iter().any(|m| m.tenant == asked.tenant && !m.removed) {
            return self.verdicts.push(Verdict::TurnBack { ticket: asked.ticket, after: 0 });
        }
        self.asked += 1;
        let until = now + TERMS.longest_wait.min(asked.deadline.saturating_sub(now) / 4);
        self.waits.push(Waits { asked, order: self.asked, until });
        let of = self.of(asked.tenant);
        let most = self.member(asked.tenant).map_or(0, |m| m.limits.waiting as usize);
        if of.len() > most || self.waits.len() > TERMS.most_waiting {
            of.last().into_iter().for_each(|last| self.refuse(now, last));
        }
    }

    fn answered(&mut self, now: Micros, ticket: Ticket, known: Known) {
        let Some(place) = self.flights.iter().position(|f| f.0 == ticket) else { return };
        let (.., since) = self.flights.remove(place);
        if known != Known::Nothing {
            self.capacity.answered(now, since, known == Known::InTime);
        }
        self.forget();
    }

    fn left(&mut self, now: Micros, ticket: Ticket) {
        self.waits.retain(|w| w.asked.ticket != ticket);
        self.answered(now, ticket, Known::Nothing);
    }

    fn decide(&mut self, now: Micros) -> Option<Verdict> {
        let mut late: Vec<_> = self.waits.iter().filter(|w| w.until <= now).cloned().collect();
        late.sort_by_key(|w| (w.until, w.asked.ticket));
        late.iter().for_each(|waits| self.refuse(now, waits));
        if !self.verdicts.is_empty() {
            return Some(self.verdicts.remove(0));
        }
        let mut best: Option<((bool, f64, Tenant), Waits)> = None;
        for m in &self.members {
            let Some(first) = self.of(m.tenant).into_iter().next() else { continue };
            let full = m.limits.in_flight.is_some_and(|most| self.in_flight(m.tenant) >= most as usize);
            let free = Plain::free_at(m, now, f64::from(first.asked.tokens)).is_some_and(|at| at <= now);
            let place = (m.limits.weight <= 0.0, m.paid.max(self.virtually), m.tenant);
            if !full && free && best.as_ref().is_none_or(|(b, _)| place < *b) {
                best = Some((place, first));
            }
        }
        let (_, waits) = best?;
        if self.flights.len() as f64 >= self.capacity.window() {
            self.capacity.full();
            return None;
        }
        let (Asked { ticket, tenant, tokens, .. }, virtually) = (waits.asked, self.virtually);
        self.waits.retain(|w| w.asked.ticket != ticket);
        self.flights.push((ticket, tenant, now));
        let m = self.member(tenant)?;
        for ((rate, units), due) in
            [(m.limits.requests, 1.0), (m.limits.tokens, f64::from(tokens))].into_iter().zip(&mut m.due)
        {
            if let Some(rate) = rate {
                *due = due.max(now as f64) + units / rate.a_second * 1e6;
            }
        }
        let weight = if m.limits.weight > 0.0 { m.limits.weight } else { 1.0 };
        let start = virtually.max(m.paid);
        m.paid = start + (f64::from(tokens) + 1.0) / weight;
        if m.limits.weight > 0.0 {
            self.virtually = start;
        }
        Some(Verdict::Let(ticket))
    }
}

fn limits(chance: &mut Pcg64, tenant: u32) -> Limits {
    let mut rate = |a_second: f64| {
        let burst = 1.0 + chance.random_range(0..4) as f64 * a_second / 8.0;
        let none = chance.random_range(0..12) == 0;
        chance.random_bool(0.4).then_some(Rate { a_second: if none { 0.0 } else { a_second }, burst })
    };
    let (requests, tokens) = (rate(20.0), rate(4_000.0));
    Limits {
        requests,
        tokens,
        in_flight: chance.random_bool(0.3).then(|| chance.random_range(0..6)),
        // One without weight: among several of them the plain model keeps no order.
        weight: if tenant == 0 { 0.0 } else { [0.5, 1.0, 1.0, 3.0][chance.random_range(0..4)] },
        waiting: [2, 5, 20, 100][chance.random_range(0..4)],
    }
}

#[test]
fn verdicts_are_those_of_the_plain_model() {
    fn same(seed: u64, tenants: u8, steps: u16) -> bool {
        let mut chance = Pcg64::seed_from_u64(seed);
        let (mut shares, mut plain) = (Shares::new(TERMS), Plain::default());
        let (mut now, mut tickets, mut flying) = (10_000_000, 0, vec![]);
        let tenants = 1 + u32::from(tenants % 7);
        let (mut open, mut given) = (0, 0);
        for step in 0..u32::from(steps % 600) + tenants {
            now += chance.random_range(0..30_000);
            let tenant = Tenant(chance.random_range(0..tenants + 1));
            match if step < tenants { 0 } else { chance.random_range(0..40) } {
                0 => {
                    let tenant = if step < tenants { Tenant(step) } else { tenant };
                    let limits = limits(&mut chance, tenant.0);
                    shares.tenant(now, tenant, limits);
                    plain.tenant(now, tenant, limits);
                }
                1 => {
                    shares.removed(now, tenant);
                    plain.removed(now, tenant);
                }
                2..=26 => {
                    for _ in 0..chance.random_range(1..4) {
                        tickets += 1;
                        let asked = Asked {
                            ticket: Ticket(tickets),
                            tenant,
                            tokens: chance.random_range(0..900),
                            priority_weight: [1.0, 3.0, 0.5][chance.random_range(0..3)],
                            deadline: now + chance.random_range(0..6_000_000),
                        };
                        open += 1;
                        shares.asked(now, asked);
                        plain.asked(now, asked);
                    }
                }
                27 => {
                    let ticket = Ticket(chance.random_range(0..tickets + 1));
                    let waited = plain.waits.iter().any(|w| w.asked.ticket == ticket);
                    given += u64::from(waited);
                    shares.left(now, ticket);
                    plain.left(now, ticket);
                    flying.retain(|t| *t != ticket);
                }
                _ if flying.is_empty() => {}
                _ => {
                    let ticket = flying.swap_remove(chance.random_range(0..flying.len()));
                    let known = [Known::InTime, Known::InTime, Known::InTime, Known::Late, Known::Nothing];
                    let known = known[chance.random_range(0..5)];
                    shares.answered(now, ticket, known);
                    plain.answered(now, ticket, known);
                }
            }
            loop {
                let verdict = std::iter::from_fn(|| shares.decide(now))
                    .find(|verdict| !matches!(verdict, Verdict::Wake { .. }));
                assert_eq!(verdict, plain.decide(now), "seed {seed} step {step}");
                match verdict {
                    Some(Verdict::Let(ticket)) => flying.push(ticket),
                    Some(_) => {}
                    None => break,
                }
                given += 1;
            }
            // Each that asked waits, or has had its one verdict, or has left.
            assert_eq!(open, given + shares.waiting() as u64, "seed {seed} step {step}");
            assert!(shares.waiting() <= TERMS.most_waiting);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 7))
        .tests(300)
        .quickcheck(same as fn(u64, u8, u16) -> bool);
}
