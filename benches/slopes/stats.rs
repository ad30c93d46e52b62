//! Figures of a run, their spread over runs, and how they grow with the number of servers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// How large the deployment is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Size {
    /// Servers in the list.
    pub servers: u64,
    /// Sidecars that share them.
    pub sidecars: u64,
}

/// What one run gave for one measurement at one size.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// The measurement.
    pub name: &'static str,
    /// The unit of all its figures.
    pub unit: &'static str,
    /// Servers and sidecars.
    #[serde(flatten)]
    pub size: Size,
    /// The figure of this run: the median over its samples where it has many, else the one there is.
    pub value: f64,
    /// Mean, 99th percentile and number of the samples, where there are many.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub samples: Option<Samples>,
}

/// The samples of one run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Samples {
    /// How many.
    pub count: u64,
    /// Mean; on a shared machine it holds the time in which others ran.
    pub mean: f64,
    /// 99th percentile, likewise.
    pub p99: f64,
}

/// Times of single operations.
pub struct Times(Histogram<u64>);

impl Times {
    /// None yet.
    pub fn new() -> Times {
        // Up to a minute in three significant digits.
        Times(Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("such bounds are allowed"))
    }

    /// Adds one, in nanoseconds.
    pub fn add(&mut self, nanos: u64) {
        self.0.saturating_record(nanos.max(1));
    }

    /// As one run's figures in microseconds; `None` where nothing was measured.
    pub fn run(&self, name: &'static str, size: Size) -> Option<Run> {
        if self.0.is_empty() {
            return None;
        }
        let micros = |nanos: f64| nanos / 1e3;
        let samples = Samples {
            count: self.0.len(),
            mean: micros(self.0.mean()),
            p99: micros(self.0.value_at_quantile(0.99) as f64),
        };
        let value = micros(self.0.value_at_quantile(0.5) as f64);
        Some(Run { name, unit: "us", size, value, samples: Some(samples) })
    }
}

/// One measurement at one size over all runs.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Servers and sidecars.
    #[serde(flatten)]
    pub size: Size,
    /// How many runs.
    pub runs: usize,
    /// Over the runs' figures.
    pub min: f64,
    /// Likewise.
    pub median: f64,
    /// Likewise.
    pub max: f64,
    /// The median of the runs' 99th percentiles.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99: Option<f64>,
}

/// One measurement at all sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// The measurement.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// By size, in the order in which they were measured.
    pub rows: Vec<Row>,
    /// How the medians grow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slope: Option<Slope>,
}

/// Least squares over the medians.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Slope {
    /// On log-log: cost ~ servers^k. `None` where a median is not above 0.
    pub k: Option<f64>,
    /// The same from the last size but one to the last alone, where what costs the same at any size weighs least.
    pub k_last: Option<f64>,
    /// On a line: what it costs without any server...
    pub base: f64,
    /// ...and what each thousand more cost.
    pub per_1000: f64,
}

/// The middle of some figures.
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

/// Puts the runs together, measurement by measurement.
pub fn tables(runs: &[Run]) -> Vec<Table> {
    let mut order: Vec<&'static str> = Vec::new();
    let mut grouped: BTreeMap<&'static str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        if !order.contains(&run.name) {
            order.push(run.name);
        }
        grouped.entry(run.name).or_default().push(run);
    }
    order.iter().map(|name| table(&grouped[name])).collect()
}

fn table(runs: &[&Run]) -> Table {
    let mut sizes: Vec<Size> = Vec::new();
    for run in runs {
        if !sizes.contains(&run.size) {
            sizes.push(run.size);
        }
    }
    let rows: Vec<Row> = sizes.into_iter().map(|size| row(size, runs)).collect();
    Table { name: runs[0].name, unit: runs[0].unit, slope: slope(&rows), rows }
}

fn row(size: Size, runs: &[&Run]) -> Row {
    let here: Vec<&&Run> = runs.iter().filter(|run| run.size == size).collect();
    let values: Vec<f64> = here.iter().map(|run| run.value).collect();
    let tails: Vec<f64> = here.iter().filter_map(|run| run.samples).map(|samples| samples.p99).collect();
    Row {
        size,
        runs: values.len(),
        min: values.iter().copied().fold(f64::INFINITY, f64::min),
        median: median(&values),
        max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        p99: (!tails.is_empty()).then(|| median(&tails)),
    }
}

/// Needs two sizes at least.
fn slope(rows: &[Row]) -> Option<Slope> {
    let points = |scale: fn(f64) -> f64| -> Vec<(f64, f64)> {
        rows.iter().map(|row| (scale(row.size.servers as f64), scale(row.median))).collect()
    };
    let (base, per_server) = line(&points(|x| x))?;
    let logs = points(f64::ln);
    let exponent = |points: &[(f64, f64)]| line(points).map(|(_, k)| k).filter(|k| k.is_finite());
    let (k, k_last) = (exponent(&logs), exponent(&logs[logs.len().saturating_sub(2)..]));
    Some(Slope { k, k_last, base, per_1000: per_server * 1_000.0 })
}

/// Intercept and slope of the line through some points by least squares.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / count, y + point.1 / count));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / spread;
    Some((y - slope * x, slope))
}

/// Prints a measurement as a plain table.
pub fn print(table: &Table) {
    println!("{} [{}]", table.name, table.unit);
    println!(
        "  {:>8} {:>9} {:>5} {:>12} {:>12} {:>12} {:>12}",
        "servers", "sidecars", "runs", "min", "median", "max", "p99"
    );
    for row in &table.rows {
        let tail = row.p99.map_or_else(|| "-".to_owned(), number);
        println!(
            "  {:>8} {:>9} {:>5} {:>12} {:>12} {:>12} {:>12}",
            row.size.servers,
            row.size.sidecars,
            row.runs,
            number(row.min),
            number(row.median),
            number(row.max),
            tail
        );
    }
    if let Some(slope) = table.slope {
        let shown = |k: Option<f64>| k.map_or_else(|| "-".to_owned(), |k| format!("{k:.2}"));
        println!(
            "  k {} (last two sizes {}), base {}, per 1,000 servers {}",
            shown(slope.k),
            shown(slope.k_last),
            number(slope.base),
            number(slope.per_1000)
        );
    }
    println!();
}

/// Prints all medians as one table; at the last size with the smallest and the largest run and the 99th percentile.
pub fn print_markdown(tables: &[Table], sizes: &[Size]) {
    let heads: String = sizes.iter().map(|size| format!(" {} |", size.servers)).collect();
    println!("\n| measurement | unit |{heads} min to max | p99 | k | k, last two | per 1,000 |");
    println!("|{}", " --- |".repeat(sizes.len() + 7));
    for table in tables {
        let medians: String = table.rows.iter().map(|row| format!(" {} |", number(row.median))).collect();
        let Some(last) = table.rows.last() else { continue };
        let tail = last.p99.map_or_else(|| "-".to_owned(), number);
        let k = |k: Option<f64>| k.map_or_else(|| "-".to_owned(), |k| format!("{k:.2}"));
        let slopes = table.slope.map_or_else(String::new, |slope| {
            format!(" {} | {} | {} |", k(slope.k), k(slope.k_last), number(slope.per_1000))
        });
        println!(
            "| `{}` | {} |{medians} {} to {} | {tail} |{slopes}",
            table.name,
            table.unit,
            number(last.min),
            number(last.max)
        );
    }
}

/// Four digits that tell something.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}
