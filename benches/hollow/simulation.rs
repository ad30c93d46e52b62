//! Discrete-event simulation of a fleet: real decision modules ([`sagemast::Balancer`], through the public interface
//! only) on a virtual clock, with models of the servers, the discovery nodes and the discovery watch. A scenario and
//! its seed determine the report completely. Shared by the bench and by `tests/hollow.rs`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::ring_position;
use sagemast::subscription::{
    Action as SubscriptionAction, ConnectionId, Subscription, SubscriptionSettings, UpdateInfo,
    UpdateVerdict, WATCH_IDLE_TIMEOUT,
};

use crate::report::{BinnedCounts, Distribution, Report};

/// Virtual time or a duration, in microseconds. Time 0 is the start of the simulation.
type Micros = u64;

/// Interval of the keep-alive lines on an open watch.
const KEEPALIVE_INTERVAL_US: Micros = 2_000_000;
/// Size of a keep-alive line with its chunk framing.
const KEEPALIVE_BYTES: u64 = 6;
/// Size of the chunk framing of an update.
const CHUNK_FRAMING_BYTES: u64 = 8;
/// Sizes of the headers of a call to discovery and of its response.
const CALL_HEADER_BYTES: u64 = 75;
const RESPONSE_HEADER_BYTES: u64 = 47;

/// Egress bandwidth of a discovery node, shared by all its watches: 1 Gbit/s.
const NODE_EGRESS_BYTES_PER_US: f64 = 125.0;
/// Processing time of a discovery node per update sent.
const NODE_TIME_PER_UPDATE_US: Micros = 5;
/// Time after the loss of a discovery node until its sidecars are routed to the other nodes.
const NODE_FAILOVER_US: Micros = 1_000_000;

/// Time after which a call to a failed node is refused; a silent node refuses no call.
const CALL_REFUSAL_US: Micros = 500;
/// Bounds of the time from a call to discovery until the watch is open.
const MIN_WATCH_OPEN_US: f64 = 300.0;
const MAX_WATCH_OPEN_US: f64 = 1_200.0;
/// Bounds of the time from the writing of an update until the sidecar has received it.
const MIN_UPDATE_DELIVERY_US: f64 = 200.0;
const MAX_UPDATE_DELIVERY_US: f64 = 1_000.0;
/// Bounds of the time from the loss of a discovery node until a sidecar notices that its watch was reset.
const MIN_WATCH_RESET_US: f64 = 200.0;
const MAX_WATCH_RESET_US: f64 = 600.0;
/// Time until the discovery node of a server's own region learns of a change of its health.
const HOME_NODE_DELAY_US: Micros = 500;
/// Bounds of the time until the change is replicated to another discovery node.
const MIN_REPLICATION_US: f64 = 10_000.0;
const MAX_REPLICATION_US: f64 = 80_000.0;

/// One-way network delays between a sidecar and a server.
const SAME_ZONE_DELAY_US: Micros = 150;
const SAME_REGION_DELAY_US: Micros = 500;
const CROSS_REGION_DELAY_US: Micros = 10_000;
/// A connection attempt without any response fails after this time.
const CONNECT_TIMEOUT_US: Micros = 250_000;
/// Requests that a server processes concurrently.
const SLOTS_PER_SERVER: usize = 4;
/// Queue capacity of a server per slot; requests beyond it are rejected.
const QUEUE_CAPACITY_PER_SLOT: f64 = 30.0;
/// Time constant of the exponential average behind the utilisation that servers report.
const UTILISATION_TIME_CONSTANT_US: f64 = 700_000.0;

/// Time from the start of a drain until the server terminates.
const DRAIN_UNTIL_GONE_US: Micros = 2_000_000;
/// Time from the start of a drain until the server is back.
const DRAIN_UNTIL_RESTART_US: Micros = 3_000_000;
/// A server that started less than this ago is not restarted again.
const MIN_UPTIME_BEFORE_DRAIN_US: Micros = 1_000_000;
/// Bounds of the delay after which discovery lists a crashed server as gone.
const MIN_CRASH_DETECTION_US: f64 = 5_000_000.0;
const MAX_CRASH_DETECTION_US: f64 = 8_000_000.0;
/// After a zone outage, servers and sidecars restart at random times within this period.
const ZONE_RESTART_SPREAD_US: f64 = 2_000_000.0;

/// Changes made until this long after the start of the observation are also reported separately.
const NEAR_FAULT_PERIOD_US: Micros = 5_000_000;

/// How long a client waits for its response.
const REQUEST_DEADLINE_MS: Millis = 1_500.0;
/// The client gives up this much later than the module assumes, so that the module can still end the request in time.
const CLIENT_DEADLINE_MARGIN_US: Micros = 1_000;
/// Request classes in the settings of the modules: one per kind of [`Idempotency`].
const CLASS_COUNT: u64 = 3;
/// Upper bound of the mean service time of a warm server.
const MAX_MEAN_SERVICE_TIME_MS: f64 = 30.0;

/// The fault that a scenario injects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault, only ordinary list changes.
    None,
    /// All servers and sidecars of the first zone fail at `start_ms` and restart cold from `end_ms` on.
    ZoneOutage { start_ms: u64, end_ms: u64 },
    /// The first discovery node fails for good. Its open watches fall silent if `silent`, else they are reset.
    DiscoveryNodeLoss { start_ms: u64, silent: bool },
    /// The first region is partitioned from the others.
    RegionPartition { start_ms: u64, end_ms: u64 },
    /// All watches are reset, and from then on a call is answered only after `delay_ms`.
    SlowDiscovery { start_ms: u64, delay_ms: u64 },
    /// All watches are reset, and from then on each node answers one call after the other, `calls_per_s` in a second.
    /// A call that was given up takes its turn as well.
    CrowdedDiscovery { start_ms: u64, calls_per_s: u64 },
}

/// The parameters of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// The name shown in the report.
    pub name: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of servers.
    pub servers: usize,
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of services; each server belongs to one.
    pub services: usize,
    /// The number of services that a sidecar calls and lists; 0 for all.
    pub services_per_sidecar: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of regions, each with one discovery node.
    pub regions: usize,
    /// Requests per second over all sidecars.
    pub requests_per_s: f64,
    /// Offered load as a fraction of the total server capacity, which sets the mean service time. At low request rates
    /// that time reaches its upper bound and the load is lower.
    pub offered_load: f64,
    /// The simulated time.
    pub duration_ms: u64,
    /// The start of requests and ordinary list changes.
    pub activity_start_ms: u64,
    /// The end of requests and ordinary list changes.
    pub activity_end_ms: u64,
    /// The number of ordinary drains and starts: half as many servers restart, each with one drain and one start.
    pub changes: usize,
    /// How sidecars receive the server list.
    pub discovery: DiscoveryMode,
    /// Whether all discovery nodes use the same version numbers. If not, a sidecar that moves to another node gets a
    /// snapshot.
    pub shared_versions: bool,
    /// The number of past changes that a discovery node can send as a delta; a sidecar that missed more gets a
    /// snapshot.
    pub delta_history: usize,
    /// Load limits of newly started servers.
    pub cold_start: ColdStartLimits,
    /// Whether discovery lists the start times of servers.
    pub list_start_times: bool,
    /// After a sidecar learns that a server drains, it must stop sending to it within this time.
    pub drain_grace_ms: f64,
    /// The injected fault.
    pub fault: Fault,
}

impl Scenario {
    /// The time from which discovery calls and updates are counted in bins.
    fn observation_start_ms(&self) -> u64 {
        match self.fault {
            Fault::None => 0,
            Fault::ZoneOutage { end_ms, .. } => end_ms,
            Fault::DiscoveryNodeLoss { start_ms, .. }
            | Fault::SlowDiscovery { start_ms, .. }
            | Fault::CrowdedDiscovery { start_ms, .. } => start_ms,
            Fault::RegionPartition { end_ms, .. } => end_ms,
        }
    }
}

/// What happens at a scheduled time. Servers, sidecars and discovery nodes are identified by their indices, changes by
/// their indices in [`Simulation::changes`].
enum SimulationEvent {
    RequestArrival,
    AttemptEnd { request: u64, attempt: u32, outcome: Outcome, server_incarnation: u32 },
    ClientDeadline(u64),
    TimerExpiry { sidecar: usize, incarnation: u32, token: u64 },
    SubscriptionWakeup { sidecar: usize, incarnation: u32 },
    ConnectionFailed { watch: WatchKey },
    WatchOpened { watch: WatchKey, node: usize },
    UpdateReceived { watch: WatchKey, log_position: usize, update: ListUpdate },
    WatchReset { watch: WatchKey },
    ChangesReachNode { node: usize, changes: Vec<u32> },
    HealthChange { server: usize, health: Health },
    DrainRandomServer,
    ZoneFailure,
    ServerStart(usize),
    SidecarRestart(usize),
    DiscoveryNodeFailure,
    ResetAllWatches,
    SetPartition(bool),
}

/// Identifies a connection to discovery over all sidecars and their restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WatchKey {
    sidecar: usize,
    incarnation: u32,
    connection: ConnectionId,
}

/// An entry of the event queue, ordered by time and then by id, which is the order of scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    id: u64,
}

/// The health of a server as discovery lists it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Ready { started_at: Option<Micros> },
    Draining,
    Gone,
}

/// An update of the server list on its way to a sidecar. Changes are indices into [`Simulation::changes`].
enum ListUpdate {
    Delta { changes: Vec<u32> },
    Snapshot { entries: Vec<ListEntry>, changes: Vec<u32> },
}

/// An entry of a snapshot.
struct ListEntry {
    server: usize,
    health: Health,
}

/// A change of the health of a server.
struct HealthChange {
    server: usize,
    health: Health,
    at: Micros,
    /// When the last sidecar so far applied it.
    last_applied_at: Micros,
}

/// Server model: a fixed number of slots with a bounded queue.
struct Server {
    service: usize,
    zone: usize,
    /// Size of its entry in the host list.
    entry_bytes: u64,
    ring_position: u64,
    running: bool,
    /// Connection attempts time out instead of being refused.
    unresponsive: bool,
    /// The number of restarts.
    incarnation: u32,
    started_at: Option<Micros>,
    /// When each slot will have completed all requests assigned to it.
    slot_free_at: [Micros; SLOTS_PER_SERVER],
    /// Requests in service or in the queue.
    in_flight: u32,
    /// Exponential average of the fraction of slots in use.
    utilisation: f64,
    utilisation_updated_at: Micros,
    /// Arrivals within the last `overload_duration` while the server was cold.
    recent_arrivals: VecDeque<Micros>,
    /// Peak number of recent arrivals of the cold server, as a fraction of the number that its capacity allows.
    peak_budget_fraction: f64,
    /// The same peak as a fraction of the number that makes the server fail.
    peak_failure_fraction: f64,
}

/// A discovery node.
struct DiscoveryNode {
    failed_at: Option<Micros>,
    /// The time at which all updates queued so far are sent.
    egress_free_at: Micros,
    /// The time at which all calls queued so far are answered, while discovery is crowded.
    calls_answered_at: Micros,
    /// The changes that it knows, as indices into [`Simulation::changes`], in the order in which it received them.
    change_log: Vec<u32>,
    /// The health of each server as this node knows it.
    health: Vec<Health>,
}

struct Sidecar {
    balancer: Balancer,
    /// The number of restarts.
    incarnation: u32,
    /// False from the failure of its zone until its restart.
    running: bool,
    zone: usize,
    /// The services that it calls and whose servers it lists.
    services: Vec<usize>,
    subscription: Subscription,
    /// When the subscription is woken up next.
    wakeup_at: Option<Micros>,
    /// The connections that the subscription has opened.
    watches: BTreeMap<ConnectionId, Watch>,
    /// The discovery node whose updates were received last.
    node: usize,
    /// The position in the node's change log up to which the sidecar has received updates.
    log_position: usize,
    /// The number of updates received, which stands for the version: the order of versions is not modelled.
    updates_received: u64,
    /// Changes that the module has received since the start of the sidecar.
    applied_changes: BTreeSet<u32>,
    /// Changes whose propagation delay has been recorded; kept across restarts.
    recorded_changes: BTreeSet<u32>,
    /// The time at which it learnt that an upstream drains or is gone, by upstream id.
    draining_since: BTreeMap<u64, Micros>,
}

/// A connection to discovery.
struct Watch {
    /// The node that serves it, once it is open.
    node: Option<usize>,
    /// Whether its node has failed without closing it.
    silent: bool,
    /// The time of its keep-alive lines modulo their interval.
    keepalive_phase: Micros,
    /// When it was opened or last delivered an update.
    last_update_at: Micros,
}

impl Watch {
    fn is_served(&self) -> bool {
        self.node.is_some() && !self.silent
    }
}

struct PendingRequest {
    sidecar: usize,
    sidecar_incarnation: u32,
    /// Whether the client has received its final response.
    completed: bool,
    /// Indexed by attempt number; `None` once the attempt has ended.
    attempts: Vec<Option<InFlightAttempt>>,
}

struct InFlightAttempt {
    server: usize,
    sent_at: Micros,
}

/// How a call to discovery fails.
struct CallFailure {
    /// The call is never answered instead of failing at once.
    hangs: bool,
}

/// Totals over a simulation.
#[derive(Default)]
struct Totals {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Requests that the client abandoned at its deadline.
    deadline_exceeded: u64,
    /// Requests whose sidecar failed with its zone.
    lost_with_sidecar: u64,
    first_region_requests: u64,
    first_region_served: u64,
    duplicate_final_responses: u64,
    /// Attempts sent.
    sends: u64,
    /// Sends to a server that drains or is gone, later than the grace period after the sidecar learnt of it.
    sends_after_grace: u64,
    /// Sends to a server that is down, before the sidecar learnt that it drains or is gone.
    sends_before_notice: u64,
    snapshots: u64,
    deltas: u64,
    snapshot_bytes: u64,
    delta_bytes: u64,
    probes: u64,
}

/// A running simulation.
pub struct Simulation {
    scenario: Scenario,
    now: Micros,
    /// The scheduled events, earliest first.
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    events_by_id: HashMap<u64, SimulationEvent>,
    last_event_id: u64,
    rng: Rand64,
    servers: Vec<Server>,
    sidecars: Vec<Sidecar>,
    /// The sidecars that list each service.
    sidecars_by_service: Vec<Vec<u32>>,
    servers_by_service: Vec<Vec<usize>>,
    nodes: Vec<DiscoveryNode>,
    /// All changes of the health of servers so far; other fields and events refer to them by index.
    changes: Vec<HealthChange>,
    pending_requests: HashMap<u64, PendingRequest>,
    last_request_id: u64,
    /// Whether the first region is partitioned from the others.
    partitioned: bool,
    /// Changes that wait for the end of the partition before they reach each discovery node.
    withheld_changes: Vec<Vec<u32>>,
    totals: Totals,
    discovery_calls: BinnedCounts,
    /// Updates of the server list that discovery has sent.
    updates: BinnedCounts,
    update_bytes: BinnedCounts,
    /// Times from a change to its application at each sidecar, in microseconds.
    propagation_delays: Distribution,
    observation_start: Micros,
    /// A buffer for the actions of a module, reused between events.
    actions: Vec<Action>,
}

impl Simulation {
    /// Sets up the fleet. Every sidecar starts with the current list; watches are open in push mode and requested by
    /// the modules otherwise.
    pub fn new(scenario: Scenario) -> Simulation {
        let mut rng = Rand64::new(u128::from(scenario.seed));
        let mut servers_by_service = vec![Vec::new(); scenario.services];
        let servers: Vec<Server> = (0..scenario.servers)
            .map(|server_index| {
                let service = server_index % scenario.services;
                servers_by_service[service].push(server_index);
                // Each service is spread over the zones, beginning in a zone that depends on the service.
                let zone = (server_index / scenario.services + 7 * service) % scenario.zones;
                let name = format!("s-{:08x}", (server_index as u32).wrapping_mul(0x9e37_79b9));
                let entry = format!(
                    r#"{{"host":"{name}","dial":"10.{zone}.{}.{}:7070","site":"z{zone:02}","class":"m2","block":{zone},"health":"ready","share":1.0,"born_ms":1764633600000}},"#,
                    server_index / 250,
                    server_index % 250,
                );
                Server {
                    service,
                    zone,
                    entry_bytes: entry.len() as u64,
                    ring_position: ring_position(name.as_bytes()),
                    running: true,
                    unresponsive: false,
                    incarnation: 0,
                    started_at: None,
                    slot_free_at: [0; SLOTS_PER_SERVER],
                    in_flight: 0,
                    utilisation: scenario.offered_load,
                    utilisation_updated_at: 0,
                    recent_arrivals: VecDeque::new(),
                    peak_budget_fraction: 0.0,
                    peak_failure_fraction: 0.0,
                }
            })
            .collect();
        let mut sidecars_by_service = vec![Vec::new(); scenario.services];
        let sidecars: Vec<Sidecar> = (0..scenario.sidecars)
            .map(|sidecar_index| {
                let mut services = BTreeSet::new();
                while services.len() < scenario.services_per_sidecar.min(scenario.services) {
                    services.insert(rng.rand_range(0..scenario.services as u64) as usize);
                }
                if scenario.services_per_sidecar == 0 {
                    services.extend(0..scenario.services);
                }
                services.iter().for_each(|service| sidecars_by_service[*service].push(sidecar_index as u32));
                let zone = sidecar_index % scenario.zones;
                Sidecar {
                    balancer: new_balancer(&scenario, sidecar_index, zone, 0),
                    incarnation: 0,
                    running: true,
                    zone,
                    services: services.into_iter().collect(),
                    subscription: new_subscription(&scenario, sidecar_index, 0),
                    wakeup_at: None,
                    watches: BTreeMap::new(),
                    node: zone * scenario.regions / scenario.zones,
                    log_position: 0,
                    updates_received: 0,
                    applied_changes: BTreeSet::new(),
                    recorded_changes: BTreeSet::new(),
                    draining_since: BTreeMap::new(),
                }
            })
            .collect();
        let nodes = (0..scenario.regions)
            .map(|_| DiscoveryNode {
                failed_at: None,
                egress_free_at: 0,
                calls_answered_at: 0,
                change_log: Vec::new(),
                health: vec![Health::Ready { started_at: None }; scenario.servers],
            })
            .collect();
        let (regions, observation_start) = (scenario.regions, scenario.observation_start_ms() * 1_000);
        let mut simulation = Simulation {
            scenario,
            now: 0,
            event_queue: BinaryHeap::new(),
            events_by_id: HashMap::new(),
            last_event_id: 0,
            rng,
            servers,
            sidecars,
            sidecars_by_service,
            servers_by_service,
            nodes,
            changes: Vec::new(),
            pending_requests: HashMap::new(),
            last_request_id: 0,
            partitioned: false,
            withheld_changes: vec![Vec::new(); regions],
            totals: Totals::default(),
            discovery_calls: BinnedCounts::starting_at(observation_start),
            updates: BinnedCounts::starting_at(observation_start),
            update_bytes: BinnedCounts::starting_at(observation_start),
            propagation_delays: Distribution::default(),
            observation_start,
            actions: Vec::new(),
        };
        simulation.schedule_scenario();
        for sidecar in 0..simulation.sidecars.len() {
            simulation.restore_list(sidecar);
            simulation.schedule_wakeup(sidecar);
        }
        simulation
    }

    /// Runs to the end of the scenario and returns the report.
    pub fn run(mut self) -> Report {
        let end = self.scenario.duration_ms * 1_000;
        while let Some(Reverse(ScheduledEvent { at, id })) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events_by_id.remove(&id) {
                self.handle(event);
            }
        }
        self.into_report()
    }

    /// Schedules an event at a virtual time.
    fn schedule_at(&mut self, at: Micros, event: SimulationEvent) {
        self.last_event_id += 1;
        self.event_queue.push(Reverse(ScheduledEvent { at, id: self.last_event_id }));
        self.events_by_id.insert(self.last_event_id, event);
    }

    /// Schedules an event after a delay from now.
    fn schedule_after(&mut self, delay: Micros, event: SimulationEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Draws a time from a uniform distribution.
    fn draw_uniform(&mut self, from_us: f64, to_us: f64) -> Micros {
        (from_us + (to_us - from_us) * self.rng.rand_float()) as Micros
    }

    /// Schedules the ordinary changes, the first request and the fault.
    fn schedule_scenario(&mut self) {
        let activity_start_us = self.scenario.activity_start_ms as f64 * 1e3;
        let activity_end_us = self.scenario.activity_end_ms as f64 * 1e3;
        for _ in 0..self.scenario.changes / 2 {
            let at = self.draw_uniform(activity_start_us, activity_end_us);
            self.schedule_at(at, SimulationEvent::DrainRandomServer);
        }
        if self.scenario.requests_per_s > 0.0 {
            self.schedule_at(activity_start_us as Micros, SimulationEvent::RequestArrival);
        }
        match self.scenario.fault {
            Fault::None => {}
            Fault::ZoneOutage { start_ms, end_ms } => {
                self.schedule_at(start_ms * 1_000, SimulationEvent::ZoneFailure);
                for server in
                    (0..self.servers.len()).filter(|s| self.servers[*s].zone == 0).collect::<Vec<_>>()
                {
                    let at = end_ms * 1_000 + self.draw_uniform(0.0, ZONE_RESTART_SPREAD_US);
                    self.schedule_at(at, SimulationEvent::ServerStart(server));
                }
                for sidecar in
                    (0..self.sidecars.len()).filter(|s| self.sidecars[*s].zone == 0).collect::<Vec<_>>()
                {
                    let at = end_ms * 1_000 + self.draw_uniform(0.0, ZONE_RESTART_SPREAD_US);
                    self.schedule_at(at, SimulationEvent::SidecarRestart(sidecar));
                }
            }
            Fault::DiscoveryNodeLoss { start_ms, .. } => {
                self.schedule_at(start_ms * 1_000, SimulationEvent::DiscoveryNodeFailure);
            }
            Fault::SlowDiscovery { start_ms, .. } | Fault::CrowdedDiscovery { start_ms, .. } => {
                self.schedule_at(start_ms * 1_000, SimulationEvent::ResetAllWatches);
            }
            Fault::RegionPartition { start_ms, end_ms } => {
                self.schedule_at(start_ms * 1_000, SimulationEvent::SetPartition(true));
                self.schedule_at(end_ms * 1_000, SimulationEvent::SetPartition(false));
            }
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrival => self.handle_request_arrival(),
            SimulationEvent::AttemptEnd { request, attempt, outcome, server_incarnation } => {
                self.finish_attempt(request, attempt, outcome, server_incarnation);
            }
            SimulationEvent::ClientDeadline(request) => self.expire_request(request),
            SimulationEvent::TimerExpiry { sidecar, incarnation, token }
                if self.sidecars[sidecar].incarnation == incarnation =>
            {
                self.deliver(sidecar, Event::TimerFired(token));
            }
            SimulationEvent::SubscriptionWakeup { sidecar, incarnation } => {
                self.wake_subscription(sidecar, incarnation);
            }
            SimulationEvent::ConnectionFailed { watch } | SimulationEvent::WatchReset { watch }
                if self.is_open(watch) =>
            {
                self.end_watch(watch);
            }
            SimulationEvent::WatchOpened { watch, node } if self.is_open(watch) => {
                self.open_watch(watch, node);
            }
            SimulationEvent::UpdateReceived { watch, log_position, update } if self.is_open(watch) => {
                self.receive_update(watch, log_position, update);
            }
            // Events of a connection that was closed or of an earlier incarnation of the sidecar.
            SimulationEvent::TimerExpiry { .. }
            | SimulationEvent::ConnectionFailed { .. }
            | SimulationEvent::WatchReset { .. }
            | SimulationEvent::WatchOpened { .. }
            | SimulationEvent::UpdateReceived { .. } => {}
            SimulationEvent::ChangesReachNode { node, changes } => self.apply_at_node(node, changes),
            SimulationEvent::HealthChange { server, health } => self.change_health(server, health),
            SimulationEvent::DrainRandomServer => self.drain_random_server(),
            SimulationEvent::ZoneFailure => self.fail_first_zone(),
            SimulationEvent::ServerStart(server) => self.start_server(server),
            SimulationEvent::SidecarRestart(sidecar) => {
                let (incarnation, zone) = (self.sidecars[sidecar].incarnation, self.sidecars[sidecar].zone);
                let now_ms = self.now as f64 / 1e3;
                self.sidecars[sidecar].balancer = new_balancer(&self.scenario, sidecar, zone, incarnation);
                self.sidecars[sidecar].subscription = new_subscription(&self.scenario, sidecar, incarnation);
                self.sidecars[sidecar].running = true;
                self.restore_list(sidecar);
                self.drive_subscription(sidecar, |subscription, out| subscription.on_wakeup(now_ms, out));
            }
            SimulationEvent::DiscoveryNodeFailure => self.fail_first_node(),
            SimulationEvent::ResetAllWatches => self.reset_all_watches(),
            SimulationEvent::SetPartition(partitioned) => self.set_partition(partitioned),
        }
    }

    /// Whether a connection is open: its sidecar runs and has not closed it.
    fn is_open(&self, watch: WatchKey) -> bool {
        let sidecar = &self.sidecars[watch.sidecar];
        sidecar.running
            && sidecar.incarnation == watch.incarnation
            && sidecar.watches.contains_key(&watch.connection)
    }

    // --- Decision modules ----------------------------------------------------------------------

    /// Passes an event to the module of a sidecar and executes the resulting actions.
    fn deliver(&mut self, sidecar: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.sidecars[sidecar].balancer.handle(self.now as f64 / 1e3, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(sidecar, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => {
                self.send_attempt(sidecar, request, upstream, timeout);
            }
            Action::Cancel { request, attempt } => {
                // Only compared for `Outcome::Ok`, so the value is irrelevant here.
                let server_incarnation = 0;
                self.schedule_after(
                    0,
                    SimulationEvent::AttemptEnd {
                        request: request.0,
                        attempt: attempt.0,
                        outcome: Outcome::Cancelled,
                        server_incarnation,
                    },
                );
            }
            Action::Refuse { request, .. } => {
                if self.complete_request(request.0) {
                    self.totals.refused += 1;
                }
            }
            Action::Fail(request) => {
                if self.complete_request(request.0) {
                    self.totals.failed += 1;
                }
            }
            // Probes are disabled in the settings; the report shows if any is requested.
            Action::Probe(_) => self.totals.probes += 1,
            Action::SetTimer { at, token } => {
                let incarnation = self.sidecars[sidecar].incarnation;
                self.schedule_at(
                    ((at * 1e3).ceil() as Micros).max(self.now),
                    SimulationEvent::TimerExpiry { sidecar, incarnation, token },
                );
            }
            Action::Subscribe => {
                let now_ms = self.now as f64 / 1e3;
                self.drive_subscription(sidecar, |subscription, out| subscription.on_requested(now_ms, out));
            }
            Action::Log(_) => {}
        }
    }

    /// Gives a starting sidecar the current list of its discovery node as the list saved before the restart.
    fn restore_list(&mut self, sidecar: usize) {
        let node = self.sidecars[sidecar].node;
        let records = self
            .servers_listed_by(sidecar)
            .filter(|server| self.nodes[node].health[*server] != Health::Gone)
            .map(|server| self.upstream_record(server, self.nodes[node].health[server]))
            .collect();
        self.deliver(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(records)));
    }

    fn servers_listed_by(&self, sidecar: usize) -> impl Iterator<Item = usize> {
        self.sidecars[sidecar]
            .services
            .iter()
            .flat_map(|service| self.servers_by_service[*service].iter().copied())
    }

    /// The record that the module receives. The id of an upstream is the index of its server plus 1.
    fn upstream_record(&self, server_index: usize, health: Health) -> UpstreamRecord {
        let server = &self.servers[server_index];
        UpstreamRecord {
            upstream: UpstreamId(server_index as u64 + 1),
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
                Health::Ready { started_at: Some(started_at) } if self.scenario.list_start_times => {
                    Some(started_at as f64 / 1e3)
                }
                _ => None,
            },
        }
    }

    // --- Requests ------------------------------------------------------------------------------

    /// Creates a request at a random sidecar and schedules the next arrival (Poisson process).
    fn handle_request_arrival(&mut self) {
        let gap_us = -(1.0 - self.rng.rand_float()).ln() * 1e6 / self.scenario.requests_per_s;
        if self.now + gap_us as Micros <= self.scenario.activity_end_ms * 1_000 {
            self.schedule_after(gap_us as Micros, SimulationEvent::RequestArrival);
        }
        let sidecar = self.rng.rand_range(0..self.sidecars.len() as u64) as usize;
        if !self.sidecars[sidecar].running {
            return;
        }
        self.last_request_id += 1;
        let (request, sidecar_incarnation) = (self.last_request_id, self.sidecars[sidecar].incarnation);
        self.totals.requests += 1;
        self.totals.first_region_requests += u64::from(self.region_of(self.sidecars[sidecar].zone) == 0);
        self.pending_requests.insert(
            request,
            PendingRequest { sidecar, sidecar_incarnation, completed: false, attempts: Vec::new() },
        );
        let class = ClassId(self.rng.rand_range(0..CLASS_COUNT) as usize);
        self.schedule_after(
            (REQUEST_DEADLINE_MS * 1e3) as Micros + CLIENT_DEADLINE_MARGIN_US,
            SimulationEvent::ClientDeadline(request),
        );
        let request = RequestId(request);
        self.deliver(
            sidecar,
            Event::RequestArrived {
                request,
                class,
                tenant: TenantId(0),
                time_left: REQUEST_DEADLINE_MS,
                cost: None,
            },
        );
    }

    /// Records a final response. Returns false and counts a duplicate if the request already had one.
    fn complete_request(&mut self, request: u64) -> bool {
        let Some(pending) = self.pending_requests.get_mut(&request).filter(|pending| !pending.completed)
        else {
            self.totals.duplicate_final_responses += 1;
            return false;
        };
        pending.completed = true;
        if pending.attempts.iter().all(Option::is_none) {
            self.pending_requests.remove(&request);
        }
        true
    }

    /// Handles the client deadline of a request, unless it has been completed.
    fn expire_request(&mut self, request: u64) {
        let Some(pending) = self.pending_requests.get(&request).filter(|pending| !pending.completed) else {
            return;
        };
        let (sidecar, same_incarnation) =
            (pending.sidecar, self.sidecars[pending.sidecar].incarnation == pending.sidecar_incarnation);
        if same_incarnation {
            self.totals.deadline_exceeded += 1;
            self.complete_request(request);
            self.deliver(sidecar, Event::RequestAbandoned(RequestId(request)));
        } else {
            self.totals.lost_with_sidecar += 1;
            self.pending_requests.remove(&request);
        }
    }

    /// Sends an attempt and schedules its end.
    fn send_attempt(&mut self, sidecar: usize, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        self.totals.sends += 1;
        let server_index = upstream.0 as usize - 1;
        let grace = (self.scenario.drain_grace_ms * 1e3) as Micros;
        // Count sends to servers that drain, are gone or are down.
        let draining_since = self.sidecars[sidecar].draining_since.get(&upstream.0);
        if draining_since.is_some_and(|since| self.now > since + grace) {
            self.totals.sends_after_grace += 1;
        } else if draining_since.is_none() && !self.servers[server_index].running {
            self.totals.sends_before_notice += 1;
        }
        // Determine how and when the attempt ends.
        let timeout = (timeout * 1e3) as Micros;
        let one_way_delay = self.one_way_delay(self.sidecars[sidecar].zone, self.servers[server_index].zone);
        let (outcome, latency) = match one_way_delay {
            None => (Outcome::Unreachable, CONNECT_TIMEOUT_US),
            Some(_) if self.servers[server_index].unresponsive => (Outcome::Unreachable, CONNECT_TIMEOUT_US),
            Some(delay) if !self.servers[server_index].running => (Outcome::Unreachable, 2 * delay),
            Some(delay) => {
                let (outcome, done_at) = self.serve_request(server_index, self.now + delay);
                (outcome, done_at + delay - self.now)
            }
        };
        let (outcome, latency) =
            if latency > timeout { (Outcome::TimedOut, timeout) } else { (outcome, latency) };
        // Register the attempt and schedule its end.
        let Some(pending) = self.pending_requests.get_mut(&request.0) else { return };
        let attempt = pending.attempts.len() as u32;
        pending.attempts.push(Some(InFlightAttempt { server: server_index, sent_at: self.now }));
        let server_incarnation = self.servers[server_index].incarnation;
        self.schedule_after(
            latency,
            SimulationEvent::AttemptEnd { request: request.0, attempt, outcome, server_incarnation },
        );
    }

    /// The region of a zone, which is also the index of the region's discovery node.
    fn region_of(&self, zone: usize) -> usize {
        zone * self.scenario.regions / self.scenario.zones
    }

    /// The network delay between two zones; `None` across a partition.
    fn one_way_delay(&self, from_zone: usize, to_zone: usize) -> Option<Micros> {
        let (from_region, to_region) = (self.region_of(from_zone), self.region_of(to_zone));
        if self.partitioned && (from_region == 0) != (to_region == 0) {
            None
        } else if from_zone == to_zone {
            Some(SAME_ZONE_DELAY_US)
        } else if from_region == to_region {
            Some(SAME_REGION_DELAY_US)
        } else {
            Some(CROSS_REGION_DELAY_US)
        }
    }

    /// Serves or rejects a request that arrives at a server. Returns the outcome and the time of the response.
    fn serve_request(&mut self, server_index: usize, arrives_at: Micros) -> (Outcome, Micros) {
        let requests_per_s_per_server =
            self.scenario.requests_per_s.max(1.0) / self.scenario.servers as f64 / self.scenario.offered_load;
        let mean_service_time_us = SLOTS_PER_SERVER as f64 / requests_per_s_per_server * 1e6;
        // At low request rates the servers keep a realistic service time and are mostly idle.
        let mean_service_time_us = mean_service_time_us.min(MAX_MEAN_SERVICE_TIME_MS * 1e3);
        let work_us = -(1.0 - self.rng.rand_float()).ln() * mean_service_time_us;
        let (cold_start, now) = (self.scenario.cold_start.clone(), self.now);
        let server = &mut self.servers[server_index];
        let capacity = capacity_fraction(&cold_start, server.started_at, arrives_at);
        // Track the load of a cold server against the cold-start limits.
        if capacity < 1.0 {
            let window = (cold_start.overload_duration * 1e3) as Micros;
            server.recent_arrivals.push_back(arrives_at);
            while server.recent_arrivals.front().is_some_and(|first| *first + window <= arrives_at) {
                server.recent_arrivals.pop_front();
            }
            let window_middle = arrives_at.saturating_sub(window / 2);
            let mean_capacity = capacity_fraction(
                &cold_start,
                server.started_at,
                window_middle.max(server.started_at.unwrap_or(0)),
            );
            let full_capacity_per_ms = SLOTS_PER_SERVER as f64 / mean_service_time_us * 1e3;
            let allowed = cold_start.overload_multiple
                * mean_capacity
                * full_capacity_per_ms
                * cold_start.overload_duration;
            // Tolerates two standard deviations of a Poisson count above the budget.
            let failure_threshold = allowed + 2.0 * allowed.sqrt() + 2.0;
            let arrivals = server.recent_arrivals.len() as f64;
            server.peak_budget_fraction = server.peak_budget_fraction.max(arrivals / allowed);
            server.peak_failure_fraction = server.peak_failure_fraction.max(arrivals / failure_threshold);
        }
        // Update the utilisation that the server reports.
        let elapsed_us = (arrives_at - server.utilisation_updated_at.min(arrives_at)) as f64;
        let decay = (-elapsed_us / UTILISATION_TIME_CONSTANT_US).exp();
        let slots_in_use = f64::from(server.in_flight).min(SLOTS_PER_SERVER as f64) / SLOTS_PER_SERVER as f64;
        server.utilisation = slots_in_use + (server.utilisation - slots_in_use) * decay;
        server.utilisation_updated_at = arrives_at;
        // Reject the request if the queue is full; else assign it to the slot that is free first.
        if f64::from(server.in_flight) > SLOTS_PER_SERVER as f64 * (1.0 + QUEUE_CAPACITY_PER_SLOT) {
            return (Outcome::Rejected, arrives_at);
        }
        server.in_flight += 1;
        let Some(slot_free_at) = server.slot_free_at.iter_mut().min() else {
            return (Outcome::Rejected, now);
        };
        let done_at = arrives_at.max(*slot_free_at) + (work_us / capacity) as Micros;
        *slot_free_at = done_at;
        (Outcome::Ok, done_at)
    }

    /// Ends an attempt, completes its request if it was successful, and reports it to the module of its sidecar.
    fn finish_attempt(&mut self, request: u64, attempt: u32, outcome: Outcome, server_incarnation: u32) {
        let Some(pending) = self.pending_requests.get_mut(&request) else { return };
        let Some(InFlightAttempt { server: server_index, sent_at }) =
            pending.attempts.get_mut(attempt as usize).and_then(Option::take)
        else {
            return;
        };
        let (sidecar, already_completed) = (pending.sidecar, pending.completed);
        let sidecar_alive = self.sidecars[sidecar].running
            && self.sidecars[sidecar].incarnation == pending.sidecar_incarnation;
        if already_completed && pending.attempts.iter().all(Option::is_none) {
            self.pending_requests.remove(&request);
        }
        let server = &mut self.servers[server_index];
        // The response is lost if the server has crashed or restarted since the attempt was sent.
        let outcome = match outcome {
            Outcome::Ok if server.incarnation != server_incarnation || server.unresponsive => Outcome::Reset,
            other => other,
        };
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        let report = (outcome == Outcome::Ok).then(|| LoadReport {
            in_flight: Some(f64::from(server.in_flight)),
            utilisation: Some(server.utilisation),
            ..LoadReport::default()
        });
        if !sidecar_alive {
            return;
        }
        let mut request_completed = already_completed;
        if outcome == Outcome::Ok && !already_completed {
            request_completed = self.complete_request(request);
            self.totals.served += 1;
            self.totals.first_region_served += u64::from(self.region_of(self.sidecars[sidecar].zone) == 0);
        }
        self.deliver(
            sidecar,
            Event::AttemptFinished(AttemptFinished {
                request: RequestId(request),
                attempt: AttemptNo(attempt),
                upstream: UpstreamId(server_index as u64 + 1),
                outcome,
                latency: (self.now - sent_at) as f64 / 1e3,
                request_completed,
                report,
            }),
        );
    }

    // --- Discovery -----------------------------------------------------------------------------

    /// Changes the health of a server. The node of its region learns of it first and replicates it to the others.
    fn change_health(&mut self, server_index: usize, health: Health) {
        let server = &mut self.servers[server_index];
        match health {
            Health::Ready { .. } => {}
            Health::Draining => {}
            Health::Gone => server.running = false,
        }
        let change = self.changes.len() as u32;
        self.changes.push(HealthChange {
            server: server_index,
            health,
            at: self.now,
            last_applied_at: self.now,
        });
        let home_node = self.region_of(self.servers[server_index].zone);
        for node in 0..self.nodes.len() {
            if self.partitioned && (node == 0) != (home_node == 0) {
                self.withheld_changes[node].push(change);
                continue;
            }
            let delay = if node == home_node {
                HOME_NODE_DELAY_US
            } else {
                self.draw_uniform(MIN_REPLICATION_US, MAX_REPLICATION_US)
            };
            self.schedule_after(delay, SimulationEvent::ChangesReachNode { node, changes: vec![change] });
        }
    }

    /// Starts the restart of a random server that is up, not already restarting and outside a zone outage.
    fn drain_random_server(&mut self) {
        let server_index = loop {
            let server_index = self.rng.rand_range(0..self.servers.len() as u64) as usize;
            let server = &self.servers[server_index];
            let in_zone_outage = matches!(self.scenario.fault, Fault::ZoneOutage { .. }) && server.zone == 0;
            let up_long_enough =
                server.started_at.is_none_or(|started_at| self.now > started_at + MIN_UPTIME_BEFORE_DRAIN_US);
            if server.running
                && !in_zone_outage
                && up_long_enough
                && self.nodes.iter().all(|node| node.health[server_index] != Health::Draining)
            {
                break server_index;
            }
        };
        self.change_health(server_index, Health::Draining);
        self.schedule_after(
            DRAIN_UNTIL_GONE_US,
            SimulationEvent::HealthChange { server: server_index, health: Health::Gone },
        );
        self.schedule_after(DRAIN_UNTIL_RESTART_US, SimulationEvent::ServerStart(server_index));
    }

    /// Starts a server cold and idle.
    fn start_server(&mut self, server_index: usize) {
        let server = &mut self.servers[server_index];
        server.running = true;
        server.unresponsive = false;
        server.started_at = Some(self.now);
        server.incarnation += 1;
        server.slot_free_at = [0; SLOTS_PER_SERVER];
        server.in_flight = 0;
        server.utilisation = 0.0;
        server.recent_arrivals.clear();
        self.change_health(server_index, Health::Ready { started_at: Some(self.now) });
    }

    /// Stops all servers and sidecars of the first zone without a drain.
    fn fail_first_zone(&mut self) {
        for server_index in 0..self.servers.len() {
            if self.servers[server_index].zone == 0 {
                self.servers[server_index].unresponsive = true;
                self.servers[server_index].running = false;
                let delay = self.draw_uniform(MIN_CRASH_DETECTION_US, MAX_CRASH_DETECTION_US);
                self.schedule_after(
                    delay,
                    SimulationEvent::HealthChange { server: server_index, health: Health::Gone },
                );
            }
        }
        for sidecar in self.sidecars.iter_mut().filter(|sidecar| sidecar.zone == 0) {
            sidecar.running = false;
            sidecar.watches.clear();
            sidecar.wakeup_at = None;
            sidecar.incarnation += 1;
            // After its restart it counts as having received no changes.
            sidecar.applied_changes.clear();
            sidecar.draining_since.clear();
            sidecar.log_position = 0;
            sidecar.updates_received = 0;
        }
    }

    /// The open watches that a node serves.
    fn watches_of(&self, node: usize) -> Vec<WatchKey> {
        let keys = self.sidecars.iter().enumerate().filter(|(_, sidecar)| sidecar.running).flat_map(
            |(index, sidecar)| {
                let served =
                    sidecar.watches.iter().filter(|(_, watch)| watch.node == Some(node) && !watch.silent);
                served.map(move |(connection, _)| WatchKey {
                    sidecar: index,
                    incarnation: sidecar.incarnation,
                    connection: *connection,
                })
            },
        );
        keys.collect()
    }

    /// Stops the first discovery node; its watches are reset or fall silent.
    fn fail_first_node(&mut self) {
        self.nodes[0].failed_at = Some(self.now);
        let silent = matches!(self.scenario.fault, Fault::DiscoveryNodeLoss { silent: true, .. });
        for watch in self.watches_of(0) {
            if silent {
                self.silence_watch(watch);
            } else {
                self.schedule_reset(watch);
            }
        }
    }

    fn reset_all_watches(&mut self) {
        for node in 0..self.nodes.len() {
            self.watches_of(node).into_iter().for_each(|watch| self.schedule_reset(watch));
        }
    }

    fn schedule_reset(&mut self, watch: WatchKey) {
        let delay = self.draw_uniform(MIN_WATCH_RESET_US, MAX_WATCH_RESET_US);
        self.schedule_after(delay, SimulationEvent::WatchReset { watch });
    }

    /// A watch falls silent. Keep-alive lines are not simulated one by one: the last one is delivered now.
    fn silence_watch(&mut self, key: WatchKey) {
        let now = self.now;
        let Some(watch) = self.sidecars[key.sidecar].watches.get_mut(&key.connection) else { return };
        watch.silent = true;
        let since_keepalive = (now + KEEPALIVE_INTERVAL_US - watch.keepalive_phase) % KEEPALIVE_INTERVAL_US;
        let last_progress_ms = watch.last_update_at.max(now - since_keepalive) as f64 / 1e3;
        self.drive_subscription(key.sidecar, |subscription, out| {
            subscription.on_keep_alive(key.connection, last_progress_ms, out)
        });
    }

    /// Starts or ends the partition; at its end the withheld changes are replicated.
    fn set_partition(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
        if !partitioned {
            for node in 0..self.nodes.len() {
                let changes = std::mem::take(&mut self.withheld_changes[node]);
                let delay = self.draw_uniform(MIN_REPLICATION_US, MAX_REPLICATION_US);
                self.schedule_after(delay, SimulationEvent::ChangesReachNode { node, changes });
            }
        }
    }

    /// Adds changes to the log of a discovery node and sends them on the open watches that list the servers.
    fn apply_at_node(&mut self, node: usize, changes: Vec<u32>) {
        if self.nodes[node].failed_at.is_some() {
            return;
        }
        let previous_log_length = self.nodes[node].change_log.len();
        for id in &changes {
            let change = &self.changes[*id as usize];
            self.nodes[node].health[change.server] = change.health;
            self.nodes[node].change_log.push(*id);
        }
        let mut listing_sidecars: BTreeSet<u32> = BTreeSet::new();
        for id in &changes {
            let service = self.servers[self.changes[*id as usize].server].service;
            listing_sidecars.extend(&self.sidecars_by_service[service]);
        }
        let watchers: Vec<usize> = listing_sidecars
            .into_iter()
            .map(|sidecar| sidecar as usize)
            .filter(|sidecar| self.sidecars[*sidecar].running)
            .collect();
        for sidecar in watchers {
            let watches = self.sidecars[sidecar].watches.iter();
            let served = watches.filter(|(_, watch)| watch.is_served() && watch.node == Some(node));
            let connections: Vec<ConnectionId> = served.map(|(connection, _)| *connection).collect();
            for connection in connections {
                // A node that was sent more changes at once than its history holds cannot send them as a delta.
                let exceeds_history = changes.len() > self.scenario.delta_history;
                let from_log_position = (!exceeds_history).then_some(previous_log_length);
                self.send_update(self.watch_key(sidecar, connection), node, from_log_position);
            }
        }
    }

    /// Sends an update on a watch: the changes from a position in the node's change log on, or a snapshot if the
    /// position is `None`.
    fn send_update(&mut self, watch: WatchKey, node: usize, from_log_position: Option<usize>) {
        let sidecar = watch.sidecar;
        // Collect the content of the update and the servers that it names.
        let services: BTreeSet<usize> = self.sidecars[sidecar].services.iter().copied().collect();
        let change_log = &self.nodes[node].change_log;
        let is_listed =
            |id: &&u32| services.contains(&self.servers[self.changes[**id as usize].server].service);
        let (update, servers) = match from_log_position {
            Some(from) => {
                let changes: Vec<u32> = change_log[from..].iter().filter(is_listed).copied().collect();
                let servers: BTreeSet<usize> =
                    changes.iter().map(|id| self.changes[*id as usize].server).collect();
                (ListUpdate::Delta { changes }, servers.into_iter().collect::<Vec<_>>())
            }
            None => {
                let health = &self.nodes[node].health;
                let entries: Vec<ListEntry> = self
                    .servers_listed_by(sidecar)
                    .map(|server| ListEntry { server, health: health[server] })
                    .filter(|entry| entry.health != Health::Gone)
                    .collect();
                let servers = entries.iter().map(|entry| entry.server).collect();
                let changes = change_log.iter().filter(is_listed).copied().collect();
                (ListUpdate::Snapshot { entries, changes }, servers)
            }
        };
        // Count the update and its size.
        let envelope_bytes = r#"{"seq":100000,"whole":false,"hosts":[]}"#.len() as u64 + CHUNK_FRAMING_BYTES;
        let bytes =
            envelope_bytes + servers.iter().map(|server| self.servers[*server].entry_bytes).sum::<u64>();
        match from_log_position {
            Some(_) => (self.totals.deltas += 1, self.totals.delta_bytes += bytes),
            None => (self.totals.snapshots += 1, self.totals.snapshot_bytes += bytes),
        };
        self.updates.add(self.now, 1);
        // The node writes its updates one after another, limited by its bandwidth and processing time.
        let log_position = self.nodes[node].change_log.len();
        let egress_free_at = &mut self.nodes[node].egress_free_at;
        *egress_free_at = (*egress_free_at).max(self.now)
            + (bytes as f64 / NODE_EGRESS_BYTES_PER_US) as Micros
            + NODE_TIME_PER_UPDATE_US;
        let written_at = *egress_free_at;
        self.update_bytes.add(written_at, bytes);
        let received_at = written_at + self.draw_uniform(MIN_UPDATE_DELIVERY_US, MAX_UPDATE_DELIVERY_US);
        self.schedule_at(received_at, SimulationEvent::UpdateReceived { watch, log_position, update });
    }

    /// Hands a received update to the subscription, and to the module if it is to be applied.
    fn receive_update(&mut self, key: WatchKey, log_position: usize, update: ListUpdate) {
        let now = self.now;
        let sidecar = &mut self.sidecars[key.sidecar];
        let Some(watch) = sidecar.watches.get_mut(&key.connection) else { return };
        watch.last_update_at = now;
        sidecar.updates_received += 1;
        sidecar.log_position = log_position;
        sidecar.node = watch.node.unwrap_or(sidecar.node);
        let info = UpdateInfo {
            version: sidecar.updates_received,
            is_snapshot: matches!(update, ListUpdate::Snapshot { .. }),
            has_invalid_entries: false,
        };
        let mut verdict = UpdateVerdict::Ignore;
        self.drive_subscription(key.sidecar, |subscription, out| {
            verdict = subscription.on_update(key.connection, info, now as f64 / 1e3, out);
        });
        if verdict == UpdateVerdict::Apply {
            self.apply_update(key.sidecar, update);
        }
    }

    /// Passes a received update to the module and records the propagation delay of its changes.
    fn apply_update(&mut self, sidecar: usize, update: ListUpdate) {
        // Convert the update to the module's types; a delta holds only the latest change of each server.
        let (discovery_update, applied) = match update {
            ListUpdate::Delta { changes } => {
                let latest: BTreeMap<usize, Health> = changes
                    .iter()
                    .map(|id| &self.changes[*id as usize])
                    .map(|change| (change.server, change.health))
                    .collect();
                let records =
                    latest.iter().map(|(server, health)| self.upstream_record(*server, *health)).collect();
                (DiscoveryUpdate::Delta(records), changes)
            }
            ListUpdate::Snapshot { entries, changes } => {
                let records: Vec<UpstreamRecord> =
                    entries.iter().map(|entry| self.upstream_record(entry.server, entry.health)).collect();
                // Servers missing from a snapshot are gone.
                for server in self.servers_listed_by(sidecar).collect::<Vec<_>>() {
                    if !entries.iter().any(|entry| entry.server == server) {
                        self.sidecars[sidecar].draining_since.entry(server as u64 + 1).or_insert(self.now);
                    }
                }
                (DiscoveryUpdate::Snapshot(records), changes)
            }
        };
        // Note since when the sidecar knows that a server drains.
        if let DiscoveryUpdate::Delta(records) | DiscoveryUpdate::Snapshot(records) = &discovery_update {
            for record in records {
                match record.lifecycle {
                    Lifecycle::Serving => self.sidecars[sidecar].draining_since.remove(&record.upstream.0),
                    // The change from draining to gone does not restart the grace period.
                    Lifecycle::Draining => Some(
                        *self.sidecars[sidecar].draining_since.entry(record.upstream.0).or_insert(self.now),
                    ),
                };
            }
        }
        // Record the delay of each change that reaches this sidecar for the first time.
        for id in applied {
            self.sidecars[sidecar].applied_changes.insert(id);
            if self.sidecars[sidecar].recorded_changes.insert(id) {
                let change = &mut self.changes[id as usize];
                change.last_applied_at = self.now;
                self.propagation_delays.record(self.now - change.at);
            }
        }
        self.deliver(sidecar, Event::DiscoveryUpdated(discovery_update));
    }

    /// The discovery node that calls of a sidecar reach. After the failover time the sidecars of a failed node are
    /// spread over the other nodes.
    fn node_for(&self, sidecar: usize) -> Result<usize, CallFailure> {
        let home_node = self.region_of(self.sidecars[sidecar].zone);
        match self.nodes[home_node].failed_at {
            None => Ok(home_node),
            Some(failed_at) if self.now < failed_at + NODE_FAILOVER_US => {
                let hangs = matches!(self.scenario.fault, Fault::DiscoveryNodeLoss { silent: true, .. });
                Err(CallFailure { hangs })
            }
            Some(_) => Ok((home_node + 1 + sidecar % (self.nodes.len() - 1)) % self.nodes.len()),
        }
    }

    /// Passes an input to the subscription of a sidecar and carries out the resulting actions.
    fn drive_subscription(
        &mut self,
        sidecar: usize,
        input: impl FnOnce(&mut Subscription, &mut Vec<SubscriptionAction>),
    ) {
        let mut actions = Vec::new();
        input(&mut self.sidecars[sidecar].subscription, &mut actions);
        for action in actions {
            match action {
                SubscriptionAction::Open { connection, .. } => self.call_discovery(sidecar, connection),
                SubscriptionAction::Close(connection) => {
                    self.sidecars[sidecar].watches.remove(&connection);
                }
                SubscriptionAction::ReportUnavailable => {
                    self.deliver(sidecar, Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
                }
                SubscriptionAction::Log(_) => {}
            }
        }
        self.schedule_wakeup(sidecar);
    }

    /// Schedules the next wake-up of a subscription. None is needed while a watch is served: its keep-alive lines are
    /// not simulated.
    fn schedule_wakeup(&mut self, sidecar: usize) {
        let state = &self.sidecars[sidecar];
        if state.watches.values().any(Watch::is_served) {
            return;
        }
        let Some(at_ms) = state.subscription.next_wakeup() else { return };
        let at = ((at_ms * 1e3).ceil() as Micros).max(self.now);
        if state.wakeup_at.is_some_and(|scheduled| scheduled <= at && scheduled >= self.now) {
            return;
        }
        let incarnation = state.incarnation;
        self.sidecars[sidecar].wakeup_at = Some(at);
        self.schedule_at(at, SimulationEvent::SubscriptionWakeup { sidecar, incarnation });
    }

    fn wake_subscription(&mut self, sidecar: usize, incarnation: u32) {
        let state = &mut self.sidecars[sidecar];
        if !state.running || state.incarnation != incarnation || state.wakeup_at != Some(self.now) {
            return;
        }
        state.wakeup_at = None;
        if state.watches.values().any(Watch::is_served) {
            return;
        }
        let now_ms = self.now as f64 / 1e3;
        self.drive_subscription(sidecar, |subscription, out| subscription.on_wakeup(now_ms, out));
    }

    fn watch_key(&self, sidecar: usize, connection: ConnectionId) -> WatchKey {
        WatchKey { sidecar, incarnation: self.sidecars[sidecar].incarnation, connection }
    }

    /// Calls discovery to open a watch and schedules the outcome of the call.
    fn call_discovery(&mut self, sidecar: usize, connection: ConnectionId) {
        self.discovery_calls.add(self.now, 1);
        let watch = self.watch_key(sidecar, connection);
        let pending = Watch { node: None, silent: false, keepalive_phase: 0, last_update_at: self.now };
        self.sidecars[sidecar].watches.insert(connection, pending);
        match self.node_for(sidecar) {
            Ok(node) => {
                let network_delay = self.draw_uniform(MIN_WATCH_OPEN_US, MAX_WATCH_OPEN_US);
                let answered_at = self.answer_time(node) + network_delay;
                self.schedule_at(answered_at, SimulationEvent::WatchOpened { watch, node });
            }
            Err(CallFailure { hangs: true }) => {}
            Err(CallFailure { hangs: false }) => {
                self.schedule_after(CALL_REFUSAL_US, SimulationEvent::ConnectionFailed { watch });
            }
        }
    }

    /// When a node answers a call that it gets now.
    fn answer_time(&mut self, node: usize) -> Micros {
        match self.scenario.fault {
            Fault::SlowDiscovery { start_ms, delay_ms } if self.now >= start_ms * 1_000 => {
                self.now + delay_ms * 1_000
            }
            Fault::CrowdedDiscovery { start_ms, calls_per_s } if self.now >= start_ms * 1_000 => {
                let answered_at = &mut self.nodes[node].calls_answered_at;
                *answered_at = (*answered_at).max(self.now) + 1_000_000 / calls_per_s.max(1);
                *answered_at
            }
            _ => self.now,
        }
    }

    /// Opens a watch: the node sends the changes that the sidecar has missed, or a snapshot if it cannot determine
    /// them.
    fn open_watch(&mut self, key: WatchKey, node: usize) {
        if self.nodes[node].failed_at.is_some() {
            return self.end_watch(key);
        }
        let (sidecar, now) = (key.sidecar, self.now);
        self.drive_subscription(sidecar, |subscription, _| {
            subscription.on_accepted(key.connection, now as f64 / 1e3)
        });
        let opened = Watch {
            node: Some(node),
            silent: false,
            keepalive_phase: now % KEEPALIVE_INTERVAL_US,
            last_update_at: now,
        };
        self.sidecars[sidecar].watches.insert(key.connection, opened);
        // After a move to another node, the first change in its log that the sidecar has not yet received.
        let watcher = &self.sidecars[sidecar];
        let moved = watcher.node != node;
        let change_log = &self.nodes[node].change_log;
        let from_log_position = if moved {
            let services: BTreeSet<usize> = watcher.services.iter().copied().collect();
            let first_missed = change_log.iter().position(|id| {
                let service = self.servers[self.changes[*id as usize].server].service;
                services.contains(&service) && !watcher.applied_changes.contains(id)
            });
            first_missed.unwrap_or(change_log.len())
        } else {
            watcher.log_position.min(change_log.len())
        };
        let needs_snapshot = change_log.len() - from_log_position > self.scenario.delta_history
            || (moved && !self.scenario.shared_versions);
        self.send_update(key, node, (!needs_snapshot).then_some(from_log_position));
    }

    /// A connection has failed or a watch was reset.
    fn end_watch(&mut self, key: WatchKey) {
        let now_ms = self.now as f64 / 1e3;
        self.sidecars[key.sidecar].watches.remove(&key.connection);
        self.drive_subscription(key.sidecar, |subscription, out| {
            subscription.on_ended(key.connection, "reset", false, now_ms, out)
        });
    }

    // --- Report --------------------------------------------------------------------------------

    /// Evaluates the simulation. A change is in force everywhere once all sidecars that list its server have applied
    /// it.
    fn into_report(mut self) -> Report {
        let mut fleet_delays = Distribution::default();
        let mut fleet_delays_near_fault = Distribution::default();
        // Pairs of a change and a sidecar that has not applied it.
        let mut missing = 0;
        // When the last of the changes made before the observation had been applied everywhere, from its start on.
        let mut last_delay_after_fault = 0;
        for (id, change) in self.changes.iter().enumerate() {
            let listing_sidecars = &self.sidecars_by_service[self.servers[change.server].service];
            let has_applied =
                |sidecar: &&u32| self.sidecars[**sidecar as usize].applied_changes.contains(&(id as u32));
            let missing_sidecars = listing_sidecars.iter().filter(|sidecar| !has_applied(sidecar)).count();
            missing += missing_sidecars;
            if missing_sidecars == 0 {
                if change.at < self.observation_start {
                    last_delay_after_fault = last_delay_after_fault
                        .max(change.last_applied_at.saturating_sub(self.observation_start));
                }
                fleet_delays.record(change.last_applied_at - change.at);
                if change.at as f64 / 1e3 + WATCH_IDLE_TIMEOUT >= self.observation_start as f64 / 1e3
                    && change.at < self.observation_start + NEAR_FAULT_PERIOD_US
                {
                    fleet_delays_near_fault.record(change.last_applied_at - change.at);
                }
            }
        }
        // Recorded in thousandths, as a distribution holds integers.
        let mut budget_peaks = Distribution::default();
        let mut failure_peaks = Distribution::default();
        let overloaded = self.servers.iter().filter(|server| server.peak_failure_fraction >= 1.0).count();
        for server in self.servers.iter().filter(|server| server.peak_budget_fraction > 0.0) {
            budget_peaks.record((server.peak_budget_fraction * 1e3).round() as u64);
            failure_peaks.record((server.peak_failure_fraction * 1e3).round() as u64);
        }
        let incomplete_requests = self.pending_requests.values().filter(|pending| !pending.completed).count();
        let sidecars = self.sidecars.len() as f64;
        let update_bytes = self.totals.snapshot_bytes + self.totals.delta_bytes;
        // One keep-alive line every 2 s.
        let keepalive_bytes_per_sidecar = self.scenario.duration_ms as f64 / 2e3 * KEEPALIVE_BYTES as f64;
        let calls = self.discovery_calls.total() as f64;
        let bytes_per_sidecar = (update_bytes as f64 + calls * RESPONSE_HEADER_BYTES as f64) / sidecars
            + keepalive_bytes_per_sidecar;
        let mut report = Report::new(&self.scenario.name);
        report.add_value("changes", self.changes.len() as f64);
        report.add_value("changes lacking at a sidecar at the end", missing as f64);
        report.add_distribution("in force everywhere, ms", &mut fleet_delays, 1e3);
        report.add_distribution("in force at one sidecar, ms", &mut self.propagation_delays, 1e3);
        if self.scenario.fault != Fault::None {
            report.add_distribution(
                "made about the trouble, everywhere, ms",
                &mut fleet_delays_near_fault,
                1e3,
            );
            report.add_value(
                "made before its end, last in force after, ms",
                last_delay_after_fault as f64 / 1e3,
            );
        }
        report.add_binned_counts("calls", &self.discovery_calls);
        report.add_binned_counts("objects", &self.updates);
        report.add_binned_counts("bytes", &self.update_bytes);
        report.add_value("whole lists", self.totals.snapshots as f64);
        report.add_value("bytes in whole lists", self.totals.snapshot_bytes as f64);
        report.add_value("deltas", self.totals.deltas as f64);
        report.add_value("bytes in deltas", self.totals.delta_bytes as f64);
        report.add_value(
            "bytes a second to a sidecar, with empty lines",
            bytes_per_sidecar / (self.scenario.duration_ms as f64 / 1e3),
        );
        report.add_value("bytes of the calls", calls * CALL_HEADER_BYTES as f64);
        report.add_value("requests", self.totals.requests as f64);
        report.add_value("served", self.totals.served as f64);
        report.add_value("refused", self.totals.refused as f64);
        report.add_value("failed", self.totals.failed as f64);
        report.add_value("ended by their time", self.totals.deadline_exceeded as f64);
        report.add_value("lost with their sidecar", self.totals.lost_with_sidecar as f64);
        report.add_value("with no final answer", incomplete_requests as f64);
        report.add_value("second final answers", self.totals.duplicate_final_responses as f64);
        if matches!(self.scenario.fault, Fault::RegionPartition { .. }) {
            report.add_value("requests in the region cut off", self.totals.first_region_requests as f64);
            report.add_value("served there", self.totals.first_region_served as f64);
        }
        report.add_value("sends", self.totals.sends as f64);
        report.add_value("sends to the gone after the grace", self.totals.sends_after_grace as f64);
        report.add_value("sends to the gone, not yet told", self.totals.sends_before_notice as f64);
        report.add_value("probes", self.totals.probes as f64);
        if matches!(self.scenario.fault, Fault::ZoneOutage { .. }) {
            report.add_value("cold servers that would fall", overloaded as f64);
            report.add_distribution(
                "worst window of a cold server, share of its budget",
                &mut budget_peaks,
                1e3,
            );
            report.add_distribution("the same, of what makes it fall", &mut failure_peaks, 1e3);
        }
        report
    }
}

/// The fraction of its full capacity that a server has: the lowest that the cold-start limits permit at its age.
fn capacity_fraction(cold_start: &ColdStartLimits, started_at: Option<Micros>, at: Micros) -> f64 {
    let Some(started_at) = started_at else { return 1.0 };
    let warm_up_progress = at.saturating_sub(started_at) as f64 / 1e3 / cold_start.warm_up;
    (cold_start.initial_capacity_fraction + (1.0 - cold_start.initial_capacity_fraction) * warm_up_progress)
        .min(1.0)
}

/// Creates the subscription of a sidecar that starts at this time.
fn new_subscription(scenario: &Scenario, sidecar_index: usize, incarnation: u32) -> Subscription {
    let settings = SubscriptionSettings {
        pushed: scenario.discovery == DiscoveryMode::Push,
        drain_grace: scenario.drain_grace_ms,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Subscription::new(settings, address, 0, sidecar_seed(scenario, sidecar_index, incarnation))
}

/// The seed of a sidecar, which differs for each sidecar and each restart.
fn sidecar_seed(scenario: &Scenario, sidecar_index: usize, incarnation: u32) -> u64 {
    scenario.seed
        ^ (sidecar_index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ u64::from(incarnation) << 48
}

/// Creates the module of a sidecar.
fn new_balancer(scenario: &Scenario, sidecar_index: usize, zone: usize, incarnation: u32) -> Balancer {
    let class =
        |idempotency| Class { latency_target: 400.0, value: 1.0, late_value_fraction: 0.2, idempotency };
    let settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, window: 1_000.0 }),
            class(Idempotency::NonIdempotent),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(zone as u64),
        sidecar_count: scenario.sidecars as u32,
        sidecar_index: Some(sidecar_index as u32),
        zone_crossing_cost: 0.03,
        probe_cost: 0.01,
        reports_in_responses: true,
        limits: Limits {
            max_attempts: 3,
            allow_concurrent_attempts: false,
            allow_probes: false,
            allow_cancellation: true,
            max_retry_after: 400.0,
            max_send_delay: 4.0,
        },
        cold_start: scenario.cold_start.clone(),
        discovery: scenario.discovery,
    };
    Balancer::new(settings, sidecar_seed(scenario, sidecar_index, incarnation))
}
