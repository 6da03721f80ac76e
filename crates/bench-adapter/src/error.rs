//! Errors of the adapter's input and output.

use std::io;

use tideroute::types::RequestId;
use tideroute_settings::SettingsError;

use crate::instances::InstanceId;

/// The reason why a field or record cannot be decoded or handled.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("field {field} at byte {position} needs {needed} bytes, but {remaining} bytes are left")]
    Truncated { field: &'static str, position: usize, needed: usize, remaining: usize },
    #[error("unknown event code {0}")]
    EventCode(u8),
    #[error("instance {0} is not running: it was never enlisted, or was killed")]
    UnknownInstance(InstanceId),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("unknown kind {0} of endpoint list")]
    ListKind(u8),
    #[error("unknown worker state {0}")]
    WorkerState(u8),
    #[error("unknown outcome code {0} of an attempt")]
    Outcome(u8),
    #[error("unknown reservation answer {0}")]
    ReservationAnswer(u8),
    #[error("the settings have no class {class}, which request {id} names")]
    UnknownClass { class: u8, id: RequestId },
}

/// The reason why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("could not read standard input: {0}")]
    Input(io::Error),
    #[error("could not write to standard output: {0}")]
    Output(io::Error),
    #[error("the input ends in a batch header: expected {expected} bytes, received {received}")]
    TruncatedHeader { expected: usize, received: usize },
    #[error("the input ends in batch {batch}: expected {expected} bytes, received {received}")]
    TruncatedBatch { batch: u32, expected: u32, received: usize },
    #[error(transparent)]
    Header(#[from] RecordError),
    #[error("batch {batch}, record {record} at byte {start}: {error}")]
    Record { batch: u32, record: u32, start: usize, error: RecordError },
    #[error("batch {batch}: {excess} unexpected bytes after its {records} records")]
    TrailingBytes { batch: u32, excess: usize, records: u32 },
}
