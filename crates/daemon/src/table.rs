//! Keeps the table for calls in step with state, facts and endpoints.

use routing::Table;

use crate::shared_state::SharedState;

/// Rebuilds the table whenever one of its sources changes.
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
        Ok(_) => log::error!("table: kept the newer one"),
        Err(e) => log::error!("table: kept the former one: {e}"),
    }
}
