//! Result of the check, as a table or as JSON.

use std::fmt;

use mesh::ConfigVersion;
use mesh::config_check::Change;
use mesh::config_check::Difference;
use mesh::config_check::Finding;
use serde::Serialize;

/// Result of the check of one configuration.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Version of the configuration in force, if one was read.
    pub in_force: Option<ConfigVersion>,
    /// Whether the daemons would take it in place of the one in force.
    pub is_newer: bool,
    /// Doubtful entries.
    pub findings: Vec<FindingLine>,
    /// What differs from the configuration in force, if one was read.
    pub differences: Option<Vec<DifferenceLine>>,
}

/// A doubtful entry.
#[derive(Debug, Serialize)]
pub struct FindingLine {
    place: String,
    kind: &'static str,
    reason: String,
}

/// An entry that differs.
#[derive(Debug, Serialize)]
pub struct DifferenceLine {
    place: String,
    change: &'static str,
    field: Option<&'static str>,
    before: Option<String>,
    after: Option<String>,
}

impl CheckReport {
    /// Whether nothing is doubtful, and the daemons would take the configuration.
    pub fn is_clean(&self) -> bool {
        self.is_newer && self.findings.is_empty()
    }
}

impl FindingLine {
    /// Describes a finding.
    pub fn new(finding: &Finding) -> Self {
        Self {
            place: finding.place.to_string(),
            kind: finding.kind.name(),
            reason: finding.reason.clone(),
        }
    }
}

impl DifferenceLine {
    /// Describes a difference.
    pub fn new(difference: &Difference) -> Self {
        let (change, field, before, after) = match &difference.change {
            Change::Added => ("added", None, None, None),
            Change::Removed => ("removed", None, None, None),
            Change::Field {
                name,
                before,
                after,
            } => (
                "changed",
                Some(*name),
                Some(before.clone()),
                Some(after.clone()),
            ),
        };
        Self {
            place: difference.place.to_string(),
            change,
            field,
            before,
            after,
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}: ", self.version)?;
        match self.findings.len() {
            0 => f.write_str("nothing doubtful")?,
            count => write!(f, "{count} doubtful entries")?,
        }
        if let Some(in_force) = self.in_force.filter(|_| !self.is_newer) {
            write!(
                f,
                "\nversion {in_force} is in force; the daemons take only a later one"
            )?;
        }
        for finding in &self.findings {
            let FindingLine {
                place,
                kind,
                reason,
            } = finding;
            write!(f, "\n  {place:<30} {kind:<14} {reason}")?;
        }
        let Some(differences) = &self.differences else {
            return Ok(());
        };
        let in_force = self.in_force.unwrap_or_default();
        write!(
            f,
            "\n{} differences from version {in_force}",
            differences.len()
        )?;
        for difference in differences {
            write!(
                f,
                "\n  {:<30} {:<8} {}",
                difference.place,
                difference.change,
                field_text(difference)
            )?;
        }
        Ok(())
    }
}

fn field_text(line: &DifferenceLine) -> String {
    match (line.field, &line.before, &line.after) {
        (Some(field), Some(before), Some(after)) => format!("{field}: {before} -> {after}"),
        _ => String::new(),
    }
}
