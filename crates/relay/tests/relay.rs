//! The relay on real sockets, between a client and a server that sends back what it gets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use tideroute_reactor::Reactor;
use tideroute_relay::{Fault, FaultDirection, FaultKind, Relay, RelayConfig, Route};

const MS: u64 = 1000;

fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).expect("it is set");
            std::thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    at
}

/// A relay with these faults in front of an echo server: its address, and when it began.
fn relay(faults: &[Fault]) -> (SocketAddr, Instant) {
    let SocketAddr::V4(to) = echo() else { panic!("no IPv4") };
    let ([a, b, c, d], [high, low]) = (to.ip().octets(), to.port().to_be_bytes());
    let route = Route { to: [a, b, c, d, high, low], faults: (0..faults.len()).collect() };
    let config =
        RelayConfig { listeners: vec![route], datagram_sockets: vec![], faults: faults.to_vec(), seed: 3 };
    let (started, wait_for_start) = channel();
    std::thread::spawn(move || {
        let mut reactor = Reactor::new(&["127.0.0.1:0".parse().expect("an address")]).expect("it listens");
        reactor.set_raw(0);
        started.send((reactor.addresses()[0], Instant::now())).expect("somebody waits");
        reactor.run(&mut Relay::new(config))
    });
    wait_for_start.recv().expect("it began")
}

fn fault(from: u64, until: u64, direction: FaultDirection, kind: FaultKind) -> Fault {
    Fault { from: from * MS, until: until * MS, direction, kind }
}

fn sleep_until(began: Instant, ms: u64) {
    std::thread::sleep((began + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(150))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    Ok(stream)
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("it is sent");
}

/// What arrives within a tenth of a second, None for an end.
fn receive(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = [0; 64];
    match stream.read(&mut bytes) {
        Ok(0) => None,
        Ok(got) => Some(bytes[..got].to_vec()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(vec![]),
        Err(_) => None,
    }
}

#[test]
fn a_blackhole_holds_what_is_sent_and_answers_no_connect_until_it_is_over() {
    let (relay_address, began) = relay(&[fault(300, 1200, FaultDirection::Both, FaultKind::Blackhole)]);
    let mut stream = connect(relay_address).expect("before it all is well");
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("open"), b"one");
    sleep_until(began, 400);
    send(&mut stream, b"two");
    assert_eq!(receive(&mut stream).expect("it stays open and is silent"), b"");
    for _ in 0..2 {
        assert_eq!(connect(relay_address).expect_err("nobody answers").kind(), ErrorKind::TimedOut);
    }
    sleep_until(began, 1300);
    assert_eq!(receive(&mut stream).expect("open"), b"two");
    let mut second = connect(relay_address).expect("it is over");
    send(&mut second, b"three");
    assert_eq!(receive(&mut second).expect("open"), b"three");
}

#[test]
fn a_blackhole_in_one_direction_lets_the_other_pass() {
    let (relay_address, began) = relay(&[fault(300, 900, FaultDirection::Backward, FaultKind::Blackhole)]);
    let mut stream = connect(relay_address).expect("before it all is well");
    sleep_until(began, 400);
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("open"), b"");
    assert_eq!(receive(&mut stream).expect("open"), b"");
    assert_eq!(
        connect(relay_address).expect_err("an answer to a connect would come back too").kind(),
        ErrorKind::TimedOut
    );
    sleep_until(began, 1000);
    assert_eq!(receive(&mut stream).expect("open"), b"one");
}

#[test]
fn a_reset_breaks_connections_and_refuses_connects() {
    let (relay_address, began) = relay(&[fault(300, 700, FaultDirection::Both, FaultKind::Reset)]);
    let mut stream = connect(relay_address).expect("before it all is well");
    send(&mut stream, b"one");
    assert_eq!(receive(&mut stream).expect("open"), b"one");
    sleep_until(began, 400);
    assert_eq!(receive(&mut stream), None);
    assert_eq!(connect(relay_address).expect_err("refused").kind(), ErrorKind::ConnectionRefused);
    sleep_until(began, 800);
    let mut second = connect(relay_address).expect("it is over");
    send(&mut second, b"two");
    assert_eq!(receive(&mut second).expect("open"), b"two");
}

/// The median of some round trips.
fn round_trip(to: SocketAddr) -> Duration {
    let mut stream = connect(to).expect("there");
    let mut took: Vec<_> = (0..201)
        .map(|_| {
            let began = Instant::now();
            send(&mut stream, b"word");
            assert_eq!(receive(&mut stream).expect("open"), b"word");
            began.elapsed()
        })
        .collect();
    took.sort_unstable();
    took[100]
}

#[test]
fn delay_is_added_in_its_direction_and_lost_parts_are_retransmitted() {
    let late = FaultKind::Delay { delay: 20 * MS, jitter: 5 * MS, loss: 0.0 };
    let (relay_address, _) = relay(&[fault(0, 60_000, FaultDirection::Forward, late)]);
    let mut stream = connect(relay_address).expect("there");
    let began = Instant::now();
    (0..20u8).for_each(|n| send(&mut stream, &[n]));
    let mut received = Vec::new();
    while received.len() < 20 {
        received.extend(receive(&mut stream).expect("open"));
    }
    // All of it, in order, and no sooner than the delay.
    assert!(received.is_sorted() && began.elapsed() >= Duration::from_millis(20), "{received:?}");
    let lossy = FaultKind::Delay { delay: 0, jitter: 0, loss: 0.5 };
    let (relay_address, _) = relay(&[fault(0, 60_000, FaultDirection::Both, lossy)]);
    let mut stream = connect(relay_address).expect("there");
    let began = Instant::now();
    let mut received = 0;
    for _ in 0..6 {
        send(&mut stream, b"x");
        while receive(&mut stream).expect("open").is_empty() {}
        received += 1;
    }
    assert!(received == 6 && began.elapsed() >= Duration::from_millis(200));
}

/// What a relay without faults adds; the figure is in docs/measurements.md, the bound here is for busy machines.
#[test]
fn a_relay_without_faults_adds_little_latency() {
    let (relay_address, _) = relay(&[]);
    let (with, without) = (round_trip(relay_address), round_trip(echo()));
    println!("a round trip through a relay {with:?}, without {without:?}");
    assert!(with < without + Duration::from_millis(5), "{with:?} beside {without:?}");
}
