//! Measures the cost of membership per member: datagrams, bytes, CPU time and memory by fleet size.
//!
//! Run with `cargo run --release -p membership --example cost -- [SIZE]...`. All members run in
//! this process in simulated time, so the figures exclude sockets. Memory is the growth of the
//! resident set while the views are built, divided by their number; it is valid only for the first
//! size and load of a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use membership::Member;
use membership::MemberState;
use membership::Message;
use membership::Output;
use membership::Swim;
use membership::SwimConfig;
use membership::SyncReply;
use membership::UpstreamInfo;
use membership::rng::Rng;
use protocol::announce::UpstreamPhase;

const STEP: Duration = Duration::from_millis(100);
const STEPS_PER_SECOND: u32 = 10;
const SETTLE_SECONDS: u32 = 60;
const MEASURED_SECONDS: u32 = 60;
const SEEDS: [u64; 3] = [1, 2, 3];
const SIZES: [u16; 7] = [64, 128, 256, 512, 1024, 1400, 2048];
const ZONES: [&str; 6] = [
    "suva-a",
    "suva-b",
    "nadi-a",
    "lautoka-a",
    "attiki-a",
    "attiki-b",
];

/// Event at the start of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// No event.
    Quiet,
    /// All members of one zone fail at once.
    ZoneDies,
}

/// Totals over all members.
#[derive(Debug, Default, Clone, Copy)]
struct Cost {
    datagrams: u64,
    bytes: u64,
    sync_bytes: u64,
    busy: Duration,
}

struct Fleet {
    members: BTreeMap<SocketAddr, Swim>,
    inboxes: BTreeMap<SocketAddr, Vec<(SocketAddr, Message)>>,
    now: Instant,
    cost: Cost,
}

fn main() {
    println!("sent per member and second; busy: CPU time; kib: memory of one membership view");
    println!("members load seed datagrams bytes sync-bytes busy-us kib");
    let sizes: Vec<u16> = std::env::args()
        .skip(1)
        .filter_map(|it| it.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    for count in sizes {
        for load in [Load::Quiet, Load::ZoneDies] {
            for seed in SEEDS {
                report(count, load, seed);
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn report(count: u16, load: Load, seed: u64) {
    let before = resident_kib();
    let mut fleet = Fleet::joined(count, seed);
    let view_kib = resident_kib().saturating_sub(before);
    if load == Load::ZoneDies {
        fleet.members.retain(|_, it| it.me().zone != ZONES[0]);
    }
    fleet.cost = Cost::default();
    fleet.run(MEASURED_SECONDS * STEPS_PER_SECOND);
    let member_seconds = fleet.members.len() as f64 * f64::from(MEASURED_SECONDS);
    let cost = fleet.cost;
    println!(
        "{count} {load:?} {seed} {:.2} {:.0} {:.0} {:.1} {:.0}",
        cost.datagrams as f64 / member_seconds,
        cost.bytes as f64 / member_seconds,
        cost.sync_bytes as f64 / member_seconds,
        cost.busy.as_secs_f64() * 1e6 / member_seconds,
        view_kib as f64 / f64::from(count),
    );
}

impl Fleet {
    /// Gives all members the full member list, then runs for `SETTLE_SECONDS`.
    fn joined(count: u16, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = Rng::new(seed);
        let all: Vec<Member> = (0..count).map(member).collect();
        let mut fleet = Self {
            members: BTreeMap::new(),
            inboxes: BTreeMap::new(),
            now,
            cost: Cost::default(),
        };
        for me in &all {
            let cfg = SwimConfig::default();
            let mut swim = Swim::new(cfg, me.clone(), &[], rng.next_u64(), now);
            let members = all.clone();
            swim.on_sync_reply(SyncReply { members }, now);
            fleet.members.insert(me.address, swim);
        }
        fleet.run(SETTLE_SECONDS * STEPS_PER_SECOND);
        fleet
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += STEP;
            let addresses: Vec<_> = self.members.keys().copied().collect();
            for address in addresses {
                self.run_member(address);
            }
        }
    }

    /// Delivers the waiting messages of one member, then ticks it.
    fn run_member(&mut self, address: SocketAddr) {
        let waiting = self.inboxes.remove(&address).unwrap_or_default();
        let Some(swim) = self.members.get_mut(&address) else {
            return;
        };
        let start = Instant::now();
        let mut outputs = Vec::new();
        for (from, message) in waiting {
            outputs.extend(swim.on_message(from, message, self.now));
        }
        outputs.extend(swim.on_tick(self.now));
        self.cost.busy += start.elapsed();
        for output in outputs {
            self.carry_out(address, output);
        }
    }

    fn carry_out(&mut self, from: SocketAddr, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.cost.datagrams += 1;
                self.cost.bytes += encoded_size(&message);
                if self.members.contains_key(&to) {
                    self.inboxes.entry(to).or_default().push((from, message));
                }
            }
            Output::Sync { with } => self.sync(from, with),
            Output::MemberChanged(_) | Output::IncarnationRaised(_) | Output::Superseded => {}
        }
    }

    fn sync(&mut self, from: SocketAddr, with: SocketAddr) {
        let (Some(asking), Some(peer)) = (self.members.get(&from), self.members.get(&with)) else {
            return;
        };
        let req = asking.sync_request();
        let reply = peer.on_sync_request(&req);
        self.cost.sync_bytes += encoded_size(&req) + encoded_size(&reply);
        if let Some(asking) = self.members.get_mut(&from) {
            asking.on_sync_reply(reply, self.now);
        }
    }
}

fn member(number: u16) -> Member {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    Member {
        daemon: format!("{zone}-{number}").into(),
        incarnation: 1_700_000_000_000 + u64::from(number),
        version: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 10_000 + number)),
        zone: zone.into(),
        upstream: Some(UpstreamInfo {
            service: "bookings".into(),
            version: "v2".into(),
            slots: 20,
            cold_start: Duration::from_secs(10),
            phase: UpstreamPhase::Serving,
        }),
        state: MemberState::Alive,
    }
}

fn encoded_size(message: &impl serde::Serialize) -> u64 {
    rmp_serde::to_vec(message).map_or(0, |it| it.len() as u64)
}

/// Returns the resident memory of this process in KiB; 0 where `/proc` is not available.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    line.and_then(|it| it.split_whitespace().nth(1))
        .and_then(|it| it.parse().ok())
        .unwrap_or(0)
}
