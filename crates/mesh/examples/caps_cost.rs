//! Prints what usage caps cost the allocator and a daemon that asks, without sockets.

use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use mesh::caps::Admission;
use mesh::caps::Cap;
use mesh::caps::CapTable;
use mesh::caps::Fleet;
use mesh::caps::UsageCaps;
use mesh::caps::cap_id;
use mesh::caps::message::CapMessage;
use mesh::rate_limit::RequestRate;
use protocol::codec;

/// Requests a second of one daemon: 520,000 at 1,406 of them.
const REQUESTS_PER_SEC: u32 = 370;

/// Simulated time.
const SECONDS: u32 = 10;

fn name(index: usize) -> DaemonId {
    format!("sidecar-lautoka-a-{index}").into()
}

fn resident_kb() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("procfs");
    let pages = statm.split(' ').nth(1).expect("a second field");
    pages.parse::<u64>().expect("a number") * 4
}

fn caps(index: usize, daemons: usize, table: &CapTable, now: Duration) -> UsageCaps {
    let mut caps = UsageCaps::new(name(index), 1, now);
    caps.set_table(1, table.clone(), now);
    caps.set_fleet(Fleet {
        members: daemons,
        position: index,
        candidates: vec![name(0)],
    });
    caps
}

/// Lets all daemons ask that are due.
fn ask_in_round(allocator: &mut UsageCaps, askers: &mut [UsageCaps], now: Duration) {
    for asker in askers {
        if let Some((_, ask)) = asker.next_ask(now) {
            let answer = allocator.answer(&ask, now);
            asker.record_answer(&answer, 7, now);
        }
    }
}

fn measure(daemons: usize, customers: usize) {
    let rate = RequestRate::from_per_sec(1e6).expect("a rate");
    let cap = Cap {
        rate,
        burst: 1_000_000,
    };
    let table: CapTable = (0..customers)
        .map(|index| (cap_id(&format!("customer-{index}")), cap))
        .collect();
    let ids: Vec<u64> = table.keys().copied().collect();
    let mut now = Duration::from_secs(100);
    let before_kb = resident_kb();
    let mut allocator = caps(0, daemons, &table, now);
    let allocator_kb = resident_kb() - before_kb;
    let mut askers: Vec<UsageCaps> = (0..daemons)
        .map(|index| caps(index, daemons, &CapTable::default(), now))
        .collect();
    askers[1].set_table(1, table.clone(), now);
    // A majority promises.
    for asker in &mut askers {
        asker.set_table(1, [(ids[0], cap)].into_iter().collect(), now);
    }
    askers[1].set_table(1, table.clone(), now);
    for _ in 0..8 {
        now += Duration::from_millis(250);
        ask_in_round(&mut allocator, &mut askers, now);
    }
    assert!(allocator.is_allocator(now));
    let mut round_at = now;
    let (mut asks, mut bytes) = (0_u32, 0);
    let (mut asker_time, mut allocator_time) = (Duration::ZERO, Duration::ZERO);
    let mut random = 1_u64;
    let step = Duration::from_secs(1) / REQUESTS_PER_SEC;
    for _ in 0..SECONDS * REQUESTS_PER_SEC {
        now += step;
        if now >= round_at + Duration::from_millis(250) {
            round_at = now;
            ask_in_round(&mut allocator, &mut askers, now);
        }
        random = base::hash::stable(&[&random.to_be_bytes()]);
        // The square makes some customers ask for much more than others.
        let share =
            u32::try_from(random >> 32).map_or(0.0, |part| f64::from(part) / 4_294_967_296.0);
        let count = f64::from(u32::try_from(ids.len()).expect("few customers"));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (share.powi(3) * count) as usize;
        let began = Instant::now();
        let admission = askers[1].request(ids[index], random, now);
        let ask = match admission {
            Admission::Waits(_) => askers[1].next_ask(now),
            _ => None,
        };
        asker_time += began.elapsed();
        let Some((_, ask)) = ask else { continue };
        let began = Instant::now();
        let answer = black_box(allocator.answer(&ask, now));
        allocator_time += began.elapsed();
        asks += 1;
        bytes += codec::encode(&CapMessage::Ask(ask)).len();
        bytes += codec::encode(&CapMessage::Answer(answer.clone())).len();
        let began = Instant::now();
        askers[1].record_answer(&answer, random, now);
        asker_time += began.elapsed();
    }
    assert!(allocator.is_allocator(now));
    let holder_kb = resident_kb() - before_kb;
    println!(
        "{daemons} daemons, {customers} customers, {REQUESTS_PER_SEC} requests/s a daemon: {} asks/s, {} bytes an ask \
         with its answer, asker {:.1} us an ask, allocator {:.1} us an ask; memory of the caps and one bucket table \
         {allocator_kb} kB, of all simulated state {holder_kb} kB",
        asks / SECONDS,
        bytes / usize::try_from(asks.max(1)).expect("few asks"),
        asker_time.as_secs_f64() * 1e6 / f64::from(asks.max(1)),
        allocator_time.as_secs_f64() * 1e6 / f64::from(asks.max(1)),
    );
}

fn main() {
    for (daemons, customers) in [(70, 77), (1406, 77), (70, 10_000), (1406, 10_000)] {
        measure(daemons, customers);
    }
}
