//! The command `load-balance`: how evenly the load of a captured scenario was spread, as a table, JSON or a plot.

use std::path::Path;

use plotters::prelude::*;
use tideroute_load_balance_report::{LoadBalanceReport, RoleBalance};
use tideroute_simulation::scenario;

use crate::error::{CommandError, CommandResult, CommandStatus};
use crate::measure::plot::PlotError;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 360);

/// Measures the capture and prints what it finds.
pub fn run(capture: &Path, json: bool, plot: Option<&Path>) -> CommandResult {
    let reader = scenario::open(capture)?;
    let spread = tideroute_load_balance_report::measure(reader).map_err(CommandError::in_file(capture))?;
    if json {
        println!("{}", serde_json::to_string(&spread)?);
    } else {
        print_table(&spread);
    }
    if let Some(path) = plot {
        draw(&spread, path).map_err(|e| PlotError::new(path, &*e))?;
    }
    Ok(CommandStatus::Success)
}

fn print_table(spread: &LoadBalanceReport) {
    println!("                              readers    writers");
    let (prefill, decode) = (&spread.prefill, &spread.decode);
    let line = |name: &str, of: &dyn Fn(&RoleBalance) -> String| {
        println!("  {name:<24}{:>11}{:>11}", of(prefill), of(decode))
    };
    line("workers", &|s| s.workers.to_string());
    line("arrivals", &|s| s.arrivals.to_string());
    line("fullest/mean p50", &|s| format!("{:.2}", s.peak_to_mean_p50));
    line("fullest/mean p99", &|s| format!("{:.2}", s.peak_to_mean_p99));
    line("fullest/mean worst", &|s| format!("{:.2}", s.peak_to_mean_max));
    line("idle beside waiting", &|s| format!("{:.2}%", 100.0 * s.idle_while_queued));
    line("index of dispersion", &|s| format!("{:.2}", s.dispersion_index));
    line("herds", &|s| format!("{} of {}", s.herd_windows, s.windows));
    line("  chance would show", &|s| format!("{:.1}", s.expected_herd_windows));
    line("worst window", &|s| format!("{} of {}", s.worst_window.at_worker, s.worst_window.in_window));
    println!("  shared text found kept    {:.1}%", 100.0 * spread.cached_share);
    for class in &spread.classes {
        println!(
            "  {:<20} {:>7} asked, {:>5.1}% in contract time, first token p50 {:.0} ms p99 {:.0} ms",
            class.name,
            class.requests,
            100.0 * class.objective_met,
            class.ttft_p50_ms,
            class.ttft_p99_ms
        );
    }
}

/// Draws the most loaded worker over the mean of each role, second by second.
fn draw(spread: &LoadBalanceReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let sides = [("readers", &spread.prefill, BLUE), ("writers", &spread.decode, RED)];
    let seconds = sides.iter().map(|(_, s, _)| s.peak_to_mean.len()).max().unwrap_or(0).max(1);
    let highest = sides.iter().map(|(_, s, _)| s.peak_to_mean_max).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("second").y_desc("fullest worker over the mean").draw()?;
    for (name, side, colour) in sides {
        let points = side.peak_to_mean.iter().enumerate().map(|(n, ratio)| (n as f64 + 0.5, *ratio));
        let drawn = chart.draw_series(LineSeries::new(points, colour))?;
        drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
