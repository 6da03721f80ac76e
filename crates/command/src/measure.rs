//! Measurements on this machine, long ones among them; none is part of the tests.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_config_language::kinds::Day;
use tideroute_simulation::choosers::Way;
use tideroute_simulation::day::{self, DayError};

use crate::plot::{self, Seen};
use crate::{serve, Ended};

/// A day without its troubles, and what tells that it shall end early.
fn quiet_day(path: &Path) -> Result<(Day, Arc<AtomicBool>), String> {
    let file = serve::read(path)?;
    let mut record = file.day.ok_or_else(|| format!("{}: it has no part `day`", path.display()))?;
    // What clients do slowly would be measured as if the router had.
    (record.load.sluggish, record.load.leaves) = (0, 0.0);
    record.troubles.clear();
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).map_err(|e| e.to_string())?;
    }
    Ok((record, interrupted))
}

/// What the plot of cores shows of each run.
const PANELS: [&str; 4] = ["honoured a second", "first token p99, ms", "CPU a submission, us", "memory, MiB"];

/// One router at 1, 2, 4 and 8 cores under the same load.
pub fn cores(path: &Path, seconds: u64, rates: &[f64], picture: Option<&Path>) -> Ended {
    let (mut record, interrupted) = quiet_day(path)?;
    let program = std::env::current_exe().map_err(|e| format!("the program does not find itself: {e}"))?;
    let folder = std::env::temp_dir().join(format!("tideroute-cores-{}", std::process::id()));
    (record.routers, record.load.lasts) = (1, seconds * 1_000_000);
    let machine = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{machine} cores on this machine, which clients and workers use too; {seconds} s each");
    println!("cores  asked/s  honoured/s  first token p50      p99    p99.9 ms  CPU us a submission  memory MiB  rules");
    let (mut all_kept, mut seen) = (true, vec![]);
    for &rate in rates {
        for cores in [1, 2, 4, 8] {
            (record.cores, record.load.rate) = (cores, rate);
            let played = day::play(&record, &program, &folder, &interrupted);
            let _ = std::fs::remove_dir_all(&folder);
            let played = match played {
                Ok(played) => played,
                Err(DayError::Interrupted) => return Ok(false),
                Err(problem) => return Err(problem.to_string()),
            };
            let figure = |name: &str| played.figures[name].as_f64().unwrap_or(f64::NAN);
            let ms = |name: &str| played.figures["first_token"][name].as_f64().unwrap_or(f64::NAN) / 1e3;
            let cpu = played.cpu.get("router0").copied().unwrap_or(0.0) * 1e6 / figure("submissions");
            let memory = played.memory.get("router0").copied().unwrap_or(0) as f64 / 1048576.0;
            let (asked, honoured) = (figure("submissions"), figure("honoured"));
            let second = |n: f64| n / seconds as f64;
            let first = played.report.violations.first().map(|b| format!("BROKEN: {}", b.rule.label()));
            let kept = first.unwrap_or_else(|| "kept".to_string());
            all_kept &= played.report.is_clean();
            let [p50, p99, p999] = ["p50_us", "p99_us", "p999_us"].map(ms);
            println!(
                "{cores:>5}{:>9.0}{:>12.0}{p50:>17.1}{p99:>9.1}{p999:>9.1}{cpu:>25.0}{memory:>12.1}  {kept}",
                second(asked),
                second(honoured)
            );
            seen.push(Seen { cores, rate, figures: vec![second(honoured), p99, cpu, memory] });
        }
    }
    if let Some(picture) = picture {
        plot::draw(picture, &PANELS, &seen)?;
    }
    Ok(all_kept)
}

/// What the ways take through a router and straight, each in turn so that both meet the same machine.
pub fn through(path: &Path, rounds: usize) -> Ended {
    let (record, interrupted) = quiet_day(path)?;
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

/// One line for each way to choose a reader, over the same load.
pub fn spread(path: &Path, seconds: u64) -> Ended {
    let (mut record, interrupted) = quiet_day(path)?;
    record.load.lasts = seconds * 1_000_000;
    let program = std::env::current_exe().map_err(|e| format!("the program does not find itself: {e}"))?;
    let folder = std::env::temp_dir().join(format!("tideroute-spread-{}", std::process::id()));
    println!(
        "{} s; readers: fullest/mean, idle beside waiting, index of dispersion, windows with herds",
        seconds
    );
    println!("way                      p50    p99  worst     idle  index  herds (by chance)      kept  service  rules");
    let mut all_kept = true;
    let plain = Way::ALL.iter().filter(|(_, way)| *way != Way::Next).map(|(name, _)| (*name, None));
    let ours = [("ours, unasked", Some(false)), ("ours, asked", Some(true))];
    for (name, asks) in plain.chain(ours) {
        let (mut service, mut rules) = (String::new(), "");
        let played = match asks {
            None => day::straight(&record, &program, &folder, &interrupted, name),
            Some(asks) => {
                record.terms.asks = asks;
                day::play(&record, &program, &folder, &interrupted).map(|played| {
                    service =
                        format!("{:.1}%", 100.0 * played.figures["service"].as_f64().unwrap_or(f64::NAN));
                    all_kept &= played.report.is_clean();
                    rules = if played.report.is_clean() { "kept" } else { "BROKEN" };
                    played.record
                })
            }
        };
        let seen = match played {
            Err(DayError::Interrupted) => return Ok(false),
            played => {
                let reader = day::open(&played.map_err(|e| e.to_string())?).map_err(|e| e.to_string())?;
                tideroute_load_balance_report::measure(reader).map_err(|e| e.to_string())?
            }
        };
        let _ = std::fs::remove_dir_all(&folder);
        let r = &seen.prefill;
        println!(
            "{name:<22}{:>6.2}{:>7.2}{:>7.2}{:>8.2}%{:>7.2}{:>7} of {} ({:.1}){:>9.1}%{service:>9}  {rules}",
            r.peak_to_mean_p50,
            r.peak_to_mean_p99,
            r.peak_to_mean_max,
            100.0 * r.idle_while_queued,
            r.dispersion_index,
            r.herd_windows,
            r.windows,
            r.expected_herd_windows,
            100.0 * seen.cached_share
        );
    }
    Ok(all_kept)
}
