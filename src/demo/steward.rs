//! Stewards of a demo, each on a thread that can be frozen.

use std::{io, time::Duration};

use tokio::runtime::Runtime;

use crate::{
    settings::Settings,
    store::client::{AddressError, Budget, HttpTableService},
    weights::steward,
};

/// A running steward; dropping it ends it without giving its leases up.
#[derive(Debug)]
pub struct Steward {
    runtime: Option<Runtime>,
}

/// Why a steward could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StewardError {
    /// Its thread could not be started.
    #[error("starting a steward: {0}")]
    Io(#[from] io::Error),
    /// The table service's address is not valid.
    #[error(transparent)]
    Address(#[from] AddressError),
}

impl Steward {
    /// Starts a steward with the settings of its host.
    ///
    /// # Errors
    ///
    /// Fails where its thread cannot be started.
    pub fn start(settings: Settings, seed: u64) -> Result<Self, StewardError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("steward")
            .enable_all()
            .build()?;
        let table = HttpTableService::new(
            settings.platform.table_service_url.clone(),
            Duration::from_millis(settings.platform.timeout_ms),
            Budget::from(&settings.platform),
            seed,
        )?;
        runtime.spawn(steward::run(settings, table, std::future::pending()));
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Has the steward stand still, as a paused process does; it wakes up with
    /// its old beliefs.
    pub fn freeze(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            // Blocking its only thread stops all that it does.
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
