//! Updates of the endpoint list.

use tideroute::types::{Endpoint, EndpointStatus, WorkerId};
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::endpoint_incarnations::Incarnation;
use crate::units::{to_micros, to_tenth_millis};
use crate::worker_address::WorkerAddress;

impl<Context> RequestLifecycle<Context> {
    /// Returns the version of the endpoint list in force.
    pub fn endpoint_list_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// Makes the next watch ask discovery for a full snapshot.
    pub fn reset_endpoint_list_version(&mut self) {
        self.endpoints.set_version(0);
    }

    /// Returns the endpoints in force, by worker id.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns the Unix time of a worker's start, in microseconds, as discovery reported it; 0 where it is not known.
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.endpoints.reported_start_time(worker)
    }

    /// Begins an update of the endpoint list; its entries follow. A full snapshot replaces the list in force.
    pub fn begin_endpoint_update(&mut self, now: Micros, version: u64, full_snapshot: bool) {
        if full_snapshot {
            self.endpoints.begin_snapshot();
            self.scheduler.begin_endpoint_snapshot(to_tenth_millis(now));
        }
        self.endpoints.set_version(version);
        self.scheduling_needed = true;
    }

    /// Handles an entry that removes a worker. Such an entry may hold the worker's id alone.
    pub fn endpoint_removed(&mut self, now: Micros, worker: WorkerId) {
        if let Some(known) = self.endpoints.get(worker) {
            let removed = Endpoint { status: EndpointStatus::Removed, ..known.endpoint };
            self.apply_endpoint(now, removed);
        }
    }

    /// Handles an entry that lists a worker with its start in Unix time. Returns what the entry says of the worker's
    /// process.
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
                "endpoint with an unconfigured worker kind listed; ignoring it"
            );
            return;
        };
        let Endpoint { worker, kind, size, status, cell, zone, start_time } = endpoint;
        let worker = WorkerAddress(worker);
        tracing::debug!(%worker, ?status, kind, size, cell, zone, start_time, "endpoint updated");
        self.endpoints.insert(endpoint, role);
        self.scheduler.endpoint_updated(to_tenth_millis(now), endpoint);
    }

    /// Completes the update of the endpoint list.
    pub fn finish_endpoint_update(&mut self, now: Micros) {
        self.endpoints.finish_update(now);
    }

    /// Records that everything that discovery has sent so far has been applied.
    pub fn discovery_synced(&mut self, now: Micros) {
        self.endpoints.discovery_synced(now);
    }

    /// Records that discovery can't be reached. The list stays in force.
    pub fn discovery_failed(&mut self, now: Micros) {
        self.scheduler.discovery_failed(to_tenth_millis(now));
        self.scheduling_needed = true;
    }
}
