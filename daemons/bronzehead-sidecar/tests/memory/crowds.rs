//! Crowds of clients that do not behave: a daemon stays within its memory and descriptors, and serves others.

use std::rc::Rc;
use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::Message;
use crate::crowd::NUMBER;
use crate::site::Machine;
use crate::site::Setup;
use crate::site::Site;
use crate::site::with_setup;
use crate::usage::Watch;
use crate::usage::is_served;
use crate::usage::take_turn;

/// Largest body of a client, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Largest head of a client, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Bytes by which an incomplete body is short of its end.
const MISSING: usize = 10;

/// Time that a request with a large body takes at an instance.
const LONG_WORK: Duration = Duration::from_millis(1500);

/// Size of the answers that nobody reads, in bytes.
const LARGE_ANSWER: usize = 1_000_000;

/// Limits of most sites; the crowds would take more memory than that.
const SETUP: Setup = Setup {
    machines: 1,
    memory_mb: 40,
    max_fds: 1200,
    max_body: MAX_BODY,
    timeout_ms: 8000,
    target_ms: 4000,
    idle_s: 30,
    slots: 8,
};

/// Limits where connections are scarce.
const FEW_FDS: Setup = Setup {
    max_fds: 400,
    ..SETUP
};

/// Returns a head with these lines after the usual ones.
fn head(lines: &str) -> Vec<u8> {
    head_with_id(&format!("crowd-{NUMBER}"), lines)
}

fn head_with_id(id: &str, lines: &str) -> Vec<u8> {
    let text = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 8000\r\n{lines}\r\n"
    );
    text.into_bytes()
}

/// Returns a head of the largest legal size, whose lines `line` makes, for a body that is never complete.
fn large_head(line: impl Fn(usize) -> String) -> Message {
    let mut lines = "content-length: 20\r\n".to_owned();
    for number in 0.. {
        let line = line(number);
        if head(&lines).len() + line.len() > MAX_HEAD {
            break;
        }
        lines.push_str(&line);
    }
    let mut bytes = head(&lines);
    bytes.extend_from_slice(&[b'x'; MISSING]);
    Message::fast(bytes)
}

/// Returns a request with a body of this length, of which the last bytes are missing.
fn with_length(length: usize, missing: usize) -> Vec<u8> {
    let mut bytes = head(&format!("content-length: {length}\r\n"));
    bytes.resize(bytes.len() + length - missing, b'x');
    bytes
}

/// Returns a request whose chunks of this size take about `length` bytes, and whose last bytes are missing.
fn in_chunks(size: usize, length: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    let mut bytes = head("transfer-encoding: chunked\r\n");
    bytes.extend_from_slice(&chunk.repeat(length / chunk.len()));
    bytes.truncate(bytes.len() - MISSING);
    bytes
}

/// Checks a crowd at a single machine.
fn check(test: u8, setup: Setup, size: usize, message: &Message) {
    check_site(test, setup, size, message, async |_| ());
}

/// Checks a crowd at each machine, without the last one if there are several, after a preparation of the site.
fn check_site(
    test: u8,
    setup: Setup,
    size: usize,
    message: &Message,
    prepare: impl AsyncFnOnce(&Site) + 'static,
) {
    let _turn = take_turn();
    let message = message.clone();
    with_setup(test, setup, async move |site| {
        prepare(&site).await;
        let first = &site.machines[0];
        let watches: Vec<Watch> = site.machines.iter().map(Watch::start).collect();
        let entries = &site.machines[..(site.machines.len() - 1).max(1)];
        let start = |entry: &Rc<Machine>| Crowd::start(entry.request_address(), size, &message);
        let crowds: Vec<Crowd> = entries.iter().map(start).collect();
        for crowd in &crowds {
            crowd.settle().await;
        }
        let mut found = Vec::new();
        if !is_served(first, "beside").await {
            found.push("no answer beside the crowd".to_owned());
        }
        for crowd in crowds {
            crowd.leave();
        }
        if !is_served(first, "after").await {
            found.push("no answer after the crowd".to_owned());
        }
        found.extend(watches.into_iter().flat_map(|watch| watch.finish(setup)));
        assert!(found.is_empty(), "{found:?}");
        site
    });
}

#[test]
fn bodies_with_a_length_that_stop_short_exhaust_the_memory() {
    check(
        40,
        SETUP,
        40,
        &Message::fast(with_length(MAX_BODY, MISSING)),
    );
}

#[test]
fn large_chunks_that_stop_short_exhaust_the_memory() {
    check(
        41,
        SETUP,
        40,
        &Message::fast(in_chunks(64 * 1024, MAX_BODY)),
    );
}

#[test]
fn chunks_of_one_byte_that_stop_short_exhaust_the_memory() {
    check(42, SETUP, 40, &Message::fast(in_chunks(1, 1024 * 1024)));
}

#[test]
fn heads_of_equal_short_lines_exhaust_the_memory() {
    check(43, SETUP, 400, &large_head(|_| "a:b\r\n".to_owned()));
}

#[test]
fn heads_of_distinct_short_lines_exhaust_the_memory() {
    check(44, SETUP, 400, &large_head(|n| format!("a{n:x}:b\r\n")));
}

/// The lines of a head that is small enough for any parser.
#[test]
fn heads_of_ninety_lines_exhaust_the_memory() {
    let lines: Vec<String> = (0..90).map(|n| format!("a{n}:b\r\n")).collect();
    let lines = lines.concat();
    let mut bytes = head(&format!("content-length: 20\r\n{lines}"));
    bytes.extend_from_slice(&[b'x'; MISSING]);
    check(45, SETUP, 800, &Message::fast(bytes));
}

#[test]
fn heads_of_long_names_exhaust_the_memory() {
    let line = |n| format!("{n:x}{}:b\r\n", "a".repeat(250));
    check(46, SETUP, 800, &large_head(line));
}

#[test]
fn heads_of_folded_lines_exhaust_the_memory() {
    let line = |n| if n == 0 { "a: b\r\n" } else { " c\r\n" }.to_owned();
    check(47, SETUP, 800, &large_head(line));
}

#[test]
fn heads_that_stop_short_exhaust_the_memory() {
    let mut bytes = head(&"a:b\r\n".repeat(3200));
    bytes.truncate(bytes.len() - MISSING);
    check(48, SETUP, 800, &Message::fast(bytes));
}

#[test]
fn idle_connections_exhaust_the_descriptors() {
    check(49, FEW_FDS, 600, &Message::fast(Vec::new()));
}

#[test]
fn connections_with_incomplete_heads_exhaust_the_descriptors() {
    check(
        50,
        FEW_FDS,
        600,
        &Message::fast(b"POST /book/1 HT".to_vec()),
    );
}

#[test]
fn whole_bodies_at_once_exhaust_the_memory() {
    let prepare = async |site: &Site| site.machines[0].instance.work.set(LONG_WORK);
    let message = Message::fast(with_length(MAX_BODY, 0));
    check_site(51, SETUP, 40, &message, prepare);
}

/// Checks whole bodies that run at the last machine's instance.
fn check_elsewhere(test: u8, machines: u8, size: usize) {
    let setup = Setup { machines, ..SETUP };
    let prepare = async |site: &Site| {
        for machine in &site.machines {
            machine.instance.work.set(LONG_WORK);
        }
        site.leave_last_only().await;
    };
    let message = Message::fast(with_length(MAX_BODY, 0));
    check_site(test, setup, size, &message, prepare);
}

#[test]
fn whole_bodies_that_run_elsewhere_exhaust_the_memory_of_either_machine() {
    check_elsewhere(52, 2, 40);
}

#[test]
fn whole_bodies_of_two_daemons_exhaust_the_memory_of_the_third() {
    check_elsewhere(56, 3, 20);
}

#[test]
fn answers_that_nobody_reads_exhaust_the_memory() {
    let prepare = async |site: &Site| {
        let instance = &site.machines[0].instance;
        instance.work.set(Duration::from_millis(1));
        instance.answer_bytes.set(LARGE_ANSWER);
    };
    // Each client sends several requests, so that its socket cannot buffer all answers.
    let requests = (0..16).map(|n| head_with_id(&format!("crowd-{NUMBER}-{n}"), ""));
    let message = Message::fast(requests.flatten().collect());
    check_site(53, SETUP, 150, &message, prepare);
}

#[test]
fn bodies_that_arrive_byte_by_byte_exhaust_the_memory() {
    let bytes = with_length(MAX_BODY, MISSING);
    let at_once = bytes.len() + MISSING - MAX_BODY;
    check(54, SETUP, 400, &Message::slow(bytes, at_once));
}

#[test]
fn chunks_that_arrive_byte_by_byte_exhaust_the_memory() {
    let bytes = in_chunks(1, 64 * 1024);
    let at_once = head("transfer-encoding: chunked\r\n").len();
    check(55, SETUP, 400, &Message::slow(bytes, at_once));
}
