//! The processes of a scenario. No child outlives this process: each is killed when [`Processes`] is dropped, and exits by
//! itself when its standard input is closed, which this process holds open.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use tideroute_reactor::clock::Clock;
use tideroute_wire::capture::{CaptureEvent, CapturedProcess};
use tideroute_wire::{Address, Micros};

use crate::capture_merge::CapturePart;

/// What is needed to start or restart one process.
#[derive(Clone)]
pub struct ProcessSpec {
    /// Its name, which is also part of the names of its files.
    pub name: String,
    /// Its role in captures.
    pub role: String,
    /// The address at which it listens.
    pub address: Option<Address>,
    /// Its command line arguments.
    pub arguments: Vec<String>,
    /// Whether its output goes to the terminal instead of a log file.
    pub inherits_output: bool,
    /// Number of its cores, each of which writes its own capture.
    pub cores: u32,
    /// Whether it has a membership thread, which also writes its own capture.
    pub runs_membership: bool,
}

struct Running {
    child: Child,
    /// The indices of its captures in `Processes::parts`.
    parts: Range<usize>,
}

/// Ticks per second of the CPU times that Linux reports in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Distance between the process numbers of two cores of the same process in a capture.
pub const PROCESS_NUMBERS_PER_CORE: u32 = 100_000;

/// The running processes, and the captures and resource usage of all processes started so far.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    clock: Clock,
    running: BTreeMap<String, Running>,
    /// The captures of all processes started so far.
    pub parts: Vec<CapturePart>,
    started: u32,
    /// The peak memory of each process, in bytes.
    pub memory: BTreeMap<String, u64>,
    /// The largest number of open descriptors of each process at a sample.
    pub descriptors: BTreeMap<String, u64>,
    /// The CPU time, in seconds, that each process had used at its last sample.
    pub cpu: BTreeMap<String, f64>,
}

impl Processes {
    /// Creates an empty set of processes; captures and logs go into `folder`.
    pub fn new(program: &Path, folder: &Path, clock: Clock) -> Processes {
        let (running, parts, memory) = (BTreeMap::new(), vec![], BTreeMap::new());
        let (program, folder) = (program.into(), folder.into());
        let (descriptors, cpu) = (BTreeMap::new(), BTreeMap::new());
        Processes { program, folder, clock, running, parts, started: 0, memory, descriptors, cpu }
    }

    /// Starts a process, which writes its own captures.
    pub fn start(&mut self, spec: &ProcessSpec) -> io::Result<()> {
        self.started += 1;
        let number = self.started;
        let path = self.folder.join(format!("{number:03}-{}.part", spec.name));
        let log = File::create(self.folder.join(format!("{number:03}-{}.log", spec.name)))?;
        let mut command = Command::new(&self.program);
        command.args(["--log", "info"]).args(&spec.arguments);
        command
            .arg("--capture")
            .arg(&path)
            .arg("--process-number")
            .arg(number.to_string())
            .arg("--exit-with-stdin");
        command.stdin(Stdio::piped());
        if !spec.inherits_output {
            command.stdout(log.try_clone()?).stderr(log);
        }
        let child = command.spawn()?;
        let first_part = self.parts.len();
        for core in 0..spec.cores {
            let name = if core > 0 { format!("{}/{core}", spec.name) } else { spec.name.clone() };
            let path = if core > 0 { path.with_extension(format!("part.{core}")) } else { path.clone() };
            let number = number + core * PROCESS_NUMBERS_PER_CORE;
            let process_info =
                CapturedProcess { number, name, role: spec.role.clone(), address: spec.address };
            self.parts.push(CapturePart { process_info, path, killed: None, pauses: vec![] });
        }
        if spec.runs_membership {
            let (name, path) = (spec.name.clone(), path.with_extension("part.member"));
            let number = number + spec.cores * PROCESS_NUMBERS_PER_CORE;
            let process_info = CapturedProcess { number, name, role: "member".into(), address: None };
            self.parts.push(CapturePart { process_info, path, killed: None, pauses: vec![] });
        }
        self.running.insert(spec.name.clone(), Running { child, parts: first_part..self.parts.len() });
        Ok(())
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut running) = self.running.remove(name) {
            self.sample(name, running.child.id());
            // A process that has exited by itself is not recorded as killed.
            if let Ok(None) = running.child.try_wait() {
                let _ = running.child.kill();
                let _ = running.child.wait();
                let now = self.clock.now();
                self.parts[running.parts].iter_mut().for_each(|part| part.killed = Some(now));
            }
        }
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, name: &str, signal: Signal) {
        let pid = self.running.get(name).and_then(|process| Pid::from_raw(process.child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses or resumes a process, and records the change if there is one.
    pub fn set_paused(&mut self, name: &str, paused: bool) {
        let (signal, event) = if paused {
            (Signal::STOP, CaptureEvent::ProcessPaused)
        } else {
            (Signal::CONT, CaptureEvent::ProcessResumed)
        };
        let now = self.clock.now();
        if let Some(parts) = self.running.get(name).map(|process| process.parts.clone()) {
            for part in &mut self.parts[parts] {
                let was_paused =
                    part.pauses.last().is_some_and(|(_, last)| *last == CaptureEvent::ProcessPaused);
                if was_paused != paused {
                    part.pauses.push((now, event));
                }
            }
        }
        self.signal(name, signal);
    }

    /// Returns the exit status of a process if it has ended since the last call, and forgets the process.
    pub fn exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        let running = self.running.get_mut(name)?;
        let status = running.child.try_wait().ok().flatten()?;
        self.running.remove(name);
        Some(status)
    }

    /// Returns whether a process was started and is not yet known to have ended.
    pub fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// Returns the names of all running processes.
    pub fn running_names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Samples the memory, CPU time and open descriptors of each process.
    pub fn sample_all(&mut self) {
        let pids: Vec<_> =
            self.running.iter().map(|(name, process)| (name.clone(), process.child.id())).collect();
        pids.into_iter().for_each(|(name, pid)| self.sample(&name, pid));
    }

    fn sample(&mut self, name: &str, pid: u32) {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let value = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib =
            value.and_then(|value| value.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0);
        // Of the fields after the program name in brackets, user time is the 12th and system time the 13th.
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
        self.cpu.insert(name.to_string(), (ticks(11) + ticks(12)) / TICKS_PER_SECOND);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |fds| fds.count() as u64);
        let peak = self.descriptors.entry(name.to_string()).or_default();
        *peak = (*peak).max(descriptors);
        let peak = self.memory.entry(name.to_string()).or_default();
        *peak = (*peak).max(kib * 1024);
    }

    /// Returns the time of the clock that captures use.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for running in self.running.values_mut() {
            let _ = running.child.kill();
        }
        for running in self.running.values_mut() {
            let _ = running.child.wait();
        }
    }
}
