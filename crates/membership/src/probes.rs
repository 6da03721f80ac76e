//! Whom a router probes next, the probe under way, and those that it tries for others.

use std::collections::BTreeMap;

use tideroute::rng::Rng;
use tideroute_wire::{Address, Micros};

use crate::table::Table;
use crate::terms::{DETOURS, MEMBERS, UNHEARD};

/// A number below `n`, which must not be 0.
pub fn below(rng: &mut Rng, n: usize) -> usize {
    ((rng.unit() * n as f64) as usize).min(n - 1)
}

/// Some of those that are in, each once, but one.
pub fn some(table: &Table, rng: &mut Rng, most: usize, but: Option<usize>) -> Vec<usize> {
    let mut chosen = Vec::with_capacity(most);
    // A few more looks than are wanted: with few others most draws repeat.
    for _ in 0..most * 4 {
        if chosen.len() == most || table.ins.is_empty() {
            break;
        }
        let slot = table.ins[below(rng, table.ins.len())];
        if Some(slot) != but && !chosen.contains(&slot) {
            chosen.push(slot);
        }
    }
    chosen
}

pub struct Probe {
    pub slot: usize,
    pub name: String,
    pub number: u32,
    /// When it is tried again and others are asked to try; None once that is over.
    pub again_at: Option<Micros>,
    pub tries: u32,
    /// Others that were asked, and have not said that they heard nothing.
    pub helpers: u32,
    pub answered: bool,
}

/// Tried for another: whom to tell, under which number, and until when.
pub struct Detour {
    pub asker: (String, Address),
    pub number: u32,
    pub until: Micros,
}

#[derive(Default)]
pub struct Probes {
    /// Each of the others once, in an order drawn anew for each pass (SWIM's bound on how long one may wait).
    order: Vec<usize>,
    pub under_way: Option<Probe>,
    detours: BTreeMap<u32, Detour>,
    number: u32,
}

impl Probes {
    pub fn number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// A new one comes somewhere into the pass under way.
    pub fn met(&mut self, slot: usize, rng: &mut Rng) {
        if self.order.len() < 2 * MEMBERS {
            let place = below(rng, self.order.len() + 1);
            self.order.insert(place, slot);
        }
    }

    /// The next to be probed that is in.
    pub fn next(&mut self, table: &Table, rng: &mut Rng) -> Option<usize> {
        loop {
            while let Some(slot) = self.order.pop() {
                if table.get(slot).is_some_and(|e| e.seen.standing.is_in()) {
                    return Some(slot);
                }
            }
            if table.ins.is_empty() {
                return None;
            }
            self.order.clone_from(&table.ins);
            for n in (1..self.order.len()).rev() {
                self.order.swap(n, below(rng, n + 1));
            }
        }
    }

    /// Whether there is room to try one for another.
    pub fn detour(&mut self, ours: u32, asker: (String, Address), number: u32, now: Micros) -> bool {
        let room = self.detours.len() < DETOURS;
        if room {
            self.detours.insert(ours, Detour { asker, number, until: now + UNHEARD });
        }
        room
    }

    pub fn detour_answered(&mut self, ours: u32) -> Option<Detour> {
        self.detours.remove(&ours)
    }

    /// Numbers are given in turn and all wait as long, so the first is the first to end.
    pub fn detour_over(&mut self, now: Micros) -> Option<Detour> {
        let first = self.detours.first_entry().filter(|d| d.get().until <= now)?;
        Some(first.remove())
    }

    pub fn detours_end(&self) -> Option<Micros> {
        self.detours.first_key_value().map(|(_, d)| d.until)
    }
}
