//! Who is there: announcements of daemons and of the upstreams beside them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Incarnation;
use base::ZoneName;
use http::StatusCode;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use protocol::codec;
use protocol::paths;
use routing::Endpoint;
use routing::EndpointPhase;
use serde::Deserialize;
use serde::Serialize;

use crate::board::Board;
use crate::board::Leaving;
use crate::board::Peer;

/// Longest wait for the answer of a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a daemon says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Word {
    daemon: DaemonId,
    incarnation: Incarnation,
    /// Rises with each heartbeat.
    heartbeat: u64,
    address: SocketAddr,
    zone: ZoneName,
    upstream: Option<Announcement>,
    left: bool,
}

struct Known {
    word: Word,
    since: Instant,
    heard: Instant,
}

/// Keeps the list of live members.
pub struct Members {
    board: Board,
    pool: Pool,
    known: RefCell<BTreeMap<DaemonId, Known>>,
}

impl Members {
    /// Starts to exchange heartbeats.
    ///
    /// # Errors
    /// When a socket cannot be opened.
    #[allow(clippy::unnecessary_wraps)]
    pub fn start(board: &Board) -> io::Result<Rc<Self>> {
        let members = Rc::new(Self {
            board: board.clone(),
            pool: Pool::new(PoolCfg::default()),
            known: RefCell::default(),
        });
        monoio::spawn(Rc::clone(&members).run());
        Ok(members)
    }

    /// Tells the others that this daemon leaves.
    pub async fn leave(&self) {
        self.exchange_with_all().await;
    }

    /// Takes in the list of a peer and answers with this one's.
    pub fn sync(&self, req: &Request) -> Response {
        match codec::decode::<Vec<Word>>(&req.body) {
            Ok(words) => {
                self.merge(words);
                Response::new(StatusCode::OK, codec::encode(&self.words()))
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.merge(vec![self.own_word()]);
            self.publish();
            self.exchange_with_all().await;
            monoio::time::sleep(self.board.me.settings.timing.heartbeat).await;
        }
    }

    fn own_word(&self) -> Word {
        let me = &self.board.me;
        let own = self
            .known
            .borrow()
            .get(&me.settings.daemon)
            .map_or(0, |known| known.word.heartbeat);
        Word {
            daemon: me.settings.daemon.clone(),
            incarnation: me.incarnation,
            heartbeat: own + 1,
            address: me.settings.listen.peers,
            zone: me.settings.zone.clone(),
            upstream: (*self.board.upstream.get()).clone(),
            left: *self.board.leaving.get() != Leaving::No,
        }
    }

    fn words(&self) -> Vec<Word> {
        self.known
            .borrow()
            .values()
            .map(|known| known.word.clone())
            .collect()
    }

    async fn exchange_with_all(&self) {
        self.merge(vec![self.own_word()]);
        let own = self.board.me.settings.listen.peers;
        let mut addresses: Vec<_> = self.words().iter().map(|word| word.address).collect();
        addresses.extend(&self.board.me.settings.seeds);
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses.into_iter().filter(|address| *address != own) {
            self.exchange(address).await;
        }
    }

    async fn exchange(&self, address: SocketAddr) {
        let Ok(mut conn) = self.pool.take(address).await else {
            return;
        };
        let req = Request::post(paths::MEMBERS, codec::encode(&self.words()));
        let Ok(res) = conn.call(req, EXCHANGE_TIMEOUT).await else {
            return;
        };
        self.pool.put(conn);
        if let Ok(words) = codec::decode::<Vec<Word>>(&res.body) {
            self.merge(words);
        }
    }

    fn merge(&self, words: Vec<Word>) {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        for word in words {
            match known.get_mut(&word.daemon) {
                Some(old) if rank(&word) > rank(&old.word) => {
                    if word.incarnation > old.word.incarnation {
                        old.since = now;
                    }
                    old.word = word;
                    old.heard = now;
                }
                Some(_) => {}
                None => {
                    known.insert(
                        word.daemon.clone(),
                        Known {
                            word,
                            since: now,
                            heard: now,
                        },
                    );
                }
            }
        }
    }

    fn publish(&self) {
        let known = self.known.borrow();
        let patience = self.board.me.settings.timing.suspicion;
        let live = known
            .values()
            .filter(|known| !known.word.left && known.heard.elapsed() < patience);
        let live: Vec<_> = live.collect();
        self.board
            .peers
            .set_if_changed(live.iter().map(|known| peer(&known.word)).collect());
        self.board
            .endpoints
            .set_if_changed(live.iter().filter_map(|known| endpoint(known)).collect());
    }
}

fn rank(word: &Word) -> (Incarnation, u64) {
    (word.incarnation, word.heartbeat)
}

fn peer(word: &Word) -> Peer {
    Peer {
        daemon: word.daemon.clone(),
        incarnation: word.incarnation,
        address: word.address,
        zone: word.zone.clone(),
    }
}

fn endpoint(known: &Known) -> Option<Endpoint> {
    let announced = known.word.upstream.as_ref()?;
    let phase = match announced.phase {
        UpstreamPhase::Draining => EndpointPhase::Leaving,
        UpstreamPhase::Starting | UpstreamPhase::Serving => EndpointPhase::Serving,
    };
    Some(Endpoint {
        daemon: known.word.daemon.clone(),
        incarnation: known.word.incarnation,
        address: known.word.address,
        zone: known.word.zone.clone(),
        service: announced.service.clone(),
        version: announced.version.clone(),
        slots: announced.slots,
        cold_start: announced.cold_start,
        since: known.since,
        phase,
    })
}
