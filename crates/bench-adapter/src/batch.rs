//! Handles a batch of event records and encodes its reply.

use tideroute::types::TenthMillis;
use tideroute_settings::to_tenth_millis;

use crate::actions;
use crate::error::AdapterError;
use crate::events;
use crate::field_reader::FieldReader;
use crate::instances::{InstanceId, Instances};

/// Length of a batch's header, in bytes.
pub const HEADER_LENGTH: usize = 20;

/// The header of a batch.
pub struct BatchHeader {
    /// Number of the batch, which the reply repeats.
    pub batch: u32,
    /// Length of the batch's records in bytes.
    pub length: u32,
    /// Number of records in the batch.
    pub records: u32,
    /// Time of all events in the batch.
    pub now: TenthMillis,
}

impl BatchHeader {
    pub fn decode(header: &[u8; HEADER_LENGTH]) -> Result<BatchHeader, AdapterError> {
        let mut reader = FieldReader::new(header);
        Ok(BatchHeader {
            batch: reader.u32("batch")?,
            length: reader.u32("length")?,
            records: reader.u32("count")?,
            now: to_tenth_millis(reader.f64("clock")?),
        })
    }
}

/// Handles all events of a batch and returns the reply: the actions of all instances that the batch concerns, in the
/// order of the instances' numbers.
pub fn handle_batch(
    header: &BatchHeader,
    body: &[u8],
    instances: &mut Instances,
) -> Result<Vec<u8>, AdapterError> {
    let instance_ids = handle_records(header, body, instances)?;
    let mut record_count = 0u32;
    let mut records = Vec::new();
    for id in instance_ids {
        // The batch may have stopped the instance.
        let Ok(instance) = instances.get_mut(id) else { continue };
        while let Some(action) = instance.scheduler.next_action(header.now) {
            actions::encode(action, id, &mut records);
            record_count += 1;
        }
    }
    let mut reply = Vec::new();
    for field in [header.batch, records.len() as u32, record_count] {
        reply.extend(field.to_le_bytes());
    }
    reply.extend(records);
    Ok(reply)
}

/// Handles the records of a batch and returns the numbers of the instances that they concern, sorted and without
/// duplicates.
fn handle_records(
    header: &BatchHeader,
    body: &[u8],
    instances: &mut Instances,
) -> Result<Vec<InstanceId>, AdapterError> {
    let batch = header.batch;
    let mut reader = FieldReader::new(body);
    let mut instance_ids = Vec::new();
    for record in 0..header.records {
        let start = reader.position();
        let id = events::handle_record(&mut reader, header.now, instances)
            .map_err(|error| AdapterError::Record { batch, record, start, error })?;
        instance_ids.push(id);
    }
    if reader.remaining() > 0 {
        let excess = reader.remaining();
        return Err(AdapterError::TrailingBytes { batch, excess, records: header.records });
    }
    instance_ids.sort_unstable();
    instance_ids.dedup();
    Ok(instance_ids)
}
