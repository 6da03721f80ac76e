//! The router instances that the bench has started.

use std::collections::BTreeMap;

use tideroute::scheduler::Scheduler;
use tideroute::types::TenthMillis;
use tideroute_settings::{LoadReportColumn, Settings};

use crate::error::RecordError;

/// The bench's number of an instance.
pub type InstanceId = u16;

/// One router instance. Instances share no state.
pub struct Instance {
    pub scheduler: Scheduler,
    /// Column of load reports from which the scheduler takes the load; `None` if it uses no load reports.
    pub report: Option<LoadReportColumn>,
}

/// The running instances, by number.
#[derive(Default)]
pub struct Instances {
    running: BTreeMap<InstanceId, Instance>,
}

impl Instances {
    /// Starts an instance. It replaces a running instance with the same number.
    pub fn start(&mut self, id: InstanceId, settings: Settings, seed: u64, now: TenthMillis) {
        let scheduler = Scheduler::new(settings.scheduler, seed, now);
        self.running.insert(id, Instance { scheduler, report: settings.load_report });
    }

    /// Stops an instance and drops its state.
    pub fn stop(&mut self, id: InstanceId) -> Result<(), RecordError> {
        match self.running.remove(&id) {
            Some(_) => Ok(()),
            None => Err(RecordError::UnknownInstance(id)),
        }
    }

    pub fn get_mut(&mut self, id: InstanceId) -> Result<&mut Instance, RecordError> {
        self.running.get_mut(&id).ok_or(RecordError::UnknownInstance(id))
    }
}
