//! Time that the system adds to a call: each call through two daemons is paired with a direct
//! one to the same upstream, so that the machine's own noise falls on both.

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
use crate::bench::row::quantile;
use crate::bench::row::sorted;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::Net;
use crate::process::Interrupt;
use crate::steps::Build;

/// Pairs that are measured.
const PAIRS: usize = 3000;

/// Pairs before that, to open connections and warm up.
const WARM_UP: usize = 300;

/// Longest added time of 99 in 100 calls, in milliseconds.
const ADDED_BOUND: f64 = 1.1;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// An idempotent route of bookings.
pub const ROUTE: &str = "/bookings/fittings";

/// Two daemons in two zones; the first takes the calls, bookings run beside the second.
pub fn pair(interrupt: &Interrupt) -> Result<Fleet> {
    let net = Net::own();
    let instances = vec![
        Instance::new(net, 0, "suva-a", "catalogue", "v1"),
        Instance::new(net, 1, "nadi-a", "bookings", "v1"),
        Instance::new(net, 2, "nadi-a", "payments", "v1"),
    ];
    let mut fleet = Fleet::new(net, instances, Build::Release)?;
    fleet.upstream_options(&[
        "--service-time",
        "0ms",
        "--cold-start",
        "0ms",
        "--slots",
        "64",
    ]);
    fleet.start(interrupt)?;
    fleet.joined(interrupt)?;
    let ticket = tickets::start()?;
    let said = tickets::publish(&fleet, interrupt, "start", &ticket)?;
    if said.code != 0 {
        return Err(TaskError::Broken(said.last));
    }
    fleet.in_force(interrupt, ticket.ticket)?;
    Ok(fleet)
}

/// Measures.
pub fn run(interrupt: &Interrupt) -> Result<Vec<Row>> {
    let fleet = pair(interrupt)?;
    let direct = fleet.instances[1].upstream();
    let through = fleet.instances[0].calls();
    let pairs = block_on(measure(direct, through))?;
    fleet.close(Files::Remove);
    let direct = sorted(pairs.iter().map(|pair| pair.direct));
    let added = sorted(pairs.iter().map(|pair| pair.through - pair.direct));
    Ok(vec![
        Row::new("direct call, p50", quantile(&direct, 50), "ms"),
        Row::new("direct call, p99", quantile(&direct, 99), "ms"),
        Row::new("added to a call, p50", quantile(&added, 50), "ms"),
        Row::new("added to a call, p99", quantile(&added, 99), "ms")
            .with_bound(Bound::AtMost(ADDED_BOUND)),
    ])
}

/// Times of one pair, in milliseconds.
struct Pair {
    direct: f64,
    through: f64,
}

async fn measure(direct: SocketAddr, through: SocketAddr) -> Result<Vec<Pair>> {
    let mut direct = open(direct).await?;
    let mut through = open(through).await?;
    let mut pairs = Vec::with_capacity(PAIRS);
    for number in 0..WARM_UP + PAIRS {
        // Turns change, so that neither always comes first after a pause.
        let pair = if number % 2 == 0 {
            let direct = call(&mut direct, number).await?;
            let through = call(&mut through, number).await?;
            Pair { direct, through }
        } else {
            let through = call(&mut through, number).await?;
            let direct = call(&mut direct, number).await?;
            Pair { direct, through }
        };
        if number >= WARM_UP {
            pairs.push(pair);
        }
    }
    Ok(pairs)
}

async fn open(to: SocketAddr) -> Result<Conn> {
    let conn = Conn::connect(to, TIMEOUT, Limits::default()).await;
    conn.map_err(|e| TaskError::Broken(format!("{to}: {e}")))
}

/// Sends one call and checks its answer; returns its time in milliseconds.
pub async fn call(conn: &mut Conn, number: usize) -> Result<f64> {
    let id = format!("i.bench.{number}");
    let req = Request::get(format!("{ROUTE}?size=256")).with_header("x-call-id", &id);
    let started = Instant::now();
    let res = conn.call(req, TIMEOUT).await;
    let took = started.elapsed();
    let res = res.map_err(|e| TaskError::Broken(format!("{id}: {e}")))?;
    let answer = ResponseBody::verify(&res.body, &id);
    answer.map_err(|e| TaskError::Broken(format!("{id}: {} {e}", res.status)))?;
    Ok(took.as_secs_f64() * 1000.0)
}
