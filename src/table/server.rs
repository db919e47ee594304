//! The HTTP server of the operators' table: a JSON and CSV interface and an HTML
//! page for editing the table like a spreadsheet (see docs/TABLE.md).

mod body;
mod handlers;
mod hosts;
mod refusal;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use xitca_web::{App, handler::handler_service};

use crate::{
    settings::Settings,
    store::client::{AddressError, Budget, HttpTableService},
    table::{
        api::{
            CHANGES_PATH, COLUMNS_PATH, CSV_PATH, DRY_RUN_PATH, HISTORY_PATH, LIVE_PATH, PAGE_PATH,
            STATUS_PATH, TABLE_PATH,
        },
        auth::Keys,
    },
};

/// The timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// One table server may use the store's request rate divided by this number,
/// since all its load comes from a few operators.
const STORE_RATE_DIVISOR: u32 = 100;

/// The state that all requests share.
#[derive(Clone, Debug)]
pub struct State {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    keys: Keys,
    store: HttpTableService,
    hosts: hosts::Client,
    body_timeout: Duration,
}

impl State {
    /// Creates the state from `settings`. `seed` seeds the random delays after
    /// failures of the store.
    ///
    /// # Errors
    ///
    /// Fails if the address of the table service is invalid.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, AddressError> {
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let url = settings.platform.table_service_url.as_str();
        let budget = Budget::from(&settings.platform);
        let store = HttpTableService::new(url, timeout, budget, seed)?;
        store.set_live_hosts(STORE_RATE_DIVISOR);
        let shared = Shared {
            keys: Keys::new(&settings.keys),
            store,
            hosts: hosts::Client::new(settings.host.http_address, timeout),
            body_timeout: Duration::from_millis(settings.limits.request_read_timeout_ms),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }
}

/// A running table server, which stops when dropped.
#[derive(Debug)]
pub struct Server {
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Server {
    /// Serves the table on `listener` with `worker_count` threads.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used or a thread cannot be started.
    pub fn start(state: State, listener: TcpListener, worker_count: usize) -> io::Result<Self> {
        let mut running = App::new()
            .with_state(state)
            .at(PAGE_PATH, handler_service(handlers::page))
            .at(LIVE_PATH, handler_service(handlers::live))
            .at(TABLE_PATH, handler_service(handlers::table))
            .at(COLUMNS_PATH, handler_service(handlers::columns))
            .at(CSV_PATH, handler_service(handlers::csv))
            .at(HISTORY_PATH, handler_service(handlers::history))
            .at(STATUS_PATH, handler_service(handlers::status))
            .at(DRY_RUN_PATH, handler_service(handlers::dry_run))
            .at(CHANGES_PATH, handler_service(handlers::changes))
            .at(path_pattern::CHANGE, handler_service(handlers::one_change))
            .at(path_pattern::ROW, handler_service(handlers::row))
            .at("/{*path}", handler_service(handlers::unknown))
            .serve()
            .disable_signal()
            .worker_threads(worker_count)
            .request_head_timeout(HEAD_TIMEOUT)
            .listen(listener)?
            .run();
        let handle = running.handle()?;
        let (stop, stopped) = mpsc::channel();
        // The type of the handle is private, so it is moved into a thread instead of
        // being stored in the struct.
        thread::Builder::new()
            .name("table-server-stop".to_owned())
            .spawn(move || {
                let _ = stopped.recv();
                handle.stop(true);
            })?;
        let thread = thread::Builder::new()
            .name("table-server".to_owned())
            .spawn(move || running.wait())?;
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops accepting connections and returns once open requests have finished.
    ///
    /// # Errors
    ///
    /// Fails if the server had failed earlier.
    pub fn stop(mut self) -> io::Result<()> {
        let _ = self.stop.send(());
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(ended)) => ended,
            _ => Ok(()),
        }
    }
}

/// Path patterns that end in a parameter.
mod path_pattern {
    /// The pattern for one change; see [`crate::table::api::CHANGES_PATH`].
    pub(crate) const CHANGE: &str = "/v1/table/changes/{id}";
    /// The pattern for one row; see [`crate::table::api::ROWS_PATH`].
    pub(crate) const ROW: &str = "/v1/table/rows/{id}";
}
