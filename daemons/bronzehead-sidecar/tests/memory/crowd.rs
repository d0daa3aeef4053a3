//! Clients on raw sockets that keep their connections open.

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::site::TIMEOUT;

/// Threads of a crowd.
const THREADS: usize = 4;

/// Time in which a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two rounds over the connections of a thread.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// Time without a byte taken by the other side after which a thread counts as settled.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Longest time until a crowd counts as settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most bytes of one client in one round.
const BLOCK: usize = 256 * 1024;

/// Bytes at the beginning of a message in which each client puts its number.
const NUMBERED_BYTES: usize = 4096;

/// Text in a message that each client replaces by its number.
pub const NUMBER: &str = "#####";

/// What each client of a crowd sends.
#[derive(Clone)]
pub struct Message {
    bytes: Arc<Vec<u8>>,
    /// Bytes that are sent at once; each round sends one of the others.
    at_once: usize,
}

impl Message {
    /// A message that is sent as fast as it is read.
    pub fn fast(bytes: Vec<u8>) -> Self {
        Self {
            at_once: bytes.len(),
            bytes: Arc::new(bytes),
        }
    }

    /// A message of which all bytes after the first ones are sent one by one.
    pub fn slow(bytes: Vec<u8>, at_once: usize) -> Self {
        Self {
            bytes: Arc::new(bytes),
            at_once,
        }
    }

    /// Returns the beginning of the message of the client with this number.
    fn start(&self, number: usize) -> Vec<u8> {
        let mut start = self.bytes[..self.bytes.len().min(NUMBERED_BYTES)].to_vec();
        let digits = format!("{number:0width$}", width = NUMBER.len());
        for at in 0..start.len().saturating_sub(NUMBER.len()) {
            let place = &mut start[at..at + NUMBER.len()];
            if place == NUMBER.as_bytes() {
                place.copy_from_slice(digits.as_bytes());
            }
        }
        start
    }
}

/// A connection of a crowd.
struct Client {
    stream: TcpStream,
    /// The beginning of its message.
    start: Vec<u8>,
    sent: usize,
    is_open: bool,
}

impl Client {
    fn connect(address: SocketAddr, message: &Message, number: usize) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self {
            stream,
            start: message.start(number),
            sent: 0,
            is_open: true,
        })
    }

    /// Sends the next bytes; returns whether any were taken.
    fn push(&mut self, message: &Message) -> bool {
        let end = match message.at_once {
            at_once if self.sent < at_once => at_once.min(self.sent + BLOCK),
            _ => message.bytes.len().min(self.sent + 1),
        };
        if !self.is_open || self.sent == end {
            return false;
        }
        let bytes = match self.start.get(self.sent..) {
            Some(start) if !start.is_empty() => &start[..start.len().min(end - self.sent)],
            _ => &message.bytes[self.sent..end],
        };
        match self.stream.write(bytes) {
            Ok(n) => {
                self.sent += n;
                n > 0
            }
            Err(e) => {
                self.is_open = e.kind() == ErrorKind::WouldBlock;
                false
            }
        }
    }
}

/// Clients that send the same message and never read.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    settled: Arc<AtomicUsize>,
    connected: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects that many clients.
    pub fn start(address: SocketAddr, size: usize, message: &Message) -> Self {
        let mut crowd = Self {
            is_over: Arc::default(),
            settled: Arc::default(),
            connected: Arc::default(),
            threads: Vec::new(),
        };
        for thread in 0..THREADS {
            let size = size / THREADS + usize::from(thread < size % THREADS);
            let is_over = Arc::clone(&crowd.is_over);
            let settled = Arc::clone(&crowd.settled);
            let connected = Arc::clone(&crowd.connected);
            let message = message.clone();
            crowd.threads.push(thread::spawn(move || {
                let connect = |n| Client::connect(address, &message, thread + n * THREADS);
                let mut clients: Vec<Client> = (0..size).filter_map(connect).collect();
                connected.fetch_add(clients.len(), Ordering::Relaxed);
                send_all(&mut clients, &message, &is_over, &settled);
            }));
        }
        crowd
    }

    /// Waits until the crowd has sent what the other side takes.
    pub async fn settle(&self) {
        let end = Instant::now() + TIMEOUT + SETTLE_TIMEOUT;
        while self.settled.load(Ordering::Relaxed) < THREADS {
            assert!(Instant::now() < end, "the crowd cannot connect");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let connected = self.connected.load(Ordering::Relaxed);
        assert!(connected > 0, "no client could connect");
    }

    /// Closes all connections.
    pub fn leave(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client does not panic");
        }
    }
}

/// Sends the message over all connections, and keeps them open until the end of the crowd.
fn send_all(
    clients: &mut [Client],
    message: &Message,
    is_over: &AtomicBool,
    settled: &AtomicUsize,
) {
    let began = Instant::now();
    let mut last_progress = began;
    let mut is_settled = false;
    while !is_over.load(Ordering::Relaxed) {
        let mut has_progress = false;
        for client in clients.iter_mut() {
            has_progress |= client.push(message);
        }
        if has_progress {
            last_progress = Instant::now();
        }
        let is_quiet = last_progress.elapsed() > QUIET_TIME || began.elapsed() > SETTLE_TIMEOUT;
        if is_quiet && !is_settled {
            is_settled = true;
            settled.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(ROUND_INTERVAL);
    }
}
