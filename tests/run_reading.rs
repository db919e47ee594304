//! Tests how the answer to a run is interpreted.

use mimosavane::batch::{reading::Reading, scheduler::RunEnd};

/// A run is moved after the last event of its item. The next engine has nothing
/// left to generate and states no version; its empty answer completes the item.
#[test]
fn nothing_left() {
    assert_eq!(Reading::new(12, None).run_end(true), RunEnd::Completed);
}

/// An empty answer to a new run does not complete the item.
#[test]
fn empty_answer() {
    assert_eq!(Reading::new(0, None).run_end(true), RunEnd::Broken);
    assert_eq!(Reading::new(0, Some(3)).run_end(true), RunEnd::Broken);
}

/// A stream without framing ends: events may be missing.
#[test]
fn unframed_end() {
    let mut reading = Reading::new(0, Some(3));
    assert_eq!(reading.record_event(1, None), Some(3));
    assert_eq!(reading.run_end(false), RunEnd::Broken);
}

/// The weights change during a run: later events belong to the new version.
#[test]
fn changed_version() {
    let mut reading = Reading::new(0, Some(3));
    assert_eq!(reading.record_event(1, None), Some(3));
    assert_eq!(reading.record_event(2, Some(4)), Some(4));
    assert_eq!(reading.record_event(3, None), Some(4));
    assert_eq!(Reading::new(0, None).record_event(1, None), None);
}
