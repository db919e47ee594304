//! Operators who edit the table, and checks of which changes are in force.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng as _;
use serde::Serialize;

use super::{
    StopFlag,
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

/// The interval between edits.
const EDIT_INTERVAL: Duration = Duration::from_millis(700);

/// The interval between checks of the revisions in force. Also the interval
/// between rapid edits.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of one request to the table service.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// The results of the edits and of the checks of the revisions in force.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// The number of accepted changes.
    pub accepted: u64,
    /// The number of changes refused because another operator's change was
    /// applied first.
    pub conflicts: u64,
    /// The number of changes that failed because the table service did not
    /// answer.
    pub failed: u64,
    /// The number of accepted changes that the table does not contain at the end.
    pub lost: u64,
    /// The number of times that a host reverted to a lower revision.
    pub reverted: u64,
    /// The longest time from the acceptance of a change until it was in force on
    /// all hosts, in milliseconds.
    pub in_force_ms: u64,
    /// The number of accepted changes that were not in force on all hosts at the
    /// end.
    pub not_in_force: u64,
}

/// Two operators who edit the same row concurrently.
#[derive(Debug)]
pub struct Editors {
    store: HttpTableService,
    rng: Rng,
    tally: Tally,
    pending: Vec<(Revision, Instant)>,
    revisions: BTreeMap<(HostId, Incarnation), Revision>,
    /// The highest revision of an accepted change, and the weight that it set.
    last_accepted: Option<(Revision, f64)>,
}

impl Editors {
    /// Creates the operators of `cluster`.
    ///
    /// # Errors
    ///
    /// Fails if the address of the table service is not valid.
    pub fn new(cluster: &Cluster, seed: u64) -> Result<Self, crate::store::client::AddressError> {
        let url = cluster.table_url();
        Ok(Self {
            store: HttpTableService::new(url, STORE_TIMEOUT, Budget::default(), seed)?,
            rng: Rng::seed_from_u64(seed),
            tally: Tally::default(),
            pending: Vec::new(),
            revisions: BTreeMap::new(),
            last_accepted: None,
        })
    }

    /// Edits rows and checks revisions until `stop` is set, then waits for up to
    /// `settle` until the last changes are in force.
    pub async fn run(mut self, cluster: &Cluster, stop: &StopFlag, settle: Duration) -> Tally {
        let mut next_edit_at = Instant::now();
        let mut number = 0;
        while !stop.is_set() {
            if Instant::now() >= next_edit_at {
                let pause = match cluster.has_rapid_edits() {
                    true => CHECK_INTERVAL,
                    false => EDIT_INTERVAL,
                };
                next_edit_at = Instant::now() + pause;
                number += 1;
                self.edit_concurrently(number, cluster).await;
            }
            self.check_revisions(cluster);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let settled_at = Instant::now() + settle;
        while Instant::now() < settled_at && !self.pending.is_empty() {
            self.check_revisions(cluster);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        self.tally.not_in_force = self.pending.len() as u64;
        self.check_last_accepted(cluster).await;
        self.tally
    }

    /// Has two operators set the same cell concurrently, both based on the same
    /// version of the row.
    async fn edit_concurrently(&mut self, number: u32, cluster: &Cluster) {
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
        self.record_edit(edits.0, weights[0]);
        self.record_edit(edits.1, weights[1]);
    }

    fn record_edit(&mut self, edited: Result<Revision, EditError>, weight: f64) {
        match edited {
            Ok(revision) => {
                self.tally.accepted += 1;
                // The answers to the two operators may arrive out of order.
                let is_later = self.last_accepted.is_none_or(|(last, _)| revision > last);
                if is_later {
                    self.last_accepted = Some((revision, weight));
                }
                self.pending.push((revision, Instant::now()));
            }
            Err(EditError::Plan(_)) => self.tally.conflicts += 1,
            Err(error) => {
                tracing::debug!(%error, "edit failed");
                self.tally.failed += 1;
            }
        }
    }

    /// Checks the revision that each host has in force: counts reverts, and
    /// records how long changes took to be in force on all hosts.
    fn check_revisions(&mut self, cluster: &Cluster) {
        let mut lowest = Revision::MAX;
        for host in cluster.shared() {
            let revision = host.snapshot.load().rows.revision;
            let host_incarnation = (host.settings.host.id.clone(), host.incarnation);
            let known = self.revisions.entry(host_incarnation).or_default();
            if revision < *known {
                self.tally.reverted += 1;
            }
            *known = revision;
            lowest = lowest.min(revision);
        }
        let tally = &mut self.tally;
        self.pending.retain(|(revision, accepted_at)| {
            let is_pending = *revision > lowest;
            if !is_pending {
                let took = u64::try_from(accepted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                tally.in_force_ms = tally.in_force_ms.max(took);
            }
            is_pending
        });
    }

    /// Counts the last accepted change as lost if the table does not contain its
    /// weight.
    async fn check_last_accepted(&mut self, cluster: &Cluster) {
        let stored = table::read_table(cluster.table.table()).await;
        let weight = stored
            .ok()
            .and_then(|table| table.rows.get(CALLER_ROW).map(|row| row.weight_ratio));
        let expected = self.last_accepted.map(|(_, weight)| weight);
        if expected.is_some() && weight != expected {
            self.tally.lost += 1;
        }
    }
}

/// Returns the highest version of the edited row that a host has in force.
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
