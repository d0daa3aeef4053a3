//! Graceful shutdown of a whole daemon.

use std::net::SocketAddr;
use std::time::Duration;

use http_edge::Request;
use http_edge::Response;
use http_edge::block_on;
use protocol::call::CALL_ID_HEADER;
use settings::Settings;
use standin_upstream::Faults;
use standin_upstream::Upstream;

use crate::Daemon;
use crate::tests::fleet::outcome_of;
use crate::tests::fleet::state;
use crate::tests::fleet::upstream;

/// Client timeout, far longer than any of the calls.
const CLIENT_TIMEOUT: Duration = Duration::from_mins(1);

const EARLY_CALLS: u64 = 4;

fn free_address() -> SocketAddr {
    let listener = http_edge::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    listener.local_addr().unwrap()
}

/// Settings whose log address refuses connections.
fn settings() -> Settings {
    let [calls, peers, local, log] = std::array::from_fn(|_| free_address());
    let text = format!(
        "daemon: only\nzone: suva-a\nlisten:\n  calls: {calls}\n  peers: {peers}\n  \
         local: {local}\nlog:\n  address: {log}\ntiming:\n  drain: 30s\n"
    );
    Settings::parse(&text, "test.yaml").unwrap()
}

async fn call(daemon: SocketAddr, id: String) -> (String, Response) {
    let limits = http_edge::Limits::default();
    let mut conn = http_edge::Conn::connect(daemon, CLIENT_TIMEOUT, limits)
        .await
        .unwrap();
    let req = Request::post("/book", "").with_header(CALL_ID_HEADER, &id);
    let res = conn
        .call(req, CLIENT_TIMEOUT)
        .await
        .expect("the request was cut");
    (id, res)
}

async fn wait_until(mut is_met: impl FnMut() -> bool) {
    while !is_met() {
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn finished(upstream: &Upstream) -> u64 {
    upstream.service().runs().borrow().summary().finished
}

#[test]
fn planned_stop_cuts_no_request() {
    block_on(async {
        let settings = settings();
        let address = settings.listen.calls;
        let upstream = upstream(Some(settings.listen.local));
        let daemon = Daemon::start(settings).unwrap();
        let shared = daemon.shared_state().clone();
        shared.state.set(state("30s"));
        wait_until(|| {
            let table = shared.table.get();
            let service = table.service("bookings");
            service.is_some_and(|service| !service.endpoints("v1").is_empty())
        })
        .await;
        let slow = Faults {
            // The early calls outlast the time in which gossip spreads the leave.
            slow: 150.0,
            ..Faults::default()
        };
        upstream.service().set_faults(slow);
        let start = |id: String| monoio::spawn(call(address, id));
        let early: Vec<_> = (0..EARLY_CALLS)
            .map(|n| start(format!("early-{n}")))
            .collect();
        let begun = || upstream.service().runs().borrow().summary().begun;
        wait_until(|| begun() == EARLY_CALLS).await;

        let closing = monoio::spawn(daemon.close());
        monoio::time::sleep(Duration::from_millis(20)).await;
        let late: Vec<_> = (0..EARLY_CALLS)
            .map(|n| start(format!("late-{n}")))
            .collect();
        closing.await;

        assert_eq!(
            finished(&upstream),
            EARLY_CALLS,
            "closed before the running calls had ended"
        );
        for call in early {
            let (id, res) = call.await;
            assert_eq!(outcome_of(&res, &id), "answer", "{id}");
        }
        for call in late {
            let (id, res) = call.await;
            assert_eq!(outcome_of(&res, &id), "not run", "{id}");
        }
        assert_eq!(begun(), EARLY_CALLS, "a new call ran during the shutdown");
    });
}
