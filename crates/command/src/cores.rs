//! A router on several cores. Each core is a thread with a loop, a host and a decision module of its own behind
//! the same address; they share nothing and say nothing to each other. A core that dies takes what it held with
//! it, as a killed router does, and is started anew; the others go on.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;

use metrics::counter;
use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_config_language::kinds::Router;
use tideroute_lifecycle::ProtobufRouter;
use tideroute_reactor::{Reactor, ReactorError, RunOutcome as Loop};
use tideroute_simulation::convert;
use tideroute_simulation::processes::NUMBERS_A_CORE;
use tideroute_wire::Origin;

use crate::administration::Administration;
use crate::member::Membership;
use crate::{figures, serve, Ended, Run};

pub fn router(path: &Path, fail_after: Option<u64>, run: &Run) -> Ended {
    let record = serve::part(path, serve::read(path)?.router, "router")?;
    let listen: SocketAddr = convert::socket(&record.listen)?.into();
    let metrics = record.metrics.as_deref().map(convert::socket).transpose()?;
    figures::serve(metrics.map(SocketAddr::from))?;
    if run.tethered {
        serve::tether();
    }
    let admin = record.admin.as_ref().map(Administration::begin).transpose()?;
    if record.cores == 1 {
        let reactor = Reactor::new(&[listen]).map_err(|e| e.to_string())?;
        let member = Membership::begin(&record, run)?;
        let stopping = AtomicBool::new(false);
        let ended = core(&record, 0, reactor, listen, run, &stopping, admin.as_ref())?;
        member.into_iter().for_each(Membership::leave);
        return Ok(ended == Loop::Finished);
    }
    // Shared doors would let a second router in beside this one; a plain one shows whether somebody is there.
    let alone = TcpListener::bind(listen).map_err(|e| ReactorError::Listen(listen, e).to_string())?;
    drop(alone);
    let member = Membership::begin(&record, run)?;
    let ended = all(record, listen, fail_after, run.clone(), admin);
    member.into_iter().for_each(Membership::leave);
    ended
}

/// Runs all cores until each has ended; one that dies before it was told to end is started anew.
fn all(
    record: Router,
    listen: SocketAddr,
    fail_after: Option<u64>,
    run: Run,
    admin: Option<Administration>,
) -> Ended {
    let stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stopping.clone()).map_err(|e| e.to_string())?;
    }
    let (ends, ended) = channel();
    let start = |core: u32, fail_after: Option<u64>, life: u32| {
        let (run, ends, stopping) = (run.clone(), ends.clone(), stopping.clone());
        start(record.clone(), core, listen, fail_after, run, life, ends, stopping, admin.clone())
    };
    for core in 0..record.cores {
        start(core, fail_after.filter(|_| core == 0), 0)?;
    }
    let (mut left, mut well, mut lives) = (record.cores, true, 0);
    while left > 0 {
        let Ok((core, end)) = ended.recv() else { break };
        match end {
            Some(Ok(end)) => {
                left -= 1;
                well &= end == Loop::Finished;
            }
            Some(Err(problem)) => return Err(problem),
            None if stopping.load(Ordering::Relaxed) => (left, well) = (left - 1, false),
            None => {
                lives += 1;
                tracing::error!(core, "a core died; what it held is void, the others go on, it starts anew");
                counter!("tideroute_cores_died_total").increment(1);
                start(core, None, lives)?;
            }
        }
    }
    Ok(well)
}

/// How a core ended: None for a panic.
type End = (u32, Option<Result<Loop, String>>);

fn start(
    record: Router,
    n: u32,
    listen: SocketAddr,
    fail_after: Option<u64>,
    mut run: Run,
    life: u32,
    ends: Sender<End>,
    stopping: Arc<AtomicBool>,
    admin: Option<Administration>,
) -> Result<(), String> {
    // A core's second life writes no record: its first one's stays as it was.
    run.tap = run.tap.filter(|_| life == 0).map(|tap| core_path(&tap, n));
    run.process += n * NUMBERS_A_CORE;
    let thread = std::thread::Builder::new().name(format!("core {n}"));
    let body = move || {
        let run = std::panic::AssertUnwindSafe(|| {
            let mut reactor = Reactor::with_reuse_port(&[listen]).map_err(|e| e.to_string())?;
            if let Some(ms) = fail_after {
                reactor.panic_after(ms * 1000);
            }
            core(&record, n, reactor, listen, &run, &stopping, admin.as_ref())
        });
        let _ = ends.send((n, std::panic::catch_unwind(run).ok()));
    };
    thread.spawn(body).map(drop).map_err(|e| e.to_string())
}

fn core_path(path: &Path, core: u32) -> PathBuf {
    let extension = path.extension().unwrap_or_default().to_string_lossy().into_owned();
    match core {
        0 => path.to_path_buf(),
        _ => path.with_extension(format!("{extension}.{core}")),
    }
}

/// What a router draws from the machine where it starts.
pub fn origin() -> Result<Origin, String> {
    let mut drawn = [0; 16];
    getrandom::fill(&mut drawn).map_err(|e| format!("the machine gives no random bits for ids: {e}"))?;
    Ok(Origin::from_be_bytes(drawn))
}

/// Runs one core on the loop it was given.
fn core(
    record: &Router,
    n: u32,
    reactor: Reactor,
    listen: SocketAddr,
    run: &Run,
    stopping: &AtomicBool,
    admin: Option<&Administration>,
) -> Result<Loop, String> {
    let name = if record.cores > 1 { format!("{}/{n}", record.name) } else { record.name.clone() };
    let mut reactor = serve::prepare(reactor, &[listen], run, &name, "router")?;
    if stopping.load(Ordering::Relaxed) {
        // Told to end while this core was starting, before its loop could hear of it.
        return Ok(Loop::Finished);
    }
    let now = reactor.clock().now();
    // Where the module's chance begins. That no two starts of any core have the same ids needs more than a time
    // and a process number, which agree within a fleet that restarts: what the machine draws.
    let seed = record.seed.unwrap_or(now ^ u64::from(std::process::id()) << 8) ^ u64::from(n) << 18;
    let mut kept = None;
    if let Some(path) = record.keep.as_ref().map(PathBuf::from) {
        let own = core_path(&path, n);
        kept = std::fs::read(&own).or_else(|_| std::fs::read(&path)).ok();
        reactor.persist_to(own);
    }
    let mut terms = convert::router(record, n, seed, origin()?)?;
    if let Some(admin) = admin {
        terms.lifecycle.tenants = Some(admin.join(n, reactor.mailbox())?);
        reactor.publish_to(admin.figures());
    }
    let mut router = ProtobufRouter::new(terms, kept.map(bytes::Bytes::from), now);
    tracing::info!(name, listen = %listen, "the router is there");
    reactor.run(&mut router).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;
    use std::sync::Barrier;

    /// Starts as a fleet that is restarted makes them: all in one moment, many in each process number's place.
    #[test]
    fn no_two_of_thousands_of_starts_in_one_moment_have_the_same_origin() {
        const AT_ONCE: usize = 16;
        const EACH: usize = 2_000;
        let barrier = Barrier::new(AT_ONCE);
        let drawn: Vec<Vec<_>> = std::thread::scope(|scope| {
            let start = || {
                barrier.wait();
                (0..EACH).map(|_| super::origin().expect("the machine draws")).collect()
            };
            let starts: Vec<_> = (0..AT_ONCE).map(|_| scope.spawn(start)).collect();
            starts.into_iter().map(|s| s.join().expect("it drew")).collect()
        });
        let all: HashSet<_> = drawn.iter().flatten().collect();
        assert_eq!(all.len(), AT_ONCE * EACH);
        // Drawn, and not counted or told by a clock: every byte varies, those of the top and of the bottom.
        for byte in 0..16 {
            let values: HashSet<_> = all.iter().map(|origin| (*origin >> (8 * byte)) as u8).collect();
            assert_eq!(values.len(), 256, "byte {byte}");
        }
    }
}
