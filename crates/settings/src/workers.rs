//! Reads the roles of the worker kinds.

use serde_json::Value;
use tideroute::types::Role;

use crate::error::SettingsError;
use crate::keys::{self, family, role};
use crate::values::{list, value};

/// Reads the role of each worker kind. Rejects roles of which none prefills, or none decodes, because no request could
/// be completed.
pub fn roles_by_kind(root: &Value, decode_workers_prefill: bool) -> Result<Vec<Role>, SettingsError> {
    let key = family::KIND_ROLES;
    let roles: Vec<Role> = list(root, key)?.iter().map(role_of).collect::<Result<_, _>>()?;
    let kinds = value(root, keys::KINDS).ok().and_then(Value::as_array);
    if kinds.is_some_and(|kinds| kinds.len() != roles.len()) {
        return Err(SettingsError::RolesDoNotMatchKinds(key));
    }
    let some_kind_prefills = decode_workers_prefill || roles.iter().any(|role| *role != Role::Decode);
    if !some_kind_prefills {
        return Err(SettingsError::NoPrefillWorkers(key));
    }
    let some_kind_decodes = roles.iter().any(|role| *role != Role::Prefill);
    if !some_kind_decodes {
        return Err(SettingsError::NoDecodeWorkers(key));
    }
    Ok(roles)
}

fn role_of(kind_role: &Value) -> Result<Role, SettingsError> {
    match kind_role.as_str() {
        Some(role::PREFILL) => Ok(Role::Prefill),
        Some(role::DECODE) => Ok(Role::Decode),
        Some(role::MIXED) => Ok(Role::Mixed),
        _ => Err(SettingsError::UnknownRole { key: family::KIND_ROLES, found: kind_role.to_string() }),
    }
}
