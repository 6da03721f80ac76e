//! Rule 1 as clients see it: what each client sent and received for a request.

use std::collections::BTreeMap;

use tideroute_wire::capture::CapturedFrame;
use tideroute_wire::Micros;

use crate::event_context::EventContext;
use crate::report::Rule;
use crate::response::Response;

/// A request as one end of a client's connection numbers it.
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
    pub fn submitted(&mut self, context: &mut EventContext, number: u64, timeout: Micros) {
        let captured = context.captured;
        context.report.counts.requests += 1;
        let request = ClientRequest {
            deadline: captured.at + timeout,
            sent_at: captured.at,
            ..ClientRequest::default()
        };
        if self.requests.insert(RequestKey::of(captured, number), request).is_some() {
            context.violation(Rule::Capture, None, format!("the client uses number {number} twice"));
        }
    }

    pub fn cancelled(&mut self, context: &mut EventContext, number: u64) {
        match self.requests.get_mut(&RequestKey::of(context.captured, number)) {
            Some(request) => request.is_cancelled = true,
            None => context.violation(Rule::Capture, None, format!("leaves {number}, which it never sent")),
        }
    }

    pub fn admitted(&mut self, context: &mut EventContext, number: u64) {
        let Some(request) = self.without_response(context, number) else { return };
        if request.is_admitted {
            context.violation(Rule::Lost, None, format!("number {number} was taken twice"));
        }
        request.is_admitted = true;
    }

    pub fn token(&mut self, context: &mut EventContext, number: u64, index: u32) {
        let now = context.captured.at;
        let Some(request) = self.without_response(context, number) else { return };
        let expected = request.tokens;
        request.tokens += 1;
        request.first_token_at.get_or_insert(now);
        if index != expected {
            let description = format!("number {number}: token {index} came where {expected} was due");
            context.violation(Rule::Lost, None, description);
        }
    }

    pub fn response(&mut self, context: &mut EventContext, number: u64, response: Response) {
        let Some(request) = self.without_response(context, number) else { return };
        request.responses += 1;
        let received = request.tokens;
        if !request.is_admitted && response != Response::Rejected {
            let description = format!("number {number} was answered but never taken");
            context.violation(Rule::Capture, None, description);
        }
        match response {
            Response::Completed { tokens } => {
                context.report.counts.completed += 1;
                if tokens != received {
                    let description = format!("number {number}: {received} tokens came of {tokens}");
                    context.violation(Rule::Lost, None, description);
                }
            }
            Response::Rejected => {
                context.report.counts.rejected += 1;
                if received > 0 {
                    let description = format!("number {number} was turned back after {received} tokens");
                    context.violation(Rule::Duplicate, None, description);
                }
            }
            Response::Failed => context.report.counts.failed += 1,
        }
    }

    /// The request that a client receives something for, if it had no response yet.
    fn without_response(&mut self, context: &mut EventContext, number: u64) -> Option<&mut ClientRequest> {
        let captured = context.captured;
        let Some(request) = self.requests.get_mut(&RequestKey::of(captured, number)) else {
            let description = format!("a client hears of {number}, which it never sent");
            context.violation(Rule::Capture, None, description);
            return None;
        };
        if request.responses > 0 {
            let link = captured.connection;
            let description = format!("client link {link:x} number {number}: more was sent after the answer");
            context.violation(Rule::Lost, None, description);
            return None;
        }
        Some(request)
    }

    /// Takes out the requests that ended longer ago than `age`.
    pub fn take_ended(&mut self, now: Micros, age: Micros) -> Vec<(RequestKey, ClientRequest)> {
        let has_ended = |request: &ClientRequest| {
            let last_event = request.deadline.max(request.sent_at);
            (request.is_cancelled || request.responses > 0) && last_event + age < now
        };
        self.requests.extract_if(.., |_, request| has_ended(request)).collect()
    }

    /// Takes out all requests.
    pub fn take_all(&mut self) -> BTreeMap<RequestKey, ClientRequest> {
        std::mem::take(&mut self.requests)
    }
}
