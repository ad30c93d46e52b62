//! Cost of the sidecar as the deployment grows: the decision module in virtual time and the real program on loopback
//! are measured at several sizes, and each cost is fitted against the number of servers. See docs/CAPACITY.md.

#[path = "slopes/module.rs"]
mod module;
#[path = "slopes/network.rs"]
mod network;
#[path = "slopes/proc.rs"]
mod proc;
#[path = "slopes/stats.rs"]
mod stats;

use std::path::PathBuf;
use std::process::Command;
use std::time::Instant;

use anyhow::{Context, Result};
use clap::Parser;
use serde::Serialize;

use stats::{RunResult, Size, Table};

/// The measured sizes. In the planned deployment a service has about eleven servers: 54 is the list of a sidecar that
/// lists only the five services that it calls; 10 and 100 are about one and ten services.
const SIZES: [Size; 6] = [
    Size { servers: 10, sidecars: 10 },
    Size { servers: 54, sidecars: 4_600 },
    Size { servers: 100, sidecars: 100 },
    Size { servers: 200, sidecars: 200 },
    Size { servers: 1_000, sidecars: 1_000 },
    Size { servers: 4_600, sidecars: 4_600 },
];

/// Measures the cost of the sidecar at 10 to 4,600 listed servers. A full run takes under 4 minutes, --quick under 1.
#[derive(Parser)]
#[command(bin_name = "cargo bench --bench slopes --")]
struct Args {
    /// Fewer and shorter runs: under 1 minute
    #[arg(long)]
    quick: bool,
    /// Only measurements whose name contains this, such as module/ or network/whole
    #[arg(long = "only", value_name = "NAME")]
    name_filter: Option<String>,
    /// Also write the results of every run to this file as JSON
    #[arg(long = "json", value_name = "FILE")]
    json_file: Option<PathBuf>,
    /// Print one Markdown table instead, as in docs/CAPACITY.md
    #[arg(long)]
    markdown: bool,
    /// List the names of all measurements and exit
    #[arg(long)]
    list: bool,
    /// Passed by `cargo bench`
    #[arg(long, hide = true)]
    bench: bool,
    /// Print the memory of a module at SERVERS:SIDECARS in KiB and exit
    #[arg(long, hide = true, value_name = "SERVERS:SIDECARS")]
    memory_of: Option<String>,
}

/// Which measurements are taken, and how much work each run does.
pub struct Workload {
    /// Selects the measurements whose names contain this; `None` for all.
    name_filter: Option<String>,
    /// Runs of the module measurements.
    module_runs: u64,
    /// Runs of the network measurements.
    network_runs: u64,
    /// Requests per run of the module.
    pub requests: u64,
    /// Changes of each kind per run of the module, and also the number of its snapshots.
    pub changes: u64,
    /// Duration of the calls that precede the timed ones.
    pub call_warm_up_s: f64,
    /// Duration of the timed calls.
    pub call_measurement_s: f64,
    /// Snapshots per run of the program. Single changes are sent several times as often.
    pub snapshots: u64,
    /// How long the idle program is observed.
    pub idle_s: f64,
}

impl Workload {
    fn new(name_filter: Option<String>, quick: bool) -> Workload {
        let [requests, changes, snapshots] = if quick { [300, 30, 4] } else { [600, 60, 8] };
        Workload {
            name_filter,
            module_runs: if quick { 3 } else { 7 },
            network_runs: if quick { 1 } else { 3 },
            requests,
            changes,
            call_warm_up_s: if quick { 1.0 } else { 2.0 },
            call_measurement_s: if quick { 1.2 } else { 3.0 },
            snapshots,
            idle_s: if quick { 2.0 } else { 4.0 },
        }
    }

    /// Whether a measurement is selected.
    pub fn selects(&self, name: &str) -> bool {
        self.name_filter.as_ref().is_none_or(|filter| name.contains(filter))
    }
}

/// The JSON output of the bench.
#[derive(Serialize)]
struct BenchRecord<'a> {
    /// The git revision, with `-dirty` if files were changed.
    revision: String,
    /// Date and time in UTC.
    date: String,
    cores: usize,
    /// Load averages of the machine over one minute, before and after the bench.
    load: [Option<f64>; 2],
    quick: bool,
    /// Duration of the bench.
    seconds: f64,
    tables: &'a [Table],
    runs: &'a [RunResult],
}

fn main() -> Result<()> {
    let args = Args::parse();
    if let Some(size) = &args.memory_of {
        let (servers, sidecars) = size.split_once(':').context("--memory-of expects SERVERS:SIDECARS")?;
        let size = Size { servers: servers.parse()?, sidecars: sidecars.parse()? };
        println!("{:.1}", module::memory_kib(size)?);
        return Ok(());
    }
    if args.list {
        module::NAMES.iter().chain(network::NAMES).for_each(|name| println!("{name}"));
        return Ok(());
    }
    // Perform all runs.
    let workload = Workload::new(args.name_filter, args.quick);
    let (start, load_before) = (Instant::now(), proc::load_average());
    let mut results = Vec::new();
    if module::NAMES.iter().any(|name| workload.selects(name)) {
        for seed in 0..workload.module_runs {
            SIZES.iter().try_for_each(|size| module::run(&workload, *size, seed, &mut results))?;
        }
    }
    if network::NAMES.iter().any(|name| workload.selects(name)) {
        for _ in 0..workload.network_runs {
            network::run(&workload, &SIZES, &mut results)?;
        }
    }
    // Summarise the runs, print the summary and write the JSON file.
    let tables = stats::tables(&results);
    let record = BenchRecord {
        revision: command_output("git", &["describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]),
        date: command_output("date", &["-u", "+%Y-%m-%dT%H:%M:%SZ"]),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        load: [load_before, proc::load_average()],
        quick: args.quick,
        seconds: start.elapsed().as_secs_f64().round(),
        tables: &tables,
        runs: &results,
    };
    let loads = record.load.map(|load| load.unwrap_or(f64::NAN));
    println!(
        "revision {}, {}, {} cores, load {:.1} to {:.1}, {} s",
        record.revision, record.date, record.cores, loads[0], loads[1], record.seconds
    );
    if args.markdown {
        stats::print_markdown(&tables, &SIZES);
    } else {
        println!("min, median and max over runs; p99 is the median run's 99th percentile\n");
        tables.iter().for_each(stats::print_table);
    }
    if let Some(path) = args.json_file {
        // Cargo runs benches in the package directory, so a relative path is relative to that.
        std::fs::write(&path, serde_json::to_string_pretty(&record)?)
            .context("cannot write the JSON file")?;
    }
    Ok(())
}

/// The trimmed standard output of a command; empty if it cannot be run.
fn command_output(program: &str, args: &[&str]) -> String {
    let output = Command::new(program).args(args).output().map(|output| output.stdout).unwrap_or_default();
    String::from_utf8_lossy(&output).trim().to_owned()
}
