//! What can be wrong with the adapter's input.

use std::io;

use tideroute::types::RequestId;
use tideroute_settings::SettingsError;

use crate::instances::InstanceId;

/// Why a record can't be read or carried out.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("{field} at byte {position} needs {needed} bytes, {remaining} are left")]
    Truncated { field: &'static str, position: usize, needed: usize, remaining: usize },
    #[error("event code {0} is unknown")]
    EventCode(u8),
    #[error("instance {0} was never enlisted")]
    UnknownInstance(InstanceId),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("list kind {0} is unknown")]
    ListKind(u8),
    #[error("worker state {0} is unknown")]
    WorkerState(u8),
    #[error("outcome {0} is unknown")]
    Outcome(u8),
    #[error("answer {0} on a place is unknown")]
    ReservationAnswer(u8),
    #[error("class {class} of request {id} is not in the settings")]
    UnknownClass { class: u8, id: RequestId },
}

/// Why the adapter ends before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    #[error("a header of {expected} bytes was cut off after {received}")]
    TruncatedHeader { expected: usize, received: usize },
    #[error("batch {batch} of {expected} bytes was cut off after {received}")]
    TruncatedBatch { batch: u32, expected: u32, received: usize },
    #[error(transparent)]
    Header(#[from] RecordError),
    #[error("batch {batch}, record {record} from byte {start}: {error}")]
    Record { batch: u32, record: u32, start: usize, error: RecordError },
    #[error("batch {batch}: {excess} bytes follow its {records} records")]
    TrailingBytes { batch: u32, excess: usize, records: u32 },
}
