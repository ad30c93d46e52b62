//! Discrete-event simulation of a fleet: many decision modules send to modelled servers in simulated time. Runs are
//! deterministic for a given scenario.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;

/// When servers are replaced. Modules learn the capacity of the old servers before that.
pub const REPLACEMENT_TIME: Millis = 6_000.0;
/// Requests that can wait at a server; further ones are rejected with [`Outcome::Rejected`].
const QUEUE_CAPACITY: usize = 50;
/// One-way delay between a module and a server.
const NETWORK_DELAY: Millis = 0.3;
/// Time constant of the moving average of utilisation that servers report.
const UTILISATION_TIME_CONSTANT: Millis = 700.0;
/// Delay until the first module learns of new servers, and the span within which all others do.
const DISCOVERY_DELAY_AND_SPREAD: [Millis; 2] = [300.0, 120.0];
/// Each class: work relative to the mean request, aim, deadline, share of all requests, effect.
const CLASSES: [(f64, Millis, Millis, f64, Idempotency); 3] = [
    (0.7, 750.0, 1_500.0, 0.51, Idempotency::Idempotent),
    (1.2, 1_200.0, 4_000.0, 0.26, Idempotency::NonIdempotent),
    (1.43, 800.0, 1_500.0, 0.23, Idempotency::Keyed { scope: DedupScope::Cell, window: 1_000.0 }),
];

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub modules: usize,
    pub servers: u64,
    /// Servers that are replaced by cold ones at [`REPLACEMENT_TIME`].
    pub cold_servers: u64,
    /// Requests of mean work that a warm server can process per second.
    pub capacity_per_s: f64,
    /// Arrival rate as a share of the capacity of all servers when warm.
    pub load: f64,
    /// Whether one module in ten gets six times the requests of the others.
    pub uneven_load: bool,
    /// Span over which all modules restart, one after another, beginning 500 ms after [`REPLACEMENT_TIME`]. `None` for
    /// no restarts.
    pub restart_span: Option<Millis>,
    /// Share of responses of old servers that are errors, from [`REPLACEMENT_TIME`] on.
    pub error_share: f64,
    /// Whether all requests are of the class that is deduplicated by key within a cell.
    pub keyed_only: bool,
    /// Servers per cell. If above zero, servers are replaced cell by cell, leaving one old server in each; if zero,
    /// cells have ten servers and those to replace are drawn from all.
    pub cell_size: u64,
    /// Whether modules know their rank.
    pub rank_known: bool,
    /// Speed of one server in three relative to the standard; another one in three is slower by the same factor.
    pub speed_ratio: f64,
    /// Requests that a server processes concurrently.
    pub cores_per_server: usize,
    /// Factor on the aims of all classes.
    pub aim_factor: f64,
    /// Whether responses and answers to probes carry load reports.
    pub load_reports: bool,
    /// When the simulation ends.
    pub end: Millis,
    pub seed: u64,
    pub cold_start: ColdStartLimits,
}

impl Scenario {
    /// The default fleet: three zones, cells of ten, uniform servers, replaced servers drawn from all.
    pub fn new(modules: usize, servers: u64, cold_servers: u64, seed: u64) -> Scenario {
        Scenario {
            modules,
            servers,
            cold_servers,
            capacity_per_s: 70.0,
            load: 0.65,
            uneven_load: true,
            restart_span: None,
            error_share: 0.0,
            keyed_only: false,
            cell_size: 0,
            rank_known: true,
            speed_ratio: 1.0,
            cores_per_server: 2,
            aim_factor: 1.0,
            load_reports: true,
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

    fn settings(&self, rank: usize) -> Settings {
        let class = |&(_, aim, _, _, effect): &_| Class {
            latency_target: aim * self.aim_factor,
            value: 1.0,
            late_value_fraction: 0.3,
            idempotency: effect,
        };
        Settings {
            classes: CLASSES.iter().map(class).collect(),
            tenants: Vec::new(),
            over_quota_value_fraction: 1.0,
            zone: ZoneId(rank as u64 % 3),
            sidecar_count: self.modules as u32,
            sidecar_index: self.rank_known.then_some(rank as u32),
            zone_crossing_cost: 0.03,
            probe_cost: 0.01,
            reports_in_responses: true,
            limits: Limits {
                max_attempts: 3,
                allow_concurrent_attempts: true,
                allow_probes: true,
                allow_cancellation: true,
                max_retry_after: 2_000.0,
                max_send_delay: 5.0,
            },
            cold_start: self.cold_start.clone(),
            discovery: DiscoveryMode::Push,
        }
    }

    /// Capacity of a server started at [`REPLACEMENT_TIME`], relative to its warm capacity.
    fn capacity_share(&self, now: Millis) -> f64 {
        let ColdStartLimits { initial_capacity_fraction, warm_up, .. } = self.cold_start;
        (initial_capacity_fraction
            + (1.0 - initial_capacity_fraction) * (now - REPLACEMENT_TIME).max(0.0) / warm_up)
            .min(1.0)
    }

    /// Requests of mean work that a cold server of this relative speed may be sent in the window from `window_start`.
    pub fn budget(&self, window_start: Millis, speed: f64) -> f64 {
        self.cold_start.overload_multiple
            * self.capacity_share(window_start)
            * self.capacity_per_s
            * speed
            * self.cold_start.overload_duration
            / 1_000.0
    }
}

/// Counts from a simulation.
#[derive(Debug, Default)]
pub struct SimulationResult {
    /// Cold servers by slot: relative speed, and the times of all sends to them.
    pub cold_servers: BTreeMap<u64, (f64, Vec<Millis>)>,
    /// Requests that arrived during the warm-up of the cold servers.
    pub arrived: usize,
    /// Requests refused or failed during the warm-up.
    pub refused: usize,
    /// Requests answered within their aim during the warm-up.
    pub answered_in_time: usize,
    /// Attempts sent to warm servers during the warm-up.
    pub sent_to_warm: usize,
    /// Second and later attempts sent to cold servers.
    pub further_attempts: usize,
}

/// How much of their send budget cold servers received.
#[derive(Debug, Clone, Copy)]
pub struct BudgetUse {
    /// The largest share of its budget that any server was sent in any window.
    pub max_share: f64,
    /// The mean share over all cold servers and windows.
    pub mean_share: f64,
    /// The largest share of `N + 2 sqrt(N) + 2`, where N is the budget. At 1 a server may be overloaded.
    pub max_share_of_limit: f64,
    /// The mean share in the first window.
    pub first_window_share: f64,
}

impl SimulationResult {
    /// Evaluates every window that begins during the warm-up. Maxima need only windows that end at a send: among the
    /// windows with the same last send, that one has the most sends and the smallest budget.
    pub fn budget_use(&self, scenario: &Scenario) -> BudgetUse {
        let window = scenario.cold_start.overload_duration;
        let mut used =
            BudgetUse { max_share: 0.0, mean_share: 0.0, max_share_of_limit: 0.0, first_window_share: 0.0 };
        let window_count = ((scenario.cold_start.warm_up - window) / 100.0) as usize;
        for (speed, sends) in self.cold_servers.values() {
            let mut first = 0;
            for (last, &at) in sends.iter().enumerate() {
                while sends[first] <= at - window {
                    first += 1;
                }
                let begin = (at - window).max(REPLACEMENT_TIME);
                if begin > REPLACEMENT_TIME + scenario.cold_start.warm_up {
                    break;
                }
                let (count, budget) = ((last - first + 1) as f64, scenario.budget(begin, *speed));
                used.max_share = used.max_share.max(count / budget);
                used.max_share_of_limit =
                    used.max_share_of_limit.max(count / (budget + 2.0 * budget.sqrt() + 2.0));
            }
            let contribution_to_mean = |begin: Millis| {
                sends.iter().filter(|sent| (begin..begin + window).contains(*sent)).count() as f64
                    / scenario.budget(begin, *speed)
                    / self.cold_servers.len() as f64
            };
            used.first_window_share += contribution_to_mean(REPLACEMENT_TIME);
            used.mean_share += (0..window_count)
                .map(|index| contribution_to_mean(REPLACEMENT_TIME + 100.0 * index as f64))
                .sum::<f64>()
                / window_count as f64;
        }
        used
    }

    /// Sends to all cold servers together in the first, second and third second.
    pub fn sends_by_second(&self) -> [usize; 3] {
        [0.0, 1.0, 2.0].map(|second| {
            let from = REPLACEMENT_TIME + 1_000.0 * second;
            let within = |at: &&Millis| (from..from + 1_000.0).contains(*at);
            self.cold_servers.values().map(|(_, sends)| sends.iter().filter(within).count()).sum()
        })
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.arrived as f64
    }
}

/// An attempt as a server processes it.
struct Job {
    module: usize,
    /// The incarnation of the module that sent it.
    incarnation: u32,
    request: RequestId,
    attempt: AttemptNo,
    /// Processing time on a warm server of speed 1.
    work: Millis,
}

struct Server {
    listing: UpstreamRecord,
    /// Relative to the standard server.
    speed: f64,
    cold: bool,
    cores: usize,
    sends_reports: bool,
    /// Jobs in processing.
    active_jobs: usize,
    queue: VecDeque<Job>,
    utilisation: f64,
    updated_at: Millis,
    report_interval: Millis,
    /// Time until a new report is included in responses.
    report_delay: Millis,
    next_report_at: Millis,
    /// Reports with the time each was made, oldest first.
    reports: VecDeque<(Millis, LoadReport)>,
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
            self.reports.push_back((at, report));
            self.next_report_at += self.report_interval;
        }
        self.update_utilisation(now);
        while self.reports.len() > 1 && self.reports[1].0 + self.report_delay <= now {
            self.reports.pop_front();
        }
    }

    fn update_utilisation(&mut self, now: Millis) {
        let weight = 1.0 - (-(now - self.updated_at) / UTILISATION_TIME_CONSTANT).exp();
        self.utilisation += weight * (self.active_jobs as f64 / self.cores as f64 - self.utilisation);
        self.updated_at = now;
    }

    fn report(&self, now: Millis) -> Option<LoadReport> {
        self.reports
            .front()
            .filter(|(at, _)| self.sends_reports && at + self.report_delay <= now)
            .map(|(_, report)| *report)
    }
}

struct Module {
    balancer: Balancer,
    /// Number of restarts so far.
    incarnation: u32,
    arrivals_per_s: f64,
    /// Attempts in flight: id of the server, time of the send.
    in_flight: BTreeMap<(RequestId, AttemptNo), (u64, Millis)>,
    /// Requests that have not ended: class, time of arrival, work, number of attempts.
    open_requests: BTreeMap<RequestId, (usize, Millis, f64, u32)>,
}

enum SimulationEvent {
    RequestArrives,
    /// An attempt reaches a server.
    JobArrives {
        server: u64,
        job: Job,
    },
    JobCompletes {
        server: u64,
        job: Job,
    },
    /// A module learns how an attempt ended.
    AttemptEnds {
        key: (RequestId, AttemptNo),
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// A module receives the answer to a probe.
    ProbeAnswered {
        server: u64,
        report: Option<LoadReport>,
    },
    /// A timer of a module fires.
    TimerFires {
        token: u64,
    },
    /// A module learns of the replaced servers.
    ServersReplaced,
    ModuleRestarts,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Rand64,
    now: Millis,
    modules: Vec<Module>,
    servers: BTreeMap<u64, Server>,
    /// Scheduled events: time in microseconds, id. Events of the same time are processed in the order of their ids.
    schedule: BinaryHeap<Reverse<(u64, usize)>>,
    /// Scheduled events by id: module, its incarnation when the event was scheduled, event.
    events: BTreeMap<usize, (usize, u32, SimulationEvent)>,
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
        modules: Vec::new(),
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
        let (module, incarnation, event) = simulation.events.remove(&id).expect("an event is scheduled once");
        simulation.process(module, incarnation, event);
    }
    for server in simulation.servers.values().filter(|server| server.cold) {
        simulation
            .result
            .cold_servers
            .entry(server.listing.upstream.0 - NEW_SERVER_ID_OFFSET)
            .or_insert((server.speed, Vec::new()))
            .0 = server.speed;
    }
    simulation.result
}

impl Simulation<'_> {
    fn set_up(&mut self) {
        let scenario = self.scenario;
        for slot in 0..scenario.servers {
            self.add_server(slot, false);
        }
        let weight = |module: usize| if scenario.uneven_load && module % 10 == 3 { 6.0 } else { 1.0 };
        let total_weight: f64 = (0..scenario.modules).map(weight).sum();
        for module in 0..scenario.modules {
            let arrivals_per_s =
                scenario.load * scenario.capacity_per_s * scenario.servers as f64 * weight(module)
                    / total_weight;
            let balancer =
                Balancer::new(scenario.settings(module), scenario.seed.wrapping_mul(1_000) + module as u64);
            self.modules.push(Module {
                balancer,
                incarnation: 0,
                arrivals_per_s,
                in_flight: BTreeMap::new(),
                open_requests: BTreeMap::new(),
            });
            let list = self.listings(false);
            self.handle_event(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            self.schedule_next_arrival(module);
            let discovered_at = REPLACEMENT_TIME
                + DISCOVERY_DELAY_AND_SPREAD[0]
                + DISCOVERY_DELAY_AND_SPREAD[1] * self.rng.rand_float();
            if scenario.cold_servers > 0 {
                self.schedule_at(discovered_at, module, SimulationEvent::ServersReplaced);
            }
            if let Some(span) = scenario.restart_span {
                // The golden ratio spreads restarts evenly, out of the order of ranks.
                let position = (module as f64 * 0.618_033_988_749_894_9).fract();
                self.schedule_at(
                    REPLACEMENT_TIME + 500.0 + span * position,
                    module,
                    SimulationEvent::ModuleRestarts,
                );
            }
        }
    }

    /// The slots whose servers are replaced: shuffled, or cell by cell with one server of each cell kept.
    fn replaced_slots(&self) -> Vec<u64> {
        let (servers, cold) = (self.scenario.servers, self.scenario.cold_servers as usize);
        let mut slots: Vec<u64> = (0..servers).collect();
        if self.scenario.cell_size > 0 {
            slots.retain(|slot| slot / 3 % self.scenario.cell_size != 0);
            slots.sort_by_key(|slot| self.cell(*slot));
        } else {
            slots.sort_by_key(|slot| (slot + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7);
        }
        // Replacing all servers overrides keeping one per cell.
        if cold as u64 == servers { (0..servers).collect() } else { slots.into_iter().take(cold).collect() }
    }

    fn cell(&self, slot: u64) -> u64 {
        let size = if self.scenario.cell_size > 0 { self.scenario.cell_size } else { 10 };
        slot % 3 + 3 * (slot / 3 / size)
    }

    fn add_server(&mut self, slot: u64, cold: bool) {
        let id = if cold { NEW_SERVER_ID_OFFSET + slot } else { slot };
        let speed = [1.0, self.scenario.speed_ratio, 1.0 / self.scenario.speed_ratio][slot as usize / 3 % 3];
        let listing = UpstreamRecord {
            upstream: UpstreamId(id),
            zone: ZoneId(slot % 3),
            cell: CellId(self.cell(slot)),
            ring_position: (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            machine_type: MachineTypeId(slot / 3 % 3),
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at: cold.then_some(REPLACEMENT_TIME),
        };
        let (report_interval, report_delay) =
            (320.0 + 1_180.0 * self.rng.rand_float(), 53.0 + 377.0 * self.rng.rand_float());
        let server = Server {
            listing,
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

    /// The complete listing, before or after the replacement.
    fn listings(&mut self, after_replacement: bool) -> Vec<UpstreamRecord> {
        let replaced = if after_replacement { self.replaced_slots() } else { Vec::new() };
        for &slot in &replaced {
            if !self.servers.contains_key(&(NEW_SERVER_ID_OFFSET + slot)) {
                self.add_server(slot, true);
            }
        }
        let id = |slot: u64| if replaced.contains(&slot) { NEW_SERVER_ID_OFFSET + slot } else { slot };
        (0..self.scenario.servers).map(|slot| self.servers[&id(slot)].listing.clone()).collect()
    }

    /// Schedules an event for a module in its current incarnation.
    fn schedule_at(&mut self, at: Millis, module: usize, event: SimulationEvent) {
        let incarnation = self.modules.get(module).map_or(0, |module| module.incarnation);
        self.schedule.push(Reverse(((at * 1_000.0) as u64, self.next_id)));
        self.events.insert(self.next_id, (module, incarnation, event));
        self.next_id += 1;
    }

    fn schedule_next_arrival(&mut self, module: usize) {
        let interval = -(1.0 - self.rng.rand_float()).ln() * 1_000.0 / self.modules[module].arrivals_per_s;
        self.schedule_at(self.now + interval, module, SimulationEvent::RequestArrives);
    }

    fn process(&mut self, module: usize, incarnation: u32, event: SimulationEvent) {
        // Servers finish the jobs of a module that has restarted, but the new process is not told.
        let stale = incarnation != self.modules[module].incarnation;
        match event {
            SimulationEvent::RequestArrives => self.request_arrives(module),
            SimulationEvent::JobArrives { server, job } => self.job_arrives(server, job),
            SimulationEvent::JobCompletes { server, job } => self.job_completes(server, job),
            SimulationEvent::AttemptEnds { key, outcome, report } if !stale => {
                self.attempt_ends(module, key, outcome, report)
            }
            SimulationEvent::ProbeAnswered { server, report } if !stale => {
                let upstream = UpstreamId(server);
                self.handle_event(
                    module,
                    Event::ProbeFinished { upstream, answered: report.is_some(), report },
                );
            }
            SimulationEvent::TimerFires { token } if !stale => {
                self.handle_event(module, Event::TimerFired(token))
            }
            SimulationEvent::ServersReplaced => {
                let list = self.listings(true);
                self.handle_event(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            SimulationEvent::ModuleRestarts => {
                let seed = self.scenario.seed.wrapping_mul(1_000) + (self.scenario.modules + module) as u64;
                let this = &mut self.modules[module];
                this.balancer = Balancer::new(self.scenario.settings(module), seed);
                this.incarnation += 1;
                this.in_flight.clear();
                this.open_requests.clear();
                let list = self.listings(true);
                self.handle_event(module, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(list.clone())));
                self.handle_event(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            SimulationEvent::AttemptEnds { .. }
            | SimulationEvent::ProbeAnswered { .. }
            | SimulationEvent::TimerFires { .. } => {}
        }
    }

    fn request_arrives(&mut self, module: usize) {
        self.schedule_next_arrival(module);
        let (mut class, mut share) = (CLASSES.len() - 1, self.rng.rand_float());
        if !self.scenario.keyed_only {
            class = 0;
            while class + 1 < CLASSES.len() && share > CLASSES[class].3 {
                share -= CLASSES[class].3;
                class += 1;
            }
        }
        let relative_work = if self.scenario.keyed_only { 1.0 } else { CLASSES[class].0 };
        // Log-normal with a coefficient of variation of 1.5.
        let variance = f64::ln(1.0 + 1.5 * 1.5);
        let normal = (-2.0 * (1.0 - self.rng.rand_float()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.rand_float()).cos();
        let factor = (variance.sqrt() * normal - variance / 2.0).exp();
        let work = self.scenario.cores_per_server as f64 * 1_000.0 / self.scenario.capacity_per_s
            * relative_work
            * factor;
        let request = RequestId(self.next_id as u64);
        self.modules[module].open_requests.insert(request, (class, self.now, work, 0));
        self.result.arrived += usize::from(self.in_warm_up());
        let event = Event::RequestArrived {
            request,
            class: ClassId(class),
            tenant: TenantId(0),
            time_left: CLASSES[class].2,
            cost: None,
        };
        self.handle_event(module, event);
    }

    fn in_warm_up(&self) -> bool {
        (REPLACEMENT_TIME..REPLACEMENT_TIME + self.scenario.cold_start.warm_up).contains(&self.now)
    }

    /// Passes an event to a module and carries out the resulting actions.
    fn handle_event(&mut self, module: usize, event: Event) {
        let mut actions = Vec::new();
        self.modules[module].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    self.send_attempt(module, request, upstream.0, timeout);
                }
                Action::Cancel { request, attempt } => {
                    let key = (request, attempt);
                    self.schedule_at(
                        self.now,
                        module,
                        SimulationEvent::AttemptEnds { key, outcome: Outcome::Cancelled, report: None },
                    );
                }
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    self.result.refused += usize::from(self.in_warm_up());
                    self.modules[module].open_requests.remove(&request);
                }
                Action::Probe(upstream) => {
                    let server = self.servers.get_mut(&upstream.0).expect("the upstream is listed");
                    server.advance_to(self.now);
                    let (server, report) = (upstream.0, server.report(self.now));
                    self.schedule_at(
                        self.now + 2.0 * NETWORK_DELAY,
                        module,
                        SimulationEvent::ProbeAnswered { server, report },
                    );
                }
                Action::SetTimer { at, token } => {
                    self.schedule_at(at, module, SimulationEvent::TimerFires { token })
                }
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send_attempt(&mut self, module: usize, request: RequestId, server: u64, timeout: Millis) {
        let this = &mut self.modules[module];
        let (_, _, work, attempts) =
            this.open_requests.get_mut(&request).expect("only open requests are sent");
        let (work, attempt) = (*work, AttemptNo(*attempts));
        *attempts += 1;
        let (key, incarnation) = ((request, attempt), this.incarnation);
        this.in_flight.insert(key, (server, self.now));
        let target = &self.servers[&server];
        if target.cold {
            let cold_server = self
                .result
                .cold_servers
                .entry(server - NEW_SERVER_ID_OFFSET)
                .or_insert((target.speed, Vec::new()));
            cold_server.1.push(self.now);
            self.result.further_attempts += usize::from(attempt.0 > 0);
        } else {
            self.result.sent_to_warm += usize::from(self.in_warm_up());
        }
        let job = Job { module, incarnation, request, attempt, work };
        self.schedule_at(self.now + NETWORK_DELAY, module, SimulationEvent::JobArrives { server, job });
        self.schedule_at(
            self.now + timeout,
            module,
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
        let capacity_share = self.scenario.capacity_share(self.now);
        loop {
            let this = self.servers.get_mut(&server).expect("the server exists");
            if this.active_jobs == this.cores {
                return;
            }
            let Some(job) = this.queue.pop_front() else { return };
            this.active_jobs += 1;
            let duration = job.work / this.speed / if this.cold { capacity_share } else { 1.0 };
            let module = job.module;
            self.schedule_at(self.now + duration, module, SimulationEvent::JobCompletes { server, job });
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
        if self.modules[job.module].incarnation == job.incarnation {
            self.schedule_at(
                self.now + NETWORK_DELAY,
                job.module,
                SimulationEvent::AttemptEnds { key, outcome, report },
            );
        }
    }

    /// Ends an attempt. Only its first outcome counts: a response after the timeout is ignored.
    fn attempt_ends(
        &mut self,
        module: usize,
        (request, attempt): (RequestId, AttemptNo),
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let this = &mut self.modules[module];
        let Some((server, sent_at)) = this.in_flight.remove(&(request, attempt)) else { return };
        let closed = outcome == Outcome::Ok;
        if let Some((class, arrived_at, ..)) = this.open_requests.get(&request).copied().filter(|_| closed) {
            let in_time = self.now - arrived_at <= CLASSES[class].1 * self.scenario.aim_factor;
            self.result.answered_in_time += usize::from(in_time && self.in_warm_up());
            self.modules[module].open_requests.remove(&request);
        }
        let (upstream, latency) = (UpstreamId(server), self.now - sent_at);
        let finished = AttemptFinished {
            request,
            attempt,
            upstream,
            outcome,
            latency,
            request_completed: closed,
            report,
        };
        self.handle_event(module, Event::AttemptFinished(finished));
    }
}
