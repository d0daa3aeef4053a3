//! Announcements of daemons, as they arrive: those of others, and those of earlier processes of this one.

use std::time::Instant;

use mesh::directory::Merge;
use mesh::instance::Change;
use mesh::wire::Member;
use serde_json::Value;
use serde_json::json;

use crate::node::Node;

impl Node {
    /// Merges the member record of a daemon. `source` names the channel in the log.
    pub fn merge_member(&self, member: Member, source: &'static str) -> Merge {
        if member.daemon == self.name() {
            self.supersede_own_incarnation(&member);
            self.restore_instance(&member);
            return Merge::Known;
        }
        let daemon = member.daemon.clone();
        let merge = self.directory.borrow_mut().merge(member, Instant::now());
        if merge == Merge::Newer {
            self.resize_retry_budgets();
            self.log_state("member-learned", || {
                let directory = self.directory.borrow();
                let member = directory.get(&daemon).map(|entry| describe(&entry.member));
                json!({ "member": member, "source": source })
            });
        }
        merge
    }

    /// Raises this daemon's incarnation above one that an earlier process took while the clock was
    /// ahead of its present time. Otherwise the record of the earlier process would supersede the
    /// records of this one.
    fn supersede_own_incarnation(&self, own: &Member) {
        if own.incarnation > self.incarnation.get() {
            self.incarnation.set(own.incarnation.saturating_add(1));
            self.log_state("incarnation-raised", || json!({ "above": own.incarnation }));
        }
    }

    /// Takes over the instance that an earlier process of this daemon announced, since the instance
    /// sends its next heartbeat only after a while.
    fn restore_instance(&self, own: &Member) {
        if own.incarnation >= self.incarnation.get() {
            return;
        }
        if let Some(key) = &own.leaving
            && self.local.borrow_mut().restore_leaving(key.clone()) == Change::Told
        {
            self.refuse_new_requests(key, "announcement");
        }
        let Some(info) = &own.instance else {
            return;
        };
        let address = self.boot.borrow().instance_address.to_string();
        let change = self
            .local
            .borrow_mut()
            .restore(info, address.into(), Instant::now());
        if change == Change::Told {
            self.log_state("instance-restored", || {
                json!({ "instance": info.id, "born": info.born, "incarnation": own.incarnation })
            });
            self.dispatcher.set_slots(info.slots, info.born);
            self.doubt_warmth("daemon-started");
        }
    }

    /// Divides the fleet's retry budget by the number of known daemons.
    fn resize_retry_budgets(&self) {
        let boot = self.boot.borrow();
        let members = self.directory.borrow().len();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets.resize(boot.retry_ratio, boot.retry_slack, members);
    }
}

fn describe(member: &Member) -> Value {
    json!({
        "daemon": member.daemon,
        "incarnation": member.incarnation,
        "revision": member.revision,
        "open": member.is_open,
        "instance": member.instance.as_ref().map(|info| &info.id),
        "service": member.instance.as_ref().map(|info| &info.service),
        "version": member.instance.as_ref().map(|info| &info.version),
    })
}
