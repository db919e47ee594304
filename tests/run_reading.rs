//! What the end of a run's answer means.

use mimosavane::batch::{reading::Reading, scheduler::RunEnd};

/// An engine was left behind at the last event of an item: the next one has
/// nothing to make, names no version, and its empty answer ends the item.
#[test]
fn nothing_left() {
    assert_eq!(Reading::new(12, None).end(true), RunEnd::Completed);
}

/// An empty answer to a new run is no output.
#[test]
fn empty_answer() {
    assert_eq!(Reading::new(0, None).end(true), RunEnd::Broken);
    assert_eq!(Reading::new(0, Some(3)).end(true), RunEnd::Broken);
}

/// A stream without a length ends: more may have been to come.
#[test]
fn unframed_end() {
    let mut reading = Reading::new(0, Some(3));
    assert_eq!(reading.event(1, None), Some(3));
    assert_eq!(reading.end(false), RunEnd::Broken);
}

/// Weights change under a run: events from there on are the new version's.
#[test]
fn changed_version() {
    let mut reading = Reading::new(0, Some(3));
    assert_eq!(reading.event(1, None), Some(3));
    assert_eq!(reading.event(2, Some(4)), Some(4));
    assert_eq!(reading.event(3, None), Some(4));
    assert_eq!(Reading::new(0, None).event(1, None), None);
}
