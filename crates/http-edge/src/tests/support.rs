//! Raw sockets for server tests, and a raw server for client tests.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use crate::Limits;
use crate::Server;
use crate::block_on;
use crate::tests::TIMEOUT;
use crate::tests::start;

/// Runs a test against an echo server that has its own thread and runtime.
pub fn with_server(limits: Limits, test: impl FnOnce(SocketAddr)) {
    with_started(move || start(limits), test);
}

/// Runs a test against a server that has its own thread and runtime.
pub fn with_started(
    start: impl FnOnce() -> (Server, SocketAddr) + Send + 'static,
    test: impl FnOnce(SocketAddr),
) {
    let (tx, rx) = mpsc::channel();
    let (done_tx, done_rx) = mpsc::channel::<()>();
    let server = std::thread::spawn(move || {
        block_on(async move {
            let (server, address) = start();
            tx.send(address).unwrap();
            while done_rx.try_recv().is_err() {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            server.close(TIMEOUT).await;
        });
    });
    test(rx.recv().unwrap());
    done_tx.send(()).expect("the server still runs");
    server.join().unwrap();
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and reads until the server closes the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The server may respond and close before the last byte is written.
    let _ = stream.write_all(bytes);
    read_to_end(&mut stream)
}

/// Sends bytes, closes the sending side, and reads until the server closes the connection.
pub fn exchange_half_closed(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read_to_end(&mut stream)
}

fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Status codes of the responses in a text.
pub fn statuses(text: &str) -> Vec<u16> {
    text.split("HTTP/1.1 ")
        .skip(1)
        .map(|response| response[..3].parse().expect("a status"))
        .collect()
}

/// Starts a server that reads one request from each connection, writes the next bytes from the
/// channel, and closes the connection.
pub fn raw_server() -> (SocketAddr, mpsc::Sender<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel::<Vec<u8>>();
    std::thread::spawn(move || {
        for (stream, bytes) in listener.incoming().zip(rx) {
            serve(stream.unwrap(), &bytes);
        }
    });
    (address, tx)
}

fn serve(mut stream: TcpStream, bytes: &[u8]) {
    let mut request = Vec::new();
    let mut buf = [0; 1024];
    while !request.ends_with(b"\r\n\r\n") {
        let n = stream.read(&mut buf).unwrap_or(0);
        if n == 0 {
            return;
        }
        request.extend_from_slice(&buf[..n]);
    }
    let _ = stream.write_all(bytes);
}
