//! Answers that arrive at once: they are charged before they are read, and wait for each other.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use crate::BudgetLimits;
use crate::CallError;
use crate::Conn;
use crate::Limits;
use crate::MemoryBudget;
use crate::Request;
use crate::Response;
use crate::block_on;
use crate::tests::TIMEOUT;

const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Part of the budget that answers may take while they arrive.
const MAX_ARRIVING: usize = MAX_BYTES / 4;

const BODY_BYTES: usize = 300_000;

/// A server that answers each request with a body of so many bytes, in one piece or in chunks.
fn body_server(bytes: usize, is_chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let body = "x".repeat(bytes);
                while stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0) {
                    let answer = if is_chunked {
                        let chunk = format!("{bytes:x}\r\n{body}\r\n0\r\n\r\n");
                        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}")
                    } else {
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n{body}")
                    };
                    // The client may have left.
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    address
}

fn budget() -> MemoryBudget {
    MemoryBudget::new(BudgetLimits {
        max_bytes: MAX_BYTES,
        max_connections: 100,
    })
}

async fn call(
    address: SocketAddr,
    budget: &MemoryBudget,
    timeout: Duration,
) -> Result<Response, CallError> {
    let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
    let mut conn = conn.unwrap().within(budget.clone());
    conn.call(Request::get("/"), timeout).await
}

/// Guards against answers that take more memory than there is since they arrive at once.
#[test]
fn answers_that_arrive_at_once_wait_for_those_before_them() {
    for is_chunked in [false, true] {
        let address = body_server(BODY_BYTES, is_chunked);
        block_on(async {
            let budget = budget();
            let peak = Rc::new(std::cell::Cell::new(0));
            let calls: Vec<_> = (0..20)
                .map(|_| {
                    let (budget, peak) = (budget.clone(), Rc::clone(&peak));
                    monoio::spawn(async move {
                        let res = call(address, &budget, TIMEOUT).await.unwrap();
                        peak.set(budget.stats().used_bytes.max(peak.get()));
                        // It takes a while to send it on.
                        monoio::time::sleep(Duration::from_millis(20)).await;
                        res.body.len()
                    })
                })
                .collect();
            for call in calls {
                assert_eq!(call.await, BODY_BYTES);
            }
            let peak = peak.get();
            assert!((BODY_BYTES..=MAX_ARRIVING).contains(&peak), "{peak}");
            assert_eq!(budget.stats().used_bytes, 0);
        });
    }
}

#[test]
fn an_answer_that_is_larger_than_its_part_arrives_alone() {
    let address = body_server(1024 * 1024, false);
    block_on(async {
        let budget = MemoryBudget::new(BudgetLimits {
            max_bytes: 1024 * 1024,
            max_connections: 100,
        });
        let res = call(address, &budget, TIMEOUT).await.unwrap();
        assert_eq!(res.body.len(), 1024 * 1024);
    });
}

/// Guards against calls that wait for room beyond their time, and room that is lost with them.
#[test]
fn a_call_that_waits_for_room_ends_in_its_time() {
    let address = body_server(BODY_BYTES, false);
    block_on(async {
        let budget = budget();
        let mut held = Vec::new();
        while held.len() < MAX_ARRIVING / BODY_BYTES {
            held.push(call(address, &budget, TIMEOUT).await.unwrap());
        }
        let waiting = call(address, &budget, Duration::from_millis(50)).await;
        assert!(matches!(waiting, Err(CallError::TimedOut)), "{waiting:?}");
        drop(held);
        assert_eq!(budget.stats().used_bytes, 0);
        assert!(call(address, &budget, TIMEOUT).await.is_ok());
    });
}

#[test]
fn small_answers_are_not_charged() {
    let address = body_server(16 * 1024, false);
    block_on(async {
        let budget = budget();
        let res = call(address, &budget, TIMEOUT).await.unwrap();
        assert_eq!(budget.stats().used_bytes, 0);
        assert!(res.charge.is_none());
    });
}
