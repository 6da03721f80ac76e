//! The loop on real loopback sockets, with scripted handlers at both ends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tideroute_reactor::connection::{HIGH_WATERMARK, MAX_BUFFERED};
use tideroute_reactor::{Reactor, RunOutcome};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

/// A call of the handler.
#[derive(Debug, PartialEq)]
enum Observed {
    Accepted(ConnectionId),
    Connected,
    Received(Bytes),
    Disconnected(DisconnectReason),
    Backpressure(bool),
    TimerFired(u64),
}

/// Reports all calls and does as its script says; finishes on a frame `end`.
struct ScriptedHandler<F> {
    seen: Sender<Observed>,
    script: F,
    finished: bool,
}

impl<F: FnMut(&Observed, ConnectionId, &mut Effects, Micros)> ScriptedHandler<F> {
    fn observe(&mut self, now: Micros, connection: ConnectionId, seen: Observed, effects: &mut Effects) {
        (self.script)(&seen, connection, effects, now);
        self.finished |= seen == Observed::Received(Bytes::from_static(b"end"));
        let _ = self.seen.send(seen);
    }
}

impl<F: FnMut(&Observed, ConnectionId, &mut Effects, Micros)> EventHandler for ScriptedHandler<F> {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        (self.script)(&Observed::TimerFired(0), ConnectionId(0), effects, now);
    }
    fn on_accepted(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        self.observe(now, connection, Observed::Accepted(connection), effects);
    }
    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        self.observe(now, connection, Observed::Connected, effects);
    }
    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        self.observe(now, connection, Observed::Received(frame.clone()), effects);
    }
    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.observe(now, connection, Observed::Disconnected(reason), effects);
    }
    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        backpressure: bool,
        effects: &mut Effects,
    ) {
        self.observe(now, connection, Observed::Backpressure(backpressure), effects);
    }
    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        self.observe(now, ConnectionId(0), Observed::TimerFired(key), effects);
    }
    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}
    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {}
    fn is_finished(&self) -> bool {
        self.finished
    }
}

type Run = (SocketAddr, Receiver<Observed>, JoinHandle<RunOutcome>);

fn run(script: impl FnMut(&Observed, ConnectionId, &mut Effects, Micros) + Send + 'static) -> Run {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    let (at, (seen, all)) = (reactor.addresses()[0], channel());
    let mut handler = ScriptedHandler { seen, script, finished: false };
    (at, all, std::thread::spawn(move || reactor.run(&mut handler).unwrap()))
}

/// The next thing seen; a test that waits so long has failed.
fn next(seen: &Receiver<Observed>) -> Observed {
    seen.recv_timeout(Duration::from_secs(20)).expect("it is seen in time")
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut wire = bytes::BytesMut::new();
    tideroute_wire::frame::put(&mut wire, body);
    wire.to_vec()
}

fn bytes_of(at: SocketAddr) -> Address {
    let port = at.port().to_be_bytes();
    [127, 0, 0, 1, port[0], port[1]]
}

/// Finishes a handler by a frame at its listener.
fn end(at: SocketAddr, thread: JoinHandle<RunOutcome>) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"end")).unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

#[test]
fn frames_arrive_complete_and_in_order_both_ways() {
    let (at, _seen, thread) = run(|seen, connection, effects, _| {
        if let Observed::Received(frame) = seen {
            effects.send(connection, frame.clone());
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
fn a_peer_that_does_not_read_raises_backpressure_and_is_then_disconnected() {
    let piece = Bytes::from(vec![7; 64 << 10]);
    let mut began = false;
    let (at, seen, thread) = run(move |seen, _, effects, now| match seen {
        // Sends on and on, a piece a timer, until the connection is lost.
        Observed::Accepted(ConnectionId(0)) => {
            began = true;
            effects.set_timer(now, 0);
        }
        Observed::TimerFired(0) if began => {
            effects.send(ConnectionId(0), piece.clone());
            effects.set_timer(now + 200, 0);
        }
        _ => {}
    });
    let stream = TcpStream::connect(at).unwrap();
    let mut backpressure = false;
    loop {
        match next(&seen) {
            Observed::Backpressure(true) => backpressure = true,
            Observed::Disconnected(reason) => break assert_eq!(reason, DisconnectReason::Reset),
            _ => {}
        }
    }
    assert!(backpressure, "closed without a warning");
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
fn backpressure_ends_when_the_peer_reads_again() {
    let mut full = false;
    let (at, seen, thread) = run(move |seen, _, effects, now| match seen {
        Observed::Accepted(ConnectionId(0)) => effects.set_timer(now, 5),
        Observed::Backpressure(backpressure) => full |= *backpressure,
        // Sends on until there is backpressure, however much the kernel takes.
        Observed::TimerFired(5) if !full => {
            effects.send(ConnectionId(0), vec![1; 50 << 10].into());
            effects.set_timer(now + 200, 5);
        }
        _ => {}
    });
    let mut stream = TcpStream::connect(at).unwrap();
    while next(&seen) != Observed::Backpressure(true) {}
    let reader = std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
    while next(&seen) != Observed::Backpressure(false) {}
    end(at, thread);
    assert!(reader.join().unwrap().unwrap_or(0) > 0);
}

#[test]
fn a_frame_waits_while_reading_is_paused() {
    let (at, seen, thread) = run(|seen, connection, effects, now| match seen {
        Observed::Accepted(ConnectionId(0)) => {
            effects.pause_reading(connection, true);
            effects.set_timer(now + 50_000, 9);
        }
        Observed::TimerFired(9) => effects.pause_reading(ConnectionId(0), false),
        _ => {}
    });
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"late")).unwrap();
    assert_eq!(next(&seen), Observed::Accepted(ConnectionId(0)));
    // The timer fires first, though the frame was there long before.
    assert_eq!(next(&seen), Observed::TimerFired(9));
    assert_eq!(next(&seen), Observed::Received(Bytes::from_static(b"late")));
    end(at, thread);
}

#[test]
fn failed_connects_are_reported_and_frames_wait_for_the_connection() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (there, received, thread) = run(|_, _, _, _| {});
    let (to, no) = (bytes_of(there), bytes_of(nobody));
    let (at, seen, dialler) = run(move |seen, _, effects, _| {
        if matches!(seen, Observed::TimerFired(0)) {
            effects.connect(no, 1_000_000);
            let connection = effects.connect(to, 1_000_000);
            effects.send(connection, Bytes::from_static(b"early"));
        }
    });
    let mut both = vec![next(&seen), next(&seen)];
    both.sort_by_key(|s| *s == Observed::Connected);
    assert_eq!(both, [Observed::Disconnected(DisconnectReason::ConnectFailed), Observed::Connected]);
    assert!(matches!(next(&received), Observed::Accepted(_)));
    assert_eq!(next(&received), Observed::Received(Bytes::from_static(b"early")));
    end(at, dialler);
    end(there, thread);
}

#[test]
fn a_crash_resets_all_connections() {
    let (at, _seen, thread) = run(|seen, _, effects, _| {
        if matches!(seen, Observed::Received(_)) {
            effects.crash();
        }
    });
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&frame(b"go")).unwrap();
    assert!(!matches!(stream.read(&mut [0; 8]), Ok(1..)));
    assert_eq!(thread.join().unwrap(), RunOutcome::Crashed);
}

/// A close over unread bytes would reset the connection, and what was sent just before could go with it.
#[test]
fn a_raw_connection_closed_while_its_peer_sends_is_not_reset() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let at = reactor.addresses()[0];
    let script = |seen: &Observed, connection, effects: &mut Effects, now| match seen {
        Observed::Received(_) if connection == ConnectionId(0) => {
            effects.send(connection, Bytes::from_static(b"answer"));
            effects.pause_reading(connection, true);
            effects.set_timer(now + 100_000, 9);
        }
        Observed::TimerFired(9) => effects.close(ConnectionId(0), "idle"),
        _ => {}
    };
    let (seen, all) = channel();
    let mut handler = ScriptedHandler { seen, script, finished: false };
    let thread = std::thread::spawn(move || reactor.run(&mut handler).unwrap());
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"ask").unwrap();
    assert_eq!(next(&all), Observed::Accepted(ConnectionId(0)));
    assert_eq!(next(&all), Observed::Received(Bytes::from_static(b"ask")));
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

/// Is done once its first client has disconnected, and in that very moment another one comes and asks.
struct LastMoment {
    at: SocketAddr,
    late: Option<TcpStream>,
    open: usize,
    disconnected: usize,
}

impl EventHandler for LastMoment {
    fn on_start(&mut self, _now: Micros, _effects: &mut Effects) {}
    fn on_accepted(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _listener: usize,
        _effects: &mut Effects,
    ) {
        self.open += 1;
    }
    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}
    fn on_data(&mut self, _now: Micros, connection: ConnectionId, asked: &Bytes, effects: &mut Effects) {
        effects.send(connection, asked.clone());
    }
    fn on_disconnect(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _reason: DisconnectReason,
        _effects: &mut Effects,
    ) {
        (self.open, self.disconnected) = (self.open - 1, self.disconnected + 1);
    }
    fn on_backpressure(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _backpressure: bool,
        _effects: &mut Effects,
    ) {
    }
    fn on_timer(&mut self, _now: Micros, _key: u64, _effects: &mut Effects) {}
    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {
        if self.disconnected == 1 && self.late.is_none() {
            let mut late = TcpStream::connect(self.at).unwrap();
            late.write_all(b"late!").unwrap();
            late.shutdown(std::net::Shutdown::Write).unwrap();
            self.late = Some(late);
        }
    }
    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {}
    fn is_finished(&self) -> bool {
        // The client that waits at the listener is not known here before it is accepted.
        self.disconnected > 0 && self.open == 0
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
fn a_client_that_connects_as_the_handler_finishes_is_served() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    reactor.drain_on_shutdown();
    let at = reactor.addresses()[0];
    let first = std::thread::spawn(move || ask(&mut TcpStream::connect(at).unwrap(), b"first"));
    let mut handler = LastMoment { at, late: None, open: 0, disconnected: 0 };
    assert_eq!(reactor.run(&mut handler).unwrap(), RunOutcome::Finished);
    assert_eq!(&first.join().unwrap(), b"first");
    drop(reactor);
    let (mut late, mut answer) = (handler.late.expect("it came"), [0; 5]);
    late.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let read = late.read_exact(&mut answer);
    assert!(read.is_ok() && &answer == b"late!", "its request came on a connection that was made: {read:?}");
    assert!(TcpStream::connect(at).is_err(), "nobody comes after it");
}
