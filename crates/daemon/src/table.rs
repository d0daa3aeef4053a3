//! Keeps the routing table up to date with state, rollbacks and endpoints.

use routing::Table;

use crate::shared_state::SharedState;

/// Rebuilds the routing table whenever one of its sources changes.
pub(crate) async fn run(shared: SharedState) {
    loop {
        let state = shared.state.revision();
        let facts = shared.rollbacks.revision();
        let endpoints = shared.endpoints.revision();
        rebuild(&shared);
        monoio::select! {
            _ = shared.state.changed_since(state) => {}
            _ = shared.rollbacks.changed_since(facts) => {}
            _ = shared.endpoints.changed_since(endpoints) => {}
        }
    }
}

fn rebuild(shared: &SharedState) {
    let endpoints = shared.endpoints.get().iter().cloned().collect::<Vec<_>>();
    match Table::build(&shared.state.get(), &shared.rollbacks.get(), endpoints) {
        Ok(table) if table.offset() >= shared.table.get().offset() => shared.table.set(table),
        Ok(_) => log::error!("table: new table has an older offset; keeping the current one"),
        Err(e) => log::error!("table: cannot build a new table; keeping the current one: {e}"),
    }
}
