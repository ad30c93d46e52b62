//! Load of a large fleet on discovery and on cold servers: thousands of decision modules in a discrete-event
//! simulation, and hundreds of real sidecar processes that watch discovery and carry hardly any requests.

mod processes;
mod report;
mod simulation;

use std::time::Instant;

use clap::Parser;
use report::Report;
use sagemast::api::{ColdStartLimits, DiscoveryMode};
use simulation::{Fault, Scenario, Simulation};

/// Runs fleet scenarios and prints their load on discovery and on cold servers.
#[derive(Parser)]
#[command(bin_name = "cargo bench --bench hollow --")]
struct Args {
    /// Servers in scenarios where a sidecar lists only the services that it calls.
    #[arg(long, default_value_t = 4_600, value_name = "COUNT")]
    servers: usize,
    /// Sidecars in the same scenarios.
    #[arg(long, default_value_t = 4_600, value_name = "COUNT")]
    sidecars: usize,
    /// Services in the same scenarios.
    #[arg(long, default_value_t = 430, value_name = "COUNT")]
    services: usize,
    /// Services that each sidecar calls and lists in the same scenarios.
    #[arg(long = "calls", default_value_t = 5, value_name = "COUNT")]
    services_per_sidecar: usize,
    /// Servers, and also sidecars, in scenarios where every sidecar lists all servers ("all listed").
    #[arg(long = "all", default_value_t = 460, value_name = "COUNT")]
    full_list_servers: usize,
    /// Requests per second over the whole fleet in the full-rate scenarios, before the division by --part.
    #[arg(long = "rate", default_value_t = 400_000.0, value_name = "REQUESTS_PER_S")]
    full_requests_per_s: f64,
    /// Divides the services, servers, sidecars and requests of the full-rate scenarios.
    #[arg(long = "part", default_value_t = 10, value_name = "DIVISOR")]
    full_rate_divisor: usize,
    /// Requests per second over the whole fleet in the other scenarios.
    #[arg(long = "trickle", default_value_t = 2_000.0, value_name = "REQUESTS_PER_S")]
    low_requests_per_s: f64,
    /// In subscribe mode ("asked"), the longest time in milliseconds until the module must subscribe.
    #[arg(long = "must-ask-in", default_value_t = 2_000.0, value_name = "MS")]
    subscribe_within: f64,
    /// Calls that a discovery node answers in a second in the "crowded" scenarios.
    #[arg(long = "crowded", default_value_t = 250, value_name = "CALLS_PER_S")]
    crowded_calls_per_s: u64,
    /// Real sidecar processes.
    #[arg(long = "processes", default_value_t = 300, value_name = "COUNT")]
    process_count: usize,
    /// Servers that each real sidecar process lists.
    #[arg(long = "listed", default_value_t = 53, value_name = "COUNT")]
    servers_per_process: usize,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Runs only scenarios whose names contain this.
    #[arg(long = "only", default_value = "", value_name = "NAME")]
    name_filter: String,
    /// Also writes the reports to this file as JSON.
    #[arg(long = "json", value_name = "FILE")]
    json_file: Option<std::path::PathBuf>,
    /// Passed by `cargo bench`.
    #[arg(long, hide = true)]
    bench: bool,
}

/// How long discovery takes for a call in the "slow" scenarios, in milliseconds.
const SLOW_ANSWERS_MS: [u64; 2] = [200, 3_000];
/// Reports side by side in a printed table.
const REPORTS_PER_TABLE: usize = 4;
/// Widths of a table's columns, in characters.
const NAME_WIDTH: usize = 62;
const VALUE_WIDTH: usize = 24;

/// All simulated scenarios. In their names, "pushed" and "asked" stand for the push and the subscribe mode of
/// discovery, "machine" for the loss of a discovery node, "slow" and "crowded" for calls that take long, "cut" for a
/// partition and "zone" for the outage of a zone.
fn scenarios(args: &Args) -> Vec<Scenario> {
    let subscribe = DiscoveryMode::Subscribe { subscribe_within: args.subscribe_within };
    let base = Scenario {
        name: String::new(),
        seed: args.seed,
        servers: args.servers,
        sidecars: args.sidecars,
        services: args.services,
        services_per_sidecar: args.services_per_sidecar,
        zones: 20,
        regions: 6,
        requests_per_s: args.low_requests_per_s,
        offered_load: 0.6,
        duration_ms: 64_000,
        activity_start_ms: 2_000,
        activity_end_ms: 50_000,
        changes: 200,
        discovery: DiscoveryMode::Push,
        shared_versions: true,
        delta_history: 1_024,
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.16,
            warm_up: 21_000.0,
            overload_multiple: 2.5,
            overload_duration: 1_500.0,
        },
        list_start_times: true,
        drain_grace_ms: 2_000.0,
        fault: Fault::None,
    };
    let full_list = Scenario {
        servers: args.full_list_servers,
        sidecars: args.full_list_servers,
        services_per_sidecar: 0,
        changes: 20,
        ..base.clone()
    };
    let modes = [("pushed", DiscoveryMode::Push), ("asked", subscribe)];
    let mut scenarios = Vec::new();
    let mut add = |name: String, scenario: Scenario| scenarios.push(Scenario { name, ..scenario });
    for (mode, discovery) in modes {
        // Ordinary changes, without a fault.
        let base = Scenario { discovery, ..base.clone() };
        let full_list = Scenario { discovery, ..full_list.clone() };
        add(format!("changes, {mode}"), base.clone());
        add(format!("changes, {mode}, all listed"), full_list.clone());
        // The loss of a discovery node.
        for (failure_mode, silent) in [("reset", false), ("silent", true)] {
            let fault = Fault::DiscoveryNodeLoss { start_ms: 25_000, silent };
            add(format!("machine {failure_mode}, {mode}"), Scenario { fault, ..base.clone() });
            add(
                format!("machine {failure_mode}, {mode}, all listed"),
                Scenario { fault, ..full_list.clone() },
            );
            let separate_versions = Scenario { shared_versions: false, fault, ..base.clone() };
            add(format!("machine {failure_mode}, {mode}, versions apart"), separate_versions);
        }
        // A discovery that becomes slow as all watches are reset.
        for delay_ms in SLOW_ANSWERS_MS {
            let fault = Fault::SlowDiscovery { start_ms: 25_000, delay_ms };
            let name = format!("slow {} s, {mode}", delay_ms as f64 / 1e3);
            add(name, Scenario { fault, ..base.clone() });
        }
        let calls_per_s = args.crowded_calls_per_s;
        let fault = Fault::CrowdedDiscovery { start_ms: 25_000, calls_per_s };
        add(format!("crowded, {mode}"), Scenario { fault, ..base.clone() });
        // A partition of one hour.
        let hour_ms = 3_600_000;
        let fault = Fault::RegionPartition { start_ms: 10_000, end_ms: 10_000 + hour_ms };
        let partition = Scenario {
            duration_ms: hour_ms + 30_000,
            activity_start_ms: 10_000,
            activity_end_ms: hour_ms + 10_000,
            // One hour's share of 11,000 changes per day.
            changes: 458,
            requests_per_s: (args.low_requests_per_s / 20.0).max(1.0),
            fault,
            ..base.clone()
        };
        add(format!("cut, {mode}"), partition.clone());
        add(format!("cut, {mode}, short history"), Scenario { delta_history: 64, ..partition });
    }
    // The outage of a zone.
    let fault = Fault::ZoneOutage { start_ms: 3_000, end_ms: 14_000 };
    let zone_outage = Scenario {
        duration_ms: 40_000,
        activity_start_ms: 1_000,
        activity_end_ms: 30_000,
        changes: 20,
        fault,
        ..base.clone()
    };
    add("zone, pushed".to_owned(), zone_outage.clone());
    add("zone, asked".to_owned(), Scenario { discovery: subscribe, ..zone_outage });
    // The planned request rate per sidecar, on a fraction of the fleet.
    let scaled = |count: usize| count.div_ceil(args.full_rate_divisor.max(1));
    let full_rate = Scenario {
        servers: scaled(args.servers),
        sidecars: scaled(args.sidecars),
        services: scaled(args.services),
        requests_per_s: args.full_requests_per_s / args.full_rate_divisor.max(1) as f64,
        ..base
    };
    add(
        "cut, full rate".to_owned(),
        Scenario {
            duration_ms: 40_000,
            activity_start_ms: 2_000,
            activity_end_ms: 32_000,
            changes: 20,
            fault: Fault::RegionPartition { start_ms: 7_000, end_ms: 27_000 },
            ..full_rate.clone()
        },
    );
    // Covers only the time around the restart, when cold servers have the least capacity.
    let cold_restart = Scenario {
        duration_ms: 19_000,
        activity_start_ms: 8_000,
        activity_end_ms: 17_000,
        changes: 0,
        fault: Fault::ZoneOutage { start_ms: 500, end_ms: 10_000 },
        ..full_rate
    };
    add("zone cold, full rate".to_owned(), cold_restart.clone());
    add(
        "zone cold, full rate, starts not told".to_owned(),
        Scenario { list_start_times: false, ..cold_restart },
    );
    scenarios
}

/// Prints the reports as tables with one row per value and one column per scenario.
fn print_tables(reports: &[&Report]) {
    for group in reports.chunks(REPORTS_PER_TABLE) {
        print!("{:NAME_WIDTH$}", "");
        group.iter().for_each(|report| print!(" {:>VALUE_WIDTH$}", column_heading(&report.name)));
        println!();
        // Values that only some of the scenarios have keep their position.
        let mut names: Vec<&str> = Vec::new();
        for report in group {
            let mut position = 0;
            for name in report.values.iter().map(|known| known.name.as_str()) {
                position = names.iter().position(|known| *known == name).unwrap_or_else(|| {
                    names.insert(position, name);
                    position
                }) + 1;
            }
        }
        for name in names {
            print!("{name:NAME_WIDTH$}");
            for report in group {
                let value = report.value(name);
                let text = if value.is_nan() { "-".to_owned() } else { value.to_string() };
                print!(" {text:>VALUE_WIDTH$}");
            }
            println!();
        }
        println!();
    }
}

/// The name of a scenario, cut to the width of a column.
fn column_heading(name: &str) -> String {
    name.replace(", ", ",").chars().take(VALUE_WIDTH).collect()
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let mut reports = Vec::new();
    for scenario in scenarios(&args).into_iter().filter(|scenario| scenario.name.contains(&args.name_filter))
    {
        let started = Instant::now();
        let report = Simulation::new(scenario).run();
        eprintln!("{}: {:.1} s", report.name, started.elapsed().as_secs_f64());
        reports.push(report);
    }
    for (name, subscribe) in [("processes, pushed", false), ("processes, asked", true)] {
        if name.contains(&args.name_filter) {
            let started = Instant::now();
            reports.push(processes::run(name, args.process_count, args.servers_per_process, subscribe)?);
            eprintln!("{name}: {:.1} s", started.elapsed().as_secs_f64());
        }
    }
    let (process_reports, simulation_reports): (Vec<&Report>, Vec<&Report>) =
        reports.iter().partition(|report| report.name.starts_with("processes"));
    print_tables(&simulation_reports);
    print_tables(&process_reports);
    if let Some(path) = &args.json_file {
        let json: Vec<serde_json::Value> = reports.iter().map(Report::to_json).collect();
        std::fs::write(path, serde_json::to_string_pretty(&json).map_err(std::io::Error::other)?)?;
    }
    Ok(())
}
