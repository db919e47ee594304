//! The burn report as a self-contained HTML page.

use std::fmt::Write as _;

use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, Color as _, DrawingArea, DrawingAreaErrorKind, IntoDrawingArea as _,
        LineSeries, PathElement, RGBColor, SVGBackend, SeriesLabelPosition, WHITE,
    },
};
use strum::IntoEnumIterator as _;

use crate::{
    observe::{
        burn::{Objective, Window},
        burn_report::{Alert, Line, Report, Scope, burn_ratio},
    },
    settings::ObjectiveSettings,
};

/// The size of one chart in pixels.
const CHART_SIZE: (u32, u32) = (860, 300);
/// The colours of lines, chosen to be distinguishable with colour blindness
/// (Okabe and Ito 2008).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];
/// The colour of the budget line, which differs from those of rows.
const BUDGET_COLOUR: RGBColor = RGBColor(120, 120, 120);
/// The font of labels, large enough for readers with low vision.
const LABEL_FONT: (&str, u32) = ("sans-serif", 15);
/// The start of the page, up to the main heading.
const HEAD: &str = "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
<title>Service-level burn</title>\n<style>\n\
body{font:16px/1.5 sans-serif;margin:2em auto;max-width:900px;color:#111}\n\
table{border-collapse:collapse;width:100%}\n\
th,td{text-align:left;padding:.3em .6em;border-bottom:1px solid #ccc}\n\
td.number,th.number{text-align:right;font-variant-numeric:tabular-nums}\n\
.fast{background:#f9c9c0}.slow{background:#fbe6b5}.missing{background:#f9c9c0;padding:.5em 1em}\n\
</style></head>\n<body>\n<h1>Service-level burn</h1>\n";

/// An error while rendering the page.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The plotting library could not draw a chart.
    #[error("failed to draw the chart of {objective}: {reason}")]
    Chart {
        /// The objective.
        objective: Objective,
        /// The library's message.
        reason: String,
    },
}

/// Renders the page.
///
/// # Errors
///
/// Fails if the plotting library cannot draw a chart.
pub fn page(report: &Report, settings: &ObjectiveSettings) -> Result<String, PageError> {
    let mut page = String::from(HEAD);
    // Writing to a string cannot fail.
    let _ = writeln!(page, "<p>{} hosts counted.</p>", report.hosts.len());
    for missing in &report.missing {
        let _ = writeln!(
            page,
            "<p class=\"missing\">Nothing is known of {}: {}</p>",
            escape(&missing.host),
            escape(&missing.reason),
        );
    }
    write_table(&mut page, report);
    for objective in Objective::iter() {
        let lines: Vec<&Line> = report
            .lines
            .iter()
            .filter(|line| line.objective == objective)
            .filter(|line| matches!(line.scope, Scope::Row(_)))
            .collect();
        if lines.is_empty() {
            continue;
        }
        let _ = writeln!(page, "<h2>{objective}</h2>");
        page.push_str(&chart(objective, &lines, report, settings)?);
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn write_table(page: &mut String, report: &Report) {
    page.push_str("<table>\n<tr><th>objective</th><th>row or host</th>");
    for window in Window::iter() {
        let _ = write!(
            page,
            "<th class=\"number\">burn {}</th>",
            report.window_name(window)
        );
    }
    page.push_str("<th>alert</th></tr>\n");
    for line in &report.lines {
        let class = match line.alert {
            Alert::Fast => " class=\"fast\"",
            Alert::Slow => " class=\"slow\"",
            Alert::NoData | Alert::None => "",
        };
        let scope = escape(&line.scope.to_string());
        let _ = write!(
            page,
            "<tr{class}><td>{}</td><td>{scope}</td>",
            line.objective
        );
        for rate in &line.rates {
            let cell = rate
                .burn_ratio
                .map_or_else(|| "no data".to_owned(), |ratio| format!("{ratio:.2}"));
            let _ = write!(page, "<td class=\"number\">{cell}</td>");
        }
        let _ = writeln!(page, "<td>{}</td></tr>", line.alert);
    }
    page.push_str("</table>\n");
}

/// One line of a chart: its name, and points of negative age in buckets and burn
/// rate.
type Points = (String, Vec<(f64, f64)>);

/// Draws the burn rate of each row over time as SVG.
fn chart(
    objective: Objective,
    lines: &[&Line],
    report: &Report,
    settings: &ObjectiveSettings,
) -> Result<String, PageError> {
    let budget_ratio = objective.budget_ratio(settings);
    let points: Vec<Points> = lines
        .iter()
        .map(|line| points(line, budget_ratio))
        .collect();
    let mut svg = String::new();
    let root = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
    draw(&root, &points, report).map_err(|error| PageError::Chart {
        objective,
        reason: error.to_string(),
    })?;
    drop(root);
    Ok(svg)
}

/// Returns the burn rates by age; buckets without events have no point.
fn points(line: &Line, budget_ratio: f64) -> Points {
    let points = line
        .buckets
        .iter()
        .enumerate()
        .filter_map(|(age, tally)| {
            let burn = burn_ratio(tally.bad_ratio()?, budget_ratio);
            Some((-(age as f64), burn))
        })
        .collect();
    (line.scope.to_string(), points)
}

fn draw(
    root: &DrawingArea<SVGBackend<'_>, Shift>,
    points: &[Points],
    report: &Report,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let all = || points.iter().flat_map(|(_, points)| points);
    let oldest = all().map(|(age, _)| *age).fold(-1.0, f64::min);
    let highest = all().map(|(_, burn)| *burn).fold(1.5, f64::max);
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .x_label_area_size(44)
        .y_label_area_size(60)
        .build_cartesian_2d(oldest..0.0, 0.0..highest * 1.1)?;
    let bucket_s = report.bucket_ms as f64 / 1e3;
    chart
        .configure_mesh()
        .x_desc("seconds ago")
        .y_desc("burn")
        .x_label_formatter(&|age| format!("{:.0}", (age * bucket_s).abs()))
        .max_light_lines(0)
        .label_style(LABEL_FONT)
        .axis_desc_style(LABEL_FONT)
        .draw()?;
    let budget = [(oldest, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(budget, BUDGET_COLOUR.stroke_width(2)))?
        .label("budget")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BUDGET_COLOUR.stroke_width(2)));
    for ((name, points), colour) in points.iter().zip(COLOURS.iter().cycle()) {
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2)).point_size(2);
        chart
            .draw_series(line)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .label_font(LABEL_FONT)
        .background_style(WHITE.mix(0.8))
        .border_style(RGBColor(180, 180, 180))
        .draw()?;
    root.present()
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
