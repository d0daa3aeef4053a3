//! Client side of one HTTP/1.1 connection.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::header::CONNECTION;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;

use crate::body::Body;
use crate::budget::AnswerCharge;
use crate::budget::Arrival;
use crate::budget::MemoryBudget;
use crate::encode::INITIAL_HEAD_BYTES;
use crate::encode::MAX_INLINE_BODY_BYTES;
use crate::encode::is_bodiless;
use crate::encode::put_headers;
use crate::error::CallError;
use crate::error::ConnectError;
use crate::framing;
use crate::framing::Framing;
use crate::head::RawHead;
use crate::incoming::MessageReader;
use crate::incoming::ReadError;
use crate::incoming::Terms;
use crate::limits::Limits;
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

/// An open connection; it carries one request at a time.
pub struct Conn {
    w: OwnedWriteHalf<TcpStream>,
    input: MessageReader<OwnedReadHalf<TcpStream>>,
    limits: Limits,
    /// Memory that answers are charged to; `None` if they are not.
    budget: Option<MemoryBudget>,
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
        Ok(Self {
            w,
            input: MessageReader::new(r),
            limits,
            budget: None,
            peer,
            opened_at: Instant::now(),
            reuse: Reuse::Allowed,
            has_stray_bytes: false,
            idle_timeout: None,
        })
    }

    /// Charges the answers to a budget.
    #[must_use]
    pub fn within(mut self, budget: MemoryBudget) -> Self {
        self.budget = Some(budget);
        self
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

    /// Whether bytes, or the end of the connection, have arrived since. What is read is lost, so the
    /// connection must not be used any more then.
    fn receives_bytes(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let read = pin!(self.input.read_unexpected());
        read.poll(&mut cx).is_ready()
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
        let exchange = monoio::time::timeout(timeout, self.exchange(req));
        let res = exchange.await.map_err(|_| CallError::TimedOut)??;
        // The head of such a response may declare a body, which does not follow.
        if !is_head && !is_bodiless(res.status) {
            self.reuse = reuse_after(&res);
            self.has_stray_bytes = self.input.has_bytes();
            self.idle_timeout = framing::keep_alive_timeout(&res.headers);
        }
        Ok(res)
    }

    async fn exchange(&mut self, req: Request) -> Result<Response, CallError> {
        let is_head = req.method == Method::HEAD;
        self.send(req).await?;
        let (version, status, headers) = self.read_head().await?;
        let framing = framing::of_message(version, &headers);
        let framing =
            framing.map_err(|_| CallError::Broken("ambiguous response length".to_owned()))?;
        let (body, charge) = if is_head || is_bodiless(status) {
            (Bytes::new(), None)
        } else {
            self.read_body(framing).await?
        };
        Ok(Response {
            status,
            headers,
            body,
            charge,
        })
    }

    async fn send(&mut self, req: Request) -> Result<(), CallError> {
        let (head, body) = encode_request(req)?;
        let parts = body.parts().iter().cloned();
        for bytes in std::iter::once(head).chain(parts) {
            let (written, _) = self.w.write_all(bytes).await;
            written.map_err(|e| CallError::Broken(e.to_string()))?;
        }
        Ok(())
    }

    /// Reads the head of the final response, skipping interim responses, all within the limit of one
    /// head.
    async fn read_head(&mut self) -> Result<(Version, StatusCode, HeaderMap), CallError> {
        let mut left = self.limits.max_head_bytes;
        loop {
            let read = self.input.read_head(left, Terms::UNBOUNDED, || ()).await;
            let Some(bytes) = read.map_err(to_call_error)? else {
                return Err(CallError::Broken("closed before the response".to_owned()));
            };
            left -= bytes.len();
            let head = RawHead::new(bytes);
            let (version, status, headers) = head
                .response()
                .map_err(|_| CallError::Broken("malformed response head".to_owned()))?;
            if !status.is_informational() {
                return Ok((version, status, headers));
            }
            let has_body = framing::of_message(version, &headers) != Ok(Framing::Empty);
            if has_body || status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(CallError::Broken(format!("unexpected response {status}")));
            }
        }
    }

    async fn read_body(
        &mut self,
        framing: Framing,
    ) -> Result<(Bytes, Option<AnswerCharge>), CallError> {
        // Such a response ends with the connection, so a truncated one would look complete.
        if framing == Framing::Empty {
            return Err(CallError::Broken("response without a length".to_owned()));
        }
        let max_body = self.limits.max_body_bytes;
        let budget = self.budget.as_ref();
        let arrival = budget.map(|budget| Arrival::new(budget, framing, max_body));
        let terms = Terms {
            arrival: arrival.as_ref(),
            ..Terms::UNBOUNDED
        };
        let parts = self.input.read_body(framing, max_body, terms).await;
        let body = Body::from_parts(parts.map_err(to_call_error)?).to_bytes();
        Ok((body, arrival.and_then(Arrival::into_charge)))
    }

    /// Closes the connection; a response that is still expected is lost.
    pub fn close(self) {
        drop(self);
    }
}

fn to_call_error(e: ReadError) -> CallError {
    match e {
        ReadError::TooLarge => CallError::TooLarge,
        ReadError::Cut(e) => CallError::Broken(e.to_string()),
        ReadError::Malformed => CallError::Broken("malformed response body".to_owned()),
        ReadError::Idle | ReadError::Stalled => CallError::TimedOut,
        ReadError::NoRoom => CallError::Broken("no memory for the response".to_owned()),
    }
}

/// Encodes a request. Returns the first buffer, and the body unless the first buffer holds it.
fn encode_request(req: Request) -> Result<(Bytes, Body), CallError> {
    let uri: Uri = req
        .target
        .parse()
        .map_err(|e| CallError::Broken(format!("invalid target: {e}")))?;
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let mut buf = BytesMut::with_capacity(INITIAL_HEAD_BYTES);
    buf.put(format!("{} {target} HTTP/1.1\r\n", req.method).as_bytes());
    if !req.body.is_empty() {
        buf.put(format!("content-length: {}\r\n", req.body.len()).as_bytes());
    }
    put_headers(&mut buf, &req.headers);
    buf.put_slice(b"\r\n");
    if req.body.len() > MAX_INLINE_BODY_BYTES {
        return Ok((buf.freeze(), req.body));
    }
    req.body.parts().iter().for_each(|part| buf.put_slice(part));
    Ok((buf.freeze(), Body::default()))
}

fn reuse_after(res: &Response) -> Reuse {
    if framing::has_token(&res.headers, &CONNECTION, "close") {
        Reuse::Refused
    } else {
        Reuse::Allowed
    }
}
