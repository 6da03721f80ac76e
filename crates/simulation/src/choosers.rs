//! Plain ways to choose a reader, to hold against the router's: each is given all that it may know, and no more.

use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::{Address, Micros};

/// Microseconds that news of a read's begin or end takes to reach all routers, where they tell each other: some
/// rounds of gossip.
const NEWS: Micros = 500_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Way {
    /// The next one by session, as a client does that spreads nothing.
    Next,
    Random,
    /// The one with the fewest reads of this router's own.
    FewestOwn,
    /// Of two drawn at random the one with fewer reads, as it now is.
    TwoChoices,
    /// The one with the fewest reads by news that are [`NEWS`] old.
    Greedy,
    /// The one with the fewest reads, as it now is.
    Perfect,
}

impl Way {
    pub const ALL: [(&'static str, Way); 6] = [
        ("next", Way::Next),
        ("random", Way::Random),
        ("fewest-own", Way::FewestOwn),
        ("two-choices", Way::TwoChoices),
        ("greedy", Way::Greedy),
        ("perfect", Way::Perfect),
    ];
}

impl FromStr for Way {
    type Err = String;

    fn from_str(name: &str) -> Result<Way, String> {
        let known = Way::ALL.iter().find(|(known, _)| *known == name);
        known.map(|(_, way)| *way).ok_or_else(|| {
            let names: Vec<_> = Way::ALL.iter().map(|(name, _)| *name).collect();
            format!("{name:?} is no way; expected one of {}", names.join(", "))
        })
    }
}

/// Reads out, by reader.
type Reads = BTreeMap<Address, i64>;

pub struct Chooser {
    way: Way,
    routers: usize,
    own: Vec<Reads>,
    truth: Reads,
    heard: Reads,
    /// What is on its way to all: when it arrives, of whom, one more or one less.
    news: VecDeque<(Micros, Address, i64)>,
    chance: Pcg64,
}

impl Chooser {
    /// For clients that come through so many routers.
    pub fn new(way: Way, routers: usize, seed: u64) -> Chooser {
        let own = vec![Reads::new(); routers.max(1)];
        let (truth, heard, news) = (Reads::new(), Reads::new(), VecDeque::new());
        Chooser { way, routers: routers.max(1), own, truth, heard, news, chance: Pcg64::seed_from_u64(seed) }
    }

    /// The place of the reader for a client's submission among those that there are, each with its size.
    pub fn choose(
        &mut self,
        now: Micros,
        client: usize,
        session: u64,
        readers: &[(Address, f64)],
    ) -> Option<usize> {
        if readers.is_empty() {
            return None;
        }
        while let Some((_, reader, more)) = self.news.pop_front_if(|(at, ..)| *at <= now) {
            *self.heard.entry(reader).or_default() += more;
        }
        let count = readers.len();
        let one = |chance: &mut Pcg64| chance.random_range(0..count);
        match self.way {
            Way::Next => Some((session % count as u64) as usize),
            Way::Random => Some(one(&mut self.chance)),
            Way::TwoChoices => {
                let two = [one(&mut self.chance), one(&mut self.chance)];
                let by = |n: &usize| filled(&self.truth, readers[*n]);
                two.into_iter().min_by(|a, b| by(a).total_cmp(&by(b)))
            }
            Way::FewestOwn => {
                let own = self.own[client % self.routers].clone();
                self.emptiest(readers, &own)
            }
            Way::Greedy => {
                let heard = self.heard.clone();
                self.emptiest(readers, &heard)
            }
            Way::Perfect => {
                let truth = self.truth.clone();
                self.emptiest(readers, &truth)
            }
        }
    }

    /// The emptiest for its size, ties by chance.
    fn emptiest(&mut self, readers: &[(Address, f64)], reads: &Reads) -> Option<usize> {
        let least = readers.iter().map(|r| filled(reads, *r)).fold(f64::INFINITY, f64::min);
        let all: Vec<_> = (0..readers.len()).filter(|&n| filled(reads, readers[n]) <= least).collect();
        all.get(self.chance.random_range(0..all.len())).copied()
    }

    /// A read has begun at a reader, or ended.
    pub fn note(&mut self, now: Micros, client: usize, reader: Address, began: bool) {
        let more = if began { 1 } else { -1 };
        *self.truth.entry(reader).or_default() += more;
        *self.own[client % self.routers].entry(reader).or_default() += more;
        self.news.push_back((now + NEWS, reader, more));
    }
}

fn filled(reads: &Reads, (reader, size): (Address, f64)) -> f64 {
    reads.get(&reader).copied().unwrap_or(0) as f64 / size.max(0.01)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How many of 200 reads in one moment each of ten readers gets.
    fn counts(way: Way) -> Vec<usize> {
        let readers: Vec<(Address, f64)> = (0..10).map(|n| ([127, 0, 0, n, 0, 1], 1.0)).collect();
        let (mut chooser, mut counts) = (Chooser::new(way, 50, 3), vec![0; 10]);
        for n in 0..200 {
            let place = chooser.choose(1_000, n, n as u64 * 7, &readers).expect("there are some");
            counts[place] += 1;
            chooser.note(1_000, n, readers[place].0, true);
        }
        counts.sort_unstable();
        counts
    }

    #[test]
    fn each_way_spreads_by_what_it_may_know() {
        assert_eq!(counts(Way::Perfect), [20; 10]);
        let spread = |way| counts(way)[9] - counts(way)[0];
        assert!(2 * spread(Way::TwoChoices) < spread(Way::Random));
        assert!(spread(Way::Greedy) > spread(Way::TwoChoices), "without news greedy is random");
        // Once news have come of a reader that was empty, all go there until other news come.
        let readers: Vec<(Address, f64)> = (0..10).map(|n| ([127, 0, 0, n, 0, 1], 1.0)).collect();
        let mut greedy = Chooser::new(Way::Greedy, 50, 3);
        (1..10).for_each(|n| greedy.note(0, n, readers[n].0, true));
        let herd = (0..100).all(|n| {
            let place = greedy.choose(NEWS + 1, n, 0, &readers);
            greedy.note(NEWS + 1, n, readers[0].0, true);
            place == Some(0)
        });
        assert!(herd, "greedy by old news herds");
    }
}
