//! Calls to other hosts over gRPC.

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

/// The metadata entry that proves a peer.
pub const FLEET_HEADER: &str = "x-mimosavane-fleet";

/// How long a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between pings on a connection, which find silent ones.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a ping may stay unanswered before the connection is retired.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message between hosts.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// What a fleet's secret is turned into before it goes over the wire.
const TOKEN_CONTEXT: &str = "mimosavane 2026 peer call token";

/// A client whose calls carry the fleet's proof.
pub type Client = PeerClient<InterceptedService<Channel, Prove>>;

/// Why no client for a peer could be made.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The address makes no valid endpoint.
    #[error("the peer's address is not valid: {0}")]
    Endpoint(#[from] tonic::transport::Error),
}

/// Derives the token that hosts of one fleet show each other.
pub fn fleet_token(fleet_key: &str) -> String {
    blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, fleet_key.as_bytes()))
        .to_hex()
        .to_string()
}

/// Adds the fleet's proof to each call.
#[derive(Clone, Debug)]
pub struct Prove {
    token: Option<MetadataValue<Ascii>>,
}

impl Interceptor for Prove {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(token) = &self.token {
            request.metadata_mut().insert(FLEET_HEADER, token.clone());
        }
        Ok(request)
    }
}

/// The connections to other hosts, made when first needed.
#[derive(Debug)]
pub struct Peers {
    prove: Prove,
    clients: Mutex<HashMap<SocketAddr, Arc<Client>>>,
}

impl Peers {
    /// Makes a pool that proves itself with `fleet_key`.
    pub fn new(fleet_key: &str) -> Self {
        Self {
            prove: Prove {
                token: fleet_token(fleet_key).parse().ok(),
            },
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Returns a client for the peer at `address`; it connects when used.
    ///
    /// # Errors
    ///
    /// Fails where the address makes no endpoint.
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
        let client = PeerClient::with_interceptor(channel, self.prove.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        clients.insert(address, Arc::new(client.clone()));
        Ok(client)
    }
}
