//! Tenants in virtual time: the service of the others while one sends a burst of requests, and the removal of a tenant. The
//! real router, with admission and scheduling, runs with emulated workers.

use std::collections::BTreeSet;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, Reader};

fn scenario(name: &str) -> Scenario {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let text = std::fs::read_to_string(path).expect("the scenario file exists");
    tideroute_config_language::read(name, &text)
        .unwrap_or_else(|errors| panic!("{errors}"))
        .day
        .expect("a scenario")
}

fn assert_rules_kept(outcome: &VirtualOutcome) {
    assert!(
        outcome.report.is_clean(),
        "{:#?}",
        &outcome.report.violations[..outcome.report.violations.len().min(5)]
    );
    let statistics = &outcome.statistics;
    assert_eq!((statistics.wrong, statistics.unanswered, statistics.unauthorized), (0, 0, 0));
}

/// Returns the fraction of the priority weight of each tenant that was completed within the latency objective.
fn service_by_tenant(outcome: &VirtualOutcome) -> Vec<f64> {
    outcome.statistics.by_tenant.iter().map(|(_, offered, in_time)| in_time / offered.max(1e-9)).collect()
}

#[test]
fn other_tenants_are_served_during_the_burst_of_one_tenant_as_without_it() {
    let [scenario, mut without_burst, mut without_shares] = [(); 3].map(|()| scenario("neighbour-flood.cue"));
    without_burst.scheduled_faults.retain(|fault| fault.kind != "burst");
    without_shares.routers_know_tenants = false;
    let [without_burst, with_burst, without_shares] = [&without_burst, &scenario, &without_shares]
        .map(|scenario| play(scenario).expect("the scenario is played"));
    [&without_burst, &with_burst, &without_shares].into_iter().for_each(assert_rules_kept);
    let (service_without_burst, service_with_burst, service_without_shares) = (
        service_by_tenant(&without_burst),
        service_by_tenant(&with_burst),
        service_by_tenant(&without_shares),
    );
    println!("without a burst {service_without_burst:.3?}, with one {service_with_burst:.3?}, with one and no shares {service_without_shares:.3?}");
    for tenant in 0..3 {
        assert!(
            service_with_burst[tenant] >= 0.97 * service_without_burst[tenant],
            "tenant {tenant}: {service_with_burst:.3?} instead of {service_without_burst:.3?}"
        );
    }
    let is_hurt = (0..3).any(|tenant| service_without_shares[tenant] < 0.8 * service_without_burst[tenant]);
    assert!(is_hurt, "the burst hurts no tenant even without shares: {service_without_shares:.3?} instead of {service_without_burst:.3?}");
}

#[test]
fn other_tenants_are_served_during_the_burst_of_one_tenant_on_other_seeds() {
    let threads = (32..38).map(|seed| {
        std::thread::spawn(move || {
            let [mut without_burst, with_burst] =
                [(); 2].map(|()| Scenario { seed, ..scenario("neighbour-flood.cue") });
            without_burst.scheduled_faults.retain(|fault| fault.kind != "burst");
            let [service_without_burst, service_with_burst] = [&without_burst, &with_burst].map(|scenario| {
                let outcome = play(scenario).expect("the scenario is played");
                assert_rules_kept(&outcome);
                service_by_tenant(&outcome)
            });
            assert!(
                (0..3).all(|tenant| service_with_burst[tenant] >= 0.97 * service_without_burst[tenant]),
                "seed {seed}: {service_with_burst:.3?} instead of {service_without_burst:.3?}"
            );
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().for_each(|thread| thread.join().expect("the thread of a seed"));
}

#[test]
fn a_removed_tenant_is_rejected_and_its_requests_in_flight_are_completed() {
    let scenario_with_removal = scenario("tenant-removed.cue");
    let outcome = play(&scenario_with_removal).expect("the scenario is played");
    assert_rules_kept(&outcome);
    let mut scenario_without_removal = scenario("tenant-removed.cue");
    scenario_without_removal.scheduled_faults.retain(|fault| fault.kind != "remove");
    let outcome_without_removal = play(&scenario_without_removal).expect("the scenario is played");
    assert_rules_kept(&outcome_without_removal);
    let (service, service_without_removal) =
        (service_by_tenant(&outcome), service_by_tenant(&outcome_without_removal));
    assert!(
        service[0] >= 0.97 * service_without_removal[0],
        "the removal hurt the remaining tenant: {service:?} instead of {service_without_removal:?}"
    );
    assert!(
        service[1] < 0.8 * service_without_removal[1],
        "the tenant was not removed: {service:?} instead of {service_without_removal:?}"
    );
    let counts = &outcome.report.counts;
    assert!(counts.rejected > 100 && counts.completed > 100 && counts.disconnected == 0, "{counts:?}");
    // No request that the clients of the tenant send after its removal reaches a worker.
    let removed_at = outcome.load_started_at
        + scenario_with_removal
            .scheduled_faults
            .iter()
            .find(|fault| fault.kind == "remove")
            .expect("a removal")
            .at;
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a capture head");
    let routers: BTreeSet<u32> =
        processes.iter().filter(|process| process.role == "router").map(|process| process.number).collect();
    let (mut connections_of_removed, mut accepted_after_removal, mut accepted_before_removal) =
        (BTreeSet::new(), BTreeSet::new(), 0);
    while let Some(captured) = reader.next_passed().expect("a complete capture") {
        if !routers.contains(&captured.process) || captured.position > 0 && captured.frame.is_empty() {
            continue;
        }
        let (field, numbers) = frame(&captured.frame);
        match (captured.event, field) {
            (CaptureEvent::Received, HELLO) if captured.frame.windows(6).any(|bytes| bytes == b"leaves") => {
                connections_of_removed.insert((captured.process, captured.connection));
            }
            (CaptureEvent::Sent, ACCEPTED)
                if connections_of_removed.contains(&(captured.process, captured.connection)) =>
            {
                accepted_before_removal += u32::from(captured.at <= removed_at);
                accepted_after_removal.extend((captured.at > removed_at).then(|| numbers[1]));
            }
            // A token to a client has the same field number as a prefill, but the request ids are far above its numbers.
            (CaptureEvent::Sent, PREFILL | DECODE) => {
                assert!(
                    !accepted_after_removal.contains(&numbers[0]),
                    "request admitted after the removal: {:x}",
                    numbers[0]
                );
            }
            _ => {}
        }
    }
    assert!(
        accepted_after_removal.len() > 50 && accepted_before_removal > 50,
        "{} requests after the removal, {accepted_before_removal} before",
        accepted_after_removal.len()
    );
}

/// Field number of the first message on a connection.
const HELLO: u8 = 1;
/// Field number of the message by which a router accepts a request of a client.
const ACCEPTED: u8 = 1;
/// Field numbers of the messages by which a router sends a request to a worker.
const PREFILL: u8 = 2;
const DECODE: u8 = 4;

/// Returns the field number of the message that a frame holds, and its first two fields if they are numbers (in the encoding
/// of Protocol Buffers).
fn frame(bytes: &[u8]) -> (u8, [u64; 2]) {
    let mut rest = bytes;
    let mut varint = || {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let Some((first, after)) = rest.split_first() else { return value };
            (value, rest) = (value | u64::from(first & 0x7f) << shift, after);
            if first & 0x80 == 0 {
                break;
            }
        }
        value
    };
    let (tag, _length) = (varint(), varint());
    let mut numbers = [0; 2];
    while let key @ (8 | 16) = varint() {
        numbers[key as usize / 8 - 1] = varint();
    }
    ((tag >> 3) as u8, numbers)
}
