//! Structured log lines (JSON) on standard output.
//!
//! A dedicated thread writes the buffered lines, so that a blocked reader of the output delays no
//! request. What exceeds the buffer or the rate limits is dropped and counted, and the count is
//! logged.

use std::cell::Cell;
use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use base::units::unix_millis;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;
use mesh::wire::RequestFingerprint;
use serde_json::Value;
use serde_json::json;

/// Most bytes buffered between two writes: twice what the rate limits allow in a second.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Most writes queued for the thread: one second of them, at one write per [`FLUSH_INTERVAL`].
const MAX_PENDING_WRITES: usize = 4;

/// Interval at which buffered lines are handed to the writer thread; short enough for an engineer
/// on call.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Log target of records whose text is a JSON object already.
const STRUCTURED: &str = "structured";

/// Class of an event; each class has its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventClass {
    /// Start, stop, reload, dependencies, and the daemon's view of itself and of others.
    State,
    /// Requests that failed or were refused.
    Failure,
    /// Requests that were served.
    Routine,
}

impl EventClass {
    /// Most lines per second; a line takes about 10 us on a machine with a fifth of a core.
    fn lines_per_second(self) -> u32 {
        match self {
            Self::State => 100,
            Self::Failure => 60,
            Self::Routine => 5,
        }
    }

    fn index(self) -> usize {
        match self {
            Self::State => 0,
            Self::Failure => 1,
            Self::Routine => 2,
        }
    }
}

/// Log of structured events with a rate limit per second for each class.
#[derive(Debug)]
pub struct EventLog {
    second_start: Cell<Instant>,
    emitted: [Cell<u32>; 3],
    suppressed: Cell<u64>,
}

impl EventLog {
    /// Creates a log whose first one-second window starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            second_start: Cell::new(now),
            emitted: [const { Cell::new(0) }; 3],
            suppressed: Cell::new(0),
        }
    }

    /// Writes a line if the rate limit of its class allows; calls `fields` only then.
    pub fn emit(
        &self,
        class: EventClass,
        event: &'static str,
        now: Instant,
        fields: impl FnOnce() -> Value,
    ) {
        if now.saturating_duration_since(self.second_start.get()) >= Duration::from_secs(1) {
            self.start_second(now);
        }
        let emitted = &self.emitted[class.index()];
        if emitted.get() >= class.lines_per_second() {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        emitted.set(emitted.get() + 1);
        write(event, fields());
    }

    fn start_second(&self, now: Instant) {
        self.second_start.set(now);
        self.emitted.iter().for_each(|emitted| emitted.set(0));
        let suppressed = self.suppressed.replace(0);
        if suppressed > 0 {
            write("log-lines-left-out", json!({ "lines": suppressed }));
        }
    }
}

/// Writes a line with the time and the event's name.
fn write(event: &'static str, mut fields: Value) {
    if let Value::Object(map) = &mut fields {
        map.insert("event".to_owned(), json!(event));
        map.insert("at_ms".to_owned(), json!(now_ms()));
    }
    log::info!(target: STRUCTURED, "{fields}");
}

fn now_ms() -> u64 {
    unix_millis(std::time::SystemTime::now())
}

/// Starts logging to standard output.
///
/// # Errors
/// When the logging library or the writer thread cannot be started.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    start_on(io::stdout())
}

/// Starts logging to another output, for programs that embed a daemon.
///
/// # Errors
/// As [`start`].
pub fn start_on(mut out: impl Write + Send + 'static) -> Result<LoggerHandle, FlexiLoggerError> {
    let (tx, rx) = sync_channel::<Vec<u8>>(MAX_PENDING_WRITES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            for buf in rx {
                // A closed output cannot be reported anywhere.
                let _ = out.write_all(&buf);
            }
        })
        .map_err(FlexiLoggerError::OutputIo)?;
    let writer = BufferedWriter {
        buf: Mutex::new(Vec::new()),
        dropped: AtomicU64::new(0),
        tx,
    };
    Logger::try_with_str("info")?
        .log_to_writer(Box::new(writer))
        .start()
}

struct BufferedWriter {
    buf: Mutex<Vec<u8>>,
    dropped: AtomicU64,
    tx: SyncSender<Vec<u8>>,
}

impl LogWriter for BufferedWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut buf = self.lock();
        if buf.len() > MAX_BUFFERED_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if record.target() == STRUCTURED {
            return writeln!(buf, "{}", record.args());
        }
        let line = json!({
            "at_ms": now_ms(),
            "event": "message",
            "level": record.level().as_str(),
            "text": record.args().to_string(),
        });
        writeln!(buf, "{line}")
    }

    fn flush(&self) -> io::Result<()> {
        let mut buf = self.lock();
        if buf.is_empty() {
            return Ok(());
        }
        let lines = std::mem::take(&mut *buf);
        if self.tx.try_send(lines).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line =
                json!({ "at_ms": now_ms(), "event": "log-writes-dropped", "count": dropped });
            writeln!(buf, "{line}")?;
        }
        Ok(())
    }
}

impl BufferedWriter {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.buf
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns a fingerprint as the log shows it.
#[must_use]
pub fn fingerprint_text(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}
