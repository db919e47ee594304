//! Hosts, each a process of the real program.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use mimosavane::platform::standin::{
    HostAddresses, ReservedAddress, Store, boot_file, boot_variable,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::proxy::Proxy;

/// The deadline for a host to stop. The 8 s of the deployment specification would
/// make seeds long.
pub const GRACE: Duration = Duration::from_secs(3);

/// A host under test.
#[derive(Debug)]
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The addresses that the host uses.
    pub addresses: HostAddresses,
    _reserved: [ReservedAddress; 3],
    /// The proxy between the host and the store.
    pub link: Rc<Proxy>,
    /// The store as the host sees it.
    pub store: Store,
    /// The platform's address for duties, in a deployment with accounts.
    cloud: Option<SocketAddr>,
    program: PathBuf,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    /// Serialises restarts, as overlapping series of faults may restart one host.
    pub restart_lock: tokio::sync::Mutex<()>,
    /// The number of times that the host was started.
    start_count: Cell<u32>,
    /// Increments whenever the host may forget what it learned.
    memory_number: Cell<usize>,
    /// When an unplanned fault last disturbed the host.
    last_disturbance_at: Cell<Option<Instant>>,
    /// When the host was last asked to stop.
    stop_requested_at: Cell<Option<Instant>>,
}

impl Host {
    /// Creates a host that writes its files to `folder`, without starting it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn new(
        name: String,
        program: &Path,
        folder: &Path,
        link: Rc<Proxy>,
        store: Store,
        cloud: Option<SocketAddr>,
    ) -> Result<Self> {
        let reserve = || ReservedAddress::new().context("finding a free port");
        let reserved = [reserve()?, reserve()?, reserve()?];
        let [clients, ready, relay] = &reserved;
        Ok(Self {
            addresses: HostAddresses {
                clients: clients.address,
                ready: ready.address,
                relay: relay.address,
                store: link.address,
            },
            _reserved: reserved,
            name,
            link,
            store,
            cloud,
            program: program.to_owned(),
            folder: folder.to_owned(),
            child: RefCell::default(),
            restart_lock: tokio::sync::Mutex::default(),
            start_count: Cell::new(0),
            memory_number: Cell::new(0),
            last_disturbance_at: Cell::new(None),
            stop_requested_at: Cell::new(None),
        })
    }

    /// Starts a process of the host, after killing any previous one.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or its files not be
    /// written.
    pub fn start(&self) -> Result<()> {
        self.kill();
        let start_number = self.start_count.get() + 1;
        self.start_count.set(start_number);
        self.memory_number.set(self.memory_number.get() + 1);
        let settings = self.folder.join(format!("{}.json", self.name));
        fs::write(
            &settings,
            boot_file(&self.name, "zone-a", self.addresses, GRACE, self.cloud),
        )
        .context("writing the settings of a host")?;
        let log = File::create(
            self.folder
                .join(format!("{}-{start_number}.log", self.name)),
        )
        .context("opening the log of a host")?;
        let errors = log.try_clone().context("opening the log of a host")?;
        let child = Command::new(&self.program)
            .env_clear()
            .env(boot_variable(), &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .with_context(|| format!("starting {}", self.program.display()))?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Returns the name of the host with a number that increments when it may forget what
    /// it learned: at each start and freeze.
    pub fn memory_name(&self) -> String {
        format!("{}#{}", self.name, self.memory_number.get())
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        match signal {
            Signal::SIGTERM => self.stop_requested_at.set(Some(Instant::now())),
            Signal::SIGHUP => {}
            _ => {
                self.memory_number.set(self.memory_number.get() + 1);
                self.mark_disturbance();
            }
        }
        let child = self.child.borrow();
        if let Some(pid) = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
        {
            // `has_ended` reports a process that has exited in the meantime.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Records that an unplanned fault disturbed the host.
    pub fn mark_disturbance(&self) {
        self.last_disturbance_at.set(Some(Instant::now()));
    }

    /// Returns whether no unplanned fault has disturbed the host for `time`.
    pub fn is_undisturbed_for(&self, time: Duration) -> bool {
        self.last_disturbance_at
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Returns whether the host was asked to stop less than `time` ago.
    pub fn was_stop_requested_within(&self, time: Duration) -> bool {
        self.stop_requested_at
            .get()
            .is_some_and(|at| at.elapsed() < time)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        match child.as_mut() {
            Some(running) => !matches!(running.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // The process may have exited on its own.
            let _ = (child.kill(), child.wait());
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
