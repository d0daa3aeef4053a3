//! State of the instance beside this daemon, from its heartbeats.

use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::wire::InstanceInfo;

/// Identifier that an instance assigns to itself.
pub type InstanceId = SmolStr;

/// Identity of one incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Start time of the incarnation, by the instance's clock.
    pub born: UnixMillis,
}

/// Heartbeat intervals without a heartbeat after which an instance counts as gone; a single
/// heartbeat may arrive seconds late.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Most slots that an instance may report; far above what one machine runs at once.
const MAX_SLOTS: u32 = 65_536;

/// Highest number of a heartbeat: one a second for a century.
const MAX_SEQUENCE: u64 = 100 * 365 * 86_400;

/// Longest time by which the clock of an instance may be ahead of that of its daemon, in milliseconds.
const MAX_CLOCK_LEAD: UnixMillis = 24 * 3600 * 1000;

/// Why a heartbeat cannot be that of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatFault {
    /// It reports more slots than a machine has.
    Slots,
    /// No instance has sent so many heartbeats.
    Sequence,
    /// The incarnation began in the future.
    Born,
}

/// One heartbeat, as decoded from the instance's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Start time of this incarnation, by the instance's clock.
    pub born: UnixMillis,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Address at which it serves requests, as text.
    pub address: SmolStr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Remaining time of its slow phase after the start.
    pub cold_left: Duration,
}

impl Heartbeat {
    /// Returns the identity of the instance's incarnation.
    #[must_use]
    pub fn key(&self) -> InstanceKey {
        InstanceKey {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Checks the figures, which would otherwise make all later heartbeats look older; `wall` is the time of day.
    ///
    /// # Errors
    /// When one of them cannot be that of an instance.
    pub fn check(&self, wall: UnixMillis) -> Result<(), HeartbeatFault> {
        if self.slots > MAX_SLOTS {
            return Err(HeartbeatFault::Slots);
        }
        if self.sequence > MAX_SEQUENCE {
            return Err(HeartbeatFault::Sequence);
        }
        if self.born > wall.saturating_add(MAX_CLOCK_LEAD) {
            return Err(HeartbeatFault::Born);
        }
        Ok(())
    }
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
}

/// Effect of a heartbeat or a deregistration on the known state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that other daemons need to know.
    None,
    /// Other daemons must be told: a new incarnation, or another phase, slot count, version or
    /// reachability of the same one.
    Told,
    /// The message is older than the known state, or concerns another instance.
    Ignored,
}

/// Tracks the instance beside this daemon.
#[derive(Debug, Default)]
pub struct LocalInstance {
    current: Option<InstanceState>,
    /// Incarnation that an earlier process of this daemon knew to be leaving.
    known_leaving: Option<InstanceKey>,
}

#[derive(Debug)]
struct InstanceState {
    heartbeat: Heartbeat,
    last_heard: Instant,
    has_left: bool,
    is_unreachable: bool,
}

impl LocalInstance {
    /// Applies a heartbeat. One of an older incarnation, or not newer than the last one, is
    /// ignored.
    pub fn record_heartbeat(&mut self, mut heartbeat: Heartbeat, now: Instant) -> Change {
        if self.known_leaving.as_ref() == Some(&heartbeat.key()) {
            heartbeat.phase = Phase::Draining;
        }
        let Some(state) = &mut self.current else {
            self.current = Some(InstanceState::new(heartbeat, now));
            return Change::Told;
        };
        let old = &state.heartbeat;
        if heartbeat.born < old.born {
            return Change::Ignored;
        }
        let is_same = heartbeat.born == old.born && heartbeat.id == old.id;
        if !is_same {
            self.current = Some(InstanceState::new(heartbeat, now));
            return Change::Told;
        }
        if heartbeat.sequence <= old.sequence {
            return Change::Ignored;
        }
        // Draining is final for an incarnation: a ready heartbeat that follows was sent
        // concurrently.
        let must_tell = state.is_unreachable
            || (old.phase == Phase::Ready && heartbeat.phase == Phase::Draining)
            || old.slots != heartbeat.slots
            || old.version != heartbeat.version;
        let phase = match old.phase {
            Phase::Draining => Phase::Draining,
            Phase::Ready => heartbeat.phase,
        };
        state.heartbeat = Heartbeat { phase, ..heartbeat };
        state.last_heard = now;
        state.is_unreachable = false;
        if must_tell {
            Change::Told
        } else {
            Change::None
        }
    }

    /// Takes an instance over from the announcement of an earlier process of this daemon, until the
    /// instance sends a heartbeat. Only its id is trusted: another instance at the same address
    /// rejects requests that name it.
    pub fn restore(&mut self, info: &InstanceInfo, address: SmolStr, now: Instant) -> Change {
        if self.current.is_some() || self.known_leaving.as_ref() == Some(&info.key()) {
            return Change::Ignored;
        }
        let heartbeat = Heartbeat {
            id: info.id.clone(),
            born: info.born,
            sequence: 0,
            service: info.service.clone(),
            version: info.version.clone(),
            address,
            slots: info.slots,
            phase: Phase::Ready,
            cold_left: Duration::ZERO,
        };
        self.current = Some(InstanceState::new(heartbeat, now));
        Change::Told
    }

    /// Takes over from the announcement of an earlier process of this daemon which incarnation of the
    /// instance is leaving.
    pub fn restore_leaving(&mut self, key: InstanceKey) -> Change {
        let change = self.mark_draining(&key);
        self.known_leaving = Some(key);
        change
    }

    /// Records that an incarnation of the instance says that it is leaving; its heartbeats need not say
    /// so.
    pub fn mark_draining(&mut self, key: &InstanceKey) -> Change {
        match &mut self.current {
            Some(state)
                if state.heartbeat.key() == *key && state.heartbeat.phase == Phase::Ready =>
            {
                state.heartbeat.phase = Phase::Draining;
                Change::Told
            }
            _ => Change::Ignored,
        }
    }

    /// Returns the incarnation of the instance that is leaving; `None` if it is not.
    #[must_use]
    pub fn leaving(&self) -> Option<InstanceKey> {
        match &self.current {
            Some(state) if state.has_left || state.heartbeat.phase == Phase::Draining => {
                Some(state.heartbeat.key())
            }
            Some(_) => None,
            None => self.known_leaving.clone(),
        }
    }

    /// Records that the instance deregistered itself.
    pub fn mark_left(&mut self, id: &str) -> Change {
        match &mut self.current {
            Some(state) if state.heartbeat.id == id && !state.has_left => {
                state.has_left = true;
                Change::Told
            }
            _ => Change::Ignored,
        }
    }

    /// Records that no connection to the instance can be opened; its next heartbeat clears this.
    pub fn mark_unreachable(&mut self) -> Change {
        match &mut self.current {
            Some(state) if !state.is_unreachable => {
                state.is_unreachable = true;
                Change::Told
            }
            _ => Change::None,
        }
    }

    /// Returns the last heartbeat, even if the instance has gone since.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|state| &state.heartbeat)
    }

    /// Returns the last heartbeat if the instance accepts new requests: it is ready and reachable,
    /// has not left, and its heartbeats are not overdue.
    #[must_use]
    pub fn serving(&self, heartbeat_interval: Duration, now: Instant) -> Option<&Heartbeat> {
        let state = self.current.as_ref()?;
        let since_last_heard = now.saturating_duration_since(state.last_heard);
        let is_serving = state.heartbeat.phase == Phase::Ready
            && !state.has_left
            && !state.is_unreachable
            && since_last_heard <= heartbeat_interval * MAX_MISSED_HEARTBEATS;
        is_serving.then_some(&state.heartbeat)
    }
}

impl InstanceState {
    fn new(heartbeat: Heartbeat, last_heard: Instant) -> Self {
        Self {
            heartbeat,
            last_heard,
            has_left: false,
            is_unreachable: false,
        }
    }
}
