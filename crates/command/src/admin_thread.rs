//! The administration API of a router's tenants: a thread with an event loop of its own beside the cores. Each core
//! receives every change, and the response to the administrator is sent once all cores have processed it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use tideroute_admin::{AdminServer, Administrator, Api, Role};
use tideroute_config_language::records;
use tideroute_lifecycle::TenantConfig;
use tideroute_reactor::{Mailbox, Reactor};
use tideroute_simulation::convert;
use tideroute_tenant_store::{Rate, Revision, Tenant, TenantStore};
use tideroute_wire::tenant;

use crate::error::CommandError;

/// How long a change waits for a core to process it; a core that is stalled for longer processes it late.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that may linger after their last answer until the peer has ended them too.
const MAX_LINGERING_CONNECTIONS: usize = 64;
/// Entries read from the store at a time.
const PAGE_SIZE: usize = 1_000;

/// A handle of the running administration API, one for each core.
#[derive(Clone)]
pub struct AdminThread {
    store: Arc<TenantStore>,
    cores: Arc<Mutex<BTreeMap<u32, Mailbox>>>,
    /// Where cores publish the tenants' usage figures.
    figures: Mailbox,
}

impl AdminThread {
    /// Opens the store and begins to listen.
    pub fn start(config: &records::AdminConfig) -> Result<AdminThread, CommandError> {
        let path = Path::new(&config.store);
        let store = Arc::new(TenantStore::open(path).map_err(CommandError::in_file(path))?);
        let cores = Arc::<Mutex<BTreeMap<u32, Mailbox>>>::default();
        let administrators = config.keys.iter().map(administrator).collect::<Result<Vec<_>, _>>()?;
        let listen: SocketAddr = convert::socket(&config.listen)?.into();
        let mut reactor = Reactor::new(&[listen])?;
        reactor.set_raw(MAX_LINGERING_CONNECTIONS);
        let figures = reactor.mailbox();
        reactor.catch_signals()?;
        let api = Api::new(store.clone(), administrators);
        let notified_cores = cores.clone();
        let mut admin = AdminServer::new(api, move |entry| notify_cores(&notified_cores, entry));
        let body = move || {
            if let Err(error) = reactor.run(&mut admin) {
                tracing::error!(%error, "the administration API failed; the cores go on");
            }
        };
        std::thread::Builder::new().name("admin".into()).spawn(body)?;
        tracing::info!(%listen, "administration API started");
        Ok(AdminThread { store, cores, figures })
    }

    /// Where a core publishes the tenants' usage figures.
    pub fn figures(&self) -> Mailbox {
        self.figures.clone()
    }

    /// Subscribes a core that starts: it receives all changes from now on; returns the tenants as they are.
    pub fn subscribe(&self, core: u32, mailbox: Mailbox) -> Result<Vec<TenantConfig>, CommandError> {
        // First the mailbox, then the store: a change in between arrives twice, and the core ignores the older.
        self.cores.lock().unwrap_or_else(|e| e.into_inner()).insert(core, mailbox);
        let mut tenants = vec![];
        let mut after = String::new();
        loop {
            let page = self.store.list(&after, PAGE_SIZE)?;
            let Some(last) = page.last() else { return Ok(tenants) };
            after.clone_from(&last.name);
            tenants
                .extend(page.iter().filter_map(|entry| Some(tenant_config(entry, entry.tenant.as_ref()?))));
        }
    }
}

fn administrator(key: &records::AdminKey) -> Result<Administrator, CommandError> {
    let hash = convert::hash(&key.key)
        .map_err(|source| CommandError::AdministratorKey { name: key.name.clone(), source })?;
    let role = match key.role.as_str() {
        "own" => Role::Own,
        "operate" => Role::Operate,
        _ => Role::View,
    };
    Ok(Administrator { name: key.name.clone(), key: hash, role })
}

fn key_hashes(tenant: &Tenant) -> Vec<[u8; 32]> {
    tenant.keys.iter().filter_map(|key| convert::hash(&key.hash).ok()).collect()
}

fn tenant_config(entry: &Revision, tenant: &Tenant) -> TenantConfig {
    let rate = |rate: Rate| tideroute_admission::RateLimit { per_second: rate.per_second, burst: rate.burst };
    let limits = tideroute_admission::Limits {
        requests: tenant.requests.map(rate),
        tokens: tenant.tokens.map(rate),
        in_flight: tenant.in_flight,
        weight: tenant.weight,
        waiting: tenant.waiting,
    };
    TenantConfig { name: entry.name.clone(), version: entry.version, keys: key_hashes(tenant), limits }
}

/// Sends a change to all cores and waits until each has processed it.
fn notify_cores(cores: &Mutex<BTreeMap<u32, Mailbox>>, entry: &Revision) {
    let message: Bytes = match &entry.tenant {
        None => tenant::removed(&entry.name, entry.version),
        Some(tenant_entry) => {
            let rate = |rate: Rate| tenant::Rate { per_second: rate.per_second, burst: rate.burst };
            let (submissions, tokens) = (tenant_entry.requests.map(rate), tenant_entry.tokens.map(rate));
            let (keys, name) = (key_hashes(tenant_entry), &entry.name);
            tenant::set(
                name,
                entry.version,
                &keys,
                tenant_entry.weight,
                submissions,
                tokens,
                tenant_entry.in_flight,
                tenant_entry.waiting,
            )
        }
    };
    let mailboxes = cores.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let sent: Vec<_> = mailboxes
        .iter()
        .filter_map(|(core, mailbox)| Some((core, mailbox, mailbox.send(message.clone())?)))
        .collect();
    for (core, mailbox, number) in sent {
        if !mailbox.wait_until_processed(number, PROPAGATION_TIMEOUT) {
            tracing::error!(
                core,
                name = entry.name,
                version = entry.version,
                "a core has not processed a tenant change in time"
            );
            counter!("tideroute_tenant_changes_undelivered_total").increment(1);
        }
    }
    counter!("tideroute_tenant_changes_total").increment(1);
}
