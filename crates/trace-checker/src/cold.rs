//! Rules 3 and 4: what each router was told of the workers, and what reached those that had just started.

use std::collections::{BTreeMap, VecDeque};

use tideroute_wire::capture::CapturedFrame;
use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::{Address, Micros};

use crate::halts::Halts;
use crate::terms::Terms;
use crate::{Report, Rule};

/// What a router was told of a worker, and when.
#[derive(Clone, Copy)]
struct Told {
    standing: EndpointStatus,
    since: Micros,
    started: Micros,
}

/// Work that reached a cold worker.
struct Work {
    at: Micros,
    tokens: f64,
    /// From a router that was told of the start.
    told: bool,
}

#[derive(Default)]
struct Start {
    /// 0: long ago.
    at: Micros,
    work: VecDeque<Work>,
    all: f64,
    told: f64,
    fallen: bool,
}

pub struct Cold {
    terms: Terms,
    /// Which cores are one process: those that listen at one address.
    homes: BTreeMap<u32, Address>,
    /// When the first core of a process was told that a worker drains or is gone, and by which version.
    first: BTreeMap<(Address, Address), (u64, Option<Micros>)>,
    version: u64,
    told: BTreeMap<(u32, Address), Told>,
    starts: BTreeMap<Address, Start>,
}

pub fn shown(a: Address) -> String {
    format!("{}.{}.{}.{}:{}", a[0], a[1], a[2], a[3], u16::from_be_bytes([a[4], a[5]]))
}

impl Cold {
    pub fn new(terms: &Terms, homes: BTreeMap<u32, Address>) -> Cold {
        let (first, told, starts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Cold { terms: terms.clone(), homes, first, version: 0, told, starts }
    }

    /// A whole page: those that it does not name are gone.
    pub fn page(&mut self, passed: &CapturedFrame, version: u64, whole: bool) {
        self.version = version;
        let mine = |(router, _): &(u32, Address)| *router == passed.process;
        for (_, told) in self.told.iter_mut().filter(|(key, _)| whole && mine(key)) {
            if told.standing == EndpointStatus::Serving {
                (told.standing, told.since) = (EndpointStatus::Removed, passed.at);
            }
        }
    }

    pub fn entry(
        &mut self,
        passed: &CapturedFrame,
        worker: Address,
        standing: EndpointStatus,
        started: Micros,
    ) {
        let told = self.told.get(&(passed.process, worker));
        // Told twice that it drains, the first time counts.
        let before =
            told.filter(|t| t.standing != EndpointStatus::Serving && standing != EndpointStatus::Serving);
        let since = before.map_or(passed.at, |t| t.since);
        self.told.insert((passed.process, worker), Told { standing, since, started });
        // The process as a whole knows what its first core was told; a slower core repeats an older version.
        let Some(&home) = self.homes.get(&passed.process) else { return };
        let (version, first) = self.first.entry((home, worker)).or_default();
        // One page may tell of an end and of a new start.
        if self.version >= *version {
            *version = self.version;
            *first = (standing != EndpointStatus::Serving).then(|| first.unwrap_or(passed.at));
        }
    }

    /// A worker's own word that it runs, and since when.
    pub fn here(&mut self, worker: Address, started: Micros) {
        let start = self.starts.entry(worker).or_default();
        if start.at != started {
            *start = Start { at: started, ..Start::default() };
        }
    }

    /// Something new goes to a worker: rule 3.
    pub fn new_goes(
        &self,
        passed: &CapturedFrame,
        id: u64,
        worker: Address,
        halts: &Halts,
        report: &mut Report,
    ) {
        let told = self.told.get(&(passed.process, worker)).filter(|t| t.standing != EndpointStatus::Serving);
        let home = self.homes.get(&passed.process);
        let first = home.and_then(|&home| self.first.get(&(home, worker))).and_then(|(_, first)| *first);
        let Some(since) = told.map(|t| t.since).into_iter().chain(first).min() else { return };
        let late = passed.at.saturating_sub(since + halts.within(passed.process, since, passed.at));
        report.counts.latest_after_drain = report.counts.latest_after_drain.max(late);
        if late > self.terms.drain_grace {
            let what = format!(
                "sent to {} {} ms after it was told to drain or to be gone",
                shown(worker),
                late / 1000
            );
            report.note(Rule::Drain, passed.at, Some(id), what);
        }
    }

    /// Work goes to a worker: rule 4.
    pub fn works(
        &mut self,
        passed: &CapturedFrame,
        id: u64,
        worker: Address,
        tokens: f64,
        report: &mut Report,
    ) {
        let Some(able) = self.terms.worker(worker) else {
            let what = format!("a shot went to {}, which the terms do not name", shown(worker));
            return report.note(Rule::Record, passed.at, Some(id), what);
        };
        let Some(start) = self.starts.get_mut(&worker).filter(|s| s.at > 0) else { return };
        let age = passed.at.saturating_sub(start.at);
        if age >= self.terms.warm_after {
            return;
        }
        let told = self.told.get(&(passed.process, worker)).is_some_and(|t| t.started == start.at);
        start.work.push_back(Work { at: passed.at, tokens, told });
        start.all += tokens;
        start.told += if told { tokens } else { 0.0 };
        let since = passed.at.saturating_sub(self.terms.fall_span);
        while let Some(old) = start.work.pop_front_if(|w| w.at < since) {
            start.all -= old.tokens;
            start.told -= if old.told { old.tokens } else { 0.0 };
        }
        let part = age as f64 / self.terms.warm_after as f64;
        let now = self.terms.cold_share + (1.0 - self.terms.cold_share) * part;
        let limit = self.terms.fall_multiple * now * able.rate * self.terms.fall_span as f64 / 1e6;
        report.counts.fullest_cold = report.counts.fullest_cold.max(start.all / limit.max(1e-9));
        if start.all > limit && start.told >= start.all * 2.0 / 3.0 && !start.fallen {
            start.fallen = true;
            let what = format!(
                "{} was sent {:.0} tokens in {} ms, {:.0} make it fall over",
                shown(worker),
                start.all,
                self.terms.fall_span / 1000,
                limit
            );
            report.note(Rule::Cold, passed.at, Some(id), what);
        }
    }
}
