//! Age of what a daemon knows of the operator's records, proved by questions of its own.
//!
//! A proof is an instant: all that the operator's records held then is in force here. For a daemon that reads
//! the store it is the time at which it sent a read whose answer showed nothing later. Any other daemon asks, and
//! subtracts the age that the answer states from the time at which it sent exactly that question: however long
//! question and answer wait in a link or in a frozen process, the proof only becomes older. An age that comes
//! without a question of one's own proves nothing.
//!
//! A read proves nothing while the latest configuration among the records is not in force here, whatever the reason:
//! it may be the one that takes a key away.
//!
//! All times are of the clock that counts suspensions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::DaemonId;
use base::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigVersion;
use crate::wake::BootTime;

/// Number of a question; a later one of the same process is higher.
pub type QuestionId = u32;

/// Questions whose answers are accepted; at the usual pace they span longer than any answer is of use.
const MAX_QUESTIONS: usize = 64;

/// Part of the time within which a key is revoked for which a proof counts, in percent. The rest covers clocks of
/// different speed.
const VALID_PERCENT: u32 = 95;

/// The same part after which a daemon asks others beside those that answer it regularly. Regular answers are
/// younger while the store is read.
const ASK_PERCENT: u32 = 60;

/// Question, answer and proof of a daemon about the operator's records, sent with gossip.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnowledgeNote {
    /// Question of the sender, which the receiver echoes; `None` if it asks nothing.
    pub question: Option<QuestionId>,
    /// Question of the receiver that the sender answers; only in direct answers.
    pub echo: Option<QuestionId>,
    /// Age of the sender's knowledge when it sent this, in milliseconds; `None` if it has no proof.
    pub age_ms: Option<u32>,
}

/// Answer to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The question that it answers.
    pub question: QuestionId,
    /// Age of the answerer's knowledge when it answered.
    pub age: Duration,
    /// Version of the configuration in force at the answerer then.
    pub config: ConfigVersion,
}

/// What a daemon may do by the age of its knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofStanding {
    /// Keys count.
    Valid,
    /// Keys count still, and further daemons are to be asked.
    Aging,
    /// No key counts.
    Expired,
}

/// What became of a configuration that was read from the operator's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConfigFate {
    /// It is in force, or what is in force is at least as new.
    InForce,
    /// It is not in force.
    Rejected,
}

/// What a read of the operator's records proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadProof {
    /// All that the records held is in force here.
    Counted,
    /// The configuration at this offset is not in force here.
    Withheld(Offset),
}

/// A daemon's proof, its open questions, and the questions of others that it has yet to answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Knowledge {
    proof: Option<BootTime>,
    last_question: QuestionId,
    /// Latest questions with the times at which they were sent.
    questions: VecDeque<(QuestionId, BootTime)>,
    /// Proof that counts once this version of the configuration, or a later one, is in force here.
    pending: Option<(ConfigVersion, BootTime)>,
    received: BTreeMap<DaemonId, QuestionId>,
    /// Offset of the latest configuration that was read from the operator's records, and what became of it.
    latest_config: Option<(Offset, ConfigFate)>,
}

impl Knowledge {
    /// Starts without a proof. Questions are numbered from `first`, which must differ between the processes of one
    /// daemon: an answer to an earlier one must not match a question of this one.
    #[must_use]
    pub fn new(first: QuestionId) -> Self {
        Self {
            last_question: first,
            ..Self::default()
        }
    }

    /// Records what became of the configuration at an offset of the operator's records. Reads may overlap; one of an
    /// earlier offset than is known changes nothing.
    pub fn record_config(&mut self, offset: Offset, fate: ConfigFate) {
        if self.latest_config.is_none_or(|(known, _)| known <= offset) {
            self.latest_config = Some((offset, fate));
        }
    }

    /// Forgets what became of configurations, as their offsets no longer name the same records.
    pub fn offsets_went_back(&mut self) {
        self.latest_config = None;
    }

    /// Records a read of the operator's records that was sent at `sent` and showed them to their end. What became of
    /// the configurations in it must be recorded before.
    pub fn record_read(&mut self, sent: BootTime) -> ReadProof {
        if let Some((offset, ConfigFate::Rejected)) = self.latest_config {
            return ReadProof::Withheld(offset);
        }
        self.proof = self.proof.max(Some(sent));
        ReadProof::Counted
    }

    /// Returns the number of a question that is sent after `now`.
    pub fn ask(&mut self, now: BootTime) -> QuestionId {
        self.last_question = self.last_question.wrapping_add(1);
        if self.questions.len() == MAX_QUESTIONS {
            self.questions.pop_front();
        }
        self.questions.push_back((self.last_question, now));
        self.last_question
    }

    /// Records an answer; `own_config` is the version of the configuration in force here.
    pub fn record_answer(&mut self, answer: Answer, own_config: ConfigVersion) {
        let mut questions = self.questions.iter();
        let Some((_, sent)) = questions.find(|(id, _)| *id == answer.question) else {
            return;
        };
        let Some(proof) = sent.checked_sub(answer.age) else {
            return;
        };
        if own_config >= answer.config {
            self.proof = self.proof.max(Some(proof));
            return;
        }
        let earlier = self
            .pending
            .filter(|(config, _)| own_config < *config && *config < answer.config);
        self.pending = match (earlier, self.pending) {
            (Some(earlier), _) => Some(earlier),
            (None, Some((config, known))) if config == answer.config => {
                Some((config, known.max(proof)))
            }
            _ => Some((answer.config, proof)),
        };
    }

    /// Records that a configuration came into force here.
    pub fn record_adoption(&mut self, own_config: ConfigVersion) {
        if let Some((config, proof)) = self.pending
            && own_config >= config
        {
            self.proof = self.proof.max(Some(proof));
            self.pending = None;
        }
    }

    /// Returns the age of what is known; `None` without a proof.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.proof?))
    }

    /// Returns whether keys count at `now`, if they are to be revoked within this time.
    #[must_use]
    pub fn standing(&self, now: BootTime, revoke_within: Duration) -> ProofStanding {
        let Some(age) = self.age(now) else {
            return ProofStanding::Expired;
        };
        if age > revoke_within * VALID_PERCENT / 100 {
            ProofStanding::Expired
        } else if age > revoke_within * ASK_PERCENT / 100 {
            ProofStanding::Aging
        } else {
            ProofStanding::Valid
        }
    }

    /// Records the latest question of another daemon, to be answered later.
    pub fn record_question(&mut self, daemon: &DaemonId, question: QuestionId) {
        self.received.insert(daemon.clone(), question);
    }

    /// Takes the question of another daemon that is yet to be answered.
    pub fn take_question(&mut self, daemon: &DaemonId) -> Option<QuestionId> {
        self.received.remove(daemon)
    }
}
