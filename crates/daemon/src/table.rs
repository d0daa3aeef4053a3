//! Keeps the table for calls in step with state, facts and endpoints.

use routing::Table;

use crate::board::Board;

/// Rebuilds the table whenever one of its sources changes.
pub(crate) async fn run(board: Board) {
    loop {
        let state = board.state.revision();
        let facts = board.facts.revision();
        let endpoints = board.endpoints.revision();
        rebuild(&board);
        monoio::select! {
            _ = board.state.newer_than(state) => {}
            _ = board.facts.newer_than(facts) => {}
            _ = board.endpoints.newer_than(endpoints) => {}
        }
    }
}

fn rebuild(board: &Board) {
    let endpoints = board.endpoints.get().iter().cloned().collect::<Vec<_>>();
    match Table::build(&board.state.get(), &board.facts.get(), endpoints) {
        Ok(table) if table.offset() >= board.table.get().offset() => board.table.set(table),
        Ok(_) => log::error!("table: kept the newer one"),
        Err(e) => log::error!("table: kept the former one: {e}"),
    }
}
