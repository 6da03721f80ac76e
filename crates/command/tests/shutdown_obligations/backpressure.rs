//! Clients that do not read their responses, and a router that runs out of file descriptors.

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
    let (_slow, _, mut flooding_call) = harness.prefilled("slow", "safe");
    let (mut client, _, mut decode_call) = harness.prefilled("quick", "safe");
    let large_event = format!("data: {}\n\n", "x".repeat(60_000));
    flooding_call.send(STREAM_HEAD);
    let mut worker_stream = flooding_call.stream.try_clone().expect("a handle");
    worker_stream.set_write_timeout(Some(Duration::from_millis(50))).expect("a time");
    while worker_stream.write_all(chunk(&large_event).as_bytes()).is_ok() {}
    let mut received = String::new();
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        let sent_at = Instant::now();
        decode_call.send(if n == 0 { format!("{STREAM_HEAD}{}", chunk(event)) } else { chunk(event) });
        read_until(&mut client, &mut received, event);
        assert!(sent_at.elapsed() < Duration::from_millis(300), "{n}: {:?}", sent_at.elapsed());
    }
}

#[test]
fn a_stream_paused_by_backpressure_for_longer_than_the_silence_limit_goes_on() {
    let mut harness = Harness::new("stalls", without_reservations);
    let (mut slow, _, mut decode_call) = harness.prefilled("stalls", "once");
    decode_call.send(STREAM_HEAD);
    let mut worker_stream = decode_call.stream.try_clone().expect("a handle");
    // The worker writes until backpressure blocks it, and writes the rest once the client reads again.
    let event = format!("data: {}\n\n", "x".repeat(60_000));
    let writer_thread = std::thread::spawn(move || {
        for _ in 0..400 {
            worker_stream.write_all(chunk(&event).as_bytes()).expect("the router reads on");
        }
        worker_stream.write_all(b"0\r\n\r\n").expect("the router reads on");
    });
    let started_at = Instant::now();
    wait_for(|| (started_at.elapsed() > Duration::from_secs(6)).then_some(()));
    let received = response(&mut slow);
    writer_thread.join().expect("the whole stream was written");
    assert!(received.ends_with("0\r\n\r\n") && received.len() > 400 * 60_000);
}

#[test]
fn running_out_of_descriptors_costs_no_cpu_time_and_recovers() {
    let mut harness = Harness::with_limit("full", "ulimit -n 24;", without_reservations);
    let idle: Vec<_> = (0..40).map(|_| harness.connect()).collect();
    let cpu_ticks = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    };
    let (pid, started_at) = (harness.running.0.id(), Instant::now());
    let ticks_before = cpu_ticks(pid);
    wait_for(|| (started_at.elapsed() > Duration::from_secs(1)).then_some(()));
    let ticks = cpu_ticks(pid) - ticks_before;
    assert!(ticks < 30, "{ticks} hundredths of a second of CPU time used in one second");
    drop(idle);
    let (mut client, _, mut decode_call) = harness.prefilled("after", "safe");
    decode_call.send(http_messages::streamed_response());
    assert!(response(&mut client).contains("[DONE]"));
}
