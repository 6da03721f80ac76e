use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;

use super::RouterTimer;
use crate::transport::Timer;

const ID: RequestId = 5 << 40 | 77;

#[test]
fn every_timer_has_its_key_and_is_restored_from_it() {
    let cases = [
        (RouterTimer::Lifecycle(Timer::SchedulerWake), 0),
        (RouterTimer::Lifecycle(Timer::Deadline(ID)), 1 << 56 | 77),
        (RouterTimer::Lifecycle(Timer::HealthCheck(9)), 2 << 56 | 9),
        (RouterTimer::Hello(ConnectionId(3)), 3 << 56 | 3),
        (RouterTimer::Lifecycle(Timer::Admission), 4 << 56),
        (RouterTimer::TenantStats, 5 << 56),
    ];
    for (timer, key) in cases {
        assert_eq!(timer.encode(), key, "{timer:?}");
        assert_eq!(RouterTimer::decode(key, |counter| 5 << 40 | counter), timer);
    }
}
