//! Jobs are removed from the store once clients may no longer ask for them.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::time::Duration;

use mimosavane::{
    batch::layout,
    ingress::retention::{Expiries, sweep},
    store::rows::RowStore as _,
};
use rows_support::{Fault, Rows, job};

const TTL: Duration = Duration::from_secs(120);
const AFTER_TTL: Duration = Duration::from_secs(200);

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

/// An ended job is removed after its TTL, not before; an open job stays.
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
        assert_eq!(sweep(&rows, TTL, AFTER_TTL, &mut expiries).await, Ok(1));
        for table in [layout::JOBS, layout::ITEMS, layout::OPEN] {
            assert!(rows.keys(table, "ended").is_empty(), "{table}");
            assert!(!rows.keys(table, "open").is_empty(), "{table}");
        }
    });
}

/// The store fails in the middle of a removal: the job still exists, and the
/// next sweep completes the removal.
#[test]
fn interrupted() {
    run(async {
        let rows = Rows::default();
        accept(&rows, "ended").await;
        rows.commit(&layout::ending(&"ended".into())).await.unwrap();
        // The first removal succeeds, and the store refuses the second.
        rows.fail_next(Fault::None);
        rows.fail_next(Fault::Refused);
        let mut expiries = Expiries::new();
        assert!(sweep(&rows, TTL, AFTER_TTL, &mut expiries).await.is_err());
        assert!(!rows.keys(layout::JOBS, "ended").is_empty());
        assert_eq!(sweep(&rows, TTL, AFTER_TTL, &mut expiries).await, Ok(1));
        assert!(rows.keys(layout::JOBS, "ended").is_empty());
    });
}
