//! Compares the timer wheel with a `BTreeMap` over random steps of setting timers and advancing.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use tideroute_reactor::timer_wheel::TimerWheel;

quickcheck! {
    fn timers_fire_in_the_order_of_a_sorted_map(steps: Vec<(u8, u32)>) -> bool {
        let (mut wheel, mut map) = (TimerWheel::new(1_000_003), BTreeMap::new());
        let (mut now, mut order) = (1_000_003u64, 0u64);
        for (step, ticks) in steps {
            if step % 3 < 2 {
                let at = now + (u64::from(ticks) >> (step % 32));
                order += 1;
                wheel.set(at, order);
                map.insert((at, order), ());
            } else {
                now += u64::from(ticks) >> (step % 32);
                if wheel.next().is_some_and(|next| map.keys().next().is_none_or(|first| next > first.0)) {
                    return false;
                }
                let mut due = vec![];
                wheel.advance(now, &mut due);
                let later = map.split_off(&(now + 1, 0));
                let expected: Vec<_> = map.into_keys().map(|(_, key)| key).collect();
                map = later;
                if due != expected || wheel.len() != map.len() {
                    return false;
                }
            }
        }
        true
    }
}
