//! Snapshots: lines of JSON, compressed with zstd. The first line says what it is, the last how many entries came
//! and the BLAKE3 of all lines before it, so that one that was cut or changed is not taken.

use std::io::{BufRead, BufReader, Read, Write};

use serde::{Deserialize, Serialize};

use crate::record::{self, Entry, Tenant};
use crate::store::{Store, StoreError};

const FORMAT: &str = "tideroute tenants 1";
/// The level at which zstd is neither slow nor large; and how long a line may be.
const LEVEL: i32 = 3;
const LINE: u64 = 1 << 20;

#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    #[error("the snapshot could not be read or written: {0}")]
    Io(#[from] std::io::Error),
    #[error("line {0} of the snapshot: {1}")]
    Line(usize, String),
    #[error("the snapshot ends before its last line")]
    Cut,
    #[error("the snapshot was changed: its checksum is another")]
    Changed,
    #[error(transparent)]
    Store(#[from] StoreError),
}

#[derive(Deserialize, Serialize)]
struct Head {
    format: String,
    /// The number of the last change.
    last: u64,
}

#[derive(Deserialize, Serialize)]
struct Foot {
    entries: usize,
    checksum: String,
}

impl Store {
    /// Writes everything that is kept.
    pub fn snapshot(&self, out: impl Write) -> Result<usize, SnapshotError> {
        let (all, last) = (self.all()?, self.version()?);
        let (mut out, mut hash) = (zstd::Encoder::new(out, LEVEL)?, blake3::Hasher::new());
        let mut line = |bytes: Result<Vec<u8>, serde_json::Error>| -> Result<(), SnapshotError> {
            let mut bytes = bytes.map_err(|e| SnapshotError::Line(0, e.to_string()))?;
            bytes.push(b'\n');
            hash.update(&bytes);
            Ok(out.write_all(&bytes)?)
        };
        line(serde_json::to_vec(&Head { format: FORMAT.to_string(), last }))?;
        for entry in &all {
            line(serde_json::to_vec(entry))?;
        }
        let foot = Foot { entries: all.len(), checksum: hash.finalize().to_hex().to_string() };
        out.write_all(&serde_json::to_vec(&foot).map_err(|e| SnapshotError::Line(0, e.to_string()))?)?;
        out.finish()?;
        Ok(all.len())
    }

    /// Puts a snapshot in place of all that is there, if it is whole; otherwise nothing changes. Versions are not
    /// used again: they go on from the highest that either had.
    pub fn restore(&self, from: impl Read) -> Result<usize, SnapshotError> {
        let mut lines = BufReader::new(zstd::Decoder::new(from)?);
        let (mut hash, mut number, mut all) = (blake3::Hasher::new(), 0, Vec::<Entry>::new());
        let mut last = 0;
        loop {
            let mut bytes = vec![];
            lines.by_ref().take(LINE).read_until(b'\n', &mut bytes)?;
            number += 1;
            let bad = |what: String| SnapshotError::Line(number, what);
            if bytes.is_empty() {
                return Err(SnapshotError::Cut);
            }
            if bytes.last() != Some(&b'\n') {
                let foot: Foot = serde_json::from_slice(&bytes).map_err(|_| SnapshotError::Cut)?;
                if foot.entries != all.len() || foot.checksum != hash.finalize().to_hex().as_str() {
                    return Err(SnapshotError::Changed);
                }
                break;
            }
            hash.update(&bytes);
            if number == 1 {
                let head: Head = serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))?;
                if head.format != FORMAT {
                    return Err(bad(format!("{:?} is not {FORMAT:?}", head.format)));
                }
                last = head.last;
                continue;
            }
            let entry: Entry = serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))?;
            record::name(&entry.name).map_err(|f| bad(f.to_string()))?;
            entry.tenant.as_ref().map_or(Ok(()), Tenant::check).map_err(|f| bad(f.to_string()))?;
            if entry.version > last || all.last().is_some_and(|before| before.version >= entry.version) {
                return Err(bad(format!("version {} is out of order", entry.version)));
            }
            all.push(entry);
        }
        self.replace(&all, last)?;
        Ok(all.len())
    }
}
