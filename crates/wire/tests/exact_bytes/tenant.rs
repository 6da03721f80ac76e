//! Messages between the cores of a router and its administration.

use tideroute_wire::tenant::{self, receive, receive_stats, Core, Rate, TenantStats, Watcher};
use tideroute_wire::Malformed;

use crate::{check, record, Recorder};

impl Core for Recorder {
    fn set(
        &mut self,
        name: &str,
        version: u64,
        keys: Vec<[u8; 32]>,
        weight: f64,
        requests: Option<Rate>,
        tokens: Option<Rate>,
        max_in_flight: Option<u32>,
        max_waiting: u32,
    ) -> Result<(), Malformed> {
        record!(self, "set", name, version, keys, weight, requests, tokens, max_in_flight, max_waiting);
        Ok(())
    }

    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed> {
        record!(self, "removed", name, version);
        Ok(())
    }
}

impl Watcher for Recorder {
    fn stats(&mut self, core: &str, name: &str, stats: TenantStats) -> Result<(), Malformed> {
        record!(self, "stats", core, name, stats);
        Ok(())
    }
}

#[test]
fn messages_of_the_administration() {
    let keys = [[0x5a; 32]];
    let rate = Rate { per_second: 10.0, burst: 20.0 };
    let set = tenant::set("acme", 7, &keys, 2.0, Some(rate), None, Some(64), 100);
    let key = format!("{:?}", [0x5a; 32]);
    let call = format!("set(\"acme\", 7, [{key}], 2.0, Some({rate:?}), None, Some(64), 100)");
    check(
        set,
        "0a490a0461636d6510071a205a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a21000000\
        000000004029000000000000244031000000000000344048405064",
        receive,
        &[&call],
    );
    check(tenant::removed("acme", 8), "12080a0461636d651008", receive, &["removed(\"acme\", 8)"]);
}

#[test]
fn statistics_of_a_core() {
    let acme = TenantStats {
        received: 1,
        admitted: 2,
        rejected: 3,
        in_time: 4,
        late: 5,
        queue_time: 600_000,
        waiting: 7,
        in_flight: 8,
    };
    let stats = tenant::stats("core 0", [("acme", acme)].into_iter());
    let call = format!("stats(\"core 0\", \"acme\", {acme:?})");
    check(
        stats,
        "0a06636f7265203012180a0461636d651001180220032804300538c0cf2440074808",
        receive_stats,
        &[&call],
    );
}
