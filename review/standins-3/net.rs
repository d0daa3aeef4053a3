//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Word of the first line, counted from 0.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.line);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// Reads the next message of a connection; `None` at its end. `rest` holds what was read beyond the last one.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        fill(stream, rest)?;
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        line,
        headers,
        body: Vec::new(),
    };
    let length: usize = message.header("content-length").map_or(0, |text| {
        text.parse().unwrap_or(0)
    });
    while rest.len() < length {
        fill(stream, rest)?;
    }
    message.body = rest.drain(..length).collect();
    Some(message)
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let mut buf = [0; 16 * 1024];
    match stream.read(&mut buf) {
        Ok(n) if n > 0 => {
            rest.extend(&buf[..n]);
            Some(())
        }
        _ => None,
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call(to: SocketAddr, req: &Message, timeout: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    let mut stream = stream.map_err(|e| format!("no connection: {e}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    stream
        .write_all(&req.encode())
        .map_err(|e| format!("cannot send: {e}"))?;
    read_message(&mut stream, &mut Vec::new()).ok_or_else(|| "no whole answer".to_owned())
}

/// Builds a message.
pub fn message(line: impl Into<String>, headers: &[(&str, &str)], body: &str) -> Message {
    let headers = headers.iter();
    Message {
        line: line.into(),
        headers: headers
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
        body: body.as_bytes().to_vec(),
    }
}
