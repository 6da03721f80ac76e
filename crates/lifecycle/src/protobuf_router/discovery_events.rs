//! Events of the connection to discovery.

use tideroute::types::{Endpoint, EndpointStatus};
use tideroute_wire::event_loop::DisconnectReason;
use tideroute_wire::{endpoint_list, Address, Malformed, Micros};

use super::state::RouterState;
use crate::units::to_tenth_millis;

/// Handles one event of the connection to discovery.
pub(super) struct DiscoveryEvents<'a> {
    pub state: &'a mut RouterState,
    pub now: Micros,
}

impl DiscoveryEvents<'_> {
    /// Handles a connection that has ended or was never established.
    pub fn disconnected(&mut self, reason: DisconnectReason) {
        tracing::warn!(?reason, "discovery connection lost; keeping the endpoint list");
        self.state.discovery = None;
        self.state.lifecycle.discovery_failed(self.now);
    }
}

impl endpoint_list::Router for DiscoveryEvents<'_> {
    fn begin_update(&mut self, version: u64, full_snapshot: bool) -> Result<(), Malformed> {
        if !full_snapshot && version <= self.state.lifecycle.endpoint_list_version() {
            return Err(Malformed::Order("an update of the endpoint list"));
        }
        self.state.lifecycle.begin_endpoint_update(self.now, version, full_snapshot);
        self.state.endpoint_list_changed = true;
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: endpoint_list::EndpointStatus,
        cell: u16,
        zone: u8,
        start_time: Micros,
    ) -> Result<(), Malformed> {
        let status = match status {
            endpoint_list::EndpointStatus::Removed => EndpointStatus::Removed,
            endpoint_list::EndpointStatus::Serving => EndpointStatus::Serving,
            endpoint_list::EndpointStatus::Draining => EndpointStatus::Draining,
        };
        let start_time = to_tenth_millis(start_time);
        let endpoint = Endpoint { worker, kind, size, status, cell, zone, start_time };
        self.state.lifecycle.endpoint_updated(self.now, endpoint);
        Ok(())
    }
}
