//! Appends to and reads from one stream of the log.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use http::StatusCode;
use http_edge::CallError;
use http_edge::Limits;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use ledger::Entry;
use ledger::StampedRecord;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::backoff::Backoff;
use crate::backoff::BackoffCfg;
use crate::error::AppendError;
use crate::error::LogError;
use crate::wire;

/// Largest answer, in bytes; a page of the log with its texts escaped.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Pause that a refusal without one stands for.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogCfg {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from a request to its answer, beside the wait that a read asks for.
    pub request_timeout: Duration,
    /// Time after which an append is given up.
    pub append_timeout: Duration,
    /// Pauses between attempts of an append.
    pub backoff: BackoffCfg,
    /// Seed of the jitter; differs between processes.
    pub seed: u64,
}

impl Default for LogCfg {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            request_timeout: Duration::from_secs(2),
            append_timeout: Duration::from_secs(10),
            backoff: BackoffCfg::default(),
            seed: 0,
        }
    }
}

/// What a read returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in order; empty where none came in time.
    pub records: Vec<StampedRecord>,
    /// Where to go on reading.
    pub next: Offset,
    /// Offset of the oldest record that the log still holds.
    pub oldest: Offset,
}

/// What a client has cost so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that were sent.
    pub requests: u64,
    /// Bytes of the requests, without those of TCP.
    pub bytes_sent: u64,
    /// Bytes of the answers, without those of TCP.
    pub bytes_received: u64,
}

/// A client of one stream.
pub struct LogClient {
    address: SocketAddr,
    stream: SmolStr,
    cfg: LogCfg,
    pool: Pool,
    backoff: RefCell<Backoff>,
    usage: Cell<Usage>,
}

impl LogClient {
    /// A client without connections; they are opened as needed.
    #[must_use]
    pub fn new(address: SocketAddr, stream: impl Into<SmolStr>, cfg: LogCfg) -> Self {
        let limits = Limits {
            max_body_bytes: MAX_ANSWER,
            ..Limits::default()
        };
        let pool = Pool::new(PoolCfg {
            connect_timeout: cfg.connect_timeout,
            limits,
            ..PoolCfg::default()
        });
        Self {
            address,
            stream: stream.into(),
            cfg,
            pool,
            backoff: RefCell::new(Backoff::new(cfg.backoff, cfg.seed)),
            usage: Cell::default(),
        }
    }

    /// Settings of the client.
    #[must_use]
    pub fn cfg(&self) -> &LogCfg {
        &self.cfg
    }

    /// Address of the log.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the client has cost so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    /// Appends an entry; see [`LogClient::append_text`].
    ///
    /// # Errors
    /// When no attempt in the time of the settings was answered with an offset.
    pub async fn append(&self, entry: &Entry) -> Result<Offset, AppendError> {
        self.append_text(&entry.to_text()).await
    }

    /// Appends a text and repeats the append until an answer comes or time is up. The log may
    /// then hold several copies: readers must know them as such by what is in the text.
    ///
    /// # Errors
    /// When no attempt in the time of the settings was answered with an offset.
    pub async fn append_text(&self, text: &str) -> Result<Offset, AppendError> {
        let deadline = Instant::now() + self.cfg.append_timeout;
        let mut backoff = self.backoff.borrow_mut().fork();
        let mut may_be_written = false;
        loop {
            let attempt = self.try_append(text, &mut may_be_written).await;
            let error = match attempt {
                Ok(offset) => return Ok(offset),
                Err(error) => error,
            };
            match pause_after(&error, &mut backoff) {
                Some(pause) if Instant::now() + pause < deadline => {
                    monoio::time::sleep(pause).await;
                }
                _ if may_be_written => return Err(AppendError::OutcomeUnknown(error)),
                _ => return Err(AppendError::NotWritten(error)),
            }
        }
    }

    /// Reads up to `max` records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// When the log is out or slow, or no longer holds the offset.
    pub async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, LogError> {
        let records = self.read_stored(from, max, wait).await?;
        let read =
            |stored: &wire::StoredRecord| StampedRecord::from_text(stored.offset, &stored.data);
        Ok(Page {
            records: records.records.iter().map(read).collect(),
            next: records.next,
            oldest: records.oldest,
        })
    }

    /// Like [`LogClient::read`], with the records as the log holds them.
    pub(crate) async fn read_stored(
        &self,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<wire::ReadResponse, LogError> {
        let path = wire::records_path(&self.stream);
        let wait_ms = wait.as_millis();
        let target = format!("{path}?from={from}&max={max}&wait_ms={wait_ms}");
        let timeout = self.cfg.request_timeout + wait;
        let res = self.request(Request::get(target), timeout).await?;
        let records: wire::ReadResponse = decode(&res)?;
        check_order(from, &records)?;
        Ok(records)
    }

    /// Extent of the stream.
    ///
    /// # Errors
    /// When the log is out or slow.
    pub async fn bounds(&self) -> Result<wire::Bounds, LogError> {
        let req = Request::get(wire::stream_path(&self.stream));
        let res = self.request(req, self.cfg.request_timeout).await?;
        decode(&res)
    }

    /// Closes idle connections.
    pub fn close(self) {
        self.pool.close_idle(self.address);
    }

    async fn try_append(&self, text: &str, may_be_written: &mut bool) -> Result<Offset, LogError> {
        let req = Request::post(wire::records_path(&self.stream), text.to_owned());
        let sent = self.send(req, self.cfg.request_timeout).await;
        let res = match sent {
            Ok(res) => res,
            Err(SendError::NotSent(error)) => return Err(error),
            Err(SendError::Sent(error)) => {
                *may_be_written = true;
                return Err(error);
            }
        };
        let appended: wire::AppendResponse = decode(&success(res)?)?;
        Ok(appended.offset)
    }

    async fn request(&self, req: Request, timeout: Duration) -> Result<Response, LogError> {
        match self.send(req, timeout).await {
            Ok(res) => success(res),
            Err(SendError::NotSent(error) | SendError::Sent(error)) => Err(error),
        }
    }

    async fn send(&self, req: Request, timeout: Duration) -> Result<Response, SendError> {
        let conn = self.pool.take(self.address).await;
        let mut conn = conn.map_err(|e| SendError::NotSent(e.into()))?;
        let mut usage = self.usage.get();
        usage.requests += 1;
        usage.bytes_sent += req.wire_size();
        self.usage.set(usage);
        match conn.call(req, timeout).await {
            Ok(res) => {
                self.pool.put(conn);
                let mut usage = self.usage.get();
                usage.bytes_received += res.wire_size();
                self.usage.set(usage);
                Ok(res)
            }
            Err(e) => {
                self.distrust(&e);
                Err(SendError::Sent(e.into()))
            }
        }
    }

    // Whatever made one connection fall silent or break may have hit the idle ones too.
    fn distrust(&self, e: &CallError) {
        log::info!("log: {e}, dropped the connections");
        self.pool.close_idle(self.address);
    }
}

enum SendError {
    NotSent(LogError),
    Sent(LogError),
}

/// How long to wait before another attempt; `None` where it would fail the same way.
fn pause_after(error: &LogError, backoff: &mut Backoff) -> Option<Duration> {
    match error {
        LogError::Unavailable(_) | LogError::Timeout => Some(backoff.next_delay()),
        LogError::Throttled(after) => Some(*after + backoff.next_delay()),
        LogError::Expired { .. } | LogError::RecordsLost { .. } | LogError::InvalidResponse(_) => {
            None
        }
    }
}

fn success(res: Response) -> Result<Response, LogError> {
    match res.status {
        StatusCode::OK => Ok(res),
        StatusCode::GONE => {
            let bounds: wire::Bounds = decode(&res)?;
            Err(LogError::Expired {
                oldest: bounds.oldest,
                next: bounds.next,
            })
        }
        StatusCode::TOO_MANY_REQUESTS => Err(LogError::Throttled(retry_after(&res))),
        status if status.is_server_error() => Err(LogError::Unavailable(status.to_string())),
        status => Err(LogError::InvalidResponse(status.to_string())),
    }
}

fn retry_after(res: &Response) -> Duration {
    let seconds = res
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

fn decode<T: DeserializeOwned>(res: &Response) -> Result<T, LogError> {
    serde_json::from_slice(&res.body).map_err(|e| LogError::InvalidResponse(e.to_string()))
}

/// Checks that the records follow each other from the offset asked for.
fn check_order(from: Offset, records: &wire::ReadResponse) -> Result<(), LogError> {
    if records.next < from {
        let next = records.next;
        return Err(LogError::RecordsLost { next });
    }
    let offsets = records.records.iter().map(|record| record.offset);
    if !offsets.eq(from..records.next) {
        return Err(LogError::InvalidResponse(
            "offsets do not follow each other".to_owned(),
        ));
    }
    Ok(())
}
