//! Encodes the scheduler's actions as the records of a reply.

use tideroute::types::{Action, RequestId, TenthMillis};

use crate::instances::InstanceId;

/// Codes of the action records, each with its name in the bench's protocol.
mod code {
    /// `SubmitTo`
    pub const DISPATCH: u8 = 20;
    /// `NotifyMe`
    pub const SET_TIMER: u8 = 30;
    /// `Subscribe`
    pub const WATCH_ENDPOINTS: u8 = 40;
    /// `PairEarly`
    pub const RESERVE_DECODE: u8 = 60;
    /// `Test`
    pub const CHECK_HEALTH: u8 = 80;
    /// `Withdraw`
    pub const CANCEL_ATTEMPT: u8 = 100;
    /// `GiveUpHold`
    pub const RELEASE: u8 = 110;
    /// `GiveUp`
    pub const FAIL: u8 = 130;
    /// `NotNow`
    pub const REJECT: u8 = 140;
}

/// Value of a `Subscribe` record that starts the subscription to the endpoint list.
const SUBSCRIBE: u8 = 1;

/// The bench returns this cookie when the timer fires. The scheduler does not need to tell timers apart: each timer
/// only makes it run.
const TIMER_COOKIE: u32 = 0;

/// Tenths of a millisecond per millisecond. The protocol counts time in milliseconds.
const TENTHS_PER_MILLI: f64 = 10.0;

/// Appends the record of one action.
pub fn encode(action: Action, instance: InstanceId, buffer: &mut Vec<u8>) {
    match action {
        Action::Dispatch { id, worker, timeout } => {
            encode_request_head(code::DISPATCH, instance, id, buffer);
            buffer.extend(worker);
            buffer.extend(encode_millis(timeout));
        }
        Action::ReserveDecode { id, worker } => {
            encode_request_head(code::RESERVE_DECODE, instance, id, buffer);
            buffer.extend(worker);
        }
        Action::Release { id } => encode_request_head(code::RELEASE, instance, id, buffer),
        Action::CancelAttempt { id, attempt } => {
            encode_request_head(code::CANCEL_ATTEMPT, instance, id, buffer);
            buffer.extend(attempt.to_le_bytes());
        }
        Action::Reject { id, retry_after } => {
            encode_request_head(code::REJECT, instance, id, buffer);
            buffer.extend(encode_millis(retry_after));
        }
        Action::Fail { id } => encode_request_head(code::FAIL, instance, id, buffer),
        Action::CheckHealth { worker } => {
            encode_head(code::CHECK_HEALTH, instance, buffer);
            buffer.extend(worker);
        }
        Action::WatchEndpoints => {
            encode_head(code::WATCH_ENDPOINTS, instance, buffer);
            buffer.push(SUBSCRIBE);
        }
        Action::SetTimer { delay } => {
            encode_head(code::SET_TIMER, instance, buffer);
            buffer.extend(encode_millis(delay));
            buffer.extend(TIMER_COOKIE.to_le_bytes());
        }
    }
}

/// Appends the fields with which each record begins.
fn encode_head(code: u8, instance: InstanceId, buffer: &mut Vec<u8>) {
    buffer.push(code);
    buffer.extend(instance.to_le_bytes());
}

/// Appends the fields with which each record that concerns a request begins.
fn encode_request_head(code: u8, instance: InstanceId, id: RequestId, buffer: &mut Vec<u8>) {
    encode_head(code, instance, buffer);
    buffer.extend(id.to_le_bytes());
}

/// Encodes a duration in milliseconds.
fn encode_millis(duration: TenthMillis) -> [u8; 8] {
    (duration as f64 / TENTHS_PER_MILLI).to_le_bytes()
}
