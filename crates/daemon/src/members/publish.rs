//! What the member list means for the other parts.

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

/// Members that are listed as sources of whole state.
const MAX_SOURCES: usize = 4;

/// Turns the member list into peers, endpoints and a placement.
pub(super) struct Publisher {
    fanout: Fanout,
    /// When the upstream beside each process was first heard of.
    since: FastMap<DaemonId, (Incarnation, Instant)>,
}

impl Publisher {
    pub(super) fn new(fanout: Fanout) -> Self {
        Self {
            fanout,
            since: FastMap::default(),
        }
    }

    /// Suspects stay listed: most refute, and routing judges instances by their answers.
    pub(super) fn publish(&mut self, shared: &SharedState, swim: &Swim, now: Instant) {
        let mut live: Vec<&Member> = swim.members().iter().chain([swim.me()]).collect();
        live.retain(|it| !it.state.is_gone());
        live.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        self.since
            .retain(|daemon, _| *daemon == swim.me().daemon || swim.member(daemon).is_some());
        let peers = live.iter().map(|it| peer(it)).collect();
        let endpoints = live
            .iter()
            .filter_map(|it| self.endpoint(it, now))
            .collect();
        shared.peers.set_if_changed(peers);
        shared.endpoints.set_if_changed(endpoints);
    }

    /// Only members that can be reached from here take part in this one's placement.
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
            first_seen: self.first_heard(member, now),
            phase,
        })
    }

    fn first_heard(&mut self, member: &Member, now: Instant) -> Instant {
        let first = (member.incarnation, now);
        let known = self.since.entry(member.daemon.clone()).or_insert(first);
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
