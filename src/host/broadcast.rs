//! Piggybacked broadcasts, each of which is sent a bounded number of times.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// The number of times that each host sends a broadcast, per power of ten of the
/// fleet size.
const SENDS_PER_DECADE: u32 = 4;

/// A message to disseminate; at most one per subject is queued.
pub trait Broadcast: Clone {
    /// Returns the id that the broadcast is about.
    fn subject(&self) -> &Arc<str>;

    /// Returns the size of the broadcast in a datagram, in bytes.
    fn encoded_bytes(&self) -> usize;
}

/// The priority of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Changes of known state, on which decisions depend.
    High,
    /// Data that peers also get when they read the member list.
    Low,
}

/// A queued broadcast and the number of times it was sent.
#[derive(Clone, Debug)]
struct Item<T> {
    broadcast: T,
    priority: Priority,
    send_count: u32,
}

impl<T: Broadcast> Item<T> {
    /// Returns the position of the item in the send order.
    fn rank(&self) -> Rank {
        (
            self.priority,
            self.send_count,
            self.broadcast.subject().clone(),
        )
    }
}

/// The send order: by priority, then by the fewest sends.
type Rank = (Priority, u32, Arc<str>);

/// The broadcasts that this host still sends.
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
///     location: None,
/// };
/// queue.push(update, Priority::High);
/// assert_eq!(queue.next_batch(12, 600).len(), 1);
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

impl<T: Broadcast> Queue<T> {
    /// Adds a broadcast, replacing an older one about the same subject.
    pub fn push(&mut self, broadcast: T, priority: Priority) {
        let subject = broadcast.subject().clone();
        let item = Item {
            broadcast,
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

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the next broadcasts that fit into `budget_bytes`, and counts them
    /// as sent.
    pub fn next_batch(&mut self, member_count: usize, budget_bytes: usize) -> Vec<T> {
        let mut batch = Vec::new();
        let mut left_bytes = budget_bytes;
        for (_, _, subject) in &self.order {
            let Some(item) = self.items.get(subject) else {
                continue;
            };
            let Some(rest) = left_bytes.checked_sub(item.broadcast.encoded_bytes()) else {
                break;
            };
            left_bytes = rest;
            batch.push(item.broadcast.clone());
        }
        let limit = send_limit(member_count);
        for broadcast in &batch {
            self.count_send(broadcast.subject(), limit);
        }
        batch
    }

    /// Counts a send of the broadcast about `subject`, and removes it from the
    /// queue after `limit` sends.
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

/// Returns the number of times that one host sends a broadcast.
fn send_limit(member_count: usize) -> u32 {
    SENDS_PER_DECADE * (member_count.max(1).ilog10() + 1)
}
