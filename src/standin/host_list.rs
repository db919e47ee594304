//! The platform's list of live and leaving hosts, which lags.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hyper::{Request, Response, body::Incoming};

use super::listener::{Body, Listener, json};
use crate::api::platform::ListedUpstream;

/// A running stand-in of the list.
#[derive(Debug)]
pub struct HostList {
    listener: Listener,
    entries: Arc<Mutex<Vec<ListedUpstream>>>,
}

impl HostList {
    /// Starts a list that holds `entries`.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start(address: SocketAddr, entries: Vec<ListedUpstream>) -> std::io::Result<Self> {
        let entries = Arc::new(Mutex::new(entries));
        let handler = {
            let entries = entries.clone();
            move |request| answer(entries.clone(), request)
        };
        let listener = Listener::start(address, handler).await?;
        Ok(Self { listener, entries })
    }

    /// Returns where it answers.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces the list.
    pub fn set(&self, entries: Vec<ListedUpstream>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }
}

async fn answer(
    entries: Arc<Mutex<Vec<ListedUpstream>>>,
    _request: Request<Incoming>,
) -> Response<Body> {
    let entries = entries
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    json(200, &entries)
}
