//! Discrete-event simulation of a fleet: the decision modules of many sidecars send requests to modelled servers in
//! simulated time. Runs are deterministic for a given scenario.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;

/// When servers are replaced. Before that, sidecars learn the capacity of the old servers.
pub const REPLACEMENT_TIME: Millis = 6_000.0;
/// Requests that can wait at a server; further ones are rejected with [`Outcome::Rejected`].
const QUEUE_CAPACITY: usize = 50;
/// Time from the replacement of servers to the first restart of a sidecar.
const RESTART_DELAY: Millis = 500.0;
/// One-way delay between a sidecar and a server.
const NETWORK_DELAY: Millis = 0.3;
/// Time constant of the moving average of utilisation that servers report.
const UTILISATION_TIME_CONSTANT: Millis = 700.0;
/// Minimum delay until a sidecar learns of replaced servers.
const DISCOVERY_DELAY: Millis = 300.0;
/// Maximum random addition to [`DISCOVERY_DELAY`].
const DISCOVERY_SPREAD: Millis = 120.0;
/// Shortest interval between two load reports of a server.
const MIN_REPORT_INTERVAL: Millis = 320.0;
/// Maximum random addition to [`MIN_REPORT_INTERVAL`].
const REPORT_INTERVAL_SPREAD: Millis = 1_180.0;
/// Lowest age of a load report when responses first include it.
const MIN_REPORT_DELAY: Millis = 53.0;
/// Maximum random addition to [`MIN_REPORT_DELAY`].
const REPORT_DELAY_SPREAD: Millis = 377.0;
/// Servers per cell if [`Scenario::cell_size`] is zero.
const DEFAULT_CELL_SIZE: u64 = 10;
const ZONE_COUNT: u64 = 3;
/// Machine types differ in speed; each zone has servers of all types.
const MACHINE_TYPE_COUNT: u64 = 3;
/// Interval between the starts of the windows over which [`BudgetUse::mean_share`] is taken.
const WINDOW_STEP: Millis = 100.0;
/// Coefficient of variation of the work of requests.
const WORK_VARIATION: f64 = 1.5;
/// Odd multiplier that distributes consecutive numbers over the range of `u64`.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A class of requests in the simulation.
struct RequestClass {
    /// Mean work relative to the mean over all classes.
    relative_work: f64,
    latency_target: Millis,
    /// Time until the client stops waiting.
    time_left: Millis,
    /// Share of all requests.
    request_share: f64,
    idempotency: Idempotency,
}

const CLASSES: [RequestClass; 3] = [
    RequestClass {
        relative_work: 0.7,
        latency_target: 750.0,
        time_left: 1_500.0,
        request_share: 0.51,
        idempotency: Idempotency::Idempotent,
    },
    RequestClass {
        relative_work: 1.2,
        latency_target: 1_200.0,
        time_left: 4_000.0,
        request_share: 0.26,
        idempotency: Idempotency::NonIdempotent,
    },
    RequestClass {
        relative_work: 1.43,
        latency_target: 800.0,
        time_left: 1_500.0,
        request_share: 0.23,
        idempotency: Idempotency::Keyed { scope: DedupScope::Cell, window: 1_000.0 },
    },
];

/// A time in which the arrival rate of all sidecars is a multiple of the usual one.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    pub from: Millis,
    pub to: Millis,
    pub factor: f64,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub sidecars: usize,
    pub servers: u64,
    /// Servers that are replaced by cold ones at [`REPLACEMENT_TIME`].
    pub cold_servers: u64,
    /// Requests of mean work that a warm server can process per second.
    pub capacity_per_s: f64,
    /// Arrival rate of all sidecars together, as a share of the capacity of all servers when warm.
    pub load: f64,
    /// Whether one sidecar in ten gets six times the requests of the others.
    pub uneven_load: bool,
    /// Span over which all sidecars restart, one after another, beginning [`RESTART_DELAY`] after
    /// [`REPLACEMENT_TIME`]. `None` for no restarts.
    pub restart_span: Option<Millis>,
    /// Share of responses of old servers that are errors, from [`REPLACEMENT_TIME`] on.
    pub error_share: f64,
    /// Whether all requests are of the class that is deduplicated by key within a cell.
    pub keyed_only: bool,
    /// Servers per cell. If above zero, servers are replaced cell by cell, leaving one old server in each; if zero,
    /// cells have [`DEFAULT_CELL_SIZE`] servers and those to replace are drawn from all.
    pub cell_size: u64,
    /// Whether sidecars know their index in the fleet.
    pub sidecar_index_known: bool,
    /// Speed of one server in three relative to the standard; another one in three is slower by the same factor.
    pub speed_ratio: f64,
    /// Requests that a server processes concurrently.
    pub cores_per_server: usize,
    /// Factor on the latency targets of all classes.
    pub latency_target_factor: f64,
    /// Whether responses and answers to probes carry load reports. Without them, probes are not allowed.
    pub load_reports: bool,
    pub max_attempts: u32,
    pub burst: Option<Burst>,
    /// How often clients retry at once after a refusal or, if the request is idempotent, after a failure.
    pub client_retries: u32,
    /// Factor on the time that clients wait.
    pub client_timeout_factor: f64,
    /// When the simulation ends.
    pub end: Millis,
    pub seed: u64,
    pub cold_start: ColdStartLimits,
}

impl Scenario {
    /// The default fleet: cells of ten, uniform servers, and `cold_servers` of them, drawn from all, are replaced.
    pub fn new(sidecars: usize, servers: u64, cold_servers: u64, seed: u64) -> Scenario {
        Scenario {
            sidecars,
            servers,
            cold_servers,
            capacity_per_s: 70.0,
            load: 0.65,
            uneven_load: true,
            restart_span: None,
            error_share: 0.0,
            keyed_only: false,
            cell_size: 0,
            sidecar_index_known: true,
            speed_ratio: 1.0,
            cores_per_server: 2,
            latency_target_factor: 1.0,
            load_reports: true,
            max_attempts: 3,
            burst: None,
            client_retries: 0,
            client_timeout_factor: 1.0,
            end: REPLACEMENT_TIME + 10_000.0,
            seed,
            cold_start: ColdStartLimits {
                initial_capacity_fraction: 0.36,
                warm_up: 8_600.0,
                overload_multiple: 3.0,
                overload_duration: 3_000.0,
            },
        }
    }

    fn settings(&self, sidecar_index: usize) -> Settings {
        let class = |class: &RequestClass| Class {
            latency_target: class.latency_target * self.latency_target_factor,
            value: 1.0,
            late_value_fraction: 0.3,
            idempotency: class.idempotency,
        };
        Settings {
            classes: CLASSES.iter().map(class).collect(),
            tenants: Vec::new(),
            over_quota_value_fraction: 1.0,
            zone: ZoneId(sidecar_index as u64 % ZONE_COUNT),
            sidecar_count: self.sidecars as u32,
            sidecar_index: self.sidecar_index_known.then_some(sidecar_index as u32),
            zone_crossing_cost: 0.03,
            probe_cost: 0.01,
            reports_in_responses: self.load_reports,
            limits: Limits {
                max_attempts: self.max_attempts,
                allow_concurrent_attempts: true,
                allow_probes: self.load_reports,
                allow_cancellation: true,
                max_retry_after: 2_000.0,
                max_send_delay: 5.0,
            },
            cold_start: self.cold_start.clone(),
            discovery: DiscoveryMode::Push,
        }
    }

    /// The fraction of its full capacity that a server started at [`REPLACEMENT_TIME`] has.
    fn cold_capacity_fraction(&self, now: Millis) -> f64 {
        let ColdStartLimits { initial_capacity_fraction, warm_up, .. } = self.cold_start;
        (initial_capacity_fraction
            + (1.0 - initial_capacity_fraction) * (now - REPLACEMENT_TIME).max(0.0) / warm_up)
            .min(1.0)
    }

    /// Overload budget: the requests of mean work that a cold server of this relative speed may be sent in the window
    /// of `overload_duration` from `window_start`.
    pub fn budget(&self, window_start: Millis, speed: f64) -> f64 {
        self.cold_start.overload_multiple
            * self.cold_capacity_fraction(window_start)
            * self.capacity_per_s
            * speed
            * self.cold_start.overload_duration
            / 1_000.0
    }
}

/// The attempts sent to one cold server.
#[derive(Debug)]
pub struct ColdServerSends {
    /// Speed of the server relative to the standard.
    speed: f64,
    /// The times of all sends, in ascending order.
    send_times: Vec<Millis>,
}

/// Counts from a simulation.
#[derive(Debug, Default)]
pub struct SimulationResult {
    /// Cold servers by slot.
    pub cold_servers: BTreeMap<u64, ColdServerSends>,
    /// Requests that arrived during the warm-up of the cold servers.
    pub arrived: usize,
    /// Requests refused or failed during the warm-up.
    pub refused_or_failed: usize,
    /// Requests answered within their latency target during the warm-up.
    pub answered_in_time: usize,
    /// Attempts sent to warm servers during the warm-up.
    pub sent_to_warm: usize,
    /// Second and later attempts sent to cold servers.
    pub further_attempts: usize,
}

/// How much of their overload budget cold servers received.
#[derive(Debug, Clone, Copy)]
pub struct BudgetUse {
    /// The largest share of its budget that any server was sent in any window.
    pub max_share: f64,
    /// The mean share over all cold servers and windows.
    pub mean_share: f64,
    /// The largest share of `N + 2 sqrt(N) + 2`, where N is the budget: the limit that allows for random variation.
    pub max_share_of_limit: f64,
    /// The mean share over all cold servers in the first window.
    pub first_window_share: f64,
}

impl SimulationResult {
    /// Evaluates every window that begins during the warm-up. Maxima need only windows that end at a send: among the
    /// windows with the same last send, that one has the most sends and the smallest budget.
    pub fn budget_use(&self, scenario: &Scenario) -> BudgetUse {
        let window = scenario.cold_start.overload_duration;
        let mut used =
            BudgetUse { max_share: 0.0, mean_share: 0.0, max_share_of_limit: 0.0, first_window_share: 0.0 };
        let window_count = ((scenario.cold_start.warm_up - window) / WINDOW_STEP) as usize;
        for ColdServerSends { speed, send_times } in self.cold_servers.values() {
            let mut first = 0;
            for (last, &last_sent_at) in send_times.iter().enumerate() {
                while send_times[first] <= last_sent_at - window {
                    first += 1;
                }
                let begin = (last_sent_at - window).max(REPLACEMENT_TIME);
                if begin > REPLACEMENT_TIME + scenario.cold_start.warm_up {
                    break;
                }
                let (count, budget) = ((last - first + 1) as f64, scenario.budget(begin, *speed));
                used.max_share = used.max_share.max(count / budget);
                used.max_share_of_limit =
                    used.max_share_of_limit.max(count / (budget + 2.0 * budget.sqrt() + 2.0));
            }
            let contribution_to_mean = |begin: Millis| {
                send_times.iter().filter(|sent_at| (begin..begin + window).contains(*sent_at)).count() as f64
                    / scenario.budget(begin, *speed)
                    / self.cold_servers.len() as f64
            };
            used.first_window_share += contribution_to_mean(REPLACEMENT_TIME);
            used.mean_share += (0..window_count)
                .map(|index| contribution_to_mean(REPLACEMENT_TIME + WINDOW_STEP * index as f64))
                .sum::<f64>()
                / window_count as f64;
        }
        used
    }

    /// Sends to all cold servers together in each of the first three seconds after [`REPLACEMENT_TIME`].
    pub fn sends_by_second(&self) -> [usize; 3] {
        [0.0, 1.0, 2.0].map(|second| {
            let from = REPLACEMENT_TIME + 1_000.0 * second;
            let within = |at: &&Millis| (from..from + 1_000.0).contains(*at);
            self.cold_servers.values().map(|server| server.send_times.iter().filter(within).count()).sum()
        })
    }

    pub fn refused_or_failed_share(&self) -> f64 {
        self.refused_or_failed as f64 / self.arrived as f64
    }
}

/// An attempt as a server processes it.
struct Job {
    sidecar: usize,
    /// The incarnation of the sidecar that sent it.
    incarnation: u32,
    request: RequestId,
    attempt: AttemptNo,
    /// Processing time on a warm server of speed 1.
    work: Millis,
}

struct Server {
    record: UpstreamRecord,
    /// Relative to the standard server.
    speed: f64,
    /// Started at [`REPLACEMENT_TIME`].
    cold: bool,
    cores: usize,
    sends_reports: bool,
    /// Jobs in processing.
    active_jobs: usize,
    queue: VecDeque<Job>,
    /// Moving average of the utilisation.
    utilisation: f64,
    /// Time of the last update of the average.
    updated_at: Millis,
    report_interval: Millis,
    /// Age at which a report is first included in responses and answers to probes.
    report_delay: Millis,
    next_report_at: Millis,
    /// The report that responses include now or next, and all later ones; oldest first.
    reports: VecDeque<TimedReport>,
}

struct TimedReport {
    created_at: Millis,
    report: LoadReport,
}

impl Server {
    /// Advances the average and the reports to this time. The load must not have changed since the last call.
    fn advance_to(&mut self, now: Millis) {
        while self.next_report_at <= now {
            let at = self.next_report_at;
            self.update_utilisation(at);
            let report = LoadReport {
                in_flight: Some((self.active_jobs + self.queue.len()) as f64),
                utilisation: Some(self.utilisation),
                ..LoadReport::default()
            };
            self.reports.push_back(TimedReport { created_at: at, report });
            self.next_report_at += self.report_interval;
        }
        self.update_utilisation(now);
        while self.reports.len() > 1 && self.reports[1].created_at + self.report_delay <= now {
            self.reports.pop_front();
        }
    }

    fn update_utilisation(&mut self, now: Millis) {
        let weight = 1.0 - (-(now - self.updated_at) / UTILISATION_TIME_CONSTANT).exp();
        self.utilisation += weight * (self.active_jobs as f64 / self.cores as f64 - self.utilisation);
        self.updated_at = now;
    }

    /// The report that a response sent now includes.
    fn report(&self, now: Millis) -> Option<LoadReport> {
        self.reports
            .front()
            .filter(|timed| self.sends_reports && timed.created_at + self.report_delay <= now)
            .map(|timed| timed.report)
    }
}

struct Sidecar {
    balancer: Balancer,
    /// Number of restarts so far.
    incarnation: u32,
    arrivals_per_s: f64,
    in_flight: BTreeMap<AttemptKey, AttemptInFlight>,
    /// Requests that have not ended.
    open_requests: BTreeMap<RequestId, OpenRequest>,
}

/// Identifies an attempt within its sidecar.
type AttemptKey = (RequestId, AttemptNo);

struct AttemptInFlight {
    /// Id of the server.
    server: u64,
    sent_at: Millis,
}

#[derive(Clone, Copy)]
struct OpenRequest {
    /// Index into [`CLASSES`].
    class: usize,
    arrived_at: Millis,
    /// Processing time on a warm server of speed 1.
    work: Millis,
    /// Number of attempts sent so far.
    attempts: u32,
    /// Number of retries that its client has left.
    client_retries_left: u32,
}

enum SimulationEvent {
    RequestArrives,
    /// A client retries a request that was refused or has failed.
    ClientRetries(OpenRequest),
    /// An attempt reaches a server.
    JobArrives {
        server: u64,
        job: Job,
    },
    JobCompletes {
        server: u64,
        job: Job,
    },
    /// A sidecar learns how an attempt ended.
    AttemptEnds {
        key: AttemptKey,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A sidecar receives the answer to a probe.
    ProbeAnswered {
        server: u64,
        report: Option<LoadReport>,
    },
    /// A timer of a sidecar fires.
    TimerFires {
        token: u64,
    },
    /// A sidecar learns of the replaced servers.
    ServersReplaced,
    SidecarRestarts,
}

struct ScheduledEvent {
    /// Index of the sidecar that the event concerns.
    sidecar: usize,
    /// The incarnation of the sidecar when the event was scheduled.
    incarnation: u32,
    event: SimulationEvent,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Rand64,
    now: Millis,
    sidecars: Vec<Sidecar>,
    servers: BTreeMap<u64, Server>,
    /// Scheduled events: time in microseconds, id. Events of the same time are processed in the order of their ids.
    schedule: BinaryHeap<Reverse<(u64, usize)>>,
    /// Scheduled events by id.
    events: BTreeMap<usize, ScheduledEvent>,
    /// The next id of an event. Also used as the next id of a request.
    next_id: usize,
    result: SimulationResult,
}

/// Offset of the ids of new servers; an old server has the number of its slot as id.
const NEW_SERVER_ID_OFFSET: u64 = 10_000;

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> SimulationResult {
    let mut simulation = Simulation {
        scenario,
        rng: Rand64::new(u128::from(scenario.seed) + 77),
        now: 0.0,
        sidecars: Vec::new(),
        servers: BTreeMap::new(),
        schedule: BinaryHeap::new(),
        events: BTreeMap::new(),
        next_id: 0,
        result: SimulationResult::default(),
    };
    simulation.set_up();
    while let Some(Reverse((at_us, id))) = simulation.schedule.pop() {
        simulation.now = at_us as f64 / 1_000.0;
        if simulation.now > scenario.end {
            break;
        }
        let scheduled = simulation.events.remove(&id).expect("an event is scheduled once");
        simulation.process(scheduled);
    }
    // Cold servers that were sent nothing count as well.
    for server in simulation.servers.values().filter(|server| server.cold) {
        simulation
            .result
            .cold_servers
            .entry(server.record.upstream.0 - NEW_SERVER_ID_OFFSET)
            .or_insert(ColdServerSends { speed: server.speed, send_times: Vec::new() })
            .speed = server.speed;
    }
    simulation.result
}

impl Simulation<'_> {
    fn set_up(&mut self) {
        let scenario = self.scenario;
        for slot in 0..scenario.servers {
            self.add_server(slot, false);
        }
        let weight = |sidecar: usize| if scenario.uneven_load && sidecar % 10 == 3 { 6.0 } else { 1.0 };
        let total_weight: f64 = (0..scenario.sidecars).map(weight).sum();
        for sidecar in 0..scenario.sidecars {
            let arrivals_per_s =
                scenario.load * scenario.capacity_per_s * scenario.servers as f64 * weight(sidecar)
                    / total_weight;
            let balancer =
                Balancer::new(scenario.settings(sidecar), scenario.seed.wrapping_mul(1_000) + sidecar as u64);
            self.sidecars.push(Sidecar {
                balancer,
                incarnation: 0,
                arrivals_per_s,
                in_flight: BTreeMap::new(),
                open_requests: BTreeMap::new(),
            });
            let list = self.server_list(false);
            self.handle_event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            self.schedule_next_arrival(sidecar);
            let discovered_at = REPLACEMENT_TIME + DISCOVERY_DELAY + DISCOVERY_SPREAD * self.rng.rand_float();
            if scenario.cold_servers > 0 {
                self.schedule_at(discovered_at, sidecar, SimulationEvent::ServersReplaced);
            }
            if let Some(span) = scenario.restart_span {
                // The golden ratio spreads restarts evenly, out of the order of indices.
                let position = (sidecar as f64 * 0.618_033_988_749_894_9).fract();
                self.schedule_at(
                    REPLACEMENT_TIME + RESTART_DELAY + span * position,
                    sidecar,
                    SimulationEvent::SidecarRestarts,
                );
            }
        }
    }

    /// The slots whose servers are replaced: in pseudo-random order, or cell by cell with one server of each cell kept.
    fn replaced_slots(&self) -> Vec<u64> {
        let (servers, cold) = (self.scenario.servers, self.scenario.cold_servers as usize);
        let mut slots: Vec<u64> = (0..servers).collect();
        if self.scenario.cell_size > 0 {
            slots.retain(|slot| !(slot / ZONE_COUNT).is_multiple_of(self.scenario.cell_size));
            slots.sort_by_key(|slot| self.cell(*slot));
        } else {
            slots.sort_by_key(|slot| (slot + 1).wrapping_mul(HASH_MULTIPLIER) >> 7);
        }
        // Replacing all servers overrides keeping one per cell.
        if cold as u64 == servers { (0..servers).collect() } else { slots.into_iter().take(cold).collect() }
    }

    /// The cell of a slot. Consecutive slots are in different zones.
    fn cell(&self, slot: u64) -> u64 {
        let size = if self.scenario.cell_size > 0 { self.scenario.cell_size } else { DEFAULT_CELL_SIZE };
        slot % ZONE_COUNT + ZONE_COUNT * (slot / ZONE_COUNT / size)
    }

    fn add_server(&mut self, slot: u64, cold: bool) {
        let id = if cold { NEW_SERVER_ID_OFFSET + slot } else { slot };
        let speed = [1.0, self.scenario.speed_ratio, 1.0 / self.scenario.speed_ratio]
            [(slot / ZONE_COUNT % MACHINE_TYPE_COUNT) as usize];
        let record = UpstreamRecord {
            upstream: UpstreamId(id),
            zone: ZoneId(slot % ZONE_COUNT),
            cell: CellId(self.cell(slot)),
            ring_position: (id + 1).wrapping_mul(HASH_MULTIPLIER),
            machine_type: MachineTypeId(slot / ZONE_COUNT % MACHINE_TYPE_COUNT),
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at: cold.then_some(REPLACEMENT_TIME),
        };
        let (report_interval, report_delay) = (
            MIN_REPORT_INTERVAL + REPORT_INTERVAL_SPREAD * self.rng.rand_float(),
            MIN_REPORT_DELAY + REPORT_DELAY_SPREAD * self.rng.rand_float(),
        );
        let server = Server {
            record,
            speed,
            cold,
            cores: self.scenario.cores_per_server,
            sends_reports: self.scenario.load_reports,
            active_jobs: 0,
            queue: VecDeque::new(),
            utilisation: 0.0,
            updated_at: self.now,
            report_interval,
            report_delay,
            next_report_at: self.now + report_interval,
            reports: VecDeque::new(),
        };
        self.servers.insert(id, server);
    }

    /// The complete server list, before or after the replacement. Starts the new servers on the first use after it.
    fn server_list(&mut self, after_replacement: bool) -> Vec<UpstreamRecord> {
        let replaced = if after_replacement { self.replaced_slots() } else { Vec::new() };
        for &slot in &replaced {
            if !self.servers.contains_key(&(NEW_SERVER_ID_OFFSET + slot)) {
                self.add_server(slot, true);
            }
        }
        let id = |slot: u64| if replaced.contains(&slot) { NEW_SERVER_ID_OFFSET + slot } else { slot };
        (0..self.scenario.servers).map(|slot| self.servers[&id(slot)].record.clone()).collect()
    }

    /// Schedules an event for a sidecar in its current incarnation.
    fn schedule_at(&mut self, at: Millis, sidecar: usize, event: SimulationEvent) {
        let incarnation = self.sidecars.get(sidecar).map_or(0, |sidecar| sidecar.incarnation);
        self.schedule.push(Reverse(((at * 1_000.0) as u64, self.next_id)));
        self.events.insert(self.next_id, ScheduledEvent { sidecar, incarnation, event });
        self.next_id += 1;
    }

    fn schedule_next_arrival(&mut self, sidecar: usize) {
        let burst = self.scenario.burst.filter(|burst| (burst.from..burst.to).contains(&self.now));
        let arrivals_per_s = self.sidecars[sidecar].arrivals_per_s * burst.map_or(1.0, |burst| burst.factor);
        let interval = -(1.0 - self.rng.rand_float()).ln() * 1_000.0 / arrivals_per_s;
        self.schedule_at(self.now + interval, sidecar, SimulationEvent::RequestArrives);
    }

    fn process(&mut self, ScheduledEvent { sidecar, incarnation, event }: ScheduledEvent) {
        // Servers finish the jobs of a sidecar that has restarted, but the new process is not told.
        let stale = incarnation != self.sidecars[sidecar].incarnation;
        match event {
            SimulationEvent::RequestArrives => self.request_arrives(sidecar),
            SimulationEvent::ClientRetries(request) => self.open_request(sidecar, request),
            SimulationEvent::JobArrives { server, job } => self.job_arrives(server, job),
            SimulationEvent::JobCompletes { server, job } => self.job_completes(server, job),
            SimulationEvent::AttemptEnds { key, outcome, report } if !stale => {
                self.attempt_ends(sidecar, key, outcome, report)
            }
            SimulationEvent::ProbeAnswered { server, report } if !stale => {
                let upstream = UpstreamId(server);
                self.handle_event(
                    sidecar,
                    Event::ProbeFinished { upstream, answered: report.is_some(), report },
                );
            }
            SimulationEvent::TimerFires { token } if !stale => {
                self.handle_event(sidecar, Event::TimerFired(token))
            }
            SimulationEvent::ServersReplaced => {
                let list = self.server_list(true);
                self.handle_event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            SimulationEvent::SidecarRestarts => {
                let seed = self.scenario.seed.wrapping_mul(1_000) + (self.scenario.sidecars + sidecar) as u64;
                let this = &mut self.sidecars[sidecar];
                this.balancer = Balancer::new(self.scenario.settings(sidecar), seed);
                this.incarnation += 1;
                this.in_flight.clear();
                this.open_requests.clear();
                let list = self.server_list(true);
                self.handle_event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(list.clone())));
                self.handle_event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            SimulationEvent::AttemptEnds { .. }
            | SimulationEvent::ProbeAnswered { .. }
            | SimulationEvent::TimerFires { .. } => {}
        }
    }

    fn request_arrives(&mut self, sidecar: usize) {
        self.schedule_next_arrival(sidecar);
        let (mut class, mut position) = (CLASSES.len() - 1, self.rng.rand_float());
        if !self.scenario.keyed_only {
            class = 0;
            while class + 1 < CLASSES.len() && position > CLASSES[class].request_share {
                position -= CLASSES[class].request_share;
                class += 1;
            }
        }
        let relative_work = if self.scenario.keyed_only { 1.0 } else { CLASSES[class].relative_work };
        // A log-normal factor with a mean of 1.
        let variance = f64::ln(1.0 + WORK_VARIATION * WORK_VARIATION);
        let normal = (-2.0 * (1.0 - self.rng.rand_float()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.rand_float()).cos();
        let factor = (variance.sqrt() * normal - variance / 2.0).exp();
        let work = self.scenario.cores_per_server as f64 * 1_000.0 / self.scenario.capacity_per_s
            * relative_work
            * factor;
        let client_retries_left = self.scenario.client_retries;
        self.open_request(
            sidecar,
            OpenRequest { class, arrived_at: self.now, work, attempts: 0, client_retries_left },
        );
    }

    /// Passes a request to a sidecar.
    fn open_request(&mut self, sidecar: usize, open_request: OpenRequest) {
        let request = RequestId(self.next_id as u64);
        self.next_id += 1;
        let class = open_request.class;
        self.sidecars[sidecar].open_requests.insert(request, open_request);
        self.result.arrived += usize::from(self.in_warm_up());
        let event = Event::RequestArrived {
            request,
            class: ClassId(class),
            tenant: TenantId(0),
            time_left: CLASSES[class].time_left * self.scenario.client_timeout_factor,
            cost: None,
        };
        self.handle_event(sidecar, event);
    }

    /// Ends a request that was refused or has failed. Its client may retry it.
    fn end_without_response(&mut self, sidecar: usize, request: RequestId, safe_to_retry: bool) {
        self.result.refused_or_failed += usize::from(self.in_warm_up());
        let Some(ended) = self.sidecars[sidecar].open_requests.remove(&request) else { return };
        let idempotent = CLASSES[ended.class].idempotency == Idempotency::Idempotent;
        if ended.client_retries_left > 0 && (safe_to_retry || idempotent) {
            let client_retries_left = ended.client_retries_left - 1;
            let retry = OpenRequest { arrived_at: self.now, attempts: 0, client_retries_left, ..ended };
            self.schedule_at(self.now, sidecar, SimulationEvent::ClientRetries(retry));
        }
    }

    fn in_warm_up(&self) -> bool {
        (REPLACEMENT_TIME..REPLACEMENT_TIME + self.scenario.cold_start.warm_up).contains(&self.now)
    }

    /// Passes an event to a sidecar and carries out the resulting actions.
    fn handle_event(&mut self, sidecar: usize, event: Event) {
        let mut actions = Vec::new();
        self.sidecars[sidecar].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    self.send_attempt(sidecar, request, upstream.0, timeout);
                }
                Action::Cancel { request, attempt } => {
                    let key = (request, attempt);
                    self.schedule_at(
                        self.now,
                        sidecar,
                        SimulationEvent::AttemptEnds { key, outcome: Outcome::Cancelled, report: None },
                    );
                }
                Action::Refuse { request, .. } => self.end_without_response(sidecar, request, true),
                Action::Fail(request) => self.end_without_response(sidecar, request, false),
                Action::Probe(upstream) => {
                    let server = self.servers.get_mut(&upstream.0).expect("the upstream is listed");
                    server.advance_to(self.now);
                    let (server, report) = (upstream.0, server.report(self.now));
                    self.schedule_at(
                        self.now + 2.0 * NETWORK_DELAY,
                        sidecar,
                        SimulationEvent::ProbeAnswered { server, report },
                    );
                }
                Action::SetTimer { at, token } => {
                    self.schedule_at(at, sidecar, SimulationEvent::TimerFires { token })
                }
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send_attempt(&mut self, sidecar: usize, request: RequestId, server: u64, timeout: Millis) {
        let this = &mut self.sidecars[sidecar];
        let open_request = this.open_requests.get_mut(&request).expect("only open requests are sent");
        let (work, attempt) = (open_request.work, AttemptNo(open_request.attempts));
        open_request.attempts += 1;
        let (key, incarnation) = ((request, attempt), this.incarnation);
        this.in_flight.insert(key, AttemptInFlight { server, sent_at: self.now });
        let target = &self.servers[&server];
        if target.cold {
            let cold_server = self
                .result
                .cold_servers
                .entry(server - NEW_SERVER_ID_OFFSET)
                .or_insert(ColdServerSends { speed: target.speed, send_times: Vec::new() });
            cold_server.send_times.push(self.now);
            self.result.further_attempts += usize::from(attempt.0 > 0);
        } else {
            self.result.sent_to_warm += usize::from(self.in_warm_up());
        }
        let job = Job { sidecar, incarnation, request, attempt, work };
        self.schedule_at(self.now + NETWORK_DELAY, sidecar, SimulationEvent::JobArrives { server, job });
        self.schedule_at(
            self.now + timeout,
            sidecar,
            SimulationEvent::AttemptEnds { key, outcome: Outcome::TimedOut, report: None },
        );
    }

    fn job_arrives(&mut self, server: u64, job: Job) {
        let now = self.now;
        let this = self.servers.get_mut(&server).expect("the server exists");
        this.advance_to(now);
        if this.active_jobs == this.cores && this.queue.len() >= QUEUE_CAPACITY {
            let report = this.report(now);
            return self.respond(job, Outcome::Rejected, report);
        }
        this.queue.push_back(job);
        self.start_jobs(server);
    }

    /// Starts queued jobs while cores are free.
    fn start_jobs(&mut self, server: u64) {
        let cold_capacity_fraction = self.scenario.cold_capacity_fraction(self.now);
        loop {
            let this = self.servers.get_mut(&server).expect("the server exists");
            if this.active_jobs == this.cores {
                return;
            }
            let Some(job) = this.queue.pop_front() else { return };
            this.active_jobs += 1;
            let duration = job.work / this.speed / if this.cold { cold_capacity_fraction } else { 1.0 };
            let sidecar = job.sidecar;
            self.schedule_at(self.now + duration, sidecar, SimulationEvent::JobCompletes { server, job });
        }
    }

    fn job_completes(&mut self, server: u64, job: Job) {
        let now = self.now;
        let this = self.servers.get_mut(&server).expect("the server exists");
        this.advance_to(now);
        this.active_jobs -= 1;
        let (report, cold) = (this.report(now), this.cold);
        let fails = !cold && now >= REPLACEMENT_TIME && self.rng.rand_float() < self.scenario.error_share;
        self.start_jobs(server);
        self.respond(job, if fails { Outcome::Error } else { Outcome::Ok }, report);
    }

    fn respond(&mut self, job: Job, outcome: Outcome, report: Option<LoadReport>) {
        let key = (job.request, job.attempt);
        if self.sidecars[job.sidecar].incarnation == job.incarnation {
            self.schedule_at(
                self.now + NETWORK_DELAY,
                job.sidecar,
                SimulationEvent::AttemptEnds { key, outcome, report },
            );
        }
    }

    /// Ends an attempt. Only its first outcome counts: a response after the timeout is ignored.
    fn attempt_ends(
        &mut self,
        sidecar: usize,
        (request, attempt): AttemptKey,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let this = &mut self.sidecars[sidecar];
        let Some(AttemptInFlight { server, sent_at }) = this.in_flight.remove(&(request, attempt)) else {
            return;
        };
        let request_completed = outcome == Outcome::Ok;
        if let Some(OpenRequest { class, arrived_at, .. }) =
            this.open_requests.get(&request).copied().filter(|_| request_completed)
        {
            let in_time =
                self.now - arrived_at <= CLASSES[class].latency_target * self.scenario.latency_target_factor;
            self.result.answered_in_time += usize::from(in_time && self.in_warm_up());
            self.sidecars[sidecar].open_requests.remove(&request);
        }
        let (upstream, latency) = (UpstreamId(server), self.now - sent_at);
        let finished =
            AttemptFinished { request, attempt, upstream, outcome, latency, request_completed, report };
        self.handle_event(sidecar, Event::AttemptFinished(finished));
    }
}
