//! The subcommands of `admin`, which call the administration API of a running router.

use std::collections::HashMap;
use std::io::{IsTerminal, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Subcommand;
use serde_json::Value;
use tideroute_tenant_store::TenantStore;

use crate::admin_api::{ApiClient, ApiError};
use crate::error::{CommandError, CommandResult, CommandStatus};

/// The most tenants that `admin top` shows.
const TOP_ROWS: usize = 40;

/// A subcommand of `admin`.
#[derive(Subcommand)]
pub enum AdminCommand {
    /// Generates a key and prints it, with the hash of it that a configuration or a tenant holds.
    Key,
    /// Lists all tenants.
    List(ApiClient),
    /// Shows one tenant and its version.
    Show {
        /// The tenant's name.
        name: String,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Adds a tenant, or changes the given version of a tenant.
    Put {
        /// The tenant's name.
        name: String,
        /// A file with the tenant as JSON, or - for standard input.
        file: PathBuf,
        /// The current version of the tenant to change; without it, the tenant must not exist yet.
        #[arg(long)]
        version: Option<u64>,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Removes a tenant: its keys become invalid at once; its requests in flight run to their end.
    Remove {
        /// The tenant's name.
        name: String,
        /// The current version of the tenant.
        #[arg(long)]
        version: u64,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Lists all versions of a tenant, the newest first.
    History {
        /// The tenant's name.
        name: String,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Lists all changes of all tenants and who made them; with --json, also when.
    Changes(ApiClient),
    /// Shows the requests of tenants and their outcomes, the busiest tenant first, refreshed each second until Ctrl-C.
    Top {
        /// Prints the table once and exits.
        #[arg(long)]
        once: bool,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Writes a snapshot of all tenants and their history to a file.
    Snapshot {
        /// The file to write.
        file: PathBuf,
        #[command(flatten)]
        client: ApiClient,
    },
    /// Replaces the contents of a tenant store by a snapshot, while its router is stopped.
    Restore {
        /// The file of the tenant store.
        store: PathBuf,
        /// The snapshot to read.
        file: PathBuf,
    },
}

/// Runs a subcommand of `admin`.
pub fn run(command: &AdminCommand) -> CommandResult {
    match command {
        AdminCommand::Key => make_key(),
        AdminCommand::List(client) => print_pages(client, "/v1/tenants", "after"),
        AdminCommand::Changes(client) => print_pages(client, "/v1/changes", "after"),
        AdminCommand::History { name, client } => {
            print_pages(client, &format!("/v1/tenants/{}/history", checked_name(name)?), "before")
        }
        AdminCommand::Show { name, client } => {
            let response =
                client.request("GET", &format!("/v1/tenants/{}", checked_name(name)?), None, b"")?;
            print_entries(client, &[response.json()?]);
            Ok(CommandStatus::Success)
        }
        AdminCommand::Put { name, file, version, client } => {
            let body = read_body(file)?;
            let precondition = version.map_or("if-none-match: *".into(), |v| format!("if-match: \"{v}\""));
            let path = format!("/v1/tenants/{}", checked_name(name)?);
            let response = client.request("PUT", &path, Some(&precondition), &body)?;
            print_entries(client, &[response.json()?]);
            Ok(CommandStatus::Success)
        }
        AdminCommand::Remove { name, version, client } => {
            let precondition = format!("if-match: \"{version}\"");
            client.request(
                "DELETE",
                &format!("/v1/tenants/{}", checked_name(name)?),
                Some(&precondition),
                b"",
            )?;
            println!("{name} is removed");
            Ok(CommandStatus::Success)
        }
        AdminCommand::Top { once, client } => top(client, *once),
        AdminCommand::Snapshot { file, client } => {
            let response = client.request("GET", "/v1/snapshot", None, b"")?;
            std::fs::write(file, &response.body).map_err(CommandError::in_file(file))?;
            println!("{} bytes written to {}", response.body.len(), file.display());
            Ok(CommandStatus::Success)
        }
        AdminCommand::Restore { store, file } => restore(store, file),
    }
}

/// Generates a key and prints it with its hash.
fn make_key() -> CommandResult {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(ApiError::RandomKey)?;
    let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    println!("key  {key}\nhash {}", blake3::hash(key.as_bytes()).to_hex());
    Ok(CommandStatus::Success)
}

/// Replaces the contents of a store by a snapshot.
fn restore(store: &Path, file: &Path) -> CommandResult {
    let snapshot = std::fs::File::open(file).map_err(CommandError::in_file(file))?;
    let tenant_store = TenantStore::open(store).map_err(CommandError::in_file(store))?;
    let entries = tenant_store.restore(snapshot).map_err(CommandError::in_file(file))?;
    println!("{entries} entries restored to {}", store.display());
    Ok(CommandStatus::Success)
}

/// Returns the name if it can be part of a request's path; the API checks the remaining rules for names.
fn checked_name(name: &str) -> Result<&str, ApiError> {
    let is_valid = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    if is_valid {
        Ok(name)
    } else {
        Err(ApiError::InvalidTenantName(name.to_string()))
    }
}

/// Reads a file, or standard input if the path is `-`.
fn read_body(file: &Path) -> Result<Vec<u8>, CommandError> {
    let mut body = vec![];
    let read = if file == Path::new("-") {
        std::io::stdin().read_to_end(&mut body)
    } else {
        std::fs::File::open(file).and_then(|mut file| file.read_to_end(&mut body))
    };
    read.map_err(CommandError::in_file(file))?;
    Ok(body)
}

/// Prints the entries of all pages.
fn print_pages(client: &ApiClient, path: &str, cursor: &str) -> CommandResult {
    let entries = client.all_pages(path, cursor)?;
    print_entries(client, &entries);
    Ok(CommandStatus::Success)
}

/// The keys in the API of the counters that `admin top` shows as rates.
const COUNTERS: [&str; 5] = ["asked", "let_in", "turned_back", "in_time", "late"];

type Counters = [f64; COUNTERS.len()];

fn counters(row: &Value) -> Counters {
    COUNTERS.map(|key| row[key].as_f64().unwrap_or(0.0))
}

fn tenant_name(row: &Value) -> &str {
    row["name"].as_str().unwrap_or("?")
}

/// Shows the busiest tenants; refreshes the table each second unless `once` is set.
fn top(client: &ApiClient, once: bool) -> CommandResult {
    let mut previous: HashMap<String, Counters> = HashMap::new();
    let mut queried_at = Instant::now();
    loop {
        let rows = client.all_pages("/v1/figures", "after")?;
        let seconds = queried_at.elapsed().as_secs_f64().max(1e-3);
        queried_at = Instant::now();
        let text = top_table(&rows, &previous, seconds);
        let clear = if !once && std::io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
        print!("{clear}{text}");
        std::io::stdout().flush()?;
        if once {
            return Ok(CommandStatus::Success);
        }
        previous = rows.iter().map(|row| (tenant_name(row).to_string(), counters(row))).collect();
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Formats the busiest tenants as a table: rates since the previous query, or totals since the router's start if there
/// was none.
fn top_table(rows: &[Value], previous: &HashMap<String, Counters>, seconds: f64) -> String {
    let (divisor, unit) = if previous.is_empty() { (1.0, "since the start") } else { (seconds, "a second") };
    let rates = |row: &Value| -> Counters {
        let before = previous.get(tenant_name(row)).copied().unwrap_or_default();
        let now = counters(row);
        std::array::from_fn(|n| (now[n] - before[n]).max(0.0) / divisor)
    };
    let mut sorted: Vec<(&Value, Counters)> = rows.iter().map(|row| (row, rates(row))).collect();
    sorted.sort_by(|(a, a_rates), (b, b_rates)| {
        b_rates[0].total_cmp(&a_rates[0]).then_with(|| tenant_name(a).cmp(tenant_name(b)))
    });
    let mut text = format!(
        "{:<20}{:>9}{:>9}{:>12}{:>9}{:>8}{:>9}{:>11}   {unit}\n",
        "tenant", "received", "admitted", "rejected", "in time", "late", "waiting", "in flight"
    );
    for (row, [requests, admitted, rejected, in_time, late]) in sorted.into_iter().take(TOP_ROWS) {
        text += &format!(
            "{:<20}{requests:>9.0}{admitted:>9.0}{rejected:>12.0}{in_time:>9.0}{late:>8.0}{:>9}{:>11}\n",
            tenant_name(row),
            row["waiting"],
            row["in_flight"]
        );
    }
    text
}

/// Prints entries as a table, or as JSON lines.
fn print_entries(client: &ApiClient, entries: &[Value]) {
    if client.json {
        entries.iter().for_each(|entry| println!("{entry}"));
        return;
    }
    println!(
        "{:<20}{:>8}{:>8}{:>14}{:>14}{:>10}{:>6}  changed by",
        "tenant", "version", "weight", "requests/s", "tokens/s", "in flight", "keys"
    );
    for entry in entries {
        let name = tenant_name(entry);
        let version = &entry["version"];
        let by = entry["by"].as_str().unwrap_or("?");
        let tenant = &entry["tenant"];
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
