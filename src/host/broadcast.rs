//! News that is passed on with other messages a bounded number of times.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// How many times news is sent for each power of ten of the fleet's size.
const SENDS_PER_DECADE: u32 = 4;

/// What can be passed on, at most one piece a subject.
pub trait News: Clone {
    /// Returns the id that it is about.
    fn subject(&self) -> &Arc<str>;

    /// Returns the bytes that it takes in a datagram.
    fn encoded_bytes(&self) -> usize;
}

/// Which news goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Changes of what is known, on which decisions depend.
    High,
    /// What others can also read from the member list.
    Low,
}

/// One piece of news and how often it was sent.
#[derive(Clone, Debug)]
struct Item<T> {
    news: T,
    priority: Priority,
    send_count: u32,
}

impl<T: News> Item<T> {
    /// Returns where the item stands in the order of sending.
    fn rank(&self) -> Rank {
        (self.priority, self.send_count, self.news.subject().clone())
    }
}

/// The order of sending: by priority, then the least sent first.
type Rank = (Priority, u32, Arc<str>);

/// The news that this host still passes on.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     control::blackboard::HostState,
///     host::{broadcast::{Priority, Queue}, gossip::Update},
/// };
///
/// let mut queue = Queue::default();
/// let update = Update {
///     host: "entry-1".into(),
///     incarnation: 7,
///     state: HostState::Suspect,
///     place: None,
/// };
/// queue.push(update, Priority::High);
/// assert_eq!(queue.take(12, 600).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<Arc<str>, Item<T>>,
    order: BTreeSet<Rank>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }
}

impl<T: News> Queue<T> {
    /// Adds news, in place of older news about the same subject.
    pub fn push(&mut self, news: T, priority: Priority) {
        let subject = news.subject().clone();
        let item = Item {
            news,
            priority,
            send_count: 0,
        };
        self.order.insert(item.rank());
        if let Some(old) = self.items.insert(subject, item)
            && (old.priority, old.send_count) != (priority, 0)
        {
            self.order.remove(&old.rank());
        }
    }

    /// Says whether nothing is left to pass on.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes news that fits into `budget_bytes`, by priority and the least sent first.
    pub fn take(&mut self, member_count: usize, budget_bytes: usize) -> Vec<T> {
        let mut taken = Vec::new();
        let mut left_bytes = budget_bytes;
        for (_, _, subject) in &self.order {
            let Some(item) = self.items.get(subject) else {
                continue;
            };
            let Some(rest) = left_bytes.checked_sub(item.news.encoded_bytes()) else {
                break;
            };
            left_bytes = rest;
            taken.push(item.news.clone());
        }
        let limit = send_limit(member_count);
        for news in &taken {
            self.count_send(news.subject(), limit);
        }
        taken
    }

    /// Notes that the news about `subject` was sent, and drops it at `limit`.
    fn count_send(&mut self, subject: &Arc<str>, limit: u32) {
        let Some(item) = self.items.get_mut(subject) else {
            return;
        };
        self.order.remove(&item.rank());
        item.send_count += 1;
        if item.send_count < limit {
            self.order.insert(item.rank());
        } else {
            self.items.remove(subject);
        }
    }
}

/// Returns how many times one host sends one piece of news.
fn send_limit(member_count: usize) -> u32 {
    SENDS_PER_DECADE * (member_count.max(1).ilog10() + 1)
}
