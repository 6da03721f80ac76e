//! Administrators and their authentication by keys.

use crate::api_error::{ApiError, ProblemKind};
use crate::request::Request;

/// What an administrator may do. Each role may do all that the roles before it may.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    /// Read tenants, history and statistics.
    View,
    /// Add, change and remove tenants.
    Operate,
    /// Take snapshots.
    Own,
}

/// Somebody who may use the API.
#[derive(Clone, Debug)]
pub struct Administrator {
    /// The name under which changes are recorded.
    pub name: String,
    /// BLAKE3 hash of the key.
    pub key: [u8; 32],
    /// What the administrator may do.
    pub role: Role,
}

impl Administrator {
    /// Fails unless the administrator has this role or a higher one.
    pub(crate) fn require(&self, role: Role) -> Result<(), ApiError> {
        if self.role >= role {
            return Ok(());
        }
        let detail = format!("{} may not do this: it needs {role:?}", self.name).to_lowercase();
        Err(ApiError::new(403, ProblemKind::Role, detail))
    }
}

/// The administrator whose key the request shows. All keys are compared, each in constant time, so that the time this
/// takes tells nothing about any key.
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
        // The equality of blake3::Hash takes constant time.
        if blake3::Hash::from_bytes(administrator.key) == hash {
            found = Some(administrator);
        }
    }
    found.ok_or_else(|| unauthorized("nobody has this key"))
}

fn unauthorized(detail: &str) -> ApiError {
    ApiError::new(401, ProblemKind::Key, detail).with_header("www-authenticate", "Bearer realm=\"tideroute\"")
}
