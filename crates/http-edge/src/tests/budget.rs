//! Crowds of clients whose requests stop just short of their end.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use http::StatusCode;

use crate::BudgetLimits;
use crate::Conn;
use crate::Handler;
use crate::Limits;
use crate::MemoryBudget;
use crate::RawHead;
use crate::Request;
use crate::Response;
use crate::Server;
use crate::ServerCfg;
use crate::block_on;
use crate::listen;
use crate::tests::TIMEOUT;
use crate::tests::support::connect;
use crate::tests::support::exchange;
use crate::tests::support::statuses;
use crate::tests::support::with_started;

const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Length of an answer, more than the sockets of a connection buffer.
const LARGE_ANSWER: usize = 16 * 1024 * 1024;

const LIMITS: Limits = Limits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 3 * 1024 * 1024,
};

/// Answers with what is taken of the budget; keeps `/kept` for a while.
struct Stats {
    budget: MemoryBudget,
}

impl Handler for Stats {
    async fn handle(&self, req: Request) -> Response {
        if req.path() == "/kept" {
            monoio::time::sleep(Duration::from_millis(300)).await;
        }
        if req.path() == "/large" {
            return Response::new(StatusCode::OK, vec![b'x'; LARGE_ANSWER]);
        }
        let taken = format!("{:?}", self.budget.stats());
        Response::new(StatusCode::OK, taken)
    }

    fn refuse(&self, head: Option<&RawHead>) -> Response {
        let id = head.and_then(|head| head.header("x-id"));
        Response::new(StatusCode::SERVICE_UNAVAILABLE, "")
            .with_header("x-id", id.unwrap_or_default())
    }
}

fn with_budget(max_connections: usize, cfg: ServerCfg, test: impl FnOnce(SocketAddr)) {
    let start = move || {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let budget = MemoryBudget::new(BudgetLimits {
            max_bytes: MAX_BYTES,
            max_connections,
        });
        let handler = Rc::new(Stats {
            budget: budget.clone(),
        });
        let cfg = Rc::new(Cell::new(ServerCfg {
            limits: LIMITS,
            ..cfg
        }));
        (
            Server::start_within(budget, listener, handler, cfg),
            address,
        )
    };
    with_started(start, test);
}

/// Sends one small request and returns the value of a field of the statistics.
fn stat(address: SocketAddr, name: &str) -> usize {
    let text = exchange(address, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert_eq!(statuses(&text), [200], "{text:?}");
    let value = text.split_once(&format!("{name}: ")).unwrap().1;
    let digits = value.split(|c: char| !c.is_ascii_digit()).next().unwrap();
    digits.parse().unwrap()
}

/// Opens connections that send the same bytes and stay open, with one small request after each.
fn crowd(address: SocketAddr, clients: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..clients {
        let mut stream = connect(address);
        // It may be refused before the last byte.
        let _ = stream.write_all(bytes);
        streams.push(stream);
        let used = stat(address, "used_bytes");
        assert!(used <= MAX_BYTES, "{used}");
    }
    streams
}

/// Waits until the server has noticed that all clients left.
fn wait_for_release(address: SocketAddr) {
    for _ in 0..200 {
        // The connection that asks has its own account.
        if stat(address, "connections") <= 1 {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(stat(address, "used_bytes") < 32 * 1024);
}

#[test]
fn small_requests_are_served_beside_bodies_that_never_end() {
    let length = |bytes: usize| {
        let head = format!("POST / HTTP/1.1\r\nx-id: a\r\ncontent-length: {bytes}\r\n\r\n");
        [head.into_bytes(), vec![b'x'; bytes - 10]].concat()
    };
    let chunks = |count: usize, chunk: &str| {
        let head = "POST / HTTP/1.1\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let size = format!("{:x}\r\n{chunk}\r\n", chunk.len());
        [head.as_bytes(), size.repeat(count).as_bytes()].concat()
    };
    with_budget(1000, ServerCfg::default(), |address| {
        for (bytes, clients) in [
            (length(1_000_000), 12),
            (length(2_900_000), 12),
            (chunks(100_000, "x"), 80),
            (chunks(20, &"x".repeat(64 * 1024)), 12),
        ] {
            let before = stat(address, "evicted");
            let streams = crowd(address, clients, &bytes);
            assert!(stat(address, "evicted") > before);
            drop(streams);
            wait_for_release(address);
        }
    });
}

#[test]
fn an_evicted_request_is_refused_with_its_head() {
    with_budget(1000, ServerCfg::default(), |address| {
        let send = |id: &str, length: usize| {
            let mut stream = connect(address);
            let head = format!("POST / HTTP/1.1\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; length - 10]).unwrap();
            stat(address, "used_bytes");
            stream
        };
        let mut smaller = send("smaller", 1_000_000);
        let mut largest = send("largest", 1_700_000);
        let mut last = send("last", 1_400_000);
        let mut response = String::new();
        largest.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("x-id: largest") && response.contains("connection: close"));
        for stream in [&mut smaller, &mut last] {
            stream.write_all(&[b'x'; 10]).unwrap();
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).unwrap();
            assert_eq!(answer, *b"HTTP/1.1 200");
        }
    });
}

#[test]
fn heads_of_many_lines_are_served_or_refused_within_the_budget() {
    let lines: Vec<String> = (0..2500).map(|number| format!("{number:x}:\r\n")).collect();
    let lines = lines.concat();
    with_budget(1000, ServerCfg::default(), |address| {
        let head = format!("POST /kept HTTP/1.1\r\ncontent-length: 5\r\n{lines}\r\n");
        let mut streams = crowd(address, 300, head.as_bytes());
        for stream in &mut streams {
            let _ = stream.write_all(b"hello");
        }
        let used = stat(address, "used_bytes");
        assert!(used <= MAX_BYTES, "{used}");
        let mut served = 0;
        for stream in &mut streams {
            let mut answer = [0; 12];
            if stream.read_exact(&mut answer).is_ok() {
                assert!([*b"HTTP/1.1 200", *b"HTTP/1.1 503"].contains(&answer));
                served += usize::from(answer == *b"HTTP/1.1 200");
            }
        }
        assert!(served > 0);
        drop(streams);
        wait_for_release(address);
    });
}

#[test]
fn at_the_limit_the_connection_that_is_idle_longest_makes_room() {
    with_budget(8, ServerCfg::default(), |address| {
        let streams = crowd(address, 30, b"GET / HTTP/1.1\r\nhost: a");
        let connections = stat(address, "connections");
        assert!(connections <= 9, "{connections}");
        assert!(stat(address, "closed") >= 22);
        drop(streams);
        let mut idle = crowd(address, 30, b"");
        let mut answer = Vec::new();
        idle[0].read_to_end(&mut answer).unwrap();
        assert!(answer.is_empty());
        idle[29].write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = [0; 12];
        idle[29].read_exact(&mut answer).unwrap();
        assert_eq!(answer, *b"HTTP/1.1 200");
    });
}

#[test]
fn answers_that_nobody_reads_make_room() {
    with_budget(1000, ServerCfg::default(), |address| {
        let request = b"GET /large HTTP/1.1\r\n\r\n";
        let mut streams = Vec::new();
        for _ in 0..10 {
            let mut stream = connect(address);
            stream.write_all(request).unwrap();
            streams.push(stream);
            std::thread::sleep(Duration::from_millis(100));
            assert!(stat_once_served(address, "used_bytes") < LARGE_ANSWER);
        }
        // One that is read is whole, though it is larger than the budget.
        let whole = exchange(address, b"GET /large HTTP/1.1\r\nconnection: close\r\n\r\n");
        assert!(whole.len() > LARGE_ANSWER);
        drop(streams);
        wait_for_release(address);
    });
}

/// The same as [`stat`] for a client that repeats a request that was refused.
fn stat_once_served(address: SocketAddr, name: &str) -> usize {
    for _ in 0..200 {
        let text = exchange(address, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
        if statuses(&text) == [200] {
            return stat(address, name);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("nothing is served");
}

#[test]
fn a_connection_that_is_kept_outlasts_a_crowd_at_the_limit() {
    let (tx, rx) = mpsc::channel();
    let start = move || {
        let budget = MemoryBudget::new(BudgetLimits {
            max_bytes: MAX_BYTES,
            max_connections: 8,
        });
        let serve = |keeps_connections: bool| {
            let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
            let address = listener.local_addr().unwrap();
            let handler = Rc::new(Stats {
                budget: budget.clone(),
            });
            let cfg = Rc::new(Cell::new(ServerCfg {
                keeps_connections,
                ..ServerCfg::default()
            }));
            let server = Server::start_within(budget.clone(), listener, handler, cfg);
            (server, address)
        };
        tx.send(serve(true).1).unwrap();
        serve(false)
    };
    with_started(start, |address| {
        let mut kept = connect(rx.recv().unwrap());
        let streams = crowd(address, 30, b"");
        kept.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = [0; 12];
        kept.read_exact(&mut answer).unwrap();
        assert_eq!(answer, *b"HTTP/1.1 200");
        drop(streams);
    });
}

/// As between daemons: the sender reads only after it has sent everything.
#[test]
fn a_sender_of_a_large_body_reads_that_it_was_refused() {
    let cfg = ServerCfg {
        linger_timeout: TIMEOUT,
        linger_bytes: LIMITS.max_body_bytes,
        ..ServerCfg::default()
    };
    with_budget(1000, cfg, |address| {
        let mut kept = connect(address);
        let head = "POST /kept HTTP/1.1\r\ncontent-length: 2000000\r\n\r\n";
        kept.write_all(head.as_bytes()).unwrap();
        kept.write_all(&vec![b'x'; 2_000_000]).unwrap();
        block_on(async {
            let mut conn = Conn::connect(address, TIMEOUT, LIMITS).await.unwrap();
            let req = Request::post("/", vec![b'x'; 2_900_000]).with_header("x-id", "a");
            let res = conn.call(req, TIMEOUT).await.unwrap();
            assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(res.header("x-id"), Some("a"));
            assert!(!conn.is_reusable());
        });
    });
}

#[test]
fn the_memory_of_a_request_is_taken_until_its_last_clone_is_gone() {
    with_budget(1000, ServerCfg::default(), |address| {
        let mut kept = connect(address);
        let head = "POST /kept HTTP/1.1\r\ncontent-length: 2000000\r\n\r\n";
        kept.write_all(head.as_bytes()).unwrap();
        kept.write_all(&vec![b'x'; 2_000_000]).unwrap();
        while stat(address, "used_bytes") < 2_000_000 {}
        let mut answer = [0; 12];
        kept.read_exact(&mut answer).unwrap();
        wait_for_release_of(address, 2_000_000);
    });
}

fn wait_for_release_of(address: SocketAddr, bytes: usize) {
    for _ in 0..200 {
        if stat(address, "used_bytes") < bytes {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{bytes} bytes are not given back");
}
