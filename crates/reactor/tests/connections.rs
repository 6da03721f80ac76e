//! Runs the loop on real loopback sockets, with scripted handlers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tideroute_reactor::connection::{HIGH_WATERMARK, MAX_BUFFERED};
use tideroute_reactor::{shared_listeners, Reactor, RunOutcome};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

/// A call that the loop made to the handler.
#[derive(Debug, PartialEq)]
enum Observed {
    Accepted(ConnectionId),
    Connected,
    Received(Bytes),
    Disconnected(DisconnectReason),
    Backpressure(bool),
    WriteComplete,
    TimerFired(u64),
}

/// Reports all calls and runs its script on each; finishes when it receives the frame `end`.
struct ScriptedHandler<F> {
    observed: Sender<Observed>,
    script: F,
    finished: bool,
}

impl<F: FnMut(&Observed, ConnectionId, &mut Effects, Micros)> ScriptedHandler<F> {
    fn observe(&mut self, now: Micros, connection: ConnectionId, call: Observed, effects: &mut Effects) {
        (self.script)(&call, connection, effects, now);
        self.finished |= call == Observed::Received(Bytes::from_static(b"end"));
        let _ = self.observed.send(call);
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
    fn on_write_complete(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        self.observe(now, connection, Observed::WriteComplete, effects);
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

/// The address of a running loop, the calls that its handler reports, and its thread.
type Run = (SocketAddr, Receiver<Observed>, JoinHandle<RunOutcome>);

/// Runs a loop with a scripted handler on a thread of its own.
fn run(script: impl FnMut(&Observed, ConnectionId, &mut Effects, Micros) + Send + 'static) -> Run {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    let (address, (observed, calls)) = (reactor.addresses()[0], channel());
    let mut handler = ScriptedHandler { observed, script, finished: false };
    (address, calls, std::thread::spawn(move || reactor.run(&mut handler).unwrap()))
}

/// Returns the next call that a handler reported; the test fails if none is reported within 20 seconds.
fn next_call(calls: &Receiver<Observed>) -> Observed {
    calls.recv_timeout(Duration::from_secs(20)).expect("the handler reports a call in time")
}

/// Returns the wire form of a frame.
fn frame(body: &[u8]) -> Vec<u8> {
    let mut wire = bytes::BytesMut::new();
    tideroute_wire::frame::put(&mut wire, body);
    wire.to_vec()
}

/// Returns the wire form of a loopback address.
fn wire_address(address: SocketAddr) -> Address {
    let port = address.port().to_be_bytes();
    [127, 0, 0, 1, port[0], port[1]]
}

/// Finishes a handler by sending it the frame `end`, and waits for its loop to end.
fn finish(address: SocketAddr, thread: JoinHandle<RunOutcome>) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&frame(b"end")).unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

#[test]
fn frames_arrive_complete_and_in_order_both_ways() {
    let (address, _calls, thread) = run(|call, connection, effects, _| {
        if let Observed::Received(frame) = call {
            effects.send(connection, frame.clone());
        }
    });
    let mut stream = TcpStream::connect(address).unwrap();
    let sent: Vec<u8> =
        (0..3000u32).flat_map(|index| frame(&vec![index as u8; index as usize % 700])).collect();
    let (mut echoed, mut reader) = (vec![0; sent.len()], stream.try_clone().unwrap());
    let copy = sent.clone();
    let writer =
        std::thread::spawn(move || copy.chunks(777).for_each(|chunk| stream.write_all(chunk).unwrap()));
    reader.read_exact(&mut echoed).unwrap();
    writer.join().unwrap();
    assert!(echoed == sent);
    finish(address, thread);
}

#[test]
fn a_peer_that_does_not_read_raises_backpressure_and_is_then_disconnected() {
    let chunk = Bytes::from(vec![7; 64 << 10]);
    let mut accepted = false;
    let (address, calls, thread) = run(move |call, _, effects, now| match call {
        // Sends a chunk each time the timer fires, until the connection is lost.
        Observed::Accepted(ConnectionId(0)) => {
            accepted = true;
            effects.set_timer(now, 0);
        }
        Observed::TimerFired(0) if accepted => {
            effects.send(ConnectionId(0), chunk.clone());
            effects.set_timer(now + 200, 0);
        }
        _ => {}
    });
    let stream = TcpStream::connect(address).unwrap();
    let mut backpressure = false;
    loop {
        match next_call(&calls) {
            Observed::Backpressure(true) => backpressure = true,
            Observed::Disconnected(reason) => break assert_eq!(reason, DisconnectReason::Reset),
            _ => {}
        }
    }
    assert!(backpressure, "the connection was closed without a notification of backpressure");
    // The bytes that the peer can still read are bounded by the loop's limit and the kernel buffers of both ends.
    let mut received = 0;
    let mut stream = stream;
    let mut buffer = vec![0; 1 << 20];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        received += length;
    }
    assert!(
        received < MAX_BUFFERED + (16 << 20) && MAX_BUFFERED > HIGH_WATERMARK,
        "the peer read {received} bytes"
    );
    finish(address, thread);
}

#[test]
fn backpressure_ends_when_the_peer_reads_again() {
    let mut notified = false;
    let (address, calls, thread) = run(move |call, _, effects, now| match call {
        Observed::Accepted(ConnectionId(0)) => effects.set_timer(now, 5),
        Observed::Backpressure(backpressure) => notified |= *backpressure,
        // Keeps sending until there is backpressure, however much the kernel buffers.
        Observed::TimerFired(5) if !notified => {
            effects.send(ConnectionId(0), vec![1; 50 << 10].into());
            effects.set_timer(now + 200, 5);
        }
        _ => {}
    });
    let mut stream = TcpStream::connect(address).unwrap();
    while next_call(&calls) != Observed::Backpressure(true) {}
    let reader = std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
    while next_call(&calls) != Observed::Backpressure(false) {}
    finish(address, thread);
    assert!(reader.join().unwrap().unwrap_or(0) > 0);
}

#[test]
fn a_frame_is_not_delivered_while_reading_is_paused() {
    let (address, calls, thread) = run(|call, connection, effects, now| match call {
        Observed::Accepted(ConnectionId(0)) => {
            effects.pause_reading(connection, true);
            effects.set_timer(now + 50_000, 9);
        }
        Observed::TimerFired(9) => effects.pause_reading(ConnectionId(0), false),
        _ => {}
    });
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&frame(b"late")).unwrap();
    assert_eq!(next_call(&calls), Observed::Accepted(ConnectionId(0)));
    // The timer fires first, although the frame arrived long before.
    assert_eq!(next_call(&calls), Observed::TimerFired(9));
    assert_eq!(next_call(&calls), Observed::Received(Bytes::from_static(b"late")));
    finish(address, thread);
}

#[test]
fn failed_connects_are_reported_and_frames_are_queued_until_connected() {
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (server_address, server_calls, server_thread) = run(|_, _, _, _| {});
    let (reachable, unreachable) = (wire_address(server_address), wire_address(unused_address));
    let (client_address, calls, client_thread) = run(move |call, _, effects, _| {
        if matches!(call, Observed::TimerFired(0)) {
            effects.connect(unreachable, 1_000_000);
            let connection = effects.connect(reachable, 1_000_000);
            effects.send(connection, Bytes::from_static(b"early"));
        }
    });
    let mut results = vec![next_call(&calls), next_call(&calls)];
    results.sort_by_key(|call| *call == Observed::Connected);
    assert_eq!(results, [Observed::Disconnected(DisconnectReason::ConnectFailed), Observed::Connected]);
    assert!(matches!(next_call(&server_calls), Observed::Accepted(_)));
    assert_eq!(next_call(&server_calls), Observed::Received(Bytes::from_static(b"early")));
    finish(client_address, client_thread);
    finish(server_address, server_thread);
}

#[test]
fn a_crash_resets_all_connections() {
    let (address, _calls, thread) = run(|call, _, effects, _| {
        if matches!(call, Observed::Received(_)) {
            effects.crash();
        }
    });
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&frame(b"go")).unwrap();
    assert!(!matches!(stream.read(&mut [0; 8]), Ok(1..)));
    assert_eq!(thread.join().unwrap(), RunOutcome::Crashed);
}

/// Guards against lost output: closing a socket with unread input resets the connection, and the peer may then lose the
/// bytes that were sent just before.
#[test]
fn a_raw_connection_closed_while_its_peer_sends_is_not_reset() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let address = reactor.addresses()[0];
    let script = |call: &Observed, connection, effects: &mut Effects, now| match call {
        Observed::Received(_) if connection == ConnectionId(0) => {
            effects.send(connection, Bytes::from_static(b"answer"));
            effects.pause_reading(connection, true);
            effects.set_timer(now + 100_000, 9);
        }
        Observed::TimerFired(9) => effects.close(ConnectionId(0), "idle"),
        _ => {}
    };
    let (observed, calls) = channel();
    let mut handler = ScriptedHandler { observed, script, finished: false };
    let thread = std::thread::spawn(move || reactor.run(&mut handler).unwrap());
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"ask").unwrap();
    assert_eq!(next_call(&calls), Observed::Accepted(ConnectionId(0)));
    assert_eq!(next_call(&calls), Observed::Received(Bytes::from_static(b"ask")));
    stream.write_all(b"ask again").unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("the connection ends without a reset");
    assert_eq!(response, b"answer");
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(b"more").expect("further input is read and does not cause a reset");
    }
    drop(stream);
    let mut last = TcpStream::connect(address).unwrap();
    last.write_all(b"end").unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

/// Guards against a second copy of each large body that is being sent, which no limit of memory counts.
#[test]
fn a_large_frame_that_waits_to_be_written_is_not_copied() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let address = reactor.addresses()[0];
    // More than the kernel takes for a peer that does not read.
    let frame = Bytes::from(vec![7; MAX_BUFFERED]);
    let is_shared = Arc::new(AtomicBool::new(false));
    let was_shared = is_shared.clone();
    let script = move |call: &Observed, connection, effects: &mut Effects, now| match call {
        Observed::Accepted(ConnectionId(0)) => {
            effects.send(connection, frame.clone());
            effects.set_timer(now + 100_000, 9);
        }
        Observed::TimerFired(9) => is_shared.store(!frame.is_unique(), Ordering::Relaxed),
        _ => {}
    };
    let (observed, calls) = channel();
    let mut handler = ScriptedHandler { observed, script, finished: false };
    let thread = std::thread::spawn(move || reactor.run(&mut handler).unwrap());
    let stream = TcpStream::connect(address).unwrap();
    while next_call(&calls) != Observed::TimerFired(9) {}
    assert!(was_shared.load(Ordering::Relaxed), "the loop waits to write a copy of the frame");
    drop(stream);
    let mut last = TcpStream::connect(address).unwrap();
    last.write_all(b"end").unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

/// Sends to its first connection until there is backpressure and then to its second one, each time by a timer. Sends the
/// order in which the connections were lost, with the bytes sent to the second one since its backpressure began.
fn send_to_two_peers_that_do_not_read(lost: Sender<(ConnectionId, usize)>) -> SocketAddr {
    let chunk = Bytes::from(vec![7; 64 << 10]);
    let (mut accepted, mut target, mut sent_under_backpressure) = (0, ConnectionId(0), None);
    let script = move |call: &Observed, connection, effects: &mut Effects, now| match call {
        Observed::Accepted(_) => {
            accepted += 1;
            effects.set_timer(now, 0);
        }
        Observed::TimerFired(0) if accepted == 2 => {
            effects.send(target, chunk.clone());
            sent_under_backpressure = sent_under_backpressure.map(|sent| sent + chunk.len());
            effects.set_timer(now + 200, 0);
        }
        Observed::Backpressure(true) if connection == ConnectionId(0) => target = ConnectionId(1),
        Observed::Backpressure(true) => sent_under_backpressure = Some(0),
        Observed::Disconnected(_) => drop(lost.send((connection, sent_under_backpressure.unwrap_or(0)))),
        _ => {}
    };
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    reactor.limit_unsent_responses(UNSENT_LIMIT);
    let address = reactor.addresses()[0];
    let mut handler = ScriptedHandler { observed: channel().0, script, finished: false };
    std::thread::spawn(move || reactor.run(&mut handler));
    address
}

/// The limit of output on all connections together in the test of that limit.
const UNSENT_LIMIT: usize = 512 << 10;

/// Guards against output that grows without a common limit for peers that do not read: 4 MB on each connection.
#[test]
fn the_peer_that_has_read_nothing_for_longest_is_disconnected_when_too_much_output_waits() {
    let (lost, lost_connections) = channel();
    let address = send_to_two_peers_that_do_not_read(lost);
    let streams = [TcpStream::connect(address).unwrap(), TcpStream::connect(address).unwrap()];
    let next_lost = || lost_connections.recv_timeout(Duration::from_secs(20)).expect("a lost connection");
    let (first, _) = next_lost();
    assert_eq!(first, ConnectionId(0), "the first to stop reading");
    let (second, sent) = next_lost();
    assert_eq!(second, ConnectionId(1), "one connection alone is limited too");
    assert!(sent <= UNSENT_LIMIT + (128 << 10), "{sent} bytes were queued");
    drop(streams);
}

/// Finishes once its first client has disconnected. In that iteration it connects a second client, which sends a
/// request and waits at the listener.
struct LateClientHandler {
    address: SocketAddr,
    late_client: Option<TcpStream>,
    open: usize,
    disconnected: usize,
}

impl EventHandler for LateClientHandler {
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
    fn on_data(&mut self, _now: Micros, connection: ConnectionId, request: &Bytes, effects: &mut Effects) {
        effects.send(connection, request.clone());
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
        if self.disconnected == 1 && self.late_client.is_none() {
            let mut late_client = TcpStream::connect(self.address).unwrap();
            late_client.write_all(b"late!").unwrap();
            late_client.shutdown(std::net::Shutdown::Write).unwrap();
            self.late_client = Some(late_client);
        }
    }
    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {}
    fn is_finished(&self) -> bool {
        // Does not count the client that waits at the listener, which the handler learns of only once it is accepted.
        self.disconnected > 0 && self.open == 0
    }
}

/// Sends a request of five bytes and reads a response of five bytes.
fn exchange(stream: &mut TcpStream, request: &[u8; 5]) -> [u8; 5] {
    let mut response = [0; 5];
    stream.write_all(request).unwrap();
    stream.read_exact(&mut response).unwrap();
    response
}

/// Guards against resetting a connection that was established while the handler was finishing.
#[test]
fn a_client_that_connects_as_the_handler_finishes_is_served() {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    reactor.drain_on_shutdown();
    let address = reactor.addresses()[0];
    let first = std::thread::spawn(move || exchange(&mut TcpStream::connect(address).unwrap(), b"first"));
    let mut handler = LateClientHandler { address, late_client: None, open: 0, disconnected: 0 };
    assert_eq!(reactor.run(&mut handler).unwrap(), RunOutcome::Finished);
    assert_eq!(&first.join().unwrap(), b"first");
    drop(reactor);
    let (mut late_client, mut response) = (handler.late_client.expect("the late client connected"), [0; 5]);
    late_client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let read = late_client.read_exact(&mut response);
    assert!(
        read.is_ok() && &response == b"late!",
        "the request on an established connection was not answered: {read:?}"
    );
    assert!(TcpStream::connect(address).is_err(), "the listener accepts no connection after the late client");
}

/// Bytes of a response that is larger than what the kernel buffers, and within what a connection may queue.
const LONG_RESPONSE: usize = 3 << 20;
/// Time without progress for which a slow peer must be waited for; a peer that reads steadily takes a part at a time.
const PEER_PAUSE: Duration = Duration::from_millis(3_000);

/// Runs a raw loop that sends a long response to its first connection when asked, and closes it if `closes` is set.
fn run_long_response(closes: bool) -> Run {
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let address = reactor.addresses()[0];
    let script = move |call: &Observed, connection, effects: &mut Effects, _| {
        if matches!(call, Observed::Received(_)) && connection == ConnectionId(0) {
            (0..LONG_RESPONSE >> 16).for_each(|_| effects.send(connection, vec![7; 64 << 10].into()));
            if closes {
                effects.close(connection, "closed after its last response");
            }
        }
    };
    let (observed, calls) = channel();
    let mut handler = ScriptedHandler { observed, script, finished: false };
    (address, calls, std::thread::spawn(move || reactor.run(&mut handler).unwrap()))
}

/// Ends a loop of [`run_long_response`].
fn finish_raw(address: SocketAddr, thread: JoinHandle<RunOutcome>) {
    let mut last = TcpStream::connect(address).unwrap();
    last.write_all(b"end").unwrap();
    assert_eq!(thread.join().unwrap(), RunOutcome::Finished);
}

/// Guards against long responses that are cut off although the peer reads them, only slowly: the connection was ended two
/// seconds after its last progress.
#[test]
fn a_raw_connection_is_closed_only_after_a_slow_peer_has_read_its_response() {
    let (address, _calls, thread) = run_long_response(true);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"ask").unwrap();
    let mut part = vec![0; 64 << 10];
    stream.read_exact(&mut part).unwrap();
    std::thread::sleep(PEER_PAUSE);
    let rest = std::io::copy(&mut stream, &mut std::io::sink()).expect("no reset");
    assert_eq!(part.len() + rest as usize, LONG_RESPONSE);
    finish_raw(address, thread);
}

/// Guards against peers that read a response slowly and count as peers that do not read, as the kernel's buffer hides it.
#[test]
fn a_raw_connection_reports_progress_while_backpressure_goes_on() {
    let (address, calls, thread) = run_long_response(false);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"ask").unwrap();
    let mut part = vec![0; LONG_RESPONSE / 12];
    let mut reports = 0;
    while next_call(&calls) != Observed::Backpressure(true) {}
    for _ in 0..6 {
        stream.read_exact(&mut part).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        reports += usize::from(calls.try_iter().any(|call| call == Observed::Backpressure(true)));
    }
    assert!(reports >= 5, "{reports} of 6 times a part was read, progress was reported");
    drop(stream);
    finish_raw(address, thread);
}

/// Guards against requests that are given up because a worker reads them a little later: the kernel has to take them whole.
#[test]
fn a_whole_request_is_written_to_a_peer_that_does_not_read_yet() {
    const REQUEST_BYTES: usize = 264 << 10;
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    // What the peer does not read is left to this side's buffers.
    socket2::SockRef::from(&peer).set_recv_buffer_size(4 << 10).unwrap();
    let peer_address = wire_address(peer.local_addr().unwrap());
    let mut reactor = Reactor::new(&["127.0.0.1:0".parse().unwrap()]).unwrap();
    reactor.set_raw(8);
    let address = reactor.addresses()[0];
    let script = move |call: &Observed, _, effects: &mut Effects, _| {
        if *call == Observed::TimerFired(0) {
            let connection = effects.connect(peer_address, 1_000_000);
            effects.send(connection, vec![7; REQUEST_BYTES].into());
        }
    };
    let (observed, calls) = channel();
    let mut handler = ScriptedHandler { observed, script, finished: false };
    let thread = std::thread::spawn(move || reactor.run(&mut handler).unwrap());
    let (_stream, _) = peer.accept().unwrap();
    while next_call(&calls) != Observed::WriteComplete {}
    finish_raw(address, thread);
}

/// Guards against cores that listen one after another: connections that arrive at the start then all go to the first
/// one, whose panic ends them all.
#[test]
fn connections_that_arrive_at_once_are_spread_over_all_shared_listeners() {
    const CONNECTIONS: usize = 48;
    let free_port = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = free_port.expect("a port");
    let listeners = shared_listeners(address, 3).expect("three listeners");
    // No loop runs yet; the connections wait at the listeners.
    let clients: Vec<_> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(address).expect("a connection")).collect();
    let waiting = |listener: &TcpListener| {
        listener.set_nonblocking(true).expect("a mode");
        std::iter::from_fn(|| listener.accept().ok()).count()
    };
    let accepted: Vec<_> = listeners.iter().map(waiting).collect();
    assert_eq!(accepted.iter().sum::<usize>(), clients.len());
    assert!(accepted.iter().all(|count| *count > 0), "{accepted:?}");
}
