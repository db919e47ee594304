//! Addresses for hosts that no other program of the stand-ins uses.

use std::{
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    time::Duration,
};

use tokio::net::TcpSocket;

/// The range of ports that hosts listen on, below the ephemeral ports of the
/// system.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;

/// The maximum number of attempts to find a free port.
const MAX_PORT_TRIES: usize = 1_000;

/// A loopback address at which a host may listen and be started again.
///
/// Soaks that run at the same time draw from the same ports, and the port of a host
/// that is down looks free. A datagram socket, which hosts do not use, therefore
/// marks the port as taken for as long as this value lives.
#[derive(Debug)]
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    _mark: UdpSocket,
}

impl ReservedAddress {
    /// Reserves a free address, or returns `None` if none was found.
    pub fn new() -> Option<Self> {
        (0..MAX_PORT_TRIES).find_map(|_| {
            let port = rand::random_range(FIRST_PORT..LAST_PORT);
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let mark = UdpSocket::bind(address).ok()?;
            TcpListener::bind(address).ok()?;
            Some(Self {
                address,
                _mark: mark,
            })
        })
    }
}

/// How long a connection to a full listener is waited for.
const FULL_TIMEOUT: Duration = Duration::from_millis(50);

/// The number of connections that fill the shortest queue of a listener at the latest.
const MAX_QUEUED_COUNT: usize = 8;

/// An address at which connections neither open nor fail, as behind a partition: the
/// listener's queue is full.
#[derive(Debug)]
pub struct HangingAddress {
    /// The address.
    pub address: SocketAddr,
    _listener: tokio::net::TcpListener,
    _queued: Vec<TcpStream>,
}

impl HangingAddress {
    /// Returns a new address.
    ///
    /// # Errors
    ///
    /// Fails where no port is free.
    pub fn new() -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(1)?;
        let address = listener.local_addr()?;
        let queued = (0..MAX_QUEUED_COUNT)
            .map_while(|_| TcpStream::connect_timeout(&address, FULL_TIMEOUT).ok())
            .collect();
        Ok(Self {
            address,
            _listener: listener,
            _queued: queued,
        })
    }
}
