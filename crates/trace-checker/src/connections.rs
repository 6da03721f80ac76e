//! Which ends of connections belong together, who talks to whom on them, and whether any frame is missing.

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
    /// The routers' ends of clients' connections, kept to the end of the capture.
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

    /// Follows one event; returns the conversation that it belongs to, if that is known.
    pub fn follow(&mut self, context: &mut EventContext) -> Option<Conversation> {
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
            context.violation(Rule::Capture, None, format!("a {role} dials nobody that is known"));
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

    /// An end whose addresses are known looks for its other one.
    fn find_peer(&mut self, key: EndKey, context: &mut EventContext) {
        let Some(end) = self.ends.get(&key).filter(|end| !end.connect_failed) else { return };
        let Some(mut addresses) = end.addresses else { return };
        if !end.is_dialler {
            addresses = self.unpaired.front_of(addresses, context.captured.at);
        }
        if let Some(peer) = self.unpaired.take_peer(&self.ends, key, addresses) {
            self.pair(key, peer, context.report);
        }
    }

    /// A relay tells which connection behind it continues one before it. The end behind may have been captured first.
    fn relay_joined(&mut self, context: &mut EventContext) {
        const BEHIND: usize = 12;
        let captured = context.captured;
        let Some(front) = AddressPair::acceptor_first(captured, 0) else { return };
        let Some(behind) = AddressPair::acceptor_first(captured, BEHIND) else { return };
        let Some(key) = self.unpaired.relay_joined(&self.ends, front, behind, captured.at) else { return };
        if let Some(peer) = self.unpaired.take_peer(&self.ends, key, front) {
            self.pair(key, peer, context.report);
        }
    }

    fn closed(&mut self, key: EndKey, context: &mut EventContext) {
        let end = self.ends.entry(key).or_default();
        end.closed_at = Some(context.captured.at);
        if counted(&context.captured.frame) != Some((end.sent.frames, end.received.frames)) {
            let description =
                format!("process {} link {:x} lacks its last frames", key.process, key.connection);
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
            let description = format!("process {process} link {connection:x} lacks frame {}", flow.frames);
            context.violation(Rule::Capture, None, description);
            flow.skip_to(captured.position);
        }
        flow.push(&captured.frame);
        let is_hello = captured.position == 0 && is_sent == end.is_dialler;
        if is_hello && !end.is_dialler {
            end.purpose = purpose_of_hello(captured, role);
            if end.purpose.is_none() {
                context.violation(Rule::Capture, None, format!("a {role} was told no Hello"));
            }
        }
        let Some(conversation) = conversation(end, is_hello) else {
            context.violation(Rule::Capture, None, "a frame passed on a connection never made");
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

    /// What one end received is what the other sent. Frames that were captured at both ends are forgotten.
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

    /// Once both ends are closed and compared, nothing more is to be known of them.
    fn remove_if_finished(&mut self, key: EndKey, report: &mut Report) {
        let Some(end) = self.ends.get(&key).filter(|end| !end.is_open()) else { return };
        if end.connect_failed {
            // Nobody was there, so that nobody receives what was sent.
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

    /// The capture is at its end: what one end received is what the other sent, up to where the connection broke.
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
                        "what became of process {} link {:x} is not told",
                        key.process, key.connection
                    );
                    report.add_violation(Rule::Capture, 0, None, description);
                }
            } else if end.received.has_unmatched() && (end.is_dialler || is_paired) {
                // A connection that the other side never accepted ended before that side sent anything.
                report_received(report, *key, if is_paired { NOT_SENT } else { FROM_NOBODY });
            }
        }
    }

    /// Whether the connection had ended, or its process was killed, by the end of the capture.
    pub fn is_over(&self, key: EndKey) -> bool {
        self.killed.contains(&key.process) || self.ends.get(&key).is_none_or(|end| !end.is_open())
    }

    /// The router's end of a client's connection.
    pub fn router_end(&self, client_end: EndKey) -> Option<EndKey> {
        self.client_peers.get(&client_end).copied()
    }
}

const NOT_SENT: &str = "what was not sent";
const FROM_NOBODY: &str = "words from nobody";

fn report_received(report: &mut Report, key: EndKey, what: &str) {
    /// No moment is known: the ends are compared when both were captured.
    const UNKNOWN: Micros = 0;
    let description = format!("process {} link {:x} heard {what}", key.process, key.connection);
    report.add_violation(Rule::Capture, UNKNOWN, None, description);
}

fn conversation(end: &ConnectionEnd, is_hello: bool) -> Option<Conversation> {
    Some(Conversation {
        purpose: end.purpose?,
        is_dialler: end.is_dialler,
        dialled_address: end.dialled_address?,
        is_hello,
    })
}

/// What the process that sent a Hello wants of one of this role.
fn purpose_of_hello(captured: &CapturedFrame, role: &str) -> Option<Purpose> {
    let (party, ..) = tideroute_wire::first(&captured.frame).ok()?;
    Purpose::between(conversation::role_of(party), role)
}
