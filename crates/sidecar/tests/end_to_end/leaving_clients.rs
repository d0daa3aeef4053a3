//! Clients that leave before the answer: their requests must not run on at the instance of another daemon.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::common::REQUESTS;
use crate::fleet::Machine;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Time after which no instance may work for a client that has left.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Time that an instance takes for a request, unless it is abandoned.
const LONG_WORK: Duration = Duration::from_millis(1200);

/// How a client leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leave {
    Close,
    /// With an answer that it has not read, so that the system resets the connection.
    Reset,
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1400\r\n\r\n"
    )
}

/// Opens a connection that is reset or closed when it is dropped.
async fn connect(front: &Machine, back: &Machine, leave: Leave) -> TcpStream {
    let mut stream = TcpStream::connect(SocketAddr::new(front.ip, REQUESTS)).unwrap();
    stream.set_nonblocking(true).unwrap();
    if leave == Leave::Reset {
        let quick = head("GET", "/look/quick", "quick");
        stream.write_all(quick.as_bytes()).unwrap();
        wait_until("an answer waits to be read", || {
            stream.peek(&mut [0]).is_ok()
        })
        .await;
    }
    back.instance.service_time.set(LONG_WORK);
    stream
}

fn runs(back: &Machine, id: &str) -> usize {
    back.request_ids()
        .iter()
        .filter(|other| *other == id)
        .count()
}

/// Guards against runs that go on at an instance for clients that have left by a reset, or behind a second request.
#[test]
fn an_instance_stops_work_for_a_client_that_has_left_in_any_way() {
    with_fleet(44, |_, front, back| async move {
        wait_for_instance(&front).await;
        for leave in [Leave::Close, Leave::Reset] {
            for behind in ["", "GET /look/ha", &head("GET", "/look/2", "behind")] {
                for method in ["GET", "POST"] {
                    let case = format!("{leave:?} of {method} with {behind:?} behind it");
                    back.instance.service_time.set(Duration::ZERO);
                    back.instance.abandoned.set(0);
                    let mut stream = connect(&front, &back, leave).await;
                    let path = if method == "GET" {
                        "/look/1"
                    } else {
                        "/book/1"
                    };
                    let id = case.replace(|c: char| !c.is_alphanumeric(), "");
                    stream
                        .write_all(head(method, path, &id).as_bytes())
                        .unwrap();
                    wait_until(&case, || runs(&back, &id) == 1).await;
                    stream.write_all(behind.as_bytes()).unwrap();
                    monoio::time::sleep(Duration::from_millis(20)).await;
                    drop(stream);
                    let left_at = Instant::now();
                    wait_until(&case, || back.instance.abandoned.get() == 1).await;
                    assert!(
                        left_at.elapsed() < CANCEL_TIME,
                        "{case}: {:?}",
                        left_at.elapsed()
                    );
                    monoio::time::sleep(Duration::from_millis(50)).await;
                    assert_eq!((runs(&back, &id), runs(&back, "behind")), (1, 0), "{case}");
                }
            }
        }
        (front, back)
    });
}
