//! Reads values of the JSON object by their keys, paths whose parts are joined by dots.

use serde_json::Value;

use crate::error::SettingsError;

/// The value of a key.
pub fn value<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, SettingsError> {
    key.split('.').try_fold(root, |value, part| value.get(part)).ok_or(SettingsError::Missing(key))
}

/// A number of 0 or more.
pub fn number(root: &Value, key: &'static str) -> Result<f64, SettingsError> {
    let number = value(root, key)?.as_f64();
    number.filter(|number| *number >= 0.0).ok_or(SettingsError::NotANumber(key))
}

/// A time in milliseconds over 0.
pub fn time_over_zero(root: &Value, key: &'static str) -> Result<f64, SettingsError> {
    let found = value(root, key)?;
    let time = found.as_f64().filter(|ms| *ms > 0.0);
    time.ok_or_else(|| SettingsError::TimeNotOverZero { key, found: found.to_string() })
}

/// A switch; false where the settings lack it.
pub fn flag(root: &Value, key: &'static str) -> Result<bool, SettingsError> {
    let Ok(flag) = value(root, key) else { return Ok(false) };
    flag.as_bool().ok_or(SettingsError::NotABoolean(key))
}

/// An array.
pub fn list<'a>(root: &'a Value, key: &'static str) -> Result<&'a Vec<Value>, SettingsError> {
    value(root, key)?.as_array().ok_or(SettingsError::NotAList(key))
}

/// A string.
pub fn string<'a>(root: &'a Value, key: &'static str) -> Result<&'a str, SettingsError> {
    value(root, key)?.as_str().ok_or(SettingsError::NotAString(key))
}

/// The error of a string that is none of the key's values.
pub fn unknown_value(key: &'static str, found: &str) -> SettingsError {
    SettingsError::UnknownValue { key, found: found.to_string() }
}
