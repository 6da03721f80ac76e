//! The processes of a scenario. What was started here ends here, whatever happens: each child also exits when its
//! standard input ends, which this process holds.

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

/// How to start or restart one process.
#[derive(Clone)]
pub struct Recipe {
    /// Its name, which its files begin with.
    pub name: String,
    /// Its role in captures.
    pub role: String,
    /// Where it listens.
    pub address: Option<Address>,
    /// Command line arguments.
    pub arguments: Vec<String>,
    /// Its output goes to the terminal and not into a file.
    pub inherits_output: bool,
    /// Each core writes a capture of its own.
    pub cores: u32,
    /// Its membership thread writes one more capture.
    pub member: bool,
}

struct Running {
    child: Child,
    /// The indices of its captures among all.
    parts: Range<usize>,
}

/// Ticks of CPU time a second, as Linux reports them to programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// The distance between the numbers of a process's cores in a capture.
pub const PROCESS_NUMBERS_PER_CORE: u32 = 100_000;

/// The running processes, their captures and what they used of the machine.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    clock: Clock,
    running: BTreeMap<String, Running>,
    /// The captures of all processes started so far.
    pub parts: Vec<CapturePart>,
    started: u32,
    /// The most memory of each process, in bytes.
    pub memory: BTreeMap<String, u64>,
    /// The most descriptors of each process.
    pub descriptors: BTreeMap<String, u64>,
    /// Seconds of CPU that each process had used at its last sample.
    pub cpu: BTreeMap<String, f64>,
}

impl Processes {
    /// No processes yet; captures and logs go into the folder.
    pub fn new(program: &Path, folder: &Path, clock: Clock) -> Processes {
        let (running, parts, memory) = (BTreeMap::new(), vec![], BTreeMap::new());
        let (program, folder) = (program.into(), folder.into());
        let (descriptors, cpu) = (BTreeMap::new(), BTreeMap::new());
        Processes { program, folder, clock, running, parts, started: 0, memory, descriptors, cpu }
    }

    /// Starts a process that writes its own capture.
    pub fn start(&mut self, recipe: &Recipe) -> io::Result<()> {
        self.started += 1;
        let number = self.started;
        let path = self.folder.join(format!("{number:03}-{}.part", recipe.name));
        let log = File::create(self.folder.join(format!("{number:03}-{}.log", recipe.name)))?;
        let mut command = Command::new(&self.program);
        command.args(["--log", "info"]).args(&recipe.arguments);
        command
            .arg("--capture")
            .arg(&path)
            .arg("--process-number")
            .arg(number.to_string())
            .arg("--exit-with-stdin");
        command.stdin(Stdio::piped());
        if !recipe.inherits_output {
            command.stdout(log.try_clone()?).stderr(log);
        }
        let child = command.spawn()?;
        let first = self.parts.len();
        for core in 0..recipe.cores {
            let name = if core > 0 { format!("{}/{core}", recipe.name) } else { recipe.name.clone() };
            let path = if core > 0 { path.with_extension(format!("part.{core}")) } else { path.clone() };
            let number = number + core * PROCESS_NUMBERS_PER_CORE;
            let process_info =
                CapturedProcess { number, name, role: recipe.role.clone(), address: recipe.address };
            self.parts.push(CapturePart { process_info, path, killed: None, pauses: vec![] });
        }
        if recipe.member {
            let (name, path) = (recipe.name.clone(), path.with_extension("part.member"));
            let number = number + recipe.cores * PROCESS_NUMBERS_PER_CORE;
            let process_info = CapturedProcess { number, name, role: "member".into(), address: None };
            self.parts.push(CapturePart { process_info, path, killed: None, pauses: vec![] });
        }
        self.running.insert(recipe.name.clone(), Running { child, parts: first..self.parts.len() });
        Ok(())
    }

    /// Kills a process outright.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut running) = self.running.remove(name) {
            self.sample(name, running.child.id());
            // It may have exited by itself; only a kill of a running process counts as one.
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
        let pid = self.running.get(name).and_then(|r| Pid::from_raw(r.child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses or resumes a process, and records that if it changes something.
    pub fn set_paused(&mut self, name: &str, paused: bool) {
        let (signal, what) = if paused {
            (Signal::STOP, CaptureEvent::ProcessPaused)
        } else {
            (Signal::CONT, CaptureEvent::ProcessResumed)
        };
        let now = self.clock.now();
        if let Some(parts) = self.running.get(name).map(|r| r.parts.clone()) {
            for part in &mut self.parts[parts] {
                let was_paused =
                    part.pauses.last().is_some_and(|(_, last)| *last == CaptureEvent::ProcessPaused);
                if was_paused != paused {
                    part.pauses.push((now, what));
                }
            }
        }
        self.signal(name, signal);
    }

    /// The exit status of a process, if it has ended.
    pub fn exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        let running = self.running.get_mut(name)?;
        let status = running.child.try_wait().ok().flatten()?;
        self.running.remove(name);
        Some(status)
    }

    /// Whether a process was started and has not ended.
    pub fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// The names of all running processes.
    pub fn running_names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Samples the memory, CPU and descriptors of each process.
    pub fn sample_all(&mut self) {
        let pids: Vec<_> = self.running.iter().map(|(name, r)| (name.clone(), r.child.id())).collect();
        pids.into_iter().for_each(|(name, pid)| self.sample(&name, pid));
    }

    fn sample(&mut self, name: &str, pid: u32) {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0);
        // The fields behind the name in brackets; user and system time are the 12th and 13th of them.
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        self.cpu.insert(name.to_string(), (ticks(11) + ticks(12)) / TICKS_PER_SECOND);
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |fds| fds.count() as u64);
        let most = self.descriptors.entry(name.to_string()).or_default();
        *most = (*most).max(open);
        let most = self.memory.entry(name.to_string()).or_default();
        *most = (*most).max(kib * 1024);
    }

    /// The time of the clock that captures use.
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
