//! The command `load-balance`: how evenly the load of a captured scenario was spread, as a table, JSON or a plot.

use std::path::Path;

use plotters::prelude::*;
use tideroute_load_balance_report::{LoadBalanceReport, RoleBalance};
use tideroute_simulation::scenario;

use crate::error::{CommandError, CommandResult, CommandStatus};
use crate::measure::plot::PlotError;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 360);

/// Runs the command `load-balance`: measures the load balance of a capture, and prints or plots it.
pub fn run(capture: &Path, json: bool, plot: Option<&Path>) -> CommandResult {
    let reader = scenario::open(capture)?;
    let report = tideroute_load_balance_report::measure(reader).map_err(CommandError::in_file(capture))?;
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print_table(&report);
    }
    if let Some(path) = plot {
        draw(&report, path).map_err(|e| PlotError::new(path, &*e))?;
    }
    Ok(CommandStatus::Success)
}

fn print_table(report: &LoadBalanceReport) {
    println!("                              prefill     decode");
    let (prefill, decode) = (&report.prefill, &report.decode);
    let line = |name: &str, value: &dyn Fn(&RoleBalance) -> String| {
        println!("  {name:<24}{:>11}{:>11}", value(prefill), value(decode))
    };
    line("workers", &|role| role.workers.to_string());
    line("arrivals", &|role| role.arrivals.to_string());
    line("peak/mean load p50", &|role| format!("{:.2}", role.peak_to_mean_p50));
    line("peak/mean load p99", &|role| format!("{:.2}", role.peak_to_mean_p99));
    line("peak/mean load max", &|role| format!("{:.2}", role.peak_to_mean_max));
    line("idle while others queue", &|role| format!("{:.2}%", 100.0 * role.idle_while_queued));
    line("index of dispersion", &|role| format!("{:.2}", role.dispersion_index));
    line("windows with herding", &|role| format!("{} of {}", role.herd_windows, role.windows));
    line("  expected by chance", &|role| format!("{:.1}", role.expected_herd_windows));
    line("peak arrivals in window", &|role| {
        format!("{} of {}", role.worst_window.at_worker, role.worst_window.in_window)
    });
    println!("  shared prefixes cached    {:.1}%", 100.0 * report.cached_share);
    for class in &report.classes {
        println!(
            "  {:<20} {:>7} requests, {:>5.1}% within the latency objective, first token p50 {:.0} ms p99 {:.0} ms",
            class.name,
            class.requests,
            100.0 * class.objective_met,
            class.ttft_p50_ms,
            class.ttft_p99_ms
        );
    }
}

/// Plots the load of the most loaded worker over the mean load, second by second, for each role.
fn draw(report: &LoadBalanceReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let roles = [("prefill workers", &report.prefill, BLUE), ("decode workers", &report.decode, RED)];
    let seconds = roles.iter().map(|(_, balance, _)| balance.peak_to_mean.len()).max().unwrap_or(0).max(1);
    let highest = roles.iter().map(|(_, balance, _)| balance.peak_to_mean_max).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("second").y_desc("peak/mean load of workers").draw()?;
    for (name, balance, colour) in roles {
        let points = balance.peak_to_mean.iter().enumerate().map(|(n, ratio)| (n as f64 + 0.5, *ratio));
        let series = chart.draw_series(LineSeries::new(points, colour))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
