//! A planned stop cuts no request: each that was taken is answered, and one that is refused has not run.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Response;
use mesh::wire::ForwardOutcome;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;

use crate::site::GRACE;
use crate::site::Machine;
use crate::site::PEERS;
use crate::site::REQUESTS;
use crate::site::TIMEOUT;
use crate::site::booking;
use crate::site::outcome;
use crate::site::with_site;
use crate::site::with_sites;

/// Time after the last byte of a request within which its connection may still be closed without an answer,
/// if no instance got it.
const CROSSING: Duration = Duration::from_millis(200);

/// Which part of a request is on its way when the listeners close.
#[derive(Debug, Clone, Copy)]
enum Late {
    Head,
    Body,
}

/// Sends a request over a kept connection in two parts, at these times after the signal; returns the
/// status of the answer.
async fn send_in_parts(
    machine: Rc<Machine>,
    (id, late): (String, Late),
    (first, second): (Duration, Duration),
    stopped: Rc<Cell<Option<Instant>>>,
) -> Option<u16> {
    let address = SocketAddr::new(machine.ip, REQUESTS);
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let text = |id: &str| {
        format!(
            "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 2000\r\ncontent-length: 10\r\n\r\n0123456789"
        )
    };
    let warm_up = text(&format!("warm-{id}")).into_bytes();
    stream.write_all(warm_up).await.0.expect("it reads");
    let (read, _) = stream.read(vec![0; 4096]).await;
    assert!(read.expect("it answers") > 0);
    while stopped.get().is_none() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    let since = stopped.get().unwrap();
    let text = text(&id);
    let cut = match late {
        Late::Head => 60,
        Late::Body => text.len() - 5,
    };
    let (start, rest) = text.split_at(cut);
    for (at, part) in [(first, start), (second, rest)] {
        monoio::time::sleep(at.saturating_sub(since.elapsed())).await;
        if stream.write_all(part.as_bytes().to_vec()).await.0.is_err() {
            return None;
        }
    }
    let mut answer = Vec::new();
    loop {
        let (read, buf) = stream.read(vec![0; 4096]).await;
        match read {
            Ok(n) if n > 0 => answer.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    let status = std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?;
    status.parse().ok()
}

/// Uploads over slow links are of this kind; their connections were closed without an answer.
#[test]
fn a_request_that_is_on_its_way_at_the_close_is_answered() {
    with_site(21, |site| async move {
        let machine = Rc::clone(&site.machines[0]);
        let stopped = Rc::new(Cell::new(None));
        let mut sent = Vec::new();
        for late in [Late::Head, Late::Body] {
            for whole_ms in [2700, 3200, 3600, 4200, 5000] {
                let id = format!("{late:?}-{whole_ms}");
                let times = (Duration::from_secs(2), Duration::from_millis(whole_ms));
                let answer = send_in_parts(
                    Rc::clone(&machine),
                    (id.clone(), late),
                    times,
                    Rc::clone(&stopped),
                );
                sent.push((id, monoio::spawn(answer)));
            }
        }
        monoio::time::sleep(Duration::from_millis(500)).await;
        machine.terminate();
        stopped.set(Some(Instant::now()));
        for (id, answer) in sent {
            let runs = |site: &crate::site::Site| -> usize {
                site.machines.iter().map(|m| m.instance.runs(&id)).sum()
            };
            match answer.await {
                Some(200) => assert_eq!(runs(&site), 1, "{id}"),
                Some(503) => assert_eq!(runs(&site), 0, "{id} was refused and ran"),
                other => panic!("{id}: {other:?}"),
            }
        }
        assert!(machine.wait_for_end().await <= GRACE);
        site
    });
}

/// What became of a request.
struct Sent {
    id: String,
    took: Duration,
    answer: Option<Response>,
}

/// Clients use their connections until the process is gone, with requests that may run once only; the work
/// takes so long that the last requests end near the end of the grace period.
#[test]
fn connections_that_are_used_until_the_process_is_gone_lose_no_request() {
    with_sites([(22, 290), (23, 1700)], |site, work_ms| async move {
        let machine = Rc::clone(&site.machines[0]);
        for machine in &site.machines {
            machine.instance.work.set(Duration::from_millis(work_ms));
        }
        let sent = Rc::new(RefCell::new(Vec::new()));
        let is_gone = Rc::new(Cell::new(false));
        let mut clients = Vec::new();
        for client in 0..10 {
            let (machine, sent) = (Rc::clone(&machine), Rc::clone(&sent));
            let is_gone = Rc::clone(&is_gone);
            clients.push(monoio::spawn(async move {
                use_connections(&machine, client, &sent, &is_gone).await;
            }));
        }
        monoio::time::sleep(Duration::from_secs(2)).await;
        machine.terminate();
        assert!(machine.wait_for_end().await <= GRACE);
        is_gone.set(true);
        for client in clients {
            client.await;
        }
        let sent = sent.borrow();
        assert!(sent.len() > 20);
        for Sent { id, took, answer } in sent.iter() {
            let runs: usize = site.machines.iter().map(|m| m.instance.runs(id)).sum();
            match answer.as_ref().map(|res| res.status) {
                Some(StatusCode::OK) => assert_eq!(runs, 1, "{id}"),
                Some(StatusCode::SERVICE_UNAVAILABLE) => assert_eq!(runs, 0, "{id}"),
                Some(status) => panic!("{id}: {status}"),
                None => assert!(runs == 0 && *took <= CROSSING, "{id}: {runs} {took:?}"),
            }
        }
        site
    });
}

/// Sends one request after the other over a connection, whatever its answers say, and opens another one when
/// it is closed.
async fn use_connections(
    machine: &Machine,
    client: u32,
    sent: &RefCell<Vec<Sent>>,
    is_gone: &Cell<bool>,
) {
    let address = SocketAddr::new(machine.ip, REQUESTS);
    let mut count = 0;
    while !is_gone.get() {
        let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
        let Ok(mut conn) = conn else {
            monoio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        loop {
            count += 1;
            let id = format!("{client}-{count}");
            let began = Instant::now();
            let answered = conn.call(booking(&id), TIMEOUT).await;
            let is_open = answered.is_ok();
            sent.borrow_mut().push(Sent {
                id,
                took: began.elapsed(),
                answer: answered.ok(),
            });
            if !is_open || is_gone.get() {
                break;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A daemon whose notice of the stop was lost goes on sending requests to the instance, and the work takes
/// most of their time. A client's request keeps the process until then.
#[test]
fn requests_of_peers_that_have_not_heard_of_the_stop_are_answered() {
    with_site(24, |site| async move {
        let machine = Rc::clone(&site.machines[0]);
        for machine in &site.machines {
            machine.instance.work.set(Duration::from_millis(1700));
        }
        let peer = SocketAddr::new(machine.ip, PEERS);
        machine.terminate();
        let stopped = Instant::now();
        let stopping = Rc::clone(&machine);
        let end = monoio::spawn(async move { stopping.wait_for_end().await });
        let mut calls = Vec::new();
        let mut number = 0_u32;
        while stopped.elapsed() < GRACE {
            number += 1;
            let (target, id) = (Rc::clone(&machine), format!("peer-{number}"));
            calls.push(monoio::spawn(async move {
                let conn = Conn::connect(peer, TIMEOUT, Limits::default()).await;
                let res = conn.ok()?.call(target.forwarded(&id), TIMEOUT).await;
                Some((id, res.ok()))
            }));
            if number.is_multiple_of(4) {
                let (own, id) = (Rc::clone(&machine), format!("own-{number}"));
                monoio::spawn(async move { own.book(&id).await });
            }
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(end.await <= GRACE);
        let mut answered = 0;
        for call in calls {
            // A connection that could not be opened carried no request.
            let Some((id, res)) = call.await else {
                continue;
            };
            let runs = machine.instance.runs(&id);
            let Some(res) = res else {
                assert_eq!(runs, 0, "{id} ran and got no answer");
                continue;
            };
            match outcome(&res) {
                ForwardOutcome::Answered { .. } => {
                    answered += 1;
                    assert_eq!(runs, 1, "{id}");
                }
                ForwardOutcome::NotRun(_) => assert_eq!(runs, 0, "{id} was refused and ran"),
                other => panic!("{id}: {other:?}"),
            }
        }
        assert!(answered > 10, "{answered}");
        site
    });
}
