//! Maps that hold a bounded number of entries.

use std::collections::BTreeMap;

/// Makes room for one more entry in a map that may hold `max_count`: drops those that are
/// outdated, and if that is not enough the one of the lowest rank.
pub fn make_room<K: Ord + Clone, V, R: Ord>(
    entries: &mut BTreeMap<K, V>,
    max_count: usize,
    is_outdated: impl Fn(&V) -> bool,
    rank: impl Fn(&V) -> R,
) {
    if entries.len() < max_count {
        return;
    }
    entries.retain(|_, entry| !is_outdated(entry));
    if entries.len() < max_count {
        return;
    }
    let lowest = entries.iter().min_by_key(|(_, entry)| rank(entry));
    if let Some(key) = lowest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}
