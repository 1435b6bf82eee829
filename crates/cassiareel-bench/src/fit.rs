//! Least-squares lines through measured points.

/// A line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a fraction of the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of (size, value).
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than two points or if all sizes are equal.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel_bench::fit::Line;
    ///
    /// let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]);
    /// assert!((line.slope - 2.0).abs() < 1e-9);
    /// assert!((line.value_at(10.0) - 23.0).abs() < 1e-9);
    /// assert!(line.residual < 1e-9);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Line {
        assert!(points.len() >= 2, "a line needs at least two points");
        let n = points.len() as f64;
        let mean_size = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_value = points.iter().map(|p| p.1).sum::<f64>() / n;
        let size_variation: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        assert!(size_variation > 0.0, "the sizes are all the same");
        let slope = points
            .iter()
            .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
            .sum::<f64>()
            / size_variation;
        let intercept = mean_value - slope * mean_size;
        let max_value = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual = points
            .iter()
            .map(|p| (p.1 - intercept - slope * p.0).abs())
            .fold(0.0, f64::max);
        Line {
            slope,
            intercept,
            residual: residual / max_value.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the line's value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
