//! Asks the entry hosts which revision they have in force.

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

/// How many hosts are asked at once.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The largest report that is read.
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

/// Asks entry hosts for their reports.
#[derive(Clone, Debug)]
pub struct Client {
    client: HttpClient<HttpConnector, Full<Bytes>>,
    entry_address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Makes a client that starts from the entry host at `entry_address`.
    pub fn new(entry_address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            client: HttpClient::builder(TokioExecutor::new()).build(connector),
            entry_address,
            timeout,
        }
    }

    /// Asks the first host which others it knows, and then each of them.
    /// The operator's own key goes with each request.
    pub async fn ask_all(&self, key: Option<&HeaderValue>) -> Vec<HostStatus> {
        let Some(first) = self.ask(self.entry_address, key).await else {
            return Vec::new();
        };
        let peers = first.peers.iter().map(|peer| async move {
            let report = self.ask(peer.http_address, key).await;
            // Another host may answer under the address of one that is gone.
            let report = report.filter(|report| report.host == peer.host);
            HostStatus {
                host: peer.host.clone(),
                state: Some(peer.state),
                revision: report.as_ref().map(|report| report.revision),
                standing: report.map(|report| report.standing),
            }
        });
        let asked = stream::iter(peers).buffer_unordered(MAX_CONCURRENT_REQUESTS);
        let mut hosts: Vec<_> = asked.collect().await;
        hosts.push(HostStatus {
            host: first.host,
            state: None,
            revision: Some(first.revision),
            standing: Some(first.standing),
        });
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        hosts
    }

    async fn ask(&self, address: SocketAddr, key: Option<&HeaderValue>) -> Option<Report> {
        let mut request = Request::get(format!("http://{address}{REPORT_PATH}"))
            .body(Full::default())
            .ok()?;
        if let Some(key) = key {
            request.headers_mut().insert(AUTHORIZATION, key.clone());
        }
        let asked = tokio::time::timeout(self.timeout, self.exchange(request));
        asked.await.ok().flatten()
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Option<Report> {
        let answer = self.client.request(request).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}
