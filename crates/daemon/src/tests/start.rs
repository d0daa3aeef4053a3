//! Tests of a daemon that has just started: its settings, and calls before any configuration.

use http::StatusCode;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use ledger::State;
use protocol::call::NOT_RUN_HEADER;
use settings::Settings;

use crate::calls::CallerSide;
use crate::shared_state::SharedState;

const SETTINGS: &str = "daemon: suva-a-1\nzone: suva-a\nlisten:\n  calls: 127.0.0.1:7101\n  \
                        peers: 127.0.0.1:7102\n  local: 127.0.0.1:7103\nlog:\n  \
                        address: 127.0.0.1:7104\n";

#[test]
fn sizes_and_bounds_of_calls_come_from_the_settings() {
    let text = format!(
        "{SETTINGS}limits:\n  max_head: 8KiB\n  max_body: 2MiB\n  connections_per_peer: 7\n"
    );
    let shared = SharedState::new(Settings::parse(&text, "test.yaml").unwrap());
    let limits = shared.daemon_cfg.limits();
    assert_eq!(
        limits,
        Limits {
            max_head_bytes: 8 * 1024,
            max_body_bytes: 2 * 1024 * 1024
        }
    );
    assert!(shared.daemon_cfg.inner_limits().max_head_bytes > limits.max_head_bytes);
    let pool = shared.daemon_cfg.pool(limits);
    assert_eq!((pool.max_idle_per_peer, pool.limits), (7, limits));
}

#[test]
fn settings_check_lease_timeouts_against_the_controllers_lease() {
    assert_eq!(
        settings::CONTROLLER_LEASE_DURATION,
        rollout::lease::LEASE_DURATION
    );
}

#[test]
fn an_unknown_route_is_refused_as_not_run_until_there_is_a_configuration() {
    http_edge::block_on(async {
        let shared = SharedState::new(Settings::parse(SETTINGS, "test.yaml").unwrap());
        let side = CallerSide::new(&shared);

        let res = side.handle(Request::get("/bookings")).await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(res.header(NOT_RUN_HEADER).is_some());
        assert!(res.header("retry-after").is_some());

        let state = State {
            ticket: 1,
            ..State::default()
        };
        shared.state.set(state);
        let res = side.handle(Request::get("/bookings")).await;
        assert_eq!(res.status, StatusCode::NOT_FOUND);
    });
}
