//! Parameters of the load balancer and their defaults.

use std::time::Duration;

/// Parameters of the load balancer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalancerCfg {
    /// Whether a reported load loses weight with its age in favour of the mean of its zone; otherwise it counts in
    /// full until [`Self::load_max_age`].
    pub ages_reports: bool,
    /// A reported load or link utilization older than this is ignored.
    pub load_max_age: Duration,
    /// Only the local zone is considered while its best instance costs less.
    pub local_zone_max_cost: f64,
    /// Factor on the cost of instances in the local zone in the comparison with others.
    pub local_zone_factor: f64,
    /// Cost added for the hop to another zone and for what is not known there.
    pub zone_hop_cost: f64,
    /// Weight of the latest answer in the moving average of the relative latency.
    pub latency_smoothing: f64,
    /// Cost added at a failure rate of 1; applies to the part of the rate above both the common
    /// rate of the candidates and the tolerated rate.
    pub failure_penalty: f64,
    /// Failure rate without penalty: calls that an instance makes for its requests fail
    /// occasionally.
    pub tolerated_failure_rate: f64,
    /// Factor on the latency of an instance that is still cold after its start.
    pub cold_latency_factor: f64,
    /// Factor on the used part of a link in comparison with that of the slots: a link that is nearly
    /// full delays each request on it.
    pub link_factor: f64,
    /// Latency that an instance gains from empty to full, relative to its latency when empty.
    pub slowdown_when_full: f64,
    /// Utilization above which requests wait for a slot now and then.
    pub wait_above: f64,
    /// Expected wait at full utilization, in service times; grows with the square of the part of the
    /// utilization above [`Self::wait_above`].
    pub wait_when_full: f64,
    /// First pause after an instance could not be reached; doubles with each further failure.
    pub first_pause: Duration,
    /// Longest pause after an instance could not be reached.
    pub max_pause: Duration,
}

impl Default for BalancerCfg {
    fn default() -> Self {
        Self {
            ages_reports: false,
            // Four gossip rounds.
            load_max_age: Duration::from_secs(1),
            // An instance of mean latency is full there.
            local_zone_max_cost: 3.0,
            // While all zones are full alike, requests stay where they are.
            local_zone_factor: 0.5,
            zone_hop_cost: 0.0,
            // Averages over the last ten answers, about a second of one caller.
            latency_smoothing: 0.1,
            // An idle instance that failed one of its last five requests counts as nearly full.
            failure_penalty: 16.0,
            tolerated_failure_rate: 0.1,
            // The platform's instances take twice as long while cold.
            cold_latency_factor: 2.0,
            link_factor: 1.2,
            slowdown_when_full: 0.2,
            wait_above: 0.6,
            wait_when_full: 2.0,
            // The first is about the restart time of a daemon, the longest that of a machine.
            first_pause: Duration::from_millis(300),
            max_pause: Duration::from_secs(3),
        }
    }
}

impl BalancerCfg {
    /// Returns the parameters for deployments whose instances or demand are uneven: reports age, and work moves to other
    /// zones before the local one queues.
    #[must_use]
    pub fn even_load() -> Self {
        Self {
            ages_reports: true,
            // An instance of mean latency has a sixth of its slots left there.
            local_zone_max_cost: 2.3,
            local_zone_factor: 0.8,
            zone_hop_cost: 0.3,
            wait_when_full: 3.0,
            ..Self::default()
        }
    }
}
