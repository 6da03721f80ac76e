//! The relay: its listeners, its scheduled faults, and the connections and datagrams that it forwards.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler, ListenerState};
use tideroute_wire::{Address, Micros};

use crate::config::{RelayConfig, Route};
use crate::connection_pair::ConnectionPair;
use crate::fault::Direction;
use crate::fault_injector::FaultInjector;
use crate::timer_key::TimerKey;

/// Microseconds after which a connection attempt to the peer fails. The process that connects through the relay has a
/// shorter timeout of its own.
const CONNECT_TIMEOUT: Micros = 60_000_000;
/// Maximum number of datagrams that wait to be forwarded; further ones are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 20_000;

/// The pair to which a connection belongs, and the direction of the bytes that are received on it.
#[derive(Clone, Copy)]
struct PairSide {
    pair: u64,
    direction: Direction,
}

/// A datagram that waits to be forwarded.
struct DelayedDatagram {
    socket: usize,
    bytes: Bytes,
}

/// A relay. The event loop that drives it must not split its connections into frames.
pub struct Relay {
    listeners: Vec<Route>,
    datagram_sockets: Vec<Route>,
    injector: FaultInjector,
    pairs: BTreeMap<u64, ConnectionPair>,
    sides: HashMap<ConnectionId, PairSide>,
    /// The number of the latest connection pair or delayed datagram.
    last_number: u64,
    delayed_datagrams: BTreeMap<u64, DelayedDatagram>,
    is_shutting_down: bool,
}

impl Relay {
    /// Creates a relay. The times of its faults are counted from the start of the event loop.
    pub fn new(config: RelayConfig) -> Relay {
        Relay {
            listeners: config.listeners,
            datagram_sockets: config.datagram_sockets,
            injector: FaultInjector::new(config.faults, config.seed),
            pairs: BTreeMap::new(),
            sides: HashMap::new(),
            last_number: 0,
            delayed_datagrams: BTreeMap::new(),
            is_shutting_down: false,
        }
    }

    /// Forwards the bytes of a pair that are due, and closes the pair once one side has ended and all of its
    /// bytes have been forwarded.
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
            if stream.source_ended && stream.is_empty() && !blocked {
                effects.close(target, "the other side of the relayed connection source_ended");
                return self.remove_pair(number);
            }
            if !stream.source_ended {
                stream.update_reading(source, blocked, effects);
            }
        }
    }

    /// Removes a pair without closing its connections.
    fn remove_pair(&mut self, number: u64) {
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
        self.remove_pair(number);
    }

    fn send_datagram(&self, socket: usize, bytes: Bytes, effects: &mut Effects) {
        if let Some(route) = self.datagram_sockets.get(socket) {
            effects.send_datagram(socket, route.to, bytes);
        }
    }

    /// Handles the start or end of a fault: sets listeners and connections to the state that the active faults require.
    fn apply_fault(&mut self, fault: usize, now: Micros, effects: &mut Effects) {
        for listener in 0..self.listeners.len() {
            let route = &self.listeners[listener];
            if !route.faults.contains(&fault) {
                continue;
            }
            let state = self.injector.listener_state(route, now);
            effects.set_listener_state(listener, state);
            for number in self.pairs_of_listener(listener) {
                if state == ListenerState::Refusing {
                    self.reset(number, effects);
                } else {
                    self.forward(number, now, effects);
                }
            }
        }
    }

    fn pairs_of_listener(&self, listener: usize) -> Vec<u64> {
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

    fn on_data(&mut self, now: Micros, connection: ConnectionId, chunk: &Bytes, effects: &mut Effects) {
        let Some(&side) = self.sides.get(&connection) else { return };
        let Some(pair) = self.pairs.get_mut(&side.pair) else { return };
        let route = &self.listeners[pair.listener];
        let at = self.injector.forward_time(route, side.direction, now);
        pair.stream(side.direction).push(at, chunk);
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
            // The connection to the peer failed. The process that connected is reset, as the peer could not be reached
            // without a relay either.
            effects.reset(pair.target(side.direction));
            return self.remove_pair(side.pair);
        }
        pair.stream(side.direction).source_ended = true;
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
        let Some(at) = self.injector.datagram_forward_time(route, now) else { return };
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
        self.is_shutting_down = true;
    }

    fn is_finished(&self) -> bool {
        self.is_shutting_down
    }
}
