//! Usage caps of customers: takes a token before a request runs, and exchanges datagrams with the
//! daemon that gives tokens.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use http_edge::DatagramSocket;
use local_sync::oneshot;
use mesh::ConfigVersion;
use mesh::caps::ASK_AGAIN_TIME;
use mesh::caps::ASK_INTERVAL;
use mesh::caps::Admission;
use mesh::caps::CapId;
use mesh::caps::Fleet;
use mesh::caps::UsageCaps;
use mesh::caps::cap_id;
use mesh::caps::holder::Token;
use mesh::caps::holder::WaiterId;
use mesh::caps::message::Answer;
use mesh::caps::message::Ask;
use mesh::caps::message::CapMessage;
use mesh::caps::message::Stamp;
use mesh::customers::Customer;
use mesh::customers::CustomerName;
use mesh::wake::BootTime;
use protocol::codec;
use report::metrics::CapOutcome;
use serde_json::json;

use crate::logs::EventClass;
use crate::node::Node;
use crate::node::SharedNode;

/// Shortest time between two checks whether an ask is due.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the buffer for one datagram, in bytes; larger than any of them.
const DATAGRAM_BUFFER: usize = 2048;

/// Part of the target latency for which a request waits for a token.
const WAIT_DIVISOR: u32 = 8;

/// Time between two log lines about refused requests of one customer.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Customers with metrics of their own: those with the largest caps.
const MEASURED_CUSTOMERS: usize = 16;

/// Label of all other customers in the metrics.
const OTHER_CUSTOMERS: &str = "others";

/// Decision on a request of a customer.
#[derive(Debug, PartialEq, Eq)]
pub enum Acquired {
    /// It may run; the token goes back if it does not.
    Granted(Option<Token>),
    /// The customer has spent its cap; a token may be free after this time.
    OverCap(Duration),
    /// No allocator answers; one may after this time.
    NoAllocator(Duration),
}

/// Refused requests of a customer since the last log line.
#[derive(Debug, Default)]
struct Refusals {
    logged_at: Option<Instant>,
    count: u32,
}

/// Caps of one daemon, and its requests that wait for a token.
pub struct CapGate {
    caps: RefCell<UsageCaps>,
    waiting: RefCell<FastMap<WaiterId, oneshot::Sender<Admission>>>,
    /// Socket for asks and answers; `None` if the daemon has one port only.
    socket: Option<DatagramSocket>,
    /// Digest of the directory from which the fleet was taken.
    fleet_digest: Cell<Option<u64>>,
    allocator: RefCell<Option<DaemonId>>,
    refusals: RefCell<FastMap<CustomerName, Refusals>>,
    measured: RefCell<BTreeSet<CustomerName>>,
}

impl CapGate {
    /// Creates the gate of a process that starts now. `life` differs in each process of the daemon.
    pub fn new(own: DaemonId, life: u64, socket: Option<DatagramSocket>, now: BootTime) -> Self {
        Self {
            caps: RefCell::new(UsageCaps::new(own, life, now)),
            waiting: RefCell::default(),
            socket,
            fleet_digest: Cell::new(None),
            allocator: RefCell::default(),
            refusals: RefCell::default(),
            measured: RefCell::default(),
        }
    }

    /// Takes the caps of an adopted configuration into force.
    pub fn set_config(
        &self,
        version: ConfigVersion,
        customers: Option<&[Customer]>,
        now: BootTime,
    ) {
        self.caps.borrow_mut().set_config(version, customers, now);
        let mut capped: Vec<&Customer> = customers
            .unwrap_or_default()
            .iter()
            .filter(|customer| customer.cap.is_some())
            .collect();
        capped.sort_by(|a, b| {
            let rate = |customer: &Customer| customer.cap.map_or(0.0, |cap| cap.rate.per_sec());
            rate(b).total_cmp(&rate(a)).then(a.name.cmp(&b.name))
        });
        let measured = capped.into_iter().take(MEASURED_CUSTOMERS);
        *self.measured.borrow_mut() = measured.map(|customer| customer.name.clone()).collect();
    }

    fn label(&self, customer: &CustomerName) -> CustomerName {
        if self.measured.borrow().contains(customer) {
            customer.clone()
        } else {
            OTHER_CUSTOMERS.into()
        }
    }

    /// Returns the number of refused requests to log now; `None` if a line was logged a moment ago.
    fn count_refusal(&self, customer: &CustomerName, now: Instant) -> Option<u32> {
        let mut refusals = self.refusals.borrow_mut();
        let refusals = refusals.entry(customer.clone()).or_default();
        refusals.count += 1;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFUSAL_LOG_INTERVAL;
        if refusals.logged_at.is_some_and(is_recent) {
            return None;
        }
        refusals.logged_at = Some(now);
        Some(std::mem::take(&mut refusals.count))
    }
}

/// Removes a request from the queue whose client left.
struct WaitGuard<'a> {
    gate: &'a CapGate,
    id: CapId,
    waiter: WaiterId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self
            .gate
            .waiting
            .borrow_mut()
            .remove(&self.waiter)
            .is_some()
        {
            let mut caps = self.gate.caps.borrow_mut();
            let _ = caps.give_up(self.id, self.waiter, 0);
        }
    }
}

/// Returns until when a request may wait for a token.
pub fn wait_until(began: Instant, full_value_until: Instant) -> Instant {
    began + full_value_until.saturating_duration_since(began) / WAIT_DIVISOR
}

/// Asks for tokens at regular times.
pub async fn ask_in_rounds(node: SharedNode) {
    loop {
        let pause = if node.caps.caps.borrow().is_needed() {
            let next = node.caps.caps.borrow().next_ask_at();
            let left = next.saturating_sub(node.boot_time());
            left.clamp(MIN_CHECK_INTERVAL, ASK_INTERVAL)
        } else {
            ASK_INTERVAL
        };
        monoio::time::sleep(pause).await;
        node.send_due_ask().await;
        node.record_allocator();
    }
}

/// Handles datagrams about caps until the process ends.
pub async fn receive(node: SharedNode) {
    let Some(socket) = &node.caps.socket else {
        return;
    };
    let mut buf = vec![0; DATAGRAM_BUFFER];
    loop {
        let (returned, len, from) = socket.receive(buf).await;
        buf = returned;
        match codec::decode::<CapMessage>(&buf[..len]) {
            Ok(CapMessage::Ask(ask)) => {
                node.record_config_version(ask.config, peer_address(from));
                let answer = node.answer_ask(&ask);
                node.send_cap_message(&CapMessage::Answer(answer), from)
                    .await;
            }
            Ok(CapMessage::Answer(answer)) => {
                node.record_config_version(answer.config, peer_address(from));
                node.record_cap_answer(&answer);
                node.send_due_ask().await;
            }
            Ok(CapMessage::Resigned(daemon, stamp)) => {
                node.record_resignation(&daemon, stamp);
                node.send_due_ask().await;
            }
            Err(e) => log::warn!("caps: cannot decode datagram from {from}: {e}"),
        }
    }
}

/// Returns the address for datagrams about caps of the daemon that has this one for others.
fn cap_address(peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), peer.port().saturating_add(1))
}

/// Returns the address for others of the daemon that has this one for datagrams about caps.
fn peer_address(from: SocketAddr) -> SocketAddr {
    SocketAddr::new(from.ip(), from.port().saturating_sub(1))
}

impl Node {
    /// Takes a token of the customer's cap, for which a request waits until a time at most.
    pub async fn acquire_cap(&self, customer: &CustomerName, until: Instant) -> Acquired {
        let id = cap_id(customer);
        if self.caps.caps.borrow().cap(id).is_none() {
            return Acquired::Granted(None);
        }
        self.refresh_fleet();
        let (random, now) = (self.random(), self.boot_time());
        let admission = self.caps.caps.borrow_mut().request(id, random, now);
        let admission = match admission {
            Admission::Waits(waiter) => self.wait_for_token(id, waiter, until).await,
            decided => decided,
        };
        let (acquired, outcome) = match admission {
            Admission::Granted(token) => (Acquired::Granted(Some(token)), CapOutcome::Granted),
            Admission::OverCap(after) => (Acquired::OverCap(after), CapOutcome::OverCap),
            Admission::NoAllocator(after) => {
                (Acquired::NoAllocator(after), CapOutcome::NoAllocator)
            }
            Admission::Waits(_) => (Acquired::NoAllocator(ASK_INTERVAL), CapOutcome::NoAllocator),
        };
        let label = self.caps.label(customer);
        self.metrics.record_cap_decision(&label, outcome);
        acquired
    }

    async fn wait_for_token(&self, id: CapId, waiter: WaiterId, until: Instant) -> Admission {
        let gate = &self.caps;
        let (tx, mut rx) = oneshot::channel();
        gate.waiting.borrow_mut().insert(waiter, tx);
        let _guard = WaitGuard { gate, id, waiter };
        loop {
            self.send_due_ask().await;
            let left = until.saturating_duration_since(Instant::now());
            let decided = monoio::time::timeout(left.min(ASK_AGAIN_TIME), &mut rx).await;
            if let Ok(Ok(admission)) = decided {
                return admission;
            }
            if Instant::now() >= until {
                break;
            }
        }
        gate.waiting.borrow_mut().remove(&waiter);
        let random = self.random();
        gate.caps.borrow_mut().give_up(id, waiter, random)
    }

    /// Takes a token back whose request did not run.
    pub fn give_back_token(&self, token: &Token) {
        let now = self.boot_time();
        self.caps.caps.borrow_mut().give_back(token, now);
    }

    /// Logs that a customer's request was refused, at most once in [`REFUSAL_LOG_INTERVAL`].
    pub fn log_cap_refusal(&self, request: &str, customer: &CustomerName, refused: &Acquired) {
        let now = Instant::now();
        let Some(count) = self.caps.count_refusal(customer, now) else {
            return;
        };
        let (event, after) = match refused {
            Acquired::OverCap(after) => ("cap-spent", *after),
            Acquired::NoAllocator(after) => ("cap-unknown", *after),
            Acquired::Granted(_) => return,
        };
        let id = cap_id(customer);
        let cap = self.caps.caps.borrow().cap(id);
        self.event_log.emit(EventClass::Failure, event, now, || {
            json!({
                "request": request,
                "customer": customer,
                "rate": cap.map(|cap| cap.rate.per_sec()),
                "burst": cap.map(|cap| cap.burst),
                "allocator": *self.caps.allocator.borrow(),
                "retry_after_ms": after.as_millis(),
                "refused": count,
            })
        });
    }

    /// Tells all daemons that this one gives no more tokens, if it gave some.
    pub async fn resign_allocation(&self) {
        let now = self.boot_time();
        let message = self.caps.caps.borrow_mut().resign(now);
        let Some(message) = message else { return };
        let own = self.name();
        let others: Vec<SocketAddr> = {
            let directory = self.directory.borrow();
            let others = directory.entries().map(|entry| &entry.member);
            others
                .filter(|member| member.daemon != own)
                .map(|member| cap_address(member.address))
                .collect()
        };
        for address in others {
            self.send_cap_message(&message, address).await;
        }
    }

    /// Sends the ask that is due, or answers it if this daemon is the candidate.
    async fn send_due_ask(&self) {
        // An own answer may make the next ask due; two are enough to lead.
        for _ in 0..3 {
            self.refresh_fleet();
            let now = self.boot_time();
            let next = self.caps.caps.borrow_mut().next_ask(now);
            let Some((to, ask)) = next else { return };
            if to == ask.from {
                let answer = self.answer_ask(&ask);
                self.record_cap_answer(&answer);
                continue;
            }
            let address = {
                let directory = self.directory.borrow();
                directory.get(&to).map(|entry| entry.member.address)
            };
            if let Some(address) = address {
                let message = CapMessage::Ask(ask);
                self.send_cap_message(&message, cap_address(address)).await;
            }
            return;
        }
    }

    fn answer_ask(&self, ask: &Ask) -> Answer {
        self.refresh_fleet();
        let now = self.boot_time();
        self.caps.caps.borrow_mut().answer(ask, now)
    }

    fn record_cap_answer(&self, answer: &Answer) {
        let (random, now) = (self.random(), self.boot_time());
        let decided = self
            .caps
            .caps
            .borrow_mut()
            .record_answer(answer, random, now);
        for (waiter, admission) in decided {
            let tx = self.caps.waiting.borrow_mut().remove(&waiter);
            let undelivered = match tx {
                Some(tx) => tx.send(admission).err(),
                None => Some(admission),
            };
            if let Some(Admission::Granted(token)) = undelivered {
                self.give_back_token(&token);
            }
        }
        self.record_allocator();
    }

    fn record_resignation(&self, daemon: &DaemonId, stamp: Stamp) {
        let now = self.boot_time();
        let mut caps = self.caps.caps.borrow_mut();
        caps.record_resignation(daemon, stamp, now);
    }

    async fn send_cap_message(&self, message: &CapMessage, to: SocketAddr) {
        let Some(socket) = &self.caps.socket else {
            return;
        };
        if let Err(e) = socket.send(codec::encode(message), to).await {
            let now = Instant::now();
            self.event_log.emit(
                EventClass::Failure,
                "cap-message-unsent",
                now,
                || json!({ "to": to, "reason": e.to_string() }),
            );
        }
    }

    /// Takes the members over if they have changed.
    fn refresh_fleet(&self) {
        let directory = self.directory.borrow();
        let digest = directory.digest();
        if self.caps.fleet_digest.replace(Some(digest)) == Some(digest) {
            return;
        }
        let own = self.name();
        let members = directory.entries().map(|entry| &entry.member);
        let fleet = Fleet::new(&own, members);
        self.caps.caps.borrow_mut().set_fleet(fleet);
    }

    /// Logs a change of the allocator.
    fn record_allocator(&self) {
        let now = self.boot_time();
        let caps = self.caps.caps.borrow();
        let known = caps.known_allocator(now);
        let mut recorded = self.caps.allocator.borrow_mut();
        if recorded.as_ref() == known {
            return;
        }
        let before = std::mem::replace(&mut *recorded, known.cloned());
        self.metrics.set_is_allocator(caps.is_allocator(now));
        self.log_state(
            "allocator-changed",
            || json!({ "allocator": known, "before": before }),
        );
    }
}

/// Opens the socket for datagrams about caps at the second port of a daemon; `None` if it has one port
/// only.
///
/// # Errors
/// When the address is in use or not local.
pub fn open_socket(
    ip: IpAddr,
    ports: (u16, u16),
) -> Result<Option<DatagramSocket>, (SocketAddr, io::Error)> {
    if ports.1 <= ports.0 {
        return Ok(None);
    }
    let address = cap_address(SocketAddr::new(ip, ports.0));
    match DatagramSocket::open(address) {
        Ok(socket) => Ok(Some(socket)),
        Err(e) => Err((address, e)),
    }
}

/// Spawns the tasks.
pub fn spawn(node: &SharedNode) {
    monoio::spawn(ask_in_rounds(Rc::clone(node)));
    monoio::spawn(receive(Rc::clone(node)));
}
