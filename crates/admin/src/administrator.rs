//! Administrators and their authentication with keys.

use crate::api_error::{ApiError, ProblemKind};
use crate::request::Request;

/// The role of an administrator. Each role includes the permissions of the roles before it. The variants' names are
/// part of error responses.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    /// May read tenants, history and statistics.
    View,
    /// May also add, change and remove tenants.
    Operate,
    /// May also take snapshots.
    Own,
}

/// A person or program that may use the API.
#[derive(Clone, Debug)]
pub struct Administrator {
    /// Name under which the administrator's changes are recorded.
    pub name: String,
    /// BLAKE3 hash of the key.
    pub key: [u8; 32],
    /// Role, which decides which requests are allowed.
    pub role: Role,
}

impl Administrator {
    /// Returns a 403 error unless the administrator has this role or a higher one.
    pub(crate) fn require(&self, role: Role) -> Result<(), ApiError> {
        if self.role >= role {
            return Ok(());
        }
        let detail = format!("{} may not do this: it needs {role:?}", self.name).to_lowercase();
        Err(ApiError::new(403, ProblemKind::Role, detail))
    }
}

/// Returns the administrator whose key is in the request's `authorization` field. Compares the key with those of all
/// administrators, each in constant time, so that the duration reveals nothing about any key.
pub(crate) fn authenticate<'a>(
    administrators: &'a [Administrator],
    request: &Request,
) -> Result<&'a Administrator, ApiError> {
    let Some(credentials) = request.header("authorization") else {
        return Err(unauthorized("no key is shown"));
    };
    let (scheme, key) = credentials.split_once(' ').unwrap_or((credentials, ""));
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(unauthorized("keys are shown as: authorization: Bearer KEY"));
    }
    let hash = blake3::hash(key.trim().as_bytes());
    let mut found = None;
    for administrator in administrators {
        // `blake3::Hash` compares in constant time.
        if blake3::Hash::from_bytes(administrator.key) == hash {
            found = Some(administrator);
        }
    }
    found.ok_or_else(|| unauthorized("nobody has this key"))
}

fn unauthorized(detail: &str) -> ApiError {
    ApiError::new(401, ProblemKind::Key, detail).with_header("www-authenticate", "Bearer realm=\"tideroute\"")
}
