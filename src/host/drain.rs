//! Planned stops of this host, which interrupt no request.
//!
//! The host first fails readiness checks and informs its peers. It then hands
//! over the steps that it owns, while callers still arrive over the load
//! balancer. After the grace period it refuses new work, and exits once no work
//! is open; see docs/design/planned-stops.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::Timestamp,
    control::{
        controller::Round,
        decision::{Decision, Kind},
    },
    ids::{HostId, RowId, StepNumber},
};

/// The time after which an unconfirmed hand-over is retried.
const HAND_OVER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration of the [`Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub own: HostId,
    /// The time for which callers still arrive after readiness checks fail.
    pub grace: Duration,
    /// The maximum duration of the whole stop.
    pub bound: Duration,
}

/// The requester of a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Requester {
    /// The platform, through SIGTERM.
    Signal,
    /// An operator, through `mimosavane drain`.
    Operator(Arc<str>),
}

/// A step that this host owns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnedStep {
    /// The trainer's row.
    pub trainer: RowId,
    /// The trainer's step.
    pub step: StepNumber,
}

/// The open work of this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Whether the server still accepted new work when it counted.
    pub accepting: bool,
    /// The number of requests from callers and trainers without a complete answer.
    pub request_count: usize,
    /// The number of samples that this host dispatches for other hosts.
    pub dispatch_count: usize,
    /// The number of running calls from peers.
    pub peer_call_count: usize,
    /// The steps whose state has not been handed over.
    pub steps: BTreeSet<OwnedStep>,
}

impl OpenWork {
    /// Returns the total number of open items.
    pub fn count(&self) -> usize {
        self.request_count + self.dispatch_count + self.peer_call_count + self.steps.len()
    }
}

/// An input of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A stop of the host was requested.
    Requested(Requester),
    /// The open work, which the server reports at each round of a stop.
    Open(OpenWork),
    /// Another host took over a step.
    HandedOver(OwnedStep),
}

/// The outcome of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// No work was open.
    Finished,
    /// The maximum duration passed while work was open.
    BoundPassed,
}

/// An effect that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fail readiness checks from now on.
    StopReadiness,
    /// Announce to peers, through membership, that this host leaves.
    AnnounceLeaving,
    /// Hand over a step to the host that owns it once this one is gone.
    HandOver(OwnedStep),
    /// Refuse new requests as not run, and close connections when they are idle.
    StopAccepting,
    /// End the process.
    Exit {
        /// The outcome of the stop.
        outcome: Outcome,
        /// The number of items that were still open.
        open_count: usize,
    },
}

/// The phase of a stop.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// No stop was requested.
    #[default]
    Serving,
    /// The stop is announced to peers, and callers still arrive.
    Announced,
    /// New work is refused.
    Finishing,
    /// The process may end.
    Ended,
}

/// Controls a planned stop of this host.
///
/// # Examples
///
/// ```
/// use mimosavane::host::drain::{Config, Controller, Phase};
/// use std::time::Duration;
///
/// let config = Config {
///     own: "entry-1".into(),
///     grace: Duration::from_secs(3),
///     bound: Duration::from_secs(120),
/// };
/// assert_eq!(Controller::new(config).phase(), Phase::Serving);
/// ```
#[derive(Debug)]
pub struct Controller {
    config: Config,
    phase: Phase,
    requested_at: Timestamp,
    /// The last reported open work; reset when a stop is requested.
    open: Option<OpenWork>,
    /// The time at which each unconfirmed hand-over was last sent.
    hand_overs_sent_at: BTreeMap<OwnedStep, Timestamp>,
    handed_over_count: usize,
}

impl Controller {
    /// Creates a controller in the phase [`Phase::Serving`].
    pub fn new(config: Config) -> Self {
        Self {
            config,
            phase: Phase::Serving,
            requested_at: Timestamp::ZERO,
            open: None,
            hand_overs_sent_at: BTreeMap::new(),
            handed_over_count: 0,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }
}

impl crate::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "drain";

    fn run(&mut self, events: impl IntoIterator<Item = Event>, round: Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            match event {
                Event::Requested(requester) => {
                    self.start(&requester, round.now, &mut actions, round.decisions);
                }
                Event::Open(open) => self.open = Some(open),
                Event::HandedOver(step) => self.record_hand_over(&step),
            }
        }
        if matches!(self.phase, Phase::Announced | Phase::Finishing) {
            self.hand_over_steps(round.now, &mut actions);
            self.advance(round.now, &mut actions, round.decisions);
        }
        round.board.draining = self.phase > Phase::Serving;
        round.board.refusing = self.phase > Phase::Announced;
        actions
    }
}

impl Controller {
    /// Starts the stop; further requests have no effect.
    fn start(
        &mut self,
        requester: &Requester,
        now: Timestamp,
        actions: &mut Vec<Action>,
        decisions: &mut Vec<Decision>,
    ) {
        if self.phase != Phase::Serving {
            return;
        }
        self.phase = Phase::Announced;
        self.requested_at = now;
        self.open = None;
        actions.push(Action::StopReadiness);
        actions.push(Action::AnnounceLeaving);
        let mut record =
            Decision::new(Kind::Drain, now, "stop requested").about(self.config.own.clone());
        if let Requester::Operator(name) = requester {
            record = record.about(name.clone());
        }
        decisions.push(record);
    }

    /// Records that another host took over a step.
    fn record_hand_over(&mut self, step: &OwnedStep) {
        self.hand_overs_sent_at.remove(step);
        self.handed_over_count += 1;
        if let Some(open) = &mut self.open {
            open.steps.remove(step);
        }
    }

    /// Hands over each owned step, and retries unconfirmed hand-overs.
    fn hand_over_steps(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(open) = &self.open else {
            return;
        };
        for step in &open.steps {
            let sent_at = self.hand_overs_sent_at.get(step);
            if sent_at.is_some_and(|at| now.saturating_sub(*at) < HAND_OVER_RETRY_INTERVAL) {
                continue;
            }
            self.hand_overs_sent_at.insert(step.clone(), now);
            actions.push(Action::HandOver(step.clone()));
        }
    }

    /// Moves to the next phase if its condition holds.
    fn advance(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
        decisions: &mut Vec<Decision>,
    ) {
        let elapsed = now.saturating_sub(self.requested_at);
        if self.phase == Phase::Announced && elapsed >= self.config.grace {
            self.phase = Phase::Finishing;
            actions.push(Action::StopAccepting);
            decisions.push(self.decision("accepts nothing new", now));
            return;
        }
        if self.phase != Phase::Finishing {
            return;
        }
        let outcome = match &self.open {
            Some(open) if open.count() == 0 && !open.accepting => Outcome::Finished,
            _ if elapsed >= self.config.bound => Outcome::BoundPassed,
            _ => return,
        };
        self.phase = Phase::Ended;
        let open_count = self.open_count();
        actions.push(Action::Exit {
            outcome,
            open_count,
        });
        decisions.push(
            self.decision(outcome.into(), now)
                .figure("handed_over_count", self.handed_over_count as f64)
                .figure("elapsed_ms", elapsed.as_secs_f64() * 1e3),
        );
    }

    /// Returns the number of open items in the last report.
    fn open_count(&self) -> usize {
        self.open.as_ref().map_or(0, OpenWork::count)
    }

    /// Creates a decision record about this host.
    fn decision(&self, what: &'static str, now: Timestamp) -> Decision {
        Decision::new(Kind::Drain, now, what)
            .about(self.config.own.clone())
            .figure("open_count", self.open_count() as f64)
    }
}
