//! A router's cluster membership: a thread with an event loop of its own, beside the cores. If it fails, the cores
//! go on without it.

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
    /// Joins the cluster that the configuration names; None if it names none. An address that is in use is an error
    /// before any core starts.
    pub fn start(config: &Router, args: &ProcessArgs) -> Result<Option<MembershipThread>, CommandError> {
        let Some(fleet) = &config.membership else { return Ok(None) };
        let seed = config.seed.unwrap_or(multi_core::random_origin()? as u64);
        let (terms, seal) = convert::member(&config.name, fleet, seed)?;
        let mut args = args.clone();
        args.process_number += config.cores * PROCESS_NUMBERS_PER_CORE;
        args.capture = args.capture.map(|path| capture_path(&path));
        let mut reactor = Reactor::new(&[])?;
        let listen = convert::socket(&fleet.listen)?.into();
        reactor
            .add_datagram_sockets(&[listen])
            .map_err(|source| CommandError::Membership { fleet: fleet.name.clone(), source })?;
        let mailbox = reactor.mailbox();
        let identity = ProcessIdentity { name: &config.name, role: "member" };
        let mut reactor = process::apply_args(reactor, &[], &args, identity)?;
        tracing::info!(fleet = fleet.name, %listen, seeds = fleet.seeds.len(), "joining the cluster");
        let body = move || {
            let mut member = MembershipNode::new(terms, seal, reactor.clock().now());
            let ended = std::panic::catch_unwind(AssertUnwindSafe(|| reactor.run(&mut member)));
            match ended {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => tracing::error!(%error, "membership failed; the router goes on alone"),
                Err(_) => tracing::error!("the membership thread panicked; the router goes on alone"),
            }
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(body)?;
        Ok(Some(MembershipThread { thread, mailbox }))
    }

    /// Tells the other members that this one leaves, and waits until that is sent.
    pub fn leave(self) {
        if self.mailbox.try_send(Bytes::from_static(b"leave")) {
            let _ = self.thread.join();
        }
    }
}

/// The file of the member's own part of a scenario's capture.
fn capture_path(path: &Path) -> PathBuf {
    path.with_extension("part.member")
}
