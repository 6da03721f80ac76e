//! Final responses, and clients that disconnect before theirs.

use metrics::{counter, histogram};
use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_admission::{ResponseTiming, Ticket};
use tideroute_invariants::{FinalResponse, ResponsePermit};
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::config::LifecycleConfig;
use crate::request_state::RequestState;
use crate::response::Response;
use crate::transport::Transport;
use crate::units::{to_micros, to_seconds, to_tenth_millis};

impl<Context> RequestLifecycle<Context> {
    /// Sends the final response of a request, unless it is finished already.
    pub(super) fn respond(
        &mut self,
        now: Micros,
        id: RequestId,
        response: Response,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some((response, permit)) = self.permit_response(id, response) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        self.closing.push(id);
        transport.respond(id, request, response, permit);
        record_response(&self.config, now, id, request, response);
        self.report_response_to_admission(now, id, response);
    }

    /// Returns the response that the invariants permit; `None` if the request is finished already.
    fn permit_response(&mut self, id: RequestId, response: Response) -> Option<(Response, ResponsePermit)> {
        let request = self.requests.get_mut(id).filter(|request| !request.finished)?;
        let violation = match request.record.permit_response(response.kind()) {
            Ok(permit) => return Some((response, permit)),
            Err(violation) => violation,
        };
        self.report_violation(id, violation);
        // A request that may have run must not be rejected, but the client still needs a response.
        let request = self.requests.get_mut(id)?;
        let permit = request.record.permit_response(FinalResponse::Failed).ok()?;
        Some((Response::Failed, permit))
    }

    /// Reports to tenant admission whether the request met its latency objective; admission infers the capacity from
    /// it.
    fn report_response_to_admission(&mut self, now: Micros, id: RequestId, response: Response) {
        let Some(tenant_admission) = &mut self.tenant_admission else { return };
        let Some(request) = self.requests.get(id) else { return };
        let Some(class) = self.config.scheduler.classes.get(usize::from(request.class)) else { return };
        let ttft_objective = to_micros(class.ttft_objective_for_prompt(f64::from(request.prompt_tokens)));
        let timing = match (request.first_token_at, response) {
            (Some(at), _) if at <= request.arrived_at + ttft_objective => ResponseTiming::InTime,
            (Some(_), _) | (None, Response::Rejected(_)) => ResponseTiming::Late,
            (None, _) => ResponseTiming::Unknown,
        };
        tenant_admission.admission_control.request_finished(now, Ticket(id), timing);
        self.scheduling_needed = true;
    }

    /// Handles a client that no longer waits for the response. A stream ends at once; the scheduler cancels any other
    /// attempt.
    pub fn client_disconnected(
        &mut self,
        now: Micros,
        id: RequestId,
        transport: &mut impl Transport<Context = Context>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        request.record.client_disconnected();
        self.closing.push(id);
        counter!("tideroute_clients_disconnected_total").increment(1);
        self.scheduler.client_disconnected(to_tenth_millis(now), id);
        if let Some(tenant_admission) = &mut self.tenant_admission {
            tenant_admission.admission_control.client_disconnected(now, Ticket(id));
        }
        self.scheduling_needed = true;
        let Some(attempt) = &request.attempt else { return };
        let number = attempt.number;
        if attempt.streaming {
            transport.cancel(id, attempt);
            self.finish_attempt(now, id, number, AttemptOutcome::Cancelled, transport);
        } else if transport.cancel_if_unsent(id, attempt) {
            // Otherwise the attempt would be sent once its connection is established, although no client waits for it.
            self.finish_attempt(now, id, number, AttemptOutcome::NotSent, transport);
        }
    }
}

/// Counts and logs a final response.
fn record_response<Context>(
    config: &LifecycleConfig,
    now: Micros,
    id: RequestId,
    request: &RequestState<Context>,
    response: Response,
) {
    let outcome = response.metric_label();
    let class = config.classes.get(usize::from(request.class)).cloned().unwrap_or_default();
    counter!("tideroute_responses_total", "outcome" => outcome, "class" => class).increment(1);
    let duration = now.saturating_sub(request.arrived_at);
    histogram!("tideroute_response_seconds").record(to_seconds(duration));
    tracing::debug!(id, outcome, attempts = request.attempts, "request finished");
}
