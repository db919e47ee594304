//! News that is passed on with other messages a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use crate::{gossip::Update, ids::HostId};

/// How many times news is sent for each power of ten of the fleet's size.
const SENDS_PER_DECADE: u32 = 4;

/// One piece of news and how often it was sent.
#[derive(Clone, Debug)]
struct Item {
    update: Update,
    send_count: u32,
}

/// The news that this host still passes on, at most one piece a member.
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
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: BTreeMap<HostId, Item>,
    /// The members by how often their news was sent.
    order: BTreeSet<(u32, HostId)>,
}

impl Queue {
    /// Adds news, in place of older news about the same member.
    pub fn push(&mut self, update: Update) {
        let host = update.host.clone();
        let item = Item {
            update,
            send_count: 0,
        };
        if let Some(old) = self.items.insert(host.clone(), item) {
            self.order.remove(&(old.send_count, host.clone()));
        }
        self.order.insert((0, host));
    }

    /// Says whether nothing is left to pass on.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes news that fits into `budget_bytes`, the least sent first.
    pub fn take(&mut self, member_count: usize, budget_bytes: usize) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut left_bytes = budget_bytes;
        for (_, host) in &self.order {
            let Some(item) = self.items.get(host) else {
                continue;
            };
            let Some(rest) = left_bytes.checked_sub(item.update.encoded_bytes()) else {
                break;
            };
            left_bytes = rest;
            taken.push(item.update.clone());
        }
        let limit = send_limit(member_count);
        for update in &taken {
            self.count_send(&update.host, limit);
        }
        taken
    }

    /// Notes that the news about `host` was sent, and drops it at `limit`.
    fn count_send(&mut self, host: &HostId, limit: u32) {
        let Some(item) = self.items.get_mut(host) else {
            return;
        };
        self.order.remove(&(item.send_count, host.clone()));
        item.send_count += 1;
        if item.send_count < limit {
            self.order.insert((item.send_count, host.clone()));
        } else {
            self.items.remove(host);
        }
    }
}

/// Returns how many times one host sends one piece of news.
fn send_limit(member_count: usize) -> u32 {
    SENDS_PER_DECADE * (member_count.max(1).ilog10() + 1)
}
