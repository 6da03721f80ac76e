//! Decodes event records and calls the scheduler of the instance that each record names.

use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, NewRequest, TenthMillis, WorkerId};
use tideroute_settings::{to_tenth_millis, Settings};

use crate::error::RecordError;
use crate::field_reader::FieldReader;
use crate::instances::{Instance, InstanceId, Instances};

/// Codes of the event records, each with its name in the bench's protocol.
mod code {
    /// `Enlist`
    pub const START_INSTANCE: u8 = 10;
    /// `Discovery`
    pub const ENDPOINT_LIST: u8 = 20;
    /// `Req`
    pub const REQUEST: u8 = 30;
    /// `Started`
    pub const RESPONSE_STARTED: u8 = 40;
    /// `Settled`
    pub const ATTEMPT_FINISHED: u8 = 50;
    /// `Dropped`
    pub const CLIENT_DISCONNECTED: u8 = 60;
    /// `Elapsed`
    pub const TIMER: u8 = 70;
    /// `HealthResult`
    pub const HEALTH_CHECK_FINISHED: u8 = 80;
    /// `NeighbourSays`
    pub const PEER_MESSAGE: u8 = 90;
    /// `Killed`
    pub const STOP_INSTANCE: u8 = 100;
    /// `AnswerAhead`
    pub const RESERVATION_ANSWERED: u8 = 110;
}

/// Kinds of endpoint lists.
mod list_kind {
    /// Only the entries that changed.
    pub const DELTA: u8 = 0;
    /// The complete list.
    pub const FULL: u8 = 1;
    /// The complete list as the instance last received it; possibly stale.
    pub const CACHED: u8 = 2;
    /// A request for the list failed or a subscription ended. The instance keeps the list that it has.
    pub const FAILED: u8 = 3;
}

/// A worker's answers to a reservation.
mod reservation_answer {
    pub const GRANTED: u8 = 1;
    pub const DENIED: u8 = 2;
}

/// The `info` of an attempt that was rejected because the KV state to fetch was missing.
const INFO_STATE_MISSING: u32 = 1;

/// The `code` of a successful health check.
const HEALTHY: u8 = 0;

/// Decodes and handles one record. Returns the number of the instance that the record names.
pub fn handle_record(
    reader: &mut FieldReader,
    now: TenthMillis,
    instances: &mut Instances,
) -> Result<InstanceId, RecordError> {
    let code = reader.u8("code")?;
    let handle = match code {
        code::START_INSTANCE => {
            let id = reader.u16("who")?;
            start_instance(reader, now, id, instances)?;
            return Ok(id);
        }
        code::STOP_INSTANCE => {
            let id = reader.u16("who")?;
            instances.stop(id)?;
            return Ok(id);
        }
        code::ENDPOINT_LIST => endpoint_list,
        code::REQUEST => request,
        code::RESPONSE_STARTED => response_started,
        code::ATTEMPT_FINISHED => attempt_finished,
        code::CLIENT_DISCONNECTED => client_disconnected,
        code::TIMER => timer,
        code::HEALTH_CHECK_FINISHED => health_check_finished,
        code::PEER_MESSAGE => peer_message,
        code::RESERVATION_ANSWERED => reservation_answered,
        other => return Err(RecordError::EventCode(other)),
    };
    let id = reader.u16("who")?;
    handle(reader, now, instances.get_mut(id)?)?;
    Ok(id)
}

fn start_instance(
    reader: &mut FieldReader,
    now: TenthMillis,
    id: InstanceId,
    instances: &mut Instances,
) -> Result<(), RecordError> {
    let seed = reader.u64("salt")?;
    let length = reader.u32("config length")? as usize;
    let settings = Settings::parse(reader.bytes(length, "config")?)?;
    instances.start(id, settings, seed, now);
    Ok(())
}

fn endpoint_list(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    reader.u64("rev")?;
    let kind = reader.u8("list kind")?;
    let count = reader.u32("members_list length")?;
    match kind {
        list_kind::FULL | list_kind::CACHED => instance.scheduler.begin_endpoint_snapshot(now),
        list_kind::FAILED => instance.scheduler.discovery_failed(now),
        list_kind::DELTA => {}
        other => return Err(RecordError::ListKind(other)),
    }
    for _ in 0..count {
        instance.scheduler.endpoint_updated(now, endpoint(reader)?);
    }
    Ok(())
}

fn endpoint(reader: &mut FieldReader) -> Result<Endpoint, RecordError> {
    Ok(Endpoint {
        kind: reader.u16("worker kind")?,
        size: f64::from(reader.f32("capacity_hint")?),
        status: endpoint_status(reader.u8("worker state")?)?,
        cell: reader.u16("cohort")?,
        start_time: to_tenth_millis(reader.f64("last_start_ms")?),
        zone: reader.u8("region_part")?,
        worker: reader.array("worker")?,
    })
}

fn endpoint_status(code: u8) -> Result<EndpointStatus, RecordError> {
    match code {
        0 => Ok(EndpointStatus::Removed),
        1 => Ok(EndpointStatus::Serving),
        2 => Ok(EndpointStatus::Draining),
        other => Err(RecordError::WorkerState(other)),
    }
}

fn request(reader: &mut FieldReader, now: TenthMillis, instance: &mut Instance) -> Result<(), RecordError> {
    let id = reader.u64("req")?;
    let class = reader.u8("service")?;
    reader.u32("user_group")?;
    let session = reader.u64("session")?;
    let remaining_time = to_tenth_millis(reader.f64("grace_ms")?);
    reader.f64("predicted_ms")?;
    let prefix = reader.u64("prefix_id")?;
    let prompt_tokens = f64::from(reader.f32("prompt_tokens")?);
    reader.f32("prefix_tokens")?;
    reader.f32("n_max")?;
    reader.u8("marks")?;
    let new_request = NewRequest { id, class, session, prefix, prompt_tokens, remaining_time };
    if !instance.scheduler.request_arrived(now, new_request) {
        return Err(RecordError::UnknownClass { class, id });
    }
    Ok(())
}

fn response_started(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    let id = reader.u64("req")?;
    let attempt = reader.u16("try")?;
    reader.f64("spent_ms")?;
    worker(reader)?;
    instance.scheduler.response_started(now, id, attempt);
    Ok(())
}

fn attempt_finished(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    let id = reader.u64("req")?;
    let attempt = reader.u16("try")?;
    worker(reader)?;
    let code = reader.u8("code")?;
    reader.f64("spent_ms")?;
    let is_terminal = reader.u8("terminal")? != 0;
    let info = reader.u32("info")?;
    load_report(reader)?;
    let outcome = attempt_outcome(code, info)?;
    instance.scheduler.attempt_finished(now, id, attempt, outcome, is_terminal);
    Ok(())
}

fn attempt_outcome(code: u8, info: u32) -> Result<AttemptOutcome, RecordError> {
    match code {
        0 => Ok(AttemptOutcome::Completed),
        1 => Ok(AttemptOutcome::ServerError),
        2 if info == INFO_STATE_MISSING => Ok(AttemptOutcome::StateMissing),
        2 => Ok(AttemptOutcome::Rejected),
        3 => Ok(AttemptOutcome::TimedOut),
        4 => Ok(AttemptOutcome::Unreachable),
        5 => Ok(AttemptOutcome::ConnectionReset),
        6 => Ok(AttemptOutcome::Cancelled),
        7 => Ok(AttemptOutcome::NotSent),
        100 => Ok(AttemptOutcome::PrefillComplete),
        other => Err(RecordError::Outcome(other)),
    }
}

fn client_disconnected(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    let id = reader.u64("req")?;
    instance.scheduler.client_disconnected(now, id);
    Ok(())
}

fn timer(reader: &mut FieldReader, now: TenthMillis, instance: &mut Instance) -> Result<(), RecordError> {
    reader.u32("cookie")?;
    instance.scheduler.timer_fired(now);
    Ok(())
}

fn health_check_finished(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    let is_healthy = reader.u8("code")? == HEALTHY;
    let worker = worker(reader)?;
    reader.f64("spent_ms")?;
    let columns = load_report(reader)?;
    if let Some(load) = reported_load(instance, &columns) {
        instance.scheduler.load_reported(now, worker, load);
    }
    instance.scheduler.health_check_finished(now, worker, is_healthy);
    Ok(())
}

/// Returns the load that a report gives in the column that the instance's settings select; `None` if there is none.
fn reported_load(instance: &Instance, columns: &[f32]) -> Option<f64> {
    let report = instance.report.as_ref()?;
    let value = *columns.get(report.column)?;
    report.load(f64::from(value))
}

/// Skips a message from another router; the scheduler uses no such messages.
fn peer_message(
    reader: &mut FieldReader,
    _now: TenthMillis,
    _instance: &mut Instance,
) -> Result<(), RecordError> {
    reader.u16("origin_peer")?;
    let length = reader.u16("raw length")? as usize;
    reader.bytes(length, "raw")?;
    Ok(())
}

fn reservation_answered(
    reader: &mut FieldReader,
    now: TenthMillis,
    instance: &mut Instance,
) -> Result<(), RecordError> {
    let id = reader.u64("req")?;
    reader.u16("try")?;
    worker(reader)?;
    let granted = match reader.u8("sort")? {
        reservation_answer::GRANTED => true,
        reservation_answer::DENIED => false,
        other => return Err(RecordError::ReservationAnswer(other)),
    };
    reader.f32("amount")?;
    instance.scheduler.reservation_answered(now, id, granted);
    Ok(())
}

fn worker(reader: &mut FieldReader) -> Result<WorkerId, RecordError> {
    reader.array("worker")
}

/// Reads the columns of a load report.
fn load_report(reader: &mut FieldReader) -> Result<Vec<f32>, RecordError> {
    let count = reader.u8("report length")?;
    (0..count).map(|_| reader.f32("report value")).collect()
}
