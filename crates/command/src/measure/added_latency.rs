//! The latency that a router adds to the first token and to each token, against direct requests to workers.

use std::path::Path;

use tideroute_simulation::scenario::{self, ScenarioError};

use super::Measured;
use crate::error::{CommandResult, CommandStatus};

/// What each run is measured by: p50 and p99 of the first token and of the time between tokens, in microseconds.
const FIGURES: usize = 4;

/// Measures direct requests and requests through a router in turn, so that both meet the same machine.
pub fn run(path: &Path, rounds: usize) -> CommandResult {
    let measured = Measured::read(path, "tideroute-measure")?;
    let rate = measured.scenario.load.rate;
    let seconds = measured.scenario.load.duration as f64 / 1e6;
    println!("{rate:.0} submissions a second for {seconds:.0} s, {rounds} rounds; times in microseconds");
    println!("round  way       first token p50     p99   each token p50     p99  submissions");
    let mut means = [[0.0; FIGURES]; 2];
    for round in 0..rounds {
        for (index, name) in ["straight", "router"].into_iter().enumerate() {
            let is_direct = index == 0;
            let (scenario, interrupted) = (&measured.scenario, &measured.interrupted);
            let played =
                scenario::measure(scenario, &measured.program, &measured.folder, interrupted, is_direct);
            measured.remove_folder();
            let legs = match played {
                Err(ScenarioError::Interrupted) => return Ok(CommandStatus::Failure),
                played => played?,
            };
            let (first, token) = (&legs.first_token, &legs.token);
            let quantiles = [(first, 0.5), (first, 0.99), (token, 0.5), (token, 0.99)];
            let figures = quantiles.map(|(histogram, quantile)| histogram.value_at_quantile(quantile) as f64);
            for (mean, figure) in means[index].iter_mut().zip(figures) {
                *mean += figure / rounds as f64;
            }
            let [first_p50, first_p99, token_p50, token_p99] = figures;
            println!(
                "{round:<6} {name:<9}{first_p50:>16.0}{first_p99:>8.0}{token_p50:>17.0}{token_p99:>8.0}{:>13}",
                first.len()
            );
        }
    }
    let [direct, routed] = means;
    let added: [f64; FIGURES] = std::array::from_fn(|n| routed[n] - direct[n]);
    let [first_p50, first_p99, token_p50, token_p99] = added;
    println!("       added    {first_p50:>16.0}{first_p99:>8.0}{token_p50:>17.0}{token_p99:>8.0}");
    Ok(CommandStatus::Success)
}
