//! UDP on the runtime.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;
use std::time::Duration;

use bytes::Bytes;
use monoio::net::udp::UdpSocket;

/// Delay after a failed receive, so that a broken socket does not cause a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A bound UDP socket.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// When the address is in use or not local.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = StdUdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self { socket })
    }

    /// Sends one datagram.
    ///
    /// # Errors
    /// When the kernel rejects it. The datagram is then lost, as it may be in the network.
    pub async fn send(&self, datagram: Bytes, to: SocketAddr) -> io::Result<()> {
        self.socket.send_to(datagram, to).await.0.map(|_| ())
    }

    /// Waits for one datagram. Returns the buffer, the length of the datagram in bytes, and the
    /// sender. Failed receives are retried; only the first failure of a call is logged.
    pub async fn receive(&self, mut buf: Vec<u8>) -> (Vec<u8>, usize, SocketAddr) {
        let mut has_failed = false;
        loop {
            let (received, returned) = self.socket.recv_from(buf).await;
            buf = returned;
            match received {
                Ok((len, from)) => return (buf, len, from),
                // ICMP "port unreachable" for an earlier send is reported here as well.
                Err(e) if !has_failed => log::warn!("udp: receive failed: {e}"),
                Err(_) => {}
            }
            has_failed = true;
            monoio::time::sleep(RECEIVE_RETRY_DELAY).await;
        }
    }
}
