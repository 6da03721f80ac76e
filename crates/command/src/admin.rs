//! The command line of the administration API.

use std::io::{IsTerminal, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::Value;
use tideroute_tenant_store::TenantStore;

use crate::Ended;

/// How long a connection, a request and its reply may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// Bytes: a longer reply is none of the API's.
const LARGEST: u64 = 256 << 20;
/// Tenants that a person watches at once.
const ROWS: usize = 40;
/// Where the key is looked for when no file is named.
const KEY: &str = "TIDEROUTE_KEY";

/// Where the API is, and whose key is shown.
#[derive(Args)]
pub struct There {
    /// The address of the administration.
    #[arg(long, default_value = "127.0.0.1:7100", value_name = "ADDRESS")]
    at: SocketAddr,
    /// A file that holds the key; without, the environment's TIDEROUTE_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Prints what the API replied, as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum Deed {
    /// Makes a key: prints it once, and the hash that a record or a tenant holds of it.
    Key,
    /// All tenants.
    List(There),
    /// One tenant and its version.
    Show {
        name: String,
        #[command(flatten)]
        there: There,
    },
    /// Adds a tenant, or changes the version of it that is named.
    Put {
        name: String,
        /// A file with the tenant as JSON; - reads standard input.
        file: PathBuf,
        /// The version that is changed; without, the tenant must be new.
        #[arg(long)]
        version: Option<u64>,
        #[command(flatten)]
        there: There,
    },
    /// Removes a tenant: its keys are dead at once, what is in flight runs to its end.
    Remove {
        name: String,
        #[arg(long)]
        version: u64,
        #[command(flatten)]
        there: There,
    },
    /// What a tenant was, the newest first.
    History {
        name: String,
        #[command(flatten)]
        there: There,
    },
    /// All changes, with who and when.
    Changes(There),
    /// What tenants ask for and get, anew each second until Ctrl-C; those that ask most first.
    Top {
        /// Prints once and ends.
        #[arg(long)]
        once: bool,
        #[command(flatten)]
        there: There,
    },
    /// Writes everything that is kept into a file.
    Snapshot {
        file: PathBuf,
        #[command(flatten)]
        there: There,
    },
    /// Puts a snapshot in place of all that a store holds; its router must not run.
    Restore { store: PathBuf, file: PathBuf },
}

pub fn run(deed: &Deed) -> Ended {
    match deed {
        Deed::Key => {
            let mut bytes = [0; 32];
            getrandom::fill(&mut bytes).map_err(|e| format!("no random bytes: {e}"))?;
            let key: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            println!("key  {key}\nhash {}", blake3::hash(key.as_bytes()).to_hex());
            Ok(true)
        }
        Deed::List(there) => pages(there, "/v1/tenants", "after"),
        Deed::Changes(there) => pages(there, "/v1/changes", "after"),
        Deed::History { name, there } => {
            pages(there, &format!("/v1/tenants/{}/history", plain(name)?), "before")
        }
        Deed::Show { name, there } => {
            let reply = there.ask("GET", &format!("/v1/tenants/{}", plain(name)?), None, b"")?;
            there.print(&[reply.json()?]);
            Ok(true)
        }
        Deed::Put { name, file, version, there } => {
            let body = read(file)?;
            let precondition = version.map_or("if-none-match: *".into(), |v| format!("if-match: \"{v}\""));
            let path = format!("/v1/tenants/{}", plain(name)?);
            let reply = there.ask("PUT", &path, Some(&precondition), &body)?;
            there.print(&[reply.json()?]);
            Ok(true)
        }
        Deed::Remove { name, version, there } => {
            let precondition = format!("if-match: \"{version}\"");
            there.ask("DELETE", &format!("/v1/tenants/{}", plain(name)?), Some(&precondition), b"")?;
            println!("{name} is removed");
            Ok(true)
        }
        Deed::Top { once, there } => top(there, *once),
        Deed::Snapshot { file, there } => {
            let reply = there.ask("GET", "/v1/snapshot", None, b"")?;
            std::fs::write(file, &reply.body).map_err(|e| format!("{}: {e}", file.display()))?;
            println!("{} bytes in {}", reply.body.len(), file.display());
            Ok(true)
        }
        Deed::Restore { store, file } => {
            let snapshot = std::fs::File::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let opened = TenantStore::open(store).map_err(|e| format!("{}: {e}", store.display()))?;
            let entries = opened.restore(snapshot).map_err(|e| format!("{}: {e}", file.display()))?;
            println!("{entries} entries are in {}", store.display());
            Ok(true)
        }
    }
}

/// A name goes into the address as it is; what the API would not take as one is told here.
fn plain(name: &str) -> Result<&str, String> {
    let fits = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    fits.then_some(name).ok_or_else(|| format!("{name:?} is no name of a tenant: a-z, 0-9 and - only"))
}

fn read(file: &Path) -> Result<Vec<u8>, String> {
    let mut body = vec![];
    let read = match file == Path::new("-") {
        true => std::io::stdin().read_to_end(&mut body),
        false => std::fs::File::open(file).and_then(|mut f| f.read_to_end(&mut body)),
    };
    read.map(|_| body).map_err(|e| format!("{}: {e}", file.display()))
}

/// Asks for page after page.
fn pages(there: &There, path: &str, cursor: &str) -> Ended {
    let (mut all, mut next) = (vec![], String::new());
    loop {
        let from = if next.is_empty() { String::new() } else { format!("&{cursor}={next}") };
        let page = there.ask("GET", &format!("{path}?most=1000{from}"), None, b"")?.json()?;
        all.extend(page["entries"].as_array().cloned().unwrap_or_default());
        match page["next"].as_str() {
            Some(more) => next = more.to_string(),
            None => break,
        }
    }
    there.print(&all);
    Ok(true)
}

/// Sums as they were a second ago, by tenant.
type Before = std::collections::HashMap<String, [f64; 5]>;

fn top(there: &There, once: bool) -> Ended {
    let (mut before, mut asked_at) = (Before::new(), std::time::Instant::now());
    loop {
        let mut rows = figures(there)?;
        let seconds = asked_at.elapsed().as_secs_f64().max(1e-3);
        asked_at = std::time::Instant::now();
        let names = ["asked", "let_in", "turned_back", "in_time", "late"];
        let sums = |row: &Value| names.map(|name| row[name].as_f64().unwrap_or(0.0));
        let name = |row: &Value| row["name"].as_str().unwrap_or("?").to_string();
        // The first time there is nothing to compare with: sums since the start.
        let since = |row: &Value| {
            let was = before.get(&name(row)).copied().unwrap_or_default();
            let per = if before.is_empty() { 1.0 } else { seconds };
            let now = sums(row);
            std::array::from_fn::<f64, 5, _>(|n| (now[n] - was[n]).max(0.0) / per)
        };
        rows.sort_by(|a, b| since(b)[0].total_cmp(&since(a)[0]).then_with(|| name(a).cmp(&name(b))));
        let unit = if before.is_empty() { "since the start" } else { "a second" };
        let mut text = format!(
            "{:<20}{:>9}{:>9}{:>12}{:>9}{:>8}{:>9}{:>11}   {unit}\n",
            "tenant", "asked", "let in", "turned back", "in time", "late", "waiting", "in flight"
        );
        for row in rows.iter().take(ROWS) {
            let [asked, let_in, back, in_time, late] = since(row);
            let (waiting, flying) = (&row["waiting"], &row["in_flight"]);
            text += &format!(
                "{:<20}{asked:>9.0}{let_in:>9.0}{back:>12.0}{in_time:>9.0}{late:>8.0}{waiting:>9}{flying:>11}\n",
                name(row)
            );
        }
        let clear = if !once && std::io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
        print!("{clear}{text}");
        std::io::stdout().flush().map_err(|e| e.to_string())?;
        if once {
            return Ok(true);
        }
        before = rows.iter().map(|row| (name(row), sums(row))).collect();
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn figures(there: &There) -> Result<Vec<Value>, String> {
    let (mut all, mut after) = (vec![], String::new());
    loop {
        let page = there.ask("GET", &format!("/v1/figures?most=1000&after={after}"), None, b"")?.json()?;
        all.extend(page["entries"].as_array().cloned().unwrap_or_default());
        match page["next"].as_str() {
            Some(next) => after = next.to_string(),
            None => return Ok(all),
        }
    }
}

struct Reply {
    body: Vec<u8>,
}

impl Reply {
    fn json(&self) -> Result<Value, String> {
        serde_json::from_slice(&self.body).map_err(|e| format!("the reply is no JSON: {e}"))
    }
}

impl There {
    fn key(&self) -> Result<String, String> {
        let text = match &self.key_file {
            Some(file) => std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?,
            None => std::env::var(KEY).map_err(|_| format!("no key: name a --key-file or set {KEY}"))?,
        };
        let key = text.trim().to_string();
        let fits = !key.is_empty() && key.bytes().all(|b| b.is_ascii_graphic());
        fits.then_some(key).ok_or_else(|| "the key is empty, or is no plain text".to_string())
    }

    /// One request on a connection of its own.
    fn ask(
        &self,
        method: &str,
        path: &str,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Reply, String> {
        let io = |e: std::io::Error| format!("{}: {e}", self.at);
        let mut stream = TcpStream::connect_timeout(&self.at, PATIENCE).map_err(io)?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(io)?;
        stream.set_write_timeout(Some(PATIENCE)).map_err(io)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n", self.at);
        head += &format!("authorization: Bearer {}\r\n", self.key()?);
        precondition.into_iter().for_each(|field| head += &format!("{field}\r\n"));
        head += &format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), body].concat()).map_err(io)?;
        let mut got = vec![];
        stream.take(LARGEST).read_to_end(&mut got).map_err(io)?;
        let mut fields = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Response::new(&mut fields);
        let strange = || format!("{}: this is not an administration of ours", self.at);
        let Ok(httparse::Status::Complete(length)) = parsed.parse(&got) else { return Err(strange()) };
        let status = parsed.code.ok_or_else(strange)?;
        let reply = Reply { body: got[length..].to_vec() };
        if status < 300 {
            return Ok(reply);
        }
        let problem = reply.json()?;
        let detail = problem["detail"].as_str().unwrap_or("no more is known");
        let mut text = format!("{status}: {detail}");
        if let Some(version) = problem["present"]["version"].as_u64() {
            text += &format!("\npresent version {version}: {}", problem["present"]["tenant"]);
        }
        Err(text)
    }

    fn print(&self, entries: &[Value]) {
        if self.json {
            entries.iter().for_each(|entry| println!("{entry}"));
            return;
        }
        println!(
            "{:<20}{:>8}{:>8}{:>14}{:>14}{:>10}{:>6}  changed by",
            "tenant", "version", "weight", "submissions/s", "tokens/s", "in flight", "keys"
        );
        for e in entries {
            let (name, version, by) =
                (e["name"].as_str().unwrap_or("?"), &e["version"], e["by"].as_str().unwrap_or("?"));
            let tenant = &e["tenant"];
            if tenant.is_null() {
                println!("{name:<20}{version:>8}{:>52}  {by}", "removed");
                continue;
            }
            let limit = |value: &Value| if value.is_null() { "-".to_string() } else { value.to_string() };
            let keys = tenant["keys"].as_array().map_or(0, Vec::len);
            println!(
                "{name:<20}{version:>8}{:>8}{:>14}{:>14}{:>10}{keys:>6}  {by}",
                limit(&tenant["weight"]),
                limit(&tenant["submissions"]["a_second"]),
                limit(&tenant["tokens"]["a_second"]),
                limit(&tenant["in_flight"]),
            );
        }
    }
}
