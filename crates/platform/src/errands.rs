//! Letting go. One call at any running worker frees all that is held for a submission, and it counts once its last
//! byte has reached one; so it is tried at one worker after another until one answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use tideroute::interface::{SubmissionId, WorkerId};
use tideroute_http::write;
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::Micros;

use crate::pools::{Job, Pools};
use crate::program::{key, Ring};
use crate::words;

/// Microseconds after which a worker that has not answered is not waited for alone: some round trips and a
/// handshake, and short enough that several can be tried within any release time.
const PATIENCE: Micros = 100_000;
/// Workers tried at most: each time as many more as were tried before, so that of a fleet of which half can't be
/// reached one is found within any release time.
const TRIES: usize = 16;

struct Errand {
    id: SubmissionId,
    trace: Arc<str>,
    /// Workers yet to be tried, the next one last.
    left: Vec<WorkerId>,
    tries: usize,
    out: Vec<Link>,
}

#[derive(Default)]
pub struct Errands {
    open: BTreeMap<u64, Errand>,
    count: u64,
}

impl Errands {
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Lets go of what is held for a submission; `at` are workers that run, as far as is known, in the order in
    /// which they are to be tried. One that is under way is enough: nothing new is held before it is cancelled.
    pub fn begin(
        &mut self,
        now: Micros,
        id: SubmissionId,
        trace: Arc<str>,
        at: impl DoubleEndedIterator<Item = WorkerId>,
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        if self.open.values().any(|e| e.id == id) {
            return;
        }
        self.count += 1;
        let left = at.rev().collect();
        self.open.insert(self.count, Errand { id, trace, left, tries: 0, out: vec![] });
        self.go(now, self.count, 1, pools, out);
    }

    /// Tries so many workers more, and sets the time for those after them.
    fn go(&mut self, now: Micros, number: u64, more: usize, pools: &mut Pools, out: &mut Outbox) {
        let Some(errand) = self.open.get_mut(&number) else { return };
        let most = (errand.tries + more).min(TRIES);
        while errand.tries < most {
            let Some(worker) = errand.left.pop() else { break };
            let target = format!("{}{}", words::PLACES, errand.trace);
            let bytes = write::request("DELETE", &target, [("host", "worker")], None);
            if let Some(link) = pools.call(now, worker, Job::Errand { number }, bytes, out) {
                errand.tries += 1;
                errand.out.push(link);
            }
        }
        if errand.out.is_empty() {
            tracing::debug!(id = errand.id, "nobody could be told to let go");
            self.open.remove(&number);
        } else {
            // Where nobody else is left to ask, who was asked has as long again.
            out.ring(now + PATIENCE, key(Ring::Errand(number)));
        }
    }

    /// A worker has not answered in time: the next ones are asked too.
    pub fn rang(&mut self, now: Micros, number: u64, pools: &mut Pools, out: &mut Outbox) {
        if let Some(errand) = self.open.get_mut(&number) {
            if errand.left.is_empty() || errand.tries >= TRIES {
                // Time for the last one is over as well.
                return self.done(number, None, pools, out);
            }
            let more = errand.tries.max(1);
            self.go(now, number, more, pools, out);
        }
    }

    /// A worker has answered, on that link: all is let go. Calls still out need no answer.
    pub fn done(&mut self, number: u64, on: Option<Link>, pools: &mut Pools, out: &mut Outbox) {
        let Some(errand) = self.open.remove(&number) else { return };
        for link in errand.out.into_iter().filter(|l| Some(*l) != on) {
            if pools.get_mut(link).is_some_and(|c| c.job == Some(Job::Errand { number })) {
                pools.end(link, out);
            }
        }
    }

    /// A connection with the errand on it came to nothing.
    pub fn lost(&mut self, now: Micros, number: u64, link: Link, pools: &mut Pools, out: &mut Outbox) {
        let Some(errand) = self.open.get_mut(&number) else { return };
        errand.out.retain(|l| *l != link);
        if errand.out.is_empty() {
            self.go(now, number, 1, pools, out);
        }
    }

    /// What is held for the submission is wanted again.
    pub fn cancel(&mut self, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        let numbers: Vec<u64> = self.open.iter().filter(|(_, e)| e.id == id).map(|(n, _)| *n).collect();
        for number in numbers {
            self.done(number, None, pools, out);
        }
    }
}
