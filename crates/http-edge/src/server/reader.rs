//! Reads requests from one connection.

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

use crate::catch_panic::catch_panic;
use crate::client::collect_body;
use crate::error::RequestError;
use crate::framing;
use crate::framing::Framing;
use crate::limited::LimitedReader;
use crate::limited::Limits;
use crate::limited::ReadBudget;
use crate::message::Request;
use crate::server::ServerCfg;
use crate::server::channel::Sender;

/// What the reader passes to the writer.
pub(super) enum Incoming {
    /// A complete request.
    Request(Request, Persistence),
    /// The client awaits `100 Continue` before it sends its body.
    ExpectContinue,
    /// Reading failed; no further request follows.
    Error(RequestError),
}

/// Whether the connection stays open after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Persistence {
    /// Another request may follow.
    KeepAlive,
    /// The connection is closed.
    Close,
}

type Decoder = RequestDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>;

/// Reads requests until the connection ends or a request is invalid.
pub(super) async fn read_requests(
    r: OwnedReadHalf<TcpStream>,
    tx: Sender<Incoming>,
    cfg: ServerCfg,
    budget: ReadBudget,
) {
    let decoder =
        RequestDecoder::new_with_timeout(LimitedReader::new(r, budget.clone()), cfg.idle_timeout);
    let mut reader = Reader {
        decoder,
        budget,
        limits: cfg.limits,
        tx,
    };
    loop {
        let read = catch_panic(reader.read_request()).await;
        let incoming = match read.unwrap_or(Err(RequestError::Malformed)) {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return,
            Err(error) => {
                reader.tx.send(Incoming::Error(error)).await;
                return;
            }
        };
        reader.tx.send(incoming).await;
    }
}

struct Reader {
    decoder: Decoder,
    budget: ReadBudget,
    limits: Limits,
    tx: Sender<Incoming>,
}

impl Reader {
    /// Reads the next request; `None` at the end of the connection.
    async fn read_request(&mut self) -> Result<Option<Incoming>, RequestError> {
        self.budget.begin_message(self.limits.max_head_bytes);
        let head = match self.decoder.next().await {
            None => return Ok(None),
            Some(head) => head.map_err(|e| self.to_request_error(&e))?,
        };
        self.budget.reset(self.limits.max_wire_bytes());
        let (parts, payload) = head.into_parts();
        let framing = framing::of_message(parts.version, &parts.headers);
        let framing = framing.map_err(|_| RequestError::Malformed)?;
        if framing.declared_length() > self.limits.max_body_bytes {
            return Err(RequestError::TooLarge);
        }
        self.send_continue_if_expected(&parts, framing).await?;
        let filled = self.decoder.fill_payload().await;
        filled.map_err(|e| self.to_request_error(&e))?;
        let body = collect_body(payload)
            .await
            .map_err(|e| self.to_request_error(&e))?;
        if body.len() > self.limits.max_body_bytes {
            return Err(RequestError::TooLarge);
        }
        let persistence = persistence(&parts);
        let target = parts.uri.path_and_query();
        let req = Request {
            target: target.map_or("/", |target| target.as_str()).to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
        };
        Ok(Some(Incoming::Request(req, persistence)))
    }

    /// Has the writer send `100 Continue` if the client waits for it.
    async fn send_continue_if_expected(
        &self,
        parts: &Parts,
        framing: Framing,
    ) -> Result<(), RequestError> {
        let Some(expected) = parts.headers.get(EXPECT) else {
            return Ok(());
        };
        if !expected.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(RequestError::Expectation);
        }
        // HTTP/1.0 has no interim responses.
        let is_waiting = parts.version != Version::HTTP_10 && framing != Framing::Empty;
        if is_waiting {
            self.tx.send(Incoming::ExpectContinue).await;
        }
        Ok(())
    }

    fn to_request_error(&self, e: &HttpError) -> RequestError {
        if self.budget.has_refused_read() {
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

fn persistence(parts: &Parts) -> Persistence {
    let has_close = framing::has_token(&parts.headers, &CONNECTION, "close");
    if has_close || parts.version != Version::HTTP_11 {
        Persistence::Close
    } else {
        Persistence::KeepAlive
    }
}
