//! Signed datagrams between hosts.
//!
//! A datagram is a prost message followed by a keyed BLAKE3 hash over it and the
//! receiver's address. The receiver refuses what is forged, meant for another
//! host, repeated, or from an earlier life; see docs/design/membership.md.

use std::{collections::BTreeMap, net::SocketAddr};

use prost::Message as _;

use crate::{
    host::gossip::{Heartbeat, Malformed},
    ids::{HostId, Incarnation},
    proto::peer,
};

/// The largest datagram, so that none is split on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The bytes of the keyed hash.
const TAG_BYTES: usize = blake3::OUT_LEN;
/// How far behind the newest a datagram may arrive.
const WINDOW_WIDTH: u64 = 64;
/// The most senders whose sequence numbers are remembered.
const MAX_SENDER_COUNT: usize = 4_096;
/// Separates this use of the fleet's secret from all others.
const KEY_CONTEXT: &str = "mimosavane 2026 heartbeat datagram v1";

/// Why a datagram was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::EnumDiscriminants)]
#[strum_discriminants(name(RefusalKind))]
#[strum_discriminants(doc = "The kinds of refusals, as decision records name them.")]
#[strum_discriminants(derive(PartialOrd, Ord, Hash, strum::IntoStaticStr, strum::EnumIter))]
#[strum_discriminants(strum(serialize_all = "kebab-case"))]
pub enum Refusal {
    /// It is too short to hold a hash.
    #[error("{length_bytes} bytes hold no hash")]
    TruncatedDatagram {
        /// What arrived.
        length_bytes: usize,
    },
    /// It is longer than any that a host sends.
    #[error("{length_bytes} bytes exceed {MAX_DATAGRAM_BYTES}")]
    OversizedDatagram {
        /// What arrived.
        length_bytes: usize,
    },
    /// Its hash was not made with the fleet's key for this receiver.
    #[error("the hash does not match")]
    ForgedDatagram,
    /// Its bytes are no message.
    #[error("the bytes are no message: {source}")]
    UndecodableDatagram {
        /// What the decoder said.
        source: prost::DecodeError,
    },
    /// The message makes no heartbeat.
    #[error("the message makes no heartbeat: {source}")]
    MalformedDatagram {
        /// What is wrong.
        source: Malformed,
    },
    /// It arrived before, or is too old to tell.
    #[error("sequence {sequence} of {host} was seen before")]
    ReplayedDatagram {
        /// The sender.
        host: HostId,
        /// Its sequence number.
        sequence: u64,
    },
    /// It is from an earlier life of the sender.
    #[error("incarnation {incarnation} of {host} is older than {newest}")]
    OldIncarnation {
        /// The sender.
        host: HostId,
        /// The life that it is from.
        incarnation: Incarnation,
        /// The newest life that was heard.
        newest: Incarnation,
    },
}

/// Why a heartbeat could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// It would exceed [`MAX_DATAGRAM_BYTES`].
    #[error("{length_bytes} bytes exceed {MAX_DATAGRAM_BYTES}")]
    TooLong {
        /// What it would take.
        length_bytes: usize,
    },
    /// The system did not take it.
    #[error("sending to {to}: {source}")]
    Socket {
        /// Where to.
        to: SocketAddr,
        /// What the system said.
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
    /// The receiver is part of it, so that a datagram that was overheard cannot
    /// be given to another host.
    fn tag(&self, bytes: &[u8], receiver: SocketAddr) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(receiver.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(bytes);
        hasher.finalize()
    }
}

/// Signs what this host sends.
///
/// # Examples
///
/// ```
/// use mimosavane::host::{datagram::{Key, Opener, Sealer}, gossip::{Body, Heartbeat}};
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
/// let bytes = Sealer::new(key.clone()).seal(&heartbeat, receiver)?;
/// let mut opener = Opener::new(key, receiver);
/// assert_eq!(opener.open(&bytes)?, heartbeat);
/// assert!(opener.open(&bytes).is_err(), "a copy is refused");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    sequence: u64,
}

impl Sealer {
    /// Makes a signer for one life of a host.
    pub fn new(key: Key) -> Self {
        Self { key, sequence: 0 }
    }

    /// Encodes and signs `heartbeat` for `receiver`.
    ///
    /// # Errors
    ///
    /// Fails where it would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn seal(
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

/// The sequence numbers that arrived from one sender.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    incarnation: Incarnation,
    newest: u64,
    /// Bit `i` stands for the number `newest - i`.
    seen: u64,
}

impl Window {
    /// Notes a sequence number, or says that it is no new one.
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.seen = if shift < WINDOW_WIDTH {
                self.seen << shift
            } else {
                0
            };
            self.seen |= 1;
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= WINDOW_WIDTH || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

/// Checks what this host receives.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    own: SocketAddr,
    windows: BTreeMap<HostId, Window>,
}

impl Opener {
    /// Makes a checker for datagrams that were sent to `own`.
    pub fn new(key: Key, own: SocketAddr) -> Self {
        Self {
            key,
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the datagram is refused.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Heartbeat, Refusal> {
        let length_bytes = datagram.len();
        if length_bytes > MAX_DATAGRAM_BYTES {
            return Err(Refusal::OversizedDatagram { length_bytes });
        }
        let split = length_bytes
            .checked_sub(TAG_BYTES)
            .ok_or(Refusal::TruncatedDatagram { length_bytes })?;
        let (bytes, tag) = datagram.split_at(split);
        // Comparing with `blake3::Hash` takes constant time.
        if self.key.tag(bytes, self.own) != *tag {
            return Err(Refusal::ForgedDatagram);
        }
        let message = peer::Heartbeat::decode(bytes)
            .map_err(|source| Refusal::UndecodableDatagram { source })?;
        let sequence = message.sequence;
        let heartbeat =
            Heartbeat::try_from(message).map_err(|source| Refusal::MalformedDatagram { source })?;
        self.admit(&heartbeat, sequence)?;
        Ok(heartbeat)
    }

    /// Refuses a datagram of an earlier life, and one that arrived before.
    fn admit(&mut self, heartbeat: &Heartbeat, sequence: u64) -> Result<(), Refusal> {
        let host = &heartbeat.from;
        if self.windows.len() >= MAX_SENDER_COUNT && !self.windows.contains_key(host) {
            self.windows.pop_first();
        }
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
            *window = Window {
                incarnation,
                ..Window::default()
            };
        }
        if !window.admit(sequence) {
            return Err(Refusal::ReplayedDatagram {
                host: host.clone(),
                sequence,
            });
        }
        Ok(())
    }
}
