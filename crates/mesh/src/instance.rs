//! State of the instance beside this daemon, from its heartbeats.

use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::departures::Departures;
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

/// Part of the heartbeat interval that must lie between two heartbeats for the second to confirm the first:
/// half of it, as heartbeats do not arrive on the dot.
const CONFIRMATION_DIVISOR: u32 = 2;

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
    /// It names a service that nobody else does, or not that of its incarnation.
    Service,
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
    departures: Departures,
}

#[derive(Debug)]
struct InstanceState {
    heartbeat: Heartbeat,
    /// When the first heartbeat arrived; `None` for an instance that was taken over.
    first_heard: Option<Instant>,
    last_heard: Instant,
    is_unreachable: bool,
    /// Whether a health probe has shown that it stays.
    is_healthy: bool,
}

impl LocalInstance {
    /// Checks the service of a heartbeat. An incarnation keeps its service; that of another one must be named by the
    /// daemon's settings or the configuration, as `is_named` tells.
    ///
    /// # Errors
    /// When the heartbeat is not one of an instance here.
    pub fn check_service(
        &self,
        heartbeat: &Heartbeat,
        is_named: impl FnOnce(&ServiceName) -> bool,
    ) -> Result<(), HeartbeatFault> {
        let same_incarnation = self
            .last_heartbeat()
            .filter(|last| last.key() == heartbeat.key());
        let is_sound = match same_incarnation {
            Some(last) => last.service == heartbeat.service,
            None => is_named(&heartbeat.service),
        };
        if is_sound {
            Ok(())
        } else {
            Err(HeartbeatFault::Service)
        }
    }

    /// Applies a heartbeat. One of an older incarnation, or not newer than the last one, is
    /// ignored.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> Change {
        let key = heartbeat.key();
        let was_leaving = self.departures.contains(&key);
        // Draining is final for an incarnation: a ready heartbeat that follows was sent
        // concurrently.
        let is_news = heartbeat.phase == Phase::Draining && !was_leaving;
        let Some(state) = &mut self.current else {
            return self.replace(heartbeat, is_news, now);
        };
        let old = &state.heartbeat;
        if heartbeat.born < old.born {
            return Change::Ignored;
        }
        if key != old.key() {
            return self.replace(heartbeat, is_news, now);
        }
        if heartbeat.sequence <= old.sequence {
            return Change::Ignored;
        }
        let must_tell = state.is_unreachable
            || is_news
            || old.slots != heartbeat.slots
            || old.version != heartbeat.version;
        state.heartbeat = heartbeat;
        state.first_heard.get_or_insert(now);
        state.last_heard = now;
        state.is_unreachable = false;
        if is_news {
            self.departures.record(key);
        }
        if must_tell {
            Change::Told
        } else {
            Change::None
        }
    }

    fn replace(&mut self, heartbeat: Heartbeat, is_departure: bool, now: Instant) -> Change {
        if is_departure {
            self.departures.record(heartbeat.key());
        }
        self.current = Some(InstanceState {
            heartbeat,
            first_heard: Some(now),
            last_heard: now,
            is_unreachable: false,
            is_healthy: false,
        });
        Change::Told
    }

    /// Takes an instance over from the announcement of an earlier process of this daemon, until the
    /// instance sends a heartbeat. Only its id is trusted: another instance at the same address
    /// rejects requests that name it.
    pub fn restore(&mut self, info: &InstanceInfo, address: SmolStr, now: Instant) -> Change {
        if self.current.is_some() || self.departures.contains(&info.key()) {
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
        self.current = Some(InstanceState {
            heartbeat,
            first_heard: None,
            last_heard: now,
            is_unreachable: false,
            is_healthy: false,
        });
        Change::Told
    }

    /// Returns the instance if only the store, or the instance itself, can tell whether it stays.
    #[must_use]
    pub fn unconfirmed(&self) -> Option<InstanceKey> {
        let state = self.current.as_ref()?;
        let is_known = self.departures.has_read_store() || state.is_healthy || self.is_leaving();
        (!is_known).then(|| state.heartbeat.key())
    }

    /// Records that an incarnation of the instance has answered a health probe as one that stays.
    pub fn record_healthy(&mut self, key: &InstanceKey) {
        if let Some(state) = &mut self.current
            && state.heartbeat.key() == *key
        {
            state.is_healthy = true;
        }
    }

    /// Takes over from the announcement of an earlier process of this daemon which incarnation of the
    /// instance is leaving.
    pub fn restore_leaving(&mut self, key: InstanceKey) -> Change {
        self.depart(key, Departures::record)
    }

    /// Takes over a departure that the store holds.
    pub fn restore_departure(&mut self, key: InstanceKey) -> Change {
        self.depart(key, Departures::restore)
    }

    /// Records that an incarnation of the instance says that it is leaving; its heartbeats need not say
    /// so.
    pub fn mark_draining(&mut self, key: &InstanceKey) -> Change {
        match &self.current {
            Some(state) if state.heartbeat.key() == *key => {
                self.depart(key.clone(), Departures::record)
            }
            _ => Change::Ignored,
        }
    }

    /// Records that an instance deregistered itself, and returns which incarnations of it have left. The
    /// call does not state when the instance was born; `wall` is the time of day.
    pub fn mark_left(&mut self, id: &str, wall: UnixMillis) -> (InstanceKey, Change) {
        let born = match &self.current {
            Some(state) if state.heartbeat.id == id && state.first_heard.is_some() => {
                state.heartbeat.born
            }
            // A later incarnation than the one that was taken over may have sent the call.
            Some(state) if state.heartbeat.id == id => state.heartbeat.born.max(wall),
            _ => wall,
        };
        let key = InstanceKey {
            id: id.into(),
            born,
        };
        let change = self.depart(key.clone(), Departures::record);
        (key, change)
    }

    fn depart(&mut self, key: InstanceKey, record: fn(&mut Departures, InstanceKey)) -> Change {
        let was_leaving = self.is_leaving();
        record(&mut self.departures, key);
        if self.is_leaving() && !was_leaving {
            Change::Told
        } else {
            Change::Ignored
        }
    }

    /// Whether the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let heartbeat = self.last_heartbeat();
        heartbeat.is_some_and(|heartbeat| self.departures.contains(&heartbeat.key()))
    }

    /// Returns the incarnation of the instance that is leaving; `None` if it is not.
    #[must_use]
    pub fn leaving(&self) -> Option<InstanceKey> {
        match self.last_heartbeat() {
            Some(heartbeat) => self.is_leaving().then(|| heartbeat.key()),
            None => self.departures.newest().cloned(),
        }
    }

    /// Returns the incarnations of the instance that said that they leave.
    #[must_use]
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the same for changes to what the store is known to hold.
    pub fn departures_mut(&mut self) -> &mut Departures {
        &mut self.departures
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

    /// Returns the last heartbeat if the instance accepts new requests: it is reachable and not leaving,
    /// its heartbeats are not overdue, and no earlier process can have acknowledged that it leaves.
    #[must_use]
    pub fn serving(&self, heartbeat_interval: Duration, now: Instant) -> Option<&Heartbeat> {
        let state = self.current.as_ref()?;
        let since_last_heard = now.saturating_duration_since(state.last_heard);
        let is_serving = !self.is_leaving()
            && !state.is_unreachable
            && since_last_heard <= heartbeat_interval * MAX_MISSED_HEARTBEATS
            && (self.departures.has_read_store()
                || state.is_healthy
                || state.is_confirmed(heartbeat_interval));
        is_serving.then_some(&state.heartbeat)
    }
}

impl InstanceState {
    /// Whether heartbeats alone show that the instance stays. A single one may have been delayed until after
    /// an earlier process acknowledged the departure.
    fn is_confirmed(&self, heartbeat_interval: Duration) -> bool {
        let confirmed_by = heartbeat_interval / CONFIRMATION_DIVISOR;
        self.first_heard
            .is_some_and(|first| self.last_heard.saturating_duration_since(first) >= confirmed_by)
    }
}
