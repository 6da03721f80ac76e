//! The conversation between a client and a router.

use bytes::Bytes;
use prost::Message;

use crate::fields::decode_small;
use crate::generated::{self, from_client, to_client, FromClient, ToClient};
use crate::{Malformed, Micros};

/// The messages that a router receives from a client after its Hello.
pub trait Router {
    /// The client sends a request. `number` is the client's number of the request, never used twice on a connection;
    /// `prefix` identifies the text at the beginning of the prompt that other prompts share (0 for none); `remaining`
    /// is the time until the client gives up; `idempotency_key` is the same in all retries of one request.
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        max_tokens: u32,
        remaining: Micros,
        idempotency_key: u64,
        prompt: Bytes,
    ) -> Result<(), Malformed>;
    /// The client cancels the request and expects no response.
    fn cancel(&mut self, number: u64) -> Result<(), Malformed>;
}

/// The messages that a client receives from a router: for each request `accepted`, then tokens, then one of
/// `completed`, `rejected` and `failed`.
pub trait Client {
    /// The router has assigned an id to the request.
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed>;
    /// A token of the response, with its index.
    fn token(&mut self, number: u64, index: u32, text: Bytes) -> Result<(), Malformed>;
    /// The response is complete, with this number of tokens.
    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed>;
    /// The request never ran. The client may retry it after `retry_after`; 0 if the router names no time.
    fn rejected(&mut self, number: u64, retry_after: Micros) -> Result<(), Malformed>;
    /// The request failed; it may or may not have taken effect.
    fn failed(&mut self, number: u64) -> Result<(), Malformed>;
    /// The router refused the Hello and closes the connection.
    fn unauthorized(&mut self, reason: &str) -> Result<(), Malformed>;
}

/// Decodes a frame from a client and calls the method for its message.
pub fn receive_from_client(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    match FromClient::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_client::Said::Hello(_) => Err(Malformed::Hello),
        from_client::Said::Leave(leave) => router.cancel(leave.number),
        from_client::Said::Submit(submit) => router.submit(
            submit.number,
            decode_small("track", submit.track)?,
            submit.session,
            submit.prefix,
            submit.prompt_tokens,
            submit.prefix_tokens,
            submit.most_tokens,
            submit.left_us,
            submit.mark,
            submit.prompt,
        ),
    }
}

/// Decodes a frame from a router and calls the method for its message.
pub fn receive_from_router(frame: &Bytes, client: &mut impl Client) -> Result<(), Malformed> {
    match ToClient::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_client::Said::Taken(taken) => client.accepted(taken.number, taken.id),
        to_client::Said::Token(token) => client.token(token.number, token.index, token.text),
        to_client::Said::Honoured(honoured) => client.completed(honoured.number, honoured.tokens),
        to_client::Said::TurnedBack(rejected) => client.rejected(rejected.number, rejected.after_us),
        to_client::Said::Abandoned(abandoned) => client.failed(abandoned.number),
        to_client::Said::Denied(denied) => client.unauthorized(&denied.why),
    }
}

/// Encodes the message that calls [`Router::submit`].
pub fn submit(
    number: u64,
    class: u8,
    session: u64,
    prefix: u64,
    prompt_tokens: u32,
    prefix_tokens: u32,
    max_tokens: u32,
    remaining: Micros,
    idempotency_key: u64,
    prompt: Bytes,
) -> Bytes {
    from_client(from_client::Said::Submit(generated::Submit {
        number,
        track: class.into(),
        session,
        prefix,
        prompt_tokens,
        prefix_tokens,
        most_tokens: max_tokens,
        left_us: remaining,
        mark: idempotency_key,
        prompt,
    }))
}

/// Encodes the message that calls [`Router::cancel`].
pub fn cancel(number: u64) -> Bytes {
    from_client(from_client::Said::Leave(generated::Leave { number }))
}

/// Encodes the message that calls [`Client::accepted`].
pub fn accepted(number: u64, id: u64) -> Bytes {
    to_client(to_client::Said::Taken(generated::Taken { number, id }))
}

/// Encodes the message that calls [`Client::token`].
pub fn token(number: u64, index: u32, text: Bytes) -> Bytes {
    to_client(to_client::Said::Token(generated::Token { number, index, text }))
}

/// Encodes the message that calls [`Client::completed`].
pub fn completed(number: u64, tokens: u32) -> Bytes {
    to_client(to_client::Said::Honoured(generated::Honoured { number, tokens }))
}

/// Encodes the message that calls [`Client::rejected`].
pub fn rejected(number: u64, retry_after: Micros) -> Bytes {
    to_client(to_client::Said::TurnedBack(generated::TurnedBack { number, after_us: retry_after }))
}

/// Encodes the message that calls [`Client::failed`].
pub fn failed(number: u64) -> Bytes {
    to_client(to_client::Said::Abandoned(generated::Abandoned { number }))
}

/// Encodes the message that calls [`Client::unauthorized`].
pub fn unauthorized(reason: &str) -> Bytes {
    to_client(to_client::Said::Denied(generated::Denied { why: reason.to_string() }))
}

fn from_client(message: from_client::Said) -> Bytes {
    FromClient { said: Some(message) }.encode_to_vec().into()
}

fn to_client(message: to_client::Said) -> Bytes {
    ToClient { said: Some(message) }.encode_to_vec().into()
}
