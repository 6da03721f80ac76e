//! Runs programs in virtual time, in one process and one thread. What a program sends arrives after the delay of the
//! network, in order on each connection. Nothing depends on the machine, so that every run has the same events in the same
//! order. All traffic is captured in the form that real processes write, and can be checked by the same rules.

mod captures;
mod connections;
mod event_queue;

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use bytes::Bytes;
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::event_loop::{ConnectionId, Effect, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

use connections::ConnectionEnd;
use event_queue::{Event, ScheduledEvent};

/// A node: a place where a program can run, be killed and be restarted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct NodeId(pub usize);

struct Node {
    name: String,
    role: String,
    address: Option<Address>,
    program: Option<Box<dyn EventHandler>>,
    effects: Effects,
    /// Number of times that a program was started here; events for an earlier incarnation are discarded.
    incarnation: u32,
    process: u32,
    /// Connections accepted so far by all incarnations, so that no two have the same number.
    accepted: u64,
    persisted: Option<Bytes>,
    /// Whether the node is paused; its events are deferred.
    paused: bool,
    /// Events that are deferred while the node is paused.
    deferred: Vec<ScheduledEvent>,
    /// Whether the node is partitioned from the network: frames that it sends and frames for it are lost, but its
    /// connections stay open.
    partitioned: bool,
}

/// Runs programs at nodes in virtual time.
pub struct Simulator {
    now: Micros,
    delay: Micros,
    sequence: u64,
    queue: BinaryHeap<ScheduledEvent>,
    nodes: Vec<Node>,
    connection_ends: HashMap<(NodeId, ConnectionId), ConnectionEnd>,
    /// The node that listens at each address.
    listens: BTreeMap<Address, NodeId>,
    processes: Vec<CapturedProcess>,
    captured: Vec<CapturedFrame>,
    events: u64,
}

impl Simulator {
    /// Creates a simulator whose time begins at `now`. `delay` is the network delay between any two nodes, one way.
    pub fn new(now: Micros, delay: Micros) -> Simulator {
        Simulator {
            now,
            delay,
            sequence: 0,
            queue: BinaryHeap::new(),
            nodes: vec![],
            connection_ends: HashMap::new(),
            listens: BTreeMap::new(),
            processes: vec![],
            captured: vec![],
            events: 0,
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the number of events that were dispatched.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Adds a node, which listens if it has an address.
    pub fn add_node(&mut self, name: &str, role: &str, address: Option<Address>) -> NodeId {
        let id = NodeId(self.nodes.len());
        self.nodes.push(Node {
            name: name.into(),
            role: role.into(),
            address,
            program: None,
            effects: Effects::default(),
            incarnation: 0,
            process: 0,
            accepted: 0,
            persisted: None,
            paused: false,
            deferred: vec![],
            partitioned: false,
        });
        self.listens.extend(address.map(|address| (address, id)));
        id
    }

    /// Deletes what the program at a node has persisted.
    pub fn forget(&mut self, id: NodeId) {
        self.nodes[id.0].persisted = None;
    }

    /// Returns what the program at a node has persisted last.
    pub fn persisted(&self, id: NodeId) -> Option<Bytes> {
        self.nodes[id.0].persisted.clone()
    }

    /// Returns whether a program runs at a node.
    pub fn runs(&self, id: NodeId) -> bool {
        self.nodes[id.0].program.is_some()
    }

    /// Starts a program at a node.
    pub fn start(&mut self, id: NodeId, program: Box<dyn EventHandler>) {
        let number = self.processes.len() as u32 + 1;
        let node = &mut self.nodes[id.0];
        (node.incarnation, node.process) = (node.incarnation + 1, number);
        node.program = Some(program);
        let process_info = CapturedProcess {
            number,
            name: node.name.clone(),
            role: node.role.clone(),
            address: node.address,
        };
        self.processes.push(process_info);
        self.capture_event(id, ConnectionId(0), CaptureEvent::ProcessStarted, 0, &Bytes::new());
        self.call(id, |program, now, effects| program.on_start(now, effects));
    }

    /// Kills the program at a node; its peers find their connections reset.
    pub fn kill(&mut self, id: NodeId) {
        if self.nodes[id.0].program.take().is_none() {
            return;
        }
        self.capture_event(id, ConnectionId(0), CaptureEvent::ProcessKilled, 0, &Bytes::new());
        let mut connections: Vec<_> = self
            .connection_ends
            .keys()
            .filter(|(node, _)| *node == id)
            .map(|(_, connection)| *connection)
            .collect();
        connections.sort_unstable();
        for connection in connections {
            self.disconnect(id, connection);
        }
    }

    /// Pauses a node; events are deferred until it is resumed.
    pub fn pause(&mut self, id: NodeId) {
        self.nodes[id.0].paused = true;
        self.capture_event(id, ConnectionId(0), CaptureEvent::ProcessPaused, 0, &Bytes::new());
    }

    /// Resumes a paused node.
    pub fn resume(&mut self, id: NodeId) {
        self.nodes[id.0].paused = false;
        self.capture_event(id, ConnectionId(0), CaptureEvent::ProcessResumed, 0, &Bytes::new());
        for mut event in std::mem::take(&mut self.nodes[id.0].deferred) {
            event.at = self.now;
            self.queue.push(event);
        }
    }

    /// Partitions a node from the network or heals it; no connection ends.
    pub fn set_partitioned(&mut self, id: NodeId, partitioned: bool) {
        self.nodes[id.0].partitioned = partitioned;
    }

    /// Delivers a message to the program at a node, as another thread of its process would.
    pub fn send_message(&mut self, id: NodeId, message: &Bytes) {
        self.call(id, |program, now, effects| program.on_message(now, message, effects));
    }

    /// Asks the program at a node to shut down.
    pub fn stop(&mut self, id: NodeId) {
        self.call(id, |program, now, effects| program.on_shutdown(now, effects));
    }

    /// Runs until a point in virtual time.
    pub fn run_until(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|scheduled| scheduled.at <= until) {
            let Some(scheduled) = self.queue.pop() else { break };
            self.now = self.now.max(scheduled.at);
            self.dispatch(scheduled);
        }
        self.now = self.now.max(until);
    }

    /// Schedules an event for an incarnation of a node.
    fn schedule(&mut self, at: Micros, node: NodeId, incarnation: u32, event: Event) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent { at, sequence: self.sequence, node, incarnation, event });
    }

    /// Delivers an event to its node; discards it if the incarnation has ended, and defers it if the node is paused.
    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        let state = &mut self.nodes[scheduled.node.0];
        if state.incarnation != scheduled.incarnation || state.program.is_none() {
            return;
        }
        if state.paused {
            return state.deferred.push(scheduled);
        }
        let ScheduledEvent { node, event, .. } = scheduled;
        self.events += 1;
        match event {
            Event::Timer(key) => self.call(node, |program, now, effects| program.on_timer(now, key, effects)),
            Event::Accepted(connection) => {
                self.capture_established(node, connection, CaptureEvent::Accepted);
                self.call(node, |program, now, effects| program.on_accepted(now, connection, 0, effects));
            }
            Event::Connected(connection) => {
                self.capture_established(node, connection, CaptureEvent::Connected);
                if let Some(end) = self.connection_ends.get_mut(&(node, connection)) {
                    end.established = true;
                }
                self.call(node, |program, now, effects| program.on_connected(now, connection, effects));
            }
            Event::Frame(connection, frame) => {
                let Some(end) = self.connection_ends.get_mut(&(node, connection)).filter(|end| end.open)
                else {
                    return;
                };
                if end.paused || !end.waiting.is_empty() {
                    return end.waiting.push_back(frame);
                }
                self.deliver(node, connection, &frame);
            }
            Event::ReadResumed(connection) => loop {
                let end =
                    self.connection_ends.get_mut(&(node, connection)).filter(|end| end.open && !end.paused);
                let Some(frame) = end.and_then(|end| end.waiting.pop_front()) else { return };
                self.deliver(node, connection, &frame);
            },
            Event::Disconnected(connection, reason) => self.lose(node, connection, reason),
        }
    }

    /// Calls the program at a node and executes its effects.
    fn call(&mut self, id: NodeId, call: impl FnOnce(&mut dyn EventHandler, Micros, &mut Effects)) {
        let (now, node) = (self.now, &mut self.nodes[id.0]);
        let Some(mut program) = node.program.take() else { return };
        let mut effects = std::mem::take(&mut node.effects);
        let incarnation = node.incarnation;
        call(program.as_mut(), now, &mut effects);
        program.on_iteration(now, &mut effects);
        let (effects_to_run, finished) = (effects.take(), program.is_finished());
        let node = &mut self.nodes[id.0];
        (node.program, node.effects) = (Some(program), effects);
        for effect in effects_to_run {
            if self.nodes[id.0].incarnation == incarnation && self.nodes[id.0].program.is_some() {
                self.execute(id, effect);
            }
        }
        if finished && self.nodes[id.0].program.is_some() {
            let mut open: Vec<_> = self
                .connection_ends
                .iter()
                .filter(|((node, _), end)| *node == id && end.open)
                .map(|((_, connection), _)| *connection)
                .collect();
            open.sort_unstable();
            for connection in open {
                self.capture_end(id, connection);
                self.disconnect(id, connection);
            }
            self.capture_event(id, ConnectionId(0), CaptureEvent::ProcessExited, 0, &Bytes::new());
            self.nodes[id.0].program = None;
        }
    }

    /// Executes one effect of the program at a node.
    fn execute(&mut self, id: NodeId, effect: Effect) {
        let incarnation = self.nodes[id.0].incarnation;
        match effect {
            Effect::Connect { connection, to, timeout } => self.connect(id, connection, to, timeout),
            Effect::Send { connection, frame } => self.send(id, connection, frame),
            // Everything that was sent is already on its way, so that closing, aborting and resetting are the same.
            Effect::Close { connection, .. }
            | Effect::Abort { connection }
            | Effect::Reset { connection } => {
                if self.connection_ends.get(&(id, connection)).is_some_and(|end| end.open) {
                    self.capture_end(id, connection);
                    self.disconnect(id, connection);
                }
            }
            // Relays run only as processes, and no program here annotates captures or receives datagrams.
            Effect::SetListenerState { .. }
            | Effect::Joined { .. }
            | Effect::Datagram { .. }
            | Effect::AnnotateCapture { .. } => {}
            Effect::SetTimer { at, key } => {
                self.schedule(at.max(self.now), id, incarnation, Event::Timer(key))
            }
            Effect::PauseReading { connection, paused } => {
                let Some(end) = self.connection_ends.get_mut(&(id, connection)) else { return };
                end.paused = paused;
                if !paused {
                    self.schedule(self.now, id, incarnation, Event::ReadResumed(connection));
                }
            }
            Effect::Persist { bytes } => self.nodes[id.0].persisted = Some(bytes),
            Effect::Publish { .. } => {}
            Effect::Crash => self.kill(id),
        }
    }
}
