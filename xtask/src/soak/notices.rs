//! Checks that what instances state in their answers is held: a limit on their requests, summed over
//! all machines, and that they are leaving.
//!
//! A machine is bound by a statement from the time at which it passed an answer with it on to a client.
//! The machine of a request is the one that the client sent it to.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use smol_str::SmolStr;

use crate::soak::checker::DRAIN_TIME;
use crate::soak::plan::MachineId;

/// Time after the first statement of a limit, or of another one, from which it must be held.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after a machine passed the statement on from which its requests count.
const TOLD_SLACK: Duration = Duration::from_millis(500);

/// Span in which the requests to an instance are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// Factor on the stated limit up to which requests are tolerated, and number of requests in addition.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK_REQUESTS: f64 = 5.0;

/// What an instance states in its answers at present.
#[derive(Debug, Clone, Copy, Default)]
pub struct Statement {
    /// Requests a second, and since when the instance has stated this limit.
    pub limit: Option<(f64, Instant)>,
    /// Whether it states that it is leaving.
    pub is_leaving: bool,
}

/// When a machine first passed on an answer of an instance with each statement.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    /// The limit that it was last told, and since when.
    limit: Option<(f64, Instant)>,
    leaving: Option<Instant>,
}

/// A request that reached an instance, from a machine that was told of the limit at that time.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    machine: MachineId,
    limit: f64,
}

#[derive(Debug, Clone, Copy)]
struct Origin {
    machine: MachineId,
    sent: Instant,
}

/// Collects the requests to instances and the answers that machines passed on.
#[derive(Debug, Default)]
pub struct NoticeChecker {
    origins: FastMap<SmolStr, Origin>,
    told: FastMap<(MachineId, SmolStr), Told>,
    /// Arrivals at each instance within [`LIMIT_SPAN`] from machines that were told of its limit.
    arrivals: FastMap<SmolStr, Vec<Arrival>>,
}

impl NoticeChecker {
    /// Records that a client sends a request to a machine.
    pub fn request_sent(&mut self, id: &str, machine: MachineId, sent: Instant) {
        self.origins.insert(id.into(), Origin { machine, sent });
    }

    /// Records that the machine of a request passed on an answer of an instance.
    pub fn answer_passed_on(&mut self, id: &str, instance: &str, stated: Stated, now: Instant) {
        let Some(origin) = self.origins.remove(id) else {
            return;
        };
        let told = self.told.entry((origin.machine, instance.into()));
        let told = told.or_default();
        told.limit = stated.limit.map(|limit| match told.limit {
            Some((known, since)) if is_same(known, limit) => (known, since),
            _ => (limit, now),
        });
        if stated.leaving {
            told.leaving.get_or_insert(now);
        }
    }

    /// Records that a machine restarts, freezes or is cut off, and so need not know what it was told.
    pub fn machine_disturbed(&mut self, machine: MachineId) {
        self.told.retain(|(told, _), _| *told != machine);
        for arrivals in self.arrivals.values_mut() {
            arrivals.retain(|arrival| arrival.machine != machine);
        }
    }

    /// Records that requests to an instance may have been held up on their way.
    pub fn instance_disturbed(&mut self, instance: &str) {
        self.arrivals.remove(instance);
    }

    /// Records that a request reached an instance; returns the violation, if any.
    pub fn arrived(
        &mut self,
        id: &str,
        instance: &str,
        statement: Statement,
        now: Instant,
    ) -> Option<String> {
        let origin = self.origins.get(id).copied()?;
        let told = self.told.get(&(origin.machine, instance.into()));
        let told = told.copied().unwrap_or_default();
        if let Some(at) = told.leaving
            && statement.is_leaving
            && origin.sent > at + DRAIN_TIME
        {
            return Some(format!(
                "request {id} was sent to machine {} {} ms after that passed on that instance {instance} is leaving, \
                 and reached it",
                origin.machine,
                origin.sent.duration_since(at).as_millis(),
            ));
        }
        let (limit, since) = statement.limit?;
        let is_told = |(told, at): (f64, Instant)| is_same(told, limit) && now >= at + TOLD_SLACK;
        if !told.limit.is_some_and(is_told) {
            return None;
        }
        let arrivals = self.arrivals.entry(instance.into()).or_default();
        // What arrived under another limit says nothing of this one.
        arrivals.retain(|arrival| arrival.at + LIMIT_SPAN > now && is_same(arrival.limit, limit));
        arrivals.push(Arrival {
            at: now,
            machine: origin.machine,
            limit,
        });
        let allowed = LIMIT_FACTOR * limit * LIMIT_SPAN.as_secs_f64() + LIMIT_SLACK_REQUESTS;
        let count = arrivals.len();
        let is_held = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) <= allowed;
        (now >= since + LIMIT_SETTLE_TIME && !is_held).then(|| {
            format!(
                "instance {instance} stated a limit of {limit} a second and got {count} requests in 4 s, allowed \
                 {allowed}"
            )
        })
    }
}

fn is_same(one: f64, other: f64) -> bool {
    one.total_cmp(&other).is_eq()
}

/// What one answer states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stated {
    /// Limit in requests a second.
    pub limit: Option<f64>,
    /// Whether it states that the instance is leaving.
    pub leaving: bool,
}
