//! Operators who edit the table, and a watch over what is in force.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng as _;
use serde::Serialize;

use super::{
    Stop,
    cluster::{CALLER_ROW, Cluster},
};
use crate::{
    control::controller::Rng,
    ids::{HostId, Incarnation, Revision, RowVersion},
    store::{
        TableService,
        client::{Budget, HttpTableService},
    },
    table::{
        self,
        change::{Change, RowEdit},
        edit::{self, EditError},
    },
};

/// The time between two edits.
const EDIT_INTERVAL: Duration = Duration::from_millis(700);

/// The time between two looks at what is in force.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// How long one request to the table service may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the operators and the watch saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that were refused, since another operator was first.
    pub conflicts: u64,
    /// Changes that failed, since the table service did not answer.
    pub failed: u64,
    /// Accepted changes that the table does not hold at the end.
    pub lost: u64,
    /// Times that a host went back to a lower revision.
    pub reverted: u64,
    /// The longest time until a change was in force on all hosts, in
    /// milliseconds.
    pub in_force_ms: u64,
    /// Accepted changes that were not in force on all hosts at the end.
    pub not_in_force: u64,
}

/// Two operators who edit the same row at the same time.
#[derive(Debug)]
pub struct Editors {
    store: HttpTableService,
    rng: Rng,
    tally: Tally,
    waiting: Vec<(Revision, Instant)>,
    seen: BTreeMap<(HostId, Incarnation), Revision>,
    /// The accepted change with the highest revision, and what it set.
    last_accepted: Option<(Revision, f64)>,
}

impl Editors {
    /// Makes the operators of `cluster`.
    ///
    /// # Errors
    ///
    /// Fails where the table service's address is not valid.
    pub fn new(cluster: &Cluster, seed: u64) -> Result<Self, crate::store::client::AddressError> {
        let url = cluster.table_url();
        Ok(Self {
            store: HttpTableService::new(url, STORE_TIMEOUT, Budget::default(), seed)?,
            rng: Rng::seed_from_u64(seed),
            tally: Tally::default(),
            waiting: Vec::new(),
            seen: BTreeMap::new(),
            last_accepted: None,
        })
    }

    /// Edits and watches until `stop`, then waits `settle` for the last
    /// changes to be in force.
    pub async fn run(mut self, cluster: &Cluster, stop: &Stop, settle: Duration) -> Tally {
        let mut next_edit_at = Instant::now();
        let mut number = 0;
        while !stop.is_set() {
            if Instant::now() >= next_edit_at {
                let pause = match cluster.are_edits_hastened() {
                    true => WATCH_INTERVAL,
                    false => EDIT_INTERVAL,
                };
                next_edit_at = Instant::now() + pause;
                number += 1;
                self.edit_twice(number, cluster).await;
            }
            self.watch(cluster);
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        let settled_at = Instant::now() + settle;
        while Instant::now() < settled_at && !self.waiting.is_empty() {
            self.watch(cluster);
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        self.tally.not_in_force = self.waiting.len() as u64;
        self.check_last(cluster).await;
        self.tally
    }

    /// Has two operators set the same cell, each of whom saw the same row.
    async fn edit_twice(&mut self, number: u32, cluster: &Cluster) {
        let Some(version) = base_version(cluster) else {
            return;
        };
        let weights = [f64::from(number % 5 + 1), f64::from(number % 3 + 2)];
        let mut rngs = [self.rng.clone(), Rng::seed_from_u64(u64::from(number))];
        let [first, second] = &mut rngs;
        let edits = tokio::join!(
            set_weight(&self.store, version, ("ana", number, weights[0]), first),
            set_weight(&self.store, version, ("bea", number, weights[1]), second),
        );
        self.note(edits.0, weights[0]);
        self.note(edits.1, weights[1]);
    }

    fn note(&mut self, edited: Result<Revision, EditError>, weight: f64) {
        match edited {
            Ok(revision) => {
                self.tally.accepted += 1;
                // Two operators' answers may arrive in another order.
                let is_later = self.last_accepted.is_none_or(|(last, _)| revision > last);
                if is_later {
                    self.last_accepted = Some((revision, weight));
                }
                self.waiting.push((revision, Instant::now()));
            }
            Err(EditError::Plan(_)) => self.tally.conflicts += 1,
            Err(error) => {
                tracing::debug!(%error, "an edit failed");
                self.tally.failed += 1;
            }
        }
    }

    /// Looks at the revision of each host.
    fn watch(&mut self, cluster: &Cluster) {
        let mut lowest = Revision::MAX;
        for host in cluster.shared() {
            let revision = host.snapshot.load().rows.revision;
            let life = (host.settings.host.id.clone(), host.incarnation);
            let known = self.seen.entry(life).or_default();
            if revision < *known {
                self.tally.reverted += 1;
            }
            *known = revision;
            lowest = lowest.min(revision);
        }
        let tally = &mut self.tally;
        self.waiting.retain(|(revision, accepted_at)| {
            let is_waiting = *revision > lowest;
            if !is_waiting {
                let took = u64::try_from(accepted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                tally.in_force_ms = tally.in_force_ms.max(took);
            }
            is_waiting
        });
    }

    /// Holds the last accepted weight against what the table holds.
    async fn check_last(&mut self, cluster: &Cluster) {
        let held = table::read_table(cluster.table.table()).await;
        let weight = held
            .ok()
            .and_then(|table| table.rows.get(CALLER_ROW).map(|row| row.weight_ratio));
        let expected = self.last_accepted.map(|(_, weight)| weight);
        if expected.is_some() && weight != expected {
            self.tally.lost += 1;
        }
    }
}

/// Returns the version of the edited row that the hosts have in force.
fn base_version(cluster: &Cluster) -> Option<RowVersion> {
    cluster
        .shared()
        .iter()
        .filter_map(|host| {
            let board = host.snapshot.load();
            board.rows.rows.get(CALLER_ROW).map(|row| row.version)
        })
        .max()
}

async fn set_weight(
    store: &impl TableService,
    version: RowVersion,
    (who, number, weight): (&str, u32, f64),
    rng: &mut Rng,
) -> Result<Revision, EditError> {
    let cells = [("weight_ratio".to_owned(), weight.into())];
    let edit = RowEdit::set(CALLER_ROW, version, cells.into_iter().collect());
    let id: Arc<str> = format!("demo-{who}-{number}").into();
    let change = Change::new(id, who, u64::from(number)).edit(edit);
    let accepted = edit::apply(store, &change, rng).await?;
    Ok(accepted.revision)
}
