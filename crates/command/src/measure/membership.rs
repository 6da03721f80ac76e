//! Measures in virtual time what cluster membership costs, and how soon the others detect a killed member.

use tideroute_simulation::member_cluster::{member_name, MemberCluster, Network, Observation, LOCAL_NETWORK};
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::Micros;

use crate::error::{CommandResult, CommandStatus};

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
/// Seconds after the start within which all members learn of each other.
const CONVERGENCE: Micros = 15;
/// Seconds without kills over which traffic and CPU time are measured.
const QUIET: Micros = 20;
/// Number of members that are killed, one after the other.
const KILLS: usize = 5;
/// Seconds between two kills.
const KILL_INTERVAL: Micros = 6;

/// Measures each cluster size; returns a failure if a kill was not detected or a live member was declared dead.
pub fn run(routers: &[u64], loss: f64, seed: u64) -> CommandResult {
    let network = Network { loss, ..LOCAL_NETWORK };
    println!(
        "loss {loss}, seed {seed}; costs per router and second without faults; seconds until the others detect a kill"
    );
    println!(
        "routers   converged (s)   bytes   datagrams   CPU ms   suspected   p50   p99    max   falsely dead"
    );
    let mut all_correct = true;
    for &count in routers {
        let count = count as usize;
        let mut cluster = MemberCluster::new(count, seed, network);
        cluster.start_all(0..count);
        let converged = measure_convergence(&mut cluster);
        let quiet = measure_quiet(&mut cluster, count);
        let detection = measure_kills(&mut cluster, count);
        let falsely_dead = cluster.false_death_declarations(0).len();
        all_correct &= detection.complete && falsely_dead == 0;
        println!(
            "{count:>7}   {converged:>13.1}   {:>5.0}   {:>9.1}   {:>6.3}   {:>9}   {:.2}  {:.2}   {:.2}   {falsely_dead:>12}",
            quiet.bytes,
            quiet.datagrams,
            quiet.cpu_ms,
            quiet.suspicions,
            detection.quantile(0.5),
            detection.quantile(0.99),
            detection.quantile(1.0),
        );
    }
    Ok(CommandStatus::success_if(all_correct))
}

/// Returns the seconds until all members know each other. Runs until `CONVERGENCE` has passed in any case.
fn measure_convergence(cluster: &mut MemberCluster) -> f64 {
    let started = cluster.now();
    while !cluster.wrong_views().is_empty() && cluster.now() < started + CONVERGENCE * SECOND {
        cluster.run_for(SECOND / 2);
    }
    let converged = (cluster.now() - started) as f64 / SECOND as f64;
    cluster.run_until(started + CONVERGENCE * SECOND);
    converged
}

/// The cost of membership per member and second while nothing fails.
struct QuietCost {
    bytes: f64,
    datagrams: f64,
    cpu_ms: f64,
    /// The suspicions of all members over the whole time.
    suspicions: usize,
}

fn measure_quiet(cluster: &mut MemberCluster, count: usize) -> QuietCost {
    let sent = |cluster: &MemberCluster| {
        (0..count)
            .map(|member| cluster.sent_traffic(member))
            .fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
    };
    let started = cluster.now();
    let (bytes_before, datagrams_before) = sent(cluster);
    let cpu_before = cluster.time_in_members;
    cluster.run_for(QUIET * SECOND);
    let (bytes, datagrams) = sent(cluster);
    let cpu = cluster.time_in_members - cpu_before;
    let suspicions = cluster
        .observations
        .iter()
        .filter(|observation| observation.at >= started)
        .filter(|observation| observation.observed.status == MemberStatus::Suspected)
        .count();
    let per_member_second = |sum: f64| sum / count as f64 / QUIET as f64;
    QuietCost {
        bytes: per_member_second((bytes - bytes_before) as f64),
        datagrams: per_member_second((datagrams - datagrams_before) as f64),
        cpu_ms: per_member_second(cpu.as_secs_f64() * 1e3),
        suspicions,
    }
}

/// How soon the other members detected kills.
struct KillDetection {
    /// Microseconds from each kill until each other member detected it, in ascending order.
    delays: Vec<Micros>,
    /// Whether every other member detected every kill.
    complete: bool,
}

impl KillDetection {
    /// Returns a quantile of the delays, in seconds.
    fn quantile(&self, quantile: f64) -> f64 {
        let index = ((self.delays.len() as f64 * quantile) as usize).min(self.delays.len() - 1);
        self.delays[index] as f64 / SECOND as f64
    }
}

/// Kills the last members one after the other, and measures how soon the others detect it.
fn measure_kills(cluster: &mut MemberCluster, count: usize) -> KillDetection {
    let mut delays = vec![];
    let mut complete = true;
    for kill in 0..KILLS.min(count - 1) {
        let killed = count - 1 - kill;
        let killed_at = cluster.now();
        cluster.kill(killed);
        cluster.run_for(KILL_INTERVAL * SECOND);
        let is_detection = |observation: &&Observation| {
            observation.at >= killed_at
                && observation.observed.status == MemberStatus::Dead
                && observation.observed.name == member_name(killed)
        };
        let count_before = delays.len();
        delays.extend(
            cluster.observations.iter().filter(is_detection).map(|observation| observation.at - killed_at),
        );
        complete &= delays.len() - count_before == killed;
    }
    delays.sort_unstable();
    KillDetection { delays, complete }
}
