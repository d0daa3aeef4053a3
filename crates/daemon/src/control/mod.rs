//! The controller: claims the epoch, renews the lease and decides about moves.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::FastMap;
use base::ServiceName;
use base::Share;
use base::VersionName;
use base::units::unix_millis;
use http::StatusCode;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use ledger::Entry;
use ledger::Phase;
use ledger::Record;
use platform::LogClient;
use protocol::codec;
use protocol::feed::Lease;
use protocol::feed::TakeBackFact;
use protocol::paths;
use serde::Deserialize;
use serde::Serialize;

use crate::board::Board;
use crate::calls::Observation;
use crate::calls::UpstreamSide;
use crate::feed::log_cfg;

const TICK: Duration = Duration::from_millis(250);
const SILENCE: Duration = Duration::from_secs(3);
const STEPS: [Share; 4] = [50, 200, 500, 1000];
const MIN_CALLS: u64 = 20;

/// Counts of one version, or a lease, from one daemon to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    Counts {
        daemon: String,
        service: ServiceName,
        version: VersionName,
        calls: u64,
        failed: u64,
    },
    Lease {
        lease: Lease,
        facts: Vec<TakeBackFact>,
    },
}

type Key = (String, ServiceName, VersionName);

/// The control part of one daemon.
pub struct Control {
    board: Board,
    pool: Pool,
    own: RefCell<FastMap<(ServiceName, VersionName), (u64, u64)>>,
    counts: RefCell<FastMap<Key, (u64, u64)>>,
}

impl Control {
    /// Starts to watch for the controller, and to act as one when it is this daemon's turn.
    #[must_use]
    pub fn start(board: &Board, calls: &UpstreamSide) -> Rc<Self> {
        let control = Rc::new(Self {
            board: board.clone(),
            pool: Pool::new(PoolCfg::default()),
            own: RefCell::default(),
            counts: RefCell::default(),
        });
        monoio::spawn(Rc::clone(&control).observe(calls.observations()));
        monoio::spawn(Rc::clone(&control).run());
        control
    }

    /// Takes in counts or a lease.
    pub fn evidence(&self, req: &Request) -> Response {
        match codec::decode::<Message>(&req.body) {
            Ok(Message::Counts {
                daemon,
                service,
                version,
                calls,
                failed,
            }) => {
                self.counts
                    .borrow_mut()
                    .insert((daemon, service, version), (calls, failed));
                Response::new(StatusCode::OK, "")
            }
            Ok(Message::Lease { lease, facts }) => {
                self.board.merge_lease(lease);
                self.board.merge_facts(facts);
                Response::new(StatusCode::OK, "")
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn observe(self: Rc<Self>, mut rx: local_sync::mpsc::unbounded::Rx<Observation>) {
        while let Some(seen) = rx.recv().await {
            let mut own = self.own.borrow_mut();
            let counts = own.entry((seen.service, seen.version)).or_default();
            counts.0 += 1;
            counts.1 += u64::from(seen.failed);
        }
    }

    async fn run(self: Rc<Self>) {
        let log = &self.board.me.settings.log;
        let client = LogClient::new(log.address, log.stream.clone(), log_cfg(&self.board));
        let me = self.board.me.settings.daemon.clone();
        let started = Instant::now();
        let mut sequence = 0;
        loop {
            monoio::time::sleep(TICK).await;
            let state = self.board.state.get();
            let is_controller = state.controller.as_ref() == Some(&me);
            if is_controller {
                sequence += 1;
                let lease = Lease {
                    epoch: state.epoch,
                    sequence,
                };
                self.board.merge_lease(lease);
                self.share(lease).await;
                self.decide(&client, &state).await;
            } else {
                self.report(&state).await;
                let heard = self.board.lease.get().at.unwrap_or(started);
                let peers = self.board.peers.get();
                let is_first = peers.iter().map(|peer| &peer.daemon).min() == Some(&me);
                if is_first && heard.elapsed() > SILENCE {
                    let claim = Record::Claim {
                        epoch: state.epoch + 1,
                        controller: me.clone(),
                    };
                    self.append(&client, claim).await;
                }
            }
        }
    }

    async fn append(&self, client: &LogClient, record: Record) {
        let id = format!("{:032x}", rand::random::<u128>()).into();
        let entry = Entry {
            id,
            at: unix_millis(SystemTime::now()),
            record,
        };
        if let Err(e) = client.append(&entry).await {
            log::warn!("control: cannot append: {e}");
        }
    }

    async fn share(&self, lease: Lease) {
        let facts = self.board.facts.get().iter().cloned().collect();
        self.send_all(&Message::Lease { lease, facts }).await;
    }

    async fn send_all(&self, message: &Message) {
        let own = self.board.me.settings.listen.peers;
        for peer in self
            .board
            .peers
            .get()
            .iter()
            .filter(|peer| peer.address != own)
        {
            self.send(peer.address, message).await;
        }
    }

    async fn send(&self, address: std::net::SocketAddr, message: &Message) {
        let Ok(mut conn) = self.pool.take(address).await else {
            return;
        };
        let req = Request::post(paths::EVIDENCE, codec::encode(message));
        if conn.call(req, Duration::from_millis(500)).await.is_ok() {
            self.pool.put(conn);
        }
    }

    async fn report(&self, state: &ledger::State) {
        let Some(controller) = &state.controller else {
            return;
        };
        let peers = self.board.peers.get();
        let Some(peer) = peers.iter().find(|peer| peer.daemon == *controller) else {
            return;
        };
        let me = self.board.me.settings.daemon.to_string();
        let own: Vec<_> = self
            .own
            .borrow()
            .iter()
            .map(|(key, counts)| (key.clone(), *counts))
            .collect();
        for ((service, version), (calls, failed)) in own {
            let message = Message::Counts {
                daemon: me.clone(),
                service,
                version,
                calls,
                failed,
            };
            self.send(peer.address, &message).await;
        }
    }

    fn total(&self, service: &ServiceName, version: &VersionName) -> (u64, u64) {
        let counts = self.counts.borrow();
        let matching = counts
            .iter()
            .filter(|((_, s, v), _)| s == service && v == version);
        let mut total = matching.fold((0, 0), |sum, (_, counts)| {
            (sum.0 + counts.0, sum.1 + counts.1)
        });
        if let Some(own) = self.own.borrow().get(&(service.clone(), version.clone())) {
            total = (total.0 + own.0, total.1 + own.1);
        }
        total
    }

    async fn decide(&self, client: &LogClient, state: &ledger::State) {
        for (name, service) in &state.services {
            let Some(moving) = &service.moving else {
                continue;
            };
            let (calls, failed) = self.total(name, &moving.to);
            if failed * 5 > calls && failed >= 3 {
                let fact = TakeBackFact {
                    ticket: moving.ticket,
                    service: name.clone(),
                    reason: format!("{failed} of {calls} calls failed").into(),
                };
                self.board.merge_facts([fact.clone()]);
                let record = Record::TakeBack {
                    ticket: fact.ticket,
                    service: fact.service,
                    reason: fact.reason,
                };
                self.append(client, record).await;
                return;
            }
            let (epoch, ticket, service) = (state.epoch, moving.ticket, name.clone());
            let next = STEPS.iter().position(|share| *share > moving.share);
            let now = unix_millis(SystemTime::now());
            let needed = MIN_CALLS * next.unwrap_or(STEPS.len()) as u64;
            match (moving.phase, next) {
                (Phase::Ramping, Some(next)) if calls >= needed => {
                    let record = Record::Step {
                        epoch,
                        ticket,
                        service,
                        share: STEPS[next],
                    };
                    self.append(client, record).await;
                }
                (Phase::Watching(since), _) => {
                    let watch =
                        u64::try_from(state.services[name].policy.watch.as_millis()).unwrap_or(0);
                    if now > since + watch {
                        self.append(
                            client,
                            Record::Finish {
                                epoch,
                                ticket,
                                service,
                            },
                        )
                        .await;
                    }
                }
                _ => {}
            }
        }
    }
}
