//! Counts the work that a graceful shutdown has to wait for.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{runtime::Handle, task::AbortHandle};

/// Work that is open on this host.
///
/// # Examples
///
/// ```
/// use mimosavane::entry::open_work::OpenWork;
///
/// let runtime = tokio::runtime::Runtime::new()?;
/// let work = OpenWork::new(runtime.handle().clone());
/// let held = work.hold();
/// assert_eq!(work.count(), 1);
/// drop(held);
/// assert_eq!(work.count(), 0);
/// # std::io::Result::Ok(())
/// ```
#[derive(Clone, Debug)]
pub struct OpenWork {
    runtime: Handle,
    count: Arc<AtomicUsize>,
}

/// Holds one piece of work open until it is dropped.
#[derive(Debug)]
pub struct Held {
    count: Arc<AtomicUsize>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl OpenWork {
    /// Makes a count of nothing, whose tasks run on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self {
            runtime,
            count: Arc::default(),
        }
    }

    /// Counts one piece of work until the result is dropped.
    pub fn hold(&self) -> Held {
        self.count.fetch_add(1, Ordering::Relaxed);
        Held {
            count: self.count.clone(),
        }
    }

    /// Runs `task` on the traffic threads and counts it until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let held = self.hold();
        let running = self.runtime.spawn(async move {
            task.await;
            drop(held);
        });
        running.abort_handle()
    }

    /// Returns how much is open.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}
