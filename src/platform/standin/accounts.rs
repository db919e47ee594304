//! The accounts of a stand-in deployment and their keys, which change while hosts serve.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{AUTHORITY, CALLS, Store, configuration};
use crate::platform::names;

/// The accounts. The first is the large one: its clients send more than all others together.
pub const ACCOUNTS: [&str; 4] = ["large", "middle", "small", "idle"];

/// The number of keys that each account has at the start.
const FIRST_KEY_COUNT: usize = 2;

/// The path prefix of idempotent calls that need no key.
pub const PUBLIC_PATH: &str = "/open/";

/// How long after the removal of a key was acknowledged it may still be accepted:
/// `revoke_ms` of the deployment specification.
pub const REVOKE_TIME: Duration = Duration::from_millis(5_000);

/// The length of the windows of usage reports: `report_window_s`.
pub const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// How long after its end the report of a window is due: `usage_late_s`.
pub const USAGE_DUE: Duration = Duration::from_secs(10);

/// Who sent a request, as its key shows when it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The holder of a key that may be accepted.
    Account(String),
    /// A client without a key, on a route that needs none.
    Public,
    /// A client with a key that was removed longer ago than hosts may accept it.
    Revoked,
    /// A client with no key, with several ones or with one that never existed.
    Unknown,
}

#[derive(Clone, Debug)]
struct Key {
    account: &'static str,
    text: String,
    added_at: Instant,
    removed_at: Option<Instant>,
}

/// All keys that ever were in force.
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<Key>,
    revoke_time: Duration,
}

impl Keyring {
    /// Creates the first keys of each account. Hosts may accept removed keys for
    /// `revoke_time`.
    pub fn new(revoke_time: Duration) -> Self {
        let mut keyring = Self {
            keys: Vec::new(),
            revoke_time,
        };
        for account in ACCOUNTS {
            for _ in 0..FIRST_KEY_COUNT {
                keyring.add(account);
            }
        }
        // Hosts learn the first keys before they serve.
        let now = Instant::now();
        for key in &mut keyring.keys {
            key.added_at = now.checked_sub(revoke_time).unwrap_or(now);
        }
        keyring
    }

    /// Adds a key to `account` and returns it.
    pub fn add(&mut self, account: &'static str) -> String {
        let text = format!("key-{account}-{}", self.keys.len());
        self.keys.push(Key {
            account,
            text: text.clone(),
            added_at: Instant::now(),
            removed_at: None,
        });
        text
    }

    /// Removes the oldest key of `account`, if it has another one that all hosts know, and
    /// returns it.
    pub fn remove_oldest(&mut self, account: &str) -> Option<String> {
        let settled = self.settled_keys(account);
        let [oldest, _, ..] = settled[..] else {
            return None;
        };
        let text = oldest.to_owned();
        self.remove(&text);
        Some(text)
    }

    /// Removes `key`.
    pub fn remove(&mut self, key: &str) {
        for known in self.keys.iter_mut().filter(|known| known.text == key) {
            known.removed_at = Some(Instant::now());
        }
    }

    /// Returns the keys of `account` that each host either knows or must know that it may
    /// not know, the oldest first.
    pub fn settled_keys(&self, account: &str) -> Vec<&str> {
        self.keys
            .iter()
            .filter(|key| key.account == account && key.removed_at.is_none())
            .filter(|key| key.added_at.elapsed() >= self.revoke_time)
            .map(|key| &*key.text)
            .collect()
    }

    /// Returns the keys that were removed longer ago than hosts may accept them.
    pub fn revoked_keys(&self) -> Vec<&str> {
        self.keys
            .iter()
            .filter(|key| {
                key.removed_at
                    .is_some_and(|at| at.elapsed() > self.revoke_time)
            })
            .map(|key| &*key.text)
            .collect()
    }

    /// Returns whether `key` is in force.
    pub fn is_in_force(&self, key: &str) -> bool {
        let mut keys = self.keys.iter();
        keys.any(|known| known.text == key && known.removed_at.is_none())
    }

    /// Returns who sends a request with `key` now.
    pub fn sender(&self, key: &str) -> Sender {
        match self.keys.iter().find(|known| known.text == key) {
            None => Sender::Unknown,
            Some(_) if self.revoked_keys().contains(&key) => Sender::Revoked,
            Some(known) => Sender::Account(known.account.to_owned()),
        }
    }

    /// Returns the operator's configuration at `version` with the keys in force and a route
    /// that needs none.
    pub fn configuration(&self, version: u64) -> Value {
        let mut document = configuration(version);
        if let Some(routes) = document["routes"].as_array_mut() {
            routes.push(
                json!({"name": "open", "host": AUTHORITY, "path_prefix": PUBLIC_PATH,
                "kind": "idempotent", "service": CALLS, "max_attempts": 3, "public": true,
                "timeout_ms": 3_000, "target_latency_ms": 150}),
            );
        }
        let tenants = ACCOUNTS.map(|account| {
            let keys = self.keys.iter();
            let in_force: Vec<&str> = keys
                .filter(|key| key.account == account && key.removed_at.is_none())
                .map(|key| &*key.text)
                .collect();
            json!({"name": account, "api_keys": in_force, "priority": 1, "quota": 100})
        });
        document["tenants"] = json!(tenants);
        document
    }

    /// Writes the operator's configuration at `version` to the store.
    pub fn configure(&self, store: &Store, version: u64) {
        let body = self.configuration(version);
        store.write(names::OPERATOR_TABLE, names::CONFIGURATION_KEY, &body);
    }
}
