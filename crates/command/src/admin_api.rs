//! A client of the administration API: each request on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use serde_json::Value;

/// How long a connection, a request and its reply may take.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes: a longer response is not from the API.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;
/// The environment variable with the key, if no file is named.
const KEY_VARIABLE: &str = "TIDEROUTE_KEY";
/// Headers of a response.
const MAX_HEADERS: usize = 32;

/// Where the API listens, and the key to authenticate with.
#[derive(Args)]
pub struct ApiClient {
    /// The address of the administration.
    #[arg(long, default_value = "127.0.0.1:7100", value_name = "ADDRESS")]
    at: SocketAddr,
    /// A file that holds the key; without, the environment's TIDEROUTE_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Prints what the API replied, as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Why a call of the administration API failed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The operating system's random number generator failed.
    #[error("no random bytes: {0}")]
    RandomKey(getrandom::Error),
    /// The name cannot be a tenant's.
    #[error("{0:?} is no name of a tenant: a-z, 0-9 and - only")]
    InvalidTenantName(String),
    /// The key's file cannot be read.
    #[error("{}: {source}", path.display())]
    KeyFile { path: PathBuf, source: std::io::Error },
    /// Neither a file nor the environment holds a key.
    #[error("no key: name a --key-file or set {KEY_VARIABLE}")]
    NoKey,
    /// The key cannot be sent in a header.
    #[error("the key is empty, or is no plain text")]
    InvalidKey,
    /// The connection failed.
    #[error("{address}: {source}")]
    Connection { address: SocketAddr, source: std::io::Error },
    /// The response is no HTTP.
    #[error("{0}: this is not an administration of ours")]
    NotTheApi(SocketAddr),
    /// The body of the response is no JSON.
    #[error("the reply is no JSON: {0}")]
    InvalidJson(serde_json::Error),
    /// The API refused the call; `present` is the tenant's version and content, if the call was about another.
    #[error("{status}: {detail}{}", present_text(.present))]
    Refused { status: u16, detail: String, present: Option<(u64, Value)> },
}

fn present_text(present: &Option<(u64, Value)>) -> String {
    match present {
        Some((version, tenant)) => format!("\npresent version {version}: {tenant}"),
        None => String::new(),
    }
}

/// A successful response.
pub struct Response {
    pub body: Vec<u8>,
}

impl Response {
    /// The body as JSON.
    pub fn json(&self) -> Result<Value, ApiError> {
        serde_json::from_slice(&self.body).map_err(ApiError::InvalidJson)
    }
}

impl ApiClient {
    fn key(&self) -> Result<String, ApiError> {
        let text = match &self.key_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|source| ApiError::KeyFile { path: path.clone(), source })?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| ApiError::NoKey)?,
        };
        let key = text.trim().to_string();
        let is_valid = !key.is_empty() && key.bytes().all(|b| b.is_ascii_graphic());
        if is_valid {
            Ok(key)
        } else {
            Err(ApiError::InvalidKey)
        }
    }

    /// The entries of all pages at the path.
    pub fn all_pages(&self, path: &str, cursor: &str) -> Result<Vec<Value>, ApiError> {
        let mut entries = vec![];
        let mut next = String::new();
        loop {
            let from = if next.is_empty() { String::new() } else { format!("&{cursor}={next}") };
            let page = self.request("GET", &format!("{path}?most=1000{from}"), None, b"")?.json()?;
            entries.extend(page["entries"].as_array().cloned().unwrap_or_default());
            match page["next"].as_str() {
                Some(more) => next = more.to_string(),
                None => return Ok(entries),
            }
        }
    }

    /// Sends one request on a connection of its own.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Response, ApiError> {
        let connection = |source| ApiError::Connection { address: self.at, source };
        let mut stream = TcpStream::connect_timeout(&self.at, TIMEOUT).map_err(connection)?;
        stream.set_read_timeout(Some(TIMEOUT)).map_err(connection)?;
        stream.set_write_timeout(Some(TIMEOUT)).map_err(connection)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n", self.at);
        head += &format!("authorization: Bearer {}\r\n", self.key()?);
        if let Some(precondition) = precondition {
            head += &format!("{precondition}\r\n");
        }
        head += &format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), body].concat()).map_err(connection)?;
        let mut received = vec![];
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut received).map_err(connection)?;
        self.parse_response(&received)
    }

    fn parse_response(&self, received: &[u8]) -> Result<Response, ApiError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Ok(httparse::Status::Complete(head_length)) = parsed.parse(received) else {
            return Err(ApiError::NotTheApi(self.at));
        };
        let status = parsed.code.ok_or(ApiError::NotTheApi(self.at))?;
        let response = Response { body: received[head_length..].to_vec() };
        if status < 300 {
            return Ok(response);
        }
        let problem = response.json()?;
        let detail = problem["detail"].as_str().unwrap_or("no more is known").to_string();
        let version = problem["present"]["version"].as_u64();
        let present = version.map(|version| (version, problem["present"]["tenant"].clone()));
        Err(ApiError::Refused { status, detail, present })
    }
}
