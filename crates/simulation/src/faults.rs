//! Generates random faults from a seed, and shrinks those of a failed scenario to the ones that matter.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::records::{Scenario, ScenarioFault};
use tideroute_wire::Micros;

/// Microseconds: the shortest generated fault; a shorter one has no visible effect.
const MIN_DURATION: Micros = 200_000;
/// The largest fraction of a group that one generated fault affects.
const MAX_GROUP_FRACTION: f64 = 0.4;
/// The largest deviation of the rate of a generated clock: that of uncorrected quartz.
const MAX_CLOCK_DRIFT: f64 = 0.0005;
/// Microseconds by which a generated clock is off at most: an hour.
const MAX_CLOCK_OFFSET: Micros = 3_600_000_000;
/// Microseconds of generated delay and jitter at most.
const MAX_DELAY: Micros = 40_000;
/// The largest generated fraction of lost datagrams.
const MAX_LOSS: f64 = 0.1;

/// The scenario with generated faults beside those that it names.
pub fn with_generated_faults(day: &Scenario) -> Scenario {
    let mut day = day.with_names();
    let Some(draw) = day.random_faults.clone() else { return day };
    let mut rng = Pcg64::seed_from_u64(draw.seed);
    let (first, last) = (draw.from, draw.until.unwrap_or(day.load.duration));
    let clock = |t: &&ScenarioFault| t.kind == "clock";
    let mut clocks: Vec<String> =
        day.scheduled_faults.iter().filter(clock).flat_map(|t| t.targets.iter().cloned()).collect();
    for _ in 0..draw.count {
        let at = rng.random_range(first..=last.max(first));
        let lasts = rng.random_range(MIN_DURATION..=draw.max_duration.max(MIN_DURATION));
        let mut trouble = generate_fault(&day, &mut rng);
        (trouble.at, trouble.duration) = (at, Some(lasts));
        trouble.targets = trouble.targets.iter().flat_map(|name| day.named(name)).collect();
        if trouble.kind == "kill" {
            trouble.restart_after = trouble.duration.take();
        }
        if trouble.kind == "clock" {
            // A process has one clock, with one fault in a scenario.
            trouble.targets.retain(|who| !clocks.contains(who));
            clocks.extend(trouble.targets.iter().cloned());
        }
        if trouble.side.is_empty() && trouble.targets.is_empty() {
            continue;
        }
        day.scheduled_faults.push(trouble);
    }
    day.random_faults = None;
    day
}

/// A range of adjacent members of a group, at most a fraction of it.
fn adjacent_members(group: &str, count: usize, rng: &mut Pcg64) -> String {
    let most = ((count as f64 * MAX_GROUP_FRACTION) as usize).max(1);
    let length = rng.random_range(1..=most);
    let from = rng.random_range(0..=count - length);
    format!("{group}{from}-{}", from + length - 1)
}

fn generate_fault(day: &Scenario, rng: &mut Pcg64) -> ScenarioFault {
    let groups: Vec<_> = day.worker_groups.iter().map(|g| (g.name.clone(), g.count)).collect();
    let routers = adjacent_members("router", day.routers, rng);
    let (group, count) = &groups[rng.random_range(0..groups.len())];
    let workers = adjacent_members(group, *count, rng);
    let way = ["both", "there", "back"][rng.random_range(0..3)].to_string();
    let how = ["silent", "reset"][rng.random_range(0..2)].to_string();
    let who = if rng.random::<f64>() < 0.5 { routers.clone() } else { workers.clone() };
    let parts = [routers, workers, "list".to_string()];
    // Two different sides: routers and workers, routers and the list, or workers and the list.
    let sides = [[0, 1], [0, 2], [1, 2]][rng.random_range(0..3)].map(|n| vec![parts[n].clone()]);
    let [between, and] = sides;
    let blank = ScenarioFault { factor: 1.0, ..ScenarioFault::default() };
    match rng.random_range(0..6) {
        0 | 1 => ScenarioFault {
            kind: "cut".into(),
            side: between,
            other_side: and,
            direction: Some(way),
            cut_kind: Some(how),
            ..blank
        },
        2 => ScenarioFault {
            kind: "delay".into(),
            side: between,
            other_side: and,
            direction: Some(way),
            delay: Some(rng.random_range(0..=MAX_DELAY)),
            jitter: Some(rng.random_range(0..=MAX_DELAY)),
            loss: Some(rng.random::<f64>() * MAX_LOSS),
            ..blank
        },
        3 => ScenarioFault {
            kind: "kill".into(),
            targets: vec![who],
            keeps_endpoint_cache: Some(rng.random::<bool>()),
            ..blank
        },
        4 => ScenarioFault { kind: "halt".into(), targets: vec![who], ..blank },
        _ => ScenarioFault {
            kind: "clock".into(),
            targets: vec![who],
            clock_rate: Some(1.0 + MAX_CLOCK_DRIFT * (2.0 * rng.random::<f64>() - 1.0)),
            clock_ahead: Some(rng.random_range(0..=MAX_CLOCK_OFFSET)),
            clock_behind: Some(rng.random_range(0..=MAX_CLOCK_OFFSET)),
            ..blank
        },
    }
}

/// The fewest of these that still fail, found by leaving out halves, then quarters and so on, as delta debugging
/// does (Zeller, Hildebrandt 2002); at most so many tries.
pub fn shrink<T: Clone>(all: &[T], most: usize, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let (mut left, mut pieces, mut tries) = (all.to_vec(), 2, 0);
    while left.len() >= 2 && tries < most {
        let size = left.len().div_ceil(pieces);
        let mut smaller = None;
        for n in 0..left.len().div_ceil(size) {
            if tries == most {
                break;
            }
            tries += 1;
            let rest: Vec<T> =
                left.iter().enumerate().filter(|(at, _)| at / size != n).map(|(_, t)| t.clone()).collect();
            if fails(&rest) {
                smaller = Some(rest);
                break;
            }
        }
        match smaller {
            Some(rest) => (left, pieces) = (rest, (pieces - 1).max(2)),
            None if size == 1 => break,
            None => pieces = (pieces * 2).min(left.len()),
        }
    }
    left
}

#[cfg(test)]
mod tests;
