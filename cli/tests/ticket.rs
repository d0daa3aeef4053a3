//! Runs the ticket commands as processes, against the log stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::mpsc;
use std::time::Duration;

use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::block_on;
use ledger::Entry;
use ledger::Record;
use platform::LogCfg;
use platform::LogClient;
use platform::RECORD_STREAM;
use smol_str::format_smolstr;
use standin_log::Cfg;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

const FIRST: &str = "\
ticket: 1
services:
  bookings: { version: v1 }
  payments: { version: v1 }
routes:
  /bookings: { service: bookings, repeat: at-most-once, timeout: 5s }
";

const SECOND: &str = "\
ticket: 2
services:
  bookings: { version: v2, finish_by: 2026-12-03T21:30:00Z }
  payments: { version: v2 }
";

/// Log stand-in on a thread of its own, which ends with the test process.
struct Log {
    address: SocketAddr,
}

impl Log {
    fn start() -> Self {
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            block_on(async {
                let (_log, address) = standin_log::serve_local(Cfg::default()).expect("a port");
                tx.send(address).expect("the test waits");
                std::future::pending::<()>().await;
            });
        });
        let address = rx.recv().expect("the log starts");
        Self { address }
    }

    fn set_faults(&self, faults: &str) {
        let faults = faults.to_owned();
        block_on(async {
            let conn = Conn::connect(self.address, REQUEST_TIMEOUT, Limits::default()).await;
            let mut conn = conn.expect("a connection");
            let set = conn
                .call(Request::post("/faults", faults), REQUEST_TIMEOUT)
                .await;
            assert_eq!(set.expect("an answer").status.as_u16(), 200);
        });
    }

    /// Appends records as a controller or another operator would.
    fn append(&self, records: Vec<Record>) {
        block_on(async {
            let client = LogClient::new(self.address, RECORD_STREAM, LogCfg::default());
            for record in records {
                let text = format!("{record:?}");
                let id = base::hash::stable(&[text.as_bytes()]);
                let entry = Entry {
                    id: format_smolstr!("{id:x}"),
                    at: 1_796_333_402_000,
                    record,
                };
                client.append(&entry).await.expect("an offset");
            }
        });
    }

    fn record_count(&self) -> u64 {
        block_on(async {
            let client = LogClient::new(self.address, RECORD_STREAM, LogCfg::default());
            client.bounds().await.expect("bounds").next
        })
    }

    /// Runs `bronzehead ticket ARGS --log ADDR`.
    fn ticket(&self, args: &[&str]) -> CommandResult {
        let address = self.address.to_string();
        let args = [args, &["--log", &address]].concat();
        run_ticket(&args)
    }

    fn publish(&self, text: &str) -> CommandResult {
        let file = TicketFile::new(text);
        self.ticket(&["publish", file.path(), "--output", "json"])
    }
}

/// Temporary ticket file, removed on drop.
struct TicketFile(PathBuf);

impl TicketFile {
    fn new(text: &str) -> Self {
        let hash = base::hash::stable(&[text.as_bytes()]);
        let thread = format!("{:?}", std::thread::current().id());
        let id = std::process::id();
        let path = std::env::temp_dir().join(format!("ticket-{id}-{thread}-{hash:x}.yaml"));
        std::fs::write(&path, text).expect("a temporary file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for TicketFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[derive(Debug)]
struct CommandResult {
    code: Option<i32>,
    out: String,
    err: String,
}

fn run_ticket(args: &[&str]) -> CommandResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bronzehead"));
    let output: Output = command.arg("ticket").args(args).output().expect("it runs");
    CommandResult {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

impl CommandResult {
    fn assert(&self, code: i32, words: &[&str]) {
        assert_eq!(self.code, Some(code), "{self:?}");
        for word in words {
            let is_found = self.out.contains(word) || self.err.contains(word);
            assert!(is_found, "`{word}` is missing: {self:?}");
        }
    }
}

fn step(service: &str, share: u16) -> Record {
    Record::Step {
        epoch: 1,
        ticket: 2,
        service: service.into(),
        share,
    }
}

#[test]
fn bad_input_gets_exit_code_2_and_nothing_is_published() {
    let log = Log::start();
    log.publish(FIRST).assert(0, &["\"accepted\""]);
    let records = log.record_count();
    let check = |text: &str, words: &[&str]| {
        let file = TicketFile::new(text);
        log.ticket(&["check", file.path()]).assert(2, words);
        log.ticket(&["publish", file.path()]).assert(2, words);
        assert_eq!(log.record_count(), records, "{text}");
    };
    check(
        "ticket: 2\nserivces: {}\n",
        &["line 2", "`serivces`", "`services`"],
    );
    check("ticket: 0\n", &["line 1", "ticket", "at least 1"]);
    check(
        "ticket: 2\nroutes:\n  /a: { service: a, repeat: idempotent, timeout: 5 }\n",
        &["line 3", "timeout", "a unit"],
    );
    check(
        "ticket: 2\nroutes:\n  /a: { service: a, repeat: idempotent, timeout: 5s }\n",
        &["route /a needs service a"],
    );
    check(
        "ticket: 2\nremove_services: [bookings]\n",
        &["needs service bookings"],
    );
    check(
        "ticket: 2\nremove_routes: [/b]\n",
        &["route /b", "does not exist"],
    );
    run_ticket(&["check", "/no/such/file"]).assert(2, &["/no/such/file"]);
    run_ticket(&["publish", "x.yaml"]).assert(2, &["--log"]);
    run_ticket(&["watch", "0", "--log", "127.0.0.1:1"]).assert(2, &["N"]);
    run_ticket(&["moves", "--log", "here"]).assert(2, &["--log"]);
}

#[test]
fn a_check_without_the_log_says_that_the_state_was_not_checked() {
    let file = TicketFile::new(SECOND);
    run_ticket(&["check", file.path()]).assert(0, &["well formed", "--log"]);
}

#[test]
fn of_two_tickets_with_one_number_only_one_is_accepted() {
    let log = Log::start();
    log.publish(FIRST)
        .assert(0, &["\"ticket\":1", "\"accepted\""]);
    let other = FIRST.replace("v1", "v9");
    log.publish(&other)
        .assert(1, &["\"not-published\"", "last accepted ticket, 1"]);
    // Both may read the log before either appends.
    let (a, b) = std::thread::scope(|scope| {
        let other = SECOND.replace("v2", "v3");
        let other_publish = scope.spawn(|| log.publish(SECOND).code);
        (
            log.publish(&other).code,
            other_publish.join().expect("it ran"),
        )
    });
    let mut codes = [a, b];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(1)]);
}

#[test]
fn a_lost_answer_neither_hides_the_verdict_nor_publishes_twice() {
    let log = Log::start();
    log.set_faults(r#"{"lose_answers":1}"#);
    log.publish(FIRST).assert(0, &["\"accepted\""]);
    let records = log.record_count();
    assert_eq!(records, 2, "the append was repeated");
    log.publish(FIRST).assert(0, &["\"accepted\""]);
    assert_eq!(
        log.record_count(),
        records,
        "the second run found the verdict"
    );
}

#[test]
fn a_log_outage_is_reported_within_the_wait() {
    let log = Log::start();
    let file = TicketFile::new(FIRST);
    let args = ["publish", file.path(), "--wait", "2s"];
    log.set_faults(r#"{"outage":"refuse"}"#);
    log.ticket(&args).assert(1, &["log is down: 503"]);
    log.set_faults(r#"{"outage":"hang"}"#);
    log.ticket(&args).assert(1, &["did not answer in time"]);
    log.set_faults(r#"{"outage":"none"}"#);
    assert_eq!(log.record_count(), 0);
    log.ticket(&args[..2]).assert(0, &["ticket 1 accepted"]);
}

#[test]
fn watch_prints_each_end_with_time_and_reason() {
    let log = Log::start();
    log.publish(FIRST).assert(0, &[]);
    log.publish(SECOND).assert(0, &[]);
    log.ticket(&["watch", "1"])
        .assert(0, &["ticket 1 is in force and moves nothing"]);
    log.ticket(&["watch", "9", "--wait", "2s"])
        .assert(1, &["ticket 9 was not published in time"]);
    log.append(vec![
        Record::Claim {
            epoch: 1,
            controller: "d1".into(),
        },
        step("payments", 50),
        step("bookings", 1000),
    ]);
    log.ticket(&["moves"]).assert(
        0,
        &[
            "under way: 2",
            "bookings v1 -> v2 1000/1000, watched",
            "payments v1 -> v2 50/1000",
        ],
    );
    log.ticket(&["watch", "2", "--wait", "2s"])
        .assert(1, &["has not ended in time"]);
    let ends = vec![
        Record::Finish {
            epoch: 1,
            ticket: 2,
            service: "bookings".into(),
        },
        Record::Rollback {
            ticket: 2,
            service: "payments".into(),
            reason: "errors".into(),
        },
    ];
    let watched = std::thread::scope(|scope| {
        let watch = scope.spawn(|| log.ticket(&["watch", "2"]));
        std::thread::sleep(Duration::from_millis(200));
        log.append(ends);
        watch.join().expect("it ran")
    });
    watched.assert(
        1,
        &[
            "2026-12-03T21:30:02.000Z ticket 2 bookings v1 -> v2 done late by 2s",
            "payments v1 -> v2 taken back: errors",
        ],
    );
    log.ticket(&["watch", "2", "--output", "json"]).assert(
        1,
        &["\"end\":\"taken-back\"", "\"moves\":2,\"taken_back\":2"],
    );
    log.publish(&SECOND.replace("ticket: 2", "ticket: 3"))
        .assert(1, &["was taken back before"]);
}
