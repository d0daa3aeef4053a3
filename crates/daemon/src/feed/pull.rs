//! Asks a parent, or another reader, for what is new.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::DaemonId;
use http::StatusCode;
use http_edge::Limits;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use membership::Role;
use membership::feed::ParentOffset;
use membership::feed::Uplink;
use protocol::codec;
use protocol::feed::FeedReply;
use protocol::paths;
use report::metrics::Direction;
use report::metrics::Purpose;

use super::hub::CFG;
use super::hub::Hub;
use crate::members::Members;
use crate::members::Placement;
use crate::meter::Meter;

/// Time for an answer beside the time for which the parent may hold the request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer, in bytes; whole state is the largest.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Runs for as long as the daemon does.
pub(super) async fn run(hub: Rc<Hub>, members: Rc<Members>) {
    let pool = Pool::new(PoolCfg {
        limits: Limits {
            body: MAX_ANSWER,
            ..Limits::default()
        },
        ..PoolCfg::default()
    });
    let mut uplink = Uplink::default();
    loop {
        let seen = members.placement().revision();
        let placement = members.placement().get();
        let parents = placement
            .as_ref()
            .as_ref()
            .map_or_else(Vec::new, |it| parents(&hub, it));
        uplink.set_parents(parents);
        let Some(parent) = uplink.parent().cloned() else {
            members.placement().newer_than(seen).await;
            continue;
        };
        match exchange(&hub, &pool, &uplink, &parent).await {
            Some(reply) => on_reply(&hub, &mut uplink, placement.as_ref().as_ref(), reply).await,
            None => on_silence(&hub, &members, &mut uplink, parent).await,
        }
    }
}

/// A reader asks the controller for lease and facts, and other readers while that is silent.
/// A cold one, which may be the only reader, also asks others for whole state.
fn parents(hub: &Hub, placement: &Placement) -> Vec<DaemonId> {
    let peers = match &placement.role {
        Role::Child { parents } => return parents.clone(),
        Role::Reader { peers } => peers,
    };
    let mut parents: Vec<DaemonId> = Vec::new();
    let controller = hub.board.state.get().controller.clone();
    let sources = if hub.next() == 0 {
        placement.sources.as_slice()
    } else {
        &[]
    };
    let known = controller.filter(|it| hub.address_of(it).is_some());
    for daemon in known.iter().chain(peers).chain(sources) {
        if *daemon != hub.board.me.settings.daemon && !parents.contains(daemon) {
            parents.push(daemon.clone());
        }
    }
    parents
}

async fn exchange(hub: &Hub, pool: &Pool, uplink: &Uplink, parent: &DaemonId) -> Option<FeedReply> {
    let address = hub.address_of(parent)?;
    let req = Request::post(paths::FEED, codec::encode(&hub.request(uplink)));
    let meter = &hub.board.meter;
    meter.control(Purpose::Feed, Direction::Sent, req.wire_size());
    let reply = call(pool, address, req, meter).await;
    if reply.is_none() {
        // Whatever made this connection silent may have hit the idle ones too.
        pool.forget(address);
    }
    reply
}

async fn call(pool: &Pool, address: SocketAddr, req: Request, meter: &Meter) -> Option<FeedReply> {
    let mut conn = pool.take(address).await.ok()?;
    let res = conn.call(req, CFG.hold + ANSWER_TIMEOUT).await.ok()?;
    pool.put(conn);
    meter.control(Purpose::Feed, Direction::Received, res.wire_size());
    if res.status != StatusCode::OK {
        return None;
    }
    codec::decode(&res.body).ok()
}

async fn on_reply(hub: &Hub, uplink: &mut Uplink, placement: Option<&Placement>, reply: FeedReply) {
    let facts_tag = reply.facts_tag;
    let taken = hub.take(reply);
    let is_reader = matches!(placement.map(|it| &it.role), Some(Role::Reader { .. }));
    // A reader has its records from the log: its peers may well lag.
    let offset = if is_reader {
        ParentOffset::Level
    } else {
        taken.parent
    };
    uplink.on_reply(facts_tag, offset);
    if let Some(after) = taken.retry_after {
        monoio::time::sleep(after).await;
    }
}

async fn on_silence(hub: &Hub, members: &Members, uplink: &mut Uplink, parent: DaemonId) {
    log::info!("feed: {parent} is silent");
    let pause = uplink.on_silence(&mut hub.rng.borrow_mut());
    members.report_silent(parent).await;
    monoio::time::sleep(pause).await;
}
