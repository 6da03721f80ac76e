//! The attempts in flight at each worker of one role, as time passes.

#[cfg(test)]
mod tests;

use tideroute_wire::Micros;

use crate::herd_detector::HerdDetector;
use crate::report::RoleBalance;

/// Microseconds.
const SECOND: Micros = 1_000_000;
/// Seconds with less than this part of the median second's work are left out: in the last second of a day, with a third
/// of the work, whichever worker ends last is the fullest by far.
const MIN_SHARE_OF_MEDIAN: f64 = 0.5;

struct Worker {
    /// Its capacity, relative to the others.
    weight: f64,
    /// Attempts that it runs at once; more of them are queued.
    slots: u32,
    in_flight: u32,
    is_running: bool,
    /// Attempts times microseconds in the present second.
    work: f64,
}

/// One second of all workers of the role.
struct LoadSecond {
    work: f64,
    /// The fullest worker over the mean, both relative to capacity.
    peak_to_mean: f64,
}

/// The load of all workers of one role.
#[derive(Default)]
pub struct RoleLoad {
    workers: Vec<Worker>,
    herds: HerdDetector,
    arrivals: u64,
    now: Micros,
    /// When the present second ends.
    second_end: Micros,
    /// Seconds in which there was any work.
    seconds: Vec<LoadSecond>,
    /// Worker time spent idle while another worker had work queued.
    idle_while_queued: f64,
    worker_time: f64,
}

impl RoleLoad {
    /// Adds a worker; returns its index.
    pub fn add_worker(&mut self, weight: f64, slots: u32) -> usize {
        self.workers.push(Worker { weight, slots, in_flight: 0, is_running: true, work: 0.0 });
        self.workers.len() - 1
    }

    /// An attempt arrived at a worker.
    pub fn attempt_arrived(&mut self, now: Micros, worker: usize) {
        self.advance(now);
        self.arrivals += 1;
        self.workers[worker].in_flight += 1;
        let running_weight = |worker: &Worker| if worker.is_running { worker.weight } else { 0.0 };
        let weights: Vec<f64> = self.workers.iter().map(running_weight).collect();
        self.herds.arrived(now, worker, &weights);
    }

    /// An attempt at a worker ended.
    pub fn attempt_ended(&mut self, now: Micros, worker: usize) {
        self.advance(now);
        let worker = &mut self.workers[worker];
        worker.in_flight = worker.in_flight.saturating_sub(1);
    }

    /// A worker's process started or ended. Attempts at it are over.
    pub fn set_running(&mut self, now: Micros, worker: usize, is_running: bool) {
        if self.now > 0 {
            self.advance(now);
        }
        let worker = &mut self.workers[worker];
        worker.is_running = is_running;
        worker.in_flight = 0;
        worker.work = 0.0;
    }

    /// Ends the measurement. What is still in flight is not followed further.
    pub fn finish(&mut self, now: Micros) {
        self.advance(now);
        let weights: Vec<f64> = self.workers.iter().map(|worker| worker.weight).collect();
        self.herds.close_window(&weights);
    }

    /// The balance so far.
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

    /// Adds the work of a time in which nothing arrives and nothing ends.
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

    /// The fullest worker over the mean, second by second. Seconds with next to no work, as when the last few requests
    /// are retried after the load, say nothing of the balance and are left out.
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

/// The nearest rank; 0 of no values.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
