//! DatagramSocket on the runtime.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;
use std::time::Duration;

use bytes::Bytes;
use monoio::net::udp::UdpSocket;

/// Pause after a failed receive, so that a broken socket does not spin.
const RECEIVE_PAUSE: Duration = Duration::from_millis(1);

/// A socket for datagrams.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Opens the socket.
    ///
    /// # Errors
    /// When the address is taken or not ours.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = StdUdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self { socket })
    }

    /// Sends one.
    ///
    /// # Errors
    /// When the system does not take it; it is lost then, as any other may be.
    pub async fn send(&self, datagram: Bytes, to: SocketAddr) -> io::Result<()> {
        self.socket.send_to(datagram, to).await.0.map(|_| ())
    }

    /// Waits for one. Returns the buffer, the length of what is in it, and who sent it.
    pub async fn receive(&self, mut buf: Vec<u8>) -> (Vec<u8>, usize, SocketAddr) {
        let mut is_broken = false;
        loop {
            let (received, returned) = self.socket.recv_from(buf).await;
            buf = returned;
            match received {
                Ok((len, from)) => return (buf, len, from),
                // A port that is closed at the other end shows up here as well.
                Err(e) if !is_broken => log::warn!("datagrams: cannot receive: {e}"),
                Err(_) => {}
            }
            is_broken = true;
            monoio::time::sleep(RECEIVE_PAUSE).await;
        }
    }
}
