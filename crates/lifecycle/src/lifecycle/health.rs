//! Health checks and the load that they report.

use metrics::counter;
use tideroute::types::WorkerId;
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::transport::{Timer, Transport};
use crate::units::to_tenth_millis;

impl<Context> RequestLifecycle<Context> {
    /// Sends a health check to a worker, with a timeout.
    pub(super) fn start_health_check(
        &mut self,
        now: Micros,
        worker: WorkerId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let nonce = self.health_checks.begin(worker);
        counter!("tideroute_health_checks_total").increment(1);
        transport.check_health(nonce, worker);
        transport.set_timer(now + self.config.connect_timeout, Timer::HealthCheck(nonce));
    }

    /// Handles the load in the response to a health check: the worker's running and waiting work, in the unit that the
    /// scheduler is configured for.
    pub fn load_reported(&mut self, now: Micros, nonce: u64, load: f64) {
        if let Some(worker) = self.health_checks.worker(nonce) {
            self.scheduler.load_reported(to_tenth_millis(now), worker, load);
        }
    }

    /// Handles a health check that was answered, failed or timed out. Later calls for the same nonce do nothing.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        nonce: u64,
        healthy: bool,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(worker) = self.health_checks.finish(nonce) else { return };
        transport.health_check_finished(worker);
        self.scheduler.health_check_finished(to_tenth_millis(now), worker, healthy);
        self.scheduling_needed = true;
    }
}
