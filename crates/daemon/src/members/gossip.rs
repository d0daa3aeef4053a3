//! The task that owns the member list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::DatagramSocket;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use local_sync::mpsc::bounded;
use membership::Fanout;
use membership::Member;
use membership::MemberState;
use membership::Message;
use membership::Output;
use membership::Swim;
use membership::SwimConfig;
use membership::UpstreamInfo;
use membership::message::MAX_DATAGRAM;
use protocol::codec;
use protocol::paths;

use super::Event;
use super::Members;
use super::Placement;
use super::Traffic;
use super::publish::Publisher;
use crate::shared_state::SharedState;
use crate::watch::Revision;
use crate::watch::Watch;

/// Timeout of a sync with another member.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Ticks in one protocol period.
const TICKS_PER_PERIOD: u32 = 10;

/// Syncs answered between two ticks. When many daemons start at once, the refused ones retry with
/// other members.
const SYNCS_PER_TICK: u32 = 4;

/// Protocol periods after which a daemon that reaches no seed proceeds alone.
const PERIODS_TO_JOIN: u32 = 10;

/// Passes datagrams to the gossip task. While its queue is full, the operating system drops
/// datagrams.
pub(super) async fn receive(
    socket: Rc<DatagramSocket>,
    tx: bounded::Tx<Event>,
    traffic: Rc<Traffic>,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (returned, len, from) = socket.receive(buf).await;
        buf = returned;
        traffic.record_received(len);
        let Ok(message) = codec::decode::<Message>(&buf[..len]) else {
            log::debug!("members: unreadable datagram from {from}");
            continue;
        };
        if tx.send(Event::Datagram { from, message }).await.is_err() {
            return;
        }
    }
}

/// Owns the member list; all other tasks access it through events.
pub(super) struct Gossip {
    shared: SharedState,
    swim: Swim,
    socket: Rc<DatagramSocket>,
    tx: bounded::Tx<Event>,
    pool: Rc<Pool>,
    traffic: Rc<Traffic>,
    placement: Watch<Option<Placement>>,
    publisher: Publisher,
    tick: Duration,
    next_tick: Instant,
    join_deadline: Instant,
    syncs_left: u32,
    upstream_revision: Revision,
    needs_publish: bool,
}

enum Wake {
    Event(Event),
    Tick,
    Upstream(Revision),
    Closed,
}

impl Gossip {
    pub(super) fn new(
        shared: &SharedState,
        socket: Rc<DatagramSocket>,
        tx: bounded::Tx<Event>,
        members: &Members,
    ) -> Self {
        let settings = &shared.daemon_cfg.settings;
        let now = Instant::now();
        let cfg = SwimConfig::with_period(settings.timing.probe_every, settings.timing.suspicion);
        let period = cfg.period;
        let seed = base::hash::stable(&[
            settings.daemon.as_bytes(),
            &shared.daemon_cfg.incarnation.to_le_bytes(),
        ]);
        let fanout = Fanout {
            readers_per_zone: settings.fanout.readers_per_zone as usize,
            degree: settings.fanout.degree as usize,
        };
        Self {
            swim: Swim::new(cfg, own_record(shared), &settings.seeds, seed, now),
            publisher: Publisher::new(fanout),
            shared: shared.clone(),
            socket,
            tx,
            pool: Rc::new(Pool::new(PoolCfg::default())),
            traffic: Rc::clone(&members.traffic),
            placement: members.placement.clone(),
            tick: period / TICKS_PER_PERIOD,
            next_tick: now,
            join_deadline: now + period * PERIODS_TO_JOIN,
            syncs_left: SYNCS_PER_TICK,
            upstream_revision: 0,
            needs_publish: true,
        }
    }

    pub(super) async fn run(mut self, mut rx: bounded::Rx<Event>) {
        self.update_upstream();
        loop {
            match self.wake(&mut rx).await {
                Wake::Event(event) => self.on_event(event).await,
                Wake::Tick => self.on_tick().await,
                Wake::Upstream(revision) => {
                    self.upstream_revision = revision;
                    self.update_upstream();
                }
                Wake::Closed => return,
            }
        }
    }

    async fn wake(&self, rx: &mut bounded::Rx<Event>) -> Wake {
        let pause = self.next_tick.saturating_duration_since(Instant::now());
        // A flood of datagrams must not delay the ticks.
        if pause.is_zero() {
            return Wake::Tick;
        }
        monoio::select! {
            event = rx.recv() => event.map_or(Wake::Closed, Wake::Event),
            revision = self.shared.upstream.changed_since(self.upstream_revision) => Wake::Upstream(revision),
            () = monoio::time::sleep(pause) => Wake::Tick,
        }
    }

    async fn on_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Datagram { from, message } => {
                let outputs = self.swim.on_message(from, message, now);
                self.execute(outputs).await;
            }
            Event::SyncRequested { req, reply } => {
                if self.syncs_left > 0 {
                    self.syncs_left -= 1;
                    let _ = reply.send(self.swim.on_sync_request(&req));
                }
            }
            Event::SyncReplied(reply) => {
                let outputs = self.swim.on_sync_reply(reply, now);
                self.execute(outputs).await;
            }
            Event::Unreachable(daemon) => self.swim.report_unreachable(&daemon),
            Event::Leave(done) => {
                let outputs = self.swim.leave(now);
                self.execute(outputs).await;
                let _ = done.send(());
            }
        }
    }

    async fn on_tick(&mut self) {
        let now = Instant::now();
        self.next_tick = now + self.tick;
        self.syncs_left = SYNCS_PER_TICK;
        let outputs = self.swim.on_tick(now);
        self.execute(outputs).await;
        let is_placed = self.swim.is_joined() || now >= self.join_deadline;
        if is_placed && self.placement.get().is_none() {
            self.needs_publish = true;
        }
        if self.needs_publish {
            self.needs_publish = false;
            self.publisher.publish(&self.shared, &self.swim, now);
            if is_placed {
                let placement = self.publisher.placement(&self.swim);
                self.placement.set_if_changed(Some(placement));
            }
        }
    }

    fn update_upstream(&mut self) {
        let upstream = self.shared.upstream.get();
        self.swim
            .set_upstream(upstream.as_ref().as_ref().map(UpstreamInfo::from));
        self.needs_publish = true;
    }

    async fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, &message).await,
                Output::MemberChanged(daemon) => {
                    let state = self
                        .swim
                        .member(&daemon)
                        .map_or("gone", |it| it.state.name());
                    log::debug!("members: {daemon} is {state}");
                    self.needs_publish = true;
                }
                Output::Sync { with } => self.start_sync(with),
                Output::IncarnationRaised(incarnation) => {
                    log::warn!(
                        "members: an earlier process had a higher incarnation, now {incarnation}"
                    );
                    self.needs_publish = true;
                }
                Output::Superseded => {
                    log::error!(
                        "members: another process runs under the same daemon name; stop this one"
                    );
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        let buf = codec::encode(message);
        self.traffic.record_sent(buf.len());
        if let Err(e) = self.socket.send(buf, to).await {
            log::debug!("members: cannot send to {to}: {e}");
        }
    }

    fn start_sync(&self, with: SocketAddr) {
        let pool = Rc::clone(&self.pool);
        let traffic = Rc::clone(&self.traffic);
        let tx = self.tx.clone();
        let body = codec::encode(&self.swim.sync_request());
        traffic.record_sent(body.len());
        monoio::spawn(async move {
            let Some(reply) = sync(&pool, with, Request::post(paths::MEMBERS, body)).await else {
                log::info!("members: sync with {with} failed");
                return;
            };
            traffic.record_received(reply.len());
            if let Ok(reply) = codec::decode(&reply) {
                let _ = tx.send(Event::SyncReplied(reply)).await;
            }
        });
    }
}

async fn sync(pool: &Pool, with: SocketAddr, req: Request) -> Option<bytes::Bytes> {
    let mut conn = pool.take(with).await.ok()?;
    let Ok(res) = conn.call(req, SYNC_TIMEOUT).await else {
        pool.close_idle(with);
        return None;
    };
    pool.put(conn);
    (res.status == StatusCode::OK).then_some(res.body)
}

fn own_record(shared: &SharedState) -> Member {
    let settings = &shared.daemon_cfg.settings;
    Member {
        daemon: settings.daemon.clone(),
        incarnation: shared.daemon_cfg.incarnation,
        version: 0,
        address: settings.listen.peers,
        zone: settings.zone.clone(),
        upstream: None,
        state: MemberState::Alive,
    }
}
