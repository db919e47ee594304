//! Checks the accounts of a configuration and their keys.

use std::collections::HashMap;

use super::{
    MAX_PRIORITY,
    draft::Draft,
    finding::{Finding, Kind},
    place::{AccountField, Place},
};
use crate::ingress::accounts::Account;

/// Appends what is wrong with the accounts. No message contains a key.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let Some(accounts) = &draft.accounts else {
        return;
    };
    check_need(draft, accounts, findings);
    let mut names = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        let mut report = |kind, field, message: String| {
            findings.push(Finding::new(kind, Place::Account(index, field), message));
        };
        if let Some(first) = names.insert(&*account.id, index) {
            let message = format!("account {first} has the name {:?} as well", account.id);
            report(Kind::DuplicateAccount, AccountField::Name, message);
        }
        if !is_sendable(&account.id) {
            let message = format!(
                "the name {:?} cannot be sent to upstreams in a header",
                account.id
            );
            report(Kind::BadAccountName, AccountField::Name, message);
        }
        if account.keys.is_empty() {
            let message = format!("account {:?} has no keys", account.id);
            report(Kind::NoAccountKeys, AccountField::Keys, message);
        }
        if let Some(priority) = account.priority.filter(|priority| *priority > MAX_PRIORITY) {
            let message = format!("the priority {priority} is above {MAX_PRIORITY}");
            report(Kind::PriorityRange, AccountField::Priority, message);
        }
    }
    check_keys(draft, accounts, findings);
}

/// Checks that keys are needed if there are accounts, and the other way round.
fn check_need(draft: &Draft, accounts: &[Account], findings: &mut Vec<Finding>) {
    let is_needed = draft.routes.iter().any(|route| !route.route.is_public);
    let has_keys = accounts.iter().any(|account| !account.keys.is_empty());
    if is_needed && !has_keys {
        let message = "routes need a key, and no account has one: all their requests are rejected";
        findings.push(Finding::new(Kind::NoKeys, Place::Accounts, message));
    }
    if !is_needed && !accounts.is_empty() {
        let message = "no route needs a key";
        findings.push(Finding::new(
            Kind::UnneededAccounts,
            Place::Accounts,
            message,
        ));
    }
}

fn check_keys(draft: &Draft, accounts: &[Account], findings: &mut Vec<Finding>) {
    let max_key_bytes = draft.configuration.limits.max_header_bytes;
    let mut holders: HashMap<&str, (usize, usize)> = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        for (number, key) in account.keys.iter().enumerate() {
            let mut report = |kind, message: String| {
                findings.push(Finding::new(kind, Place::Key(index, number), message));
            };
            if key.is_empty() {
                let message = format!("key {number} of account {:?} is empty", account.id);
                report(Kind::EmptyKey, message);
                continue;
            }
            if !is_sendable(key) || key.len() > max_key_bytes {
                let message = format!(
                    "key {number} of account {:?} cannot be sent in a header",
                    account.id
                );
                report(Kind::UnsendableKey, message);
            }
            match holders.get(&**key) {
                None => {
                    holders.insert(key, (index, number));
                }
                Some((holder, first)) if *holder == index => {
                    let message =
                        format!("account {:?} holds the key as key {first} too", account.id);
                    report(Kind::RepeatedKey, message);
                }
                Some((holder, first)) => {
                    let name = &accounts[*holder].id;
                    let message = format!("account {name:?} holds it as its key {first}");
                    report(Kind::SharedKey, message);
                }
            }
        }
    }
}

/// Returns whether `text` arrives unchanged as the value of a header. Spaces at the ends are
/// removed on the way.
fn is_sendable(text: &str) -> bool {
    let is_printable = |byte: u8| (b' '..=b'~').contains(&byte);
    !text.is_empty() && text.trim() == text && text.bytes().all(is_printable)
}
