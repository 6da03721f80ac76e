//! Measures the latencies of the network hops of requests on the capture of a scenario: from the client to the prefill
//! worker, from the end of prefill to the decode worker, and from the sending of each token to the client. The time at the
//! workers is left out, so that a scenario with routers can be compared with one of direct requests.

use std::collections::{BTreeMap, HashMap};
use std::io::Read;

use bytes::Bytes;
use hdrhistogram::Histogram;
use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, Reader};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{client, Address, Malformed, Micros};

/// Longest latency, in microseconds, that the histograms can represent; longer ones are recorded as this value.
const MAX_LATENCY: u64 = 60_000_000;

/// Latencies of network hops, in microseconds.
pub struct HopLatencies {
    /// The sum of the three hops up to the first token, of each request.
    pub first_token: Histogram<u64>,
    /// The hop from the decode worker to the client, of each token.
    pub token: Histogram<u64>,
}

/// When the messages of one request were sent or received.
#[derive(Default)]
struct RequestTimes {
    sent_at: Option<Micros>,
    prefill_received: Option<Micros>,
    prefill_completed_at: Option<Micros>,
    decode_received: Option<Micros>,
    token_sent: HashMap<u32, Micros>,
    attempts: u16,
}

/// A message with which a hop begins or ends.
enum RelevantMessage {
    Request(u64),
    Accepted(u64, u64),
    Prefill(u64, u16),
    Decode(u64),
    PrefillCompleted(u64),
    WorkerToken(u64, u32),
    ClientToken(u64, u32),
}

/// Measures the hops on a capture; `routed` tells whether the requests went through routers.
pub fn measure_hops(capture: impl Read, routed: bool) -> Result<HopLatencies, CaptureError> {
    let mut reader = Reader::new(capture);
    let (processes, _) = reader.head()?;
    let roles: BTreeMap<u32, String> =
        processes.into_iter().map(|frame| (frame.number, frame.role)).collect();
    let mut collector = HopCollector::new(routed);
    while let Some(frame) = reader.next_passed()? {
        let role = roles.get(&frame.process).map_or("", String::as_str);
        if let Some(message) = relevant_message(&frame, role) {
            collector.on_message(message, role, &frame);
        }
    }
    Ok(collector.hops)
}

/// A request as its client numbers it: the process of the client, its connection, and the number of the request on it.
type ClientRequest = (u32, u64, u64);

/// Collects the times of the messages of each request.
struct HopCollector {
    /// Whether the requests went through routers.
    routed: bool,
    hops: HopLatencies,
    /// The times of each request, by request id.
    requests: HashMap<u64, RequestTimes>,
    /// When routed requests were sent; an entry is removed when the router accepts the request and thereby tells its id.
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
            (RelevantMessage::Request(number), "client", false) => {
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

    /// Records the hops that end with the arrival of a token at its client.
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
            // Time for which the router holds a prefill back counts as latency that the router adds.
            let hops = prefill.saturating_sub(sent_at) + decode.saturating_sub(prefilled) + last_hop;
            self.hops.first_token.saturating_record(hops);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY, 3).unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

fn relevant_message(frame: &CapturedFrame, role: &str) -> Option<RelevantMessage> {
    if !matches!(frame.event, CaptureEvent::Sent | CaptureEvent::Received) || frame.position == 0 {
        return None;
    }
    let mut handler = MessageHandler(None);
    // A client that sends direct requests uses the protocol between routers and workers.
    let sent = frame.event == CaptureEvent::Sent;
    let _ = match (role, sent) {
        ("client", true) => client::receive_from_client(&frame.frame, &mut handler)
            .ok()
            .filter(|()| handler.0.is_some())
            .map_or_else(|| worker::receive_from_router(&frame.frame, &mut handler), Ok),
        ("client", false) => match client::receive_from_router(&frame.frame, &mut handler) {
            Ok(()) if handler.0.is_some() => Ok(()),
            _ => worker::receive_from_worker(&frame.frame, &mut handler),
        },
        ("worker", true) => worker::receive_from_worker(&frame.frame, &mut handler),
        ("worker", false) => worker::receive_from_router(&frame.frame, &mut handler),
        _ => Ok(()),
    };
    handler.0
}

struct MessageHandler(Option<RelevantMessage>);

impl MessageHandler {
    fn set_message(&mut self, relevant_message: RelevantMessage) -> Result<(), Malformed> {
        self.0 = Some(relevant_message);
        Ok(())
    }
}

impl client::Router for MessageHandler {
    fn submit(
        &mut self,
        number: u64,
        _class: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _max_tokens: u32,
        _remaining: Micros,
        _idempotency_key: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::Request(number))
    }

    fn cancel(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }
}

impl client::Client for MessageHandler {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::Accepted(number, id))
    }

    fn token(&mut self, number: u64, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::ClientToken(number, index))
    }

    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn rejected(&mut self, _number: u64, _retry_after: Micros) -> Result<(), Malformed> {
        Ok(())
    }

    fn failed(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn unauthorized(&mut self, _reason: &str) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Worker for MessageHandler {
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        _class: u8,
        _session: u64,
        _prefix: u64,
        _prompt_tokens: u32,
        _prefix_tokens: u32,
        _remaining: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::Prefill(id, attempt))
    }

    fn reserve(
        &mut self,
        _id: u64,
        _prompt_tokens: u32,
        _max_tokens: u32,
        _prefill_worker: Address,
    ) -> Result<(), Malformed> {
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        _attempt: u16,
        _class: u8,
        _prompt_tokens: u32,
        _max_tokens: u32,
        _remaining: Micros,
        _idempotency_key: u64,
        _prefill_worker: Option<Address>,
        _window_tokens: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::Decode(id))
    }

    fn release(&mut self, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn cancel(&mut self, _id: u64, _attempt: u16) -> Result<(), Malformed> {
        Ok(())
    }

    fn check_health(&mut self, _nonce: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for MessageHandler {
    fn reservation_answered(&mut self, _id: u64, _reserved: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        _attempt: u16,
        _kept_tokens: u32,
        _bytes: u64,
    ) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::PrefillCompleted(id))
    }

    fn token(&mut self, id: u64, _attempt: u16, index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.set_message(RelevantMessage::WorkerToken(id, index))
    }

    fn completed(&mut self, _id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn attempt_ended(&mut self, _id: u64, _attempt: u16, _failure: AttemptFailure) -> Result<(), Malformed> {
        Ok(())
    }

    fn health_reported(
        &mut self,
        _nonce: u64,
        _prefills: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        Ok(())
    }
}
