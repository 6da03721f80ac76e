//! Admission control gives the same verdicts as a slow reference model, on random sequences of events. This guards
//! against errors in the indexes (schedule, wait queue) that admission control keeps to be fast.

mod reference_model;

use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use reference_model::{ReferenceModel, CONFIG};
use tideroute_admission::{
    AdmissionControl, AdmissionRequest, Limits, Micros, RateLimit, ResponseTiming, Tenant, Ticket, Verdict,
};

fn random_limits(rng: &mut Pcg64, tenant: Tenant) -> Limits {
    let mut rate = |per_second: f64| {
        let burst = 1.0 + rng.random_range(0..4) as f64 * per_second / 8.0;
        let is_zero = rng.random_range(0..12) == 0;
        let per_second = if is_zero { 0.0 } else { per_second };
        rng.random_bool(0.4).then_some(RateLimit { per_second, burst })
    };
    let requests = rate(20.0);
    let tokens = rate(4_000.0);
    Limits {
        requests,
        tokens,
        in_flight: rng.random_bool(0.3).then(|| rng.random_range(0..6)),
        // Only one tenant has weight 0: the reference model does not define an order among several of them.
        weight: if tenant.0 == 0 { 0.0 } else { [0.5, 1.0, 1.0, 3.0][rng.random_range(0..4)] },
        waiting: [2, 5, 20, 100][rng.random_range(0..4)],
    }
}

fn random_request(rng: &mut Pcg64, now: Micros, ticket: Ticket, tenant: Tenant) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        tenant,
        tokens: rng.random_range(0..900),
        priority_weight: [1.0, 3.0, 0.5][rng.random_range(0..3)],
        deadline: now + rng.random_range(0..6_000_000),
    }
}

/// Admission control and the reference model, both of which receive the same events.
struct Comparison {
    rng: Pcg64,
    admission: AdmissionControl,
    model: ReferenceModel,
    now: Micros,
    last_ticket: u64,
    in_flight: Vec<Ticket>,
    enqueued: u64,
    /// Number of requests that got their verdict, or whose client disconnected before.
    decided: u64,
}

impl Comparison {
    fn new(seed: u64) -> Comparison {
        Comparison {
            rng: Pcg64::seed_from_u64(seed),
            admission: AdmissionControl::new(CONFIG),
            model: ReferenceModel::default(),
            now: 10_000_000,
            last_ticket: 0,
            in_flight: vec![],
            enqueued: 0,
            decided: 0,
        }
    }

    fn upsert_tenant(&mut self, tenant: Tenant) {
        let limits = random_limits(&mut self.rng, tenant);
        self.admission.upsert_tenant(self.now, tenant, limits);
        self.model.upsert_tenant(self.now, tenant, limits);
    }

    fn enqueue_requests(&mut self, tenant: Tenant) {
        for _ in 0..self.rng.random_range(1..4) {
            self.last_ticket += 1;
            let request = random_request(&mut self.rng, self.now, Ticket(self.last_ticket), tenant);
            self.enqueued += 1;
            self.admission.enqueue(self.now, request);
            self.model.enqueue(self.now, request);
        }
    }

    fn disconnect_client(&mut self) {
        let ticket = Ticket(self.rng.random_range(0..self.last_ticket + 1));
        self.decided += u64::from(self.model.is_waiting(ticket));
        self.admission.client_disconnected(self.now, ticket);
        self.model.client_disconnected(self.now, ticket);
        self.in_flight.retain(|in_flight| *in_flight != ticket);
    }

    fn finish_request(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let ticket = self.in_flight.swap_remove(index);
        let timings = [
            ResponseTiming::InTime,
            ResponseTiming::InTime,
            ResponseTiming::InTime,
            ResponseTiming::Late,
            ResponseTiming::Unknown,
        ];
        let timing = timings[self.rng.random_range(0..5)];
        self.admission.request_finished(self.now, ticket, timing);
        self.model.request_finished(self.now, ticket, timing);
    }

    /// Applies one random event to both; the first `tenants` steps add one tenant each.
    fn play_step(&mut self, step: u32, tenants: u32) {
        self.now += self.rng.random_range(0..30_000);
        let tenant = Tenant(self.rng.random_range(0..tenants + 1));
        match if step < tenants { 0 } else { self.rng.random_range(0..40) } {
            0 => self.upsert_tenant(if step < tenants { Tenant(step) } else { tenant }),
            1 => {
                self.admission.remove_tenant(self.now, tenant);
                self.model.remove_tenant(self.now, tenant);
            }
            2..=26 => self.enqueue_requests(tenant),
            27 => self.disconnect_client(),
            _ => self.finish_request(),
        }
    }

    fn compare_verdicts(&mut self, seed: u64, step: u32) {
        loop {
            let verdict = std::iter::from_fn(|| self.admission.next_verdict(self.now))
                .find(|verdict| !matches!(verdict, Verdict::SetTimer { .. }));
            assert_eq!(verdict, self.model.next_verdict(self.now), "seed {seed} step {step}");
            match verdict {
                Some(Verdict::Admit(ticket)) => self.in_flight.push(ticket),
                Some(_) => {}
                None => break,
            }
            self.decided += 1;
        }
        // Each request waits, has got its one verdict, or lost its client.
        let accounted = self.decided + self.admission.waiting() as u64;
        assert_eq!(self.enqueued, accounted, "seed {seed} step {step}");
        assert!(self.admission.waiting() <= CONFIG.max_waiting);
    }
}

#[test]
fn verdicts_are_those_of_the_reference_model() {
    fn gives_same_verdicts(seed: u64, tenants: u8, steps: u16) -> bool {
        let mut comparison = Comparison::new(seed);
        let tenants = 1 + u32::from(tenants % 7);
        for step in 0..u32::from(steps % 600) + tenants {
            comparison.play_step(step, tenants);
            comparison.compare_verdicts(seed, step);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 7))
        .tests(300)
        .quickcheck(gives_same_verdicts as fn(u64, u8, u16) -> bool);
}
