//! Draws a run as an SVG chart: share of served requests, events and the configuration version of
//! each VM over time.

use std::fmt::Write;
use std::time::Duration;

use crate::{Outcome, Plan};

/// Horizontal scale, in pixels per second.
const PIXELS_PER_SECOND: f64 = 16.0;
/// Height of a row in pixels.
const ROW_HEIGHT: f64 = 14.0;
/// Height of the chart of served requests in pixels.
const CHART_HEIGHT: f64 = 120.0;
/// Left margin for labels in pixels.
const LEFT_MARGIN: f64 = 60.0;
/// Colours of configuration versions, in turn; a VM that does not answer is white.
const COLOURS: [&str; 6] = [
    "#4e79a7", "#f28e2b", "#76b7b2", "#edc948", "#b07aa1", "#9c755f",
];

/// Returns the SVG chart of a run.
pub fn draw(plan: &Plan, outcome: &Outcome) -> String {
    let width = LEFT_MARGIN + plan.size.length.as_secs_f64() * PIXELS_PER_SECOND + 20.0;
    let height =
        CHART_HEIGHT + ROW_HEIGHT * (plan.size.vms as f64 + 1.0 + plan.events.len() as f64) + 40.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"{height:.0}\" \
         font-family=\"monospace\" font-size=\"10\">\n"
    );
    draw_served(&mut svg, outcome);
    draw_versions(&mut svg, plan, outcome);
    draw_events(&mut svg, plan);
    for violation in &outcome.violations {
        let at = x_at(violation.at);
        // Writing to a `String` can't fail, here and below.
        let _ = writeln!(
            svg,
            "<line x1=\"{at:.0}\" x2=\"{at:.0}\" y1=\"0\" y2=\"{height:.0}\" stroke=\"red\"/>\
             <text x=\"{at:.0}\" y=\"10\" fill=\"red\">{}</text>",
            violation.invariant
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn x_at(at: Duration) -> f64 {
    LEFT_MARGIN + at.as_secs_f64() * PIXELS_PER_SECOND
}

/// Draws the share of served requests as bars.
fn draw_served(svg: &mut String, outcome: &Outcome) {
    for sample in &outcome.samples {
        let all = sample.served + sample.failed;
        if all == 0 {
            continue;
        }
        let height = CHART_HEIGHT * sample.served as f64 / all as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{:.0}\" y=\"{:.0}\" width=\"{:.0}\" height=\"{height:.0}\" \
             fill=\"#59a14f\"><title>served {} failed {}</title></rect>",
            x_at(sample.at),
            CHART_HEIGHT - height,
            PIXELS_PER_SECOND / 2.0,
            sample.served,
            sample.failed
        );
    }
    let _ = writeln!(svg, "<text x=\"2\" y=\"12\">served</text>");
}

/// Draws the configuration version of each VM.
fn draw_versions(svg: &mut String, plan: &Plan, outcome: &Outcome) {
    for vm in 0..plan.size.vms {
        let y = CHART_HEIGHT + ROW_HEIGHT * (vm as f64 + 1.0);
        let _ = writeln!(svg, "<text x=\"2\" y=\"{:.0}\">vm {vm}</text>", y + 10.0);
        for sample in &outcome.samples {
            let version = sample.versions.get(vm).copied().flatten();
            let colour = version.map_or("white", |version| {
                COLOURS[(version / 3) as usize % COLOURS.len()]
            });
            let _ = writeln!(
                svg,
                "<rect x=\"{:.0}\" y=\"{y:.0}\" width=\"{:.0}\" height=\"{:.0}\" \
                 fill=\"{colour}\"><title>version {version:?}</title></rect>",
                x_at(sample.at),
                PIXELS_PER_SECOND / 2.0,
                ROW_HEIGHT - 2.0
            );
        }
    }
}

/// Draws each event in a row of its own.
fn draw_events(svg: &mut String, plan: &Plan) {
    let top = CHART_HEIGHT + ROW_HEIGHT * (plan.size.vms as f64 + 1.0);
    for (row, (at, event)) in plan.events.iter().enumerate() {
        let y = top + ROW_HEIGHT * (row as f64 + 1.0);
        let at = x_at(*at);
        let _ = writeln!(
            svg,
            "<line x1=\"{at:.0}\" x2=\"{at:.0}\" y1=\"{CHART_HEIGHT}\" y2=\"{y:.0}\" stroke=\"#bbb\"/>\
             <text x=\"{:.0}\" y=\"{y:.0}\">{event}</text>",
            at + 2.0
        );
    }
}
