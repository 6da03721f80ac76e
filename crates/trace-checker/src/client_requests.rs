//! The clients' side of rule 1: what each client sent and received for each of its requests.

use std::collections::BTreeMap;

use tideroute_wire::capture::CapturedFrame;
use tideroute_wire::Micros;

use crate::event_context::EventContext;
use crate::report::Rule;
use crate::response::Response;

/// Identifies a request at one end of a client's connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    pub process: u32,
    pub connection: u64,
    /// The client's number for the request on this connection.
    pub number: u64,
}

impl RequestKey {
    pub fn of(captured: &CapturedFrame, number: u64) -> RequestKey {
        RequestKey { process: captured.process, connection: captured.connection, number }
    }
}

/// A request as its client saw it.
#[derive(Default)]
pub struct ClientRequest {
    pub deadline: Micros,
    pub sent_at: Micros,
    pub first_token_at: Option<Micros>,
    pub responses: u32,
    pub is_cancelled: bool,
    is_admitted: bool,
    tokens: u32,
}

/// The requests of all clients.
#[derive(Default)]
pub struct ClientRequests {
    requests: BTreeMap<RequestKey, ClientRequest>,
}

impl ClientRequests {
    pub fn request_sent(&mut self, context: &mut EventContext, number: u64, timeout: Micros) {
        let captured = context.captured;
        context.report.counts.requests += 1;
        let request = ClientRequest {
            deadline: captured.at + timeout,
            sent_at: captured.at,
            ..ClientRequest::default()
        };
        if self.requests.insert(RequestKey::of(captured, number), request).is_some() {
            context.violation(Rule::Capture, None, format!("client used request number {number} twice"));
        }
    }

    pub fn cancel_sent(&mut self, context: &mut EventContext, number: u64) {
        match self.requests.get_mut(&RequestKey::of(context.captured, number)) {
            Some(request) => request.is_cancelled = true,
            None => context.violation(
                Rule::Capture,
                None,
                format!("client cancelled request number {number}, which it never sent"),
            ),
        }
    }

    pub fn admission_received(&mut self, context: &mut EventContext, number: u64) {
        let Some(request) = self.open_request(context, number) else { return };
        if request.is_admitted {
            context.violation(Rule::Lost, None, format!("request number {number} was admitted twice"));
        }
        request.is_admitted = true;
    }

    pub fn token_received(&mut self, context: &mut EventContext, number: u64, index: u32) {
        let now = context.captured.at;
        let Some(request) = self.open_request(context, number) else { return };
        let expected = request.tokens;
        request.tokens += 1;
        request.first_token_at.get_or_insert(now);
        if index != expected {
            let description = format!(
                "request number {number}: token {index} was received, but token {expected} was expected"
            );
            context.violation(Rule::Lost, None, description);
        }
    }

    pub fn response_received(&mut self, context: &mut EventContext, number: u64, response: Response) {
        let Some(request) = self.open_request(context, number) else { return };
        request.responses += 1;
        let received = request.tokens;
        if !request.is_admitted && response != Response::Rejected {
            let description = format!("request number {number} got a response but was never admitted");
            context.violation(Rule::Capture, None, description);
        }
        match response {
            Response::Completed { tokens } => {
                context.report.counts.completed += 1;
                if tokens != received {
                    let description =
                        format!("request number {number}: {received} tokens were received of {tokens}");
                    context.violation(Rule::Lost, None, description);
                }
            }
            Response::Rejected => {
                context.report.counts.rejected += 1;
                if received > 0 {
                    let description = format!("request number {number} was rejected after {received} tokens");
                    context.violation(Rule::Duplicate, None, description);
                }
            }
            Response::Failed => context.report.counts.failed += 1,
        }
    }

    /// Returns the request that a message to the client concerns. Reports a violation and returns `None` if the client
    /// never sent the request or has received its final response already.
    fn open_request(&mut self, context: &mut EventContext, number: u64) -> Option<&mut ClientRequest> {
        let captured = context.captured;
        let Some(request) = self.requests.get_mut(&RequestKey::of(captured, number)) else {
            let description =
                format!("client received a message for request number {number}, which it never sent");
            context.violation(Rule::Capture, None, description);
            return None;
        };
        if request.responses > 0 {
            let connection = captured.connection;
            let description = format!(
                "client connection {connection:x}, request number {number}: message after the final response"
            );
            context.violation(Rule::Lost, None, description);
            return None;
        }
        Some(request)
    }

    /// Removes and returns the requests that have ended and whose deadline passed more than `age` ago.
    pub fn take_ended(&mut self, now: Micros, age: Micros) -> Vec<(RequestKey, ClientRequest)> {
        let has_ended = |request: &ClientRequest| {
            let latest_end = request.deadline.max(request.sent_at);
            (request.is_cancelled || request.responses > 0) && latest_end + age < now
        };
        self.requests.extract_if(.., |_, request| has_ended(request)).collect()
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> BTreeMap<RequestKey, ClientRequest> {
        std::mem::take(&mut self.requests)
    }
}
