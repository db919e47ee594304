//! A proxy before one address, which can be cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How often the proxy looks for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Forwards connections to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (cut, streams) = (is_cut.clone(), open.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if cut.load(Ordering::SeqCst) {
                    // Without a listener, new connections are refused.
                    listener = None;
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                let bound = listener.get_or_insert_with(|| bind(address));
                match bound.accept() {
                    Ok((client, _)) => forward(client, target, &streams),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Self {
            address,
            is_cut,
            open,
        }
    }

    /// Resets all connections and lets no new one through, until it is healed.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in self.open.lock().expect("not poisoned").drain(..) {
                // It may be closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).expect("a free port");
    listener
        .set_nonblocking(true)
        .expect("a listener that can be polled");
    listener
}

fn forward(client: TcpStream, target: SocketAddr, open: &Mutex<Vec<TcpStream>>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    // Connections inherit nothing of the listener on all systems.
    let _ = client.set_nonblocking(false);
    let mut open = open.lock().expect("not poisoned");
    for (from, to) in [(&client, &server), (&server, &client)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            continue;
        };
        thread::spawn(move || copy(from, to));
    }
    open.extend([client, server]);
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
