//! What membership costs, and how soon a kill is known, in virtual time.

use tideroute_simulation::crowd::{name, Crowd, Network, CALM};
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::Micros;

use crate::Ended;

/// Microseconds in a second.
const S: Micros = 1_000_000;
/// Seconds after the start in which all meet, and over which what is quiet is measured.
const MEET: Micros = 15;
const QUIET: Micros = 20;
/// Kills one by one, and seconds until the next.
const KILLS: usize = 5;
const APART: Micros = 6;

pub fn run(routers: &[u64], loss: f64, seed: u64) -> Ended {
    let network = Network { loss, ..CALM };
    println!(
        "loss {loss}, seed {seed}; a router and second of quiet time; seconds until others know of a kill"
    );
    println!(
        "routers   met all after   bytes   datagrams   CPU ms   suspected   p50   p99   last   falsely dead"
    );
    let mut well = true;
    for &count in routers {
        let count = count as usize;
        let mut crowd = Crowd::new(count, seed, network);
        crowd.start_all(0..count);
        let began = crowd.now();
        while !crowd.wrong().is_empty() && crowd.now() < began + MEET * S {
            crowd.run_for(S / 2);
        }
        let met = (crowd.now() - began) as f64 / S as f64;
        crowd.run_until(began + MEET * S);
        let sent = |c: &Crowd| (0..count).map(|n| c.sent(n)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        let (before, spent, since) = (sent(&crowd), crowd.spent, crowd.now());
        crowd.run_for(QUIET * S);
        let (after, spent) = (sent(&crowd), crowd.spent - spent);
        let suspected = crowd.sightings.iter().filter(|s| s.at >= since);
        let suspected = suspected.filter(|s| s.seen.status == MemberStatus::Suspected).count();
        let each = |n: f64| n / count as f64 / QUIET as f64;
        let mut known = vec![];
        for kill in 0..KILLS.min(count - 1) {
            let (gone, at) = (count - 1 - kill, crowd.now());
            crowd.kill(gone);
            crowd.run_for(APART * S);
            let of_it = |s: &&tideroute_simulation::crowd::Sighting| {
                s.at >= at && s.seen.status == MemberStatus::Dead && s.seen.name == name(gone)
            };
            let before = known.len();
            known.extend(crowd.sightings.iter().filter(of_it).map(|s| s.at - at));
            well &= known.len() - before == gone;
        }
        known.sort_unstable();
        let at =
            |part: f64| known[((known.len() as f64 * part) as usize).min(known.len() - 1)] as f64 / S as f64;
        let falsely = crowd.falsely_dead(0).len();
        well &= falsely == 0;
        println!(
            "{count:>7}   {met:>13.1}   {:>5.0}   {:>9.1}   {:>6.3}   {suspected:>9}   {:.2}  {:.2}   {:.2}   {falsely:>12}",
            each((after.0 - before.0) as f64),
            each((after.1 - before.1) as f64),
            each(spent.as_secs_f64() * 1e3),
            at(0.5),
            at(0.99),
            at(1.0),
        );
    }
    Ok(well)
}
