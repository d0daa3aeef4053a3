//! Follows the log while this daemon is a reader of its zone.

use std::rc::Rc;
use std::time::Duration;

use ledger::State;
use membership::Role;
use platform::Follower;
use platform::Progress;
use platform::Usage;
use report::metrics::LogRequest;

use super::log_cfg;
use super::state::FeedState;
use crate::members::Members;

/// Longest time for which the log may hold a read without new records.
const LONG_POLL: Duration = Duration::from_secs(2);

pub(super) async fn run(feed: Rc<FeedState>, members: Rc<Members>) {
    loop {
        let seen = members.placement().revision();
        if is_reader(&members) {
            read(&feed, &members).await;
        } else {
            members.placement().changed_since(seen).await;
        }
    }
}

/// Follows the log until this daemon is no longer a reader.
async fn read(feed: &FeedState, members: &Members) {
    log::info!("feed: this daemon is now a reader of the log");
    let mut follower = follower(feed);
    let mut usage = Usage::default();
    while is_reader(members) {
        let progress = follower.advance(LONG_POLL).await;
        usage = feed
            .shared
            .meter
            .record_log_usage(LogRequest::Read, usage, follower.log().usage());
        match progress {
            Progress::Folded(folded) => feed.fold(folded.into_iter().map(|it| it.record).collect()),
            Progress::Restored => feed.load_state(follower.state()),
            Progress::Failed(e) => {
                log::warn!("feed: cannot read the log: {e}");
                // A peer may have delivered records while the log failed: resume after them.
                if feed.next_offset() > follower.state().next {
                    follower = self::follower(feed);
                    usage = Usage::default();
                }
            }
            Progress::CaughtUp | Progress::NoSnapshot | Progress::Waited => {}
        }
    }
    log::info!("feed: this daemon is no longer a reader of the log");
}

fn follower(feed: &FeedState) -> Follower {
    let address = feed.shared.daemon_cfg.settings.log.address;
    let cfg = log_cfg(&feed.shared);
    let streams = feed.shared.daemon_cfg.streams();
    if feed.next_offset() == 0 {
        return Follower::cold_start(address, cfg).with_streams(&streams);
    }
    let state = State::clone(&feed.shared.state.get());
    Follower::resume(address, cfg, state).with_streams(&streams)
}

fn is_reader(members: &Members) -> bool {
    let placement = members.placement().get();
    matches!(
        placement.as_ref().as_ref().map(|it| &it.role),
        Some(Role::Reader { .. })
    )
}
