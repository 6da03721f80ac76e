//! What a router knows of the others: one entry for each, in the order of claims, and the prints by which two
//! routers compare all they know.

use std::collections::{BTreeSet, HashMap};

use slab::Slab;
use tideroute_wire::gossip::{MemberStatus, PARTS};
use tideroute_wire::{Address, Micros};

/// One of the others, as it is seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub name: String,
    pub at: Address,
    pub incarnation: u64,
    pub standing: MemberStatus,
}

/// Order among claims on one router: a later incarnation counts more; of one, the graver word.
pub type Weight = (u64, MemberStatus);

#[derive(Debug)]
pub struct Entry {
    pub seen: Seen,
    /// Prints of those that suspect it.
    pub suspected_by: Vec<u32>,
    /// Whose suspicion is told on.
    pub by: u32,
    pub suspected_since: Micros,
    /// When a suspicion ends in death, or the dead are forgotten.
    pub until: Option<Micros>,
    /// How often the news of it was told; None where all is told.
    pub told: Option<u32>,
    /// Its place among those that are in.
    place: Option<usize>,
    print: u64,
    part: usize,
}

/// A print of a name: two that differ agree once in four billion pairs.
pub fn print_of(name: &str) -> u32 {
    let hash = *blake3::hash(name.as_bytes()).as_bytes();
    u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
}

/// The part of what a router knows to which a name belongs.
pub fn part_of(name: &str) -> usize {
    print_of(name) as usize % PARTS
}

/// What an entry adds to its part's print; nothing where the router is not in.
fn print(seen: &Seen) -> u64 {
    if !seen.standing.is_in() {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(seen.name.as_bytes()).update(&[0]).update(&seen.at).update(&seen.incarnation.to_le_bytes());
    let hash = *hasher.finalize().as_bytes();
    u64::from_le_bytes(std::array::from_fn(|n| hash[n]))
}

#[derive(Default)]
pub struct Table {
    entries: Slab<Entry>,
    by_name: HashMap<String, usize>,
    /// Those that are in.
    pub ins: Vec<usize>,
    /// News to be told: least told first, newest first among those.
    news: BTreeSet<(u32, std::cmp::Reverse<u64>, usize)>,
    stamps: HashMap<usize, u64>,
    stamp: u64,
    /// Suspicions and memories by their ends.
    pub ends: BTreeSet<(Micros, usize)>,
    prints: [u64; PARTS],
}

impl Table {
    pub fn get(&self, slot: usize) -> Option<&Entry> {
        self.entries.get(slot)
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.entries.iter()
    }

    /// The prints with this router's own entry among them.
    pub fn prints(&self, own: &Seen) -> [u64; PARTS] {
        let mut prints = self.prints;
        prints[part_of(&own.name)] ^= print(own);
        prints
    }

    /// All entries of a part that is marked.
    pub fn of_parts(&self, marked: [bool; PARTS]) -> impl Iterator<Item = &Entry> {
        self.entries.iter().map(|(_, e)| e).filter(move |e| marked[e.part])
    }

    pub fn insert(&mut self, seen: Seen) -> usize {
        let (name, part) = (seen.name.clone(), part_of(&seen.name));
        let entry = Entry {
            suspected_by: vec![],
            by: 0,
            suspected_since: 0,
            until: None,
            told: None,
            place: None,
            print: print(&seen),
            part,
            seen,
        };
        self.prints[part] ^= entry.print;
        let slot = self.entries.insert(entry);
        self.by_name.insert(name, slot);
        self.place(slot);
        slot
    }

    /// Sets what a claim says; timers are the caller's.
    pub fn set(&mut self, slot: usize, at: Address, weight: Weight) {
        let Some(entry) = self.entries.get_mut(slot) else { return };
        (entry.seen.at, entry.seen.incarnation, entry.seen.standing) = (at, weight.0, weight.1);
        let fresh = print(&entry.seen);
        self.prints[entry.part] ^= entry.print ^ fresh;
        entry.print = fresh;
        if weight.1 != MemberStatus::Suspected {
            entry.suspected_by.clear();
        }
        self.place(slot);
    }

    /// Keeps the list of those that are in.
    fn place(&mut self, slot: usize) {
        let entry = &mut self.entries[slot];
        match (entry.seen.standing.is_in(), entry.place) {
            (true, None) => {
                entry.place = Some(self.ins.len());
                self.ins.push(slot);
            }
            (false, Some(place)) => {
                entry.place = None;
                self.ins.swap_remove(place);
                if let Some(&moved) = self.ins.get(place) {
                    self.entries[moved].place = Some(place);
                }
            }
            _ => {}
        }
    }

    /// Sets when its suspicion or memory ends.
    pub fn end_at(&mut self, slot: usize, until: Option<Micros>) {
        let Some(entry) = self.entries.get_mut(slot) else { return };
        if let Some(old) = std::mem::replace(&mut entry.until, until) {
            self.ends.remove(&(old, slot));
        }
        self.ends.extend(until.map(|until| (until, slot)));
    }

    /// Notes one that suspects it; whether it was new.
    pub fn suspect(&mut self, slot: usize, by: u32) -> bool {
        let Some(entry) = self.entries.get_mut(slot) else { return false };
        let fresh = !entry.suspected_by.contains(&by);
        if fresh {
            entry.suspected_by.push(by);
            entry.by = by;
        }
        fresh
    }

    pub fn suspected_since(&mut self, slot: usize, now: Micros) {
        self.entries.get_mut(slot).into_iter().for_each(|e| e.suspected_since = now);
    }

    /// What is known of it now is news.
    pub fn tell(&mut self, slot: usize) {
        self.stamp += 1;
        let stamp = self.stamp;
        self.told(slot, Some(0), stamp);
    }

    fn told(&mut self, slot: usize, told: Option<u32>, stamp: u64) {
        let Some(entry) = self.entries.get_mut(slot) else { return };
        let old = std::mem::replace(&mut entry.told, told);
        if let Some((old, stamp)) = old.zip(self.stamps.remove(&slot)) {
            self.news.remove(&(old, std::cmp::Reverse(stamp), slot));
        }
        if let Some(told) = told {
            self.stamps.insert(slot, stamp);
            self.news.insert((told, std::cmp::Reverse(stamp), slot));
        }
    }

    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// News in the order in which it is to be told.
    pub fn news(&self) -> impl Iterator<Item = usize> + '_ {
        self.news.iter().map(|&(_, _, slot)| slot)
    }

    /// These were told once more; what was told so often is no news.
    pub fn were_told(&mut self, slots: &[usize], most: u32) {
        for &slot in slots {
            let times = self.entries.get(slot).and_then(|e| e.told).map(|t| t + 1);
            let stamp = self.stamps.get(&slot).copied().unwrap_or(0);
            self.told(slot, times.filter(|t| *t < most), stamp);
        }
    }

    pub fn forget(&mut self, slot: usize) {
        self.end_at(slot, None);
        self.told(slot, None, 0);
        if let Some(entry) = self.entries.try_remove(slot) {
            self.prints[entry.part] ^= entry.print;
            self.by_name.remove(&entry.seen.name);
            if let Some(place) = entry.place {
                self.ins.swap_remove(place);
                if let Some(&moved) = self.ins.get(place) {
                    self.entries[moved].place = Some(place);
                }
            }
        }
    }
}
