//! Measurements on this machine, long ones among them; none is part of the tests.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_lab::day::{self, DayError};

use crate::{serve, Ended};

/// What the ways take through a router and straight, each in turn so that both meet the same machine.
pub fn through(path: &Path, rounds: usize) -> Ended {
    let file = serve::read(path)?;
    let mut record = file.day.ok_or_else(|| format!("{}: it has no part `day`", path.display()))?;
    // What clients do slowly would be measured as if the router had.
    (record.load.sluggish, record.load.leaves) = (0, 0.0);
    record.troubles.clear();
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).map_err(|e| e.to_string())?;
    }
    let program = std::env::current_exe().map_err(|e| format!("the program does not find itself: {e}"))?;
    let folder = std::env::temp_dir().join(format!("tideroute-measure-{}", std::process::id()));
    let (rate, seconds) = (record.load.rate, record.load.lasts as f64 / 1e6);
    println!("{rate:.0} submissions a second for {seconds:.0} s, {rounds} rounds; times in microseconds");
    println!("round  way       first token p50     p99   each token p50     p99  submissions");
    let mut sums = [[0.0; 4]; 2];
    for round in 0..rounds {
        for (n, way) in ["straight", "router"].into_iter().enumerate() {
            let played = day::measure(&record, &program, &folder, &interrupted, n == 0);
            let _ = std::fs::remove_dir_all(&folder);
            let legs = match played {
                Ok(legs) => legs,
                Err(DayError::Interrupted) => return Ok(false),
                Err(problem) => return Err(problem.to_string()),
            };
            let (first, token) = (&legs.first_token, &legs.token);
            let seen = [(first, 0.5), (first, 0.99), (token, 0.5), (token, 0.99)];
            let seen = seen.map(|(h, q)| h.value_at_quantile(q) as f64);
            sums[n].iter_mut().zip(seen).for_each(|(sum, seen)| *sum += seen / rounds as f64);
            let [a, b, c, d] = seen;
            println!("{round:<6} {way:<9}{a:>16.0}{b:>8.0}{c:>17.0}{d:>8.0}{:>13}", first.len());
        }
    }
    let [a, b, c, d] = [0, 1, 2, 3].map(|n| sums[1][n] - sums[0][n]);
    println!("       added    {a:>16.0}{b:>8.0}{c:>17.0}{d:>8.0}");
    Ok(true)
}
