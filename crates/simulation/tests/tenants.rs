//! Tenants beside one that floods, in virtual time: the real host, shares and module.

use std::collections::BTreeSet;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, Reader};

fn day(name: &str) -> Scenario {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let text = std::fs::read_to_string(path).expect("the day is there");
    tideroute_config_language::read(name, &text).unwrap_or_else(|p| panic!("{p}")).day.expect("a day")
}

fn assert_rules_kept(outcome: &VirtualOutcome) {
    assert!(
        outcome.report.is_clean(),
        "{:#?}",
        &outcome.report.violations[..outcome.report.violations.len().min(5)]
    );
    let t = &outcome.statistics;
    assert_eq!((t.wrong, t.unanswered, t.unauthorized), (0, 0, 0));
}

/// What of each tenant's earnings was answered in time.
fn service_by_tenant(outcome: &VirtualOutcome) -> Vec<f64> {
    outcome.statistics.by_tenant.iter().map(|(_, asked, in_time)| in_time / asked.max(1e-9)).collect()
}

#[test]
fn calm_tenants_are_served_beside_a_flood_as_without_it() {
    let [day, mut calm, mut bare] = [(); 3].map(|()| day("neighbour-flood.cue"));
    calm.scheduled_faults.retain(|t| t.kind != "burst");
    bare.routers_know_tenants = false;
    let [calm, flood, bare] = [&calm, &day, &bare].map(|day| play(day).expect("it plays"));
    [&calm, &flood, &bare].into_iter().for_each(assert_rules_kept);
    let (without, with, unshared) =
        (service_by_tenant(&calm), service_by_tenant(&flood), service_by_tenant(&bare));
    println!("without a flood {without:.3?}, with one {with:.3?}, with one and no shares {unshared:.3?}");
    for n in 0..3 {
        assert!(with[n] >= 0.97 * without[n], "{n}: {with:.3?} beside {without:.3?}");
    }
    let hurt = (0..3).any(|n| unshared[n] < 0.8 * without[n]);
    assert!(hurt, "it was no flood: {unshared:.3?} beside {without:.3?}");
}

#[test]
fn calm_tenants_are_served_beside_a_flood_on_other_seeds() {
    let threads = (32..38).map(|seed| {
        std::thread::spawn(move || {
            let [mut calm, flood] = [(); 2].map(|()| Scenario { seed, ..day("neighbour-flood.cue") });
            calm.scheduled_faults.retain(|t| t.kind != "burst");
            let [without, with] = [&calm, &flood].map(|day| {
                let outcome = play(day).expect("it plays");
                assert_rules_kept(&outcome);
                service_by_tenant(&outcome)
            });
            assert!((0..3).all(|n| with[n] >= 0.97 * without[n]), "{seed}: {with:.3?} beside {without:.3?}");
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().for_each(|thread| thread.join().expect("a seed"));
}

#[test]
fn a_removed_tenant_is_rejected_and_its_requests_in_flight_are_completed() {
    let removed = day("tenant-removed.cue");
    let outcome = play(&removed).expect("it plays");
    assert_rules_kept(&outcome);
    let mut quiet = day("tenant-removed.cue");
    quiet.scheduled_faults.retain(|t| t.kind != "remove");
    let without = play(&quiet).expect("it plays");
    assert_rules_kept(&without);
    let (service_by_tenant, others) = (service_by_tenant(&outcome), service_by_tenant(&without));
    assert!(
        service_by_tenant[0] >= 0.97 * others[0],
        "who stays lost by it: {service_by_tenant:?} beside {others:?}"
    );
    assert!(
        service_by_tenant[1] < 0.8 * others[1],
        "nothing was removed: {service_by_tenant:?} beside {others:?}"
    );
    let counts = &outcome.report.counts;
    assert!(counts.rejected > 100 && counts.completed > 100 && counts.disconnected == 0, "{counts:?}");
    // What its clients ask after the removal never comes to a worker.
    let gone = outcome.load_started_at
        + removed.scheduled_faults.iter().find(|t| t.kind == "remove").expect("a removal").at;
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let routers: BTreeSet<u32> = processes.iter().filter(|p| p.role == "router").map(|p| p.number).collect();
    let (mut of_it, mut too_late, mut before) = (BTreeSet::new(), BTreeSet::new(), 0);
    while let Some(p) = reader.next_passed().expect("a whole record") {
        if !routers.contains(&p.process) || p.position > 0 && p.frame.is_empty() {
            continue;
        }
        let (field, numbers) = frame(&p.frame);
        match (p.event, field) {
            (CaptureEvent::Received, HELLO) if p.frame.windows(6).any(|w| w == b"leaves") => {
                of_it.insert((p.process, p.connection));
            }
            (CaptureEvent::Sent, TAKEN) if of_it.contains(&(p.process, p.connection)) => {
                before += u32::from(p.at <= gone);
                too_late.extend((p.at > gone).then(|| numbers[1]));
            }
            // A client's Token has the field of a worker's Read; ids of submissions are far above its numbers.
            (CaptureEvent::Sent, READ | WRITE) => {
                assert!(!too_late.contains(&numbers[0]), "let in after the removal: {:x}", numbers[0]);
            }
            _ => {}
        }
    }
    assert!(too_late.len() > 50 && before > 50, "{} asked after, {before} before", too_late.len());
}

/// Fields of frames: a Hello, a router's Taken, and what hands a submission to a worker.
const HELLO: u8 = 1;
const TAKEN: u8 = 1;
const READ: u8 = 2;
const WRITE: u8 = 4;

/// Which message a frame holds, and its first two fields if they are numbers (Protocol Buffers' encoding).
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
