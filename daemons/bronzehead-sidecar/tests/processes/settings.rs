//! Settings that change while a daemon runs.

use std::time::Duration;

use crate::site::TIMEOUT;
use crate::site::with_site;

/// Time in which the daemons take the settings over.
const RELOAD_TIME: Duration = Duration::from_secs(1);

/// Guards against daemons that go on calling a store at an address that the settings no longer name.
#[test]
fn a_store_that_moves_is_called_at_its_new_address() {
    with_site(26, |site| async move {
        let former: Vec<_> = site.machines.iter().map(|m| m.move_store()).collect();
        monoio::time::sleep(RELOAD_TIME).await;
        for server in former {
            server.close(TIMEOUT).await;
        }
        let first = &site.machines[0];
        first.instance.is_beating.set(false);
        first.instance.is_staying.set(false);
        // The store must hold a departure before it is acknowledged.
        assert!(first.deregister().await);
        site
    });
}
