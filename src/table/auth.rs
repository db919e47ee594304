//! Proves who a request comes from.
//!
//! Bearer tokens come from the settings, are compared in constant time and are
//! never logged (see docs/operators/keys.md).

use std::sync::Arc;

use http::{HeaderMap, header::AUTHORIZATION};
use subtle::ConstantTimeEq as _;

use crate::{ids::RowId, settings::KeySettings};

/// The word before the token in the `Authorization` header.
const SCHEME: &str = "bearer";

/// Who a request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// An operator, by the name that history shows.
    Operator(Arc<str>),
    /// The trainer or member of a row.
    Row(RowId),
    /// Nobody that the settings name.
    None,
}

impl Role {
    /// Returns the operator's name, where this is one.
    pub fn operator(&self) -> Option<&str> {
        match self {
            Self::Operator(name) => Some(name),
            Self::Row(_) | Self::None => None,
        }
    }

    /// Says whether this role may see and use what belongs to `row`.
    ///
    /// An operator may not: its key steers shares, and gives no right to the
    /// samples of a member.
    pub fn owns(&self, row: &str) -> bool {
        matches!(self, Self::Row(own) if &**own == row)
    }
}

/// The keys of the settings, in the form that requests are held against.
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
    fleet: Digest,
    has_fleet: bool,
    roles: Vec<(Digest, Role)>,
}

/// Tokens are compared by digest, so that their lengths do not show either.
type Digest = [u8; blake3::OUT_LEN];

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys")
            .field("roles_count", &self.roles.len())
            .finish_non_exhaustive()
    }
}

impl Keys {
    /// Takes the keys over from the settings; an empty token grants nothing.
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
            fleet: digest(&settings.fleet),
            has_fleet: !settings.fleet.is_empty(),
            roles,
        }
    }

    /// Returns the role that the `Authorization` header proves.
    pub fn role(&self, headers: &HeaderMap) -> Role {
        bearer(headers).map_or(Role::None, |token| self.role_of_token(token))
    }

    /// Returns the role that `token` proves, in a time that tells nothing of
    /// the keys.
    pub fn role_of_token(&self, token: &str) -> Role {
        let shown = digest(token);
        let mut found = Role::None;
        for (key, role) in &self.roles {
            if bool::from(key.ct_eq(&shown)) {
                found = role.clone();
            }
        }
        found
    }

    /// Says whether `token` is the secret that the hosts of the fleet share.
    pub fn is_fleet(&self, token: &str) -> bool {
        let same = bool::from(self.fleet.ct_eq(&digest(token)));
        same && self.has_fleet
    }
}

fn digest(token: &str) -> Digest {
    *blake3::hash(token.as_bytes()).as_bytes()
}

/// Returns the bearer token of a request, where it has one.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then_some(token.trim_start())
}
