//! Speaks the bench's binary wire on standard input and output and hosts one router for each instance.

mod bytes;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use bytes::Fields;
use tideroute::scheduler::Scheduler;
use tideroute::types::{Action, AttemptOutcome, Endpoint, EndpointStatus, NewRequest, TenthMillis};
use tideroute_settings::{to_tenth_millis, Report, Settings};

/// Each router, and what a probe brings it of a worker's load.
type Routers = BTreeMap<u16, (Scheduler, Option<Report>)>;

fn status(code: u8) -> Result<EndpointStatus, String> {
    match code {
        0 => Ok(EndpointStatus::Removed),
        1 => Ok(EndpointStatus::Serving),
        2 => Ok(EndpointStatus::Draining),
        other => Err(format!("worker state {other} is unknown")),
    }
}

fn outcome(code: u8, info: u32) -> Result<AttemptOutcome, String> {
    Ok(match code {
        0 => AttemptOutcome::Completed,
        1 => AttemptOutcome::ServerError,
        2 if info == 1 => AttemptOutcome::StateMissing,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::Unreachable,
        5 => AttemptOutcome::ConnectionReset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        100 => AttemptOutcome::PrefillComplete,
        other => return Err(format!("outcome {other} is unknown")),
    })
}

fn floats(f: &mut Fields) -> Result<Vec<f32>, String> {
    let count = f.u8("report length")?;
    (0..count).map(|_| f.f32("report value")).collect()
}

fn member(f: &mut Fields) -> Result<Endpoint, String> {
    Ok(Endpoint {
        kind: f.u16("worker kind")?,
        size: f64::from(f.f32("capacity_hint")?),
        status: status(f.u8("worker state")?)?,
        cell: f.u16("cohort")?,
        start_time: to_tenth_millis(f.f64("last_start_ms")?),
        zone: f.u8("region_part")?,
        worker: f.array("worker")?,
    })
}

/// Passes one record on to the instance that it names, whose number comes back.
fn event(f: &mut Fields, now: TenthMillis, routers: &mut Routers) -> Result<u16, String> {
    let code = f.u8("code")?;
    if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100 | 110) {
        return Err(format!("event code {code} is unknown"));
    }
    let who = f.u16("who")?;
    if code == 10 {
        let salt = f.u64("salt")?;
        let length = f.u32("config length")? as usize;
        let settings = Settings::parse(f.bytes(length, "config")?).map_err(|e| e.to_string())?;
        routers.insert(who, (Scheduler::new(settings.scheduler, salt, now), settings.report));
        return Ok(who);
    }
    if code == 100 {
        routers.remove(&who).ok_or_else(|| format!("instance {who} was never enlisted"))?;
        return Ok(who);
    }
    let (router, report) =
        routers.get_mut(&who).ok_or_else(|| format!("instance {who} was never enlisted"))?;
    match code {
        20 => {
            f.u64("rev")?;
            let kind = f.u8("list kind")?;
            if kind > 3 {
                return Err(format!("list kind {kind} is unknown"));
            }
            let count = f.u32("members_list length")?;
            match kind {
                1 | 2 => router.begin_endpoint_snapshot(now),
                3 => router.discovery_failed(now),
                _ => {}
            }
            for _ in 0..count {
                router.endpoint_updated(now, member(f)?);
            }
        }
        30 => {
            let (id, class) = (f.u64("req")?, f.u8("service")?);
            f.u32("user_group")?;
            let session = f.u64("session")?;
            let left = to_tenth_millis(f.f64("grace_ms")?);
            f.f64("predicted_ms")?;
            let prefix = f.u64("prefix_id")?;
            let prompt = f64::from(f.f32("prompt_tokens")?);
            f.f32("prefix_tokens")?;
            f.f32("n_max")?;
            f.u8("marks")?;
            if !router.request_arrived(
                now,
                NewRequest { id, class, session, prefix, prompt_tokens: prompt, remaining_time: left },
            ) {
                return Err(format!("class {class} of request {id} is not in the settings"));
            }
        }
        40 => {
            let (id, attempt) = (f.u64("req")?, f.u16("try")?);
            f.f64("spent_ms")?;
            f.array::<6>("worker")?;
            router.response_started(now, id, attempt);
        }
        50 => {
            let (id, attempt) = (f.u64("req")?, f.u16("try")?);
            f.array::<6>("worker")?;
            let code = f.u8("code")?;
            f.f64("spent_ms")?;
            let terminal = f.u8("terminal")? != 0;
            let info = f.u32("info")?;
            floats(f)?;
            router.attempt_finished(now, id, attempt, outcome(code, info)?, terminal);
        }
        60 => router.client_disconnected(now, f.u64("req")?),
        70 => {
            f.u32("cookie")?;
            router.timer_fired(now);
        }
        80 => {
            let well = f.u8("code")? == 0;
            let worker = f.array("worker")?;
            f.f64("spent_ms")?;
            let load = floats(f)?;
            let amount = report.as_ref().and_then(|r| r.amount(f64::from(*load.get(r.column)?)));
            amount.into_iter().for_each(|amount| router.load_reported(now, worker, amount));
            router.health_check_finished(now, worker, well);
        }
        90 => {
            f.u16("origin_peer")?;
            let length = f.u16("raw length")? as usize;
            f.bytes(length, "raw")?;
        }
        _ => {
            let id = f.u64("req")?;
            f.u16("try")?;
            f.array::<6>("worker")?;
            let held = match f.u8("sort")? {
                1 => true,
                2 => false,
                other => return Err(format!("answer {other} on a place is unknown")),
            };
            f.f32("amount")?;
            router.reservation_answered(now, id, held);
        }
    }
    Ok(who)
}

fn write(out: &mut Vec<u8>, who: u16, decision: Action) {
    let mut head = |code: u8, id: Option<u64>| {
        out.push(code);
        out.extend(who.to_le_bytes());
        out.extend(id.iter().flat_map(|id| id.to_le_bytes()));
    };
    let ms = |time: TenthMillis| (time as f64 / 10.0).to_le_bytes();
    match decision {
        Action::Dispatch { id, worker, timeout: within } => {
            head(20, Some(id));
            out.extend(worker);
            out.extend(ms(within));
        }
        Action::ReserveDecode { id, worker } => {
            head(60, Some(id));
            out.extend(worker);
        }
        Action::Release { id } => head(110, Some(id)),
        Action::CancelAttempt { id, attempt } => {
            head(100, Some(id));
            out.extend(attempt.to_le_bytes());
        }
        Action::Reject { id, retry_after: after } => {
            head(140, Some(id));
            out.extend(ms(after));
        }
        Action::Fail { id } => head(130, Some(id)),
        Action::CheckHealth { worker } => {
            head(80, None);
            out.extend(worker);
        }
        Action::WatchEndpoints => {
            head(40, None);
            out.push(1);
        }
        Action::SetTimer { delay: after } => {
            head(30, None);
            out.extend(ms(after));
            out.extend(0u32.to_le_bytes());
        }
    }
}

/// Handles one batch, whose header has been read; the reply goes to `out`.
fn batch(header: &[u8; 20], body: &[u8], routers: &mut Routers, out: &mut Vec<u8>) -> Result<(), String> {
    let mut head = Fields::new(header);
    let (seq, _, count) = (head.u32("batch")?, head.u32("length")?, head.u32("count")?);
    let now = to_tenth_millis(head.f64("clock")?);
    let mut f = Fields::new(body);
    let mut seen = Vec::new();
    for record in 0..count {
        let start = f.at;
        let who = event(&mut f, now, routers)
            .map_err(|e| format!("batch {seq}, record {record} from byte {start}: {e}"))?;
        seen.push(who);
    }
    if !f.is_empty() {
        return Err(format!("batch {seq}: {} bytes follow its {count} records", body.len() - f.at));
    }
    seen.sort_unstable();
    seen.dedup();
    let (mut written, mut actions) = (0u32, Vec::new());
    for who in seen {
        let Some((router, _)) = routers.get_mut(&who) else { continue };
        while let Some(decision) = router.next_action(now) {
            write(&mut actions, who, decision);
            written += 1;
        }
    }
    for word in [seq, actions.len() as u32, written] {
        out.extend(word.to_le_bytes());
    }
    out.extend(actions);
    Ok(())
}

/// Reads as many bytes as the frame states; a short input never costs more memory than it holds.
fn fill(input: &mut impl Read, count: u64) -> Result<Vec<u8>, String> {
    let mut data = Vec::new();
    input.take(count).read_to_end(&mut data).map_err(|e| format!("standard input: {e}"))?;
    Ok(data)
}

pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut routers = Routers::new();
    loop {
        let head = fill(&mut input, 20)?;
        if head.is_empty() {
            return Ok(());
        }
        let Ok(header) = <[u8; 20]>::try_from(head.as_slice()) else {
            return Err(format!("a header of 20 bytes was cut off after {}", head.len()));
        };
        let mut sizes = Fields::new(&header);
        let (seq, length) = (sizes.u32("batch")?, sizes.u32("length")?);
        let body = fill(&mut input, u64::from(length))?;
        if body.len() < length as usize {
            return Err(format!("batch {seq} of {length} bytes was cut off after {}", body.len()));
        }
        let mut out = Vec::new();
        batch(&header, &body, &mut routers, &mut out)?;
        output.write_all(&out).and_then(|()| output.flush()).map_err(|e| format!("standard output: {e}"))?;
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("tideroute-bench-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
