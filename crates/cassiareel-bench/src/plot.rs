//! SVG charts of the comparisons of policies and of load patterns.

use std::{error::Error, path::Path};

use plotters::prelude::*;

use crate::{
    compare::{Row, BASELINES, DEFAULT_POLICY, LOADS},
    model::RunResult,
};

/// Width and height of a chart in pixels.
const SIZE_PX: (u32, u32) = (800, 480);

/// Draws the p95 time to the first token against the load.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_first_token(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    draw_curves(rows, path, "p95 first token (ms) by load", |r| {
        r.first_token_ms(0.95)
    })
}

/// Draws the goodput against the load.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_goodput(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    draw_curves(
        rows,
        path,
        "good requests a second by load",
        RunResult::goodput,
    )
}

fn draw_curves(
    rows: &[Row],
    path: &Path,
    title: &str,
    value: fn(&RunResult) -> f64,
) -> Result<(), Box<dyn Error>> {
    let max_value = rows
        .iter()
        .map(|row| value(&row.result))
        .fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let max_load = LOADS[LOADS.len() - 1];
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_load, 0.0..max_value * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("load over the best baseline's saturation")
        .draw()?;
    for (i, policy) in BASELINES.into_iter().chain([DEFAULT_POLICY]).enumerate() {
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

/// Draws fractions from 0 to 1 as horizontal bars, in the order given. Each bar is a load pattern,
/// a configuration and its fraction.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_bars(bars: &[(&str, &str, f64)], path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let count = bars.len() as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption("streams that were whole and in time", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..1.0, 0.0..count)?;
    chart.configure_mesh().disable_y_mesh().draw()?;
    for (index, (load, decisions, share)) in bars.iter().enumerate() {
        let bottom = count - index as f64 - 1.0;
        let shape = [(0.0, bottom + 0.1), (*share, bottom + 0.9)];
        let color = Palette99::pick(index % 5).mix(0.5);
        chart.draw_series([Rectangle::new(shape, color.filled())])?;
        let label = format!("{load}: {decisions} {share:.3}");
        let style = ("sans-serif", 11).into_font();
        chart.draw_series([Text::new(label, (0.01, bottom + 0.8), style)])?;
    }
    area.present()?;
    Ok(())
}
