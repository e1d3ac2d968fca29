//! Benchmarks of parts of the system on one machine.

pub mod batch;
pub mod capacity;
pub mod commits;
pub mod dispatch;

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    pages * 4_096
}

/// The straight line through measured points, by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    /// Largest distance of a point from the line, relative to the point.
    pub error: f64,
}

/// Fits a line through `points` of (size, measure).
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let base = mean_y - slope * mean_x;
    let distance =
        |it: &(f64, f64)| ((base + slope * it.0 - it.1) / it.1.max(f64::MIN_POSITIVE)).abs();
    Fit { base, slope, error: points.iter().map(distance).fold(0.0, f64::max) }
}
