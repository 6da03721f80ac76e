//! What happened to each router, and what each saw.

use std::collections::HashMap;

use tideroute_wire::Micros;

use crate::{Cut, Members};

/// One run of a router.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    pub from: Micros,
    pub until: Micros,
    /// It ended by itself, in order.
    pub left: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Word {
    In,
    Dead,
    Left,
}

/// What one saw of another, from a moment on.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    pub at: Micros,
    pub viewer: usize,
    pub of: usize,
    pub word: Word,
}

pub struct Truth {
    pub names: Vec<String>,
    numbers: HashMap<String, usize>,
    pub lives: Vec<Vec<Life>>,
    pub halts: Vec<Vec<(Micros, Micros)>>,
    pub cuts: Vec<Cut>,
    pub sights: Vec<Sight>,
}

impl Truth {
    pub fn new(members: &Members) -> Truth {
        let names = members.names.clone();
        let numbers = names.iter().enumerate().map(|(n, name)| (name.clone(), n)).collect();
        let (lives, halts) = (vec![vec![]; names.len()], vec![vec![]; names.len()]);
        Truth { names, numbers, lives, halts, cuts: members.cuts.clone(), sights: vec![] }
    }

    pub fn number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub fn started(&mut self, who: usize, at: Micros) {
        self.lives[who].push(Life { from: at, until: Micros::MAX, left: false });
    }

    pub fn ended(&mut self, who: usize, at: Micros, left: bool) {
        if let Some(life) = self.lives[who].last_mut().filter(|l| l.until == Micros::MAX) {
            (life.until, life.left) = (at, left);
        }
        self.went_on(who, at);
    }

    pub fn halted(&mut self, who: usize, at: Micros) {
        self.halts[who].push((at, Micros::MAX));
    }

    pub fn went_on(&mut self, who: usize, at: Micros) {
        let open = self.halts[who].last_mut().filter(|(_, until)| *until == Micros::MAX);
        open.into_iter().for_each(|(_, until)| *until = at);
    }

    /// Takes a router's word: a standing, an incarnation, a name.
    pub fn saw(&mut self, viewer: usize, at: Micros, word: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(word);
        let mut parts = text.splitn(3, ' ');
        let (standing, name) = (parts.next().unwrap_or(""), parts.nth(1).unwrap_or(""));
        let word = match standing {
            "there" | "suspected" => Word::In,
            "dead" => Word::Dead,
            "left" => Word::Left,
            _ => return Err(format!("{} says {text:?}, which is no sight", self.names[viewer])),
        };
        let Some(of) = self.number(name) else {
            return Err(format!("{} saw {name:?}, whom nobody started", self.names[viewer]));
        };
        self.sights.push(Sight { at, viewer, of, word });
        Ok(())
    }

    /// Up at a moment.
    pub fn up(&self, who: usize, at: Micros) -> Option<&Life> {
        self.lives[who].iter().find(|l| l.from <= at && at < l.until)
    }

    /// Up all the time between two moments, in one life.
    pub fn up_through(&self, who: usize, from: Micros, until: Micros) -> bool {
        self.up(who, from).is_some_and(|l| l.until > until)
    }

    /// Since when it has been down, if it is and was ever up.
    pub fn down_since(&self, who: usize, at: Micros) -> Option<Micros> {
        let last = self.lives[who].iter().rev().find(|l| l.from <= at)?;
        (last.until <= at).then_some(last.until)
    }

    /// Down at some moment between two.
    pub fn down_within(&self, who: usize, from: Micros, until: Micros) -> bool {
        !self.up_through(who, from, until)
    }

    /// Halted for longer than `over` at a stretch, some of it between two moments.
    pub fn halted_within(&self, who: usize, from: Micros, until: Micros, over: Micros) -> bool {
        let met = |(begin, end): &(Micros, Micros)| {
            *begin <= until && *end >= from && end.min(&until) - begin > over
        };
        self.halts[who].iter().any(met)
    }

    /// Cut off from somebody at some moment between two.
    pub fn cut_within(&self, who: usize, from: Micros, until: Micros) -> bool {
        let name = &self.names[who];
        let mine = |c: &&Cut| c.between.contains(name) || c.and.contains(name);
        self.cuts.iter().filter(mine).any(|c| c.from <= until && c.until >= from)
    }

    /// Some cut between two moments, whoever it met.
    pub fn any_cut_within(&self, from: Micros, until: Micros) -> bool {
        self.cuts.iter().any(|c| c.from <= until && c.until >= from)
    }
}
