//! Pairs the two ends of each connection, determines which processes talk on it, and checks that no frame is missing.

mod connection_end;
mod conversation;
mod router_origins;
mod unpaired_ends;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tideroute_wire::capture::{counted, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::{Address, Micros};

use crate::event_context::EventContext;
use crate::report::{Report, Rule};

use connection_end::{address_at, AddressPair, ConnectionEnd, FrameFlow};
use router_origins::RouterOrigins;
use unpaired_ends::{nearest_peer, Ends, UnpairedEnds};

pub use connection_end::EndKey;
pub use conversation::{role, Conversation, Purpose};

/// All connections of a capture.
pub struct Connections {
    roles: BTreeMap<u32, String>,
    /// The role of the process that listens at an address.
    listener_roles: HashMap<Address, String>,
    ends: Ends,
    unpaired: UnpairedEnds,
    /// The router's end of each client connection, by the client's end; kept until the end of the capture.
    client_peers: HashMap<EndKey, EndKey>,
    killed: BTreeSet<u32>,
    origins: RouterOrigins,
}

impl Connections {
    pub fn new(processes: &[CapturedProcess]) -> Connections {
        let listeners = processes.iter().filter_map(|process| Some((process.address?, process.role.clone())));
        Connections {
            roles: processes.iter().map(|process| (process.number, process.role.clone())).collect(),
            listener_roles: listeners.collect(),
            ends: Ends::new(),
            unpaired: UnpairedEnds::default(),
            client_peers: HashMap::new(),
            killed: BTreeSet::new(),
            origins: RouterOrigins::default(),
        }
    }

    /// Processes one event. Returns the conversation that the event belongs to, if that is known.
    pub fn handle_event(&mut self, context: &mut EventContext) -> Option<Conversation> {
        let captured = context.captured;
        let key = EndKey::of(captured);
        match captured.event {
            CaptureEvent::Connecting => {
                self.connecting(key, context);
                self.find_peer(key, context);
            }
            CaptureEvent::Connected => {
                self.connected(key, captured);
                self.find_peer(key, context);
            }
            CaptureEvent::Accepted => {
                self.accepted(key, captured);
                self.find_peer(key, context);
            }
            CaptureEvent::ConnectFailed => {
                let end = self.ends.entry(key).or_default();
                end.connect_failed = true;
                end.closed_at = Some(captured.at);
            }
            CaptureEvent::Closed => self.closed(key, context),
            CaptureEvent::Sent | CaptureEvent::Received => return self.frame(key, context),
            CaptureEvent::Joined => {
                self.relay_joined(context);
                return None;
            }
            CaptureEvent::ProcessKilled => {
                self.process_killed(captured, context.report);
                return None;
            }
            CaptureEvent::ProcessStarted
            | CaptureEvent::Observed
            | CaptureEvent::ProcessExited
            | CaptureEvent::ProcessPaused
            | CaptureEvent::ProcessResumed => return None,
        }
        let conversation = conversation(self.ends.get(&key)?, false);
        self.remove_if_finished(key, context.report);
        conversation
    }

    fn role(&self, process: u32) -> &str {
        self.roles.get(&process).map_or("", String::as_str)
    }

    fn connecting(&mut self, key: EndKey, context: &mut EventContext) {
        let dialled_address = address_at(context.captured, 0);
        let listener = dialled_address.and_then(|address| self.listener_roles.get(&address));
        let role = self.role(key.process);
        let purpose = Purpose::between(role, listener.map_or("", String::as_str));
        if purpose.is_none() {
            context.violation(
                Rule::Capture,
                None,
                format!("{role} dialled an address at which no suitable process listens"),
            );
        }
        let end = self.ends.entry(key).or_default();
        end.is_dialler = true;
        end.dialled_address = dialled_address;
        end.purpose = purpose;
    }

    fn connected(&mut self, key: EndKey, captured: &CapturedFrame) {
        let end = self.ends.entry(key).or_default();
        end.addresses = AddressPair::acceptor_first(captured, 0);
        end.connected_at = captured.at;
    }

    fn accepted(&mut self, key: EndKey, captured: &CapturedFrame) {
        let end = self.ends.entry(key).or_default();
        end.addresses = AddressPair::dialler_first(captured, 0);
        end.dialled_address = end.addresses.map(|addresses| addresses.acceptor);
        end.connected_at = captured.at;
    }

    /// Pairs an end whose addresses are known with its other end, if that one is known already.
    fn find_peer(&mut self, key: EndKey, context: &mut EventContext) {
        let Some(end) = self.ends.get(&key).filter(|end| !end.connect_failed) else { return };
        let Some(mut addresses) = end.addresses else { return };
        if !end.is_dialler {
            addresses = self.unpaired.downstream_of(addresses, context.captured.at);
        }
        if let Some(peer) = self.unpaired.take_peer(&self.ends, key, addresses) {
            self.pair(key, peer, context.report);
        }
    }

    /// Handles a relay's event that tells which upstream connection it joined with which downstream connection. The
    /// accepted end of the upstream connection may have been captured before this event.
    fn relay_joined(&mut self, context: &mut EventContext) {
        const UPSTREAM_OFFSET: usize = 12;
        let captured = context.captured;
        let Some(downstream) = AddressPair::acceptor_first(captured, 0) else { return };
        let Some(upstream) = AddressPair::acceptor_first(captured, UPSTREAM_OFFSET) else { return };
        let Some(key) = self.unpaired.take_end(&self.ends, downstream, upstream, captured.at) else { return };
        if let Some(peer) = self.unpaired.take_peer(&self.ends, key, downstream) {
            self.pair(key, peer, context.report);
        }
    }

    fn closed(&mut self, key: EndKey, context: &mut EventContext) {
        let end = self.ends.entry(key).or_default();
        end.closed_at = Some(context.captured.at);
        if counted(&context.captured.frame) != Some((end.sent.frames, end.received.frames)) {
            let description = format!(
                "process {} connection {:x}: its last frames are missing",
                key.process, key.connection
            );
            context.violation(Rule::Capture, None, description);
        }
    }

    fn process_killed(&mut self, captured: &CapturedFrame, report: &mut Report) {
        let process = captured.process;
        self.killed.insert(process);
        let first = EndKey { process, connection: 0 };
        let last = EndKey { process, connection: u64::MAX };
        let keys: Vec<EndKey> = self.ends.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(end) = self.ends.get_mut(&key) {
                end.closed_at.get_or_insert(captured.at);
            }
            self.remove_if_finished(key, report);
        }
    }

    fn frame(&mut self, key: EndKey, context: &mut EventContext) -> Option<Conversation> {
        let captured = context.captured;
        let is_sent = captured.event == CaptureEvent::Sent;
        let role = self.roles.get(&key.process).map_or("", String::as_str);
        let end = self.ends.entry(key).or_default();
        let flow = if is_sent { &mut end.sent } else { &mut end.received };
        if captured.position != flow.frames {
            let EndKey { process, connection } = key;
            let description =
                format!("process {process} connection {connection:x}: frame {} is missing", flow.frames);
            context.violation(Rule::Capture, None, description);
            flow.skip_to(captured.position);
        }
        flow.push(&captured.frame);
        let is_hello = captured.position == 0 && is_sent == end.is_dialler;
        if is_hello && !end.is_dialler {
            end.purpose = purpose_of_hello(captured, role);
            if end.purpose.is_none() {
                context.violation(Rule::Capture, None, format!("{role} did not receive a valid Hello"));
            }
        }
        let Some(conversation) = conversation(end, is_hello) else {
            context.violation(
                Rule::Capture,
                None,
                "frame belongs to a connection that was never established",
            );
            return None;
        };
        let names_origin =
            matches!(conversation.purpose, Purpose::RouterToWorker | Purpose::RouterToDiscovery);
        if is_hello && conversation.is_dialler && names_origin {
            self.origins.check_hello(context);
        }
        self.compare(key, context.report);
        Some(conversation)
    }

    fn pair(&mut self, one: EndKey, two: EndKey, report: &mut Report) {
        for (key, peer) in [(one, two), (two, one)] {
            let Some(end) = self.ends.get_mut(&key) else { continue };
            end.peer = Some(peer);
            if self.role(key.process) == role::CLIENT {
                self.client_peers.insert(key, peer);
            }
        }
        self.compare(one, report);
    }

    /// Compares what each end received with what the other end sent. Frames that were captured at both ends are
    /// dropped.
    fn compare(&mut self, key: EndKey, report: &mut Report) {
        let Some(peer) = self.ends.get(&key).and_then(|end| end.peer) else { return };
        let Some(mut one) = self.ends.remove(&key) else { return };
        if let Some(two) = self.ends.get_mut(&peer) {
            let mut different = FrameFlow::match_frames(&mut one.sent, &mut two.received);
            different += FrameFlow::match_frames(&mut two.sent, &mut one.received);
            for _ in 0..different {
                report_received(report, key, NOT_SENT);
            }
        }
        self.ends.insert(key, one);
    }

    /// Compares a connection whose ends are both closed for the last time, and forgets it.
    fn remove_if_finished(&mut self, key: EndKey, report: &mut Report) {
        let Some(end) = self.ends.get(&key).filter(|end| !end.is_open()) else { return };
        if end.connect_failed {
            // The connection was never established, so no other end can have received what was sent.
            self.ends.remove(&key);
            return;
        }
        let Some(peer) = end.peer else { return };
        if self.ends.get(&peer).is_none_or(ConnectionEnd::is_open) {
            return;
        }
        self.compare(key, report);
        for key in [key, peer] {
            let Some(end) = self.ends.remove(&key) else { continue };
            if end.received.has_unmatched() {
                report_received(report, key, NOT_SENT);
            }
        }
    }

    /// Pairs and compares the ends that are left at the end of the capture. What an end received must have been sent by
    /// the other end; what was sent need not have been received, because connections may break.
    pub fn finish(&mut self, report: &mut Report) {
        for mut keys in self.unpaired.take_groups() {
            while let Some(key) = keys.pop() {
                if let Some(index) = nearest_peer(&self.ends, key, &keys) {
                    let peer = keys.swap_remove(index);
                    self.pair(key, peer, report);
                }
            }
        }
        for (key, end) in &self.ends {
            let is_paired = end.peer.is_some();
            if !is_paired && end.is_dialler && end.addresses.is_none() {
                if !self.killed.contains(&key.process) {
                    let description = format!(
                        "process {} connection {:x}: the outcome of connecting is missing",
                        key.process, key.connection
                    );
                    report.add_violation(Rule::Capture, 0, None, description);
                }
            } else if end.received.has_unmatched() && (end.is_dialler || is_paired) {
                // If the other side never accepted the connection, it cannot have sent anything.
                report_received(report, *key, if is_paired { NOT_SENT } else { NOT_ACCEPTED });
            }
        }
    }

    /// Returns whether the connection has ended or its process was killed.
    pub fn is_over(&self, key: EndKey) -> bool {
        self.killed.contains(&key.process) || self.ends.get(&key).is_none_or(|end| !end.is_open())
    }

    /// Returns the router's end of a client's connection.
    pub fn router_end(&self, client_end: EndKey) -> Option<EndKey> {
        self.client_peers.get(&client_end).copied()
    }
}

const NOT_SENT: &str = "a frame that the other end did not send";
const NOT_ACCEPTED: &str = "a frame on a connection that no process accepted";

fn report_received(report: &mut Report, key: EndKey, what: &str) {
    /// The time of the violation is unknown, because ends are compared only once both were captured.
    const UNKNOWN_TIME: Micros = 0;
    let description = format!("process {} connection {:x} received {what}", key.process, key.connection);
    report.add_violation(Rule::Capture, UNKNOWN_TIME, None, description);
}

fn conversation(end: &ConnectionEnd, is_hello: bool) -> Option<Conversation> {
    Some(Conversation {
        purpose: end.purpose?,
        is_dialler: end.is_dialler,
        dialled_address: end.dialled_address?,
        is_hello,
    })
}

/// Returns the purpose of a connection from the Hello that a process of this role received.
/// `None` if the Hello cannot be decoded or its sender does not connect to this role.
fn purpose_of_hello(captured: &CapturedFrame, role: &str) -> Option<Purpose> {
    let (party, ..) = tideroute_wire::first(&captured.frame).ok()?;
    Purpose::between(conversation::role_of(party), role)
}
