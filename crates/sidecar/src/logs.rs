//! Structured log lines on standard output.
//!
//! Lines are gathered in memory and written by a thread of their own, so that a reader that does
//! not read holds no request up. What does not fit is counted, and the count is logged.

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
use serde_json::Value;
use serde_json::json;

/// Most bytes that are gathered between two writes: all lines that the budgets allow in a second, twice.
const BUFFER: usize = 64 * 1024;

/// Writes that may wait for the thread: a second of them.
const PENDING_WRITES: usize = 4;

/// How often gathered lines are handed to the thread; an engineer on call does not wait for less.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Target of lines that are JSON objects already.
const STRUCTURED: &str = "structured";

/// Classes of lines, each with a budget of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventClass {
    /// Start, stop, reload, dependencies, and what the daemon believes of itself and others.
    State,
    /// Requests that failed or were refused.
    Failure,
    /// Requests that were served.
    Routine,
}

impl EventClass {
    /// Lines a second; a line costs about 10 us of a machine with a fifth of a core.
    fn budget(self) -> u32 {
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

/// Bounds the lines of each class by second.
#[derive(Debug)]
pub struct EventLog {
    began: Cell<Instant>,
    spent: [Cell<u32>; 3],
    left_out: Cell<u64>,
}

impl EventLog {
    /// A full budget.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: Cell::new(now),
            spent: [const { Cell::new(0) }; 3],
            left_out: Cell::new(0),
        }
    }

    /// Writes a line when the budget of its class allows; `fields` is asked for only then.
    pub fn emit(
        &self,
        class: EventClass,
        event: &'static str,
        now: Instant,
        fields: impl FnOnce() -> Value,
    ) {
        if now.saturating_duration_since(self.began.get()) >= Duration::from_secs(1) {
            self.renew(now);
        }
        let spent = &self.spent[class.index()];
        if spent.get() >= class.budget() {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        spent.set(spent.get() + 1);
        write(event, fields());
    }

    fn renew(&self, now: Instant) {
        self.began.set(now);
        self.spent.iter().for_each(|spent| spent.set(0));
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            write("log-lines-left-out", json!({ "lines": left_out }));
        }
    }
}

/// Writes a line with the time and the name of what happened.
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

/// Starts the log on the standard output.
///
/// # Errors
/// When the logging library or the thread cannot be started.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    start_on(io::stdout())
}

/// Starts the log on another output, for programs that embed a daemon.
///
/// # Errors
/// As [`start`].
pub fn start_on(mut out: impl Write + Send + 'static) -> Result<LoggerHandle, FlexiLoggerError> {
    let (tx, rx) = sync_channel::<Vec<u8>>(PENDING_WRITES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            for buf in rx {
                // Nobody is left to be told of a closed output.
                let _ = out.write_all(&buf);
            }
        })
        .map_err(FlexiLoggerError::OutputIo)?;
    let writer = Gathering {
        buf: Mutex::new(Vec::new()),
        dropped: AtomicU64::new(0),
        tx,
    };
    Logger::try_with_str("info")?
        .log_to_writer(Box::new(writer))
        .start()
}

struct Gathering {
    buf: Mutex<Vec<u8>>,
    dropped: AtomicU64,
    tx: SyncSender<Vec<u8>>,
}

impl LogWriter for Gathering {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut buf = self.lock();
        if buf.len() > BUFFER {
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

impl Gathering {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.buf
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
