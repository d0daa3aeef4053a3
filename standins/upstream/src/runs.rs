//! Record of what ran, by call id.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::FastMap;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Counts of what ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Runs that began.
    pub begun: u64,
    /// Runs that ended by themselves, failed ones included.
    pub finished: u64,
    /// Runs that were given up because the connection closed or the deadline passed.
    pub cancelled: u64,
    /// Runs of calls without an id.
    pub without_id: u64,
    /// Call ids that ran.
    pub ids: u64,
    /// Call ids that ran more than once.
    pub doubled: Vec<SmolStr>,
    /// Calls refused as not run.
    pub refused: u64,
}

/// Record of what ran.
#[derive(Debug, Default)]
pub struct Runs {
    by_id: FastMap<SmolStr, u32>,
    counts: RunSummary,
}

impl Runs {
    /// Counts a call that was refused as not run.
    pub fn refused(&mut self) {
        self.counts.refused += 1;
    }

    /// Runs by call id.
    #[must_use]
    pub fn counts_by_id(&self) -> BTreeMap<SmolStr, u32> {
        self.by_id
            .iter()
            .map(|(id, runs)| (id.clone(), *runs))
            .collect()
    }

    /// Counts of what ran.
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

/// A run under way; one that is dropped before [`Run::finish`] counts as cancelled.
pub struct Run {
    runs: Rc<RefCell<Runs>>,
    end: End,
}

#[derive(Clone, Copy)]
enum End {
    Cancelled,
    Finished,
}

impl Run {
    /// Writes down that a call begins to run.
    #[must_use]
    pub fn begin(runs: &Rc<RefCell<Runs>>, id: Option<&str>) -> Self {
        runs.borrow_mut().begin(id);
        Self {
            runs: Rc::clone(runs),
            end: End::Cancelled,
        }
    }

    /// Writes down that the run ended by itself.
    pub fn finish(mut self) {
        self.end = End::Finished;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut runs = self.runs.borrow_mut();
        match self.end {
            End::Cancelled => runs.counts.cancelled += 1,
            End::Finished => runs.counts.finished += 1,
        }
    }
}
