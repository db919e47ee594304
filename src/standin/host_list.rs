//! A stand-in for the platform's list of live and leaving hosts, which may lag
//! behind their actual state.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hyper::{Request, Response, body::Incoming};

use super::listener::{Body, Listener, json};
use crate::api::platform::ListedUpstream;

/// A running host list.
#[derive(Debug)]
pub struct HostList {
    listener: Listener,
    entries: Arc<Mutex<Vec<ListedUpstream>>>,
}

impl HostList {
    /// Starts a list that contains `entries`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, entries: Vec<ListedUpstream>) -> std::io::Result<Self> {
        let entries = Arc::new(Mutex::new(entries));
        let handler = {
            let entries = entries.clone();
            move |request| answer(entries.clone(), request)
        };
        let listener = Listener::start(address, handler).await?;
        Ok(Self { listener, entries })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces the entries of the list.
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
