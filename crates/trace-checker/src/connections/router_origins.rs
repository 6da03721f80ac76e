//! Checks the origins of routers, which keep the request ids of different routers apart.

use std::collections::{BTreeMap, HashMap};

use tideroute_wire::Origin;

use crate::event_context::EventContext;
use crate::report::Rule;

/// The origins that routers send in their Hello messages. Each router must have an origin of its own and keep it.
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
            return context.violation(Rule::Capture, None, "router sent a Hello without an origin");
        };
        let known = *self.by_process.entry(process).or_insert(origin);
        let owner = *self.owners.entry(origin).or_insert(process);
        if known != origin || owner != process {
            let description =
                format!("processes {owner} and {process} share an origin, or one process changed its origin");
            context.violation(Rule::Capture, None, description);
        }
    }
}
