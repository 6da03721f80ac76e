//! Scripted days, and the check of their records.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_lab::day::{self, DayError};
use tideroute_lab::fleet;
use tideroute_rules::{Report, Rule};

use crate::{serve, Ended};

pub fn play(path: &Path, out: Option<PathBuf>) -> Ended {
    let file = serve::read(path)?;
    let record = file.day.ok_or_else(|| format!("{}: it has no part `day`", path.display()))?;
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
    print(&played.report);
    if keeps || !played.passed() {
        eprintln!("record: {}", played.record.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(played.passed())
}

/// The same day in virtual time; `out` keeps its record.
pub fn virtually(path: &Path, out: Option<PathBuf>) -> Ended {
    let file = serve::read(path)?;
    let record = file.day.ok_or_else(|| format!("{}: it has no part `day`", path.display()))?;
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
    Ok(played.report.kept() && played.fallen.is_empty() && played.tally.wrong + played.tally.unanswered == 0)
}

pub fn rules(record: &Path) -> Ended {
    let report = day::check(record).map_err(|e| format!("{}: {e}", record.display()))?;
    print(&report);
    Ok(report.kept())
}

fn print(report: &Report) {
    let c = &report.counts;
    println!(
        "  {} events: {} submissions sent, {} taken, {} honoured, {} turned back, {} abandoned, {} left, {} void",
        c.events, c.submitted, c.taken, c.honoured, c.turned_back, c.abandoned, c.left, c.void
    );
    println!(
        "  {} shots, {} places; latest send after a drain was told {:.1} ms; fullest cold worker {:.0}% of its \
         limit; longest held with no shot out {:.1} ms",
        c.shots,
        c.places,
        c.latest_after_drain as f64 / 1e3,
        100.0 * c.fullest_cold,
        c.longest_pinned as f64 / 1e3
    );
    if report.kept() {
        println!("rules: all kept");
        return;
    }
    for rule in [Rule::Record, Rule::Lost, Rule::Twice, Rule::Drain, Rule::Cold, Rule::Pinned] {
        let broken: Vec<_> = report.broken.iter().filter(|b| b.rule == rule).collect();
        if broken.is_empty() {
            continue;
        }
        println!("rules: NOT kept: {}: {} times", rule.name(), broken.len());
        for b in broken.iter().take(10) {
            let id = b.submission.map_or(String::new(), |id| format!("submission {id:x}: "));
            println!("    at {}: {id}{}", b.at, b.what);
        }
    }
    if report.more > 0 {
        println!("    and {} more breaks", report.more);
    }
}
