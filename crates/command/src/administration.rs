//! The administration of a router's tenants: a thread with a loop of its own beside the cores. Each core is handed
//! every change, and the answer to who made it leaves once all have it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use tideroute_admin::{AdminServer, Administrator, Api, Role};
use tideroute_config_language::kinds;
use tideroute_lifecycle::TenantConfig;
use tideroute_reactor::{Mailbox, Reactor};
use tideroute_simulation::convert;
use tideroute_tenant_store::{Rate, Revision, Tenant, TenantStore};
use tideroute_wire::tenant;

/// How long a change waits for a core to have heard of it; one that is stalled for longer hears of it late.
const HEARD: Duration = Duration::from_secs(2);
/// Connections that may linger after their last answer until the peer has ended them too.
const LINGERS: usize = 64;
/// Entries read from the store at a time.
const PAGE: usize = 1_000;

#[derive(Clone)]
pub struct Administration {
    store: Arc<TenantStore>,
    cores: Arc<Mutex<BTreeMap<u32, Mailbox>>>,
    /// Where cores tell tenants' figures.
    figures: Mailbox,
}

impl Administration {
    /// Opens the store and begins to listen.
    pub fn begin(record: &kinds::Admin) -> Result<Administration, String> {
        let path = Path::new(&record.store);
        let store = TenantStore::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let (store, cores) = (Arc::new(store), Arc::<Mutex<BTreeMap<u32, Mailbox>>>::default());
        let administrators = record.keys.iter().map(administrator).collect::<Result<Vec<_>, _>>()?;
        let listen: SocketAddr = convert::socket(&record.listen)?.into();
        let mut reactor = Reactor::new(&[listen]).map_err(|e| e.to_string())?;
        reactor.set_raw(LINGERS);
        let figures = reactor.mailbox();
        reactor.catch_signals().map_err(|e| e.to_string())?;
        let (api, told) = (Api::new(store.clone(), administrators), cores.clone());
        let mut admin = AdminServer::new(api, move |entry| tell(&told, entry));
        let body = move || {
            if let Err(problem) = reactor.run(&mut admin) {
                tracing::error!(%problem, "the administration has ended; the cores go on");
            }
        };
        std::thread::Builder::new().name("admin".into()).spawn(body).map_err(|e| e.to_string())?;
        tracing::info!(%listen, "the administration is there");
        Ok(Administration { store, cores, figures })
    }

    pub fn figures(&self) -> Mailbox {
        self.figures.clone()
    }

    /// A core that starts: it is told all changes from now on, and gets the tenants as they stand.
    pub fn join(&self, core: u32, mailbox: Mailbox) -> Result<Vec<TenantConfig>, String> {
        // First the letters, then the store: a change in between comes twice, and the older is not heeded.
        self.cores.lock().unwrap_or_else(|e| e.into_inner()).insert(core, mailbox);
        let (mut all, mut after) = (vec![], String::new());
        loop {
            let page = self.store.list(&after, PAGE).map_err(|e| e.to_string())?;
            let Some(last) = page.last() else { return Ok(all) };
            after.clone_from(&last.name);
            all.extend(page.iter().filter_map(|e| Some(terms(e, e.tenant.as_ref()?))));
        }
    }
}

fn administrator(key: &kinds::AdminKey) -> Result<Administrator, String> {
    let hash = convert::hash(&key.key).map_err(|e| format!("the key of {}: {e}", key.name))?;
    let role = match key.role.as_str() {
        "own" => Role::Own,
        "operate" => Role::Operate,
        _ => Role::View,
    };
    Ok(Administrator { name: key.name.clone(), key: hash, role })
}

fn keys(tenant: &Tenant) -> Vec<[u8; 32]> {
    tenant.keys.iter().filter_map(|key| convert::hash(&key.hash).ok()).collect()
}

fn terms(entry: &Revision, tenant: &Tenant) -> TenantConfig {
    let rate = |rate: Rate| tideroute_admission::RateLimit { per_second: rate.per_second, burst: rate.burst };
    let limits = tideroute_admission::Limits {
        requests: tenant.requests.map(rate),
        tokens: tenant.tokens.map(rate),
        in_flight: tenant.in_flight,
        weight: tenant.weight,
        waiting: tenant.waiting,
    };
    TenantConfig { name: entry.name.clone(), version: entry.version, keys: keys(tenant), limits }
}

/// Hands a change to all cores and waits until each was told.
fn tell(cores: &Mutex<BTreeMap<u32, Mailbox>>, entry: &Revision) {
    let letter: Bytes = match &entry.tenant {
        None => tenant::removed(&entry.name, entry.version),
        Some(t) => {
            let rate = |rate: Rate| tenant::Rate { per_second: rate.per_second, burst: rate.burst };
            let (submissions, tokens) = (t.requests.map(rate), t.tokens.map(rate));
            let (keys, name) = (keys(t), &entry.name);
            tenant::set(name, entry.version, &keys, t.weight, submissions, tokens, t.in_flight, t.waiting)
        }
    };
    let boxes = cores.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let sent: Vec<_> = boxes
        .iter()
        .filter_map(|(core, mailbox)| Some((core, mailbox, mailbox.send(letter.clone())?)))
        .collect();
    for (core, mailbox, number) in sent {
        if !mailbox.wait_until_processed(number, HEARD) {
            tracing::error!(
                core,
                name = entry.name,
                version = entry.version,
                "a core has not heard of a change"
            );
            counter!("tideroute_changes_unheard_total").increment(1);
        }
    }
    counter!("tideroute_changes_total").increment(1);
}
