//! Connection pool: idle connections by peer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;

use crate::budget::MemoryBudget;
use crate::client::Conn;
use crate::error::ConnectError;
use crate::limits::Limits;

/// Settings of a [`Pool`].
#[derive(Debug, Clone, Copy)]
pub struct PoolCfg {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Connections that have been idle for longer are not reused; nor are those idle for half of the time
    /// that their peer states to keep them.
    pub idle_timeout: Duration,
    /// Connections that were opened longer ago are not reused.
    pub max_age: Duration,
    /// Maximum number of idle connections kept for each peer.
    pub max_idle_per_peer: usize,
    /// Size limits of responses.
    pub limits: Limits,
}

impl Default for PoolCfg {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(5),
            max_age: Duration::from_mins(1),
            max_idle_per_peer: 64,
            limits: Limits::default(),
        }
    }
}

/// Idle connections by peer; the most recently used is taken first.
pub struct Pool {
    cfg: PoolCfg,
    /// Memory that responses are charged to; `None` if they are not.
    budget: Option<MemoryBudget>,
    idle: RefCell<FastMap<SocketAddr, Vec<IdleConn>>>,
}

struct IdleConn {
    conn: Conn,
    idle_since: Instant,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(cfg: PoolCfg) -> Self {
        Self {
            cfg,
            budget: None,
            idle: RefCell::default(),
        }
    }

    /// Creates an empty pool that charges responses to a budget.
    #[must_use]
    pub fn within(cfg: PoolCfg, budget: MemoryBudget) -> Self {
        Self {
            budget: Some(budget),
            ..Self::new(cfg)
        }
    }

    /// Returns an idle connection to the peer, or opens a new one.
    ///
    /// # Errors
    /// When a new one is needed and cannot be opened.
    pub async fn take(&self, peer: SocketAddr) -> Result<Conn, ConnectError> {
        if let Some(conn) = self.take_idle(peer) {
            return Ok(conn);
        }
        self.connect_new(peer).await
    }

    /// Opens a new connection to the peer even if there are idle ones.
    ///
    /// # Errors
    /// When the connection cannot be opened.
    pub async fn connect_new(&self, peer: SocketAddr) -> Result<Conn, ConnectError> {
        let conn = Conn::connect(peer, self.cfg.connect_timeout, self.cfg.limits).await?;
        Ok(match &self.budget {
            Some(budget) => conn.within(budget.clone()),
            None => conn,
        })
    }

    /// Returns a connection to the pool; one that must not be reused is closed.
    pub fn put(&self, conn: Conn) {
        if !conn.is_reusable() || conn.opened_at().elapsed() > self.cfg.max_age {
            return conn.close();
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(conn.peer()).or_default();
        if conns.len() >= self.cfg.max_idle_per_peer {
            return conn.close();
        }
        conns.push(IdleConn {
            conn,
            idle_since: Instant::now(),
        });
    }

    /// Closes all idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Closes idle connections past their idle timeout or age limit; meant to be called
    /// periodically.
    pub fn close_expired(&self) {
        let cfg = self.cfg;
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain(|idle| is_fresh(idle, &cfg));
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&peer)?;
        while let Some(mut idle) = conns.pop() {
            if is_fresh(&idle, &self.cfg) && idle.conn.is_idle() {
                return Some(idle.conn);
            }
        }
        None
    }
}

fn is_fresh(idle: &IdleConn, cfg: &PoolCfg) -> bool {
    // A request that crosses the peer's close may be lost.
    let kept_by_peer = idle.conn.idle_timeout().map(|time| time / 2);
    let idle_timeout = kept_by_peer.map_or(cfg.idle_timeout, |kept| kept.min(cfg.idle_timeout));
    idle.idle_since.elapsed() <= idle_timeout && idle.conn.opened_at().elapsed() <= cfg.max_age
}
