//! The administration API of a router's tenants, which runs on a thread with its own event loop beside the cores. Each
//! core receives every change, and the response to the administrator is sent once all cores have processed it.

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

/// How long the response to a change waits for a core to process it; a core that is stalled for longer processes the
/// change late.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that may linger after their last response until the peer has closed them too.
const MAX_LINGERING_CONNECTIONS: usize = 64;
/// Entries read from the store at a time.
const PAGE_SIZE: usize = 1_000;

/// A handle to the running administration API; each core has a clone.
#[derive(Clone)]
pub struct AdminThread {
    store: Arc<TenantStore>,
    cores: Arc<Mutex<BTreeMap<u32, Mailbox>>>,
    /// The mailbox to which cores publish the tenants' statistics.
    statistics: Mailbox,
}

impl AdminThread {
    /// Opens the tenant store, and starts the thread that serves the API.
    pub fn start(config: &records::AdminConfig) -> Result<AdminThread, CommandError> {
        let path = Path::new(&config.store);
        let store = Arc::new(TenantStore::open(path).map_err(CommandError::in_file(path))?);
        let cores = Arc::<Mutex<BTreeMap<u32, Mailbox>>>::default();
        let administrators = config.keys.iter().map(administrator).collect::<Result<Vec<_>, _>>()?;
        let listen: SocketAddr = convert::parse_socket(&config.listen)?.into();
        let mut reactor = Reactor::new(&[listen])?;
        reactor.set_raw(MAX_LINGERING_CONNECTIONS);
        let statistics = reactor.mailbox();
        reactor.catch_signals()?;
        let api = Api::new(store.clone(), administrators);
        let notified_cores = cores.clone();
        let mut admin = AdminServer::new(api, move |revision| notify_cores(&notified_cores, revision));
        let body = move || {
            if let Err(error) = reactor.run(&mut admin) {
                tracing::error!(%error, "administration API failed; continuing without it");
            }
        };
        std::thread::Builder::new().name("admin".into()).spawn(body)?;
        tracing::info!(%listen, "administration API started");
        Ok(AdminThread { store, cores, statistics })
    }

    /// Returns the mailbox to which a core publishes the tenants' statistics.
    pub fn statistics(&self) -> Mailbox {
        self.statistics.clone()
    }

    /// Subscribes a core that starts to all changes from now on, and returns the current tenants.
    pub fn subscribe(&self, core: u32, mailbox: Mailbox) -> Result<Vec<TenantConfig>, CommandError> {
        // The core is subscribed before the store is read: a change in between arrives twice, and the core ignores the
        // older version.
        self.cores.lock().unwrap_or_else(|e| e.into_inner()).insert(core, mailbox);
        let mut tenants = vec![];
        let mut after = String::new();
        loop {
            let page = self.store.list(&after, PAGE_SIZE)?;
            let Some(last) = page.last() else { return Ok(tenants) };
            after.clone_from(&last.name);
            tenants.extend(
                page.iter().filter_map(|revision| Some(tenant_config(revision, revision.tenant.as_ref()?))),
            );
        }
    }
}

fn administrator(key: &records::AdminKey) -> Result<Administrator, CommandError> {
    let hash = convert::parse_hash(&key.key)
        .map_err(|source| CommandError::AdministratorKey { name: key.name.clone(), source })?;
    let role = match key.role.as_str() {
        "own" => Role::Own,
        "operate" => Role::Operate,
        _ => Role::View,
    };
    Ok(Administrator { name: key.name.clone(), key: hash, role })
}

fn key_hashes(tenant: &Tenant) -> Vec<[u8; 32]> {
    tenant.keys.iter().filter_map(|key| convert::parse_hash(&key.hash).ok()).collect()
}

fn tenant_config(revision: &Revision, tenant: &Tenant) -> TenantConfig {
    let rate = |rate: Rate| tideroute_admission::RateLimit { per_second: rate.per_second, burst: rate.burst };
    let limits = tideroute_admission::Limits {
        requests: tenant.requests.map(rate),
        tokens: tenant.tokens.map(rate),
        in_flight: tenant.in_flight,
        weight: tenant.weight,
        waiting: tenant.waiting,
    };
    TenantConfig { name: revision.name.clone(), version: revision.version, keys: key_hashes(tenant), limits }
}

/// Sends a change to all cores and waits until each has processed it.
fn notify_cores(cores: &Mutex<BTreeMap<u32, Mailbox>>, revision: &Revision) {
    let message: Bytes = match &revision.tenant {
        None => tenant::removed(&revision.name, revision.version),
        Some(new_tenant) => {
            let rate = |rate: Rate| tenant::Rate { per_second: rate.per_second, burst: rate.burst };
            let (requests, tokens) = (new_tenant.requests.map(rate), new_tenant.tokens.map(rate));
            let (keys, name) = (key_hashes(new_tenant), &revision.name);
            tenant::set(
                name,
                revision.version,
                &keys,
                new_tenant.weight,
                requests,
                tokens,
                new_tenant.in_flight,
                new_tenant.waiting,
            )
        }
    };
    let mailboxes = cores.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let sent: Vec<_> = mailboxes
        .iter()
        .filter_map(|(core, mailbox)| Some((core, mailbox, mailbox.send(message.clone())?)))
        .collect();
    for (core, mailbox, message_number) in sent {
        if !mailbox.wait_until_processed(message_number, PROPAGATION_TIMEOUT) {
            tracing::error!(
                core,
                name = revision.name,
                version = revision.version,
                "core did not process a tenant change in time; answering without it"
            );
            counter!("tideroute_tenant_changes_undelivered_total").increment(1);
        }
    }
    counter!("tideroute_tenant_changes_total").increment(1);
}
