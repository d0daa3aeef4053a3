//! The report as a table for the terminal.

use std::fmt::Write as _;

use base::units::format_duration;
use base::units::format_time;

use crate::burn::BurnReport;
use crate::burn::ServiceBurn;

/// Shown where there were no calls.
const NOTHING: &str = "-";

impl BurnReport {
    /// The report as a table, one service a line, and the moves below.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut rows = vec![head(self)];
        rows.extend(self.services.iter().map(row));
        let mut text = String::new();
        for row in &rows {
            let cells: Vec<String> = row
                .iter()
                .enumerate()
                .map(|(column, cell)| format!("{cell:width$}", width = width(&rows, column)))
                .collect();
            let _ = writeln!(text, "{}", cells.join("  ").trim_end());
        }
        let _ = writeln!(text, "counts since {}", format_time(self.since));
        moves(&mut text, self);
        text
    }
}

fn head(report: &BurnReport) -> Vec<String> {
    let mut cells: Vec<String> = ["service", "objective", "budget left", "state"]
        .map(str::to_owned)
        .to_vec();
    let windows = report.services.first().map(|service| &service.windows);
    let windows = windows.into_iter().flatten();
    cells.extend(windows.map(|window| format!("burn {}", format_window(window.window))));
    cells.push("calls".to_owned());
    cells
}

fn row(service: &ServiceBurn) -> Vec<String> {
    let mut cells = vec![
        service.service.to_string(),
        format_percent(service.objective),
        service
            .budget_left
            .map_or(NOTHING.to_owned(), format_percent),
        service.state.as_str().to_owned(),
    ];
    for window in &service.windows {
        let rate = window
            .rate
            .map_or(NOTHING.to_owned(), |rate| format!("{rate:.2}"));
        cells.push(match window.rollout_count {
            0 => rate,
            moves => format!("{rate} ({moves} moved)"),
        });
    }
    let total = service
        .windows
        .last()
        .map_or(0, |longest| longest.calls.total());
    cells.push(total.to_string());
    cells
}

fn moves(text: &mut String, report: &BurnReport) {
    for service in &report.services {
        for seen in &service.rollouts {
            let _ = writeln!(
                text,
                "{}  {} to {}, ticket {}: {}",
                format_time(seen.at),
                service.service,
                seen.to,
                seen.ticket,
                seen.end,
            );
        }
    }
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}

/// A share in percent, with as many digits as it needs, up to three.
#[must_use]
pub fn format_percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text}%")
}

/// A window's length in its largest whole unit.
#[must_use]
pub fn format_window(window: std::time::Duration) -> String {
    let seconds = window.as_secs();
    match seconds {
        0 => format_duration(window),
        _ if seconds.is_multiple_of(86_400) => format!("{}d", seconds / 86_400),
        _ if seconds.is_multiple_of(3600) => format!("{}h", seconds / 3600),
        _ if seconds.is_multiple_of(60) => format!("{}m", seconds / 60),
        _ => format_duration(window),
    }
}
