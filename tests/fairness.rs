//! Tests that rows get their shares of served tokens, in one queue and over a
//! fleet.

mod support {
    pub mod virtual_engines;
}

use std::collections::BTreeSet;

use mimosavane::{
    engine::baseline::FirstCome,
    share::fairness::{Class, Cost, Entry, Queue, Ranking, Ticket, Weighted},
};
use support::virtual_engines::{Demand, Fleet, Shape, shares_of};

/// The maximum error of a backlogged row's share over any 60 s.
const MAX_ERROR_RATIO: f64 = 0.05;

const SHAPE: Shape = Shape {
    host_count: 10,
    engine_count: 30,
    slots: 32,
    corrects: true,
    seed: 1,
};

fn eleven_rows() -> Vec<Demand> {
    (0..11)
        .map(|number| {
            let mut demand = Demand::new(&format!("row-{number:02}"));
            demand.weight_ratio = 1.0 + f64::from(number % 3);
            demand
        })
        .collect()
}

/// Returns eleven rows, of which five send to only half of the engines.
fn uneven_rows() -> Vec<Demand> {
    let mut demands = eleven_rows();
    for demand in &mut demands[..5] {
        demand.engines_ratio = 0.5;
    }
    demands
}

/// Returns the worst share error over any 60 s, and Jain's fairness index, from
/// `from_s` on.
fn measure<R: Ranking>(label: &str, shape: Shape, demands: &[Demand], from_s: usize) -> (f64, f64) {
    let shares = shares_of(demands);
    let rows: BTreeSet<usize> = (0..demands.len()).collect();
    let mut fleet = Fleet::<R>::new(shape, demands.to_vec());
    fleet.run(from_s as u64 + 180);
    let span = from_s..from_s + 180;
    let worst = fleet
        .served
        .worst_error_ratio(&shares, &rows, span.clone(), 60);
    let jain = fleet.served.jain(&shares, span);
    println!("{label}: worst share error over 60 s {worst:.3}, Jain's index {jain:.4}");
    (worst, jain)
}

#[test]
fn even_hosts() {
    let (worst, jain) = measure::<Weighted>("even hosts", SHAPE, &eleven_rows(), 60);
    let (_, baseline) = measure::<FirstCome>("even hosts, first come", SHAPE, &eleven_rows(), 60);
    assert!(worst <= MAX_ERROR_RATIO);
    assert!(jain > baseline);
}

#[test]
fn uneven_hosts() {
    let (worst, jain) = measure::<Weighted>("uneven hosts", SHAPE, &uneven_rows(), 120);
    let (_, baseline) =
        measure::<FirstCome>("uneven hosts, first come", SHAPE, &uneven_rows(), 120);
    assert!(worst <= MAX_ERROR_RATIO);
    assert!(jain > baseline);
    let local = Shape {
        corrects: false,
        ..SHAPE
    };
    let (without, _) = measure::<Weighted>("uneven hosts, local only", local, &uneven_rows(), 120);
    assert!(without > MAX_ERROR_RATIO);
}

/// Runs eleven rows, of which the last tries to gain more than its share by
/// `change`, and checks that it doesn't and that the others get their shares.
fn check_cheating_row(label: &str, change: impl Fn(&mut Demand)) {
    let mut demands = eleven_rows();
    change(&mut demands[10]);
    let shares = shares_of(&demands);
    let mut fleet = Fleet::<Weighted>::new(SHAPE, demands);
    fleet.run(240);
    let tokens = fleet.served.window(60..240);
    let sum: f64 = tokens.iter().sum();
    let parts: Vec<f64> = tokens
        .iter()
        .zip(&shares)
        .map(|(tokens, share)| tokens / sum / share)
        .collect();
    let least = parts[..10].iter().copied().fold(f64::MAX, f64::min);
    println!(
        "{label}: cheating row {:.3}, least other {least:.3}",
        parts[10]
    );
    assert!(parts[10] <= 1.0 + MAX_ERROR_RATIO);
    assert!(least >= 1.0 - MAX_ERROR_RATIO);
}

#[test]
fn split_requests() {
    check_cheating_row("splitting", |demand| {
        demand.mean_tokens = 25;
        demand.prompt_tokens = 12;
        demand.waiting_count = 64;
    });
}

#[test]
fn long_prompts() {
    check_cheating_row("long prompts", |demand| {
        demand.prompt_tokens = 8_000;
        demand.mean_tokens = 50;
    });
}

#[test]
fn cancelled_requests() {
    check_cheating_row("cancelling", |demand| demand.cancel_at_ratio = Some(0.7));
}

#[test]
fn flooded_host() {
    check_cheating_row("flooding", |demand| {
        demand.engines_ratio = 0.1;
        demand.waiting_count = 400;
    });
}

/// Returns, for each second, the part of its share that a returning row is served.
fn return_parts(mean_tokens: u32) -> Vec<f64> {
    let mut demands = eleven_rows();
    for demand in &mut demands {
        demand.mean_tokens = mean_tokens;
    }
    demands[10].weight_ratio = 10.0;
    demands[10].active = 100..u64::MAX;
    let share = shares_of(&demands)[10];
    let mut fleet = Fleet::<Weighted>::new(SHAPE, demands);
    fleet.run(130);
    (99..125)
        .map(|second| {
            let tokens = fleet.served.window(second..second + 1);
            tokens[10] / tokens.iter().sum::<f64>() / share
        })
        .collect()
}

/// A returning row soon gets back the share that was lent to other rows.
#[test]
fn lent_share() {
    for mean_tokens in [400, 2_000] {
        let parts = return_parts(mean_tokens);
        println!("return at {mean_tokens} tokens a sample: {parts:.2?}");
        let reached = parts.iter().position(|part| *part >= 0.9);
        assert!(reached.is_some_and(|second| second < 5));
    }
}

#[test]
fn interactive_share() {
    let mut demands = eleven_rows();
    demands[0].class = Class::Interactive;
    let shares = shares_of(&demands);
    let mut fleet = Fleet::<Weighted>::new(SHAPE, demands);
    fleet.run(120);
    let tokens = fleet.served.window(60..120);
    let part = tokens[0] / tokens.iter().sum::<f64>() / shares[0];
    println!("a row with interactive work only: {part:.3} of its share");
    assert!((1.0 - MAX_ERROR_RATIO..=1.0 + MAX_ERROR_RATIO).contains(&part));
}

#[test]
fn interactive_first() {
    let mut queue = two_rows();
    for ticket in 0..10 {
        queue.push(entry(ticket, "a", Class::Rollout, 9, 100));
        queue.push(entry(100 + ticket, "b", Class::Rollout, 9, 100));
    }
    // Row "a" was served last, and is ahead of row "b".
    assert_eq!(queue.pop().map(|entry| entry.ticket), Some(0));
    queue.push(entry(200, "a", Class::Interactive, 0, 100));
    assert_eq!(queue.pop().map(|entry| entry.ticket), Some(200));
    assert_eq!(queue.pop().map(|entry| entry.ticket), Some(100));
}

fn entry(ticket: Ticket, row: &str, class: Class, priority: u32, tokens: u32) -> Entry<()> {
    Entry {
        ticket,
        row: row.into(),
        class,
        priority,
        cost: Cost {
            prompt_tokens: 0,
            generated_tokens: tokens,
        },
        item: (),
    }
}

fn two_rows() -> Queue<()> {
    let mut queue = Queue::new();
    queue.set_shares(&[("a".into(), 0.5), ("b".into(), 0.5)].into());
    queue
}

#[test]
fn rollouts_not_starved() {
    let mut queue = two_rows();
    for ticket in 0..1_000 {
        queue.push(entry(ticket, "a", Class::Interactive, 0, 100));
        queue.push(entry(1_000 + ticket, "b", Class::Rollout, 0, 100));
    }
    let rollouts = (0..1_000)
        .filter_map(|_| queue.pop())
        .filter(|entry| entry.class == Class::Rollout)
        .count();
    assert!((450..=550).contains(&rollouts), "{rollouts}");
}

#[test]
fn priority_order() {
    let mut queue = two_rows();
    queue.push(entry(1, "a", Class::Rollout, 0, 100));
    queue.push(entry(2, "a", Class::Rollout, 9, 100));
    queue.push(entry(3, "a", Class::Rollout, 9, 100));
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop())
        .map(|entry| entry.ticket)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

/// A row that predicts too few tokens gets no more than its share.
#[test]
fn low_prediction() {
    let mut queue = two_rows();
    for ticket in 0..400 {
        queue.push(entry(ticket, "a", Class::Rollout, 0, 1));
        queue.push(entry(1_000 + ticket, "b", Class::Rollout, 0, 100));
    }
    let mut served = [0, 0];
    for _ in 0..200 {
        let entry = queue.pop().unwrap();
        served[usize::from(&*entry.row == "b")] += 100;
        queue.settle(entry.ticket, 100);
    }
    assert!(served[0] <= served[1] + 200, "{served:?}");
}

/// A row that was idle gets no more than its share afterwards.
#[test]
fn saved_claim() {
    let mut queue = two_rows();
    for ticket in 0..200 {
        queue.push(entry(ticket, "b", Class::Rollout, 0, 100));
    }
    for _ in 0..100 {
        let entry = queue.pop().unwrap();
        queue.settle(entry.ticket, 100);
    }
    for ticket in 1_000..1_100 {
        queue.push(entry(ticket, "a", Class::Rollout, 0, 100));
    }
    let of_a = (0..40)
        .filter_map(|_| queue.pop())
        .filter(|entry| &*entry.row == "a")
        .count();
    assert!((19..=21).contains(&of_a), "{of_a}");
}

#[test]
fn cancelled_while_waiting() {
    let mut queue = two_rows();
    queue.push(entry(1, "a", Class::Rollout, 0, 1_000));
    assert!(queue.cancel(1).is_some());
    assert!(queue.cancel(1).is_none());
    assert_eq!(queue.counted_tokens_of(&"a".into()), 0.0);
    assert!(queue.pop().is_none());
}

#[test]
fn random_operations() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|operations| {
            let mut queue = two_rows();
            let mut waiting = BTreeSet::new();
            let mut running = BTreeSet::new();
            for (number, (operation, pick, tokens)) in operations.iter().enumerate() {
                let ticket = number as Ticket;
                let chosen = |set: &BTreeSet<Ticket>| {
                    set.iter()
                        .nth(usize::from(*pick) % set.len().max(1))
                        .copied()
                };
                match operation % 5 {
                    0 | 1 => {
                        let row = if pick % 2 == 0 { "a" } else { "b" };
                        let class = if pick % 3 == 0 {
                            Class::Interactive
                        } else {
                            Class::Rollout
                        };
                        queue.push(entry(
                            ticket,
                            row,
                            class,
                            u32::from(pick % 4),
                            u32::from(*tokens),
                        ));
                        waiting.insert(ticket);
                    }
                    2 => {
                        let popped = queue.pop().map(|entry| entry.ticket);
                        assert_eq!(popped.is_some(), !waiting.is_empty());
                        if let Some(popped) = popped {
                            assert!(waiting.remove(&popped));
                            running.insert(popped);
                        }
                    }
                    3 => {
                        if let Some(ticket) = chosen(&waiting) {
                            assert!(queue.cancel(ticket).is_some());
                            waiting.remove(&ticket);
                        }
                    }
                    _ => {
                        if let Some(ticket) = chosen(&running) {
                            queue.progress(ticket, u32::from(*tokens));
                            assert!(queue.settle(ticket, u32::from(*tokens)));
                            running.remove(&ticket);
                        }
                    }
                }
                assert_eq!(queue.len(), waiting.len());
                assert_eq!(queue.running_count(), running.len());
            }
        });
}
