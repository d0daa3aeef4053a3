//! Latency that the system adds to a call. Each call through two daemons is paired with a direct
//! call to the same upstream, so that noise of the machine affects both.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::block_on;
use standin_upstream::ResponseBody;

use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::bench::row::percentile;
use crate::bench::row::sorted;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::LoopbackNet;
use crate::process::Interrupt;
use crate::workspace::Profile;

/// Number of measured pairs.
const PAIRS: usize = 3000;

/// Number of discarded pairs before them, which open connections and fill caches.
const WARM_UP_PAIRS: usize = 300;

/// Maximum p99 of the added latency, in milliseconds.
const ADDED_P99_BOUND_MS: f64 = 1.1;

/// Timeout of a connection attempt and of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Idempotent route to the bookings service that the calls use.
pub const ROUTE: &str = "/bookings/fittings";

/// Starts a fleet whose first daemon, in one zone, accepts the calls and whose second daemon, in
/// another zone, serves bookings. The third serves payments, which receive no calls.
pub fn start_pair(interrupt: &Interrupt) -> Result<Fleet> {
    let net = LoopbackNet::for_this_process();
    let instances = vec![
        Instance::new(net, 0, "suva-a", "catalogue", "v1"),
        Instance::new(net, 1, "nadi-a", "bookings", "v1"),
        Instance::new(net, 2, "nadi-a", "payments", "v1"),
    ];
    let mut fleet = Fleet::new(net, instances, Profile::Release)?;
    fleet.upstream_options(&[
        "--service-time",
        "0ms",
        "--cold-start",
        "0ms",
        "--slots",
        "64",
    ]);
    fleet.start(interrupt)?;
    fleet.wait_until_joined(interrupt)?;
    let ticket = tickets::initial()?;
    let output = tickets::publish(&fleet, interrupt, "start", &ticket)?;
    if output.exit_code != 0 {
        return Err(TaskError::Failed(output.last_line));
    }
    fleet.wait_until_in_force(interrupt, ticket.ticket)?;
    Ok(fleet)
}

/// Measures direct calls and the latency that two daemons add.
pub fn run(interrupt: &Interrupt) -> Result<Vec<Row>> {
    let fleet = start_pair(interrupt)?;
    let direct = fleet.instances[1].upstream_addr();
    let through = fleet.instances[0].calls_addr();
    let pairs = block_on(measure_pairs(direct, through))?;
    fleet.close(Files::Remove);
    let direct = sorted(pairs.iter().map(|pair| pair.direct));
    let added = sorted(pairs.iter().map(|pair| pair.through - pair.direct));
    Ok(vec![
        Row::new("direct call, p50", percentile(&direct, 50), "ms"),
        Row::new("direct call, p99", percentile(&direct, 99), "ms"),
        Row::new("added to a call, p50", percentile(&added, 50), "ms"),
        Row::new("added to a call, p99", percentile(&added, 99), "ms")
            .with_bound(Bound::AtMost(ADDED_P99_BOUND_MS)),
    ])
}

/// Latencies of a direct call and of a call through the daemons, in milliseconds.
struct Pair {
    direct: f64,
    through: f64,
}

async fn measure_pairs(direct: SocketAddr, through: SocketAddr) -> Result<Vec<Pair>> {
    let mut direct = open(direct).await?;
    let mut through = open(through).await?;
    let mut pairs = Vec::with_capacity(PAIRS);
    for number in 0..WARM_UP_PAIRS + PAIRS {
        // The order alternates, so that neither kind of call is always first after a pause.
        let pair = if number % 2 == 0 {
            let direct = call(&mut direct, number).await?;
            let through = call(&mut through, number).await?;
            Pair { direct, through }
        } else {
            let through = call(&mut through, number).await?;
            let direct = call(&mut direct, number).await?;
            Pair { direct, through }
        };
        if number >= WARM_UP_PAIRS {
            pairs.push(pair);
        }
    }
    Ok(pairs)
}

async fn open(to: SocketAddr) -> Result<Conn> {
    let conn = Conn::connect(to, CALL_TIMEOUT, Limits::default()).await;
    conn.map_err(|e| TaskError::Failed(format!("{to}: {e}")))
}

/// Sends a call and verifies its response; returns the latency in milliseconds.
pub async fn call(conn: &mut Conn, number: usize) -> Result<f64> {
    let id = format!("i.bench.{number}");
    let req = Request::get(format!("{ROUTE}?size=256")).with_header("x-call-id", &id);
    let started = Instant::now();
    let res = conn.call(req, CALL_TIMEOUT).await;
    let took = started.elapsed();
    let res = res.map_err(|e| TaskError::Failed(format!("{id}: {e}")))?;
    let answer = ResponseBody::verify(&res.body, &id);
    answer.map_err(|e| TaskError::Failed(format!("{id}: {} {e}", res.status)))?;
    Ok(took.as_secs_f64() * 1000.0)
}
