//! Jobs with items that fill many rows, and jobs for which a host has no memory.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use mimosavane::{
    batch::layout,
    clock::Clock,
    ingress::{
        memory::{Budget, Memory, Side},
        metered::{MeteredStore, NO_ROOM},
        stored,
    },
    store::rows::RowStore as _,
};
use rows_support::{Rows, item_rows, job, page::run};

/// Saves a job of one item with a body of `body_bytes`, and returns the store.
async fn saved(body_bytes: usize) -> Rows {
    let store = Rows::default();
    for transaction in layout::acceptance(&job("7c41", 1, body_bytes)).unwrap() {
        store.commit(&transaction).await.unwrap();
    }
    store
}

/// The store sorts the names of rows as texts, by which 100 comes before 11.
#[test]
fn parts_in_order() {
    let saved = job("7c41", 1, 101 * layout::MAX_VALUE_BYTES);
    let mut rows = item_rows(&saved);
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(layout::decode_items(&rows).unwrap(), saved.items);
}

/// A coordinator would end by the jobs that it reads: it gives up one for which it has no
/// room, holds what one needs as long as it is open, and none of one that it gave up.
#[test]
fn room_for_job() {
    run(async {
        let body_bytes = 8 << 20;
        let store = saved(body_bytes).await;
        for (memory_mb, has_room) in [(340, true), (48, false)] {
            let memory = Memory::new(Budget::of(memory_mb, 4_096), Clock::start());
            let metered = MeteredStore::new(store.clone(), memory.clone(), Side::Job);
            let loaded = stored::load(&metered, &"7c41".into()).await;
            assert_eq!(loaded.as_ref().is_ok_and(Option::is_some), has_room);
            assert!(has_room || loaded == Err(NO_ROOM));
            let charges = metered.into_charges();
            assert!(!has_room || memory.held_bytes() >= body_bytes);
            drop(charges);
            assert_eq!(memory.held_bytes(), 0, "{memory_mb}");
        }
    });
}
