//! Runs the commands that query daemons or read settings as processes, against a fake daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::SystemTime;

use base::units::unix_millis;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use http_edge::block_on;
use http_edge::listen;
use ledger::State;
use protocol::status::Status;
use report::CallResult;
use report::History;

/// Answers like a daemon that received 100 calls for bookings, one of which was bad.
struct FakeDaemon;

impl Handler for FakeDaemon {
    async fn handle(&self, req: Request) -> Response {
        let text = match req.path() {
            "/status" => serde_json::to_vec(&status()),
            "/history" => serde_json::to_vec(history().view()),
            _ => return Response::text(StatusCode::NOT_FOUND, "no such path"),
        };
        Response::json(StatusCode::OK, text.expect("writes"))
    }
}

fn status() -> Status {
    Status {
        daemon: "suva-a-bookings-1".into(),
        incarnation: 1,
        zone: "suva-a".into(),
        next: 40,
        ticket: 7,
        epoch: 2,
        controller: None,
        members: Vec::new(),
        state: State::default(),
    }
}

fn history() -> History {
    let now = unix_millis(SystemTime::now());
    let mut history = History::new(now);
    for _ in 0..99 {
        history.record(&"bookings".into(), CallResult::Good, now);
    }
    history.record(&"bookings".into(), CallResult::Bad, now);
    history
}

/// Starts a fake daemon on a thread of its own, which ends with the test process.
fn start_daemon() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async {
            let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
            tx.send(listener.local_addr().expect("an address"))
                .expect("the test waits");
            let _server = Server::start(listener, Rc::new(FakeDaemon), ServerCfg::default());
            std::future::pending::<()>().await;
        });
    });
    rx.recv().expect("the daemon starts")
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bronzehead"))
        .args(args)
        .output()
        .expect("the command runs")
}

/// Checks the exit code and that standard output or standard error contains `part`; returns
/// standard output.
#[track_caller]
fn check(args: &[&str], code: i32, part: &str) -> String {
    let output = run(args);
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{args:?}: {out}{err}");
    assert!(out.contains(part) || err.contains(part), "{out}{err}");
    out
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples");
    path.join(name).display().to_string()
}

/// Returns an address on which no process listens.
fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

#[test]
fn settings_check_agrees_with_what_a_daemon_accepts() {
    for name in ["tanoa.yaml", "glykotheke.yaml"] {
        check(&["settings", "check", &example(name)], 0, "good, for ");
    }
    let args = ["settings", "check", &example("objectives.yaml")];
    check(&args, 2, "unknown field `windows`, expected one of");
    check(
        &["settings", "check", "gone.yaml"],
        2,
        "gone.yaml: cannot be read",
    );
    check(&["settings", "check"], 2, "<FILE>");
}

#[test]
fn status_shows_each_daemon_and_fails_when_one_does_not_answer() {
    let daemon = start_daemon().to_string();
    let line = "suva-a-bookings-1 in suva-a: ticket 7, next offset 40, epoch 2 of nobody";
    check(&["status", "--daemon", &daemon], 0, line);
    let args = [
        "status",
        "--daemon",
        &unused_address(),
        &daemon,
        "--output",
        "json",
    ];
    let json = check(&args, 1, "cannot connect");
    let status: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(status["ticket"], 7);
    check(&["status", "--daemon", "localhost"], 2, "invalid");
}

#[test]
fn the_burn_report_adds_up_all_daemons() {
    let (first, second) = (start_daemon().to_string(), start_daemon().to_string());
    let objectives = example("objectives.yaml");
    let args = ["report", "burn", "--objectives", &objectives, "--daemon"];
    let with = |more: &[&str]| -> Vec<String> {
        let all = args.iter().chain(more);
        all.map(|arg| (*arg).to_owned()).collect()
    };
    let call = |more: &[&str], code: i32, part: &str| {
        let args = with(more);
        check(
            &args.iter().map(String::as_str).collect::<Vec<_>>(),
            code,
            part,
        )
    };
    // One bad call in 100 is ten times what an objective of 99.9 % allows.
    let table = call(&[&first, &second], 0, "budget left");
    let row = table.lines().find(|line| line.starts_with("bookings"));
    let cells: Vec<&str> = row.expect("a row").split_whitespace().collect();
    assert_eq!(
        cells,
        [
            "bookings", "99.9%", "-900%", "slow", "burn", "10.00", "10.00", "10.00", "10.00", "200"
        ]
    );
    let json = call(&[&first, &second, "--output", "json"], 0, "slow");
    let report: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(report["services"][0]["windows"][0]["calls"]["bad"], 2);
    call(&[&first, "--output", "page"], 0, "<svg");
    call(&[&first, &unused_address()], 1, "budget left");
    call(&[&unused_address()], 1, "no daemon answered");
    let wrong = example("tanoa.yaml");
    let args = ["report", "burn", "--objectives", &wrong, "--daemon", &first];
    check(&args, 2, "unknown field `daemon`");
}
