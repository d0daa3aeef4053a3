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

/// Longest wait for the answer to a sync.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Ticks in one protocol period.
const TICKS_PER_PERIOD: u32 = 10;

/// Syncs answered between two ticks; a herd spreads over other members and comes again.
const SYNCS_PER_TICK: u32 = 4;

/// Periods after which a daemon that reaches no seed goes on alone.
const PERIODS_TO_JOIN: u32 = 10;

/// Datagrams wait here for the gossip task; while it is full, the system drops them.
pub(super) async fn receive(
    socket: Rc<DatagramSocket>,
    tx: bounded::Tx<Event>,
    traffic: Rc<Traffic>,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (returned, len, from) = socket.receive(buf).await;
        buf = returned;
        traffic.received(len);
        let Ok(message) = codec::decode::<Message>(&buf[..len]) else {
            log::debug!("members: unreadable datagram from {from}");
            continue;
        };
        if tx.send(Event::Datagram { from, message }).await.is_err() {
            return;
        }
    }
}

/// Owns the member list; everything else reaches it by events.
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
    join_until: Instant,
    syncs_left: u32,
    upstream: Revision,
    is_dirty: bool,
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
            join_until: now + period * PERIODS_TO_JOIN,
            syncs_left: SYNCS_PER_TICK,
            upstream: 0,
            is_dirty: true,
        }
    }

    pub(super) async fn run(mut self, mut rx: bounded::Rx<Event>) {
        self.announce_upstream();
        loop {
            match self.wake(&mut rx).await {
                Wake::Event(event) => self.on_event(event).await,
                Wake::Tick => self.on_tick().await,
                Wake::Upstream(revision) => {
                    self.upstream = revision;
                    self.announce_upstream();
                }
                Wake::Closed => return,
            }
        }
    }

    async fn wake(&self, rx: &mut bounded::Rx<Event>) -> Wake {
        let pause = self.next_tick.saturating_duration_since(Instant::now());
        // Without this, a flood of datagrams would keep the ticks from running.
        if pause.is_zero() {
            return Wake::Tick;
        }
        monoio::select! {
            event = rx.recv() => event.map_or(Wake::Closed, Wake::Event),
            revision = self.shared.upstream.changed_since(self.upstream) => Wake::Upstream(revision),
            () = monoio::time::sleep(pause) => Wake::Tick,
        }
    }

    async fn on_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Datagram { from, message } => {
                let outputs = self.swim.on_message(from, message, now);
                self.carry_out(outputs).await;
            }
            Event::SyncAsked { req, reply } => {
                if self.syncs_left > 0 {
                    self.syncs_left -= 1;
                    let _ = reply.send(self.swim.on_sync_request(&req));
                }
            }
            Event::SyncAnswered(reply) => {
                let outputs = self.swim.on_sync_reply(reply, now);
                self.carry_out(outputs).await;
            }
            Event::Silent(daemon) => self.swim.report_unreachable(&daemon),
            Event::Leave(done) => {
                let outputs = self.swim.leave(now);
                self.carry_out(outputs).await;
                let _ = done.send(());
            }
        }
    }

    async fn on_tick(&mut self) {
        let now = Instant::now();
        self.next_tick = now + self.tick;
        self.syncs_left = SYNCS_PER_TICK;
        let outputs = self.swim.on_tick(now);
        self.carry_out(outputs).await;
        let is_placed = self.swim.is_joined() || now >= self.join_until;
        if is_placed && self.placement.get().is_none() {
            self.is_dirty = true;
        }
        if self.is_dirty {
            self.is_dirty = false;
            self.publisher.publish(&self.shared, &self.swim, now);
            if is_placed {
                let placement = self.publisher.placement(&self.swim);
                self.placement.set_if_changed(Some(placement));
            }
        }
    }

    fn announce_upstream(&mut self) {
        let upstream = self.shared.upstream.get();
        self.swim
            .set_upstream(upstream.as_ref().as_ref().map(UpstreamInfo::from));
        self.is_dirty = true;
    }

    async fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, &message).await,
                Output::MemberChanged(daemon) => {
                    let state = self
                        .swim
                        .member(&daemon)
                        .map_or("gone", |it| it.state.name());
                    log::debug!("members: {daemon} is {state}");
                    self.is_dirty = true;
                }
                Output::Sync { with } => self.start_sync(with),
                Output::IncarnationRaised(incarnation) => {
                    log::warn!("members: an earlier process was ahead, now {incarnation}");
                    self.is_dirty = true;
                }
                Output::Superseded => {
                    log::error!("members: another process runs under this name, stop this one");
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        let buf = codec::encode(message);
        self.traffic.sent(buf.len());
        if let Err(e) = self.socket.send(buf, to).await {
            log::debug!("members: cannot send to {to}: {e}");
        }
    }

    fn start_sync(&self, with: SocketAddr) {
        let pool = Rc::clone(&self.pool);
        let traffic = Rc::clone(&self.traffic);
        let tx = self.tx.clone();
        let body = codec::encode(&self.swim.sync_request());
        traffic.sent(body.len());
        monoio::spawn(async move {
            let Some(reply) = sync(&pool, with, Request::post(paths::MEMBERS, body)).await else {
                log::info!("members: no sync with {with}");
                return;
            };
            traffic.received(reply.len());
            if let Ok(reply) = codec::decode(&reply) {
                let _ = tx.send(Event::SyncAnswered(reply)).await;
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
