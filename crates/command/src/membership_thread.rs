//! A router's cluster membership, which runs on a thread with its own event loop beside the cores. If it fails, the
//! cores continue without it.

use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;

use bytes::Bytes;
use tideroute_config_language::records::Router;
use tideroute_membership::MembershipNode;
use tideroute_reactor::{Mailbox, Reactor};
use tideroute_simulation::convert;
use tideroute_simulation::processes::PROCESS_NUMBERS_PER_CORE;

use crate::cli::ProcessArgs;
use crate::error::CommandError;
use crate::multi_core;
use crate::process::{self, ProcessIdentity};

/// A running membership thread.
pub struct MembershipThread {
    thread: JoinHandle<()>,
    mailbox: Mailbox,
}

impl MembershipThread {
    /// Joins the cluster that the configuration names; returns `None` if it names none. Binds the socket at once, so that
    /// an address in use is an error before any core starts.
    pub fn start(config: &Router, args: &ProcessArgs) -> Result<Option<MembershipThread>, CommandError> {
        let Some(cluster) = &config.membership else { return Ok(None) };
        let seed = config.seed.unwrap_or(multi_core::random_origin()? as u64);
        let (member_config, authenticator) = convert::member(&config.name, cluster, seed)?;
        let mut args = args.clone();
        args.process_number += config.cores * PROCESS_NUMBERS_PER_CORE;
        args.capture = args.capture.map(|path| capture_path(&path));
        let mut reactor = Reactor::new(&[])?;
        let listen = convert::parse_socket(&cluster.listen)?.into();
        reactor
            .add_datagram_sockets(&[listen])
            .map_err(|source| CommandError::Membership { cluster: cluster.name.clone(), source })?;
        let mailbox = reactor.mailbox();
        let identity = ProcessIdentity { name: &config.name, role: "member" };
        let mut reactor = process::apply_args(reactor, &[], &args, identity)?;
        tracing::info!(fleet = cluster.name, %listen, seeds = cluster.seeds.len(), "membership started; joining the cluster");
        let body = move || {
            let mut member = MembershipNode::new(member_config, authenticator, reactor.clock().now());
            let result = std::panic::catch_unwind(AssertUnwindSafe(|| reactor.run(&mut member)));
            match result {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => tracing::error!(%error, "membership failed; continuing without it"),
                Err(_) => tracing::error!("membership thread panicked; continuing without it"),
            }
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(body)?;
        Ok(Some(MembershipThread { thread, mailbox }))
    }

    /// Notifies the other members that this one leaves, and waits until the thread has sent that.
    pub fn leave(self) {
        if self.mailbox.try_send(Bytes::from_static(b"leave")) {
            let _ = self.thread.join();
        }
    }
}

/// Returns the file for the membership thread's part of a scenario's capture.
fn capture_path(path: &Path) -> PathBuf {
    path.with_extension("part.member")
}
