//! An instance that repeats an earlier refusal on a kept connection, contradicts itself on whether a request ran, or
//! stops in the middle of an answer's head.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use http_edge::Request;
use http_edge::Response;
use sidecar::run::Daemon;
use standin_store::StoreService;

use crate::common::HEARTBEATS;
use crate::common::INSTANCE;
use crate::common::REQUESTS;
use crate::common::STORE;
use crate::fleet::append;
use crate::fleet::boot;
use crate::fleet::config_text;
use crate::fleet::ip;
use crate::fleet::send;
use crate::fleet::serve;
use crate::fleet::wait_until;

/// Body of a sound answer.
const BODY: &str = "a gown";

/// Statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the instance does with its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Answer,
    /// Refuses it, with this status and with or without the request's id.
    Refuse(u16, Echo),
    /// Runs it, and writes the last refusal on the connection once more before the answer.
    RepeatRefusal,
    /// Runs it, and writes its own earlier refusal, from whichever connection, before the answer.
    RepeatOwnRefusal,
    /// Does not run it, and answers as another instance, which is leaving, without the statement.
    AnswerAsOther,
    /// Runs it, and answers with this status, with or without the statement that it did not run.
    Contradict(u16, Statement),
    /// Runs it, and closes the connection after this many bytes of the answer.
    Cut(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Echo {
    Id,
    Nothing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Statement {
    Made,
    Missing,
}

/// An instance in threads of its own.
#[derive(Default)]
struct FaultyInstance {
    steps: Mutex<Vec<Step>>,
    /// Refusals by the id of their request.
    refusals: Mutex<HashMap<String, Vec<u8>>>,
    runs: Mutex<Vec<String>>,
}

impl FaultyInstance {
    fn start(address: SocketAddr) -> Arc<Self> {
        let instance = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the address is free");
        let shared = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream.expect("a connection")));
            }
        });
        instance
    }

    /// Sets what it does with the next requests, the first one first; later ones are answered.
    fn plan(&self, steps: &[Step]) {
        *self.steps.lock().unwrap() = steps.iter().rev().copied().collect();
    }

    fn run_count(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| *run == id).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut last_refusal = Vec::new();
        while let Some(id) = read_request(&mut stream) {
            let step = self.steps.lock().unwrap().pop().unwrap_or(Step::Answer);
            if let Step::Refuse(status, echo) = step {
                last_refusal = refusal(status, (echo == Echo::Id).then_some(id.as_str()));
                let copy = last_refusal.clone();
                self.refusals.lock().unwrap().insert(id, copy);
                let _ = stream.write_all(&last_refusal);
                continue;
            }
            if step == Step::AnswerAsOther {
                let _ = stream.write_all(&answer_of_other(&id));
                continue;
            }
            self.runs.lock().unwrap().push(id.clone());
            let answer = answer(&id);
            let sent = match step {
                Step::RepeatRefusal => [last_refusal.as_slice(), &answer].concat(),
                Step::RepeatOwnRefusal => {
                    let refusals = self.refusals.lock().unwrap();
                    [refusals[&id].as_slice(), &answer].concat()
                }
                Step::Cut(bytes) => answer[..bytes].to_vec(),
                Step::Contradict(status, Statement::Made) => refusal(status, Some(&id)),
                Step::Contradict(status, Statement::Missing) => answer_with(status, &id),
                Step::Answer | Step::AnswerAsOther | Step::Refuse(..) => answer,
            };
            if stream.write_all(&sent).is_err() || matches!(step, Step::Cut(_)) {
                return;
            }
        }
    }
}

/// Reads a request without a body and returns its id.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8(head).ok()?;
    let id = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_id = name.eq_ignore_ascii_case("x-request-id");
        is_id.then(|| value.trim().to_owned())
    });
    id.or_else(|| Some(String::new()))
}

fn refusal(status: u16, id: Option<&str>) -> Vec<u8> {
    let id = id.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
    format!("HTTP/1.1 {status} No\r\n{id}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

fn answer_of_other(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 421 No\r\nx-request-id: {id}\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn answer(id: &str) -> Vec<u8> {
    answer_with(200, id)
}

fn answer_with(status: u16, id: &str) -> Vec<u8> {
    let length = BODY.len();
    format!("HTTP/1.1 {status} OK\r\nx-response-stamp: s\r\ncontent-length: {length}\r\nx-request-id: {id}\r\n\r\n{BODY}")
        .into_bytes()
}

/// Runs a test with a daemon beside a faulty instance of the service `bookings`.
fn with_faulty_instance<F: Future<Output = ()>>(
    test: u8,
    body: impl FnOnce(Arc<FaultyInstance>, SocketAddr) -> F,
) {
    http_edge::block_on(async {
        let store = StoreService::default();
        let server = serve(SocketAddr::new(ip(test, 1), STORE), Rc::new(store.clone()));
        // A refused request may go to the same instance again.
        let config =
            config_text(3, "bookings", "{}", "").replace(r#""Attempts":2"#, r#""Attempts":1"#);
        append(&store, "keyed.op", "config", config.as_bytes());
        let boot = boot(test, 2, "bookings");
        let instance = FaultyInstance::start(boot.instance_address);
        let daemon = Daemon::start(boot).expect("the daemon starts");
        let heartbeat = format!(
            r#"{{"Service":"bookings","Address":"{}:{INSTANCE}","Zone":"suva-a","Version":"v1","Slots":4,"State":"ready","ColdLeft":"0ms","Seq":1,"born":7}}"#,
            ip(test, 2),
        );
        let heartbeat = Request::post("/-/Instances.Heartbeat/i-1", heartbeat);
        let res = send(ip(test, 2), HEARTBEATS, heartbeat).await;
        assert_eq!(res.status, StatusCode::OK);
        wait_until("the daemon is ready", || daemon.is_ready()).await;
        let address = SocketAddr::new(ip(test, 2), REQUESTS);
        while call(address, Method::GET, "warm-up").await.status != StatusCode::OK {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        body(instance, address).await;
        daemon.close().await;
        server.close(Duration::ZERO).await;
    });
}

/// Sends a request that may run once if its method is POST.
async fn call(address: SocketAddr, method: Method, id: &str) -> Response {
    let path = match method {
        Method::POST => "/book/1",
        _ => "/look/1",
    };
    let req = Request::new(method, path, "")
        .with_header("host", "shop.example")
        .with_header("x-request-id", id)
        .with_header("x-deadline-ms", "2000");
    send(address.ip(), address.port(), req).await
}

/// Fault seen: a refusal counted for the request after the one that it was written for, which ran.
#[test]
fn a_repeated_refusal_is_not_taken_for_that_of_the_next_request() {
    with_faulty_instance(97, |instance, address| async move {
        for (status, echo) in [
            (503, Echo::Id),
            (421, Echo::Id),
            (429, Echo::Id),
            (503, Echo::Nothing),
            (421, Echo::Nothing),
        ] {
            let case = format!("{status}-{echo:?}");
            let (refused, next) = (format!("{case}-refused"), format!("{case}-next"));
            // Refused as often as the daemon sends it.
            instance.plan(&[Step::Refuse(status, echo); 8]);
            call(address, Method::POST, &refused).await;
            instance.plan(&[Step::RepeatRefusal]);
            let res = call(address, Method::POST, &next).await;
            let is_promise = PROMISES.contains(&res.status.as_u16());
            let runs = instance.run_count(&next);
            assert!(runs <= 1, "{case}: {runs} runs");
            assert!(
                !is_promise || runs == 0,
                "{case}: ran, and got {}",
                res.status
            );
            assert_eq!(
                call(address, Method::GET, "between").await.status,
                StatusCode::OK
            );
        }
    });
}

/// The id does not tell a repeated refusal from a new one where the request itself is sent again.
#[test]
fn a_request_that_is_sent_again_to_an_instance_does_not_get_its_first_refusal_once_more() {
    with_faulty_instance(98, |instance, address| async move {
        for status in [503, 429] {
            let id = format!("again-{status}");
            instance.plan(&[Step::Refuse(status, Echo::Id), Step::RepeatRefusal]);
            let res = call(address, Method::POST, &id).await;
            let runs = instance.run_count(&id);
            assert!(runs <= 1, "{status}: {runs} runs");
            let is_promise = PROMISES.contains(&res.status.as_u16());
            assert!(
                !is_promise || runs == 0,
                "{status}: ran, and got {}",
                res.status
            );
            instance.plan(&[]);
        }
    });
}

/// Fault seen: an instance got a request that may run once again after it had refused it, and its first refusal
/// counted for the run.
#[test]
fn a_copy_of_a_refusal_on_another_connection_is_not_taken_for_that_of_the_run() {
    with_faulty_instance(102, |instance, address| async move {
        for status in [503, 429] {
            let id = format!("copied-{status}");
            // As often as the daemon may send it again.
            instance.plan(&[
                Step::Refuse(status, Echo::Id),
                Step::RepeatOwnRefusal,
                Step::RepeatOwnRefusal,
                Step::RepeatOwnRefusal,
            ]);
            let res = call(address, Method::POST, &id).await;
            instance.plan(&[]);
            let runs = instance.run_count(&id);
            assert!(runs <= 1, "{status}: {runs} runs");
            let is_promise = PROMISES.contains(&res.status.as_u16());
            assert!(
                !is_promise || runs == 0,
                "{status}: ran, and got {}",
                res.status
            );
        }
    });
}

/// Fault seen: a daemon took its own instance for a leaving one, since another one at its address had said so.
#[test]
fn an_answer_of_another_instance_says_nothing_of_the_local_one() {
    with_faulty_instance(103, |instance, address| async move {
        instance.plan(&[Step::AnswerAsOther]);
        call(address, Method::POST, "misdirected").await;
        for n in 0..10 {
            let res = call(address, Method::POST, &format!("after-{n}")).await;
            assert_eq!(res.status, StatusCode::OK, "{n}");
        }
    });
}

/// Fault seen: a request that ran was answered with a status that promises that it did not.
#[test]
fn an_instance_that_contradicts_itself_has_no_request_refused_or_repeated() {
    with_faulty_instance(100, |instance, address| async move {
        for (status, statement) in [
            (503, Statement::Missing),
            (429, Statement::Missing),
            (408, Statement::Missing),
            (421, Statement::Missing),
            (200, Statement::Made),
        ] {
            let id = format!("contradicted-{status}");
            // As often as the daemon may send it.
            instance.plan(&[Step::Contradict(status, statement); 4]);
            let res = call(address, Method::POST, &id).await;
            instance.plan(&[]);
            let runs = instance.run_count(&id);
            assert_eq!(runs, 1, "{status}, {statement:?}: runs");
            let is_promise = PROMISES.contains(&res.status.as_u16());
            assert!(
                !is_promise,
                "{status}, {statement:?}: ran, and got {}",
                res.status
            );
        }
    });
}

/// Holds on the code before this test, too: a head or a body that ends early is never passed on.
#[test]
fn an_answer_that_ends_early_is_no_success() {
    with_faulty_instance(99, |instance, address| async move {
        for bytes in 0..answer("cut-000").len() {
            let id = format!("cut-{bytes:03}");
            // As often as the daemon may send it.
            instance.plan(&[Step::Cut(bytes); 4]);
            let res = call(address, Method::GET, &id).await;
            assert!(
                !res.status.is_success(),
                "{} after {bytes} bytes",
                res.status
            );
            instance.plan(&[]);
        }
        let res = call(address, Method::GET, "whole").await;
        assert_eq!(
            (res.status, &res.body[..]),
            (StatusCode::OK, BODY.as_bytes())
        );
    });
}
