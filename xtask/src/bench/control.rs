//! The control plane at growing sizes: convergence time of a ticket, its appends and reads, and
//! what a daemon spends while nothing happens.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base::TicketNumber;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::block_on;
use ledger::Ticket;
use protocol::status::METRICS_PATH;
use protocol::status::STATUS_PATH;
use protocol::status::Status;

use crate::bench::proc::memory;
use crate::bench::proc::processor_time;
use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::bench::row::quantile;
use crate::bench::row::sorted;
use crate::client;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::Net;
use crate::process::Interrupt;
use crate::steps::Build;

/// Sizes of the fleet, in daemons.
const SIZES: [u8; 3] = [8, 16, 32];

/// Tanoa's availability zones.
const ZONES: [&str; 4] = ["suva-a", "suva-b", "nadi-a", "lautoka-a"];

/// Services that the instances are spread over.
const SERVICES: [&str; 3] = ["catalogue", "bookings", "payments"];

/// Tickets that are published at each size.
const TICKETS: TicketNumber = 7;

/// How long a fleet without calls and tickets is watched.
const IDLE: Duration = Duration::from_secs(5);

/// Pause between two looks at a daemon.
const POLL: Duration = Duration::from_millis(2);

/// Longest time that a ticket is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

/// Longest convergence time, in seconds.
const CONVERGENCE_BOUND: f64 = 7.0;

/// Most that a daemon spends for control: bytes a second, percent of a core, MiB.
const BYTES_BOUND: f64 = 13_000.0;
const PROCESSOR_BOUND: f64 = 2.1;
const MEMORY_BOUND: f64 = 64.0;

/// Counter of the bytes of the control plane.
const BYTES_METRIC: &str = "bronzehead_control_bytes_total";

/// Measures.
pub fn run(interrupt: &Interrupt) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for size in SIZES {
        println!("  {size} daemons");
        let net = Net::own();
        let mut fleet = Fleet::new(net, instances(net, size), Build::Release)?;
        fleet.start(interrupt)?;
        fleet.joined(interrupt)?;
        rows.extend(of_tickets(&fleet, interrupt)?);
        rows.extend(of_idle(&fleet, interrupt)?);
        fleet.close(Files::Remove);
    }
    Ok(rows)
}

fn instances(net: Net, size: u8) -> Vec<Instance> {
    let instance = |number: u8| {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let service = SERVICES[usize::from(number) % SERVICES.len()];
        Instance::new(net, number, zone, service, "v1")
    };
    (0..size).map(instance).collect()
}

fn of_tickets(fleet: &Fleet, interrupt: &Interrupt) -> Result<Vec<Row>> {
    let size = fleet.instances.len();
    let mut times = Vec::new();
    let before = log_counts(fleet.log())?;
    for number in 1..=TICKETS {
        let ticket = Ticket {
            ticket: number,
            ..tickets::start()?
        };
        times.push(converge(fleet, interrupt, &ticket)?);
    }
    let after = log_counts(fleet.log())?;
    let times = sorted(times);
    #[allow(clippy::cast_precision_loss)]
    let per_ticket = |count: usize| (after[count] - before[count]) as f64 / TICKETS as f64;
    let most = Bound::AtMost(CONVERGENCE_BOUND);
    Ok(vec![
        Row::new(
            format!("convergence of a ticket, {size} daemons, median"),
            quantile(&times, 50),
            "s",
        ),
        Row::new(
            format!("convergence of a ticket, {size} daemons, longest"),
            quantile(&times, 100),
            "s",
        )
        .with_bound(most),
        Row::new(
            format!("log appends per ticket, {size} daemons"),
            per_ticket(0),
            "appends",
        ),
        Row::new(
            format!("log reads per ticket, {size} daemons"),
            per_ticket(1),
            "reads",
        ),
    ])
}

/// Publishes a ticket; returns the seconds from the command's start until the last daemon has it.
fn converge(fleet: &Fleet, interrupt: &Interrupt, ticket: &Ticket) -> Result<f64> {
    let daemons: Vec<SocketAddr> = fleet.instances.iter().map(Instance::local).collect();
    let number = ticket.ticket;
    let started = Instant::now();
    let watcher = thread::spawn(move || block_on(all_have(daemons, number)));
    let said = tickets::publish(fleet, interrupt, &format!("bench-{number}"), ticket)?;
    if said.code != 0 {
        return Err(TaskError::Broken(said.last));
    }
    let seen = watcher.join().unwrap_or(None);
    let seen = seen.ok_or_else(|| TaskError::TimedOut(format!("ticket {number} everywhere")))?;
    Ok(seen.duration_since(started).as_secs_f64())
}

/// When the last of the daemons had the ticket.
async fn all_have(daemons: Vec<SocketAddr>, number: TicketNumber) -> Option<Instant> {
    let tasks: Vec<_> = daemons
        .into_iter()
        .map(|daemon| monoio::spawn(has(daemon, number)))
        .collect();
    let mut last = None;
    for task in tasks {
        last = last.max(Some(task.await?));
    }
    last
}

async fn has(daemon: SocketAddr, number: TicketNumber) -> Option<Instant> {
    let end = Instant::now() + PATIENCE;
    let mut conn = Conn::connect(daemon, PATIENCE, Limits::default())
        .await
        .ok()?;
    while Instant::now() < end {
        let res = conn.call(Request::get(STATUS_PATH), PATIENCE).await.ok()?;
        let status: Status = serde_json::from_slice(&res.body).ok()?;
        if status.ticket >= number {
            return Some(Instant::now());
        }
        monoio::time::sleep(POLL).await;
    }
    None
}

/// Appends and reads that the log service counted, over all streams.
fn log_counts(log: SocketAddr) -> Result<[u64; 2]> {
    let counters: serde_json::Value = client::get(log, "/counters")?;
    let streams = counters["streams"].as_object().into_iter().flatten();
    let mut sums = [0, 0];
    for (_, stream) in streams {
        sums[0] += stream["appends"].as_u64().unwrap_or(0);
        sums[1] += stream["reads"].as_u64().unwrap_or(0);
    }
    Ok(sums)
}

fn of_idle(fleet: &Fleet, interrupt: &Interrupt) -> Result<Vec<Row>> {
    let size = fleet.instances.len();
    let before = Spent::by_all(fleet)?;
    let reads = log_counts(fleet.log())?[1];
    interrupt.pause(IDLE)?;
    let after = Spent::by_all(fleet)?;
    let reads = log_counts(fleet.log())?[1] - reads;
    #[allow(clippy::cast_precision_loss)]
    let (daemons, reads) = (size as f64, reads as f64);
    let per_daemon = |spent: f64| spent / daemons / IDLE.as_secs_f64();
    let processor = per_daemon(after.processor - before.processor) * 100.0;
    let mut rows = vec![
        Row::new(
            format!("processor time of a daemon without calls, {size} daemons"),
            processor,
            "% of a core",
        )
        .with_bound(Bound::AtMost(PROCESSOR_BOUND)),
        Row::new(
            format!("memory of a daemon, {size} daemons, largest"),
            after.memory,
            "MiB",
        )
        .with_bound(Bound::AtMost(MEMORY_BOUND)),
        Row::new(
            format!("log reads without tickets, {size} daemons"),
            reads / IDLE.as_secs_f64(),
            "1/s",
        ),
    ];
    match (before.bytes, after.bytes) {
        (Some(before), Some(after)) => rows.push(
            Row::new(
                format!("control bytes of a daemon, {size} daemons"),
                per_daemon(after - before),
                "B/s",
            )
            .with_bound(Bound::AtMost(BYTES_BOUND)),
        ),
        _ => println!("  control bytes: not measured, the daemons do not count them"),
    }
    Ok(rows)
}

/// What all daemons have spent so far.
struct Spent {
    /// Processor time, in seconds.
    processor: f64,
    /// Largest resident memory, in MiB.
    memory: f64,
    /// Bytes of the control plane, if they are counted.
    bytes: Option<f64>,
}

impl Spent {
    fn by_all(fleet: &Fleet) -> Result<Self> {
        let mut spent = Self {
            processor: 0.0,
            memory: 0.0,
            bytes: None,
        };
        for instance in &fleet.instances {
            let id = fleet.id(&instance.daemon)?;
            spent.processor += processor_time(id)?;
            spent.memory = spent.memory.max(memory(id)?);
            let res = client::send(instance.local(), Request::get(METRICS_PATH))?;
            let text = String::from_utf8_lossy(&res.body);
            if let Some(bytes) = sum_of(&text, BYTES_METRIC) {
                spent.bytes = Some(spent.bytes.unwrap_or(0.0) + bytes);
            }
        }
        Ok(spent)
    }
}

/// Sum over all labels of a metric in text form; `None` where it has no line.
pub fn sum_of(text: &str, metric: &str) -> Option<f64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix(metric));
    let values = lines.filter(|rest| rest.starts_with(['{', ' ']));
    let values = values.filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok());
    values.fold(None, |sum, value| Some(sum.unwrap_or(0.0) + value))
}
