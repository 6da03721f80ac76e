//! Measures what tenants cost: time per request and memory per tenant, by the number of tenants, and how long a change
//! takes to reach all cores.

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
/// How long to wait for the router to start, and for each response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Prints the results. `cores` is the number of cores of the router whose changes are timed.
pub fn run(cores: u32) -> CommandResult {
    println!("tenants   time/request, ns     memory/tenant, bytes");
    for tenants in [1, 100, 10_000, 100_000] {
        let before = resident_bytes();
        let mut admission = AdmissionControl::new(AdmissionConfig {
            max_wait: 60_000_000,
            max_waiting: 100_000,
            max_retry_after: 1_000_000,
        });
        let rate = Some(RateLimit { per_second: 1e9, burst: 1e9 });
        let limits = Limits { requests: rate, tokens: rate, in_flight: Some(1 << 20), ..Limits::default() };
        (0..tenants).for_each(|n| admission.upsert_tenant(1, Tenant(n), limits));
        let memory = resident_bytes().saturating_sub(before) as f64 / f64::from(tenants);
        // Resident memory is counted in pages, which are too coarse for few tenants.
        let memory = if tenants < 10_000 { "-".to_string() } else { format!("{memory:.0}") };
        println!("{tenants:>7}{:>19.0}{memory:>25}", nanoseconds_per_request(&mut admission, tenants));
    }
    let (median, longest) = time_changes(cores)?;
    println!(
        "\n{CHANGES} changes of a tenant, from the request to the response, which waits for all {cores} cores and \
         the disk:\n{:.2} ms median, {:.2} ms at most",
        median.as_secs_f64() * 1e3,
        longest.as_secs_f64() * 1e3
    );
    Ok(CommandStatus::Success)
}

/// Returns the nanoseconds that admission control spends on a request, from its arrival to its end.
fn nanoseconds_per_request(admission: &mut AdmissionControl, tenants: u32) -> f64 {
    let (mut now, mut admitted) = (1_000_000, vec![]);
    let started = Instant::now();
    for n in 0..REQUESTS {
        now += 10;
        let tenant = Tenant((n * 7_919 % u64::from(tenants)) as u32);
        let (ticket, deadline) = (Ticket(n), now + 10_000_000);
        admission
            .enqueue(now, AdmissionRequest { ticket, tenant, tokens: 300, priority_weight: 1.0, deadline });
        while let Some(verdict) = admission.next_verdict(now) {
            if let Verdict::Admit(ticket) = verdict {
                admitted.push(ticket);
            }
        }
        if let Some(ticket) = admitted.pop() {
            admission.request_finished(now, ticket, ResponseTiming::InTime);
        }
    }
    started.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// Returns the resident memory of this process in bytes.
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

/// Times changes at a router of so many cores; returns the median and the longest time.
fn time_changes(cores: u32) -> Result<(Duration, Duration), CommandError> {
    let folder = std::env::temp_dir().join(format!("tideroute-tenants-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(CommandError::in_file(&folder))?;
    let durations = run_changes(cores, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let mut durations = durations.map_err(CommandError::MeasuredRouter)?;
    durations.sort_unstable();
    let median = durations.get(durations.len() / 2).copied().unwrap_or_default();
    Ok((median, durations.last().copied().unwrap_or_default()))
}

/// Starts a router and sends it one change after the other; returns the time from each request to its response.
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
    // The first change also creates the tables of the store, so that its time is left out.
    Ok(durations.split_off(1))
}

/// Returns the configuration of the router that is measured.
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

/// Returns the request that changes the tenant at this version; for version 0, the request that creates it.
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

/// Reads a response whose body is one JSON object; returns an error if its status is not 20x.
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

/// Connects to the router once it listens; retries until the timeout.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let started = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT))?;
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
            Err(e) if started.elapsed() > TIMEOUT => return Err(e),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
