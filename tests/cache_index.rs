//! The cache index when events are late, lost, repeated or from a previous
//! process.

use std::{collections::BTreeSet, time::Duration};

use mimosavane::{
    engine::cache_index::{Action, BlockHash, CacheEvent, Index, Listing, MAX_ENGINES, Trust},
    ids::UpstreamId,
};

const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(2);

fn engine() -> UpstreamId {
    "engine-1".into()
}

fn event(sequence: u64, stored: &[BlockHash], evicted: &[BlockHash]) -> CacheEvent {
    CacheEvent {
        boot: 1,
        sequence,
        stored: stored.to_vec(),
        evicted: evicted.to_vec(),
    }
}

fn listing(boot: u64, sequence: u64, blocks: &[BlockHash]) -> Listing {
    Listing {
        boot,
        sequence,
        blocks: blocks.to_vec(),
    }
}

#[test]
fn stored_and_evicted() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1, 2, 3], &[]), NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1, 2, 3, 4]), 3);
    index.apply_event(&engine(), event(2, &[], &[2]), NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1, 2, 3]), 1);
    let holders: Vec<_> = index.holders(&[1, 9], 7).collect();
    assert_eq!(holders, [(&engine(), 1)]);
}

#[test]
fn late_event() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1, 2], &[]), NOW);
    index.apply_event(&engine(), event(3, &[3], &[]), NOW);
    // Event 2 is missing and may have evicted any block.
    assert_eq!(index.trust(&engine()), Trust::Waiting);
    assert_eq!(index.matched_block_count(&engine(), &[1, 2, 3]), 0);
    index.apply_event(&engine(), event(2, &[], &[2]), NOW);
    assert_eq!(index.trust(&engine()), Trust::Sure);
    assert_eq!(index.matched_block_count(&engine(), &[1, 2]), 1);
    assert!(index.run(LATER).is_empty());
}

#[test]
fn lost_event() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1, 2], &[]), NOW);
    index.apply_event(&engine(), event(3, &[3], &[]), NOW);
    assert!(index.run(NOW).is_empty());
    let resync = [Action::Resync { engine: engine() }];
    assert_eq!(index.run(LATER), resync);
    assert_eq!(index.trust(&engine()), Trust::Unsure);
    assert!(index.run(LATER).is_empty());
    // The listing is requested again, since it may be lost as well.
    assert_eq!(index.run(LATER + Duration::from_secs(5)), resync);
    index.apply_event(&engine(), event(4, &[4], &[]), LATER);
    assert_eq!(index.matched_block_count(&engine(), &[4]), 0);
    index.apply_listing(&engine(), listing(1, 3, &[1, 3]));
    assert_eq!(index.trust(&engine()), Trust::Sure);
    assert_eq!(index.matched_block_count(&engine(), &[1, 3, 4]), 3);
}

#[test]
fn lost_last_event() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1], &[]), NOW);
    index.observe_sequence(&engine(), 1, 1, NOW);
    assert_eq!(index.trust(&engine()), Trust::Sure);
    index.observe_sequence(&engine(), 1, 2, NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
    assert_eq!(index.run(LATER).len(), 1);
}

#[test]
fn late_listing() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1], &[]), NOW);
    index.apply_event(&engine(), event(2, &[2], &[1]), NOW);
    index.apply_listing(&engine(), listing(1, 1, &[1]));
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
    assert_eq!(index.matched_block_count(&engine(), &[2]), 1);
}

#[test]
fn gap_after_listing() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(3, &[3], &[]), NOW);
    index.run(LATER);
    index.apply_event(&engine(), event(8, &[8], &[]), LATER);
    index.apply_listing(&engine(), listing(1, 5, &[3]));
    assert_eq!(index.trust(&engine()), Trust::Unsure);
    assert_eq!(index.matched_block_count(&engine(), &[3]), 0);
    assert_eq!(index.run(LATER).len(), 1);
}

#[test]
fn repeated_event() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1], &[]), NOW);
    index.apply_event(&engine(), event(2, &[], &[1]), NOW);
    index.apply_event(&engine(), event(1, &[1], &[]), NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
}

#[test]
fn restarted_engine() {
    let mut index = Index::default();
    index.apply_event(&engine(), event(1, &[1, 2], &[]), NOW);
    index.observe_sequence(&engine(), 2, 0, NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
    // A late event of the previous process is ignored.
    index.apply_event(&engine(), event(2, &[1], &[]), NOW);
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
    let mut fresh = event(1, &[7], &[]);
    fresh.boot = 2;
    index.apply_event(&engine(), fresh, NOW);
    assert_eq!(index.matched_block_count(&engine(), &[7]), 1);
    index.apply_listing(&engine(), listing(1, 9, &[1]));
    assert_eq!(index.matched_block_count(&engine(), &[1]), 0);
}

#[test]
fn bounded_engines() {
    let mut index = Index::default();
    for number in 0..2 * MAX_ENGINES {
        let name: UpstreamId = format!("engine-{number}").into();
        index.apply_event(&name, event(1, &[1], &[]), NOW);
    }
    assert_eq!(index.holders(&[1], 3).count(), MAX_ENGINES);
    index.forget(&engine());
    assert_eq!(index.holders(&[1], 3).count(), MAX_ENGINES - 1);
}

/// Checks against a model that the index never reports a block that the engine
/// has evicted.
#[test]
fn random_loss() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            let mut index = Index::default();
            let mut blocks = BTreeSet::new();
            let mut sequence = 0;
            let mut delayed = Vec::new();
            for (number, (block, kind, transport)) in steps.iter().enumerate() {
                let now = Duration::from_millis(100 * number as u64);
                let block = BlockHash::from(block % 8);
                sequence += 1;
                let sent = if kind % 2 == 0 {
                    blocks.insert(block);
                    event(sequence, &[block], &[])
                } else {
                    blocks.remove(&block);
                    event(sequence, &[], &[block])
                };
                match transport % 8 {
                    0 => {}
                    1 => delayed.push(sent),
                    _ => index.apply_event(&engine(), sent, now),
                }
                if transport % 5 == 0 {
                    delayed
                        .drain(..)
                        .for_each(|late| index.apply_event(&engine(), late, now));
                }
                index.observe_sequence(&engine(), 1, sequence, now);
                if !index.run(now).is_empty() && transport % 3 > 0 {
                    let cached: Vec<BlockHash> = blocks.iter().copied().collect();
                    index.apply_listing(&engine(), listing(1, sequence, &cached));
                }
                for block in 0..8 {
                    let is_reported = index.matched_block_count(&engine(), &[block]) == 1;
                    assert!(!is_reported || blocks.contains(&block));
                }
            }
        });
}
