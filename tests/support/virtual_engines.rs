//! Simulated engines in virtual time, driven by real dispatchers and ledgers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use mimosavane::{
    Blackboard, Row,
    control::{
        blackboard::{
            EngineReport, Engines, Host, HostState, Hosts, Rows, Upstream, UpstreamKind,
            UpstreamState, Upstreams,
        },
        controller::{Controller as _, Rng, Round},
    },
    engine::rendezvous,
    ids::{HostId, RowId, UpstreamId},
    share::{
        dispatch::{Action, Dispatcher, Event, Request},
        fairness::{Class, PROMPT_COST_RATIO, Ranking, Ticket},
        ledger, shares,
    },
};
use rand::{Rng as _, SeedableRng};

pub const TICK: Duration = Duration::from_millis(100);
const MESSAGE_DELAY: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The load that a row generates.
#[derive(Clone, Debug)]
pub struct Demand {
    pub row: RowId,
    pub weight_ratio: f64,
    /// The share of the engines that the row uses, starting with the first.
    pub engines_ratio: f64,
    /// The number of requests that the row keeps waiting on each engine.
    pub waiting_count: usize,
    pub prompt_tokens: u32,
    pub mean_tokens: u32,
    /// The share of a request's tokens after which it is cancelled.
    pub cancel_at_ratio: Option<f64>,
    /// The seconds in which the row sends requests.
    pub active: std::ops::Range<u64>,
    pub class: Class,
}

impl Demand {
    pub fn new(row: &str) -> Self {
        Self {
            row: row.into(),
            weight_ratio: 1.0,
            engines_ratio: 1.0,
            waiting_count: 4,
            prompt_tokens: 200,
            mean_tokens: 400,
            cancel_at_ratio: None,
            active: 0..u64::MAX,
            class: Class::Rollout,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub host_count: usize,
    pub engine_count: usize,
    pub slots: u32,
    /// Whether the dispatchers apply the corrections of the ledgers.
    pub corrects: bool,
    pub seed: u64,
}

#[derive(Debug)]
struct Job {
    row: usize,
    engine: usize,
    class: Class,
    prompt_left: f64,
    tokens: u32,
    stop_at: u32,
    generated: f64,
}

#[derive(Debug)]
struct Member<R> {
    id: HostId,
    board: Blackboard,
    dispatcher: Dispatcher<R>,
    ledger: ledger::Controller,
    events: Vec<Event>,
}

/// The measurements of a simulation.
#[derive(Debug, Default)]
pub struct Served {
    /// The tokens served by row and second.
    pub tokens: Vec<Vec<f64>>,
    pub waits: BTreeMap<Class, Vec<Duration>>,
    pub refused_count: usize,
    pub preempted_count: usize,
    pub factors: BTreeMap<RowId, f64>,
}

pub struct Fleet<R> {
    shape: Shape,
    demands: Vec<Demand>,
    members: Vec<Member<R>>,
    dispatcher_of: Vec<usize>,
    engines: Vec<UpstreamId>,
    waiting: BTreeMap<Ticket, (Job, Duration)>,
    waiting_count: BTreeMap<(usize, usize), usize>,
    running: BTreeMap<Ticket, Job>,
    messages: VecDeque<(Duration, usize, ledger::Event)>,
    next_ticket: Ticket,
    rng: Rng,
    now: Duration,
    pub served: Served,
}

impl<R: Ranking> Fleet<R> {
    pub fn new(shape: Shape, demands: Vec<Demand>) -> Self {
        let host_ids: Vec<HostId> = (0..shape.host_count)
            .map(|n| format!("entry-{n}").into())
            .collect();
        let engines: Vec<UpstreamId> = (0..shape.engine_count)
            .map(|n| format!("engine-{n:04}").into())
            .collect();
        let dispatcher_of = engines
            .iter()
            .map(|engine| {
                let owner = rendezvous::engine_dispatcher(engine, &host_ids);
                host_ids
                    .iter()
                    .position(|id| Some(id) == owner)
                    .expect("every engine has a dispatcher among the hosts")
            })
            .collect();
        let board = board(&host_ids, &engines, &demands);
        let members = host_ids
            .iter()
            .map(|id| Member {
                id: id.clone(),
                board: board.clone(),
                dispatcher: Dispatcher::default(),
                ledger: ledger::Controller::new(id.clone(), 1),
                events: Vec::new(),
            })
            .collect();
        let served = Served {
            tokens: vec![Vec::new(); demands.len()],
            ..Served::default()
        };
        Self {
            shape,
            demands,
            members,
            dispatcher_of,
            engines,
            waiting: BTreeMap::new(),
            waiting_count: BTreeMap::new(),
            running: BTreeMap::new(),
            messages: VecDeque::new(),
            next_ticket: 0,
            rng: Rng::seed_from_u64(shape.seed),
            now: Duration::from_secs(1),
            served,
        }
    }

    pub fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            if self
                .now
                .as_millis()
                .is_multiple_of(REPORT_INTERVAL.as_millis())
            {
                self.report();
            }
            self.demand();
            self.generate();
            self.control();
        }
    }

    /// Returns the time per token, which differs by engine so that the load of
    /// the hosts is uneven.
    fn token_time(&self, engine: usize) -> Duration {
        Duration::from_millis(20 + 4 * (engine as u64 % 6))
    }

    fn report(&mut self) {
        let mut engines = Engines::default();
        for (number, id) in self.engines.iter().enumerate() {
            let running = self
                .running
                .values()
                .filter(|job| job.engine == number)
                .count();
            let report = EngineReport {
                running: running as u32,
                slots: self.shape.slots,
                at: self.now,
                token_time: self.token_time(number),
                ..EngineReport::default()
            };
            engines.reports.insert(id.clone(), report);
        }
        let engines = Arc::new(engines);
        for member in &mut self.members {
            member.board.engines = engines.clone();
        }
    }

    fn demand(&mut self) {
        let second = self.now.as_secs();
        for row in 0..self.demands.len() {
            let demand = self.demands[row].clone();
            if !demand.active.contains(&second) {
                continue;
            }
            let reach = (demand.engines_ratio * self.engines.len() as f64).ceil() as usize;
            for engine in 0..reach {
                let waiting = self.waiting_count.get(&(row, engine)).copied().unwrap_or(0);
                for _ in waiting..demand.waiting_count {
                    self.enqueue(row, engine, &demand);
                }
            }
        }
    }

    /// Adds a request. Its length has a tail: one in sixteen requests is four
    /// times as long.
    fn enqueue(&mut self, row: usize, engine: usize, demand: &Demand) {
        let factor = if self.rng.random_ratio(1, 16) {
            4.0
        } else {
            self.rng.random_range(0.4..1.2)
        };
        let tokens = (f64::from(demand.mean_tokens) * factor).ceil() as u32;
        let stop_at = demand
            .cancel_at_ratio
            .map_or(tokens, |ratio| (f64::from(tokens) * ratio).ceil() as u32);
        self.next_ticket += 1;
        let job = Job {
            row,
            engine,
            class: demand.class,
            prompt_left: f64::from(demand.prompt_tokens),
            tokens,
            stop_at,
            generated: 0.0,
        };
        self.waiting.insert(self.next_ticket, (job, self.now));
        *self.waiting_count.entry((row, engine)).or_default() += 1;
        let event = Event::Enqueue(Request {
            ticket: self.next_ticket,
            engine: self.engines[engine].clone(),
            row: demand.row.clone(),
            class: demand.class,
            priority: 0,
            prompt_tokens: demand.prompt_tokens,
            predicted_tokens: demand.mean_tokens,
            deadline: self.now + Duration::from_secs(100_000),
        });
        self.members[self.dispatcher_of[engine]].events.push(event);
    }

    fn generate(&mut self) {
        let second = (self.now - Duration::from_secs(1)).as_secs() as usize;
        for row in &mut self.served.tokens {
            row.resize(second + 1, 0.0);
        }
        let mut ended = Vec::new();
        let token_times: Vec<f64> = (0..self.engines.len())
            .map(|engine| self.token_time(engine).as_secs_f64())
            .collect();
        for (ticket, job) in &mut self.running {
            let mut steps = TICK.as_secs_f64() / token_times[job.engine];
            let served = &mut self.served.tokens[job.row][second];
            let read = job.prompt_left.min(steps / PROMPT_COST_RATIO);
            job.prompt_left -= read;
            *served += read * PROMPT_COST_RATIO;
            steps -= read * PROMPT_COST_RATIO;
            let made = steps.min(f64::from(job.stop_at) - job.generated).max(0.0);
            job.generated += made;
            *served += made;
            if job.generated >= f64::from(job.stop_at) {
                ended.push(*ticket);
            }
        }
        for ticket in ended {
            self.end(ticket);
        }
        if self.now.as_millis().is_multiple_of(1_000) {
            for (&ticket, job) in &self.running {
                let tokens = job.generated as u32;
                self.members[self.dispatcher_of[job.engine]]
                    .events
                    .push(Event::Progress { ticket, tokens });
            }
        }
    }

    fn end(&mut self, ticket: Ticket) {
        let Some(job) = self.running.remove(&ticket) else {
            return;
        };
        let tokens = job.generated as u32;
        let event = if job.stop_at < job.tokens {
            Event::Cancelled { ticket, tokens }
        } else {
            Event::Finished { ticket, tokens }
        };
        self.members[self.dispatcher_of[job.engine]]
            .events
            .push(event);
    }

    fn control(&mut self) {
        while self
            .messages
            .front()
            .is_some_and(|(at, ..)| *at <= self.now)
        {
            let (_, to, event) = self.messages.pop_front().expect("a message is due");
            self.ledger(to, vec![event]);
        }
        for number in 0..self.members.len() {
            let loads = self.members[number].dispatcher.loads();
            self.ledger(number, vec![ledger::Event::Loads(loads)]);
            let member = &mut self.members[number];
            if self.shape.corrects {
                member
                    .dispatcher
                    .set_corrections(member.ledger.corrections());
            }
            let events = std::mem::take(&mut member.events);
            let round = Round {
                board: &mut member.board,
                now: self.now,
                rng: &mut self.rng,
                decisions: &mut Vec::new(),
            };
            let actions = member.dispatcher.run(events, round);
            for action in actions {
                self.act(action);
            }
        }
        self.served.factors = self.members[0].ledger.corrections();
    }

    fn ledger(&mut self, number: usize, events: Vec<ledger::Event>) {
        let member = &mut self.members[number];
        let from = member.id.clone();
        let round = Round {
            board: &mut member.board,
            now: self.now,
            rng: &mut self.rng,
            decisions: &mut Vec::new(),
        };
        for ledger::Action::Send { to, message } in member.ledger.run(events, round) {
            let to = self
                .members
                .iter()
                .position(|member| member.id == to)
                .expect("the recipient is a member");
            let event = ledger::Event::Received {
                from: from.clone(),
                message: (*message).clone(),
            };
            self.messages
                .push_back((self.now + MESSAGE_DELAY, to, event));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { ticket, .. } => {
                let (job, since) = self.waiting.remove(&ticket).expect("the job is waiting");
                *self
                    .waiting_count
                    .get_mut(&(job.row, job.engine))
                    .expect("the job is counted") -= 1;
                let waits = self.served.waits.entry(job.class).or_default();
                waits.push(self.now - since);
                self.running.insert(ticket, job);
            }
            Action::Refuse { ticket, .. } => {
                let (job, _) = self.waiting.remove(&ticket).expect("the job is waiting");
                *self
                    .waiting_count
                    .get_mut(&(job.row, job.engine))
                    .expect("the job is counted") -= 1;
                self.served.refused_count += 1;
            }
            Action::Preempt { ticket } => {
                self.served.preempted_count += 1;
                self.end(ticket);
            }
        }
    }
}

impl Served {
    /// Returns the tokens served for each row in the seconds of `window`.
    pub fn window(&self, window: std::ops::Range<usize>) -> Vec<f64> {
        self.tokens
            .iter()
            .map(|row| row[window.clone()].iter().sum())
            .collect()
    }

    /// Returns the largest relative deviation from its share of any of `rows`,
    /// in any window of `seconds` within `span`.
    pub fn worst_error_ratio(
        &self,
        shares: &[f64],
        rows: &BTreeSet<usize>,
        span: std::ops::Range<usize>,
        seconds: usize,
    ) -> f64 {
        let share_sum: f64 = rows.iter().map(|&row| shares[row]).sum();
        let starts = span.start..=span.end - seconds;
        starts
            .flat_map(|start| {
                let tokens = self.window(start..start + seconds);
                let sum: f64 = rows.iter().map(|&row| tokens[row]).sum();
                rows.iter()
                    .map(|&row| (tokens[row] / (sum * shares[row] / share_sum) - 1.0).abs())
                    .collect::<Vec<_>>()
            })
            .fold(0.0, f64::max)
    }

    /// Returns Jain's fairness index of the rows' tokens divided by their
    /// shares.
    pub fn jain(&self, shares: &[f64], window: std::ops::Range<usize>) -> f64 {
        let parts: Vec<f64> = self
            .window(window)
            .iter()
            .zip(shares)
            .map(|(tokens, share)| tokens / share)
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares)
    }
}

/// Returns the share of each demand's row.
pub fn shares_of(demands: &[Demand]) -> Vec<f64> {
    let shares = shares(&rows(demands));
    demands.iter().map(|demand| shares[&demand.row]).collect()
}

fn rows(demands: &[Demand]) -> Rows {
    let mut rows = Rows::default();
    for demand in demands {
        let mut row = Row::new(demand.row.clone());
        row.weight_ratio = demand.weight_ratio;
        rows.rows.insert(demand.row.clone(), row.into());
    }
    rows
}

fn board(hosts: &[HostId], engines: &[UpstreamId], demands: &[Demand]) -> Blackboard {
    let mut members = Hosts::default();
    for id in hosts {
        let host = Host {
            id: id.clone(),
            incarnation: 1,
            state: HostState::Alive,
            failure_domain: "mx-a".into(),
            region: "mx".into(),
            peer_address: ([127, 0, 0, 1], 9000).into(),
            http_address: ([127, 0, 0, 1], 8000).into(),
        };
        members.members.insert(id.clone(), host);
    }
    let mut upstreams = Upstreams::default();
    for id in engines {
        let upstream = Upstream {
            id: id.clone(),
            kind: UpstreamKind::Engine,
            pool: "base".into(),
            address: ([127, 0, 0, 1], 7000).into(),
            failure_domain: "mx-a".into(),
            state: UpstreamState::Live,
            checks_fences: true,
        };
        upstreams.members.insert(id.clone(), upstream);
    }
    Blackboard {
        hosts: members.into(),
        upstreams: upstreams.into(),
        rows: rows(demands).into(),
        ..Blackboard::default()
    }
}
