//! A stand-in for a plain service, whose orders must not be repeated.
//!
//! It counts how often each order ran, so that a test can check that none ran
//! twice.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};

use super::listener::{Body, Listener, json, read_body};

/// The mutable state of a running service.
#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    lookups: u64,
    silent: bool,
    down: bool,
    delay: Duration,
}

/// A running stand-in service.
#[derive(Debug)]
pub struct Service {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Starts a service on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler = {
            let state = state.clone();
            move |request| answer(state.clone(), request)
        };
        let listener = Listener::start(address, handler).await?;
        Ok(Self { listener, state })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Returns the number of runs of each order, by the order's name.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.state).runs.clone()
    }

    /// Sets whether the service is silent; while it is, connections stay open and
    /// requests run, but get no answer.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Sets whether the service is down; while it is, it refuses all requests.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
        if down {
            self.listener.reset_connections();
        }
    }

    /// Sets the delay of each answer, which starts after the request has run.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Stalls all open connections permanently, while new ones work.
    pub fn silence_connections(&self) {
        self.listener.silence_connections();
    }

    /// Resets all connections, so that answers in flight are lost.
    pub fn reset_connections(&self) {
        self.listener.reset_connections();
    }
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    if lock(&state).down {
        return json(503, &serde_json::json!({"error": "down"}));
    }
    let is_order = request.method() == http::Method::POST;
    let body = read_body(request.into_body()).await;
    let response = if is_order {
        run_order(&state, &String::from_utf8_lossy(&body))
    } else {
        run_lookup(&state)
    };
    let delay = lock(&state).delay;
    // Even a sleep of zero waits for the next tick of the timer.
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    while lock(&state).silent {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    response
}

fn run_order(state: &Mutex<State>, name: &str) -> Response<Body> {
    let mut state = lock(state);
    let runs = state.runs.entry(name.to_owned()).or_default();
    *runs += 1;
    json(200, &serde_json::json!({"order": name, "runs": *runs}))
}

fn run_lookup(state: &Mutex<State>) -> Response<Body> {
    let mut state = lock(state);
    state.lookups += 1;
    json(
        200,
        &serde_json::json!({"title_due": "La casa de los espíritus"}),
    )
}
