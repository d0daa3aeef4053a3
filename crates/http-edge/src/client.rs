//! Client side of one connection.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
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

use crate::error::CallError;
use crate::error::ConnectError;
use crate::limited::Budget;
use crate::limited::Limited;
use crate::limited::Limits;
use crate::message::Request;
use crate::message::Response;

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
            .map_err(ConnectError::Refused)?;
        stream.set_nodelay(true).map_err(ConnectError::Refused)?;
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
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Whether another request may go out on this connection.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.reuse == Reuse::Allowed
    }

    /// Sends a request and reads the whole answer. A connection with an error is not used again.
    ///
    /// # Errors
    /// When no whole answer came; the peer may have acted on the request.
    pub async fn call(&mut self, req: Request, timeout: Duration) -> Result<Response, CallError> {
        // Also holds when this future is dropped before the answer came.
        self.reuse = Reuse::Refused;
        let res = monoio::time::timeout(timeout, self.exchange(req))
            .await
            .unwrap_or(Err(CallError::TimedOut))?;
        self.reuse = reuse_after(&res);
        Ok(res)
    }

    async fn exchange(&mut self, req: Request) -> Result<Response, CallError> {
        self.budget.reset(self.limits.budget());
        let req = encode_request(req)?;
        self.encoder
            .send_and_flush(req)
            .await
            .map_err(|e| self.broken(&e))?;
        let head = match self.decoder.next().await {
            None => return Err(CallError::Broken("closed before the answer".to_owned())),
            Some(Err(e)) => return Err(self.broken(&e)),
            Some(Ok(head)) => head,
        };
        self.decoder
            .fill_payload()
            .await
            .map_err(|e| self.broken(&e))?;
        let (parts, payload) = head.into_parts();
        if !has_framed_body(&parts) {
            return Err(CallError::Broken("answer without a length".to_owned()));
        }
        let body = collect(payload).await.map_err(|e| self.broken(&e))?;
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    fn broken(&self, e: &HttpError) -> CallError {
        if self.budget.is_spent() {
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

/// An answer without a length ends with the connection, so a cut one would look whole.
fn has_framed_body(parts: &http::response::Parts) -> bool {
    let is_bodiless = parts.status == http::StatusCode::NO_CONTENT
        || parts.status == http::StatusCode::NOT_MODIFIED;
    is_bodiless
        || parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING)
}

fn reuse_after(res: &Response) -> Reuse {
    match res.header(CONNECTION.as_str()) {
        Some(value) if value.eq_ignore_ascii_case("close") => Reuse::Refused,
        _ => Reuse::Allowed,
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
