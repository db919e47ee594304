//! Tests retry budgets, backoff and deadlines.

use std::time::Duration;

use mimosavane::retry::{Budget, Deadline, backoff};

#[test]
fn bounded_retries() {
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        while budget.try_withdraw() {
            retries += 1;
        }
    }
    assert!((99..=100).contains(&retries), "{retries}");
}

#[test]
fn bounded_saving() {
    let mut budget = Budget::new(0.1);
    for _ in 0..100_000 {
        budget.deposit();
    }
    let burst = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(burst, 20);
}

#[test]
fn seeded_jitter() {
    let first: Vec<Duration> = backoff(1).take(6).collect();
    let second: Vec<Duration> = backoff(2).take(6).collect();
    assert_eq!(first, backoff(1).take(6).collect::<Vec<_>>());
    assert_ne!(first, second);
    assert!(
        first
            .iter()
            .all(|pause| *pause <= Duration::from_millis(500))
    );
}

#[test]
fn carried_deadline() {
    let deadline = Deadline::after(Duration::from_secs(1), Duration::from_secs(2));
    let left = deadline.remaining(Duration::from_millis(2_500));
    assert_eq!(left, Duration::from_millis(500));
    assert!(deadline.is_past(Duration::from_secs(3)));
    assert_eq!(deadline.remaining(Duration::from_secs(9)), Duration::ZERO);
}
