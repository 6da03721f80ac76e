//! The timers of the protobuf router and their encoding as keys of the event loop.

use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;

use crate::request_table::id_counter;
use crate::transport::Timer;

#[cfg(test)]
mod tests;

/// The kind of a timer is in the top byte of its key, its payload below.
const KIND_SHIFT: u32 = 56;
const PAYLOAD_MASK: u64 = (1 << KIND_SHIFT) - 1;

const SCHEDULER_WAKE: u64 = 0;
const DEADLINE: u64 = 1;
const HEALTH_CHECK: u64 = 2;
const HELLO: u64 = 3;
const ADMISSION: u64 = 4;
const TENANT_STATS: u64 = 5;

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum RouterTimer {
    Lifecycle(Timer),
    /// The Hello of a connection must have arrived by now.
    Hello(ConnectionId),
    /// Tenants' statistics are due to be published.
    TenantStats,
}

impl RouterTimer {
    /// Returns the timer's key.
    pub fn encode(self) -> u64 {
        let (kind, payload) = match self {
            RouterTimer::Lifecycle(Timer::SchedulerWake) => (SCHEDULER_WAKE, 0),
            RouterTimer::Lifecycle(Timer::Deadline(id)) => (DEADLINE, id_counter(id)),
            RouterTimer::Lifecycle(Timer::HealthCheck(nonce)) => (HEALTH_CHECK, nonce),
            RouterTimer::Lifecycle(Timer::Admission) => (ADMISSION, 0),
            RouterTimer::Hello(connection) => (HELLO, connection.0),
            RouterTimer::TenantStats => (TENANT_STATS, 0),
        };
        kind << KIND_SHIFT | payload
    }

    /// Returns the timer of a key that [`encode`](RouterTimer::encode) returned. A key holds only the counter of a
    /// request id; `expand_id` restores the id from it.
    pub fn decode(key: u64, expand_id: impl FnOnce(u64) -> RequestId) -> RouterTimer {
        let payload = key & PAYLOAD_MASK;
        match key >> KIND_SHIFT {
            SCHEDULER_WAKE => RouterTimer::Lifecycle(Timer::SchedulerWake),
            DEADLINE => RouterTimer::Lifecycle(Timer::Deadline(expand_id(payload))),
            HEALTH_CHECK => RouterTimer::Lifecycle(Timer::HealthCheck(payload)),
            ADMISSION => RouterTimer::Lifecycle(Timer::Admission),
            TENANT_STATS => RouterTimer::TenantStats,
            _ => RouterTimer::Hello(ConnectionId(payload)),
        }
    }
}
