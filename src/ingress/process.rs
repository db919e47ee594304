//! Starts and stops a host.

use std::{rc::Rc, time::Duration};

use tokio::{
    task::{LocalSet, spawn_local},
    time::sleep,
};

use crate::{
    ingress::{
        clients, coordinator::Coordinator, feeds, host::Host, origins, server, stop::StopSchedule,
        usage_reports, wire::Wire,
    },
    observe::{build, telemetry::BUILD},
    store::rows::RowStore,
};

/// How long a stopping host may take to save its last counts.
const LAST_SAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// The part of the grace that is left for this where the connections took all of their time;
/// the process ends at 95% of the grace otherwise.
const LAST_SAVE_RATIO: f64 = 0.025;

/// How often a stopping host checks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl<S: RowStore, W: Wire> Host<S, W> {
    /// Runs the host until `stop` completes, and then stops it without cutting
    /// off open requests, within the stop grace.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be listened on.
    pub async fn run(self: Rc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let local = LocalSet::new();
        local.run_until(self.run_local(stop)).await
    }

    async fn run_local(self: Rc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        tracing::info!(
            event = "host.start",
            host = &*self.settings.host,
            version = build::VERSION,
            sources = build::SOURCES,
            failure_domain = &*self.settings.failure_domain,
            store = %self.settings.store_address,
            memory_limit_mb = self.settings.memory_limit_mb,
        );
        self.metrics.mark_build(BUILD);
        let clients = server::bind(self.settings.client_address)?;
        let ready = server::bind(self.settings.ready_address)?;
        if let Some(address) = self.settings.metrics_address {
            let listener = server::bind(address)?;
            spawn_local(server::serve_ready(self.clone(), listener));
        }
        let coordinator = Coordinator::new(self.clone());
        let (store, peers) = (self.store.clone(), self.clone());
        spawn_local(async move { store.run_background(peers).await });
        spawn_local(feeds::follow_operator(self.clone()));
        spawn_local(feeds::follow_upstreams(self.clone()));
        spawn_local(origins::follow_versions(self.clone()));
        spawn_local(origins::save_origins(self.clone()));
        spawn_local(usage_reports::save_counts(self.clone()));
        spawn_local(server::serve_ready(self.clone(), ready));
        spawn_local(clients::watch(self.clone()));
        let accepting = spawn_local(server::serve_clients(self.clone(), clients));
        spawn_local(coordinator.clone().run());
        stop.await;
        tracing::info!(
            event = "host.stopping",
            host = &*self.settings.host,
            open_count = self.open_count.get(),
        );
        let schedule = StopSchedule::new(self.now(), self.settings.stop_grace);
        self.stop.send_replace(Some(schedule));
        coordinator.hand_over().await;
        // The store may have taken long to answer.
        sleep(schedule.close_at.saturating_sub(self.now())).await;
        self.closing.send_replace(true);
        if let Err(error) = accepting.await {
            tracing::error!(event = "host.accept_failed", %error);
        }
        while self.open_count.get() + self.taken_count.get() > 0 && self.now() < schedule.exit_at {
            sleep(STOP_POLL_INTERVAL).await;
        }
        let time_left = schedule.exit_at.saturating_sub(self.now());
        let least = self.settings.stop_grace.mul_f64(LAST_SAVE_RATIO);
        let time_left = time_left.max(least).min(LAST_SAVE_TIMEOUT);
        usage_reports::save_last_counts(&self, time_left).await;
        tracing::info!(
            event = "host.stop",
            host = &*self.settings.host,
            open_count = self.open_count.get(),
        );
        Ok(())
    }
}
