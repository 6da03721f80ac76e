//! A router and a worker.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, ended, from_worker, to_worker, FromWorker, ToWorker};
use crate::{address, address_if_any, bytes_of, Address, Malformed, Micros};

/// Why a shot ended before it was answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptFailure {
    /// Slots and queue are full, or the worker drains: it never ran.
    Rejected,
    /// There was no state to fetch: it never ran.
    StateMissing,
    /// It may have run.
    ServerError,
}

/// What a worker hears from a router after its Hello.
pub trait Worker {
    fn prefill(
        &mut self,
        id: u64,
        shot: u16,
        track: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        left: Micros,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    fn reserve(
        &mut self,
        id: u64,
        prompt_tokens: u32,
        most_tokens: u32,
        reader: Address,
    ) -> Result<(), Malformed>;
    fn decode(
        &mut self,
        id: u64,
        shot: u16,
        track: u8,
        prompt_tokens: u32,
        most_tokens: u32,
        left: Micros,
        mark: u64,
        reader: Option<Address>,
        window: u32,
        session: u64,
        prefix: u64,
        prefix_tokens: u32,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    fn release(&mut self, id: u64) -> Result<(), Malformed>;
    fn cancel(&mut self, id: u64, shot: u16) -> Result<(), Malformed>;
    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed>;
    fn grant_tokens(&mut self, id: u64, shot: u16, tokens: u32) -> Result<(), Malformed>;
}

/// What a router hears from a worker.
pub trait Router {
    fn reservation_answered(&mut self, id: u64, held: bool) -> Result<(), Malformed>;
    fn prefill_completed(
        &mut self,
        id: u64,
        shot: u16,
        kept_tokens: u32,
        state_bytes: u64,
    ) -> Result<(), Malformed>;
    fn token(&mut self, id: u64, shot: u16, index: u32, text: Bytes) -> Result<(), Malformed>;
    fn completed(&mut self, id: u64, shot: u16, tokens: u32) -> Result<(), Malformed>;
    fn attempt_ended(&mut self, id: u64, shot: u16, how: AttemptFailure) -> Result<(), Malformed>;
    fn health_reported(
        &mut self,
        nonce: u64,
        reads: u32,
        streams: u32,
        waiting: u32,
    ) -> Result<(), Malformed>;
}

/// Takes one frame from a router and makes the call that it stands for.
pub fn receive_from_router(frame: &Bytes, worker: &mut impl Worker) -> Result<(), Malformed> {
    let shot = |shot| crate::small("shot", shot);
    match ToWorker::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_worker::Said::Hello(_) => Err(Malformed::Hello),
        to_worker::Said::Read(r) => worker.prefill(
            r.id,
            shot(r.shot)?,
            crate::small("track", r.track)?,
            r.session,
            r.prefix,
            r.prompt_tokens,
            r.prefix_tokens,
            r.left_us,
            r.prompt,
        ),
        to_worker::Said::Hold(h) => {
            worker.reserve(h.id, h.prompt_tokens, h.most_tokens, address("reader", &h.reader)?)
        }
        to_worker::Said::Write(w) => worker.decode(
            w.id,
            shot(w.shot)?,
            crate::small("track", w.track)?,
            w.prompt_tokens,
            w.most_tokens,
            w.left_us,
            w.mark,
            address_if_any("reader", &w.reader)?,
            w.window,
            w.session,
            w.prefix,
            w.prefix_tokens,
            w.prompt,
        ),
        to_worker::Said::LetGo(l) => worker.release(l.id),
        to_worker::Said::Withdraw(w) => worker.cancel(w.id, shot(w.shot)?),
        to_worker::Said::Probe(p) => worker.check_health(p.nonce),
        to_worker::Said::More(m) => worker.grant_tokens(m.id, shot(m.shot)?, m.tokens),
    }
}

/// Takes one frame from a worker and makes the call that it stands for.
pub fn receive_from_worker(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    let shot = |shot| crate::small("shot", shot);
    match FromWorker::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_worker::Said::HoldAnswer(h) => router.reservation_answered(h.id, h.held),
        from_worker::Said::ReadDone(r) => {
            router.prefill_completed(r.id, shot(r.shot)?, r.kept_tokens, r.state_bytes)
        }
        from_worker::Said::Token(t) => router.token(t.id, shot(t.shot)?, t.index, t.text),
        from_worker::Said::Finished(f) => router.completed(f.id, shot(f.shot)?, f.tokens),
        from_worker::Said::Ended(e) => {
            let how = match ended::How::try_from(e.how) {
                Ok(ended::How::Full) => AttemptFailure::Rejected,
                Ok(ended::How::Stateless) => AttemptFailure::StateMissing,
                Ok(ended::How::Fault) => AttemptFailure::ServerError,
                _ => return Err(Malformed::Range("how")),
            };
            router.attempt_ended(e.id, shot(e.shot)?, how)
        }
        from_worker::Said::Probed(p) => router.health_reported(p.nonce, p.reads, p.streams, p.waiting),
    }
}

pub fn prefill(
    id: u64,
    shot: u16,
    track: u8,
    session: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    left: Micros,
    prompt: Bytes,
) -> Bytes {
    to_worker(to_worker::Said::Read(made::Read {
        id,
        shot: shot.into(),
        track: track.into(),
        session,
        prefix,
        prompt_tokens,
        prefix_tokens,
        left_us: left,
        prompt,
    }))
}

pub fn reserve(id: u64, prompt_tokens: u32, most_tokens: u32, reader: Address) -> Bytes {
    let reader = bytes_of(Some(reader));
    to_worker(to_worker::Said::Hold(made::Hold { id, prompt_tokens, most_tokens, reader }))
}

pub fn decode(
    id: u64,
    shot: u16,
    track: u8,
    prompt_tokens: u32,
    most_tokens: u32,
    left: Micros,
    mark: u64,
    reader: Option<Address>,
    window: u32,
    session: u64,
    prefix: u64,
    prefix_tokens: u32,
    prompt: Bytes,
) -> Bytes {
    to_worker(to_worker::Said::Write(made::Write {
        id,
        shot: shot.into(),
        track: track.into(),
        prompt_tokens,
        most_tokens,
        left_us: left,
        mark,
        reader: bytes_of(reader),
        window,
        session,
        prefix,
        prefix_tokens,
        prompt,
    }))
}

pub fn release(id: u64) -> Bytes {
    to_worker(to_worker::Said::LetGo(made::LetGo { id }))
}

pub fn cancel(id: u64, shot: u16) -> Bytes {
    to_worker(to_worker::Said::Withdraw(made::Withdraw { id, shot: shot.into() }))
}

pub fn check_health(nonce: u64) -> Bytes {
    to_worker(to_worker::Said::Probe(made::Probe { nonce }))
}

pub fn grant_tokens(id: u64, shot: u16, tokens: u32) -> Bytes {
    to_worker(to_worker::Said::More(made::More { id, shot: shot.into(), tokens }))
}

pub fn reservation_answered(id: u64, held: bool) -> Bytes {
    from_worker(from_worker::Said::HoldAnswer(made::HoldAnswer { id, held }))
}

pub fn prefill_completed(id: u64, shot: u16, kept_tokens: u32, state_bytes: u64) -> Bytes {
    from_worker(from_worker::Said::ReadDone(made::ReadDone {
        id,
        shot: shot.into(),
        kept_tokens,
        state_bytes,
    }))
}

pub fn token(id: u64, shot: u16, index: u32, text: Bytes) -> Bytes {
    from_worker(from_worker::Said::Token(made::ShotToken { id, shot: shot.into(), index, text }))
}

pub fn completed(id: u64, shot: u16, tokens: u32) -> Bytes {
    from_worker(from_worker::Said::Finished(made::Finished { id, shot: shot.into(), tokens }))
}

pub fn attempt_ended(id: u64, shot: u16, how: AttemptFailure) -> Bytes {
    let how = match how {
        AttemptFailure::Rejected => ended::How::Full,
        AttemptFailure::StateMissing => ended::How::Stateless,
        AttemptFailure::ServerError => ended::How::Fault,
    };
    from_worker(from_worker::Said::Ended(made::Ended { id, shot: shot.into(), how: how.into() }))
}

pub fn health_reported(nonce: u64, reads: u32, streams: u32, waiting: u32) -> Bytes {
    from_worker(from_worker::Said::Probed(made::Probed { nonce, reads, streams, waiting }))
}

fn to_worker(said: to_worker::Said) -> Bytes {
    ToWorker { said: Some(said) }.encode_to_vec().into()
}

fn from_worker(said: from_worker::Said) -> Bytes {
    FromWorker { said: Some(said) }.encode_to_vec().into()
}
