//! Records from the log to this daemon and from it to its children.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Request;
use http_edge::Response;
use platform::Follower;
use platform::LogCfg;
use platform::Progress;
use protocol::codec;

use crate::board::Board;

/// Longest time that the log may hold a read open.
const LONG_POLL: Duration = Duration::from_secs(1);

/// Folds the log into the state on the board.
pub struct Feed {
    board: Board,
}

impl Feed {
    /// Starts to read.
    #[must_use]
    pub fn start(board: &Board) -> Rc<Self> {
        let feed = Rc::new(Self {
            board: board.clone(),
        });
        monoio::spawn(Rc::clone(&feed).run());
        feed
    }

    /// One exchange with a child.
    pub fn feed(&self, _req: &Request) -> Response {
        Response::text(StatusCode::NOT_FOUND, "no feed")
    }

    /// Whole state for a daemon that starts.
    pub fn snapshot(&self, _req: &Request) -> Response {
        Response::new(StatusCode::OK, codec::encode(&*self.board.state.get()))
    }

    async fn run(self: Rc<Self>) {
        let cfg = log_cfg(&self.board);
        let mut follower = Follower::cold(self.board.me.settings.log.address, cfg);
        loop {
            match follower.advance(LONG_POLL).await {
                Progress::Folded(folded) => {
                    for one in folded {
                        log::info!("feed: offset {}: {:?}", one.record.offset, one.applied);
                    }
                    self.board.state.set(follower.state().clone());
                }
                Progress::Restored => self.board.state.set(follower.state().clone()),
                Progress::Failed(e) => log::warn!("feed: cannot read the log: {e}"),
                Progress::CaughtUp | Progress::NoSnapshot | Progress::Waited => {}
            }
        }
    }
}

/// Settings of clients of the log.
pub(crate) fn log_cfg(board: &Board) -> LogCfg {
    let settings = &board.me.settings;
    LogCfg {
        connect: settings.timing.connect,
        timeout: settings.log.timeout,
        seed: base::hash::stable(&[settings.daemon.as_bytes()]),
        ..LogCfg::default()
    }
}
