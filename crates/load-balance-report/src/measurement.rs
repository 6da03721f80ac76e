//! Reads a capture once and measures it.

use std::io::Read;

use tideroute_trace_checker::CheckerConfig;
use tideroute_wire::capture::{CaptureError, CapturedFrame, CapturedProcess, Reader};

use crate::client_side::ClientSide;
use crate::report::LoadBalanceReport;
use crate::worker_side::WorkerSide;

/// Why a capture cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The capture does not parse.
    #[error("the record cannot be read: {0}")]
    Capture(#[from] CaptureError),
    /// The [`CheckerConfig`] in its head, which names the workers and the classes, does not parse.
    #[error("the record's terms cannot be read: {0}")]
    Config(#[from] serde_json::Error),
}

/// Measures a whole capture. Frames that cannot be decoded are passed over; the trace checker reports them.
pub fn measure(capture: impl Read) -> Result<LoadBalanceReport, MeasureError> {
    let mut reader = Reader::new(capture);
    let (processes, config) = reader.head()?;
    let config: CheckerConfig = serde_json::from_str(&config)?;
    let mut measurement = Measurement::new(&processes, &config);
    while let Some(captured) = reader.next_passed()? {
        measurement.follow(&captured);
    }
    Ok(measurement.finish())
}

struct Measurement {
    workers: WorkerSide,
    clients: ClientSide,
}

impl Measurement {
    fn new(processes: &[CapturedProcess], config: &CheckerConfig) -> Measurement {
        Measurement {
            workers: WorkerSide::new(processes, config),
            clients: ClientSide::new(processes, config),
        }
    }

    fn follow(&mut self, captured: &CapturedFrame) {
        if self.workers.is_worker(captured.process) {
            self.workers.follow(captured);
        } else if self.clients.is_client(captured.process) {
            self.clients.follow(captured);
        }
    }

    /// The load is measured up to the last request that a client sent: after it, the workers only finish.
    fn finish(mut self) -> LoadBalanceReport {
        let [prefill, decode] = self.workers.finish(self.clients.last_request_at());
        LoadBalanceReport {
            prefill,
            decode,
            cached_share: self.workers.cached_share(),
            classes: self.clients.latencies(),
        }
    }
}
