//! Generates random faults from a seed, and shrinks the faults of a failed scenario to those with which it still fails.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::records::{Scenario, ScenarioFault};
use tideroute_wire::Micros;

/// Shortest duration of a generated fault, in microseconds; a shorter one would have no visible effect.
const MIN_DURATION: Micros = 200_000;
/// Largest fraction of a group that one generated fault affects.
const MAX_GROUP_FRACTION: f64 = 0.4;
/// Largest deviation of the rate of a clock from 1 in a generated fault: that of an uncorrected quartz.
const MAX_CLOCK_DRIFT: f64 = 0.0005;
/// Largest offset of a clock in a generated fault, in microseconds: one hour.
const MAX_CLOCK_OFFSET: Micros = 3_600_000_000;
/// Largest delay and largest jitter of a generated fault, in microseconds.
const MAX_DELAY: Micros = 40_000;
/// Largest fraction of lost datagrams of a generated fault.
const MAX_LOSS: f64 = 0.1;

/// Returns the scenario with its random faults generated and added to its scheduled ones.
pub fn with_generated_faults(scenario: &Scenario) -> Scenario {
    let mut scenario = scenario.with_resolved_targets();
    let Some(random_faults) = scenario.random_faults.clone() else { return scenario };
    let mut rng = Pcg64::seed_from_u64(random_faults.seed);
    let (first, last) = (random_faults.from, random_faults.until.unwrap_or(scenario.load.duration));
    let is_clock_fault = |fault: &&ScenarioFault| fault.kind == "clock";
    let mut processes_with_clock_faults: Vec<String> = scenario
        .scheduled_faults
        .iter()
        .filter(is_clock_fault)
        .flat_map(|fault| fault.targets.iter().cloned())
        .collect();
    for _ in 0..random_faults.count {
        let at = rng.random_range(first..=last.max(first));
        let duration = rng.random_range(MIN_DURATION..=random_faults.max_duration.max(MIN_DURATION));
        let mut fault = generate_fault(&scenario, &mut rng);
        (fault.at, fault.duration) = (at, Some(duration));
        fault.targets = fault.targets.iter().flat_map(|name| scenario.processes_matching(name)).collect();
        if fault.kind == "kill" {
            fault.restart_after = fault.duration.take();
        }
        if fault.kind == "clock" {
            // The clock of a process can have only one fault in a scenario.
            fault.targets.retain(|target| !processes_with_clock_faults.contains(target));
            processes_with_clock_faults.extend(fault.targets.iter().cloned());
        }
        if fault.side.is_empty() && fault.targets.is_empty() {
            continue;
        }
        scenario.scheduled_faults.push(fault);
    }
    scenario.random_faults = None;
    scenario
}

/// Chooses a range of adjacent members of a group, at most `MAX_GROUP_FRACTION` of it, and returns it as a name pattern.
fn adjacent_members(group: &str, count: usize, rng: &mut Pcg64) -> String {
    let max_length = ((count as f64 * MAX_GROUP_FRACTION) as usize).max(1);
    let length = rng.random_range(1..=max_length);
    let from = rng.random_range(0..=count - length);
    format!("{group}{from}-{}", from + length - 1)
}

fn generate_fault(scenario: &Scenario, rng: &mut Pcg64) -> ScenarioFault {
    let groups: Vec<_> =
        scenario.worker_groups.iter().map(|group| (group.name.clone(), group.count)).collect();
    let routers = adjacent_members("router", scenario.routers, rng);
    let (group, count) = &groups[rng.random_range(0..groups.len())];
    let workers = adjacent_members(group, *count, rng);
    let direction = ["both", "there", "back"][rng.random_range(0..3)].to_string();
    let cut_kind = ["silent", "reset"][rng.random_range(0..2)].to_string();
    let target = if rng.random::<f64>() < 0.5 { routers.clone() } else { workers.clone() };
    let selections = [routers, workers, "list".to_string()];
    // The two sides of a network fault: routers and workers, routers and discovery, or workers and discovery.
    let sides = [[0, 1], [0, 2], [1, 2]][rng.random_range(0..3)].map(|index| vec![selections[index].clone()]);
    let [side, other_side] = sides;
    let blank = ScenarioFault { factor: 1.0, ..ScenarioFault::default() };
    match rng.random_range(0..6) {
        0 | 1 => ScenarioFault {
            kind: "cut".into(),
            side,
            other_side,
            direction: Some(direction),
            cut_kind: Some(cut_kind),
            ..blank
        },
        2 => ScenarioFault {
            kind: "delay".into(),
            side,
            other_side,
            direction: Some(direction),
            delay: Some(rng.random_range(0..=MAX_DELAY)),
            jitter: Some(rng.random_range(0..=MAX_DELAY)),
            loss: Some(rng.random::<f64>() * MAX_LOSS),
            ..blank
        },
        3 => ScenarioFault {
            kind: "kill".into(),
            targets: vec![target],
            keeps_endpoint_cache: Some(rng.random::<bool>()),
            ..blank
        },
        4 => ScenarioFault { kind: "halt".into(), targets: vec![target], ..blank },
        _ => ScenarioFault {
            kind: "clock".into(),
            targets: vec![target],
            clock_rate: Some(1.0 + MAX_CLOCK_DRIFT * (2.0 * rng.random::<f64>() - 1.0)),
            clock_ahead: Some(rng.random_range(0..=MAX_CLOCK_OFFSET)),
            clock_behind: Some(rng.random_range(0..=MAX_CLOCK_OFFSET)),
            ..blank
        },
    }
}

/// Returns a small subset of `all` that still fails, found by leaving out halves, then quarters and so on, as delta
/// debugging does (Zeller, Hildebrandt 2002). Calls `fails` at most `max_runs` times.
pub fn shrink<T: Clone>(all: &[T], max_runs: usize, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let (mut remaining, mut pieces, mut runs) = (all.to_vec(), 2, 0);
    while remaining.len() >= 2 && runs < max_runs {
        let size = remaining.len().div_ceil(pieces);
        let mut still_failing = None;
        for piece in 0..remaining.len().div_ceil(size) {
            if runs == max_runs {
                break;
            }
            runs += 1;
            let rest: Vec<T> = remaining
                .iter()
                .enumerate()
                .filter(|(index, _)| index / size != piece)
                .map(|(_, item)| item.clone())
                .collect();
            if fails(&rest) {
                still_failing = Some(rest);
                break;
            }
        }
        match still_failing {
            Some(rest) => (remaining, pieces) = (rest, (pieces - 1).max(2)),
            None if size == 1 => break,
            None => pieces = (pieces * 2).min(remaining.len()),
        }
    }
    remaining
}

#[cfg(test)]
mod tests;
