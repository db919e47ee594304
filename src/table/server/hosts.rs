//! Queries the entry hosts for the table revision that they have in force.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use http::{HeaderValue, Request, StatusCode, header::AUTHORIZATION};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{
    store::follower::{REPORT_PATH, Report},
    table::api::HostStatus,
};

/// The maximum number of hosts that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The maximum size of a report.
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

/// A client that fetches the reports of entry hosts.
#[derive(Clone, Debug)]
pub struct Client {
    client: HttpClient<HttpConnector, Full<Bytes>>,
    entry_address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client that queries the entry host at `entry_address` first.
    pub fn new(entry_address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            client: HttpClient::builder(TokioExecutor::new()).build(connector),
            entry_address,
            timeout,
        }
    }

    /// Queries the first host for its peers, then each of the peers. Each request
    /// carries the operator's own key.
    pub async fn fetch_statuses(&self, key: Option<&HeaderValue>) -> Vec<HostStatus> {
        let Some(first) = self.fetch_report(self.entry_address, key).await else {
            return Vec::new();
        };
        let peers = first.peers.iter().map(|peer| async move {
            let report = self.fetch_report(peer.http_address, key).await;
            // Another host may have taken over the address of one that is gone.
            let report = report.filter(|report| report.host == peer.host);
            HostStatus {
                host: peer.host.clone(),
                state: Some(peer.state),
                revision: report.as_ref().map(|report| report.revision),
                standing: report.map(|report| report.standing),
            }
        });
        let statuses = stream::iter(peers).buffer_unordered(MAX_CONCURRENT_REQUESTS);
        let mut hosts: Vec<_> = statuses.collect().await;
        hosts.push(HostStatus {
            host: first.host,
            state: None,
            revision: Some(first.revision),
            standing: Some(first.standing),
        });
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        hosts
    }

    async fn fetch_report(&self, address: SocketAddr, key: Option<&HeaderValue>) -> Option<Report> {
        let mut request = Request::get(format!("http://{address}{REPORT_PATH}"))
            .body(Full::default())
            .ok()?;
        if let Some(key) = key {
            request.headers_mut().insert(AUTHORIZATION, key.clone());
        }
        let report = tokio::time::timeout(self.timeout, self.send(request));
        report.await.ok().flatten()
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Report> {
        let response = self.client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}
