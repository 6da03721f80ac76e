//! Small cases of single scheduling decisions, grouped by rule. They cover failures that were seen in benchmarks
//! or can occur in a request's life. The model in `tests/common` checks the general rules at each step.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod endpoint_watch;
mod load_reports;
mod outlier_detection;
mod prefill_placement;
mod reservations;
mod retry;
mod slow_start;

use common::{World, MS};
use tideroute::types::*;

const REMAINING_TIME: TenthMillis = 6000 * MS;

fn worker_of(world: &World, id: RequestId) -> WorkerId {
    world.requests[&id].attempt.as_ref().expect("an attempt is in flight").worker
}

fn cell_of(world: &World, worker: WorkerId) -> u16 {
    world.endpoints[&worker].cell
}

fn sent_to(action: &Action) -> Option<WorkerId> {
    if let Action::Dispatch { worker, .. } = action {
        Some(*worker)
    } else {
        None
    }
}

/// Completes `count` requests, one per second.
fn complete(world: &mut World, count: u32) {
    for _ in 0..count {
        let id = prefill(world, true);
        world.start_response(id);
        world.finish_attempt(id, AttemptOutcome::Completed);
        world.advance(950 * MS);
    }
}

/// Prefills a request and answers its reservation; its next attempt is then at a decode worker.
fn prefill(world: &mut World, granted: bool) -> RequestId {
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.answer_reservation(id, granted);
    world.advance(50 * MS);
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    id
}
