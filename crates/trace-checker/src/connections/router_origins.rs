//! By which origin each router tells its request ids from those of others.

use std::collections::{BTreeMap, HashMap};

use tideroute_wire::Origin;

use crate::event_context::EventContext;
use crate::report::Rule;

/// The origins that routers name in their Hello: each router has its own, and keeps it.
#[derive(Default)]
pub struct RouterOrigins {
    by_process: BTreeMap<u32, Origin>,
    owners: HashMap<Origin, u32>,
}

impl RouterOrigins {
    /// Checks the Hello of a router.
    pub fn check_hello(&mut self, context: &mut EventContext) {
        let process = context.captured.process;
        let Ok(origin) = tideroute_wire::origin_of(&context.captured.frame) else {
            return context.violation(Rule::Capture, None, "a router says no origin");
        };
        let known = *self.by_process.entry(process).or_insert(origin);
        let owner = *self.owners.entry(origin).or_insert(process);
        if known != origin || owner != process {
            let description = format!("processes {owner} and {process} have one origin, or one has two");
            context.violation(Rule::Capture, None, description);
        }
    }
}
