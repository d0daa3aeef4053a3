//! The control plane at growing fleet sizes: convergence time of a ticket, log appends and reads
//! per ticket, and the resource use of idle daemons.

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

use crate::bench::proc::cpu_time;
use crate::bench::proc::resident_memory;
use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::bench::row::percentile;
use crate::bench::row::sorted;
use crate::client;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::LoopbackNet;
use crate::process::Interrupt;
use crate::workspace::Profile;

/// Fleet sizes, in daemons.
const FLEET_SIZES: [u8; 3] = [8, 16, 32];

/// Tanoa's availability zones.
const ZONES: [&str; 4] = ["suva-a", "suva-b", "nadi-a", "lautoka-a"];

/// Services, assigned to the instances in turn.
const SERVICES: [&str; 3] = ["catalogue", "bookings", "payments"];

/// Number of tickets published at each fleet size.
const TICKET_COUNT: TicketNumber = 7;

/// Duration of the measurement without calls and tickets.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Pause between two status requests to a daemon; limits the resolution of convergence times.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout for a ticket to be in force on a daemon, and for each status request.
const TICKET_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum convergence time of a ticket, in seconds.
const CONVERGENCE_BOUND_SECS: f64 = 7.0;

/// Maximum control-plane traffic per daemon, in bytes per second.
const CONTROL_BYTES_PER_SEC_BOUND: f64 = 13_000.0;
/// Maximum processor time of an idle daemon, in percent of a core.
const CPU_PERCENT_BOUND: f64 = 2.1;
/// Maximum resident memory of a daemon, in MiB.
const MEMORY_MIB_BOUND: f64 = 64.0;

/// Metric that counts the bytes of the control plane.
const BYTES_METRIC: &str = "bronzehead_control_bytes_total";

/// Measures convergence, log use and idle cost at each fleet size.
pub fn run(interrupt: &Interrupt) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for size in FLEET_SIZES {
        println!("  {size} daemons");
        let net = LoopbackNet::for_this_process();
        let mut fleet = Fleet::new(net, instances(net, size), Profile::Release)?;
        fleet.start(interrupt)?;
        fleet.wait_until_joined(interrupt)?;
        rows.extend(ticket_rows(&fleet, interrupt)?);
        rows.extend(idle_rows(&fleet, interrupt)?);
        fleet.close(Files::Remove);
    }
    Ok(rows)
}

fn instances(net: LoopbackNet, size: u8) -> Vec<Instance> {
    let instance = |number: u8| {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let service = SERVICES[usize::from(number) % SERVICES.len()];
        Instance::new(net, number, zone, service, "v1")
    };
    (0..size).map(instance).collect()
}

fn ticket_rows(fleet: &Fleet, interrupt: &Interrupt) -> Result<Vec<Row>> {
    let size = fleet.instances.len();
    let mut times = Vec::new();
    let before = log_counts(fleet.log_addr())?;
    for number in 1..=TICKET_COUNT {
        let ticket = Ticket {
            ticket: number,
            ..tickets::initial()?
        };
        times.push(measure_convergence(fleet, interrupt, &ticket)?);
    }
    let after = log_counts(fleet.log_addr())?;
    let times = sorted(times);
    #[allow(clippy::cast_precision_loss)]
    let per_ticket = |index: usize| (after[index] - before[index]) as f64 / TICKET_COUNT as f64;
    let bound = Bound::AtMost(CONVERGENCE_BOUND_SECS);
    Ok(vec![
        Row::new(
            format!("convergence of a ticket, {size} daemons, median"),
            percentile(&times, 50),
            "s",
        ),
        Row::new(
            format!("convergence of a ticket, {size} daemons, longest"),
            percentile(&times, 100),
            "s",
        )
        .with_bound(bound),
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

/// Publishes a ticket; returns the seconds from the start of the command until the ticket is in
/// force on the last daemon.
fn measure_convergence(fleet: &Fleet, interrupt: &Interrupt, ticket: &Ticket) -> Result<f64> {
    let daemons: Vec<SocketAddr> = fleet.instances.iter().map(Instance::local_addr).collect();
    let number = ticket.ticket;
    let started = Instant::now();
    let watcher = thread::spawn(move || block_on(wait_for_ticket_on_all(daemons, number)));
    let output = tickets::publish(fleet, interrupt, &format!("bench-{number}"), ticket)?;
    if output.exit_code != 0 {
        return Err(TaskError::Failed(output.last_line));
    }
    let in_force_at = watcher.join().unwrap_or(None);
    let in_force_at = in_force_at
        .ok_or_else(|| TaskError::TimedOut(format!("ticket {number} in force on all daemons")))?;
    Ok(in_force_at.duration_since(started).as_secs_f64())
}

/// Returns the time at which the ticket was in force on the last daemon; `None` after a timeout.
async fn wait_for_ticket_on_all(daemons: Vec<SocketAddr>, number: TicketNumber) -> Option<Instant> {
    let tasks: Vec<_> = daemons
        .into_iter()
        .map(|daemon| monoio::spawn(wait_for_ticket(daemon, number)))
        .collect();
    let mut last = None;
    for task in tasks {
        last = last.max(Some(task.await?));
    }
    last
}

async fn wait_for_ticket(daemon: SocketAddr, number: TicketNumber) -> Option<Instant> {
    let end = Instant::now() + TICKET_TIMEOUT;
    let mut conn = Conn::connect(daemon, TICKET_TIMEOUT, Limits::default())
        .await
        .ok()?;
    while Instant::now() < end {
        let res = conn
            .call(Request::get(STATUS_PATH), TICKET_TIMEOUT)
            .await
            .ok()?;
        let status: Status = serde_json::from_slice(&res.body).ok()?;
        if status.ticket >= number {
            return Some(Instant::now());
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Returns the appends and reads that the log service counted, summed over all streams.
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

fn idle_rows(fleet: &Fleet, interrupt: &Interrupt) -> Result<Vec<Row>> {
    let size = fleet.instances.len();
    let before = ResourceUse::of_all_daemons(fleet)?;
    let reads = log_counts(fleet.log_addr())?[1];
    interrupt.pause(IDLE_TIME)?;
    let after = ResourceUse::of_all_daemons(fleet)?;
    let reads = log_counts(fleet.log_addr())?[1] - reads;
    #[allow(clippy::cast_precision_loss)]
    let (daemons, reads) = (size as f64, reads as f64);
    let per_daemon = |total: f64| total / daemons / IDLE_TIME.as_secs_f64();
    let cpu_percent = per_daemon(after.cpu_seconds - before.cpu_seconds) * 100.0;
    let mut rows = vec![
        Row::new(
            format!("processor time of a daemon without calls, {size} daemons"),
            cpu_percent,
            "% of a core",
        )
        .with_bound(Bound::AtMost(CPU_PERCENT_BOUND)),
        Row::new(
            format!("memory of a daemon, {size} daemons, largest"),
            after.memory_mib,
            "MiB",
        )
        .with_bound(Bound::AtMost(MEMORY_MIB_BOUND)),
        Row::new(
            format!("log reads without tickets, {size} daemons"),
            reads / IDLE_TIME.as_secs_f64(),
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
            .with_bound(Bound::AtMost(CONTROL_BYTES_PER_SEC_BOUND)),
        ),
        _ => println!("  control bytes: not measured, the daemons do not export the metric"),
    }
    Ok(rows)
}

/// Resource use of all daemons since their start.
struct ResourceUse {
    /// Processor time of all daemons, in seconds.
    cpu_seconds: f64,
    /// Resident memory of the largest daemon, in MiB.
    memory_mib: f64,
    /// Control-plane bytes of all daemons; `None` where no daemon exports the metric.
    bytes: Option<f64>,
}

impl ResourceUse {
    fn of_all_daemons(fleet: &Fleet) -> Result<Self> {
        let mut usage = Self {
            cpu_seconds: 0.0,
            memory_mib: 0.0,
            bytes: None,
        };
        for instance in &fleet.instances {
            let pid = fleet.pid(&instance.daemon)?;
            usage.cpu_seconds += cpu_time(pid)?;
            usage.memory_mib = usage.memory_mib.max(resident_memory(pid)?);
            let res = client::send(instance.local_addr(), Request::get(METRICS_PATH))?;
            let text = String::from_utf8_lossy(&res.body);
            if let Some(bytes) = sum_metric(&text, BYTES_METRIC) {
                usage.bytes = Some(usage.bytes.unwrap_or(0.0) + bytes);
            }
        }
        Ok(usage)
    }
}

/// Sums a metric in Prometheus text format over all labels; `None` if the metric is absent.
pub fn sum_metric(text: &str, metric: &str) -> Option<f64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix(metric));
    let values = lines.filter(|rest| rest.starts_with(['{', ' ']));
    let values = values.filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok());
    values.fold(None, |sum, value| Some(sum.unwrap_or(0.0) + value))
}
