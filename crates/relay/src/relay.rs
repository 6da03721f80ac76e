//! The relay itself: its listeners, its script of faults, and the connections that pass.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler, ListenerState};
use tideroute_wire::{Address, Micros};

use crate::config::{RelayConfig, Route};
use crate::connection_pair::ConnectionPair;
use crate::fault::Direction;
use crate::fault_injector::FaultInjector;
use crate::timer_key::TimerKey;

/// Microseconds until an attempt to connect to the peer is given up; the process that connects through the relay has a
/// shorter timeout of its own.
const CONNECT_TIMEOUT: Micros = 60_000_000;
/// Datagrams that are delayed at once; further ones are lost.
const MAX_DELAYED_DATAGRAMS: usize = 20_000;

/// The pair to which a connection belongs, and the direction of what arrives on it.
#[derive(Clone, Copy)]
struct PairSide {
    pair: u64,
    direction: Direction,
}

/// A datagram that waits to go on.
struct DelayedDatagram {
    socket: usize,
    bytes: Bytes,
}

/// A relay, to be driven by an event loop with raw connections.
pub struct Relay {
    listeners: Vec<Route>,
    datagram_sockets: Vec<Route>,
    injector: FaultInjector,
    pairs: BTreeMap<u64, ConnectionPair>,
    sides: HashMap<ConnectionId, PairSide>,
    /// The number of the latest pair or delayed datagram.
    last_number: u64,
    delayed_datagrams: BTreeMap<u64, DelayedDatagram>,
    shutting_down: bool,
}

impl Relay {
    /// A relay whose script begins with its start.
    pub fn new(config: RelayConfig) -> Relay {
        Relay {
            listeners: config.listeners,
            datagram_sockets: config.datagram_sockets,
            injector: FaultInjector::new(config.faults, config.seed),
            pairs: BTreeMap::new(),
            sides: HashMap::new(),
            last_number: 0,
            delayed_datagrams: BTreeMap::new(),
            shutting_down: false,
        }
    }

    /// Forwards what is due on a pair, and closes it once one side has ended and all of its bytes have gone on.
    fn forward(&mut self, number: u64, now: Micros, effects: &mut Effects) {
        let Some(pair) = self.pairs.get_mut(&number) else { return };
        let route = &self.listeners[pair.listener];
        for direction in Direction::BOTH {
            let source = pair.source(direction);
            let target = pair.target(direction);
            let blocked = self.injector.is_blocked(route, direction, now);
            let stream = pair.stream(direction);
            if !blocked {
                if let Some(next) = stream.send_due(now, target, effects) {
                    effects.set_timer(next, TimerKey::Pair(number).encode());
                }
            }
            if stream.ended && stream.is_empty() && !blocked {
                effects.close(target, "the other side has ended");
                return self.forget(number);
            }
            if !stream.ended {
                stream.update_reading(source, blocked, effects);
            }
        }
    }

    fn forget(&mut self, number: u64) {
        let Some(pair) = self.pairs.remove(&number) else { return };
        for connection in pair.connections {
            self.sides.remove(&connection);
        }
    }

    /// Resets both connections of a pair.
    fn reset(&mut self, number: u64, effects: &mut Effects) {
        if let Some(pair) = self.pairs.get(&number) {
            for connection in pair.connections {
                effects.reset(connection);
            }
        }
        self.forget(number);
    }

    fn send_datagram(&self, socket: usize, bytes: Bytes, effects: &mut Effects) {
        if let Some(route) = self.datagram_sockets.get(socket) {
            effects.send_datagram(socket, route.to, bytes);
        }
    }

    /// A fault begins or ends: brings listeners and connections into the state that the active faults demand.
    fn apply_fault(&mut self, fault: usize, now: Micros, effects: &mut Effects) {
        for listener in 0..self.listeners.len() {
            let route = &self.listeners[listener];
            if !route.faults.contains(&fault) {
                continue;
            }
            let state = self.injector.listener_state(route, now);
            effects.set_listener_state(listener, state);
            for number in self.pairs_of(listener) {
                if state == ListenerState::Refusing {
                    self.reset(number, effects);
                } else {
                    self.forward(number, now, effects);
                }
            }
        }
    }

    fn pairs_of(&self, listener: usize) -> Vec<u64> {
        let pairs = self.pairs.iter().filter(|(_, pair)| pair.listener == listener);
        pairs.map(|(number, _)| *number).collect()
    }
}

impl EventHandler for Relay {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.injector.start(now);
        for (index, fault) in self.injector.faults().iter().enumerate() {
            let key = TimerKey::Fault(index).encode();
            effects.set_timer(now + fault.from, key);
            effects.set_timer(now + fault.until, key);
        }
    }

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, listener: usize, effects: &mut Effects) {
        let Some(route) = self.listeners.get(listener) else { return effects.reset(connection) };
        let outbound = effects.connect(route.to, CONNECT_TIMEOUT);
        self.last_number += 1;
        let number = self.last_number;
        self.sides.insert(connection, PairSide { pair: number, direction: Direction::Forward });
        self.sides.insert(outbound, PairSide { pair: number, direction: Direction::Backward });
        self.pairs.insert(number, ConnectionPair::new(listener, connection, outbound));
        self.forward(number, now, effects);
    }

    fn on_connected(&mut self, _now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(side) = self.sides.get(&connection) else { return };
        if let Some(pair) = self.pairs.get(&side.pair) {
            let [accepted, outbound] = pair.connections;
            effects.joined(accepted, outbound);
        }
    }

    fn on_data(&mut self, now: Micros, connection: ConnectionId, part: &Bytes, effects: &mut Effects) {
        let Some(&side) = self.sides.get(&connection) else { return };
        let Some(pair) = self.pairs.get_mut(&side.pair) else { return };
        let route = &self.listeners[pair.listener];
        let at = self.injector.forward_at(route, side.direction, now);
        pair.stream(side.direction).push(at, part);
        self.forward(side.pair, now, effects);
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(&side) = self.sides.get(&connection) else { return };
        let Some(pair) = self.pairs.get_mut(&side.pair) else { return };
        if reason != DisconnectReason::Reset {
            // The peer was not reached: the process that connected is refused, as without a relay.
            effects.reset(pair.target(side.direction));
            return self.forget(side.pair);
        }
        pair.stream(side.direction).ended = true;
        self.forward(side.pair, now, effects);
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        backpressure: bool,
        effects: &mut Effects,
    ) {
        let Some(&side) = self.sides.get(&connection) else { return };
        if let Some(pair) = self.pairs.get_mut(&side.pair) {
            pair.stream(side.direction.reverse()).backpressure = backpressure;
        }
        self.forward(side.pair, now, effects);
    }

    fn on_datagram(
        &mut self,
        now: Micros,
        socket: usize,
        _from: Address,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let Some(route) = self.datagram_sockets.get(socket) else { return };
        let Some(at) = self.injector.forward_datagram_at(route, now) else { return };
        if at <= now {
            return self.send_datagram(socket, bytes.clone(), effects);
        }
        if self.delayed_datagrams.len() < MAX_DELAYED_DATAGRAMS {
            self.last_number += 1;
            let datagram = DelayedDatagram { socket, bytes: bytes.clone() };
            self.delayed_datagrams.insert(self.last_number, datagram);
            effects.set_timer(at, TimerKey::Datagram(self.last_number).encode());
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        match TimerKey::decode(key) {
            TimerKey::Fault(index) => self.apply_fault(index, now, effects),
            TimerKey::Pair(number) => self.forward(number, now, effects),
            TimerKey::Datagram(number) => {
                if let Some(datagram) = self.delayed_datagrams.remove(&number) {
                    self.send_datagram(datagram.socket, datagram.bytes, effects);
                }
            }
        }
    }

    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {
        self.shutting_down = true;
    }

    fn is_finished(&self) -> bool {
        self.shutting_down
    }
}
