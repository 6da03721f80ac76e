//! The command `load-balance`: how evenly the load of a captured scenario was spread, as a table, JSON or a plot.

use std::path::Path;

use plotters::prelude::*;
use tideroute_load_balance_report::{Side, Spread};
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

fn print_table(spread: &Spread) {
    println!("                              readers    writers");
    let (prefill, decode) = (&spread.readers, &spread.writers);
    let line = |name: &str, of: &dyn Fn(&Side) -> String| {
        println!("  {name:<24}{:>11}{:>11}", of(prefill), of(decode))
    };
    line("workers", &|s| s.workers.to_string());
    line("arrivals", &|s| s.arrivals.to_string());
    line("fullest/mean p50", &|s| format!("{:.2}", s.ratio_p50));
    line("fullest/mean p99", &|s| format!("{:.2}", s.ratio_p99));
    line("fullest/mean worst", &|s| format!("{:.2}", s.ratio_worst));
    line("idle beside waiting", &|s| format!("{:.2}%", 100.0 * s.idle_beside));
    line("index of dispersion", &|s| format!("{:.2}", s.dispersion));
    line("herds", &|s| format!("{} of {}", s.herds, s.windows));
    line("  chance would show", &|s| format!("{:.1}", s.herds_by_chance));
    line("worst window", &|s| format!("{} of {}", s.worst_window.0, s.worst_window.1));
    println!("  shared text found kept    {:.1}%", 100.0 * spread.kept);
    for class in &spread.tracks {
        println!(
            "  {:<20} {:>7} asked, {:>5.1}% in contract time, first token p50 {:.0} ms p99 {:.0} ms",
            class.name,
            class.submitted,
            100.0 * class.service,
            class.first_token_p50_ms,
            class.first_token_p99_ms
        );
    }
}

/// Draws the most loaded worker over the mean of each role, second by second.
fn draw(spread: &Spread, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let sides = [("readers", &spread.readers, BLUE), ("writers", &spread.writers, RED)];
    let seconds = sides.iter().map(|(_, s, _)| s.ratios.len()).max().unwrap_or(0).max(1);
    let highest = sides.iter().map(|(_, s, _)| s.ratio_worst).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("second").y_desc("fullest worker over the mean").draw()?;
    for (name, side, colour) in sides {
        let points = side.ratios.iter().enumerate().map(|(n, ratio)| (n as f64 + 0.5, *ratio));
        let drawn = chart.draw_series(LineSeries::new(points, colour))?;
        drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
