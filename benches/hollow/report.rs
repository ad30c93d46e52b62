//! Statistics that the simulation and the runs with real sidecars report.

use std::collections::BTreeMap;

/// Width of the bins of [`BinnedCounts`].
const BIN_US: u64 = 100_000;
/// The peak and the mean are those of the bins within this time after the start. The capacity plan allows changes 5 s
/// to take effect.
const WINDOW_US: u64 = 5_000_000;

/// Samples of a quantity, summarised by their nearest-rank percentiles.
#[derive(Default)]
pub struct Distribution(Vec<u64>);

impl Distribution {
    /// Adds a sample.
    pub fn record(&mut self, value: u64) {
        self.0.push(value);
    }

    /// The nearest-rank percentile of the sorted samples; 0 if there are none.
    fn percentile(&self, percent: usize) -> u64 {
        let rank = (self.0.len() * percent).div_ceil(100).max(1);
        self.0.get(rank - 1).copied().unwrap_or(0)
    }
}

/// Event counts in bins of equal width.
pub struct BinnedCounts {
    start_us: u64,
    /// Events before the first bin.
    before_start: u64,
    /// Counts by bin index.
    bins: BTreeMap<u64, u64>,
}

impl BinnedCounts {
    /// Creates an empty series whose first bin begins at `start_us`. Earlier events count only in the total.
    pub fn starting_at(start_us: u64) -> BinnedCounts {
        BinnedCounts { start_us, before_start: 0, bins: BTreeMap::new() }
    }

    /// Adds `count` events at a time.
    pub fn add(&mut self, at_us: u64, count: u64) {
        match at_us.checked_sub(self.start_us) {
            Some(offset_us) => *self.bins.entry(offset_us / BIN_US).or_default() += count,
            None => self.before_start += count,
        }
    }

    /// The number of events, including those before the first bin.
    pub fn total(&self) -> u64 {
        self.before_start + self.bins.values().sum::<u64>()
    }
}

/// A value of a report.
pub struct NamedValue {
    /// The name, unique within the report.
    pub name: String,
    /// The value, rounded to three decimal places.
    pub value: f64,
}

/// The named values of one scenario, in insertion order.
pub struct Report {
    /// The name of the scenario.
    pub name: String,
    /// The values.
    pub values: Vec<NamedValue>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(name: &str) -> Report {
        Report { name: name.to_owned(), values: Vec::new() }
    }

    /// Adds a value, rounded to three decimal places.
    pub fn add_value(&mut self, name: &str, value: f64) {
        self.values.push(NamedValue { name: name.to_owned(), value: (value * 1e3).round() / 1e3 });
    }

    /// Adds the number of samples, their median, 99th percentile and maximum. All but the number are
    /// divided by `scale`.
    pub fn add_distribution(&mut self, name: &str, samples: &mut Distribution, scale: f64) {
        samples.0.sort_unstable();
        self.add_value(&format!("{name}: count"), samples.0.len() as f64);
        for (label, percent) in [("median", 50), ("99th", 99), ("last", 100)] {
            self.add_value(&format!("{name}: {label}"), samples.percentile(percent) as f64 / scale);
        }
    }

    /// Adds the total of a series, and its peak bin, mean and last bin within the window after its start.
    pub fn add_binned_counts(&mut self, name: &str, counts: &BinnedCounts) {
        let window_bins = WINDOW_US / BIN_US;
        let in_window: u64 = counts.bins.range(..window_bins).map(|(_, count)| count).sum();
        let (peak_bin, peak) =
            counts.bins.range(..window_bins).fold((0, 0), |(peak_bin, peak), (bin, count)| {
                if *count > peak { (*bin, *count) } else { (peak_bin, peak) }
            });
        let mean = in_window as f64 / window_bins as f64;
        let last_bin = counts.bins.range(..window_bins).next_back().map_or(0, |(bin, _)| *bin);
        self.add_value(&format!("{name}: all"), counts.total() as f64);
        self.add_value(&format!("{name}: in 5 s"), in_window as f64);
        self.add_value(&format!("{name}: most in 100 ms"), peak as f64);
        self.add_value(&format!("{name}: that is, a second"), peak as f64 * 1e6 / BIN_US as f64);
        self.add_value(
            &format!("{name}: peak over mean"),
            if in_window > 0 { peak as f64 / mean } else { 0.0 },
        );
        self.add_value(&format!("{name}: peak after, ms"), (peak_bin * BIN_US) as f64 / 1e3);
        self.add_value(&format!("{name}: last within 5 s after, ms"), (last_bin * BIN_US) as f64 / 1e3);
    }

    /// The value of a name; NaN if the report does not contain it.
    pub fn value(&self, name: &str) -> f64 {
        self.values.iter().find(|known| known.name == name).map_or(f64::NAN, |known| known.value)
    }

    /// Converts the report to JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let values: serde_json::Map<String, serde_json::Value> =
            self.values.iter().map(|known| (known.name.clone(), known.value.into())).collect();
        serde_json::json!({ "name": self.name, "figures": values })
    }
}
