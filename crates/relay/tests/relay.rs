//! The relay on real sockets, between a client and a server that sends back what it gets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use tideroute_reactor::Reactor;
use tideroute_relay::{Door, Fault, How, Relay, RelayTerms, Way};

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

/// A relay in front of a server of its own, by whose faults it is met; when it began.
fn relay(faults: &[Fault]) -> (SocketAddr, Instant) {
    let SocketAddr::V4(to) = echo() else { panic!("no IPv4") };
    let ([a, b, c, d], [high, low]) = (to.ip().octets(), to.port().to_be_bytes());
    let door = Door { to: [a, b, c, d, high, low], faults: (0..faults.len()).collect() };
    let terms = RelayTerms { doors: vec![door], datagrams: vec![], faults: faults.to_vec(), seed: 3 };
    let (told, tell) = channel();
    std::thread::spawn(move || {
        let mut reactor = Reactor::new(&["127.0.0.1:0".parse().expect("an address")]).expect("it listens");
        reactor.set_raw(0);
        told.send((reactor.addresses()[0], Instant::now())).expect("somebody waits");
        reactor.run(&mut Relay::new(terms))
    });
    tell.recv().expect("it began")
}

fn fault(from: u64, until: u64, way: Way, how: How) -> Fault {
    Fault { from: from * MS, until: until * MS, way, how }
}

fn at(began: Instant, ms: u64) {
    std::thread::sleep((began + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

fn dial(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(150))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    Ok(stream)
}

fn say(stream: &mut TcpStream, word: &[u8]) {
    stream.write_all(word).expect("it is sent");
}

/// What comes back within a tenth of a second, None for an end.
fn hear(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = [0; 64];
    match stream.read(&mut bytes) {
        Ok(0) => None,
        Ok(got) => Some(bytes[..got].to_vec()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(vec![]),
        Err(_) => None,
    }
}

#[test]
fn a_silent_cut_holds_what_is_said_and_answers_no_dial_until_it_is_over() {
    let (door, began) = relay(&[fault(300, 1200, Way::Both, How::Silent)]);
    let mut stream = dial(door).expect("before it all is well");
    say(&mut stream, b"one");
    assert_eq!(hear(&mut stream).expect("open"), b"one");
    at(began, 400);
    say(&mut stream, b"two");
    assert_eq!(hear(&mut stream).expect("it stays open and is silent"), b"");
    for _ in 0..2 {
        assert_eq!(dial(door).expect_err("nobody answers").kind(), ErrorKind::TimedOut);
    }
    at(began, 1300);
    assert_eq!(hear(&mut stream).expect("open"), b"two");
    let mut fresh = dial(door).expect("it is over");
    say(&mut fresh, b"three");
    assert_eq!(hear(&mut fresh).expect("open"), b"three");
}

#[test]
fn a_cut_one_way_lets_the_other_pass() {
    let (door, began) = relay(&[fault(300, 900, Way::Back, How::Silent)]);
    let mut stream = dial(door).expect("before it all is well");
    at(began, 400);
    say(&mut stream, b"one");
    assert_eq!(hear(&mut stream).expect("open"), b"");
    assert_eq!(hear(&mut stream).expect("open"), b"");
    assert_eq!(dial(door).expect_err("an answer to a dial would come back too").kind(), ErrorKind::TimedOut);
    at(began, 1000);
    assert_eq!(hear(&mut stream).expect("open"), b"one");
}

#[test]
fn a_reset_breaks_connections_and_refuses_dials() {
    let (door, began) = relay(&[fault(300, 700, Way::Both, How::Reset)]);
    let mut stream = dial(door).expect("before it all is well");
    say(&mut stream, b"one");
    assert_eq!(hear(&mut stream).expect("open"), b"one");
    at(began, 400);
    assert_eq!(hear(&mut stream), None);
    assert_eq!(dial(door).expect_err("refused").kind(), ErrorKind::ConnectionRefused);
    at(began, 800);
    let mut fresh = dial(door).expect("it is over");
    say(&mut fresh, b"two");
    assert_eq!(hear(&mut fresh).expect("open"), b"two");
}

/// The median of some round trips.
fn round_trip(to: SocketAddr) -> Duration {
    let mut stream = dial(to).expect("there");
    let mut took: Vec<_> = (0..201)
        .map(|_| {
            let began = Instant::now();
            say(&mut stream, b"word");
            assert_eq!(hear(&mut stream).expect("open"), b"word");
            began.elapsed()
        })
        .collect();
    took.sort_unstable();
    took[100]
}

#[test]
fn delay_is_added_in_its_direction_and_loss_is_made_good() {
    let late = How::Late { delay: 20 * MS, jitter: 5 * MS, loss: 0.0 };
    let (door, _) = relay(&[fault(0, 60_000, Way::There, late)]);
    let mut stream = dial(door).expect("there");
    let began = Instant::now();
    (0..20u8).for_each(|n| say(&mut stream, &[n]));
    let mut heard = Vec::new();
    while heard.len() < 20 {
        heard.extend(hear(&mut stream).expect("open"));
    }
    // All of it, in order, and no sooner than the delay.
    assert!(heard.is_sorted() && began.elapsed() >= Duration::from_millis(20), "{heard:?}");
    let lossy = How::Late { delay: 0, jitter: 0, loss: 0.5 };
    let (door, _) = relay(&[fault(0, 60_000, Way::Both, lossy)]);
    let mut stream = dial(door).expect("there");
    let began = Instant::now();
    let mut heard = 0;
    for _ in 0..6 {
        say(&mut stream, b"x");
        while hear(&mut stream).expect("open").is_empty() {}
        heard += 1;
    }
    assert!(heard == 6 && began.elapsed() >= Duration::from_millis(200));
}

/// What a relay that does nothing adds; the figure is in docs/measurements.md, the bound here is for busy machines.
#[test]
fn a_relay_with_nothing_to_do_adds_little() {
    let (door, _) = relay(&[]);
    let (with, without) = (round_trip(door), round_trip(echo()));
    println!("a round trip through a relay {with:?}, without {without:?}");
    assert!(with < without + Duration::from_millis(5), "{with:?} beside {without:?}");
}
