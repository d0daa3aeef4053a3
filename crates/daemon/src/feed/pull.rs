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
use membership::feed::ParentSelector;
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
            max_body_bytes: MAX_ANSWER,
            ..Limits::default()
        },
        ..PoolCfg::default()
    });
    let mut selector = ParentSelector::default();
    loop {
        let seen = members.placement().revision();
        let placement = members.placement().get();
        let parents = placement
            .as_ref()
            .as_ref()
            .map_or_else(Vec::new, |it| parents(&hub, it));
        selector.set_parents(parents);
        let Some(parent) = selector.parent().cloned() else {
            members.placement().changed_since(seen).await;
            continue;
        };
        match exchange(&hub, &pool, &selector, &parent).await {
            Some(reply) => on_reply(&hub, &mut selector, placement.as_ref().as_ref(), reply).await,
            None => on_silence(&hub, &members, &mut selector, parent).await,
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
    let controller = hub.shared.state.get().controller.clone();
    let sources = if hub.next() == 0 {
        placement.sources.as_slice()
    } else {
        &[]
    };
    let known = controller.filter(|it| hub.address_of(it).is_some());
    for daemon in known.iter().chain(peers).chain(sources) {
        if *daemon != hub.shared.daemon_cfg.settings.daemon && !parents.contains(daemon) {
            parents.push(daemon.clone());
        }
    }
    parents
}

async fn exchange(
    hub: &Hub,
    pool: &Pool,
    selector: &ParentSelector,
    parent: &DaemonId,
) -> Option<FeedReply> {
    let address = hub.address_of(parent)?;
    let req = Request::post(paths::FEED, codec::encode(&hub.request(selector)));
    let meter = &hub.shared.meter;
    meter.record_control_bytes(Purpose::Feed, Direction::Sent, req.wire_size());
    let reply = call(pool, address, req, meter).await;
    if reply.is_none() {
        // Whatever made this connection silent may have hit the idle ones too.
        pool.close_idle(address);
    }
    reply
}

async fn call(pool: &Pool, address: SocketAddr, req: Request, meter: &Meter) -> Option<FeedReply> {
    let mut conn = pool.take(address).await.ok()?;
    let res = conn
        .call(req, CFG.hold_timeout + ANSWER_TIMEOUT)
        .await
        .ok()?;
    pool.put(conn);
    meter.record_control_bytes(Purpose::Feed, Direction::Received, res.wire_size());
    if res.status != StatusCode::OK {
        return None;
    }
    codec::decode(&res.body).ok()
}

async fn on_reply(
    hub: &Hub,
    selector: &mut ParentSelector,
    placement: Option<&Placement>,
    reply: FeedReply,
) {
    let facts_tag = reply.facts_tag;
    let outcome = hub.take(reply);
    let is_reader = matches!(placement.map(|it| &it.role), Some(Role::Reader { .. }));
    // A reader has its records from the log: its peers may well lag.
    let offset = if is_reader {
        ParentOffset::UpToDate
    } else {
        outcome.parent_offset
    };
    selector.on_reply(facts_tag, offset);
    if let Some(after) = outcome.retry_after {
        monoio::time::sleep(after).await;
    }
}

async fn on_silence(hub: &Hub, members: &Members, selector: &mut ParentSelector, parent: DaemonId) {
    log::info!("feed: {parent} is silent");
    let pause = selector.on_failure(&mut hub.rng.borrow_mut());
    members.report_unreachable(parent).await;
    monoio::time::sleep(pause).await;
}
