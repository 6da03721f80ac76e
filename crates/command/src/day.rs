//! Scripted days, and the check of their records.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_config_language::kinds::{Day, File, Trouble};
use tideroute_membership_checker::Report as Views;
use tideroute_simulation::day::{self, DayError, Played};
use tideroute_simulation::{faults, fleet};
use tideroute_trace_checker::{Report, Rule};

use crate::{serve, Ended};

fn read(path: &Path, draw: Option<u64>) -> Result<Day, String> {
    let mut day = serve::part(path, serve::read(path)?.day, "day")?;
    if let Some(faults) = day.faults.as_mut() {
        faults.seed = draw.unwrap_or(faults.seed);
    }
    Ok(faults::drawn(&day))
}

pub fn play(path: &Path, out: Option<PathBuf>, draw: Option<u64>, shrink: Option<usize>) -> Ended {
    let record = read(path, draw)?;
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone()).map_err(|e| e.to_string())?;
    }
    let program = std::env::current_exe().map_err(|e| format!("the program does not find itself: {e}"))?;
    let keeps = out.is_some();
    let folder =
        out.unwrap_or_else(|| std::env::temp_dir().join(format!("tideroute-day-{}", std::process::id())));
    let workers = record.workers().count();
    eprintln!(
        "{}: {} routers, {workers} workers, {:.0} submissions a second for {:.0} s",
        path.display(),
        record.routers,
        record.load.rate,
        record.load.lasts as f64 / 1e6
    );
    let played = match day::play(&record, &program, &folder, &interrupted) {
        Ok(played) => played,
        Err(DayError::Interrupted) => {
            let _ = std::fs::remove_dir_all(&folder);
            eprintln!("interrupted; all processes of the day have ended");
            return Ok(false);
        }
        Err(problem) => {
            eprintln!("{problem}; logs are in {}", folder.display());
            return Ok(false);
        }
    };
    println!("{}", played.table);
    for (wanted, seen, held) in &played.expected {
        println!("  {} {wanted}: {seen}", if *held { "yes" } else { " NO" });
    }
    takes(&record, &played);
    print(&played.report);
    played.views.iter().for_each(print_views);
    if let Some(times) = shrink.filter(|_| !played.passed()) {
        shrunk(&record, &program, &folder, &interrupted, times)?;
    }
    if keeps || !played.passed() {
        eprintln!("record: {}", played.record.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(played.passed())
}

/// What the processes of each kind took of the machine.
fn takes(day: &Day, played: &Played) {
    let groups = day.fleet.iter().map(|g| (g.name.as_str(), g.count)).chain([("router", day.routers)]);
    for (group, count) in groups.chain([("list", 1), ("load", 1), ("relay", 1)]) {
        let of =
            |name: &String| name.strip_prefix(group).is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()));
        let most = |all: &BTreeMap<String, u64>| {
            all.iter().filter(|(name, _)| of(name)).map(|(_, n)| *n).max().unwrap_or(0)
        };
        let cpu: Vec<f64> = played.cpu.iter().filter(|(name, _)| of(name)).map(|(_, s)| *s).collect();
        if cpu.is_empty() {
            continue;
        }
        println!(
            "  {count} {group}: {:.1} s of CPU in all, {:.2} at most; {:.1} MiB and {} descriptors at most",
            cpu.iter().sum::<f64>(),
            cpu.iter().fold(0.0, |a: f64, b| a.max(*b)),
            most(&played.memory) as f64 / 1048576.0,
            most(&played.descriptors)
        );
    }
    println!("  {:.1} s in all, {:.1} of them until all listened", played.took[1], played.took[0]);
}

/// Plays a day that failed without parts of its troubles, and writes down the fewest with which it still fails.
fn shrunk(
    day: &Day,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    times: usize,
) -> Result<(), String> {
    let with = |troubles: &[Trouble]| Day { troubles: troubles.to_vec(), faults: None, ..day.clone() };
    let left = faults::shrink(&day.troubles, times, |some| {
        let failed = day::play(&with(some), program, &folder.join("smaller"), interrupted);
        let failed = failed.is_ok_and(|played| !played.passed());
        eprintln!(
            "with {} of {} troubles: {}",
            some.len(),
            day.troubles.len(),
            if failed { "fails" } else { "passes" }
        );
        failed
    });
    let file = File { day: Some(with(&left)), ..File::default() };
    let path = folder.join("shrunk.cue");
    let text = tideroute_config_language::print(&file).map_err(|p| p.to_string())?;
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    println!("{} of {} troubles matter: {}", left.len(), day.troubles.len(), path.display());
    Ok(())
}

/// The same day in virtual time; `out` keeps its record.
pub fn virtually(path: &Path, out: Option<PathBuf>, draw: Option<u64>) -> Ended {
    let record = read(path, draw)?;
    let began = std::time::Instant::now();
    let played = fleet::play(&record).map_err(|e| e.to_string())?;
    let took = began.elapsed().as_secs_f64();
    println!("{}", played.tally.table());
    print(&played.report);
    if !played.fallen.is_empty() {
        println!("fell over: {}", played.fallen.join(", "));
    }
    let lasted = played.lasted as f64 / 1e6;
    println!("{lasted:.1} virtual seconds in {took:.1} s, {} events", played.events);
    if let Some(folder) = out {
        let path = folder.join("day.record.zst");
        let named = |e| format!("{}: {e}", path.display());
        std::fs::create_dir_all(&folder).map_err(named)?;
        let bytes = zstd::encode_all(played.record.as_slice(), 3).map_err(named)?;
        std::fs::write(&path, bytes).map_err(named)?;
        eprintln!("record: {}", path.display());
    }
    Ok(played.report.is_clean()
        && played.fallen.is_empty()
        && played.tally.wrong + played.tally.unanswered == 0)
}

pub fn rules(record: &Path) -> Ended {
    let report = day::check(record).map_err(|e| format!("{}: {e}", record.display()))?;
    let views = day::views(record).map_err(|e| format!("{}: {e}", record.display()))?;
    print(&report);
    views.iter().for_each(print_views);
    Ok(report.is_clean() && views.is_none_or(|v| v.is_clean()))
}

/// How routers saw each other.
fn print_views(views: &Views) {
    let times = &views.detection_times;
    let [median, most, last] = [times.median, times.p99, times.max].map(|known| known as f64 / 1e6);
    println!(
        "  {} members, {} sightings; {} kills known to others after {median:.2} s p50, {most:.2} s p99, {last:.2} s \
         at most",
        views.members, views.observations, views.kills
    );
    println!(
        "  {} deaths seen, {} of them of routers that were cut off or had just been down; {} sights compared at {} \
         moments",
        views.deaths, views.excused_deaths, views.compared_views, views.compared_moments
    );
    if views.is_clean() {
        println!("views: all true");
        return;
    }
    println!("views: NOT true: {} times", views.violation_count());
    for violation in views.violations.iter().take(10) {
        println!("    at {}: {}", violation.at, violation.kind);
    }
}

fn print(report: &Report) {
    let c = &report.counts;
    println!(
        "  {} events: {} submissions sent, {} taken, {} honoured, {} turned back, {} abandoned, {} left, {} void",
        c.events, c.requests, c.admitted, c.completed, c.rejected, c.failed, c.cancelled, c.disconnected
    );
    println!(
        "  {} shots, {} places; latest send after a drain was told {:.1} ms; fullest cold worker {:.0}% of its \
         limit; longest held with no shot out {:.1} ms",
        c.attempts,
        c.reservations,
        c.latest_send_after_drain as f64 / 1e3,
        100.0 * c.peak_slow_start_load,
        c.longest_idle_state as f64 / 1e3
    );
    if report.is_clean() {
        println!("rules: all kept");
        return;
    }
    for rule in Rule::ALL {
        let broken: Vec<_> = report.violations.iter().filter(|b| b.rule == rule).collect();
        if broken.is_empty() {
            continue;
        }
        println!("rules: NOT kept: {}: {} times", rule.name(), broken.len());
        for b in broken.iter().take(10) {
            let id = b.request_id.map_or(String::new(), |id| format!("submission {id:x}: "));
            println!("    at {}: {id}{}", b.at, b.description);
        }
    }
    if report.unlisted > 0 {
        println!("    and {} more breaks", report.unlisted);
    }
}
