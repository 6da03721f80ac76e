//! Applies the endpoint list updates of the discovery watch to the lifecycle and to connections.

use bytes::Bytes;
use tideroute::types::EndpointStatus;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::endpoint_list::{EndpointEntry, EndpointListError, EndpointUpdate};
use crate::state::GatewayState;

/// Microseconds for which full snapshots older than the list in force are ignored.
const STALE_LIST_TIMEOUT: Micros = 10_000_000;

impl GatewayState {
    /// Opens the discovery watch, unless it is open.
    pub fn open_watch(&mut self, now: Micros, effects: &mut Effects) {
        let version = self.lifecycle.endpoint_list_version();
        self.watch.open(now, version, effects);
    }

    /// Handles the timer of the discovery watch.
    pub fn watch_timer_fired(&mut self, now: Micros, effects: &mut Effects) {
        let version = self.lifecycle.endpoint_list_version();
        self.watch.timer_fired(now, version, effects);
    }

    /// Moves the discovery watch to the address of a new configuration.
    pub fn reload_watch(&mut self, now: Micros, effects: &mut Effects) {
        let version = self.lifecycle.endpoint_list_version();
        self.watch.reload(now, self.config.discovery, version, effects);
    }

    /// Loads the endpoint list in the configuration, which is the last one that the router had.
    pub fn load_known_endpoints(&mut self, now: Micros, effects: &mut Effects) {
        let known = std::mem::take(&mut self.config.known_endpoints);
        if known.is_null() {
            return;
        }
        // The list was validated with the configuration.
        if let Ok(update) = EndpointUpdate::from_json(&known, &self.config.names) {
            self.apply_update(now, update, effects);
        }
        self.lifecycle.finish_endpoint_update(now);
    }

    /// Handles bytes of a call of the discovery watch.
    pub fn watch_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let lines = match self.watch.on_data(connection, bytes, effects) {
            Ok(lines) => lines,
            Err(problem) => {
                tracing::warn!(%problem, "malformed discovery response received; reopening the watch");
                return self.watch.call_failed(now, connection, effects);
            }
        };
        for object in &lines.objects {
            if let Err(problem) = self.update_endpoints(now, object, effects) {
                tracing::warn!(%problem, "endpoint list update rejected; reopening the watch");
                return self.watch.call_failed(now, connection, effects);
            }
        }
        if lines.is_line_complete
            && self.watch.line_applied(now, connection, !lines.objects.is_empty(), effects)
        {
            self.lifecycle.discovery_synced(now);
        }
    }

    fn update_endpoints(
        &mut self,
        now: Micros,
        object: &[u8],
        effects: &mut Effects,
    ) -> Result<(), EndpointListError> {
        let update = EndpointUpdate::parse(object, &self.config.names)?;
        self.apply_update(now, update, effects);
        self.lifecycle.finish_endpoint_update(now);
        for connection in self.workers.connecting_to_unlisted_workers() {
            self.drop_worker_connection(now, connection, effects);
        }
        self.is_discovery_synced = true;
        Ok(())
    }

    fn apply_update(&mut self, now: Micros, update: EndpointUpdate, effects: &mut Effects) {
        if self.is_stale(now, update.version, update.is_full) {
            tracing::debug!(
                version = update.version,
                full = update.is_full,
                "stale endpoint list received; ignoring it"
            );
            return;
        }
        self.stale_since = None;
        if update.is_full {
            self.workers.unlist_all();
        }
        self.lifecycle.begin_endpoint_update(now, update.version, update.is_full);
        for entry in update.entries {
            self.apply_entry(now, entry, effects);
        }
    }

    /// Returns whether an update is older than the list in force. After an interruption discovery may offer older
    /// versions than before; newer changes follow once it has caught up. Only if full snapshots stay older for
    /// [`STALE_LIST_TIMEOUT`] has discovery restarted its version numbers.
    fn is_stale(&mut self, now: Micros, version: u64, is_full: bool) -> bool {
        if !self.is_discovery_synced || version >= self.lifecycle.endpoint_list_version() {
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        !is_full || now < since + STALE_LIST_TIMEOUT
    }

    fn apply_entry(&mut self, now: Micros, entry: EndpointEntry, effects: &mut Effects) {
        let EndpointEntry { endpoint, address } = entry;
        if endpoint.status == EndpointStatus::Removed {
            self.workers.worker_removed(endpoint.worker, effects);
            return self.lifecycle.endpoint_removed(now, endpoint.worker);
        }
        let incarnation = self.lifecycle.endpoint_updated(now, endpoint);
        let is_serving = endpoint.status == EndpointStatus::Serving;
        let unusable =
            self.workers.worker_listed(endpoint.worker, address, incarnation.replaced_before, is_serving);
        for connection in unusable {
            self.drop_worker_connection(now, connection, effects);
        }
    }
}
