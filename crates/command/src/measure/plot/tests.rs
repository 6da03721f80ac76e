//! Plots of measurements.

use std::path::Path;

use super::*;

#[test]
fn every_run_has_its_dot_in_every_panel() {
    let path = std::env::temp_dir().join(format!("tideroute-plot-{}.svg", std::process::id()));
    let run = |cores, rate: f64| MeasuredRun { cores, rate, figures: vec![rate / f64::from(cores), 3.0] };
    draw(&path, &["first", "second"], &[run(1, 100.0), run(4, 100.0), run(1, 500.0)]).expect("drawn");
    let text = std::fs::read_to_string(&path).expect("written");
    let _ = std::fs::remove_file(&path);
    assert_eq!(text.matches("<circle").count(), 6);
    assert!(text.contains("first") && text.contains("500 a second"));
}

#[test]
fn a_folder_that_is_not_there_is_named() {
    let problem = draw(Path::new("/no/such/folder/a.svg"), &["x"], &[]).expect_err("nowhere to write");
    assert!(problem.to_string().contains("/no/such/folder"), "{problem}");
}
