//! When processes were halted from outside: time in which they could do nothing, and which is not held against
//! them, as a kill is not.

use std::collections::BTreeMap;

use tideroute_wire::Micros;

/// Microseconds after a halt in which a process comes to what waited for it: room for the first turn of its loop, on
/// a machine that has hundreds of them.
const WAKES: Micros = 20_000;

#[derive(Default)]
pub struct Halts {
    /// From when to when; the end of time for one that goes on.
    spans: BTreeMap<u32, Vec<(Micros, Micros)>>,
}

impl Halts {
    pub fn begin(&mut self, process: u32, at: Micros) {
        let spans = self.spans.entry(process).or_default();
        if spans.last().is_none_or(|(_, until)| *until != Micros::MAX) {
            spans.push((at, Micros::MAX));
        }
    }

    pub fn end(&mut self, process: u32, at: Micros) {
        let last = self.spans.get_mut(&process).and_then(|spans| spans.last_mut());
        if let Some(open) = last.filter(|(_, until)| *until == Micros::MAX) {
            open.1 = at + WAKES;
        }
    }

    /// How much of a time a process was halted.
    pub fn within(&self, process: u32, from: Micros, until: Micros) -> Micros {
        let overlap = |&(a, b): &(Micros, Micros)| b.min(until).saturating_sub(a.max(from));
        self.spans.get(&process).map_or(0, |spans| spans.iter().map(overlap).sum())
    }
}
