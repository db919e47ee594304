//! Accounts: keys that change while hosts serve, and clients that try what they may not.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use mimosavane::platform::standin::{
    ACCOUNTS, Client, Cloud, CloudFault, Keyring, MODELS, ONCE_PATH, PUBLIC_PATH, REPEATABLE_PATH,
    ReceivedAnswer, RequestError, Sender, TrainerJob,
};
use nix::sys::signal::Signal;
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator as _;
use tokio::time::sleep;

use crate::{
    fleet::Host,
    proxy::LinkFault,
    scene::{Harness, Seed},
};

/// The ratio of seeds whose deployment has accounts.
const ACCOUNTS_RATIO: f64 = 0.5;

/// The range of the pause between two changes of keys, in milliseconds.
const KEY_PAUSE_MS: std::ops::Range<u64> = 300..1_200;

/// The range of the time for which a host cannot confirm its configuration, in
/// milliseconds: longer than it may accept removed keys.
const ISOLATION_MS: std::ops::Range<u64> = 5_500..8_000;

/// The range of the pause before a host is isolated, in milliseconds.
const ISOLATION_PAUSE_MS: std::ops::Range<u64> = 100..1_500;

/// How long after its isolation keys are removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(250);

/// The range of the pause between two outages of the address for duties, in milliseconds.
const CLOUD_PAUSE_MS: std::ops::Range<u64> = 300..2_500;

/// The range of the time of such an outage, in milliseconds.
const CLOUD_FAULT_MS: std::ops::Range<u64> = 300..4_000;

/// The delay between two requests that must be denied.
const PROBE_DELAY: Duration = Duration::from_millis(80);

/// What a deployment with accounts has.
pub struct Accounts {
    /// All keys that ever were in force.
    pub keyring: RefCell<Keyring>,
    /// The address to which the platform wants duties sent.
    pub cloud: Rc<Cloud>,
}

/// Returns whether the deployment of `seed` has accounts.
pub fn has_accounts(seed: Seed) -> bool {
    ChaCha8Rng::seed_from_u64(seed.rotate_left(17)).random_bool(ACCOUNTS_RATIO)
}

/// Returns the account of the client or the caller `number`. Half of them are of the large
/// one.
pub const fn account(number: usize) -> &'static str {
    [ACCOUNTS[0], ACCOUNTS[1], ACCOUNTS[0], ACCOUNTS[2]][number % 4]
}

/// Returns the account whose trainer submits `job`, which begins with its model.
pub fn job_account(job: &str) -> &'static str {
    match job.starts_with(MODELS[0].0) {
        true => ACCOUNTS[1],
        false => ACCOUNTS[2],
    }
}

impl Harness {
    /// Lets `client` show `account` for `requests`, and returns the key that it uses;
    /// or `None` in a deployment without accounts.
    pub fn identify(
        &self,
        client: &mut Client,
        account: &str,
        requests: impl IntoIterator<Item = String>,
    ) -> Option<String> {
        let accounts = self.accounts.as_ref()?;
        let keyring = accounts.keyring.borrow();
        let keys = keyring.settled_keys(account);
        let key = keys.choose(&mut rand::rng())?.to_string();
        client.present_keys(&[&key]);
        let mut record = self.record.borrow_mut();
        for request in requests {
            record.add_sent(request, Sender::Account(account.to_owned()));
        }
        Some(key)
    }

    /// Returns whether `answer` denies a key that was removed while it was used.
    pub fn is_denial_of_removed(&self, key: Option<&str>, answer: &ReceivedAnswer) -> bool {
        let (Some(accounts), Some(key)) = (&self.accounts, key) else {
            return false;
        };
        answer.status.as_u16() == 401 && !accounts.keyring.borrow().is_in_force(key)
    }

    /// Sends a request for `account` on a new connection, and again with another key if its
    /// key was removed meanwhile.
    pub async fn send_as(
        &self,
        address: SocketAddr,
        account: &str,
        requests: impl IntoIterator<Item = String> + Clone,
        send: impl AsyncFn(&mut Client) -> Result<ReceivedAnswer, RequestError>,
    ) -> Result<ReceivedAnswer, RequestError> {
        loop {
            let mut client = Client::connect(address).await?;
            let key = self.identify(&mut client, account, requests.clone());
            // Accounts that clients name themselves must be ignored.
            if key.is_some() && rand::rng().random_bool(0.5) {
                client.claim_account(ACCOUNTS[3]);
            }
            let answer = send(&mut client).await?;
            if !self.is_denial_of_removed(key.as_deref(), &answer) {
                return Ok(answer);
            }
            self.record.borrow_mut().count("removed keys replaced");
        }
    }
}

/// Adds and removes keys until `duration` has passed.
pub async fn change_keys(harness: Rc<Harness>, mut random: ChaCha8Rng, duration: Duration) {
    let Some(accounts) = &harness.accounts else {
        return;
    };
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(KEY_PAUSE_MS))).await;
        let account = ACCOUNTS[random.random_range(0..ACCOUNTS.len())];
        let added = accounts.keyring.borrow_mut().add(account);
        let removed = accounts.keyring.borrow_mut().remove_oldest(account);
        harness.log_event(&format!("keys: added {added}, removed {removed:?}"));
        harness.configure();
    }
}

/// Isolates one host at a time until `duration` has passed, and removes keys meanwhile.
pub async fn isolate_hosts(harness: Rc<Harness>, mut random: ChaCha8Rng, duration: Duration) {
    let Some(accounts) = &harness.accounts else {
        return;
    };
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(ISOLATION_PAUSE_MS));
        let time = Duration::from_millis(random.random_range(ISOLATION_MS));
        let choice = random.random_range(0..harness.hosts.len());
        let targets_holder = random.random_bool(0.5);
        let is_frozen = random.random_bool(0.4);
        let faults = [LinkFault::Silence, LinkFault::OneWay, LinkFault::Cut];
        let fault = faults[random.random_range(0..faults.len())];
        sleep(pause).await;
        let holder = harness.holder().filter(|_| targets_holder);
        let host = holder.unwrap_or(&harness.hosts[choice]).clone();
        harness.log_event(&format!(
            "isolate {}, frozen: {is_frozen}, {fault}",
            host.name
        ));
        mark_isolation(&harness, &host);
        match is_frozen {
            true => host.signal(Signal::SIGSTOP),
            false => host.link.set_fault(fault),
        }
        sleep(REMOVAL_DELAY).await;
        let removed: Vec<Option<String>> = ACCOUNTS
            .map(|account| {
                let mut keyring = accounts.keyring.borrow_mut();
                let removed = keyring.remove_oldest(account);
                keyring.add(account);
                removed
            })
            .into();
        harness.configure();
        harness.log_event(&format!("keys: removed {removed:?}"));
        sleep(time.saturating_sub(REMOVAL_DELAY)).await;
        match is_frozen {
            true => host.signal(Signal::SIGCONT),
            false => host.link.set_fault(LinkFault::None),
        }
        mark_isolation(&harness, &host);
        harness.log_event(&format!("{} is isolated no more", host.name));
    }
}

fn mark_isolation(harness: &Harness, host: &Host) {
    host.mark_disturbance();
    harness.mark_disturbance();
    harness.mark_activity();
}

/// Lets the address for duties fail in each way until `duration` has passed.
pub async fn fail_cloud(harness: Rc<Harness>, mut random: ChaCha8Rng, duration: Duration) {
    let Some(accounts) = &harness.accounts else {
        return;
    };
    let faults: Vec<CloudFault> = CloudFault::iter().collect();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(CLOUD_PAUSE_MS))).await;
        let fault = *faults.choose(&mut random).unwrap_or(&CloudFault::Down);
        harness.log_event(&format!("cloud {fault}"));
        accounts.cloud.set_fault(fault);
        sleep(Duration::from_millis(random.random_range(CLOUD_FAULT_MS))).await;
        accounts.cloud.set_fault(CloudFault::None);
    }
}

/// Sends requests to `host` that it must deny or run without an account, until the run ends.
pub async fn probe(harness: Rc<Harness>, host: Rc<Host>) {
    if harness.accounts.is_none() {
        return;
    }
    let mut number = 0_u64;
    while !harness.is_stopping.get() {
        number += 1;
        let id = format!("probe-{}-{number}", host.name);
        // Whether there is an answer does not matter: upstreams show what ran.
        let _ = match number % 8 {
            0 => call_public(&harness, &host, &id).await,
            1 => call_foreign_job(&harness, &host).await,
            2 => call_with(&harness, &host, &id, &[]).await,
            3 => call_with(&harness, &host, &id, &["no-such-key"]).await,
            4 => call_with_several(&harness, &host, &id).await,
            5 => submit_revoked(&harness, &host, &id).await,
            _ => call_revoked(&harness, &host, &id).await,
        };
        sleep(PROBE_DELAY).await;
    }
}

async fn call_with(
    harness: &Harness,
    host: &Host,
    id: &str,
    keys: &[&str],
) -> Result<(), RequestError> {
    let mut client = Client::connect(host.addresses.clients).await?;
    client.present_keys(keys);
    client.claim_account(ACCOUNTS[0]);
    let sender = match (keys, &harness.accounts) {
        ([key], Some(accounts)) => accounts.keyring.borrow().sender(key),
        _ => Sender::Unknown,
    };
    harness.record.borrow_mut().add_sent(id, sender.clone());
    let path = match rand::rng().random_bool(0.5) {
        true => REPEATABLE_PATH,
        false => ONCE_PATH,
    };
    let answer = client.call(path, id).await?;
    let mut record = harness.record.borrow_mut();
    record.add_key_answer(id, &sender, answer.status.as_u16());
    Ok(())
}

/// Returns a key that no host may accept, one of those removed last.
fn revoked_key(harness: &Harness) -> Option<String> {
    let keyring = harness.accounts.as_ref()?.keyring.borrow();
    let keys = keyring.revoked_keys();
    let newest = &keys[keys.len().saturating_sub(ACCOUNTS.len())..];
    newest.choose(&mut rand::rng()).map(|key| key.to_string())
}

async fn call_revoked(harness: &Harness, host: &Host, id: &str) -> Result<(), RequestError> {
    match revoked_key(harness) {
        Some(key) => call_with(harness, host, id, &[&key]).await,
        None => Ok(()),
    }
}

async fn call_with_several(harness: &Harness, host: &Host, id: &str) -> Result<(), RequestError> {
    let keys: Vec<String> = harness.accounts.as_ref().map_or_else(Vec::new, |accounts| {
        let keyring = accounts.keyring.borrow();
        let keys = keyring.settled_keys(ACCOUNTS[0]);
        keys.into_iter().map(str::to_owned).collect()
    });
    match &keys[..] {
        [one, .., other] => call_with(harness, host, id, &[one, other]).await,
        [one] => call_with(harness, host, id, &[one, one]).await,
        [] => Ok(()),
    }
}

async fn submit_revoked(harness: &Harness, host: &Host, id: &str) -> Result<(), RequestError> {
    let Some(key) = revoked_key(harness) else {
        return Ok(());
    };
    let (model, path) = MODELS[1];
    let item = format!("{id}-00");
    let job = TrainerJob {
        id: id.to_owned(),
        model: model.to_owned(),
        step: 0,
        min_version: 1,
        event_counts: [(item.clone(), 1)].into(),
    };
    let mut client = Client::connect(host.addresses.clients).await?;
    client.present_keys(&[&key]);
    harness.record.borrow_mut().add_sent(item, Sender::Revoked);
    let answer = client.submit(path, &job).await?;
    let mut record = harness.record.borrow_mut();
    record.add_key_answer(id, &Sender::Revoked, answer.status.as_u16());
    Ok(())
}

async fn call_public(harness: &Harness, host: &Host, id: &str) -> Result<(), RequestError> {
    let mut client = Client::connect(host.addresses.clients).await?;
    client.claim_account(ACCOUNTS[0]);
    harness.record.borrow_mut().add_sent(id, Sender::Public);
    let answer = client.call(PUBLIC_PATH, id).await?;
    let mut record = harness.record.borrow_mut();
    record.count("public calls");
    if answer.status.is_client_error() && !answer.is_refusal() {
        let seen = format!("{id}: {}", answer.status);
        record.add_violation("proper-calls-allowed", seen);
    }
    Ok(())
}

/// Reads or ends a job of another account.
async fn call_foreign_job(harness: &Harness, host: &Host) -> Result<(), RequestError> {
    let jobs = harness.record.borrow().accepted_jobs();
    let Some(job) = jobs.choose(&mut rand::rng()) else {
        return Ok(());
    };
    let (address, is_read) = (host.addresses.clients, rand::rng().random_bool(0.5));
    let answer = harness
        .send_as(address, ACCOUNTS[3], [], async |client| match is_read {
            true => client.read(job, 0, Duration::ZERO).await,
            false => client.end(job).await,
        })
        .await?;
    let mut record = harness.record.borrow_mut();
    record.add_foreign_call(job, answer.status.as_u16());
    Ok(())
}

/// How long the fleet is left alone before its usage reports must be right: the takeovers
/// of the last faults are over.
pub const UNCALM_TIME: Duration = Duration::from_secs(8);

/// How long it then stays calm: one window at least begins and is due in it.
pub const CALM_TIME: Duration = Duration::from_secs(22);
