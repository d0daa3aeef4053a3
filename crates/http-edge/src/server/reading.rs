//! Requests from one connection.

use http::Version;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::request::Parts;
use monoio::io::OwnedReadHalf;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::DecodeError;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::RequestDecoder;

use crate::caught::caught;
use crate::client::collect;
use crate::error::RequestError;
use crate::framing;
use crate::framing::Framing;
use crate::limited::Budget;
use crate::limited::Limited;
use crate::limited::Limits;
use crate::message::Request;
use crate::server::ServerCfg;
use crate::server::handover::Giver;

/// What a connection brings.
pub(super) enum Incoming {
    /// A whole request.
    Request(Request, After),
    /// The client waits for the word to send its body.
    Continue,
    /// No request can be read any more.
    Fault(RequestError),
}

/// What becomes of the connection after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    /// Another request may follow.
    Open,
    /// It is closed.
    Close,
}

type Decoder = RequestDecoder<Limited<OwnedReadHalf<TcpStream>>>;

/// Reads requests until the connection ends or one cannot be read.
pub(super) async fn read_requests(
    r: OwnedReadHalf<TcpStream>,
    tx: Giver<Incoming>,
    cfg: ServerCfg,
) {
    let budget = Budget::new(cfg.limits.max_head_bytes);
    let decoder =
        RequestDecoder::new_with_timeout(Limited::new(r, budget.clone()), cfg.idle_timeout);
    let mut reader = Reader {
        decoder,
        budget,
        limits: cfg.limits,
        tx,
    };
    loop {
        let read = caught(reader.read()).await;
        let incoming = match read.unwrap_or(Err(RequestError::Malformed)) {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return,
            Err(fault) => {
                reader.tx.give(Incoming::Fault(fault)).await;
                return;
            }
        };
        reader.tx.give(incoming).await;
    }
}

struct Reader {
    decoder: Decoder,
    budget: Budget,
    limits: Limits,
    tx: Giver<Incoming>,
}

impl Reader {
    /// The next request; `None` at the end of the connection.
    async fn read(&mut self) -> Result<Option<Incoming>, RequestError> {
        self.budget.reset(self.limits.max_head_bytes);
        let head = match self.decoder.next().await {
            None => return Ok(None),
            Some(head) => head.map_err(|e| self.fault(&e))?,
        };
        self.budget.reset(self.limits.budget());
        let (parts, payload) = head.into_parts();
        let framing = framing::check(parts.version, &parts.headers);
        let framing = framing.map_err(|_| RequestError::Malformed)?;
        if framing.length() > self.limits.max_body_bytes {
            return Err(RequestError::TooLarge);
        }
        self.expect(&parts, framing).await?;
        let filled = self.decoder.fill_payload().await;
        filled.map_err(|e| self.fault(&e))?;
        let body = collect(payload).await.map_err(|e| self.fault(&e))?;
        if body.len() > self.limits.max_body_bytes {
            return Err(RequestError::TooLarge);
        }
        let after = after(&parts);
        let target = parts.uri.path_and_query();
        let req = Request {
            target: target.map_or("/", |target| target.as_str()).to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
        };
        Ok(Some(Incoming::Request(req, after)))
    }

    /// Tells a client that waits for it to send its body.
    async fn expect(&self, parts: &Parts, framing: Framing) -> Result<(), RequestError> {
        let Some(expected) = parts.headers.get(EXPECT) else {
            return Ok(());
        };
        if !expected.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(RequestError::Expectation);
        }
        // A client of HTTP/1.0 does not know the word.
        let is_waiting = parts.version != Version::HTTP_10 && framing != Framing::Empty;
        if is_waiting {
            self.tx.give(Incoming::Continue).await;
        }
        Ok(())
    }

    fn fault(&self, e: &HttpError) -> RequestError {
        if self.budget.has_refused() {
            return RequestError::TooLarge;
        }
        match e {
            HttpError::H1DecodeError(DecodeError::TimedOut) => RequestError::Idle,
            HttpError::H1DecodeError(DecodeError::UnexpectedEof | DecodeError::Io(_))
            | HttpError::IOError(_) => RequestError::Cut,
            _ => RequestError::Malformed,
        }
    }
}

fn after(parts: &Parts) -> After {
    let asks_to_close = framing::has_word(&parts.headers, &CONNECTION, "close");
    if asks_to_close || parts.version != Version::HTTP_11 {
        After::Close
    } else {
        After::Open
    }
}
