//! Results of single runs, their statistics over all runs, and fits of their growth with the number of servers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Size {
    /// Servers in the list of each sidecar.
    pub servers: u64,
    /// Sidecars that share them.
    pub sidecars: u64,
}

/// The result of one run of a measurement at one size.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// The name of the measurement.
    pub name: &'static str,
    /// The unit of the value and the samples.
    pub unit: &'static str,
    /// The size of the deployment.
    #[serde(flatten)]
    pub size: Size,
    /// The median of the samples, or the single value that was measured.
    pub value: f64,
    /// Statistics of the samples, if there are several.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub samples: Option<Samples>,
}

/// Statistics of the samples of one run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Samples {
    /// The number of samples.
    pub count: u64,
    /// The mean. On a shared machine it includes times at which other processes ran.
    pub mean: f64,
    /// The 99th percentile. It includes such times as well.
    pub p99: f64,
}

/// A histogram of the durations of single operations, in nanoseconds.
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> LatencyHistogram {
        // Up to one minute, with three significant digits.
        LatencyHistogram(
            Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("histogram bounds are valid"),
        )
    }

    /// Adds a duration.
    pub fn record(&mut self, duration_ns: u64) {
        self.0.saturating_record(duration_ns.max(1));
    }

    /// The result of a run in microseconds; `None` if no duration was recorded.
    pub fn run_result(&self, name: &'static str, size: Size) -> Option<RunResult> {
        if self.0.is_empty() {
            return None;
        }
        let to_us = |ns: f64| ns / 1e3;
        let samples = Samples {
            count: self.0.len(),
            mean: to_us(self.0.mean()),
            p99: to_us(self.0.value_at_quantile(0.99) as f64),
        };
        let value = to_us(self.0.value_at_quantile(0.5) as f64);
        Some(RunResult { name, unit: "us", size, value, samples: Some(samples) })
    }
}

/// Statistics of a measurement at one size over all runs.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The size of the deployment.
    #[serde(flatten)]
    pub size: Size,
    /// The number of runs.
    pub runs: usize,
    /// The minimum over the runs.
    pub min: f64,
    /// The median over the runs.
    pub median: f64,
    /// The maximum over the runs.
    pub max: f64,
    /// The median of the runs' 99th percentiles.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99: Option<f64>,
}

/// Statistics of a measurement at all sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// The name of the measurement.
    pub name: &'static str,
    /// The unit of all values.
    pub unit: &'static str,
    /// One row per size, in the order of measurement.
    pub rows: Vec<Row>,
    /// The growth of the medians; `None` if fewer than two sizes were measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slope: Option<Slope>,
}

/// Least-squares fits of the medians against the number of servers.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Slope {
    /// The exponent of the power law cost ~ servers^k; `None` if a median is not positive.
    pub k: Option<f64>,
    /// The exponent between the last two sizes, where constant costs have the least influence.
    pub k_last: Option<f64>,
    /// The intercept of the linear fit: the cost without servers.
    pub base: f64,
    /// The slope of the linear fit: the cost of each thousand servers.
    pub per_1000: f64,
}

/// The median of some values; NaN if there are none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => sorted[middle],
        _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
    }
}

/// Groups the results into one table per measurement, in the order in which the names first occur.
pub fn tables(results: &[RunResult]) -> Vec<Table> {
    let mut order: Vec<&'static str> = Vec::new();
    let mut grouped: BTreeMap<&'static str, Vec<&RunResult>> = BTreeMap::new();
    for result in results {
        if !order.contains(&result.name) {
            order.push(result.name);
        }
        grouped.entry(result.name).or_default().push(result);
    }
    order.iter().map(|name| table(&grouped[name])).collect()
}

/// Summarises the results of one measurement.
fn table(results: &[&RunResult]) -> Table {
    let mut sizes: Vec<Size> = Vec::new();
    for result in results {
        if !sizes.contains(&result.size) {
            sizes.push(result.size);
        }
    }
    let rows: Vec<Row> = sizes.into_iter().map(|size| row(size, results)).collect();
    Table { name: results[0].name, unit: results[0].unit, slope: slope(&rows), rows }
}

/// Summarises the results of one measurement at one size.
fn row(size: Size, results: &[&RunResult]) -> Row {
    let at_size: Vec<&&RunResult> = results.iter().filter(|result| result.size == size).collect();
    let values: Vec<f64> = at_size.iter().map(|result| result.value).collect();
    let p99s: Vec<f64> =
        at_size.iter().filter_map(|result| result.samples).map(|samples| samples.p99).collect();
    Row {
        size,
        runs: values.len(),
        min: values.iter().copied().fold(f64::INFINITY, f64::min),
        median: median(&values),
        max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        p99: (!p99s.is_empty()).then(|| median(&p99s)),
    }
}

struct Point {
    x: f64,
    y: f64,
}

struct Line {
    intercept: f64,
    slope: f64,
}

/// Fits the medians; `None` if there are fewer than two sizes.
fn slope(rows: &[Row]) -> Option<Slope> {
    // The points of the medians, with both coordinates scaled.
    let points = |scale: fn(f64) -> f64| -> Vec<Point> {
        rows.iter().map(|row| Point { x: scale(row.size.servers as f64), y: scale(row.median) }).collect()
    };
    let linear_fit = fit_line(&points(|value| value))?;
    let log_points = points(f64::ln);
    let exponent = |points: &[Point]| fit_line(points).map(|line| line.slope).filter(|k| k.is_finite());
    let (k, k_last) = (exponent(&log_points), exponent(&log_points[log_points.len().saturating_sub(2)..]));
    Some(Slope { k, k_last, base: linear_fit.intercept, per_1000: linear_fit.slope * 1_000.0 })
}

/// The least-squares line through some points; `None` if all have the same x.
fn fit_line(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let (mean_x, mean_y) =
        points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.x / count, y + point.y / count));
    let sum_of_squares: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    if sum_of_squares <= 0.0 {
        return None;
    }
    let sum_of_products = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>();
    let slope = sum_of_products / sum_of_squares;
    Some(Line { intercept: mean_y - slope * mean_x, slope })
}

/// Formats the exponent of a fit with two decimal places; `-` if there is none.
fn format_exponent(k: Option<f64>) -> String {
    k.map_or_else(|| "-".to_owned(), |k| format!("{k:.2}"))
}

/// Prints a measurement as a plain text table.
pub fn print_table(table: &Table) {
    println!("{} [{}]", table.name, table.unit);
    println!(
        "  {:>8} {:>9} {:>5} {:>12} {:>12} {:>12} {:>12}",
        "servers", "sidecars", "runs", "min", "median", "max", "p99"
    );
    for row in &table.rows {
        let p99 = row.p99.map_or_else(|| "-".to_owned(), format_number);
        println!(
            "  {:>8} {:>9} {:>5} {:>12} {:>12} {:>12} {:>12}",
            row.size.servers,
            row.size.sidecars,
            row.runs,
            format_number(row.min),
            format_number(row.median),
            format_number(row.max),
            p99
        );
    }
    if let Some(slope) = table.slope {
        println!(
            "  k {} (last two sizes {}), base {}, per 1,000 servers {}",
            format_exponent(slope.k),
            format_exponent(slope.k_last),
            format_number(slope.base),
            format_number(slope.per_1000)
        );
    }
    println!();
}

/// Prints the medians of all measurements as one Markdown table. The minimum, maximum and 99th percentile are those of
/// the last size.
pub fn print_markdown(tables: &[Table], sizes: &[Size]) {
    let size_headings: String = sizes.iter().map(|size| format!(" {} |", size.servers)).collect();
    println!("\n| measurement | unit |{size_headings} min to max | p99 | k | k, last two | per 1,000 |");
    // Besides the sizes: name, unit, range, 99th percentile, two exponents and the slope.
    println!("|{}", " --- |".repeat(sizes.len() + 7));
    for table in tables {
        let median_cells: String =
            table.rows.iter().map(|row| format!(" {} |", format_number(row.median))).collect();
        let Some(last) = table.rows.last() else { continue };
        let p99 = last.p99.map_or_else(|| "-".to_owned(), format_number);
        let slope_cells = table.slope.map_or_else(String::new, |slope| {
            format!(
                " {} | {} | {} |",
                format_exponent(slope.k),
                format_exponent(slope.k_last),
                format_number(slope.per_1000)
            )
        });
        println!(
            "| `{}` | {} |{median_cells} {} to {} | {p99} |{slope_cells}",
            table.name,
            table.unit,
            format_number(last.min),
            format_number(last.max)
        );
    }
}

/// Formats a value with about four significant digits.
fn format_number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 1_000.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}
