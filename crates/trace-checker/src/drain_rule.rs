//! Rule 3: what each router was notified of, and what it sent to workers that drain or were removed.

use std::collections::BTreeMap;

use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::{Address, Micros};

use crate::address::display_address;
use crate::event_context::EventContext;
use crate::report::Rule;

/// The last notification about an endpoint that a router's process received.
#[derive(Clone, Copy)]
struct Notified {
    status: EndpointStatus,
    /// When the process was notified of the status. Of several notifications in a row that the worker is out of
    /// service, the first one counts.
    since: Micros,
    started: Micros,
}

/// What a router knows about a worker, from whichever of its cores was notified first.
#[derive(Default)]
struct FirstNotified {
    version: u64,
    /// When the router was notified that the worker drains or was removed; `None` if the worker serves.
    out_of_service_at: Option<Micros>,
}

/// The state of rule 3, with the endpoint lists of all routers.
pub struct DrainRule {
    grace: Micros,
    /// The address at which each router process listens. Processes with the same address are cores of one router.
    router_addresses: BTreeMap<u32, Address>,
    /// What each router knows about each worker, by router address and worker.
    first_notified: BTreeMap<(Address, Address), FirstNotified>,
    /// The version of the endpoint list update that is being read.
    version: u64,
    /// The last notification about each worker, by process and worker.
    notified: BTreeMap<(u32, Address), Notified>,
}

impl DrainRule {
    pub fn new(grace: Micros, router_addresses: BTreeMap<u32, Address>) -> DrainRule {
        DrainRule {
            grace,
            router_addresses,
            first_notified: BTreeMap::new(),
            version: 0,
            notified: BTreeMap::new(),
        }
    }

    /// Handles the head of an endpoint list update that a router's process received. Endpoints that a full snapshot
    /// does not name were removed.
    pub fn update_begun(&mut self, context: &EventContext, version: u64, is_snapshot: bool) {
        self.version = version;
        if !is_snapshot {
            return;
        }
        let captured = context.captured;
        for ((process, _), notified) in &mut self.notified {
            if *process == captured.process && notified.status == EndpointStatus::Serving {
                notified.status = EndpointStatus::Removed;
                notified.since = captured.at;
            }
        }
    }

    /// Handles an endpoint of an update that a router's process received.
    pub fn endpoint_notified(
        &mut self,
        context: &EventContext,
        worker: Address,
        status: EndpointStatus,
        started: Micros,
    ) {
        let captured = context.captured;
        let is_serving = status == EndpointStatus::Serving;
        let before = self.notified.get(&(captured.process, worker));
        // A removal may follow a drain notification; the first of them counts.
        let since = match before {
            Some(before) if before.status != EndpointStatus::Serving && !is_serving => before.since,
            _ => captured.at,
        };
        self.notified.insert((captured.process, worker), Notified { status, since, started });
        // A router knows of an update once its first core was notified. An older version that a slower core receives
        // later changes nothing.
        let Some(&router) = self.router_addresses.get(&captured.process) else { return };
        let first = self.first_notified.entry((router, worker)).or_default();
        // One update may contain both the removal of a worker and its next start.
        if self.version >= first.version {
            first.version = self.version;
            first.out_of_service_at = match is_serving {
                true => None,
                false => first.out_of_service_at.or(Some(captured.at)),
            };
        }
    }

    /// Returns whether the last notification about the worker that a router's process received was of this start.
    pub fn knows_start(&self, process: u32, worker: Address, started: Micros) -> bool {
        self.notified.get(&(process, worker)).is_some_and(|notified| notified.started == started)
    }

    /// Checks rule 3 for an attempt or a reservation request that a router sends to a worker.
    pub fn check_send(&self, context: &mut EventContext, request_id: u64, worker: Address) {
        let (process, now) = (context.captured.process, context.captured.at);
        let Some(since) = self.out_of_service_since(process, worker) else { return };
        let paused = context.pauses.paused_within(process, since, now);
        let delay = now.saturating_sub(since + paused);
        let latest = &mut context.report.counts.latest_send_after_drain;
        *latest = delay.max(*latest);
        if delay > self.grace {
            let description = format!(
                "sent to {} {} ms after the router was notified that the worker drains or was removed",
                display_address(worker),
                delay / 1000
            );
            context.violation(Rule::Drain, Some(request_id), description);
        }
    }

    /// Returns when the process or the first core of its router was notified that the worker is out of service.
    fn out_of_service_since(&self, process: u32, worker: Address) -> Option<Micros> {
        let notified = self.notified.get(&(process, worker));
        let by_process = notified
            .filter(|notified| notified.status != EndpointStatus::Serving)
            .map(|notified| notified.since);
        let router = self.router_addresses.get(&process);
        let first = router.and_then(|&router| self.first_notified.get(&(router, worker)));
        let by_router = first.and_then(|first| first.out_of_service_at);
        by_process.into_iter().chain(by_router).min()
    }
}
