//! A server that sends bytes without end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Bytes that one server sends at most, to spare the machine that runs the tests.
const MAX_SENT: usize = 1_000_000_000;

/// Size of one write, in bytes.
const BLOCK: usize = 64 * 1024;

/// Bytes of a connection that are sent at a moderate speed, so that many calls are in the middle of their answers
/// at once; the others follow as fast as they are read.
const PACED_BYTES: usize = 2 * 1024 * 1024;

/// Time between two paced writes.
const PACE: Duration = Duration::from_millis(20);

/// Time in which a caller sends its request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Beginning of an answer, and what follows until the caller closes.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub start: &'static str,
    pub repeated: &'static str,
}

/// A server whose answers do not end.
pub struct FaultyServer {
    answers: Arc<AtomicUsize>,
}

impl FaultyServer {
    /// Starts a server at an address that is free. It answers requests whose path begins so, and closes the
    /// connections of others.
    pub fn start(address: SocketAddr, path: &'static str, answer: Answer) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let answers = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&answers);
        thread::spawn(move || {
            let sent = Arc::new(AtomicUsize::new(0));
            for stream in listener.incoming().flatten() {
                let (sent, count) = (Arc::clone(&sent), Arc::clone(&count));
                thread::spawn(move || {
                    if reads_request(&stream, path) {
                        count.fetch_add(1, Ordering::Relaxed);
                        write_endlessly(&stream, answer, &sent);
                    }
                });
            }
        });
        Self { answers }
    }

    /// Returns the number of answers that were begun.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }
}

/// Reads the head of a request; returns whether its path begins so.
fn reads_request(mut stream: &TcpStream, path: &str) -> bool {
    if stream.set_read_timeout(Some(READ_TIMEOUT)).is_err() {
        return false;
    }
    let mut head = Vec::new();
    let mut buf = [0; 4096];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => head.extend_from_slice(&buf[..n]),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&head);
    let target = head.split(' ').nth(1);
    target.is_some_and(|target| target.starts_with(path))
}

/// Writes until the caller closes, or the bytes of all connections reach their limit.
fn write_endlessly(mut stream: &TcpStream, answer: Answer, sent: &AtomicUsize) {
    let block = answer.repeated.repeat(BLOCK / answer.repeated.len());
    let mut written = 0;
    let mut next = answer.start;
    while stream.write_all(next.as_bytes()).is_ok() {
        written += next.len();
        if sent.fetch_add(next.len(), Ordering::Relaxed) > MAX_SENT {
            // The caller still awaits the end.
            let _ = stream.read(&mut [0; 1]);
            return;
        }
        if written < PACED_BYTES {
            thread::sleep(PACE);
        }
        next = &block;
    }
}
