//! Renders the burn report as a plain-text table for the terminal.

use std::fmt::Write as _;

use base::units::format_duration;
use base::units::format_time;

use crate::burn::BurnReport;
use crate::burn::ServiceBurn;

/// Cell of a value that needs calls when there were none.
const NO_VALUE: &str = "-";

impl BurnReport {
    /// Renders one line per service, then the start of counting and one line per rollout.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut rows = vec![header(self)];
        rows.extend(self.services.iter().map(row));
        let mut text = String::new();
        for row in &rows {
            let cells: Vec<String> = row
                .iter()
                .enumerate()
                .map(|(column, cell)| format!("{cell:width$}", width = column_width(&rows, column)))
                .collect();
            let _ = writeln!(text, "{}", cells.join("  ").trim_end());
        }
        let _ = writeln!(text, "counts since {}", format_time(self.since));
        write_rollouts(&mut text, self);
        text
    }
}

fn header(report: &BurnReport) -> Vec<String> {
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
            .map_or(NO_VALUE.to_owned(), format_percent),
        service.state.as_str().to_owned(),
    ];
    for window in &service.windows {
        let rate = window
            .rate
            .map_or(NO_VALUE.to_owned(), |rate| format!("{rate:.2}"));
        cells.push(match window.rollout_count {
            0 => rate,
            rollouts => format!("{rate} ({rollouts} moved)"),
        });
    }
    let total = service
        .windows
        .last()
        .map_or(0, |longest| longest.calls.total());
    cells.push(total.to_string());
    cells
}

fn write_rollouts(text: &mut String, report: &BurnReport) {
    for service in &report.services {
        for event in &service.rollouts {
            let _ = writeln!(
                text,
                "{}  {} to {}, ticket {}: {}",
                format_time(event.at),
                service.service,
                event.to,
                event.ticket,
                event.end,
            );
        }
    }
}

fn column_width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}

/// Formats a share (1 is 100%) as a percentage with up to three decimals, without trailing zeros.
#[must_use]
pub fn format_percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text}%")
}

/// Formats the length of a window in its largest whole unit, from days to minutes; other lengths
/// as [`format_duration`] does.
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
