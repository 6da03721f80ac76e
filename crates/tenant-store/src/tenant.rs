//! The configuration of a tenant and its validation. The serialized names are part of the administration API and of the
//! stored data; the names of the types appear in the API's error messages.

use serde::{Deserialize, Serialize};

use crate::field_error::{FieldError, FieldProblem};

/// Maximum length of the name of a tenant or a key, in bytes. Names are part of URLs and of metric labels.
const MAX_NAME_LENGTH: usize = 63;

/// Maximum number of keys of a tenant.
const MAX_KEYS: usize = 16;

/// Maximum rate, burst and weight.
const MAX_NUMBER: f64 = 1e9;

/// Number of hexadecimal digits in a key's hash.
const HASH_DIGITS: usize = 64;

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Requests or tokens per second.
    #[serde(rename = "a_second")]
    pub per_second: f64,
    /// Requests or tokens that may pass at once; at least 1.
    #[serde(rename = "once")]
    pub burst: f64,
}

/// A key of a tenant. Only its hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name that identifies the key, for example to revoke it.
    pub name: String,
    /// BLAKE3 hash of the key: 64 lower-case hexadecimal digits. Keys are random, so a slow hash would add no
    /// protection.
    pub hash: String,
}

/// The configuration of a tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share of the capacity, relative to the weights of the other tenants.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Rate limit on requests.
    #[serde(default, rename = "submissions")]
    pub requests: Option<Rate>,
    /// Rate limit on prompt tokens.
    #[serde(default)]
    pub tokens: Option<Rate>,
    /// Maximum number of requests in flight.
    #[serde(default)]
    pub in_flight: Option<u32>,
    /// Maximum number of requests that wait for admission.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// Keys with which clients authenticate as this tenant.
    #[serde(default)]
    pub keys: Vec<Key>,
}

fn default_weight() -> f64 {
    1.0
}

fn default_waiting() -> u32 {
    100
}

/// Validates the name of a tenant or a key; `field` is its path for the error.
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
    /// Validates all fields and returns the error of the first invalid one.
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
