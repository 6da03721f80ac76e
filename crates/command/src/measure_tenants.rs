//! What tenants cost: a submission by their number, memory of one, and how long a change takes to reach all cores.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tideroute_admission::{
    AdmissionConfig, AdmissionControl, AdmissionRequest, Limits, RateLimit, ResponseTiming, Tenant, Ticket,
    Verdict,
};

use crate::Ended;

/// Submissions for each figure, and changes.
const SUBMISSIONS: u64 = 200_000;
const CHANGES: usize = 200;
/// How long the router may take to be there, and a reply to come.
const PATIENCE: Duration = Duration::from_secs(10);

pub fn run(cores: u32) -> Ended {
    println!("tenants   a submission, ns   memory a tenant, bytes");
    for tenants in [1, 100, 10_000, 100_000] {
        let before = resident();
        let mut admission = AdmissionControl::new(AdmissionConfig {
            max_wait: 60_000_000,
            max_waiting: 100_000,
            max_retry_after: 1_000_000,
        });
        let rate = Some(RateLimit { per_second: 1e9, burst: 1e9 });
        let limits = Limits { requests: rate, tokens: rate, in_flight: Some(1 << 20), ..Limits::default() };
        (0..tenants).for_each(|n| admission.upsert_tenant(1, Tenant(n), limits));
        let memory = resident().saturating_sub(before) as f64 / f64::from(tenants);
        // What the machine counts in pages says nothing of a few.
        let memory = if tenants < 10_000 { "-".to_string() } else { format!("{memory:.0}") };
        println!("{tenants:>7}{:>19.0}{memory:>25}", submissions(&mut admission, tenants));
    }
    let (median, longest) = changes(cores)?;
    println!(
        "\n{CHANGES} changes of a tenant, from the request to the reply, which waits for all {cores} cores and the \
         disk:\n{:.2} ms median, {:.2} ms at most",
        median.as_secs_f64() * 1e3,
        longest.as_secs_f64() * 1e3
    );
    Ok(true)
}

/// Nanoseconds a submission, from asking to having been answered.
fn submissions(admission: &mut AdmissionControl, tenants: u32) -> f64 {
    let (mut now, mut in_flight_tickets) = (1_000_000, vec![]);
    let began = Instant::now();
    for n in 0..SUBMISSIONS {
        now += 10;
        let tenant = Tenant((n * 7_919 % u64::from(tenants)) as u32);
        let (ticket, deadline) = (Ticket(n), now + 10_000_000);
        admission
            .enqueue(now, AdmissionRequest { ticket, tenant, tokens: 300, priority_weight: 1.0, deadline });
        while let Some(verdict) = admission.next_verdict(now) {
            if let Verdict::Admit(ticket) = verdict {
                in_flight_tickets.push(ticket);
            }
        }
        if let Some(ticket) = in_flight_tickets.pop() {
            admission.request_finished(now, ticket, ResponseTiming::InTime);
        }
    }
    began.elapsed().as_nanos() as f64 / SUBMISSIONS as f64
}

/// Bytes of this process that are in memory.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// A process that ends with this.
struct Router(Child);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Times changes at a router of so many cores: the median and the longest.
fn changes(cores: u32) -> Result<(Duration, Duration), String> {
    let folder = std::env::temp_dir().join(format!("tideroute-tenants-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let timed = timed(cores, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let mut took = timed.map_err(|e| format!("the router that is measured: {e}"))?;
    took.sort_unstable();
    let median = took.get(took.len() / 2).copied().unwrap_or_default();
    Ok((median, took.last().copied().unwrap_or_default()))
}

fn timed(cores: u32, folder: &Path) -> std::io::Result<Vec<Duration>> {
    let free = || TcpListener::bind("127.0.0.1:0").and_then(|door| door.local_addr());
    let (listen, list, admin) = (free()?, free()?, free()?);
    let (key, store) = ("a-key", folder.join("store.redb"));
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let record = format!(
        r#"router: {{
	name: "measured", listen: "{listen}", list: "{list}", cores: {cores}
	tracks: [{{name: "query", contract: 1s, cut_off: 4s}}]
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	terms: {{}}
	admin: {{listen: "{admin}", store: "{}", keys: [{{name: "measure", key: "{hash}", role: "operate"}}]}}
}}"#,
        store.display()
    );
    let file = folder.join("router.cue");
    std::fs::write(&file, record)?;
    let child = Command::new(std::env::current_exe()?)
        .arg("router")
        .arg(&file)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let _router = Router(child);
    let mut stream = reached(admin)?;
    reached(listen)?;
    let mut took = vec![];
    for n in 0..=CHANGES {
        let body = format!(r#"{{"weight": {}}}"#, n + 1);
        let precondition = if n == 0 { "if-none-match: *".into() } else { format!("if-match: \"{n}\"") };
        let request = format!(
            "PUT /v1/tenants/measured HTTP/1.1\r\nhost: {admin}\r\nauthorization: Bearer {key}\r\n{precondition}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let began = Instant::now();
        stream.write_all(request.as_bytes())?;
        let (mut got, mut piece) = (vec![], [0; 4_096]);
        while !got.ends_with(b"}") {
            let more = stream.read(&mut piece)?;
            if more == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            got.extend_from_slice(&piece[..more]);
        }
        if !got.starts_with(b"HTTP/1.1 20") {
            return Err(std::io::Error::other(String::from_utf8_lossy(&got).into_owned()));
        }
        took.push(began.elapsed());
    }
    // The first opens tables and is no measure of the rest.
    Ok(took.split_off(1))
}

fn reached(address: SocketAddr) -> std::io::Result<TcpStream> {
    let began = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PATIENCE))?;
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
            Err(e) if began.elapsed() > PATIENCE => return Err(e),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
