//! How evenly each policy spreads requests.

use super::*;

/// How many of 200 prefills in one moment each of ten workers gets.
fn counts(policy: PrefillPolicy) -> Vec<usize> {
    let workers: Vec<(Address, f64)> = (0..10).map(|n| ([127, 0, 0, n, 0, 1], 1.0)).collect();
    let (mut chooser, mut counts) = (PrefillChooser::new(policy, 50, 3), vec![0; 10]);
    for n in 0..200 {
        let place = chooser.choose(1_000, n, n as u64 * 7, &workers).expect("there are some");
        counts[place] += 1;
        chooser.record(1_000, n, workers[place].0, true);
    }
    counts.sort_unstable();
    counts
}

#[test]
fn each_way_spreads_by_what_it_may_know() {
    assert_eq!(counts(PrefillPolicy::Perfect), [20; 10]);
    let spread = |policy| counts(policy)[9] - counts(policy)[0];
    assert!(2 * spread(PrefillPolicy::TwoChoices) < spread(PrefillPolicy::Random));
    assert!(
        spread(PrefillPolicy::Greedy) > spread(PrefillPolicy::TwoChoices),
        "without news greedy is random"
    );
    // Once an update says that a worker is idle, all go there until the next update arrives.
    let workers: Vec<(Address, f64)> = (0..10).map(|n| ([127, 0, 0, n, 0, 1], 1.0)).collect();
    let mut greedy = PrefillChooser::new(PrefillPolicy::Greedy, 50, 3);
    (1..10).for_each(|n| greedy.record(0, n, workers[n].0, true));
    let herd = (0..100).all(|n| {
        let place = greedy.choose(GOSSIP_DELAY + 1, n, 0, &workers);
        greedy.record(GOSSIP_DELAY + 1, n, workers[0].0, true);
        place == Some(0)
    });
    assert!(herd, "greedy by old news herds");
}
