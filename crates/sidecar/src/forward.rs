//! The hop from the daemon that a client asked to the daemon beside the chosen instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use bytes::Bytes;
use http::StatusCode;
use http_edge::CallError;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use mesh::directory::Entry;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use mesh::wire::ForwardReply;
use mesh::wire::Member;
use protocol::call::CALL_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::codec;
use serde_json::json;

use crate::gate::Passed;
use crate::logs::EventClass;
use crate::node::Node;
use crate::node::Shared;

/// Path at which a daemon gives the configuration in force to others.
pub const CONFIG_PATH: &str = "/inner/config";

/// Path at which a daemon gives all members that it knows to others.
pub const MEMBERS_PATH: &str = "/inner/members";

/// Time beyond a request's deadline in which the other daemon's answer is still taken: that of the
/// instance's answer at its gate, and the way between zones.
const REPLY_SLACK: Duration = Duration::from_millis(150);

/// Time after which the daemon at the other end of a call under way is asked for a sign of life; most
/// answers come sooner.
const QUIET: Duration = Duration::from_millis(300);

/// Time between two such questions; several fit the limit, so that one lost datagram tells
/// nothing.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// A daemon that gave no sign of life for this time counts as silent; a busy machine answers
/// within a tenth of it.
const SILENT: Duration = Duration::from_secs(1);

/// How a call to another daemon ended.
pub enum Forwarded {
    /// The other daemon replied.
    Replied(Passed),
    /// No connection: the request was not sent.
    Unreachable,
    /// The connection broke, or the other daemon went silent: the request may have run.
    Lost(&'static str),
}

impl Node {
    /// Sends a request to the daemon beside the chosen instance.
    pub async fn forward(&self, to: &Entry, head: &ForwardHead, req: &Request) -> Forwarded {
        let member = &to.member;
        if member.daemon == self.name() {
            let passed = self.pass(head, req.clone(), Instant::now()).await;
            let (load, now) = (self.gate.load(), Instant::now());
            let failures = self.gate.failures(now);
            self.balancer
                .borrow_mut()
                .record_load(to, load, failures, now);
            return Forwarded::Replied(passed);
        }
        let mut conn = match self.inner.take(member.address).await {
            Ok(conn) => conn,
            Err(e) => {
                self.call_failed("daemon-unreachable", head, member, &e.to_string());
                return Forwarded::Unreachable;
            }
        };
        let inner = req
            .clone()
            .with_header(CALL_HEADER, codec::encode_header_value(head));
        let limit = Duration::from_millis(u64::from(head.left_ms)) + REPLY_SLACK;
        let answered = monoio::select! {
            answered = conn.call(inner, limit) => answered,
            () = self.silence_of(&member.daemon, member.address) => Err(CallError::TimedOut),
        };
        let res = match answered {
            Ok(res) => res,
            Err(e) => {
                drop(conn);
                self.inner.close_idle(member.address);
                self.call_failed("reply-missing", head, member, &e.to_string());
                return Forwarded::Lost("no reply of the daemon beside the instance");
            }
        };
        self.inner.put(conn);
        self.hear(&member.daemon);
        self.read_reply(to, res)
    }

    fn call_failed(&self, event: &'static str, head: &ForwardHead, to: &Member, reason: &str) {
        self.event_log.emit(
            EventClass::Failure,
            event,
            Instant::now(),
            || json!({ "request": head.request, "daemon": to.daemon, "reason": reason }),
        );
    }

    fn read_reply(&self, to: &Entry, mut res: Response) -> Forwarded {
        let reply = res
            .header(OUTCOME_HEADER)
            .map(codec::decode_header_value::<ForwardReply>);
        let Some(Ok(reply)) = reply else {
            return Forwarded::Lost("unreadable reply");
        };
        res.headers.remove(OUTCOME_HEADER);
        self.balancer
            .borrow_mut()
            .record_load(to, reply.load, reply.failures, Instant::now());
        self.note_config(reply.config, to.member.address);
        if let Some(member) = reply.member {
            self.learn_member(member, "reply");
        }
        let is_answered = matches!(reply.outcome, ForwardOutcome::Answered { .. });
        Forwarded::Replied(Passed {
            outcome: reply.outcome,
            res: is_answered.then_some(res),
        })
    }

    /// What this daemon tells others that ask for it at a path.
    fn tell(&self, path: &str) -> Option<Bytes> {
        match path {
            CONFIG_PATH => Some(self.packed_config.borrow().clone()),
            MEMBERS_PATH => {
                let directory = self.directory.borrow();
                let members: Vec<&Member> = directory.entries().map(|e| &e.member).collect();
                Some(codec::encode(&members))
            }
            _ => None,
        }
    }

    /// This daemon's announcement, for a caller that has an older one.
    fn correction(&self, reason: NotRunReason) -> Option<Member> {
        match reason {
            NotRunReason::Leaving | NotRunReason::WrongVersion | NotRunReason::Unreachable => {
                self.refresh_own_member();
                self.own_member()
            }
            _ => None,
        }
    }

    /// Notes that another daemon has a later configuration.
    pub fn note_config(&self, version: mesh::ConfigVersion, at: SocketAddr) {
        if version > self.tables.borrow().version() {
            self.config_from.set(Some(at));
        }
    }

    /// Returns once the other daemon gave no sign of life for a while.
    async fn silence_of(&self, daemon: &DaemonId, address: SocketAddr) {
        monoio::time::sleep(QUIET).await;
        let mut since = Instant::now();
        loop {
            self.ask_for_life(address).await;
            monoio::time::sleep(ASK_EVERY).await;
            if self.was_heard_since(daemon, since) {
                monoio::time::sleep(QUIET).await;
                since = Instant::now();
            } else if since.elapsed() >= SILENT {
                self.log_state(
                    "daemon-silent",
                    || json!({ "daemon": daemon, "silent_ms": since.elapsed().as_millis() }),
                );
                return;
            }
        }
    }
}

/// Takes requests from other daemons.
pub struct InnerHandler {
    pub node: Shared,
}

impl Handler for InnerHandler {
    async fn handle(&self, mut req: Request) -> Response {
        if req.header(CALL_HEADER).is_none()
            && let Some(told) = self.node.tell(req.path())
        {
            return Response::new(StatusCode::OK, told);
        }
        let head = req
            .header(CALL_HEADER)
            .map(codec::decode_header_value::<ForwardHead>);
        let Some(Ok(head)) = head else {
            log::warn!("inner: a request without a readable head");
            return Response::text(StatusCode::BAD_REQUEST, "unreadable head");
        };
        req.headers.remove(CALL_HEADER);
        let passed = Box::pin(self.node.pass(&head, req, Instant::now())).await;
        let member = match &passed.outcome {
            ForwardOutcome::NotRun(not_run) => self.node.correction(not_run.reason),
            _ => None,
        };
        let reply = ForwardReply {
            outcome: passed.outcome,
            load: self.node.gate.load(),
            failures: self.node.gate.failures(Instant::now()),
            config: self.node.tables.borrow().version(),
            member,
        };
        let res = passed
            .res
            .unwrap_or_else(|| Response::new(StatusCode::SERVICE_UNAVAILABLE, ""));
        res.with_header(OUTCOME_HEADER, codec::encode_header_value(&reply))
    }
}

/// The refusal where a request was not sent.
pub fn not_sent(after: Duration) -> NotRun {
    NotRun {
        reason: NotRunReason::Unreachable,
        retry_after: Some(after),
    }
}
