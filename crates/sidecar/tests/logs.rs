//! A blocked reader of the log output must not delay requests.

mod common;

use std::io;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Server;
use http_edge::ServerCfg;
use sidecar::logs;
use sidecar::run::Daemon;
use standin_store::StoreService;

use crate::common::REQUESTS;
use crate::common::STORE;
use crate::common::TIMEOUT;

/// Long enough to fill the write queue: the rate limits lead to about one write per second.
const BLOCKED_TIME: Duration = Duration::from_secs(8);

const IP: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 7, 100, 2));

/// Output that blocks until the test opens it.
struct BlockedOutput {
    opened: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Blocks until the test drops the sender; later calls return at once.
        let _ = self.opened.recv();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::new(IP, port)
}

async fn get(port: u16, path: &str) -> (StatusCode, String) {
    let mut conn = Conn::connect(at(port), TIMEOUT, Limits::default())
        .await
        .expect("the daemon listens");
    let req = Request::get(path)
        .with_header("host", "shop.example")
        .with_header("x-request-id", "id");
    let res = conn.call(req, TIMEOUT).await.expect("a response");
    (res.status, String::from_utf8_lossy(&res.body).into_owned())
}

#[test]
fn a_blocked_log_output_delays_no_request_and_dropped_writes_are_counted() {
    let (open, opened) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        opened,
        written: Arc::clone(&written),
    };
    let _logger = logs::start_on(output).expect("the log starts");
    http_edge::block_on(async {
        let listener = http_edge::listen(at(STORE)).expect("the address is free");
        let store = Rc::new(StoreService::default());
        let server = Server::start(listener, store, ServerCfg::default());
        let daemon = Daemon::start(common::boot("machine-1", IP, "catalogue", IP))
            .expect("the daemon starts");
        let since = Instant::now();
        let mut sent_requests = 0;
        while since.elapsed() < BLOCKED_TIME {
            // Without a configuration, each request is refused and logged.
            let (status, _) = get(REQUESTS, "/look/1").await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            sent_requests += 1;
        }
        let (_, metrics) = get(9464, "/metrics").await;
        let counted = metrics
            .lines()
            .find(|line| line.contains("no-configuration"))
            .and_then(|line| line.rsplit(' ').next())
            .expect("refusals are counted");
        assert_eq!(counted, sent_requests.to_string());
        drop(open);
        daemon.close().await;
        server.close(Duration::ZERO).await;
    });
    // Dropped writes are reported once the output accepts data again.
    let text = String::from_utf8(written.lock().unwrap().clone()).expect("log lines are UTF-8");
    assert!(text.contains("log-writes-dropped"), "{text}");
}
