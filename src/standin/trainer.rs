//! A trainer that asks for steps, checks every sample, and counts its idle time.

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

/// How long a trainer waits before it asks again after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest wait of one pull.
const PULL_WAIT: Duration = Duration::from_millis(500);

/// How long one request of a trainer may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Tells load to end.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Ends the load.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Says whether the load shall end.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// How a trainer behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// The row that it stands in.
    pub row: RowId,
    /// Its key.
    pub token: String,
    /// The balancer before the entry hosts.
    pub balancer: Arc<Balancer>,
    /// Groups a step.
    pub group_count: u32,
    /// Samples a group.
    pub samples_per_group: u32,
    /// The most tokens of one sample.
    pub max_tokens: u32,
    /// How long it trains on a whole step.
    pub train_time: Duration,
    /// The staleness bound of its row.
    pub staleness_bound_versions: WeightVersion,
    /// Seeds its choices.
    pub seed: u64,
}

/// What a trainer saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Steps that became whole.
    pub whole_steps: u64,
    /// Samples that it took.
    pub samples: u64,
    /// Tokens of those samples.
    pub tokens: u64,
    /// Samples that it held already.
    pub duplicate_samples: u64,
    /// Samples whose segments differ from the weights that truly made them.
    pub misreported_samples: u64,
    /// Samples older than the staleness bound.
    pub stale_samples: u64,
    /// Samples by their age in versions.
    pub samples_by_age_versions: BTreeMap<u64, u64>,
    /// Requests that were refused or failed and asked again.
    pub retries: u64,
    /// Time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Time spent in all, in milliseconds.
    pub elapsed_ms: u64,
    /// The last sample id, for `mimosavane explain`.
    pub last_sample_id: String,
}

/// A trainer that runs until its stop time.
#[derive(Debug)]
pub struct Trainer {
    config: Config,
    client: Client,
    rng: Rng,
    version: Arc<AtomicU64>,
    tally: Arc<Mutex<Tally>>,
}

type Holdings = BTreeMap<GroupNumber, BTreeSet<SampleIndex>>;

impl Trainer {
    /// Makes a trainer that has `version` of the weights.
    pub fn new(config: Config, version: Arc<AtomicU64>) -> Self {
        Self {
            client: Client::new(REQUEST_TIMEOUT),
            rng: Rng::seed_from_u64(config.seed),
            version,
            tally: Arc::default(),
            config,
        }
    }

    /// Returns what it saw so far, which stays readable while it runs.
    pub fn tally(&self) -> Arc<Mutex<Tally>> {
        self.tally.clone()
    }

    /// Runs steps until `stop`, and returns what it saw.
    ///
    /// The next step is submitted before it trains on the last, so that the
    /// service can work ahead.
    pub async fn run(mut self, stop: Stop) -> Tally {
        let start = Instant::now();
        let mut step = 0;
        self.submit(step, &stop).await;
        while !stop.is_set() {
            let waited = Instant::now();
            let is_whole = self.collect(step, &stop).await;
            self.note(|tally| {
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
        self.note(|tally| tally.elapsed_ms = millis(start.elapsed()));
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, change: impl FnOnce(&mut Tally)) {
        change(&mut self.lock());
    }

    /// Posts to a ready host; without one, the call counts as failed.
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
            prompt_token_ids: (0..32).map(|place| group * 64 + place).collect(),
            sample_count: self.config.samples_per_group,
            max_tokens: self.config.max_tokens,
        });
        Submission {
            weight_version: self.version.load(Ordering::Relaxed),
            seed: self.config.seed ^ (step << 32),
            groups: groups.collect(),
        }
    }

    /// Submits a step at one entry host after the other until one takes it.
    async fn submit(&mut self, step: StepNumber, stop: &Stop) {
        let submission = self.submission(step);
        let path = self.path(step, "");
        while !stop.is_set() {
            let answer = self.post(&path, &submission).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                return;
            }
            self.note(|tally| tally.retries += 1);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Pulls until the step is whole; returns false where time ran out before.
    async fn collect(&mut self, step: StepNumber, stop: &Stop) -> bool {
        let needed = self.config.group_count * self.config.samples_per_group;
        let mut holdings = Holdings::new();
        let mut attach = 0;
        while count(&holdings) < needed {
            if stop.is_set() {
                return false;
            }
            attach += 1;
            self.pull(step, attach, &mut holdings, stop).await;
        }
        true
    }

    async fn pull(&mut self, step: StepNumber, attach: u64, holdings: &mut Holdings, stop: &Stop) {
        let pull = Pull {
            attach,
            weight_version: self.version.load(Ordering::Relaxed),
            held: held(holdings),
            max_samples: 64,
            wait_ms: millis(PULL_WAIT),
        };
        let path = self.path(step, "/pull");
        match self.post(&path, &pull).await {
            Some(answer) if answer.status.is_success() => {
                let pulled =
                    serde_json::from_slice::<PullResponse>(&answer.body).unwrap_or_default();
                self.take(pulled, pull.weight_version, holdings);
            }
            Some(answer) if answer.status == StatusCode::PRECONDITION_REQUIRED => {
                self.note(|tally| tally.retries += 1);
                self.submit(step, stop).await;
            }
            _ => {
                self.note(|tally| tally.retries += 1);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn take(&self, pulled: PullResponse, version: WeightVersion, holdings: &mut Holdings) {
        for sample in pulled.samples {
            let is_new = holdings
                .entry(sample.group)
                .or_default()
                .insert(sample.index);
            self.note(|tally| {
                if is_new {
                    check(
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

fn check(tally: &mut Tally, sample: &Sample, version: WeightVersion, bound: WeightVersion) {
    tally.samples += 1;
    tally.tokens += sample.token_ids.len() as u64;
    tally.last_sample_id.clone_from(&sample.sample_id);
    if !is_true(sample) {
        tally.misreported_samples += 1;
    }
    let oldest = sample.segments.iter().map(|part| part.weight_version).min();
    let age = version.saturating_sub(oldest.unwrap_or(0));
    *tally.samples_by_age_versions.entry(age).or_default() += 1;
    if age > bound {
        tally.stale_samples += 1;
    }
}

/// Says whether the segments cover all tokens and name what made each.
fn is_true(sample: &Sample) -> bool {
    let named = sample.segments.iter().flat_map(versions);
    let made = sample.token_ids.iter().map(|token| true_version(*token));
    !sample.segments.is_empty() && named.eq(made)
}

fn versions(segment: &Segment) -> impl Iterator<Item = WeightVersion> + use<> {
    let version = segment.weight_version;
    (0..segment.token_count).map(move |_| version)
}

fn count(holdings: &Holdings) -> u32 {
    let slots = holdings.values().map(BTreeSet::len).sum::<usize>();
    u32::try_from(slots).unwrap_or(u32::MAX)
}

fn held(holdings: &Holdings) -> Vec<HeldSlots> {
    holdings
        .iter()
        .map(|(group, indexes)| HeldSlots {
            group: *group,
            indexes: indexes.iter().copied().collect(),
        })
        .collect()
}
