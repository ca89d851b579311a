//! Writes the plots of a trial as SVG files, and its timeline.

use std::io::BufWriter;
use std::path::Path;

use displaydoc::Display;
use hawthorntide_timeline::{render_page, write_lines};
use plotters::prelude::*;

use crate::runner::TrialOutcome;
use crate::series::{self, Points};

const SIZE: (u32, u32) = (1000, 500);
const MARGIN: u32 = 16;
const LABEL_WIDTH: u32 = 60;
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(23, 190, 207),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];
/// Percentiles shown in `wait.svg`.
const PERCENTILES: [f64; 3] = [50.0, 99.0, 99.9];

#[derive(Debug, Display)]
pub enum PlotError {
    /// cannot write {0}
    Write(std::io::Error),
    /// cannot draw {0}
    Draw(String),
}

impl std::error::Error for PlotError {}

impl From<std::io::Error> for PlotError {
    fn from(error: std::io::Error) -> Self {
        Self::Write(error)
    }
}

struct Plot<'a> {
    title: String,
    y_label: &'a str,
    lines: Vec<(String, Points)>,
    /// Time in seconds and name of each event, drawn as vertical lines.
    events: Vec<(f64, String)>,
}

impl TrialOutcome {
    /// Writes `goodput.svg`, `imbalance.svg`, `wait.svg`, `timeline.jsonl` and `timeline.html` into
    /// `directory`, creating it if needed.
    pub fn write_plots(&self, directory: &Path) -> Result<(), PlotError> {
        std::fs::create_dir_all(directory)?;
        let name = &self.deployment.name;
        let outcomes = &self.observer.observations().outcomes;
        let goodput = series::goodput(&self.deployment, &self.measurements, outcomes);
        let goodput = Plot {
            title: format!("{name}: goodput by kind of work"),
            y_label: "good answers per second",
            lines: label_series(goodput),
            events: self.event_marks(),
        };
        goodput.draw(&directory.join("goodput.svg"))?;
        let imbalance = series::imbalance(
            &self.deployment,
            &self.measurements,
            &self.upstream_services,
        );
        let imbalance = Plot {
            title: format!("{name}: imbalance of in-flight work, windows of 1 s"),
            y_label: "highest load / mean load",
            lines: label_series(imbalance),
            events: self.event_marks(),
        };
        imbalance.draw(&directory.join("imbalance.svg"))?;
        let waits = series::waits(&self.deployment, &self.measurements, outcomes);
        let waits = waits.iter().map(|waits| {
            let points = PERCENTILES.iter().enumerate();
            let points =
                points.map(|(index, percentile)| (index as f64, waits.percentile_ms(*percentile)));
            (waits.name.clone(), points.collect())
        });
        let waits = Plot {
            title: format!("{name}: wait at p50 (0), p99 (1) and p99.9 (2)"),
            y_label: "ms",
            lines: waits.collect(),
            events: Vec::new(),
        };
        waits.draw(&directory.join("wait.svg"))?;
        let lines = std::fs::File::create(directory.join("timeline.jsonl"))?;
        write_lines(&self.timeline, &mut BufWriter::new(lines))?;
        let page = render_page(name, &self.timeline);
        std::fs::write(directory.join("timeline.html"), page)?;
        Ok(())
    }

    fn event_marks(&self) -> Vec<(f64, String)> {
        let events = self.measurements.events.iter();
        events
            .map(|(at, name)| {
                let seconds = at.saturating_sub(self.measurements.began).as_secs_f64();
                (seconds, name.to_string())
            })
            .collect()
    }
}

fn label_series<K: ToString>(
    series: impl IntoIterator<Item = (K, Points)>,
) -> Vec<(String, Points)> {
    let series = series.into_iter();
    series
        .map(|(name, points)| (name.to_string(), points))
        .collect()
}

impl Plot<'_> {
    fn draw(&self, path: &Path) -> Result<(), PlotError> {
        let drawn = self.try_draw(path);
        drawn.map_err(|error| PlotError::Draw(format!("{}: {error}", path.display())))
    }

    fn try_draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let points = || self.lines.iter().flat_map(|(_, points)| points);
        let x_max = points().map(|(x, _)| *x).fold(1.0, f64::max);
        let y_max = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(MARGIN)
            .set_label_area_size(LabelAreaPosition::Left, LABEL_WIDTH)
            .set_label_area_size(LabelAreaPosition::Bottom, LABEL_WIDTH / 2)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .y_desc(self.y_label)
            .draw()
            .map_err(|e| e.to_string())?;
        for (index, (name, points)) in self.lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour))
                .map_err(|e| e.to_string())?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        for (at, name) in &self.events {
            let line = [(*at, 0.0), (*at, y_max)];
            chart
                .draw_series(LineSeries::new(line, BLACK.mix(0.4)))
                .map_err(|e| e.to_string())?;
            let label = Text::new(name.clone(), (*at, y_max), ("sans-serif", 12));
            chart
                .draw_series(std::iter::once(label))
                .map_err(|e| e.to_string())?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
        Ok(())
    }
}
