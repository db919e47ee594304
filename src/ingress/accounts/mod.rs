//! The accounts of clients, and how old a host's knowledge of them may be
//! (see docs/design/accounts.md).

mod freshness;

use std::{collections::HashMap, fmt, sync::LazyLock};

pub use self::freshness::{Freshness, StaleConfiguration};
use crate::ids::AccountId;

/// A keyed hash of a client's key.
type KeyHash = [u8; blake3::OUT_LEN];

/// The key under which the keys of clients are hashed, drawn anew by each process. A client
/// cannot choose keys of known hashes, so that the time of a lookup tells nothing of the
/// keys in the table.
static HASH_KEY: LazyLock<KeyHash> = LazyLock::new(rand::random);

fn hash(key: &[u8]) -> KeyHash {
    blake3::keyed_hash(&HASH_KEY, key).into()
}

/// An account as the operator configured it.
#[derive(Clone)]
pub struct Account {
    /// The name of the account.
    pub id: AccountId,
    /// The priority of its requests, which precedes that of their route; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// The keys by which its clients show that they belong to it.
    pub keys: Vec<String>,
}

/// What is known of the account of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The name of the account.
    pub id: AccountId,
    /// The priority of its requests, if it has one of its own.
    pub priority: Option<u32>,
}

/// The accounts of one configuration, by the hashes of their keys.
///
/// # Examples
///
/// ```
/// use mimosavane::ingress::accounts::{Account, Accounts};
///
/// let accounts = Accounts::new([Account {
///     id: "reader".into(),
///     priority: None,
///     keys: vec!["k-1".to_owned()],
/// }]);
/// assert_eq!(accounts.holder(b"k-1").map(|holder| &*holder.id), Some("reader"));
/// assert!(accounts.holder(b"k-2").is_none());
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Accounts {
    holders: Vec<Holder>,
    /// The position in `holders` for each key.
    positions: HashMap<KeyHash, usize>,
}

impl Accounts {
    /// Indexes `accounts`. The keys themselves are not kept.
    pub fn new(accounts: impl IntoIterator<Item = Account>) -> Self {
        let mut index = Self {
            holders: Vec::new(),
            positions: HashMap::new(),
        };
        for account in accounts {
            let position = index.holders.len();
            index.holders.push(Holder {
                id: account.id,
                priority: account.priority,
            });
            index.positions.extend(
                account
                    .keys
                    .iter()
                    .map(|key| (hash(key.as_bytes()), position)),
            );
        }
        index
    }

    /// Returns the account that holds `key`.
    pub fn holder(&self, key: &[u8]) -> Option<&Holder> {
        self.positions
            .get(&hash(key))
            .and_then(|position| self.holders.get(*position))
    }

    /// Returns how many accounts there are.
    pub const fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether there is no account.
    pub const fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns how many keys the accounts have.
    pub fn key_count(&self) -> usize {
        self.positions.len()
    }
}

impl fmt::Debug for Accounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Accounts")
            .field("account_count", &self.len())
            .field("key_count", &self.key_count())
            .finish()
    }
}
