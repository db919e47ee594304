//! Planned stops of this host, which cut off no request.
//!
//! The order is: readiness off and peers told, then the owned steps handed over
//! while callers still come over the balancer, then nothing new, then the end
//! once nothing is open; see docs/design/planned-stops.md.

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

/// The time after which an unanswered hand-over is repeated.
const HAND_OVER_RETRY: Duration = Duration::from_secs(1);

/// What the controller is set up with.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub own: HostId,
    /// How long callers still arrive after readiness is off.
    pub grace: Duration,
    /// How long the whole stop may take.
    pub bound: Duration,
}

/// Who asked for the stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Requester {
    /// The platform, by SIGTERM.
    Signal,
    /// An operator, by `mimosavane drain`.
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

/// What is open on this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Whether the server still took new work when it counted.
    pub accepting: bool,
    /// Requests of callers and trainers that have no whole answer yet.
    pub request_count: usize,
    /// Samples that this host dispatches for others.
    pub dispatch_count: usize,
    /// Calls of peers that run.
    pub peer_call_count: usize,
    /// Steps whose state is still here.
    pub steps: BTreeSet<OwnedStep>,
}

impl OpenWork {
    /// Returns how much is open in all.
    pub fn count(&self) -> usize {
        self.request_count + self.dispatch_count + self.peer_call_count + self.steps.len()
    }
}

/// What happened outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The host shall stop.
    Requested(Requester),
    /// What is open now; the server reports it at each round of a stop.
    Open(OpenWork),
    /// Another host took a step over.
    HandedOver(OwnedStep),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Nothing was open.
    Finished,
    /// The bound passed while work was open.
    BoundPassed,
}

/// What the code around the controller shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer readiness checks with no from now on.
    StopReadiness,
    /// Tell the peers, over membership.
    AnnounceLeaving,
    /// Give a step to the host that owns it without this one.
    HandOver(OwnedStep),
    /// Refuse new requests as not run, and close connections once idle.
    StopAccepting,
    /// End the process.
    Exit {
        /// How the stop ended.
        outcome: Outcome,
        /// What was still open.
        open_count: usize,
    },
}

/// How far a stop is.
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
    /// No stop was asked for.
    #[default]
    Serving,
    /// The others are told, and callers still arrive.
    Announced,
    /// Nothing new is taken.
    Finishing,
    /// The process may end.
    Ended,
}

/// Leads this host through a planned stop.
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
    /// What was open at the last report of this phase.
    open: Option<OpenWork>,
    /// When each step was last offered.
    offers: BTreeMap<OwnedStep, Timestamp>,
    handed_over_count: usize,
}

impl Controller {
    /// Makes a controller of a host that serves.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            phase: Phase::Serving,
            requested_at: Timestamp::ZERO,
            open: None,
            offers: BTreeMap::new(),
            handed_over_count: 0,
        }
    }

    /// Returns how far the stop is.
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
                Event::HandedOver(step) => self.finish_step(&step),
            }
        }
        if matches!(self.phase, Phase::Announced | Phase::Finishing) {
            self.offer_steps(round.now, &mut actions);
            self.advance(round.now, &mut actions, round.decisions);
        }
        round.board.draining = self.phase > Phase::Serving;
        round.board.refusing = self.phase > Phase::Announced;
        actions
    }
}

impl Controller {
    /// Starts the stop; asking again changes nothing.
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

    /// Notes that a step is with another host.
    fn finish_step(&mut self, step: &OwnedStep) {
        self.offers.remove(step);
        self.handed_over_count += 1;
        if let Some(open) = &mut self.open {
            open.steps.remove(step);
        }
    }

    /// Hands over each owned step, again where no answer came.
    fn offer_steps(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(open) = &self.open else {
            return;
        };
        for step in &open.steps {
            let offered_at = self.offers.get(step);
            if offered_at.is_some_and(|at| now.saturating_sub(*at) < HAND_OVER_RETRY) {
                continue;
            }
            self.offers.insert(step.clone(), now);
            actions.push(Action::HandOver(step.clone()));
        }
    }

    /// Goes on to the next phase where its condition holds.
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
            decisions.push(self.record("accepts nothing new", now));
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
            self.record(outcome.into(), now)
                .figure("handed_over_count", self.handed_over_count as f64)
                .figure("elapsed_ms", elapsed.as_secs_f64() * 1e3),
        );
    }

    /// Returns what is open as far as it is known.
    fn open_count(&self) -> usize {
        self.open.as_ref().map_or(0, OpenWork::count)
    }

    /// Starts a record about this host.
    fn record(&self, what: &'static str, now: Timestamp) -> Decision {
        Decision::new(Kind::Drain, now, what)
            .about(self.config.own.clone())
            .figure("open_count", self.open_count() as f64)
    }
}
