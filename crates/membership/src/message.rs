//! Datagrams of the gossip protocol, and the request and reply of a state sync over TCP.

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

/// Maximum datagram size in bytes, below the usual path MTU.
pub const MAX_DATAGRAM: usize = 1200;

/// Number of buckets of a [`Digest`].
pub const DIGEST_BUCKETS: usize = 64;

/// Upper bound on the encoded bytes of a message without its updates and names.
const MESSAGE_OVERHEAD: usize = 120;

/// Upper bound on the encoded bytes of a full update without its strings, address and upstream.
const FULL_OVERHEAD: usize = 44;

/// Upper bound on the encoded bytes of an IPv4 address with its port.
const V4_BYTES: usize = 18;

/// Upper bound on the encoded bytes of an IPv6 address with its port.
const V6_BYTES: usize = 44;

/// Upper bound on the encoded bytes of an upstream without its strings.
const UPSTREAM_OVERHEAD: usize = 48;

/// Upper bound on the encoded bytes of a brief update without its name.
const BRIEF_OVERHEAD: usize = 44;

/// Upper bound on the encoded bytes of one digest bucket.
const BUCKET_BYTES: usize = 5;

/// Identifies one process: a daemon name and an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// One datagram of the gossip protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Wire version of the sender; a receiver drops other versions.
    pub wire: u16,
    /// Process that sent the message.
    pub from: Identity,
    /// Kind of message and its content.
    pub body: Body,
    /// Piggybacked membership updates.
    pub updates: Vec<Update>,
}

/// Kind of a datagram and its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a [`Body::Ack`].
    Ping {
        /// Echoed in the answer.
        seq: u32,
        /// Expected receiver; a different process at the address sends its own record instead.
        target: Identity,
    },
    /// Answers a ping, directly or relayed by a helper.
    Ack {
        /// Sequence number of the ping.
        seq: u32,
    },
    /// Asks a helper to ping a member that did not answer (indirect probe).
    PingReq {
        /// Echoed in the helper's answer.
        seq: u32,
        /// Member to ping.
        target: Identity,
        /// Address of that member.
        address: SocketAddr,
    },
    /// Reports that the helper got no answer either; proves that the helper itself is reachable.
    Nack {
        /// Sequence number of the [`Body::PingReq`].
        seq: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Asks for the members on which the two digests differ.
    DigestAsk(Digest),
    /// Answers [`Body::DigestAsk`]; the updates hold the differing members if they fit.
    DigestAnswer {
        /// Digest of the answering member.
        digest: Digest,
        /// Whether the updates hold all differing members.
        coverage: Coverage,
    },
}

/// Whether a digest answer holds all differing members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coverage {
    /// All members of the differing buckets.
    Whole,
    /// Only a sample: too many differ for one datagram, so the receiver syncs over TCP.
    Sample,
}

/// An update about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete record of the member.
    Full(Member),
    /// Identity, version and state only, for suspicion, death and leave.
    Brief(Identity, u64, MemberState),
}

/// Hashes of the live members, by bucket; equal digests mean equal sets of live members.
///
/// The hashes exclude suspicion, which is short-lived, and tombstones, which expire at different
/// times on different members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(Vec<u32>);

/// Requests the differing members over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Wire version of the sender.
    pub wire: u16,
    /// Process that sent the request.
    pub from: Identity,
    /// Digest of the members that it knows.
    pub digest: Digest,
}

/// The members of the differing buckets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Alive and suspect members.
    pub members: Vec<Member>,
}

impl Message {
    /// Builds a message of the current wire version.
    #[must_use]
    pub fn new(from: Identity, body: Body, updates: Vec<Update>) -> Self {
        Self {
            wire: WIRE_VERSION,
            from,
            body,
            updates,
        }
    }

    /// Returns an upper bound of the encoded size without updates, in bytes.
    #[must_use]
    pub fn base_size(from: &Identity, body: &Body) -> usize {
        let body = match body {
            Body::Ping { target, .. } | Body::PingReq { target, .. } => target.daemon.len(),
            Body::DigestAsk(_) | Body::DigestAnswer { .. } => return Self::digest_size(from),
            Body::Ack { .. } | Body::Nack { .. } | Body::Gossip => 0,
        };
        MESSAGE_OVERHEAD + from.daemon.len() + body
    }

    /// Returns an upper bound of the encoded size of a message with a digest and without updates,
    /// in bytes.
    #[must_use]
    pub fn digest_size(from: &Identity) -> usize {
        MESSAGE_OVERHEAD + from.daemon.len() + DIGEST_BUCKETS * BUCKET_BYTES
    }
}

impl Update {
    /// Builds the shortest update that carries the member's state: full while alive, else brief.
    #[must_use]
    pub fn about(member: &Member) -> Self {
        match member.state {
            MemberState::Alive => Self::Full(member.clone()),
            state => Self::Brief(member.identity(), member.version, state),
        }
    }

    /// Returns the daemon that the update is about.
    #[must_use]
    pub fn daemon(&self) -> &DaemonId {
        match self {
            Self::Full(member) => &member.daemon,
            Self::Brief(identity, ..) => &identity.daemon,
        }
    }

    /// Returns the precedence of the update.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        match self {
            Self::Full(member) => member.precedence(),
            Self::Brief(identity, version, state) => {
                Precedence::new(identity.incarnation, *version, *state)
            }
        }
    }

    /// Returns an upper bound of the encoded size, in bytes.
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
    /// Returns the name and the incarnation.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl Digest {
    /// Builds the digest of the members that are neither dead nor left.
    pub fn of<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        let mut buckets = vec![0; DIGEST_BUCKETS];
        for member in members.filter(|it| !it.state.is_gone()) {
            buckets[bucket_of(&member.daemon)] ^= fingerprint(member);
        }
        Self(buckets)
    }

    /// Whether the bucket of this daemon differs between the two digests.
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
