//! Client load in open loop: requests are sent at their planned times. A client retries a request after a rejection, after
//! a failure if the request class allows a retry, and after the loss of its connection, up to the configured number of
//! retries and until the deadline.

mod event_handler;
mod responses;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use tideroute_config_language::records::Load as LoadConfig;
use tideroute_emulator::kv_state;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, say_hello_with, Address, Malformed, Micros, Party};

use crate::load_statistics::{LoadStatistics, Progress};
use crate::traffic::{plan_requests, router_by_client, PlannedRequest};
use responses::ResponseHandler;

/// Microseconds after which connecting to a router times out.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Microseconds after a disconnect until a client tries the next router.
const FAILOVER_DELAY: Micros = 300_000;
/// Microseconds after the deadline at which a request counts as unanswered. They are longer than the pause of a client
/// that reads slowly, because its response may have arrived without having been read.
const RESPONSE_GRACE: Micros = 1_200_000;
/// Microseconds that must remain until the deadline for a retry, as the network and a busy event loop need that long.
const MIN_RETRY_TIME: Micros = 50_000;
/// Microseconds for which a client that reads slowly does not read.
const SLOW_READER_PAUSE: Micros = 700_000;
/// Microseconds for which a client that reads slowly reads before it pauses again.
const SLOW_READER_READ_TIME: Micros = 300_000;

/// Kinds of timers. The kind is the top byte of a timer key; the other bytes are the index of a request or of a client.
const NEXT_REQUEST: u64 = 0;
const RETRY: u64 = 1;
const GIVE_UP: u64 = 2;
const PAUSE_READING: u64 = 3;
const RESUME_READING: u64 = 4;
const RECONNECT: u64 = 5;
const TIMER_KIND_SHIFT: u32 = 56;

fn timer_key(kind: u64, index: usize) -> u64 {
    kind << TIMER_KIND_SHIFT | index as u64
}

/// The progress of one request.
struct RequestProgress {
    started_at: Micros,
    deadline: Micros,
    attempts: u32,
    /// The attempt in flight: the index of its client, and its number on the connection.
    in_flight: Option<(usize, u64)>,
    /// Number of tokens of the current attempt that have arrived.
    tokens: u32,
    last_token: Micros,
    first_token: Option<Micros>,
    /// Whether a token was not the expected one.
    wrong: bool,
    finished: bool,
    /// The checksum of the KV state from which its response must be generated; set at the first token.
    state_checksum: Option<u32>,
}

/// One connection to a router.
struct Client {
    router: usize,
    connection: Option<ConnectionId>,
    last_number: u64,
    /// The indices of the requests in flight, by their numbers on this connection.
    in_flight: HashMap<u64, usize>,
    reads_slowly: bool,
}

/// The load of all clients, as an event handler.
pub struct Load {
    config: LoadConfig,
    routers: Vec<Address>,
    planned: Vec<PlannedRequest>,
    /// The index of the next planned request that is not sent yet.
    next_request: usize,
    load_started_at: Micros,
    requests: BTreeMap<usize, RequestProgress>,
    clients: Vec<Client>,
    by_connection: HashMap<ConnectionId, usize>,
    /// The statistics of the requests so far.
    pub statistics: LoadStatistics,
    progress: Arc<Progress>,
    stopped: bool,
}

impl Load {
    /// Creates a load that begins when the event loop starts. `routers` are the addresses of the routers in `config`.
    pub fn new(config: LoadConfig, routers: Vec<Address>) -> Load {
        let planned = plan_requests(&config);
        let first_routers = router_by_client(&config, routers.len());
        let client = |client_index: usize| Client {
            router: first_routers[client_index],
            connection: None,
            last_number: 0,
            in_flight: HashMap::new(),
            reads_slowly: client_index < config.slow_readers,
        };
        let progress = Arc::new(Progress::default());
        progress.planned.store(planned.len() as u64, Ordering::Relaxed);
        Load {
            clients: (0..config.clients).map(client).collect(),
            statistics: LoadStatistics::new(
                &config.classes,
                config.keys.iter().map(|tenant_key| tenant_key.tenant.clone()),
            ),
            config,
            routers,
            planned,
            next_request: 0,
            load_started_at: 0,
            requests: BTreeMap::new(),
            by_connection: HashMap::new(),
            progress,
            stopped: false,
        }
    }

    /// Returns the counters, which can be read while the load runs.
    pub fn progress(&self) -> Arc<Progress> {
        self.progress.clone()
    }

    /// Returns the second of the load for which a request was planned.
    fn request_second(&self, request_index: usize) -> usize {
        (self.planned[request_index].at / 1_000_000) as usize
    }

    /// Sends the requests that are due, and sets a timer for the next one.
    fn send_due_requests(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(planned) =
            self.planned.get(self.next_request).filter(|planned| self.load_started_at + planned.at <= now)
        {
            let (request_index, timeout) = (self.next_request, planned.timeout);
            let priority_weight = self.config.classes[usize::from(planned.class)].priority_weight;
            self.statistics.record_request(
                planned.class,
                planned.tenant,
                priority_weight,
                self.request_second(request_index),
            );
            let started_at = self.load_started_at + self.planned[request_index].at;
            let request = RequestProgress {
                started_at,
                deadline: started_at + timeout,
                attempts: 0,
                in_flight: None,
                tokens: 0,
                last_token: 0,
                first_token: None,
                wrong: false,
                finished: false,
                state_checksum: None,
            };
            self.requests.insert(request_index, request);
            self.next_request += 1;
            self.send_attempt(now, request_index, effects);
        }
        if let Some(planned) = self.planned.get(self.next_request) {
            effects.set_timer(self.load_started_at + planned.at, timer_key(NEXT_REQUEST, 0));
        }
    }

    /// Returns the connection of a client, and opens one if there is none.
    fn connection(&mut self, client_index: usize, effects: &mut Effects) -> ConnectionId {
        let client = &mut self.clients[client_index];
        if let Some(connection) = client.connection {
            return connection;
        }
        let connection = effects.connect(self.routers[client.router], CONNECT_TIMEOUT);
        client.connection = Some(connection);
        (client.last_number, client.in_flight) = (0, HashMap::new());
        self.by_connection.insert(connection, client_index);
        let keys = &self.config.keys;
        let key = if keys.is_empty() { "" } else { &keys[client_index % keys.len()].key };
        effects.send(
            connection,
            say_hello_with(Party::Client, &format!("client{client_index}"), key.as_bytes()),
        );
        if client.reads_slowly {
            effects.set_timer(0, timer_key(PAUSE_READING, client_index));
        }
        connection
    }

    /// Sends an attempt of a request, or ends the request if its deadline has passed.
    fn send_attempt(&mut self, now: Micros, request_index: usize, effects: &mut Effects) {
        let client_index = self.planned[request_index].client;
        let connection = self.connection(client_index, effects);
        let Some(request) = self.requests.get_mut(&request_index).filter(|request| !request.finished) else {
            return;
        };
        if now >= request.deadline {
            return self.finish(request_index, |statistics| &mut statistics.unanswered);
        }
        let (planned, client) = (&self.planned[request_index], &mut self.clients[client_index]);
        client.last_number += 1;
        client.in_flight.insert(client.last_number, request_index);
        request.in_flight = Some((client_index, client.last_number));
        (request.attempts, request.tokens) = (request.attempts + 1, 0);
        let remaining = request.deadline - now;
        effects.send(
            connection,
            client::submit(
                client.last_number,
                planned.class,
                planned.session,
                planned.prefix,
                planned.prompt_tokens,
                planned.prefix_tokens,
                planned.max_tokens,
                remaining,
                planned.idempotency_key,
                planned.prompt.clone(),
            ),
        );
        self.statistics.attempts += 1;
        self.progress.sent.store(self.next_request as u64, Ordering::Relaxed);
        effects.set_timer(request.deadline + RESPONSE_GRACE, timer_key(GIVE_UP, request_index));
        if planned.cancel_after_tokens == Some(0) {
            self.cancel(request_index, effects);
        }
    }

    /// Cancels the attempt in flight of a request and ends the request.
    fn cancel(&mut self, request_index: usize, effects: &mut Effects) {
        let Some((client_index, number)) =
            self.requests.get_mut(&request_index).and_then(|request| request.in_flight.take())
        else {
            return;
        };
        self.clients[client_index].in_flight.remove(&number);
        if let Some(connection) = self.clients[client_index].connection {
            effects.send(connection, client::cancel(number));
        }
        self.finish(request_index, |statistics| &mut statistics.cancelled);
    }

    /// Ends a request and increments the counter that `counter` selects.
    fn finish(&mut self, request_index: usize, counter: impl Fn(&mut LoadStatistics) -> &mut u64) {
        if let Some(request) = self.requests.get_mut(&request_index).filter(|request| !request.finished) {
            (request.finished, request.in_flight) = (true, None);
            *counter(&mut self.statistics) += 1;
        }
    }

    /// Handles an attempt that ended without a complete response: retries the request after `delay` or the configured delay,
    /// whichever is longer, if a retry is allowed and enough time remains; otherwise ends the request.
    fn retry_or_end(
        &mut self,
        now: Micros,
        request_index: usize,
        is_safe_to_retry: bool,
        delay: Micros,
        effects: &mut Effects,
        counter: impl Fn(&mut LoadStatistics) -> &mut u64,
    ) {
        let class = &self.config.classes[usize::from(self.planned[request_index].class)];
        let is_retryable = class.idempotency == "replayable"
            || class.idempotency == "referenced" && class.deduplication_scope == "all";
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        request.in_flight = None;
        let at = now + delay.max(self.config.retry_delay);
        let may_retry = (is_safe_to_retry || is_retryable)
            && request.attempts <= self.config.max_retries
            && at + MIN_RETRY_TIME < request.deadline;
        if may_retry && !request.finished && !self.stopped {
            effects.set_timer(at, timer_key(RETRY, request_index));
        } else {
            self.finish(request_index, counter);
        }
    }

    fn on_router_message(
        &mut self,
        now: Micros,
        client_index: usize,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        client::receive_from_router(frame, &mut ResponseHandler { load: self, now, client_index, effects })
    }

    /// Handles a complete response: checks its tokens and counts its priority weight.
    fn on_completed(&mut self, now: Micros, request_index: usize, tokens: u32) {
        let planned = &self.planned[request_index];
        let class = &self.config.classes[usize::from(planned.class)];
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        let expected = request
            .state_checksum
            .map(|state_checksum| kv_state::response_tokens(state_checksum, planned.max_tokens));
        if request.wrong || expected != Some(tokens) || request.tokens != tokens {
            self.statistics.wrong += 1;
            tracing::error!(request_index, tokens, ?expected, "response does not match its prompt");
        }
        let elapsed = request.first_token.map_or(now - request.started_at, |at| at - request.started_at);
        let objective = class.ttft_objective
            + u64::from(planned.prompt_tokens) * class.ttft_objective_per_1000_tokens / 1000;
        let late_weight = (elapsed > objective).then_some(class.late_weight);
        let (class_index, priority_weight, request_second) =
            (planned.class, class.priority_weight, self.request_second(request_index));
        let tenant = planned.tenant;
        self.statistics.record_response(class_index, tenant, priority_weight, late_weight, request_second);
        self.statistics.record_first_token(elapsed);
        if let Some(request) = self.requests.get_mut(&request_index) {
            (request.finished, request.in_flight) = (true, None);
        }
    }

    /// Handles a token that arrived.
    fn on_token(
        &mut self,
        now: Micros,
        request_index: usize,
        index: u32,
        text: &Bytes,
        effects: &mut Effects,
    ) {
        let planned = &self.planned[request_index];
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        let state_checksum = *request.state_checksum.get_or_insert_with(|| {
            let state_bytes = self.config.state_bytes_per_token;
            crc32fast::hash(&kv_state::generate(&planned.prompt, planned.prompt_tokens, state_bytes))
        });
        if request.tokens > 0 {
            self.statistics.gaps.saturating_record(now - request.last_token);
        }
        request.wrong |= index != request.tokens || text[..] != kv_state::token_text(state_checksum, index);
        (request.tokens, request.last_token) = (request.tokens + 1, now);
        request.first_token.get_or_insert(now);
        if planned.cancel_after_tokens.is_some_and(|tokens| request.tokens >= tokens.max(1)) {
            self.cancel(request_index, effects);
        }
    }
}
