//! The processes of a day. What was started here ends here, whatever happens: each child also watches a pipe
//! that ends with this process.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use tideroute_reactor::clock::Clock;
use tideroute_wire::tap::Who;
use tideroute_wire::{Address, Micros};

use crate::parts::Part;

/// How to start one process, also again.
#[derive(Clone)]
pub struct Recipe {
    pub name: String,
    pub role: String,
    pub address: Option<Address>,
    pub arguments: Vec<String>,
    /// Its words go to the terminal and not into a file.
    pub speaks: bool,
}

struct Running {
    child: Child,
    part: usize,
}

pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    clock: Clock,
    running: BTreeMap<String, Running>,
    pub parts: Vec<Part>,
    /// The most memory that each process was seen to hold, bytes.
    pub memory: BTreeMap<String, u64>,
}

impl Processes {
    pub fn new(program: &Path, folder: &Path, clock: Clock) -> Processes {
        let (running, parts, memory) = (BTreeMap::new(), vec![], BTreeMap::new());
        Processes { program: program.into(), folder: folder.into(), clock, running, parts, memory }
    }

    /// Starts a process that writes its own part of the record.
    pub fn start(&mut self, recipe: &Recipe) -> io::Result<()> {
        let number = self.parts.len() as u32 + 1;
        let path = self.folder.join(format!("{number:03}-{}.part", recipe.name));
        let log = File::create(self.folder.join(format!("{number:03}-{}.log", recipe.name)))?;
        let mut command = Command::new(&self.program);
        command.args(["--log", "info"]).args(&recipe.arguments);
        command.arg("--tap").arg(&path).arg("--process").arg(number.to_string()).arg("--tethered");
        command.stdin(Stdio::piped());
        if !recipe.speaks {
            command.stdout(log.try_clone()?).stderr(log);
        }
        let child = command.spawn()?;
        let who =
            Who { number, name: recipe.name.clone(), role: recipe.role.clone(), address: recipe.address };
        self.parts.push(Part { who, path, killed: None });
        self.running.insert(recipe.name.clone(), Running { child, part: self.parts.len() - 1 });
        Ok(())
    }

    /// Kills a process outright.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut running) = self.running.remove(name) {
            self.look_at(name, running.child.id());
            // It may have ended by itself, in order or not; only a kill that met it counts as one.
            if let Ok(None) = running.child.try_wait() {
                let _ = running.child.kill();
                let _ = running.child.wait();
                self.parts[running.part].killed = Some(self.clock.now());
            }
        }
    }

    pub fn signal(&self, name: &str, signal: Signal) {
        let pid = self.running.get(name).and_then(|r| Pid::from_raw(r.child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self, name: &str) -> Option<ExitStatus> {
        let running = self.running.get_mut(name)?;
        let status = running.child.try_wait().ok().flatten()?;
        self.running.remove(name);
        Some(status)
    }

    pub fn runs(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Notes how much memory each process holds.
    pub fn look(&mut self) {
        let pids: Vec<_> = self.running.iter().map(|(name, r)| (name.clone(), r.child.id())).collect();
        pids.into_iter().for_each(|(name, pid)| self.look_at(&name, pid));
    }

    fn look_at(&mut self, name: &str, pid: u32) {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0);
        let most = self.memory.entry(name.to_string()).or_default();
        *most = (*most).max(kib * 1024);
    }

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
