//! The gRPC client for calls to other hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tonic::{
    Request, Status,
    metadata::{Ascii, MetadataValue},
    service::{Interceptor, interceptor::InterceptedService},
    transport::{Channel, Endpoint},
};

use crate::proto::peer::peer_client::PeerClient;

/// The metadata entry that authenticates a peer.
pub const FLEET_HEADER: &str = "x-mimosavane-fleet";

/// The timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of the pings that detect silent connections.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The time after which a connection with an unanswered ping is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a message between hosts.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// The key derivation context of the token, which is sent instead of the
/// fleet's secret.
const TOKEN_CONTEXT: &str = "mimosavane 2026 peer call token";

/// A client whose calls carry the fleet's token.
pub type Client = PeerClient<InterceptedService<Channel, AddFleetToken>>;

/// The reason why no client for a peer could be created.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The address is not a valid endpoint.
    #[error("the peer's address is not valid: {0}")]
    Endpoint(#[from] tonic::transport::Error),
}

/// Derives the token by which hosts of one fleet authenticate to each other.
pub fn fleet_token(fleet_key: &str) -> String {
    blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, fleet_key.as_bytes()))
        .to_hex()
        .to_string()
}

/// Adds the fleet's token to each call.
#[derive(Clone, Debug)]
pub struct AddFleetToken {
    token: Option<MetadataValue<Ascii>>,
}

impl Interceptor for AddFleetToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(token) = &self.token {
            request.metadata_mut().insert(FLEET_HEADER, token.clone());
        }
        Ok(request)
    }
}

/// The connections to other hosts, opened on first use.
#[derive(Debug)]
pub struct Peers {
    interceptor: AddFleetToken,
    clients: Mutex<HashMap<SocketAddr, Arc<Client>>>,
}

impl Peers {
    /// Creates a pool whose calls carry the token derived from `fleet_key`.
    pub fn new(fleet_key: &str) -> Self {
        let mut token: Option<MetadataValue<Ascii>> = fleet_token(fleet_key).parse().ok();
        if let Some(token) = &mut token {
            // Keeps the token out of debug output.
            token.set_sensitive(true);
        }
        Self {
            interceptor: AddFleetToken { token },
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Returns a client for the peer at `address`, which connects on first use.
    ///
    /// # Errors
    ///
    /// Fails if the address is not a valid endpoint.
    pub fn client(&self, address: SocketAddr) -> Result<Client, PeerError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(Client::clone(client));
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy();
        let client = PeerClient::with_interceptor(channel, self.interceptor.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        clients.insert(address, Arc::new(client.clone()));
        Ok(client)
    }
}
