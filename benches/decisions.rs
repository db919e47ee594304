//! Benchmarks of single decisions; `mimosavane-bench` compares the same ones with
//! bounds.

use criterion::Criterion;
use fixture::{CompletedStep, Node};
use mimosavane::engine::routing::Policy as _;

#[path = "../src/bin/mimosavane-bench/fixture.rs"]
mod fixture;

const ENGINE_COUNTS: [usize; 3] = [60, 600, 6_000];

fn engine_choice(criterion: &mut Criterion) {
    for count in ENGINE_COUNTS {
        let mut node = Node::new(count);
        let row = fixture::row(0);
        let prefix: Vec<u64> = (0..31).collect();
        criterion.bench_function(&format!("engine_choice/{count}"), |bencher| {
            bencher.iter(|| {
                let request = fixture::request(&row, &prefix);
                node.router
                    .choose(&node.board, &request, node.now, &mut node.rng)
            });
        });
    }
}

fn fair_queue(criterion: &mut Criterion) {
    let mut queue = fixture::queue();
    let mut ticket = 1_024;
    criterion.bench_function("fair_queue/push_pop", |bencher| {
        bencher.iter(|| {
            ticket += 1;
            queue.push(fixture::entry(ticket));
            queue.pop()
        });
    });
}

fn delivery(criterion: &mut Criterion) {
    let mut step = CompletedStep::new();
    criterion.bench_function("delivery/pull_of_4096", |bencher| {
        bencher.iter(|| step.pull());
    });
}

fn controller_round(criterion: &mut Criterion) {
    for count in ENGINE_COUNTS {
        let mut node = Node::new(count);
        criterion.bench_function(&format!("controller_round/{count}"), |bencher| {
            bencher.iter(|| node.round());
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    engine_choice(&mut criterion);
    fair_queue(&mut criterion);
    delivery(&mut criterion);
    controller_round(&mut criterion);
    criterion.final_summary();
}
