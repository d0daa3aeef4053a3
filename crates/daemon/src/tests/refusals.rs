//! An upstream that writes an earlier refusal once more on a kept connection, or denies a run that it answers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use http_edge::block_on;
use protocol::announce::Announcement;

use crate::tests::fleet::Fleet;
use crate::tests::fleet::outcome_of;

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: full\r\ncontent-length: 0\r\n\r\n";

const DENIED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nx-not-run: full\r\ncontent-length: 0\r\n\r\n";

/// Refuses its first request; runs later ones, and repeats the refusal on its connection instead of an answer.
#[derive(Default)]
struct RepeatingUpstream {
    /// Whether it runs all requests, and answers that it did not.
    denies: bool,
    has_refused: AtomicBool,
    runs: AtomicU32,
}

impl RepeatingUpstream {
    fn start(denies: bool) -> (Arc<Self>, SocketAddr) {
        let upstream = Arc::new(Self {
            denies,
            ..Self::default()
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream.unwrap()));
            }
        });
        (upstream, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut has_refused_here = false;
        let mut buf = [0; 4096];
        while stream.read(&mut buf).is_ok_and(|bytes| bytes > 0) {
            if self.denies {
                self.runs.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(DENIED_ANSWER);
                continue;
            }
            if !self.has_refused.swap(true, Ordering::SeqCst) {
                has_refused_here = true;
                let _ = stream.write_all(REFUSAL);
                continue;
            }
            self.runs.fetch_add(1, Ordering::SeqCst);
            if !has_refused_here || stream.write_all(REFUSAL).is_err() {
                return;
            }
        }
    }
}

/// Calls twice, with this upstream in place of the near one; checks that the second booking runs once.
fn check_second_booking(denies: bool, first: (&str, u32)) {
    block_on(async {
        let fleet = Fleet::start();
        let (upstream, address) = RepeatingUpstream::start(denies);
        let announced = fleet.near.shared.upstream.get();
        let announced = announced.as_ref().clone().expect("an upstream");
        fleet.near.shared.upstream.set(Some(Announcement {
            address,
            ..announced
        }));
        let res = fleet.call("/book", "gown-1", 100).await;
        let runs = upstream.runs.load(Ordering::SeqCst) + fleet.runs("gown-1");
        assert_eq!((outcome_of(&res, "gown-1"), runs), first);
        let before = upstream.runs.load(Ordering::SeqCst);
        let res = fleet.call("/book", "gown-2", 100).await;
        let runs = upstream.runs.load(Ordering::SeqCst) - before + fleet.runs("gown-2");
        assert_eq!((outcome_of(&res, "gown-2"), runs), ("unknown", 1));
    });
}

#[test]
fn booking_whose_upstream_repeats_an_earlier_refusal_runs_once() {
    check_second_booking(false, ("answer", 1));
}

#[test]
fn booking_whose_upstream_answers_and_denies_the_run_runs_once() {
    check_second_booking(true, ("unknown", 1));
}
