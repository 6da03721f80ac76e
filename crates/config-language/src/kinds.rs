//! The program's records as they are used, after a file was checked. Durations are microseconds.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::ast::Span;
use crate::error::ConfigError;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct File {
    pub router: Option<Router>,
    pub worker: Option<Worker>,
    pub list: Option<List>,
    pub relay: Option<Relay>,
    pub load: Option<Load>,
    pub day: Option<Day>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Router {
    pub name: String,
    pub listen: String,
    pub list: String,
    pub metrics: Option<String>,
    pub keep: Option<String>,
    pub seed: Option<u64>,
    pub cores: u32,
    pub tracks: Vec<Track>,
    pub kinds: Vec<Kind>,
    pub terms: Terms,
    pub tenants: Vec<Tenant>,
    pub admin: Option<Admin>,
    pub fleet: Option<Fleet>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fleet {
    pub name: String,
    pub listen: String,
    pub seeds: Vec<String>,
    pub key: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Admin {
    pub listen: String,
    pub store: String,
    pub keys: Vec<AdminKey>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminKey {
    pub name: String,
    pub key: String,
    pub role: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Tenant {
    pub name: String,
    pub key: String,
    pub weight: f64,
    pub submissions: Option<f64>,
    pub submissions_once: f64,
    pub tokens: Option<f64>,
    pub tokens_once: f64,
    pub in_flight: Option<u32>,
    pub waiting: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Key {
    pub tenant: String,
    pub key: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Track {
    pub name: String,
    pub repeat: String,
    pub group: String,
    pub window: u64,
    pub contract: u64,
    pub per_thousand: u64,
    pub cut_off: u64,
    pub earnings: f64,
    pub late: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Kind {
    pub name: String,
    pub role: Role,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Terms {
    pub routers: u32,
    pub places: bool,
    pub writers_read: bool,
    pub release: u64,
    pub cold_share: f64,
    pub warm_after: u64,
    pub fall_multiple: f64,
    pub fall_span: u64,
    pub most_shots: u16,
    pub withdrawals: bool,
    pub probes: bool,
    pub asks: bool,
    pub longest_wait: u64,
    pub advice: bool,
    pub longest_advice: u64,
    pub drain_grace: u64,
    pub unheard: u64,
    pub travel: u64,
    pub window: u32,
    pub most_open: usize,
    pub most_a_client: usize,
    pub most_clients: usize,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Worker {
    pub name: String,
    pub listen: String,
    pub list: String,
    pub kind: u16,
    pub cell: u16,
    pub zone: u8,
    pub warm: bool,
    pub does: Able,
    pub terms: Terms,
    pub script: Vec<Step>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Able {
    pub role: Role,
    pub size: f64,
    pub reads_at_once: usize,
    pub reads_waiting: usize,
    pub read_rate: f64,
    pub streams_at_once: usize,
    pub streams_waiting: usize,
    pub token_gap: u64,
    pub state_bytes_a_token: u32,
    pub keeps: usize,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Step {
    pub at: u64,
    #[serde(rename = "do")]
    pub act: String,
    #[serde(rename = "for")]
    pub lasts: Option<u64>,
    pub times: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct List {
    pub listen: String,
    pub lag: u64,
    pub late: Vec<Late>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Relay {
    pub doors: Vec<Door>,
    pub datagrams: Vec<Door>,
    pub faults: Vec<Fault>,
    pub seed: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Door {
    pub listen: String,
    pub to: String,
    pub faults: Vec<usize>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub way: String,
    pub how: String,
    pub delay: u64,
    pub jitter: u64,
    pub loss: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Uneven {
    pub part: f64,
    pub times: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Late {
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub lag: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    pub routers: Vec<String>,
    pub seed: u64,
    pub rate: f64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub clients: usize,
    pub tracks: Vec<Track>,
    pub traffic: Vec<Traffic>,
    pub retries: u32,
    pub retry_wait: u64,
    pub leaves: f64,
    pub sluggish: usize,
    pub bursts: Vec<Burst>,
    pub uneven: Option<Uneven>,
    pub keys: Vec<Key>,
    pub state_bytes_a_token: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Burst {
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub times: f64,
    pub tenant: Option<String>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Traffic {
    pub track: String,
    pub tenant: Option<String>,
    pub part: f64,
    pub turns: f64,
    pub adds: Range,
    pub answer: Range,
    pub shared: f64,
    pub texts: u32,
    pub text_tokens: Range,
    pub patience: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Range {
    pub least: u32,
    pub most: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Day {
    pub note: String,
    pub seed: u64,
    pub routers: usize,
    pub cores: u32,
    pub membership: bool,
    pub cells: u16,
    pub zones: u8,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    pub shares: bool,
    pub fleet: Vec<Group>,
    pub tracks: Vec<Track>,
    pub terms: Terms,
    pub lag: u64,
    pub load: DayLoad,
    pub troubles: Vec<Trouble>,
    pub faults: Option<Drawn>,
    pub expect: Expect,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DayLoad {
    pub rate: f64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub clients: usize,
    pub traffic: Vec<Traffic>,
    pub retries: u32,
    pub retry_wait: u64,
    pub leaves: f64,
    pub sluggish: usize,
    pub uneven: Option<Uneven>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Group {
    pub name: String,
    pub kind: String,
    pub count: usize,
    pub does: Able,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Drawn {
    pub draw: usize,
    pub seed: u64,
    pub from: u64,
    pub until: Option<u64>,
    pub longest: u64,
}

/// What goes wrong; which fields it has follows from what it does.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Trouble {
    pub at: u64,
    #[serde(rename = "do")]
    pub act: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub who: Vec<String>,
    pub back: Option<u64>,
    #[serde(rename = "for")]
    pub lasts: Option<u64>,
    pub lag: Option<u64>,
    #[serde(default = "once", skip_serializing_if = "is_once")]
    pub times: f64,
    pub tenant: Option<String>,
    /// Of a kill: whether it finds what it kept.
    pub keeps: Option<bool>,
    /// Of what happens between two sets of processes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub between: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub and: Vec<String>,
    pub way: Option<String>,
    pub how: Option<String>,
    pub delay: Option<u64>,
    pub jitter: Option<u64>,
    pub loss: Option<f64>,
    /// Of a clock.
    pub rate: Option<f64>,
    pub ahead: Option<u64>,
    pub behind: Option<u64>,
}

fn once() -> f64 {
    1.0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it so")]
fn is_once(times: &f64) -> bool {
    *times == once()
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Expect {
    pub service: f64,
    pub honoured: f64,
    pub memory: u64,
}

impl Trouble {
    /// It is done to processes from outside, and to some of a group at once.
    pub fn from_outside(&self) -> bool {
        ["kill", "halt", "clock"].contains(&self.act.as_str())
    }
}

impl Day {
    /// The names of all workers, group by group.
    pub fn workers(&self) -> impl Iterator<Item = (String, &Group, usize)> {
        self.fleet.iter().flat_map(|g| (0..g.count).map(move |n| (format!("{}{n}", g.name), g, n)))
    }

    /// The processes that a name stands for: one, all of a group (`router`, or a worker group's name), or some of
    /// one (`router10-19`). Empty for a name that stands for nobody.
    pub fn named(&self, name: &str) -> Vec<String> {
        let groups = self.fleet.iter().map(|g| (g.name.as_str(), g.count));
        for (group, count) in groups.chain([("router", self.routers)]) {
            let Some(rest) = name.strip_prefix(group) else { continue };
            let (first, last) = rest.split_once('-').unwrap_or((rest, rest));
            let range = match rest {
                "" => Some((0, count.saturating_sub(1))),
                _ => first.parse().ok().zip(last.parse().ok()),
            };
            if let Some((first, last)) = range.filter(|(first, last)| first <= last && *last < count) {
                return (first..=last).map(|n| format!("{group}{n}")).collect();
            }
        }
        if ["list", "load"].contains(&name) {
            vec![name.to_string()]
        } else {
            vec![]
        }
    }

    /// The same day with each process named that something is done to.
    pub fn with_names(&self) -> Day {
        let mut day = self.clone();
        for t in day.troubles.iter_mut().filter(|t| t.from_outside()) {
            t.who = t.who.iter().flat_map(|name| self.named(name)).collect();
        }
        day
    }

    /// The names of the routers.
    pub fn router_names(&self) -> impl Iterator<Item = String> {
        (0..self.routers).map(|n| format!("router{n}"))
    }
}

/// What types alone don't say: addresses, names that must be known, values that contradict each other.
pub(crate) fn faults(file: &File, place: &dyn Fn(&str) -> Span) -> Vec<ConfigError> {
    let mut checks = Checks { place, problems: vec![] };
    if let Some(r) = &file.router {
        checks.address("router.listen", &r.listen);
        checks.address("router.list", &r.list);
        if let Some(metrics) = &r.metrics {
            checks.address("router.metrics", metrics);
        }
        checks.tracks("router.tracks", &r.tracks);
        checks.unlike("router.kinds", r.kinds.iter().map(|k| &k.name));
        checks.unlike("router.tenants", r.tenants.iter().map(|t| &t.name));
        for (n, t) in r.tenants.iter().enumerate() {
            checks.hash(&format!("router.tenants[{n}].key"), &t.key);
        }
        if let Some(admin) = &r.admin {
            checks.address("router.admin.listen", &admin.listen);
            checks.unlike("router.admin.keys", admin.keys.iter().map(|k| &k.name));
            for (n, k) in admin.keys.iter().enumerate() {
                checks.hash(&format!("router.admin.keys[{n}].key"), &k.key);
            }
            if !r.tenants.is_empty() {
                let what = "tenants are named here and kept in a store";
                checks.fault("router.tenants", what, "no tenants where there is `admin`");
            }
        }
    }
    if let Some(f) = file.router.as_ref().and_then(|r| r.fleet.as_ref()) {
        checks.fleet(f);
    }
    if let Some(w) = &file.worker {
        checks.address("worker.listen", &w.listen);
        checks.address("worker.list", &w.list);
    }
    if let Some(l) = &file.list {
        checks.address("list.listen", &l.listen);
    }
    if let Some(l) = &file.load {
        for (n, router) in l.routers.iter().enumerate() {
            checks.address(&format!("load.routers[{n}]"), router);
        }
        checks.tracks("load.tracks", &l.tracks);
        let tenants: Vec<_> = l.keys.iter().map(|k| &k.tenant).collect();
        checks.traffic("load.traffic", &l.traffic, &l.tracks, &tenants);
        checks.speakers("load.clients", l.clients, &tenants);
    }
    if let Some(d) = &file.day {
        checks.day(d);
    }
    checks.problems
}

struct Checks<'a> {
    place: &'a dyn Fn(&str) -> Span,
    problems: Vec<ConfigError>,
}

impl Checks<'_> {
    fn fault(&mut self, path: &str, what: impl Into<String>, expected: impl Into<String>) {
        self.problems.push(ConfigError::new((self.place)(path), what, expected));
    }

    fn address(&mut self, path: &str, text: &str) {
        if text.parse::<SocketAddrV4>().is_err() {
            self.fault(path, format!("{text:?} is no address"), "one like 127.0.0.1:7000");
        }
    }

    fn fleet(&mut self, f: &Fleet) {
        self.address("router.fleet.listen", &f.listen);
        self.hash("router.fleet.key", &f.key);
        if f.name.is_empty() {
            self.fault("router.fleet.name", "the fleet has no name", "one that all of its routers have");
        }
        for (n, seed) in f.seeds.iter().enumerate() {
            self.address(&format!("router.fleet.seeds[{n}]"), seed);
        }
    }

    fn unlike<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a String>) {
        let mut seen = BTreeSet::new();
        for (n, name) in names.enumerate() {
            if !seen.insert(name) {
                self.fault(&format!("{path}[{n}].name"), format!("{name:?} is named twice"), "another name");
            }
        }
    }

    fn tracks(&mut self, path: &str, tracks: &[Track]) {
        self.unlike(path, tracks.iter().map(|t| &t.name));
        if tracks.len() > 256 {
            self.fault(path, format!("{} tracks", tracks.len()), "at most 256");
        }
        for (n, t) in tracks.iter().enumerate() {
            if t.cut_off < t.contract {
                let what = format!("the track {:?} is given up before its contract time", t.name);
                self.fault(&format!("{path}[{n}].cut_off"), what, "a cut-off after the contract time");
            }
        }
    }

    fn traffic(&mut self, path: &str, traffic: &[Traffic], tracks: &[Track], tenants: &[&String]) {
        for (n, t) in traffic.iter().enumerate() {
            let at = format!("{path}[{n}]");
            if !tracks.iter().any(|track| track.name == t.track) {
                let known: Vec<_> = tracks.iter().map(|t| t.name.as_str()).collect();
                let expected = format!("one of {}", known.join(", "));
                self.fault(&format!("{at}.track"), format!("{:?} is no track", t.track), expected);
            }
            let whose = t.tenant.as_ref();
            if whose.is_none() != tenants.is_empty() || whose.is_some_and(|t| !tenants.contains(&t)) {
                let what = format!("{whose:?} is no tenant").replace("Some(", "").replace(')', "");
                let known: Vec<_> = tenants.iter().map(|t| t.as_str()).collect();
                let expected = match known.is_empty() {
                    true => "none: there are no tenants".to_string(),
                    false => format!("one of {}", known.join(", ")),
                };
                self.fault(&format!("{at}.tenant"), what, expected);
            }
            for (name, range) in [("adds", t.adds), ("answer", t.answer), ("text_tokens", t.text_tokens)] {
                if range.least > range.most {
                    let what = format!("{name} goes from {} to {}", range.least, range.most);
                    self.fault(&format!("{at}.{name}"), what, "a least that is not above the most");
                }
            }
        }
    }

    fn hash(&mut self, path: &str, hash: &str) {
        if hash.len() != 64 || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            self.fault(path, format!("a hash of {} characters", hash.len()), "64 hexadecimal digits");
        }
    }

    /// Each tenant needs a client that speaks for it.
    fn speakers(&mut self, path: &str, clients: usize, tenants: &[&String]) {
        if clients < tenants.len() {
            let what = format!("{clients} clients speak for {} tenants", tenants.len());
            self.fault(path, what, "a client for each tenant at least");
        }
    }

    fn day(&mut self, d: &Day) {
        let tenants: Vec<_> = d.tenants.iter().map(|t| &t.name).collect();
        self.unlike("day.tenants", tenants.iter().copied());
        self.speakers("day.load.clients", d.load.clients, &tenants);
        self.tracks("day.tracks", &d.tracks);
        self.traffic("day.load.traffic", &d.load.traffic, &d.tracks, &tenants);
        self.unlike("day.kinds", d.kinds.iter().map(|k| &k.name));
        self.unlike("day.fleet", d.fleet.iter().map(|g| &g.name));
        for (n, g) in d.fleet.iter().enumerate() {
            let kind = d.kinds.iter().find(|k| k.name == g.kind);
            if kind.is_none_or(|k| k.role != g.does.role) {
                let known: Vec<_> = d.kinds.iter().map(|k| format!("{} ({:?})", k.name, k.role)).collect();
                let what = format!("{:?} is no kind of that role", g.kind);
                let expected = format!("one of {}", known.join(", ")).to_lowercase();
                self.fault(&format!("day.fleet[{n}].kind"), what, expected);
            }
        }
        let workers: BTreeSet<_> = d.workers().map(|(name, ..)| name).collect();
        let mut clocks = BTreeSet::new();
        for (n, t) in d.troubles.iter().enumerate() {
            for who in t.who.iter().filter(|_| t.act == "clock").flat_map(|name| d.named(name)) {
                if !clocks.insert(who.clone()) {
                    let what = format!("the clock of {who:?} is wrong twice");
                    self.fault(&format!("day.troubles[{n}].who"), what, "once for each process");
                }
            }
            let killed = t.from_outside();
            for (field, names) in [("between", &t.between), ("and", &t.and)] {
                for (m, name) in names.iter().enumerate().filter(|(_, name)| d.named(name).is_empty()) {
                    let what = format!("{name:?} stands for no process");
                    let expected = "a process, a group, some of one as router0-9, list or load";
                    self.fault(&format!("day.troubles[{n}].{field}[{m}]"), what, expected);
                }
            }
            for (m, who) in t.who.iter().enumerate() {
                let removed = t.act == "remove";
                let known = match removed {
                    true => tenants.contains(&who),
                    false => workers.contains(who) || killed && who != "load" && !d.named(who).is_empty(),
                };
                if !known {
                    let what = format!("{who:?} is nobody to whom this can happen");
                    let expected = match (removed, killed) {
                        (true, _) => "a tenant's name",
                        (_, true) => "a worker's or a router's name, or list",
                        _ => "a worker's name",
                    };
                    self.fault(&format!("day.troubles[{n}].who[{m}]"), what, expected);
                }
            }
            if let Some(tenant) = t.tenant.as_ref().filter(|t| !tenants.contains(t)) {
                let what = format!("{tenant:?} is no tenant");
                self.fault(
                    &format!("day.troubles[{n}].tenant"),
                    what,
                    "the name of one of the day's tenants",
                );
            }
            if t.at > d.load.lasts {
                let what = format!("{} comes after the load has ended", t.act);
                self.fault(&format!("day.troubles[{n}].at"), what, "a time within the load");
            }
        }
    }
}
