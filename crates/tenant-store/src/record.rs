//! What is kept of a tenant.

use serde::{Deserialize, Serialize};

/// Characters of a name, bytes at most; keys of a tenant; the largest rate, weight and number.
const NAME: usize = 64;
const KEYS: usize = 16;
const MOST: f64 = 1e9;

#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    pub a_second: f64,
    pub once: f64,
}

/// A key that may be used for the tenant; only its hash is kept.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// By which it is named when it is revoked.
    pub name: String,
    /// BLAKE3, 64 hexadecimal digits. Keys are random, so a slow hash would only serve who floods.
    pub hash: String,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub submissions: Option<Rate>,
    #[serde(default)]
    pub tokens: Option<Rate>,
    #[serde(default)]
    pub in_flight: Option<u32>,
    #[serde(default = "hundred")]
    pub waiting: u32,
    #[serde(default)]
    pub keys: Vec<Key>,
}

fn one() -> f64 {
    1.0
}

fn hundred() -> u32 {
    100
}

/// A tenant as it stood after a change; None for removed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    pub name: String,
    /// The number of the change among all: no two entries share it, and it is never used again.
    pub version: u64,
    /// Microseconds since 1970, and who made it.
    pub at: u64,
    pub by: String,
    pub tenant: Option<Tenant>,
}

/// A field that cannot be as it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {what}")]
pub struct Fault {
    pub field: String,
    pub what: String,
}

fn fault(field: impl Into<String>, what: impl Into<String>) -> Fault {
    Fault { field: field.into(), what: what.into() }
}

/// A name is part of addresses and of labels of figures.
pub(crate) fn name(name: &str) -> Result<(), Fault> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    match name.len() {
        0 => Err(fault("name", "is empty")),
        NAME.. => Err(fault("name", format!("is {} bytes of at most {}", name.len(), NAME - 1))),
        _ if !name.bytes().all(allowed) => Err(fault("name", "may have a-z, 0-9 and - only")),
        _ => Ok(()),
    }
}

impl Tenant {
    pub fn check(&self) -> Result<(), Fault> {
        let number = |field: &str, n: f64| match n {
            n if !n.is_finite() || n < 0.0 => Err(fault(field, format!("{n} is no number from 0 up"))),
            n if n > MOST => Err(fault(field, format!("{n} is over {MOST}"))),
            _ => Ok(()),
        };
        number("weight", self.weight)?;
        for (field, rate) in [("submissions", self.submissions), ("tokens", self.tokens)] {
            if let Some(rate) = rate {
                number(&format!("{field}.a_second"), rate.a_second)?;
                number(&format!("{field}.once"), rate.once)?;
                if rate.once < 1.0 {
                    return Err(fault(format!("{field}.once"), "under 1 lets nothing through"));
                }
            }
        }
        if self.keys.len() > KEYS {
            return Err(fault("keys", format!("{} of at most {KEYS}", self.keys.len())));
        }
        for (n, key) in self.keys.iter().enumerate() {
            name(&key.name).map_err(|f| fault(format!("keys[{n}].name"), f.what))?;
            if key.hash.len() != 64 || !key.hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
                return Err(fault(format!("keys[{n}].hash"), "must be 64 hexadecimal digits, a to f small"));
            }
            if self.keys[..n].iter().any(|other| other.name == key.name || other.hash == key.hash) {
                return Err(fault(format!("keys[{n}]"), "is there twice"));
            }
        }
        Ok(())
    }
}
