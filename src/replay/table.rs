//! Simulates operators that edit the table and callers of plain services.

use std::{collections::BTreeMap, time::Duration};

use futures_util::FutureExt as _;
use serde_json::{Map, Value};

use super::world::{Task, World};
use crate::{
    call::claim::{self, Claim, ClaimStore as _, Key, Record, RecordedResponse, Step},
    engine::routing::Policy,
    ids::{ChangeId, HostId, RowId, RowVersion},
    observe::trace::Event,
    share::fairness::Ranking,
    table::{
        change::{Change, RowEdit},
        edit::{self, Attempt, EditError},
    },
};

/// The pool of the calls in a trace.
const POOL: &str = "orders";

/// The interval between attempts of an edit.
const EDIT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of attempts of an edit.
const MAX_EDIT_ATTEMPTS: u32 = 50;

/// An operator's edit that is not resolved yet.
#[derive(Clone, Debug)]
pub struct PendingEdit {
    change: Change,
    attempt_count: u32,
}

impl PendingEdit {
    /// Creates an edit of one row.
    pub fn new(
        editor: String,
        change: ChangeId,
        row: RowId,
        base_version: RowVersion,
        cells: Map<String, Value>,
    ) -> Self {
        let edit = RowEdit::set(row, base_version, cells);
        Self {
            change: Change::new(change, editor, 0).edit(edit),
            attempt_count: 0,
        }
    }
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Attempts an edit, and schedules a retry while its outcome is unknown.
    pub(super) fn run_edit(&mut self, mut edit: PendingEdit) {
        edit.attempt_count += 1;
        let attempted = edit::attempt(&self.store, &edit.change).now_or_never();
        match attempted {
            Some(Ok(Attempt::Accepted(accepted))) => {
                self.tally.record_accepted(accepted.revision, self.now);
            }
            Some(Err(EditError::Plan(_))) => self.tally.conflict_count += 1,
            _ if edit.attempt_count < MAX_EDIT_ATTEMPTS => {
                self.schedule_after(EDIT_RETRY_INTERVAL, Task::Edit(edit));
            }
            _ => self.tally.unresolved_edit_count += 1,
        }
    }

    /// Runs a call on the host that receives it.
    pub(super) fn run_call(&mut self, event: Event) {
        let Event::Call {
            row,
            host,
            key,
            answer_lost,
            host_dies,
        } = event
        else {
            return;
        };
        let is_up = self
            .nodes
            .get(&host)
            .is_some_and(|node| node.is_running(self.now));
        if !is_up {
            return self.tally.calls.record_not_run(key.as_deref());
        }
        let Some(key) = key else {
            return self.tally.calls.record_unkeyed_run(answer_lost);
        };
        let claim = self.new_claim(&host, row, &key);
        let step = match self.can_reach_store(&host) {
            true => claim::acquire(&self.claims, &claim).now_or_never(),
            false => None,
        };
        match step {
            Some(Step::Send) if host_dies => {
                self.tally.calls.unknown_count += 1;
                self.tally.record_kill(&host, self.now);
                self.kill(&host);
            }
            Some(Step::Send) => self.send_claimed(&claim, answer_lost),
            Some(Step::Replay(_)) => self.tally.calls.answered_count += 1,
            Some(Step::Unknown(_)) => self.tally.calls.unknown_count += 1,
            _ => self.tally.calls.record_not_run(Some(&key)),
        }
    }

    fn new_claim(&mut self, host: &HostId, row: RowId, key: &str) -> Claim {
        Claim {
            key: Key {
                row,
                pool: POOL.to_owned(),
                key: key.to_owned(),
            },
            attempt: u128::from(self.next_number()),
            host: host.clone(),
            request_digest: key.to_owned(),
            created_at_ms: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
            record: Record::Open,
        }
    }

    /// Sends a call whose claim was acquired, and records the outcome.
    fn send_claimed(&mut self, claim: &Claim, answer_lost: bool) {
        self.tally.calls.record_run(&claim.key.key);
        let record = if answer_lost {
            self.tally.calls.unknown_count += 1;
            Record::Unknown
        } else {
            self.tally.calls.answered_count += 1;
            Record::Answered(RecordedResponse {
                status: 200,
                content_type: String::new(),
                body_bytes: 0,
                body: Some(Vec::new()),
            })
        };
        // If the record cannot be written, the claim stays open, which is safe.
        let completed = self.claims.complete(&claim.key, claim.attempt, &record);
        let _ = completed.now_or_never();
    }
}

/// Counts the answers that callers received and the calls that ran.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// The number of calls that were answered.
    pub answered_count: u64,
    /// The number of calls that were refused as not run.
    pub not_run_count: u64,
    /// The number of calls whose outcome is unknown.
    pub unknown_count: u64,
    /// The number of calls that were refused as not run although they had run.
    pub false_refusal_count: u64,
    /// How many times the call with each key ran.
    pub run_counts: BTreeMap<String, u64>,
}

impl Calls {
    fn record_run(&mut self, key: &str) {
        *self.run_counts.entry(key.to_owned()).or_default() += 1;
    }

    /// Records a call without a key, which is sent once.
    fn record_unkeyed_run(&mut self, answer_lost: bool) {
        if answer_lost {
            self.unknown_count += 1;
        } else {
            self.answered_count += 1;
        }
    }

    /// Records a refusal as not run, which is false if the call with this key ran.
    fn record_not_run(&mut self, key: Option<&str>) {
        self.not_run_count += 1;
        if key.is_some_and(|key| self.run_counts.contains_key(key)) {
            self.false_refusal_count += 1;
        }
    }
}
