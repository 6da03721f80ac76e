//! Tracks the attempts in flight at each worker of one role over time.

#[cfg(test)]
mod tests;

use tideroute_wire::Micros;

use crate::herd_detector::HerdDetector;
use crate::report::RoleBalance;

/// A second in microseconds.
const SECOND: Micros = 1_000_000;
/// Seconds with less than this fraction of the median second's work are left out. In the last second of a scenario,
/// which may have a third of the work, the worker that finishes last would be the fullest by far.
const MIN_SHARE_OF_MEDIAN: f64 = 0.5;

struct Worker {
    /// Capacity, relative to that of the other workers.
    weight: f64,
    /// Number of attempts that the worker runs concurrently; further attempts are queued.
    slots: u32,
    in_flight: u32,
    is_running: bool,
    /// Attempts in flight times microseconds, added up over the current second.
    work: f64,
}

/// One second of all workers of the role.
struct LoadSecond {
    work: f64,
    /// Ratio of the work at the fullest worker to the mean, both relative to capacity.
    peak_to_mean: f64,
}

/// The load of all workers of one role.
#[derive(Default)]
pub struct RoleLoad {
    workers: Vec<Worker>,
    herds: HerdDetector,
    arrivals: u64,
    now: Micros,
    /// When the current second ends.
    second_end: Micros,
    /// Seconds in which there was any work.
    seconds: Vec<LoadSecond>,
    /// Worker time spent idle while another worker had work queued, in microseconds.
    idle_while_queued: f64,
    /// Time that all workers ran, added up, in microseconds.
    worker_time: f64,
}

impl RoleLoad {
    /// Adds a worker; returns its index.
    pub fn add_worker(&mut self, weight: f64, slots: u32) -> usize {
        self.workers.push(Worker { weight, slots, in_flight: 0, is_running: true, work: 0.0 });
        self.workers.len() - 1
    }

    /// Records that an attempt arrived at a worker.
    pub fn attempt_received(&mut self, now: Micros, worker: usize) {
        self.advance(now);
        self.arrivals += 1;
        self.workers[worker].in_flight += 1;
        let running_weight = |worker: &Worker| if worker.is_running { worker.weight } else { 0.0 };
        let weights: Vec<f64> = self.workers.iter().map(running_weight).collect();
        self.herds.attempt_received(now, worker, &weights);
    }

    /// Records that an attempt at a worker ended.
    pub fn attempt_ended(&mut self, now: Micros, worker: usize) {
        self.advance(now);
        let worker = &mut self.workers[worker];
        worker.in_flight = worker.in_flight.saturating_sub(1);
    }

    /// Records that a worker's process started or ended, which ends all its attempts.
    pub fn set_running(&mut self, now: Micros, worker: usize, is_running: bool) {
        if self.now > 0 {
            self.advance(now);
        }
        let worker = &mut self.workers[worker];
        worker.is_running = is_running;
        worker.in_flight = 0;
        worker.work = 0.0;
    }

    /// Ends the measurement. Attempts that are still in flight count up to this time.
    pub fn finish(&mut self, now: Micros) {
        self.advance(now);
        let weights: Vec<f64> = self.workers.iter().map(|worker| worker.weight).collect();
        self.herds.close_window(&weights);
    }

    /// Returns the balance measured so far.
    pub fn balance(&self) -> RoleBalance {
        let peak_to_mean = self.peak_to_mean();
        let mut sorted = peak_to_mean.clone();
        sorted.sort_by(f64::total_cmp);
        RoleBalance {
            workers: self.workers.len(),
            arrivals: self.arrivals,
            peak_to_mean_p50: quantile(&sorted, 0.5),
            peak_to_mean_p99: quantile(&sorted, 0.99),
            peak_to_mean_max: quantile(&sorted, 1.0),
            idle_while_queued: self.idle_while_queued(),
            dispersion_index: self.herds.dispersion_index(),
            herd_windows: self.herds.herd_windows(),
            windows: self.herds.windows(),
            expected_herd_windows: self.herds.expected_herd_windows(),
            worst_window: self.herds.worst_window(),
            peak_to_mean,
        }
    }

    /// Adds up the work until `now`.
    fn advance(&mut self, now: Micros) {
        if self.now == 0 {
            self.now = now;
            self.second_end = now + SECOND;
        }
        while self.now < now {
            let until = now.min(self.second_end);
            self.add_work(until.saturating_sub(self.now) as f64);
            self.now = until;
            if until == self.second_end {
                self.end_second();
            }
        }
    }

    /// Adds the work of a period in which no attempt arrives or ends.
    fn add_work(&mut self, elapsed: f64) {
        let is_queueing = |worker: &Worker| worker.is_running && worker.in_flight > worker.slots;
        let is_any_queueing = self.workers.iter().any(is_queueing);
        for worker in self.workers.iter_mut().filter(|worker| worker.is_running) {
            worker.work += f64::from(worker.in_flight) * elapsed;
            self.worker_time += elapsed;
            if is_any_queueing && worker.in_flight == 0 {
                self.idle_while_queued += elapsed;
            }
        }
    }

    fn end_second(&mut self) {
        self.second_end += SECOND;
        let running = || self.workers.iter().filter(|worker| worker.is_running);
        let work: f64 = running().map(|worker| worker.work).sum();
        let weight: f64 = running().map(|worker| worker.weight).sum();
        let mean = work / weight;
        let peak = running().map(|worker| worker.work / worker.weight).fold(0.0, f64::max);
        if mean > 0.0 {
            self.seconds.push(LoadSecond { work, peak_to_mean: peak / mean });
        }
        for worker in &mut self.workers {
            worker.work = 0.0;
        }
    }

    /// Returns the ratio of the work at the fullest worker to the mean for each second. Seconds with almost no work, as
    /// when the last few requests are retried after the load has ended, say nothing about the balance and are left out.
    fn peak_to_mean(&self) -> Vec<f64> {
        let mut work: Vec<f64> = self.seconds.iter().map(|second| second.work).collect();
        work.sort_by(f64::total_cmp);
        let min_work = work.get(work.len() / 2).map_or(0.0, |median| MIN_SHARE_OF_MEDIAN * median);
        let counted = self.seconds.iter().filter(|second| second.work >= min_work);
        counted.map(|second| second.peak_to_mean).collect()
    }

    fn idle_while_queued(&self) -> f64 {
        self.idle_while_queued / self.worker_time.max(1.0)
    }
}

/// Returns the quantile by the nearest-rank method; 0 if there are no values.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
