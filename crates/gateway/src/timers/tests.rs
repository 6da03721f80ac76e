//! Timer keys are decoded to the timers that they were encoded from.

use super::*;

#[test]
fn a_key_is_decoded_to_the_timer_that_it_was_encoded_from() {
    let timers = [
        TimerKey::SchedulerWake,
        TimerKey::RequestDeadline(ShortRequestId(7)),
        TimerKey::HealthCheck(8),
        TimerKey::Admission,
        TimerKey::Client(ConnectionId(9)),
        TimerKey::Worker(ConnectionId::outbound(10)),
        TimerKey::ReservedState(ShortRequestId(11)),
        TimerKey::DiscoveryWatch,
        TimerKey::ShutdownGrace,
        TimerKey::Statistics,
        TimerKey::ClientTurns,
    ];
    for (kind, timer) in timers.into_iter().enumerate() {
        let key = timer.encode();
        assert_eq!(key >> PAYLOAD_BITS, kind as u64, "{timer:?}");
        assert_eq!(TimerKey::decode(key), Some(timer));
    }
    assert_eq!(TimerKey::decode(11 << PAYLOAD_BITS), None);
}
