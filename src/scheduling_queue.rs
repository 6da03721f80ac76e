//! Which requests need a decision, kept as they change, so that a scheduling pass costs what happens and not what is
//! open. It decides nothing: the scheduler says where a request stands and until when to leave it alone.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::types::{RequestId, TenthMillis};

/// The order in which requests are decided about: those that are prefilled first, then by latency objective.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Nothing of it is prefilled yet.
    pub needs_prefill: bool,
    /// When its first token is wanted.
    pub ttft_objective: TenthMillis,
    /// The request.
    pub id: RequestId,
}

/// The last key of all.
const LAST_KEY: QueueKey =
    QueueKey { needs_prefill: true, ttft_objective: TenthMillis::MAX, id: RequestId::MAX };

/// Tokens of a prompt, in a total order.
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

/// A request that, while no prefill worker takes any more, no pass can change before a certain time.
#[derive(Clone, Copy)]
pub struct Parked {
    /// Until when at the latest it stays parked.
    pub until: TenthMillis,
    /// Its prompt.
    pub prompt: PromptTokens,
}

/// Where a request stands in the queue.
#[derive(Clone, Copy, Default)]
pub struct QueuePosition {
    /// Set if it needs a decision.
    pub key: Option<QueueKey>,
    /// Set if it may be left alone; only together with `key`.
    pub parked: Option<Parked>,
    /// Its attempt has not begun to answer, and may count as lost from then on.
    pub suspicious_from: Option<TenthMillis>,
}

/// The requests that need a decision, and those whose attempt is awaited.
#[derive(Default)]
pub struct SchedulingQueue {
    all: BTreeSet<QueueKey>,
    unparked: BTreeSet<QueueKey>,
    parked_by_class: BTreeMap<u8, BTreeSet<(TenthMillis, RequestId)>>,
    parked_by_prompt: BTreeSet<(PromptTokens, QueueKey)>,
    longest_usable_wait: f64,
    awaited: BTreeSet<(TenthMillis, RequestId)>,
}

impl SchedulingQueue {
    /// Moves a request of a class from `position`, where it stands so far, to `new`.
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

    /// The next after `last` of all that need a decision.
    pub fn next(&self, last: Option<QueueKey>) -> Option<QueueKey> {
        self.all.range(after(last)).next().copied()
    }

    /// The next after `last` of those that are not parked, or are in `due`.
    pub fn next_unparked(&self, last: Option<QueueKey>, due: &BTreeSet<QueueKey>) -> Option<QueueKey> {
        let unparked = self.unparked.range(after(last)).next();
        let due = due.range(after(last)).next();
        unparked.into_iter().chain(due).min().copied()
    }

    /// The classes of which any request was ever parked.
    pub fn parked_classes(&self) -> Vec<u8> {
        self.parked_by_class.keys().copied().collect()
    }

    /// Those of a class that are parked no longer than `until`.
    pub fn parked_until(&self, class: u8, until: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        let of_class = self.parked_by_class.get(&class).into_iter();
        of_class.flat_map(move |parked| parked.range(..=(until, RequestId::MAX)).map(|(_, id)| *id))
    }

    /// Whether any request is parked.
    pub fn any_parked(&self) -> bool {
        !self.parked_by_prompt.is_empty()
    }

    /// Those parked whose prompt has no more than so many tokens.
    pub fn parked_up_to(&self, tokens: f64) -> impl Iterator<Item = QueueKey> + '_ {
        self.parked_by_prompt.range(..=(PromptTokens(tokens), LAST_KEY)).map(|(_, key)| *key)
    }

    /// Notes how long a parked request may wait for a prefill to begin.
    pub fn note_usable_wait(&mut self, wait: f64) {
        self.longest_usable_wait = self.longest_usable_wait.max(wait);
    }

    /// No parked request may wait longer than this for a prefill to begin.
    pub fn longest_usable_wait(&self) -> f64 {
        self.longest_usable_wait
    }

    /// Those whose attempt may count as lost by now.
    pub fn suspicious(&self, now: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        self.awaited.range(..=(now, RequestId::MAX)).map(|(_, id)| *id)
    }

    /// Whether any attempt has not begun to answer.
    pub fn any_awaited(&self) -> bool {
        !self.awaited.is_empty()
    }
}

fn after(last: Option<QueueKey>) -> (Bound<QueueKey>, Bound<QueueKey>) {
    (last.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded)
}
