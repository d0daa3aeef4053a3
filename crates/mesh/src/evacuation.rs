//! Availability zones that the operator has emptied of requests.
//!
//! The operator writes a record for each zone to be emptied and deletes it to take the zone back. Several
//! daemons read these records, some late, and tell all others. What a daemon knows is therefore one view:
//! all zones as of one offset. Of two views the one read further wins as a whole, so an end spreads as
//! reliably as a beginning, and a daemon that stood still cannot bring an old order back.

use base::Offset;
use base::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// The zones to be emptied, as the operator's records show them up to one offset. Of two views the one with
/// the higher epoch, then the higher offset, is the later.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// Increases when the store's offsets no longer continue.
    pub epoch: u32,
    /// Offset up to which the operator's records were read.
    pub offset: Offset,
    /// The zones, sorted by name.
    pub zones: Vec<ZoneName>,
}

impl EvacuationView {
    fn precedence(&self) -> (u32, Offset) {
        (self.epoch, self.offset)
    }
}

/// What has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Zones that are to be emptied from now on.
    pub emptied: Vec<ZoneName>,
    /// Zones that take requests again.
    pub taken_back: Vec<ZoneName>,
}

impl Changes {
    /// Whether nothing has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.emptied.is_empty() && self.taken_back.is_empty()
    }

    fn between(before: &[ZoneName], after: &[ZoneName]) -> Self {
        let missing = |from: &[ZoneName], others: &[ZoneName]| {
            let is_missing = |zone: &&ZoneName| !others.contains(zone);
            from.iter().filter(is_missing).cloned().collect()
        };
        Self {
            emptied: missing(after, before),
            taken_back: missing(before, after),
        }
    }
}

/// The zones to be emptied, as this daemon knows them.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    view: EvacuationView,
    /// Whether any zone was ever emptied; until then no daemon needs to be told.
    was_used: bool,
    /// Whether the offsets were found not to continue, and the records were not read again since.
    went_back: bool,
    /// Whether the epoch is one that another daemon began, so that what was read before has no place in it.
    must_read: bool,
}

/// What was known when a read began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStart {
    epoch: u32,
    offset: Offset,
}

impl Evacuations {
    /// Returns whether a zone is to be emptied.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.view.zones.iter().any(|known| known == zone)
    }

    /// Returns the zones to be emptied.
    #[must_use]
    pub fn zones(&self) -> &[ZoneName] {
        &self.view.zones
    }

    /// Returns the view for other daemons; `None` if no zone was ever emptied.
    #[must_use]
    pub fn view(&self) -> Option<&EvacuationView> {
        self.was_used.then_some(&self.view)
    }

    /// Returns what is known now, when a read of the records begins.
    #[must_use]
    pub fn begin_read(&self) -> ReadStart {
        ReadStart {
            epoch: self.view.epoch,
            offset: self.view.offset,
        }
    }

    /// Applies the records of one page that was read in order up to `end`: each one's zone, offset and
    /// whether it orders the zone to be emptied. Those that the view covers already are left out.
    pub fn apply(
        &mut self,
        records: impl IntoIterator<Item = (ZoneName, Offset, bool)>,
        end: Offset,
        start: ReadStart,
    ) -> Changes {
        if start.epoch != self.view.epoch {
            return Changes::default();
        }
        let mut zones = self.view.zones.clone();
        let unread = self.view.offset;
        let is_unread = |(_, offset, _): &(ZoneName, Offset, bool)| *offset >= unread;
        for (zone, _, is_ordered) in records.into_iter().filter(is_unread) {
            // Others may have read of the order only.
            self.was_used = true;
            zones.retain(|known| *known != zone);
            if is_ordered {
                zones.push(zone);
            }
        }
        self.view.offset = unread.max(end);
        self.set_zones(zones)
    }

    /// Takes over all zones that the newest records name, which were read completely at `end`. A zone that
    /// they lack was taken back. A store whose log ends before what was known has a new one.
    pub fn replace(
        &mut self,
        zones: impl IntoIterator<Item = ZoneName>,
        end: Offset,
        start: ReadStart,
    ) -> Changes {
        if start.epoch != self.view.epoch {
            self.must_read = true;
            return Changes::default();
        }
        if self.went_back || end < start.offset {
            self.view.epoch = self.view.epoch.saturating_add(1);
        } else if end < self.view.offset {
            // Another daemon has read further meanwhile.
            return Changes::default();
        }
        self.went_back = false;
        self.must_read = false;
        self.view.offset = end;
        self.set_zones(zones.into_iter().collect())
    }

    /// Takes over the view of another daemon if it is later.
    pub fn merge(&mut self, view: EvacuationView) -> Changes {
        self.was_used = true;
        if view.precedence() <= self.view.precedence() {
            return Changes::default();
        }
        if view.epoch > self.view.epoch {
            self.must_read = true;
            self.went_back = false;
        }
        self.view.epoch = view.epoch;
        self.view.offset = view.offset;
        self.set_zones(view.zones)
    }

    /// Records that the store's offsets no longer continue. What is known holds until the records are read
    /// again.
    pub fn offsets_went_back(&mut self) {
        // Otherwise another daemon has found that, and what is read next is of its epoch.
        self.went_back = !self.must_read;
    }

    /// Whether a daemon that reads the records has to begin again, as another one has found that the offsets
    /// no longer continue. Each such finding is returned once.
    pub fn take_must_read(&mut self) -> bool {
        std::mem::take(&mut self.must_read)
    }

    fn set_zones(&mut self, mut zones: Vec<ZoneName>) -> Changes {
        zones.sort_unstable();
        zones.dedup();
        let changes = Changes::between(&self.view.zones, &zones);
        self.was_used |= !zones.is_empty();
        self.view.zones = zones;
        changes
    }
}
