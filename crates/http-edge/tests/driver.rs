//! The runtime uses epoll and not `io_uring`. A separate test binary, so that no other test opens
//! descriptors in the process.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;

const TIMEOUT: Duration = Duration::from_secs(10);
const CLIENTS: usize = 8;
const CALLS_PER_CLIENT: usize = 50;

/// Responds with the open file descriptors of this process.
struct Descriptors;

impl Handler for Descriptors {
    async fn handle(&self, _req: Request) -> Response {
        monoio::time::sleep(Duration::from_millis(1)).await;
        Response::new(StatusCode::OK, open_descriptors())
    }
}

fn open_descriptors() -> String {
    let entries = std::fs::read_dir("/proc/self/fd").expect("a list of descriptors");
    let links = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let names: Vec<_> = links.map(|link| link.display().to_string()).collect();
    names.join("\n")
}

#[test]
fn runtime_under_load_has_an_epoll_instance_and_no_io_uring() {
    http_edge::block_on(async {
        let listener = http_edge::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let _server = Server::start(listener, Rc::new(Descriptors), ServerCfg::default());
        let call = move || async move {
            let limits = Limits::default();
            let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
            for _ in 0..CALLS_PER_CLIENT {
                let res = conn.call(Request::get("/"), TIMEOUT).await.unwrap();
                let names = String::from_utf8(res.body.to_vec()).unwrap();
                assert!(names.contains("anon_inode:[eventpoll]"), "{names}");
                assert!(!names.contains("io_uring"), "{names}");
            }
        };
        let clients: Vec<_> = (0..CLIENTS).map(|_| monoio::spawn(call())).collect();
        for client in clients {
            client.await;
        }
    });
}
