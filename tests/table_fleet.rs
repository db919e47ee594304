//! Tests how changes to the table reach running entry hosts over real sockets.

use std::{
    net::TcpListener,
    time::{Duration, Instant},
};

use mimosavane::{
    control::blackboard::TableStanding,
    table::{
        client::TableClient,
        server::{Server, State},
    },
};

use support::{OPERATOR_KEY, RealFleet};

#[path = "support/real_fleet.rs"]
mod support;

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn change_everywhere() {
    let mut fleet = RealFleet::start(4);
    for _ in 0..3 {
        let revision = fleet.change();
        assert!(fleet.wait_for(revision, TIMEOUT).is_some());
    }
}

/// Hosts that start while the store is down must get the table from their peers:
/// two of four hosts are replaced during the outage.
#[test]
fn replaced_in_outage() {
    let mut fleet = RealFleet::start(4);
    assert!(fleet.wait_for(1, TIMEOUT).is_some());
    let revision = fleet.change();
    assert!(fleet.wait_for(revision, TIMEOUT).is_some());
    fleet.store.set_down(true);
    for number in [0, 1] {
        fleet.kill_host(number);
        fleet.start_host(number);
    }
    assert!(fleet.wait_for(revision, TIMEOUT).is_some());
    fleet.store.set_down(false);
    let revision = fleet.change();
    assert!(fleet.wait_for(revision, TIMEOUT * 2).is_some());
}

/// If all hosts are replaced while the store is down, no host has the table: each
/// must report its table as empty, and read it once the store is back.
#[test]
fn nobody_left() {
    let mut fleet = RealFleet::start(2);
    assert!(fleet.wait_for(1, TIMEOUT).is_some());
    fleet.store.set_down(true);
    (0..2).for_each(|number| fleet.kill_host(number));
    (0..2).for_each(|number| fleet.start_host(number));
    std::thread::sleep(Duration::from_secs(2));
    for host in fleet.hosts.iter().flatten() {
        let standing = host.shared().snapshot.load().rows.standing;
        assert_eq!(standing, TableStanding::Empty);
    }
    fleet.store.set_down(false);
    assert!(fleet.wait_for(1, TIMEOUT * 2).is_some());
}

#[test]
fn status_of_hosts() {
    let mut fleet = RealFleet::start(3);
    let revision = fleet.change();
    assert!(fleet.wait_for(revision, TIMEOUT).is_some());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let state = State::new(fleet.settings(0), 7).unwrap();
    let server = Server::start(state, listener, 1).unwrap();
    let client = TableClient::new(url, OPERATOR_KEY, TIMEOUT);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    // Hosts discover each other gradually through heartbeats.
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status = runtime.block_on(client.status()).unwrap();
        if status.in_force_hosts_count == 3 {
            break;
        }
        assert!(Instant::now() < deadline, "{status:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    server.stop().unwrap();
}
