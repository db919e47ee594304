//! Hard limits of a row, split over hosts so that no partition exceeds them.
//!
//! Each host owns a fixed part of every limit, by its ordinal. A host that needs
//! more borrows from a peer: the lender gives up the amount before the borrower
//! gains it, and takes it back only after the borrower has surely stopped using
//! it. No membership view and no store is involved (see docs/design/limits.md).

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, seq::IteratorRandom};

pub use crate::share::allowance::{Allowance, Allowances, Kind, Split};
use crate::{
    clock::Timestamp,
    control::{
        blackboard::Rows,
        controller::{self, Round},
        decision::{Decision, Kind as DecisionKind},
    },
    ids::{HostId, RowId},
};

/// How long a borrower may start work under a loan, from when it asked.
pub const LOAN_DURATION: Duration = Duration::from_secs(10);

/// The part of a loan after which the borrower asks to renew it.
const RENEW_AFTER: Duration = Duration::from_secs(5);

/// What a lender adds to each wait: clocks drift, and the borrower may send a
/// start up to [`START_VALIDITY`](crate::share::dispatch::START_VALIDITY) late.
const LENDER_MARGIN: Duration = Duration::from_secs(2);

/// The time between two asks for the same limit.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// The peers that one ask goes to.
const ASKED_PEER_COUNT: usize = 2;

/// Names a loan, drawn at random by its lender.
pub type LoanId = u64;

/// Names one ask, drawn at random by the borrower.
pub type Nonce = u64;

/// What hosts say to each other about limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender needs more.
    Ask {
        /// Names this ask.
        nonce: Nonce,
        /// The row.
        row: RowId,
        /// The limit.
        kind: Kind,
        /// How much is needed.
        amount: u64,
        /// The loan to prolong; `None` asks for a new one.
        renews: Option<LoanId>,
    },
    /// The sender lends.
    Grant {
        /// The ask that this answers.
        nonce: Nonce,
        /// The loan.
        loan: LoanId,
        /// How much is lent.
        amount: u64,
    },
    /// The sender uses a loan no longer.
    Return {
        /// The loan.
        loan: LoanId,
    },
}

/// What happened since the last round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer said something.
    Received {
        /// The peer.
        from: HostId,
        /// What it said.
        message: Message,
    },
    /// How much of a limit this host uses right now, and how much it wants.
    Usage {
        /// The row.
        row: RowId,
        /// The limit.
        kind: Kind,
        /// The amount in use.
        used: u64,
        /// The amount that would be in use without the limit.
        wanted: u64,
    },
}

/// What the traffic side shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message`; it may be lost, repeated or late.
    Send {
        /// The peer.
        to: HostId,
        /// What to say.
        message: Message,
    },
}

type Key = (RowId, Kind);

#[derive(Clone, Debug)]
struct Lent {
    key: Key,
    to: HostId,
    nonce: Nonce,
    amount: u64,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct Borrowed {
    key: Key,
    from: HostId,
    amount: u64,
    until: Timestamp,
    /// The limit when the loan was made; a lower one cancels it.
    limit: u64,
}

#[derive(Clone, Debug)]
struct Asked {
    key: Key,
    to: HostId,
    at: Timestamp,
    renews: Option<LoanId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    used: u64,
    wanted: u64,
}

/// Keeps one host's part of all limits.
///
/// Each round must carry the present [`Event::Usage`], and nothing may start
/// between it and the [`Controller::allowances`] that follow from it.
///
/// # Examples
///
/// ```
/// use mimosavane::{Row, control::blackboard::Rows, share::quota::{Controller, Split}};
/// use std::time::Duration;
///
/// let mut row = Row::new("guides");
/// row.max_running_samples = 24;
/// let mut rows = Rows::default();
/// rows.rows.insert("guides".into(), row.into());
/// let split = Split { ordinal: 3, host_count: 12, max_run: Duration::from_secs(120) };
/// let quota = Controller::new("entry-3", split, Duration::ZERO);
/// // A predecessor's requests and loans may be open for a while after the start.
/// assert_eq!(quota.allowances(&rows, Duration::ZERO)["guides"].running_samples, Some(0));
/// let later = Duration::from_secs(200);
/// assert_eq!(quota.allowances(&rows, later)["guides"].running_samples, Some(2));
/// ```
#[derive(Debug)]
pub struct Controller {
    host: HostId,
    split: Split,
    started_at: Timestamp,
    lent: BTreeMap<LoanId, Lent>,
    borrowed: BTreeMap<LoanId, Borrowed>,
    asked: BTreeMap<Nonce, Asked>,
    last_ask_at: BTreeMap<Key, Timestamp>,
    usage: BTreeMap<Key, Usage>,
}

impl Controller {
    /// Makes the controller of `host`, which starts now.
    pub fn new(host: impl Into<HostId>, split: Split, now: Timestamp) -> Self {
        Self {
            host: host.into(),
            split,
            started_at: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked: BTreeMap::new(),
            last_ask_at: BTreeMap::new(),
            usage: BTreeMap::new(),
        }
    }

    /// Returns what this host may use of one limit, `None` where there is none.
    pub fn allowed(&self, rows: &Rows, row: &RowId, kind: Kind, now: Timestamp) -> Option<u64> {
        let limit = kind.limit(rows.rows.get(row)?)?;
        let borrowed: u64 = self
            .borrowed
            .values()
            .filter(|loan| loan.key.0 == *row && loan.key.1 == kind)
            .filter(|loan| now < loan.until && loan.limit <= limit)
            .map(|loan| loan.amount)
            .sum();
        Some(self.own(row, kind, limit, now) + borrowed)
    }

    /// Returns this host's part of the limits on samples and tokens.
    pub fn allowances(&self, rows: &Rows, now: Timestamp) -> Allowances {
        rows.rows
            .keys()
            .map(|row| {
                let allowance = Allowance {
                    running_samples: self.allowed(rows, row, Kind::RunningSamples, now),
                    rate_tokens_per_s: self.allowed(rows, row, Kind::TokenRate, now),
                };
                (row.clone(), allowance)
            })
            .collect()
    }

    /// Returns what is left of this host's own part after lending.
    fn own(&self, row: &RowId, kind: Kind, limit: u64, now: Timestamp) -> u64 {
        let quarantine = LOAN_DURATION + LENDER_MARGIN + self.split.tail(kind);
        if now.saturating_sub(self.started_at) < quarantine {
            return 0;
        }
        let lent: u64 = self
            .lent
            .values()
            .filter(|loan| loan.key.0 == *row && loan.key.1 == kind)
            .map(|loan| loan.amount)
            .sum();
        self.split.part(row, limit).saturating_sub(lent)
    }

    fn receive(&mut self, from: HostId, message: Message, round: &mut Round<'_>) -> Option<Action> {
        match message {
            Message::Ask {
                nonce,
                row,
                kind,
                amount,
                renews,
            } => self.answer(from, nonce, (row, kind), amount, renews, round),
            Message::Grant {
                nonce,
                loan,
                amount,
            } => {
                self.accept(from, nonce, loan, amount, round);
                None
            }
            Message::Return { loan } => {
                if self.lent.get(&loan).is_some_and(|lent| lent.to == from) {
                    self.lent.remove(&loan);
                }
                None
            }
        }
    }

    /// Lends at most half of what is not used here, or prolongs a loan.
    fn answer(
        &mut self,
        from: HostId,
        nonce: Nonce,
        key: Key,
        amount: u64,
        renews: Option<LoanId>,
        round: &mut Round<'_>,
    ) -> Option<Action> {
        let until = round.now + LOAN_DURATION + LENDER_MARGIN + self.split.tail(key.1);
        let limit = key.1.limit(round.board.rows.rows.get(&key.0)?)?;
        let usage = self.usage.get(&key).copied().unwrap_or_default();
        let own = self.own(&key.0, key.1, limit, round.now);
        if let Some(id) = renews {
            let loan = self.lent.get_mut(&id).filter(|loan| loan.to == from)?;
            if usage.wanted > own {
                return None;
            }
            loan.until = loan.until.max(until);
            return Some(grant(from, nonce, id, loan.amount));
        }
        if let Some((id, loan)) = self
            .lent
            .iter()
            .find(|(_, loan)| loan.to == from && loan.nonce == nonce)
        {
            return Some(grant(from, nonce, *id, loan.amount));
        }
        let spare = own.saturating_sub(usage.used.max(usage.wanted));
        let amount = amount.min(spare.div_ceil(2));
        if amount == 0 {
            return None;
        }
        let id = round.rng.random();
        let lent = Lent {
            key,
            to: from.clone(),
            nonce,
            amount,
            until,
        };
        self.lent.insert(id, lent);
        Some(grant(from, nonce, id, amount))
    }

    /// Counts a loan from when it was asked for, which is before it was made.
    fn accept(
        &mut self,
        from: HostId,
        nonce: Nonce,
        id: LoanId,
        amount: u64,
        round: &mut Round<'_>,
    ) {
        if self.asked.get(&nonce).is_none_or(|asked| asked.to != from) {
            return;
        }
        let Some(asked) = self.asked.remove(&nonce) else {
            return;
        };
        let until = asked.at + LOAN_DURATION;
        if let Some(renewed) = asked.renews {
            if let Some(loan) = self.borrowed.get_mut(&renewed).filter(|_| renewed == id) {
                loan.until = loan.until.max(until);
            }
            return;
        }
        let row = round.board.rows.rows.get(&asked.key.0);
        let Some(limit) = row.and_then(|row| asked.key.1.limit(row)) else {
            return;
        };
        let loan = Borrowed {
            key: asked.key,
            from,
            amount,
            until,
            limit,
        };
        self.borrowed.insert(id, loan);
    }

    /// Forgets what has run out on either side.
    fn expire(&mut self, now: Timestamp) {
        self.lent.retain(|_, loan| now < loan.until);
        self.borrowed.retain(|_, loan| now < loan.until);
        self.asked.retain(|_, asked| now < asked.at + LOAN_DURATION);
    }

    /// Gives loans back that are not needed, once nothing runs under them.
    fn give_back(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let ids: Vec<LoanId> = self.borrowed.keys().copied().collect();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else {
                continue;
            };
            let usage = self.usage.get(&loan.key).copied().unwrap_or_default();
            let allowed = self.allowed(&round.board.rows, &loan.key.0, loan.key.1, round.now);
            let without = allowed.unwrap_or(u64::MAX).saturating_sub(loan.amount);
            if usage.wanted.max(usage.used) > without {
                continue;
            }
            actions.push(Action::Send {
                to: loan.from.clone(),
                message: Message::Return { loan: id },
            });
            self.borrowed.remove(&id);
            self.asked.retain(|_, asked| asked.renews != Some(id));
        }
        actions
    }

    fn renew(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let due: Vec<(LoanId, Borrowed)> = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.until.saturating_sub(round.now) <= RENEW_AFTER)
            .filter(|(id, _)| {
                let mut asked = self.asked.values();
                !asked
                    .any(|asked| asked.renews == Some(**id) && round.now < asked.at + ASK_INTERVAL)
            })
            .map(|(id, loan)| (*id, loan.clone()))
            .collect();
        due.into_iter()
            .map(|(id, loan)| self.ask(loan.from, loan.key, loan.amount, Some(id), round))
            .collect()
    }

    /// Asks a few peers for what is wanted beyond the allowance.
    fn borrow(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, usage) in self.usage.clone() {
            let allowed = self.allowed(&round.board.rows, &key.0, key.1, round.now);
            let missing = usage.wanted.saturating_sub(allowed.unwrap_or(u64::MAX));
            let last = self.last_ask_at.get(&key);
            if missing == 0 || last.is_some_and(|last| round.now < *last + ASK_INTERVAL) {
                continue;
            }
            self.last_ask_at.insert(key.clone(), round.now);
            let peers: Vec<HostId> = round
                .board
                .hosts
                .live()
                .filter(|host| host.id != self.host)
                .map(|host| host.id.clone())
                .choose_multiple(round.rng, ASKED_PEER_COUNT);
            for peer in peers {
                actions.push(self.ask(peer, key.clone(), missing, None, round));
            }
            round.decisions.push(
                Decision::new(DecisionKind::Overload, round.now, "limit reached")
                    .about(key.0.clone())
                    .about(key.1.to_string())
                    .figure("missing_count", missing as f64),
            );
        }
        actions
    }

    fn ask(
        &mut self,
        to: HostId,
        key: Key,
        amount: u64,
        renews: Option<LoanId>,
        round: &mut Round<'_>,
    ) -> Action {
        let nonce = round.rng.random();
        let asked = Asked {
            key: key.clone(),
            to: to.clone(),
            at: round.now,
            renews,
        };
        self.asked.insert(nonce, asked);
        Action::Send {
            to,
            message: Message::Ask {
                nonce,
                row: key.0,
                kind: key.1,
                amount,
                renews,
            },
        }
    }
}

impl controller::Controller for Controller {
    type Event = Event;
    type Action = Action;

    const NAME: &'static str = "quota";

    fn run(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        mut round: Round<'_>,
    ) -> Vec<Action> {
        self.expire(round.now);
        let mut received = Vec::new();
        for event in events {
            match event {
                Event::Received { from, message } => received.push((from, message)),
                Event::Usage {
                    row,
                    kind,
                    used,
                    wanted,
                } => {
                    self.usage.insert((row, kind), Usage { used, wanted });
                }
            }
        }
        // What is lent depends on the usage of this round.
        let mut actions = Vec::new();
        for (from, message) in received {
            actions.extend(self.receive(from, message, &mut round));
        }
        actions.extend(self.give_back(&mut round));
        actions.extend(self.renew(&mut round));
        actions.extend(self.borrow(&mut round));
        actions
    }
}

fn grant(to: HostId, nonce: Nonce, loan: LoanId, amount: u64) -> Action {
    Action::Send {
        to,
        message: Message::Grant {
            nonce,
            loan,
            amount,
        },
    }
}
