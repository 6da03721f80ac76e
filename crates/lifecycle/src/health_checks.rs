//! Health checks that have not been answered.

use std::collections::BTreeMap;

use tideroute::types::WorkerId;

/// The pending health checks by nonce.
#[derive(Default)]
pub(crate) struct HealthChecks {
    pending: BTreeMap<u64, WorkerId>,
    last_nonce: u64,
}

impl HealthChecks {
    /// Begins a health check of a worker under a new nonce.
    pub fn begin(&mut self, worker: WorkerId) -> u64 {
        self.last_nonce += 1;
        self.pending.insert(self.last_nonce, worker);
        self.last_nonce
    }

    /// Returns the worker of a pending health check.
    pub fn worker(&self, nonce: u64) -> Option<WorkerId> {
        self.pending.get(&nonce).copied()
    }

    /// Ends a health check and returns its worker; `None` if the check ended before.
    pub fn finish(&mut self, nonce: u64) -> Option<WorkerId> {
        self.pending.remove(&nonce)
    }
}
