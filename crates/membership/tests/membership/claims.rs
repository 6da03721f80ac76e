//! Precedence of claims about a member, compared with a simple model of the rules; refutation; name conflicts.

use std::collections::BTreeMap;

use crate::support::{membership, random_below, TestClaim, NOW, OWN_ADDRESS, STATUSES};
use tideroute::rng::Rng;
use tideroute_membership::Membership;
use tideroute_wire::gossip::{GossipMessage, MemberStatus};

/// Incarnation and status of each known member, by name.
type View = BTreeMap<String, (u64, MemberStatus)>;

fn view(membership: &Membership) -> View {
    let members = membership.members();
    members.map(|member| (member.name.clone(), (member.incarnation, member.status))).collect()
}

/// Returns the view after these claims by a direct model of the precedence rules.
fn expected_view(claims: &[TestClaim]) -> View {
    let mut view = View::new();
    for claim in claims {
        let Some(known) = view.get(&claim.name).copied() else {
            if claim.status.is_in() {
                view.insert(claim.name.clone(), (claim.incarnation, claim.status));
            }
            continue;
        };
        // In a page, a claim that a member of the cluster is dead counts only as a suspicion.
        let counts_as_suspicion = claim.in_page && claim.status == MemberStatus::Dead && known.1.is_in();
        let status = if counts_as_suspicion { MemberStatus::Suspected } else { claim.status };
        if (claim.incarnation, status) > known {
            view.insert(claim.name.clone(), (claim.incarnation, status));
        }
    }
    view
}

#[test]
fn the_view_follows_the_rules_of_precedence() {
    for seed in 1..=2_000 {
        let mut rng = Rng::new(seed);
        let claims: Vec<_> = (0..60).map(|_| TestClaim::random(&mut rng, 5)).collect();
        let mut membership = membership(seed);
        for claim in &claims {
            membership.handle_datagram(NOW, OWN_ADDRESS, &claim.message()).expect("a well-formed message");
        }
        assert_eq!(view(&membership), expected_view(&claims), "seed {seed}");
    }
}

#[test]
fn rumors_in_any_order_and_with_repeats_lead_to_the_same_view() {
    for seed in 1..=1_000 {
        let mut rng = Rng::new(seed);
        let mut claims: Vec<_> = (0..40)
            .map(|_| TestClaim { in_page: false, ..TestClaim::random(&mut rng, 4) })
            .filter(|claim| claim.status.is_in() || claim.incarnation > 1)
            .collect();
        // Claims that an unknown member is dead are ignored, so all members are made known first.
        let first_claims: Vec<_> = (0..4)
            .map(|number| TestClaim {
                name: format!("r{number}"),
                incarnation: 0,
                status: MemberStatus::Alive,
                in_page: false,
            })
            .collect();
        let view_after = |claims: &[TestClaim]| {
            let mut membership = membership(seed);
            for claim in first_claims.iter().chain(claims) {
                let handled = membership.handle_datagram(NOW, OWN_ADDRESS, &claim.message());
                handled.expect("a well-formed message");
            }
            view(&membership)
        };
        let expected = view_after(&claims);
        for last in (1..claims.len()).rev() {
            claims.swap(last, random_below(&mut rng, last + 1));
        }
        let repeated: Vec<_> = claims.iter().chain(claims.iter().step_by(3)).cloned().collect();
        assert_eq!(view_after(&repeated), expected, "seed {seed}");
    }
}

#[test]
fn a_router_refutes_false_claims_about_itself() {
    let mut rng = Rng::new(3);
    let mut membership = membership(1);
    for _ in 0..1_000 {
        let incarnation = membership.own().incarnation - 2 + random_below(&mut rng, 5) as u64;
        let status = STATUSES[1 + random_below(&mut rng, 3)];
        let mut message = GossipMessage::new(None, 0);
        message.claim("own", OWN_ADDRESS, incarnation, status, 7);
        membership.handle_datagram(NOW, OWN_ADDRESS, &message.plain()).expect("a well-formed message");
        assert!((membership.own().incarnation, MemberStatus::Alive) > (incarnation, status));
        assert_eq!(membership.own().status, MemberStatus::Alive);
    }
    assert!(membership.stats().refutations > 100);
    // A claim with an incarnation that no clock can have given is ignored, because it could never be refuted.
    let before = membership.own().incarnation;
    let mut message = GossipMessage::new(None, 0);
    message.claim("own", OWN_ADDRESS, u64::MAX, MemberStatus::Dead, 7);
    message.claim("r1", OWN_ADDRESS, u64::MAX, MemberStatus::Alive, 7);
    membership.handle_datagram(NOW, OWN_ADDRESS, &message.plain()).expect("a well-formed message");
    let after =
        (membership.own().incarnation, membership.stats().future_incarnations, membership.members().count());
    assert_eq!(after, (before, 2, 0));
}

/// Two processes with one name refute each other. Without a limit they would raise the incarnation with every datagram.
#[test]
fn a_name_conflict_is_answered_at_most_once_a_second() {
    let mut membership = membership(1);
    let other_address = [127, 0, 0, 1, 9, 9];
    let first = membership.own().incarnation;
    for number in 0..100u64 {
        let claimed = membership.own().incarnation + 1;
        let message = GossipMessage::new(Some(("own", other_address, claimed, MemberStatus::Alive)), 0);
        let handled =
            membership.handle_datagram(NOW + number * 10_000, other_address, &message.ping(number as u32));
        handled.expect("a well-formed message");
    }
    assert_eq!(membership.stats().name_conflicts, 100);
    assert!(membership.own().incarnation <= first + 2, "{}", membership.own().incarnation - first);
}
