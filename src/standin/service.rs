//! A plain service whose calls may not be repeated.
//!
//! It counts how often each order ran, so that a test can show that none ran
//! twice.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};

use super::listener::{Body, Listener, json, read};

/// What the service keeps while it runs.
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
    /// Fails where the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler = {
            let state = state.clone();
            move |request| answer(state.clone(), request)
        };
        let listener = Listener::start(address, handler).await?;
        Ok(Self { listener, state })
    }

    /// Returns where it answers.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Returns how often each order ran, by the order's name.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.state).runs.clone()
    }

    /// Keeps connections open and answers nothing while `silent`.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Refuses everything while `down`.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
        if down {
            self.listener.reset_connections();
        }
    }

    /// Delays each answer by `delay`, after the work is done.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Lets all open connections go silent for good, while new ones work.
    pub fn silence_connections(&self) {
        self.listener.silence_connections();
    }

    /// Resets all connections, so that answers under way are lost.
    pub fn reset_connections(&self) {
        self.listener.reset_connections();
    }
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    if lock(&state).down {
        return json(503, &serde_json::json!({"error": "down"}));
    }
    let is_order = request.method() == http::Method::POST;
    let body = read(request.into_body()).await;
    let response = if is_order {
        order(&state, &String::from_utf8_lossy(&body))
    } else {
        lookup(&state)
    };
    let delay = lock(&state).delay;
    // A sleep takes a step of the timer even where it is of no length.
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    while lock(&state).silent {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    response
}

fn order(state: &Mutex<State>, name: &str) -> Response<Body> {
    let mut state = lock(state);
    let runs = state.runs.entry(name.to_owned()).or_default();
    *runs += 1;
    json(200, &serde_json::json!({"order": name, "runs": *runs}))
}

fn lookup(state: &Mutex<State>) -> Response<Body> {
    let mut state = lock(state);
    state.lookups += 1;
    json(
        200,
        &serde_json::json!({"title_due": "La casa de los espíritus"}),
    )
}
