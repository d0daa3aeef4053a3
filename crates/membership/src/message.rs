//! Datagrams of the gossip protocol and the two messages of a sync over TCP.

use std::net::SocketAddr;

use base::DaemonId;
use base::Incarnation;
use base::hash;
use protocol::WIRE_VERSION;
use serde::Deserialize;
use serde::Serialize;

use crate::member::Member;
use crate::member::MemberState;
use crate::member::Precedence;

/// Largest datagram in bytes, below the usual path MTU.
pub const MAX_DATAGRAM: usize = 1200;

/// Number of buckets of a [`Digest`].
pub const DIGEST_BUCKETS: usize = 64;

/// Bytes that a message needs beside its updates, without names.
const MESSAGE_OVERHEAD: usize = 120;

/// Bytes that a full update needs beside its texts, its address and its upstream.
const FULL_OVERHEAD: usize = 44;

/// Bytes of an IPv4 address with its port.
const V4_BYTES: usize = 18;

/// Bytes of an IPv6 address with its port.
const V6_BYTES: usize = 44;

/// Bytes of an upstream beside its texts.
const UPSTREAM_OVERHEAD: usize = 48;

/// Bytes that a brief update needs beside its name.
const BRIEF_OVERHEAD: usize = 44;

/// Bytes of one bucket of a digest.
const BUCKET_BYTES: usize = 5;

/// One process: a name and its start number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its start number.
    pub incarnation: Incarnation,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Version of the wire.
    pub wire: u16,
    /// Sender.
    pub from: Identity,
    /// Purpose.
    pub body: Body,
    /// Piggybacked news.
    pub updates: Vec<Update>,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Echoed by the answer.
        seq: u32,
        /// Who should answer; another process at the address introduces itself instead.
        target: Identity,
    },
    /// Answers a ping, directly or through a helper.
    Ack {
        /// From the ping.
        seq: u32,
    },
    /// Asks a helper to ping a member that did not answer.
    PingReq {
        /// Echoed by the helper.
        seq: u32,
        /// Who should answer.
        target: Identity,
        /// Where it should be.
        address: SocketAddr,
    },
    /// The helper got no answer either; shows that the helper itself can be reached.
    Nack {
        /// From the request.
        seq: u32,
    },
    /// News alone.
    Gossip,
    /// Asks what the sender lacks.
    DigestAsk(Digest),
    /// Answers [`Body::DigestAsk`]; the updates hold what differed where that fits.
    DigestAnswer {
        /// Digest of the answering member.
        digest: Digest,
        /// Whether the updates hold all that differed.
        coverage: Coverage,
    },
}

/// Whether a digest answer holds everything that differed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coverage {
    /// All members of the buckets that differed.
    Whole,
    /// A sample of members to sync with.
    Sample,
}

/// A statement about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The member's whole record.
    Full(Member),
    /// State alone, for suspicion, death and leave.
    Brief(Identity, u64, MemberState),
}

/// Hashes of the live members by bucket; equal digests mean equal live members.
///
/// Suspicion is left out, since it passes soon, and so are tombstones, since they expire at
/// different times on different members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(Vec<u32>);

/// Asks over TCP for the members that differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Version of the wire.
    pub wire: u16,
    /// Who asks.
    pub from: Identity,
    /// What it has.
    pub digest: Digest,
}

/// The members of the buckets that differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Live and suspected members.
    pub members: Vec<Member>,
}

impl Message {
    /// A message of this version of the wire.
    #[must_use]
    pub fn new(from: Identity, body: Body, updates: Vec<Update>) -> Self {
        Self {
            wire: WIRE_VERSION,
            from,
            body,
            updates,
        }
    }

    /// Upper bound of the encoded size without updates, in bytes.
    #[must_use]
    pub fn base_size(from: &Identity, body: &Body) -> usize {
        let body = match body {
            Body::Ping { target, .. } | Body::PingReq { target, .. } => target.daemon.len(),
            Body::DigestAsk(_) | Body::DigestAnswer { .. } => return Self::digest_size(from),
            Body::Ack { .. } | Body::Nack { .. } | Body::Gossip => 0,
        };
        MESSAGE_OVERHEAD + from.daemon.len() + body
    }

    /// Upper bound of the encoded size of a message with a digest and no updates, in bytes.
    #[must_use]
    pub fn digest_size(from: &Identity) -> usize {
        MESSAGE_OVERHEAD + from.daemon.len() + DIGEST_BUCKETS * BUCKET_BYTES
    }
}

impl Update {
    /// The shortest statement that carries what changed.
    #[must_use]
    pub fn about(member: &Member) -> Self {
        match member.state {
            MemberState::Alive => Self::Full(member.clone()),
            state => Self::Brief(member.identity(), member.version, state),
        }
    }

    /// Who the statement is about.
    #[must_use]
    pub fn daemon(&self) -> &DaemonId {
        match self {
            Self::Full(member) => &member.daemon,
            Self::Brief(identity, ..) => &identity.daemon,
        }
    }

    /// Its precedence.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        match self {
            Self::Full(member) => member.precedence(),
            Self::Brief(identity, version, state) => {
                Precedence::new(identity.incarnation, *version, *state)
            }
        }
    }

    /// Upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Full(member) => full_size(member),
            Self::Brief(identity, ..) => BRIEF_OVERHEAD + identity.daemon.len(),
        }
    }
}

fn full_size(member: &Member) -> usize {
    let address = match member.address {
        SocketAddr::V4(_) => V4_BYTES,
        SocketAddr::V6(_) => V6_BYTES,
    };
    let upstream = member.upstream.as_ref().map_or(0, |it| {
        UPSTREAM_OVERHEAD + it.service.len() + it.version.len()
    });
    FULL_OVERHEAD + member.daemon.len() + member.zone.len() + address + upstream
}

impl Member {
    /// Name and start number.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl Digest {
    /// Digest of the members that are not gone.
    pub fn of<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        let mut buckets = vec![0; DIGEST_BUCKETS];
        for member in members.filter(|it| !it.state.is_gone()) {
            buckets[bucket_of(&member.daemon)] ^= fingerprint(member);
        }
        Self(buckets)
    }

    /// Whether the bucket of this daemon differs between the two.
    #[must_use]
    pub fn differs_at(&self, other: &Self, daemon: &DaemonId) -> bool {
        let bucket = bucket_of(daemon);
        self.0.get(bucket) != other.0.get(bucket)
    }
}

fn bucket_of(daemon: &DaemonId) -> usize {
    let hash = hash::stable(&[b"bucket", daemon.as_bytes()]);
    usize::try_from(hash % DIGEST_BUCKETS as u64).unwrap_or(0)
}

fn fingerprint(member: &Member) -> u32 {
    let hash = hash::stable(&[
        member.daemon.as_bytes(),
        &member.incarnation.to_le_bytes(),
        &member.version.to_le_bytes(),
    ]);
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
