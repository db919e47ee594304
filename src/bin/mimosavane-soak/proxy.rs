//! A proxy on loopback that harms the connections that pass through it.

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

/// How much each piece is delayed; below the time in which an order must be
/// answered.
const DELAY: Duration = Duration::from_millis(60);

/// The bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What is done to the connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes arrive late.
    Delay,
    /// Bytes stop in both directions until the fault ends.
    Silence,
    /// Bytes stop towards the client until the fault ends.
    OneWay,
    /// Connections are reset, and new ones are.
    Cut,
}

/// One proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
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
    /// Fails where no port is free.
    pub async fn start(target: SocketAddr) -> Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("a proxy")?;
        let proxy = Rc::new(Self {
            address: listener.local_addr().context("a proxy")?,
            target: Cell::new(target),
            fault: Cell::default(),
            changed: Notify::new(),
            connections: RefCell::default(),
        });
        let accepting = proxy.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                if accepting.fault.get() == LinkFault::Cut {
                    continue;
                }
                let task = spawn_local(accepting.clone().pass(stream)).abort_handle();
                let mut connections = accepting.connections.borrow_mut();
                connections.retain(|task| !task.is_finished());
                connections.push(task);
            }
        });
        Ok(proxy)
    }

    /// Leads new connections to `target`, and ends the others.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
        self.cut();
    }

    /// Harms the connections from now on, or stops harming them.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.set(fault);
        if fault == LinkFault::Cut {
            self.cut();
        }
        self.changed.notify_waiters();
    }

    fn cut(&self) {
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }

    async fn pass(self: Rc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target.get()).await else {
            return;
        };
        // Either end may be gone already.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        // The connection ends with either direction, as a process that is gone does.
        tokio::select! {
            () = self.copy(client_read, server_write, false) => {}
            () = self.copy(server_read, client_write, true) => {}
        }
    }

    async fn copy(
        &self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
        is_back: bool,
    ) {
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let Ok(count) = from.read(&mut bytes).await else {
                return;
            };
            self.wait_for_passage(is_back).await;
            if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_passage(&self, is_back: bool) {
        loop {
            let changed = self.changed.notified();
            match self.fault.get() {
                LinkFault::Delay => return sleep(DELAY).await,
                LinkFault::Silence => changed.await,
                LinkFault::OneWay if is_back => changed.await,
                _ => return,
            }
        }
    }
}
