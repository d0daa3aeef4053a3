//! Availability zones that are emptied of requests: which ones, and what follows for this daemon.

use base::ServiceName;
use mesh::evacuation::Changes;
use mesh::evacuation::EvacuationView;
use mesh::evacuation::ReadStart;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::operator;
use users_platform::records::KeyedRecord;

use crate::node::Node;

impl Node {
    /// Whether an availability zone is to be emptied.
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.evacuations.borrow().contains(zone)
    }

    /// Whether the zone of the local instance is to be emptied.
    pub fn is_own_zone_emptied(&self) -> bool {
        self.is_emptied(&self.boot.borrow().zone)
    }

    /// Whether all instances of a service that would take requests are in zones to be emptied.
    pub fn is_service_emptied(&self, service: &ServiceName) -> bool {
        let directory = self.directory.borrow();
        let mut zones = directory
            .serving(service)
            .map(|entry| &entry.member.zone)
            .peekable();
        zones.peek().is_some() && zones.all(|zone| self.is_emptied(zone))
    }

    /// Applies the newest records of the operator's topic, read completely at `end`.
    pub fn replace_evacuations(&self, records: &[KeyedRecord], end: u64, start: ReadStart) {
        let ordered = records.iter().filter(|record| record.value.is_some());
        let zones = ordered.filter_map(|record| operator::evacuated_zone(&record.key));
        let changes = self.evacuations.borrow_mut().replace(zones, end, start);
        self.announce_evacuations(&changes);
    }

    /// Applies records of the operator's topic that were read in order up to `end`.
    pub fn apply_evacuations(&self, records: &[KeyedRecord], end: u64, start: ReadStart) {
        let orders = records.iter().filter_map(|record| {
            let zone = operator::evacuated_zone(&record.key)?;
            Some((zone, record.offset, record.value.is_some()))
        });
        let changes = self.evacuations.borrow_mut().apply(orders, end, start);
        self.announce_evacuations(&changes);
    }

    /// Takes over the view of another daemon if it is later.
    pub fn merge_evacuations(&self, view: EvacuationView) {
        let changes = self.evacuations.borrow_mut().merge(view);
        self.handle_evacuations(&changes, "gossip");
    }

    fn announce_evacuations(&self, changes: &Changes) {
        if !changes.is_empty() {
            self.has_evacuation_news.set(true);
        }
        self.handle_evacuations(changes, "store");
    }

    /// Refuses what waits for the local instance if its zone is emptied. The instance may have become cold
    /// while it got no requests.
    fn handle_evacuations(&self, changes: &Changes, source: &'static str) {
        for zone in &changes.emptied {
            self.log_evacuation("zone-emptied", zone, source);
        }
        for zone in &changes.taken_back {
            self.log_evacuation("zone-taken-back", zone, source);
        }
        let own_zone = self.boot.borrow().zone.clone();
        if changes.emptied.contains(&own_zone) {
            self.dispatcher.refuse_waiting(NotRunReason::Evacuated);
            self.doubt_warmth("zone-emptied");
        }
        if changes.taken_back.contains(&own_zone) {
            self.doubt_warmth("zone-taken-back");
        }
    }

    fn log_evacuation(&self, event: &'static str, zone: &str, source: &'static str) {
        self.log_state(event, || {
            let directory = self.directory.borrow();
            let daemons = directory
                .entries()
                .filter(|entry| entry.member.zone == zone);
            let evacuations = self.evacuations.borrow();
            let view = evacuations.view();
            json!({
                "zone": zone,
                "daemons": daemons.count(),
                "epoch": view.map(|view| view.epoch),
                "offset": view.map(|view| view.offset),
                "source": source,
            })
        });
    }
}
