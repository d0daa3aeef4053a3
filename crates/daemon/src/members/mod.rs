//! Membership: gossip over UDP, syncs over the inner protocol, and the values that other parts
//! derive from them.

mod gossip;
mod publish;
mod traffic;

use std::io;
use std::rc::Rc;

use base::DaemonId;
use http::StatusCode;
use http_edge::DatagramSocket;
use http_edge::Request;
use http_edge::Response;
use local_sync::mpsc::bounded;
use local_sync::oneshot;
use membership::Message;
use membership::Role;
use membership::SyncReply;
use membership::SyncRequest;
use protocol::codec;

use self::gossip::Gossip;
pub use self::traffic::Traffic;
use crate::shared_state::SharedState;
use crate::watch::Watch;

/// Capacity of the gossip task's queue, in datagrams and commands.
const EVENT_QUEUE_LEN: usize = 256;

/// Position of this daemon in the fan-out tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Whether it reads the log or pulls from parents.
    pub role: Role,
    /// Members that may have complete state, in order of preference.
    pub sources: Vec<DaemonId>,
}

/// Input of the gossip task.
enum Event {
    Datagram {
        from: std::net::SocketAddr,
        message: Message,
    },
    SyncRequested {
        req: SyncRequest,
        reply: oneshot::Sender<SyncReply>,
    },
    SyncReplied(SyncReply),
    Unreachable(DaemonId),
    Leave(oneshot::Sender<()>),
}

/// Handle of the gossip task.
pub struct Members {
    tx: bounded::Tx<Event>,
    placement: Watch<Option<Placement>>,
    traffic: Rc<Traffic>,
}

impl Members {
    /// Opens the UDP socket and starts to join the fleet.
    ///
    /// # Errors
    /// When the socket cannot be opened.
    pub fn start(shared: &SharedState) -> io::Result<Rc<Self>> {
        let socket = Rc::new(DatagramSocket::open(
            shared.daemon_cfg.settings.listen.peers,
        )?);
        let (tx, rx) = bounded::channel(EVENT_QUEUE_LEN);
        let members = Rc::new(Self {
            tx: tx.clone(),
            placement: Watch::default(),
            traffic: Rc::new(Traffic::new(&shared.meter)),
        });
        monoio::spawn(gossip::receive(
            Rc::clone(&socket),
            tx.clone(),
            Rc::clone(&members.traffic),
        ));
        let gossip = Gossip::new(shared, socket, tx, &members);
        monoio::spawn(gossip.run(rx));
        Ok(members)
    }

    /// Placement of this daemon; `None` until it has joined, or proceeds alone because it reaches
    /// no seed.
    #[must_use]
    pub fn placement(&self) -> &Watch<Option<Placement>> {
        &self.placement
    }

    /// Counts of the messages that gossip and syncs have sent and received.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Announces to the other members that this daemon leaves.
    pub async fn leave(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Event::Leave(tx)).await.is_ok() {
            let _ = rx.await;
        }
    }

    /// Requests an early probe of a member that another part cannot reach.
    pub async fn report_unreachable(&self, daemon: DaemonId) {
        let _ = self.tx.send(Event::Unreachable(daemon)).await;
    }

    /// Answers a sync request of a peer; status 503 if too many arrive.
    pub async fn sync(&self, req: &Request) -> Response {
        let req = match codec::decode(&req.body.to_bytes()) {
            Ok(req) => req,
            Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let (reply, rx) = oneshot::channel();
        let _ = self.tx.send(Event::SyncRequested { req, reply }).await;
        let Ok(reply) = rx.await else {
            return Response::text(StatusCode::SERVICE_UNAVAILABLE, "too many syncs");
        };
        let body = codec::encode(&reply);
        self.traffic.record_sent(body.len());
        Response::new(StatusCode::OK, body)
    }
}
