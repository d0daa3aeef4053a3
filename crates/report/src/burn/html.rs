//! Renders the burn report as one self-contained HTML page with inline SVG charts.

use std::fmt::Write as _;

use base::units::format_time;

use crate::burn::BurnReport;
use crate::burn::FAST_BURN_RATE;
use crate::burn::RolloutEvent;
use crate::burn::SLOW_BURN_RATE;
use crate::burn::ServiceBurn;
use crate::burn::WindowBurn;
use crate::burn::table::format_percent;
use crate::burn::table::format_window;
use crate::history::millis;

/// Width of a chart's plot, in SVG user units.
const PLOT_WIDTH: f64 = 280.0;

/// Height of a chart's plot, in SVG user units.
const PLOT_HEIGHT: f64 = 90.0;

/// Height of the time axis labels below the plot, in SVG user units.
const AXIS_HEIGHT: f64 = 18.0;

/// Height of the rollout labels above the plot, in SVG user units.
const LABEL_HEIGHT: f64 = 14.0;

/// Smallest upper end of the burn rate scale, so that the line at rate 1 stays inside the plot.
const MIN_SCALE_RATE: f64 = 2.0;

const STYLE: &str = "
body { font: 15px/1.45 system-ui, sans-serif; color: #1d2733; background: #f4f5f7;
  margin: 0 auto; max-width: 1240px; padding: 28px }
h1 { font-size: 24px; margin: 0 0 2px }
h2 { font-size: 18px; margin: 0 }
.note { color: #556270; margin: 0 0 18px }
section { background: #fff; border: 1px solid #dde1e6; border-radius: 8px; padding: 16px 20px;
  margin: 0 0 16px }
.head { display: flex; gap: 28px; align-items: baseline; flex-wrap: wrap }
.head b { font-variant-numeric: tabular-nums }
.state { border-radius: 4px; padding: 1px 9px; font-weight: 600 }
.ok { background: #dcefe3; color: #17603a }
.slow { background: #fdeccd; color: #7a4b00 }
.fast { background: #fbdcd9; color: #96231a }
.none { background: #e8ebee; color: #556270 }
.charts { display: grid; grid-template-columns: repeat(auto-fill, minmax(250px, 1fr));
  gap: 16px; margin-top: 12px }
figure { margin: 0 }
figcaption { font-size: 13px; color: #556270 }
figcaption b { color: #1d2733; font-variant-numeric: tabular-nums }
svg { display: block; width: 100%; height: auto }
svg text { font: 10px system-ui, sans-serif; fill: #556270 }
table { border-collapse: collapse; margin-top: 10px; font-size: 13px }
td, th { text-align: left; padding: 2px 22px 2px 0; font-variant-numeric: tabular-nums }
th { color: #556270; font-weight: 500 }
";

impl BurnReport {
    /// Renders the report as an HTML page without scripts or external resources.
    #[must_use]
    pub fn to_html(&self) -> String {
        let mut page = String::new();
        let _ = write!(
            page,
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn</title><style>{STYLE}</style></head><body>\
             <h1>Service-level burn</h1><p class=\"note\">Generated {}; counts since {}. \
             A burn rate of 1 (dashed line) spends exactly the error budget of the window.</p>",
            format_time(self.at),
            format_time(self.since),
        );
        for service in &self.services {
            section(&mut page, service);
        }
        page.push_str("</body></html>\n");
        page
    }
}

fn section(page: &mut String, service: &ServiceBurn) {
    let remaining = service
        .budget_left
        .map_or("no calls".to_owned(), format_percent);
    let _ = write!(
        page,
        "<section><div class=\"head\"><h2>{}</h2><span class=\"state {}\">{}</span>\
         <span>objective <b>{}</b></span><span>budget left <b>{remaining}</b></span></div>\
         <div class=\"charts\">",
        escape(&service.service),
        class(service),
        service.state.as_str(),
        format_percent(service.objective),
    );
    for window in &service.windows {
        figure(page, window, &service.rollouts);
    }
    page.push_str("</div>");
    rollout_table(page, &service.rollouts);
    page.push_str("</section>");
}

fn class(service: &ServiceBurn) -> &'static str {
    match service.state {
        crate::burn::BurnState::NoCalls => "none",
        crate::burn::BurnState::Ok => "ok",
        crate::burn::BurnState::Slow => "slow",
        crate::burn::BurnState::Fast => "fast",
    }
}

fn figure(page: &mut String, window: &WindowBurn, rollouts: &[RolloutEvent]) {
    let rate = window
        .rate
        .map_or("-".to_owned(), |rate| format!("{rate:.2}"));
    let _ = write!(
        page,
        "<figure><figcaption>last {}: burn rate <b>{rate}</b>, {} bad of {} calls</figcaption>",
        format_window(window.window),
        window.calls.bad,
        window.calls.total(),
    );
    chart(page, window, rollouts);
    page.push_str("</figure>");
}

/// Maps the times and burn rates of a window to coordinates of its chart.
struct Scale {
    /// Start of the window, in milliseconds since the Unix epoch.
    start: u64,
    /// Length of the window, in milliseconds.
    length: f64,
    /// Burn rate at the upper edge of the plot.
    max_rate: f64,
}

impl Scale {
    fn of(window: &WindowBurn) -> Self {
        let rates = window.points.iter().filter_map(|point| point.rate);
        Self {
            start: window.points.first().map_or(0, |point| point.start),
            length: as_f64(millis(window.window)),
            max_rate: rates.fold(MIN_SCALE_RATE, f64::max),
        }
    }

    fn x(&self, time: u64) -> f64 {
        as_f64(time.saturating_sub(self.start)) / self.length * PLOT_WIDTH
    }

    fn y(&self, rate: f64) -> f64 {
        LABEL_HEIGHT + PLOT_HEIGHT - rate / self.max_rate * PLOT_HEIGHT
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}

fn chart(page: &mut String, window: &WindowBurn, rollouts: &[RolloutEvent]) {
    let scale = Scale::of(window);
    let _ = write!(
        page,
        "<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"burn rate over the last {}\">",
        PLOT_WIDTH + 30.0,
        LABEL_HEIGHT + PLOT_HEIGHT + AXIS_HEIGHT,
        format_window(window.window),
    );
    let bottom = LABEL_HEIGHT + PLOT_HEIGHT;
    line(
        page,
        [0.0, bottom, PLOT_WIDTH, bottom],
        "stroke=\"#c3c9d0\"",
    );
    bars(page, window, &scale);
    let budget_y = scale.y(SLOW_BURN_RATE);
    line(
        page,
        [0.0, budget_y, PLOT_WIDTH, budget_y],
        "stroke=\"#556270\" stroke-dasharray=\"4 3\"",
    );
    text(page, PLOT_WIDTH + 4.0, budget_y + 3.0, "1");
    if scale.max_rate > MIN_SCALE_RATE {
        text(
            page,
            PLOT_WIDTH + 4.0,
            scale.y(scale.max_rate) + 8.0,
            &format!("{:.0}", scale.max_rate),
        );
    }
    rollout_marks(page, window, rollouts, &scale);
    text(
        page,
        0.0,
        bottom + 13.0,
        &format!("-{}", format_window(window.window)),
    );
    text(page, PLOT_WIDTH - 20.0, bottom + 13.0, "now");
    page.push_str("</svg>");
}

fn bars(page: &mut String, window: &WindowBurn, scale: &Scale) {
    let step = PLOT_WIDTH / as_f64(window.points.len().max(1) as u64);
    for (point, index) in window.points.iter().zip(0u32..) {
        let Some(rate) = point.rate else { continue };
        // A slot without bad calls still shows as a thin line, unlike a slot without calls.
        let height = (rate / scale.max_rate * PLOT_HEIGHT).max(1.0);
        let _ = write!(
            page,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{}\"/>",
            f64::from(index) * step,
            LABEL_HEIGHT + PLOT_HEIGHT - height,
            (step - 1.0).max(0.5),
            color(rate),
        );
    }
}

fn color(rate: f64) -> &'static str {
    if rate > FAST_BURN_RATE {
        "#c8372b"
    } else if rate > SLOW_BURN_RATE {
        "#e0992b"
    } else {
        "#6d9fc4"
    }
}

fn rollout_marks(page: &mut String, window: &WindowBurn, rollouts: &[RolloutEvent], scale: &Scale) {
    for event in rollouts.iter().filter(|event| event.at >= scale.start) {
        let x = scale.x(event.at).min(PLOT_WIDTH);
        let color = match event.end {
            "taken-back" => "#96231a",
            _ => "#17603a",
        };
        let style = format!("stroke=\"{color}\" stroke-width=\"1.5\"");
        line(
            page,
            [x, LABEL_HEIGHT - 2.0, x, LABEL_HEIGHT + PLOT_HEIGHT],
            &style,
        );
        // Labels in the right half go to the left of their mark to stay inside the chart.
        let label = format!("#{} {}", event.ticket, event.end);
        let label_x = if x > PLOT_WIDTH / 2.0 {
            x - as_f64(label.len() as u64) * 5.0
        } else {
            x
        };
        if window.rollout_count <= 2 {
            text(page, label_x.max(0.0), LABEL_HEIGHT - 4.0, &label);
        }
    }
}

fn line(page: &mut String, [x1, y1, x2, y2]: [f64; 4], style: &str) {
    let _ = write!(
        page,
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" {style}/>"
    );
}

fn text(page: &mut String, x: f64, y: f64, text: &str) {
    let _ = write!(
        page,
        "<text x=\"{x:.1}\" y=\"{y:.1}\">{}</text>",
        escape(text)
    );
}

fn rollout_table(page: &mut String, rollouts: &[RolloutEvent]) {
    if rollouts.is_empty() {
        return;
    }
    page.push_str("<table><tr><th>time</th><th>ticket</th><th>to</th><th>move</th></tr>");
    for event in rollouts {
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            format_time(event.at),
            event.ticket,
            escape(&event.to),
            event.end,
        );
    }
    page.push_str("</table>");
}

/// Escapes HTML: names come from tickets and must not become markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
