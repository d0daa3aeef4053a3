//! Forwarding of requests between daemons: from the daemon that received the client's request to
//! the daemon of the chosen instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use bytes::Bytes;
use http::StatusCode;
use http_edge::CallError;
use http_edge::Handler;
use http_edge::RawHead;
use http_edge::Request;
use http_edge::Response;
use mesh::balancer::ReportSource;
use mesh::directory::Entry;
use mesh::link::Direction;
use mesh::quarantine::CrashReport;
use mesh::transfers::needs_grant;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use mesh::wire::ForwardReply;
use mesh::wire::Member;
use protocol::call::CALL_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::call::REDIRECTABLE_HEADER;
use protocol::codec;
use serde_json::json;
use users_platform::responses;

use crate::departures::DEPARTURES_PATH;
use crate::dispatch::Dispatched;
use crate::dispatch::Waiting;
use crate::logs::EventClass;
use crate::node::Node;
use crate::node::SharedNode;
use crate::transfer::TRANSFER_PATH;

/// Path that serves the active configuration to peers.
pub const CONFIG_PATH: &str = "/inner/config";

/// Path that serves all known members to peers.
pub const MEMBERS_PATH: &str = "/inner/members";

/// Time beyond a request's deadline during which the peer's reply is still accepted: the peer's own
/// grace for the instance's answer, plus the hop between zones.
const REPLY_GRACE: Duration = Duration::from_millis(150);

/// Time after which the peer of a pending call is probed for liveness; most replies arrive earlier.
const PROBE_DELAY: Duration = Duration::from_millis(300);

/// Time between two probes. Several fit into [`SILENCE_TIMEOUT`], so that one lost datagram has no
/// effect.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time without any message after which a peer counts as lost; a busy machine answers within a
/// tenth of it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of forwarding a request.
pub enum ForwardResult {
    /// The peer replied.
    Replied(Dispatched),
    /// Connecting failed; the request was not sent.
    Unreachable,
    /// The connection broke or the peer stopped answering; the request may have run.
    Lost(&'static str),
}

/// What follows from the reply to the request for a grant.
enum GrantStep {
    /// The body may be sent.
    Send,
    /// The attempt ends without the request having been sent.
    End(ForwardResult),
}

impl Node {
    /// Sends a request to the daemon of the chosen instance, or dispatches it here if that is this
    /// daemon.
    pub async fn forward(
        &self,
        to: &Entry,
        head: &ForwardHead,
        req: &Request,
        waiting: Waiting,
    ) -> ForwardResult {
        let member = &to.member;
        if member.daemon == self.name() {
            let result = self
                .dispatch(head, req.clone(), Instant::now(), waiting)
                .await;
            let now = Instant::now();
            let report = self.load_report();
            let mut balancer = self.balancer.borrow_mut();
            balancer.record_report(to, report, ReportSource::Direct, now);
            return ForwardResult::Replied(result);
        }
        let began = Instant::now();
        let mut conn = match self.peer_conns.take(member.address).await {
            Ok(conn) => conn,
            Err(e) => {
                self.log_call_failure("daemon-unreachable", head, member, &e.to_string());
                return ForwardResult::Unreachable;
            }
        };
        let mut forwarded_req = req
            .clone()
            .with_header(CALL_HEADER, codec::encode_header_value(head));
        forwarded_req.headers.remove(REDIRECTABLE_HEADER);
        if waiting == Waiting::Redirectable {
            forwarded_req = forwarded_req.with_header(REDIRECTABLE_HEADER, "1");
        }
        if needs_grant(req.body.len(), member.link_mbps) {
            let timeout = Duration::from_millis(u64::from(head.full_value_ms)) + REPLY_GRACE;
            let answered = monoio::select! {
                answered = self.request_grant(&mut conn, head, req.body.len(), timeout) => answered,
                () = self.wait_for_silence(&member.daemon, member.address) => {
                    Err(CallError::TimedOut)
                }
            };
            match self.after_grant_request(to, head, answered) {
                GrantStep::Send => {}
                GrantStep::End(result) => {
                    if !matches!(result, ForwardResult::Unreachable) {
                        self.peer_conns.put(conn);
                    }
                    return result;
                }
            }
        }
        let delay = began.elapsed().max(self.stood_still());
        if delay >= Duration::from_millis(u64::from(head.left_ms)) {
            self.peer_conns.put(conn);
            return ForwardResult::Unreachable;
        }
        let bytes = forwarded_req.wire_size();
        self.record_transfer(Direction::Out, bytes);
        self.balancer.borrow_mut().bytes_sent(to, bytes);
        let timeout = Duration::from_millis(u64::from(head.left_ms)) + REPLY_GRACE;
        let answered = monoio::select! {
            answered = conn.call(forwarded_req, timeout) => answered,
            () = self.wait_for_silence(&member.daemon, member.address) => Err(CallError::TimedOut),
        };
        let res = match answered {
            Ok(res) => res,
            Err(e) => {
                drop(conn);
                self.peer_conns.close_idle(member.address);
                self.log_call_failure("reply-missing", head, member, &e.to_string());
                return ForwardResult::Lost("no reply from the daemon of the instance");
            }
        };
        self.record_transfer(Direction::In, res.wire_size());
        self.peer_conns.put(conn);
        self.record_contact(&member.daemon);
        self.handle_reply(to, res)
    }

    /// Decides whether a body is sent, from the reply to the request for a grant.
    fn after_grant_request(
        &self,
        to: &Entry,
        head: &ForwardHead,
        answered: Result<Response, CallError>,
    ) -> GrantStep {
        let res = match answered {
            Ok(res) => res,
            Err(e) => {
                self.log_call_failure("grant-missing", head, &to.member, &e.to_string());
                return GrantStep::End(ForwardResult::Unreachable);
            }
        };
        self.record_contact(&to.member.daemon);
        match self.handle_reply(to, res) {
            ForwardResult::Replied(Dispatched {
                outcome: ForwardOutcome::Granted,
                ..
            }) => GrantStep::Send,
            ForwardResult::Replied(dispatched) => {
                GrantStep::End(ForwardResult::Replied(dispatched))
            }
            // The request itself was not sent.
            ForwardResult::Unreachable | ForwardResult::Lost(_) => {
                GrantStep::End(ForwardResult::Unreachable)
            }
        }
    }

    fn log_call_failure(&self, event: &'static str, head: &ForwardHead, to: &Member, reason: &str) {
        self.event_log.emit(
            EventClass::Failure,
            event,
            Instant::now(),
            || json!({ "request": head.request, "daemon": to.daemon, "reason": reason }),
        );
    }

    fn handle_reply(&self, to: &Entry, mut res: Response) -> ForwardResult {
        let reply = res
            .header(OUTCOME_HEADER)
            .map(codec::decode_header_value::<ForwardReply>);
        let Some(Ok(reply)) = reply else {
            return ForwardResult::Lost("unreadable reply");
        };
        res.headers.remove(OUTCOME_HEADER);
        self.balancer.borrow_mut().record_report(
            to,
            reply.report,
            ReportSource::Direct,
            Instant::now(),
        );
        self.record_config_version(reply.config, to.member.address);
        if let Some(member) = reply.member {
            self.merge_member(member, "reply");
        }
        self.merge_quarantine(reply.crash.into_iter().collect(), Vec::new());
        let is_answered = matches!(reply.outcome, ForwardOutcome::Answered { .. });
        if is_answered
            && responses::decode_notice(&res).is_leaving
            && let Some(info) = &to.member.instance
        {
            self.mark_leaving(&to.member.daemon, &info.key());
        }
        ForwardResult::Replied(Dispatched {
            outcome: reply.outcome,
            res: is_answered.then_some(res),
        })
    }

    /// Returns the data that this daemon serves to peers at a path, or `None` for an unknown path.
    fn shared_state(&self, path: &str) -> Option<Bytes> {
        match path {
            CONFIG_PATH => Some(self.compressed_config.borrow().clone()),
            MEMBERS_PATH => {
                let directory = self.directory.borrow();
                let members: Vec<&Member> = directory.entries().map(|e| &e.member).collect();
                Some(codec::encode(&members))
            }
            _ => None,
        }
    }

    /// Returns this daemon's member record if a refusal shows that the caller holds an outdated
    /// one.
    fn corrected_announcement(&self, reason: NotRunReason) -> Option<Member> {
        match reason {
            NotRunReason::Leaving | NotRunReason::WrongVersion | NotRunReason::Unreachable => {
                self.refresh_own_member();
                self.own_member()
            }
            _ => None,
        }
    }

    /// Marks a peer as one to fetch from if its configuration is newer.
    pub fn record_config_version(&self, version: mesh::ConfigVersion, at: SocketAddr) {
        if version > self.active_table.borrow().version() {
            self.config_sources
                .borrow_mut()
                .record(at, version, Instant::now());
        }
    }

    /// Probes a peer and returns once it sent no message for [`SILENCE_TIMEOUT`].
    async fn wait_for_silence(&self, daemon: &DaemonId, address: SocketAddr) {
        monoio::time::sleep(PROBE_DELAY).await;
        let mut since = Instant::now();
        loop {
            self.send_probe(address).await;
            monoio::time::sleep(PROBE_INTERVAL).await;
            if self.has_contact_since(daemon, since) {
                monoio::time::sleep(PROBE_DELAY).await;
                since = Instant::now();
            } else if since.elapsed() >= SILENCE_TIMEOUT {
                self.log_state(
                    "daemon-silent",
                    || json!({ "daemon": daemon, "silent_ms": since.elapsed().as_millis() }),
                );
                return;
            }
        }
    }
}

/// Handles requests from other daemons.
pub struct PeerHandler {
    pub node: SharedNode,
}

impl Handler for PeerHandler {
    async fn handle(&self, mut req: Request) -> Response {
        if req.header(CALL_HEADER).is_none()
            && let Some(body) = self.node.shared_state(req.path())
        {
            return Response::new(StatusCode::OK, body);
        }
        if req.path() == DEPARTURES_PATH && req.header(CALL_HEADER).is_none() {
            return Box::pin(self.node.write_for_peer(&req.body.to_bytes())).await;
        }
        if req.path() == TRANSFER_PATH && req.header(CALL_HEADER).is_none() {
            return match self.node.answer_grant(&req).await {
                Some(outcome) => self.node.encode_reply(outcome, None, None),
                None => Response::text(StatusCode::BAD_REQUEST, "unreadable head"),
            };
        }
        let head = req
            .header(CALL_HEADER)
            .map(codec::decode_header_value::<ForwardHead>);
        let Some(Ok(head)) = head else {
            log::warn!("peer request with a missing or unreadable head");
            return Response::text(StatusCode::BAD_REQUEST, "unreadable head");
        };
        self.node.record_transfer(Direction::In, req.wire_size());
        req.headers.remove(CALL_HEADER);
        let waiting = match req.headers.remove(REDIRECTABLE_HEADER) {
            Some(_) => Waiting::Redirectable,
            None => Waiting::Allowed,
        };
        self.node.transfers.end(&head.request);
        let now = Instant::now();
        let arrived = now.checked_sub(self.node.stood_still()).unwrap_or(now);
        let result = Box::pin(self.node.dispatch(&head, req, arrived, waiting)).await;
        let crash = match result.outcome {
            ForwardOutcome::Unknown => self.node.crash_of(&head),
            _ => None,
        };
        self.node.encode_reply(result.outcome, result.res, crash)
    }

    fn refuse(&self, head: Option<&RawHead>) -> Response {
        let outcome = self.node.refuse_unread_of_peer(head);
        self.node.encode_reply(outcome, None, None)
    }
}

impl Node {
    /// Builds the reply to a peer from the outcome of its request and the response of the instance.
    fn encode_reply(
        &self,
        outcome: ForwardOutcome,
        res: Option<Response>,
        crash: Option<CrashReport>,
    ) -> Response {
        let member = match &outcome {
            ForwardOutcome::NotRun(not_run) => self.corrected_announcement(not_run.reason),
            // The caller may not have received the notice.
            _ if self.closing.is_set() => self.own_member(),
            _ => None,
        };
        let reply = ForwardReply {
            outcome,
            report: self.load_report(),
            config: self.active_table.borrow().version(),
            member,
            crash,
        };
        let res = res.unwrap_or_else(|| Response::new(StatusCode::SERVICE_UNAVAILABLE, ""));
        self.record_transfer(Direction::Out, res.wire_size());
        res.with_header(OUTCOME_HEADER, codec::encode_header_value(&reply))
    }
}

/// Builds the refusal for a request that was not sent.
pub fn not_sent(after: Duration) -> NotRun {
    NotRun {
        reason: NotRunReason::Unreachable,
        retry_after: Some(after),
    }
}
