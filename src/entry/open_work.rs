//! Counts the work that a graceful shutdown waits for.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{runtime::Handle, task::AbortHandle};

/// A counter of the work that is open on this host.
///
/// # Examples
///
/// ```
/// use mimosavane::entry::open_work::OpenWorkCounter;
///
/// let runtime = tokio::runtime::Runtime::new()?;
/// let work = OpenWorkCounter::new(runtime.handle().clone());
/// let guard = work.track();
/// assert_eq!(work.count(), 1);
/// drop(guard);
/// assert_eq!(work.count(), 0);
/// # std::io::Result::Ok(())
/// ```
#[derive(Clone, Debug)]
pub struct OpenWorkCounter {
    runtime: Handle,
    count: Arc<AtomicUsize>,
}

/// Counts one piece of work as open until it is dropped.
#[derive(Debug)]
pub struct OpenWorkGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for OpenWorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl OpenWorkCounter {
    /// Creates a counter at zero that spawns its tasks on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self {
            runtime,
            count: Arc::default(),
        }
    }

    /// Counts one piece of work as open until the returned guard is dropped.
    pub fn track(&self) -> OpenWorkGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        OpenWorkGuard {
            count: self.count.clone(),
        }
    }

    /// Spawns `task` and counts it as open until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let guard = self.track();
        let running = self.runtime.spawn(async move {
            task.await;
            drop(guard);
        });
        running.abort_handle()
    }

    /// Returns the number of open pieces of work.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}
