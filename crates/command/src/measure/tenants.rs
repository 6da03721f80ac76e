//! What tenants cost: CPU of a request by their number, memory of one, and how long a change takes to reach all cores.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tideroute_admission::{
    AdmissionConfig, AdmissionControl, AdmissionRequest, Limits, RateLimit, ResponseTiming, Tenant, Ticket,
    Verdict,
};

use crate::error::{CommandError, CommandResult, CommandStatus};

/// Requests that are timed for each number of tenants.
const REQUESTS: u64 = 200_000;
/// Changes of a tenant that are timed.
const CHANGES: usize = 200;
/// The administrator's key.
const ADMIN_KEY: &str = "a-key";
/// How long the router may take to start, and to send a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Prints the figures; `cores` is those of the router whose changes are timed.
pub fn run(cores: u32) -> CommandResult {
    println!("tenants   a submission, ns   memory a tenant, bytes");
    for tenants in [1, 100, 10_000, 100_000] {
        let before = resident_bytes();
        let mut shares = AdmissionControl::new(AdmissionConfig {
            max_wait: 60_000_000,
            max_waiting: 100_000,
            max_retry_after: 1_000_000,
        });
        let rate = Some(RateLimit { per_second: 1e9, burst: 1e9 });
        let limits = Limits { requests: rate, tokens: rate, in_flight: Some(1 << 20), ..Limits::default() };
        (0..tenants).for_each(|n| shares.upsert_tenant(1, Tenant(n), limits));
        let memory = resident_bytes().saturating_sub(before) as f64 / f64::from(tenants);
        // What the machine counts in pages says nothing of a few.
        let memory = if tenants < 10_000 { "-".to_string() } else { format!("{memory:.0}") };
        println!("{tenants:>7}{:>19.0}{memory:>25}", nanoseconds_per_request(&mut shares, tenants));
    }
    let (median, longest) = time_changes(cores)?;
    println!(
        "\n{CHANGES} changes of a tenant, from the request to the reply, which waits for all {cores} cores and the \
         disk:\n{:.2} ms median, {:.2} ms at most",
        median.as_secs_f64() * 1e3,
        longest.as_secs_f64() * 1e3
    );
    Ok(CommandStatus::Success)
}

/// Nanoseconds a request, from its arrival to its end.
fn nanoseconds_per_request(shares: &mut AdmissionControl, tenants: u32) -> f64 {
    let (mut now, mut flying) = (1_000_000, vec![]);
    let began = Instant::now();
    for n in 0..REQUESTS {
        now += 10;
        let tenant = Tenant((n * 7_919 % u64::from(tenants)) as u32);
        let (ticket, cut_off) = (Ticket(n), now + 10_000_000);
        shares.enqueue(
            now,
            AdmissionRequest { ticket, tenant, tokens: 300, priority_weight: 1.0, deadline: cut_off },
        );
        while let Some(verdict) = shares.next_verdict(now) {
            if let Verdict::Admit(ticket) = verdict {
                flying.push(ticket);
            }
        }
        if let Some(ticket) = flying.pop() {
            shares.request_finished(now, ticket, ResponseTiming::InTime);
        }
    }
    began.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// Bytes of this process that are in memory.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// A router process, killed when this value is dropped.
struct Router(Child);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Times changes at a router of so many cores: the median and the longest.
fn time_changes(cores: u32) -> Result<(Duration, Duration), CommandError> {
    let folder = std::env::temp_dir().join(format!("tideroute-tenants-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(CommandError::in_file(&folder))?;
    let timed = run_changes(cores, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let mut took = timed.map_err(CommandError::MeasuredRouter)?;
    took.sort_unstable();
    let median = took.get(took.len() / 2).copied().unwrap_or_default();
    Ok((median, took.last().copied().unwrap_or_default()))
}

/// Starts a router and sends it one change after the other; returns how long each took.
fn run_changes(cores: u32, folder: &Path) -> std::io::Result<Vec<Duration>> {
    let free_address = || TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let (listen, list, admin) = (free_address()?, free_address()?, free_address()?);
    let file = folder.join("router.cue");
    std::fs::write(&file, config(cores, folder, [listen, list, admin]))?;
    let child = Command::new(std::env::current_exe()?)
        .arg("router")
        .arg(&file)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let _router = Router(child);
    let mut stream = connect(admin)?;
    connect(listen)?;
    let mut durations = vec![];
    for version in 0..=CHANGES {
        let request = change_request(admin, version);
        let started = Instant::now();
        stream.write_all(request.as_bytes())?;
        read_response(&mut stream)?;
        durations.push(started.elapsed());
    }
    // The first creates the tables and is no measure of the others.
    Ok(durations.split_off(1))
}

/// The configuration of the router that is measured.
fn config(cores: u32, folder: &Path, [listen, list, admin]: [SocketAddr; 3]) -> String {
    let hash = blake3::hash(ADMIN_KEY.as_bytes()).to_hex();
    let store = folder.join("store.redb");
    format!(
        r#"router: {{
	name: "measured", listen: "{listen}", list: "{list}", cores: {cores}
	tracks: [{{name: "query", contract: 1s, cut_off: 4s}}]
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	terms: {{}}
	admin: {{listen: "{admin}", store: "{}", keys: [{{name: "measure", key: "{hash}", role: "operate"}}]}}
}}"#,
        store.display()
    )
}

/// The request that changes a tenant at this version; version 0 creates it.
fn change_request(admin: SocketAddr, version: usize) -> String {
    let body = format!(r#"{{"weight": {}}}"#, version + 1);
    let precondition = match version {
        0 => "if-none-match: *".to_string(),
        _ => format!("if-match: \"{version}\""),
    };
    format!(
        "PUT /v1/tenants/measured HTTP/1.1\r\nhost: {admin}\r\nauthorization: Bearer {ADMIN_KEY}\r\n{precondition}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a response whose body is one JSON object; an error if its status is not 20x.
fn read_response(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut response = vec![];
    let mut chunk = [0; 4_096];
    while !response.ends_with(b"}") {
        let length = stream.read(&mut chunk)?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&chunk[..length]);
    }
    if !response.starts_with(b"HTTP/1.1 20") {
        return Err(std::io::Error::other(String::from_utf8_lossy(&response).into_owned()));
    }
    Ok(())
}

/// Connects as soon as the router listens.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let began = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT))?;
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
            Err(e) if began.elapsed() > TIMEOUT => return Err(e),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
