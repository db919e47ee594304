//! Hard limits of rows, split among hosts so that they hold in any network
//! partition.
//!
//! Each host owns a fixed part of every limit, by its ordinal. A host that needs
//! more borrows from a peer: the lender gives up the amount before the borrower
//! gains it, and reclaims it only when the borrower has certainly stopped using
//! it. This needs neither a membership view nor a store (see
//! docs/design/limits.md).

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, seq::IteratorRandom};

pub use crate::share::allowance::{Allowance, Allowances, LimitKind, Split};
use crate::{
    clock::Timestamp,
    control::{
        blackboard::Rows,
        controller::{self, Round},
        decision::{Decision, Kind as DecisionKind},
    },
    ids::{HostId, RowId},
};

/// How long a borrower may start work under a loan, counted from its ask.
pub const LOAN_DURATION: Duration = Duration::from_secs(10);

/// How long before its expiry the borrower begins to ask to renew a loan.
const RENEW_BEFORE_EXPIRY: Duration = Duration::from_secs(5);

/// The margin that a lender adds to the duration of a loan, because clocks drift
/// and the borrower may send a start up to
/// [`START_VALIDITY`](crate::share::dispatch::START_VALIDITY) late.
const LENDER_MARGIN: Duration = Duration::from_secs(2);

/// The minimum time between two asks for the same limit.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// How many peers are asked at once.
const ASKED_PEER_COUNT: usize = 2;

/// Identifies a loan; drawn at random by the lender.
pub type LoanId = u64;

/// Identifies an ask; drawn at random by the borrower.
pub type Nonce = u64;

/// A message between hosts about loans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a loan, or to renew one.
    Ask {
        /// Identifies this ask.
        nonce: Nonce,
        /// The row.
        row: RowId,
        /// The limit.
        kind: LimitKind,
        /// How much is needed.
        amount: u64,
        /// The loan to renew; `None` asks for a new one.
        renews: Option<LoanId>,
    },
    /// Grants a loan or its renewal.
    Grant {
        /// The ask that this answers.
        nonce: Nonce,
        /// The loan.
        loan: LoanId,
        /// How much is lent.
        amount: u64,
    },
    /// Returns a loan that the sender no longer uses.
    Return {
        /// The loan.
        loan: LoanId,
    },
}

/// An event since the last round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer sent a message.
    Received {
        /// The peer.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The usage and demand of this host for a limit.
    Usage {
        /// The row.
        row: RowId,
        /// The limit.
        kind: LimitKind,
        /// The amount in use.
        used: u64,
        /// The amount that would be in use without the limit.
        demand: u64,
    },
}

/// An action for the traffic side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send `message`; it may be lost, repeated or late.
    Send {
        /// The peer.
        to: HostId,
        /// The message.
        message: Message,
    },
}

type Key = (RowId, LimitKind);

/// A loan that this host granted.
#[derive(Clone, Debug)]
struct LentLoan {
    key: Key,
    to: HostId,
    nonce: Nonce,
    amount: u64,
    /// When the borrower has certainly stopped using the loan.
    reclaim_at: Timestamp,
}

/// A loan that this host received.
#[derive(Clone, Debug)]
struct BorrowedLoan {
    key: Key,
    from: HostId,
    amount: u64,
    expires_at: Timestamp,
    /// The limit when the loan was granted; the loan is void under a lower one.
    limit: u64,
}

/// An ask that has not been granted yet.
#[derive(Clone, Debug)]
struct PendingAsk {
    key: Key,
    to: HostId,
    at: Timestamp,
    renews: Option<LoanId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    used: u64,
    demand: u64,
}

/// Tracks one host's part of all limits.
///
/// Each round must include the current [`Event::Usage`], and no work may start
/// between that event and the [`Controller::allowances`] that result from it.
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
/// // Requests and loans of the previous process may still be open for a while.
/// assert_eq!(quota.allowances(&rows, Duration::ZERO)["guides"].running_samples, Some(0));
/// let later = Duration::from_secs(200);
/// assert_eq!(quota.allowances(&rows, later)["guides"].running_samples, Some(2));
/// ```
#[derive(Debug)]
pub struct Controller {
    host: HostId,
    split: Split,
    started_at: Timestamp,
    lent: BTreeMap<LoanId, LentLoan>,
    borrowed: BTreeMap<LoanId, BorrowedLoan>,
    pending_asks: BTreeMap<Nonce, PendingAsk>,
    last_ask_at: BTreeMap<Key, Timestamp>,
    usage: BTreeMap<Key, Usage>,
}

impl Controller {
    /// Creates the controller of `host`, which starts at `now`.
    pub fn new(host: impl Into<HostId>, split: Split, now: Timestamp) -> Self {
        Self {
            host: host.into(),
            split,
            started_at: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending_asks: BTreeMap::new(),
            last_ask_at: BTreeMap::new(),
            usage: BTreeMap::new(),
        }
    }

    /// Returns how much of a limit this host may use, or `None` if there is no
    /// limit.
    pub fn allowed(
        &self,
        rows: &Rows,
        row: &RowId,
        kind: LimitKind,
        now: Timestamp,
    ) -> Option<u64> {
        let limit = kind.limit(rows.rows.get(row)?)?;
        let borrowed: u64 = self
            .borrowed
            .values()
            .filter(|loan| loan.key.0 == *row && loan.key.1 == kind)
            .filter(|loan| now < loan.expires_at && loan.limit <= limit)
            .map(|loan| loan.amount)
            .sum();
        Some(self.available_part(row, kind, limit, now) + borrowed)
    }

    /// Returns this host's part of the limits on samples and tokens.
    pub fn allowances(&self, rows: &Rows, now: Timestamp) -> Allowances {
        rows.rows
            .keys()
            .map(|row| {
                let allowance = Allowance {
                    running_samples: self.allowed(rows, row, LimitKind::RunningSamples, now),
                    rate_tokens_per_s: self.allowed(rows, row, LimitKind::TokenRate, now),
                };
                (row.clone(), allowance)
            })
            .collect()
    }

    /// Returns what is left of this host's own part after lending, or 0 while
    /// requests and loans of the previous process may still be open.
    fn available_part(&self, row: &RowId, kind: LimitKind, limit: u64, now: Timestamp) -> u64 {
        let quarantine = LOAN_DURATION + LENDER_MARGIN + self.split.use_after_expiry(kind);
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
            } => self.answer_ask(from, nonce, (row, kind), amount, renews, round),
            Message::Grant {
                nonce,
                loan,
                amount,
            } => {
                self.accept_grant(from, nonce, loan, amount, round);
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

    /// Answers an ask: renews a loan, or lends at most half of what this host does
    /// not need itself.
    fn answer_ask(
        &mut self,
        from: HostId,
        nonce: Nonce,
        key: Key,
        amount: u64,
        renews: Option<LoanId>,
        round: &mut Round<'_>,
    ) -> Option<Action> {
        let reclaim_at =
            round.now + LOAN_DURATION + LENDER_MARGIN + self.split.use_after_expiry(key.1);
        let limit = key.1.limit(round.board.rows.rows.get(&key.0)?)?;
        let usage = self.usage.get(&key).copied().unwrap_or_default();
        let available = self.available_part(&key.0, key.1, limit, round.now);
        if let Some(id) = renews {
            let loan = self.lent.get_mut(&id).filter(|loan| loan.to == from)?;
            if usage.demand > available {
                return None;
            }
            loan.reclaim_at = loan.reclaim_at.max(reclaim_at);
            return Some(grant(from, nonce, id, loan.amount));
        }
        if let Some((id, loan)) = self
            .lent
            .iter()
            .find(|(_, loan)| loan.to == from && loan.nonce == nonce)
        {
            return Some(grant(from, nonce, *id, loan.amount));
        }
        let spare = available.saturating_sub(usage.used.max(usage.demand));
        let amount = amount.min(spare.div_ceil(2));
        if amount == 0 {
            return None;
        }
        let id = round.rng.random();
        let lent = LentLoan {
            key,
            to: from.clone(),
            nonce,
            amount,
            reclaim_at,
        };
        self.lent.insert(id, lent);
        Some(grant(from, nonce, id, amount))
    }

    /// Records a granted loan or renewal. It runs from the time of the ask, which is
    /// before the lender granted it.
    fn accept_grant(
        &mut self,
        from: HostId,
        nonce: Nonce,
        id: LoanId,
        amount: u64,
        round: &mut Round<'_>,
    ) {
        if self
            .pending_asks
            .get(&nonce)
            .is_none_or(|asked| asked.to != from)
        {
            return;
        }
        let Some(asked) = self.pending_asks.remove(&nonce) else {
            return;
        };
        let expires_at = asked.at + LOAN_DURATION;
        if let Some(renewed) = asked.renews {
            if let Some(loan) = self.borrowed.get_mut(&renewed).filter(|_| renewed == id) {
                loan.expires_at = loan.expires_at.max(expires_at);
            }
            return;
        }
        let row = round.board.rows.rows.get(&asked.key.0);
        let Some(limit) = row.and_then(|row| asked.key.1.limit(row)) else {
            return;
        };
        let loan = BorrowedLoan {
            key: asked.key,
            from,
            amount,
            expires_at,
            limit,
        };
        self.borrowed.insert(id, loan);
    }

    /// Removes lent loans that can be reclaimed, expired borrowed loans and expired
    /// asks.
    fn expire(&mut self, now: Timestamp) {
        self.lent.retain(|_, loan| now < loan.reclaim_at);
        self.borrowed.retain(|_, loan| now < loan.expires_at);
        self.pending_asks
            .retain(|_, asked| now < asked.at + LOAN_DURATION);
    }

    /// Returns loans that are no longer needed, once nothing runs under them.
    fn return_unneeded(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let ids: Vec<LoanId> = self.borrowed.keys().copied().collect();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else {
                continue;
            };
            let usage = self.usage.get(&loan.key).copied().unwrap_or_default();
            let allowed = self.allowed(&round.board.rows, &loan.key.0, loan.key.1, round.now);
            let allowed_without = allowed.unwrap_or(u64::MAX).saturating_sub(loan.amount);
            if usage.demand.max(usage.used) > allowed_without {
                continue;
            }
            actions.push(Action::Send {
                to: loan.from.clone(),
                message: Message::Return { loan: id },
            });
            self.borrowed.remove(&id);
            self.pending_asks
                .retain(|_, asked| asked.renews != Some(id));
        }
        actions
    }

    fn renew_loans(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let due: Vec<(LoanId, BorrowedLoan)> = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.expires_at.saturating_sub(round.now) <= RENEW_BEFORE_EXPIRY)
            .filter(|(id, _)| {
                let mut asked = self.pending_asks.values();
                !asked
                    .any(|asked| asked.renews == Some(**id) && round.now < asked.at + ASK_INTERVAL)
            })
            .map(|(id, loan)| (*id, loan.clone()))
            .collect();
        due.into_iter()
            .map(|(id, loan)| self.ask(loan.from, loan.key, loan.amount, Some(id), round))
            .collect()
    }

    /// Asks a few peers to lend the demand that exceeds the allowance.
    fn borrow(&mut self, round: &mut Round<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, usage) in self.usage.clone() {
            let allowed = self.allowed(&round.board.rows, &key.0, key.1, round.now);
            let missing = usage.demand.saturating_sub(allowed.unwrap_or(u64::MAX));
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
        let asked = PendingAsk {
            key: key.clone(),
            to: to.clone(),
            at: round.now,
            renews,
        };
        self.pending_asks.insert(nonce, asked);
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
                    demand,
                } => {
                    self.usage.insert((row, kind), Usage { used, demand });
                }
            }
        }
        // Messages come after all usage events: lending depends on the usage of this
        // round.
        let mut actions = Vec::new();
        for (from, message) in received {
            actions.extend(self.receive(from, message, &mut round));
        }
        actions.extend(self.return_unneeded(&mut round));
        actions.extend(self.renew_loans(&mut round));
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
