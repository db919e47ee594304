//! Logs and metrics of what the scheduler has to do.

use crate::{
    batch::scheduler::ModelLoad,
    clock::Timestamp,
    ingress::{coordinator::Coordinator, wire::Wire},
    observe::telemetry::{
        ITEMS_WAITING, JOBS_LED, PROMPTS_PUT_OFF, PROMPTS_WAITING, REWARDS_WAITING, RUNS_OPEN,
        SHARES_PUT_OFF,
    },
    store::rows::RowStore,
};

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Logs the load of each model, and what prompts and shares put off.
    pub(super) fn log_loads(&self, now: Timestamp) {
        let loads = self.scheduler.borrow().model_loads(now);
        let sum = |count: fn(&ModelLoad) -> usize| loads.iter().map(count).sum::<usize>() as u64;
        let metrics = &self.host.metrics;
        metrics.gauge(JOBS_LED, sum(|load| load.job_count));
        metrics.gauge(ITEMS_WAITING, sum(|load| load.waiting_count));
        metrics.gauge(RUNS_OPEN, sum(|load| load.running_count));
        let unscored_count = self.scheduler.borrow().unscored_count();
        metrics.gauge(REWARDS_WAITING, unscored_count as u64);
        self.log_placement();
        for load in loads {
            tracing::info!(
                event = "model.load",
                model = &*load.model,
                job_count = load.job_count,
                waiting_count = load.waiting_count,
                running_count = load.running_count,
                usable_count = load.usable_count,
                fresh_count = load.fresh_count,
                loading_count = load.loading_count,
                unconfirmed_count = load.unconfirmed_count,
                avoided_count = load.avoided_count,
                named_version = load.named_version,
                min_version = load.min_version,
            );
        }
    }

    /// Logs the prompts at engines, and what they and the shares put off.
    fn log_placement(&self) {
        let scheduler = self.scheduler.borrow();
        let prompts = scheduler.prompt_load();
        let share_put_off_count = scheduler.share_put_off_count();
        let previous = self
            .put_off_counts
            .replace((prompts.put_off_count, share_put_off_count));
        // The scheduler counts from 0 again after another host has coordinated.
        let new_prompt_count = prompts.put_off_count.saturating_sub(previous.0);
        let new_share_count = share_put_off_count.saturating_sub(previous.1);
        let metrics = &self.host.metrics;
        metrics.gauge(PROMPTS_WAITING, prompts.waiting_tokens);
        metrics.count(PROMPTS_PUT_OFF, new_prompt_count);
        metrics.count(SHARES_PUT_OFF, new_share_count);
        tracing::info!(
            event = "placement.load",
            prompt_tokens = prompts.waiting_tokens,
            max_prompt_tokens = prompts.max_waiting_tokens,
            budget_tokens = prompts.budget_tokens,
            speed_tokens_per_ms = prompts.speed_tokens_per_ms,
            account_count = scheduler.running_account_count(),
            put_off_by_prompts_count = new_prompt_count,
            put_off_by_shares_count = new_share_count,
        );
    }
}
