//! Cluster membership in virtual time: faults that it must tolerate, and randomly generated histories.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_simulation::member_cluster::{member_name, MemberCluster, Network, LOCAL_NETWORK};
use tideroute_wire::gossip::MemberStatus;

const SECOND: u64 = 1_000_000;
const MS: u64 = 1_000;
const LOSSY: Network = Network { loss: 0.1, duplication: 0.05, ..LOCAL_NETWORK };

fn converged_cluster(count: usize, seed: u64, network: Network) -> MemberCluster {
    let mut cluster = MemberCluster::new(count, seed, network);
    cluster.start_all(0..count);
    cluster.run_for(8 * SECOND);
    assert_eq!(cluster.wrong_views(), [], "not all members see each other, seed {seed}");
    cluster
}

/// Returns how many microseconds after `since` each of the others saw a member as dead, in ascending order.
fn detection_delays(cluster: &MemberCluster, member: usize, since: u64) -> Vec<u64> {
    let mut first_seen = BTreeMap::new();
    for observation in &cluster.observations {
        if observation.at >= since
            && observation.observed.name == member_name(member)
            && observation.observed.status == MemberStatus::Dead
        {
            first_seen.entry(observation.observer).or_insert(observation.at - since);
        }
    }
    let mut delays: Vec<_> = first_seen.into_values().collect();
    delays.sort_unstable();
    delays
}

#[test]
fn all_members_know_of_a_kill_within_five_seconds_at_ten_percent_loss() {
    for seed in 1..=4 {
        let mut cluster = converged_cluster(60, seed, LOSSY);
        for member in (40..60).rev() {
            let at = cluster.now();
            cluster.kill(member);
            cluster.run_for(5 * SECOND);
            let delays = detection_delays(&cluster, member, at);
            assert_eq!(
                delays.len(),
                member,
                "seed {seed}: not all remaining members know of the kill after 5 s"
            );
        }
        assert!(
            cluster
                .false_death_declarations(0)
                .iter()
                .all(|observation| !cluster.is_up(observation.observer)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_member_paused_for_a_second_is_not_declared_dead() {
    for (seed, network) in [(1, LOCAL_NETWORK), (2, LOSSY), (3, LOSSY), (4, LOSSY)] {
        let mut cluster = converged_cluster(100, seed, network);
        let mut rng = Pcg64::seed_from_u64(seed);
        for _ in 0..20 {
            (0..2).for_each(|_| cluster.pause(rng.random_range(0..100), SECOND));
            cluster.run_for(1_100 * MS);
        }
        cluster.run_for(3 * SECOND);
        let dead = cluster.false_death_declarations(0);
        assert!(dead.is_empty(), "seed {seed}: {} deaths, first {:?}", dead.len(), dead[0]);
        assert_eq!(cluster.wrong_views(), []);
    }
}

#[test]
fn two_halves_partitioned_for_ten_seconds_merge_within_five_seconds_of_the_heal() {
    for seed in 1..=3 {
        let mut cluster = converged_cluster(100, seed, if seed == 1 { LOCAL_NETWORK } else { LOSSY });
        cluster.partition(0..50, 50..100);
        cluster.partition(50..100, 0..50);
        cluster.run_for(10 * SECOND);
        assert!(
            cluster.wrong_views().len() > 2_000,
            "the halves still see each other; wrong views: {}",
            cluster.wrong_views().len()
        );
        cluster.heal();
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.wrong_views(), [], "seed {seed}");
    }
}

/// A partition in one direction removes no member permanently; once it has ended, all members see each other.
#[test]
fn a_one_way_partition_is_tolerated() {
    let mut cluster = converged_cluster(40, 7, LOCAL_NETWORK);
    cluster.partition(0..4, 4..40);
    cluster.run_for(8 * SECOND);
    cluster.heal();
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.wrong_views(), []);
}

#[test]
fn seventy_of_a_hundred_members_killed_at_once_rejoin() {
    for (seed, downtime) in [(1, 500 * MS), (2, 8 * SECOND)] {
        let mut cluster = converged_cluster(100, seed, LOSSY);
        (30..100).for_each(|member| cluster.kill(member));
        cluster.run_for(downtime);
        cluster.start_all(30..100);
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.wrong_views(), [], "seed {seed}");
    }
}

/// Its first incarnation is lower than the one from before the restart, which the others remember.
#[test]
fn a_member_that_restarts_with_its_clock_set_back_rejoins() {
    for downtime in [200 * MS, 8 * SECOND] {
        let mut cluster = converged_cluster(20, 3, LOCAL_NETWORK);
        cluster.kill(9);
        cluster.run_for(downtime);
        cluster.set_clock_offset(9, -3_600 * SECOND as i64);
        cluster.start(9);
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.wrong_views(), []);
    }
}

#[test]
fn a_member_that_leaves_is_removed_at_once_and_never_suspected() {
    let mut cluster = converged_cluster(60, 5, LOSSY);
    let at = cluster.now();
    cluster.leave(33);
    cluster.run_for(1_500 * MS);
    assert_eq!(cluster.wrong_views(), []);
    let is_of_leaver = |observation: &&tideroute_simulation::member_cluster::Observation| {
        observation.at >= at && observation.observed.name == member_name(33)
    };
    let observed: Vec<_> = cluster
        .observations
        .iter()
        .filter(is_of_leaver)
        .map(|observation| observation.observed.status)
        .collect();
    assert_eq!(observed.len(), 59);
    assert!(observed.iter().all(|status| *status == MemberStatus::Left), "{observed:?}");
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_cluster() {
    let rate = |count: usize| {
        let mut cluster = converged_cluster(count, 9, LOCAL_NETWORK);
        cluster.run_for(5 * SECOND);
        let sent =
            |cluster: &MemberCluster| (0..count).map(|member| cluster.sent_traffic(member).0).sum::<u64>();
        let before = sent(&cluster);
        cluster.run_for(10 * SECOND);
        (sent(&cluster) - before) / 10 / count as u64
    };
    let (few, many) = (rate(10), rate(200));
    assert!(many < few * 11 / 10 && many < 1_000, "{few} and {many} bytes per member and second");
}

/// Generates histories of kills, starts, pauses, partitions, lost and duplicated datagrams. The view that a member has of
/// another must never go back to an earlier incarnation or status, unless the viewing member was restarted. After the
/// faults all members must see the actual state, and the same seed must give the same observations.
#[test]
fn generated_histories_end_with_all_members_agreeing() {
    let play_history = |seed: u64| {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = rng.random_range(2..24);
        let loss = rng.random_range(0..25) as f64 / 100.0;
        let mut cluster = MemberCluster::new(
            count,
            seed,
            Network { loss, duplication: 0.1, min_delay: 50, max_delay: 20 * MS },
        );
        cluster.start_all(0..count);
        for _ in 0..rng.random_range(3..15) {
            let member = rng.random_range(0..count);
            match rng.random_range(0..6) {
                0 => cluster.kill(member),
                1 if !cluster.is_up(member) => cluster.start(member),
                2 => cluster.pause(member, rng.random_range(10..3_000) * MS),
                3 => {
                    let boundary = rng.random_range(0..count);
                    cluster.partition(0..boundary, boundary..count);
                    if rng.random::<bool>() {
                        cluster.partition(boundary..count, 0..boundary);
                    }
                }
                4 => cluster.heal(),
                5 if member > 3 => cluster.leave(member),
                _ => {}
            }
            cluster.run_for(rng.random_range(1..4_000) * MS);
        }
        // The seeds of the cluster run again, and all network faults end.
        (0..3.min(count))
            .filter(|&member| !cluster.is_up(member))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|member| cluster.start(member));
        cluster.heal();
        cluster.set_network(LOCAL_NETWORK);
        // The time covers the longest pause, the longest suspicion of a member in bad health, and its dissemination.
        cluster.run_for(20 * SECOND);
        assert_eq!(cluster.wrong_views(), [], "seed {seed}, {count} routers, loss {loss}");
        let mut last = BTreeMap::new();
        for observation in &cluster.observations {
            let state = (observation.observed.incarnation, observation.observed.status);
            if let Some((before, at)) = last
                .insert((observation.observer, observation.observed.name.clone()), (state, observation.at))
            {
                assert!(
                    state > before || cluster.started(observation.observer) > at,
                    "{before:?} was followed by {observation:?}"
                );
            }
        }
        let observed = cluster
            .observations
            .iter()
            .map(|observation| (observation.at, observation.observer, observation.observed.clone()))
            .collect::<Vec<_>>();
        (observed, cluster.now())
    };
    for seed in 1..=150 {
        let (observations, _) = play_history(seed);
        if seed % 10 == 0 {
            assert_eq!(play_history(seed).0, observations, "two runs with the same seed differ");
        }
    }
}
