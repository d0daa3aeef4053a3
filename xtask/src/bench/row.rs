//! Benchmark results: measured values with their units and bounds.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::error::TaskError;

/// Table cell without a value.
const EMPTY_CELL: &str = "-";

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the measured quantity; identifies the row in a baseline.
    pub measure: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of the value, such as `ms`.
    pub unit: String,
    /// Limit for the value, if it has one.
    pub bound: Option<Bound>,
}

/// Limit for a value, in the unit of its row.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// Inclusive upper limit.
    AtMost(f64),
    /// Inclusive lower limit.
    AtLeast(f64),
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(bound) => write!(f, "<= {bound}"),
            Self::AtLeast(bound) => write!(f, ">= {bound}"),
        }
    }
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

impl Row {
    /// Creates a row without a bound.
    pub fn new(measure: impl Into<String>, value: f64, unit: &str) -> Self {
        Self {
            measure: measure.into(),
            value,
            unit: unit.to_owned(),
            bound: None,
        }
    }

    /// Sets the bound.
    pub fn with_bound(self, bound: Bound) -> Self {
        Self {
            bound: Some(bound),
            ..self
        }
    }

    /// Returns whether the value violates its bound.
    pub fn is_out_of_bound(&self) -> bool {
        self.bound.is_some_and(|bound| !bound.holds(self.value))
    }

    /// Returns the table cells: measure, value, unit, bound, within, ratio to the baseline.
    pub fn cells(&self, baseline: &[Row]) -> [String; 6] {
        let bound = self
            .bound
            .map_or(EMPTY_CELL.to_owned(), |bound| bound.to_string());
        let within = match self.bound {
            None => EMPTY_CELL,
            Some(_) if self.is_out_of_bound() => "NO",
            Some(_) => "yes",
        };
        let earlier = baseline.iter().find(|row| row.measure == self.measure);
        let ratio = earlier.filter(|row| row.value != 0.0);
        let ratio = ratio.map(|row| format!("{:.2}", self.value / row.value));
        [
            self.measure.clone(),
            format!("{:.3}", self.value),
            self.unit.clone(),
            bound,
            within.to_owned(),
            ratio.unwrap_or(EMPTY_CELL.to_owned()),
        ]
    }
}

/// A row as it is written to JSON, with the result of the bound check for other tools.
#[derive(Serialize)]
struct Line<'a> {
    #[serde(flatten)]
    row: &'a Row,
    within: Option<bool>,
}

/// Serialises rows as JSON lines.
pub fn to_json_lines(rows: &[Row]) -> Result<String> {
    let mut text = String::new();
    for row in rows {
        let within = row.bound.map(|_| !row.is_out_of_bound());
        let line = serde_json::to_string(&Line { row, within });
        text.push_str(&line.map_err(|e| TaskError::Failed(e.to_string()))?);
        text.push('\n');
    }
    Ok(text)
}

/// Parses rows from JSON lines.
pub fn parse_json_lines(text: &str) -> Result<Vec<Row>> {
    let parse = |line| serde_json::from_str(line);
    let rows: std::result::Result<_, _> = text.lines().map(parse).collect();
    rows.map_err(|e| TaskError::Failed(format!("baseline: {e}")))
}

/// Returns a percentile of sorted values by the nearest-rank method; NaN if there are none.
pub fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
}

/// Collects and sorts values.
pub fn sorted(values: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values
}
