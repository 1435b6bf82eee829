//! Lines through measured points, by least squares.

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Rise per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of size and value.
    ///
    /// # Panics
    ///
    /// Panics with fewer than two points or with sizes that are all the same.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel_bench::fit::Line;
    ///
    /// let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]);
    /// assert!((line.slope - 2.0).abs() < 1e-9);
    /// assert!((line.at(10.0) - 23.0).abs() < 1e-9);
    /// assert!(line.residual < 1e-9);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Line {
        assert!(points.len() >= 2, "a line needs two points");
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        assert!(spread > 0.0, "the sizes are all the same");
        let slope = points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum::<f64>()
            / spread;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual = points
            .iter()
            .map(|p| (p.1 - base - slope * p.0).abs())
            .fold(0.0, f64::max);
        Line {
            slope,
            base,
            residual: residual / largest.max(f64::MIN_POSITIVE),
        }
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
