//! What a play or a run on real processes is summed up by.

use std::collections::BTreeMap;

/// Calls and the like are counted in bins this long, in microseconds.
const BIN: u64 = 100_000;
/// Their peak is compared with their mean over this time after a trouble: the plan gives changes 5 s to be in force.
const WINDOW: u64 = 5_000_000;

/// The spread of a figure: median, 99th percentile and the largest, each by nearest rank.
#[derive(Default)]
pub struct Spread(Vec<u64>);

impl Spread {
    /// Counts one more.
    pub fn record(&mut self, value: u64) {
        self.0.push(value);
    }

    /// The value that this percentage of all does not exceed; 0 where there are none.
    fn percentile(&self, percent: usize) -> u64 {
        let rank = (self.0.len() * percent).div_ceil(100).max(1);
        self.0.get(rank - 1).copied().unwrap_or(0)
    }
}

/// How often something happened, by the time since a moment.
pub struct Calls {
    since: u64,
    before: u64,
    bins: BTreeMap<u64, u64>,
}

impl Calls {
    /// Bins begin here; what comes before goes into the total alone.
    pub fn since(since: u64) -> Calls {
        Calls { since, before: 0, bins: BTreeMap::new() }
    }

    /// Counts so many more.
    pub fn count(&mut self, at: u64, many: u64) {
        match at.checked_sub(self.since) {
            Some(after) => *self.bins.entry(after / BIN).or_default() += many,
            None => self.before += many,
        }
    }

    /// All of them.
    pub fn total(&self) -> u64 {
        self.before + self.bins.values().sum::<u64>()
    }
}

/// Named figures, in the order in which they were put in.
pub struct Report {
    /// What they are of.
    pub name: String,
    /// Them.
    pub figures: Vec<(String, f64)>,
}

impl Report {
    /// An empty one.
    pub fn named(name: &str) -> Report {
        Report { name: name.to_owned(), figures: Vec::new() }
    }

    /// Adds a figure, to three digits behind the point.
    pub fn put(&mut self, name: &str, value: f64) {
        self.figures.push((name.to_owned(), (value * 1e3).round() / 1e3));
    }

    /// Adds a spread; `scale` counted units are one in the report.
    pub fn spread(&mut self, name: &str, spread: &mut Spread, scale: f64) {
        spread.0.sort_unstable();
        self.put(&format!("{name}: count"), spread.0.len() as f64);
        for (which, percent) in [("median", 50), ("99th", 99), ("last", 100)] {
            self.put(&format!("{name}: {which}"), spread.percentile(percent) as f64 / scale);
        }
    }

    /// Adds counts over time: how many in the window, the fullest bin, and how much that is above the mean.
    pub fn calls(&mut self, name: &str, calls: &Calls) {
        let bins = WINDOW / BIN;
        let within: u64 = calls.bins.range(..bins).map(|(_, many)| many).sum();
        let (fullest, peak) = calls
            .bins
            .range(..bins)
            .fold((0, 0), |top, (at, many)| if *many > top.1 { (*at, *many) } else { top });
        let mean = within as f64 / bins as f64;
        let last = calls.bins.range(..bins).next_back().map_or(0, |(at, _)| *at);
        self.put(&format!("{name}: all"), calls.total() as f64);
        self.put(&format!("{name}: in 5 s"), within as f64);
        self.put(&format!("{name}: most in 100 ms"), peak as f64);
        self.put(&format!("{name}: that is, a second"), peak as f64 * 1e6 / BIN as f64);
        self.put(&format!("{name}: peak over mean"), if within > 0 { peak as f64 / mean } else { 0.0 });
        self.put(&format!("{name}: peak after, ms"), (fullest * BIN) as f64 / 1e3);
        self.put(&format!("{name}: last within 5 s after, ms"), (last * BIN) as f64 / 1e3);
    }

    /// One figure.
    pub fn get(&self, name: &str) -> f64 {
        self.figures.iter().find(|(known, _)| known == name).map_or(f64::NAN, |(_, value)| *value)
    }

    /// As JSON.
    pub fn json(&self) -> serde_json::Value {
        let figures: serde_json::Map<String, serde_json::Value> =
            self.figures.iter().map(|(name, value)| (name.clone(), (*value).into())).collect();
        serde_json::json!({ "name": self.name, "figures": figures })
    }
}
