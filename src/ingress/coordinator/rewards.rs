//! Sends the reward calls that the scheduler asks for.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use tokio::task::spawn_local;

use super::Coordinator;
use crate::{
    batch::{
        job::JobId,
        reward::{CallNumber, RewardLimits},
        scheduler::DueReward,
    },
    clock::{Timestamp, millis},
    ids::AccountId,
    ingress::{
        calls,
        directory::Upstream,
        permits::{self, Permit},
        rewards::{self, RewardCall},
        routes::{Route, RouteKind, ServiceName},
        wire::Wire,
    },
    observe::telemetry::{REWARD_CALLS, REWARD_TIME, REWARDS_FAILED},
    retry,
    store::rows::RowStore,
};

/// How many times the route's target latency a reward call waits for one
/// upstream before it is sent to another.
const STALL_TIMEOUT_RATIO: f64 = 2.0;

/// How often an item that has no route or no upstream for its reward call is
/// logged at most.
const UNROUTED_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Starts the reward calls that are due, as far as upstreams have room.
    pub(super) fn start_due_rewards(self: &Rc<Self>, now: Timestamp) {
        if !self.may_start(now) {
            return;
        }
        let due = self.scheduler.borrow().due_rewards(now);
        // Services without room for another call.
        let mut full: BTreeSet<ServiceName> = BTreeSet::new();
        for reward in due {
            let Some((route, service)) = self.reward_service(&reward) else {
                self.log_unrouted(&reward, "no-route", now);
                continue;
            };
            if full.contains(&service) {
                continue;
            }
            let Some((upstream, permit)) = self.choose_permitted(&service, &reward, now) else {
                if !reward.is_hedge {
                    self.log_unrouted(&reward, "no-upstream", now);
                    full.insert(service);
                }
                continue;
            };
            let limits = RewardLimits {
                max_error_count: route.max_attempts,
                hedge_after: route.target_latency,
            };
            let number =
                self.scheduler
                    .borrow_mut()
                    .start_reward(&reward, upstream.id.clone(), limits, now);
            if let Some(number) = number {
                let call = RewardCall {
                    request: reward.request.clone(),
                    account: self.account(&reward.job),
                    upstream,
                    permit,
                    deadline: route.timeout,
                    stall_timeout: stall_timeout(&route, reward.failure_count),
                };
                self.start_reward(number, reward, call);
            }
        }
    }

    /// Returns the account of an open job, if it has one.
    fn account(&self, job: &JobId) -> Option<AccountId> {
        self.scheduler.borrow().job(job)?.head.account.clone()
    }

    /// Chooses the upstream for a reward call, and takes the permit to send it.
    fn choose_permitted(
        &self,
        service: &str,
        reward: &DueReward,
        now: Timestamp,
    ) -> Option<(Arc<Upstream>, Permit)> {
        let mut excluded = reward.upstreams_in_use.clone();
        loop {
            let upstream = self.host.view.borrow_mut().directory.choose_for_reward(
                service,
                &self.host.settings.failure_domain,
                &excluded,
                now,
            )?;
            if let Ok(permit) = permits::take_as_issuer(&self.host, &upstream, 1) {
                return Some((upstream, permit));
            }
            excluded.push(upstream.id.clone());
        }
    }

    /// Returns the route and the service of a reward call under the present
    /// configuration.
    fn reward_service(&self, reward: &DueReward) -> Option<(Arc<Route>, ServiceName)> {
        let configuration = self.host.configuration()?;
        let request = &reward.request;
        let path = request.path.split('?').next().unwrap_or_default();
        let route = configuration
            .route(&request.authority, path)
            // A reward call may be repeated whatever other requests of the route may.
            .filter(|route| route.kind != RouteKind::Batch)?;
        let service = route.service(calls::split_point(&request.id))?;
        Some((route.clone(), service.clone()))
    }

    fn start_reward(self: &Rc<Self>, number: CallNumber, reward: DueReward, call: RewardCall) {
        let this = self.clone();
        self.host.metrics.count(REWARD_CALLS, 1);
        let task = spawn_local(async move {
            let started_at = this.host.now();
            let outcome = rewards::call(&this.host, &call).await;
            let now = this.host.now();
            let took = now.saturating_sub(started_at);
            tracing::info!(
                event = "reward.attempt",
                job = &*reward.job,
                item = &*reward.item,
                reward = &*reward.request.id,
                upstream = &*call.upstream.id,
                is_hedge = reward.is_hedge,
                outcome = outcome.reason,
                took_ms = millis(took),
            );
            this.runs.borrow_mut().remove(&number);
            let recorded = this
                .scheduler
                .borrow_mut()
                .record_reward_end(number, outcome.end, now);
            match recorded.ended {
                Some(_) => this.host.metrics.time(REWARD_TIME, took),
                None => this.host.metrics.count(REWARDS_FAILED, 1),
            }
            this.cancel_runs(&recorded.cancelled);
            this.wake.notify_one();
        });
        self.runs.borrow_mut().insert(number, task.abort_handle());
    }

    /// Logs that an item waits for its score without a call in progress.
    fn log_unrouted(&self, reward: &DueReward, reason: &'static str, now: Timestamp) {
        let is_logged = now.saturating_sub(self.unrouted_logged_at.get()) < UNROUTED_LOG_INTERVAL;
        if is_logged || reward.is_hedge {
            return;
        }
        self.unrouted_logged_at.set(now);
        tracing::info!(
            event = "reward.waiting",
            job = &*reward.job,
            item = &*reward.item,
            reward = &*reward.request.id,
            reason,
        );
    }
}

/// Returns how long a reward call waits for one upstream.
///
/// The time doubles with each failure: a call may need longer than usual wherever it
/// runs, and would never end otherwise.
fn stall_timeout(route: &Route, failure_count: u32) -> Duration {
    let first = route.target_latency.mul_f64(STALL_TIMEOUT_RATIO);
    retry::exponential_delay(first, route.timeout.max(first), failure_count)
}
