//! What the API answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;
use tideroute_tenant_store::{Entry, Expected, Store, StoreError, Tenant};
use tideroute_wire::tenant::{Figures, Watcher};
use tideroute_wire::{Malformed, Micros};

use crate::http::{Reply, Request};
use crate::problem;

/// Entries in a page that asks for none, and at most.
const PAGE: usize = 100;
const PAGE_MOST: usize = 1_000;

/// What an administrator may do; each may what those before may.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    View,
    Operate,
    Own,
}

#[derive(Clone, Debug)]
pub struct Administrator {
    pub name: String,
    /// BLAKE3 of the key.
    pub key: [u8; 32],
    pub role: Role,
}

pub struct Api {
    store: Arc<Store>,
    administrators: Vec<Administrator>,
    /// What cores told last, by tenant and core.
    figures: BTreeMap<String, BTreeMap<String, Figures>>,
}

/// A tenant's figures, all cores together.
#[derive(Default, Serialize)]
struct Summed<'a> {
    name: &'a str,
    asked: u64,
    let_in: u64,
    turned_back: u64,
    in_time: u64,
    late: u64,
    waited_us: u64,
    waiting: u64,
    in_flight: u64,
}

#[derive(Serialize)]
struct Page {
    entries: Vec<Entry>,
    /// What to ask after for the next page; none after the last.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

impl Api {
    pub fn new(store: Arc<Store>, administrators: Vec<Administrator>) -> Api {
        Api { store, administrators, figures: BTreeMap::new() }
    }

    /// Answers a request; with what was changed by it, if anything.
    pub fn answer(&self, now: Micros, request: &Request) -> (Reply, Option<Entry>) {
        match self.reply(now, request) {
            Ok(answer) => answer,
            Err(refused) => (refused, None),
        }
    }

    fn reply(&self, now: Micros, request: &Request) -> Result<(Reply, Option<Entry>), Reply> {
        let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
        if let (["v1", "openapi.json"], "GET") = (path.as_slice(), request.method.as_str()) {
            let page = Reply { status: 200, body: include_bytes!("openapi.json").to_vec(), fields: vec![] };
            return Ok((page.with("content-type", "application/json"), None));
        }
        let who = self.who(request)?;
        let may = |role: Role| {
            let what = format!("{} may not do this: it needs {role:?}", who.name).to_lowercase();
            (who.role >= role).then_some(()).ok_or_else(|| problem::reply(403, "role", what))
        };
        let only = |methods: &str| {
            let what = format!("{} is not done here", request.method);
            Err(problem::reply(405, "method", what).with("allow", methods))
        };
        match (path.as_slice(), request.method.as_str()) {
            (["v1", "tenants"], "GET") => Ok((self.list(request)?, None)),
            (["v1", "tenants"], _) => only("GET"),
            (["v1", "tenants", name], "GET") => match self.store.get(name).map_err(broken)? {
                Some(entry) => Ok((tagged(200, &entry), None)),
                None => Err(missing()),
            },
            (["v1", "tenants", name], "PUT") => {
                may(Role::Operate)?;
                self.put(now, &who.name, name, request)
            }
            (["v1", "tenants", name], "DELETE") => {
                may(Role::Operate)?;
                let expected = expected(request)?;
                let gone = self.store.change(now, &who.name, name, expected, None).map_err(broken)?;
                Ok((Reply { status: 204, ..Reply::default() }, Some(gone)))
            }
            (["v1", "tenants", _], _) => only("GET, PUT, DELETE"),
            (["v1", "tenants", name, "history"], "GET") => Ok((self.history(name, request)?, None)),
            (["v1", "tenants", _, "history"], _) => only("GET"),
            (["v1", "figures"], "GET") => Ok((self.sums(request)?, None)),
            (["v1", "figures"], _) => only("GET"),
            (["v1", "changes"], "GET") => Ok((self.changes(request)?, None)),
            (["v1", "changes"], _) => only("GET"),
            (["v1", "snapshot"], "GET") => {
                may(Role::Own)?;
                let mut body = vec![];
                let written = self.store.snapshot(&mut body);
                written.map_err(|e| problem::reply(503, "store", e.to_string()))?;
                let reply = Reply { status: 200, body, fields: vec![] };
                Ok((reply.with("content-type", "application/zstd"), None))
            }
            (["v1", "snapshot"], _) => only("GET"),
            _ => Err(problem::reply(404, "address", format!("there is no /{}", path.join("/")))),
        }
    }

    /// Whose key the request shows. All are compared, each in constant time, so that how long it takes tells
    /// nothing of any key.
    fn who(&self, request: &Request) -> Result<&Administrator, Reply> {
        let unknown = |what: &str| {
            let reply = problem::reply(401, "key", what);
            reply.with("www-authenticate", "Bearer realm=\"tideroute\"")
        };
        let shown = request.field("authorization").ok_or_else(|| unknown("no key is shown"))?;
        let (scheme, key) = shown.split_once(' ').unwrap_or((shown, ""));
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(unknown("keys are shown as: authorization: Bearer KEY"));
        }
        let hash = blake3::hash(key.trim().as_bytes());
        let mut found = None;
        for administrator in &self.administrators {
            // The comparison of BLAKE3's own type is in constant time.
            if blake3::Hash::from_bytes(administrator.key) == hash {
                found = Some(administrator);
            }
        }
        found.ok_or_else(|| unknown("nobody has this key"))
    }

    fn put(
        &self,
        now: Micros,
        by: &str,
        name: &str,
        request: &Request,
    ) -> Result<(Reply, Option<Entry>), Reply> {
        let expected = expected(request)?;
        let kind = request.field("content-type").unwrap_or_default();
        if kind.split(';').next().map(str::trim) != Some("application/json") {
            return Err(problem::reply(415, "content-type", "the body must be application/json"));
        }
        // The parser would take a list for an object, field by field.
        if request.body.trim_ascii_start().first() == Some(&b'[') {
            return Err(problem::reply(422, "body", "the body must be an object"));
        }
        let tenant: Tenant = serde_json::from_slice(&request.body).map_err(|e| {
            let at = format!("line {}, column {}: {e}", e.line(), e.column());
            problem::reply(if e.is_data() { 422 } else { 400 }, "body", at)
        })?;
        let made = self.store.change(now, by, name, expected, Some(tenant)).map_err(broken)?;
        let status = if expected == Expected::Absent { 201 } else { 200 };
        Ok((tagged(status, &made), Some(made)))
    }

    fn list(&self, request: &Request) -> Result<Reply, Reply> {
        let (after, most) = (request.asked("after").unwrap_or_default(), most(request)?);
        let entries = self.store.list(after, most).map_err(broken)?;
        let next = entries.last().filter(|_| entries.len() == most).map(|last| last.name.clone());
        Ok(Reply::json(200, &Page { entries, next }))
    }

    /// A tenant was removed: its figures go with it.
    pub fn forget(&mut self, name: &str) {
        self.figures.remove(name);
    }

    fn sums(&self, request: &Request) -> Result<Reply, Reply> {
        let (after, most) = (request.asked("after").unwrap_or_default(), most(request)?);
        let later = self.figures.iter().filter(|(name, _)| name.as_str() > after).take(most);
        let entries: Vec<_> = later.map(|(name, cores)| summed(name, cores)).collect();
        let next = entries.last().filter(|_| entries.len() == most).map(|last| last.name);
        Ok(Reply::json(200, &serde_json::json!({"entries": entries, "next": next})))
    }

    fn history(&self, name: &str, request: &Request) -> Result<Reply, Reply> {
        let (before, most) = (number(request, "before")?.unwrap_or(u64::MAX), most(request)?);
        let entries = self.store.history(name, before, most).map_err(broken)?;
        if entries.is_empty() && before == u64::MAX {
            return Err(missing());
        }
        let next = entries.last().filter(|_| entries.len() == most).map(|last| last.version.to_string());
        Ok(Reply::json(200, &Page { entries, next }))
    }

    fn changes(&self, request: &Request) -> Result<Reply, Reply> {
        let (after, most) = (number(request, "after")?.unwrap_or(0), most(request)?);
        let entries = self.store.changes(after, most).map_err(broken)?;
        let next = entries.last().filter(|_| entries.len() == most).map(|last| last.version.to_string());
        Ok(Reply::json(200, &Page { entries, next }))
    }
}

fn summed<'a>(name: &'a str, cores: &BTreeMap<String, Figures>) -> Summed<'a> {
    let mut all = Summed { name, ..Summed::default() };
    for ([asked, let_in, turned_back, in_time, late, waited], [waiting, in_flight]) in cores.values() {
        all.asked += asked;
        all.let_in += let_in;
        all.turned_back += turned_back;
        all.in_time += in_time;
        all.late += late;
        all.waited_us += waited;
        all.waiting += u64::from(*waiting);
        all.in_flight += u64::from(*in_flight);
    }
    all
}

impl Watcher for Api {
    fn stats(&mut self, core: &str, name: &str, figures: Figures) -> Result<(), Malformed> {
        // One that was removed may be told of once more.
        if self.store.get(name).is_ok_and(|there| there.is_some()) {
            self.figures.entry(name.to_string()).or_default().insert(core.to_string(), figures);
        }
        Ok(())
    }
}

fn number(request: &Request, name: &str) -> Result<Option<u64>, Reply> {
    let parsed = request.asked(name).map(|text| {
        text.parse::<u64>().map_err(|_| {
            problem::of_field(400, "query", format!("{name} is {text:?}, no number"), name.to_string())
        })
    });
    parsed.transpose()
}

fn most(request: &Request) -> Result<usize, Reply> {
    match number(request, "most")?.unwrap_or(PAGE as u64) {
        most @ 1..=1_000 => Ok(most as usize),
        most => {
            let what = format!("most is {most}, not 1 to {PAGE_MOST}");
            Err(problem::of_field(400, "query", what, "most".to_string()))
        }
    }
}

/// What the request takes the tenant to be (RFC 9110, 13.1): a change without it could undo another's unseen.
fn expected(request: &Request) -> Result<Expected, Reply> {
    let (is, is_not) = (request.field("if-match"), request.field("if-none-match"));
    match (is, is_not) {
        (None, Some("*")) => Ok(Expected::Absent),
        (Some(tag), None) => {
            let version = tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
            let version = version.and_then(|version| version.parse().ok());
            let what = format!("If-Match is {tag}, no version as an ETag gave it");
            version.map(Expected::Version).ok_or_else(|| problem::reply(400, "if-match", what))
        }
        (None, None) => {
            let what =
                "a change names the version it changes with If-Match, or If-None-Match: * for a new one";
            Err(problem::reply(428, "precondition", what))
        }
        _ => Err(problem::reply(400, "precondition", "If-Match and If-None-Match: * exclude each other")),
    }
}

fn tagged(status: u16, entry: &Entry) -> Reply {
    Reply::json(status, entry).with("etag", format!("\"{}\"", entry.version))
}

fn missing() -> Reply {
    problem::reply(404, "tenant", "there is no such tenant")
}

fn broken(problem: StoreError) -> Reply {
    match problem {
        StoreError::Conflict(Some(present)) => {
            let what = format!("the tenant is at version {}, changed by {}", present.version, present.by);
            let status = if present.tenant.is_some() { 412 } else { 409 };
            let reply = problem::of_present(status, "version", what, &present);
            reply.with("etag", format!("\"{}\"", present.version))
        }
        StoreError::Conflict(None) => problem::reply(409, "version", "the tenant is not as expected"),
        StoreError::Missing => missing(),
        StoreError::Fault(fault) => problem::of_field(422, "field", fault.to_string(), fault.field),
        StoreError::Full(_) => problem::reply(507, "full", problem.to_string()),
        StoreError::Broken(_) | StoreError::Closed | StoreError::Damaged(_) => {
            tracing::error!(%problem, "the store of tenants");
            problem::reply(503, "store", problem.to_string())
        }
    }
}
