//! The event that is being checked, with what its checks need.

use tideroute_wire::capture::CapturedFrame;

use crate::process_pauses::ProcessPauses;
use crate::report::{Report, Rule};

/// The event that is being checked, the pauses known so far, and the report to which violations are added.
pub struct EventContext<'a> {
    pub captured: &'a CapturedFrame,
    pub pauses: &'a ProcessPauses,
    pub report: &'a mut Report,
}

impl EventContext<'_> {
    /// Reports a violation at the time of the event.
    pub fn violation(&mut self, rule: Rule, request_id: Option<u64>, description: impl Into<String>) {
        self.report.add_violation(rule, self.captured.at, request_id, description);
    }
}
