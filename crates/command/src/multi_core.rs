//! A router on several cores. Each core is a thread with its own event loop, request lifecycle and scheduler behind
//! the same address; cores share nothing and do not communicate. A core that panics loses the requests it held, as a
//! killed router does, and is restarted; the other cores continue.

use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use metrics::counter;
use signal_hook::consts::{SIGINT, SIGTERM};
use tideroute_config_language::records::Router;
use tideroute_lifecycle::ProtobufRouter;
use tideroute_reactor::{shared_listeners, Reactor, ReactorError, RunOutcome};
use tideroute_simulation::convert;
use tideroute_simulation::processes::PROCESS_NUMBERS_PER_CORE;
use tideroute_wire::Origin;

use crate::admin_thread::AdminThread;
use crate::cli::ProcessArgs;
use crate::error::{CommandError, CommandResult, CommandStatus};
use crate::membership_thread::MembershipThread;
use crate::process::{self, ProcessIdentity};
use crate::{config_file, metrics_server};

/// Runs the command `router`. `fail_after` makes core 0 panic after this many milliseconds, to test that it is
/// restarted; a router of one core ignores it.
pub fn run(path: &Path, fail_after: Option<u64>, args: &ProcessArgs) -> CommandResult {
    let config = config_file::require(path, config_file::read(path)?.router, "router")?;
    let listen: SocketAddr = convert::parse_socket(&config.listen)?.into();
    let metrics = config.metrics.as_deref().map(convert::parse_socket).transpose()?;
    metrics_server::start(metrics.map(SocketAddr::from))?;
    if args.exit_with_stdin {
        process::exit_with_stdin();
    }
    let admin = config.admin.as_ref().map(AdminThread::start).transpose()?;
    if config.cores == 1 {
        return run_single(config, listen, args, admin);
    }
    // With SO_REUSEPORT a second router could listen at the same address; a listener without it fails if the port is in
    // use.
    let probe = TcpListener::bind(listen).map_err(|e| ReactorError::Listen(listen, e))?;
    drop(probe);
    let membership = MembershipThread::start(&config, args)?;
    let result = Supervisor::run(config, listen, fail_after, args.clone(), admin);
    membership.into_iter().for_each(MembershipThread::leave);
    result
}

/// Runs a router of one core on this thread.
fn run_single(
    config: Router,
    listen: SocketAddr,
    args: &ProcessArgs,
    admin: Option<AdminThread>,
) -> CommandResult {
    let reactor = Reactor::new(&[listen])?;
    let membership = MembershipThread::start(&config, args)?;
    let core = Core {
        config,
        index: 0,
        listen,
        args: args.clone(),
        stopping: Arc::new(AtomicBool::new(false)),
        admin,
    };
    let outcome = core.run(reactor)?;
    membership.into_iter().for_each(MembershipThread::leave);
    Ok(CommandStatus::success_if(outcome == RunOutcome::Finished))
}

/// How a core's thread ended; `None` if it panicked.
type CoreResult = Option<Result<RunOutcome, CommandError>>;

/// Starts the cores and restarts those that panic.
struct Supervisor {
    config: Router,
    listen: SocketAddr,
    args: ProcessArgs,
    admin: Option<AdminThread>,
    /// Set by SIGINT and SIGTERM, which stop the router.
    stopping: Arc<AtomicBool>,
    /// The channel on which each core sends its index and how it ended.
    results: Sender<(u32, CoreResult)>,
}

impl Supervisor {
    /// Runs all cores until each has ended; restarts a core that panics before the router is stopped.
    fn run(
        config: Router,
        listen: SocketAddr,
        fail_after: Option<u64>,
        args: ProcessArgs,
        admin: Option<AdminThread>,
    ) -> CommandResult {
        let stopping = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, stopping.clone())?;
        }
        let (results, received) = channel();
        let supervisor = Supervisor { config, listen, args, admin, stopping, results };
        let listeners = shared_listeners(listen, supervisor.config.cores as usize)?;
        for (index, listener) in (0..).zip(listeners) {
            supervisor.start_core(index, listener, fail_after.filter(|_| index == 0), 0)?;
        }
        supervisor.supervise(&received)
    }

    fn supervise(&self, received: &Receiver<(u32, CoreResult)>) -> CommandResult {
        let mut running = self.config.cores;
        let mut all_finished = true;
        let mut restarts = 0;
        while running > 0 {
            let Ok((core, result)) = received.recv() else { break };
            match result {
                Some(outcome) => {
                    let outcome = outcome?;
                    running -= 1;
                    all_finished &= outcome == RunOutcome::Finished;
                }
                None if self.stopping.load(Ordering::Relaxed) => {
                    running -= 1;
                    all_finished = false;
                }
                None => {
                    restarts += 1;
                    tracing::error!(core, "core panicked and lost its requests; restarting it");
                    counter!("tideroute_cores_failed_total").increment(1);
                    for listener in shared_listeners(self.listen, 1)? {
                        self.start_core(core, listener, None, restarts)?;
                    }
                }
            }
        }
        Ok(CommandStatus::success_if(all_finished))
    }

    /// Starts a core's thread on its listener. `restarts` counts the restarts of all cores so far.
    fn start_core(
        &self,
        index: u32,
        listener: TcpListener,
        fail_after: Option<u64>,
        restarts: u32,
    ) -> Result<(), CommandError> {
        let mut args = self.args.clone();
        // A restarted core writes no capture, which would overwrite the capture of its first run.
        args.capture = args.capture.filter(|_| restarts == 0).map(|path| core_path(&path, index));
        args.process_number += index * PROCESS_NUMBERS_PER_CORE;
        let core = Core {
            config: self.config.clone(),
            index,
            listen: self.listen,
            args,
            stopping: self.stopping.clone(),
            admin: self.admin.clone(),
        };
        let results = self.results.clone();
        let body = move || {
            let run = AssertUnwindSafe(|| core.run_shared(listener, fail_after));
            let _ = results.send((index, std::panic::catch_unwind(run).ok()));
        };
        std::thread::Builder::new().name(format!("core {index}")).spawn(body)?;
        Ok(())
    }
}

/// One core of a router.
struct Core {
    config: Router,
    index: u32,
    listen: SocketAddr,
    args: ProcessArgs,
    stopping: Arc<AtomicBool>,
    admin: Option<AdminThread>,
}

impl Core {
    /// Runs the core on a listener that shares its address with the other cores.
    fn run_shared(&self, listener: TcpListener, fail_after: Option<u64>) -> Result<RunOutcome, CommandError> {
        let mut reactor = Reactor::with_shared_listener(listener)?;
        if let Some(milliseconds) = fail_after {
            reactor.panic_after(milliseconds * 1000);
        }
        self.run(reactor)
    }

    /// Runs the core on the event loop.
    fn run(&self, reactor: Reactor) -> Result<RunOutcome, CommandError> {
        let name = self.name();
        let identity = ProcessIdentity { name: &name, role: "router" };
        let mut reactor = process::prepare(reactor, &[self.listen], &self.args, identity)?;
        if self.stopping.load(Ordering::Relaxed) {
            // The signal arrived while this core was starting, before its event loop could catch it.
            return Ok(RunOutcome::Finished);
        }
        let now = reactor.clock().now();
        let cached_endpoints = self.persist_endpoints(&mut reactor);
        let mut config = convert::router_config(&self.config, self.index, self.seed(now), random_origin()?)?;
        if let Some(admin) = &self.admin {
            config.lifecycle.tenants = Some(admin.subscribe(self.index, reactor.mailbox())?);
            reactor.publish_to(admin.statistics());
        }
        let mut router = ProtobufRouter::new(config, cached_endpoints, now);
        tracing::info!(name, listen = %self.listen, "router started");
        Ok(reactor.run(&mut router)?)
    }

    fn name(&self) -> String {
        if self.config.cores > 1 {
            format!("{}/{}", self.config.name, self.index)
        } else {
            self.config.name.clone()
        }
    }

    /// Returns the seed of the scheduler's random number generator. It need not be unique: in a cluster that restarts,
    /// routers may have the same time and process id. Unique ids come from [`random_origin`] instead.
    fn seed(&self, now: u64) -> u64 {
        let base = self.config.seed.unwrap_or(now ^ u64::from(std::process::id()) << 8);
        base ^ u64::from(self.index) << 18
    }

    /// Makes the event loop keep the endpoint list in a file, if one is configured; returns the list that an earlier run
    /// left there.
    fn persist_endpoints(&self, reactor: &mut Reactor) -> Option<bytes::Bytes> {
        let path = self.config.endpoint_cache.as_ref().map(PathBuf::from)?;
        let own_path = core_path(&path, self.index);
        let cached = std::fs::read(&own_path).or_else(|_| std::fs::read(&path)).ok();
        reactor.persist_to(own_path);
        cached.map(bytes::Bytes::from)
    }
}

/// Returns the path of a core's own file, beside that of core 0.
fn core_path(path: &Path, core: u32) -> PathBuf {
    if core == 0 {
        return path.to_path_buf();
    }
    let extension = path.extension().unwrap_or_default().to_string_lossy();
    path.with_extension(format!("{extension}.{core}"))
}

/// Returns random bits of the operating system, which make the ids of each start unique.
pub fn random_origin() -> Result<Origin, CommandError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(CommandError::RandomOrigin)?;
    Ok(Origin::from_be_bytes(bytes))
}

#[cfg(test)]
mod tests;
