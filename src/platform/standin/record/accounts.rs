//! Checks on whose behalf requests run.

use std::collections::BTreeMap;

use super::{super::Sender, Record};

/// Who sent which request, by the identifiers that upstreams see.
#[derive(Clone, Debug, Default)]
pub struct SentRequests {
    senders: BTreeMap<String, Sender>,
}

impl Record {
    /// Records that a request is about to be sent, or an item of a job.
    pub fn add_sent(&mut self, request: impl Into<String>, sender: Sender) {
        self.sent.senders.insert(request.into(), sender);
    }

    /// Records that an upstream runs a request whose headers name `account`, and whether a
    /// key reached the upstream. Nothing is checked in deployments without accounts.
    pub fn add_account_run(&mut self, request: &str, account: Option<&str>, has_key: bool) {
        if self.sent.senders.is_empty() {
            return;
        }
        if has_key {
            self.add_violation("keys-kept-back", request);
        }
        let broken = match (self.sent.senders.get(request), account) {
            (Some(Sender::Account(own)), Some(named)) if own == named => None,
            (Some(Sender::Public), None) => None,
            (Some(Sender::Revoked), _) => Some("removed-keys-refused"),
            (Some(Sender::Unknown), _) => Some("unknown-keys-refused"),
            (Some(Sender::Account(_) | Sender::Public) | None, _) => Some("own-account"),
        };
        if let Some(promise) = broken {
            let sender = self.sent.senders.get(request);
            let seen = format!("{request}: runs for {account:?}, sent by {sender:?}");
            self.add_violation(promise, seen);
        }
    }

    /// Records the status of the answer to a request of any kind.
    pub fn add_key_answer(&mut self, request: &str, sender: &Sender, status: u16) {
        let promise = match sender {
            Sender::Revoked => "removed-keys-refused",
            Sender::Unknown => "unknown-keys-refused",
            Sender::Account(_) | Sender::Public => return,
        };
        self.count(match (sender, status) {
            (Sender::Revoked, 401) => "removed keys denied",
            (Sender::Revoked, _) => "removed keys refused",
            (_, 401) => "unknown keys denied",
            (_, _) => "unknown keys refused",
        });
        // A host without a fresh configuration answers 503, and one that stops 504.
        if !matches!(status, 401 | 503 | 504) {
            self.add_violation(promise, format!("{request}: {status}"));
        }
    }

    /// Records the status of the answer to a call to another account's job.
    pub fn add_foreign_call(&mut self, job: &str, status: u16) {
        self.count("calls to others' jobs");
        if !matches!(status, 404 | 503 | 504) {
            self.add_violation("jobs-are-private", format!("{job}: {status}"));
        }
    }
}
