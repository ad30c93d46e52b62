//! Measurements of the decision module in virtual time, through its public interface only.

use std::collections::BTreeMap;
use std::process::Command;
use std::time::Instant;

use anyhow::{Context, Result, bail};
use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::ring_position;

use super::Workload;
use super::stats::{LatencyHistogram, RunResult, Size};

/// Request rate of an average sidecar: 400,000 requests per second over 4,600 sidecars.
const MEAN_REQUESTS_PER_S: f64 = 87.0;
/// Request rate of a busy sidecar.
const BUSY_REQUESTS_PER_S: f64 = 435.0;
/// Zones of the planned deployment.
const ZONES: u64 = 20;
const SERVERS_PER_CELL: u64 = 10;
const MACHINE_TYPES: u64 = 3;
/// Virtual time until the module's estimate of the arrival rate and its choice of upstreams have settled.
const WARM_UP_MS: f64 = 6_000.0;
/// Every this many requests, one fails its first attempt where retries are measured. The module allows one retry per
/// ten arrivals.
const REQUESTS_PER_FAILURE: u64 = 12;

/// Virtual time between two updates of the server list.
const UPDATE_INTERVAL_MS: f64 = 20.0;
/// Virtual time between two load reports.
const REPORT_INTERVAL_MS: f64 = 1.0;
/// Load reports per run, as a multiple of the changes of each kind.
const REPORTS_PER_CHANGE: u64 = 10;
/// Distance between the ids of servers that are updated one after another. It has no common factor with the sizes, so
/// all servers are reached.
const UPDATE_STRIDE: u64 = 7;

/// The class of all requests that succeed at the first attempt.
const IDEMPOTENT_CLASS: ClassId = ClassId(0);
/// The class of the requests whose first attempt fails; their retries stay in the cell.
const CELL_KEYED_CLASS: ClassId = ClassId(1);

const DECISION_AND_RESPONSE: &str = "module/decision-and-answer";
const DECISION: &str = "module/decision";
const DECISION_AND_RESPONSE_BUSY: &str = "module/decision-and-answer-busy";
const RETRY_IN_CELL: &str = "module/further-attempt-in-cell";
const CHANGE_DRAIN: &str = "module/change-drain";
const CHANGE_COLD_START: &str = "module/change-start-cold";
const CHANGE_READY: &str = "module/change-ready";
const SNAPSHOT: &str = "module/whole-list";
const REPORT: &str = "module/report";
const MEMORY: &str = "module/memory";

/// Names of the measurements in this file.
pub const NAMES: &[&str] = &[
    DECISION_AND_RESPONSE,
    DECISION,
    DECISION_AND_RESPONSE_BUSY,
    RETRY_IN_CELL,
    CHANGE_DRAIN,
    CHANGE_COLD_START,
    CHANGE_READY,
    SNAPSHOT,
    REPORT,
    MEMORY,
];

fn settings(size: Size) -> Settings {
    let class =
        |idempotency| Class { latency_target: 200.0, value: 1.0, late_value_fraction: 0.0, idempotency };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, window: 2_000.0 }),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(0),
        sidecar_count: size.sidecars as u32,
        // Any index but the first represents the fleet.
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
            max_send_delay: 4.0,
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

/// The record of a server. Each cell lies in one zone; cells are assigned to zones round-robin.
fn upstream_record(id: u64) -> UpstreamRecord {
    UpstreamRecord {
        upstream: UpstreamId(id),
        zone: ZoneId(id / SERVERS_PER_CELL % ZONES),
        cell: CellId(id / SERVERS_PER_CELL),
        ring_position: ring_position(format!("s-{id:08x}").as_bytes()),
        machine_type: MachineTypeId(id % MACHINE_TYPES),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started_at: None,
    }
}

fn upstream_records(size: Size) -> Vec<UpstreamRecord> {
    (0..size.servers).map(upstream_record).collect()
}

/// The key of an attempt in flight. Orders attempts by the virtual time of their end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    at_us: u64,
    request: u64,
}

struct InFlightAttempt {
    upstream: UpstreamId,
    attempt: AttemptNo,
    latency: Millis,
    outcome: Outcome,
    /// Real time that the module has spent on the request so far.
    spent_ns: u64,
}

/// Real times that the module spends on requests.
struct RequestTimings {
    /// Choice of the upstream when a request arrives.
    decision: LatencyHistogram,
    /// The decision and the handling of the response, for requests with a single attempt.
    decision_and_response: LatencyHistogram,
    /// Handling of a failed attempt that is retried.
    retry: LatencyHistogram,
}

impl RequestTimings {
    fn new() -> RequestTimings {
        RequestTimings {
            decision: LatencyHistogram::new(),
            decision_and_response: LatencyHistogram::new(),
            retry: LatencyHistogram::new(),
        }
    }
}

/// Simulation of one module with servers that respond in time.
struct Simulation {
    balancer: Balancer,
    /// The virtual time.
    now: Millis,
    last_request_id: u64,
    rng: Rand64,
    in_flight: BTreeMap<AttemptEnd, InFlightAttempt>,
    /// The actions that the module returned for the last event.
    actions: Vec<Action>,
    /// Whether some requests fail their first attempt.
    inject_failures: bool,
}

impl Simulation {
    /// Creates a module that has received its server list.
    fn new(size: Size, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            balancer: Balancer::new(settings(size), seed),
            now: 0.0,
            last_request_id: 0,
            rng: Rand64::new(u128::from(seed)),
            in_flight: BTreeMap::new(),
            actions: Vec::new(),
            inject_failures: false,
        };
        simulation.handle_timed(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(upstream_records(size))));
        simulation
    }

    /// Passes an event to the module. Returns the real time that the module took, in nanoseconds.
    fn handle_timed(&mut self, event: Event) -> u64 {
        self.actions.clear();
        let start = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        start.elapsed().as_nanos() as u64
    }

    /// Draws a random load report.
    fn load_report(&mut self) -> LoadReport {
        LoadReport {
            in_flight: Some(1.0 + (5.0 * self.rng.rand_float()).floor()),
            utilisation: Some(0.3 + 0.3 * self.rng.rand_float()),
            ..LoadReport::default()
        }
    }

    /// Executes the module's actions after an event of a request: sends the attempt with the given number and answers
    /// probes. Returns whether an attempt was sent.
    fn execute_actions(&mut self, request: u64, attempt: u32, class: ClassId, spent_ns: u64) -> bool {
        let mut sent = false;
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { upstream, .. } => {
                    sent = true;
                    let fails = class == CELL_KEYED_CLASS && attempt == 0;
                    let latency = 10.0 + 30.0 * self.rng.rand_float();
                    let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                    let at_us = ((self.now + latency) * 1e3) as u64;
                    let attempt = AttemptNo(attempt);
                    self.in_flight.insert(
                        AttemptEnd { at_us, request },
                        InFlightAttempt { upstream, attempt, latency, outcome, spent_ns },
                    );
                }
                Action::Probe(upstream) => {
                    let report = Some(self.load_report());
                    self.handle_timed(Event::ProbeFinished { upstream, answered: true, report });
                }
                _ => {}
            }
        }
        sent
    }

    /// Simulates requests at a constant rate for a virtual duration.
    fn run_requests(&mut self, requests_per_s: f64, duration: Millis, timings: &mut RequestTimings) {
        let end = self.now + duration;
        let mut arrival = self.now;
        while arrival < end {
            arrival += 1_000.0 / requests_per_s;
            // First finish the attempts that end before the next arrival.
            while let Some(entry) =
                self.in_flight.first_entry().filter(|entry| entry.key().at_us as f64 <= arrival * 1e3)
            {
                let (AttemptEnd { at_us, request }, attempt) = entry.remove_entry();
                self.now = self.now.max(at_us as f64 / 1e3);
                self.finish_attempt(request, attempt, timings);
            }
            self.now = self.now.max(arrival);
            self.start_request(timings);
        }
    }

    /// Passes a new request to the module.
    fn start_request(&mut self, timings: &mut RequestTimings) {
        self.last_request_id += 1;
        let request = self.last_request_id;
        let class = if self.inject_failures && request.is_multiple_of(REQUESTS_PER_FAILURE) {
            CELL_KEYED_CLASS
        } else {
            IDEMPOTENT_CLASS
        };
        let event = Event::RequestArrived {
            request: RequestId(request),
            class,
            tenant: TenantId(0),
            time_left: 500.0,
            cost: None,
        };
        let spent_ns = self.handle_timed(event);
        timings.decision.record(spent_ns);
        self.execute_actions(request, 0, class, spent_ns);
    }

    /// Passes the result of an attempt to the module, which may retry a failed one.
    fn finish_attempt(&mut self, request: u64, finished: InFlightAttempt, timings: &mut RequestTimings) {
        let InFlightAttempt { upstream, attempt, latency, outcome, spent_ns } = finished;
        let report = Some(self.load_report());
        let finished = AttemptFinished {
            request: RequestId(request),
            attempt,
            upstream,
            outcome,
            latency,
            request_completed: outcome == Outcome::Ok,
            report,
        };
        let elapsed_ns = self.handle_timed(Event::AttemptFinished(finished));
        let retried = outcome != Outcome::Ok
            && self.execute_actions(request, attempt.0 + 1, CELL_KEYED_CLASS, spent_ns + elapsed_ns);
        if retried {
            timings.retry.record(elapsed_ns);
        } else if attempt == AttemptNo(0) && outcome == Outcome::Ok {
            timings.decision_and_response.record(spent_ns + elapsed_ns);
        }
    }
}

/// Performs one run at one size.
pub fn run(workload: &Workload, size: Size, seed: u64, results: &mut Vec<RunResult>) -> Result<()> {
    measure_requests(workload, size, seed, results);
    measure_updates(workload, size, seed, results);
    if workload.selects(MEMORY) {
        results.push(measure_memory(size)?);
    }
    Ok(())
}

/// Measures the handling of requests. The first requests of each simulation are not timed.
fn measure_requests(workload: &Workload, size: Size, seed: u64, results: &mut Vec<RunResult>) {
    let duration = workload.requests as f64 / MEAN_REQUESTS_PER_S * 1e3;
    if workload.selects(DECISION) || workload.selects(DECISION_AND_RESPONSE) {
        let mut simulation = Simulation::new(size, seed);
        simulation.run_requests(MEAN_REQUESTS_PER_S, WARM_UP_MS, &mut RequestTimings::new());
        let mut timings = RequestTimings::new();
        simulation.run_requests(MEAN_REQUESTS_PER_S, duration, &mut timings);
        let decision_and_response = timings.decision_and_response.run_result(DECISION_AND_RESPONSE, size);
        results.extend(decision_and_response.into_iter().chain(timings.decision.run_result(DECISION, size)));
    }
    if workload.selects(DECISION_AND_RESPONSE_BUSY) {
        let mut simulation = Simulation::new(size, seed);
        simulation.run_requests(BUSY_REQUESTS_PER_S, WARM_UP_MS, &mut RequestTimings::new());
        let mut timings = RequestTimings::new();
        simulation.run_requests(
            BUSY_REQUESTS_PER_S,
            duration * MEAN_REQUESTS_PER_S / BUSY_REQUESTS_PER_S,
            &mut timings,
        );
        results.extend(timings.decision_and_response.run_result(DECISION_AND_RESPONSE_BUSY, size));
    }
    if workload.selects(RETRY_IN_CELL) {
        let mut simulation = Simulation::new(size, seed);
        simulation.inject_failures = true;
        simulation.run_requests(MEAN_REQUESTS_PER_S, WARM_UP_MS, &mut RequestTimings::new());
        let mut timings = RequestTimings::new();
        simulation.run_requests(MEAN_REQUESTS_PER_S, 2.0 * duration, &mut timings);
        results.extend(timings.retry.run_result(RETRY_IN_CELL, size));
    }
}

/// Measures changes of the server list, snapshots and load reports.
fn measure_updates(workload: &Workload, size: Size, seed: u64, results: &mut Vec<RunResult>) {
    let change_names = [CHANGE_DRAIN, CHANGE_COLD_START, CHANGE_READY];
    if !change_names.iter().chain(&[SNAPSHOT, REPORT]).any(|name| workload.selects(name)) {
        return;
    }
    let mut simulation = Simulation::new(size, seed);
    simulation.run_requests(MEAN_REQUESTS_PER_S, WARM_UP_MS, &mut RequestTimings::new());
    // Each changed server drains, then starts cold, then is listed once more.
    let (mut drain, mut cold_start, mut ready) =
        (LatencyHistogram::new(), LatencyHistogram::new(), LatencyHistogram::new());
    for number in 0..workload.changes {
        let id = (number * UPDATE_STRIDE + seed) % size.servers;
        let apply_change =
            |simulation: &mut Simulation, record: UpstreamRecord, times: &mut LatencyHistogram| {
                simulation.now += UPDATE_INTERVAL_MS;
                times.record(
                    simulation.handle_timed(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(vec![record]))),
                );
            };
        apply_change(
            &mut simulation,
            UpstreamRecord { lifecycle: Lifecycle::Draining, ..upstream_record(id) },
            &mut drain,
        );
        let started_at = Some(simulation.now);
        apply_change(&mut simulation, UpstreamRecord { started_at, ..upstream_record(id) }, &mut cold_start);
        // The same record again: an update that changes nothing.
        apply_change(&mut simulation, UpstreamRecord { started_at, ..upstream_record(id) }, &mut ready);
    }
    for (name, times) in change_names.into_iter().zip([drain, cold_start, ready]) {
        results.extend(times.run_result(name, size).filter(|_| workload.selects(name)));
    }
    let mut snapshots = LatencyHistogram::new();
    for _ in 0..workload.changes {
        simulation.now += UPDATE_INTERVAL_MS;
        let event = Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(upstream_records(size)));
        snapshots.record(simulation.handle_timed(event));
    }
    results.extend(snapshots.run_result(SNAPSHOT, size).filter(|_| workload.selects(SNAPSHOT)));
    let mut reports = LatencyHistogram::new();
    for number in 0..REPORTS_PER_CHANGE * workload.changes {
        simulation.now += REPORT_INTERVAL_MS;
        let report = Some(simulation.load_report());
        let upstream = UpstreamId(number * UPDATE_STRIDE % size.servers);
        reports.record(simulation.handle_timed(Event::ProbeFinished { upstream, answered: true, report }));
    }
    results.extend(reports.run_result(REPORT, size).filter(|_| workload.selects(REPORT)));
}

/// Measures the memory of a module in a separate process, as pages freed by earlier work would distort the result.
fn measure_memory(size: Size) -> Result<RunResult> {
    let size_argument = format!("{}:{}", size.servers, size.sidecars);
    let output = Command::new(std::env::current_exe()?).args(["--memory-of", &size_argument]).output()?;
    if !output.status.success() {
        bail!("memory measurement failed: {}", output.status);
    }
    let value =
        String::from_utf8(output.stdout)?.trim().parse().context("memory measurement printed no number")?;
    Ok(RunResult { name: MEMORY, unit: "KiB", size, value, samples: None })
}

/// The mean resident memory of a module in this process, with its server list and after 1 s of requests, in KiB.
pub fn memory_kib(size: Size) -> Result<f64> {
    // Enough modules that partly used pages and the temporary list are negligible.
    let count = (60_000 / size.servers).clamp(12, 1_000);
    let create = |seed| {
        let mut simulation = Simulation::new(size, seed);
        simulation.run_requests(MEAN_REQUESTS_PER_S, 1_000.0, &mut RequestTimings::new());
        simulation
    };
    // Created before the memory is read, so that allocations made once per process do not count.
    let first = create(0);
    let before_kib = resident_kib()?;
    let simulations: Vec<Simulation> = (1..=count).map(create).collect();
    let after_kib = resident_kib()?;
    drop((first, simulations));
    Ok((after_kib - before_kib) / count as f64)
}

/// Resident memory of this process.
fn resident_kib() -> Result<f64> {
    super::proc::status_kib(std::process::id(), "VmRSS")
}
