//! Faults drawn at random from a seed, and those of a failed day shrunk to what matters.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::kinds::{Day, Trouble};
use tideroute_wire::Micros;

/// Microseconds: the shortest fault drawn; less passes unseen.
const SHORTEST: Micros = 200_000;
/// The most of a group that one drawn fault takes, as a part of it.
const MOST: f64 = 0.4;
/// How far a drawn clock is off its rate, and its setting: quartz that nobody looks after, and a wrong hour.
const DRIFT: f64 = 0.0005;
const OFF: Micros = 3_600_000_000;
/// Microseconds of delay and jitter drawn at most, and the part of parts lost.
const DELAY: Micros = 40_000;
const LOSS: f64 = 0.1;

/// The day with its drawn faults beside those that it names.
pub fn drawn(day: &Day) -> Day {
    let mut day = day.with_names();
    let Some(draw) = day.faults.clone() else { return day };
    let mut chance = Pcg64::seed_from_u64(draw.seed);
    let (first, last) = (draw.from, draw.until.unwrap_or(day.load.lasts));
    let clock = |t: &&Trouble| t.act == "clock";
    let mut clocks: Vec<String> =
        day.troubles.iter().filter(clock).flat_map(|t| t.who.iter().cloned()).collect();
    for _ in 0..draw.draw {
        let at = chance.random_range(first..=last.max(first));
        let lasts = chance.random_range(SHORTEST..=draw.longest.max(SHORTEST));
        let mut trouble = one(&day, &mut chance);
        (trouble.at, trouble.lasts) = (at, Some(lasts));
        trouble.who = trouble.who.iter().flat_map(|name| day.named(name)).collect();
        if trouble.act == "kill" {
            trouble.back = trouble.lasts.take();
        }
        if trouble.act == "clock" {
            // A process has one clock, and it is wrong once a day.
            trouble.who.retain(|who| !clocks.contains(who));
            clocks.extend(trouble.who.iter().cloned());
        }
        if trouble.between.is_empty() && trouble.who.is_empty() {
            continue;
        }
        day.troubles.push(trouble);
    }
    day.faults = None;
    day
}

/// Some of a group that stand side by side, at most a part of it.
fn some(group: &str, count: usize, chance: &mut Pcg64) -> String {
    let most = ((count as f64 * MOST) as usize).max(1);
    let length = chance.random_range(1..=most);
    let from = chance.random_range(0..=count - length);
    format!("{group}{from}-{}", from + length - 1)
}

fn one(day: &Day, chance: &mut Pcg64) -> Trouble {
    let groups: Vec<_> = day.fleet.iter().map(|g| (g.name.clone(), g.count)).collect();
    let routers = some("router", day.routers, chance);
    let (group, count) = &groups[chance.random_range(0..groups.len())];
    let workers = some(group, *count, chance);
    let way = ["both", "there", "back"][chance.random_range(0..3)].to_string();
    let how = ["silent", "reset"][chance.random_range(0..2)].to_string();
    let who = if chance.random::<f64>() < 0.5 { routers.clone() } else { workers.clone() };
    let parts = [routers, workers, "list".to_string()];
    // Two different sides: routers and workers, routers and the list, or workers and the list.
    let sides = [[0, 1], [0, 2], [1, 2]][chance.random_range(0..3)].map(|n| vec![parts[n].clone()]);
    let [between, and] = sides;
    let blank = Trouble { times: 1.0, ..Trouble::default() };
    match chance.random_range(0..6) {
        0 | 1 => Trouble { act: "cut".into(), between, and, way: Some(way), how: Some(how), ..blank },
        2 => Trouble {
            act: "delay".into(),
            between,
            and,
            way: Some(way),
            delay: Some(chance.random_range(0..=DELAY)),
            jitter: Some(chance.random_range(0..=DELAY)),
            loss: Some(chance.random::<f64>() * LOSS),
            ..blank
        },
        3 => Trouble { act: "kill".into(), who: vec![who], keeps: Some(chance.random::<bool>()), ..blank },
        4 => Trouble { act: "halt".into(), who: vec![who], ..blank },
        _ => Trouble {
            act: "clock".into(),
            who: vec![who],
            rate: Some(1.0 + DRIFT * (2.0 * chance.random::<f64>() - 1.0)),
            ahead: Some(chance.random_range(0..=OFF)),
            behind: Some(chance.random_range(0..=OFF)),
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
mod tests {
    use super::*;

    #[test]
    fn what_matters_is_found_among_what_does_not() {
        let all: Vec<u32> = (0..40).collect();
        for matters in [vec![7], vec![3, 31], vec![0, 19, 39]] {
            let mut tries = 0;
            let left = shrink(&all, 1000, |some| {
                tries += 1;
                matters.iter().all(|m| some.contains(m))
            });
            assert_eq!(left, matters);
            assert!(tries < 200, "{tries} tries");
        }
        // Bounded, and what it has by then still fails.
        assert!(shrink(&all, 3, |some| some.contains(&7)).contains(&7));
    }
}
