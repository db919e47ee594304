//! Detection of silent connections, in virtual time.

use std::time::Duration;

use mimosavane::call::{
    attempt::Reason,
    progress::{Check, Step, Watch, counts_against_upstream},
};

const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn silent_connection() {
    let mut watch = Watch::new(TIMEOUT, Duration::ZERO);
    assert_eq!(watch.poll(Duration::from_secs(4)), Step::Wait(TIMEOUT));
    assert_eq!(watch.poll(TIMEOUT), Step::CheckFresh);
    watch.record_check(Check::Reachable);
    assert_eq!(watch.poll(TIMEOUT), Step::Retire(Reason::ConnectionSilent));
    assert!(!counts_against_upstream(Reason::ConnectionSilent));
}

#[test]
fn silent_upstream() {
    let mut watch = Watch::new(TIMEOUT, Duration::ZERO);
    watch.record_check(Check::Unreachable);
    assert_eq!(watch.poll(TIMEOUT), Step::Retire(Reason::UpstreamSilent));
    assert!(counts_against_upstream(Reason::UpstreamSilent));
}

#[test]
fn late_progress() {
    let mut watch = Watch::new(TIMEOUT, Duration::ZERO);
    assert_eq!(watch.poll(TIMEOUT), Step::CheckFresh);
    // Bytes that arrive during the check show that the connection works.
    watch.record_progress(TIMEOUT);
    watch.record_check(Check::Reachable);
    assert_eq!(watch.poll(TIMEOUT), Step::Wait(TIMEOUT * 2));
}

#[test]
fn caller_gone() {
    assert!(!counts_against_upstream(Reason::CallerGone));
    assert!(!counts_against_upstream(Reason::DeadlinePassed));
}
