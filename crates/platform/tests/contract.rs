//! Contract of the log: the client against the stand-in, with and without faults of the log.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::block_on;
use ledger::Snapshot;
use ledger::State;
use platform::AppendError;
use platform::Follower;
use platform::LogClient;
use platform::LogError;
use platform::Progress;
use platform::RECORD_STREAM;
use platform::SNAPSHOT_STREAM;
use platform::SnapshotStore;
use platform::Streams;
use standin_log::Cfg;
use standin_log::Faults;
use standin_log::LogServer;
use standin_log::Outage;

use crate::common::CFG;
use crate::common::claim;

/// Longer than any test runs, so a test waits this long only if something fails.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> (LogServer, SocketAddr) {
    standin_log::serve_local(Cfg::default()).expect("a free port")
}

async fn send_raw(address: SocketAddr, req: Request) -> (StatusCode, String) {
    let mut conn = Conn::connect(address, LONG_TIMEOUT, Limits::default())
        .await
        .expect("a connection");
    let res = conn.call(req, LONG_TIMEOUT).await.expect("a response");
    let body = String::from_utf8(res.body.to_vec()).expect("UTF-8 text");
    (res.status, body)
}

#[test]
fn requests_get_the_responses_of_the_protocol() {
    block_on(async {
        let (log, address) = start();
        let check = async |req: Request, status: u16, body: &str| {
            let target = req.target.clone();
            let (got, text) = send_raw(address, req).await;
            assert_eq!((got.as_u16(), text.trim()), (status, body), "{target}");
        };
        let records = "/streams/s/records";
        check(Request::get("/streams/s"), 200, r#"{"oldest":0,"next":0}"#).await;
        check(Request::post(records, "a\"b"), 200, r#"{"offset":0}"#).await;
        check(Request::post(records, "c"), 200, r#"{"offset":1}"#).await;
        check(Request::get("/streams/s"), 200, r#"{"oldest":0,"next":2}"#).await;
        check(
            Request::get(format!("{records}?from=0&max=1")),
            200,
            r#"{"records":[{"offset":0,"data":"a\"b"}],"next":1,"oldest":0}"#,
        )
        .await;
        check(
            Request::get(format!("{records}?from=2&max=1&wait_ms=1")),
            200,
            r#"{"records":[],"next":2,"oldest":0}"#,
        )
        .await;
        let faults = r#"{"retention_records":1}"#;
        check(Request::post("/faults", faults), 200, faults).await;
        check(
            Request::get(format!("{records}?from=0")),
            410,
            r#"{"oldest":1,"next":2}"#,
        )
        .await;
        check(
            Request::get(format!("{records}?from=x")),
            404,
            "no such request",
        )
        .await;
        check(Request::get("/other"), 404, "no such request").await;
        let (status, _) = send_raw(address, Request::post("/faults", r#"{"x":1}"#)).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        let counters = log.counters().streams["s"];
        assert_eq!((counters.appends, counters.bytes_in), (2, 4));
        assert_eq!((counters.reads, counters.bytes_out), (2, 3));
    });
}

#[test]
fn appends_report_their_outcome_under_faults_of_the_log() {
    let check = |name: &str, faults: Faults, want: Result<(), AppendError>, copies: u64| {
        block_on(async {
            let (log, address) = start();
            let client = LogClient::new(address, RECORD_STREAM, CFG);
            // Opens a connection before the fault begins.
            client.append(&claim(1)).await.expect("before the fault");
            log.set_faults(&faults);
            let appended = client.append(&claim(2)).await;
            assert_eq!(appended.map(drop), want, "{name}");
            let appends = log.counters().streams[RECORD_STREAM].appends;
            assert_eq!(appends, 1 + copies, "{name}");
            if want.is_ok() {
                assert_eq!(read_state(address).await.epoch, 2, "{name}");
            }
        });
    };
    let none = Faults::default();
    let lost_responses = Faults {
        lose_answers: Some(2),
        ..none.clone()
    };
    let silent = Faults {
        silent_requests: Some(2),
        ..none.clone()
    };
    let slow = Faults {
        latency: Some(Duration::from_millis(20)),
        ..none.clone()
    };
    let throttled = Faults {
        appends_per_second: Some(0),
        ..none.clone()
    };
    let out = |outage| Faults {
        outage: Some(outage),
        ..Faults::default()
    };
    let refused = LogError::Unavailable("503 Service Unavailable".to_owned());
    check("no fault", none, Ok(()), 1);
    check("responses lost after the append", lost_responses, Ok(()), 3);
    check("silent connections", silent, Ok(()), 1);
    check("slow", slow, Ok(()), 1);
    check(
        "refuses",
        out(Outage::Refuse),
        Err(AppendError::NotWritten(refused)),
        0,
    );
    check(
        "hangs",
        out(Outage::Hang),
        Err(AppendError::OutcomeUnknown(LogError::Timeout)),
        0,
    );
    block_on(async {
        let (log, address) = start();
        log.set_faults(&throttled);
        let client = LogClient::new(address, RECORD_STREAM, CFG);
        client
            .append(&claim(1))
            .await
            .expect("the burst allows one append");
        let refused = client.append(&claim(2)).await;
        let is_throttled = matches!(
            refused,
            Err(AppendError::NotWritten(LogError::Throttled(_)))
        );
        assert!(is_throttled, "{refused:?}");
    });
}

#[test]
fn a_refused_connection_means_not_written() {
    block_on(async {
        let (log, address) = start();
        log.close(Duration::ZERO).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
        let client = LogClient::new(address, RECORD_STREAM, CFG);
        let refused = client.append(&claim(1)).await;
        let is_down = matches!(
            refused,
            Err(AppendError::NotWritten(LogError::Unavailable(_)))
        );
        assert!(is_down, "{refused:?}");
    });
}

#[test]
fn a_read_waits_for_the_next_record() {
    block_on(async {
        let (_log, address) = start();
        let append = async {
            monoio::time::sleep(Duration::from_millis(30)).await;
            let writer = LogClient::new(address, RECORD_STREAM, CFG);
            writer.append(&claim(1)).await.expect("an offset")
        };
        let reader = LogClient::new(address, RECORD_STREAM, CFG);
        let (page, offset) = monoio::join!(reader.read(0, 10, LONG_TIMEOUT), append);
        let page = page.expect("a page");
        assert_eq!((page.next, page.records[0].offset), (1, offset));
    });
}

/// Returns the state of a follower that starts cold and reads the whole log.
async fn read_state(address: SocketAddr) -> State {
    let mut follower = Follower::cold_start(address, CFG);
    while follower.advance(Duration::ZERO).await != Progress::CaughtUp {}
    follower.close()
}

#[test]
fn a_follower_recovers_from_the_faults_of_the_log() {
    let check = |name: &str, faults: Faults| {
        block_on(async {
            let (log, address) = start();
            let writer = LogClient::new(address, RECORD_STREAM, CFG);
            let mut follower = Follower::cold_start(address, CFG);
            writer.append(&claim(1)).await.expect("before the fault");
            while follower.state().epoch < 1 {
                follower.advance(LONG_TIMEOUT).await;
            }
            log.set_faults(&faults);
            let mut failures = 0;
            for _ in 0..6 {
                let progress = follower.advance(Duration::ZERO).await;
                failures += u32::from(matches!(progress, Progress::Failed(_)));
            }
            assert!(failures > 0, "{name}: no step failed");
            log.set_faults(&Faults {
                outage: Some(Outage::None),
                latency: Some(Duration::ZERO),
                silent_requests: Some(0),
                ..Faults::default()
            });
            writer.append(&claim(2)).await.expect("after the fault");
            while follower.state().epoch < 2 {
                follower.advance(LONG_TIMEOUT).await;
            }
        });
    };
    let none = Faults::default();
    check(
        "refuses",
        Faults {
            outage: Some(Outage::Refuse),
            ..none.clone()
        },
    );
    check(
        "hangs",
        Faults {
            outage: Some(Outage::Hang),
            ..none.clone()
        },
    );
    check(
        "slower than the timeout",
        Faults {
            latency: Some(LONG_TIMEOUT),
            ..none.clone()
        },
    );
    check(
        "silent connections",
        Faults {
            silent_requests: Some(2),
            ..none
        },
    );
}

#[test]
fn a_follower_replaces_expired_records_by_a_snapshot() {
    block_on(async {
        let (log, address) = start();
        let writer = LogClient::new(address, RECORD_STREAM, CFG);
        let mut lagging = Follower::cold_start(address, CFG);
        while lagging.advance(Duration::ZERO).await != Progress::CaughtUp {}
        for epoch in 1..=6 {
            writer.append(&claim(epoch)).await.expect("an offset");
            if epoch == 4 {
                let state = read_state(address).await;
                let snapshots = SnapshotStore::new(LogClient::new(address, SNAPSHOT_STREAM, CFG));
                snapshots.write(&Snapshot { state }).await.expect("written");
            }
        }
        log.set_faults(&Faults {
            retention_records: Some(2),
            ..Faults::default()
        });
        while lagging.state().epoch < 6 {
            lagging.advance(Duration::ZERO).await;
        }
        assert_eq!(lagging.state().next, 6);
        assert_eq!(read_state(address).await, *lagging.state());
    });
}

#[test]
fn the_snapshot_with_the_highest_offset_is_loaded() {
    block_on(async {
        let (_log, address) = start();
        let client = || LogClient::new(address, SNAPSHOT_STREAM, CFG);
        let store = SnapshotStore::new(client());
        assert_eq!(store.latest().await, Ok(None));
        for next in [5, 9, 7] {
            let state = State {
                next,
                ..State::default()
            };
            store.write(&Snapshot { state }).await.expect("written");
        }
        client().append_text("damaged").await.expect("written");
        let latest = store.latest().await.expect("a response").expect("snapshot");
        assert_eq!(latest.state.next, 9);
    });
}

#[test]
fn a_follower_keeps_its_state_when_the_log_lost_records() {
    block_on(async {
        let (_log, address) = start();
        let writer = LogClient::new(address, RECORD_STREAM, CFG);
        writer.append(&claim(1)).await.expect("an offset");
        let state = State {
            next: 9,
            epoch: 3,
            ..State::default()
        };
        let mut follower = Follower::resume(address, CFG, state.clone());
        let progress = follower.advance(Duration::ZERO).await;
        assert_eq!(
            progress,
            Progress::Failed(LogError::RecordsLost { next: 1 })
        );
        assert_eq!(follower.close(), state);
    });
}

#[test]
fn a_follower_reads_only_the_given_streams() {
    block_on(async {
        let (_log, address) = start();
        let streams = Streams {
            records: "other".into(),
            snapshots: "other-snapshots".into(),
        };
        let client = |stream: &str| LogClient::new(address, stream, CFG);
        client("other")
            .append(&claim(1))
            .await
            .expect("the log is up");
        let store = SnapshotStore::new(client("other-snapshots"));
        let state = State {
            next: 1,
            ticket: 7,
            ..State::default()
        };
        store
            .write(&Snapshot { state })
            .await
            .expect("the log is up");

        let mut follower = Follower::cold_start(address, CFG).with_streams(&streams);
        while follower.advance(Duration::ZERO).await != Progress::CaughtUp {}
        assert_eq!((follower.state().ticket, follower.state().next), (7, 1));
        assert_eq!(read_state(address).await, State::default());
    });
}
