//! Drawings of the comparison of policies.

use std::{error::Error, path::Path};

use plotters::prelude::*;

use crate::{
    compare::{Row, BASELINES, LOADS, OURS},
    model::Result as Measured,
};

/// Size of a drawing, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// Draws the p95 time to the first token over the load.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn first_token(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    draw(rows, path, "p95 first token (ms) by load", |r| {
        r.first_ms(0.95)
    })
}

/// Draws the goodput over the load.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn goodput(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    draw(
        rows,
        path,
        "good requests a second by load",
        Measured::goodput,
    )
}

fn draw(
    rows: &[Row],
    path: &Path,
    title: &str,
    value: fn(&Measured) -> f64,
) -> Result<(), Box<dyn Error>> {
    let most = rows
        .iter()
        .map(|row| value(&row.result))
        .fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let last = LOADS[LOADS.len() - 1];
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..most * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("load over the best baseline's saturation")
        .draw()?;
    for (i, policy) in BASELINES.into_iter().chain([OURS]).enumerate() {
        let points = rows
            .iter()
            .filter(|row| row.policy == policy)
            .map(|row| (row.load, value(&row.result)));
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    area.present()?;
    Ok(())
}
