//! Tests how many upstreams of a service are ordered, under several load patterns, against a
//! simulated platform without a network.

use std::{collections::BTreeMap, time::Duration};

use bolero::check;
use mimosavane::{
    clock::Timestamp,
    ingress::capacity::{
        Answer, Backlog, Demand, LossReason, Order, Place, Planner, Presence, Scaling,
        ServiceState, settle_time,
    },
};

const TICK: Duration = Duration::from_millis(250);
const BOOT_TIME: Duration = Duration::from_secs(4);
const NOTICE: Duration = Duration::from_millis(2_500);
const SLOT_COUNT: usize = 6;
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// An upstream of the platform: when it begins to serve and when it leaves.
struct Machine {
    place: Place,
    serves_at: Timestamp,
    leaves_at: Option<Timestamp>,
}

/// A platform that does what it is ordered, except where the test says otherwise.
struct Platform {
    bounds: Scaling,
    planner: Planner,
    machines: Vec<Machine>,
    now: Timestamp,
    demand: Demand,
    /// Domains without upstreams to be had, with the time at which they have some again.
    empty_until: BTreeMap<&'static str, Timestamp>,
    /// The number of further orders that are taken but whose answer is lost.
    lost_answer_count: usize,
    orders: Vec<(Timestamp, Order)>,
    losses: Vec<(Place, usize, LossReason)>,
    new_refusal_count: usize,
    min_serving_count: usize,
}

fn place(domain: &str, is_spot: bool) -> Place {
    Place {
        domain: domain.into(),
        is_spot,
    }
}

/// A demand of `count` items, of which those above `slots` wait, due in 8 s.
fn demand(count: usize, slots: usize, item: Duration) -> Demand {
    Demand {
        running_count: count.min(slots),
        waiting_count: count.saturating_sub(slots),
        jobs: vec![Backlog {
            due_in: Duration::from_secs(8),
            work: item * count as u32,
        }],
        is_complete: true,
    }
}

impl Platform {
    fn new(counts: &[(&str, bool, usize)]) -> Self {
        let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
        let now = Duration::from_secs(100);
        let machines = counts.iter().flat_map(|(domain, is_spot, count)| {
            (0..*count).map(|_| Machine {
                place: place(domain, *is_spot),
                serves_at: Duration::ZERO,
                leaves_at: None,
            })
        });
        Self {
            bounds: Scaling {
                min_count: 1,
                max_count: 8,
                boot_time: BOOT_TIME,
                spot_price_ratio: 0.18,
                domain_prices: prices.map(|(name, price)| (name.into(), price)).into(),
            },
            planner: Planner::new(now),
            machines: machines.collect(),
            now,
            demand: Demand::default(),
            empty_until: BTreeMap::new(),
            lost_answer_count: 0,
            orders: Vec::new(),
            losses: Vec::new(),
            new_refusal_count: 0,
            min_serving_count: usize::MAX,
        }
    }

    /// Four upstreams in each failure domain, of which the platform may reclaim half.
    fn mixed() -> Self {
        let all = ["a", "b", "c"].map(|domain| [(domain, false, 2), (domain, true, 2)]);
        Self::new(&all.concat())
    }

    fn state(&self) -> ServiceState {
        let mut present: BTreeMap<Place, Presence> = BTreeMap::new();
        for machine in &self.machines {
            if machine.serves_at <= self.now {
                let presence = present.entry(machine.place.clone()).or_default();
                match machine.leaves_at {
                    Some(_) => presence.draining_count += 1,
                    None => presence.serving_count += 1,
                }
            }
        }
        ServiceState {
            bounds: self.bounds.clone(),
            slot_count: SLOT_COUNT,
            present,
            is_listed: true,
            demand: self.demand.clone(),
        }
    }

    fn serving(&self) -> usize {
        let state = self.state();
        state.present.values().map(|p| p.serving_count).sum()
    }

    fn serving_at(&self, place: &Place) -> usize {
        self.state()
            .present
            .get(place)
            .map_or(0, |p| p.serving_count)
    }

    fn carry_out(&mut self, order: &Order) -> Answer {
        let domain = &*order.place.domain;
        let staying =
            |machine: &&mut Machine| machine.place == order.place && machine.leaves_at.is_none();
        let count = self.machines.iter_mut().filter(staying).count();
        if order.wanted_count > count {
            if self
                .empty_until
                .get(domain)
                .is_some_and(|until| self.now < *until)
            {
                return Answer::Refused;
            }
            self.machines
                .extend((count..order.wanted_count).map(|_| Machine {
                    place: order.place.clone(),
                    serves_at: self.now + BOOT_TIME,
                    leaves_at: None,
                }));
        }
        let surplus_count = count.saturating_sub(order.wanted_count);
        let leaving = self.machines.iter_mut().filter(staying).take(surplus_count);
        for machine in leaving {
            machine.leaves_at = Some(self.now + NOTICE);
        }
        Answer::Done
    }

    fn step(&mut self) {
        self.now += TICK;
        self.machines
            .retain(|machine| machine.leaves_at.is_none_or(|at| at > self.now));
        let plan = self.planner.plan(&self.state(), true, self.now);
        let losses = plan.losses.into_iter();
        self.losses
            .extend(losses.map(|loss| (loss.place, loss.lost_count, loss.reason)));
        for order in plan.orders {
            let mut answer = self.carry_out(&order);
            if self.lost_answer_count > 0 {
                self.lost_answer_count -= 1;
                answer = Answer::Unclear;
            }
            let is_new = self
                .planner
                .record_answer(&order, answer, &self.bounds, self.now);
            self.new_refusal_count += usize::from(is_new);
            self.orders.push((self.now, order));
        }
        self.min_serving_count = self.serving().min(self.min_serving_count);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until orders may be given.
    fn settle(&mut self) {
        self.run_for(settle_time(BOOT_TIME) + TICK);
        assert!(self.orders.is_empty(), "{:?}", self.orders);
    }

    /// Reclaims all spot upstreams of `domain`, which has none for 10 s afterwards.
    fn reclaim(&mut self, domain: &'static str) {
        for machine in &mut self.machines {
            if machine.place == place(domain, true) {
                machine.leaves_at = Some(self.now + NOTICE);
            }
        }
        self.empty_until
            .insert(domain, self.now + NOTICE + Duration::from_secs(10));
    }
}

/// Guards against orders without need, which cost money or take upstreams away.
#[test]
fn calm_load() {
    let mut platform = Platform::mixed();
    platform.demand = demand(60, 72, Duration::from_millis(900));
    platform.run_for(Duration::from_secs(400));
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
}

/// Jobs that would miss their due times with the present slots raise the number, in upstreams
/// that may be reclaimed, and it falls back to the base once they are gone.
#[test]
fn rise() {
    let mut platform = Platform::mixed();
    platform.settle();
    platform.demand = demand(120, 72, Duration::from_secs(6));
    platform.run_for(Duration::from_secs(6));
    assert!(platform.serving() > 12, "{}", platform.serving());
    assert!(platform.orders.iter().all(|(_, order)| order.place.is_spot));
    platform.demand = demand(60, 72, Duration::from_secs(1));
    platform.run_for(Duration::from_secs(150));
    assert_eq!(platform.serving(), 12);
    assert_eq!(platform.min_serving_count, 12);
}

/// Guards against a fall that is too early, too deep or too fast: after long low demand the
/// number falls step by step, and one upstream stays in each failure domain.
#[test]
fn fall() {
    let mut platform = Platform::mixed();
    platform.demand = demand(72, 72, Duration::from_secs(1));
    platform.run_for(Duration::from_secs(130));
    platform.demand = demand(30, 72, Duration::from_secs(1));
    let low_at = platform.now;
    platform.run_for(Duration::from_secs(300));
    assert!(platform.orders[0].0 >= low_at + Duration::from_secs(120));
    // 30 items need 5 upstreams, and 8 with the headroom.
    assert_eq!(platform.serving(), 8);
    for domain in ["a", "b", "c"] {
        let count = [false, true].map(|is_spot| platform.serving_at(&place(domain, is_spot)));
        assert!(count.iter().sum::<usize>() >= 1, "{domain}");
    }
    let spot_counts = ["a", "b", "c"].map(|domain| platform.serving_at(&place(domain, true)));
    assert!(platform.serving() - spot_counts.iter().max().unwrap() >= 5);
    // Items that wait below the base bring all of it back at once.
    platform.demand = demand(60, 48, Duration::from_secs(1));
    platform.run_for(Duration::from_secs(6));
    assert_eq!(platform.serving(), 12);
}

/// Guards against a fall where clients use the upstreams too, whose calls are not seen.
#[test]
fn unseen_calls() {
    let mut platform = Platform::mixed();
    platform.demand = Demand::default();
    platform.run_for(Duration::from_secs(400));
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
}

/// Guards against numbers that swing with the jobs of trainers: a burst that the present
/// slots carry in time changes nothing.
#[test]
fn burst() {
    let mut platform = Platform::mixed();
    platform.settle();
    for _ in 0..40 {
        platform.demand = demand(200, 72, Duration::from_secs(2));
        platform.run_for(Duration::from_secs(2));
        platform.demand = demand(30, 72, Duration::from_secs(1));
        platform.run_for(Duration::from_secs(4));
    }
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
}

/// The upstreams of a failure domain are reclaimed: as many are ordered in others at once, and
/// the cheaper ones come back later.
#[test]
fn reclaimed_zone() {
    let mut platform = Platform::mixed();
    platform.demand = demand(70, 72, Duration::from_secs(1));
    platform.settle();
    platform.run_for(Duration::from_secs(60));
    platform.reclaim("c");
    let noticed_at = platform.now;
    platform.run_for(TICK);
    let (at, order) = platform.orders[0].clone();
    assert_eq!((at, &order.place), (noticed_at + TICK, &place("b", false)));
    assert_eq!((order.wanted_count, order.previous_count), (4, 2));
    platform.run_for(BOOT_TIME + TICK);
    assert_eq!(platform.serving(), 12);
    platform.run_for(Duration::from_secs(120));
    assert_eq!(platform.serving_at(&place("c", true)), 2);
    assert_eq!(platform.serving_at(&place("b", false)), 2);
    assert_eq!(
        platform.losses,
        [(place("c", true), 2, LossReason::Draining)]
    );
}

/// Upstreams that vanish without a notice are replaced, and a process that restarts is not.
#[test]
fn vanished() {
    let mut platform = Platform::mixed();
    platform.settle();
    let restarting = platform.machines.remove(0);
    platform.run_for(Duration::from_millis(1_500));
    platform.machines.push(restarting);
    platform.run_for(Duration::from_secs(5));
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
    platform.machines.remove(0);
    platform.run_for(Duration::from_secs(8));
    assert_eq!(platform.serving(), 12);
    assert_eq!(platform.losses[0].2, LossReason::Vanished);
}

/// Guards against calls without end where no failure domain has upstreams, and against giving
/// up: orders become rare, are logged once a place, and succeed in the end.
#[test]
fn none_to_be_had() {
    let mut platform = Platform::mixed();
    platform.settle();
    platform.reclaim("c");
    let until = platform.now + Duration::from_secs(120);
    platform.empty_until = ["a", "b", "c"].map(|domain| (domain, until)).into();
    platform.run_for(Duration::from_secs(60));
    assert!(platform.new_refusal_count <= 6);
    let early_count = platform.orders.len();
    platform.run_for(Duration::from_secs(60));
    let late_count = platform.orders.len() - early_count;
    assert!(
        late_count < early_count && late_count <= 14,
        "{early_count} {late_count}"
    );
    platform.run_for(Duration::from_secs(40));
    assert!(platform.serving() >= 12);
}

/// A new coordinator keeps what it finds, lowers nothing in its first minute, and counts the
/// upstreams as missing that were leaving when it began.
#[test]
fn new_holder() {
    let mut platform = Platform::mixed();
    platform.demand = demand(1, 72, Duration::from_secs(1));
    platform.reclaim("a");
    platform.run_for(settle_time(BOOT_TIME) + TICK * 2);
    let orders: Vec<_> = platform
        .orders
        .iter()
        .map(|(_, order)| order.clone())
        .collect();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0].wanted_count - orders[0].previous_count, 2);
    platform.run_for(Duration::from_secs(59) - settle_time(BOOT_TIME) - TICK * 2);
    let is_rise = |order: &Order| order.wanted_count > order.previous_count;
    assert!(platform.orders.iter().all(|(_, order)| is_rise(order)));
}

/// Guards against two orders of one subject at once and against a changed number: an order
/// without an answer is repeated as it was.
#[test]
fn unanswered_order() {
    let mut platform = Platform::mixed();
    platform.settle();
    platform.lost_answer_count = 5;
    platform.reclaim("c");
    platform.run_for(Duration::from_secs(7));
    let orders: Vec<_> = platform
        .orders
        .iter()
        .map(|(_, order)| order.clone())
        .collect();
    assert_eq!(orders.len(), 6, "{orders:?}");
    for order in &orders[1..] {
        assert!(order.is_repeat);
        assert_eq!((&order.place, order.wanted_count), (&orders[0].place, 4));
    }
    assert_eq!(platform.serving(), 12);
}

/// Guards against orders beyond the bounds that the platform sets.
#[test]
fn limits() {
    let mut platform = Platform::mixed();
    platform.settle();
    platform.demand = demand(5_000, 72, Duration::from_secs(9));
    platform.run_for(Duration::from_secs(20));
    assert_eq!(platform.serving(), 24);
    let mut platform = Platform::new(&[("a", false, 3), ("b", false, 3)]);
    platform.bounds.min_count = 2;
    platform.demand.is_complete = true;
    platform.run_for(Duration::from_secs(400));
    // A service without any upstream gets the fewest in each domain, too.
    let mut empty = Platform::new(&[]);
    empty.run_for(Duration::from_secs(20));
    assert_eq!(empty.serving(), 3);
    let counts = ["a", "b", "c"].map(|domain| {
        platform.serving_at(&place(domain, false)) + platform.serving_at(&place(domain, true))
    });
    assert_eq!(counts, [2, 2, 2]);
}

/// Under noisy demand, lost answers and reclaims the numbers stay within the bounds, and each
/// failure domain changes no more often than the shortest interval allows.
#[test]
fn noise() {
    check!()
        .with_iterations(300)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|inputs| {
            let mut platform = Platform::mixed();
            let mut changes: BTreeMap<String, (Timestamp, Place, usize)> = BTreeMap::new();
            for (count, event) in inputs {
                let serving_slots = platform.serving() * SLOT_COUNT;
                let item = Duration::from_millis(u64::from(*event) * 30);
                platform.demand = demand(usize::from(*count), serving_slots, item);
                match event % 32 {
                    1 => platform.reclaim("a"),
                    2 => platform.reclaim("b"),
                    3 => platform.reclaim("c"),
                    4 => platform.lost_answer_count = 3,
                    _ => {}
                }
                platform.run_for(Duration::from_secs(u64::from(*event % 13)));
                for (at, order) in std::mem::take(&mut platform.orders) {
                    assert!(order.wanted_count <= platform.bounds.max_count);
                    let domain = order.place.domain.to_string();
                    let is_change = |last: &(Timestamp, Place, usize)| {
                        (&last.1, last.2) != (&order.place, order.wanted_count)
                    };
                    let was_taken = platform.empty_until.get(&*domain).is_none_or(|t| *t <= at);
                    if let Some(last) = changes.get(&domain)
                        && is_change(last)
                    {
                        assert!(at - last.0 >= MIN_CHANGE_INTERVAL, "{order:?}");
                    }
                    if was_taken {
                        changes.insert(domain, (at, order.place, order.wanted_count));
                    }
                }
                for domain in ["a", "b", "c"] {
                    let staying = platform.machines.iter().filter(|machine| {
                        *machine.place.domain == *domain && machine.leaves_at.is_none()
                    });
                    let bounds = &platform.bounds;
                    assert!((bounds.min_count..=bounds.max_count).contains(&staying.count()));
                }
            }
        });
}
