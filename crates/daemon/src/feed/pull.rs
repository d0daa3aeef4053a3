//! Pulls new records, lease and rollbacks from a parent or another reader.

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

use super::state::CFG;
use super::state::FeedState;
use crate::members::Members;
use crate::members::Placement;
use crate::meter::Meter;

/// Time for the reply, in addition to the time for which the parent may hold the request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest reply in bytes; one with complete state is the largest.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Pulls until the daemon ends.
pub(super) async fn run(feed: Rc<FeedState>, members: Rc<Members>) {
    let pool = Pool::new(PoolCfg {
        limits: Limits {
            max_body_bytes: MAX_REPLY_BYTES,
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
            .map_or_else(Vec::new, |it| parents(&feed, it));
        selector.set_parents(parents);
        let Some(parent) = selector.parent().cloned() else {
            members.placement().changed_since(seen).await;
            continue;
        };
        match exchange(&feed, &pool, &selector, &parent).await {
            Some(reply) => on_reply(&feed, &mut selector, placement.as_ref().as_ref(), reply).await,
            None => on_no_reply(&feed, &members, &mut selector, parent).await,
        }
    }
}

/// Parents in order of preference. A reader pulls lease and rollbacks from the controller, and from
/// other readers while the controller is unreachable. A cold reader, which may be the only one,
/// also pulls complete state from other members.
fn parents(feed: &FeedState, placement: &Placement) -> Vec<DaemonId> {
    let peers = match &placement.role {
        Role::Child { parents } => return parents.clone(),
        Role::Reader { peers } => peers,
    };
    let mut parents: Vec<DaemonId> = Vec::new();
    let controller = feed.shared.state.get().controller.clone();
    let sources = if feed.next_offset() == 0 {
        placement.sources.as_slice()
    } else {
        &[]
    };
    let known = controller.filter(|it| feed.address_of(it).is_some());
    for daemon in known.iter().chain(peers).chain(sources) {
        if *daemon != feed.shared.daemon_cfg.settings.daemon && !parents.contains(daemon) {
            parents.push(daemon.clone());
        }
    }
    parents
}

async fn exchange(
    feed: &FeedState,
    pool: &Pool,
    selector: &ParentSelector,
    parent: &DaemonId,
) -> Option<FeedReply> {
    let address = feed.address_of(parent)?;
    let req = Request::post(paths::FEED, codec::encode(&feed.request(selector)));
    let meter = &feed.shared.meter;
    meter.record_control_bytes(Purpose::Feed, Direction::Sent, req.wire_size());
    let reply = call(pool, address, req, meter).await;
    if reply.is_none() {
        // The idle connections may have failed in the same way.
        pool.close_idle(address);
    }
    reply
}

async fn call(pool: &Pool, address: SocketAddr, req: Request, meter: &Meter) -> Option<FeedReply> {
    let mut conn = pool.take(address).await.ok()?;
    let res = conn
        .call(req, CFG.hold_timeout + REPLY_TIMEOUT)
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
    feed: &FeedState,
    selector: &mut ParentSelector,
    placement: Option<&Placement>,
    reply: FeedReply,
) {
    let facts_tag = reply.facts_tag;
    let outcome = feed.apply_reply(reply);
    let is_reader = matches!(placement.map(|it| &it.role), Some(Role::Reader { .. }));
    // A reader gets its records from the log, so its peers may lag behind it.
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

async fn on_no_reply(
    feed: &FeedState,
    members: &Members,
    selector: &mut ParentSelector,
    parent: DaemonId,
) {
    log::info!("feed: no reply from {parent}");
    let pause = selector.on_failure(&mut feed.rng.borrow_mut());
    members.report_unreachable(parent).await;
    monoio::time::sleep(pause).await;
}
