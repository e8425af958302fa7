//! The report as plain text for small screens and as a self-contained HTML page.

use std::fmt::Write as _;

use super::{BurnReport, ServiceBurn, WindowBurn};

const BAR_WIDTH: f64 = 200.0;
const BAR_BURN_MAX: f64 = 4.0;

/// Returns the report as short lines of text.
#[must_use]
pub fn to_text(report: &BurnReport) -> String {
    let mut text = String::new();
    for service in &report.services {
        push_service(&mut text, service);
    }
    let heard = report.entries_heard.len();
    let _ = writeln!(text, "entries heard: {heard}");
    if !report.entries_missing.is_empty() {
        let missing = report.entries_missing.join(", ");
        let _ = writeln!(text, "entries missing, not counted: {missing}");
    }
    text
}

fn push_service(text: &mut String, service: &ServiceBurn) {
    let left = match service.budget_left_percent {
        Some(percent) => format!("{percent:.0}% of the budget left"),
        None => String::from("no traffic"),
    };
    let _ = writeln!(text, "{}: {left}", service.service);
    for window in &service.windows {
        let _ = writeln!(text, "  {}", window_line(window));
    }
    if let (Some(p50_ms), Some(p99_ms)) = (service.p50_ms, service.p99_ms) {
        let _ = writeln!(text, "  first byte: p50 {p50_ms} ms, p99 {p99_ms} ms");
    }
}

fn window_line(window: &WindowBurn) -> String {
    let covered = if window.covered { "" } else { " (partial)" };
    format!(
        "{} min{covered}: failures {}, slow {}, {} requests",
        window.window_minutes,
        burn_text(window.availability_burn),
        burn_text(window.latency_burn),
        window.request_count
    )
}

fn burn_text(burn: Option<f64>) -> String {
    burn.map_or_else(|| String::from("-"), |burn| format!("{burn:.1}x"))
}

/// Returns the report as one self-contained HTML page.
#[must_use]
pub fn to_html(report: &BurnReport) -> String {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\"><title>Service-level burn</title>\
         <style>body{font:16px sans-serif;margin:1em}td{padding:.2em .6em}</style>\n\
         <h1>Service-level burn</h1>\n",
    );
    for service in &report.services {
        let _ = writeln!(html, "<h2>{}</h2><table>", service.service);
        for window in &service.windows {
            push_row(&mut html, window);
        }
        html.push_str("</table>\n");
    }
    let _ = writeln!(html, "<pre>{}</pre></html>", to_text(report));
    html
}

fn push_row(html: &mut String, window: &WindowBurn) {
    let burn = window.availability_burn.unwrap_or(0.0);
    let width = (burn / BAR_BURN_MAX).min(1.0) * BAR_WIDTH;
    let colour = if burn > 1.0 { "#c22" } else { "#282" };
    let _ = writeln!(
        html,
        "<tr><td>{} min</td><td><svg width=\"{BAR_WIDTH}\" height=\"16\">\
         <rect width=\"{width:.0}\" height=\"16\" fill=\"{colour}\"/></svg></td><td>{}</td></tr>",
        window.window_minutes,
        burn_text(window.availability_burn)
    );
}
