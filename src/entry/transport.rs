//! The UDP socket for signed heartbeats between hosts.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::UdpSocket;

use crate::host::{
    datagram::{Key, MAX_DATAGRAM_BYTES, Refusal, SendError, Signer, Verifier},
    gossip::Heartbeat,
};

/// A socket that sends and receives signed heartbeats.
#[derive(Debug)]
pub struct Transport {
    socket: Arc<UdpSocket>,
    signer: Signer,
}

/// The receiving side of a [`Transport`].
#[derive(Debug)]
pub struct Receiver {
    socket: Arc<UdpSocket>,
    verifier: Verifier,
}

impl Transport {
    /// Binds the address `own` and returns the sending and the receiving side.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(own: SocketAddr, key: Key) -> std::io::Result<(Self, Receiver)> {
        let socket = Arc::new(UdpSocket::bind(own).await?);
        // Without this, sending the first datagrams would fail because the
        // socket is not yet known to be writable.
        socket.writable().await?;
        let own = socket.local_addr()?;
        let transport = Self {
            socket: socket.clone(),
            signer: Signer::new(key.clone()),
        };
        let receiver = Receiver {
            socket,
            verifier: Verifier::new(key, own),
        };
        Ok((transport, receiver))
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends one heartbeat. If the socket buffer is full, the heartbeat is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat is too long or cannot be sent.
    pub fn send(&mut self, heartbeat: &Heartbeat, to: SocketAddr) -> Result<usize, SendError> {
        let bytes = self.signer.sign(heartbeat, to)?;
        self.socket
            .try_send_to(&bytes, to)
            .map_err(|source| SendError::Socket { to, source })
    }
}

impl Receiver {
    /// Waits for one datagram.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails. A refused datagram is returned as the inner
    /// error.
    pub async fn receive(&mut self) -> std::io::Result<(Result<Heartbeat, Refusal>, SocketAddr)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length_bytes, source) = self.socket.recv_from(&mut buffer).await?;
        Ok((self.verifier.verify(&buffer[..length_bytes]), source))
    }
}
