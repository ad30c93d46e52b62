//! What the sidecar costs as the deployment grows: the decision module in virtual time and the real program on
//! loopback, at several sizes, with the slope of each cost. See docs/CAPACITY.md.

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

use stats::{Run, Size, Table};

/// Servers listed and sidecars that share them. The second is five services of eleven servers each in the planned
/// deployment, the list of a sidecar that has only those it calls; 10 and 100 are about one and ten services.
const SIZES: [Size; 6] = [
    Size { servers: 10, sidecars: 10 },
    Size { servers: 54, sidecars: 4_600 },
    Size { servers: 100, sidecars: 100 },
    Size { servers: 200, sidecars: 200 },
    Size { servers: 1_000, sidecars: 1_000 },
    Size { servers: 4_600, sidecars: 4_600 },
];

/// Measures what the sidecar costs at 10 to 4,600 listed servers. The whole takes under 4 minutes, --quick under 1.
#[derive(Parser)]
#[command(bin_name = "cargo bench --bench slopes --")]
struct Args {
    /// Fewer and shorter runs: under 1 minute
    #[arg(long)]
    quick: bool,
    /// Only measurements whose name contains this, such as module/ or network/whole
    #[arg(long, value_name = "NAME")]
    only: Option<String>,
    /// Also write every run's figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Print one Markdown table instead, as in docs/CAPACITY.md
    #[arg(long)]
    markdown: bool,
    /// Name what can be measured and end
    #[arg(long)]
    list: bool,
    /// What cargo passes to every bench
    #[arg(long, hide = true)]
    bench: bool,
    /// Prints the memory of a module at SERVERS:SIDECARS and ends
    #[arg(long, hide = true)]
    memory_of: Option<String>,
}

/// How much is measured.
pub struct Plan {
    only: Option<String>,
    /// Runs of the module and of the program.
    module_runs: u64,
    network_runs: u64,
    /// Requests in one run of the module.
    pub requests: u64,
    /// Changes of each sort, and whole lists, in one run of the module.
    pub changes: u64,
    /// How long calls are paced before they are timed and then, in seconds.
    pub calls_s: [f64; 2],
    /// Whole lists and changes in one run of the program.
    pub lists: u64,
    /// How long it is left alone, in seconds.
    pub idle_s: f64,
}

impl Plan {
    fn new(only: Option<String>, quick: bool) -> Plan {
        let [requests, changes, lists] = if quick { [300, 30, 4] } else { [600, 60, 8] };
        Plan {
            only,
            module_runs: if quick { 3 } else { 7 },
            network_runs: if quick { 1 } else { 3 },
            requests,
            changes,
            calls_s: if quick { [1.0, 1.2] } else { [2.0, 3.0] },
            lists,
            idle_s: if quick { 2.0 } else { 4.0 },
        }
    }

    /// Whether a measurement was asked for.
    pub fn wants(&self, name: &str) -> bool {
        self.only.as_ref().is_none_or(|only| name.contains(only))
    }
}

/// Everything that one call of this bench gave.
#[derive(Serialize)]
struct Record<'a> {
    /// As git has it, with `-dirty` where files were changed.
    revision: String,
    /// UTC.
    date: String,
    cores: usize,
    /// Load of the machine over a minute, before and after.
    load: [Option<f64>; 2],
    quick: bool,
    seconds: f64,
    tables: &'a [Table],
    runs: &'a [Run],
}

fn main() -> Result<()> {
    let args = Args::parse();
    if let Some(size) = &args.memory_of {
        let (servers, sidecars) = size.split_once(':').context("SERVERS:SIDECARS")?;
        let size = Size { servers: servers.parse()?, sidecars: sidecars.parse()? };
        println!("{:.1}", module::memory_of(size)?);
        return Ok(());
    }
    if args.list {
        module::NAMES.iter().chain(network::NAMES).for_each(|name| println!("{name}"));
        return Ok(());
    }
    let plan = Plan::new(args.only, args.quick);
    let (start, load) = (Instant::now(), proc::load());
    let mut runs = Vec::new();
    if module::NAMES.iter().any(|name| plan.wants(name)) {
        for seed in 0..plan.module_runs {
            SIZES.iter().try_for_each(|size| module::run(&plan, *size, seed, &mut runs))?;
        }
    }
    if network::NAMES.iter().any(|name| plan.wants(name)) {
        for _ in 0..plan.network_runs {
            network::run(&plan, &SIZES, &mut runs)?;
        }
    }
    let tables = stats::tables(&runs);
    let record = Record {
        revision: said_by("git", &["describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]),
        date: said_by("date", &["-u", "+%Y-%m-%dT%H:%M:%SZ"]),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        load: [load, proc::load()],
        quick: args.quick,
        seconds: start.elapsed().as_secs_f64().round(),
        tables: &tables,
        runs: &runs,
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
        tables.iter().for_each(stats::print);
    }
    if let Some(path) = args.json {
        // Cargo runs benches in the package's folder; the file is written there unless its path is absolute.
        std::fs::write(&path, serde_json::to_string_pretty(&record)?)
            .context("cannot write the JSON file")?;
    }
    Ok(())
}

/// The first line of what a program says, or nothing.
fn said_by(program: &str, args: &[&str]) -> String {
    let output = Command::new(program).args(args).output().map(|output| output.stdout).unwrap_or_default();
    String::from_utf8_lossy(&output).trim().to_owned()
}
