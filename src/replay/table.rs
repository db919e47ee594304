//! Operators and callers in virtual time.

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

/// The time between two tries of an edit.
const EDIT_RETRY: Duration = Duration::from_millis(200);

/// How often an edit is tried.
const MAX_EDIT_TRIES: u32 = 50;

/// An operator's edit that is under way.
#[derive(Clone, Debug)]
pub struct Editor {
    change: Change,
    tries: u32,
}

impl Editor {
    /// Makes the edit of one row.
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
            tries: 0,
        }
    }
}

impl<P: Policy, R: Ranking> World<'_, P, R> {
    /// Tries an edit, and tries it again while the outcome is open.
    pub(super) fn run_edit(&mut self, mut editor: Editor) {
        editor.tries += 1;
        let tried = edit::attempt(&self.store, &editor.change).now_or_never();
        match tried {
            Some(Ok(Attempt::Accepted(accepted))) => {
                self.tally.accepted(accepted.revision, self.now);
            }
            Some(Err(EditError::Plan(_))) => self.tally.conflict_count += 1,
            _ if editor.tries < MAX_EDIT_TRIES => self.after(EDIT_RETRY, Task::Edit(editor)),
            _ => self.tally.unresolved_edit_count += 1,
        }
    }

    /// Runs a caller's call on the host that it asks.
    pub(super) fn call(&mut self, event: Event) {
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
            return self.tally.calls.not_run(key.as_deref());
        }
        let Some(key) = key else {
            return self.tally.calls.run_once(answer_lost);
        };
        let claim = self.claim(&host, row, &key);
        let decided = match self.reaches_store(&host) {
            true => claim::acquire(&self.claims, &claim).now_or_never(),
            false => None,
        };
        match decided {
            Some(Step::Send) if host_dies => {
                self.tally.calls.unknown += 1;
                self.tally.host_killed(&host, self.now);
                self.kill(&host);
            }
            Some(Step::Send) => self.send_claimed(&claim, answer_lost),
            Some(Step::Replay(_)) => self.tally.calls.answered += 1,
            Some(Step::Unknown(_)) => self.tally.calls.unknown += 1,
            _ => self.tally.calls.not_run(Some(&key)),
        }
    }

    fn claim(&mut self, host: &HostId, row: RowId, key: &str) -> Claim {
        Claim {
            key: Key {
                row,
                pool: POOL.to_owned(),
                key: key.to_owned(),
            },
            attempt: u128::from(self.number()),
            host: host.clone(),
            request_digest: key.to_owned(),
            created_at_ms: u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX),
            record: Record::Open,
        }
    }

    /// Sends a call whose claim is held, and records what became of it.
    fn send_claimed(&mut self, claim: &Claim, answer_lost: bool) {
        self.tally.calls.run(&claim.key.key);
        let record = if answer_lost {
            self.tally.calls.unknown += 1;
            Record::Unknown
        } else {
            self.tally.calls.answered += 1;
            Record::Answered(RecordedResponse {
                status: 200,
                content_type: String::new(),
                body_bytes: 0,
                body: Some(Vec::new()),
            })
        };
        // A record that is not written leaves the claim open, which is safe.
        let completed = self.claims.complete(&claim.key, claim.attempt, &record);
        let _ = completed.now_or_never();
    }
}

/// What callers were told, and what ran.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were refused as not run.
    pub not_run: u64,
    /// Calls of which nobody knows.
    pub unknown: u64,
    /// Refusals as not run of calls that had run.
    pub untrue: u64,
    /// How often each keyed call ran.
    pub runs: BTreeMap<String, u64>,
}

impl Calls {
    fn run(&mut self, key: &str) {
        *self.runs.entry(key.to_owned()).or_default() += 1;
    }

    /// Counts a call without a key, which is sent once.
    fn run_once(&mut self, answer_lost: bool) {
        if answer_lost {
            self.unknown += 1;
        } else {
            self.answered += 1;
        }
    }

    /// Counts a refusal as not run, which is untrue where the key has run.
    fn not_run(&mut self, key: Option<&str>) {
        self.not_run += 1;
        if key.is_some_and(|key| self.runs.contains_key(key)) {
            self.untrue += 1;
        }
    }
}
