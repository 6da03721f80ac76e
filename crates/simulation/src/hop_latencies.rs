//! The network hops of requests, measured on the capture of a scenario: from the client to the prefill worker, from
//! the end of prefill to the decode worker, and from each of its tokens to the client. Work at the workers is left out,
//! so that a scenario with routers and one of direct requests can be compared.

use std::collections::{BTreeMap, HashMap};
use std::io::Read;

use bytes::Bytes;
use hdrhistogram::Histogram;
use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, Reader};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{client, Address, Malformed, Micros};

/// Microseconds: the longest latency that the histograms tell apart.
const MAX_LATENCY: u64 = 60_000_000;

/// Latencies of network hops, in microseconds.
pub struct HopLatencies {
    /// All three hops up to the first token, summed for each request.
    pub first_token: Histogram<u64>,
    /// From the decode worker to the client, of each token.
    pub token: Histogram<u64>,
}

/// When the messages of one request passed.
#[derive(Default)]
struct RequestTimes {
    sent_at: Option<Micros>,
    prefill_received: Option<Micros>,
    prefill_completed_at: Option<Micros>,
    decode_received: Option<Micros>,
    token_sent: HashMap<u32, Micros>,
    attempts: u16,
}

/// A message that a hop begins or ends with.
enum RelevantMessage {
    Submit(u64),
    Accepted(u64, u64),
    Prefill(u64, u16),
    Decode(u64),
    PrefillCompleted(u64),
    WorkerToken(u64, u32),
    ClientToken(u64, u32),
}

/// Measures the hops on a capture; `routed` says whether a router stands between client and workers.
pub fn measure_hops(record: impl Read, routed: bool) -> Result<HopLatencies, CaptureError> {
    let mut reader = Reader::new(record);
    let (processes, _) = reader.head()?;
    let roles: BTreeMap<u32, String> = processes.into_iter().map(|p| (p.number, p.role)).collect();
    let mut collector = HopCollector::new(routed);
    while let Some(frame) = reader.next_passed()? {
        let role = roles.get(&frame.process).map_or("", String::as_str);
        if let Some(message) = relevant_message(&frame, role) {
            collector.on_message(message, role, &frame);
        }
    }
    Ok(collector.hops)
}

/// A request as its client numbers it: the client's process, its connection, and the number there.
type ClientRequest = (u32, u64, u64);

/// Collects when the messages of each request passed.
struct HopCollector {
    /// Whether a router stands between client and workers.
    routed: bool,
    hops: HopLatencies,
    /// By request id.
    requests: HashMap<u64, RequestTimes>,
    /// Of routed requests: when they were sent, until the router's acceptance tells their id.
    sent_at: HashMap<ClientRequest, Micros>,
    ids: HashMap<ClientRequest, u64>,
}

impl HopCollector {
    fn new(routed: bool) -> HopCollector {
        let hops = HopLatencies { first_token: histogram(), token: histogram() };
        HopCollector { routed, hops, requests: HashMap::new(), sent_at: HashMap::new(), ids: HashMap::new() }
    }

    fn on_message(&mut self, message: RelevantMessage, role: &str, frame: &CapturedFrame) {
        let is_received = frame.event == CaptureEvent::Received;
        let client_request = |number: u64| (frame.process, frame.connection, number);
        match (message, role, is_received) {
            (RelevantMessage::Submit(number), "client", false) => {
                self.sent_at.insert(client_request(number), frame.at);
            }
            (RelevantMessage::Accepted(number, id), "client", true) => {
                let request = client_request(number);
                self.ids.insert(request, id);
                self.times(id).sent_at = self.sent_at.remove(&request);
            }
            (RelevantMessage::Prefill(id, attempt), "client", false) => {
                let times = self.times(id);
                times.sent_at = Some(frame.at);
                times.attempts = attempt;
            }
            (RelevantMessage::Prefill(id, attempt), "worker", true) => {
                let times = self.times(id);
                times.prefill_received = Some(frame.at);
                times.attempts = attempt;
            }
            (RelevantMessage::PrefillCompleted(id), "worker", false) => {
                self.times(id).prefill_completed_at = Some(frame.at);
            }
            (RelevantMessage::Decode(id), "worker", true) => self.times(id).decode_received = Some(frame.at),
            (RelevantMessage::WorkerToken(id, index), "worker", false) => {
                self.times(id).token_sent.insert(index, frame.at);
            }
            (RelevantMessage::ClientToken(number, index), "client", true) if self.routed => {
                if let Some(id) = self.ids.get(&client_request(number)).copied() {
                    self.record_token(id, index, frame.at);
                }
            }
            (RelevantMessage::WorkerToken(id, index), "client", true) => {
                self.record_token(id, index, frame.at)
            }
            _ => {}
        }
    }

    fn times(&mut self, id: u64) -> &mut RequestTimes {
        self.requests.entry(id).or_default()
    }

    /// A token arrived at its client.
    fn record_token(&mut self, id: u64, index: u32, at: Micros) {
        let Some(times) = self.requests.get_mut(&id) else { return };
        let Some(sent) = times.token_sent.remove(&index) else { return };
        let last_hop = at.saturating_sub(sent);
        self.hops.token.saturating_record(last_hop);
        let is_first_attempt = index == 0 && times.attempts == 0;
        if let (true, Some(sent_at), Some(prefill), Some(prefilled), Some(decode)) = (
            is_first_attempt,
            times.sent_at,
            times.prefill_received,
            times.prefill_completed_at,
            times.decode_received,
        ) {
            // Waits that the router chooses (a prefill held back) count as its own.
            let hops = prefill.saturating_sub(sent_at) + decode.saturating_sub(prefilled) + last_hop;
            self.hops.first_token.saturating_record(hops);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY, 3).unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

fn relevant_message(p: &CapturedFrame, role: &str) -> Option<RelevantMessage> {
    if !matches!(p.event, CaptureEvent::Sent | CaptureEvent::Received) || p.position == 0 {
        return None;
    }
    let mut handler = MessageHandler(None);
    // A client of direct requests speaks to workers as a router does.
    let sent = p.event == CaptureEvent::Sent;
    let _ = match (role, sent) {
        ("client", true) => client::receive_from_client(&p.frame, &mut handler)
            .ok()
            .filter(|()| handler.0.is_some())
            .map_or_else(|| worker::receive_from_router(&p.frame, &mut handler), Ok),
        ("client", false) => match client::receive_from_router(&p.frame, &mut handler) {
            Ok(()) if handler.0.is_some() => Ok(()),
            _ => worker::receive_from_worker(&p.frame, &mut handler),
        },
        ("worker", true) => worker::receive_from_worker(&p.frame, &mut handler),
        ("worker", false) => worker::receive_from_router(&p.frame, &mut handler),
        _ => Ok(()),
    };
    handler.0
}

struct MessageHandler(Option<RelevantMessage>);

impl MessageHandler {
    fn note(&mut self, relevant_message: RelevantMessage) -> Result<(), Malformed> {
        self.0 = Some(relevant_message);
        Ok(())
    }
}

impl client::Router for MessageHandler {
    fn submit(
        &mut self,
        number: u64,
        _track: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.note(RelevantMessage::Submit(number))
    }

    fn cancel(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }
}

impl client::Client for MessageHandler {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        self.note(RelevantMessage::Accepted(number, id))
    }

    fn token(&mut self, number: u64, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.note(RelevantMessage::ClientToken(number, index))
    }

    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn rejected(&mut self, _number: u64, _after: Micros) -> Result<(), Malformed> {
        Ok(())
    }

    fn failed(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn unauthorized(&mut self, _why: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Worker for MessageHandler {
    fn prefill(
        &mut self,
        id: u64,
        shot: u16,
        _track: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _left: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.note(RelevantMessage::Prefill(id, shot))
    }

    fn reserve(&mut self, _id: u64, _prompt: u32, _most: u32, _reader: Address) -> Result<(), Malformed> {
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        _shot: u16,
        _track: u8,
        _prompt_tokens: u32,
        _most_tokens: u32,
        _left: Micros,
        _mark: u64,
        _reader: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.note(RelevantMessage::Decode(id))
    }

    fn release(&mut self, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn cancel(&mut self, _id: u64, _shot: u16) -> Result<(), Malformed> {
        Ok(())
    }

    fn check_health(&mut self, _nonce: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for MessageHandler {
    fn reservation_answered(&mut self, _id: u64, _held: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(&mut self, id: u64, _shot: u16, _kept: u32, _bytes: u64) -> Result<(), Malformed> {
        self.note(RelevantMessage::PrefillCompleted(id))
    }

    fn token(&mut self, id: u64, _shot: u16, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.note(RelevantMessage::WorkerToken(id, index))
    }

    fn completed(&mut self, _id: u64, _shot: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn attempt_ended(&mut self, _id: u64, _shot: u16, _how: AttemptFailure) -> Result<(), Malformed> {
        Ok(())
    }

    fn health_reported(
        &mut self,
        _nonce: u64,
        _reads: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        Ok(())
    }
}
