//! Measures the time to first token as clients saw it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use hdrhistogram::Histogram;
use tideroute_trace_checker::{CheckerConfig, ClassConfig};
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::{client, Malformed, Micros};

use crate::report::ClassLatency;

/// The longest time to first token, in microseconds, that is recorded; longer times count as this one.
const MAX_TTFT: Micros = 600_000_000;
/// Significant figures of the histograms. Three give a precision of a per mille, more than the report needs.
const SIGNIFICANT_FIGURES: u8 = 3;

const MICROS_PER_MILLI: f64 = 1e3;

/// Identifies a request by the client's process, connection and request number.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RequestKey {
    process: u32,
    connection: u64,
    number: u64,
}

/// A request that has not received a token yet.
struct PendingRequest {
    sent_at: Micros,
    class: usize,
    ttft_objective: Micros,
}

/// The requests of one class.
struct ClassRequests {
    config: ClassConfig,
    ttft: Histogram<u64>,
    requests: u64,
    met_objective: u64,
}

impl ClassRequests {
    fn new(config: &ClassConfig) -> ClassRequests {
        let ttft = Histogram::new_with_max(MAX_TTFT, SIGNIFICANT_FIGURES);
        ClassRequests {
            config: config.clone(),
            ttft: ttft.unwrap_or_else(|_| unreachable!("constant bounds are valid")),
            requests: 0,
            met_objective: 0,
        }
    }

    fn ttft_objective(&self, prompt_tokens: u32) -> Micros {
        let objective_for_prompt =
            u64::from(prompt_tokens) * self.config.ttft_objective_per_1000_tokens / 1000;
        self.config.ttft_objective + objective_for_prompt
    }

    fn latency(&self) -> ClassLatency {
        ClassLatency {
            name: self.config.name.clone(),
            requests: self.requests,
            objective_met: self.met_objective as f64 / self.requests.max(1) as f64,
            ttft_p50_ms: self.ttft.value_at_quantile(0.5) as f64 / MICROS_PER_MILLI,
            ttft_p99_ms: self.ttft.value_at_quantile(0.99) as f64 / MICROS_PER_MILLI,
        }
    }
}

/// The requests of all clients.
pub struct ClientSide {
    processes: HashSet<u32>,
    pending: HashMap<RequestKey, PendingRequest>,
    classes: Vec<ClassRequests>,
    last_request_at: Micros,
}

impl ClientSide {
    pub fn new(processes: &[CapturedProcess], config: &CheckerConfig) -> ClientSide {
        let clients = processes.iter().filter(|process| process.role == "client");
        ClientSide {
            processes: clients.map(|client| client.number).collect(),
            pending: HashMap::new(),
            classes: config.classes.iter().map(ClassRequests::new).collect(),
            last_request_at: 0,
        }
    }

    pub fn is_client(&self, process: u32) -> bool {
        self.processes.contains(&process)
    }

    /// Returns when the last request was sent.
    pub fn last_request_at(&self) -> Micros {
        self.last_request_at
    }

    pub fn latencies(&self) -> Vec<ClassLatency> {
        self.classes.iter().map(ClassRequests::latency).collect()
    }

    /// Processes an event of a client's process. Frames that cannot be decoded are ignored; the trace checker reports
    /// them.
    pub fn handle_event(&mut self, captured: &CapturedFrame) {
        let mut handler = MessageHandler { side: self, captured };
        let _ = match captured.event {
            // The first frame is the Hello.
            CaptureEvent::Sent if captured.position > 0 => {
                client::receive_from_client(&captured.frame, &mut handler)
            }
            CaptureEvent::Received => client::receive_from_router(&captured.frame, &mut handler),
            _ => Ok(()),
        };
    }

    fn request_sent(&mut self, key: RequestKey, at: Micros, class: usize, prompt_tokens: u32) {
        let Some(requests) = self.classes.get_mut(class) else { return };
        requests.requests += 1;
        let ttft_objective = requests.ttft_objective(prompt_tokens);
        self.pending.insert(key, PendingRequest { sent_at: at, class, ttft_objective });
        self.last_request_at = at;
    }

    /// Handles the end of a request. A request that ends without a token counts as one that missed its objective.
    fn ended(&mut self, key: RequestKey) {
        self.pending.remove(&key);
    }

    fn token(&mut self, key: RequestKey, at: Micros) {
        let Some(request) = self.pending.remove(&key) else { return };
        let ttft = at.saturating_sub(request.sent_at);
        let class = &mut self.classes[request.class];
        class.ttft.saturating_record(ttft);
        class.met_objective += u64::from(ttft <= request.ttft_objective);
    }
}

struct MessageHandler<'a> {
    side: &'a mut ClientSide,
    captured: &'a CapturedFrame,
}

impl MessageHandler<'_> {
    fn key(&self, number: u64) -> RequestKey {
        RequestKey { process: self.captured.process, connection: self.captured.connection, number }
    }
}

impl client::Router for MessageHandler<'_> {
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        _session: u64,
        _prefix: u64,
        prompt_tokens: u32,
        _prefix_tokens: u32,
        _max_tokens: u32,
        _timeout: Micros,
        _idempotency_key: u64,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.side.request_sent(self.key(number), self.captured.at, usize::from(class), prompt_tokens);
        Ok(())
    }

    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        self.side.ended(self.key(number));
        Ok(())
    }
}

impl client::Client for MessageHandler<'_> {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn token(&mut self, number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        self.side.token(self.key(number), self.captured.at);
        Ok(())
    }

    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }

    fn rejected(&mut self, number: u64, _retry_after: Micros) -> Result<(), Malformed> {
        self.side.ended(self.key(number));
        Ok(())
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        self.side.ended(self.key(number));
        Ok(())
    }

    fn unauthorized(&mut self, _reason: &str) -> Result<(), Malformed> {
        Ok(())
    }
}
