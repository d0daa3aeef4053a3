//! Settings and entries that the tests of the log client share.

use std::time::Duration;

use ledger::Entry;
use ledger::Record;
use platform::BackoffCfg;
use platform::LogCfg;

/// Settings with short delays between attempts.
pub const CFG: LogCfg = LogCfg {
    connect_timeout: Duration::from_secs(20),
    request_timeout: Duration::from_secs(1),
    append_timeout: Duration::from_secs(4),
    backoff: BackoffCfg {
        initial_delay: Duration::from_millis(5),
        max_delay: Duration::from_millis(20),
    },
    seed: 1,
};

/// Returns an entry with which controller `d1` claims `epoch`.
pub fn claim(epoch: u64) -> Entry {
    Entry {
        id: format!("claim-{epoch}").into(),
        at: epoch,
        record: Record::Claim {
            epoch,
            controller: "d1".into(),
        },
    }
}
