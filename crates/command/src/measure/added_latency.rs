//! Measures the latency that a router adds to the first token and to each token, compared with direct requests to
//! workers.

use std::path::Path;

use tideroute_simulation::scenario::{self, ScenarioError};

use super::Measured;
use crate::error::{CommandResult, CommandStatus};

/// The number of figures of each run: p50 and p99 of the network latency up to the first token, and of each token from
/// the decode worker to the client, in microseconds.
const FIGURES: usize = 4;

/// Measures direct requests and requests through a router in turn, so that changes of the machine's load affect both.
pub fn run(path: &Path, rounds: usize) -> CommandResult {
    let measured = Measured::read(path, "tideroute-measure")?;
    let rate = measured.scenario.load.rate;
    let seconds = measured.scenario.load.duration as f64 / 1e6;
    println!("{rate:.0} requests per second for {seconds:.0} s, {rounds} rounds; times in microseconds");
    println!("round  path      first token p50     p99   each token p50     p99     requests");
    let mut means = [[0.0; FIGURES]; 2];
    for round in 0..rounds {
        for (index, name) in ["direct", "router"].into_iter().enumerate() {
            let is_direct = index == 0;
            let (scenario, interrupted) = (&measured.scenario, &measured.interrupted);
            let played =
                scenario::measure(scenario, &measured.program, &measured.folder, interrupted, is_direct);
            measured.remove_folder();
            let latencies = match played {
                Err(ScenarioError::Interrupted) => return Ok(CommandStatus::Failure),
                played => played?,
            };
            let (first, token) = (&latencies.first_token, &latencies.token);
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
