//! Tracks when processes were paused from outside. The time in which a process was paused is deducted from its delays.

use std::collections::BTreeMap;

use tideroute_wire::Micros;

/// Time in microseconds after a pause in which a process handles what arrived during the pause: the first iteration of
/// its event loop, on a machine that runs hundreds of event loops.
const RESUME_GRACE: Micros = 20_000;

struct Pause {
    from: Micros,
    /// `Micros::MAX` while the pause lasts.
    until: Micros,
}

impl Pause {
    fn overlap(&self, from: Micros, until: Micros) -> Micros {
        self.until.min(until).saturating_sub(self.from.max(from))
    }
}

/// The pauses of each process.
#[derive(Default)]
pub struct ProcessPauses {
    by_process: BTreeMap<u32, Vec<Pause>>,
}

impl ProcessPauses {
    /// Records that a process was paused.
    pub fn begin(&mut self, process: u32, at: Micros) {
        let pauses = self.by_process.entry(process).or_default();
        let is_paused = pauses.last().is_some_and(|pause| pause.until == Micros::MAX);
        if !is_paused {
            pauses.push(Pause { from: at, until: Micros::MAX });
        }
    }

    /// Records that a process was resumed.
    pub fn end(&mut self, process: u32, at: Micros) {
        let Some(pauses) = self.by_process.get_mut(&process) else { return };
        let Some(pause) = pauses.last_mut() else { return };
        if pause.until == Micros::MAX {
            pause.until = at + RESUME_GRACE;
        }
    }

    /// Returns how long a process was paused between two times.
    pub fn paused_within(&self, process: u32, from: Micros, until: Micros) -> Micros {
        let Some(pauses) = self.by_process.get(&process) else { return 0 };
        pauses.iter().map(|pause| pause.overlap(from, until)).sum()
    }
}
