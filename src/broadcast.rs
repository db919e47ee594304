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

/// One piece of news and how often it was sent.
#[derive(Clone, Debug)]
struct Item<T> {
    news: T,
    send_count: u32,
}

/// The news that this host still passes on.
///
/// # Examples
///
/// ```
/// use mimosavane::{blackboard::HostState, broadcast::Queue, gossip::Update};
///
/// let mut queue = Queue::default();
/// queue.push(Update {
///     host: "entry-1".into(),
///     incarnation: 7,
///     state: HostState::Suspect,
///     place: None,
/// });
/// assert_eq!(queue.take(12, 600).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<Arc<str>, Item<T>>,
    /// The subjects by how often their news was sent.
    order: BTreeSet<(u32, Arc<str>)>,
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
    pub fn push(&mut self, news: T) {
        let subject = news.subject().clone();
        let item = Item {
            news,
            send_count: 0,
        };
        if let Some(old) = self.items.insert(subject.clone(), item) {
            self.order.remove(&(old.send_count, subject.clone()));
        }
        self.order.insert((0, subject));
    }

    /// Says whether nothing is left to pass on.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes news that fits into `budget_bytes`, the least sent first.
    pub fn take(&mut self, member_count: usize, budget_bytes: usize) -> Vec<T> {
        let mut taken = Vec::new();
        let mut left_bytes = budget_bytes;
        for (_, subject) in &self.order {
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
        self.order.remove(&(item.send_count, subject.clone()));
        item.send_count += 1;
        if item.send_count < limit {
            self.order.insert((item.send_count, subject.clone()));
        } else {
            self.items.remove(subject);
        }
    }
}

/// Returns how many times one host sends one piece of news.
fn send_limit(member_count: usize) -> u32 {
    SENDS_PER_DECADE * (member_count.max(1).ilog10() + 1)
}
