//! Routing table: the routes, services and endpoints at one log offset, immutable once built.

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

/// Routes with their services, versions and endpoints.
///
/// Invariant: the service of each route is in `services`.
#[derive(Debug, Clone, Default)]
pub struct Table {
    offset: Offset,
    routes: BTreeMap<RoutePrefix, Route>,
    services: BTreeMap<ServiceName, ServiceTable>,
}

/// Versions of one service and the traffic split between them.
#[derive(Debug, Clone)]
pub struct ServiceTable {
    /// Version that serves all calls outside the candidate's share.
    pub stable: VersionName,
    /// Target version of the rollout in progress, with its share of calls.
    pub candidate: Option<(VersionName, Share)>,
    /// Instances of the two versions above, by version.
    endpoints: BTreeMap<VersionName, Vec<Endpoint>>,
}

/// Reason why no table can be built from a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// A route refers to a service that is not in the state.
    RouteWithoutService {
        /// Prefix of the route.
        route: RoutePrefix,
        /// Service that is missing.
        service: ServiceName,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteWithoutService { route, service } => {
                write!(
                    f,
                    "route `{route}` refers to the unknown service `{service}`"
                )
            }
        }
    }
}

impl std::error::Error for TableError {}

/// Result of matching a path against the routes.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Longest prefix that matches the path.
    pub prefix: &'a RoutePrefix,
    /// Route of that prefix.
    pub route: &'a Route,
    /// Service of that route.
    pub service: &'a ServiceTable,
}

/// Whether the controller's lease is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease was renewed in time.
    Fresh,
    /// The lease was not renewed in time; a version that is still ramping gets no calls.
    Expired,
}

/// Versions to try for one call, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionOrder<'a> {
    /// Version that the random draw selected.
    pub first: &'a VersionName,
    /// Version that is tried when the first one has no available instance.
    pub fallback: Option<&'a VersionName>,
}

impl<'a> VersionOrder<'a> {
    /// Iterates over the versions in order of preference.
    pub fn iter(self) -> impl Iterator<Item = &'a VersionName> {
        std::iter::once(self.first).chain(self.fallback)
    }
}

impl Table {
    /// Builds the table for a state.
    ///
    /// `rollbacks` are in effect although their log records may not have reached the state yet. They
    /// are applied like those records, so that the table does not change when the records arrive.
    /// Endpoints of versions that the state does not name are ignored.
    ///
    /// # Errors
    /// Returns an error when a route refers to a service that is not in the state.
    pub fn build(
        state: &State,
        rollbacks: &BTreeSet<RollbackFact>,
        endpoints: impl IntoIterator<Item = Endpoint>,
    ) -> Result<Self, TableError> {
        let offset = state.next;
        let state = &apply_rollbacks(state, rollbacks);
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
                service.add_endpoint(endpoint);
            }
        }
        Ok(Self {
            offset,
            routes: state.routes.clone(),
            services,
        })
    }

    /// Offset of the first log record that is not included in the table.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the versions and endpoints of a service, if the service exists.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTable> {
        self.services.get(name)
    }

    /// Finds the route with the longest prefix of the path that ends at a segment boundary.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<RouteMatch<'_>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        prefixes(path).find_map(|prefix| self.match_prefix(prefix))
    }

    fn match_prefix(&self, prefix: &str) -> Option<RouteMatch<'_>> {
        let (prefix, route) = self.routes.get_key_value(prefix)?;
        let service = self.services.get(&route.service)?;
        Some(RouteMatch {
            prefix,
            route,
            service,
        })
    }
}

/// Prefixes of a path that end at a segment boundary, longest first; `/` is the last one.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let trimmed = path.trim_end_matches('/');
    std::iter::successors(Some(trimmed), |prefix| {
        prefix.rfind('/').map(|end| &prefix[..end])
    })
    .flat_map(|prefix| [with_trailing_slash(trimmed, path, prefix), Some(prefix)])
    .flatten()
    .filter(|prefix| !prefix.is_empty())
}

/// Extends a prefix by the slash that follows it in the path, for routes with a trailing slash.
fn with_trailing_slash<'a>(trimmed: &str, path: &'a str, prefix: &str) -> Option<&'a str> {
    let end = prefix.len() + 1;
    let has_slash = prefix.len() < trimmed.len() || path.len() > trimmed.len();
    has_slash.then(|| &path[..end])
}

impl ServiceTable {
    fn new(service: &Service) -> Self {
        let candidate = service.rollout.as_ref().map(|rollout| {
            let share = match rollout.phase {
                Phase::Ramping => rollout.share.min(FULL_SHARE),
                Phase::Watching(_) => FULL_SHARE,
            };
            (rollout.to.clone(), share)
        });
        Self {
            stable: service.stable.clone(),
            candidate,
            endpoints: BTreeMap::new(),
        }
    }

    fn add_endpoint(&mut self, endpoint: Endpoint) {
        let is_known = endpoint.version == self.stable
            || matches!(&self.candidate, Some((version, _)) if *version == endpoint.version);
        if is_known {
            self.endpoints
                .entry(endpoint.version.clone())
                .or_default()
                .push(endpoint);
        }
    }

    /// Instances of one version, whether serving or leaving; empty for other versions.
    #[must_use]
    pub fn endpoints(&self, version: &str) -> &[Endpoint] {
        self.endpoints.get(version).map_or(&[], Vec::as_slice)
    }

    /// Returns the versions to try for a call. `draw` is a random number below [`FULL_SHARE`].
    ///
    /// A version without a serving instance is skipped while the other version has one. The stable
    /// version has no fallback; otherwise its overload would send an unproven version more than
    /// its share.
    #[must_use]
    pub fn versions_in_order(&self, lease: LeaseState, draw: Share) -> VersionOrder<'_> {
        let single = |version| VersionOrder {
            first: version,
            fallback: None,
        };
        let Some((candidate, share)) = &self.candidate else {
            return single(&self.stable);
        };
        match (
            self.has_serving_instance(&self.stable),
            self.has_serving_instance(candidate),
        ) {
            (_, false) => return single(&self.stable),
            (false, true) => return single(candidate),
            (true, true) => {}
        }
        if draw >= effective_share(*share, lease) {
            return single(&self.stable);
        }
        VersionOrder {
            first: candidate,
            fallback: Some(&self.stable),
        }
    }

    fn has_serving_instance(&self, version: &str) -> bool {
        self.endpoints(version).iter().any(Endpoint::is_serving)
    }
}

/// Returns the candidate's share under a lease. A share below the full one is valid only while the
/// controller renews its lease.
fn effective_share(share: Share, lease: LeaseState) -> Share {
    match lease {
        LeaseState::Expired if share < FULL_SHARE => 0,
        LeaseState::Expired | LeaseState::Fresh => share,
    }
}

/// Returns the state as it will be once the log records of these rollbacks have arrived.
fn apply_rollbacks(state: &State, rollbacks: &BTreeSet<RollbackFact>) -> State {
    let mut state = state.clone();
    for rollback in rollbacks {
        let entry = Entry {
            id: format_smolstr!("fact {} {}", rollback.ticket, rollback.service),
            at: 0,
            record: Record::Rollback {
                ticket: rollback.ticket,
                service: rollback.service.clone(),
                reason: rollback.reason.clone(),
            },
        };
        state.apply(&StampedRecord {
            offset: state.next,
            entry: Some(entry),
        });
    }
    state
}

/// Holds the active table, whose offset never decreases.
#[derive(Debug, Clone, Default)]
pub struct TableSlot {
    table: Arc<Table>,
}

/// Result of installing a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The table is active.
    Installed,
    /// The table is older than the active one, which is kept.
    Stale,
}

impl TableSlot {
    /// Returns the active table.
    #[must_use]
    pub fn current(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    /// Makes a table active unless its offset is below that of the active table.
    pub fn try_install(&mut self, table: Table) -> InstallOutcome {
        if table.offset < self.table.offset {
            return InstallOutcome::Stale;
        }
        self.table = Arc::new(table);
        InstallOutcome::Installed
    }
}
