//! A stand-in for the platform's balancer, which directs callers only to ready
//! hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use hyper::Method;
use rand::Rng as _;
use tokio::task::JoinHandle;

use super::client::Client;
use crate::control::controller::Rng;

/// The interval between readiness checks of a host.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A balancer over fixed addresses, from which clients pick one per request.
#[derive(Debug)]
pub struct Balancer {
    ready: Arc<ArcSwap<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl Balancer {
    /// Starts readiness checks of `addresses`, all of which count as ready until
    /// the first check.
    pub fn start(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let ready = Arc::new(ArcSwap::from_pointee(addresses.clone()));
        let task = tokio::spawn(check_readiness(addresses, ready.clone()));
        Arc::new(Self { ready, task })
    }

    /// Picks a random host among those that were ready at the last check. Returns
    /// `None` if there was none.
    pub fn pick(&self, rng: &mut Rng) -> Option<SocketAddr> {
        let ready = self.ready.load();
        if ready.is_empty() {
            return None;
        }
        Some(ready[rng.random_range(0..ready.len())])
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn check_readiness(addresses: Vec<SocketAddr>, ready: Arc<ArcSwap<Vec<SocketAddr>>>) {
    let client = Client::new(CHECK_TIMEOUT);
    loop {
        let checks = addresses.iter().map(|address| is_ready(&client, *address));
        let answers = futures_util::future::join_all(checks).await;
        let passed = addresses
            .iter()
            .zip(answers)
            .filter(|(_, is_ready)| *is_ready);
        ready.store(Arc::new(passed.map(|(address, _)| *address).collect()));
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let answer = client.send(Method::GET, address, "/readyz", &[], "").await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
