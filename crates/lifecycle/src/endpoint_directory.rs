//! The endpoint list as discovery last reported it.

use std::collections::BTreeMap;

use tideroute::types::{Endpoint, EndpointStatus, Role, WorkerId};
use tideroute_wire::Micros;

use crate::endpoint_incarnations::{EndpointIncarnations, Incarnation};

/// An endpoint with the role that its worker kind has by the configuration.
#[derive(Clone, Copy)]
pub(crate) struct ListedEndpoint {
    pub endpoint: Endpoint,
    pub role: Role,
}

impl ListedEndpoint {
    fn is_removed(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed
    }
}

/// The endpoints in force, the version of the list, and the start times of the workers.
#[derive(Default)]
pub(crate) struct EndpointDirectory {
    endpoints: BTreeMap<WorkerId, ListedEndpoint>,
    version: u64,
    incarnations: EndpointIncarnations,
}

impl EndpointDirectory {
    /// Returns the version of the list in force; 0 asks discovery for a full snapshot.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    pub fn get(&self, worker: WorkerId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&worker)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|listed| &listed.endpoint)
    }

    /// Begins a full snapshot, which removes the endpoints that it does not name.
    pub fn begin_snapshot(&mut self) {
        for listed in self.endpoints.values_mut() {
            listed.endpoint.status = EndpointStatus::Removed;
        }
    }

    pub fn insert(&mut self, endpoint: Endpoint, role: Role) {
        self.endpoints.insert(endpoint.worker, ListedEndpoint { endpoint, role });
    }

    /// Forgets removed endpoints, and the start times of workers that were removed long ago.
    pub fn finish_update(&mut self, now: Micros) {
        for (worker, listed) in &self.endpoints {
            if listed.is_removed() {
                self.incarnations.removed(now, *worker);
            }
        }
        self.endpoints.retain(|_, listed| !listed.is_removed());
        self.incarnations.forget_removed(now);
    }

    /// See [`EndpointIncarnations::discovery_synced`].
    pub fn discovery_synced(&mut self, now: Micros) {
        self.incarnations.discovery_synced(now);
    }

    /// See [`EndpointIncarnations::observe`].
    pub fn observe_start(&mut self, now: Micros, worker: WorkerId, reported_at: Micros) -> Incarnation {
        self.incarnations.observe(now, worker, reported_at)
    }

    /// See [`EndpointIncarnations::reported_start_time`].
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.incarnations.reported_start_time(worker)
    }
}
