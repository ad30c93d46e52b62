//! A fleet in one process: modules (`sagemast::Balancer`, by their public interface alone) on a virtual clock, with
//! stand-ins for servers, discovery's machines and the watch. One event loop, one seed: the same plan always ends
//! in the same report. Shared by the bench and by `tests/hollow.rs`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::ring_position;

use crate::figures::{Calls, Report, Spread};

/// The clock: microseconds since the start of the play.
type Micros = u64;

/// How the watch of `src/net/discovery.rs` goes on: its constants, by the same names.
const SILENCE: Micros = 2_500_000;
const CALL: Micros = 2_500_000;
const BACK_OFF: Micros = 50_000;
const PACE_SHARE: f64 = 0.25;
const PACE: [f64; 2] = [50_000.0, 500_000.0];
/// An empty line comes this often (the protocol page).
const LINE_EVERY: Micros = 2_000_000;
/// An empty line in its chunk.
const LINE_BYTES: u64 = 6;
/// The heads of a call and of its answer, as `sagemast` and the stand-in write them.
const CALL_BYTES: u64 = 75;
const HEAD_BYTES: u64 = 47;
/// What a discovery machine writes in a microsecond, all watches together: 1 Gbit/s.
const EGRESS: f64 = 125.0;
/// And what each object costs it besides.
const PER_OBJECT: Micros = 5;
/// A lost machine's watches are taken over by the others after this long.
const FAILOVER: Micros = 1_000_000;
/// A connection over which nothing comes back is given up after this long.
const CONNECT_TIMEOUT: Micros = 250_000;
/// Requests a server works on at a time, and how many may wait for each of them.
const SLOTS: usize = 4;
const QUEUE: f64 = 30.0;
/// The utilisation that servers report is averaged over about this time.
const REPORT_OVER: f64 = 700_000.0;
/// A restart: draining, gone and back, this long after its begin.
const RESTART: [Micros; 2] = [2_000_000, 3_000_000];
/// A server that vanished is listed as gone so long after it did.
const NOTICE: [f64; 2] = [5_000_000.0, 8_000_000.0];
/// A zone's machines come back over this time.
const RETURN_OVER: f64 = 2_000_000.0;

/// What befalls the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Nothing but the changes.
    None,
    /// The first zone is lost at `at` and returns cold at `back` (ms).
    Zone { at: u64, back: u64 },
    /// The first discovery machine is lost at `at` (ms): its watches are reset, or fall silent.
    Machine { at: u64, silent: bool },
    /// The first region loses the others from `at` to `heal` (ms).
    Cut { at: u64, heal: u64 },
}

/// A play.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its name in the report.
    pub name: String,
    /// For all that is drawn.
    pub seed: u64,
    /// Ticket servers.
    pub servers: usize,
    /// Sidecars.
    pub sidecars: usize,
    /// Services that the servers are of.
    pub services: usize,
    /// Services that a sidecar lists; 0 for all.
    pub calls: usize,
    /// Zones and regions that they lie in.
    pub zones: usize,
    /// Regions; each has one discovery machine.
    pub regions: usize,
    /// Requests a second over all sidecars.
    pub requests_per_s: f64,
    /// The share of what all servers can do that is asked of them, where that makes them no slower than usual.
    pub load: f64,
    /// How long it is played (ms).
    pub span: u64,
    /// From when on ordinary changes and requests come, and until when (ms).
    pub during: [u64; 2],
    /// Ordinary changes in that time: half of them drains, the others starts.
    pub changes: usize,
    /// How lists are told.
    pub discovery: DiscoveryMode,
    /// Whether all discovery machines number versions alike: else who moves to another gets the whole list.
    pub shared_versions: bool,
    /// So many changes a discovery machine can tell later; who misses more gets the whole list.
    pub history: usize,
    /// The rule about cold servers.
    pub cold_start: ColdStartLimits,
    /// Whether servers that have started are listed as such.
    pub starts_told: bool,
    /// In this time sends to a server that leaves must stop (ms).
    pub drain_grace: f64,
    /// What befalls it.
    pub trouble: Trouble,
}

impl Plan {
    /// From when on calls at discovery are counted (ms).
    fn counted_from(&self) -> u64 {
        match self.trouble {
            Trouble::None => 0,
            Trouble::Zone { back, .. } => back,
            Trouble::Machine { at, .. } => at,
            Trouble::Cut { heal, .. } => heal,
        }
    }
}

/// Something that happens at a time.
enum What {
    Arrive,
    End { request: u64, attempt: u32, outcome: Outcome, life: u32 },
    Deadline(u64),
    Wake { sidecar: usize, life: u32, token: u64 },
    Call { sidecar: usize, watch: u32 },
    CallFailed { sidecar: usize, watch: u32 },
    Answered { sidecar: usize, watch: u32, machine: usize },
    Told { sidecar: usize, watch: u32, seq: usize, news: News },
    Ended { sidecar: usize, watch: u32 },
    Silent { sidecar: usize, watch: u32 },
    Learn { machine: usize, changes: Vec<u32> },
    Change { server: usize, health: Health },
    Drain,
    Vanish,
    Return(usize),
    Restart(usize),
    LoseMachine,
    Cut(bool),
}

/// What discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Ready { born: Option<Micros> },
    Draining,
    Gone,
}

enum News {
    Changes(Vec<u32>),
    Whole(Vec<(usize, Health)>, Vec<u32>),
}

struct Change {
    server: usize,
    health: Health,
    at: Micros,
    /// How many sidecars have it, and when the last of them got it.
    told: usize,
    last: Micros,
}

/// A stand-in for a ticket server: some slots, a queue before each.
struct Server {
    service: usize,
    zone: usize,
    entry_bytes: u64,
    ring_position: u64,
    up: bool,
    /// It does not even refuse.
    vanished: bool,
    life: u32,
    born: Option<Micros>,
    free_at: [Micros; SLOTS],
    in_flight: u32,
    busy: f64,
    busy_at: Micros,
    /// Sends within the last `overload_duration` since it started.
    recent: VecDeque<Micros>,
    /// The most that came in any such time, as a share of its budget and of what makes it fall.
    worst: [f64; 2],
}

/// A discovery machine.
struct Machine {
    lost: Option<Micros>,
    free_at: Micros,
    /// What it knows, in the order in which it learnt it.
    log: Vec<u32>,
    health: Vec<Health>,
}

struct Sidecar {
    module: Balancer,
    life: u32,
    up: bool,
    zone: usize,
    services: Vec<usize>,
    /// The number of the watch, and whether it is open.
    watch: u32,
    open: bool,
    machine: usize,
    /// How much of that machine's log it has been told.
    seq: usize,
    told_since_open: bool,
    back_off: Micros,
    line_phase: Micros,
    last_object: Micros,
    applied: BTreeSet<u32>,
    counted: BTreeSet<u32>,
    leaving: BTreeMap<u64, Micros>,
}

struct Open {
    sidecar: usize,
    life: u32,
    answered: bool,
    out: Vec<Option<(usize, Micros)>>,
}

/// Sums over a play.
#[derive(Default)]
struct Sums {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    expired: u64,
    /// Their sidecar was lost with its zone.
    lost: u64,
    /// Requests and answers in time at sidecars of the first region.
    first_region: [u64; 2],
    second_finals: u64,
    sends: u64,
    /// Later than the grace after this sidecar was told.
    to_gone: u64,
    /// To a server that is no more, by a sidecar that was not told yet.
    to_gone_untold: u64,
    whole: u64,
    deltas: u64,
    whole_bytes: u64,
    delta_bytes: u64,
    probes: u64,
}

/// The play.
pub struct Stage {
    plan: Plan,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    waiting: HashMap<u64, What>,
    next: u64,
    rng: Rand64,
    servers: Vec<Server>,
    sidecars: Vec<Sidecar>,
    /// Who lists a service.
    callers: Vec<Vec<u32>>,
    by_service: Vec<Vec<usize>>,
    machines: Vec<Machine>,
    changes: Vec<Change>,
    open: HashMap<u64, Open>,
    next_request: u64,
    cut: bool,
    held_back: Vec<Vec<u32>>,
    sums: Sums,
    calls: Calls,
    lists: Calls,
    list_bytes: Calls,
    in_force: Spread,
    late_from: Micros,
    actions: Vec<Action>,
}

impl Stage {
    /// Sets the fleet up: everyone knows the list, watches are open (pushed) or about to be asked for.
    pub fn new(plan: Plan) -> Stage {
        let mut rng = Rand64::new(u128::from(plan.seed));
        let mut by_service = vec![Vec::new(); plan.services];
        let servers: Vec<Server> = (0..plan.servers)
            .map(|number| {
                let service = number % plan.services;
                by_service[service].push(number);
                let zone = (number / plan.services + 7 * service) % plan.zones;
                let name = format!("s-{:08x}", (number as u32).wrapping_mul(0x9e37_79b9));
                let entry = format!(
                    r#"{{"host":"{name}","dial":"10.{zone}.{}.{}:7070","site":"z{zone:02}","class":"m2","block":{zone},"health":"ready","share":1.0,"born_ms":1764633600000}},"#,
                    number / 250,
                    number % 250,
                );
                Server {
                    service,
                    zone,
                    entry_bytes: entry.len() as u64,
                    ring_position: ring_position(name.as_bytes()),
                    up: true,
                    vanished: false,
                    life: 0,
                    born: None,
                    free_at: [0; SLOTS],
                    in_flight: 0,
                    busy: plan.load,
                    busy_at: 0,
                    recent: VecDeque::new(),
                    worst: [0.0; 2],
                }
            })
            .collect();
        let mut callers = vec![Vec::new(); plan.services];
        let sidecars: Vec<Sidecar> = (0..plan.sidecars)
            .map(|number| {
                let mut services = BTreeSet::new();
                while services.len() < plan.calls.min(plan.services) {
                    services.insert(rng.rand_range(0..plan.services as u64) as usize);
                }
                if plan.calls == 0 {
                    services.extend(0..plan.services);
                }
                services.iter().for_each(|service| callers[*service].push(number as u32));
                let zone = number % plan.zones;
                Sidecar {
                    module: module(&plan, number, zone, 0),
                    life: 0,
                    up: true,
                    zone,
                    services: services.into_iter().collect(),
                    watch: 0,
                    open: matches!(plan.discovery, DiscoveryMode::Push),
                    machine: zone * plan.regions / plan.zones,
                    seq: 0,
                    told_since_open: false,
                    back_off: BACK_OFF,
                    line_phase: rng.rand_range(0..LINE_EVERY),
                    last_object: 0,
                    applied: BTreeSet::new(),
                    counted: BTreeSet::new(),
                    leaving: BTreeMap::new(),
                }
            })
            .collect();
        let machines = (0..plan.regions)
            .map(|_| Machine {
                lost: None,
                free_at: 0,
                log: Vec::new(),
                health: vec![Health::Ready { born: None }; plan.servers],
            })
            .collect();
        let (regions, from) = (plan.regions, plan.counted_from() * 1_000);
        let mut stage = Stage {
            plan,
            now: 0,
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            next: 0,
            rng,
            servers,
            sidecars,
            callers,
            by_service,
            machines,
            changes: Vec::new(),
            open: HashMap::new(),
            next_request: 0,
            cut: false,
            held_back: vec![Vec::new(); regions],
            sums: Sums::default(),
            calls: Calls::since(from),
            lists: Calls::since(from),
            list_bytes: Calls::since(from),
            in_force: Spread::default(),
            late_from: from,
            actions: Vec::new(),
        };
        stage.script();
        for sidecar in 0..stage.sidecars.len() {
            stage.restore(sidecar);
        }
        stage
    }

    /// Plays to the end and tells what was seen.
    pub fn play(mut self) -> Report {
        let end = self.plan.span * 1_000;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(what) = self.waiting.remove(&number) {
                self.happen(what);
            }
        }
        self.report()
    }

    fn at(&mut self, at: Micros, what: What) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.waiting.insert(self.next, what);
    }

    fn after(&mut self, wait: Micros, what: What) {
        self.at(self.now + wait, what);
    }

    fn within(&mut self, from: f64, to: f64) -> Micros {
        (from + (to - from) * self.rng.rand_float()) as Micros
    }

    /// Sets down what is to happen.
    fn script(&mut self) {
        let [from, to] = self.plan.during.map(|ms| ms as f64 * 1e3);
        for _ in 0..self.plan.changes / 2 {
            let at = self.within(from, to);
            self.at(at, What::Drain);
        }
        if self.plan.requests_per_s > 0.0 {
            self.at(from as Micros, What::Arrive);
        }
        match self.plan.trouble {
            Trouble::None => {}
            Trouble::Zone { at, back } => {
                self.at(at * 1_000, What::Vanish);
                for server in
                    (0..self.servers.len()).filter(|s| self.servers[*s].zone == 0).collect::<Vec<_>>()
                {
                    let at = back * 1_000 + self.within(0.0, RETURN_OVER);
                    self.at(at, What::Return(server));
                }
                for sidecar in
                    (0..self.sidecars.len()).filter(|s| self.sidecars[*s].zone == 0).collect::<Vec<_>>()
                {
                    let at = back * 1_000 + self.within(0.0, RETURN_OVER);
                    self.at(at, What::Restart(sidecar));
                }
            }
            Trouble::Machine { at, .. } => self.at(at * 1_000, What::LoseMachine),
            Trouble::Cut { at, heal } => {
                self.at(at * 1_000, What::Cut(true));
                self.at(heal * 1_000, What::Cut(false));
            }
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => self.arrive(),
            What::End { request, attempt, outcome, life } => self.end(request, attempt, outcome, life),
            What::Deadline(request) => self.expire(request),
            What::Wake { sidecar, life, token } if self.sidecars[sidecar].life == life => {
                self.event(sidecar, Event::TimerFired(token));
            }
            What::Call { sidecar, watch } if self.current(sidecar, watch) => self.call(sidecar),
            What::CallFailed { sidecar, watch } | What::Ended { sidecar, watch }
                if self.current(sidecar, watch) =>
            {
                self.watch_ended(sidecar);
            }
            What::Answered { sidecar, watch, machine } if self.current(sidecar, watch) => {
                self.answered(sidecar, machine);
            }
            What::Told { sidecar, watch, seq, news } if self.current(sidecar, watch) => {
                self.sidecars[sidecar].seq = seq;
                self.told(sidecar, news);
            }
            What::Silent { sidecar, watch } if self.current(sidecar, watch) => {
                self.sidecars[sidecar].open = false;
                self.sidecars[sidecar].watch += 1;
                // Where lists are pushed, a watch that has ended is followed by a wait; one that the module
                // asked for is opened again at once.
                if self.pushed() { self.back_off(sidecar, true) } else { self.call(sidecar) }
            }
            What::Wake { .. }
            | What::Call { .. }
            | What::CallFailed { .. }
            | What::Ended { .. }
            | What::Answered { .. }
            | What::Told { .. }
            | What::Silent { .. } => {}
            What::Learn { machine, changes } => self.learn(machine, changes),
            What::Change { server, health } => self.change(server, health),
            What::Drain => self.drain(),
            What::Vanish => self.vanish(),
            What::Return(server) => self.start(server),
            What::Restart(sidecar) => {
                let (life, zone) = (self.sidecars[sidecar].life, self.sidecars[sidecar].zone);
                self.sidecars[sidecar].module = module(&self.plan, sidecar, zone, life);
                self.sidecars[sidecar].up = true;
                self.restore(sidecar);
                if self.pushed() {
                    self.call(sidecar);
                }
            }
            What::LoseMachine => self.lose_machine(),
            What::Cut(cut) => self.set_cut(cut),
        }
    }

    fn pushed(&self) -> bool {
        self.plan.discovery == DiscoveryMode::Push
    }

    fn current(&self, sidecar: usize, watch: u32) -> bool {
        self.sidecars[sidecar].up && self.sidecars[sidecar].watch == watch
    }

    // --- Modules -----------------------------------------------------------------------------

    fn event(&mut self, sidecar: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.sidecars[sidecar].module.handle(self.now as f64 / 1e3, event, &mut actions);
        for action in actions.drain(..) {
            self.act(sidecar, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(sidecar, request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                let life = 0;
                self.after(
                    0,
                    What::End { request: request.0, attempt: attempt.0, outcome: Outcome::Cancelled, life },
                );
            }
            Action::Refuse { request, .. } => {
                if self.finish(request.0) {
                    self.sums.refused += 1;
                }
            }
            Action::Fail(request) => {
                if self.finish(request.0) {
                    self.sums.failed += 1;
                }
            }
            // The settings allow none: answers carry reports.
            Action::Probe(_) => self.sums.probes += 1,
            Action::SetTimer { at, token } => {
                let life = self.sidecars[sidecar].life;
                self.at(((at * 1e3).ceil() as Micros).max(self.now), What::Wake { sidecar, life, token });
            }
            Action::Subscribe => {
                self.sidecars[sidecar].watch += 1;
                self.sidecars[sidecar].open = false;
                self.call(sidecar);
            }
            Action::Log(_) => {}
        }
    }

    /// The list as its machine has it goes to a sidecar that starts.
    fn restore(&mut self, sidecar: usize) {
        let machine = self.sidecars[sidecar].machine;
        let listings = self
            .listed_by(sidecar)
            .filter(|server| self.machines[machine].health[*server] != Health::Gone)
            .map(|server| self.listing(server, self.machines[machine].health[server]))
            .collect();
        self.event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(listings)));
    }

    fn listed_by(&self, sidecar: usize) -> impl Iterator<Item = usize> {
        self.sidecars[sidecar].services.iter().flat_map(|service| self.by_service[*service].iter().copied())
    }

    fn listing(&self, number: usize, health: Health) -> UpstreamRecord {
        let server = &self.servers[number];
        UpstreamRecord {
            upstream: UpstreamId(number as u64 + 1),
            zone: ZoneId(server.zone as u64),
            cell: CellId(server.zone as u64),
            ring_position: server.ring_position,
            machine_type: MachineTypeId(0),
            lifecycle: if matches!(health, Health::Ready { .. }) {
                Lifecycle::Serving
            } else {
                Lifecycle::Draining
            },
            weight: 1.0,
            started_at: match health {
                Health::Ready { born: Some(born) } if self.plan.starts_told => Some(born as f64 / 1e3),
                _ => None,
            },
        }
    }

    // --- Requests ----------------------------------------------------------------------------

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.rand_float()).ln() * 1e6 / self.plan.requests_per_s;
        if self.now + gap as Micros <= self.plan.during[1] * 1_000 {
            self.after(gap as Micros, What::Arrive);
        }
        let sidecar = self.rng.rand_range(0..self.sidecars.len() as u64) as usize;
        if !self.sidecars[sidecar].up {
            return;
        }
        self.next_request += 1;
        let (request, life) = (self.next_request, self.sidecars[sidecar].life);
        self.sums.requests += 1;
        self.sums.first_region[0] += u64::from(self.region(self.sidecars[sidecar].zone) == 0);
        self.open.insert(request, Open { sidecar, life, answered: false, out: Vec::new() });
        let class = ClassId(self.rng.rand_range(0..3) as usize);
        self.after((DEADLINE * 1e3) as Micros + 1_000, What::Deadline(request));
        let request = RequestId(request);
        self.event(
            sidecar,
            Event::RequestArrived { request, class, tenant: TenantId(0), time_left: DEADLINE, cost: None },
        );
    }

    /// Whether this is the request's one final answer.
    fn finish(&mut self, request: u64) -> bool {
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.answered) else {
            self.sums.second_finals += 1;
            return false;
        };
        open.answered = true;
        if open.out.iter().all(Option::is_none) {
            self.open.remove(&request);
        }
        true
    }

    fn expire(&mut self, request: u64) {
        let Some(open) = self.open.get(&request).filter(|open| !open.answered) else { return };
        let (sidecar, alive) = (open.sidecar, self.sidecars[open.sidecar].life == open.life);
        if alive {
            self.sums.expired += 1;
            self.finish(request);
            self.event(sidecar, Event::RequestAbandoned(RequestId(request)));
        } else {
            self.sums.lost += 1;
            self.open.remove(&request);
        }
    }

    fn send(&mut self, sidecar: usize, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        self.sums.sends += 1;
        let number = upstream.0 as usize - 1;
        let grace = (self.plan.drain_grace * 1e3) as Micros;
        let told = self.sidecars[sidecar].leaving.get(&upstream.0);
        if told.is_some_and(|told| self.now > told + grace) {
            self.sums.to_gone += 1;
        } else if told.is_none() && !self.servers[number].up {
            self.sums.to_gone_untold += 1;
        }
        let timeout = (timeout * 1e3) as Micros;
        let way = self.way(self.sidecars[sidecar].zone, self.servers[number].zone);
        let (outcome, takes) = match way {
            None => (Outcome::Unreachable, CONNECT_TIMEOUT),
            Some(_) if self.servers[number].vanished => (Outcome::Unreachable, CONNECT_TIMEOUT),
            Some(way) if !self.servers[number].up => (Outcome::Unreachable, 2 * way),
            Some(way) => {
                let (outcome, done) = self.serve(number, self.now + way);
                (outcome, done + way - self.now)
            }
        };
        let (outcome, takes) = if takes > timeout { (Outcome::TimedOut, timeout) } else { (outcome, takes) };
        let Some(open) = self.open.get_mut(&request.0) else { return };
        let attempt = open.out.len() as u32;
        open.out.push(Some((number, self.now)));
        let life = self.servers[number].life;
        self.after(takes, What::End { request: request.0, attempt, outcome, life });
    }

    /// The region of a zone; its discovery machine has the same number.
    fn region(&self, zone: usize) -> usize {
        zone * self.plan.regions / self.plan.zones
    }

    /// One way between two zones; none across a cut.
    fn way(&self, from: usize, to: usize) -> Option<Micros> {
        let (from_region, to_region) = (self.region(from), self.region(to));
        if self.cut && (from_region == 0) != (to_region == 0) {
            None
        } else if from == to {
            Some(150)
        } else if from_region == to_region {
            Some(500)
        } else {
            Some(10_000)
        }
    }

    /// What a server makes of a request, and when it is done with it.
    fn serve(&mut self, number: usize, at: Micros) -> (Outcome, Micros) {
        let per_server = self.plan.requests_per_s.max(1.0) / self.plan.servers as f64 / self.plan.load;
        let mean = SLOTS as f64 / per_server * 1e6;
        // A play with few requests has servers that are as fast as one in earnest, and idle.
        let mean = mean.min(SERVICE * 1e3);
        let work = -(1.0 - self.rng.rand_float()).ln() * mean;
        let (cold_start, now) = (self.plan.cold_start.clone(), self.now);
        let server = &mut self.servers[number];
        let warmth = warmth(&cold_start, server.born, at);
        if warmth < 1.0 {
            let fall = (cold_start.overload_duration * 1e3) as Micros;
            server.recent.push_back(at);
            while server.recent.front().is_some_and(|first| *first + fall <= at) {
                server.recent.pop_front();
            }
            let middle = at.saturating_sub(fall / 2);
            let present = self::warmth(&cold_start, server.born, middle.max(server.born.unwrap_or(0)));
            let whole = SLOTS as f64 / mean * 1e3;
            let allowed = cold_start.overload_multiple * present * whole * cold_start.overload_duration;
            let falls_at = allowed + 2.0 * allowed.sqrt() + 2.0;
            let sent = server.recent.len() as f64;
            server.worst = [server.worst[0].max(sent / allowed), server.worst[1].max(sent / falls_at)];
        }
        let fade = (-((at - server.busy_at.min(at)) as f64) / REPORT_OVER).exp();
        let busy = f64::from(server.in_flight).min(SLOTS as f64) / SLOTS as f64;
        server.busy = busy + (server.busy - busy) * fade;
        server.busy_at = at;
        if f64::from(server.in_flight) > SLOTS as f64 * (1.0 + QUEUE) {
            return (Outcome::Rejected, at);
        }
        server.in_flight += 1;
        let Some(slot) = server.free_at.iter_mut().min() else { return (Outcome::Rejected, now) };
        let done = at.max(*slot) + (work / warmth) as Micros;
        *slot = done;
        (Outcome::Ok, done)
    }

    fn end(&mut self, request: u64, attempt: u32, outcome: Outcome, life: u32) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some((number, sent)) = open.out.get_mut(attempt as usize).and_then(Option::take) else { return };
        let (sidecar, answered) = (open.sidecar, open.answered);
        let alive = self.sidecars[sidecar].up && self.sidecars[sidecar].life == open.life;
        if answered && open.out.iter().all(Option::is_none) {
            self.open.remove(&request);
        }
        let server = &mut self.servers[number];
        // Of an earlier life, or one that vanished meanwhile: the answer was lost with it.
        let outcome = match outcome {
            Outcome::Ok if server.life != life || server.vanished => Outcome::Reset,
            other => other,
        };
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        let report = (outcome == Outcome::Ok).then(|| Report0 {
            in_flight: Some(f64::from(server.in_flight)),
            utilisation: Some(server.busy),
            ..Report0::default()
        });
        if !alive {
            return;
        }
        let mut closed = answered;
        if outcome == Outcome::Ok && !answered {
            closed = self.finish(request);
            self.sums.served += 1;
            self.sums.first_region[1] += u64::from(self.region(self.sidecars[sidecar].zone) == 0);
        }
        self.event(
            sidecar,
            Event::AttemptFinished(AttemptFinished {
                request: RequestId(request),
                attempt: AttemptNo(attempt),
                upstream: UpstreamId(number as u64 + 1),
                outcome,
                latency: (self.now - sent) as f64 / 1e3,
                request_completed: closed,
                report,
            }),
        );
    }

    // --- Discovery ---------------------------------------------------------------------------

    /// A server changes; its region's machine hears of it first and tells the others.
    fn change(&mut self, number: usize, health: Health) {
        let server = &mut self.servers[number];
        match health {
            Health::Ready { .. } => {}
            Health::Draining => {}
            Health::Gone => server.up = false,
        }
        let id = self.changes.len() as u32;
        self.changes.push(Change { server: number, health, at: self.now, told: 0, last: self.now });
        let home = self.region(self.servers[number].zone);
        for machine in 0..self.machines.len() {
            if self.cut && (machine == 0) != (home == 0) {
                self.held_back[machine].push(id);
                continue;
            }
            let wait = if machine == home { 500 } else { self.within(10_000.0, 80_000.0) };
            self.after(wait, What::Learn { machine, changes: vec![id] });
        }
    }

    fn drain(&mut self) {
        let number = loop {
            let number = self.rng.rand_range(0..self.servers.len() as u64) as usize;
            let server = &self.servers[number];
            // One that is up, not in the zone that is to be lost, and not in the middle of a restart.
            let troubled = matches!(self.plan.trouble, Trouble::Zone { .. }) && server.zone == 0;
            let warm = server.born.is_none_or(|born| self.now > born + 1_000_000);
            if server.up
                && !troubled
                && warm
                && self.machines.iter().all(|m| m.health[number] != Health::Draining)
            {
                break number;
            }
        };
        self.change(number, Health::Draining);
        self.after(RESTART[0], What::Change { server: number, health: Health::Gone });
        self.after(RESTART[1], What::Return(number));
    }

    /// A server starts, cold and with nothing in hand.
    fn start(&mut self, number: usize) {
        let server = &mut self.servers[number];
        (server.up, server.vanished, server.born) = (true, false, Some(self.now));
        server.life += 1;
        (server.free_at, server.in_flight, server.busy) = ([0; SLOTS], 0, 0.0);
        server.recent.clear();
        self.change(number, Health::Ready { born: Some(self.now) });
    }

    fn vanish(&mut self) {
        for number in 0..self.servers.len() {
            if self.servers[number].zone == 0 {
                (self.servers[number].vanished, self.servers[number].up) = (true, false);
                let wait = self.within(NOTICE[0], NOTICE[1]);
                self.after(wait, What::Change { server: number, health: Health::Gone });
            }
        }
        for sidecar in self.sidecars.iter_mut().filter(|sidecar| sidecar.zone == 0) {
            sidecar.up = false;
            sidecar.open = false;
            sidecar.life += 1;
            sidecar.watch += 1;
            // It starts again with the list that it has in its configuration: of its start.
            sidecar.applied.clear();
            sidecar.leaving.clear();
            sidecar.seq = 0;
            sidecar.back_off = BACK_OFF;
        }
    }

    fn lose_machine(&mut self) {
        self.machines[0].lost = Some(self.now);
        let silent = matches!(self.plan.trouble, Trouble::Machine { silent: true, .. });
        for sidecar in 0..self.sidecars.len() {
            let of = &self.sidecars[sidecar];
            if of.machine != 0 || !of.open {
                continue;
            }
            let watch = of.watch;
            if silent {
                let line = self.now - (self.now + LINE_EVERY - of.line_phase) % LINE_EVERY;
                let by = line.max(of.last_object) + SILENCE;
                self.at(by.max(self.now), What::Silent { sidecar, watch });
            } else {
                let way = self.within(200.0, 600.0);
                self.after(way, What::Ended { sidecar, watch });
            }
        }
    }

    fn set_cut(&mut self, cut: bool) {
        self.cut = cut;
        if !cut {
            for machine in 0..self.machines.len() {
                let changes = std::mem::take(&mut self.held_back[machine]);
                let wait = self.within(10_000.0, 80_000.0);
                self.after(wait, What::Learn { machine, changes });
            }
        }
    }

    /// A machine learns of changes and tells those who watch it and list what changed.
    fn learn(&mut self, machine: usize, changes: Vec<u32>) {
        if self.machines[machine].lost.is_some() {
            return;
        }
        let known = self.machines[machine].log.len();
        for id in &changes {
            let change = &self.changes[*id as usize];
            self.machines[machine].health[change.server] = change.health;
            self.machines[machine].log.push(*id);
        }
        let mut concerned: BTreeSet<u32> = BTreeSet::new();
        for id in &changes {
            concerned.extend(&self.callers[self.servers[self.changes[*id as usize].server].service]);
        }
        let concerned: Vec<usize> = concerned
            .into_iter()
            .map(|sidecar| sidecar as usize)
            .filter(|s| {
                self.sidecars[*s].up && self.sidecars[*s].open && self.sidecars[*s].machine == machine
            })
            .collect();
        for sidecar in concerned {
            // What a machine missed by more than its history it gets, and tells, as a whole list.
            let whole = changes.len() > self.plan.history;
            self.tell(sidecar, machine, if whole { None } else { Some(known) });
        }
    }

    /// Puts an object on its way: what came after a place in the machine's log, or the whole list.
    fn tell(&mut self, sidecar: usize, machine: usize, from: Option<usize>) {
        let mine: BTreeSet<usize> = self.sidecars[sidecar].services.iter().copied().collect();
        let log = &self.machines[machine].log;
        let of_mine = |id: &&u32| mine.contains(&self.servers[self.changes[**id as usize].server].service);
        let (news, entries) = match from {
            Some(from) => {
                let changes: Vec<u32> = log[from..].iter().filter(of_mine).copied().collect();
                let servers: BTreeSet<usize> =
                    changes.iter().map(|id| self.changes[*id as usize].server).collect();
                (News::Changes(changes), servers.into_iter().collect::<Vec<_>>())
            }
            None => {
                let health = &self.machines[machine].health;
                let there: Vec<(usize, Health)> = self
                    .listed_by(sidecar)
                    .map(|s| (s, health[s]))
                    .filter(|(_, h)| *h != Health::Gone)
                    .collect();
                let servers = there.iter().map(|(server, _)| *server).collect();
                (News::Whole(there, log.iter().filter(of_mine).copied().collect()), servers)
            }
        };
        let object = r#"{"seq":100000,"whole":false,"hosts":[]}"#.len() as u64 + 8;
        let bytes = object + entries.iter().map(|server| self.servers[*server].entry_bytes).sum::<u64>();
        match from {
            Some(_) => (self.sums.deltas += 1, self.sums.delta_bytes += bytes),
            None => (self.sums.whole += 1, self.sums.whole_bytes += bytes),
        };
        self.lists.count(self.now, 1);
        let seq = self.machines[machine].log.len();
        let free = &mut self.machines[machine].free_at;
        *free = (*free).max(self.now) + (bytes as f64 / EGRESS) as Micros + PER_OBJECT;
        let written = *free;
        self.list_bytes.count(written, bytes);
        let at = written + self.within(200.0, 1_000.0);
        let watch = self.sidecars[sidecar].watch;
        if at > self.now + SILENCE {
            // An object that has begun and does not end in time breaks the watch, and is lost.
            self.sidecars[sidecar].seq = 0;
            self.after(SILENCE, What::Silent { sidecar, watch });
        } else {
            self.at(at, What::Told { sidecar, watch, seq, news });
        }
    }

    fn told(&mut self, sidecar: usize, news: News) {
        self.sidecars[sidecar].told_since_open = true;
        self.sidecars[sidecar].last_object = self.now;
        let (list, applied) = match news {
            News::Changes(changes) => {
                let latest: BTreeMap<usize, Health> = changes
                    .iter()
                    .map(|id| &self.changes[*id as usize])
                    .map(|change| (change.server, change.health))
                    .collect();
                let listings = latest.iter().map(|(server, health)| self.listing(*server, *health)).collect();
                (DiscoveryUpdate::Delta(listings), changes)
            }
            News::Whole(there, changes) => {
                let listings: Vec<UpstreamRecord> =
                    there.iter().map(|(server, health)| self.listing(*server, *health)).collect();
                for server in self.listed_by(sidecar).collect::<Vec<_>>() {
                    if !there.iter().any(|(listed, _)| *listed == server) {
                        self.sidecars[sidecar].leaving.entry(server as u64 + 1).or_insert(self.now);
                    }
                }
                (DiscoveryUpdate::Snapshot(listings), changes)
            }
        };
        if let DiscoveryUpdate::Delta(listings) | DiscoveryUpdate::Snapshot(listings) = &list {
            for listing in listings {
                match listing.lifecycle {
                    Lifecycle::Serving => self.sidecars[sidecar].leaving.remove(&listing.upstream.0),
                    // From the first time on: that it is gone is no new start of the grace.
                    Lifecycle::Draining => {
                        Some(*self.sidecars[sidecar].leaving.entry(listing.upstream.0).or_insert(self.now))
                    }
                };
            }
        }
        for id in applied {
            self.sidecars[sidecar].applied.insert(id);
            if self.sidecars[sidecar].counted.insert(id) {
                let change = &mut self.changes[id as usize];
                (change.told, change.last) = (change.told + 1, self.now);
                self.in_force.record(self.now - change.at);
            }
        }
        self.event(sidecar, Event::DiscoveryUpdated(list));
    }

    /// Which machine a sidecar's calls lead to, if any answers.
    fn machine_for(&self, sidecar: usize) -> Result<usize, bool> {
        let home = self.region(self.sidecars[sidecar].zone);
        match self.machines[home].lost {
            None => Ok(home),
            Some(lost) if self.now < lost + FAILOVER => {
                Err(matches!(self.plan.trouble, Trouble::Machine { silent: true, .. }))
            }
            Some(_) => Ok((home + 1 + sidecar % (self.machines.len() - 1)) % self.machines.len()),
        }
    }

    fn call(&mut self, sidecar: usize) {
        self.calls.count(self.now, 1);
        let watch = self.sidecars[sidecar].watch;
        let again = self.pushed() || self.sidecars[sidecar].told_since_open;
        match self.machine_for(sidecar) {
            Ok(machine) => {
                let wait = self.within(300.0, 1_200.0);
                self.after(wait, What::Answered { sidecar, watch, machine });
            }
            // It tries on at its pace where it keeps the watch by itself.
            Err(_) if again => {
                let pace = (self.plan.drain_grace * 1e3 * PACE_SHARE).clamp(PACE[0], PACE[1]);
                let wait = self.within(0.0, pace);
                self.after(wait, What::Call { sidecar, watch });
            }
            Err(hangs) => self.after(if hangs { CALL } else { 500 }, What::CallFailed { sidecar, watch }),
        }
    }

    fn answered(&mut self, sidecar: usize, machine: usize) {
        if self.machines[machine].lost.is_some() {
            return self.watch_ended(sidecar);
        }
        let moved = self.sidecars[sidecar].machine != machine;
        let of = &mut self.sidecars[sidecar];
        (of.open, of.machine, of.told_since_open) = (true, machine, false);
        of.line_phase = self.now % LINE_EVERY;
        of.last_object = self.now;
        // Where versions are shared, it is told what it has not been told, whoever told it the rest.
        let log = &self.machines[machine].log;
        let of = &self.sidecars[sidecar];
        let from = if moved {
            let services: BTreeSet<usize> = of.services.iter().copied().collect();
            let missed = log.iter().position(|id| {
                let service = self.servers[self.changes[*id as usize].server].service;
                services.contains(&service) && !of.applied.contains(id)
            });
            missed.unwrap_or(log.len())
        } else {
            of.seq.min(log.len())
        };
        let too_old = log.len() - from > self.plan.history || (moved && !self.plan.shared_versions);
        self.tell(sidecar, machine, (!too_old).then_some(from));
    }

    fn watch_ended(&mut self, sidecar: usize) {
        self.sidecars[sidecar].open = false;
        self.sidecars[sidecar].watch += 1;
        if self.pushed() {
            self.back_off(sidecar, false);
        } else {
            self.sidecars[sidecar].told_since_open = false;
            self.event(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
        }
    }

    /// One that fell silent has taken its time already.
    fn back_off(&mut self, sidecar: usize, silent: bool) {
        let pace = (self.plan.drain_grace * 1e3 * PACE_SHARE).clamp(PACE[0], PACE[1]) as Micros;
        let of = &mut self.sidecars[sidecar];
        of.back_off = if of.told_since_open || silent { BACK_OFF } else { (2 * of.back_off).min(pace) };
        let (longest, watch) = (of.back_off, of.watch);
        let wait = self.within(0.0, longest as f64);
        self.after(wait, What::Call { sidecar, watch });
    }

    // --- The report --------------------------------------------------------------------------

    fn report(mut self) -> Report {
        let mut everywhere = Spread::default();
        let mut later = Spread::default();
        let (mut missing, mut after) = (0, 0);
        for (id, change) in self.changes.iter().enumerate() {
            let callers = &self.callers[self.servers[change.server].service];
            let applied = |sidecar: &&u32| self.sidecars[**sidecar as usize].applied.contains(&(id as u32));
            let lacking = callers.iter().filter(|sidecar| !applied(sidecar)).count();
            missing += lacking;
            if lacking == 0 {
                if change.at < self.late_from {
                    after = after.max(change.last.saturating_sub(self.late_from));
                }
                everywhere.record(change.last - change.at);
                if change.at + SILENCE >= self.late_from && change.at < self.late_from + 5_000_000 {
                    later.record(change.last - change.at);
                }
            }
        }
        // In thousandths: a spread is of whole numbers.
        let (mut cold, mut fall) = (Spread::default(), Spread::default());
        let over = self.servers.iter().filter(|server| server.worst[1] >= 1.0).count();
        for server in self.servers.iter().filter(|server| server.worst[0] > 0.0) {
            cold.record((server.worst[0] * 1e3).round() as u64);
            fall.record((server.worst[1] * 1e3).round() as u64);
        }
        let unanswered = self.open.values().filter(|open| !open.answered).count();
        let sidecars = self.sidecars.len() as f64;
        let told = self.sums.whole_bytes + self.sums.delta_bytes;
        let lines = self.plan.span as f64 / 2e3 * LINE_BYTES as f64;
        let calls = self.calls.total() as f64;
        let per_s = (told as f64 + calls * HEAD_BYTES as f64) / sidecars + lines;
        let mut report = Report::named(&self.plan.name);
        report.put("changes", self.changes.len() as f64);
        report.put("changes lacking at a sidecar at the end", missing as f64);
        report.spread("in force everywhere, ms", &mut everywhere, 1e3);
        report.spread("in force at one sidecar, ms", &mut self.in_force, 1e3);
        if self.plan.trouble != Trouble::None {
            report.spread("made about the trouble, everywhere, ms", &mut later, 1e3);
            report.put("made before its end, last in force after, ms", after as f64 / 1e3);
        }
        report.calls("calls", &self.calls);
        report.calls("objects", &self.lists);
        report.calls("bytes", &self.list_bytes);
        report.put("whole lists", self.sums.whole as f64);
        report.put("bytes in whole lists", self.sums.whole_bytes as f64);
        report.put("deltas", self.sums.deltas as f64);
        report.put("bytes in deltas", self.sums.delta_bytes as f64);
        report.put("bytes a second to a sidecar, with empty lines", per_s / (self.plan.span as f64 / 1e3));
        report.put("bytes of the calls", calls * CALL_BYTES as f64);
        report.put("requests", self.sums.requests as f64);
        report.put("served", self.sums.served as f64);
        report.put("refused", self.sums.refused as f64);
        report.put("failed", self.sums.failed as f64);
        report.put("ended by their time", self.sums.expired as f64);
        report.put("lost with their sidecar", self.sums.lost as f64);
        report.put("with no final answer", unanswered as f64);
        report.put("second final answers", self.sums.second_finals as f64);
        if matches!(self.plan.trouble, Trouble::Cut { .. }) {
            report.put("requests in the region cut off", self.sums.first_region[0] as f64);
            report.put("served there", self.sums.first_region[1] as f64);
        }
        report.put("sends", self.sums.sends as f64);
        report.put("sends to the gone after the grace", self.sums.to_gone as f64);
        report.put("sends to the gone, not yet told", self.sums.to_gone_untold as f64);
        report.put("probes", self.sums.probes as f64);
        if matches!(self.plan.trouble, Trouble::Zone { .. }) {
            report.put("cold servers that would fall", over as f64);
            report.spread("worst window of a cold server, share of its budget", &mut cold, 1e3);
            report.spread("the same, of what makes it fall", &mut fall, 1e3);
        }
        report
    }
}

/// A load report, in the module's terms.
type Report0 = sagemast::api::LoadReport;

/// How long a client waits (ms).
const DEADLINE: Millis = 1_500.0;
/// The mean time that a request takes a warm server by itself, where it is not set by the load (ms).
const SERVICE: f64 = 30.0;

/// The share of its capacity that a server has: what the settings grant it, and no more.
fn warmth(cold_start: &ColdStartLimits, born: Option<Micros>, at: Micros) -> f64 {
    let Some(born) = born else { return 1.0 };
    let age = at.saturating_sub(born) as f64 / 1e3 / cold_start.warm_up;
    (cold_start.initial_capacity_fraction + (1.0 - cold_start.initial_capacity_fraction) * age).min(1.0)
}

fn module(plan: &Plan, number: usize, zone: usize, life: u32) -> Balancer {
    let class =
        |effect| Class { latency_target: 400.0, value: 1.0, late_value_fraction: 0.2, idempotency: effect };
    let settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, window: 1_000.0 }),
            class(Idempotency::NonIdempotent),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(zone as u64),
        sidecar_count: plan.sidecars as u32,
        sidecar_index: Some(number as u32),
        zone_crossing_cost: 0.03,
        probe_cost: 0.01,
        reports_in_responses: true,
        limits: Limits {
            max_attempts: 3,
            allow_concurrent_attempts: false,
            allow_probes: false,
            allow_cancellation: true,
            max_retry_after: 400.0,
            min_event_interval: 4.0,
        },
        cold_start: plan.cold_start.clone(),
        discovery: plan.discovery,
    };
    let seed = plan.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(life) << 48;
    Balancer::new(settings, seed)
}
