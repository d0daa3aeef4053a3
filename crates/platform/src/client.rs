//! Appends to and reads from one stream of the log, with a timeout on each request.

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

/// Largest response body: a page of the log with its texts escaped for JSON.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Delay after a 429 response without a valid `retry-after`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest delay that a 429 response may ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Settings of a [`LogClient`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogCfg {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from a request to its response. A read adds the time that it lets the log
    /// wait for new records.
    pub request_timeout: Duration,
    /// Time limit of an append with all its attempts; no attempt starts after it.
    pub append_timeout: Duration,
    /// Delays between the attempts of an append.
    pub backoff: BackoffCfg,
    /// Seed of the jitter; must differ between processes.
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

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in order of their offsets; empty if none was appended within the wait.
    pub records: Vec<StampedRecord>,
    /// Offset at which the next read continues.
    pub next: Offset,
    /// Offset of the oldest record that has not expired.
    pub oldest: Offset,
}

/// Number of requests and bytes of a client since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests sent, including those without a response.
    pub requests: u64,
    /// Bytes of the HTTP requests, without the overhead of TCP.
    pub bytes_sent: u64,
    /// Bytes of the HTTP responses, without the overhead of TCP.
    pub bytes_received: u64,
}

/// Client of one stream of the log, with a pool of connections.
pub struct LogClient {
    address: SocketAddr,
    stream: SmolStr,
    cfg: LogCfg,
    pool: Pool,
    backoff: RefCell<Backoff>,
    usage: Cell<Usage>,
}

impl LogClient {
    /// Creates a client without connections; they are opened as needed.
    #[must_use]
    pub fn new(address: SocketAddr, stream: impl Into<SmolStr>, cfg: LogCfg) -> Self {
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
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

    /// Returns the settings that the client was created with.
    #[must_use]
    pub fn cfg(&self) -> &LogCfg {
        &self.cfg
    }

    /// Returns the address of the log.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests and bytes so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    /// Appends an entry; see [`LogClient::append_text`].
    ///
    /// # Errors
    /// When no attempt succeeded within [`LogCfg::append_timeout`].
    pub async fn append(&self, entry: &Entry) -> Result<Offset, AppendError> {
        self.append_text(&entry.to_text()).await
    }

    /// Appends a text and returns its offset. Retries until the log confirms the append or
    /// [`LogCfg::append_timeout`] has passed. A lost response leads to duplicates in the log:
    /// readers must recognize them by the content of the text.
    ///
    /// # Errors
    /// When no attempt succeeded within [`LogCfg::append_timeout`].
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
            match retry_delay(&error, &mut backoff) {
                Some(delay) if Instant::now() + delay < deadline => {
                    monoio::time::sleep(delay).await;
                }
                _ if may_be_written => return Err(AppendError::OutcomeUnknown(error)),
                _ => return Err(AppendError::NotWritten(error)),
            }
        }
    }

    /// Reads up to `max` records from offset `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// When the log is unavailable, times out or sends an invalid response, and when `from` has
    /// expired or is past the end of the log.
    pub async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, LogError> {
        let page = self.read_stored(from, max, wait).await?;
        let decode_record =
            |stored: &wire::StoredRecord| StampedRecord::from_text(stored.offset, &stored.data);
        Ok(Page {
            records: page.records.iter().map(decode_record).collect(),
            next: page.next,
            oldest: page.oldest,
        })
    }

    /// Like [`LogClient::read`], but returns the records as the log stores them.
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
        let page: wire::ReadResponse = decode(&res)?;
        check_offsets(from, &page)?;
        Ok(page)
    }

    /// Returns the range of offsets that the stream holds.
    ///
    /// # Errors
    /// When the log is unavailable, times out or sends an invalid response.
    pub async fn bounds(&self) -> Result<wire::Bounds, LogError> {
        let req = Request::get(wire::stream_path(&self.stream));
        let res = self.request(req, self.cfg.request_timeout).await?;
        decode(&res)
    }

    /// Closes the idle connections of the pool.
    pub fn close(self) {
        self.pool.close_idle(self.address);
    }

    async fn try_append(&self, text: &str, may_be_written: &mut bool) -> Result<Offset, LogError> {
        let req = Request::post(wire::records_path(&self.stream), text.to_owned());
        let sent = self.send(req, self.cfg.request_timeout).await;
        let res = match sent {
            Ok(res) => res,
            Err(SendError::NotSent(error)) => return Err(error),
            Err(SendError::MaybeSent(error)) => {
                *may_be_written = true;
                return Err(error);
            }
        };
        let status = res.status;
        let appended = check_status(res).and_then(|res| decode::<wire::AppendResponse>(&res));
        if appended.is_err() && !is_refusal(status) {
            *may_be_written = true;
        }
        Ok(appended?.offset)
    }

    async fn request(&self, req: Request, timeout: Duration) -> Result<Response, LogError> {
        match self.send(req, timeout).await {
            Ok(res) => check_status(res),
            Err(SendError::NotSent(error) | SendError::MaybeSent(error)) => Err(error),
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
                self.close_idle_connections(&e);
                Err(SendError::MaybeSent(e.into()))
            }
        }
    }

    /// Closes all idle connections: the cause that broke or silenced one connection may have
    /// affected them too.
    fn close_idle_connections(&self, e: &CallError) {
        log::info!("log: request failed, closing the idle connections: {e}");
        self.pool.close_idle(self.address);
    }
}

enum SendError {
    /// No connection was available, so nothing was sent.
    NotSent(LogError),
    /// The log may have received the request.
    MaybeSent(LogError),
}

/// Returns the delay before another attempt; `None` if the attempt would fail the same way.
fn retry_delay(error: &LogError, backoff: &mut Backoff) -> Option<Duration> {
    match error {
        LogError::Unavailable(_) | LogError::Timeout => Some(backoff.next_delay()),
        LogError::Throttled(min_delay) => Some(*min_delay + backoff.next_delay()),
        LogError::Expired { .. } | LogError::RecordsLost { .. } | LogError::InvalidResponse(_) => {
            None
        }
    }
}

/// Returns the response if its status is 200, else the error that the status stands for.
fn check_status(res: Response) -> Result<Response, LogError> {
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

/// Whether the log says with this status that it wrote nothing.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn retry_after(res: &Response) -> Duration {
    let seconds = res
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, |seconds| {
        Duration::from_secs(seconds).min(MAX_RETRY_AFTER)
    })
}

fn decode<T: DeserializeOwned>(res: &Response) -> Result<T, LogError> {
    serde_json::from_slice(&res.body).map_err(|e| LogError::InvalidResponse(e.to_string()))
}

/// Checks that the offsets of the records are consecutive and start at `from`.
fn check_offsets(from: Offset, page: &wire::ReadResponse) -> Result<(), LogError> {
    if page.next < from {
        let next = page.next;
        return Err(LogError::RecordsLost { next });
    }
    let offsets = page.records.iter().map(|record| record.offset);
    if !offsets.eq(from..page.next) {
        return Err(LogError::InvalidResponse(
            "record offsets are not consecutive".to_owned(),
        ));
    }
    Ok(())
}
