//! A fast hasher for integer keys that are generated within the fleet.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasherDefault, Hasher},
};

/// The odd integer next to 2^64 divided by the golden ratio, which spreads the
/// bits of a key (Fibonacci hashing).
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A hash map with integer keys.
pub type IntegerMap<K, V> = HashMap<K, V, BuildHasherDefault<IntegerHasher>>;

/// A hash set of integers.
pub type IntegerSet<K> = HashSet<K, BuildHasherDefault<IntegerHasher>>;

/// Hashes an integer by one multiplication.
///
/// # Examples
///
/// ```
/// let mut set = mimosavane::engine::integer_hash::IntegerSet::default();
/// assert!(set.insert(7_u64));
/// assert!(set.contains(&7));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct IntegerHasher(u64);

impl Hasher for IntegerHasher {
    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = (self.0.rotate_left(5) ^ number).wrapping_mul(MULTIPLIER);
    }
}
