//! A stage for a whole fleet: many modules against modelled servers, one event loop in virtual time. The same plan
//! gives the same play.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;

/// Servers are replaced at this time; before it everyone has time to learn.
pub const START: Millis = 6_000.0;
/// Further ones that wait there; beyond them it is full.
const QUEUE: usize = 50;
/// One way between a module and a server.
const NET: Millis = 0.3;
/// Servers average their utilisation over about this time.
const UTILISATION_OVER: Millis = 700.0;
/// Modules hear of new servers this much later, and then one after another within the second span.
const NOTICE: [Millis; 2] = [300.0, 120.0];
/// Work, time to the aim, deadline and share of each class; work relative to the mean request's.
const CLASSES: [(f64, Millis, Millis, f64, Idempotency); 3] = [
    (0.7, 750.0, 1_500.0, 0.51, Idempotency::Idempotent),
    (1.2, 1_200.0, 4_000.0, 0.26, Idempotency::NonIdempotent),
    (1.43, 800.0, 1_500.0, 0.23, Idempotency::Keyed { scope: DedupScope::Cell, window: 1_000.0 }),
];

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    pub modules: usize,
    pub servers: u64,
    /// So many servers are replaced at [`START`] by new ones.
    pub cold: u64,
    /// Requests of mean work that a warm server can do in a second.
    pub per_s: f64,
    /// Arrivals as a share of what all servers can do warm.
    pub load: f64,
    /// Whether one module in ten gets six times as much as the others.
    pub uneven: bool,
    /// Each module is replaced by a new process, one after another from half a second behind [`START`], over this
    /// span.
    pub restarts: Option<Millis>,
    /// This share of the answers of old servers are errors.
    pub errors: f64,
    /// Only requests that are bound to the cell of their first attempt.
    pub keyed: bool,
    /// Servers of one cell; new ones take the places of old ones cell by cell and leave one old one in each.
    pub cell: u64,
    /// Whether modules are told their number.
    pub ranked: bool,
    /// How much faster than others one server in three is, the next one in three as much slower.
    pub spread: f64,
    /// Requests that a server works on at once.
    pub cores: usize,
    /// All aims are multiplied by this.
    pub aims: f64,
    /// Whether answers carry load reports and probes are answered with one.
    pub reports: bool,
    pub until: Millis,
    pub seed: u64,
    pub cold_start: ColdStartLimits,
}

impl Plan {
    /// A plain fleet: three zones, cells of ten, servers alike, all new servers at random places.
    pub fn new(modules: usize, servers: u64, cold: u64, seed: u64) -> Plan {
        Plan {
            modules,
            servers,
            cold,
            per_s: 70.0,
            load: 0.65,
            uneven: true,
            restarts: None,
            errors: 0.0,
            keyed: false,
            cell: 0,
            ranked: true,
            spread: 1.0,
            cores: 2,
            aims: 1.0,
            reports: true,
            until: START + 10_000.0,
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
            latency_target: aim * self.aims,
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
            sidecar_index: self.ranked.then_some(rank as u32),
            zone_crossing_cost: 0.03,
            probe_cost: 0.01,
            reports_in_responses: true,
            limits: Limits {
                max_attempts: 3,
                allow_concurrent_attempts: true,
                allow_probes: true,
                allow_cancellation: true,
                max_retry_after: 2_000.0,
                min_event_interval: 5.0,
            },
            cold_start: self.cold_start.clone(),
            discovery: DiscoveryMode::Push,
        }
    }

    /// The present capacity of a server that started at [`START`], of 1.
    fn warmth(&self, now: Millis) -> f64 {
        let ColdStartLimits { initial_capacity_fraction, warm_up, .. } = self.cold_start;
        (initial_capacity_fraction + (1.0 - initial_capacity_fraction) * (now - START).max(0.0) / warm_up)
            .min(1.0)
    }

    /// What the settings allow a cold server in the window that begins then, in requests of mean work.
    pub fn budget(&self, from: Millis, size: f64) -> f64 {
        self.cold_start.overload_multiple
            * self.warmth(from)
            * self.per_s
            * size
            * self.cold_start.overload_duration
            / 1_000.0
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Played {
    /// When requests were sent to each cold server, by its place, and its size compared with others.
    pub cold: BTreeMap<u64, (f64, Vec<Millis>)>,
    /// From the start of the cold servers to the end of their warm-up.
    pub arrived: usize,
    pub refused: usize,
    pub in_time: usize,
    pub to_warm: usize,
    /// Further attempts sent to cold servers.
    pub further: usize,
}

/// How much of what the settings allow is used.
#[derive(Debug, Clone, Copy)]
pub struct Used {
    /// The largest share of its budget that a server was sent in a window.
    pub most: f64,
    /// The mean share over all cold servers and windows.
    pub mean: f64,
    /// The largest part of `N + 2 sqrt(N) + 2`: at 1 a server may fall.
    pub brink: f64,
    /// The mean share in the first window.
    pub first: f64,
}

impl Played {
    /// Over every window that begins while servers are cold. The one that ends with a send is the strictest of
    /// those which have that send as their last: it has no fewer sends, and its budget is the smallest.
    pub fn used(&self, plan: &Plan) -> Used {
        let fall = plan.cold_start.overload_duration;
        let mut used = Used { most: 0.0, mean: 0.0, brink: 0.0, first: 0.0 };
        let windows = ((plan.cold_start.warm_up - fall) / 100.0) as usize;
        for (size, sends) in self.cold.values() {
            let mut from = 0;
            for (last, &at) in sends.iter().enumerate() {
                while sends[from] <= at - fall {
                    from += 1;
                }
                let begin = (at - fall).max(START);
                if begin > START + plan.cold_start.warm_up {
                    break;
                }
                let (count, budget) = ((last - from + 1) as f64, plan.budget(begin, *size));
                used.most = used.most.max(count / budget);
                used.brink = used.brink.max(count / (budget + 2.0 * budget.sqrt() + 2.0));
            }
            let within = |begin: Millis| {
                sends.iter().filter(|at| (begin..begin + fall).contains(*at)).count() as f64
                    / plan.budget(begin, *size)
                    / self.cold.len() as f64
            };
            used.first += within(START);
            used.mean += (0..windows).map(|w| within(START + 100.0 * w as f64)).sum::<f64>() / windows as f64;
        }
        used
    }

    /// Sends to all cold servers together in each of the first seconds.
    pub fn by_second(&self) -> [usize; 3] {
        [0.0, 1.0, 2.0].map(|second| {
            let from = START + 1_000.0 * second;
            let within = |at: &&Millis| (from..from + 1_000.0).contains(*at);
            self.cold.values().map(|(_, sends)| sends.iter().filter(within).count()).sum()
        })
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.arrived as f64
    }
}

struct Job {
    module: usize,
    life: u32,
    request: RequestId,
    attempt: AttemptNo,
    work: f64,
}

struct Server {
    listing: UpstreamRecord,
    size: f64,
    cold: bool,
    cores: usize,
    reports_made: bool,
    working: usize,
    queue: VecDeque<Job>,
    utilisation: f64,
    touched: Millis,
    /// Load reports are made anew this often and get into answers this much later.
    every: Millis,
    late: Millis,
    next_report: Millis,
    reports: VecDeque<(Millis, LoadReport)>,
}

impl Server {
    /// Brings averages and reports up to this time: nothing has changed since the last.
    fn touch(&mut self, now: Millis) {
        while self.next_report <= now {
            let at = self.next_report;
            self.average(at);
            let report = LoadReport {
                in_flight: Some((self.working + self.queue.len()) as f64),
                utilisation: Some(self.utilisation),
                ..LoadReport::default()
            };
            self.reports.push_back((at, report));
            self.next_report += self.every;
        }
        self.average(now);
        while self.reports.len() > 1 && self.reports[1].0 + self.late <= now {
            self.reports.pop_front();
        }
    }

    fn average(&mut self, now: Millis) {
        let weight = 1.0 - (-(now - self.touched) / UTILISATION_OVER).exp();
        self.utilisation += weight * (self.working as f64 / self.cores as f64 - self.utilisation);
        self.touched = now;
    }

    fn report(&self, now: Millis) -> Option<LoadReport> {
        self.reports
            .front()
            .filter(|(at, _)| self.reports_made && at + self.late <= now)
            .map(|(_, report)| *report)
    }
}

struct Module {
    balancer: Balancer,
    life: u32,
    /// Requests a second.
    rate: f64,
    /// What it has out, to whom and since when.
    out: BTreeMap<(RequestId, AttemptNo), (u64, Millis)>,
    /// Class, arrival, work, and how often it was sent.
    held: BTreeMap<RequestId, (usize, Millis, f64, u32)>,
}

enum Due {
    Arrival,
    Join { server: u64, job: Job },
    Done { server: u64, job: Job },
    Outcome { key: (RequestId, AttemptNo), outcome: Outcome, report: Option<LoadReport> },
    Probed { server: u64, report: Option<LoadReport> },
    Woken { token: u64 },
    News,
    Restart,
}

struct Play<'a> {
    plan: &'a Plan,
    rng: Rand64,
    now: Millis,
    modules: Vec<Module>,
    servers: BTreeMap<u64, Server>,
    /// By time, then in order; whom it concerns and in which life.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    what: BTreeMap<usize, (usize, u32, Due)>,
    next: usize,
    played: Played,
}

/// New servers' ids begin here: the rest is their place.
const NEW: u64 = 10_000;

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Played {
    let mut play = Play {
        plan,
        rng: Rand64::new(u128::from(plan.seed) + 77),
        now: 0.0,
        modules: Vec::new(),
        servers: BTreeMap::new(),
        due: BinaryHeap::new(),
        what: BTreeMap::new(),
        next: 0,
        played: Played::default(),
    };
    play.begin();
    while let Some(Reverse((at, number))) = play.due.pop() {
        play.now = at as f64 / 1_000.0;
        if play.now > plan.until {
            break;
        }
        let (module, life, due) = play.what.remove(&number).expect("each is due once");
        play.step(module, life, due);
    }
    for server in play.servers.values().filter(|server| server.cold) {
        play.played.cold.entry(server.listing.upstream.0 - NEW).or_insert((server.size, Vec::new())).0 =
            server.size;
    }
    play.played
}

impl Play<'_> {
    fn begin(&mut self) {
        let plan = self.plan;
        for place in 0..plan.servers {
            self.add(place, false);
        }
        let weight = |module: usize| if plan.uneven && module % 10 == 3 { 6.0 } else { 1.0 };
        let all: f64 = (0..plan.modules).map(weight).sum();
        for module in 0..plan.modules {
            let rate = plan.load * plan.per_s * plan.servers as f64 * weight(module) / all;
            let balancer =
                Balancer::new(plan.settings(module), plan.seed.wrapping_mul(1_000) + module as u64);
            self.modules.push(Module {
                balancer,
                life: 0,
                rate,
                out: BTreeMap::new(),
                held: BTreeMap::new(),
            });
            let list = self.list(false);
            self.tell(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            self.arrive_next(module);
            let heard = START + NOTICE[0] + NOTICE[1] * self.rng.rand_float();
            if plan.cold > 0 {
                self.at(heard, module, Due::News);
            }
            if let Some(span) = plan.restarts {
                // Not in the order of their numbers.
                let turn = (module as f64 * 0.618_033_988_749_894_9).fract();
                self.at(START + 500.0 + span * turn, module, Due::Restart);
            }
        }
    }

    /// Which places get new servers: shuffled, or cell by cell with one left out of each.
    fn replaced(&self) -> Vec<u64> {
        let (servers, cold) = (self.plan.servers, self.plan.cold as usize);
        let mut places: Vec<u64> = (0..servers).collect();
        if self.plan.cell > 0 {
            places.retain(|place| place / 3 % self.plan.cell != 0);
            places.sort_by_key(|place| self.cell(*place));
        } else {
            places.sort_by_key(|place| (place + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7);
        }
        // Where all are to be replaced, all are.
        if cold as u64 == servers { (0..servers).collect() } else { places.into_iter().take(cold).collect() }
    }

    fn cell(&self, place: u64) -> u64 {
        let size = if self.plan.cell > 0 { self.plan.cell } else { 10 };
        place % 3 + 3 * (place / 3 / size)
    }

    fn add(&mut self, place: u64, cold: bool) {
        let id = if cold { NEW + place } else { place };
        let size = [1.0, self.plan.spread, 1.0 / self.plan.spread][place as usize / 3 % 3];
        let listing = UpstreamRecord {
            upstream: UpstreamId(id),
            zone: ZoneId(place % 3),
            cell: CellId(self.cell(place)),
            ring_position: (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            machine_type: MachineTypeId(place / 3 % 3),
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at: cold.then_some(START),
        };
        let (every, late) = (320.0 + 1_180.0 * self.rng.rand_float(), 53.0 + 377.0 * self.rng.rand_float());
        let server = Server {
            listing,
            size,
            cold,
            cores: self.plan.cores,
            reports_made: self.plan.reports,
            working: 0,
            queue: VecDeque::new(),
            utilisation: 0.0,
            touched: self.now,
            every,
            late,
            next_report: self.now + every,
            reports: VecDeque::new(),
        };
        self.servers.insert(id, server);
    }

    /// The whole list, before or after some were replaced.
    fn list(&mut self, renewed: bool) -> Vec<UpstreamRecord> {
        let new = if renewed { self.replaced() } else { Vec::new() };
        for &place in &new {
            if !self.servers.contains_key(&(NEW + place)) {
                self.add(place, true);
            }
        }
        let id = |place: u64| if new.contains(&place) { NEW + place } else { place };
        (0..self.plan.servers).map(|place| self.servers[&id(place)].listing.clone()).collect()
    }

    fn at(&mut self, at: Millis, module: usize, due: Due) {
        let life = self.modules.get(module).map_or(0, |module| module.life);
        self.due.push(Reverse(((at * 1_000.0) as u64, self.next)));
        self.what.insert(self.next, (module, life, due));
        self.next += 1;
    }

    fn arrive_next(&mut self, module: usize) {
        let gap = -(1.0 - self.rng.rand_float()).ln() * 1_000.0 / self.modules[module].rate;
        self.at(self.now + gap, module, Due::Arrival);
    }

    fn step(&mut self, module: usize, life: u32, due: Due) {
        // Servers go on with what a module that is gone has sent; nobody hears of it.
        let gone = life != self.modules[module].life;
        match due {
            Due::Arrival => self.arrival(module),
            Due::Join { server, job } => self.join(server, job),
            Due::Done { server, job } => self.done(server, job),
            Due::Outcome { key, outcome, report } if !gone => self.outcome(module, key, outcome, report),
            Due::Probed { server, report } if !gone => {
                let upstream = UpstreamId(server);
                self.tell(module, Event::ProbeFinished { upstream, answered: report.is_some(), report });
            }
            Due::Woken { token } if !gone => self.tell(module, Event::TimerFired(token)),
            Due::News => {
                let list = self.list(true);
                self.tell(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            Due::Restart => {
                let seed = self.plan.seed.wrapping_mul(1_000) + (self.plan.modules + module) as u64;
                let this = &mut self.modules[module];
                this.balancer = Balancer::new(self.plan.settings(module), seed);
                this.life += 1;
                this.out.clear();
                this.held.clear();
                let list = self.list(true);
                self.tell(module, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(list.clone())));
                self.tell(module, Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(list)));
            }
            Due::Outcome { .. } | Due::Probed { .. } | Due::Woken { .. } => {}
        }
    }

    fn arrival(&mut self, module: usize) {
        self.arrive_next(module);
        let (mut class, mut share) = (CLASSES.len() - 1, self.rng.rand_float());
        if !self.plan.keyed {
            class = 0;
            while class + 1 < CLASSES.len() && share > CLASSES[class].3 {
                share -= CLASSES[class].3;
                class += 1;
            }
        }
        let usual = if self.plan.keyed { 1.0 } else { CLASSES[class].0 };
        // Log-normal with a coefficient of variation of one and a half.
        let spread = f64::ln(1.0 + 1.5 * 1.5);
        let normal = (-2.0 * (1.0 - self.rng.rand_float()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.rand_float()).cos();
        let factor = (spread.sqrt() * normal - spread / 2.0).exp();
        let work = self.plan.cores as f64 * 1_000.0 / self.plan.per_s * usual * factor;
        let request = RequestId(self.next as u64);
        self.modules[module].held.insert(request, (class, self.now, work, 0));
        self.played.arrived += usize::from(self.cold_now());
        let event = Event::RequestArrived {
            request,
            class: ClassId(class),
            tenant: TenantId(0),
            time_left: CLASSES[class].2,
            cost: None,
        };
        self.tell(module, event);
    }

    fn cold_now(&self) -> bool {
        (START..START + self.plan.cold_start.warm_up).contains(&self.now)
    }

    /// Hands an event to a module and does what it asks for.
    fn tell(&mut self, module: usize, event: Event) {
        let mut actions = Vec::new();
        self.modules[module].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    self.send(module, request, upstream.0, timeout);
                }
                Action::Cancel { request, attempt } => {
                    let key = (request, attempt);
                    self.at(
                        self.now,
                        module,
                        Due::Outcome { key, outcome: Outcome::Cancelled, report: None },
                    );
                }
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    self.played.refused += usize::from(self.cold_now());
                    self.modules[module].held.remove(&request);
                }
                Action::Probe(upstream) => {
                    let server = self.servers.get_mut(&upstream.0).expect("listed");
                    server.touch(self.now);
                    let (server, report) = (upstream.0, server.report(self.now));
                    self.at(self.now + 2.0 * NET, module, Due::Probed { server, report });
                }
                Action::SetTimer { at, token } => self.at(at, module, Due::Woken { token }),
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, module: usize, request: RequestId, server: u64, timeout: Millis) {
        let this = &mut self.modules[module];
        let (_, _, work, tries) = this.held.get_mut(&request).expect("only what is held is sent");
        let (work, attempt) = (*work, AttemptNo(*tries));
        *tries += 1;
        let (key, life) = ((request, attempt), this.life);
        this.out.insert(key, (server, self.now));
        let target = &self.servers[&server];
        if target.cold {
            let cold = self.played.cold.entry(server - NEW).or_insert((target.size, Vec::new()));
            cold.1.push(self.now);
            self.played.further += usize::from(attempt.0 > 0);
        } else {
            self.played.to_warm += usize::from(self.cold_now());
        }
        let job = Job { module, life, request, attempt, work };
        self.at(self.now + NET, module, Due::Join { server, job });
        self.at(self.now + timeout, module, Due::Outcome { key, outcome: Outcome::TimedOut, report: None });
    }

    fn join(&mut self, server: u64, job: Job) {
        let now = self.now;
        let this = self.servers.get_mut(&server).expect("listed once");
        this.touch(now);
        if this.working == this.cores && this.queue.len() >= QUEUE {
            let report = this.report(now);
            return self.answer(job, Outcome::Rejected, report);
        }
        this.queue.push_back(job);
        self.work(server);
    }

    /// Takes up what waits while there are cores.
    fn work(&mut self, server: u64) {
        let warmth = self.plan.warmth(self.now);
        loop {
            let this = self.servers.get_mut(&server).expect("listed once");
            if this.working == this.cores {
                return;
            }
            let Some(job) = this.queue.pop_front() else { return };
            this.working += 1;
            let time = job.work / this.size / if this.cold { warmth } else { 1.0 };
            let module = job.module;
            self.at(self.now + time, module, Due::Done { server, job });
        }
    }

    fn done(&mut self, server: u64, job: Job) {
        let now = self.now;
        let this = self.servers.get_mut(&server).expect("listed once");
        this.touch(now);
        this.working -= 1;
        let (report, cold) = (this.report(now), this.cold);
        let errs = !cold && now >= START && self.rng.rand_float() < self.plan.errors;
        self.work(server);
        self.answer(job, if errs { Outcome::Error } else { Outcome::Ok }, report);
    }

    fn answer(&mut self, job: Job, outcome: Outcome, report: Option<LoadReport>) {
        let key = (job.request, job.attempt);
        if self.modules[job.module].life == job.life {
            self.at(self.now + NET, job.module, Due::Outcome { key, outcome, report });
        }
    }

    /// The first word on an attempt is its end.
    fn outcome(
        &mut self,
        module: usize,
        (request, attempt): (RequestId, AttemptNo),
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let this = &mut self.modules[module];
        let Some((server, sent)) = this.out.remove(&(request, attempt)) else { return };
        let closed = outcome == Outcome::Ok;
        if let Some((class, arrived, ..)) = this.held.get(&request).copied().filter(|_| closed) {
            let in_time = self.now - arrived <= CLASSES[class].1 * self.plan.aims;
            self.played.in_time += usize::from(in_time && self.cold_now());
            self.modules[module].held.remove(&request);
        }
        let (upstream, latency) = (UpstreamId(server), self.now - sent);
        let end = AttemptFinished {
            request,
            attempt,
            upstream,
            outcome,
            latency,
            request_completed: closed,
            report,
        };
        self.tell(module, Event::AttemptFinished(end));
    }
}
