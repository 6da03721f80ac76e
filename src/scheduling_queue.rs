//! The queue of requests that need a decision. It is updated as requests change, so that the cost of a scheduling
//! pass depends on the number of changes, not on the number of open requests. This module makes no decisions: the
//! scheduler sets each request's position and how long the request stays parked.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::types::{RequestId, TenthMillis};

/// The sort key of requests that need a decision: prefilled requests come first, then earlier latency objectives.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The request has no KV state yet, so it needs a prefill.
    pub needs_prefill: bool,
    /// The time by which the request's first token is wanted.
    pub ttft_objective: TenthMillis,
    /// The request.
    pub id: RequestId,
}

/// The greatest possible key.
const LAST_KEY: QueueKey =
    QueueKey { needs_prefill: true, ttft_objective: TenthMillis::MAX, id: RequestId::MAX };

/// The length of a prompt in tokens, with a total order.
#[derive(Clone, Copy, Default)]
pub struct PromptTokens(pub f64);

impl Ord for PromptTokens {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for PromptTokens {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PromptTokens {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for PromptTokens {}

/// A waiting request about which no pass can decide anything new before a certain time, as long as no prefill
/// worker takes its prompt.
#[derive(Clone, Copy)]
pub struct Parked {
    /// The latest time until which the request stays parked.
    pub until: TenthMillis,
    /// The length of the request's prompt.
    pub prompt: PromptTokens,
}

/// The position of a request in the queue.
#[derive(Clone, Copy, Default)]
pub struct QueuePosition {
    /// Set if the request needs a decision.
    pub key: Option<QueueKey>,
    /// Set if the request is parked; only set together with `key`.
    pub parked: Option<Parked>,
    /// The time from which the request's attempt may count as lost; set while the attempt is unanswered.
    pub suspicious_from: Option<TenthMillis>,
}

/// The requests that need a decision, and those whose attempt is awaited.
#[derive(Default)]
pub struct SchedulingQueue {
    all: BTreeSet<QueueKey>,
    unparked: BTreeSet<QueueKey>,
    parked_by_class: BTreeMap<u8, BTreeSet<(TenthMillis, RequestId)>>,
    parked_by_prompt: BTreeSet<(PromptTokens, QueueKey)>,
    /// An upper bound of the usable waits of all parked requests; reset when none is parked.
    longest_usable_wait: f64,
    /// Requests with an unanswered attempt, by the time from which it may count as lost.
    awaited: BTreeSet<(TenthMillis, RequestId)>,
}

impl SchedulingQueue {
    /// Moves a request of a class from its present `position` to `new`, and stores `new` in `position`.
    pub fn reposition(&mut self, id: RequestId, class: u8, position: &mut QueuePosition, new: QueuePosition) {
        let old = std::mem::replace(position, new);
        self.remove(id, class, old);
        self.insert(id, class, new);
    }

    fn remove(&mut self, id: RequestId, class: u8, old: QueuePosition) {
        if let Some(key) = old.key {
            self.all.remove(&key);
            self.unparked.remove(&key);
        }
        if let (Some(parked), Some(key)) = (old.parked, old.key) {
            if let Some(of_class) = self.parked_by_class.get_mut(&class) {
                of_class.remove(&(parked.until, id));
            }
            self.parked_by_prompt.remove(&(parked.prompt, key));
            if self.parked_by_prompt.is_empty() {
                self.longest_usable_wait = 0.0;
            }
        }
        if let Some(at) = old.suspicious_from {
            self.awaited.remove(&(at, id));
        }
    }

    fn insert(&mut self, id: RequestId, class: u8, new: QueuePosition) {
        self.all.extend(new.key);
        if let (Some(parked), Some(key)) = (new.parked, new.key) {
            self.parked_by_class.entry(class).or_default().insert((parked.until, id));
            self.parked_by_prompt.insert((parked.prompt, key));
        } else {
            self.unparked.extend(new.key);
        }
        self.awaited.extend(new.suspicious_from.map(|at| (at, id)));
    }

    /// Returns the first request after `last` that needs a decision.
    pub fn next(&self, last: Option<QueueKey>) -> Option<QueueKey> {
        self.all.range(keys_after(last)).next().copied()
    }

    /// Returns the first request after `last` that is not parked or is in `due`.
    pub fn next_unparked(&self, last: Option<QueueKey>, due: &BTreeSet<QueueKey>) -> Option<QueueKey> {
        let unparked = self.unparked.range(keys_after(last)).next();
        let due = due.range(keys_after(last)).next();
        unparked.into_iter().chain(due).min().copied()
    }

    /// Returns the classes of which any request was ever parked.
    pub fn parked_classes(&self) -> Vec<u8> {
        self.parked_by_class.keys().copied().collect()
    }

    /// Returns the requests of a class that are parked until `until` or earlier.
    pub fn parked_until(&self, class: u8, until: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        let of_class = self.parked_by_class.get(&class).into_iter();
        of_class.flat_map(move |parked| parked.range(..=(until, RequestId::MAX)).map(|(_, id)| *id))
    }

    /// Returns whether any request is parked.
    pub fn any_parked(&self) -> bool {
        !self.parked_by_prompt.is_empty()
    }

    /// Returns the parked requests whose prompt has at most `tokens` tokens.
    pub fn parked_with_prompt_up_to(&self, tokens: f64) -> impl Iterator<Item = QueueKey> + '_ {
        self.parked_by_prompt.range(..=(PromptTokens(tokens), LAST_KEY)).map(|(_, key)| *key)
    }

    /// Records the usable wait of a parked request: how long a prefill worker may take to answer.
    pub fn record_usable_wait(&mut self, wait: f64) {
        self.longest_usable_wait = self.longest_usable_wait.max(wait);
    }

    /// Returns an upper bound of the usable waits of all parked requests.
    pub fn longest_usable_wait(&self) -> f64 {
        self.longest_usable_wait
    }

    /// Returns the requests whose attempt may count as lost by now.
    pub fn suspicious(&self, now: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        self.awaited.range(..=(now, RequestId::MAX)).map(|(_, id)| *id)
    }

    /// Returns whether any attempt is unanswered.
    pub fn any_awaited(&self) -> bool {
        !self.awaited.is_empty()
    }
}

/// Returns the range of the keys after `last`, or of all keys if it is None.
fn keys_after(last: Option<QueueKey>) -> (Bound<QueueKey>, Bound<QueueKey>) {
    (last.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded)
}
