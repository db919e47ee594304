//! A simulated trainer in virtual time, which checks every sample.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    ids::{AttachNumber, GroupNumber, RowId, SampleIndex, StepNumber, TokenId, WeightVersion},
    standin::engine::true_version,
    step::{
        attach::{HeldGroup, Pull},
        sample::Sample,
        spec::{PromptGroup, StepSpec},
    },
};

/// The maximum time that one pull waits for samples.
const PULL_WAIT: Duration = Duration::from_millis(500);

/// How long a request may stay unanswered before the trainer retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of samples per answer.
const MAX_SAMPLES: u32 = 64;

/// The configuration of a trainer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of groups per step.
    pub group_count: u32,
    /// The number of samples per group.
    pub samples_per_group: u32,
    /// The maximum number of tokens per sample.
    pub max_tokens: u32,
    /// The number of tokens per prompt.
    pub prompt_tokens: u32,
    /// How long the trainer trains on a whole step.
    pub train_time: Duration,
    /// Whether the trainer submits the next step before it trains on the last.
    pub submits_ahead: bool,
    /// The time from which the trainer submits no further step.
    pub submit_until: Timestamp,
}

/// A request of a trainer to the service.
#[derive(Clone, Debug)]
pub enum Request {
    /// Submits a step.
    Submit(Arc<StepSpec>),
    /// Pulls samples.
    Pull(Pull),
}

/// What a trainer has counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// The number of steps of which all samples arrived.
    pub whole_step_count: u64,
    /// The number of received samples, without duplicates.
    pub sample_count: u64,
    /// The number of tokens in those samples.
    pub token_count: u64,
    /// The number of samples that the trainer had already received.
    pub duplicate_count: u64,
    /// The number of samples whose segments name other weight versions than those
    /// that generated them.
    pub misreported_count: u64,
    /// The number of samples that exceed the staleness bound.
    pub stale_count: u64,
    /// The sum of the ages of all samples.
    pub total_age_versions: u64,
    /// How long the trainer waited for samples.
    pub idle_time: Duration,
    /// The time from the submission of each whole step to its last sample.
    pub step_times: Vec<Duration>,
}

/// The phase that a trainer is in.
#[derive(Debug)]
enum Phase {
    /// The trainer waits for the samples of its step.
    Waiting { since: Timestamp },
    /// The trainer trains until `until`.
    Training { until: Timestamp },
    /// The trainer sends no further requests.
    Done,
}

/// A simulated trainer.
#[derive(Debug)]
pub struct Trainer {
    row: RowId,
    config: Config,
    seed: u64,
    /// The staleness bound of the trainer's row.
    max_age_versions: WeightVersion,
    phase: Phase,
    step: StepNumber,
    attach: AttachNumber,
    /// The samples of the current step that have been received.
    held: BTreeMap<GroupNumber, BTreeSet<SampleIndex>>,
    /// When each unfinished step was first submitted.
    submitted_at: BTreeMap<StepNumber, Timestamp>,
    /// The steps whose submission is not accepted yet.
    unsubmitted: BTreeSet<StepNumber>,
    /// When the pending request was sent.
    request_sent_at: Option<Timestamp>,
    /// The number of answers to pulls that are still to be lost.
    pub answers_to_lose: u32,
    /// The counts of the trainer.
    pub counts: Counts,
}

impl Trainer {
    /// Creates a trainer that starts at `now`.
    pub fn new(
        row: RowId,
        config: Config,
        seed: u64,
        max_age_versions: WeightVersion,
        now: Timestamp,
    ) -> Self {
        Self {
            row,
            config,
            seed,
            max_age_versions,
            phase: Phase::Waiting { since: now },
            step: 0,
            attach: 0,
            held: BTreeMap::new(),
            submitted_at: BTreeMap::new(),
            unsubmitted: BTreeSet::from([0]),
            request_sent_at: None,
            answers_to_lose: 0,
            counts: Counts::default(),
        }
    }

    /// Drops the samples of the current step and the pending request, as a restart
    /// of the trainer does.
    pub fn restart(&mut self) {
        self.held.clear();
        self.request_sent_at = None;
    }

    /// Returns the next request, if one is due.
    pub fn next_request(&mut self, version: WeightVersion, now: Timestamp) -> Option<Request> {
        if let Phase::Training { until } = self.phase {
            if now < until {
                return self.submit_next(version, now);
            }
            self.begin_step(now);
        }
        if matches!(self.phase, Phase::Done) || self.has_pending_request(now) {
            return None;
        }
        if let Some(request) = self.submit_next(version, now) {
            return Some(request);
        }
        self.request_sent_at = Some(now);
        self.attach += 1;
        Some(Request::Pull(self.pull(version)))
    }

    fn has_pending_request(&self, now: Timestamp) -> bool {
        self.request_sent_at
            .is_some_and(|since| now.saturating_sub(since) < REQUEST_TIMEOUT)
    }

    fn submit_next(&mut self, version: WeightVersion, now: Timestamp) -> Option<Request> {
        if self.has_pending_request(now) {
            return None;
        }
        let step = *self.unsubmitted.first()?;
        self.request_sent_at = Some(now);
        self.submitted_at.entry(step).or_insert(now);
        Some(Request::Submit(Arc::new(self.spec(step, version))))
    }

    fn begin_step(&mut self, now: Timestamp) {
        self.step += 1;
        self.held.clear();
        self.attach = 0;
        if now >= self.config.submit_until {
            self.phase = Phase::Done;
            return;
        }
        if !self.submitted_at.contains_key(&self.step) {
            self.unsubmitted.insert(self.step);
        }
        self.phase = Phase::Waiting { since: now };
    }

    fn spec(&self, step: StepNumber, version: WeightVersion) -> StepSpec {
        let groups = (0..self.config.group_count).map(|group| PromptGroup {
            group,
            prompt_tokens: (0..self.config.prompt_tokens)
                .map(|position| group * 4096 + position)
                .collect::<Vec<TokenId>>()
                .into(),
            sample_count: self.config.samples_per_group,
            max_tokens: self.config.max_tokens,
        });
        StepSpec {
            trainer: self.row.clone(),
            step,
            weight_version: version,
            groups: groups.collect(),
            seed: self.seed ^ (step << 32),
        }
    }

    fn pull(&self, version: WeightVersion) -> Pull {
        let held = self.held.iter().map(|(group, indexes)| HeldGroup {
            group: *group,
            indexes: indexes.iter().copied().collect(),
        });
        Pull {
            trainer: self.row.clone(),
            step: self.step,
            attach: self.attach,
            weight_version: version,
            held: held.collect(),
            max_samples: MAX_SAMPLES,
            wait: PULL_WAIT,
        }
    }

    /// Records whether the submission of `step` was accepted.
    pub fn record_submit_result(&mut self, step: StepNumber, is_accepted: bool) {
        self.request_sent_at = None;
        if is_accepted {
            self.unsubmitted.remove(&step);
        }
    }

    /// Records that the pending request failed and, if `submit_again` is set, that
    /// the step has to be submitted again.
    pub fn record_failure(&mut self, step: StepNumber, submit_again: bool) {
        self.request_sent_at = None;
        if submit_again && step == self.step {
            self.unsubmitted.insert(step);
        }
    }

    /// Records samples of `step`, and ends the step if it is whole.
    pub fn add_samples(
        &mut self,
        step: StepNumber,
        samples: &[Arc<Sample>],
        version: WeightVersion,
        now: Timestamp,
    ) {
        self.request_sent_at = None;
        let Phase::Waiting { since } = self.phase else {
            return;
        };
        if step != self.step {
            return;
        }
        for sample in samples {
            self.record_sample(sample, version);
        }
        let held_count = self.held.values().map(BTreeSet::len).sum::<usize>();
        if held_count == (self.config.group_count * self.config.samples_per_group) as usize {
            self.finish_step(since, now);
        }
    }

    fn record_sample(&mut self, sample: &Sample, version: WeightVersion) {
        let group = self.held.entry(sample.slot.group).or_default();
        if !group.insert(sample.slot.index) {
            self.counts.duplicate_count += 1;
            return;
        }
        let age = version.saturating_sub(sample.oldest_version());
        self.counts.sample_count += 1;
        self.counts.token_count += sample.tokens.len() as u64;
        self.counts.total_age_versions += age;
        self.counts.stale_count += u64::from(age > self.max_age_versions);
        self.counts.misreported_count += u64::from(!has_true_versions(sample));
    }

    fn finish_step(&mut self, since: Timestamp, now: Timestamp) {
        self.counts.whole_step_count += 1;
        self.counts.idle_time += now.saturating_sub(since);
        if let Some(submitted_at) = self.submitted_at.remove(&self.step) {
            self.counts
                .step_times
                .push(now.saturating_sub(submitted_at));
        }
        let until = now + self.config.train_time;
        self.phase = Phase::Training { until };
        if self.config.submits_ahead && until < self.config.submit_until {
            self.unsubmitted.insert(self.step + 1);
        }
    }

    /// Adds the wait that is in progress at the end of the replay to the idle time.
    pub fn finish(&mut self, now: Timestamp) {
        if let Phase::Waiting { since } = self.phase {
            self.counts.idle_time += now.saturating_sub(since);
        }
    }
}

/// Returns whether the segments cover all tokens and name the weight version
/// that generated each.
fn has_true_versions(sample: &Sample) -> bool {
    let reported_versions = sample.segments.iter().flat_map(|segment| {
        let version = segment.weight_version;
        (0..segment.token_count).map(move |_| version)
    });
    reported_versions.eq(sample.tokens.iter().map(|token| true_version(*token)))
}
