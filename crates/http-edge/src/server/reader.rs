//! Reads requests from one connection.

use std::cell::Cell;

use bytes::Bytes;
use http::HeaderMap;
use http::Version;
use http::header::CONNECTION;
use http::header::EXPECT;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;

use crate::body::Body;
use crate::budget::Account;
use crate::budget::Eviction;
use crate::budget::HEADER_LINE_BYTES;
use crate::budget::Size;
use crate::error::RequestError;
use crate::framing;
use crate::framing::Framing;
use crate::head::MalformedHead;
use crate::head::RawHead;
use crate::incoming::InputEnd;
use crate::incoming::MessageReader;
use crate::incoming::Pace;
use crate::incoming::ReadError;
use crate::incoming::Terms;
use crate::latch::Latch;
use crate::message::Request;
use crate::server::ServerCfg;
use crate::server::Shared;
use crate::server::channel::Sender;

/// What the reader passes to the writer.
pub(super) enum Incoming {
    /// A complete request.
    Request(Request, Persistence),
    /// The client awaits `100 Continue` before it sends its body.
    ExpectContinue,
    /// Reading failed; no further request follows.
    Error(RequestError),
    /// There is no memory for a request, whose head is given if it is whole. What follows is dropped.
    Refused(Option<RawHead>),
    /// The connection gives way to another one before a further request.
    Close,
}

/// Whether the connection stays open after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Persistence {
    /// Another request may follow.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// Why no request was read.
enum Failure {
    /// The client has disconnected.
    Gone,
    Request(RequestError),
    /// There is no memory for it.
    NoRoom,
}

impl From<RequestError> for Failure {
    fn from(e: RequestError) -> Self {
        Self::Request(e)
    }
}

impl From<MalformedHead> for Failure {
    fn from(_: MalformedHead) -> Self {
        RequestError::Malformed.into()
    }
}

impl From<ReadError> for Failure {
    fn from(e: ReadError) -> Self {
        match e {
            ReadError::Cut(_) => Self::Gone,
            ReadError::Malformed => RequestError::Malformed.into(),
            ReadError::TooLarge => RequestError::TooLarge.into(),
            ReadError::Idle => RequestError::Idle.into(),
            ReadError::Stalled => RequestError::Stalled.into(),
            ReadError::NoRoom => Self::NoRoom,
        }
    }
}

/// State of a connection that its reader and its writer share.
pub(super) struct ConnState {
    pub(super) account: Account,
    /// Whether bytes of the next request have been read.
    pub(super) has_begun: Cell<bool>,
    /// Set once the client has disconnected.
    pub(super) gone: Latch,
}

/// Most bytes that are read ahead while two requests wait to be handled, to see the end of the connection
/// behind them. The memory charged for a connection includes them.
const READ_AHEAD_BYTES: usize = 2 * 1024;

/// Reads requests until the connection ends or a request is invalid, and sees the client disconnect at any
/// time until then.
pub(super) async fn read_requests(
    r: OwnedReadHalf<TcpStream>,
    tx: Sender<Incoming>,
    conn: &ConnState,
    shared: &Shared,
) {
    let mut reader = Reader {
        input: MessageReader::new(r),
        conn,
        shared,
        head: None,
        tx,
    };
    loop {
        let read = monoio::select! {
            read = reader.read_request() => read,
            eviction = conn.account.evicted() => return reader.give_way(eviction).await,
        };
        let passed = match read {
            Ok(Some(incoming)) => reader.pass_on(incoming).await,
            Ok(None) => Err(Failure::Gone),
            Err(failure) => Err(failure),
        };
        match passed {
            Ok(()) => {}
            Err(Failure::Gone) => return conn.gone.set(),
            Err(Failure::NoRoom) => return reader.refuse().await,
            // Nobody has to send anything while a request is being handled.
            Err(Failure::Request(RequestError::Idle)) if conn.account.is_running() => {}
            Err(Failure::Request(e)) => return reader.finish(Incoming::Error(e)).await,
        }
    }
}

struct Reader<'a> {
    input: MessageReader<OwnedReadHalf<TcpStream>>,
    conn: &'a ConnState,
    shared: &'a Shared,
    /// Head of the request whose body is being read.
    head: Option<RawHead>,
    tx: Sender<Incoming>,
}

impl Reader<'_> {
    /// Reads the next request; `None` at the end of the connection.
    async fn read_request(&mut self) -> Result<Option<Incoming>, Failure> {
        let conn = self.conn;
        conn.has_begun.set(false);
        let idle_timeout = || self.shared.cfg.get().idle_timeout;
        if !self.input.wait_for_message(idle_timeout).await? {
            return Ok(None);
        }
        conn.account.record_progress();
        // The limits that are in force when the request begins, however long the connection was idle before.
        let cfg = self.shared.cfg.get();
        let terms = Terms {
            account: Some(&conn.account),
            arrival: None,
            pace: Some(pace(&cfg)),
        };
        let began = || conn.has_begun.set(true);
        let max_head = cfg.limits.max_head_bytes;
        let Some(bytes) = self.input.read_head(max_head, terms, began).await? else {
            return Ok(None);
        };
        let head = RawHead::new(bytes);
        let (version, headers) = head.request_transport()?;
        self.head = Some(head.clone());
        let framing = framing::of_message(version, &headers);
        let framing = framing.map_err(|_| RequestError::Malformed)?;
        if framing.declared_length() > cfg.limits.max_body_bytes {
            return Err(RequestError::TooLarge.into());
        }
        self.send_continue_if_expected(version, &headers, framing)
            .await?;
        let max_body = cfg.limits.max_body_bytes;
        let parts = self.input.read_body(framing, max_body, terms).await?;
        self.build_request(&head, parts, persistence(version, &headers))
            .await
            .map(Some)
    }

    /// Builds the request once it is whole.
    async fn build_request(
        &mut self,
        head: &RawHead,
        parts: Vec<Bytes>,
        persistence: Persistence,
    ) -> Result<Incoming, Failure> {
        let account = &self.conn.account;
        let parsed_bytes = head.lines() * HEADER_LINE_BYTES;
        let taken = account.take(Size::Small, parsed_bytes).await;
        taken.map_err(|_| Failure::NoRoom)?;
        let parsed = head.request()?;
        self.head = None;
        let req = Request {
            target: parsed.target,
            method: parsed.method,
            headers: parsed.headers,
            body: Body::from_parts(parts).with_charge(account.detach()),
        };
        Ok(Incoming::Request(req, persistence))
    }

    /// Has the writer send `100 Continue` if the client waits for it.
    async fn send_continue_if_expected(
        &mut self,
        version: Version,
        headers: &HeaderMap,
        framing: Framing,
    ) -> Result<(), Failure> {
        let Some(expected) = headers.get(EXPECT) else {
            return Ok(());
        };
        if !expected.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(RequestError::Expectation.into());
        }
        // HTTP/1.0 has no interim responses.
        let is_waiting = version != Version::HTTP_10 && framing != Framing::Empty;
        if is_waiting {
            self.pass_on(Incoming::ExpectContinue).await?;
        }
        Ok(())
    }

    /// Passes a message to the writer once that takes it. The client may disconnect meanwhile.
    async fn pass_on(&mut self, incoming: Incoming) -> Result<(), Failure> {
        let max_bytes = self.input.waiting_bytes() + READ_AHEAD_BYTES;
        monoio::select! {
            () = self.tx.vacant() => {}
            () = self.input.read_ahead(max_bytes) => return Err(Failure::Gone),
        }
        self.tx.put(incoming);
        Ok(())
    }

    /// Ends the connection since others need what it takes.
    async fn give_way(self, eviction: Eviction) {
        match (self.conn.has_begun.get(), eviction) {
            (true, Eviction::Memory) => return self.refuse().await,
            // Only a connection on which no request is handled makes room for others.
            (true, Eviction::Connections) => {
                self.conn.account.release();
                return self.tx.send(Incoming::Refused(self.head)).await;
            }
            (false, _) => {}
        }
        log::debug!("http: closed a connection for others: {eviction:?}");
        self.finish(Incoming::Close).await;
    }

    /// Has the writer refuse the request that has begun.
    async fn refuse(mut self) {
        let head = self.head.take();
        self.finish(Incoming::Refused(head)).await;
    }

    /// Passes the last message to the writer and drops what follows: the client can read an answer only if
    /// its input is taken, and it may disconnect.
    async fn finish(self, last: Incoming) {
        let Self {
            mut input,
            conn,
            shared,
            tx,
            ..
        } = self;
        conn.account.release();
        let max_bytes = shared.cfg.get().linger_bytes;
        let watch = async {
            if input.drop_input(max_bytes).await == InputEnd::Disconnected {
                conn.gone.set();
            }
        };
        monoio::join!(tx.send(last), watch);
    }
}

fn pace(cfg: &ServerCfg) -> Pace {
    Pace {
        idle: cfg.idle_timeout,
        head: cfg.head_timeout,
    }
}

fn persistence(version: Version, headers: &HeaderMap) -> Persistence {
    if framing::has_token(headers, &CONNECTION, "close") || version != Version::HTTP_11 {
        Persistence::Close
    } else {
        Persistence::KeepAlive
    }
}
