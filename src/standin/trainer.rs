//! A stand-in for a trainer, which submits steps, checks every sample and
//! measures its idle time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::StatusCode;
use rand::SeedableRng as _;
use serde::Serialize;

use super::{
    balancer::Balancer,
    client::{Answer, Client},
    engine::true_version,
};
use crate::{
    api::trainer::{Group, HeldSlots, Pull, PullResponse, Sample, Segment, Submission},
    clock::millis,
    control::controller::Rng,
    ids::{GroupNumber, RowId, SampleIndex, StepNumber, WeightVersion},
};

/// The delay before a trainer retries a refused or failed request.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum time for which one pull waits for samples.
const PULL_WAIT: Duration = Duration::from_millis(500);

/// The timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A shared flag that ends the load.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Requests that the load end.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether the load should end.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The configuration of a trainer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The row that it belongs to.
    pub row: RowId,
    /// The key that authenticates it.
    pub token: String,
    /// The balancer in front of the hosts.
    pub balancer: Arc<Balancer>,
    /// The number of groups per step.
    pub group_count: u32,
    /// The number of samples per group.
    pub samples_per_group: u32,
    /// The maximum number of tokens per sample.
    pub max_tokens: u32,
    /// The time for which it trains on a complete step.
    pub train_time: Duration,
    /// The staleness bound of its row.
    pub staleness_bound_versions: WeightVersion,
    /// The seed of its random choices and of its steps.
    pub seed: u64,
}

/// The counts and durations that a trainer measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// The number of completed steps.
    pub whole_steps: u64,
    /// The number of samples received, without duplicates.
    pub samples: u64,
    /// The number of tokens in those samples.
    pub tokens: u64,
    /// The number of samples received more than once.
    pub duplicate_samples: u64,
    /// The number of samples whose segments differ from the weight versions that
    /// generated them.
    pub misreported_samples: u64,
    /// The number of samples older than the staleness bound.
    pub stale_samples: u64,
    /// The number of samples by age in versions.
    pub samples_by_age_versions: BTreeMap<u64, u64>,
    /// The number of requests that were refused or failed and were retried.
    pub retries: u64,
    /// The time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// The total run time, in milliseconds.
    pub elapsed_ms: u64,
    /// The id of the last received sample, for `mimosavane explain`.
    pub last_sample_id: String,
}

/// A trainer that runs until it is stopped.
#[derive(Debug)]
pub struct Trainer {
    config: Config,
    client: Client,
    rng: Rng,
    version: Arc<AtomicU64>,
    tally: Arc<Mutex<Tally>>,
}

type ReceivedSlots = BTreeMap<GroupNumber, BTreeSet<SampleIndex>>;

impl Trainer {
    /// Creates a trainer whose current weight version is read from `version`.
    pub fn new(config: Config, version: Arc<AtomicU64>) -> Self {
        Self {
            client: Client::new(REQUEST_TIMEOUT),
            rng: Rng::seed_from_u64(config.seed),
            version,
            tally: Arc::default(),
            config,
        }
    }

    /// Returns its tally, which can also be read while the trainer runs.
    pub fn tally(&self) -> Arc<Mutex<Tally>> {
        self.tally.clone()
    }

    /// Runs steps until `stop` is set, and returns the tally.
    ///
    /// It submits the next step before it trains on the current one, so that the
    /// service can work ahead.
    pub async fn run(mut self, stop: StopFlag) -> Tally {
        let start = Instant::now();
        let mut step = 0;
        self.submit(step, &stop).await;
        while !stop.is_set() {
            let waited = Instant::now();
            let is_whole = self.collect(step, &stop).await;
            self.update_tally(|tally| {
                tally.idle_ms += millis(waited.elapsed());
                tally.whole_steps += u64::from(is_whole);
            });
            if !is_whole {
                break;
            }
            self.submit(step + 1, &stop).await;
            tokio::time::sleep(self.config.train_time).await;
            step += 1;
        }
        self.update_tally(|tally| tally.elapsed_ms = millis(start.elapsed()));
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_tally(&self, change: impl FnOnce(&mut Tally)) {
        change(&mut self.lock());
    }

    /// Posts `body` to a ready host. Returns `None` if no host is ready or the call
    /// fails.
    async fn post(&mut self, path: &str, body: &impl Serialize) -> Option<Answer> {
        let entry = self.config.balancer.pick(&mut self.rng)?;
        let token = &self.config.token;
        self.client.post(entry, path, token, body).await.ok()
    }

    fn path(&self, step: StepNumber, rest: &str) -> String {
        format!("/v1/trainers/{}/steps/{step}{rest}", self.config.row)
    }

    fn submission(&self, step: StepNumber) -> Submission {
        let groups = (0..self.config.group_count).map(|group| Group {
            group,
            prompt_token_ids: (0..32).map(|position| group * 64 + position).collect(),
            sample_count: self.config.samples_per_group,
            max_tokens: self.config.max_tokens,
        });
        Submission {
            weight_version: self.version.load(Ordering::Relaxed),
            seed: self.config.seed ^ (step << 32),
            groups: groups.collect(),
        }
    }

    /// Submits a step to randomly picked hosts until one accepts it.
    async fn submit(&mut self, step: StepNumber, stop: &StopFlag) {
        let submission = self.submission(step);
        let path = self.path(step, "");
        while !stop.is_set() {
            let answer = self.post(&path, &submission).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                return;
            }
            self.update_tally(|tally| tally.retries += 1);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Pulls samples until the step is complete. Returns false if the load ends
    /// first.
    async fn collect(&mut self, step: StepNumber, stop: &StopFlag) -> bool {
        let needed = self.config.group_count * self.config.samples_per_group;
        let mut received = ReceivedSlots::new();
        let mut attach = 0;
        while slot_count(&received) < needed {
            if stop.is_set() {
                return false;
            }
            attach += 1;
            self.pull(step, attach, &mut received, stop).await;
        }
        true
    }

    async fn pull(
        &mut self,
        step: StepNumber,
        attach: u64,
        received: &mut ReceivedSlots,
        stop: &StopFlag,
    ) {
        let pull = Pull {
            attach,
            weight_version: self.version.load(Ordering::Relaxed),
            held: held_slots(received),
            max_samples: 64,
            wait_ms: millis(PULL_WAIT),
        };
        let path = self.path(step, "/pull");
        match self.post(&path, &pull).await {
            Some(answer) if answer.status.is_success() => {
                let pulled =
                    serde_json::from_slice::<PullResponse>(&answer.body).unwrap_or_default();
                self.record_samples(pulled, pull.weight_version, received);
            }
            Some(answer) if answer.status == StatusCode::PRECONDITION_REQUIRED => {
                self.update_tally(|tally| tally.retries += 1);
                self.submit(step, stop).await;
            }
            _ => {
                self.update_tally(|tally| tally.retries += 1);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn record_samples(
        &self,
        pulled: PullResponse,
        version: WeightVersion,
        received: &mut ReceivedSlots,
    ) {
        for sample in pulled.samples {
            let is_new = received
                .entry(sample.group)
                .or_default()
                .insert(sample.index);
            self.update_tally(|tally| {
                if is_new {
                    check_sample(
                        tally,
                        &sample,
                        version,
                        self.config.staleness_bound_versions,
                    );
                } else {
                    tally.duplicate_samples += 1;
                }
            });
        }
    }
}

fn check_sample(tally: &mut Tally, sample: &Sample, version: WeightVersion, bound: WeightVersion) {
    tally.samples += 1;
    tally.tokens += sample.token_ids.len() as u64;
    tally.last_sample_id.clone_from(&sample.sample_id);
    if !is_reported_correctly(sample) {
        tally.misreported_samples += 1;
    }
    let oldest = sample.segments.iter().map(|part| part.weight_version).min();
    let age = version.saturating_sub(oldest.unwrap_or(0));
    *tally.samples_by_age_versions.entry(age).or_default() += 1;
    if age > bound {
        tally.stale_samples += 1;
    }
}

/// Returns whether the segments cover all tokens and name the weight version
/// that generated each of them.
fn is_reported_correctly(sample: &Sample) -> bool {
    let reported = sample.segments.iter().flat_map(versions);
    let actual = sample.token_ids.iter().map(|token| true_version(*token));
    !sample.segments.is_empty() && reported.eq(actual)
}

fn versions(segment: &Segment) -> impl Iterator<Item = WeightVersion> + use<> {
    let version = segment.weight_version;
    (0..segment.token_count).map(move |_| version)
}

fn slot_count(received: &ReceivedSlots) -> u32 {
    let slots = received.values().map(BTreeSet::len).sum::<usize>();
    u32::try_from(slots).unwrap_or(u32::MAX)
}

fn held_slots(received: &ReceivedSlots) -> Vec<HeldSlots> {
    received
        .iter()
        .map(|(group, indexes)| HeldSlots {
            group: *group,
            indexes: indexes.iter().copied().collect(),
        })
        .collect()
}
