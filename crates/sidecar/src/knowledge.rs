//! Proof of how old this daemon's knowledge of the operator's records is, for the keys of customers.
//!
//! Only deployments that ask for keys to be revoked within a time on all machines have it. The load reports of each
//! daemon carry a question to the leaders of its zone, and the loads that these send to the zone answer it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Offset;
use mesh::ConfigVersion;
use mesh::knowledge::Answer;
use mesh::knowledge::KnowledgeNote;
use mesh::knowledge::ProofStanding;
use mesh::knowledge::QuestionId;
use mesh::knowledge::ReadProof;
use mesh::wake::BootTime;
use mesh::wire::Gossip;
use mesh::wire::MemberLoad;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use serde_json::json;

use crate::node::Node;
use crate::node::SharedNode;

/// Interval at which the age is checked; small against the times that a client waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two rounds of questions beyond the regular ones: one gossip round.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Daemons of each other zone that are asked, and of the own zone beside its leaders.
const ASKED_PER_ZONE: usize = 1;

/// Time between two log lines about a proof that is withheld.
const WITHHELD_NOTICE_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest and longest retry delay that is sent while no key counts. The longer that has lasted, the later the
/// next proof is to be expected.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Keeps the proof young and logs when it expires. Runs until the process ends.
pub async fn keep_proved(node: SharedNode) {
    let mut asked_at: Option<Instant> = None;
    let mut was_valid = true;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let Some(standing) = node.proof_standing() else {
            continue;
        };
        let is_valid = standing != ProofStanding::Expired;
        if is_valid != was_valid {
            was_valid = is_valid;
            node.log_state("key-proof", || {
                let age = node.proof_age();
                json!({ "valid": is_valid, "age_ms": age.map(|age| age.as_millis()) })
            });
        }
        let is_due = asked_at.is_none_or(|at| at.elapsed() >= ASK_INTERVAL);
        if standing != ProofStanding::Valid && is_due {
            asked_at = Some(Instant::now());
            node.send_question(node.addresses_to_ask()).await;
        }
    }
}

/// The operator's configuration that is not in force here, for which reads prove nothing.
#[derive(Debug, Default)]
pub struct WithheldProof {
    offset: Option<Offset>,
    since: Option<Instant>,
    noticed_at: Option<Instant>,
}

/// That the proof is withheld, or no longer is, is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WithheldNotice {
    /// Time for which it has been withheld.
    pub lasted: Duration,
}

impl WithheldProof {
    /// Records the offset of the configuration for which a read proved nothing, if so. Returns a notice at each change,
    /// and again while it lasts.
    pub fn next(&mut self, offset: Option<Offset>, now: Instant) -> Option<WithheldNotice> {
        let is_repeat = offset.is_some()
            && self
                .noticed_at
                .is_some_and(|at| now.saturating_duration_since(at) >= WITHHELD_NOTICE_INTERVAL);
        if offset == self.offset && !is_repeat {
            return None;
        }
        let since = *self.since.get_or_insert(now);
        if offset.is_none() {
            self.since = None;
        }
        self.offset = offset;
        self.noticed_at = Some(now);
        Some(WithheldNotice {
            lasted: now.saturating_duration_since(since),
        })
    }
}

impl Node {
    /// Returns whether keys count by the age of the proof; `None` if the deployment does not ask for a proof.
    pub fn proof_standing(&self) -> Option<ProofStanding> {
        let revoke_within = self.boot.borrow().revoke_within?;
        let table = self.active_table.borrow();
        table.current()?.customers()?;
        let standing = self.knowledge.borrow();
        Some(standing.standing(self.boot_time(), revoke_within))
    }

    /// Returns the age of what this daemon knows of the operator's records; `None` without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        self.knowledge.borrow().age(self.boot_time())
    }

    /// Returns why no request with a key may run now, if so.
    pub fn unproven_key(&self) -> Option<NotRun> {
        if self.proof_standing()? != ProofStanding::Expired {
            return None;
        }
        let revoke_within = self.boot.borrow().revoke_within.unwrap_or_default();
        let overdue = self.proof_age().unwrap_or_default();
        let overdue = overdue.saturating_sub(revoke_within);
        Some(NotRun {
            reason: NotRunReason::KeyUnproven,
            retry_after: Some(overdue.clamp(RETRY_AFTER.0, RETRY_AFTER.1)),
        })
    }

    /// Records a read of the operator's records that was sent at `sent` and showed them to their end, after their
    /// configuration was applied.
    pub fn record_operator_read(&self, sent: BootTime) {
        let proof = self.knowledge.borrow_mut().record_read(sent);
        let withheld = match proof {
            ReadProof::Counted => None,
            ReadProof::Withheld(offset) => Some(offset),
        };
        if let Some(notice) = self
            .withheld_proof
            .borrow_mut()
            .next(withheld, Instant::now())
        {
            self.metrics.set_proof_withheld(withheld.is_some());
            self.log_state("key-proof-withheld", || {
                let age = self.proof_age();
                json!({
                    "offset": withheld,
                    "for_ms": notice.lasted.as_millis(),
                    "age_ms": age.map(|age| age.as_millis()),
                })
            });
        }
    }

    /// Adds a question to a message.
    pub fn with_question(&self, gossip: Gossip) -> Gossip {
        if self.proof_standing().is_none() {
            return gossip;
        }
        let question = self.knowledge.borrow_mut().ask(self.boot_time());
        let note = KnowledgeNote {
            question: Some(question),
            ..KnowledgeNote::default()
        };
        with_note(gossip, note)
    }

    /// Adds the age of the proof to a message that answers a question, or the questions named in its loads.
    pub fn with_answer(&self, gossip: Gossip, echo: Option<QuestionId>) -> Gossip {
        let is_answer = echo.is_some() || gossip.loads.iter().any(|load| load.echo.is_some());
        if !is_answer || self.proof_standing().is_none() {
            return gossip;
        }
        // Rounded up, so that no proof becomes younger on the way.
        let age_ms = self.proof_age().map(|age| age.as_millis() + 1);
        let note = KnowledgeNote {
            question: None,
            echo,
            age_ms: age_ms.and_then(|ms| u32::try_from(ms).ok()),
        };
        with_note(gossip, note)
    }

    /// Takes the question of a daemon of the zone, to be answered with its load.
    pub fn take_question(&self, daemon: &DaemonId) -> Option<QuestionId> {
        self.proof_standing()?;
        self.knowledge.borrow_mut().take_question(daemon)
    }

    /// Records the question of a message that is not answered directly, and the answers in it.
    pub fn handle_note(
        &self,
        sender: &DaemonId,
        note: KnowledgeNote,
        loads: &[MemberLoad],
        config: ConfigVersion,
    ) {
        if self.proof_standing().is_none() {
            return;
        }
        if let Some(question) = note.question
            && self.is_leader()
        {
            let mut knowledge = self.knowledge.borrow_mut();
            knowledge.record_question(sender, question);
        }
        let Some(age_ms) = note.age_ms else {
            return;
        };
        let own_name = self.name();
        let relayed = loads.iter().filter(|load| load.daemon == own_name);
        let echoes = relayed.filter_map(|load| load.echo).chain(note.echo);
        let own_config = self.active_table.borrow().version();
        for question in echoes {
            let answer = Answer {
                question,
                age: Duration::from_millis(u64::from(age_ms)),
                config,
            };
            let mut knowledge = self.knowledge.borrow_mut();
            knowledge.record_answer(answer, own_config);
        }
    }

    /// Sends a question about the age of their knowledge to other daemons, which reply at once.
    pub async fn send_question(&self, to: Vec<SocketAddr>) {
        let question = Gossip {
            wants_reply: true,
            ..self.build_gossip(Vec::new())
        };
        self.send_gossip(&self.with_question(question), to).await;
    }

    /// Returns the addresses of the other leaders of the zone.
    pub fn zone_leader_addresses(&self) -> Vec<SocketAddr> {
        let election = self.election.borrow();
        let directory = self.directory.borrow();
        let leaders = election.zone_leaders(Instant::now());
        leaders
            .filter_map(|daemon| directory.get(daemon))
            .map(|entry| entry.member.address)
            .collect()
    }

    fn addresses_to_ask(&self) -> Vec<SocketAddr> {
        let own_zone = self.boot.borrow().zone.clone();
        let mut addresses = self.zone_leader_addresses();
        addresses.extend(self.zone_peers(ASKED_PER_ZONE));
        addresses.extend(self.random_addresses_by_zone(ASKED_PER_ZONE, |zone| *zone != own_zone));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

fn with_note(gossip: Gossip, note: KnowledgeNote) -> Gossip {
    let mut extension = gossip.extension.clone().unwrap_or_default();
    extension.knowledge = Some(note);
    Gossip {
        extension: Some(extension),
        ..gossip
    }
}
