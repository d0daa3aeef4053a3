//! The routes, services and endpoints in force, as one immutable table at one offset.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use base::FULL_SHARE;
use base::Offset;
use base::RoutePrefix;
use base::ServiceName;
use base::Share;
use base::VersionName;
use ledger::Entry;
use ledger::Phase;
use ledger::Record;
use ledger::Route;
use ledger::Service;
use ledger::StampedRecord;
use ledger::State;
use protocol::feed::RollbackFact;
use smol_str::format_smolstr;

use crate::endpoint::Endpoint;

/// Routes with the services and versions that they lead to.
///
/// Invariant: the service of each route is in `services`.
#[derive(Debug, Clone, Default)]
pub struct Table {
    offset: Offset,
    routes: BTreeMap<RoutePrefix, Route>,
    services: BTreeMap<ServiceName, ServiceTable>,
}

/// The versions of one service and their split.
#[derive(Debug, Clone)]
pub struct ServiceTable {
    /// Version that serves what no move has shifted.
    pub stable: VersionName,
    /// Version that a move leads to, with its share of calls.
    pub candidate: Option<(VersionName, Share)>,
    /// Instances by version; only of the two versions above.
    endpoints: BTreeMap<VersionName, Vec<Endpoint>>,
}

/// Why a state gives no table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// A route leads to a service that is not in the state.
    RouteWithoutService {
        /// The route.
        route: RoutePrefix,
        /// The missing service.
        service: ServiceName,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteWithoutService { route, service } => {
                write!(
                    f,
                    "route `{route}` leads to the missing service `{service}`"
                )
            }
        }
    }
}

impl std::error::Error for TableError {}

/// The route that a path matches.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Prefix that matched.
    pub prefix: &'a RoutePrefix,
    /// Its route.
    pub route: &'a Route,
    /// Service that answers.
    pub service: &'a ServiceTable,
}

/// Whether the controller's lease was renewed lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// It was.
    Fresh,
    /// It was not; an unproven version gets nothing.
    Expired,
}

/// Versions to try for one call, the drawn one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionOrder<'a> {
    /// Version that was drawn.
    pub first: &'a VersionName,
    /// Version that may stand in for it.
    pub fallback: Option<&'a VersionName>,
}

impl<'a> VersionOrder<'a> {
    /// The versions in order.
    pub fn iter(self) -> impl Iterator<Item = &'a VersionName> {
        std::iter::once(self.first).chain(self.fallback)
    }
}

impl Table {
    /// Builds the table of one state.
    ///
    /// `facts` are take-backs that count already although the state may not hold them yet; they
    /// are folded as their records would be, so that the table is the same after those came in.
    /// Endpoints of versions that the state does not name are left out.
    ///
    /// # Errors
    /// When a route leads to a service that the state lacks.
    pub fn build(
        state: &State,
        facts: &BTreeSet<RollbackFact>,
        endpoints: impl IntoIterator<Item = Endpoint>,
    ) -> Result<Self, TableError> {
        let offset = state.next;
        let state = &with_facts(state, facts);
        let mut services: BTreeMap<_, _> = state
            .services
            .iter()
            .map(|(name, service)| (name.clone(), ServiceTable::new(service)))
            .collect();
        for (prefix, route) in &state.routes {
            if !services.contains_key(&route.service) {
                return Err(TableError::RouteWithoutService {
                    route: prefix.clone(),
                    service: route.service.clone(),
                });
            }
        }
        for endpoint in endpoints {
            if let Some(service) = services.get_mut(&endpoint.service) {
                service.add(endpoint);
            }
        }
        Ok(Self {
            offset,
            routes: state.routes.clone(),
            services,
        })
    }

    /// Offset of the first record that the table does not reflect.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// One service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTable> {
        self.services.get(name)
    }

    /// Finds the longest prefix of the path that ends at a segment's end.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<RouteMatch<'_>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        prefixes(path).find_map(|prefix| self.matched(prefix))
    }

    fn matched(&self, prefix: &str) -> Option<RouteMatch<'_>> {
        let (prefix, route) = self.routes.get_key_value(prefix)?;
        let service = self.services.get(&route.service)?;
        Some(RouteMatch {
            prefix,
            route,
            service,
        })
    }
}

/// Prefixes of a path that end at a segment's end, longest first; `/` is the last one.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let trimmed = path.trim_end_matches('/');
    std::iter::successors(Some(trimmed), |prefix| {
        prefix.rfind('/').map(|end| &prefix[..end])
    })
    .flat_map(|prefix| [with_slash(trimmed, path, prefix), Some(prefix)])
    .flatten()
    .filter(|prefix| !prefix.is_empty())
}

/// The prefix with the slash that follows it in the path, for routes written with one.
fn with_slash<'a>(trimmed: &str, path: &'a str, prefix: &str) -> Option<&'a str> {
    let end = prefix.len() + 1;
    let has_slash = prefix.len() < trimmed.len() || path.len() > trimmed.len();
    has_slash.then(|| &path[..end])
}

impl ServiceTable {
    fn new(service: &Service) -> Self {
        let candidate = service.rollout.as_ref().map(|moving| {
            let share = match moving.phase {
                Phase::Ramping => moving.share.min(FULL_SHARE),
                Phase::Watching(_) => FULL_SHARE,
            };
            (moving.to.clone(), share)
        });
        Self {
            stable: service.stable.clone(),
            candidate,
            endpoints: BTreeMap::new(),
        }
    }

    fn add(&mut self, endpoint: Endpoint) {
        let is_known = endpoint.version == self.stable
            || matches!(&self.candidate, Some((version, _)) if *version == endpoint.version);
        if is_known {
            self.endpoints
                .entry(endpoint.version.clone())
                .or_default()
                .push(endpoint);
        }
    }

    /// Instances of one version.
    #[must_use]
    pub fn endpoints(&self, version: &str) -> &[Endpoint] {
        self.endpoints.get(version).map_or(&[], Vec::as_slice)
    }

    /// Versions to try for a call. `draw` lies between 0 and [`FULL_SHARE`], exclusive.
    ///
    /// A version without a serving instance is not named while the other has one. A version that
    /// is still ramping never stands in for the stable one: else an overload of the stable
    /// version would give an unproven one more than its share.
    #[must_use]
    pub fn versions_in_order(&self, lease: LeaseState, draw: Share) -> VersionOrder<'_> {
        let alone = |version| VersionOrder {
            first: version,
            fallback: None,
        };
        let Some((candidate, share)) = &self.candidate else {
            return alone(&self.stable);
        };
        match (self.is_served(&self.stable), self.is_served(candidate)) {
            (_, false) => return alone(&self.stable),
            (false, true) => return alone(candidate),
            (true, true) => {}
        }
        if draw >= share_in_force(*share, lease) {
            return alone(&self.stable);
        }
        VersionOrder {
            first: candidate,
            fallback: Some(&self.stable),
        }
    }

    fn is_served(&self, version: &str) -> bool {
        self.endpoints(version).iter().any(Endpoint::is_serving)
    }
}

/// A share below the full one is on loan from the controller and ends with its lease.
fn share_in_force(share: Share, lease: LeaseState) -> Share {
    match lease {
        LeaseState::Expired if share < FULL_SHARE => 0,
        LeaseState::Expired | LeaseState::Fresh => share,
    }
}

/// The state as it will be when the records of the facts have come in.
fn with_facts(state: &State, facts: &BTreeSet<RollbackFact>) -> State {
    let mut state = state.clone();
    for fact in facts {
        let entry = Entry {
            id: format_smolstr!("fact {} {}", fact.ticket, fact.service),
            at: 0,
            record: Record::Rollback {
                ticket: fact.ticket,
                service: fact.service.clone(),
                reason: fact.reason.clone(),
            },
        };
        state.apply(&StampedRecord {
            offset: state.next,
            entry: Some(entry),
        });
    }
    state
}

/// Holds the table in force; never goes back to a lower offset.
#[derive(Debug, Clone, Default)]
pub struct TableSlot {
    table: Arc<Table>,
}

/// What became of an offered table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// It is in force.
    Installed,
    /// It is older than the one in force, which stays.
    Stale,
}

impl TableSlot {
    /// The table in force.
    #[must_use]
    pub fn current(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    /// Puts a table in force unless its offset is lower than the one of the table there.
    pub fn try_install(&mut self, table: Table) -> InstallOutcome {
        if table.offset < self.table.offset {
            return InstallOutcome::Stale;
        }
        self.table = Arc::new(table);
        InstallOutcome::Installed
    }
}
