//! Authenticates the senders of requests.
//!
//! Bearer tokens are configured in the settings, compared in constant time and
//! never logged (see docs/operators/keys.md).

use std::sync::Arc;

use http::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq as _;

use crate::{ids::RowId, settings::KeySettings};

/// The scheme of the `Authorization` header.
const BEARER_SCHEME: &str = "bearer";

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// An operator, by the name that is recorded in the history.
    Operator(Arc<str>),
    /// The trainer or member of a row.
    Row(RowId),
    /// A sender whose key is missing or not in the settings.
    None,
}

impl Role {
    /// Returns the operator's name if the sender is an operator.
    pub fn operator(&self) -> Option<&str> {
        match self {
            Self::Operator(name) => Some(name),
            Self::Row(_) | Self::None => None,
        }
    }

    /// Returns whether this role may access the resources of `row`.
    ///
    /// An operator may not: an operator's key allows editing shares but gives no
    /// access to the samples of a member.
    pub fn owns(&self, row: &str) -> bool {
        matches!(self, Self::Row(own) if &**own == row)
    }
}

/// The keys from the settings, stored as digests.
///
/// # Examples
///
/// ```
/// use mimosavane::{settings::KeySettings, table::auth::{Keys, Role}};
///
/// let mut settings = KeySettings::default();
/// settings.operators.insert("ana".to_owned(), "s3cret-of-ana".to_owned());
/// let keys = Keys::new(&settings);
/// assert_eq!(keys.role_of_token("s3cret-of-ana"), Role::Operator("ana".into()));
/// assert_eq!(keys.role_of_token("guess"), Role::None);
/// ```
#[derive(Clone)]
pub struct Keys {
    fleet_digest: Digest,
    has_fleet_secret: bool,
    roles: Vec<(Digest, Role)>,
}

/// The digest of a token. Comparing digests also hides the token's length.
type Digest = [u8; blake3::OUT_LEN];

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys")
            .field("roles_count", &self.roles.len())
            .finish_non_exhaustive()
    }
}

impl Keys {
    /// Loads the keys from the settings. An empty token grants no access.
    pub fn new(settings: &KeySettings) -> Self {
        let operators = settings
            .operators
            .iter()
            .map(|(name, token)| (token, Role::Operator(name.as_str().into())));
        let rows = settings
            .rows
            .iter()
            .map(|(row, token)| (token, Role::Row(row.clone())));
        let roles = operators
            .chain(rows)
            .filter(|(token, _)| !token.is_empty())
            .map(|(token, role)| (digest(token), role))
            .collect();
        Self {
            fleet_digest: digest(&settings.fleet),
            has_fleet_secret: !settings.fleet.is_empty(),
            roles,
        }
    }

    /// Returns the role of the sender, based on the `Authorization` header.
    pub fn role(&self, headers: &HeaderMap) -> Role {
        bearer_token(headers).map_or(Role::None, |token| self.role_of_token(token))
    }

    /// Returns the role that `token` grants. The comparison takes constant time, so
    /// that it leaks nothing about the keys.
    pub fn role_of_token(&self, token: &str) -> Role {
        let presented = digest(token);
        let mut found = Role::None;
        for (key, role) in &self.roles {
            if bool::from(key.ct_eq(&presented)) {
                found = role.clone();
            }
        }
        found
    }

    /// Returns whether `token` is the shared secret of the fleet's hosts.
    pub fn is_fleet_secret(&self, token: &str) -> bool {
        let is_equal = bool::from(self.fleet_digest.ct_eq(&digest(token)));
        is_equal && self.has_fleet_secret
    }
}

fn digest(token: &str) -> Digest {
    *blake3::hash(token.as_bytes()).as_bytes()
}

/// Returns the bearer token of a request, if any.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(BEARER_SCHEME)
        .then_some(token.trim_start())
}
