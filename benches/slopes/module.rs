//! The decision module in virtual time, through its public interface alone.

use std::collections::BTreeMap;
use std::process::Command;
use std::time::Instant;

use anyhow::{Context, Result, bail};
use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::ring_position;

use super::Plan;
use super::stats::{Run, Size, Times};

/// Calls a second at a mean sidecar: 400,000 over 4,600.
const MEAN_RATE: f64 = 87.0;
/// And at a busy one, several times that.
const BUSY_RATE: f64 = 435.0;
/// Zones of the deployment that the plan is for.
const ZONES: u64 = 20;
/// Servers in a cell.
const CELL: u64 = 10;
/// The virtual time after which the module has learnt its rate of arrivals and who it draws from.
const WARM_UP_MS: f64 = 6_000.0;
/// One request in so many fails its first attempt, where further ones are measured: the module allows one
/// further attempt for ten arrivals.
const FAIL_EVERY: u64 = 12;

const REPEATABLE: ClassId = ClassId(0);
const BY_CELL: ClassId = ClassId(1);

/// Names of what is measured here.
pub const NAMES: &[&str] = &[
    "module/decision-and-answer",
    "module/decision",
    "module/decision-and-answer-busy",
    "module/further-attempt-in-cell",
    "module/change-drain",
    "module/change-start-cold",
    "module/change-ready",
    "module/whole-list",
    "module/report",
    "module/memory",
];

fn settings(size: Size) -> Settings {
    let class =
        |effect| Class { latency_target: 200.0, value: 1.0, late_value_fraction: 0.0, idempotency: effect };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, window: 2_000.0 }),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(0),
        sidecar_count: size.sidecars as u32,
        // Any but the first; starting points are spread by the module.
        sidecar_index: Some((size.sidecars / 3) as u32),
        zone_crossing_cost: 0.03,
        probe_cost: 0.01,
        reports_in_responses: true,
        limits: Limits {
            max_attempts: 3,
            allow_concurrent_attempts: false,
            allow_probes: true,
            allow_cancellation: true,
            max_retry_after: 400.0,
            min_event_interval: 4.0,
        },
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.2,
            warm_up: 20_000.0,
            overload_multiple: 2.5,
            overload_duration: 2_000.0,
        },
        discovery: DiscoveryMode::Push,
    }
}

/// Whole cells lie in one zone, and cells go round the zones.
fn listing(id: u64) -> UpstreamRecord {
    UpstreamRecord {
        upstream: UpstreamId(id),
        zone: ZoneId(id / CELL % ZONES),
        cell: CellId(id / CELL),
        ring_position: ring_position(format!("s-{id:08x}").as_bytes()),
        machine_type: MachineTypeId(id % 3),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started_at: None,
    }
}

fn list(size: Size) -> Vec<UpstreamRecord> {
    (0..size.servers).map(listing).collect()
}

/// An attempt that is out, and what its request has cost so far.
struct Out {
    upstream: UpstreamId,
    attempt: AttemptNo,
    latency: Millis,
    outcome: Outcome,
    spent: u64,
}

/// What is timed.
struct Timed {
    arrived: Times,
    both: Times,
    further: Times,
}

impl Timed {
    fn new() -> Timed {
        Timed { arrived: Times::new(), both: Times::new(), further: Times::new() }
    }
}

/// One module among servers that answer in time.
struct World {
    balancer: Balancer,
    now: Millis,
    next: u64,
    rng: Rand64,
    /// By the time of the end, in microseconds, and the request.
    out: BTreeMap<(u64, u64), Out>,
    actions: Vec<Action>,
    fails: bool,
}

impl World {
    fn new(size: Size, seed: u64) -> World {
        let mut world = World {
            balancer: Balancer::new(settings(size), seed),
            now: 0.0,
            next: 0,
            rng: Rand64::new(u128::from(seed)),
            out: BTreeMap::new(),
            actions: Vec::new(),
            fails: false,
        };
        world.timed(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list(size))));
        world
    }

    /// Hands over an event; how long that took, in nanoseconds.
    fn timed(&mut self, event: Event) -> u64 {
        self.actions.clear();
        let start = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        start.elapsed().as_nanos() as u64
    }

    fn report(&mut self) -> LoadReport {
        LoadReport {
            in_flight: Some(1.0 + (5.0 * self.rng.rand_float()).floor()),
            utilisation: Some(0.3 + 0.3 * self.rng.rand_float()),
            ..LoadReport::default()
        }
    }

    /// Carries out what the module asked for. Whether it sent.
    fn act(&mut self, request: u64, attempt: u32, class: ClassId, spent: u64) -> bool {
        let mut sent = false;
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { upstream, .. } => {
                    sent = true;
                    let fails = class == BY_CELL && attempt == 0;
                    let latency = 10.0 + 30.0 * self.rng.rand_float();
                    let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                    let at = ((self.now + latency) * 1e3) as u64;
                    let attempt = AttemptNo(attempt);
                    self.out.insert((at, request), Out { upstream, attempt, latency, outcome, spent });
                }
                Action::Probe(upstream) => {
                    let report = Some(self.report());
                    self.timed(Event::ProbeFinished { upstream, answered: true, report });
                }
                _ => {}
            }
        }
        sent
    }

    /// Lets requests come in at a rate for so long.
    fn play(&mut self, rate: f64, millis: Millis, timed: &mut Timed) {
        let end = self.now + millis;
        let mut arrival = self.now;
        while arrival < end {
            arrival += 1_000.0 / rate;
            while let Some(entry) = self.out.first_entry().filter(|out| out.key().0 as f64 <= arrival * 1e3) {
                let ((at, request), out) = entry.remove_entry();
                self.now = self.now.max(at as f64 / 1e3);
                self.finish(request, out, timed);
            }
            self.now = self.now.max(arrival);
            self.arrive(timed);
        }
    }

    fn arrive(&mut self, timed: &mut Timed) {
        self.next += 1;
        let request = self.next;
        let class = if self.fails && request.is_multiple_of(FAIL_EVERY) { BY_CELL } else { REPEATABLE };
        let event = Event::RequestArrived {
            request: RequestId(request),
            class,
            tenant: TenantId(0),
            time_left: 500.0,
            cost: None,
        };
        let spent = self.timed(event);
        timed.arrived.add(spent);
        self.act(request, 0, class, spent);
    }

    fn finish(&mut self, request: u64, out: Out, timed: &mut Timed) {
        let Out { upstream, attempt, latency, outcome, spent } = out;
        let report = Some(self.report());
        let finished = AttemptFinished {
            request: RequestId(request),
            attempt,
            upstream,
            outcome,
            latency,
            request_completed: outcome == Outcome::Ok,
            report,
        };
        let took = self.timed(Event::AttemptFinished(finished));
        let further = outcome != Outcome::Ok && self.act(request, attempt.0 + 1, BY_CELL, spent + took);
        if further {
            timed.further.add(took);
        } else if attempt == AttemptNo(0) && outcome == Outcome::Ok {
            timed.both.add(spent + took);
        }
    }
}

/// One run at one size.
pub fn run(plan: &Plan, size: Size, seed: u64, runs: &mut Vec<Run>) -> Result<()> {
    requests(plan, size, seed, runs);
    lists(plan, size, seed, runs);
    if plan.wants("module/memory") {
        runs.push(memory(size)?);
    }
    Ok(())
}

fn requests(plan: &Plan, size: Size, seed: u64, runs: &mut Vec<Run>) {
    let span = plan.requests as f64 / MEAN_RATE * 1e3;
    if plan.wants("module/decision") || plan.wants("module/decision-and-answer") {
        let mut world = World::new(size, seed);
        world.play(MEAN_RATE, WARM_UP_MS, &mut Timed::new());
        let mut timed = Timed::new();
        world.play(MEAN_RATE, span, &mut timed);
        let both = timed.both.run("module/decision-and-answer", size);
        runs.extend(both.into_iter().chain(timed.arrived.run("module/decision", size)));
    }
    if plan.wants("module/decision-and-answer-busy") {
        let mut world = World::new(size, seed);
        world.play(BUSY_RATE, WARM_UP_MS, &mut Timed::new());
        let mut timed = Timed::new();
        world.play(BUSY_RATE, span * MEAN_RATE / BUSY_RATE, &mut timed);
        runs.extend(timed.both.run("module/decision-and-answer-busy", size));
    }
    if plan.wants("module/further-attempt-in-cell") {
        let mut world = World::new(size, seed);
        world.fails = true;
        world.play(MEAN_RATE, WARM_UP_MS, &mut Timed::new());
        let mut timed = Timed::new();
        world.play(MEAN_RATE, 2.0 * span, &mut timed);
        runs.extend(timed.further.run("module/further-attempt-in-cell", size));
    }
}

fn lists(plan: &Plan, size: Size, seed: u64, runs: &mut Vec<Run>) {
    let changes = ["module/change-drain", "module/change-start-cold", "module/change-ready"];
    if !changes.iter().chain(&["module/whole-list", "module/report"]).any(|name| plan.wants(name)) {
        return;
    }
    let mut world = World::new(size, seed);
    world.play(MEAN_RATE, WARM_UP_MS, &mut Timed::new());
    let (mut drain, mut cold, mut ready) = (Times::new(), Times::new(), Times::new());
    for number in 0..plan.changes {
        // A step that meets all of a list, whatever its length.
        let id = (number * 7 + seed) % size.servers;
        let change = |world: &mut World, entry: UpstreamRecord, times: &mut Times| {
            world.now += 20.0;
            times.add(world.timed(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(vec![entry]))));
        };
        change(&mut world, UpstreamRecord { lifecycle: Lifecycle::Draining, ..listing(id) }, &mut drain);
        let started = Some(world.now);
        change(&mut world, UpstreamRecord { started_at: started, ..listing(id) }, &mut cold);
        change(&mut world, UpstreamRecord { started_at: started, ..listing(id) }, &mut ready);
    }
    for (name, times) in changes.into_iter().zip([drain, cold, ready]) {
        runs.extend(times.run(name, size).filter(|_| plan.wants(name)));
    }
    let mut whole = Times::new();
    for _ in 0..plan.changes {
        world.now += 20.0;
        let event = Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list(size)));
        whole.add(world.timed(event));
    }
    runs.extend(whole.run("module/whole-list", size).filter(|_| plan.wants("module/whole-list")));
    let mut reports = Times::new();
    for number in 0..10 * plan.changes {
        world.now += 1.0;
        let report = Some(world.report());
        let upstream = UpstreamId(number * 7 % size.servers);
        reports.add(world.timed(Event::ProbeFinished { upstream, answered: true, report }));
    }
    runs.extend(reports.run("module/report", size).filter(|_| plan.wants("module/report")));
}

/// Memory of a module, from a process that does nothing else: freed pages of other work would hide it.
fn memory(size: Size) -> Result<Run> {
    let shown = format!("{}:{}", size.servers, size.sidecars);
    let output = Command::new(std::env::current_exe()?).args(["--memory-of", &shown]).output()?;
    if !output.status.success() {
        bail!("the process for memory ended with {}", output.status);
    }
    let value = String::from_utf8(output.stdout)?.trim().parse().context("no figure for memory")?;
    Ok(Run { name: "module/memory", unit: "KiB", size, value, samples: None })
}

/// Resident memory that each of many modules takes with its list in and after some traffic, in KiB.
pub fn memory_of(size: Size) -> Result<f64> {
    // Enough of them that pages and the list at hand do not count.
    let count = (60_000 / size.servers).clamp(12, 1_000);
    let make = |seed| {
        let mut world = World::new(size, seed);
        world.play(MEAN_RATE, 1_000.0, &mut Timed::new());
        world
    };
    let first = make(0);
    let before = resident_kib()?;
    let worlds: Vec<World> = (1..=count).map(make).collect();
    let after = resident_kib()?;
    drop((first, worlds));
    Ok((after - before) / count as f64)
}

fn resident_kib() -> Result<f64> {
    super::proc::status_kib(std::process::id(), "VmRSS")
}
