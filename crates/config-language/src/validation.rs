//! Checks that types cannot express: addresses, references between names, and values that contradict each other.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::error::ConfigError;
use crate::records::{
    AdminConfig, File, Load, MembershipConfig, RequestClass, Router, Scenario, ScenarioFault, Tenant, Traffic,
};
use crate::span::Span;

/// Maximum number of request classes, because a class index is one byte.
const MAX_CLASSES: usize = 256;
/// Number of hexadecimal digits of a BLAKE3 hash and of a cluster's key.
const HASH_DIGITS: usize = 64;

/// Returns all errors of a file; `place` returns the position of the value at a path.
pub fn validate(file: &File, place: &dyn Fn(&str) -> Span) -> Vec<ConfigError> {
    let mut validator = Validator { place, errors: vec![] };
    if let Some(router) = &file.router {
        validator.router(router);
    }
    if let Some(worker) = &file.worker {
        validator.address("worker.listen", &worker.listen);
        validator.address("worker.list", &worker.discovery);
    }
    if let Some(discovery) = &file.list {
        validator.address("list.listen", &discovery.listen);
    }
    if let Some(load) = &file.load {
        validator.load(load);
    }
    if let Some(scenario) = &file.day {
        validator.scenario(scenario);
    }
    validator.errors
}

struct Validator<'a> {
    place: &'a dyn Fn(&str) -> Span,
    errors: Vec<ConfigError>,
}

/// Checks of the parts of a file.
impl Validator<'_> {
    fn router(&mut self, router: &Router) {
        self.address("router.listen", &router.listen);
        self.address("router.list", &router.discovery);
        if let Some(metrics) = &router.metrics {
            self.address("router.metrics", metrics);
        }
        self.classes("router.tracks", &router.classes);
        self.unique_names("router.kinds", router.kinds.iter().map(|kind| &kind.name));
        self.unique_names("router.tenants", router.tenants.iter().map(|tenant| &tenant.name));
        for (n, tenant) in router.tenants.iter().enumerate() {
            self.hash(&format!("router.tenants[{n}].key"), &tenant.key);
        }
        if let Some(admin) = &router.admin {
            self.admin(admin, &router.tenants);
        }
        if let Some(membership) = &router.membership {
            self.membership(membership);
        }
    }

    fn admin(&mut self, admin: &AdminConfig, tenants: &[Tenant]) {
        self.address("router.admin.listen", &admin.listen);
        self.unique_names("router.admin.keys", admin.keys.iter().map(|key| &key.name));
        for (n, key) in admin.keys.iter().enumerate() {
            self.hash(&format!("router.admin.keys[{n}].key"), &key.key);
        }
        if !tenants.is_empty() {
            let message = "tenants are listed here, but `admin` keeps them in its store";
            self.error("router.tenants", message, "no tenants where there is `admin`");
        }
    }

    fn membership(&mut self, membership: &MembershipConfig) {
        self.address("router.fleet.listen", &membership.listen);
        self.hash("router.fleet.key", &membership.key);
        if membership.name.is_empty() {
            let expected = "a name that all routers of the fleet share";
            self.error("router.fleet.name", "the fleet has no name", expected);
        }
        for (n, seed) in membership.seeds.iter().enumerate() {
            self.address(&format!("router.fleet.seeds[{n}]"), seed);
        }
    }

    fn load(&mut self, load: &Load) {
        for (n, router) in load.routers.iter().enumerate() {
            self.address(&format!("load.routers[{n}]"), router);
        }
        self.classes("load.tracks", &load.classes);
        let tenants: Vec<_> = load.keys.iter().map(|key| &key.tenant).collect();
        self.all_traffic("load.traffic", &load.traffic, &load.classes, &tenants);
        self.client_for_each_tenant("load.clients", load.clients, &tenants);
    }

    fn scenario(&mut self, scenario: &Scenario) {
        let tenants: Vec<_> = scenario.tenants.iter().map(|tenant| &tenant.name).collect();
        self.unique_names("day.tenants", tenants.iter().copied());
        self.client_for_each_tenant("day.load.clients", scenario.load.clients, &tenants);
        self.classes("day.tracks", &scenario.classes);
        self.all_traffic("day.load.traffic", &scenario.load.traffic, &scenario.classes, &tenants);
        self.unique_names("day.kinds", scenario.kinds.iter().map(|kind| &kind.name));
        self.unique_names("day.fleet", scenario.worker_groups.iter().map(|group| &group.name));
        self.worker_groups(scenario);
        let targets =
            FaultTargets { scenario, tenants, workers: scenario.workers().map(|(name, ..)| name).collect() };
        let mut processes_with_clock_faults = BTreeSet::new();
        for (n, fault) in scenario.scheduled_faults.iter().enumerate() {
            self.fault(&format!("day.troubles[{n}]"), fault, &targets, &mut processes_with_clock_faults);
        }
    }

    fn worker_groups(&mut self, scenario: &Scenario) {
        for (n, group) in scenario.worker_groups.iter().enumerate() {
            let kind = scenario.kinds.iter().find(|kind| kind.name == group.kind);
            if kind.is_some_and(|kind| kind.role == group.capacity.role) {
                continue;
            }
            let known = scenario.kinds.iter().map(|kind| format!("{} ({:?})", kind.name, kind.role));
            let expected = format!("one of {}", known.collect::<Vec<_>>().join(", ")).to_lowercase();
            let message = format!("{:?} is not a worker kind with the role that `does` names", group.kind);
            self.error(&format!("day.fleet[{n}].kind"), message, expected);
        }
    }
}

/// The processes and tenants that faults of a scenario may target.
struct FaultTargets<'a> {
    scenario: &'a Scenario,
    tenants: Vec<&'a String>,
    workers: BTreeSet<String>,
}

impl FaultTargets<'_> {
    /// Returns whether a fault can target the process or tenant of that name.
    fn can_target(&self, fault: &ScenarioFault, name: &String) -> bool {
        if fault.kind == "remove" {
            return self.tenants.contains(&name);
        }
        let is_process = name != "load" && !self.scenario.processes_matching(name).is_empty();
        self.workers.contains(name) || fault.is_external() && is_process
    }
}

/// Checks of the faults of a scenario.
impl Validator<'_> {
    fn fault(
        &mut self,
        path: &str,
        fault: &ScenarioFault,
        targets: &FaultTargets,
        processes_with_clock_faults: &mut BTreeSet<String>,
    ) {
        let scenario = targets.scenario;
        if fault.kind == "clock" {
            for process in fault.targets.iter().flat_map(|name| scenario.processes_matching(name)) {
                if !processes_with_clock_faults.insert(process.clone()) {
                    let message = format!("{process:?} has two clock faults");
                    self.error(&format!("{path}.who"), message, "at most one for each process");
                }
            }
        }
        self.fault_sides(path, fault, scenario);
        self.fault_targets(path, fault, targets);
        if let Some(tenant) = fault.tenant.as_ref().filter(|tenant| !targets.tenants.contains(tenant)) {
            let message = format!("there is no tenant {tenant:?}");
            self.error(&format!("{path}.tenant"), message, "the name of one of the day's tenants");
        }
        if fault.at > scenario.load.duration {
            let message = format!("{} comes after the load has ended", fault.kind);
            self.error(&format!("{path}.at"), message, "a time within the load");
        }
    }

    fn fault_sides(&mut self, path: &str, fault: &ScenarioFault, scenario: &Scenario) {
        for (field, names) in [("between", &fault.side), ("and", &fault.other_side)] {
            for (n, name) in
                names.iter().enumerate().filter(|(_, name)| scenario.processes_matching(name).is_empty())
            {
                let message = format!("{name:?} matches no process");
                let expected = "a process, a group, a range of a group such as router0-9, list or load";
                self.error(&format!("{path}.{field}[{n}]"), message, expected);
            }
        }
    }

    fn fault_targets(&mut self, path: &str, fault: &ScenarioFault, targets: &FaultTargets) {
        let expected = match fault.kind.as_str() {
            "remove" => "a tenant's name",
            _ if fault.is_external() => "a worker's or a router's name, or list",
            _ => "a worker's name",
        };
        for (n, name) in fault.targets.iter().enumerate().filter(|(_, name)| !targets.can_target(fault, name))
        {
            let message = format!("{name:?} cannot be a target of this fault");
            self.error(&format!("{path}.who[{n}]"), message, expected);
        }
    }
}

/// Checks that several parts share.
impl Validator<'_> {
    fn error(&mut self, path: &str, message: impl Into<String>, expected: impl Into<String>) {
        self.errors.push(ConfigError::new((self.place)(path), message, expected));
    }

    fn address(&mut self, path: &str, text: &str) {
        if text.parse::<SocketAddrV4>().is_err() {
            self.error(
                path,
                format!("{text:?} is not an IPv4 address with a port"),
                "one like 127.0.0.1:7000",
            );
        }
    }

    fn hash(&mut self, path: &str, hash: &str) {
        if hash.len() != HASH_DIGITS || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let message = format!("a hash of {} characters", hash.len());
            self.error(path, message, format!("{HASH_DIGITS} hexadecimal digits"));
        }
    }

    fn unique_names<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a String>) {
        let mut seen = BTreeSet::new();
        for (n, name) in names.enumerate() {
            if !seen.insert(name) {
                self.error(&format!("{path}[{n}].name"), format!("{name:?} is named twice"), "another name");
            }
        }
    }

    fn classes(&mut self, path: &str, classes: &[RequestClass]) {
        self.unique_names(path, classes.iter().map(|class| &class.name));
        if classes.len() > MAX_CLASSES {
            self.error(path, format!("{} tracks", classes.len()), format!("at most {MAX_CLASSES}"));
        }
        for (n, class) in
            classes.iter().enumerate().filter(|(_, class)| class.deadline < class.ttft_objective)
        {
            let message = format!("the cut_off of track {:?} is before its contract time", class.name);
            self.error(
                &format!("{path}[{n}].cut_off"),
                message,
                "a cut_off that is not before the contract time",
            );
        }
    }

    fn all_traffic(
        &mut self,
        path: &str,
        traffic: &[Traffic],
        classes: &[RequestClass],
        tenants: &[&String],
    ) {
        for (n, traffic) in traffic.iter().enumerate() {
            let path = format!("{path}[{n}]");
            self.traffic_class(&path, traffic, classes);
            self.traffic_tenant(&path, traffic, tenants);
            let ranges = [
                ("adds", traffic.turn_tokens),
                ("answer", traffic.response_tokens),
                ("text_tokens", traffic.shared_prefix_tokens),
            ];
            for (name, range) in ranges.into_iter().filter(|(_, range)| range.min > range.max) {
                let message = format!("{name} goes from {} to {}", range.min, range.max);
                self.error(&format!("{path}.{name}"), message, "a `least` that is not above `most`");
            }
        }
    }

    fn traffic_class(&mut self, path: &str, traffic: &Traffic, classes: &[RequestClass]) {
        if classes.iter().any(|class| class.name == traffic.class) {
            return;
        }
        let known: Vec<_> = classes.iter().map(|class| class.name.as_str()).collect();
        let expected = format!("one of {}", known.join(", "));
        self.error(&format!("{path}.track"), format!("there is no track {:?}", traffic.class), expected);
    }

    /// Checks that traffic names a tenant if tenants are configured, and none otherwise.
    fn traffic_tenant(&mut self, path: &str, traffic: &Traffic, tenants: &[&String]) {
        let is_valid = match &traffic.tenant {
            Some(tenant) => tenants.contains(&tenant),
            None => tenants.is_empty(),
        };
        if is_valid {
            return;
        }
        let named = traffic.tenant.as_ref().map_or("None".to_string(), |tenant| format!("{tenant:?}"));
        let expected = if tenants.is_empty() {
            "none: there are no tenants".to_string()
        } else {
            let known: Vec<_> = tenants.iter().map(|tenant| tenant.as_str()).collect();
            format!("one of {}", known.join(", "))
        };
        self.error(&format!("{path}.tenant"), format!("there is no tenant {named}"), expected);
    }

    /// Checks that each tenant has a client that sends its requests.
    fn client_for_each_tenant(&mut self, path: &str, clients: usize, tenants: &[&String]) {
        if clients < tenants.len() {
            let message = format!("{clients} clients are too few for {} tenants", tenants.len());
            self.error(path, message, "at least one client for each tenant");
        }
    }
}
