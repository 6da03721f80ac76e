//! Plots the results of a measurement as an SVG image: a panel for each figure, with a line for each request rate.

use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

/// One run of a measurement.
pub struct MeasuredRun {
    pub cores: u32,
    /// Requests per second.
    pub rate: f64,
    /// One figure for each panel.
    pub figures: Vec<f64>,
}

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 720);
/// Columns of panels.
const PANEL_COLUMNS: usize = 2;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", path.display())]
pub struct PlotError {
    path: PathBuf,
    reason: String,
}

impl PlotError {
    /// Creates an error from one of the drawing library and the file that it concerns.
    pub fn new(path: &Path, reason: impl std::fmt::Display) -> PlotError {
        PlotError { path: path.into(), reason: reason.to_string() }
    }
}

/// An error of the drawing library.
type DrawError = Box<dyn std::error::Error>;

/// Draws one panel for each name; every run must have a figure for each panel.
pub fn draw(path: &Path, names: &[&str], runs: &[MeasuredRun]) -> Result<(), PlotError> {
    draw_panels(path, names, runs).map_err(|error| PlotError::new(path, error))
}

fn draw_panels(path: &Path, names: &[&str], runs: &[MeasuredRun]) -> Result<(), DrawError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((names.len().div_ceil(PANEL_COLUMNS), PANEL_COLUMNS));
    for (index, (name, panel)) in names.iter().zip(&panels).enumerate() {
        draw_panel(panel, name, index, runs)?;
    }
    root.present()?;
    Ok(())
}

/// Draws the panel of figure `index` of all runs, over the number of cores.
fn draw_panel(
    panel: &DrawingArea<SVGBackend, Shift>,
    name: &str,
    index: usize,
    runs: &[MeasuredRun],
) -> Result<(), DrawError> {
    let mut rates: Vec<f64> = runs.iter().map(|run| run.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.dedup();
    let max_cores = f64::from(runs.iter().map(|run| run.cores).max().unwrap_or(1));
    let max_figure = runs.iter().filter_map(|run| run.figures.get(index)).copied().fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(0.5..max_cores + 0.5, 0.0..max_figure.max(1e-9) * 1.1)?;
    chart.configure_mesh().x_desc("cores").draw()?;
    for (rate_index, rate) in rates.iter().enumerate() {
        let colour = Palette99::pick(rate_index).to_rgba();
        let points: Vec<_> = runs
            .iter()
            .filter(|run| run.rate == *rate)
            .filter_map(|run| Some((f64::from(run.cores), *run.figures.get(index)?)))
            .collect();
        chart
            .draw_series(LineSeries::new(points.clone(), &colour))?
            .label(format!("{rate:.0} requests/s"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        let dots = points.into_iter().map(|point| Circle::new(point, 3, colour.filled()));
        chart.draw_series(dots)?;
    }
    let mut legend = chart.configure_series_labels();
    legend.position(SeriesLabelPosition::LowerRight).background_style(WHITE.mix(0.8));
    legend.draw()?;
    Ok(())
}

#[cfg(test)]
mod tests;
