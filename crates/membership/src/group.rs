//! The group as one router sees it.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute::rng::Rng;
use tideroute_wire::gossip::{self, GossipHandler, GossipMessage, MemberStatus, PARTS};
use tideroute_wire::{Address, Malformed, Micros};

use crate::probes::{below, some, Probe, Probes};
use crate::seal::Seal;
use crate::table::{print_of, Seen, Table, Weight};
use crate::terms::{
    Terms, AHEAD, ANSWER, COMPARE, COMPARE_SOON, FORGOTTEN, GOODBYES, HELPERS, LATE, LEAVING, MEMBERS, PAGES,
    PERIOD, QUARREL, RECALL, SHARED_BY, SUSPECTED_LEAST, SUSPECTED_MOST, TELL, TELLINGS, TOLD, TRIES, WORST,
};

/// Microseconds in a millisecond.
const MS: Micros = 1_000;

/// What a group wants of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    Say {
        to: Address,
        said: Bytes,
    },
    /// One of the others is seen otherwise than before.
    Saw(Seen),
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub probes: u64,
    pub unanswered: u64,
    /// Its own suspicions, and deaths that it declared itself.
    pub suspected: u64,
    pub declared: u64,
    /// Words on itself that it set right.
    pub refuted: u64,
    /// Claims of an incarnation that no clock can have brought.
    pub future: u64,
    /// Claims for which there is no room.
    pub unkept: u64,
    /// Words of another process that speaks under its name.
    pub quarrels: u64,
    /// Times that it was called so late that it did not trust what it had missed.
    pub late: u64,
}

pub struct Group {
    terms: Terms,
    own: Seen,
    own_print: u32,
    /// How often the news of itself was told.
    own_told: Option<u32>,
    table: Table,
    probes: Probes,
    rng: Rng,
    acts: VecDeque<Act>,
    health: u32,
    probe_at: Micros,
    tell_at: Micros,
    compare_at: Micros,
    recall_at: Micros,
    /// The second goodbye of one that leaves; then None and `left`.
    goodbye_at: Option<Micros>,
    left: bool,
    quarrel_until: Micros,
    /// Whose datagram is being heard, if it is one of the others'.
    speaker: Option<(String, Address)>,
    counts: Counts,
}

impl Group {
    /// A router that starts now. Its first incarnation is the time in milliseconds, so that one that comes back
    /// under its old name counts as new; if its clock was set back, it hears of its former self and outbids it.
    pub fn new(terms: Terms, now: Micros) -> Group {
        let own = Seen {
            name: terms.name.clone(),
            at: terms.at,
            incarnation: now / MS,
            standing: MemberStatus::Alive,
        };
        let mut rng = Rng::new(terms.seed);
        // Routers that start together shall not probe together.
        let spread = |rng: &mut Rng, span: Micros| now + (rng.unit() * span as f64) as Micros;
        let (probe_at, compare_at) = (spread(&mut rng, PERIOD), spread(&mut rng, COMPARE));
        Group {
            own_print: print_of(&own.name),
            own,
            own_told: Some(0),
            terms,
            table: Table::default(),
            probes: Probes::default(),
            rng,
            acts: VecDeque::new(),
            health: 0,
            probe_at,
            tell_at: now,
            compare_at,
            recall_at: now,
            goodbye_at: None,
            left: false,
            quarrel_until: 0,
            speaker: None,
            counts: Counts::default(),
        }
    }

    /// All others that are known, also those that are dead.
    pub fn seen(&self) -> impl Iterator<Item = &Seen> {
        self.table.iter().map(|(_, e)| &e.seen)
    }

    pub fn own(&self) -> &Seen {
        &self.own
    }

    /// How many of the others are in.
    pub fn others(&self) -> usize {
        self.table.ins.len()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How far it distrusts its own sight: 0 for not at all, to [`WORST`].
    pub fn health(&self) -> u32 {
        self.health
    }

    /// It has said its goodbyes.
    pub fn left(&self) -> bool {
        self.left
    }

    /// Takes what a datagram said, after its seal was opened; `from` is where it came from.
    pub fn heard(&mut self, now: Micros, from: Address, said: &Bytes) -> Result<(), Malformed> {
        if self.left {
            return Ok(());
        }
        self.speaker = None;
        gossip::receive(said, &mut Hearing { group: self, now, from })
    }

    /// Says goodbye; nothing is heard any more afterwards.
    pub fn leave(&mut self, now: Micros) {
        if self.own.standing != MemberStatus::Left {
            self.own.standing = MemberStatus::Left;
            self.goodbye();
            self.goodbye_at = Some(now + LEAVING);
        }
    }

    fn goodbye(&mut self) {
        for slot in some(&self.table, &mut self.rng, GOODBYES, None) {
            self.say_plain(slot);
        }
    }

    /// What is wanted next; None until it is due again. Whatever has come by now has to be heard first.
    pub fn next(&mut self, now: Micros) -> Option<Act> {
        if self.acts.is_empty() && !self.left {
            self.run(now);
        }
        self.acts.pop_front()
    }

    /// When it wants to be asked again.
    pub fn due(&self) -> Micros {
        if !self.acts.is_empty() {
            return 0;
        }
        if self.left {
            return Micros::MAX;
        }
        if let Some(at) = self.goodbye_at {
            return at;
        }
        let again = self.probes.under_way.as_ref().and_then(|p| p.again_at);
        let ends = self.table.ends.first().map(|(at, _)| *at);
        let news = (self.table.has_news() || self.own_told.is_some()).then_some(self.tell_at);
        let some = [again, ends, news, self.probes.detours_end(), Some(self.probe_at), Some(self.compare_at)];
        some.into_iter().flatten().fold(self.recall_at, Micros::min)
    }

    fn run(&mut self, now: Micros) {
        if self.due() > now {
            return;
        }
        if self.goodbye_at.is_some() {
            self.goodbye();
            (self.goodbye_at, self.left) = (None, true);
            return;
        }
        self.slept(now);
        while let Some(over) = self.probes.detour_over(now) {
            let saying = self.saying(self.table.find(&over.asker.0));
            self.say(over.asker.1, saying.nack(over.number));
        }
        self.probe(now);
        self.end(now);
        if now >= self.compare_at {
            self.compare_at = now + COMPARE;
            let other = some(&self.table, &mut self.rng, 1, None);
            other.into_iter().for_each(|slot| self.compare(slot));
        }
        if now >= self.recall_at {
            self.recall(now);
        }
        if now >= self.tell_at && (self.table.has_news() || self.own_told.is_some()) {
            self.tell_at = now + TELL;
            for slot in some(&self.table, &mut self.rng, TOLD, None) {
                self.say_plain(slot);
            }
        }
    }

    /// Called late, it was itself what stood still: the probe under way proves nothing, and suspicions wait for as
    /// long as it could not hear their answers.
    fn slept(&mut self, now: Micros) {
        let by = now.saturating_sub(self.due());
        if by < LATE {
            return;
        }
        self.counts.late += 1;
        self.worse(1);
        self.probes.under_way = None;
        let suspected: Vec<_> = self.table.ends.iter().copied().collect();
        for (until, slot) in suspected {
            if self.table.get(slot).is_some_and(|e| e.seen.standing == MemberStatus::Suspected) {
                self.table.end_at(slot, Some(until + by));
            }
        }
    }

    fn worse(&mut self, by: u32) {
        self.health = (self.health + by).min(WORST);
    }

    // What is said.

    /// A datagram with nothing in it but who speaks.
    fn own_word(&self) -> GossipMessage {
        let own = &self.own;
        GossipMessage::new(Some((&own.name, own.at, own.incarnation, own.standing)), Seal::AROUND)
    }

    /// A datagram's beginning: to one that is not seen as there, what is said of it first, so that it can set that
    /// right; then news.
    fn saying(&mut self, to: Option<usize>) -> GossipMessage {
        let mut saying = self.own_word();
        let doubted =
            to.and_then(|slot| self.table.get(slot)).filter(|e| e.seen.standing != MemberStatus::Alive);
        if let Some(entry) = doubted {
            let (s, by) = (&entry.seen, entry.by);
            saying.claim(&s.name, s.at, s.incarnation, s.standing, by);
        }
        // News of itself is in whatever it says.
        let most = self.tellings();
        self.own_told = self.own_told.map(|told| told + 1).filter(|told| *told < most);
        let mut told = Vec::new();
        for slot in self.table.news() {
            let Some(entry) = self.table.get(slot).filter(|_| Some(slot) != to) else { continue };
            let (s, by) = (&entry.seen, entry.by);
            if !saying.claim(&s.name, s.at, s.incarnation, s.standing, by) {
                break;
            }
            told.push(slot);
        }
        self.table.were_told(&told, most);
        saying
    }

    /// How often each piece of news is told.
    fn tellings(&self) -> u32 {
        TELLINGS * (usize::BITS - (self.table.ins.len() + 1).leading_zeros())
    }

    fn say(&mut self, to: Address, said: Bytes) {
        self.acts.push_back(Act::Say { to, said });
    }

    fn say_plain(&mut self, slot: usize) {
        let Some(at) = self.table.get(slot).map(|e| e.seen.at) else { return };
        let saying = self.saying(Some(slot));
        self.say(at, saying.plain());
    }

    fn compare(&mut self, slot: usize) {
        let Some(at) = self.table.get(slot).map(|e| e.seen.at) else { return };
        let (saying, prints) = (self.saying(Some(slot)), self.table.prints(&self.own));
        let number = self.probes.number();
        self.say(at, saying.digest(number, prints));
    }

    /// A word to one that is not there: of the dead one is drawn, of the seeds as well; alone, all seeds.
    fn recall(&mut self, now: Micros) {
        self.recall_at = now + RECALL;
        let alone = self.table.ins.is_empty();
        let dead: Vec<_> = self
            .table
            .iter()
            .filter(|(_, e)| e.seen.standing == MemberStatus::Dead)
            .map(|(slot, _)| slot)
            .collect();
        if !dead.is_empty() {
            let slot = dead[below(&mut self.rng, dead.len())];
            self.compare(slot);
        }
        let known = |at: &Address| {
            *at == self.own.at
                || self.table.ins.iter().any(|&s| self.table.get(s).is_some_and(|e| e.seen.at == *at))
        };
        let mut seeds: Vec<_> = self.terms.seeds.iter().copied().filter(|at| !known(at)).collect();
        if alone {
            self.recall_at = now + COMPARE_SOON;
        } else if !seeds.is_empty() {
            let one = below(&mut self.rng, seeds.len());
            seeds = vec![seeds[one]];
        }
        for at in seeds {
            let (saying, prints) = (self.saying(None), self.table.prints(&self.own));
            let number = self.probes.number();
            self.say(at, saying.digest(number, prints));
        }
    }

    // Probes.

    fn probe(&mut self, now: Micros) {
        let asks = self.probes.under_way.as_ref().is_some_and(|p| p.again_at.is_some_and(|at| at <= now));
        if asks {
            self.try_again(now);
        }
        if now < self.probe_at {
            return;
        }
        self.probed(now);
        let slower = Micros::from(1 + self.health);
        self.probe_at = now + PERIOD * slower;
        let Some(slot) = self.probes.next(&self.table, &mut self.rng) else { return };
        let Some((name, at)) = self.table.get(slot).map(|e| (e.seen.name.clone(), e.seen.at)) else { return };
        let number = self.probes.number();
        self.counts.probes += 1;
        let again_at = Some(now + ANSWER * slower);
        self.probes.under_way =
            Some(Probe { slot, name, number, again_at, tries: 0, helpers: 0, answered: false });
        let saying = self.saying(Some(slot));
        self.say(at, saying.ping(number));
    }

    /// The first word may be lost: tries again, and has others try.
    fn try_again(&mut self, now: Micros) {
        let Some(probe) = self.probes.under_way.as_mut() else { return };
        let (slot, number) = (probe.slot, probe.number);
        let helpers = some(&self.table, &mut self.rng, HELPERS, Some(slot));
        (probe.tries, probe.helpers) = (probe.tries + 1, probe.helpers + helpers.len() as u32);
        let slower = Micros::from(1 + self.health);
        probe.again_at = (probe.tries < TRIES).then_some(now + ANSWER * slower);
        let Some((name, at)) = self.table.get(slot).map(|e| (e.seen.name.clone(), e.seen.at)) else { return };
        let saying = self.saying(Some(slot));
        self.say(at, saying.ping(number));
        for helper in helpers {
            let Some(to) = self.table.get(helper).map(|e| e.seen.at) else { continue };
            let saying = self.saying(Some(helper));
            self.say(to, saying.ping_request(number, &name, at));
        }
    }

    /// A probe's time is over.
    fn probed(&mut self, now: Micros) {
        let Some(probe) = self.probes.under_way.take() else { return };
        if probe.answered {
            self.health = self.health.saturating_sub(1);
            return;
        }
        self.counts.unanswered += 1;
        // Helpers that say nothing at all hint that this router is what is cut off (Lifeguard).
        self.worse(probe.helpers.max(1));
        if self.table.find(&probe.name) == Some(probe.slot) {
            self.counts.suspected += 1;
            self.suspected(now, probe.slot, self.own_print, true);
        }
    }

    /// Suspects one of the others, or notes one more that does. `tells`: as news.
    fn suspected(&mut self, now: Micros, slot: usize, by: u32, tells: bool) {
        let Some(entry) = self.table.get(slot).filter(|e| e.seen.standing.is_in()) else { return };
        let (at, incarnation, shares) = (entry.seen.at, entry.seen.incarnation, entry.suspected_by.len());
        if entry.seen.standing == MemberStatus::Alive {
            self.table.set(slot, at, (incarnation, MemberStatus::Suspected));
            self.table.suspected_since(slot, now);
            self.saw(slot);
        } else if shares > SHARED_BY {
            return;
        }
        if !self.table.suspect(slot, by) {
            return;
        }
        let Some(entry) = self.table.get(slot) else { return };
        let span = suspicion(entry.suspected_by.len() - 1, self.table.ins.len().saturating_sub(1));
        let until = entry.suspected_since + span;
        self.table.end_at(slot, Some(until));
        if tells {
            self.table.tell(slot);
        }
    }

    /// Suspicions become deaths, and the dead are forgotten.
    fn end(&mut self, now: Micros) {
        while let Some((_, slot)) = self.table.ends.first().copied().filter(|(at, _)| *at <= now) {
            let Some(entry) = self.table.get(slot) else { break };
            if entry.seen.standing != MemberStatus::Suspected {
                self.table.forget(slot);
                continue;
            }
            let (at, incarnation) = (entry.seen.at, entry.seen.incarnation);
            self.counts.declared += 1;
            self.gone(now, slot, at, (incarnation, MemberStatus::Dead));
        }
    }

    fn gone(&mut self, now: Micros, slot: usize, at: Address, weight: Weight) {
        self.table.set(slot, at, weight);
        self.table.end_at(slot, Some(now + FORGOTTEN));
        self.table.tell(slot);
        self.saw(slot);
    }

    fn saw(&mut self, slot: usize) {
        let seen = self.table.get(slot).map(|e| Act::Saw(e.seen.clone()));
        self.acts.extend(seen);
    }

    // What is heard.

    /// Takes a claim on one of the others.
    fn claimed(&mut self, now: Micros, seen: Seen, by: u32, in_page: bool) {
        if seen.incarnation > now / MS + AHEAD {
            self.counts.future += 1;
            return;
        }
        if seen.name == self.own.name {
            return self.claimed_of_itself(now, &seen);
        }
        let Some(slot) = self.table.find(&seen.name) else { return self.met(now, seen, by, in_page) };
        let Some(entry) = self.table.get(slot) else { return };
        let (had, weight) =
            ((entry.seen.incarnation, entry.seen.standing), (seen.incarnation, seen.standing));
        if weight < had {
            return;
        }
        match seen.standing {
            MemberStatus::Suspected => {
                if weight.0 > had.0 {
                    self.table.set(slot, seen.at, (weight.0, MemberStatus::Alive));
                    self.saw(slot);
                }
                self.suspected(now, slot, by, !in_page);
            }
            _ if weight == had => {}
            // In a full exchange a death may be old, of before a split healed: the one that it tells of may say
            // otherwise, and is told.
            MemberStatus::Dead if in_page && had.1.is_in() => {
                if weight.0 > had.0 {
                    self.table.set(slot, seen.at, (weight.0, MemberStatus::Alive));
                }
                self.suspected(now, slot, by, false);
                self.say_plain(slot);
            }
            MemberStatus::Dead | MemberStatus::Left => self.gone(now, slot, seen.at, weight),
            MemberStatus::Alive => {
                self.table.set(slot, seen.at, weight);
                if !had.1.is_in() {
                    self.probes.met(slot, &mut self.rng);
                }
                self.table.end_at(slot, None);
                // What comes in pages is old; a thousand that meet at once would tell it for half a minute.
                if !in_page {
                    self.table.tell(slot);
                }
                self.saw(slot);
            }
        }
    }

    /// One that was not known. Of the dead that it never met a router learns nothing new.
    fn met(&mut self, now: Micros, seen: Seen, by: u32, in_page: bool) {
        if !seen.standing.is_in() {
            return;
        }
        if self.table.len() >= MEMBERS {
            self.counts.unkept += 1;
            return;
        }
        let suspected = seen.standing == MemberStatus::Suspected;
        let slot = self.table.insert(Seen { standing: MemberStatus::Alive, ..seen });
        self.probes.met(slot, &mut self.rng);
        if !in_page {
            self.table.tell(slot);
        }
        self.saw(slot);
        if suspected {
            self.suspected(now, slot, by, !in_page);
        }
    }

    fn claimed_of_itself(&mut self, now: Micros, seen: &Seen) {
        let wrong = seen.standing != MemberStatus::Alive || seen.at != self.own.at;
        if seen.incarnation < self.own.incarnation || self.own.standing == MemberStatus::Left {
            return;
        }
        // Its own word, come round.
        if seen.incarnation == self.own.incarnation && !wrong {
            return;
        }
        if seen.at != self.own.at {
            self.counts.quarrels += 1;
            if now < self.quarrel_until {
                return;
            }
            self.quarrel_until = now + QUARREL;
            let other = std::net::SocketAddrV4::new(
                [seen.at[0], seen.at[1], seen.at[2], seen.at[3]].into(),
                u16::from_be_bytes([seen.at[4], seen.at[5]]),
            );
            tracing::warn!(name = self.own.name, %other, "another process speaks, or spoke, under this name");
        }
        if seen.standing != MemberStatus::Alive {
            self.counts.refuted += 1;
            self.worse(1);
        }
        self.own.incarnation = seen.incarnation + 1;
        self.own_told = Some(0);
    }

    fn compared(&mut self, to: Address, number: u32, prints: &[u64], answers: bool) {
        let ours = self.table.prints(&self.own);
        let marked: [bool; PARTS] = std::array::from_fn(|n| prints.get(n) != Some(&ours[n]));
        let slot = self.speaker.as_ref().and_then(|(name, _)| self.table.find(name));
        let health = self.health;
        let mut pages = Vec::new();
        let mut page = self.saying(slot.filter(|_| !marked.contains(&true)));
        if marked.contains(&true) {
            page = self.own_word();
            // Its own word is in every datagram; who only looks finds it there too.
            let listed: Vec<_> = self.table.of_parts(marked).map(|e| (e.seen.clone(), e.by)).collect();
            let first = below(&mut self.rng, listed.len().max(1));
            for (s, by) in listed.iter().cycle().skip(first).take(listed.len()) {
                if !page.claim(&s.name, s.at, s.incarnation, s.standing, *by) {
                    let full = std::mem::replace(&mut page, self.own_word());
                    pages.push(full);
                    page.claim(&s.name, s.at, s.incarnation, s.standing, *by);
                }
                if pages.len() == PAGES {
                    break;
                }
            }
        }
        if pages.len() < PAGES && (!page.is_empty() || pages.is_empty()) {
            pages.push(page);
        }
        let count = pages.len() as u32;
        for (n, page) in pages.into_iter().enumerate() {
            let prints = (answers && n == 0 && marked.contains(&true)).then_some(ours);
            self.say(to, page.page(number, n as u32, count, prints, health));
        }
    }
}

/// How long a suspicion lasts that so many others share, where `most` others could.
fn suspicion(shared: usize, most: usize) -> Micros {
    let wanted = SHARED_BY.min(most);
    if wanted == 0 {
        return SUSPECTED_LEAST;
    }
    let part = ((shared + 1) as f64).ln() / ((wanted + 1) as f64).ln();
    let span = (SUSPECTED_MOST - SUSPECTED_LEAST) as f64 * (1.0 - part).max(0.0);
    SUSPECTED_LEAST + span as Micros
}

struct Hearing<'a> {
    group: &'a mut Group,
    now: Micros,
    from: Address,
}

impl Hearing<'_> {
    /// Where to answer: where the speaker says that it is, or where the words came from if it does not say.
    fn back(&self) -> Address {
        self.group.speaker.as_ref().map_or(self.from, |(_, at)| *at)
    }
}

impl GossipHandler for Hearing<'_> {
    fn sender(&mut self, name: &str, at: Address, incarnation: u64, standing: MemberStatus) {
        let group = &mut *self.group;
        let seen = Seen { name: name.to_string(), at, incarnation, standing };
        group.speaker = Some((name.to_string(), at));
        group.claimed(self.now, seen, 0, false);
        // A former self is known that spoke louder: it has to hear of that to be believed again.
        let slot = group.table.find(name);
        let behind = slot.and_then(|s| group.table.get(s)).is_some_and(|e| e.seen.incarnation > incarnation);
        if let Some(entry) = slot.filter(|_| behind).and_then(|slot| group.table.get(slot)) {
            let (s, by) = (entry.seen.clone(), entry.by);
            let mut saying = group.own_word();
            saying.claim(&s.name, s.at, s.incarnation, s.standing, by);
            group.say(at, saying.plain());
        }
    }

    fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        standing: MemberStatus,
        by: u32,
        in_page: bool,
    ) {
        let seen = Seen { name: name.to_string(), at, incarnation, standing };
        self.group.claimed(self.now, seen, by, in_page);
    }

    fn ping(&mut self, number: u32) {
        let back = self.back();
        let slot = self.group.speaker.as_ref().and_then(|(name, _)| self.group.table.find(name));
        let saying = self.group.saying(slot);
        self.group.say(back, saying.ack(number));
    }

    fn ack(&mut self, number: u32) {
        let group = &mut *self.group;
        if let Some(probe) = group.probes.under_way.as_mut().filter(|p| p.number == number) {
            (probe.answered, probe.again_at) = (true, None);
        } else if let Some(detour) = group.probes.detour_answered(number) {
            let slot = group.table.find(&detour.asker.0);
            let saying = group.saying(slot);
            group.say(detour.asker.1, saying.ack(detour.number));
        }
    }

    fn nack(&mut self, number: u32) {
        let probe = self.group.probes.under_way.as_mut().filter(|p| p.number == number);
        probe.into_iter().for_each(|p| p.helpers = p.helpers.saturating_sub(1));
    }

    fn ping_request(&mut self, number: u32, name: &str, at: Address) {
        let Some(asker) = self.group.speaker.clone() else { return };
        let ours = self.group.probes.number();
        if self.group.probes.detour(ours, asker, number, self.now) {
            let slot = self.group.table.find(name);
            let saying = self.group.saying(slot);
            self.group.say(at, saying.ping(ours));
        }
    }

    fn digest(&mut self, number: u32, prints: &[u64]) {
        let back = self.back();
        self.group.compared(back, number, prints, true);
    }

    fn page(&mut self, number: u32, _page: u32, _pages: u32, prints: &[u64], _health: u32) {
        if !prints.is_empty() {
            let back = self.back();
            let group = &mut *self.group;
            group.compared(back, number, prints, false);
            group.compare_at = group.compare_at.min(self.now + COMPARE_SOON);
        }
    }
}
