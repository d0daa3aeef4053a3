//! State of one client request across its attempts.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::ServiceName;
use mesh::caps::holder::Token;
use mesh::config::Rank;
use mesh::config::Route;
use mesh::customers;
use mesh::customers::Identity;
use mesh::directory::Entry;
use mesh::rate_limit::RequestRate;
use mesh::run_origins::REPEATED;
use mesh::run_origins::RepeatShare;
use mesh::shutdown::Expectation;
use mesh::wire::ForwardHead;
use mesh::wire::RequestFingerprint;
use protocol::call::NotRun;
use smol_str::SmolStr;

/// Part of the remaining time that is withheld from the instance so that its answer can travel
/// back: the hop between zones and the hop to the client.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// State of one client request across its attempts.
pub struct RequestState {
    pub id: SmolStr,
    pub fingerprint: RequestFingerprint,
    pub route: Rc<Route>,
    /// Customer whose key the request carries, if that is known.
    pub customer: Option<Identity>,
    /// Whether the deployment has customers.
    pub has_customers: bool,
    pub service: ServiceName,
    pub began: Instant,
    pub deadline: Instant,
    /// Time at which the client gives up, which may be later than the timeout of the route.
    pub client_deadline: Instant,
    /// Time until which an answer has its full value, from the target latency of the route.
    pub full_value_until: Instant,
    pub config: mesh::ConfigVersion,
    /// Expected share of calls of repeated runs in such requests.
    pub repeat_share: RepeatShare,
    pub tried: Vec<DaemonId>,
    /// Attempts in which the request may have reached an instance.
    pub sends: u32,
    /// Daemons of the instances that it may have reached, each once.
    pub delivered_to: Vec<DaemonId>,
    /// Daemon of the instance that rejected the request last.
    pub rejected_by: Option<DaemonId>,
    /// Latest refusal by a daemon.
    pub last_refusal: Option<NotRun>,
    /// Daemon whose attempt was lost after the request may have run, and the reason.
    pub lost_attempt: Option<(DaemonId, &'static str)>,
    /// Token of the customer's usage cap.
    pub token: Option<Token>,
}

impl RequestState {
    /// Records that the request may have reached an instance.
    pub fn record_delivery(&mut self, entry: &Entry) {
        self.sends += 1;
        let daemon = &entry.member.daemon;
        if !self.delivered_to.contains(daemon) {
            self.delivered_to.push(daemon.clone());
        }
    }

    /// Returns the customer whose key lets the request run; `None` if it needs none.
    pub fn keyed_customer(&self) -> Option<&Identity> {
        self.customer.as_ref().filter(|_| !self.route.is_public)
    }

    /// Returns the priority of the request: that of its customer, and among those of one priority that of its route.
    pub fn rank(&self) -> Rank {
        let route = self.route.rank;
        if !self.has_customers {
            return route;
        }
        let customer = self.customer.as_ref();
        customers::rank_of(customer.map(|identity| &*identity.customer), route)
    }

    /// Returns when the request must be answered.
    pub fn expectation(&self) -> Expectation {
        Expectation {
            deadline: self.deadline,
            full_value_until: self.full_value_until,
        }
    }

    /// Returns the expected share of repeats among runs like that of the next attempt.
    fn run_share(&self) -> RepeatShare {
        if self.sends > 0 {
            REPEATED
        } else {
            self.repeat_share
        }
    }

    /// Whether the route allows the request on one more instance.
    pub fn has_instances_left(&self) -> bool {
        let reached = u32::try_from(self.delivered_to.len()).unwrap_or(u32::MAX);
        reached < self.route.max_attempts
    }
}

/// Builds the head with which a request is forwarded to an instance.
pub fn forward_head(
    state: &RequestState,
    entry: &Entry,
    limit: Option<RequestRate>,
) -> ForwardHead {
    let now = Instant::now();
    let left = |deadline: Instant| {
        let ms = deadline.saturating_duration_since(now).as_millis();
        u32::try_from(ms).unwrap_or(u32::MAX)
    };
    let instance = entry.member.instance.as_ref();
    ForwardHead {
        request: state.id.clone(),
        fingerprint: state.fingerprint,
        instance: instance.map(|info| info.id.clone()).unwrap_or_default(),
        born: instance.map_or(0, |info| info.born),
        service: state.service.clone(),
        version: instance
            .map(|info| info.version.clone())
            .unwrap_or_default(),
        route: state.route.name.clone(),
        repeat: state.route.repeat,
        rank: state.rank(),
        left_ms: left(state.deadline.checked_sub(RETURN_MARGIN).unwrap_or(now)),
        full_value_ms: left(state.full_value_until),
        config: state.config,
        limit,
        is_isolated: false,
        repeat_share: state.run_share(),
        customer: state.keyed_customer().map(Identity::head),
    }
}
