//! The stewards of a demo, each on a thread that can be frozen.

use std::{io, time::Duration};

use tokio::runtime::Runtime;

use crate::{
    settings::Settings,
    store::client::{AddressError, Budget, HttpTableService},
    weights::steward,
};

/// A running steward. Dropping it ends it without releasing its leases.
#[derive(Debug)]
pub struct Steward {
    runtime: Option<Runtime>,
}

/// The reason that a steward could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StewardError {
    /// The thread of the steward could not be started.
    #[error("cannot start a steward: {0}")]
    Io(#[from] io::Error),
    /// The address of the table service is not valid.
    #[error(transparent)]
    Address(#[from] AddressError),
}

impl Steward {
    /// Starts a steward with the settings of its host.
    ///
    /// # Errors
    ///
    /// Fails if its thread cannot be started, and if the address of the table
    /// service is not valid.
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

    /// Freezes the steward for `time`, as a pause of its process would. It resumes
    /// with its old state.
    pub fn freeze(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            // Blocking the only thread stops all tasks of the steward.
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
