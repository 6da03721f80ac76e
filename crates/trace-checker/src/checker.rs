//! Reads a capture and checks its events against the rules.

use std::collections::BTreeSet;
use std::io::Read;

use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, CapturedProcess, Reader};
use tideroute_wire::Micros;

use crate::config::CheckerConfig;
use crate::connections::{role, Connections, Conversation};
use crate::event_context::EventContext;
use crate::message_handler;
use crate::process_pauses::ProcessPauses;
use crate::report::{Report, Rule};
use crate::rules::Rules;

/// Number of events between two cleanups. A cleanup checks and forgets the requests that ended long ago, so that memory
/// use follows the number of open requests.
const EVENTS_BETWEEN_CLEANUPS: u64 = 1 << 18;

/// Why a capture cannot be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The capture does not parse.
    #[error("capture cannot be read: {0}")]
    Capture(#[from] CaptureError),
    /// The [`CheckerConfig`] in the capture's header does not parse.
    #[error("checker configuration in the capture header cannot be read: {0}")]
    Config(#[from] serde_json::Error),
}

/// Checks a whole capture.
pub fn check(capture: impl Read) -> Result<Report, CheckError> {
    let mut reader = Reader::new(capture);
    let (processes, config) = reader.head()?;
    let config: CheckerConfig = serde_json::from_str(&config)?;
    let mut checker = Checker::new(&processes, &config);
    while let Some(captured) = reader.next_passed()? {
        checker.handle_event(&captured);
    }
    Ok(checker.finish())
}

struct Checker {
    processes: BTreeSet<u32>,
    connections: Connections,
    rules: Rules,
    pauses: ProcessPauses,
    last_event_at: Micros,
    report: Report,
}

impl Checker {
    fn new(processes: &[CapturedProcess], config: &CheckerConfig) -> Checker {
        let routers = processes.iter().filter(|process| process.role == role::ROUTER);
        let router_addresses = routers.filter_map(|router| Some((router.number, router.address?)));
        Checker {
            processes: processes.iter().map(|process| process.number).collect(),
            connections: Connections::new(processes),
            rules: Rules::new(config, router_addresses.collect()),
            pauses: ProcessPauses::default(),
            last_event_at: 0,
            report: Report::default(),
        }
    }

    fn handle_event(&mut self, captured: &CapturedFrame) {
        self.report.counts.events += 1;
        if captured.at < self.last_event_at {
            self.report.add_violation(
                Rule::Capture,
                captured.at,
                None,
                "event is earlier than the event before it",
            );
        }
        self.last_event_at = captured.at;
        if self.report.counts.events.is_multiple_of(EVENTS_BETWEEN_CLEANUPS) {
            self.rules.check_ended(captured.at, &self.connections, &self.pauses, &mut self.report);
        }
        if !self.processes.contains(&captured.process) {
            let description = format!("process {} is not listed in the capture header", captured.process);
            return self.report.add_violation(Rule::Capture, captured.at, None, description);
        }
        match captured.event {
            CaptureEvent::ProcessPaused => self.pauses.begin(captured.process, captured.at),
            CaptureEvent::ProcessResumed => self.pauses.end(captured.process, captured.at),
            _ => self.apply_rules(captured),
        }
    }

    fn apply_rules(&mut self, captured: &CapturedFrame) {
        let mut context = EventContext { captured, pauses: &self.pauses, report: &mut self.report };
        let conversation = self.connections.handle_event(&mut context);
        match captured.event {
            CaptureEvent::Sent | CaptureEvent::Received => {
                if let Some(conversation) = conversation {
                    handle_frame(&mut context, conversation, &mut self.rules);
                }
            }
            CaptureEvent::Closed | CaptureEvent::ConnectFailed => {
                if let Some(conversation) = conversation {
                    self.rules.routers.connection_closed(&mut context, conversation);
                }
            }
            CaptureEvent::ProcessKilled | CaptureEvent::ProcessExited => {
                self.rules.routers.process_ended(&mut context);
            }
            _ => {}
        }
    }

    fn finish(mut self) -> Report {
        self.connections.finish(&mut self.report);
        self.rules.finish(self.last_event_at, &self.connections, &self.pauses, &mut self.report);
        self.report.violations.sort_by_key(|violation| (violation.rule, violation.at));
        self.report
    }
}

fn handle_frame(context: &mut EventContext, conversation: Conversation, rules: &mut Rules) {
    if let Err(error) = message_handler::handle_frame(context, conversation, rules) {
        context.violation(Rule::Capture, None, format!("frame cannot be decoded: {error}"));
    }
}
