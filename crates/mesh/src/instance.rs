//! The instance beside this daemon, as it tells of itself.

use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use smol_str::SmolStr;

/// Name that an instance gives itself.
pub type InstanceId = SmolStr;

/// Heartbeats that may be missing before an instance counts as gone; one may come seconds late.
const MISSED_HEARTBEATS: u32 = 3;

/// One heartbeat of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the instance.
    pub id: InstanceId,
    /// When this incarnation started, by its own clock.
    pub born: UnixMillis,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Address at which it serves, as text.
    pub address: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: Phase,
    /// How much longer it stays slow after its start.
    pub cold_left: Duration,
}

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What a heartbeat or a leaving changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to know.
    None,
    /// Another incarnation, or another phase of the same one.
    Told,
    /// The heartbeat is older than what is known, or does not fit this place.
    Ignored,
}

/// The instance beside this daemon.
#[derive(Debug, Default)]
pub struct LocalInstance {
    current: Option<Known>,
}

#[derive(Debug)]
struct Known {
    heartbeat: Heartbeat,
    heard: Instant,
    has_left: bool,
    is_unreachable: bool,
}

impl LocalInstance {
    /// Takes a heartbeat in. One of an older incarnation, or older than the last one, is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> Change {
        let Some(known) = &mut self.current else {
            self.current = Some(Known::new(heartbeat, now));
            return Change::Told;
        };
        let old = &known.heartbeat;
        if heartbeat.born < old.born {
            return Change::Ignored;
        }
        let is_same = heartbeat.born == old.born && heartbeat.id == old.id;
        if !is_same {
            self.current = Some(Known::new(heartbeat, now));
            return Change::Told;
        }
        if heartbeat.sequence <= old.sequence {
            return Change::Ignored;
        }
        // Draining is final for an incarnation; a ready heartbeat that comes after it crossed it.
        let is_told = known.is_unreachable
            || (old.phase == Phase::Ready && heartbeat.phase == Phase::Draining)
            || old.slots != heartbeat.slots
            || old.version != heartbeat.version;
        let phase = match old.phase {
            Phase::Draining => Phase::Draining,
            Phase::Ready => heartbeat.phase,
        };
        known.heartbeat = Heartbeat { phase, ..heartbeat };
        known.heard = now;
        known.is_unreachable = false;
        if is_told { Change::Told } else { Change::None }
    }

    /// Notes that an instance said that it has left.
    pub fn mark_left(&mut self, id: &str) -> Change {
        match &mut self.current {
            Some(known) if known.heartbeat.id == id && !known.has_left => {
                known.has_left = true;
                Change::Told
            }
            _ => Change::Ignored,
        }
    }

    /// Notes that no connection to the instance can be opened; its next heartbeat clears this.
    pub fn mark_unreachable(&mut self) -> Change {
        match &mut self.current {
            Some(known) if !known.is_unreachable => {
                known.is_unreachable = true;
                Change::Told
            }
            _ => Change::None,
        }
    }

    /// The last heartbeat, whatever became of the instance since.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|known| &known.heartbeat)
    }

    /// The instance if it takes new work: ready, heard lately, reachable and not gone.
    #[must_use]
    pub fn serving(&self, heartbeat_every: Duration, now: Instant) -> Option<&Heartbeat> {
        let known = self.current.as_ref()?;
        let silent = now.saturating_duration_since(known.heard);
        let is_serving = known.heartbeat.phase == Phase::Ready
            && !known.has_left
            && !known.is_unreachable
            && silent <= heartbeat_every * MISSED_HEARTBEATS;
        is_serving.then_some(&known.heartbeat)
    }
}

impl Known {
    fn new(heartbeat: Heartbeat, heard: Instant) -> Self {
        Self {
            heartbeat,
            heard,
            has_left: false,
            is_unreachable: false,
        }
    }
}
