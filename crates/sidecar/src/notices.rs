//! What instances state about themselves in their answers: a limit on their requests, and that they are
//! leaving.

use std::time::Instant;

use base::DaemonId;
use mesh::instance::Change;
use mesh::instance::InstanceKey;
use mesh::latency::WorkTimeNotice;
use mesh::rate_limit::LimitNotice;
use mesh::wire::ForwardHead;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::responses::InstanceNotice;
use users_platform::responses::InstanceResponse;

use crate::node::Node;

impl Node {
    /// Takes what the local instance states in a response into force. The request was sent at `sent_at`.
    pub(crate) fn apply_notice(
        &self,
        head: &ForwardHead,
        answer: InstanceResponse,
        notice: InstanceNotice,
        sent_at: Instant,
    ) {
        self.log_limit_notice(head, notice.limit);
        self.apply_work_time(head, answer, notice.work_time);
        self.apply_limit(head, answer, notice.limit, sent_at);
        if notice.is_leaving {
            self.apply_leaving(&head.instance_key());
        }
    }

    /// Takes the work time that the instance states, and logs when it begins or ceases to state one. A
    /// response to a request that did not run says nothing about the work.
    fn apply_work_time(
        &self,
        head: &ForwardHead,
        answer: InstanceResponse,
        notice: WorkTimeNotice,
    ) {
        let is_earlier_instance = self.dispatcher.counts.borrow().born != head.born;
        let has_run = matches!(answer, InstanceResponse::Done | InstanceResponse::Failed);
        if is_earlier_instance || (!has_run && notice == WorkTimeNotice::Absent) {
            return;
        }
        let now = Instant::now();
        self.dispatcher.work_time.borrow_mut().record(notice, now);
        let before = self.dispatcher.last_work_time_notice.replace(notice);
        if before.label() != notice.label() {
            self.log_state("instance-work-time", || {
                json!({
                    "instance": head.instance,
                    "notice": notice.label(),
                    "before": before.label(),
                })
            });
        }
    }

    /// Logs what the instance states about its limit if that has changed.
    fn log_limit_notice(&self, head: &ForwardHead, notice: LimitNotice) {
        let before = self.dispatcher.last_limit_notice.replace(notice);
        if before != notice {
            self.log_state("instance-limit", || {
                json!({
                    "instance": head.instance,
                    "notice": format!("{notice:?}"),
                    "before": format!("{before:?}"),
                })
            });
        }
    }

    /// Takes the limit that the instance states into force. A response to a request that did not run
    /// can state a limit, but does not end one.
    fn apply_limit(
        &self,
        head: &ForwardHead,
        answer: InstanceResponse,
        notice: LimitNotice,
        sent_at: Instant,
    ) {
        let is_earlier_instance = self.dispatcher.counts.borrow().born != head.born;
        let has_run = matches!(answer, InstanceResponse::Done | InstanceResponse::Failed);
        if is_earlier_instance || (!has_run && notice == LimitNotice::Absent) {
            return;
        }
        let now = Instant::now();
        let mut admission = self.dispatcher.admission.borrow_mut();
        let before = admission.limit();
        admission.record_limit_notice(notice, sent_at, now);
        let limit = admission.limit();
        drop(admission);
        if limit != before {
            self.dispatcher.process_queue();
        }
    }

    /// Adopts the limit of the instance that the caller of a request knows.
    pub(crate) fn adopt_limit(&self, head: &ForwardHead) {
        let Some(rate) = head.limit else { return };
        let mut admission = self.dispatcher.admission.borrow_mut();
        if admission.limit().is_some() {
            return;
        }
        admission.adopt_limit(rate, Instant::now());
        let adopted = admission.limit();
        drop(admission);
        if adopted.is_some() {
            self.log_state(
                "instance-limit-adopted",
                || json!({ "instance": head.instance, "limit": rate.to_string() }),
            );
        }
    }

    /// Stops sending requests to the instance, as it says that it is leaving.
    fn apply_leaving(&self, key: &InstanceKey) {
        if self.local.borrow_mut().mark_draining(key) == Change::Told {
            self.refuse_new_requests(key, "answer");
        }
    }

    /// Refuses all requests to the local instance from now on, as it is leaving. `source` names in the
    /// log what shows that.
    pub(crate) fn refuse_new_requests(&self, key: &InstanceKey, source: &'static str) {
        self.dispatcher.refuse_waiting(NotRunReason::Leaving);
        self.log_state(
            "instance-leaving",
            || json!({ "instance": key.id, "born": key.born, "source": source }),
        );
    }

    /// Records that the instance beside another daemon says in an answer that it is leaving.
    pub(crate) fn mark_leaving(&self, daemon: &DaemonId, key: &InstanceKey) {
        if self.directory.borrow_mut().mark_leaving(daemon, key) {
            self.log_state(
                "member-leaving",
                || json!({ "daemon": daemon, "instance": key.id, "born": key.born }),
            );
        }
    }
}
