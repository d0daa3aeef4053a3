//! Answers without end: a daemon stays within its memory and descriptors, and serves other requests.

use std::rc::Rc;
use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::Message;
use crate::crowd::NUMBER;
use crate::faulty_server::Answer;
use crate::faulty_server::FaultyServer;
use crate::site::HEALTH_PATH;
use crate::site::Machine;
use crate::site::Setup;
use crate::site::with_setup;
use crate::usage::Watch;
use crate::usage::is_served;
use crate::usage::take_turn;

/// Clients of each daemon.
const CLIENTS: usize = 150;

/// Answers that must have been begun, where clients ask for them.
const MIN_ANSWERS: usize = 20;

/// Time that a request takes at a sound instance; the clients' requests are under way together.
const WORK: Duration = Duration::from_millis(300);

/// Limits of the sites.
const SETUP: Setup = Setup {
    machines: 2,
    memory_mb: 40,
    max_fds: 1200,
    max_body: 4 * 1024 * 1024,
    timeout_ms: 4000,
    target_ms: 2000,
    idle_s: 30,
    slots: 100,
};

/// No answer at all.
const NO_ANSWER: Answer = Answer {
    start: "x",
    repeated: "x",
};

const HEADER_VALUE: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\nx-a: ",
    repeated: "b",
};

const HEADER_LINES: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "a:b\r\n",
};

const INTERIM: Answer = Answer {
    start: "HTTP/1.1 102 Processing\r\n\r\n",
    repeated: "HTTP/1.1 102 Processing\r\n\r\n",
};

const LENGTH: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n",
    repeated: "x",
};

/// More bytes follow than the length says.
const SHORT_LENGTH: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n",
    repeated: "x",
};

const NO_LENGTH: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\n\r\n",
    repeated: "x",
};

const LARGE_CHUNKS: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3b9ac9ff\r\n",
    repeated: "x",
};

const TINY_CHUNKS: Answer = Answer {
    start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "1\r\nx\r\n",
};

/// Who answers without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faulty {
    Instance,
    /// The instance closes the connections of other requests.
    HealthAnswer,
    Store,
    Peer,
}

impl Faulty {
    /// Takes the place of a part of the site.
    async fn start(self, machines: &[Rc<Machine>], answer: Answer) -> Vec<FaultyServer> {
        let mut places = Vec::new();
        match self {
            Self::Instance => places.push((machines[0].close_instance().await, "/")),
            Self::HealthAnswer => places.push((machines[0].close_instance().await, HEALTH_PATH)),
            Self::Store => {
                for machine in machines {
                    places.push((machine.close_store().await, "/"));
                }
            }
            Self::Peer => places.push((machines[1].close_daemon(), "/")),
        }
        let start = |(address, path)| FaultyServer::start(address, path, answer);
        let servers = places.into_iter().map(start).collect();
        if self == Self::HealthAnswer {
            // A new process probes the instance until the store tells it of earlier departures.
            machines[0].store.faults().is_down.set(true);
            machines[0].kill();
            machines[0].start();
            machines[0].wait_ready().await;
        }
        servers
    }

    fn min_answers(self) -> usize {
        match self {
            Self::Instance | Self::Peer => MIN_ANSWERS,
            Self::HealthAnswer | Self::Store => 1,
        }
    }
}

/// Checks the daemons while clients of both call. Those of the second one reach the first one's instance
/// through two daemons.
fn check(test: u8, faulty: Faulty, answer: Answer) {
    let _turn = take_turn();
    with_setup(test, SETUP, async move |site| {
        let machines = &site.machines;
        for machine in machines {
            machine.instance.work.set(WORK);
        }
        let servers = faulty.start(machines, answer).await;
        let observed = match faulty {
            Faulty::Peer => &machines[..1],
            _ => &machines[..],
        };
        let watches: Vec<Watch> = observed.iter().map(Watch::start).collect();
        let request = format!(
            "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: call-{NUMBER}\r\n\
             x-deadline-ms: 4000\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        let message = Message::fast(request.into_bytes());
        let start =
            |machine: &Rc<Machine>| Crowd::start(machine.request_address(), CLIENTS, &message);
        let crowds: Vec<Crowd> = observed.iter().map(start).collect();
        let mut found = Vec::new();
        for crowd in &crowds {
            crowd.settle().await;
        }
        if !is_served(&machines[0], "beside").await {
            found.push("no answer beside the endless ones".to_owned());
        }
        for crowd in crowds {
            crowd.leave();
        }
        if !is_served(&machines[0], "after").await {
            found.push("no answer after the endless ones".to_owned());
        }
        let answers: usize = servers.iter().map(FaultyServer::answers).sum();
        eprintln!("{answers} answers");
        if answers < faulty.min_answers() {
            found.push(format!("{answers} answers only"));
        }
        found.extend(watches.into_iter().flat_map(|watch| watch.finish(SETUP)));
        assert!(found.is_empty(), "{found:?}");
        site
    });
}

#[test]
fn bytes_that_are_no_answer_of_an_instance_exhaust_the_memory() {
    check(100, Faulty::Instance, NO_ANSWER);
}

#[test]
fn a_header_value_without_end_of_an_instance_exhausts_the_memory() {
    check(101, Faulty::Instance, HEADER_VALUE);
}

#[test]
fn header_lines_without_end_of_an_instance_exhaust_the_memory() {
    check(102, Faulty::Instance, HEADER_LINES);
}

#[test]
fn interim_answers_without_end_of_an_instance_exhaust_the_memory() {
    check(103, Faulty::Instance, INTERIM);
}

#[test]
fn a_body_beyond_its_length_of_an_instance_exhausts_the_memory() {
    check(104, Faulty::Instance, SHORT_LENGTH);
}

#[test]
fn a_body_with_a_huge_length_of_an_instance_exhausts_the_memory() {
    check(105, Faulty::Instance, LENGTH);
}

#[test]
fn a_body_without_a_length_of_an_instance_exhausts_the_memory() {
    check(106, Faulty::Instance, NO_LENGTH);
}

#[test]
fn a_chunk_without_end_of_an_instance_exhausts_the_memory() {
    check(107, Faulty::Instance, LARGE_CHUNKS);
}

#[test]
fn chunks_of_one_byte_without_end_of_an_instance_exhaust_the_memory() {
    check(108, Faulty::Instance, TINY_CHUNKS);
}

#[test]
fn a_header_value_without_end_of_a_health_probe_exhausts_the_memory() {
    check(109, Faulty::HealthAnswer, HEADER_VALUE);
}

#[test]
fn a_body_with_a_huge_length_of_a_health_probe_exhausts_the_memory() {
    check(110, Faulty::HealthAnswer, LENGTH);
}

#[test]
fn a_body_without_a_length_of_a_health_probe_exhausts_the_memory() {
    check(111, Faulty::HealthAnswer, NO_LENGTH);
}

#[test]
fn chunks_of_one_byte_without_end_of_a_health_probe_exhaust_the_memory() {
    check(112, Faulty::HealthAnswer, TINY_CHUNKS);
}

#[test]
fn a_header_value_without_end_of_the_store_exhausts_the_memory() {
    check(113, Faulty::Store, HEADER_VALUE);
}

#[test]
fn a_body_with_a_huge_length_of_the_store_exhausts_the_memory() {
    check(114, Faulty::Store, LENGTH);
}

#[test]
fn a_body_without_a_length_of_the_store_exhausts_the_memory() {
    check(115, Faulty::Store, NO_LENGTH);
}

#[test]
fn chunks_of_one_byte_without_end_of_the_store_exhaust_the_memory() {
    check(116, Faulty::Store, TINY_CHUNKS);
}

#[test]
fn a_header_value_without_end_of_a_peer_exhausts_the_memory() {
    check(117, Faulty::Peer, HEADER_VALUE);
}

#[test]
fn a_body_with_a_huge_length_of_a_peer_exhausts_the_memory() {
    check(118, Faulty::Peer, LENGTH);
}

#[test]
fn a_body_without_a_length_of_a_peer_exhausts_the_memory() {
    check(119, Faulty::Peer, NO_LENGTH);
}

#[test]
fn chunks_of_one_byte_without_end_of_a_peer_exhaust_the_memory() {
    check(120, Faulty::Peer, TINY_CHUNKS);
}

#[test]
fn a_body_beyond_its_length_of_a_peer_exhausts_the_memory() {
    check(121, Faulty::Peer, SHORT_LENGTH);
}

#[test]
fn a_body_beyond_its_length_of_the_store_exhausts_the_memory() {
    check(122, Faulty::Store, SHORT_LENGTH);
}
