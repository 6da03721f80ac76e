//! A router fed with bytes in virtual time: the test is its clients, workers, discovery and loop at once.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tideroute_gateway::Platform;
pub use tideroute_test_support::fixture::*;
pub use tideroute_test_support::text::*;
use tideroute_wire::link::{Act, Link, Loss, Outbox, Program};
use tideroute_wire::{Address, Micros};

pub struct Stage {
    pub program: Platform,
    pub now: Micros,
    out: Outbox,
    rings: BTreeSet<(Micros, u64)>,
    came: u64,
    /// Dialled links that are open or may come to be, and to whom.
    pub dialled: BTreeMap<Link, Address>,
    /// All that the router has sent on each link.
    pub sent: BTreeMap<Link, Vec<u8>>,
    /// Links that the router ended, and whether it cut them.
    pub ended: BTreeMap<Link, bool>,
    pub hushed: BTreeSet<Link>,
    /// Dialled, and not yet told to be there.
    unopened: BTreeSet<Link>,
    /// Sent, and not yet told to be written.
    unwritten: BTreeSet<Link>,
    /// Dials are answered at once, and what is sent is written at once.
    pub eager: bool,
    /// How much of what was sent each worker's link has been asked for already.
    taken: BTreeMap<Link, usize>,
    /// Connections under way that were taken for an attempt's: its bytes leave once they are up.
    attempts: BTreeSet<Link>,
    /// Watches that discovery has begun to answer.
    watched: BTreeSet<Link>,
}

impl Stage {
    pub fn new() -> Stage {
        Stage::with(&file())
    }

    /// One whose settings allow no places.
    pub fn without_places() -> Stage {
        let mut file = file();
        file["settings"]["family_info"]["ahead"] = false.into();
        Stage::with(&file)
    }

    pub fn with(file: &serde_json::Value) -> Stage {
        let terms = tideroute_gateway::read(file.to_string().as_bytes()).expect("a sound configuration");
        let mut stage = Stage {
            program: Platform::new(terms, BEGAN),
            now: BEGAN,
            out: Outbox::default(),
            rings: BTreeSet::new(),
            came: 0,
            dialled: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            hushed: BTreeSet::new(),
            unopened: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            eager: true,
            taken: BTreeMap::new(),
            attempts: BTreeSet::new(),
            watched: BTreeSet::new(),
        };
        stage.program.begin(stage.now, &mut stage.out);
        stage.settle();
        stage
    }

    /// Carries out what the router asked for, as its loop does, until it asks for nothing more.
    fn settle(&mut self) {
        loop {
            self.program.turn(self.now, &mut self.out);
            let acts = self.out.take();
            for act in acts {
                match act {
                    Act::Dial { link, to, .. } => {
                        self.dialled.insert(link, to);
                        self.unopened.insert(link);
                    }
                    Act::Send { link, frame } => {
                        assert!(!self.ended.contains_key(&link), "sends on a link that it ended");
                        self.sent.entry(link).or_default().extend_from_slice(&frame);
                        self.unwritten.insert(link);
                    }
                    Act::Close { link, .. } => drop(self.ended.insert(link, false)),
                    Act::Cut { link } => {
                        self.unwritten.remove(&link);
                        self.ended.insert(link, true);
                    }
                    Act::Ring { at, key } => drop(self.rings.insert((at, key))),
                    Act::Hush { link, hush: true } => drop(self.hushed.insert(link)),
                    Act::Hush { link, .. } => drop(self.hushed.remove(&link)),
                    act => panic!("the router asks for {act:?}"),
                }
            }
            let dials = std::mem::take(&mut self.unopened);
            let (up, later): (Vec<_>, Vec<_>) = dials.into_iter().partition(|_| self.eager);
            self.unopened.extend(later.into_iter().filter(|link| !self.ended.contains_key(link)));
            let opened = !up.is_empty();
            up.into_iter().for_each(|link| self.program.opened(self.now, link, &mut self.out));
            let written = std::mem::take(&mut self.unwritten);
            let (now, later): (Vec<_>, Vec<_>) =
                written.into_iter().partition(|l| self.eager || !l.dialled());
            self.unwritten.extend(later);
            if now.is_empty() && !opened {
                return;
            }
            now.into_iter().for_each(|link| self.program.drained(self.now, link, &mut self.out));
        }
    }

    /// A dial led to a connection.
    pub fn opens(&mut self, link: Link) {
        if self.unopened.remove(&link) {
            self.program.opened(self.now, link, &mut self.out);
            self.settle();
        }
    }

    /// What was sent on a link has been written.
    pub fn written(&mut self, link: Link) {
        self.opens(link);
        self.unwritten.remove(&link);
        self.program.drained(self.now, link, &mut self.out);
        self.settle();
    }

    pub fn come(&mut self) -> Link {
        let link = Link(self.came);
        self.came += 1;
        self.program.accepted(self.now, link, 0, &mut self.out);
        self.settle();
        link
    }

    pub fn say(&mut self, link: Link, bytes: impl AsRef<[u8]>) {
        if !self.ended.contains_key(&link) {
            let bytes = Bytes::copy_from_slice(bytes.as_ref());
            self.program.heard(self.now, link, &bytes, &mut self.out);
            self.settle();
        }
    }

    /// The other end closes or resets the link.
    pub fn lose(&mut self, link: Link) {
        self.lose_as(link, Loss::Broken);
    }

    pub fn lose_as(&mut self, link: Link, loss: Loss) {
        self.unwritten.remove(&link);
        self.unopened.remove(&link);
        self.dialled.remove(&link);
        self.program.lost(self.now, link, loss, &mut self.out);
        self.settle();
    }

    pub fn crowded(&mut self, link: Link, crowded: bool) {
        self.program.crowded(self.now, link, crowded, &mut self.out);
        self.settle();
    }

    pub fn reread(&mut self, file: &serde_json::Value) -> bool {
        let used = self.program.reread(self.now, &Bytes::from(file.to_string()), &mut self.out);
        self.settle();
        used
    }

    pub fn stop(&mut self) {
        self.program.stop(self.now, &mut self.out);
        self.settle();
    }

    /// When the next timer rings.
    pub fn next_timer(&self) -> Option<Micros> {
        self.rings.first().map(|(at, _)| *at)
    }

    /// Lets time pass; timers ring when they are due.
    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(&(at, key)) = self.rings.first().filter(|(at, _)| *at <= until) {
            self.rings.pop_first();
            self.now = self.now.max(at);
            self.program.rang(self.now, key, &mut self.out);
            self.settle();
        }
        self.now = until;
    }

    pub fn text(&self, link: Link) -> String {
        String::from_utf8_lossy(self.sent.get(&link).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// Statuses of the answers that a client has got.
    pub fn statuses(&self, link: Link) -> Vec<u16> {
        let text = self.text(link);
        text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
    }

    /// Calls to workers that begin with these words and were not taken yet: the link and the worker.
    pub fn calls(&mut self, begin: &str) -> Vec<(Link, usize)> {
        let mut found = vec![];
        for (&link, to) in &self.dialled {
            let all = self.sent.get(&link).map_or(&[][..], Vec::as_slice);
            let taken = self.taken.entry(link).or_default();
            if !self.ended.contains_key(&link) && all[*taken..].starts_with(begin.as_bytes()) {
                *taken = all.len();
                found.push((link, usize::from(to[3]) - 1));
            }
        }
        found
    }

    /// The one such call.
    pub fn call(&mut self, begin: &str) -> (Link, usize) {
        let calls = self.calls(begin);
        assert_eq!(calls.len(), 1, "calls that begin with {begin}: {calls:?}");
        calls[0]
    }

    /// Attempts that were not taken yet, also those whose connections are under way: nothing is sent on them before
    /// they are up.
    pub fn attempts(&mut self) -> Vec<(Link, usize)> {
        let mut found = self.calls("POST /v1/chat");
        found.retain(|(link, _)| !self.attempts.remove(link));
        let at = |to: &Address| (to[2] == 1).then(|| usize::from(to[3]) - 1);
        let under_way =
            self.unopened.iter().filter(|l| !self.sent.contains_key(l) && !self.attempts.contains(l));
        let under_way = under_way.filter_map(|link| Some((*link, at(self.dialled.get(link)?)?)));
        found.extend(under_way);
        self.attempts.extend(found.iter().map(|(link, _)| *link).filter(|l| self.unopened.contains(l)));
        found
    }

    /// The one such attempt.
    pub fn attempt(&mut self) -> (Link, usize) {
        let attempts = self.attempts();
        assert_eq!(attempts.len(), 1, "attempts: {attempts:?}");
        attempts[0]
    }

    /// The link of the watch at discovery, if there is one now.
    pub fn watching(&self) -> Option<Link> {
        let at = |(link, to): (&Link, &Address)| (to[2] == 9 || to[2] == 8) && !self.ended.contains_key(link);
        self.dialled.iter().filter(|e| at(*e)).map(|(l, _)| *l).next_back()
    }

    /// That link, and what was asked on it.
    pub fn watch(&self) -> (Link, String) {
        let link = self.watching().expect("a watch");
        (link, self.text(link))
    }

    /// Discovery tells a line on the watch; its answer begins with the first one.
    pub fn discover(&mut self, line: &serde_json::Value) {
        let (link, _) = self.watch();
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let head = if self.watched.insert(link) { head } else { "" };
        self.say(link, format!("{head}{}", chunk(&format!("{line}\n"))));
    }
}
