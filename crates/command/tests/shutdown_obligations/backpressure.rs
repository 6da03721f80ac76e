//! Clients that do not read, and descriptors that run out.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::http_messages::STREAM_EVENTS;
use tideroute_test_support::http_messages::STREAM_HEAD;
use tideroute_test_support::process::wait_for;

use crate::harness::{read_until, response, without_reservations, Harness};

#[test]
fn events_are_forwarded_one_by_one_without_delay_beside_a_client_that_does_not_read() {
    let mut harness = Harness::new("slow", without_reservations);
    let (_slow, _, mut flood) = harness.prefilled("slow", "safe");
    let (mut client, _, mut writer) = harness.prefilled("quick", "safe");
    let big = format!("data: {}\n\n", "x".repeat(60_000));
    flood.send(STREAM_HEAD);
    let mut pours = flood.stream.try_clone().expect("a handle");
    pours.set_write_timeout(Some(Duration::from_millis(50))).expect("a time");
    while pours.write_all(chunk(&big).as_bytes()).is_ok() {}
    let mut kept = String::new();
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        let said = Instant::now();
        writer.send(if n == 0 { format!("{STREAM_HEAD}{}", chunk(event)) } else { chunk(event) });
        read_until(&mut client, &mut kept, event);
        assert!(said.elapsed() < Duration::from_millis(300), "{n}: {:?}", said.elapsed());
    }
}

#[test]
fn a_stream_paused_by_backpressure_for_longer_than_the_silence_limit_goes_on() {
    let mut harness = Harness::new("stalls", without_reservations);
    let (mut slow, _, mut writer) = harness.prefilled("stalls", "once");
    writer.send(STREAM_HEAD);
    let mut pours = writer.stream.try_clone().expect("a handle");
    // The writer writes until nobody takes any more, then the rest once its client reads again.
    let event = format!("data: {}\n\n", "x".repeat(60_000));
    let poured = std::thread::spawn(move || {
        for _ in 0..400 {
            pours.write_all(chunk(&event).as_bytes()).expect("the router goes on");
        }
        pours.write_all(b"0\r\n\r\n").expect("the router goes on");
    });
    let began = Instant::now();
    wait_for(|| (began.elapsed() > Duration::from_secs(6)).then_some(()));
    let whole = response(&mut slow);
    poured.join().expect("all was taken");
    assert!(whole.ends_with("0\r\n\r\n") && whole.len() > 400 * 60_000);
}

#[test]
fn running_out_of_descriptors_costs_no_cpu_time_and_recovers() {
    let mut harness = Harness::with_limit("full", "ulimit -n 24;", without_reservations);
    let idle: Vec<_> = (0..40).map(|_| harness.connect()).collect();
    let used = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process is there");
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    };
    let (pid, began) = (harness.running.0.id(), Instant::now());
    let before = used(pid);
    wait_for(|| (began.elapsed() > Duration::from_secs(1)).then_some(()));
    let ticks = used(pid) - before;
    assert!(ticks < 30, "{ticks} hundredths of a second of processor time in one");
    drop(idle);
    let (mut client, _, mut writer) = harness.prefilled("after", "safe");
    writer.send(http_messages::streamed_response());
    assert!(response(&mut client).contains("[DONE]"));
}
