/*!
Measures the slopes that docs/CAPACITY.md multiplies by the size of the fleet.

Each figure is measured several times at several sizes; the slope is that of the line through the
medians. The figures of the request path, of peers and of orders come from other programs: `load`,
`fleet`, `policies` and `orders`.
*/

mod logs;
mod settings;

use cassiareel_bench::fit::Line;
use gumdrop::Options;

/// Measures how the cost of logs, metrics and settings grows with their size.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Number of runs at each size.
    #[options(default = "5")]
    runs: usize,
}

/// A figure that is measured at several sizes.
pub struct Figure {
    /// Name of the figure.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Unit of the size.
    pub per: &'static str,
    /// Sizes at which the figure is measured.
    pub sizes: &'static [usize],
    /// Measures the value at a size.
    pub run: fn(usize) -> f64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("| figure | slope | base | residual | spread | sizes |");
    println!("|---|---|---|---|---|---|");
    for figure in logs::FIGURES.iter().chain(&settings::FIGURES) {
        println!("{}", row(figure, args.runs));
    }
}

/// Measures a figure and returns its row of the table.
fn row(figure: &Figure, runs: usize) -> String {
    let mut points = Vec::new();
    let mut spread = 0.0;
    for &size in figure.sizes {
        let mut values: Vec<f64> = (0..runs.max(1)).map(|_| (figure.run)(size)).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let range = values[values.len() - 1] - values[0];
        spread = f64::max(spread, range / median.abs().max(f64::MIN_POSITIVE));
        points.push((size as f64, median));
    }
    let line = Line::fit(&points);
    format!(
        "| {} | {:.4} {} per {} | {:.3} | {:.1}% | {:.1}% | {:?} |",
        figure.name,
        line.slope,
        figure.unit,
        figure.per,
        line.intercept,
        line.residual * 100.0,
        spread * 100.0,
        figure.sizes
    )
}
