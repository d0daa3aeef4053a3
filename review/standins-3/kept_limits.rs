//! A configuration allows longer bodies; requesters use connections that they have kept since before.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::RouteCfg;
use crate::net::message;
use crate::net::read_message;
use crate::site;

/// Requesters, each with a connection of its own.
const REQUESTERS: usize = 30;

/// Time from the ack of the configuration to the next requests; `ConfigApply` is 2 s, and requesters use
/// connections that have been idle for up to 12 s.
const PAUSE: Duration = Duration::from_secs(6);

/// Length of the body that only the later configuration allows.
const BODY_BYTES: usize = 2 * 1024 * 1024;

struct Requester {
    stream: TcpStream,
    rest: Vec<u8>,
    machine: String,
}

impl Requester {
    fn send(&mut self, run: &Run, id: &str, bytes: usize) -> Result<u16, String> {
        let headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", "2000"),
        ];
        let req = message("POST /hold/2f HTTP/1.1", &headers, &"x".repeat(bytes));
        run.record.write(&format!("client at {} sends {id}: {bytes} bytes", self.machine));
        // The answer may come before the whole body has been sent.
        let written = self.stream.write_all(&req.encode());
        let res = read_message(&mut self.stream, &mut self.rest);
        let end = match (res, written) {
            (Some(res), _) => Ok(res.status()),
            (None, Err(e)) => Err(e.to_string()),
            (None, Ok(())) => Err("no whole answer".to_owned()),
        };
        run.record.write(&format!("client at {} gets for {id}: {end:?}", self.machine));
        end
    }
}

pub fn play(run: &Run) -> Finding {
    let places = [
        ("sidecar-attiki-a-1", "attiki-a", "vitrina", "v1"),
        ("sidecar-attiki-a-2", "attiki-a", "apothiki", "v1"),
        ("sidecar-attiki-b-1", "attiki-b", "apothiki", "v1"),
    ];
    let route = RouteCfg {
        prefix: "/hold/",
        kind: "non_idempotent",
        service: "apothiki",
        timeout: "2000ms",
        target_latency: "800ms",
        attempts: 2,
        priority: 1,
    };
    let limited = |version, max_body: usize| {
        let config = fleet::config(version, std::slice::from_ref(&route));
        config.replace("\"MaxBodyBytes\":67108864", &format!("\"MaxBodyBytes\":{max_body}"))
    };
    let before = if run.is_disrupted { 1024 * 1024 } else { 4 * 1024 * 1024 };
    let site = match site::start(run, &places, &limited(7, before), Duration::from_millis(20)) {
        Ok(site) => site,
        Err(e) => return Finding::CannotRun(e),
    };
    let mut requesters = Vec::new();
    for number in 0..REQUESTERS {
        let machine = &site.machines[number % site.machines.len()];
        let Ok(stream) = TcpStream::connect(machine.address(fleet::OUTBOUND)) else {
            return Finding::CannotRun("no connection to a daemon".to_owned());
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let (rest, machine) = (Vec::new(), machine.name.clone());
        requesters.push(Requester { stream, rest, machine });
    }
    for (number, requester) in requesters.iter_mut().enumerate() {
        if requester.send(run, &format!("{number:016x}"), 100) != Ok(200) {
            return Finding::CannotRun("a first request was not served".to_owned());
        }
    }
    site.store.put("keyed.op", "config", &limited(9, 4 * 1024 * 1024));
    run.record.write("the store holds op/config r9 with MaxBodyBytes 4194304");
    thread::sleep(PAUSE);
    let mut ends = Vec::new();
    for (number, requester) in requesters.iter_mut().enumerate() {
        ends.push(requester.send(run, &format!("{:016x}", 0x1000 + number), BODY_BYTES));
    }
    // On a new connection the same request is served.
    let stream = TcpStream::connect(site.machines[0].address(fleet::OUTBOUND));
    if let Ok(stream) = stream {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let (rest, machine) = (Vec::new(), site.machines[0].name.clone());
        let mut fresh = Requester { stream, rest, machine };
        let end = fresh.send(run, "fresh", BODY_BYTES);
        run.record.write(&format!("on a new connection: {end:?}"));
    }
    let denied = ends.iter().filter(|end| **end == Ok(413)).count();
    let served = ends.iter().filter(|end| **end == Ok(200)).count();
    let all = REQUESTERS * 2 + 1;
    let allowed = 5 + all / 500;
    let text = format!(
        "of {REQUESTERS} requests on kept connections, sent {} s after the ack of r9, {denied} get 413 and {served} are \
         served; {allowed} of {all} requests may be denied",
        PAUSE.as_secs()
    );
    if denied > allowed {
        Finding::Broken(text)
    } else if served == 0 {
        Finding::CannotRun(text)
    } else {
        Finding::Held(text)
    }
}
