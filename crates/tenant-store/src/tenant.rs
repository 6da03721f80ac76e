//! The configuration of a tenant, and which values are allowed. The serialized names are those of the administration API
//! and of the stored data; the names of the types stand in the API's error messages.

use serde::{Deserialize, Serialize};

use crate::field_error::{FieldError, FieldProblem};

/// Longest name of a tenant or a key, in bytes: names are part of URLs and of metrics' labels.
const MAX_NAME_LENGTH: usize = 63;

/// Keys of one tenant.
const MAX_KEYS: usize = 16;

/// Largest rate, burst and weight.
const MAX_NUMBER: f64 = 1e9;

/// Digits of a key's hash.
const HASH_DIGITS: usize = 64;

/// A limit on a rate.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Units per second.
    #[serde(rename = "a_second")]
    pub per_second: f64,
    /// Units at once; 1 at least.
    #[serde(rename = "once")]
    pub burst: f64,
}

/// A key of a tenant. Only its hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The name by which it is revoked.
    pub name: String,
    /// BLAKE3 of the key, 64 hexadecimal digits. Keys are random, so a slow hash would protect nothing.
    pub hash: String,
}

/// The configuration of a tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its part of the capacity, relative to the weights of other tenants.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Limit on requests.
    #[serde(default, rename = "submissions")]
    pub requests: Option<Rate>,
    /// Limit on prompt tokens.
    #[serde(default)]
    pub tokens: Option<Rate>,
    /// Limit on requests in flight.
    #[serde(default)]
    pub in_flight: Option<u32>,
    /// Requests that may wait for admission.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// Keys that clients may use for the tenant.
    #[serde(default)]
    pub keys: Vec<Key>,
}

fn default_weight() -> f64 {
    1.0
}

fn default_waiting() -> u32 {
    100
}

/// Checks the name of a tenant or a key.
pub(crate) fn check_name(field: &str, name: &str) -> Result<(), FieldError> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let problem = if name.is_empty() {
        FieldProblem::Empty
    } else if name.len() > MAX_NAME_LENGTH {
        FieldProblem::TooLong { length: name.len(), max: MAX_NAME_LENGTH }
    } else if !name.bytes().all(is_allowed) {
        FieldProblem::ForbiddenCharacters
    } else {
        return Ok(());
    };
    Err(FieldError::new(field, problem))
}

fn check_number(field: &str, number: f64) -> Result<(), FieldError> {
    if !number.is_finite() || number < 0.0 {
        return Err(FieldError::new(field, FieldProblem::NotANumberFromZero(number)));
    }
    if number > MAX_NUMBER {
        return Err(FieldError::new(field, FieldProblem::TooLarge { found: number, max: MAX_NUMBER }));
    }
    Ok(())
}

fn check_rate(field: &str, rate: &Rate) -> Result<(), FieldError> {
    let burst_field = format!("{field}.once");
    check_number(&format!("{field}.a_second"), rate.per_second)?;
    check_number(&burst_field, rate.burst)?;
    if rate.burst < 1.0 {
        return Err(FieldError::new(burst_field, FieldProblem::BurstBelowOne));
    }
    Ok(())
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

impl Tenant {
    /// Checks all fields; returns the first one that is refused.
    pub fn check(&self) -> Result<(), FieldError> {
        check_number("weight", self.weight)?;
        if let Some(rate) = &self.requests {
            check_rate("submissions", rate)?;
        }
        if let Some(rate) = &self.tokens {
            check_rate("tokens", rate)?;
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), FieldError> {
        if self.keys.len() > MAX_KEYS {
            let problem = FieldProblem::TooMany { found: self.keys.len(), max: MAX_KEYS };
            return Err(FieldError::new("keys", problem));
        }
        for (index, key) in self.keys.iter().enumerate() {
            check_name(&format!("keys[{index}].name"), &key.name)?;
            if !is_hash(&key.hash) {
                return Err(FieldError::new(format!("keys[{index}].hash"), FieldProblem::NotAHash));
            }
            let is_same = |other: &Key| other.name == key.name || other.hash == key.hash;
            if self.keys[..index].iter().any(is_same) {
                return Err(FieldError::new(format!("keys[{index}]"), FieldProblem::Duplicate));
            }
        }
        Ok(())
    }
}
