//! Figures of a measurement as one SVG: a panel a figure, a line a rate.

use std::path::Path;

use plotters::prelude::*;

/// One run: under how many cores and submissions a second, and what was seen, a figure a panel.
pub struct Seen {
    pub cores: u32,
    pub rate: f64,
    pub figures: Vec<f64>,
}

const SIZE: (u32, u32) = (1_000, 720);
/// Panels stand in so many columns.
const COLUMNS: usize = 2;

/// Draws one panel for each name; every run has a figure for each.
pub fn draw(path: &Path, names: &[&str], seen: &[Seen]) -> Result<(), String> {
    let problem = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| problem(&e))?;
    let panels = root.split_evenly((names.len().div_ceil(COLUMNS), COLUMNS));
    let mut rates: Vec<f64> = seen.iter().map(|s| s.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.dedup();
    let widest = f64::from(seen.iter().map(|s| s.cores).max().unwrap_or(1));
    for (n, (name, panel)) in names.iter().zip(&panels).enumerate() {
        let most = seen.iter().filter_map(|s| s.figures.get(n)).copied().fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(panel)
            .caption(name, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(64)
            .build_cartesian_2d(0.5..widest + 0.5, 0.0..most.max(1e-9) * 1.1)
            .map_err(|e| problem(&e))?;
        chart.configure_mesh().x_desc("cores").draw().map_err(|e| problem(&e))?;
        for (m, rate) in rates.iter().enumerate() {
            let colour = Palette99::pick(m).to_rgba();
            let of_rate = seen.iter().filter(|s| s.rate == *rate);
            let points: Vec<_> =
                of_rate.filter_map(|s| Some((f64::from(s.cores), *s.figures.get(n)?))).collect();
            chart
                .draw_series(LineSeries::new(points.clone(), &colour))
                .map_err(|e| problem(&e))?
                .label(format!("{rate:.0} a second"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
            let dots = points.into_iter().map(|at| Circle::new(at, 3, colour.filled()));
            chart.draw_series(dots).map_err(|e| problem(&e))?;
        }
        let mut legend = chart.configure_series_labels();
        legend.position(SeriesLabelPosition::LowerRight).background_style(WHITE.mix(0.8));
        legend.draw().map_err(|e| problem(&e))?;
    }
    root.present().map_err(|e| problem(&e))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_run_has_its_dot_in_every_panel() {
        let path = std::env::temp_dir().join(format!("tideroute-plot-{}.svg", std::process::id()));
        let run = |cores, rate: f64| Seen { cores, rate, figures: vec![rate / f64::from(cores), 3.0] };
        draw(&path, &["first", "second"], &[run(1, 100.0), run(4, 100.0), run(1, 500.0)]).expect("drawn");
        let text = std::fs::read_to_string(&path).expect("written");
        let _ = std::fs::remove_file(&path);
        assert_eq!(text.matches("<circle").count(), 6);
        assert!(text.contains("first") && text.contains("500 a second"));
    }

    #[test]
    fn a_folder_that_is_not_there_is_named() {
        let problem = draw(Path::new("/no/such/folder/a.svg"), &["x"], &[]).expect_err("nowhere to write");
        assert!(problem.contains("/no/such/folder"), "{problem}");
    }
}
