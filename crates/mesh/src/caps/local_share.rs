//! The part of each cap that a daemon may use without an allocator.

use std::time::Duration;

use base::FastMap;

use crate::caps::Cap;
use crate::caps::CapId;
use crate::caps::Fleet;

/// Time for which a token of the own part is valid, so that daemons that were idle do not use theirs
/// at the same moment.
const SHARE_VALIDITY: Duration = Duration::from_millis(500);

/// Tokens of a customer since the start of the process.
#[derive(Debug)]
struct Share {
    gained: f64,
    used: f64,
    /// Time out of touch up to which they were counted.
    time: Duration,
}

/// Own parts of all caps.
#[derive(Debug, Default)]
pub struct LocalShares {
    shares: FastMap<CapId, Share>,
}

impl LocalShares {
    /// Takes a token if there is one. `time` is how long the daemon has used its parts in all.
    pub fn take(&mut self, id: CapId, cap: Cap, fleet: &Fleet, time: Duration) -> bool {
        if fleet.members == 0 {
            return false;
        }
        let rate = cap.rate.per_sec() / as_f64(fleet.members);
        let share = self.shares.entry(id).or_insert_with(|| {
            let gained = first_token(id, fleet) + rate * time.as_secs_f64();
            Share {
                gained,
                used: 0.0,
                time,
            }
        });
        share.gained += rate * time.saturating_sub(share.time).as_secs_f64();
        share.time = time;
        let expired = share.gained - rate * SHARE_VALIDITY.as_secs_f64();
        share.used = share.used.max(expired.floor());
        let is_free = share.used + 1.0 <= share.gained;
        if is_free {
            share.used += 1.0;
        }
        is_free
    }

    /// Takes the last token back.
    pub fn give_back(&mut self, id: CapId) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.used -= 1.0;
        }
    }
}

/// Returns the part of a token with which a daemon begins. It differs between daemons, so that small
/// parts do not become whole tokens everywhere at the same moment.
fn first_token(id: CapId, fleet: &Fleet) -> f64 {
    let by_position = as_f64(fleet.position) / as_f64(fleet.members);
    let by_customer = f64::from(u16::try_from(id >> 48).unwrap_or(0)) / f64::from(u16::MAX);
    (by_position + by_customer).fract()
}

fn as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
