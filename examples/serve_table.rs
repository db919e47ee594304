//! Serves the table's page with stand-ins for the store and three hosts, to try it
//! in a browser: run `cargo run --example serve_table`, open the printed address
//! and sign in with the printed key.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mimosavane::{
    control::{
        blackboard::{HostState, TableStanding},
        controller::Rng,
    },
    settings::Settings,
    standin::table_service::{MemoryTable, TableServiceStandin},
    store::follower::{Peer, Report},
    table::{
        self,
        change::{Change, RowEdit},
        edit,
        server::{Server, State},
    },
};
use rand::SeedableRng as _;

const OPERATORS: [(&str, &str); 2] = [
    ("ana", "ana-key-for-trying"),
    ("bela", "bela-key-for-trying"),
];
const ROWS: [(&str, f64); 4] = [
    ("guides", 2.0),
    ("menus", 1.0),
    ("notices", 3.0),
    ("summaries", 1.5),
];

/// The delay with which the second host puts a change in force.
const SECOND_HOST_DELAY: Duration = Duration::from_millis(1_500);

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let standin = TableServiceStandin::start(MemoryTable::default()).await?;
    add_rows(standin.table()).await?;
    let third = start_host(
        standin.table().clone(),
        "entry-3",
        Duration::ZERO,
        Vec::new(),
    )
    .await?;
    let second = start_host(
        standin.table().clone(),
        "entry-2",
        SECOND_HOST_DELAY,
        Vec::new(),
    )
    .await?;
    let peers = vec![peer("entry-2", second), peer("entry-3", third)];
    let first = start_host(standin.table().clone(), "entry-1", Duration::ZERO, peers).await?;
    let keys = OPERATORS
        .map(|(name, key)| format!("{name}: {key}"))
        .join(", ");
    let settings = format!(
        "{{host: {{id: entry-1, region: mx-centro, failure_domain: mx-a, \
         http_address: '{first}', peer_address: '{first}'}}, \
         platform: {{table_service_url: '{}'}}, keys: {{operators: {{{keys}}}}}}}",
        standin.url()
    );
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let state = State::new(&Settings::parse(&settings)?, 7)?;
    let server = Server::start(state, listener, 1)?;
    println!("http://{address}/ with the key {}", OPERATORS[0].1);
    tokio::signal::ctrl_c().await?;
    server.stop().context("stopping the server")
}

async fn add_rows(store: &MemoryTable) -> anyhow::Result<()> {
    let mut rng = Rng::seed_from_u64(7);
    for (row, weight_ratio) in ROWS {
        let cells = [("weight_ratio".to_owned(), weight_ratio.into())];
        let edit = RowEdit::set(row, 0, cells.into_iter().collect());
        let change = Change::new(format!("add-{row}"), "ana", 1_760_000_000_000).edit(edit);
        edit::apply(store, &change, &mut rng).await?;
    }
    Ok(())
}

fn peer(host: &str, http_address: SocketAddr) -> Peer {
    Peer {
        host: host.into(),
        state: HostState::Alive,
        http_address,
    }
}

/// Serves the reports of a host that puts each change in force after `delay`.
async fn start_host(
    store: MemoryTable,
    id: &'static str,
    delay: Duration,
    peers: Vec<Peer>,
) -> std::io::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (sender, revision) = tokio::sync::watch::channel(0);
    tokio::spawn(async move {
        loop {
            let store_revision = table::read_revision(&store).await.unwrap_or(0);
            tokio::time::sleep(delay).await;
            sender.send_replace(store_revision);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (revision, peers) = (revision.clone(), peers.clone());
            let answer = service_fn(move |_: Request<Incoming>| {
                let report = Report {
                    host: id.into(),
                    revision: *revision.borrow(),
                    standing: TableStanding::Current,
                    peers: peers.clone(),
                };
                let body = serde_json::to_vec(&report).unwrap_or_default();
                async { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(body)))) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
        }
    });
    Ok(address)
}
