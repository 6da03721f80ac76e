//! The conversation between a router and a worker.
//!
//! A request is identified by the id that the router assigned, an attempt by its number within the request.

use bytes::Bytes;
use prost::Message;

use crate::fields::{
    decode_address, decode_optional_address, decode_small, encode_address, encode_optional_address,
};
use crate::generated::{self, ended, from_worker, to_worker, FromWorker, ToWorker};
use crate::{Address, Malformed, Micros};

/// The reason why an attempt ended without a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptFailure {
    /// All slots and the queue are full, or the worker is draining. The attempt never ran.
    Rejected,
    /// The prefill worker had no KV state to fetch. The attempt never ran.
    StateMissing,
    /// The attempt failed at the worker; it may have run.
    ServerError,
}

/// The messages that a worker receives from a router after its Hello.
pub trait Worker {
    /// The worker is to prefill the prompt and keep its KV state. `remaining` is the time until the deadline.
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        remaining: Micros,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    /// The worker is to reserve a decode slot for a request whose prefill runs at `prefill_worker`.
    fn reserve(
        &mut self,
        id: u64,
        prompt_tokens: u32,
        max_tokens: u32,
        prefill_worker: Address,
    ) -> Result<(), Malformed>;
    /// The worker is to fetch the KV state from the prefill worker and generate tokens. If `prefill_worker` is `None`,
    /// a mixed worker prefills the prompt itself. The worker sends at most `window` tokens before it receives
    /// [`grant_tokens`](Worker::grant_tokens).
    fn decode(
        &mut self,
        id: u64,
        attempt: u16,
        class: u8,
        prompt_tokens: u32,
        max_tokens: u32,
        remaining: Micros,
        idempotency_key: u64,
        prefill_worker: Option<Address>,
        window: u32,
        session: u64,
        prefix: u64,
        prefix_tokens: u32,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    /// The worker is to release the KV state of a request and the decode slot reserved for it.
    fn release(&mut self, id: u64) -> Result<(), Malformed>;
    /// The worker is to cancel an attempt and release the KV state that the attempt has left behind.
    fn cancel(&mut self, id: u64, attempt: u16) -> Result<(), Malformed>;
    /// The worker is to answer a health check with the same nonce.
    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed>;
    /// The worker may send this many more tokens of an attempt.
    fn grant_tokens(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed>;
}

/// The messages that a router receives from a worker.
pub trait Router {
    /// The worker answered a decode reservation; `granted` is true if a decode slot is reserved for the request.
    fn reservation_answered(&mut self, id: u64, granted: bool) -> Result<(), Malformed>;
    /// A prefill is complete. `cached_tokens` of its prompt tokens were in the prefix cache; its KV state takes
    /// `state_bytes` bytes.
    fn prefill_completed(
        &mut self,
        id: u64,
        attempt: u16,
        cached_tokens: u32,
        state_bytes: u64,
    ) -> Result<(), Malformed>;
    /// A token of the attempt, with its index.
    fn token(&mut self, id: u64, attempt: u16, index: u32, text: Bytes) -> Result<(), Malformed>;
    /// The attempt has generated all its tokens, `tokens` in number.
    fn completed(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed>;
    /// The attempt ended without a response.
    fn attempt_ended(&mut self, id: u64, attempt: u16, failure: AttemptFailure) -> Result<(), Malformed>;
    /// The worker answered a health check: `prefills` and `streams` are running, and `waiting` attempts are queued.
    fn health_reported(
        &mut self,
        nonce: u64,
        prefills: u32,
        streams: u32,
        waiting: u32,
    ) -> Result<(), Malformed>;
}

/// Decodes a frame from a router and calls the method for its message.
pub fn receive_from_router(frame: &Bytes, worker: &mut impl Worker) -> Result<(), Malformed> {
    match ToWorker::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_worker::Said::Hello(_) => Err(Malformed::Hello),
        to_worker::Said::Read(prefill) => receive_prefill(prefill, worker),
        to_worker::Said::Hold(hold) => {
            let prefill_worker = decode_address("reader", &hold.reader)?;
            worker.reserve(hold.id, hold.prompt_tokens, hold.most_tokens, prefill_worker)
        }
        to_worker::Said::Write(decode) => receive_decode(decode, worker),
        to_worker::Said::LetGo(release) => worker.release(release.id),
        to_worker::Said::Withdraw(cancel) => worker.cancel(cancel.id, decode_attempt(cancel.shot)?),
        to_worker::Said::Probe(probe) => worker.check_health(probe.nonce),
        to_worker::Said::More(more) => worker.grant_tokens(more.id, decode_attempt(more.shot)?, more.tokens),
    }
}

fn receive_prefill(message: generated::Read, worker: &mut impl Worker) -> Result<(), Malformed> {
    worker.prefill(
        message.id,
        decode_attempt(message.shot)?,
        decode_small("track", message.track)?,
        message.session,
        message.prefix,
        message.prompt_tokens,
        message.prefix_tokens,
        message.left_us,
        message.prompt,
    )
}

fn receive_decode(message: generated::Write, worker: &mut impl Worker) -> Result<(), Malformed> {
    worker.decode(
        message.id,
        decode_attempt(message.shot)?,
        decode_small("track", message.track)?,
        message.prompt_tokens,
        message.most_tokens,
        message.left_us,
        message.mark,
        decode_optional_address("reader", &message.reader)?,
        message.window,
        message.session,
        message.prefix,
        message.prefix_tokens,
        message.prompt,
    )
}

/// Decodes a frame from a worker and calls the method for its message.
pub fn receive_from_worker(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    match FromWorker::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_worker::Said::HoldAnswer(answer) => router.reservation_answered(answer.id, answer.held),
        from_worker::Said::ReadDone(done) => {
            router.prefill_completed(done.id, decode_attempt(done.shot)?, done.kept_tokens, done.state_bytes)
        }
        from_worker::Said::Token(token) => {
            router.token(token.id, decode_attempt(token.shot)?, token.index, token.text)
        }
        from_worker::Said::Finished(finished) => {
            router.completed(finished.id, decode_attempt(finished.shot)?, finished.tokens)
        }
        from_worker::Said::Ended(ended) => {
            let failure = decode_failure(ended.how)?;
            router.attempt_ended(ended.id, decode_attempt(ended.shot)?, failure)
        }
        from_worker::Said::Probed(report) => {
            router.health_reported(report.nonce, report.reads, report.streams, report.waiting)
        }
    }
}

fn decode_attempt(attempt: u32) -> Result<u16, Malformed> {
    decode_small("shot", attempt)
}

fn decode_failure(how: i32) -> Result<AttemptFailure, Malformed> {
    match ended::How::try_from(how) {
        Ok(ended::How::Full) => Ok(AttemptFailure::Rejected),
        Ok(ended::How::Stateless) => Ok(AttemptFailure::StateMissing),
        Ok(ended::How::Fault) => Ok(AttemptFailure::ServerError),
        _ => Err(Malformed::Range("how")),
    }
}

/// Encodes the message that calls [`Worker::prefill`].
pub fn prefill(
    id: u64,
    attempt: u16,
    class: u8,
    session: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    remaining: Micros,
    prompt: Bytes,
) -> Bytes {
    to_worker(to_worker::Said::Read(generated::Read {
        id,
        shot: attempt.into(),
        track: class.into(),
        session,
        prefix,
        prompt_tokens,
        prefix_tokens,
        left_us: remaining,
        prompt,
    }))
}

/// Encodes the message that calls [`Worker::reserve`].
pub fn reserve(id: u64, prompt_tokens: u32, max_tokens: u32, prefill_worker: Address) -> Bytes {
    to_worker(to_worker::Said::Hold(generated::Hold {
        id,
        prompt_tokens,
        most_tokens: max_tokens,
        reader: encode_address(prefill_worker),
    }))
}

/// Encodes the message that calls [`Worker::decode`].
pub fn decode(
    id: u64,
    attempt: u16,
    class: u8,
    prompt_tokens: u32,
    max_tokens: u32,
    remaining: Micros,
    idempotency_key: u64,
    prefill_worker: Option<Address>,
    window: u32,
    session: u64,
    prefix: u64,
    prefix_tokens: u32,
    prompt: Bytes,
) -> Bytes {
    to_worker(to_worker::Said::Write(generated::Write {
        id,
        shot: attempt.into(),
        track: class.into(),
        prompt_tokens,
        most_tokens: max_tokens,
        left_us: remaining,
        mark: idempotency_key,
        reader: encode_optional_address(prefill_worker),
        window,
        session,
        prefix,
        prefix_tokens,
        prompt,
    }))
}

/// Encodes the message that calls [`Worker::release`].
pub fn release(id: u64) -> Bytes {
    to_worker(to_worker::Said::LetGo(generated::LetGo { id }))
}

/// Encodes the message that calls [`Worker::cancel`].
pub fn cancel(id: u64, attempt: u16) -> Bytes {
    to_worker(to_worker::Said::Withdraw(generated::Withdraw { id, shot: attempt.into() }))
}

/// Encodes the message that calls [`Worker::check_health`].
pub fn check_health(nonce: u64) -> Bytes {
    to_worker(to_worker::Said::Probe(generated::Probe { nonce }))
}

/// Encodes the message that calls [`Worker::grant_tokens`].
pub fn grant_tokens(id: u64, attempt: u16, tokens: u32) -> Bytes {
    to_worker(to_worker::Said::More(generated::More { id, shot: attempt.into(), tokens }))
}

/// Encodes the message that calls [`Router::reservation_answered`].
pub fn reservation_answered(id: u64, granted: bool) -> Bytes {
    from_worker(from_worker::Said::HoldAnswer(generated::HoldAnswer { id, held: granted }))
}

/// Encodes the message that calls [`Router::prefill_completed`].
pub fn prefill_completed(id: u64, attempt: u16, cached_tokens: u32, state_bytes: u64) -> Bytes {
    from_worker(from_worker::Said::ReadDone(generated::ReadDone {
        id,
        shot: attempt.into(),
        kept_tokens: cached_tokens,
        state_bytes,
    }))
}

/// Encodes the message that calls [`Router::token`].
pub fn token(id: u64, attempt: u16, index: u32, text: Bytes) -> Bytes {
    from_worker(from_worker::Said::Token(generated::ShotToken { id, shot: attempt.into(), index, text }))
}

/// Encodes the message that calls [`Router::completed`].
pub fn completed(id: u64, attempt: u16, tokens: u32) -> Bytes {
    from_worker(from_worker::Said::Finished(generated::Finished { id, shot: attempt.into(), tokens }))
}

/// Encodes the message that calls [`Router::attempt_ended`].
pub fn attempt_ended(id: u64, attempt: u16, failure: AttemptFailure) -> Bytes {
    let how = match failure {
        AttemptFailure::Rejected => ended::How::Full,
        AttemptFailure::StateMissing => ended::How::Stateless,
        AttemptFailure::ServerError => ended::How::Fault,
    };
    from_worker(from_worker::Said::Ended(generated::Ended { id, shot: attempt.into(), how: how.into() }))
}

/// Encodes the message that calls [`Router::health_reported`].
pub fn health_reported(nonce: u64, prefills: u32, streams: u32, waiting: u32) -> Bytes {
    from_worker(from_worker::Said::Probed(generated::Probed { nonce, reads: prefills, streams, waiting }))
}

fn to_worker(message: to_worker::Said) -> Bytes {
    ToWorker { said: Some(message) }.encode_to_vec().into()
}

fn from_worker(message: from_worker::Said) -> Bytes {
    FromWorker { said: Some(message) }.encode_to_vec().into()
}
