//! Divides the engines' slots among accounts and priorities while items of several
//! accounts wait (see docs/design/account-shares.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::ids::AccountId;

/// The multiple of its part of the slots above which an account's items go behind those of
/// all others. Up to it, items start by due time.
const MAX_PART_RATIO: f64 = 1.25;

/// The multiple of its part below which an account's items go first. Without it, the
/// excess of several large accounts would use up the parts of small ones.
const MIN_PART_RATIO: f64 = 0.75;

/// How many items of less urgent priorities start, in percent of the more urgent ones that
/// start while they wait.
const MIN_LOW_PRIORITY_PERCENT: u32 = 10;

/// The credit that one start takes from a priority.
const START_CREDIT_PERCENT: u32 = 100;

/// The maximum credit of a priority, so that one whose items could not start for long does
/// not take many starts at once.
const MAX_CREDIT_PERCENT: u32 = 4 * START_CREDIT_PERCENT;

/// Jobs whose items are counted together. Jobs without an account form one of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShareKey {
    pub(super) service: Arc<str>,
    pub(super) priority: u32,
    pub(super) account: Option<AccountId>,
}

/// A priority of a service.
type LevelKey = (Arc<str>, u32);

/// How early a job's items start; the lowest first. Equal where nothing is to be divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job's priority has had its minimum of starts.
    has_minimum: bool,
    priority: u32,
    standing: Standing,
}

/// How many runs an account has, compared to its part of the slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Clearly fewer than its part.
    Below,
    #[default]
    Near,
    /// Clearly more than its part.
    Above,
}

/// What is remembered between two rounds of starts.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    run_counts: BTreeMap<Arc<ShareKey>, usize>,
    /// What less urgent priorities gained while others started.
    credits_percent: BTreeMap<LevelKey, u32>,
    /// The number of runs of each service when its items last found no engine. Memory and
    /// weights may limit them to fewer than there are slots.
    full_run_counts: BTreeMap<Arc<str>, usize>,
    /// The number of starts that went to another item than the most urgent one.
    put_off_count: u64,
}

impl Shares {
    /// Records that a run of a job starts.
    pub(super) fn begin_run(&mut self, key: &Arc<ShareKey>) {
        *self.run_counts.entry(key.clone()).or_default() += 1;
    }

    /// Records that a run of a job has ended.
    pub(super) fn end_run(&mut self, key: &ShareKey) {
        if let Some(count) = self.run_counts.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.run_counts.remove(key);
            }
        }
    }

    /// Records that an item started before a more urgent one of another job.
    pub(super) const fn record_put_off(&mut self) {
        self.put_off_count += 1;
    }

    /// Returns how many starts went to another item than the most urgent one.
    pub(super) const fn put_off_count(&self) -> u64 {
        self.put_off_count
    }

    /// Returns the number of accounts with runs.
    pub(super) fn account_count(&self) -> usize {
        let accounts: BTreeSet<&AccountId> = self
            .run_counts
            .keys()
            .filter_map(|key| key.account.as_ref())
            .collect();
        accounts.len()
    }

    /// Begins a round of starts for the jobs with waiting items, given with the number of
    /// these. `slot_count` returns the number of slots of a service; it is called only for
    /// services that several accounts use.
    pub(super) fn begin_round<'a>(
        &self,
        waiting: impl Iterator<Item = (&'a Arc<ShareKey>, usize)>,
        slot_count: impl Fn(&str) -> usize,
    ) -> Round {
        let mut counts: BTreeMap<Arc<ShareKey>, (usize, usize)> = self
            .run_counts
            .iter()
            .map(|(key, count)| (key.clone(), (*count, 0)))
            .collect();
        for (key, count) in waiting {
            counts.entry(key.clone()).or_default().1 += count;
        }
        let mut round = Round::default();
        // Keys are ordered by service and priority.
        for (key, (run_count, waiting_count)) in counts {
            round.add(key, run_count, waiting_count);
        }
        for service in &mut round.services {
            if service.is_contested() {
                let name: &str = &service.name;
                let full_run_count = self.full_run_counts.get(name).copied();
                service.capacity_count = full_run_count.unwrap_or_else(|| slot_count(name));
            }
        }
        for level in &mut round.levels {
            level.is_contested = round.services[level.service].is_contested();
            level.demand_counts.sort_unstable();
            level.credit_percent = self.credits_percent.get(&level.key).copied().unwrap_or(0);
        }
        round.update_limits();
        round
    }

    /// Ends a round of starts.
    pub(super) fn end_round(&mut self, round: Round) {
        self.credits_percent.clear();
        self.full_run_counts.clear();
        for level in round.levels.into_iter().filter(|l| l.waiting_count > 0) {
            let service = &round.services[level.service];
            if service.is_contested() {
                self.full_run_counts
                    .insert(service.name.clone(), service.run_count);
                self.credits_percent.insert(level.key, level.credit_percent);
            }
        }
    }
}

/// A service in a round of starts.
#[derive(Clone, Debug)]
struct ServiceShare {
    name: Arc<str>,
    accounts: BTreeSet<Option<AccountId>>,
    run_count: usize,
    capacity_count: usize,
}

impl ServiceShare {
    /// Returns whether several accounts have work.
    fn is_contested(&self) -> bool {
        self.accounts.len() > 1
    }
}

/// A priority of a service in a round of starts.
#[derive(Clone, Debug)]
struct Level {
    key: LevelKey,
    service: usize,
    /// Whether several accounts have work in the service.
    is_contested: bool,
    run_count: usize,
    waiting_count: usize,
    /// The running and waiting items of each account, in ascending order. Starts do not
    /// change them.
    demand_counts: Vec<usize>,
    credit_percent: u32,
    /// The number of runs that each account may have, or fewer if it has less to do;
    /// infinite if there is room for all items.
    part_count: f64,
}

impl Level {
    fn standing(&self, account: &AccountShare) -> Standing {
        let run_count = account.run_count as f64;
        let own_part_count = self.part_count.min(account.demand_count as f64);
        if self.part_count.is_infinite() {
            Standing::Near
        } else if run_count < own_part_count * MIN_PART_RATIO {
            Standing::Below
        } else if run_count + 1.0 > self.part_count * MAX_PART_RATIO {
            Standing::Above
        } else {
            Standing::Near
        }
    }
}

/// An account at one priority in a round of starts.
#[derive(Clone, Debug)]
struct AccountShare {
    level: usize,
    run_count: usize,
    /// The running and waiting items at the begin of the round.
    demand_count: usize,
}

/// The counts of a round of starts. They are kept in vectors, so that a start costs a few
/// look-ups by index for each job.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    services: Vec<ServiceShare>,
    levels: Vec<Level>,
    accounts: Vec<AccountShare>,
    positions: BTreeMap<Arc<ShareKey>, usize>,
}

impl Round {
    fn add(&mut self, key: Arc<ShareKey>, run_count: usize, waiting_count: usize) {
        if self.services.last().is_none_or(|s| s.name != key.service) {
            self.services.push(ServiceShare {
                name: key.service.clone(),
                accounts: BTreeSet::new(),
                run_count: 0,
                capacity_count: 0,
            });
        }
        let service = self.services.len() - 1;
        self.services[service].accounts.insert(key.account.clone());
        self.services[service].run_count += run_count;
        let level_key = (key.service.clone(), key.priority);
        if self.levels.last().is_none_or(|l| l.key != level_key) {
            self.levels.push(Level {
                key: level_key,
                service,
                is_contested: false,
                run_count: 0,
                waiting_count: 0,
                demand_counts: Vec::new(),
                credit_percent: 0,
                part_count: 0.0,
            });
        }
        let level = self.levels.len() - 1;
        self.levels[level].run_count += run_count;
        self.levels[level].waiting_count += waiting_count;
        let demand_count = run_count + waiting_count;
        self.levels[level].demand_counts.push(demand_count);
        self.positions.insert(key, self.accounts.len());
        self.accounts.push(AccountShare {
            level,
            run_count,
            demand_count,
        });
    }

    /// Returns the position of a job's account in this round.
    pub(super) fn position(&self, key: &ShareKey) -> usize {
        self.positions.get(key).copied().unwrap_or(0)
    }

    /// Returns how early the items of the account at `position` start.
    pub(super) fn rank(&self, position: usize) -> Rank {
        let Some(account) = self.accounts.get(position) else {
            return Rank::default();
        };
        let level = &self.levels[account.level];
        if !level.is_contested {
            return Rank::default();
        }
        Rank {
            has_minimum: level.credit_percent < START_CREDIT_PERCENT,
            priority: level.key.1,
            standing: level.standing(account),
        }
    }

    /// Records that an item of the account at `position` started.
    pub(super) fn record_start(&mut self, position: usize) {
        let Some(account) = self.accounts.get_mut(position) else {
            return;
        };
        account.run_count += 1;
        let started = account.level;
        let service = self.levels[started].service;
        if !self.services[service].is_contested() {
            return;
        }
        self.services[service].run_count += 1;
        let level = &mut self.levels[started];
        level.run_count += 1;
        level.waiting_count = level.waiting_count.saturating_sub(1);
        level.credit_percent = level.credit_percent.saturating_sub(START_CREDIT_PERCENT);
        let priority = level.key.1;
        let is_behind = |level: &Level| {
            level.service == service && level.key.1 > priority && level.waiting_count > 0
        };
        let behind_count = self.levels.iter().filter(|level| is_behind(level)).count();
        if behind_count > 0 {
            // The remainder of the division is lost: with more than ten levels, each still
            // gains one percent.
            let gain = MIN_LOW_PRIORITY_PERCENT / u32::try_from(behind_count).unwrap_or(u32::MAX);
            for level in self.levels.iter_mut().filter(|level| is_behind(level)) {
                level.credit_percent = (level.credit_percent + gain.max(1)).min(MAX_CREDIT_PERCENT);
            }
        }
        self.update_limits();
    }

    fn update_limits(&mut self) {
        for level in &mut self.levels {
            let service = &self.services[level.service];
            if !service.is_contested() {
                continue;
            }
            let other_run_count = service.run_count - level.run_count;
            let capacity_count = service
                .capacity_count
                .saturating_sub(other_run_count)
                .max(level.run_count + 1);
            level.part_count = equal_part(&level.demand_counts, capacity_count);
        }
    }
}

/// Returns the largest part of `capacity_count` that each account gets if those with less
/// demand leave the rest of theirs to the others. `demand_counts` ascend.
fn equal_part(demand_counts: &[usize], capacity_count: usize) -> f64 {
    let mut rest_count = capacity_count;
    for (index, demand_count) in demand_counts.iter().enumerate() {
        let account_count = demand_counts.len() - index;
        if demand_count * account_count >= rest_count {
            return rest_count as f64 / account_count as f64;
        }
        rest_count -= demand_count;
    }
    f64::INFINITY
}
