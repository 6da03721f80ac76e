//! What a group is given, and its own bounds.

use tideroute_wire::{Address, Micros};

/// Microseconds in a millisecond.
const MS: Micros = 1_000;

/// Between two probes of a router. Every other one is probed once in this time by somebody, in the mean; the first
/// probe of a dead one comes within 4.6 of it in 99 of 100 cases.
pub const PERIOD: Micros = 250 * MS;
/// How long a probe's answer may take before it is tried again and others are asked to try, and once more so long
/// after: far over any way within a site, and over most pauses of a busy loop.
pub const ANSWER: Micros = 80 * MS;
/// Times that it is tried again. With a tenth of all datagrams lost a probe of one that is there then fails once in
/// some 80,000 times; with one more try it was once in 700, and 300 routers told each other of 1.7 false
/// suspicions a second.
pub const TRIES: u32 = 2;
/// After so much one that was asked to try says that it heard nothing.
pub const UNHEARD: Micros = 75 * MS;
/// Others asked with each further try.
pub const HELPERS: usize = 3;
/// A suspicion ends in death after this, if enough others share it. Over one second of a halted process and what
/// its word takes to reach all.
pub const SUSPECTED_LEAST: Micros = 1_900 * MS;
/// And after this if nobody shares it: whoever suspects alone may itself be what is cut off.
pub const SUSPECTED_MOST: Micros = 4_000 * MS;
/// Others whose suspicion brings the time down to the least.
pub const SHARED_BY: usize = 3;
/// Between two rounds of telling news, while there is some.
pub const TELL: Micros = 100 * MS;
/// Others told in one round.
pub const TOLD: usize = 3;
/// Each piece of news is told so often, times the logarithm (base 2) of the number of routers: in SWIM's proof all
/// but a vanishing part hear it from 1 on; loss and haste want more.
pub const TELLINGS: u32 = 3;
/// Between two full exchanges with one that is there.
pub const COMPARE: Micros = 2_000 * MS;
/// Sooner again where the last one brought something new.
pub const COMPARE_SOON: Micros = 500 * MS;
/// Between two words to one that is not there (dead, or a seed that was not heard yet): so a split that heals meets.
pub const RECALL: Micros = 1_000 * MS;
/// The dead are forgotten after this; a longer split meets again through the seeds.
pub const FORGOTTEN: Micros = 300_000 * MS;
/// Pages of one exchange; what is left comes with the next.
pub const PAGES: usize = 32;
/// Called so much later than asked for, its loop or machine stood still: what was not heard meanwhile is its own.
pub const LATE: Micros = 60 * MS;
/// The most that a router distrusts its own sight: its probes are then so many times slower, and one.
pub const WORST: u32 = 8;
/// Probes tried for others at once.
pub const DETOURS: usize = 256;
/// Routers known at once, and dead ones remembered beside.
pub const MEMBERS: usize = 10_000;
/// Milliseconds: an incarnation further ahead of this router's clock than this is no clock's, and nobody could
/// ever outbid it.
pub const AHEAD: u64 = 24 * 60 * 60 * 1_000;
/// Others told by one that leaves, twice.
pub const GOODBYES: usize = 8;
/// Between its two goodbyes.
pub const LEAVING: Micros = 100 * MS;
/// Least time between two answers to another process that speaks under this router's name.
pub const QUARREL: Micros = 1_000 * MS;

#[derive(Clone, Debug)]
pub struct Terms {
    /// Its own, unlike all others' in the fleet.
    pub name: String,
    /// Where it hears datagrams, as others reach it.
    pub at: Address,
    /// Routers to begin with; its own address among them is passed over.
    pub seeds: Vec<Address>,
    /// Where its chance begins.
    pub seed: u64,
}
