//! The watch at discovery: one HTTP response that never ends, with a JSON object for each change of the endpoint list.
//!
//! A router counts as notified of a change six seconds after discovery had it and could be reached. A call that is
//! answered late cannot be told from one that is never answered, so neither is waited for alone: while no answer
//! comes, further calls are made beside it, and the first update on any of them ends the others. A call that is never
//! answered then delays the update by one interval, and a slow one is not ended by the wait for it.
//!
//! - A watch without a complete line for [`HEARTBEAT_TIMEOUT`] is doubted, but kept until another call is answered.
//! - The next call follows after [`MIN_CALL_INTERVAL`], then after [`MAX_CALL_INTERVAL`] each; after a call that
//!   failed, within [`MAX_RETRY_PAUSE`].
//! - [`MAX_CALLS`] may be open. For one more, the oldest but one is given up, which has then waited for some seconds.
//!   The oldest is given up only after [`MIN_PATIENCE`], which doubles each time up to [`MAX_PATIENCE`]: a discovery
//!   too slow for the six seconds is still heard.

use bytes::Bytes;
use tideroute_http::{write, HttpError};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::json_splitter::NotJson;
use crate::timers::{Timeout, TimerKey};

mod call;

pub use call::ReceivedLines;
use call::{CallStage, WatchCall, HEARTBEAT_TIMEOUT, MAX_OBJECT_BYTES};

/// Microseconds until a second call is made beside the first one; doubled up to [`MAX_CALL_INTERVAL`] for each further
/// call.
const MIN_CALL_INTERVAL: Micros = 500_000;
const MAX_CALL_INTERVAL: Micros = 1_000_000;
/// Microseconds until the next call after one has failed; doubled up to [`MAX_RETRY_PAUSE`] while none succeeds.
const MIN_RETRY_PAUSE: Micros = 100_000;
const MAX_RETRY_PAUSE: Micros = 400_000;
const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Maximum number of open calls.
const MAX_CALLS: usize = 6;
/// Microseconds without a line after which the oldest call may be given up; doubled up to [`MAX_PATIENCE`] while no
/// call is answered.
const MIN_PATIENCE: Micros = 10_000_000;
const MAX_PATIENCE: Micros = 60_000_000;
/// Microseconds within which a connection must be accepted. The watch itself gives calls up.
const CONNECT_TIMEOUT: Micros = MAX_PATIENCE;
/// Maximum number of received bytes of incomplete objects of all calls: two calls can always complete theirs.
const MAX_INCOMPLETE_BYTES: usize = 2 * MAX_OBJECT_BYTES;

/// Why the data of a watch cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is invalid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response has another status than 200.
    #[error("the status is {0}")]
    Status(u16),
    /// The body is not a stream of JSON objects.
    #[error(transparent)]
    Json(#[from] NotJson),
}

/// The calls to discovery, and when the next one is made.
#[derive(Debug)]
pub struct DiscoveryWatch {
    /// The address of discovery that is in force.
    address: Address,
    /// Open calls, the oldest first.
    calls: Vec<WatchCall>,
    /// When the next call is made.
    next_call: Timeout,
    /// Microseconds until the call after the next one, if neither is answered.
    call_interval: Micros,
    /// Microseconds until the next call after one has failed.
    retry_pause: Micros,
    /// Microseconds without a line after which the oldest call may be given up.
    patience: Micros,
}

impl DiscoveryWatch {
    /// Creates a watch at `address` that has made no call.
    pub fn new(address: Address) -> DiscoveryWatch {
        DiscoveryWatch {
            address,
            calls: vec![],
            next_call: Timeout::NEVER,
            call_interval: MIN_CALL_INTERVAL,
            retry_pause: MIN_RETRY_PAUSE,
            patience: MIN_PATIENCE,
        }
    }

    /// Returns whether a call is open on `connection`.
    pub fn is_on(&self, connection: ConnectionId) -> bool {
        self.calls.iter().any(|call| call.connection == connection)
    }

    /// Calls discovery for changes after a version of the list, unless a call is open.
    pub fn open(&mut self, now: Micros, version: u64, effects: &mut Effects) {
        if self.calls.is_empty() {
            self.call(now, version, effects);
        }
    }

    /// Handles the watch's timer: makes the next call if it is due.
    pub fn timer_fired(&mut self, now: Micros, version: u64, effects: &mut Effects) {
        if self.next_call.has_expired(now, TimerKey::DiscoveryWatch, effects) {
            self.call(now, version, effects);
        }
    }

    /// Takes the address of a new configuration, and calls discovery there. A call elsewhere that is not answered yet
    /// stays open until one at the new address is: if configurations follow each other faster than discovery answers,
    /// its answer still arrives.
    pub fn reload(&mut self, now: Micros, address: Address, version: u64, effects: &mut Effects) {
        self.address = address;
        self.end_calls(effects, |call| call.address != address && call.stage == CallStage::Answered);
        self.patience = MIN_PATIENCE;
        self.reset_pauses();
        let last_call = self.calls.iter().rfind(|call| call.address == address);
        match last_call.map(|call| call.made_at + MIN_CALL_INTERVAL).filter(|due| *due > now) {
            Some(due) => self.call_by(due, effects),
            None => self.call(now, version, effects),
        }
    }

    fn call(&mut self, now: Micros, version: u64, effects: &mut Effects) {
        if let Some(latest) = self.calls.last() {
            tracing::warn!(
                open_calls = self.calls.len(),
                stage = ?latest.stage,
                waiting_ms = now.saturating_sub(latest.waiting_since()) / MICROS_PER_MILLISECOND,
                "discovery does not answer; calling it again"
            );
        }
        if self.calls.len() >= MAX_CALLS {
            self.give_up_call(now, effects);
        }
        let connection = effects.connect(self.address, CONNECT_TIMEOUT);
        let target = format!("{}{version}", headers::WATCH_PATH);
        effects.send(connection, write::request("GET", &target, [("host", "discovery")], None));
        self.calls.push(WatchCall::new(now, connection, self.address));
        self.next_call.set(now + self.call_interval, TimerKey::DiscoveryWatch, effects);
        self.call_interval = (self.call_interval * 2).min(MAX_CALL_INTERVAL);
    }

    /// Gives up the oldest call if it has waited for long enough, otherwise the one after it.
    fn give_up_call(&mut self, now: Micros, effects: &mut Effects) {
        let is_oldest_spent =
            self.calls.first().is_some_and(|call| now >= call.waiting_since() + self.patience);
        if is_oldest_spent {
            self.patience = (self.patience * 2).min(MAX_PATIENCE);
        }
        let call = self.calls.remove(usize::from(!is_oldest_spent));
        effects.abort(call.connection);
    }

    /// Records that the connection of a call is established.
    pub fn connected(&mut self, connection: ConnectionId) {
        if let Some(call) = self.call_on(connection) {
            call.stage = CallStage::AwaitingHead;
        }
    }

    /// Takes received bytes of a call and returns the lines that are complete now. Once they are applied,
    /// [`line_applied`](Self::line_applied) follows; if they cannot be used, [`call_failed`](Self::call_failed).
    pub fn on_data(
        &mut self,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) -> Result<ReceivedLines, WatchError> {
        let Some(call) = self.call_on(connection) else { return Ok(ReceivedLines::default()) };
        let lines = call.on_data(bytes)?;
        if !lines.is_line_complete {
            self.limit_incomplete_bytes(effects);
        }
        Ok(lines)
    }

    /// Ends the calls that have received the least while all incomplete objects together exceed their limit.
    fn limit_incomplete_bytes(&mut self, effects: &mut Effects) {
        while self.calls.iter().map(WatchCall::incomplete_bytes).sum::<usize>() > MAX_INCOMPLETE_BYTES {
            let receiving = self.calls.iter().filter(|call| call.incomplete_bytes() > 0);
            let least = receiving.min_by_key(|call| call.incomplete_bytes()).map(|call| call.connection);
            self.end_calls(effects, |call| Some(call.connection) == least);
        }
    }

    /// Records that a line was received on a call, and that its update, if there is one, was applied. An update ends
    /// the other calls. Returns whether the list in force is now the one that discovery has: after an update, or an
    /// empty line that follows one without a gap.
    pub fn line_applied(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_update: bool,
        effects: &mut Effects,
    ) -> bool {
        let address = self.address;
        let Some(call) = self.call_on(connection) else { return is_update };
        let is_synced = is_update || call.stage == CallStage::Answered && call.is_working(now);
        call.last_line_at = Some(now);
        if is_update {
            call.stage = CallStage::Answered;
        }
        if call.address != address {
            self.end_calls(effects, |call| call.connection == connection && is_update);
            return is_synced;
        }
        self.reset_pauses();
        self.next_call.set(now + HEARTBEAT_TIMEOUT, TimerKey::DiscoveryWatch, effects);
        if is_update {
            self.patience = MIN_PATIENCE;
            self.end_calls(effects, |call| call.connection != connection);
        }
        is_synced
    }

    /// Ends a call that failed. Another one follows after a pause, unless one of those that remain works.
    pub fn call_failed(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        self.end_calls(effects, |call| call.connection == connection);
        if !self.has_working_call(now) {
            self.call_by(now + self.retry_pause, effects);
            self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Returns whether lines arrive on a call to the address in force.
    fn has_working_call(&self, now: Micros) -> bool {
        self.calls.iter().any(|call| call.address == self.address && call.is_working(now))
    }

    fn call_on(&mut self, connection: ConnectionId) -> Option<&mut WatchCall> {
        self.calls.iter_mut().find(|call| call.connection == connection)
    }

    /// Makes the next call at `due`, unless it is made earlier.
    fn call_by(&mut self, due: Micros, effects: &mut Effects) {
        let due = due.min(self.next_call.expires_at());
        self.next_call.set(due, TimerKey::DiscoveryWatch, effects);
    }

    fn reset_pauses(&mut self) {
        self.call_interval = MIN_CALL_INTERVAL;
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    fn end_calls(&mut self, effects: &mut Effects, ends: impl Fn(&WatchCall) -> bool) {
        for call in self.calls.extract_if(.., |call| ends(call)) {
            effects.abort(call.connection);
        }
    }
}
