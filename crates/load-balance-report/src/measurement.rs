//! Reads a capture once and measures the load balance from its events.

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
    #[error("capture cannot be read: {0}")]
    Capture(#[from] CaptureError),
    /// The [`CheckerConfig`] in the capture's header, which names the workers and the classes, does not parse.
    #[error("checker configuration in the capture header cannot be read: {0}")]
    Config(#[from] serde_json::Error),
}

/// Measures a whole capture. Frames that cannot be decoded are ignored; the trace checker reports them.
pub fn measure(capture: impl Read) -> Result<LoadBalanceReport, MeasureError> {
    let mut reader = Reader::new(capture);
    let (processes, config) = reader.head()?;
    let config: CheckerConfig = serde_json::from_str(&config)?;
    let mut measurement = Measurement::new(&processes, &config);
    while let Some(captured) = reader.next_passed()? {
        measurement.handle_event(&captured);
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

    fn handle_event(&mut self, captured: &CapturedFrame) {
        if self.workers.is_worker(captured.process) {
            self.workers.handle_event(captured);
        } else if self.clients.is_client(captured.process) {
            self.clients.handle_event(captured);
        }
    }

    /// Ends the measurement at the time of the last request that a client sent; after it, the workers only finish their
    /// work.
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
