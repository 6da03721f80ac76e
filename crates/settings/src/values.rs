//! Reads values of the JSON object by key. A key is a path whose parts are joined by dots.

use serde_json::Value;

use crate::error::SettingsError;

/// Returns the value of a key.
pub fn value<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, SettingsError> {
    key.split('.').try_fold(root, |value, part| value.get(part)).ok_or(SettingsError::Missing(key))
}

/// Reads a number of 0 or more.
pub fn number(root: &Value, key: &'static str) -> Result<f64, SettingsError> {
    let number = value(root, key)?.as_f64();
    number.filter(|number| *number >= 0.0).ok_or(SettingsError::NotANumber(key))
}

/// Reads a time in milliseconds, greater than 0.
pub fn positive_time(root: &Value, key: &'static str) -> Result<f64, SettingsError> {
    let found = value(root, key)?;
    let time = found.as_f64().filter(|ms| *ms > 0.0);
    time.ok_or_else(|| SettingsError::TimeNotOverZero { key, found: found.to_string() })
}

/// Reads a boolean; false if the settings lack the key.
pub fn flag(root: &Value, key: &'static str) -> Result<bool, SettingsError> {
    let Ok(flag) = value(root, key) else { return Ok(false) };
    flag.as_bool().ok_or(SettingsError::NotABoolean(key))
}

/// Reads an array.
pub fn list<'a>(root: &'a Value, key: &'static str) -> Result<&'a Vec<Value>, SettingsError> {
    value(root, key)?.as_array().ok_or(SettingsError::NotAList(key))
}

/// Reads a string.
pub fn string<'a>(root: &'a Value, key: &'static str) -> Result<&'a str, SettingsError> {
    value(root, key)?.as_str().ok_or(SettingsError::NotAString(key))
}

/// Returns the error for a string that the key does not accept.
pub fn unknown_value(key: &'static str, found: &str) -> SettingsError {
    SettingsError::UnknownValue { key, found: found.to_string() }
}
