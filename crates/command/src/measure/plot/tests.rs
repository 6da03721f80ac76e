//! Plots of measurements.

use std::path::Path;

use super::*;

#[test]
fn each_panel_has_a_dot_for_each_run() {
    let path = std::env::temp_dir().join(format!("tideroute-plot-{}.svg", std::process::id()));
    let run = |cores, rate: f64| MeasuredRun { cores, rate, figures: vec![rate / f64::from(cores), 3.0] };
    draw(&path, &["first", "second"], &[run(1, 100.0), run(4, 100.0), run(1, 500.0)])
        .expect("the plot is drawn");
    let text = std::fs::read_to_string(&path).expect("the plot is written");
    let _ = std::fs::remove_file(&path);
    assert_eq!(text.matches("<circle").count(), 6);
    assert!(text.contains("first") && text.contains("500 requests/s"));
}

#[test]
fn an_error_names_a_folder_that_does_not_exist() {
    let error = draw(Path::new("/no/such/folder/a.svg"), &["x"], &[]).expect_err("the folder does not exist");
    assert!(error.to_string().contains("/no/such/folder"), "{error}");
}
