//! Malformed messages are refused, without a panic and without an excess of outputs.

use crate::support::{membership, random_below, TestClaim, NOW, OWN_ADDRESS, STATUSES};
use bytes::Bytes;
use tideroute::rng::Rng;
use tideroute_membership::{Membership, Output};
use tideroute_wire::gossip::{GossipMessage, PARTS};

/// Returns a random message; `number` selects its kind.
fn random_message(rng: &mut Rng, number: u32) -> Bytes {
    let sender = format!("r{}", random_below(rng, 40));
    let status = STATUSES[random_below(rng, 4)];
    let mut message = GossipMessage::new(Some((&sender, OWN_ADDRESS, 5, status)), 0);
    for _ in 0..random_below(rng, 4) {
        let claim = TestClaim::random(rng, 40);
        message.claim(&claim.name, OWN_ADDRESS, claim.incarnation, claim.status, 3);
    }
    let digests = [rng.unit().to_bits(); PARTS];
    match number % 6 {
        0 => message.ping(number),
        1 => message.ack(number),
        2 => message.ping_request(number, "r3", OWN_ADDRESS),
        3 => message.digest(number, digests),
        4 => message.page(number, 0, 1, Some(digests), 0),
        _ => message.nack(number),
    }
}

/// Truncates, changes or extends a message at random, or leaves it as it is.
fn corrupt(rng: &mut Rng, bytes: &mut Vec<u8>) {
    for _ in 0..random_below(rng, 4) {
        let index = random_below(rng, bytes.len().max(1));
        match random_below(rng, 3) {
            0 => bytes.truncate(index),
            1 if index < bytes.len() => bytes[index] = random_below(rng, 256) as u8,
            _ => bytes.insert(index.min(bytes.len()), random_below(rng, 256) as u8),
        }
    }
}

/// Takes all outputs, checks the size of each message, and returns the number of outputs.
fn take_outputs(membership: &mut Membership, now: u64) -> usize {
    let mut count = 0;
    while let Some(output) = membership.next_output(now) {
        count += 1;
        if let Output::Send { message, .. } = output {
            assert!(message.len() <= tideroute_wire::gossip::LARGEST);
        }
    }
    count
}

#[test]
fn corrupted_messages_cause_no_panic_and_few_outputs() {
    let mut rng = Rng::new(9);
    let mut membership = membership(1);
    let mut handled = 0;
    let mut refused = 0;
    let mut max_outputs = 0;
    for number in 0..30_000 {
        let mut bytes = random_message(&mut rng, number).to_vec();
        corrupt(&mut rng, &mut bytes);
        let now = NOW + u64::from(number) * 1_000;
        match membership.handle_datagram(now, OWN_ADDRESS, &bytes.into()) {
            Ok(()) => handled += 1,
            Err(_) => refused += 1,
        }
        max_outputs = max_outputs.max(take_outputs(&mut membership, now));
    }
    assert!(handled > 5_000 && refused > 2_000, "{handled} handled, {refused} refused");
    assert!(max_outputs < 60, "{max_outputs} outputs after one datagram");
}
