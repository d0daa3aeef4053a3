//! Proofs of the age of what daemons know: every interleaving of a small case, and the calm one.

use std::collections::HashSet;
use std::time::Duration;

use crate::config::ConfigVersion;
use crate::knowledge::Answer;
use crate::knowledge::ConfigFate;
use crate::knowledge::Knowledge;
use crate::knowledge::ProofStanding;
use crate::knowledge::QuestionId;
use crate::knowledge::ReadProof;
use crate::wake::BootTime;

/// Time within which the key is revoked, in seconds.
const REVOKE: u64 = 2;

/// Last second of the model; a stale proof shows before it.
const END: u64 = 3;

/// Version of the first configuration; the next one takes the key away.
const HOLDS_KEY: ConfigVersion = 1;

/// How the follower takes an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// As the product does.
    OwnQuestion,
    /// It subtracts the stated age from the time of arrival.
    TimeOfArrival,
    /// It ignores which configuration the answerer had.
    AnyConfig,
    /// Each of its processes starts with the same question.
    SameQuestions,
    /// The leader counts a read whatever became of the configuration in it.
    AnyRead,
}

/// A daemon, with a clock that started at another time than the others'.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    clock_offset: u64,
    config: ConfigVersion,
    knowledge: Knowledge,
}

impl Daemon {
    fn new(clock_offset: u64, first: QuestionId) -> Self {
        Self {
            clock_offset,
            config: HOLDS_KEY,
            knowledge: Knowledge::new(first),
        }
    }

    fn clock(&self, now: u64) -> BootTime {
        Duration::from_secs(self.clock_offset + now)
    }

    fn adopt(&mut self, config: ConfigVersion) {
        self.config = self.config.max(config);
        self.knowledge.record_adoption(self.config);
    }

    /// Whether a request with the key would run now.
    fn serves_key(&self, now: u64) -> bool {
        let revoke = Duration::from_secs(REVOKE);
        let standing = self.knowledge.standing(self.clock(now), revoke);
        self.config == HOLDS_KEY && standing != ProofStanding::Expired
    }
}

/// A read of the store by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Read {
    Sent(u64),
    Answered(u64, ConfigVersion),
}

/// The whole case. What is in flight may wait for any time: in a link, or in a process that stands still.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// When the store acknowledged the configuration that took the key away.
    revoked_at: Option<u64>,
    /// Whether no daemon can read that configuration.
    is_unreadable: bool,
    leader: Daemon,
    follower: Daemon,
    read: Option<Read>,
    questions: Vec<QuestionId>,
    answers: Vec<Answer>,
    reads_left: u8,
    questions_left: u8,
    restarts_left: u8,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Tick,
    Revoke,
    RevokeUnreadably,
    SendRead,
    AnswerRead,
    ReceiveRead,
    LoseRead,
    Ask,
    AnswerQuestion,
    ReceiveAnswer(usize),
    FollowerFetches,
    LeaderFetches,
    RestartFollower,
    RestartLeader,
}

const STEPS: [Step; 15] = [
    Step::Tick,
    Step::Revoke,
    Step::RevokeUnreadably,
    Step::SendRead,
    Step::AnswerRead,
    Step::ReceiveRead,
    Step::LoseRead,
    Step::Ask,
    Step::AnswerQuestion,
    Step::ReceiveAnswer(0),
    Step::ReceiveAnswer(1),
    Step::FollowerFetches,
    Step::LeaderFetches,
    Step::RestartFollower,
    Step::RestartLeader,
];

impl World {
    fn new() -> Self {
        Self {
            now: 0,
            revoked_at: None,
            is_unreadable: false,
            leader: Daemon::new(50, 500),
            follower: Daemon::new(900, 100),
            read: None,
            questions: Vec::new(),
            answers: Vec::new(),
            reads_left: 2,
            questions_left: 2,
            restarts_left: 1,
        }
    }

    fn stored(&self) -> ConfigVersion {
        HOLDS_KEY + u64::from(self.revoked_at.is_some())
    }

    /// Returns the world after a step; `None` if the step is not possible.
    fn after(&self, step: Step, trust: Trust) -> Option<Self> {
        let mut world = self.clone();
        match (step, self.read) {
            (Step::Tick, _) if self.now < END => world.now += 1,
            (Step::Revoke, _) if self.revoked_at.is_none() => world.revoked_at = Some(self.now),
            (Step::RevokeUnreadably, _) if self.revoked_at.is_none() => {
                world.revoked_at = Some(self.now);
                world.is_unreadable = true;
            }
            (Step::SendRead, None) if self.reads_left > 0 => {
                world.reads_left -= 1;
                world.read = Some(Read::Sent(self.now));
            }
            (Step::AnswerRead, Some(Read::Sent(sent))) => {
                world.read = Some(Read::Answered(sent, self.stored()));
            }
            (Step::ReceiveRead, Some(Read::Answered(sent, config))) => {
                world.read = None;
                world.receive_read(sent, config, trust);
            }
            (Step::LoseRead, Some(_)) => world.read = None,
            (Step::Ask, _) if self.questions_left > 0 => {
                world.questions_left -= 1;
                let now = world.follower.clock(self.now);
                world.questions.push(world.follower.knowledge.ask(now));
            }
            (Step::AnswerQuestion, _) if !self.questions.is_empty() => {
                let question = world.questions.remove(0);
                let clock = world.leader.clock(self.now);
                let age = world.leader.knowledge.age(clock)?;
                let config = world.leader.config;
                world.answers.push(Answer {
                    question,
                    age,
                    config,
                });
            }
            (Step::ReceiveAnswer(index), _) if index < self.answers.len() => {
                let answer = world.answers.remove(index);
                world.receive(answer, trust);
            }
            (Step::FollowerFetches, _) if self.follower.config < self.leader.config => {
                world.follower.adopt(self.leader.config);
            }
            (Step::LeaderFetches, _) if self.leader.config < self.follower.config => {
                world.leader.adopt(self.follower.config);
            }
            (Step::RestartFollower, _) if self.restarts_left > 0 => {
                world.restarts_left -= 1;
                let first = if trust == Trust::SameQuestions {
                    100
                } else {
                    700
                };
                // It may get the first configuration again, from a daemon that has not heard of the next.
                world.follower = Daemon::new(900, first);
            }
            (Step::RestartLeader, _) if self.restarts_left > 0 => {
                world.restarts_left -= 1;
                world.read = None;
                world.leader = Daemon::new(50, 800);
            }
            _ => return None,
        }
        Some(world)
    }

    fn receive_read(&mut self, sent: u64, config: ConfigVersion, trust: Trust) {
        let leader = &mut self.leader;
        let fate = if self.is_unreadable && config > HOLDS_KEY {
            ConfigFate::Rejected
        } else {
            leader.adopt(config);
            ConfigFate::InForce
        };
        if trust != Trust::AnyRead {
            leader.knowledge.record_config(config, fate);
        }
        let sent = leader.clock(sent);
        leader.knowledge.record_read(sent);
    }

    fn receive(&mut self, answer: Answer, trust: Trust) {
        let follower = &mut self.follower;
        match trust {
            Trust::OwnQuestion | Trust::SameQuestions | Trust::AnyRead => {
                follower.knowledge.record_answer(answer, follower.config);
            }
            Trust::TimeOfArrival => {
                let arrival = follower.clock(self.now);
                if follower.config >= answer.config {
                    follower
                        .knowledge
                        .record_read(arrival.saturating_sub(answer.age));
                }
            }
            Trust::AnyConfig => follower.knowledge.record_answer(answer, answer.config),
        }
    }

    /// Whether a request that is sent now, with the key that was taken away too long ago, would run.
    fn is_broken(&self) -> bool {
        let is_late = self.revoked_at.is_some_and(|at| self.now > at + REVOKE);
        is_late && (self.leader.serves_key(self.now) || self.follower.serves_key(self.now))
    }
}

/// What all interleavings together show.
#[derive(Debug, Default)]
struct Outcome {
    worlds: usize,
    broken: Option<World>,
    /// Whether the follower served the key by a proof at some time after the start.
    served_by_follower: bool,
}

fn explore(trust: Trust) -> Outcome {
    let mut outcome = Outcome::default();
    let mut seen = HashSet::new();
    let mut open = vec![World::new()];
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        outcome.worlds += 1;
        outcome.served_by_follower |= world.now > 1 && world.follower.serves_key(world.now);
        if world.is_broken() {
            outcome.broken = Some(world);
            return outcome;
        }
        let next = STEPS.iter().filter_map(|step| world.after(*step, trust));
        open.extend(next);
    }
    outcome
}

#[test]
fn no_interleaving_lets_a_request_run_that_was_sent_too_late() {
    let outcome = explore(Trust::OwnQuestion);
    assert!(outcome.broken.is_none(), "{:?}", outcome.broken);
    assert!(outcome.served_by_follower);
    assert!(outcome.worlds > 100_000, "{}", outcome.worlds);
}

/// The model would find what the proofs are there to prevent.
#[test]
fn weaker_proofs_are_found_to_let_late_requests_run() {
    for trust in [
        Trust::TimeOfArrival,
        Trust::AnyConfig,
        Trust::SameQuestions,
        Trust::AnyRead,
    ] {
        assert!(explore(trust).broken.is_some(), "{trust:?}");
    }
}

#[test]
fn a_follower_is_proved_all_the_time_while_its_leader_reads_each_second() {
    let revoke = Duration::from_secs(5);
    let (mut leader, mut follower) = (Knowledge::new(1), Knowledge::new(9));
    let at = |ms: u64| Duration::from_millis(100_000 + ms);
    for ms in (0..60_000_u64).step_by(50) {
        // A read is answered after the second for which it waits, and the next one follows.
        if ms % 1_050 == 0 {
            leader.record_read(at(ms).saturating_sub(Duration::from_millis(1_050)));
        }
        // One round of four goes elsewhere.
        if ms % 250 == 0 && ms / 250 % 4 != 3 {
            let question = follower.ask(at(ms));
            let age = leader.age(at(ms + 200)).expect("a proof");
            let answer = Answer {
                question,
                age,
                config: 1,
            };
            follower.record_answer(answer, 1);
        }
        let standing = follower.standing(at(ms), revoke);
        assert_eq!(standing, ProofStanding::Valid, "after {ms} ms");
    }
}

#[test]
fn a_proof_expires_before_the_time_is_over() {
    let revoke = Duration::from_secs(5);
    let mut knowledge = Knowledge::new(1);
    let at = Duration::from_secs;
    assert_eq!(knowledge.standing(at(1), revoke), ProofStanding::Expired);
    knowledge.record_read(at(10));
    assert_eq!(knowledge.standing(at(13), revoke), ProofStanding::Valid);
    assert_eq!(knowledge.standing(at(14), revoke), ProofStanding::Aging);
    assert_eq!(knowledge.standing(at(15), revoke), ProofStanding::Expired);
    // A later read that was sent earlier changes nothing.
    knowledge.record_read(at(9));
    assert_eq!(knowledge.age(at(11)), Some(at(1)));
}

#[test]
fn an_answer_by_a_later_configuration_counts_once_that_is_in_force() {
    let mut knowledge = Knowledge::new(1);
    let at = Duration::from_secs;
    let answer = |question, config| Answer {
        question,
        age: Duration::from_secs(1),
        config,
    };
    let first = knowledge.ask(at(10));
    knowledge.record_answer(answer(first, 7), 5);
    assert_eq!(knowledge.age(at(11)), None);
    let second = knowledge.ask(at(11));
    knowledge.record_answer(answer(second, 9), 5);
    knowledge.record_adoption(6);
    assert_eq!(knowledge.age(at(12)), None);
    knowledge.record_adoption(8);
    assert_eq!(knowledge.age(at(12)), Some(at(3)));
    // A question that was never asked, and one that is too old to be remembered.
    knowledge.record_answer(answer(999, 1), 8);
    for second in 20..100 {
        knowledge.ask(at(second));
    }
    knowledge.record_answer(answer(second, 1), 8);
    assert_eq!(knowledge.age(at(12)), Some(at(3)));
}

/// Guards against a read that proves a key although the configuration that takes it away is not in force.
#[test]
fn a_read_proves_nothing_while_the_latest_configuration_is_rejected() {
    let mut knowledge = Knowledge::new(1);
    let at = Duration::from_secs;
    knowledge.record_config(3, ConfigFate::InForce);
    assert_eq!(knowledge.record_read(at(10)), ReadProof::Counted);
    knowledge.record_config(5, ConfigFate::Rejected);
    assert_eq!(knowledge.record_read(at(12)), ReadProof::Withheld(5));
    // Later reads show no record, and an overlapping one shows the earlier configuration only.
    assert_eq!(knowledge.record_read(at(13)), ReadProof::Withheld(5));
    knowledge.record_config(3, ConfigFate::InForce);
    assert_eq!(knowledge.record_read(at(14)), ReadProof::Withheld(5));
    assert_eq!(knowledge.age(at(14)), Some(at(4)));
    knowledge.record_config(6, ConfigFate::InForce);
    assert_eq!(knowledge.record_read(at(15)), ReadProof::Counted);
    assert_eq!(knowledge.age(at(15)), Some(at(0)));
    // In another era of the store the offsets begin anew.
    knowledge.record_config(7, ConfigFate::Rejected);
    knowledge.offsets_went_back();
    knowledge.record_config(1, ConfigFate::InForce);
    assert_eq!(knowledge.record_read(at(16)), ReadProof::Counted);
}
