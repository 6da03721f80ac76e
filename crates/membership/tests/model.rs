//! A group beside a plain model of the order of claims, and on bytes that nobody said.

use std::collections::BTreeMap;

use bytes::Bytes;
use tideroute::rng::Rng;
use tideroute_membership::{Act, Group, Terms};
use tideroute_wire::gossip::{GossipMessage, MemberStatus, PARTS};
use tideroute_wire::Address;

const NOW: u64 = 1_800_000_000_000_000;
const HERE: Address = [127, 0, 0, 1, 1, 1];
const STANDINGS: [MemberStatus; 4] =
    [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Dead, MemberStatus::Left];

fn group(seed: u64) -> Group {
    Group::new(Terms { name: "own".into(), at: HERE, seeds: vec![], seed }, NOW)
}

fn below(rng: &mut Rng, n: usize) -> usize {
    (rng.unit() * n as f64) as usize
}

#[derive(Clone)]
struct Word {
    name: String,
    incarnation: u64,
    standing: MemberStatus,
    in_page: bool,
}

impl Word {
    fn drawn(rng: &mut Rng, names: usize) -> Word {
        Word {
            name: format!("r{}", below(rng, names)),
            incarnation: 1 + below(rng, 4) as u64,
            standing: STANDINGS[below(rng, 4)],
            in_page: below(rng, 3) == 0,
        }
    }

    fn said(&self) -> Bytes {
        let mut saying = GossipMessage::new(None, 0);
        assert!(saying.claim(&self.name, HERE, self.incarnation, self.standing, 7));
        if self.in_page {
            saying.page(1, 0, 1, None, 0)
        } else {
            saying.plain()
        }
    }
}

fn view(group: &Group) -> BTreeMap<String, (u64, MemberStatus)> {
    group.seen().map(|s| (s.name.clone(), (s.incarnation, s.standing))).collect()
}

/// What the words come to by the rules as the design note states them, each a line.
fn plain(words: &[Word]) -> BTreeMap<String, (u64, MemberStatus)> {
    let mut known: BTreeMap<String, (u64, MemberStatus)> = BTreeMap::new();
    for w in words {
        let Some(had) = known.get(&w.name).copied() else {
            if w.standing.is_in() {
                known.insert(w.name.clone(), (w.incarnation, w.standing));
            }
            continue;
        };
        // In a page a death is no more than a suspicion of one that is in.
        let doubted = w.in_page && w.standing == MemberStatus::Dead && had.1.is_in();
        let standing = if doubted { MemberStatus::Suspected } else { w.standing };
        if (w.incarnation, standing) > had {
            known.insert(w.name.clone(), (w.incarnation, standing));
        }
    }
    known
}

#[test]
fn what_is_known_follows_the_plain_rules() {
    for seed in 1..=2_000 {
        let mut rng = Rng::new(seed);
        let words: Vec<_> = (0..60).map(|_| Word::drawn(&mut rng, 5)).collect();
        let mut group = group(seed);
        for word in &words {
            group.heard(NOW, HERE, &word.said()).expect("well said");
        }
        assert_eq!(view(&group), plain(&words), "seed {seed}");
    }
}

#[test]
fn news_in_any_order_and_any_often_comes_to_the_same() {
    for seed in 1..=1_000 {
        let mut rng = Rng::new(seed);
        let mut words: Vec<_> = (0..40)
            .map(|_| Word { in_page: false, ..Word::drawn(&mut rng, 4) })
            .filter(|w| w.standing.is_in() || w.incarnation > 1)
            .collect();
        // Of the dead that were never met nothing is kept, so all are met first.
        let met: Vec<_> = (0..4)
            .map(|n| Word {
                name: format!("r{n}"),
                incarnation: 0,
                standing: MemberStatus::Alive,
                in_page: false,
            })
            .collect();
        let come = |words: &[Word]| {
            let mut group = group(seed);
            met.iter().chain(words).for_each(|w| group.heard(NOW, HERE, &w.said()).expect("well said"));
            view(&group)
        };
        let one = come(&words);
        for n in (1..words.len()).rev() {
            words.swap(n, below(&mut rng, n + 1));
        }
        let repeated: Vec<_> = words.iter().chain(words.iter().step_by(3)).cloned().collect();
        assert_eq!(come(&repeated), one, "seed {seed}");
    }
}

#[test]
fn whatever_is_said_of_itself_it_outbids() {
    let mut rng = Rng::new(3);
    let mut group = group(1);
    for _ in 0..1_000 {
        let incarnation = group.own().incarnation - 2 + below(&mut rng, 5) as u64;
        let standing = STANDINGS[1 + below(&mut rng, 3)];
        let mut saying = GossipMessage::new(None, 0);
        saying.claim("own", HERE, incarnation, standing, 7);
        group.heard(NOW, HERE, &saying.plain()).expect("well said");
        assert!((group.own().incarnation, MemberStatus::Alive) > (incarnation, standing));
        assert_eq!(group.own().standing, MemberStatus::Alive);
    }
    assert!(group.counts().refuted > 100);
    // What no clock can have brought is not believed, or it could never be outbid.
    let before = group.own().incarnation;
    let mut saying = GossipMessage::new(None, 0);
    saying.claim("own", HERE, u64::MAX, MemberStatus::Dead, 7);
    saying.claim("r1", HERE, u64::MAX, MemberStatus::Alive, 7);
    group.heard(NOW, HERE, &saying.plain()).expect("well said");
    assert_eq!((group.own().incarnation, group.counts().future, group.seen().count()), (before, 2, 0));
}

#[test]
fn another_process_under_its_name_is_answered_once_a_second_at_most() {
    let mut group = group(1);
    let elsewhere = [127, 0, 0, 1, 9, 9];
    let first = group.own().incarnation;
    for n in 0..100u64 {
        let claimed = group.own().incarnation + 1;
        let saying = GossipMessage::new(Some(("own", elsewhere, claimed, MemberStatus::Alive)), 0);
        group.heard(NOW + n * 10_000, elsewhere, &saying.ping(n as u32)).expect("well said");
    }
    assert_eq!(group.counts().quarrels, 100);
    assert!(group.own().incarnation <= first + 2, "{}", group.own().incarnation - first);
}

/// Bytes as nobody says them: cut, changed and made up. They are refused or heard, and never more than that.
#[test]
fn bytes_that_nobody_said_do_no_harm() {
    let mut rng = Rng::new(9);
    let (mut group, mut heard, mut refused, mut most) = (group(1), 0, 0, 0);
    for n in 0..30_000 {
        let own = format!("r{}", below(&mut rng, 40));
        let mut saying = GossipMessage::new(Some((&own, HERE, 5, STANDINGS[below(&mut rng, 4)])), 0);
        for _ in 0..below(&mut rng, 4) {
            let w = Word::drawn(&mut rng, 40);
            saying.claim(&w.name, HERE, w.incarnation, w.standing, 3);
        }
        let prints = [rng.unit().to_bits(); PARTS];
        let said = match n % 6 {
            0 => saying.ping(n),
            1 => saying.ack(n),
            2 => saying.ping_request(n, "r3", HERE),
            3 => saying.digest(n, prints),
            4 => saying.page(n, 0, 1, Some(prints), 0),
            _ => saying.nack(n),
        };
        let mut bytes = said.to_vec();
        for _ in 0..below(&mut rng, 4) {
            let place = below(&mut rng, bytes.len().max(1));
            match below(&mut rng, 3) {
                0 => bytes.truncate(place),
                1 if place < bytes.len() => bytes[place] = below(&mut rng, 256) as u8,
                _ => bytes.insert(place.min(bytes.len()), below(&mut rng, 256) as u8),
            }
        }
        let now = NOW + u64::from(n) * 1_000;
        match group.heard(now, HERE, &bytes.into()) {
            Ok(()) => heard += 1,
            Err(_) => refused += 1,
        }
        let mut acts = 0;
        while let Some(act) = group.next(now) {
            acts += 1;
            if let Act::Say { said, .. } = act {
                assert!(said.len() <= tideroute_wire::gossip::LARGEST);
            }
        }
        most = most.max(acts);
    }
    assert!(heard > 5_000 && refused > 2_000, "{heard} heard, {refused} refused");
    assert!(most < 60, "{most} acts after one datagram");
}
