//! Updates of the endpoint list.

use tideroute::types::{Endpoint, EndpointStatus, WorkerId};
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::endpoint_incarnations::Incarnation;
use crate::units::{to_micros, to_tenth_millis};
use crate::worker_address::WorkerAddress;

impl<Context> RequestLifecycle<Context> {
    /// The version of the endpoint list in force.
    pub fn endpoint_list_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// Makes the next watch ask discovery for a full snapshot.
    pub fn reset_endpoint_list_version(&mut self) {
        self.endpoints.set_version(0);
    }

    /// The endpoints in force, by worker id.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// The Unix time of a worker's start, in microseconds, as discovery reported it; 0 where it is not known.
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.endpoints.reported_start_time(worker)
    }

    /// An update of the endpoint list begins; its entries follow. A full snapshot replaces the list in force.
    pub fn begin_endpoint_update(&mut self, now: Micros, version: u64, full_snapshot: bool) {
        if full_snapshot {
            self.endpoints.begin_snapshot();
            self.scheduler.begin_endpoint_snapshot(to_tenth_millis(now));
        }
        self.endpoints.set_version(version);
        self.scheduling_needed = true;
    }

    /// The update removes a worker, which it may name by its id alone.
    pub fn endpoint_removed(&mut self, now: Micros, worker: WorkerId) {
        if let Some(known) = self.endpoints.get(worker) {
            let removed = Endpoint { status: EndpointStatus::Removed, ..known.endpoint };
            self.apply_endpoint(now, removed);
        }
    }

    /// The update lists a worker, with its start in Unix time. Returns what that says of the worker's process.
    pub fn endpoint_updated(&mut self, now: Micros, endpoint: Endpoint) -> Incarnation {
        let reported_at = to_micros(endpoint.start_time);
        let incarnation = self.endpoints.observe_start(now, endpoint.worker, reported_at);
        let start_time = to_tenth_millis(incarnation.started_at);
        self.apply_endpoint(now, Endpoint { start_time, ..endpoint });
        incarnation
    }

    /// Stores an endpoint whose start time is on this router's clock, and passes it to the scheduler.
    fn apply_endpoint(&mut self, now: Micros, endpoint: Endpoint) {
        let role = self.config.scheduler.role_by_kind.get(usize::from(endpoint.kind));
        let Some(&role) = role else {
            tracing::warn!(
                worker = %WorkerAddress(endpoint.worker),
                kind = endpoint.kind,
                "endpoint ignored: its worker kind is not configured"
            );
            return;
        };
        let Endpoint { worker, kind, size, status, cell, zone, start_time } = endpoint;
        let worker = WorkerAddress(worker);
        tracing::debug!(%worker, ?status, kind, size, cell, zone, start_time, "endpoint updated");
        self.endpoints.insert(endpoint, role);
        self.scheduler.endpoint_updated(to_tenth_millis(now), endpoint);
    }

    /// The update is complete.
    pub fn finish_endpoint_update(&mut self, now: Micros) {
        self.endpoints.finish_update(now);
    }

    /// Everything that discovery had sent by now has been applied.
    pub fn discovery_synced(&mut self, now: Micros) {
        self.endpoints.discovery_synced(now);
    }

    /// Discovery can't be reached; the list stays in force.
    pub fn discovery_failed(&mut self, now: Micros) {
        self.scheduler.discovery_failed(to_tenth_millis(now));
        self.scheduling_needed = true;
    }
}
