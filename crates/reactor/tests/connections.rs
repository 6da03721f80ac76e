//! The loop on real loopback sockets, with small programs at both ends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tideroute_reactor::connection::{HIGH_WATERMARK, MAX_BUFFERED};
use tideroute_reactor::{RunOutcome, Reactor};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

/// What a program saw.
#[derive(Debug, PartialEq)]
enum Seen {
    Accepted(ConnectionId),
    Opened,
    Heard(Bytes),
    Lost(DisconnectReason),
    Crowded(bool),
    Rang(u64),
}

/// Tells all that it sees and does as its hands say; ends when told so by a frame `end`.
struct Scripted<F> {
    seen: Sender<Seen>,
    hands: F,
    over: bool,
}

impl<F: FnMut(&Seen, ConnectionId, &mut Effects, Micros)> Scripted<F> {
    fn saw(&mut self, now: Micros, connection: ConnectionId, seen: Seen, out: &mut Effects) {
        (self.hands)(&seen, connection, out, now);
        self.over |= seen == Seen::Heard(Bytes::from_static(b"end"));
        let _ = self.seen.send(seen);
    }
}

impl<F: FnMut(&Seen, ConnectionId, &mut Effects, Micros)> EventHandler for Scripted<F> {
    fn on_start(&mut self, now: Micros, out: &mut Effects) {
        (self.hands)(&Seen::Rang(0), ConnectionId(0), out, now);
    }
    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, _door: usize, out: &mut Effects) {
        self.saw(now, connection, Seen::Accepted(connection), out);
    }
    fn on_connected(&mut self, now: Micros, connection: ConnectionId, out: &mut Effects) {
        self.saw(now, connection, Seen::Opened, out);
    }
    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, out: &mut Effects) {
        self.saw(now, connection, Seen::Heard(frame.clone()), out);
    }
    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        out: &mut Effects,
    ) {
        self.saw(now, connection, Seen::Lost(loss), out);
    }
    fn on_backpressure(&mut self, now: Micros, connection: ConnectionId, crowded: bool, out: &mut Effects) {
        self.saw(now, connection, Seen::Crowded(crowded), out);
    }
    fn on_timer(&mut self, now: Micros, key: u64, out: &mut Effects) {
        self.saw(now, ConnectionId(0), Seen::Rang(key), out);
    }
    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}
    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {}
    fn is_finished(&self) -> bool {
        self.over
    }
}

type Run = (SocketAddr, Receiver<Seen>, JoinHandle<RunOutcome>);

fn run(hands: impl FnMut(&Seen, ConnectionId, &mut Effects, Micros) + Send + 'static) -> Run {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    let (at, (seen, all)) = (reactor.addresses()[0], channel());
    let mut program = Scripted { seen, hands, over: false };
    (at, all, std::thread::spawn(move || reactor.run(&mut program).unwrap()))
}

/// The next thing seen; a test that waits so long has failed.
fn next(seen: &Receiver<Seen>) -> Seen {
    seen.recv_timeout(Duration::from_secs(20)).expect("it is seen in time")
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    tideroute_wire::frame::put(&mut out, body);
    out.to_vec()
}

fn bytes_of(at: SocketAddr) -> Address {
    let port = at.port().to_be_bytes();
    [127, 0, 0, 1, port[0], port[1]]
}

/// Ends a program by its own door.
fn end(at: SocketAddr, thread: JoinHandle<RunOutcome>) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"end")).unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

#[test]
fn frames_arrive_in_order_and_whole_both_ways() {
    let (at, _seen, thread) = run(|seen, connection, out, _| {
        if let Seen::Heard(frame) = seen {
            out.send(connection, frame.clone());
        }
    });
    let mut stream = TcpStream::connect(at).unwrap();
    let sent: Vec<u8> = (0..3000u32).flat_map(|n| frame(&vec![n as u8; n as usize % 700])).collect();
    let (mut back, mut reader) = (vec![0; sent.len()], stream.try_clone().unwrap());
    let copy = sent.clone();
    let writer = std::thread::spawn(move || copy.chunks(777).for_each(|c| stream.write_all(c).unwrap()));
    reader.read_exact(&mut back).unwrap();
    writer.join().unwrap();
    assert!(back == sent);
    end(at, thread);
}

#[test]
fn a_peer_that_does_not_read_is_told_of_and_then_closed() {
    let piece = Bytes::from(vec![7; 64 << 10]);
    let mut began = false;
    let (at, seen, thread) = run(move |seen, _, out, now| match seen {
        // Sends on and on, a piece a ring, until the link is gone.
        Seen::Accepted(ConnectionId(0)) => {
            began = true;
            out.set_timer(now, 0);
        }
        Seen::Rang(0) if began => {
            out.send(ConnectionId(0), piece.clone());
            out.set_timer(now + 200, 0);
        }
        _ => {}
    });
    let stream = TcpStream::connect(at).unwrap();
    let mut crowded = false;
    loop {
        match next(&seen) {
            Seen::Crowded(true) => crowded = true,
            Seen::Lost(loss) => break assert_eq!(loss, DisconnectReason::Reset),
            _ => {}
        }
    }
    assert!(crowded, "closed without a warning");
    // What it could have read is bounded: the loop's own bound and what the kernel holds for both ends.
    let mut got = 0;
    let mut stream = stream;
    let mut rest = vec![0; 1 << 20];
    while let Ok(n @ 1..) = stream.read(&mut rest) {
        got += n;
    }
    assert!(got < MAX_BUFFERED + (16 << 20) && MAX_BUFFERED > HIGH_WATERMARK, "{got} bytes");
    end(at, thread);
}

#[test]
fn a_peer_that_reads_again_is_no_longer_crowded() {
    let mut full = false;
    let (at, seen, thread) = run(move |seen, _, out, now| match seen {
        Seen::Accepted(ConnectionId(0)) => out.set_timer(now, 5),
        Seen::Crowded(crowded) => full |= *crowded,
        // Sends on until the link is crowded, however much the kernel takes.
        Seen::Rang(5) if !full => {
            out.send(ConnectionId(0), vec![1; 50 << 10].into());
            out.set_timer(now + 200, 5);
        }
        _ => {}
    });
    let mut stream = TcpStream::connect(at).unwrap();
    while next(&seen) != Seen::Crowded(true) {}
    let reader = std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
    while next(&seen) != Seen::Crowded(false) {}
    end(at, thread);
    assert!(reader.join().unwrap().unwrap_or(0) > 0);
}

#[test]
fn a_hushed_link_waits_and_is_heard_later() {
    let (at, seen, thread) = run(|seen, connection, out, now| match seen {
        Seen::Accepted(ConnectionId(0)) => {
            out.pause_reading(connection, true);
            out.set_timer(now + 50_000, 9);
        }
        Seen::Rang(9) => out.pause_reading(ConnectionId(0), false),
        _ => {}
    });
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"late")).unwrap();
    assert_eq!(next(&seen), Seen::Accepted(ConnectionId(0)));
    // The timer rings first, though the frame was there long before.
    assert_eq!(next(&seen), Seen::Rang(9));
    assert_eq!(next(&seen), Seen::Heard(Bytes::from_static(b"late")));
    end(at, thread);
}

#[test]
fn dials_that_lead_nowhere_and_frames_sent_before_the_link_is_open() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (there, heard, thread) = run(|_, _, _, _| {});
    let (to, no) = (bytes_of(there), bytes_of(nobody));
    let (at, seen, dialler) = run(move |seen, _, out, _| {
        if matches!(seen, Seen::Rang(0)) {
            out.connect(no, 1_000_000);
            let connection = out.connect(to, 1_000_000);
            out.send(connection, Bytes::from_static(b"early"));
        }
    });
    let mut both = vec![next(&seen), next(&seen)];
    both.sort_by_key(|s| *s == Seen::Opened);
    assert_eq!(both, [Seen::Lost(DisconnectReason::ConnectFailed), Seen::Opened]);
    assert!(matches!(next(&heard), Seen::Accepted(_)));
    assert_eq!(next(&heard), Seen::Heard(Bytes::from_static(b"early")));
    end(at, dialler);
    end(there, thread);
}

#[test]
fn a_program_that_vanishes_resets_its_peers() {
    let (at, _seen, thread) = run(|seen, _, out, _| {
        if matches!(seen, Seen::Heard(_)) {
            out.crash();
        }
    });
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"go")).unwrap();
    assert!(!matches!(stream.read(&mut [0; 8]), Ok(1..)));
    assert_eq!(thread.join().unwrap(), RunOutcome::Crashed);
}

/// A close over unread bytes would reset the connection, and what was sent just before could go with it.
#[test]
fn a_raw_link_that_is_closed_while_its_peer_sends_ends_well() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let at = reactor.addresses()[0];
    let hands = |seen: &Seen, connection, out: &mut Effects, now| match seen {
        Seen::Heard(_) if connection == ConnectionId(0) => {
            out.send(connection, Bytes::from_static(b"answer"));
            out.pause_reading(connection, true);
            out.set_timer(now + 100_000, 9);
        }
        Seen::Rang(9) => out.close(ConnectionId(0), "idle"),
        _ => {}
    };
    let (seen, all) = channel();
    let mut program = Scripted { seen, hands, over: false };
    let thread = std::thread::spawn(move || reactor.run(&mut program).unwrap());
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"ask").unwrap();
    assert_eq!(next(&all), Seen::Accepted(ConnectionId(0)));
    assert_eq!(next(&all), Seen::Heard(Bytes::from_static(b"ask")));
    stream.write_all(b"ask again").unwrap();
    let mut got = Vec::new();
    stream.read_to_end(&mut got).expect("it ends, and is not reset");
    assert_eq!(got, b"answer");
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(b"more").expect("what it still sends is read on, and no reset answers it");
    }
    drop(stream);
    let mut last = TcpStream::connect(at).unwrap();
    last.write_all(b"end").unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

/// Is done once its first client has gone, and in that very moment another one comes and asks.
struct LastMoment {
    at: SocketAddr,
    late: Option<TcpStream>,
    open: usize,
    gone: usize,
}

impl EventHandler for LastMoment {
    fn on_start(&mut self, _now: Micros, _out: &mut Effects) {}
    fn on_accepted(&mut self, _now: Micros, _link: ConnectionId, _door: usize, _out: &mut Effects) {
        self.open += 1;
    }
    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}
    fn on_data(&mut self, _now: Micros, connection: ConnectionId, asked: &Bytes, out: &mut Effects) {
        out.send(connection, asked.clone());
    }
    fn on_disconnect(
        &mut self,
        _now: Micros,
        _link: ConnectionId,
        _loss: DisconnectReason,
        _out: &mut Effects,
    ) {
        (self.open, self.gone) = (self.open - 1, self.gone + 1);
    }
    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}
    fn on_timer(&mut self, _now: Micros, _key: u64, _out: &mut Effects) {}
    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {
        if self.gone == 1 && self.late.is_none() {
            let mut late = TcpStream::connect(self.at).unwrap();
            late.write_all(b"late!").unwrap();
            late.shutdown(std::net::Shutdown::Write).unwrap();
            self.late = Some(late);
        }
    }
    fn on_shutdown(&mut self, _now: Micros, _out: &mut Effects) {}
    fn is_finished(&self) -> bool {
        // The one that waits at the door is not known here before it is taken.
        self.gone > 0 && self.open == 0
    }
}

/// Sends five bytes and reads as many.
fn ask(stream: &mut TcpStream, asked: &[u8; 5]) -> [u8; 5] {
    let mut answer = [0; 5];
    stream.write_all(asked).unwrap();
    stream.read_exact(&mut answer).unwrap();
    answer
}

#[test]
fn who_waits_at_the_door_as_the_program_is_done_is_answered() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    reactor.drain_on_shutdown();
    let at = reactor.addresses()[0];
    let first = std::thread::spawn(move || ask(&mut TcpStream::connect(at).unwrap(), b"first"));
    let mut program = LastMoment { at, late: None, open: 0, gone: 0 };
    assert_eq!(reactor.run(&mut program).unwrap(), RunOutcome::Finished);
    assert_eq!(&first.join().unwrap(), b"first");
    drop(reactor);
    let (mut late, mut answer) = (program.late.expect("it came"), [0; 5]);
    late.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let read = late.read_exact(&mut answer);
    assert!(read.is_ok() && &answer == b"late!", "its request came on a connection that was made: {read:?}");
    assert!(TcpStream::connect(at).is_err(), "nobody comes after it");
}
