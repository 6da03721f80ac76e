//! Snapshots: lines of JSON, compressed with zstd. The first line is a header, each of the next lines is a revision,
//! and the last line is a footer. The footer holds the number of revisions and the BLAKE3 hash of all lines before it,
//! so that a truncated or modified snapshot is rejected.

use std::io::{BufRead, BufReader, Read, Write};

use serde::{Deserialize, Serialize};

use crate::revision::Revision;
use crate::snapshot_error::{LineError, SnapshotError};
use crate::store::TenantStore;
use crate::tenant::check_name;

/// Format and version that the header names.
const FORMAT: &str = "tideroute tenants 1";

/// Compression level of zstd: a compromise between speed and size.
const COMPRESSION_LEVEL: i32 = 3;

/// Maximum length of a line, in bytes.
const MAX_LINE_LENGTH: u64 = 1 << 20;

#[derive(Deserialize, Serialize)]
struct Header {
    format: String,
    /// Version of the last change.
    #[serde(rename = "last")]
    last_version: u64,
}

#[derive(Deserialize, Serialize)]
struct Footer {
    #[serde(rename = "entries")]
    revisions: usize,
    /// BLAKE3 hash of all lines before the footer, in hexadecimal digits.
    checksum: String,
}

impl TenantStore {
    /// Writes a snapshot of all stored data and returns the number of revisions in it.
    pub fn snapshot(&self, output: impl Write) -> Result<usize, SnapshotError> {
        let revisions = self.all_revisions()?;
        let last_version = self.last_version()?;
        let mut output = zstd::Encoder::new(output, COMPRESSION_LEVEL)?;
        let mut hasher = blake3::Hasher::new();
        let header = Header { format: FORMAT.to_string(), last_version };
        write_line(&mut output, &mut hasher, &header)?;
        for revision in &revisions {
            write_line(&mut output, &mut hasher, revision)?;
        }
        let checksum = hasher.finalize().to_hex().to_string();
        let footer = Footer { revisions: revisions.len(), checksum };
        output.write_all(&to_json(&footer)?)?;
        output.finish()?;
        Ok(revisions.len())
    }

    /// Replaces all stored data by a snapshot and returns the number of revisions in it. If the snapshot is incomplete
    /// or invalid, the stored data is unchanged. No version is used twice: versions continue from the higher of the
    /// snapshot's and the store's last version.
    pub fn restore(&self, input: impl Read) -> Result<usize, SnapshotError> {
        let lines = BufReader::new(zstd::Decoder::new(input)?);
        let (revisions, last_version) = SnapshotReader::new(lines).read()?;
        self.replace_all(&revisions, last_version)?;
        Ok(revisions.len())
    }
}

fn to_json(value: &impl Serialize) -> Result<Vec<u8>, SnapshotError> {
    serde_json::to_vec(value).map_err(|error| SnapshotError::Line { line: 0, error: error.into() })
}

fn write_line(
    output: &mut impl Write,
    hasher: &mut blake3::Hasher,
    value: &impl Serialize,
) -> Result<(), SnapshotError> {
    let mut line = to_json(value)?;
    line.push(b'\n');
    hasher.update(&line);
    Ok(output.write_all(&line)?)
}

/// Reads a snapshot line by line.
struct SnapshotReader<R> {
    lines: R,
    hasher: blake3::Hasher,
    last_version: u64,
    revisions: Vec<Revision>,
}

impl<R: BufRead> SnapshotReader<R> {
    fn new(lines: R) -> SnapshotReader<R> {
        SnapshotReader { lines, hasher: blake3::Hasher::new(), last_version: 0, revisions: vec![] }
    }

    /// Reads the snapshot to its end. Returns all revisions and the version of the last change.
    fn read(mut self) -> Result<(Vec<Revision>, u64), SnapshotError> {
        let mut line_number = 0;
        loop {
            let mut line = vec![];
            self.lines.by_ref().take(MAX_LINE_LENGTH).read_until(b'\n', &mut line)?;
            line_number += 1;
            if line.is_empty() {
                return Err(SnapshotError::Truncated);
            }
            if !line.ends_with(b"\n") {
                self.check_footer(&line)?;
                return Ok((self.revisions, self.last_version));
            }
            self.hasher.update(&line);
            let result = if line_number == 1 { self.read_header(&line) } else { self.read_revision(&line) };
            result.map_err(|error| SnapshotError::Line { line: line_number, error })?;
        }
    }

    fn read_header(&mut self, line: &[u8]) -> Result<(), LineError> {
        let header: Header = serde_json::from_slice(line)?;
        if header.format != FORMAT {
            return Err(LineError::Format { found: header.format, expected: FORMAT });
        }
        self.last_version = header.last_version;
        Ok(())
    }

    fn read_revision(&mut self, line: &[u8]) -> Result<(), LineError> {
        let revision: Revision = serde_json::from_slice(line)?;
        check_name("name", &revision.name)?;
        if let Some(tenant) = &revision.tenant {
            tenant.check()?;
        }
        let is_in_order = self.revisions.last().is_none_or(|previous| previous.version < revision.version);
        if revision.version > self.last_version || !is_in_order {
            return Err(LineError::VersionOutOfOrder(revision.version));
        }
        self.revisions.push(revision);
        Ok(())
    }

    /// Checks the footer, the only line that does not end with a newline.
    fn check_footer(&self, line: &[u8]) -> Result<(), SnapshotError> {
        let footer: Footer = serde_json::from_slice(line).map_err(|_| SnapshotError::Truncated)?;
        let checksum = self.hasher.finalize().to_hex();
        if footer.revisions != self.revisions.len() || footer.checksum != checksum.as_str() {
            return Err(SnapshotError::ChecksumMismatch);
        }
        Ok(())
    }
}
