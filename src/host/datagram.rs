//! Signed datagrams between hosts.
//!
//! A datagram is a prost message followed by a keyed BLAKE3 hash over it and the
//! receiver's address. The receiver refuses datagrams that are forged, addressed
//! to another host, replayed, or from an earlier incarnation of the sender; see
//! docs/design/membership.md.

use std::{collections::BTreeMap, net::SocketAddr};

use prost::Message as _;

use crate::{
    host::gossip::{Heartbeat, HeartbeatError},
    ids::{HostId, Incarnation},
    proto::peer,
};

/// The maximum size of a datagram, small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The size of the keyed hash.
const TAG_BYTES: usize = blake3::OUT_LEN;
/// The number of sequence numbers up to the newest that are still accepted.
const REPLAY_WINDOW_WIDTH: u64 = 64;
/// The maximum number of senders whose sequence numbers are tracked.
const MAX_SENDER_COUNT: usize = 4_096;
/// The key derivation context, which separates this use of the fleet's secret
/// from all others.
const KEY_CONTEXT: &str = "mimosavane 2026 heartbeat datagram v1";

/// Why a datagram was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::EnumDiscriminants)]
#[strum_discriminants(name(RefusalKind))]
#[strum_discriminants(doc = "The kinds of refusals, as named in decision records.")]
#[strum_discriminants(derive(PartialOrd, Ord, Hash, strum::IntoStaticStr, strum::EnumIter))]
#[strum_discriminants(strum(serialize_all = "kebab-case"))]
pub enum Refusal {
    /// The datagram is too short to contain a hash.
    #[error("a datagram of {length_bytes} bytes is too short for a hash")]
    TruncatedDatagram {
        /// The size of the datagram.
        length_bytes: usize,
    },
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("a datagram of {length_bytes} bytes exceeds {MAX_DATAGRAM_BYTES} bytes")]
    OversizedDatagram {
        /// The size of the datagram.
        length_bytes: usize,
    },
    /// The hash does not match the fleet's key and this receiver.
    #[error("hash mismatch")]
    ForgedDatagram,
    /// The bytes cannot be decoded as a message.
    #[error("cannot decode the message: {source}")]
    UndecodableDatagram {
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// The message is not a valid heartbeat.
    #[error("invalid heartbeat: {source}")]
    MalformedDatagram {
        /// The cause.
        source: HeartbeatError,
    },
    /// The datagram arrived before, or is too old for the replay window.
    #[error("sequence number {sequence} of {host} is a replay or too old")]
    ReplayedDatagram {
        /// The sender.
        host: HostId,
        /// The sequence number.
        sequence: u64,
    },
    /// The datagram is from an earlier incarnation of the sender.
    #[error("incarnation {incarnation} of {host} is older than {newest}")]
    OldIncarnation {
        /// The sender.
        host: HostId,
        /// The incarnation in the datagram.
        incarnation: Incarnation,
        /// The newest incarnation received from the sender.
        newest: Incarnation,
    },
}

/// Why a heartbeat could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The datagram would exceed [`MAX_DATAGRAM_BYTES`].
    #[error("a datagram of {length_bytes} bytes exceeds {MAX_DATAGRAM_BYTES} bytes")]
    TooLong {
        /// The size that the datagram would have.
        length_bytes: usize,
    },
    /// The operating system refused the datagram.
    #[error("cannot send to {to}: {source}")]
    Socket {
        /// The address of the receiver.
        to: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The key that the hosts of one fleet share.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Key").finish_non_exhaustive()
    }
}

impl Key {
    /// Derives the key from the fleet's secret.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Returns the hash of `bytes` as sent to `receiver`.
    ///
    /// The hash covers the receiver, so that an intercepted datagram cannot be
    /// replayed to another host.
    fn tag(&self, bytes: &[u8], receiver: SocketAddr) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(receiver.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(bytes);
        hasher.finalize()
    }
}

/// Signs the datagrams that this host sends.
///
/// # Examples
///
/// ```
/// use mimosavane::host::{datagram::{Key, Signer, Verifier}, gossip::{Body, Heartbeat}};
///
/// let key = Key::derive("a secret of the fleet");
/// let receiver = "127.0.0.1:9080".parse()?;
/// let heartbeat = Heartbeat {
///     from: "entry-1".into(),
///     incarnation: 7,
///     body: Body::Gossip,
///     updates: Vec::new(),
///     table_revision: 3,
///     served: Vec::new(),
///     notices: Vec::new(),
/// };
/// let bytes = Signer::new(key.clone()).sign(&heartbeat, receiver)?;
/// let mut verifier = Verifier::new(key, receiver);
/// assert_eq!(verifier.verify(&bytes)?, heartbeat);
/// assert!(verifier.verify(&bytes).is_err(), "a replay is refused");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Signer {
    key: Key,
    sequence: u64,
}

impl Signer {
    /// Creates a signer for one incarnation of a host.
    pub fn new(key: Key) -> Self {
        Self { key, sequence: 0 }
    }

    /// Encodes and signs `heartbeat` for `receiver`.
    ///
    /// # Errors
    ///
    /// Fails if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn sign(
        &mut self,
        heartbeat: &Heartbeat,
        receiver: SocketAddr,
    ) -> Result<Vec<u8>, SendError> {
        self.sequence += 1;
        let mut message = peer::Heartbeat::from(heartbeat);
        message.sequence = self.sequence;
        let mut bytes = message.encode_to_vec();
        let tag = self.key.tag(&bytes, receiver);
        bytes.extend_from_slice(tag.as_bytes());
        let length_bytes = bytes.len();
        if length_bytes > MAX_DATAGRAM_BYTES {
            return Err(SendError::TooLong { length_bytes });
        }
        Ok(bytes)
    }
}

/// The recent sequence numbers received from one sender.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    newest: u64,
    /// Bit `i` is set if the sequence number `newest - i` was received.
    received_bits: u64,
    /// The number of datagrams that this host had received when the last one of
    /// the sender came.
    last_received_at: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns false if it was received before or is
    /// older than the window.
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.received_bits = if shift < REPLAY_WINDOW_WIDTH {
                self.received_bits << shift
            } else {
                0
            };
            self.received_bits |= 1;
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= REPLAY_WINDOW_WIDTH || self.received_bits & (1 << age) != 0 {
            return false;
        }
        self.received_bits |= 1 << age;
        true
    }
}

/// Verifies the datagrams that this host receives.
#[derive(Debug)]
pub struct Verifier {
    key: Key,
    own_address: SocketAddr,
    windows: BTreeMap<HostId, ReplayWindow>,
    received_count: u64,
}

impl Verifier {
    /// Creates a verifier for datagrams that were sent to `own_address`.
    pub fn new(key: Key, own_address: SocketAddr) -> Self {
        Self {
            key,
            own_address,
            windows: BTreeMap::new(),
            received_count: 0,
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the datagram is refused.
    pub fn verify(&mut self, datagram: &[u8]) -> Result<Heartbeat, Refusal> {
        let length_bytes = datagram.len();
        if length_bytes > MAX_DATAGRAM_BYTES {
            return Err(Refusal::OversizedDatagram { length_bytes });
        }
        let split = length_bytes
            .checked_sub(TAG_BYTES)
            .ok_or(Refusal::TruncatedDatagram { length_bytes })?;
        let (bytes, tag) = datagram.split_at(split);
        // Comparing with `blake3::Hash` takes constant time.
        if self.key.tag(bytes, self.own_address) != *tag {
            return Err(Refusal::ForgedDatagram);
        }
        let message = peer::Heartbeat::decode(bytes)
            .map_err(|source| Refusal::UndecodableDatagram { source })?;
        let sequence = message.sequence;
        let heartbeat =
            Heartbeat::try_from(message).map_err(|source| Refusal::MalformedDatagram { source })?;
        self.check_replay(&heartbeat, sequence)?;
        Ok(heartbeat)
    }

    /// Refuses datagrams from earlier incarnations and replayed datagrams.
    fn check_replay(&mut self, heartbeat: &Heartbeat, sequence: u64) -> Result<(), Refusal> {
        let host = &heartbeat.from;
        if self.windows.len() >= MAX_SENDER_COUNT && !self.windows.contains_key(host) {
            self.evict_oldest_window();
        }
        self.received_count += 1;
        let received_count = self.received_count;
        let window = self.windows.entry(host.clone()).or_default();
        let incarnation = heartbeat.incarnation;
        if incarnation < window.incarnation {
            return Err(Refusal::OldIncarnation {
                host: host.clone(),
                incarnation,
                newest: window.incarnation,
            });
        }
        if incarnation > window.incarnation {
            *window = ReplayWindow {
                incarnation,
                ..ReplayWindow::default()
            };
        }
        if !window.insert(sequence) {
            return Err(Refusal::ReplayedDatagram {
                host: host.clone(),
                sequence,
            });
        }
        window.last_received_at = received_count;
        Ok(())
    }

    /// Forgets the sender that has been silent the longest, whose datagrams are the
    /// least likely to be replayed.
    fn evict_oldest_window(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_received_at)
            .map(|(host, _)| host.clone());
        if let Some(oldest) = oldest {
            tracing::debug!(host = &*oldest, "evicted the replay window of a sender");
            self.windows.remove(&oldest);
        }
    }
}
