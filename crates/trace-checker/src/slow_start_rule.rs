//! Rule 4: how much work is sent to a worker that has just started.

use std::collections::{BTreeMap, VecDeque};

use tideroute_wire::{Address, Micros};

use crate::address::display_address;
use crate::config::CheckerConfig;
use crate::event_context::EventContext;
use crate::report::Rule;

/// Work that was sent to a warming worker.
struct SentWork {
    at: Micros,
    tokens: f64,
    /// By a router that knew of the start.
    knew_start: bool,
}

/// A start of a worker.
#[derive(Default)]
struct WorkerStart {
    /// 0: before the capture.
    started: Micros,
    /// Work of the last window.
    window: VecDeque<SentWork>,
    tokens: f64,
    /// Those of routers that knew of the start.
    tokens_knowing: f64,
    /// The overload was reported.
    reported: bool,
}

impl WorkerStart {
    fn add(&mut self, work: SentWork) {
        self.tokens += work.tokens;
        self.tokens_knowing += if work.knew_start { work.tokens } else { 0.0 };
        self.window.push_back(work);
    }

    fn remove_before(&mut self, since: Micros) {
        while let Some(old) = self.window.pop_front_if(|work| work.at < since) {
            self.tokens -= old.tokens;
            self.tokens_knowing -= if old.knew_start { old.tokens } else { 0.0 };
        }
    }
}

/// Rule 4, with the last start of each worker.
pub struct SlowStartRule {
    config: CheckerConfig,
    starts: BTreeMap<Address, WorkerStart>,
}

impl SlowStartRule {
    pub fn new(config: &CheckerConfig) -> SlowStartRule {
        SlowStartRule { config: config.clone(), starts: BTreeMap::new() }
    }

    /// When a worker started, by its registration.
    pub fn started(&self, worker: Address) -> Option<Micros> {
        self.starts.get(&worker).map(|start| start.started)
    }

    /// A worker registered, with the time of its start.
    pub fn worker_registered(&mut self, worker: Address, started: Micros) {
        let start = self.starts.entry(worker).or_default();
        if start.started != started {
            *start = WorkerStart { started, ..WorkerStart::default() };
        }
    }

    /// Rule 4: an attempt is sent to a worker. `knew_start` says whether its router was notified of the worker's start.
    pub fn check_attempt(
        &mut self,
        context: &mut EventContext,
        request_id: u64,
        worker: Address,
        tokens: f64,
        knew_start: bool,
    ) {
        let config = &self.config;
        let Some(worker_config) = config.worker(worker) else {
            let description =
                format!("a shot went to {}, which the terms do not name", display_address(worker));
            return context.violation(Rule::Capture, Some(request_id), description);
        };
        let now = context.captured.at;
        let Some(start) = self.starts.get_mut(&worker).filter(|start| start.started > 0) else { return };
        let age = now.saturating_sub(start.started);
        if age >= config.warm_up {
            return;
        }
        start.add(SentWork { at: now, tokens, knew_start });
        start.remove_before(now.saturating_sub(config.overload_window));
        let limit = overload_limit(config, worker_config.tokens_per_second, age);
        let peak = &mut context.report.counts.peak_slow_start_load;
        *peak = peak.max(start.tokens / limit.max(1e-9));
        if start.tokens > limit && sent_knowingly(start) && !start.reported {
            start.reported = true;
            let description = format!(
                "{} was sent {:.0} tokens in {} ms, {:.0} make it fall over",
                display_address(worker),
                start.tokens,
                config.overload_window / 1000,
                limit
            );
            context.violation(Rule::SlowStart, Some(request_id), description);
        }
    }
}

/// Whether routers that knew of the start sent two thirds of the work. Where they sent less, routers that could not know
/// overloaded the worker, which no rule forbids.
fn sent_knowingly(start: &WorkerStart) -> bool {
    start.tokens_knowing >= start.tokens * 2.0 / 3.0
}

/// Tokens within the window that overload a worker of an age.
fn overload_limit(config: &CheckerConfig, tokens_per_second: f64, age: Micros) -> f64 {
    let warmed_up = age as f64 / config.warm_up as f64;
    let share = config.slow_start_share + (1.0 - config.slow_start_share) * warmed_up;
    config.overload_multiple * share * tokens_per_second * config.overload_window as f64 / 1e6
}
