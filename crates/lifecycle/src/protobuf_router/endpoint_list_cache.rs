//! The cached endpoint list, from which a router starts while discovery can't be reached: a full snapshot, as discovery
//! sends it, that the event loop persists.

use bytes::Bytes;
use tideroute::types::EndpointStatus;
use tideroute_wire::{endpoint_list, Micros};

use super::discovery_events::DiscoveryEvents;
use super::request_context::RequestContext;
use super::state::RouterState;
use crate::lifecycle::RequestLifecycle;

/// Applies a cached list. A router whose cache can't be read starts without endpoints.
pub(super) fn load(state: &mut RouterState, now: Micros, cached: &Bytes) {
    if let Err(error) = endpoint_list::receive_from_list(cached, &mut DiscoveryEvents { state, now }) {
        tracing::warn!(%error, "cached endpoint list rejected; starting without endpoints");
    }
    // Discovery may have restarted too and begun to count versions from the start, so the first watch asks for a full
    // snapshot.
    state.lifecycle.reset_endpoint_list_version();
    state.endpoint_list_changed = false;
}

/// Encodes the endpoint list in force.
pub(super) fn encode(lifecycle: &RequestLifecycle<RequestContext>) -> Bytes {
    let mut snapshot = endpoint_list::Page::new(lifecycle.endpoint_list_version(), true);
    for endpoint in lifecycle.endpoints() {
        let status = match endpoint.status {
            EndpointStatus::Removed => continue,
            EndpointStatus::Serving => endpoint_list::EndpointStatus::Serving,
            EndpointStatus::Draining => endpoint_list::EndpointStatus::Draining,
        };
        snapshot.add(
            endpoint.worker,
            endpoint.kind,
            endpoint.size,
            status,
            endpoint.cell,
            endpoint.zone,
            lifecycle.reported_start_time(endpoint.worker),
        );
    }
    snapshot.frame()
}
