//! A router's membership in a fleet: a thread with a loop of its own, beside the cores. Should it fail, the cores
//! go on without it.

use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::thread::JoinHandle;

use bytes::Bytes;
use tideroute_config_language::kinds::Router;
use tideroute_membership::MembershipNode;
use tideroute_reactor::{Mailbox, Reactor};
use tideroute_simulation::convert;
use tideroute_simulation::processes::NUMBERS_A_CORE;

use crate::{cores, serve, Run};

pub struct Membership {
    thread: JoinHandle<()>,
    mailbox: Mailbox,
}

impl Membership {
    /// Joins the fleet that the record names; None if it names none. An address that is taken ends the program
    /// before a core starts.
    pub fn begin(record: &Router, run: &Run) -> Result<Option<Membership>, String> {
        let Some(fleet) = &record.fleet else { return Ok(None) };
        let seed = record.seed.unwrap_or(cores::origin()? as u64);
        let (terms, seal) = convert::member(&record.name, fleet, seed)?;
        let mut run = run.clone();
        run.process += record.cores * NUMBERS_A_CORE;
        run.tap = run.tap.map(|tap| tap_of(&tap));
        let mut reactor = Reactor::new(&[]).map_err(|e| e.to_string())?;
        let listen = convert::socket(&fleet.listen)?.into();
        reactor.add_datagram_sockets(&[listen]).map_err(|e| format!("the fleet {}: {e}", fleet.name))?;
        let mailbox = reactor.mailbox();
        let mut reactor = serve::furnish(reactor, &[], &run, &record.name, "member")?;
        tracing::info!(fleet = fleet.name, %listen, seeds = fleet.seeds.len(), "joins a fleet");
        let body = move || {
            let mut member = MembershipNode::new(terms, seal, reactor.clock().now());
            let ended = std::panic::catch_unwind(AssertUnwindSafe(|| reactor.run(&mut member)));
            match ended {
                Ok(Ok(_)) => {}
                Ok(Err(problem)) => tracing::error!(%problem, "the fleet is lost; the router goes on alone"),
                Err(_) => tracing::error!("the fleet's thread died; the router goes on alone"),
            }
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(body);
        Ok(Some(Membership { thread: thread.map_err(|e| e.to_string())?, mailbox }))
    }

    /// Says goodbye to the others and waits until that is said.
    pub fn leave(self) {
        if self.mailbox.try_send(Bytes::from_static(b"leave")) {
            let _ = self.thread.join();
        }
    }
}

/// Where the part of a day's record lies that is a member's own.
fn tap_of(tap: &std::path::Path) -> PathBuf {
    tap.with_extension("part.member")
}
