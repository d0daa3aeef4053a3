//! The platform's store: keyed topics with one partition, conditional appends and reads that wait.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Message;
use crate::net::message;
use crate::net::read_message;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

/// The store. Clones share its topics.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Topic>>>,
    /// Every call is refused with 503.
    pub is_down: Arc<AtomicBool>,
}

impl Store {
    /// Serves the store at an address.
    pub fn serve(&self, at: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    /// Writes a record of the operator.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.append(topic, vec![record]);
    }

    /// Newest value of a key, as text.
    pub fn get(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.lock().unwrap();
        let (_, value) = topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let first = topic.records.len();
        for record in records {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = record[key_end..].to_vec();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (topic.records.len(), value));
            }
            topic.records.push(record);
        }
        (first, topic.records.len())
    }

    fn end(&self, topic: &str) -> usize {
        let topics = self.topics.lock().unwrap();
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(req) = read_message(&mut stream, &mut rest) {
            let res = self.answer(&req);
            if stream.write_all(&res.encode()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Message {
        thread::sleep(Duration::from_millis(4));
        if self.is_down.load(Ordering::Relaxed) {
            return message("HTTP/1.1 503 Service Unavailable", &[], "");
        }
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|text| text.parse::<usize>().ok());
        let topic = parameter("Topic").unwrap_or_default();
        match path {
            "/-/log-append" => {
                let end = self.end(&topic);
                if number("At").is_some_and(|at| at != end) {
                    let body = format!("{{\"End\":{end}}}");
                    return message("HTTP/1.1 412 Precondition Failed", &[], &body);
                }
                let Some(records) = split_records(&req.body) else {
                    return message("HTTP/1.1 400 Bad Request", &[], "");
                };
                let (first, end) = self.append(&topic, records);
                json(&format!("{{\"Offset\":{first},\"End\":{end}}}"))
            }
            "/-/log-read" => {
                let from = number("From").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0) as u64);
                let began = Instant::now();
                while self.end(&topic) <= from && began.elapsed() < wait {
                    thread::sleep(Duration::from_millis(5));
                    if self.is_down.load(Ordering::Relaxed) {
                        return message("HTTP/1.1 503 Service Unavailable", &[], "");
                    }
                }
                let topics = self.topics.lock().unwrap();
                let records = topics.get(&topic).map_or(&[][..], |t| &t.records[..]);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                Message {
                    body,
                    ..message("HTTP/1.1 200 OK", &[], "")
                }
            }
            "/-/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let Some(topic) = topics.get(&topic) else {
                    return json("{\"items\":[],\"More\":false,\"End\":0}");
                };
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), topic.records.len());
                json(&format!("{{\"items\":[{items}],\"More\":false,\"End\":{end}}}"))
            }
            _ => message("HTTP/1.1 404 Not Found", &[], ""),
        }
    }
}

fn json(body: &str) -> Message {
    let headers = [("Content-Type", "application/json")];
    message("HTTP/1.1 200 OK", &headers, body)
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
