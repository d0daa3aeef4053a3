//! Client side of one HTTP/1.1 connection.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::ResponseDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::FixedPayload;
use monoio_http::h1::payload::Payload;

use crate::catch_panic::catch_panic;
use crate::encode::is_bodiless;
use crate::error::CallError;
use crate::error::ConnectError;
use crate::framing;
use crate::framing::Framing;
use crate::limited::LimitedReader;
use crate::limited::Limits;
use crate::limited::ReadBudget;
use crate::message::Request;
use crate::message::Response;

/// Idle time before the first TCP keep-alive probe, so that a lost peer is detected while a call
/// waits for its response. One second is the shortest time that the kernel supports.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keep-alive probes; also the shortest that the kernel supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is broken; one or two probes may get
/// lost in the network.
const KEEPALIVE_PROBES: u32 = 3;

/// What the decoder returns next; `None` at the end of the connection.
type NextHead = Option<Result<http::Response<Payload>, HttpError>>;

/// An open connection; it carries one request at a time.
pub struct Conn {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: ResponseDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>,
    budget: ReadBudget,
    limits: Limits,
    peer: SocketAddr,
    opened_at: Instant,
    reuse: Reuse,
    /// Whether something has been received that no request asked for.
    has_stray_bytes: bool,
    /// Idle time after which the peer closes the connection, as its last response states.
    idle_timeout: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reuse {
    Allowed,
    Refused,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    /// When the connection fails or is not established in time. No request has been sent then.
    pub async fn connect(
        peer: SocketAddr,
        timeout: Duration,
        limits: Limits,
    ) -> Result<Self, ConnectError> {
        let stream = monoio::time::timeout(timeout, TcpStream::connect_addr(peer))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(ConnectError::Io)?;
        stream.set_nodelay(true).map_err(ConnectError::Io)?;
        stream
            .set_tcp_keepalive(
                Some(KEEPALIVE_IDLE),
                Some(KEEPALIVE_INTERVAL),
                Some(KEEPALIVE_PROBES),
            )
            .map_err(ConnectError::Io)?;
        let (r, w) = stream.into_split();
        let budget = ReadBudget::new(limits.max_wire_bytes());
        Ok(Self {
            encoder: GenericEncoder::new(w),
            decoder: ResponseDecoder::new(LimitedReader::new(r, budget.clone())),
            budget,
            limits,
            peer,
            opened_at: Instant::now(),
            reuse: Reuse::Allowed,
            has_stray_bytes: false,
            idle_timeout: None,
        })
    }

    /// Address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// When the connection was established; [`Pool`](crate::Pool) limits its age.
    #[must_use]
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Whether another request may be sent on this connection.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.reuse == Reuse::Allowed && !self.has_stray_bytes
    }

    /// Idle time after which the peer closes the connection, as its last response states; `None` if it
    /// states none.
    #[must_use]
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout
    }

    /// Whether nothing has been received since the last response: neither the end of the
    /// connection, nor a byte of an unsolicited response.
    pub fn is_idle(&mut self) -> bool {
        self.has_stray_bytes = self.has_stray_bytes || self.receives_bytes();
        !self.has_stray_bytes
    }

    /// Whether bytes came with the last response that do not belong to it.
    fn holds_bytes(&mut self) -> bool {
        self.budget.set_ends(true);
        let is_empty = matches!(self.poll_next(), Poll::Ready(Some(None)));
        self.budget.set_ends(false);
        !is_empty
    }

    /// Whether bytes, or the end of the connection, have arrived since. What is read is lost if it is not a whole
    /// head, so the connection must not be used any more then.
    fn receives_bytes(&mut self) -> bool {
        self.budget.reset(self.limits.max_head_bytes);
        self.poll_next().is_ready() || self.budget.remaining() < self.limits.max_head_bytes
    }

    fn poll_next(&mut self) -> Poll<Option<NextHead>> {
        let mut cx = Context::from_waker(Waker::noop());
        let next = pin!(catch_panic(self.decoder.next()));
        next.poll(&mut cx)
    }

    /// Sends a request and reads the whole response. After an error the connection is not
    /// reusable.
    ///
    /// # Errors
    /// When no complete response was received; the peer may have executed the request.
    pub async fn call(&mut self, req: Request, timeout: Duration) -> Result<Response, CallError> {
        // Set before the first await, so that it also holds if this future is dropped.
        self.reuse = Reuse::Refused;
        if !self.is_idle() {
            return Err(CallError::Broken(
                "closed or unexpected data before the request".to_owned(),
            ));
        }
        let is_head = req.method == Method::HEAD;
        let exchange = monoio::time::timeout(timeout, catch_panic(self.exchange(req)));
        let res = match exchange.await {
            Ok(Some(res)) => res?,
            Ok(None) => return Err(CallError::Broken("response decoder panicked".to_owned())),
            Err(_) => return Err(CallError::TimedOut),
        };
        // The head of such a response may declare a body, for which the decoder would wait.
        if !is_head && !is_bodiless(res.status) {
            self.reuse = reuse_after(&res);
            self.has_stray_bytes = self.holds_bytes();
            self.idle_timeout = framing::keep_alive_timeout(&res.headers);
        }
        Ok(res)
    }

    async fn exchange(&mut self, req: Request) -> Result<Response, CallError> {
        let is_head = req.method == Method::HEAD;
        let req = encode_request(req)?;
        self.encoder
            .send_and_flush(req)
            .await
            .map_err(|e| self.to_call_error(&e))?;
        let (parts, payload) = self.read_head().await?.into_parts();
        let framing = framing::of_message(parts.version, &parts.headers);
        let framing =
            framing.map_err(|_| CallError::Broken("ambiguous response length".to_owned()))?;
        let body = if is_head || is_bodiless(parts.status) {
            Bytes::new()
        } else {
            self.read_body(framing, payload).await?
        };
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Reads the head of the final response, skipping interim responses.
    async fn read_head(&mut self) -> Result<http::Response<Payload>, CallError> {
        self.budget.reset(self.limits.max_head_bytes);
        loop {
            let head = match self.decoder.next().await {
                None => return Err(CallError::Broken("closed before the response".to_owned())),
                Some(head) => head.map_err(|e| self.to_call_error(&e))?,
            };
            if !head.status().is_informational() {
                return Ok(head);
            }
            let has_body = !matches!(head.body(), Payload::None);
            if has_body || head.status() == StatusCode::SWITCHING_PROTOCOLS {
                return Err(CallError::Broken(format!(
                    "unexpected response {}",
                    head.status()
                )));
            }
        }
    }

    async fn read_body(&mut self, framing: Framing, payload: Payload) -> Result<Bytes, CallError> {
        // Such a response ends with the connection, so a truncated one would look complete.
        if framing == Framing::Empty {
            return Err(CallError::Broken("response without a length".to_owned()));
        }
        if framing.declared_length() > self.limits.max_body_bytes {
            return Err(CallError::TooLarge);
        }
        self.budget.reset(self.limits.max_wire_bytes());
        let filled = self.decoder.fill_payload().await;
        filled.map_err(|e| self.to_call_error(&e))?;
        let body = collect_body(payload)
            .await
            .map_err(|e| self.to_call_error(&e))?;
        if body.len() > self.limits.max_body_bytes {
            return Err(CallError::TooLarge);
        }
        Ok(body)
    }

    fn to_call_error(&self, e: &HttpError) -> CallError {
        if self.budget.has_refused_read() {
            CallError::TooLarge
        } else {
            CallError::Broken(e.to_string())
        }
    }

    /// Closes the connection; a response that is still expected is lost.
    pub fn close(self) {
        drop(self);
    }
}

fn encode_request(req: Request) -> Result<http::Request<Payload>, CallError> {
    let mut out = http::Request::builder()
        .method(req.method)
        .uri(req.target)
        .body(to_payload(req.body))
        .map_err(|e| CallError::Broken(e.to_string()))?;
    *out.headers_mut() = req.headers;
    out.headers_mut().remove(CONTENT_LENGTH);
    out.headers_mut().remove(TRANSFER_ENCODING);
    Ok(out)
}

fn reuse_after(res: &Response) -> Reuse {
    if framing::has_token(&res.headers, &CONNECTION, "close") {
        Reuse::Refused
    } else {
        Reuse::Allowed
    }
}

pub(crate) fn to_payload(body: Bytes) -> Payload {
    if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(body))
    }
}

/// Concatenates the parts of a body that has been read completely.
pub(crate) async fn collect_body(mut payload: Payload) -> Result<Bytes, HttpError> {
    match &payload {
        Payload::None => return Ok(Bytes::new()),
        Payload::Fixed(_) => return payload.next_data().await.unwrap_or(Ok(Bytes::new())),
        Payload::Stream(_) => {}
    }
    let mut buf = BytesMut::new();
    while let Some(part) = payload.next_data().await {
        buf.extend_from_slice(&part?);
    }
    Ok(buf.freeze())
}
