//! A client and a router.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, from_client, to_client, FromClient, ToClient};
use crate::{Malformed, Micros};

/// What a router hears from a client after its Hello.
pub trait Router {
    fn submit(
        &mut self,
        number: u64,
        track: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        most_tokens: u32,
        left: Micros,
        mark: u64,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    fn cancel(&mut self, number: u64) -> Result<(), Malformed>;
}

/// What a client hears from a router.
pub trait Client {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed>;
    fn token(&mut self, number: u64, index: u32, text: Bytes) -> Result<(), Malformed>;
    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed>;
    fn rejected(&mut self, number: u64, after: Micros) -> Result<(), Malformed>;
    fn failed(&mut self, number: u64) -> Result<(), Malformed>;
    /// Its Hello was not taken: the connection ends.
    fn unauthorized(&mut self, why: &str) -> Result<(), Malformed>;
}

/// Takes one frame from a client and makes the call that it stands for.
pub fn receive_from_client(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    match FromClient::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_client::Said::Hello(_) => Err(Malformed::Hello),
        from_client::Said::Leave(l) => router.cancel(l.number),
        from_client::Said::Submit(s) => router.submit(
            s.number,
            crate::small("track", s.track)?,
            s.session,
            s.prefix,
            s.prompt_tokens,
            s.prefix_tokens,
            s.most_tokens,
            s.left_us,
            s.mark,
            s.prompt,
        ),
    }
}

/// Takes one frame from a router and makes the call that it stands for.
pub fn receive_from_router(frame: &Bytes, client: &mut impl Client) -> Result<(), Malformed> {
    match ToClient::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_client::Said::Taken(t) => client.accepted(t.number, t.id),
        to_client::Said::Token(t) => client.token(t.number, t.index, t.text),
        to_client::Said::Honoured(h) => client.completed(h.number, h.tokens),
        to_client::Said::TurnedBack(t) => client.rejected(t.number, t.after_us),
        to_client::Said::Abandoned(a) => client.failed(a.number),
        to_client::Said::Denied(d) => client.unauthorized(&d.why),
    }
}

pub fn submit(
    number: u64,
    track: u8,
    session: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    most_tokens: u32,
    left: Micros,
    mark: u64,
    prompt: Bytes,
) -> Bytes {
    let submit = made::Submit {
        number,
        track: track.into(),
        session,
        prefix,
        prompt_tokens,
        prefix_tokens,
        most_tokens,
        left_us: left,
        mark,
        prompt,
    };
    from_client(from_client::Said::Submit(submit))
}

pub fn cancel(number: u64) -> Bytes {
    from_client(from_client::Said::Leave(made::Leave { number }))
}

pub fn accepted(number: u64, id: u64) -> Bytes {
    to_client(to_client::Said::Taken(made::Taken { number, id }))
}

pub fn token(number: u64, index: u32, text: Bytes) -> Bytes {
    to_client(to_client::Said::Token(made::Token { number, index, text }))
}

pub fn completed(number: u64, tokens: u32) -> Bytes {
    to_client(to_client::Said::Honoured(made::Honoured { number, tokens }))
}

pub fn rejected(number: u64, after: Micros) -> Bytes {
    to_client(to_client::Said::TurnedBack(made::TurnedBack { number, after_us: after }))
}

pub fn failed(number: u64) -> Bytes {
    to_client(to_client::Said::Abandoned(made::Abandoned { number }))
}

pub fn unauthorized(why: &str) -> Bytes {
    to_client(to_client::Said::Denied(made::Denied { why: why.to_string() }))
}

fn from_client(said: from_client::Said) -> Bytes {
    FromClient { said: Some(said) }.encode_to_vec().into()
}

fn to_client(said: to_client::Said) -> Bytes {
    ToClient { said: Some(said) }.encode_to_vec().into()
}
