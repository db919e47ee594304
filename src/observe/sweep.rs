//! How the cost of a host grows with the fleet, and the page that shows it.

use std::{fmt::Write as _, path::Path};

use plotters::{
    prelude::{
        BLACK, ChartBuilder, Circle, Color as _, DrawingAreaErrorKind, IntoDrawingArea as _,
        IntoLogRange as _, LineSeries, Palette as _, Palette99, SVGBackend, WHITE,
    },
    style::IntoFont as _,
};

/// The number of hosts to design for.
const TARGET_HOST_COUNT: usize = 1_049;

/// The marks in the capacity page between which the table of the sweep stands.
const START_MARK: &str = "<!-- sweep: start -->";
const END_MARK: &str = "<!-- sweep: end -->";

/// The bounds on the control of one host: a series, the bound and its source.
const BOUNDS: [(&str, f64, &str); 5] = [
    ("entry: processor %", 1.8, "1.8% of a core a host"),
    ("entry: memory MB", 32.0, "32 MB a host"),
    ("entry: kB a second", 28.0, "28 KB/s a host"),
    (
        "entry: connections",
        3_900.0,
        "4,100 descriptors on the smallest hosts, 200 of them for files",
    ),
    ("config acked, ms", 4_000.0, "4 s after the acknowledgement"),
];

/// One figure at each size of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// What is measured, with its unit.
    pub name: String,
    /// The value of the host in the middle; empty for figures of the whole fleet.
    pub middle: Vec<f64>,
    /// The value of the busiest host, or the longest time.
    pub busiest: Vec<f64>,
    /// The power of the number of hosts with which the busiest value grows.
    pub power: Option<f64>,
    /// The busiest value that this leads to at the size to design for.
    pub at_target: Option<f64>,
}

/// The figures of one day at several sizes of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// The id of the journal entry with the figures.
    pub entry: String,
    /// The deployment.
    pub site: String,
    /// The number of hosts at each size.
    pub host_counts: Vec<usize>,
    /// The number of upstreams at each size.
    pub upstream_counts: Vec<usize>,
    /// The figures.
    pub series: Vec<Series>,
}

/// Why the capacity page cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The page lacks the marks between which the table stands.
    #[error("the page has no {START_MARK} followed by {END_MARK}")]
    NoMarks,
    /// The plot cannot be drawn.
    #[error("failed to draw the plot: {reason}")]
    Plot {
        /// The library's error.
        reason: String,
    },
}

impl Sweep {
    /// Renders the table of the sweep, with bounds and verdicts.
    pub fn table(&self) -> String {
        let mut table = format!(
            "Figures of `{}`, journal entry `{}`; middle / busiest host, or longest time. The last\n\
             column carries the power on to {TARGET_HOST_COUNT} hosts; it is not played.\n\n| hosts (upstreams) |",
            self.site, self.entry
        );
        for (hosts, upstreams) in self.host_counts.iter().zip(&self.upstream_counts) {
            // Writing to a string cannot fail.
            let _ = write!(table, " {hosts} ({upstreams}) |");
        }
        let _ = writeln!(table, " power | at {TARGET_HOST_COUNT} | bound | |");
        table.push_str(&"|---".repeat(self.host_counts.len() + 5));
        table.push_str("|\n");
        for series in &self.series {
            let _ = writeln!(table, "{}", series.row());
        }
        table
    }

    /// Returns `page` with the table of this sweep between its marks.
    ///
    /// # Errors
    ///
    /// Fails if the page has no marks.
    pub fn insert_into(&self, page: &str) -> Result<String, PageError> {
        let (before, rest) = page.split_once(START_MARK).ok_or(PageError::NoMarks)?;
        let (_, after) = rest.split_once(END_MARK).ok_or(PageError::NoMarks)?;
        Ok(format!(
            "{before}{START_MARK}\n{}{END_MARK}{after}",
            self.table()
        ))
    }

    /// Draws the busiest host's figures against the number of hosts, each relative
    /// to its bound.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), PageError> {
        self.draw(path).map_err(|error| PageError::Plot {
            reason: error.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let root = SVGBackend::new(path, (800, 480)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "Busiest host, relative to the bound",
                ("sans-serif", 18).into_font(),
            )
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d((20_f64..1_300.0).log_scale(), (0.01_f64..200.0).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("hosts")
            .y_desc("value / bound")
            .draw()?;
        for (index, (name, bound, _)) in BOUNDS.iter().enumerate() {
            let Some(series) = self.series.iter().find(|series| series.name == *name) else {
                continue;
            };
            let played = self.host_counts.iter().zip(&series.busiest);
            let mut points: Vec<(f64, f64)> = played
                .map(|(hosts, value)| (*hosts as f64, value / bound))
                .collect();
            points.extend(
                series
                    .at_target
                    .map(|value| (TARGET_HOST_COUNT as f64, value / bound)),
            );
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points.clone(), color))?
                .label(*name)
                .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
            chart.draw_series(
                points
                    .into_iter()
                    .map(|point| Circle::new(point, 3, color.filled())),
            )?;
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

impl Series {
    fn row(&self) -> String {
        let mut row = format!("| {} |", self.name);
        for (index, busiest) in self.busiest.iter().enumerate() {
            let _ = match self.middle.get(index) {
                Some(middle) => write!(row, " {middle} / {busiest} |"),
                None => write!(row, " {busiest:.3} |"),
            };
        }
        let shown = |value: Option<f64>| value.map_or_else(String::new, |value| value.to_string());
        let bound = BOUNDS.iter().find(|(name, ..)| *name == self.name);
        let verdict = match (bound, self.at_target) {
            (Some((_, bound, _)), Some(value)) if value <= *bound => "holds",
            (Some(_), Some(_)) => "missed",
            _ => "",
        };
        let source = bound.map_or("", |(_, _, source)| source);
        let _ = write!(
            row,
            " {} | {} | {source} | {verdict} |",
            shown(self.power),
            shown(self.at_target)
        );
        row
    }
}
