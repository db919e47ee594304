//! The gRPC service for other hosts.

use std::pin::Pin;

use secrecy::{ExposeSecret as _, SecretString};
use subtle::ConstantTimeEq as _;
use tokio::sync::mpsc;
use tokio_stream::{Stream, StreamExt as _, wrappers::ReceiverStream};
use tonic::{Request, Response, Status, service::Interceptor};

use super::{Shared, collect, generate, messages, owners, peer_client, thread::Input};
use crate::{control, proto::peer, step};

/// The maximum number of events of one generation that wait for a slow peer.
const EVENT_BUFFER_CAPACITY: usize = 8;

/// Rejects calls without the fleet's token.
#[derive(Clone, Debug)]
pub struct CheckFleetToken {
    token: SecretString,
}

impl CheckFleetToken {
    /// Creates a check for the token derived from `fleet_key`.
    pub fn new(fleet_key: &str) -> Self {
        Self {
            token: peer_client::fleet_token(fleet_key).into(),
        }
    }
}

impl Interceptor for CheckFleetToken {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let presented = request
            .metadata()
            .get(peer_client::FLEET_HEADER)
            .map(|value| value.as_bytes())
            .unwrap_or_default();
        if bool::from(presented.ct_eq(self.token.expose_secret().as_bytes())) {
            return Ok(request);
        }
        tracing::warn!("refused a peer call without a valid fleet token");
        Err(Status::unauthenticated("not a host of this fleet"))
    }
}

/// The implementation of the peer service.
#[derive(Clone)]
pub struct PeerService {
    shared: Shared,
}

impl PeerService {
    /// Creates the peer service of the host `shared`.
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl peer::peer_server::Peer for PeerService {
    type GenerateStream =
        Pin<Box<dyn Stream<Item = Result<peer::GenerateEvent, Status>> + Send + 'static>>;

    async fn generate(
        &self,
        request: Request<peer::GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let (events, receiver) = mpsc::channel(EVENT_BUFFER_CAPACITY);
        let shared = self.shared.clone();
        let request = request.into_inner();
        self.shared.open_work.spawn(async move {
            generate::run(&shared, request, events).await;
        });
        let events = ReceiverStream::new(receiver).map(Ok);
        Ok(Response::new(Box::pin(events)))
    }

    async fn submit(
        &self,
        request: Request<peer::SubmitRequest>,
    ) -> Result<Response<peer::SubmitReply>, Status> {
        owners::submit_locally(&self.shared, request.into_inner())
            .await
            .map(Response::new)
            .map_err(|error| Status::unavailable(error.to_string()))
    }

    async fn pull(
        &self,
        request: Request<peer::PullRequest>,
    ) -> Result<Response<peer::PullReply>, Status> {
        owners::pull_locally(&self.shared, request.into_inner())
            .await
            .map(Response::new)
            .map_err(|error| Status::unavailable(error.to_string()))
    }

    async fn hand_over(
        &self,
        request: Request<peer::HandoverRequest>,
    ) -> Result<Response<peer::HandoverReply>, Status> {
        let handover = Box::new(messages::read_handover(request.into_inner()));
        let received = Input::step(step::Event::HandedOver(handover));
        self.shared
            .control
            .send(received)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(peer::HandoverReply {}))
    }

    async fn exchange(
        &self,
        request: Request<peer::ExchangeRequest>,
    ) -> Result<Response<peer::ExchangeReply>, Status> {
        let request = request.into_inner();
        let from = request.from.as_str().into();
        if let Some(message) = request.message.and_then(messages::read_exchange) {
            let input = Input::Control(control::Input::Exchange { from, message });
            self.shared.control.send_or_drop(input).await;
        }
        Ok(Response::new(peer::ExchangeReply {}))
    }

    async fn fetch_rows(
        &self,
        request: Request<peer::FetchRowsRequest>,
    ) -> Result<Response<peer::FetchRowsReply>, Status> {
        let above = request.into_inner().above_revision;
        let board = self.shared.snapshot.load();
        let rows = if board.rows.revision > above {
            board
                .rows
                .rows
                .values()
                .filter_map(|row| serde_json::to_string(&**row).ok())
                .collect()
        } else {
            Vec::new()
        };
        Ok(Response::new(peer::FetchRowsReply {
            revision: board.rows.revision,
            rows,
        }))
    }

    async fn explain(
        &self,
        request: Request<peer::ExplainRequest>,
    ) -> Result<Response<peer::ExplainReply>, Status> {
        let records = collect::own_records(&self.shared, request.into_inner().id).await;
        let records = records.iter().map(serde_json::to_string);
        Ok(Response::new(peer::ExplainReply {
            host: self.shared.settings.host.id.to_string(),
            origin_unix_ms: self.shared.incarnation,
            records: records.flatten().collect(),
        }))
    }

    async fn fetch_burn(
        &self,
        _request: Request<peer::FetchBurnRequest>,
    ) -> Result<Response<peer::FetchBurnReply>, Status> {
        let windows = serde_json::to_string(&self.shared.burn.export());
        Ok(Response::new(peer::FetchBurnReply {
            host: self.shared.settings.host.id.to_string(),
            windows: windows.map_err(|error| Status::internal(error.to_string()))?,
        }))
    }
}
