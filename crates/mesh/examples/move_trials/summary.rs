//! Tables and a plot of many simulated moves.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::Results;
use crate::play::Ending;
use crate::play::Outcome;
use crate::trial::Behaviour;
use crate::trial::Trial;
use crate::trial::WITHIN;

/// Lower bounds of the bands of requests a second in the plot.
const RATE_BANDS: [f64; 5] = [3.0, 10.0, 32.0, 100.0, 316.0];

/// Length of the longest bar of the plot.
const BAR: f64 = 40.0;

/// Most seeds that are named of each kind of error.
const NAMED_SEEDS: usize = 5;

/// Least failure rate and slowdown of versions that are clearly bad.
const CLEAR_FAILURES: f64 = 0.05;
const CLEAR_SLOWDOWN: f64 = 3.0;

/// Counts of one row.
#[derive(Debug, Default)]
struct Row {
    moves: u32,
    /// Bad versions with more requests than they may get.
    overexposed: u32,
    completed: u32,
    rolled_back: u32,
    /// Good versions that are not complete in time, those rolled back apart.
    not_in_time: u32,
    /// Requests beyond the share, sorted.
    excess: Vec<f64>,
    /// Seconds from the first bad answer to the rollback, sorted.
    verdict_times: Vec<f64>,
}

impl Row {
    fn add(&mut self, trial: &Trial, outcome: &Outcome) {
        self.moves += 1;
        match outcome.ending {
            Ending::Completed(at) => {
                self.completed += 1;
                self.not_in_time += u32::from(trial.behaviour == Behaviour::Good && at > WITHIN);
            }
            Ending::RolledBack(at) => {
                self.rolled_back += 1;
                let since = outcome.first_bad.map(|bad| at.saturating_sub(bad));
                self.verdict_times
                    .extend(since.as_ref().map(Duration::as_secs_f64));
            }
            Ending::Open => self.not_in_time += u32::from(trial.behaviour == Behaviour::Good),
        }
        if trial.behaviour != Behaviour::Good {
            self.overexposed += u32::from(outcome.is_overexposed());
            self.excess.push(outcome.excess());
        }
    }

    fn sort(&mut self) {
        self.excess.sort_unstable_by(f64::total_cmp);
        self.verdict_times.sort_unstable_by(f64::total_cmp);
    }

    fn percent(&self, count: u32) -> f64 {
        100.0 * f64::from(count) / f64::from(self.moves.max(1))
    }
}

/// Results of many moves.
pub struct Summary<'a> {
    results: &'a Results,
}

impl<'a> Summary<'a> {
    pub fn new(results: &'a Results) -> Self {
        Self { results }
    }

    /// Sums up the moves that `keep` selects, by what `key` tells of them.
    fn rows<K: Ord>(
        &self,
        keep: impl Fn(&Trial) -> bool,
        key: impl Fn(&Trial) -> K,
    ) -> BTreeMap<K, Row> {
        let mut rows: BTreeMap<K, Row> = BTreeMap::new();
        for (_, trial, outcome) in self.results.iter().filter(|(_, trial, _)| keep(trial)) {
            rows.entry(key(trial)).or_default().add(trial, outcome);
        }
        rows.values_mut().for_each(Row::sort);
        rows
    }

    fn write_bad<K: Ord + fmt::Display>(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        key: impl Fn(&Trial) -> K,
    ) -> fmt::Result {
        writeln!(f, "\nclearly bad versions, by {name}")?;
        writeln!(
            f,
            "{:22} {:>6} {:>13} {:>10} {:>13} {:>14} {:>13} {:>13}",
            "",
            "moves",
            "overexposed %",
            "complete %",
            "rolled back %",
            "excess p99/max",
            "verdict s p50",
            "verdict s p99"
        )?;
        for (key, row) in self.rows(Trial::is_clearly_bad, key) {
            writeln!(
                f,
                "{:22} {:>6} {:>13.2} {:>10.2} {:>13.2} {:>7.0}/{:<6.0} {:>13.1} {:>13.1}",
                key.to_string(),
                row.moves,
                row.percent(row.overexposed),
                row.percent(row.completed),
                row.percent(row.rolled_back),
                percentile(&row.excess, 99),
                percentile(&row.excess, 100),
                percentile(&row.verdict_times, 50),
                percentile(&row.verdict_times, 99),
            )?;
        }
        Ok(())
    }

    fn write_good(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\ngood versions, by disturbance")?;
        writeln!(
            f,
            "{:22} {:>6} {:>13} {:>13}",
            "", "moves", "rolled back %", "not in time %"
        )?;
        for (disturbance, row) in self.rows(
            |trial| trial.behaviour == Behaviour::Good,
            |trial| trial.disturbance,
        ) {
            writeln!(
                f,
                "{:22} {:>6} {:>13.2} {:>13.2}",
                disturbance.to_string(),
                row.moves,
                row.percent(row.rolled_back),
                row.percent(row.not_in_time),
            )?;
        }
        Ok(())
    }

    fn write_plot(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bad = self.rows(Trial::is_clearly_bad, band);
        let can_complete =
            |trial: &Trial| trial.behaviour == Behaviour::Good && trial.disturbance.leaves_time();
        let good = self.rows(can_complete, band);
        writeln!(f, "\nboth errors, by requests a second of the service")?;
        for (band, from) in RATE_BANDS.iter().enumerate() {
            let bad = bad
                .get(&band)
                .map_or(0.0, |row| row.percent(row.overexposed));
            let good = good
                .get(&band)
                .map_or(0.0, |row| row.percent(row.rolled_back + row.not_in_time));
            writeln!(f, "from {from:>4}  bad, overexposed           {}", bar(bad))?;
            writeln!(f, "           good, back or late    {}", bar(good))?;
        }
        Ok(())
    }

    fn write_seeds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut seeds: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (seed, trial, outcome) in self.results {
            if let Some(error) = error(trial, outcome) {
                seeds.entry(error).or_default().push(*seed);
            }
        }
        writeln!(f, "\nfirst seeds of each error")?;
        for (error, seeds) in seeds {
            let named: Vec<String> = seeds
                .iter()
                .take(NAMED_SEEDS)
                .map(ToString::to_string)
                .collect();
            writeln!(f, "{error:22} {:>5}: {}", seeds.len(), named.join(" "))?;
        }
        Ok(())
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} moves", self.results.len())?;
        self.write_bad(f, "behaviour", |trial| trial.behaviour)?;
        self.write_bad(f, "strength", Trial::strength)?;
        self.write_bad(f, "disturbance", |trial| trial.disturbance)?;
        self.write_good(f)?;
        self.write_plot(f)?;
        self.write_seeds(f)
    }
}

impl Trial {
    /// Whether the target is so bad that it must not exceed its share.
    fn is_clearly_bad(&self) -> bool {
        match self.behaviour {
            Behaviour::Good => false,
            Behaviour::Fails(_) => self.fault.failing >= CLEAR_FAILURES,
            Behaviour::Slow(_) => self.fault.slower >= CLEAR_SLOWDOWN,
        }
    }
}

/// Names the error of a decision, if there was one.
fn error(trial: &Trial, outcome: &Outcome) -> Option<String> {
    if trial.is_clearly_bad() && outcome.is_overexposed() {
        return Some(trial.behaviour.to_string());
    }
    if trial.behaviour != Behaviour::Good {
        return None;
    }
    match outcome.ending {
        Ending::RolledBack(_) => Some("good, rolled back".to_owned()),
        Ending::Completed(at) if at <= WITHIN => None,
        _ if !trial.disturbance.leaves_time() => None,
        _ => Some("good, not in time".to_owned()),
    }
}

fn band(trial: &Trial) -> usize {
    let rate = trial.per_sec();
    let below = RATE_BANDS.partition_point(|from| *from <= rate);
    below.saturating_sub(1)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bar(percent: f64) -> String {
    let length = (percent / 100.0 * BAR).ceil() as usize;
    format!("{:40} {percent:.2} %", "#".repeat(length))
}

/// Returns a percentile of sorted values; zero when there are none.
fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
