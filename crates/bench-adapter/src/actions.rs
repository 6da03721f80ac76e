//! Action records of a reply.

use tideroute::types::{Action, RequestId, TenthMillis};

use crate::instances::InstanceId;

/// Codes of the records, each with its name on the bench's wire.
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

/// Turns the subscription to the endpoint list on.
const SUBSCRIBE: u8 = 1;

/// The bench returns the cookie when the timer fires. The scheduler needs none: any timer only wakes it.
const TIMER_COOKIE: u32 = 0;

/// Tenths of a millisecond in a millisecond, the unit of the wire.
const TENTHS_PER_MILLI: f64 = 10.0;

/// Appends the record of one action.
pub fn encode(action: Action, instance: InstanceId, buffer: &mut Vec<u8>) {
    match action {
        Action::Dispatch { id, worker, timeout } => {
            head_with_request(code::DISPATCH, instance, id, buffer);
            buffer.extend(worker);
            buffer.extend(millis(timeout));
        }
        Action::ReserveDecode { id, worker } => {
            head_with_request(code::RESERVE_DECODE, instance, id, buffer);
            buffer.extend(worker);
        }
        Action::Release { id } => head_with_request(code::RELEASE, instance, id, buffer),
        Action::CancelAttempt { id, attempt } => {
            head_with_request(code::CANCEL_ATTEMPT, instance, id, buffer);
            buffer.extend(attempt.to_le_bytes());
        }
        Action::Reject { id, retry_after } => {
            head_with_request(code::REJECT, instance, id, buffer);
            buffer.extend(millis(retry_after));
        }
        Action::Fail { id } => head_with_request(code::FAIL, instance, id, buffer),
        Action::CheckHealth { worker } => {
            head(code::CHECK_HEALTH, instance, buffer);
            buffer.extend(worker);
        }
        Action::WatchEndpoints => {
            head(code::WATCH_ENDPOINTS, instance, buffer);
            buffer.push(SUBSCRIBE);
        }
        Action::SetTimer { delay } => {
            head(code::SET_TIMER, instance, buffer);
            buffer.extend(millis(delay));
            buffer.extend(TIMER_COOKIE.to_le_bytes());
        }
    }
}

fn head(code: u8, instance: InstanceId, buffer: &mut Vec<u8>) {
    buffer.push(code);
    buffer.extend(instance.to_le_bytes());
}

fn head_with_request(code: u8, instance: InstanceId, id: RequestId, buffer: &mut Vec<u8>) {
    head(code, instance, buffer);
    buffer.extend(id.to_le_bytes());
}

fn millis(duration: TenthMillis) -> [u8; 8] {
    (duration as f64 / TENTHS_PER_MILLI).to_le_bytes()
}
