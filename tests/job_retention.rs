//! Jobs are removed from the store when nobody may ask for them any more.

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

mod rows_support;

use std::time::Duration;

use mimosavane::{
    batch::layout,
    ingress::retention::{Expiries, sweep},
    store::rows::RowStore as _,
};
use rows_support::{Fault, Rows, job};

const TTL: Duration = Duration::from_secs(120);
const LATE: Duration = Duration::from_secs(200);

async fn accept(rows: &Rows, id: &str) {
    for transaction in layout::acceptance(&job(id, 150, 6_000)).unwrap() {
        rows.commit(&transaction).await.unwrap();
    }
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(test);
}

/// An ended job goes after its time, an open one and a young one stay.
#[test]
fn ended_and_old() {
    run(async {
        let rows = Rows::default();
        for id in ["open", "ended"] {
            accept(&rows, id).await;
        }
        rows.commit(&layout::ending(&"ended".into())).await.unwrap();
        let mut expiries = Expiries::new();
        let young = Duration::from_secs(100);
        assert_eq!(sweep(&rows, TTL, young, &mut expiries).await, Ok(0));
        assert_eq!(sweep(&rows, TTL, LATE, &mut expiries).await, Ok(1));
        for table in [layout::JOBS, layout::ITEMS, layout::OPEN] {
            assert!(rows.keys(table, "ended").is_empty(), "{table}");
            assert!(!rows.keys(table, "open").is_empty(), "{table}");
        }
    });
}

/// The store fails in the middle: the job still exists, and the next sweep ends
/// what the first began.
#[test]
fn interrupted() {
    run(async {
        let rows = Rows::default();
        accept(&rows, "ended").await;
        rows.commit(&layout::ending(&"ended".into())).await.unwrap();
        // The first rows are removed, and the store fails at the next.
        rows.fail_next(Fault::None);
        rows.fail_next(Fault::Refused);
        let mut expiries = Expiries::new();
        assert!(sweep(&rows, TTL, LATE, &mut expiries).await.is_err());
        assert!(!rows.keys(layout::JOBS, "ended").is_empty());
        assert_eq!(sweep(&rows, TTL, LATE, &mut expiries).await, Ok(1));
        assert!(rows.keys(layout::JOBS, "ended").is_empty());
    });
}
