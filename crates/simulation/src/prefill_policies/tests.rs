//! How evenly each policy spreads prefills over workers.

use super::*;

/// Returns how many of 200 prefills that begin at the same moment each of ten workers gets, in ascending order.
fn counts(policy: PrefillPolicy) -> Vec<usize> {
    let workers: Vec<(Address, f64)> = (0..10).map(|client| ([127, 0, 0, client, 0, 1], 1.0)).collect();
    let (mut chooser, mut counts) = (PrefillChooser::new(policy, 50, 3), vec![0; 10]);
    for client in 0..200 {
        let index = chooser.choose(1_000, client, client as u64 * 7, &workers).expect("there are workers");
        counts[index] += 1;
        chooser.record(1_000, client, workers[index].0, true);
    }
    counts.sort_unstable();
    counts
}

#[test]
fn each_policy_spreads_prefills_as_well_as_its_load_information_allows() {
    assert_eq!(counts(PrefillPolicy::Perfect), [20; 10]);
    let spread = |policy| counts(policy)[9] - counts(policy)[0];
    assert!(2 * spread(PrefillPolicy::TwoChoices) < spread(PrefillPolicy::Random));
    assert!(
        spread(PrefillPolicy::Greedy) > spread(PrefillPolicy::TwoChoices),
        "greedy without updates is no better than random"
    );
    // Once an update says that one worker is idle, all requests go to it until the next update arrives.
    let workers: Vec<(Address, f64)> = (0..10).map(|client| ([127, 0, 0, client, 0, 1], 1.0)).collect();
    let mut greedy = PrefillChooser::new(PrefillPolicy::Greedy, 50, 3);
    (1..10).for_each(|client| greedy.record(0, client, workers[client].0, true));
    let all_chose_the_idle_worker = (0..100).all(|client| {
        let index = greedy.choose(GOSSIP_DELAY + 1, client, 0, &workers);
        greedy.record(GOSSIP_DELAY + 1, client, workers[0].0, true);
        index == Some(0)
    });
    assert!(
        all_chose_the_idle_worker,
        "greedy with old load information does not send all requests to the idle worker"
    );
}
