//! Hollow processes: thousands of modules on a virtual clock, and hundreds of real sidecars that only watch.

mod figures;
mod processes;
mod stage;

use std::time::Instant;

use clap::Parser;
use figures::Report;
use sagemast::api::{ColdStartLimits, DiscoveryMode};
use stage::{Plan, Stage, Trouble};

/// Plays a hollow fleet and prints what it does to discovery and to cold servers.
#[derive(Parser)]
struct Args {
    /// Ticket servers where a sidecar lists what it calls.
    #[arg(long, default_value_t = 4_600)]
    servers: usize,
    /// Sidecars there.
    #[arg(long, default_value_t = 4_600)]
    sidecars: usize,
    /// Services.
    #[arg(long, default_value_t = 430)]
    services: usize,
    /// Services that a sidecar calls, and lists.
    #[arg(long, default_value_t = 5)]
    calls: usize,
    /// Servers, and as many sidecars, where every sidecar lists all.
    #[arg(long, default_value_t = 460)]
    all: usize,
    /// Requests a second over all sidecars, in the plays at full rate.
    #[arg(long, default_value_t = 400_000.0)]
    rate: f64,
    /// These are played on one part of so many of the fleet: its services, servers, sidecars and requests.
    #[arg(long, default_value_t = 10)]
    part: usize,
    /// Requests a second in the other plays.
    #[arg(long, default_value_t = 2_000.0)]
    trickle: f64,
    /// Where the module asks for lists: it must do so at least this often, in milliseconds.
    #[arg(long, default_value_t = 2_000.0)]
    must_ask_in: f64,
    /// Real sidecars, one process each.
    #[arg(long, default_value_t = 300)]
    processes: usize,
    /// Servers that each of them lists.
    #[arg(long, default_value_t = 53)]
    listed: usize,
    /// For all that is drawn.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Plays only those whose names hold this.
    #[arg(long, default_value = "")]
    only: String,
    /// Writes the figures here as JSON, too.
    #[arg(long)]
    json: Option<std::path::PathBuf>,
    /// Given by `cargo bench`.
    #[arg(long, hide = true)]
    bench: bool,
}

fn plans(args: &Args) -> Vec<Plan> {
    let asked = DiscoveryMode::Subscribe { subscribe_within: args.must_ask_in };
    let base = Plan {
        name: String::new(),
        seed: args.seed,
        servers: args.servers,
        sidecars: args.sidecars,
        services: args.services,
        calls: args.calls,
        zones: 20,
        regions: 6,
        requests_per_s: args.trickle,
        load: 0.6,
        span: 64_000,
        during: [2_000, 50_000],
        changes: 200,
        discovery: DiscoveryMode::Push,
        shared_versions: true,
        history: 1_024,
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.16,
            warm_up: 21_000.0,
            overload_multiple: 2.5,
            overload_duration: 1_500.0,
        },
        starts_told: true,
        drain_grace: 2_000.0,
        trouble: Trouble::None,
    };
    let all = Plan { servers: args.all, sidecars: args.all, calls: 0, changes: 20, ..base.clone() };
    let modes = [("pushed", DiscoveryMode::Push), ("asked", asked)];
    let mut plans = Vec::new();
    let mut add = |name: String, plan: Plan| plans.push(Plan { name, ..plan });
    for (mode, discovery) in modes {
        let base = Plan { discovery, ..base.clone() };
        let all = Plan { discovery, ..all.clone() };
        add(format!("changes, {mode}"), base.clone());
        add(format!("changes, {mode}, all listed"), all.clone());
        for (how, silent) in [("reset", false), ("silent", true)] {
            let trouble = Trouble::Machine { at: 25_000, silent };
            add(format!("machine {how}, {mode}"), Plan { trouble, ..base.clone() });
            add(format!("machine {how}, {mode}, all listed"), Plan { trouble, ..all.clone() });
            let apart = Plan { shared_versions: false, trouble, ..base.clone() };
            add(format!("machine {how}, {mode}, versions apart"), apart);
        }
        let hour = 3_600_000;
        let trouble = Trouble::Cut { at: 10_000, heal: 10_000 + hour };
        let cut = Plan {
            span: hour + 30_000,
            during: [10_000, hour + 10_000],
            // A day's 11,000, in an hour.
            changes: 458,
            requests_per_s: (args.trickle / 20.0).max(1.0),
            trouble,
            ..base.clone()
        };
        add(format!("cut, {mode}"), cut.clone());
        add(format!("cut, {mode}, short history"), Plan { history: 64, ..cut });
    }
    let trouble = Trouble::Zone { at: 3_000, back: 14_000 };
    let zone = Plan { span: 40_000, during: [1_000, 30_000], changes: 20, trouble, ..base.clone() };
    add("zone, pushed".to_owned(), zone.clone());
    add("zone, asked".to_owned(), Plan { discovery: asked, ..zone });
    // The rate of a sidecar in earnest, on a part of the fleet.
    let part = |whole: usize| whole.div_ceil(args.part.max(1));
    let brisk = Plan {
        servers: part(args.servers),
        sidecars: part(args.sidecars),
        services: part(args.services),
        requests_per_s: args.rate / args.part.max(1) as f64,
        ..base
    };
    add(
        "cut, full rate".to_owned(),
        Plan {
            span: 40_000,
            during: [2_000, 32_000],
            changes: 20,
            trouble: Trouble::Cut { at: 7_000, heal: 27_000 },
            ..brisk.clone()
        },
    );
    // Only the time round the return is played: it is then that a cold server can do the least.
    let cold = Plan {
        span: 19_000,
        during: [8_000, 17_000],
        changes: 0,
        trouble: Trouble::Zone { at: 500, back: 10_000 },
        ..brisk
    };
    add("zone cold, full rate".to_owned(), cold.clone());
    add("zone cold, full rate, starts not told".to_owned(), Plan { starts_told: false, ..cold });
    plans
}

/// One line a figure, one column a play, some plays side by side.
fn table(reports: &[&Report]) {
    for some in reports.chunks(4) {
        let width = 24;
        print!("{:62}", "");
        some.iter().for_each(|report| print!(" {:>width$}", shorten(&report.name, width)));
        println!();
        // A figure that one play has and another has not keeps its place.
        let mut names: Vec<&str> = Vec::new();
        for report in some {
            let mut place = 0;
            for (name, _) in &report.figures {
                place = names.iter().position(|known| known == name).unwrap_or_else(|| {
                    names.insert(place, name);
                    place
                }) + 1;
            }
        }
        for name in names {
            print!("{name:62}");
            for report in some {
                let value = report.get(name);
                let shown = if value.is_nan() { "-".to_owned() } else { value.to_string() };
                print!(" {shown:>width$}");
            }
            println!();
        }
        println!();
    }
}

fn shorten(name: &str, width: usize) -> String {
    name.replace(", ", ",").chars().take(width).collect()
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let mut reports = Vec::new();
    for plan in plans(&args).into_iter().filter(|plan| plan.name.contains(&args.only)) {
        let began = Instant::now();
        let report = Stage::new(plan).play();
        eprintln!("{}: {:.1} s", report.name, began.elapsed().as_secs_f64());
        reports.push(report);
    }
    for (name, asked) in [("processes, pushed", false), ("processes, asked", true)] {
        if name.contains(&args.only) {
            let began = Instant::now();
            reports.push(processes::play(name, args.processes, args.listed, asked)?);
            eprintln!("{name}: {:.1} s", began.elapsed().as_secs_f64());
        }
    }
    let (real, hollow): (Vec<&Report>, Vec<&Report>) =
        reports.iter().partition(|report| report.name.starts_with("processes"));
    table(&hollow);
    table(&real);
    if let Some(path) = &args.json {
        let all: Vec<serde_json::Value> = reports.iter().map(Report::json).collect();
        std::fs::write(path, serde_json::to_string_pretty(&all).map_err(std::io::Error::other)?)?;
    }
    Ok(())
}
