//! A small trainer in virtual time, which checks every sample.

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

/// The longest wait of one pull.
const PULL_WAIT: Duration = Duration::from_millis(500);

/// How long a request may stay open before the trainer asks again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The most samples of one answer.
const MAX_SAMPLES: u32 = 64;

/// How a trainer behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Groups a step.
    pub group_count: u32,
    /// Samples a group.
    pub samples_per_group: u32,
    /// The most tokens of one sample.
    pub max_tokens: u32,
    /// Tokens of each prompt.
    pub prompt_tokens: u32,
    /// How long it trains on a whole step.
    pub train_time: Duration,
    /// Whether it submits the next step before it trains on the last.
    pub ahead: bool,
    /// When it submits no further step.
    pub until: Timestamp,
}

/// What a trainer asks of the service.
#[derive(Clone, Debug)]
pub enum Request {
    /// Take a step.
    Submit(Arc<StepSpec>),
    /// Hand over samples.
    Pull(Pull),
}

/// What a trainer counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Steps that became whole.
    pub whole_steps: u64,
    /// Samples that it took.
    pub samples: u64,
    /// Tokens of those samples.
    pub tokens: u64,
    /// Samples that it held already.
    pub duplicates: u64,
    /// Samples whose segments differ from what truly made them.
    pub misreported: u64,
    /// Samples older than the bound.
    pub stale: u64,
    /// The ages of all samples, summed up.
    pub age_versions: u64,
    /// How long it waited for samples.
    pub idle: Duration,
    /// How long each whole step took from its submission.
    pub step_times: Vec<Duration>,
}

/// What the trainer does now.
#[derive(Debug)]
enum Phase {
    /// It waits for the samples of its step.
    Waiting { since: Timestamp },
    /// It trains until then.
    Training { until: Timestamp },
    /// It asks for nothing any more.
    Done,
}

/// A trainer.
#[derive(Debug)]
pub struct Trainer {
    row: RowId,
    config: Config,
    seed: u64,
    bound: WeightVersion,
    phase: Phase,
    step: StepNumber,
    attach: AttachNumber,
    held: BTreeMap<GroupNumber, BTreeSet<SampleIndex>>,
    submitted: BTreeMap<StepNumber, Timestamp>,
    unsubmitted: BTreeSet<StepNumber>,
    /// When the open request was sent.
    open_since: Option<Timestamp>,
    /// Answers to pulls that are still to be lost.
    pub lost_answers: u32,
    /// What it counted.
    pub tally: Tally,
}

impl Trainer {
    /// Makes a trainer that starts at `now`.
    pub fn new(
        row: RowId,
        config: Config,
        seed: u64,
        bound: WeightVersion,
        now: Timestamp,
    ) -> Self {
        Self {
            row,
            config,
            seed,
            bound,
            phase: Phase::Waiting { since: now },
            step: 0,
            attach: 0,
            held: BTreeMap::new(),
            submitted: BTreeMap::new(),
            unsubmitted: BTreeSet::from([0]),
            open_since: None,
            lost_answers: 0,
            tally: Tally::default(),
        }
    }

    /// Forgets what it held of its present step, as a restart does.
    pub fn restart(&mut self) {
        self.held.clear();
        self.open_since = None;
    }

    /// Returns the next request, where one is due.
    pub fn next(&mut self, version: WeightVersion, now: Timestamp) -> Option<Request> {
        if let Phase::Training { until } = self.phase {
            if now < until {
                return self.submit_next(version, now);
            }
            self.begin_step(now);
        }
        if matches!(self.phase, Phase::Done) || self.is_open(now) {
            return None;
        }
        if let Some(request) = self.submit_next(version, now) {
            return Some(request);
        }
        self.open_since = Some(now);
        self.attach += 1;
        Some(Request::Pull(self.pull(version)))
    }

    fn is_open(&self, now: Timestamp) -> bool {
        self.open_since
            .is_some_and(|since| now.saturating_sub(since) < REQUEST_TIMEOUT)
    }

    fn submit_next(&mut self, version: WeightVersion, now: Timestamp) -> Option<Request> {
        if self.is_open(now) {
            return None;
        }
        let step = *self.unsubmitted.first()?;
        self.open_since = Some(now);
        self.submitted.entry(step).or_insert(now);
        Some(Request::Submit(Arc::new(self.spec(step, version))))
    }

    fn begin_step(&mut self, now: Timestamp) {
        self.step += 1;
        self.held.clear();
        self.attach = 0;
        if now >= self.config.until {
            self.phase = Phase::Done;
            return;
        }
        if !self.submitted.contains_key(&self.step) {
            self.unsubmitted.insert(self.step);
        }
        self.phase = Phase::Waiting { since: now };
    }

    fn spec(&self, step: StepNumber, version: WeightVersion) -> StepSpec {
        let groups = (0..self.config.group_count).map(|group| PromptGroup {
            group,
            prompt_tokens: (0..self.config.prompt_tokens)
                .map(|place| group * 4096 + place)
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

    /// Takes in that a step was accepted, or that it was not.
    pub fn accepted(&mut self, step: StepNumber, is_accepted: bool) {
        self.open_since = None;
        if is_accepted {
            self.unsubmitted.remove(&step);
        }
    }

    /// Takes in that the request failed or that the step has to be submitted again.
    pub fn refused(&mut self, step: StepNumber, submit_again: bool) {
        self.open_since = None;
        if submit_again && step == self.step {
            self.unsubmitted.insert(step);
        }
    }

    /// Takes in samples of `step`.
    pub fn take(
        &mut self,
        step: StepNumber,
        samples: &[Arc<Sample>],
        version: WeightVersion,
        now: Timestamp,
    ) {
        self.open_since = None;
        let Phase::Waiting { since } = self.phase else {
            return;
        };
        if step != self.step {
            return;
        }
        for sample in samples {
            self.check(sample, version);
        }
        let held = self.held.values().map(BTreeSet::len).sum::<usize>();
        if held == (self.config.group_count * self.config.samples_per_group) as usize {
            self.finish_step(since, now);
        }
    }

    fn check(&mut self, sample: &Sample, version: WeightVersion) {
        let group = self.held.entry(sample.slot.group).or_default();
        if !group.insert(sample.slot.index) {
            self.tally.duplicates += 1;
            return;
        }
        let age = version.saturating_sub(sample.oldest_version());
        self.tally.samples += 1;
        self.tally.tokens += sample.tokens.len() as u64;
        self.tally.age_versions += age;
        self.tally.stale += u64::from(age > self.bound);
        self.tally.misreported += u64::from(!is_true(sample));
    }

    fn finish_step(&mut self, since: Timestamp, now: Timestamp) {
        self.tally.whole_steps += 1;
        self.tally.idle += now.saturating_sub(since);
        if let Some(submitted_at) = self.submitted.remove(&self.step) {
            self.tally.step_times.push(now.saturating_sub(submitted_at));
        }
        let until = now + self.config.train_time;
        self.phase = Phase::Training { until };
        if self.config.ahead && until < self.config.until {
            self.unsubmitted.insert(self.step + 1);
        }
    }

    /// Counts the wait that is still going on at the end.
    pub fn end(&mut self, now: Timestamp) {
        if let Phase::Waiting { since } = self.phase {
            self.tally.idle += now.saturating_sub(since);
        }
    }
}

/// Says whether the segments cover all tokens and name what made each.
fn is_true(sample: &Sample) -> bool {
    let named = sample.segments.iter().flat_map(|segment| {
        let version = segment.weight_version;
        (0..segment.token_count).map(move |_| version)
    });
    named.eq(sample.tokens.iter().map(|token| true_version(*token)))
}
