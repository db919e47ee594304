//! The hosts, each a process of the real program.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use mimosavane::platform::standin::{HostAddresses, boot_file, boot_variable};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::proxy::Proxy;

/// How long a host may take to stop; the sheets' 8 s would make seeds long.
pub const GRACE: Duration = Duration::from_secs(3);

/// The ports that hosts listen on, below those that the system hands out.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;

/// How often a free port is looked for.
const MAX_PORT_TRIES: usize = 1_000;

/// One host.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its addresses.
    pub addresses: HostAddresses,
    /// The proxy between it and the store.
    pub link: Rc<Proxy>,
    program: PathBuf,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    /// Held while its process is being replaced, as series of faults overlap.
    pub replacing: tokio::sync::Mutex<()>,
    life_count: Cell<u32>,
    /// When it was last disturbed by something that nobody planned.
    disturbed_at: Cell<Option<Instant>>,
    /// When it was last asked to stop.
    asked_at: Cell<Option<Instant>>,
}

impl Host {
    /// Makes a host whose files go to `folder`; it does not run yet.
    ///
    /// # Errors
    ///
    /// Fails where no port is free.
    pub fn new(name: String, program: &Path, folder: &Path, link: Rc<Proxy>) -> Result<Self> {
        Ok(Self {
            addresses: HostAddresses {
                clients: free_address()?,
                ready: free_address()?,
                relay: free_address()?,
                store: link.address,
            },
            name,
            link,
            program: program.to_owned(),
            folder: folder.to_owned(),
            child: RefCell::default(),
            replacing: tokio::sync::Mutex::default(),
            life_count: Cell::new(0),
            disturbed_at: Cell::new(None),
            asked_at: Cell::new(None),
        })
    }

    /// Starts its process, and ends the one before.
    ///
    /// # Errors
    ///
    /// Fails where the program or its files cannot be used.
    pub fn start(&self) -> Result<()> {
        self.kill();
        let life = self.life_count.get() + 1;
        self.life_count.set(life);
        let settings = self.folder.join(format!("{}.json", self.name));
        fs::write(
            &settings,
            boot_file(&self.name, "zone-a", self.addresses, GRACE),
        )
        .context("writing settings")?;
        let log = File::create(self.folder.join(format!("{}-{life}.log", self.name)))
            .context("opening a log")?;
        let errors = log.try_clone().context("opening a log")?;
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

    /// Sends a signal to its process, if it runs.
    pub fn signal(&self, signal: Signal) {
        match signal {
            Signal::SIGTERM => self.asked_at.set(Some(Instant::now())),
            Signal::SIGHUP => {}
            _ => self.disturb(),
        }
        let child = self.child.borrow();
        if let Some(pid) = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
        {
            // A process that ended meanwhile is found by `has_ended`.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Notes that something unplanned happened to it.
    pub fn disturb(&self) {
        self.disturbed_at.set(Some(Instant::now()));
    }

    /// Says whether nothing unplanned happened to it for `time`.
    pub fn is_calm_for(&self, time: Duration) -> bool {
        self.disturbed_at
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Says whether it was asked to stop within `time`.
    pub fn was_asked_within(&self, time: Duration) -> bool {
        self.asked_at.get().is_some_and(|at| at.elapsed() < time)
    }

    /// Says whether its process ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        match child.as_mut() {
            Some(running) => !matches!(running.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Ends its process and waits for it.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // It may have ended by itself.
            let _ = (child.kill(), child.wait());
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_address() -> Result<SocketAddr> {
    for _ in 0..MAX_PORT_TRIES {
        let port = rand::random_range(FIRST_PORT..LAST_PORT);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no port is free")
}
