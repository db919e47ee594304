//! Rendezvous hashing: determines which host owns a key, without coordination.
//!
//! Each host computes the owner from its own view of the live hosts. When a
//! host joins or leaves, only the keys that it gains or owned move, and hosts
//! with different views disagree only about those keys (see
//! docs/design/routing.md).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{HostId, RowId, StepNumber, UpstreamId};

/// Prefixes that keep keys of engines and of steps distinct.
const ENGINE_DOMAIN: &[u8] = b"engine";
const STEP_DOMAIN: &[u8] = b"step";

/// Hashes `parts` into one key, so that `["ab", "c"]` and `["a", "bc"]` differ.
///
/// # Examples
///
/// ```
/// use mimosavane::engine::rendezvous::key;
///
/// assert_ne!(key([b"ab".as_slice(), b"c"]), key([b"a".as_slice(), b"bc"]));
/// ```
pub fn key<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    parts.into_iter().fold(0, |folded, part| {
        xxh3_64_with_seed(part, folded ^ xxh3_64(part))
    })
}

/// Returns the score of the host `name` for `key`; the host with the highest
/// score owns the key.
pub fn score(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the one of `hosts` that owns `key`, regardless of their order.
///
/// # Examples
///
/// ```
/// use mimosavane::{engine::rendezvous::owner, ids::HostId};
///
/// let hosts: Vec<HostId> = vec!["a".into(), "b".into(), "c".into()];
/// assert_eq!(owner(7, &hosts), owner(7, hosts.iter().rev()));
/// ```
pub fn owner<'a>(key: u64, hosts: impl IntoIterator<Item = &'a HostId>) -> Option<&'a HostId> {
    hosts
        .into_iter()
        .max_by_key(|host| (score(key, host), *host))
}

/// Returns the host that owns the queue of `engine`.
pub fn engine_dispatcher<'a>(
    engine: &UpstreamId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    owner(key([ENGINE_DOMAIN, engine.as_bytes()]), hosts)
}

/// Returns the host that owns the slots of a trainer's step.
pub fn step_owner<'a>(
    trainer: &RowId,
    step: StepNumber,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    owner(
        key([STEP_DOMAIN, trainer.as_bytes(), &step.to_le_bytes()]),
        hosts,
    )
}
