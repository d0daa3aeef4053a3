//! Derives peers, endpoints and the placement from the member list.

use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use membership::Fanout;
use membership::Member;
use membership::Swim;
use protocol::announce::UpstreamPhase;
use routing::Endpoint;
use routing::EndpointPhase;

use super::Placement;
use crate::shared_state::Peer;
use crate::shared_state::SharedState;

/// Most members that are listed as sources of complete state.
const MAX_SOURCES: usize = 4;

/// Publishes peers and endpoints and computes the placement.
pub(super) struct Publisher {
    fanout: Fanout,
    /// When the upstream beside each daemon process was first seen.
    upstream_first_seen: FastMap<DaemonId, (Incarnation, Instant)>,
}

impl Publisher {
    pub(super) fn new(fanout: Fanout) -> Self {
        Self {
            fanout,
            upstream_first_seen: FastMap::default(),
        }
    }

    /// Publishes the live members. Suspects stay listed: most of them refute the suspicion, and the
    /// balancer ejects instances by their own answers.
    pub(super) fn publish(&mut self, shared: &SharedState, swim: &Swim, now: Instant) {
        let mut live: Vec<&Member> = swim.members().iter().chain([swim.me()]).collect();
        live.retain(|it| !it.state.is_gone());
        live.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        self.upstream_first_seen
            .retain(|daemon, _| *daemon == swim.me().daemon || swim.member(daemon).is_some());
        let peers = live.iter().map(|it| peer(it)).collect();
        let endpoints = live
            .iter()
            .filter_map(|it| self.endpoint(it, now))
            .collect();
        shared.peers.set_if_changed(peers);
        shared.endpoints.set_if_changed(endpoints);
    }

    /// Computes the placement of this daemon among the members that it can reach.
    pub(super) fn placement(&self, swim: &Swim) -> Placement {
        let reachable = || {
            swim.members()
                .iter()
                .filter(|it| !swim.is_quarantined(&it.daemon))
        };
        let mut sources = self.fanout.state_sources(swim.me(), reachable());
        sources.truncate(MAX_SOURCES);
        Placement {
            role: self.fanout.role(swim.me(), reachable()),
            sources,
        }
    }

    fn endpoint(&mut self, member: &Member, now: Instant) -> Option<Endpoint> {
        let upstream = member.upstream.as_ref()?;
        let phase = match upstream.phase {
            UpstreamPhase::Draining => EndpointPhase::Leaving,
            UpstreamPhase::Starting | UpstreamPhase::Serving => EndpointPhase::Serving,
        };
        Some(Endpoint {
            daemon: member.daemon.clone(),
            incarnation: member.incarnation,
            address: member.address,
            zone: member.zone.clone(),
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            slots: upstream.slots,
            cold_start: upstream.cold_start,
            first_seen: self.first_seen_at(member, now),
            phase,
        })
    }

    fn first_seen_at(&mut self, member: &Member, now: Instant) -> Instant {
        let first = (member.incarnation, now);
        let known = self
            .upstream_first_seen
            .entry(member.daemon.clone())
            .or_insert(first);
        if known.0 != member.incarnation {
            *known = first;
        }
        known.1
    }
}

fn peer(member: &Member) -> Peer {
    Peer {
        daemon: member.daemon.clone(),
        incarnation: member.incarnation,
        address: member.address,
        zone: member.zone.clone(),
    }
}
