//! Client side of one connection.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Context;
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

use crate::caught::caught;
use crate::encode::is_bodiless;
use crate::error::CallError;
use crate::error::ConnectError;
use crate::framing;
use crate::framing::Framing;
use crate::limited::Budget;
use crate::limited::Limited;
use crate::limited::Limits;
use crate::message::Request;
use crate::message::Response;

/// Silence after which the kernel probes a connection, so that a peer that is gone shows while a call
/// waits long for news. One second is the shortest that the kernel counts.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes, as short.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as broken; one or two may be lost.
const PROBES: u32 = 3;

/// An open connection that carries one request at a time.
pub struct Conn {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: ResponseDecoder<Limited<OwnedReadHalf<TcpStream>>>,
    budget: Budget,
    limits: Limits,
    peer: SocketAddr,
    opened: Instant,
    reuse: Reuse,
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
    /// When the peer refuses or does not answer in time; then nothing was sent.
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
            .set_tcp_keepalive(Some(PROBE_AFTER), Some(PROBE_EVERY), Some(PROBES))
            .map_err(ConnectError::Io)?;
        let (r, w) = stream.into_split();
        let budget = Budget::new(limits.budget());
        Ok(Self {
            encoder: GenericEncoder::new(w),
            decoder: ResponseDecoder::new(Limited::new(r, budget.clone())),
            budget,
            limits,
            peer,
            opened: Instant::now(),
            reuse: Reuse::Allowed,
        })
    }

    /// Address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// When the connection was opened.
    #[must_use]
    pub fn opened_at(&self) -> Instant {
        self.opened
    }

    /// Whether another request may go out on this connection.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.reuse == Reuse::Allowed
    }

    /// Whether nothing came on the connection since the last answer: neither its end, nor an
    /// answer that nobody asked for.
    pub fn is_idle(&mut self) -> bool {
        self.budget.reset(self.limits.max_head_bytes);
        let mut cx = Context::from_waker(Waker::noop());
        let next = pin!(caught(self.decoder.next()));
        next.poll(&mut cx).is_pending()
    }

    /// Sends a request and reads the whole answer. A connection with an error is not used again.
    ///
    /// # Errors
    /// When no whole answer came; the peer may have acted on the request.
    pub async fn call(&mut self, req: Request, timeout: Duration) -> Result<Response, CallError> {
        // Also holds when this future is dropped before the answer came.
        self.reuse = Reuse::Refused;
        if !self.is_idle() {
            return Err(CallError::Broken("not quiet before the request".to_owned()));
        }
        let is_head = req.method == Method::HEAD;
        let exchange = monoio::time::timeout(timeout, caught(self.exchange(req)));
        let res = match exchange.await {
            Ok(Some(res)) => res?,
            Ok(None) => return Err(CallError::Broken("unreadable answer".to_owned())),
            Err(_) => return Err(CallError::TimedOut),
        };
        // The decoder would wait for the body that the head of such an answer may tell of.
        if !is_head && !is_bodiless(res.status) {
            self.reuse = reuse_after(&res);
        }
        Ok(res)
    }

    async fn exchange(&mut self, req: Request) -> Result<Response, CallError> {
        let is_head = req.method == Method::HEAD;
        let req = encode_request(req)?;
        self.encoder
            .send_and_flush(req)
            .await
            .map_err(|e| self.broken(&e))?;
        let (parts, payload) = self.head().await?.into_parts();
        let framing = framing::check(parts.version, &parts.headers);
        let framing = framing.map_err(|_| CallError::Broken("ambiguous length".to_owned()))?;
        let body = if is_head || is_bodiless(parts.status) {
            Bytes::new()
        } else {
            self.body(framing, payload).await?
        };
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Head of the answer, past those that only tell of it.
    async fn head(&mut self) -> Result<http::Response<Payload>, CallError> {
        self.budget.reset(self.limits.max_head_bytes);
        loop {
            let head = match self.decoder.next().await {
                None => return Err(CallError::Broken("closed before the answer".to_owned())),
                Some(head) => head.map_err(|e| self.broken(&e))?,
            };
            if !head.status().is_informational() {
                return Ok(head);
            }
            let has_body = !matches!(head.body(), Payload::None);
            if has_body || head.status() == StatusCode::SWITCHING_PROTOCOLS {
                return Err(CallError::Broken(format!("answered {}", head.status())));
            }
        }
    }

    async fn body(&mut self, framing: Framing, payload: Payload) -> Result<Bytes, CallError> {
        // Such an answer ends with the connection, so a cut one would look whole.
        if framing == Framing::Empty {
            return Err(CallError::Broken("answer without a length".to_owned()));
        }
        if framing.length() > self.limits.max_body_bytes {
            return Err(CallError::TooLarge);
        }
        self.budget.reset(self.limits.budget());
        let filled = self.decoder.fill_payload().await;
        filled.map_err(|e| self.broken(&e))?;
        let body = collect(payload).await.map_err(|e| self.broken(&e))?;
        if body.len() > self.limits.max_body_bytes {
            return Err(CallError::TooLarge);
        }
        Ok(body)
    }

    fn broken(&self, e: &HttpError) -> CallError {
        if self.budget.has_refused() {
            CallError::TooLarge
        } else {
            CallError::Broken(e.to_string())
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self);
    }
}

fn encode_request(req: Request) -> Result<http::Request<Payload>, CallError> {
    let mut out = http::Request::builder()
        .method(req.method)
        .uri(req.target)
        .body(payload(req.body))
        .map_err(|e| CallError::Broken(e.to_string()))?;
    *out.headers_mut() = req.headers;
    out.headers_mut().remove(CONTENT_LENGTH);
    out.headers_mut().remove(TRANSFER_ENCODING);
    Ok(out)
}

fn reuse_after(res: &Response) -> Reuse {
    if framing::has_word(&res.headers, &CONNECTION, "close") {
        Reuse::Refused
    } else {
        Reuse::Allowed
    }
}

pub(crate) fn payload(body: Bytes) -> Payload {
    if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(body))
    }
}

/// Joins the parts of a body that has been read to its end.
pub(crate) async fn collect(mut payload: Payload) -> Result<Bytes, HttpError> {
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
