//! The adaptive concurrency limit of one upstream.

use std::time::Duration;

use mimosavane::call::concurrency::{Limiter, Sample};

/// Runs `rounds` rounds, each with as many concurrent calls as the limit allows.
fn saturate(limiter: &mut Limiter, rounds: u32, sample: impl Fn(u32) -> Sample) {
    for _ in 0..rounds {
        let mut started = 0;
        while limiter.try_start() {
            started += 1;
        }
        for _ in 0..started {
            limiter.finish(sample(started));
        }
    }
}

fn fast(_: u32) -> Sample {
    Sample::Answered(Duration::from_millis(10))
}

/// Models an upstream with eight slots, whose queueing raises the latency.
fn queueing(running: u32) -> Sample {
    let rounds = running.div_ceil(8).max(1);
    Sample::Answered(Duration::from_millis(10) * rounds)
}

#[test]
fn rising_limit() {
    let mut limiter = Limiter::default();
    saturate(&mut limiter, 200, fast);
    assert!(limiter.limit_calls() > 100.0, "{}", limiter.limit_calls());
}

#[test]
fn queueing_upstream() {
    let mut limiter = Limiter::default();
    saturate(&mut limiter, 500, queueing);
    let limit = limiter.limit_calls();
    assert!((8.0..32.0).contains(&limit), "{limit}");
}

#[test]
fn pushed_back() {
    let mut limiter = Limiter::default();
    saturate(&mut limiter, 100, fast);
    let before = limiter.limit_calls();
    saturate(&mut limiter, 20, |_| Sample::PushedBack);
    assert!(limiter.limit_calls() < before / 2.0);
    assert!(limiter.limit_calls() >= 1.0);
}

#[test]
fn unused_limit() {
    let mut limiter = Limiter::default();
    for _ in 0..1_000 {
        assert!(limiter.try_start());
        limiter.finish(fast(1));
    }
    assert_eq!(limiter.limit_calls(), Limiter::default().limit_calls());
}

#[test]
fn reached_limit() {
    let mut limiter = Limiter::default();
    let started = (0..100).filter(|_| limiter.try_start()).count();
    assert_eq!(started, 4);
    limiter.finish(Sample::Ignored);
    assert!(limiter.try_start());
    assert!(!limiter.try_start());
}
