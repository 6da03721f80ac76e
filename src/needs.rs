//! Who needs a decision, filed as it changes, so that a look costs what happens and not what is open. It decides
//! nothing: the choices say what to file and until when to look.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::types::{RequestId, TenthMillis};

/// The order of decisions: whether nothing is read yet, then by contract time.
pub type Need = (bool, TenthMillis, RequestId);

/// Under what a submission stands.
#[derive(Clone, Copy, Default)]
pub struct Filed {
    /// It needs a decision.
    pub need: Option<Need>,
    /// While no reader takes any more a look changes nothing about it before this time.
    pub parked: Option<(TenthMillis, Prompt)>,
    /// Its shot has not begun to answer, and may from then on count as lost.
    pub doubt: Option<TenthMillis>,
}

/// Tokens of a prompt, in order.
#[derive(Clone, Copy, Default)]
pub struct Prompt(pub f64);

#[derive(Default)]
pub struct Needs {
    all: BTreeSet<Need>,
    eager: BTreeSet<Need>,
    parked: BTreeMap<u8, BTreeSet<(TenthMillis, RequestId)>>,
    /// Those parked, by their prompts; and the longest that any of them may wait for a read.
    prompts: BTreeSet<(Prompt, Need)>,
    longest_wait: f64,
    doubtful: BTreeSet<(TenthMillis, RequestId)>,
}

impl Needs {
    /// Files a submission of a track anew, `filed` being where it stands so far.
    pub fn file(&mut self, id: RequestId, class: u8, filed: &mut Filed, to: Filed) {
        let old = std::mem::replace(filed, to);
        if let Some(need) = old.need {
            self.all.remove(&need);
            self.eager.remove(&need);
        }
        if let (Some((at, prompt)), Some(need)) = (old.parked, old.need) {
            self.parked.get_mut(&class).into_iter().for_each(|parked| _ = parked.remove(&(at, id)));
            self.prompts.remove(&(prompt, need));
            self.longest_wait = if self.prompts.is_empty() { 0.0 } else { self.longest_wait };
        }
        if let Some(at) = old.doubt {
            self.doubtful.remove(&(at, id));
        }
        self.all.extend(to.need);
        if let (Some((at, prompt)), Some(need)) = (to.parked, to.need) {
            self.parked.entry(class).or_default().insert((at, id));
            self.prompts.insert((prompt, need));
        } else {
            self.eager.extend(to.need);
        }
        self.doubtful.extend(to.doubt.map(|at| (at, id)));
    }

    /// The next of all that need a decision.
    pub fn next(&self, last: Option<Need>) -> Option<Need> {
        self.all.range(after(last)).next().copied()
    }

    /// The next of those that are not parked, or are in `due`.
    pub fn next_eager(&self, last: Option<Need>, due: &BTreeSet<Need>) -> Option<Need> {
        let firsts = [&self.eager, due].map(|set| set.range(after(last)).next());
        firsts.into_iter().flatten().min().copied()
    }

    /// The tracks of which any was ever parked.
    pub fn classes(&self) -> Vec<u8> {
        self.parked.keys().copied().collect()
    }

    /// Those of a track that are parked no longer than until then.
    pub fn parked(&self, class: u8, until: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        let parked = self.parked.get(&class).into_iter();
        parked.flat_map(move |p| p.range(..=(until, RequestId::MAX)).map(|(_, id)| *id))
    }

    pub fn any_parked(&self) -> bool {
        !self.prompts.is_empty()
    }

    /// Those parked whose prompt is no longer.
    pub fn short(&self, prompt: f64) -> impl Iterator<Item = Need> + '_ {
        let last = (Prompt(prompt), (true, TenthMillis::MAX, RequestId::MAX));
        self.prompts.range(..=last).map(|(_, need)| *need)
    }

    /// One that is parked may wait so long for a read.
    pub fn may_wait(&mut self, wait: f64) {
        self.longest_wait = self.longest_wait.max(wait);
    }

    /// No one parked may wait longer for a read.
    pub fn longest_wait(&self) -> f64 {
        self.longest_wait
    }

    /// Those whose shot may count as lost by now.
    pub fn doubtful(&self, now: TenthMillis) -> impl Iterator<Item = RequestId> + '_ {
        self.doubtful.range(..=(now, RequestId::MAX)).map(|(_, id)| *id)
    }

    /// Whether any shot has not begun to answer.
    pub fn any_awaited(&self) -> bool {
        !self.doubtful.is_empty()
    }
}

impl Ord for Prompt {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Prompt {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Prompt {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Prompt {}

fn after(last: Option<Need>) -> (Bound<Need>, Bound<Need>) {
    (last.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded)
}
