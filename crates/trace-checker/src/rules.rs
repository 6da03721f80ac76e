//! Combines all rules, and checks the part of rule 1 that needs the client's and the router's side: whether each client
//! got its response in time.

use std::collections::BTreeMap;

use tideroute_wire::{Address, Micros};

use crate::client_requests::{ClientRequest, ClientRequests, RequestKey};
use crate::config::CheckerConfig;
use crate::connections::{Connections, EndKey};
use crate::drain_rule::DrainRule;
use crate::event_context::EventContext;
use crate::process_pauses::ProcessPauses;
use crate::report::{Report, Rule};
use crate::router_request::NewAttempt;
use crate::router_requests::RouterRequests;
use crate::slow_start_rule::SlowStartRule;

/// Time in microseconds for which a request that ended is kept: longer than any client waits or any process is paused.
const RETENTION: Micros = 120_000_000;

/// The state of all rules.
pub struct Rules {
    pub clients: ClientRequests,
    pub routers: RouterRequests,
    pub drain: DrainRule,
    pub slow_start: SlowStartRule,
}

impl Rules {
    /// `router_addresses` holds the address at which each router process listens. Processes with the same address are
    /// cores of one router.
    pub fn new(config: &CheckerConfig, router_addresses: BTreeMap<u32, Address>) -> Rules {
        Rules {
            clients: ClientRequests::default(),
            routers: RouterRequests::new(config),
            drain: DrainRule::new(config.drain_grace, router_addresses),
            slow_start: SlowStartRule::new(config),
        }
    }

    /// Checks an attempt that a router sends to a worker.
    pub fn attempt_sent(&mut self, context: &mut EventContext, id: u64, attempt: NewAttempt) {
        if !self.routers.attempt_sent(context, id, &attempt) {
            return;
        }
        let worker = attempt.worker;
        self.drain.check_send(context, id, worker);
        let started = self.slow_start.started(worker);
        let process = context.captured.process;
        let knew_start = started.is_some_and(|started| self.drain.knows_start(process, worker, started));
        self.slow_start.check_attempt(context, id, worker, attempt.tokens, knew_start);
    }

    /// Checks a reservation request that a router sends to a worker.
    pub fn reservation_requested(&mut self, context: &mut EventContext, id: u64, worker: Address) {
        self.routers.reservation_requested(context, id, worker);
        self.drain.check_send(context, id, worker);
    }

    /// Checks the clients' requests that ended long ago, and forgets them.
    pub fn check_ended(
        &mut self,
        now: Micros,
        connections: &Connections,
        pauses: &ProcessPauses,
        report: &mut Report,
    ) {
        for (key, request) in self.clients.take_ended(now, RETENTION) {
            self.check_response(key, &request, connections, pauses, report);
        }
        // The router's side of a request is needed to check the client's side, so it is kept for twice the time.
        self.routers.forget_ended(now, 2 * RETENTION);
    }

    /// Checks all requests that are left at the end of the capture.
    pub fn finish(
        &mut self,
        now: Micros,
        connections: &Connections,
        pauses: &ProcessPauses,
        report: &mut Report,
    ) {
        self.routers.finish(now, pauses, report);
        for (key, request) in self.clients.take_all() {
            self.check_response(key, &request, connections, pauses, report);
        }
    }

    /// Checks rule 1: whether a client got a response in time.
    fn check_response(
        &self,
        key: RequestKey,
        request: &ClientRequest,
        connections: &Connections,
        pauses: &ProcessPauses,
        report: &mut Report,
    ) {
        let RequestKey { process, connection, number } = key;
        let client_end = EndKey { process, connection };
        let router_end = connections.router_end(client_end);
        let router_key =
            router_end.map(|end| RequestKey { process: end.process, connection: end.connection, number });
        let id = router_key.and_then(|key| self.routers.id(key));
        if request.is_cancelled {
            report.counts.cancelled += 1;
        } else if request.responses == 0 {
            let is_over = connections.is_over(client_end);
            if is_over || router_end.is_none_or(|end| connections.is_over(end)) {
                report.counts.disconnected += 1;
            } else {
                let description =
                    format!("client connection {connection:x}, request number {number}: no response");
                report.add_violation(Rule::Lost, request.sent_at, id, description);
            }
        } else if request.first_token_at.is_none_or(|at| at > request.deadline) {
            let Some(router_key) = router_key else { return };
            if self.is_late(request, router_key, pauses) {
                let description = format!(
                    "client connection {connection:x}, request number {number}: response after the deadline"
                );
                report.add_violation(Rule::Lost, request.deadline, id, description);
            }
        }
    }

    /// Returns whether the router sent the first token, or else the response, after the deadline. The time of sending
    /// counts, because a client may be late to read; both run on one machine and use the same clock. Time in which the
    /// router was paused is excused.
    fn is_late(&self, request: &ClientRequest, router_key: RequestKey, pauses: &ProcessPauses) -> bool {
        let first_token_at = self.routers.first_token_at(router_key);
        let Some(sent_at) = first_token_at.or(self.routers.response_at(router_key)) else { return false };
        let paused = pauses.paused_within(router_key.process, request.sent_at, sent_at);
        sent_at > request.deadline + paused
    }
}
