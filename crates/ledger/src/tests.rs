//! Tests of tickets, the fold, records and snapshots.

mod fold;
mod properties;
mod rollback;
mod text;
mod untrusted;
mod yaml;

use std::time::Duration;

use base::TicketNumber;
use base::UnixMillis;
use smol_str::format_smolstr;

use crate::Applied;
use crate::Entry;
use crate::Idempotency;
use crate::Record;
use crate::Route;
use crate::ServiceSpec;
use crate::StampedRecord;
use crate::State;
use crate::Ticket;
use crate::TrafficClass;

/// Wall clock of the first record in a test.
const START: UnixMillis = 1_000_000;

/// Applies records at consecutive offsets, with wall clocks one second apart.
#[derive(Default)]
struct Log {
    state: State,
}

impl Log {
    fn push(&mut self, record: Record) -> Applied {
        let offset = self.state.next;
        self.state.apply(&stamped(offset, record))
    }

    fn ticket(&mut self, number: TicketNumber, versions: &[(&str, &str)]) -> Applied {
        self.push(Record::Ticket(ticket(number, versions)))
    }

    fn claim(&mut self, epoch: u64) -> Applied {
        let controller = format_smolstr!("d{epoch}");
        self.push(Record::Claim { epoch, controller })
    }

    fn step(&mut self, epoch: u64, ticket: TicketNumber, service: &str, share: u16) -> Applied {
        let service = service.into();
        self.push(Record::Step {
            epoch,
            ticket,
            service,
            share,
        })
    }

    fn finish(&mut self, epoch: u64, ticket: TicketNumber, service: &str) -> Applied {
        let service = service.into();
        self.push(Record::Finish {
            epoch,
            ticket,
            service,
        })
    }

    fn rollback(&mut self, ticket: TicketNumber, service: &str) -> Applied {
        self.push(Record::Rollback {
            ticket,
            service: service.into(),
            reason: "errors".into(),
        })
    }

    /// Returns the traffic split of a service as text, such as `v1:950 v2:50`.
    fn split(&self, service: &str) -> String {
        let shares = self.state.shares_of(service);
        let parts: Vec<String> = shares.iter().map(|(v, n)| format!("{v}:{n}")).collect();
        parts.join(" ")
    }

    /// Returns the ended rollouts as text, such as `2 a v2 done`.
    fn ends(&self) -> Vec<String> {
        let line = |end: &crate::RolloutEnd| {
            format!("{} {} {} {}", end.ticket, end.service, end.to, end.end)
        };
        self.state.ends.iter().map(line).collect()
    }
}

fn stamped(offset: u64, record: Record) -> StampedRecord {
    let entry = Entry {
        id: format_smolstr!("r{offset}"),
        at: START + offset * 1000,
        record,
    };
    StampedRecord {
        offset,
        entry: Some(entry),
    }
}

fn spec(version: &str) -> ServiceSpec {
    ServiceSpec {
        version: version.into(),
        finish_by: None,
        policy: crate::RolloutPolicy::default(),
    }
}

fn route(service: &str) -> Route {
    Route {
        service: service.into(),
        repeat: Idempotency::AtMostOnce,
        class: TrafficClass::Page,
        timeout: Duration::from_secs(1),
    }
}

fn ticket(number: TicketNumber, versions: &[(&str, &str)]) -> Ticket {
    let services = versions
        .iter()
        .map(|(name, version)| ((*name).into(), spec(version)))
        .collect();
    Ticket {
        ticket: number,
        services,
        ..Ticket::default()
    }
}
