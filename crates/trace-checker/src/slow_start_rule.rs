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
    /// Whether the router that sent it had been notified of the worker's start.
    knew_start: bool,
}

/// A start of a worker.
#[derive(Default)]
struct WorkerStart {
    /// The time of the start; 0 if the worker started before the capture.
    started: Micros,
    /// The work that was sent within the last window.
    window: VecDeque<SentWork>,
    /// Tokens of the work in the window.
    tokens: f64,
    /// Tokens of the work in the window that came from routers that knew of the start.
    informed_tokens: f64,
    /// Whether the overload was reported already.
    reported: bool,
}

impl WorkerStart {
    fn add(&mut self, work: SentWork) {
        self.tokens += work.tokens;
        self.informed_tokens += if work.knew_start { work.tokens } else { 0.0 };
        self.window.push_back(work);
    }

    fn remove_before(&mut self, since: Micros) {
        while let Some(old) = self.window.pop_front_if(|work| work.at < since) {
            self.tokens -= old.tokens;
            self.informed_tokens -= if old.knew_start { old.tokens } else { 0.0 };
        }
    }
}

/// The state of rule 4, with the last start of each worker.
pub struct SlowStartRule {
    config: CheckerConfig,
    starts: BTreeMap<Address, WorkerStart>,
}

impl SlowStartRule {
    pub fn new(config: &CheckerConfig) -> SlowStartRule {
        SlowStartRule { config: config.clone(), starts: BTreeMap::new() }
    }

    /// Returns when a worker started, as it registered; `None` if it never registered.
    pub fn started(&self, worker: Address) -> Option<Micros> {
        self.starts.get(&worker).map(|start| start.started)
    }

    /// Records that a worker registered, with the time of its start.
    pub fn worker_registered(&mut self, worker: Address, started: Micros) {
        let start = self.starts.entry(worker).or_default();
        if start.started != started {
            *start = WorkerStart { started, ..WorkerStart::default() };
        }
    }

    /// Checks rule 4 for an attempt that is sent to a worker. `knew_start` says whether the router had been notified of
    /// the worker's start.
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
            let description = format!(
                "attempt was sent to {}, which the checker configuration does not define",
                display_address(worker)
            );
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
        if start.tokens > limit && is_mostly_informed(start) && !start.reported {
            start.reported = true;
            let description = format!(
                "{} was sent {:.0} tokens in {} ms; more than {:.0} overload it",
                display_address(worker),
                start.tokens,
                config.overload_window / 1000,
                limit
            );
            context.violation(Rule::SlowStart, Some(request_id), description);
        }
    }
}

/// Returns whether routers that knew of the start sent at least two thirds of the work. If they sent less, the worker
/// was overloaded by routers that could not know of the start, which no rule forbids.
fn is_mostly_informed(start: &WorkerStart) -> bool {
    start.informed_tokens >= start.tokens * 2.0 / 3.0
}

/// Returns the number of tokens within the window above which a worker of this age is overloaded.
fn overload_limit(config: &CheckerConfig, tokens_per_second: f64, age: Micros) -> f64 {
    let warm_up_progress = age as f64 / config.warm_up as f64;
    let share = config.slow_start_share + (1.0 - config.slow_start_share) * warm_up_progress;
    config.overload_multiple * share * tokens_per_second * config.overload_window as f64 / 1e6
}
