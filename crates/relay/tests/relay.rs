//! Tests the relay on real sockets, between a client and an echo server.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use tideroute_reactor::Reactor;
use tideroute_relay::{Fault, FaultDirection, FaultKind, Relay, RelayConfig, Route};

const MICROS_PER_MS: u64 = 1000;

/// Starts an echo server and returns its address.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener is bound");
    let address = listener.local_addr().expect("listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).expect("TCP_NODELAY is set");
            std::thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

/// Starts a relay with these faults in front of an echo server. Returns its address and its start time.
fn start_relay(faults: &[Fault]) -> (SocketAddr, Instant) {
    let SocketAddr::V4(to) = start_echo_server() else { panic!("echo server has no IPv4 address") };
    let ([a, b, c, d], [high, low]) = (to.ip().octets(), to.port().to_be_bytes());
    let route = Route { to: [a, b, c, d, high, low], faults: (0..faults.len()).collect() };
    let config =
        RelayConfig { listeners: vec![route], datagram_sockets: vec![], faults: faults.to_vec(), seed: 3 };
    let (start_sender, start_receiver) = channel();
    std::thread::spawn(move || {
        let mut reactor =
            Reactor::new(&["127.0.0.1:0".parse().expect("address is valid")]).expect("reactor listens");
        reactor.set_raw(0);
        start_sender.send((reactor.addresses()[0], Instant::now())).expect("the test waits for the start");
        reactor.run(&mut Relay::new(config))
    });
    start_receiver.recv().expect("relay has started")
}

fn fault(from_ms: u64, until_ms: u64, direction: FaultDirection, kind: FaultKind) -> Fault {
    Fault { from: from_ms * MICROS_PER_MS, until: until_ms * MICROS_PER_MS, direction, kind }
}

fn sleep_until(started: Instant, ms: u64) {
    std::thread::sleep((started + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(150))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    Ok(stream)
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("bytes are sent");
}

/// Returns the bytes that arrive within 100 ms, empty if none do; `None` if the connection has ended.
fn receive(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = [0; 64];
    match stream.read(&mut bytes) {
        Ok(0) => None,
        Ok(length) => Some(bytes[..length].to_vec()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(vec![]),
        Err(_) => None,
    }
}

/// During a partition the relay must neither close connections nor answer connection attempts, and it must not lose the
/// bytes that are sent.
#[test]
fn blackhole_delays_sent_bytes_and_leaves_connects_unanswered_until_it_ends() {
    let (relay_address, started) =
        start_relay(&[fault(300, 1200, FaultDirection::Both, FaultKind::Blackhole)]);
    let mut stream = connect(relay_address).expect("relay accepts before the fault");
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("connection is open"), b"one");
    sleep_until(started, 400);
    send(&mut stream, b"two");
    assert_eq!(receive(&mut stream).expect("connection stays open"), b"");
    for _ in 0..2 {
        assert_eq!(connect(relay_address).expect_err("connect is not answered").kind(), ErrorKind::TimedOut);
    }
    sleep_until(started, 1300);
    assert_eq!(receive(&mut stream).expect("connection is open"), b"two");
    let mut second = connect(relay_address).expect("relay accepts after the fault");
    send(&mut second, b"three");
    assert_eq!(receive(&mut second).expect("connection is open"), b"three");
}

#[test]
fn one_way_blackhole_forwards_the_other_direction() {
    let (relay_address, started) =
        start_relay(&[fault(300, 900, FaultDirection::Backward, FaultKind::Blackhole)]);
    let mut stream = connect(relay_address).expect("relay accepts before the fault");
    sleep_until(started, 400);
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("connection is open"), b"");
    assert_eq!(receive(&mut stream).expect("connection is open"), b"");
    assert_eq!(
        connect(relay_address).expect_err("the answer to a connect is blocked as well").kind(),
        ErrorKind::TimedOut
    );
    sleep_until(started, 1000);
    assert_eq!(receive(&mut stream).expect("connection is open"), b"one");
}

#[test]
fn reset_fault_resets_connections_and_refuses_connects() {
    let (relay_address, started) = start_relay(&[fault(300, 700, FaultDirection::Both, FaultKind::Reset)]);
    let mut stream = connect(relay_address).expect("relay accepts before the fault");
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("connection is open"), b"one");
    sleep_until(started, 400);
    assert_eq!(receive(&mut stream), None);
    assert_eq!(connect(relay_address).expect_err("connect is refused").kind(), ErrorKind::ConnectionRefused);
    sleep_until(started, 800);
    let mut second = connect(relay_address).expect("relay accepts after the fault");
    send(&mut second, b"two");
    assert_eq!(receive(&mut second).expect("connection is open"), b"two");
}

/// Returns the median of 201 round-trip times.
fn median_round_trip(to: SocketAddr) -> Duration {
    let mut stream = connect(to).expect("server accepts");
    let mut round_trips: Vec<_> = (0..201)
        .map(|_| {
            let started = Instant::now();
            send(&mut stream, b"word");
            assert_eq!(receive(&mut stream).expect("connection is open"), b"word");
            started.elapsed()
        })
        .collect();
    round_trips.sort_unstable();
    round_trips[100]
}

#[test]
fn delay_is_added_in_its_direction_and_lost_bytes_are_retransmitted() {
    let delayed = FaultKind::Delay { delay: 20 * MICROS_PER_MS, jitter: 5 * MICROS_PER_MS, loss: 0.0 };
    let (relay_address, _) = start_relay(&[fault(0, 60_000, FaultDirection::Forward, delayed)]);
    let mut stream = connect(relay_address).expect("relay accepts");
    let started = Instant::now();
    (0..20u8).for_each(|byte| send(&mut stream, &[byte]));
    let mut received = Vec::new();
    while received.len() < 20 {
        received.extend(receive(&mut stream).expect("connection is open"));
    }
    // All bytes arrive in order, and not before the delay has passed.
    assert!(received.is_sorted() && started.elapsed() >= Duration::from_millis(20), "{received:?}");
    let lossy = FaultKind::Delay { delay: 0, jitter: 0, loss: 0.5 };
    let (relay_address, _) = start_relay(&[fault(0, 60_000, FaultDirection::Both, lossy)]);
    let mut stream = connect(relay_address).expect("relay accepts");
    let started = Instant::now();
    let mut received = 0;
    for _ in 0..6 {
        send(&mut stream, b"x");
        while receive(&mut stream).expect("connection is open").is_empty() {}
        received += 1;
    }
    assert!(received == 6 && started.elapsed() >= Duration::from_millis(200));
}

/// The latency that a relay without faults adds is reported in docs/measurements.md. The bound here is wide enough for
/// a busy machine.
#[test]
fn relay_without_faults_adds_little_latency() {
    let (relay_address, _) = start_relay(&[]);
    let (with_relay, without_relay) =
        (median_round_trip(relay_address), median_round_trip(start_echo_server()));
    println!("median round trip with a relay {with_relay:?}, without {without_relay:?}");
    assert!(
        with_relay < without_relay + Duration::from_millis(5),
        "median round trip with a relay {with_relay:?}, without {without_relay:?}"
    );
}
