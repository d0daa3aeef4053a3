//! Reads the log while this daemon is one of its zone's readers.

use std::rc::Rc;
use std::time::Duration;

use ledger::State;
use membership::Role;
use platform::Follower;
use platform::Progress;
use platform::Usage;
use report::metrics::LogRequest;

use super::hub::Hub;
use super::log_cfg;
use crate::members::Members;

/// Longest time that the log may hold a read open.
const LONG_POLL: Duration = Duration::from_secs(2);

pub(super) async fn run(hub: Rc<Hub>, members: Rc<Members>) {
    loop {
        let seen = members.placement().revision();
        if is_reader(&members) {
            read(&hub, &members).await;
        } else {
            members.placement().changed_since(seen).await;
        }
    }
}

/// Follows the log until another member is placed as the reader.
async fn read(hub: &Hub, members: &Members) {
    log::info!("feed: reads the log");
    let mut follower = follower(hub);
    let mut usage = Usage::default();
    while is_reader(members) {
        let progress = follower.advance(LONG_POLL).await;
        usage = hub
            .shared
            .meter
            .record_log_usage(LogRequest::Read, usage, follower.log().usage());
        match progress {
            Progress::Folded(folded) => hub.fold(folded.into_iter().map(|it| it.record).collect()),
            Progress::Restored => hub.load(follower.state()),
            Progress::Failed(e) => {
                log::warn!("feed: cannot read the log: {e}");
                // A peer may have brought what the log could not.
                if hub.next() > follower.state().next {
                    follower = self::follower(hub);
                    usage = Usage::default();
                }
            }
            Progress::CaughtUp | Progress::NoSnapshot | Progress::Waited => {}
        }
    }
    log::info!("feed: leaves the log to other readers");
}

fn follower(hub: &Hub) -> Follower {
    let address = hub.shared.daemon_cfg.settings.log.address;
    let cfg = log_cfg(&hub.shared);
    let streams = hub.shared.daemon_cfg.streams();
    if hub.next() == 0 {
        return Follower::cold_start(address, cfg).with_streams(&streams);
    }
    let state = State::clone(&hub.shared.state.get());
    Follower::resume(address, cfg, state).with_streams(&streams)
}

fn is_reader(members: &Members) -> bool {
    let placement = members.placement().get();
    matches!(
        placement.as_ref().as_ref().map(|it| &it.role),
        Some(Role::Reader { .. })
    )
}
