//! Tests how long prompts are placed beside short ones, on a small model of engines that
//! read prompts in chunks between the tokens of other requests.

mod rows_support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use mimosavane::{
    batch::{
        job::{Item, PromptPart},
        scheduler::{Action, EngineSpec, Rights, RunEnd, RunNumber, Scheduler},
    },
    clock::Timestamp,
};
use rows_support::{engine, job};

const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};
const TICK_MS: u64 = 2;
const EVENT_MS: f64 = 40.0;
const EVENT_COUNT: u64 = 10;
const SPEED_TOKENS_PER_MS: f64 = 200.0;
const SHORT: u64 = 276;
const LONG: u64 = 30_000;
/// The target for the first event of short and long prompts.
const TARGET_MS: u64 = 400;
/// The seeds of the arrivals in each pattern.
const SEEDS: [u64; 3] = [1, 2, 3];
/// The speeds of the engines relative to the typical one.
const SPEEDS: [f64; 8] = [1.3, 0.55, 1.0, 1.0, 0.8, 1.2, 0.7, 1.0];

#[derive(Debug)]
struct Run {
    engine: usize,
    prompt: u64,
    arrived_ms: u64,
    unread: f64,
    progress_ms: f64,
    event: u64,
}

struct Fleet {
    scheduler: Scheduler,
    now_ms: u64,
    /// Whether the scheduler knows how long prompts are.
    is_aware: bool,
    runs: BTreeMap<RunNumber, Run>,
    /// The parts that each engine has begun to read.
    read_parts: Vec<BTreeSet<String>>,
    jobs: BTreeMap<String, (u64, Vec<u64>, Option<String>)>,
    starts: Vec<(usize, u64)>,
    /// The times from arrival to the first event, by prompt.
    first_ms: BTreeMap<u64, Vec<u64>>,
    /// The most unread tokens at one engine.
    max_unread: f64,
    random: u64,
}

impl Fleet {
    fn new(is_aware: bool, seed: u64) -> Self {
        let mut scheduler = Scheduler::default();
        let engines = (0..SPEEDS.len()).map(|index| EngineSpec {
            memory_tokens: 200_000,
            ..engine(&format!("{index}"), 6)
        });
        scheduler.set_engines(engines.collect());
        Self {
            scheduler,
            now_ms: 10_000,
            is_aware,
            runs: BTreeMap::new(),
            read_parts: vec![BTreeSet::new(); SPEEDS.len()],
            jobs: BTreeMap::new(),
            starts: Vec::new(),
            first_ms: BTreeMap::new(),
            max_unread: 0.0,
            random: seed,
        }
    }

    const fn now(&self) -> Timestamp {
        Duration::from_millis(self.now_ms)
    }

    /// Returns a number below `bound` of a fixed sequence.
    const fn draw(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound
    }

    /// Opens a job of items with these prompts, all of whose tokens are in `part` if given.
    fn open(&mut self, prompts: &[u64], part: Option<&str>) {
        let id = format!("job-{}", self.jobs.len());
        let mut job = job(&id, prompts.len(), 10);
        for (item, prompt) in job.items.iter_mut().zip(prompts) {
            item.prompt_tokens = if self.is_aware { *prompt } else { SHORT };
            item.length_hint_tokens = EVENT_COUNT * 61;
        }
        let now = self.now();
        self.scheduler
            .open(job, &Default::default(), Duration::ZERO, now);
        if let Some(part) = part.filter(|_| self.is_aware) {
            let parts = |item: &Item| {
                vec![PromptPart {
                    id: part.to_owned(),
                    tokens: item.prompt_tokens - 16,
                }]
            };
            self.scheduler.set_prompt_parts(&id.as_str().into(), parts);
        }
        let part = part.map(ToOwned::to_owned);
        self.jobs.insert(id, (self.now_ms, prompts.to_vec(), part));
    }

    /// Opens a job of one or two short items.
    fn open_short(&mut self) {
        let count = 1 + self.draw(2) as usize;
        self.open(&[SHORT; 2][..count], None);
    }

    fn poll(&mut self) {
        for action in self.scheduler.poll(self.now(), RIGHTS) {
            let (run, job, item_index, engine, last_event) = match action {
                Action::Start {
                    run,
                    job,
                    item_index,
                    engine,
                    last_event,
                } => (run, job, item_index, engine, last_event),
                Action::Cancel { run } => {
                    self.runs.remove(&run);
                    continue;
                }
                Action::Order(_) => continue,
            };
            assert!(self.scheduler.record_answer(run, 1, self.now()));
            let (arrived_ms, prompts, part) = &self.jobs[&*job];
            let engine: usize = engine.parse().expect("a number");
            let is_read = part
                .as_ref()
                .is_some_and(|part| !self.read_parts[engine].insert(part.clone()));
            let prompt = prompts[item_index];
            self.starts.push((engine, prompt));
            let state = Run {
                engine,
                prompt,
                arrived_ms: *arrived_ms,
                unread: if is_read { 16.0 } else { prompt as f64 },
                progress_ms: 0.0,
                event: last_event,
            };
            self.runs.insert(run, state);
        }
    }

    /// Lets engines read and generate for a tick. An engine that reads generates at half of
    /// its speed.
    fn work(&mut self) {
        self.now_ms += TICK_MS;
        let now = self.now();
        for (index, speed) in SPEEDS.iter().enumerate() {
            let mut budget = TICK_MS as f64 * SPEED_TOKENS_PER_MS * speed;
            let own = || self.runs.values().filter(|run| run.engine == index);
            let unread: f64 = own().map(|run| run.unread).sum();
            self.max_unread = self.max_unread.max(unread);
            let share = if unread > 0.0 { 0.5 } else { 1.0 };
            for run in self.runs.values_mut().filter(|run| run.engine == index) {
                if run.unread > 0.0 {
                    let read = run.unread.min(budget);
                    run.unread -= read;
                    budget -= read;
                } else {
                    run.progress_ms += TICK_MS as f64 * speed * share;
                }
            }
        }
        let mut ended = VecDeque::new();
        for (number, run) in &mut self.runs {
            if run.progress_ms >= EVENT_MS {
                run.progress_ms -= EVENT_MS;
                run.event += 1;
                assert!(self.scheduler.record_event(*number, run.event, "x", 1, now));
                if run.event == 1 {
                    let took = self.now_ms - run.arrived_ms;
                    self.first_ms.entry(run.prompt).or_default().push(took);
                }
                if run.event == EVENT_COUNT {
                    ended.push_back(*number);
                }
            }
        }
        for run in ended {
            self.runs.remove(&run);
            self.scheduler.record_run_end(run, RunEnd::Completed, now);
        }
    }

    /// Plays `duration_ms`, in which `arrive` opens jobs each 20 ms.
    fn play(&mut self, duration_ms: u64, mut arrive: impl FnMut(&mut Self)) {
        for tick in 0..duration_ms / TICK_MS {
            if tick.is_multiple_of(10) {
                arrive(self);
            }
            if tick.is_multiple_of(2) {
                self.poll();
            }
            self.work();
        }
    }
}

/// Returns the share, in percent, of first events that met the target, and the mean time
/// to them.
fn outcome(times: &[u64]) -> (u64, u64) {
    let count = times.len() as u64;
    let met_count = times.iter().filter(|ms| **ms <= TARGET_MS).count() as u64;
    (met_count * 100 / count, times.iter().sum::<u64>() / count)
}

/// Plays a pattern with placement by prompts and without, and checks that first events of
/// both kinds come no later with it, and that less piles up at an engine. Of the short and
/// the long prompts, at least these percentages must meet the target. Returns the last fleet
/// with placement by prompts.
fn compare(min_met: [u64; 2], play: impl Fn(&mut Fleet)) -> Fleet {
    let [aware, blind] = [true, false].map(|is_aware| {
        SEEDS.map(|seed| {
            let mut fleet = Fleet::new(is_aware, seed);
            play(&mut fleet);
            fleet
        })
    });
    let times = |fleets: &[Fleet], prompt: u64| -> Vec<u64> {
        let own = fleets
            .iter()
            .filter_map(|fleet| fleet.first_ms.get(&prompt));
        own.flatten().copied().collect()
    };
    for (prompt, min_met) in [SHORT, LONG].into_iter().zip(min_met) {
        let [own, other] = [&aware, &blind].map(|fleets| times(fleets, prompt));
        if own.is_empty() {
            continue;
        }
        let ((met, mean_ms), (blind_met, blind_mean_ms)) = (outcome(&own), outcome(&other));
        println!("{prompt}: {met}%, {mean_ms} ms; without {blind_met}%, {blind_mean_ms} ms");
        assert!(met >= min_met, "{prompt}: {met}% met the target");
        assert!(met >= blind_met, "{prompt}: {met}%, {blind_met}%");
        assert!(
            mean_ms <= blind_mean_ms,
            "{prompt}: {mean_ms} ms, {blind_mean_ms} ms"
        );
    }
    let max_unread = |fleets: &[Fleet]| fleets.iter().map(|fleet| fleet.max_unread).sum::<f64>();
    assert!(max_unread(&aware) < max_unread(&blind));
    let [.., last] = aware;
    last
}

/// Guards against short prompts that wait behind several long ones.
#[test]
fn few_long() {
    compare([99, 97], |fleet| {
        fleet.play(20_000, |fleet| {
            fleet.open_short();
            if fleet.draw(5) == 0 {
                fleet.open(&[LONG], None);
            }
        });
    });
}

/// Guards against bursts of long prompts that fill all engines at once.
#[test]
fn bursts_of_long() {
    let fleet = compare([99, 75], |fleet| {
        fleet.play(20_000, |fleet| {
            fleet.open(&[SHORT], None);
            if fleet.draw(75) == 0 {
                fleet.open(&[LONG; 14], None);
            }
        });
    });
    assert!(fleet.scheduler.prompt_load().put_off_count > 0);
}

/// Guards against a budget that leaves slots empty where there is nothing to protect.
#[test]
fn all_long() {
    let fleet = compare([0, 98], |fleet| {
        fleet.play(20_000, |fleet| {
            if fleet.draw(2) == 0 {
                fleet.open(&[LONG], None);
            }
        });
    });
    let budget_tokens = fleet.scheduler.prompt_load().budget_tokens;
    assert!(budget_tokens >= LONG, "{budget_tokens}");
}

/// Guards against a budget that stays what the first mix made it.
#[test]
fn turning_mix() {
    compare([99, 97], |fleet| {
        let mut budgets = Vec::new();
        for period in [20, 3, 20] {
            fleet.play(6_000, |fleet| {
                fleet.open(&[SHORT], None);
                if fleet.draw(period) == 0 {
                    fleet.open(&[LONG], None);
                }
            });
            budgets.push(fleet.scheduler.prompt_load().budget_tokens);
        }
        if fleet.is_aware {
            assert!(
                budgets[0] < budgets[1] && budgets[2] < budgets[1],
                "{budgets:?}"
            );
        }
    });
}

/// Guards against groups whose shared prompt is read anew at each engine.
#[test]
fn shared_parts() {
    let read_counts = RefCell::new(Vec::new());
    compare([98, 90], |fleet| {
        let mut number = 0;
        fleet.play(20_000, |fleet| {
            fleet.open(&[SHORT], None);
            if fleet.draw(20) == 0 {
                number += 1;
                fleet.open(&[LONG; 8], Some(&format!("part-{number}")));
            }
        });
        let read_count: usize = fleet.read_parts.iter().map(BTreeSet::len).sum();
        read_counts.borrow_mut().push(read_count);
    });
    let (aware, blind) = (&read_counts.borrow()[..3], &read_counts.borrow()[3..]);
    let sum = |counts: &[usize]| counts.iter().sum::<usize>();
    assert!(sum(aware) * 5 <= sum(blind) * 4, "{read_counts:?}");
}

/// Guards against items that leave the engine which holds their prompt, although they would
/// not wait there.
#[test]
fn held_parts() {
    let mut fleet = Fleet::new(true, 7);
    fleet.open(&[LONG], Some("part"));
    fleet.play(400, |_| {});
    fleet.open(&[LONG; 2], Some("part"));
    fleet.poll();
    let engines: BTreeSet<usize> = fleet.starts.iter().map(|(engine, _)| *engine).collect();
    assert_eq!((fleet.starts.len(), engines.len()), (3, 1));
    assert_eq!(fleet.scheduler.prompt_load().waiting_tokens, 2 * 16);
}

/// Guards against a change for prompts of one usual length: nothing is put off, and all
/// slots are taken at once.
#[test]
fn uniform_prompts() {
    for prompt in [276, 1_016] {
        let mut fleet = Fleet::new(true, 7);
        fleet.open(&[prompt; 48], None);
        fleet.poll();
        assert_eq!(fleet.starts.len(), 48);
        fleet.play(2_000, |fleet| fleet.open(&[prompt; 8], None));
        assert_eq!(fleet.scheduler.prompt_load().put_off_count, 0);
    }
}

/// Guards against long prompts that never start beside short ones without end, and against
/// short ones that are put off with them: each engine gets one long prompt at once.
#[test]
fn one_each() {
    let mut fleet = Fleet::new(true, 7);
    fleet.open(&[LONG; 20], None);
    fleet.open(&[SHORT; 16], None);
    fleet.poll();
    let started = |fleet: &Fleet, prompt| fleet.starts.iter().filter(|s| s.1 == prompt).count();
    let engines: BTreeSet<usize> = fleet
        .starts
        .iter()
        .filter(|s| s.1 == LONG)
        .map(|s| s.0)
        .collect();
    assert_eq!((started(&fleet, LONG), engines.len()), (8, 8));
    assert_eq!(started(&fleet, SHORT), 16);
    assert!(fleet.scheduler.has_put_off_prompts());
    fleet.play(1_500, |fleet| fleet.open(&[SHORT; 2], None));
    assert_eq!(fleet.first_ms[&LONG].len(), 20);
    assert!(!fleet.scheduler.has_put_off_prompts());
}

/// Guards against prompts that count on after their runs: the tokens that wait are those of
/// runs without an event.
#[test]
fn tokens_that_wait() {
    let mut fleet = Fleet::new(true, 7);
    fleet.open(&[LONG], None);
    fleet.open(&[SHORT; 3], None);
    fleet.poll();
    let waiting = |fleet: &Fleet| fleet.scheduler.prompt_load().waiting_tokens;
    assert_eq!(waiting(&fleet), LONG + 3 * SHORT);
    let cancelled = fleet.scheduler.end(&"job-1".into());
    assert_eq!((cancelled.len(), waiting(&fleet)), (3, LONG));
    fleet.runs.retain(|_, run| run.prompt == LONG);
    fleet.play(400, |_| {});
    assert_eq!(waiting(&fleet), 0);
}
