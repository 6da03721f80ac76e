//! A client of the administration API, which opens a new connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use serde_json::Value;

/// How long to wait for a connection, for a write, and for a read.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The most bytes of a response that are read; responses of the API are shorter.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;
/// The environment variable that holds the key if no key file is given.
const KEY_VARIABLE: &str = "TIDEROUTE_KEY";
/// The most headers in a response.
const MAX_HEADERS: usize = 32;

/// The address of the API, and the key to authenticate with.
#[derive(Args)]
pub struct ApiClient {
    /// The address of the administration API.
    #[arg(long, default_value = "127.0.0.1:7100", value_name = "ADDRESS")]
    at: SocketAddr,
    /// The file that holds the key; by default, the key is read from the environment variable TIDEROUTE_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Prints the response of the API as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Why a request to the administration API failed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The operating system's random number generator failed.
    #[error("the operating system returned no random bytes: {0}")]
    RandomKey(getrandom::Error),
    /// The name is not a valid tenant name.
    #[error("{0:?} is not a tenant name; expected only a-z, 0-9 and -")]
    InvalidTenantName(String),
    /// The key file could not be read.
    #[error("{}: {source}", path.display())]
    KeyFile { path: PathBuf, source: std::io::Error },
    /// Neither a key file nor the environment variable is given.
    #[error("no key: pass --key-file or set {KEY_VARIABLE}")]
    NoKey,
    /// The key has characters that cannot be sent in a header.
    #[error("the key is empty or has characters other than printable ASCII")]
    InvalidKey,
    /// The connection failed or timed out.
    #[error("{address}: {source}")]
    Connection { address: SocketAddr, source: std::io::Error },
    /// The response is not a complete HTTP response.
    #[error("{0}: the response is not from the administration API")]
    NotTheApi(SocketAddr),
    /// The body of the response is not valid JSON.
    #[error("the response is not valid JSON: {0}")]
    InvalidJson(serde_json::Error),
    /// The API rejected the request; `present` is the tenant's current version and content, if the request named another
    /// version.
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
    /// Parses the body as JSON.
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

    /// Returns the entries of all pages at the path. `cursor` is the query parameter that continues after a page.
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

    /// Sends one request on a new connection. `precondition` is a whole header line such as `if-match: "3"`.
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
        let detail = problem["detail"].as_str().unwrap_or("no detail given").to_string();
        let version = problem["present"]["version"].as_u64();
        let present = version.map(|version| (version, problem["present"]["tenant"].clone()));
        Err(ApiError::Refused { status, detail, present })
    }
}
