//! Calls per second through two daemons, and the processor time that they spend per call.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::Conn;
use http_edge::Limits;
use http_edge::block_on;

use crate::bench::latency;
use crate::bench::proc::cpu_time;
use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::process::Interrupt;

/// Number of connections that send calls concurrently.
const CONCURRENCY: usize = 32;

/// Duration of the load.
const SEND_TIME: Duration = Duration::from_secs(4);

/// Required rate per daemon: the target size is 520,000 calls per second over 1,400 daemons.
const RATE_BOUND_PER_SECOND: f64 = 520_000.0 / 1400.0;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Measures throughput and processor time per call.
pub fn run(interrupt: &Interrupt) -> Result<Vec<Row>> {
    let fleet = latency::start_pair(interrupt)?;
    let caller_side = fleet.pid(&fleet.instances[0].daemon)?;
    let upstream_side = fleet.pid(&fleet.instances[1].daemon)?;
    let before = [cpu_time(caller_side)?, cpu_time(upstream_side)?];
    let started = Instant::now();
    let calls = block_on(send_calls(fleet.instances[0].calls_addr()))?;
    let took = started.elapsed().as_secs_f64();
    let after = [cpu_time(caller_side)?, cpu_time(upstream_side)?];
    fleet.close(Files::Remove);
    let calls = f64::from(calls);
    let per_call = |side: usize| (after[side] - before[side]) / calls * 1e6;
    let rate = Bound::AtLeast(RATE_BOUND_PER_SECOND.ceil());
    Ok(vec![
        Row::new("calls through one pair of daemons", calls / took, "1/s").with_bound(rate),
        Row::new("processor time of a call, caller side", per_call(0), "us"),
        Row::new("processor time of a call, upstream side", per_call(1), "us"),
    ])
}

async fn send_calls(to: SocketAddr) -> Result<u32> {
    let count = Rc::new(Cell::new(0u32));
    let end = Instant::now() + SEND_TIME;
    let tasks: Vec<_> = (0..CONCURRENCY)
        .map(|task| monoio::spawn(send_sequentially(to, task, end, Rc::clone(&count))))
        .collect();
    for task in tasks {
        task.await?;
    }
    Ok(count.get())
}

async fn send_sequentially(
    to: SocketAddr,
    task: usize,
    end: Instant,
    count: Rc<Cell<u32>>,
) -> Result<()> {
    let conn = Conn::connect(to, CONNECT_TIMEOUT, Limits::default()).await;
    let mut conn = conn.map_err(|e| TaskError::Failed(format!("{to}: {e}")))?;
    let mut number = task;
    while Instant::now() < end {
        latency::call(&mut conn, number).await?;
        number += CONCURRENCY;
        count.set(count.get() + 1);
    }
    Ok(())
}
