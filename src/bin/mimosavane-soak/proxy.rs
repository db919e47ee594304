//! A proxy on loopback that injects faults into the connections it forwards.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, Result};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{AbortHandle, spawn_local},
    time::sleep,
};

/// The delay of each chunk, below the deadline for the answer to an order.
const DELAY: Duration = Duration::from_millis(60);

/// The maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is delayed.
    Delay,
    /// No bytes pass in either direction until the fault ends.
    Silence,
    /// No bytes pass towards the client until the fault ends.
    OneWay,
    /// Open connections and new ones are closed.
    Cut,
}

/// A TCP proxy with a fault that can be changed while it runs.
#[derive(Debug)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    target: Cell<SocketAddr>,
    fault: Cell<LinkFault>,
    changed: Notify,
    connections: RefCell<Vec<AbortHandle>>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context("binding a port for a proxy")?;
        let proxy = Rc::new(Self {
            address: listener
                .local_addr()
                .context("reading the address of a proxy")?,
            target: Cell::new(target),
            fault: Cell::default(),
            changed: Notify::new(),
            connections: RefCell::default(),
        });
        let acceptor = proxy.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                if acceptor.fault.get() == LinkFault::Cut {
                    continue;
                }
                let task = spawn_local(acceptor.clone().forward(stream)).abort_handle();
                let mut connections = acceptor.connections.borrow_mut();
                connections.retain(|task| !task.is_finished());
                connections.push(task);
            }
        });
        Ok(proxy)
    }

    /// Forwards new connections to `target`, and closes the open ones.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
        self.close_connections();
    }

    /// Sets the fault of open and new connections; [`LinkFault::None`] ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.set(fault);
        if fault == LinkFault::Cut {
            self.close_connections();
        }
        self.changed.notify_waiters();
    }

    fn close_connections(&self) {
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }

    async fn forward(self: Rc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target.get()).await else {
            return;
        };
        // Either peer may have closed its connection already.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        // Both directions end when one does, as when a process exits.
        tokio::select! {
            () = self.copy(client_read, server_write, false) => {}
            () = self.copy(server_read, client_write, true) => {}
        }
    }

    async fn copy(
        &self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
        is_towards_client: bool,
    ) {
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let Ok(count) = from.read(&mut bytes).await else {
                return;
            };
            self.apply_fault(is_towards_client).await;
            if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Delays or blocks a chunk of this direction, as the current fault requires.
    async fn apply_fault(&self, is_towards_client: bool) {
        loop {
            let changed = self.changed.notified();
            match self.fault.get() {
                LinkFault::Delay => return sleep(DELAY).await,
                LinkFault::Silence => changed.await,
                LinkFault::OneWay if is_towards_client => changed.await,
                _ => return,
            }
        }
    }
}
