//! Counts of the calls that ran, in total and by call id, from which duplicate runs are detected.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::FastMap;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Counts of runs and refusals since the upstream started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Runs that began.
    pub begun: u64,
    /// Runs that completed, failed ones included.
    pub finished: u64,
    /// Runs that were cancelled because the connection closed or the deadline passed.
    pub cancelled: u64,
    /// Runs of calls without an id.
    pub without_id: u64,
    /// Number of distinct call ids that ran.
    pub ids: u64,
    /// Call ids that ran more than once, sorted.
    pub doubled: Vec<SmolStr>,
    /// Calls refused before they ran.
    pub refused: u64,
}

/// Counts runs and refusals.
#[derive(Debug, Default)]
pub struct RunRecorder {
    by_id: FastMap<SmolStr, u32>,
    counts: RunSummary,
}

impl RunRecorder {
    /// Counts a call that was refused before it ran.
    pub fn record_refusal(&mut self) {
        self.counts.refused += 1;
    }

    /// Returns the number of runs by call id.
    #[must_use]
    pub fn counts_by_id(&self) -> BTreeMap<SmolStr, u32> {
        self.by_id
            .iter()
            .map(|(id, runs)| (id.clone(), *runs))
            .collect()
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        let doubled = self.by_id.iter().filter(|(_, runs)| **runs > 1);
        let mut doubled: Vec<SmolStr> = doubled.map(|(id, _)| id.clone()).collect();
        doubled.sort_unstable();
        RunSummary {
            ids: self.by_id.len() as u64,
            doubled,
            ..self.counts.clone()
        }
    }

    fn begin(&mut self, id: Option<&str>) {
        self.counts.begun += 1;
        match id {
            Some(id) => *self.by_id.entry(id.into()).or_default() += 1,
            None => self.counts.without_id += 1,
        }
    }
}

/// A run in progress. Dropped before [`ActiveRun::finish`], it counts as cancelled.
pub struct ActiveRun {
    runs: Rc<RefCell<RunRecorder>>,
    end: RunEnd,
}

#[derive(Clone, Copy)]
enum RunEnd {
    Cancelled,
    Finished,
}

impl ActiveRun {
    /// Counts the beginning of a run; `id` is the call id, if the call has one.
    #[must_use]
    pub fn begin(runs: &Rc<RefCell<RunRecorder>>, id: Option<&str>) -> Self {
        runs.borrow_mut().begin(id);
        Self {
            runs: Rc::clone(runs),
            end: RunEnd::Cancelled,
        }
    }

    /// Counts the run as completed.
    pub fn finish(mut self) {
        self.end = RunEnd::Finished;
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        let mut runs = self.runs.borrow_mut();
        match self.end {
            RunEnd::Cancelled => runs.counts.cancelled += 1,
            RunEnd::Finished => runs.counts.finished += 1,
        }
    }
}
