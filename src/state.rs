//! The records that the decision module keeps. Nothing is decided here.

use std::collections::BTreeMap;

use crate::api::*;

/// One send of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Try {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Millis,
    pub out: bool,
    pub may_have_run: bool,
}

impl Try {
    /// A send that has just gone out to this server.
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Try {
        Try { upstream: id, zone: to.zone, cell: to.cell, sent, out: true, may_have_run: true }
    }
}

/// A request that is owed an answer.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived: Millis,
    pub deadline: Millis,
    /// Its expected work, and that over its class's usual.
    pub cost: Option<f64>,
    pub size: f64,
    pub tries: Vec<Try>,
}

impl Held {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> Held {
        let deadline = arrived + time_left;
        Held { class, tenant, arrived, deadline, cost: None, size: 1.0, tries: Vec::new() }
    }

    /// Whether it may have run already, so that not every server will do.
    pub fn bound(&self) -> bool {
        self.tries.iter().any(|t| t.out || t.may_have_run)
    }
}

/// So many sends to a cold server may be saved up: many sidecars may spend theirs at once.
const COLD_BURST: f64 = 2.0;

/// One of our sends that a server has not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outstanding {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    pub sent: Millis,
    /// The server as it looked then.
    pub to: Candidate,
}

/// Step of the running median of costs, as a share of it: a hundred requests move it by as much as it spreads.
const COST_STEP: f64 = 0.01;
/// A hint may be wrong: nothing counts as more times larger or smaller than the usual.
const MOST_LARGER: f64 = 10.0;

/// What is known of one class, times from answers that met no queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Service {
    /// Running median.
    pub time: Millis,
    pub samples: f64,
    /// Share of its arrivals that was refused.
    pub refused: f64,
    /// Running median of what clients say of the work, and how often they did.
    cost: f64,
    costs: f64,
}

impl Service {
    pub fn new(time: Millis) -> Service {
        Service { time, samples: 0.0, refused: 0.0, cost: 0.0, costs: 0.0 }
    }

    /// How large a request is for this class, by what its client says; learns from it what is usual.
    pub fn size(&mut self, cost: Option<f64>) -> f64 {
        let Some(cost) = cost.filter(|cost| cost.is_finite() && *cost > 0.0) else { return 1.0 };
        self.costs += 1.0;
        let step = self.cost * (0.5 / self.costs).max(COST_STEP);
        if self.costs == 1.0 {
            self.cost = cost;
        } else if cost > self.cost {
            self.cost += step;
        } else if cost < self.cost {
            self.cost -= step;
        }
        (cost / self.cost).clamp(1.0 / MOST_LARGER, MOST_LARGER)
    }

    /// Steps the median towards a sample, at first in larger steps.
    pub fn add(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.time * step.max(0.5 / self.samples);
        self.time += if sample > self.time { step } else { -step };
    }
}

/// What is known of one kind of machine, or of all of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    /// Running means of what its servers report; their ratio is κ.
    pub in_flight: f64,
    pub utilisation: f64,
    pub reports: f64,
    /// Geometric running mean of its service time relative to the mean server's.
    pub pace: f64,
    pub answers: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind { in_flight: 0.0, utilisation: 0.0, reports: 0.0, pace: 1.0, answers: 0.0 }
    }
}

impl Kind {
    /// Averages in a server's report, the first ones evenly.
    pub fn reported(&mut self, in_flight: f64, utilisation: f64, step: f64) {
        self.reports += 1.0;
        let step = step.max(1.0 / self.reports);
        self.in_flight += step * (in_flight - self.in_flight);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Averages in an answer's time relative to the mean server's.
    pub fn answered(&mut self, pace: f64, step: f64) {
        self.answers += 1.0;
        self.pace *= (pace.max(0.01) / self.pace).powf(step.max(1.0 / (1.0 + self.answers)));
    }
}

/// How often something happened over the last few seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    per_s: f64,
    at: Millis,
}

impl Rate {
    /// It has happened once more.
    pub fn count(&mut self, now: Millis, over: Millis) {
        self.per_s = self.at(now, over) + 1_000.0 / over;
        self.at = now;
    }

    /// Times a second, as of now.
    pub fn at(&self, now: Millis, over: Millis) -> f64 {
        self.per_s * (-(now - self.at) / over).exp()
    }
}

/// What one sidecar has learnt of its surroundings as a whole.
#[derive(Debug, Default)]
pub(crate) struct Learnt {
    /// By class.
    pub service: Vec<Service>,
    /// By kind of machine, and of all together.
    pub kinds: BTreeMap<MachineTypeId, Kind>,
    pub fleet: Kind,
    /// Share of the arrivals that no server had room for.
    pub refused: f64,
    pub retry_tokens: f64,
    /// Probes that may be sent now.
    pub probe_tokens: f64,
    /// Room shrinks to this share of the usual while answers are late.
    pub room_scale: f64,
    /// When the last attempt ended.
    pub ended_at: Millis,
    /// Worth per service time of the mean arrival.
    pub usual_density: Option<f64>,
    /// Each tenant's share of our arrivals.
    pub tenant_shares: Vec<f64>,
    /// Arrivals and good answers, a second.
    pub arrivals: Rate,
    pub served: Rate,
    /// What servers do as a part of what they can do warm, by their reports, and when the last one came or
    /// the first list.
    pub load: f64,
    pub load_at: Option<Millis>,
    /// When the first report came.
    pub first_at: Option<Millis>,
    /// The span over which the next call to discovery is spread, and whether one is to come.
    pub ask_wait: Millis,
    pub ask_pending: bool,
}

impl Learnt {
    /// Averages in how much of what it can do warm a server does, over the same time as what is answered and from
    /// nothing like it: by the load of this moment alone, what a server did warm would tell what it can do cold.
    pub fn loaded(&mut self, used: f64, now: Millis, over: Millis) {
        let told = 1.0 - (-(now - self.load_at.unwrap_or(now)) / over).exp();
        self.load += told * (used - self.load);
        self.load_at = Some(now);
    }

    pub fn new(service: Vec<Service>, tenants: usize, retry_tokens: f64) -> Learnt {
        let (ended_at, tenant_shares) = (f64::NEG_INFINITY, vec![0.0; tenants]);
        Learnt { service, retry_tokens, room_scale: 1.0, ended_at, tenant_shares, ..Learnt::default() }
    }
}

/// Whether a server takes part in the draw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Ready,
    Ejected { until: Millis, wait: Millis },
}

/// What is known of one server.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: MachineTypeId,
    pub ring_position: u64,
    pub serving: bool,
    pub weight: f64,
    pub started: Option<Millis>,
    pub kappa: Option<f64>,
    /// Running mean of the reports.
    pub mean_in_flight: f64,
    /// Running mean of what its reports hold beyond our own sends.
    pub others: f64,
    pub reported_at: Millis,
    /// When it was asked last, if it has not answered.
    pub probe_sent: Millis,
    pub outstanding: Vec<Outstanding>,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub learnt_at: Millis,
    pub answered_at: Millis,
    pub failure_rate: f64,
    pub judged_at: Millis,
    pub health: Health,
    /// What was left of a cold one's allowance, and when.
    pub allowance: f64,
    pub allowed_at: Millis,
}

/// A server as one request sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub near: bool,
    pub healthy: bool,
    pub warmth: f64,
    /// Sends that a cold one may be given now.
    pub allowance: f64,
    /// How fast a cold one's allowance grows.
    pub allowed_per_s: f64,
    pub projected: f64,
    /// How many times its own service time an answer is expected to take, for the queue before it.
    pub depth: f64,
    pub idle: bool,
    /// What its wait would be for a request as large as usual.
    pub wait: Millis,
    /// How many usual service times this request is expected to take, with the queue before it.
    pub own: f64,
}

impl Candidate {
    /// Until the answer to this request.
    pub fn expected(&self) -> Millis {
        self.wait / self.depth * self.own
    }
}

/// Two servers of which the better is taken, if there are any; the same one twice where there is only one.
pub(crate) type Pair = Option<[Candidate; 2]>;

/// What a request needs to know of all servers to see one.
pub(crate) struct View {
    /// Where it may go; so many of them, the first ones, are near.
    pub ids: Vec<UpstreamId>,
    pub near: usize,
    /// The longest expected answer there is room for, and for which crossing does not pay.
    pub room: Millis,
    pub near_limit: Millis,
    /// What other sidecars have at the mean known server, which stands in for what is not known of others.
    pub others: f64,
    /// The failure rate of the mean server.
    pub failures: f64,
    /// Who was looked at, in random order.
    pub met: Vec<Candidate>,
    /// Whether everyone looks bad: rather ask someone than no one.
    pub anyone: bool,
    /// For cold ones, drawn once: with one for each, some would be in at any time.
    pub lot: f64,
    /// The projected utilisations of those with room, sorted: of the far ones and of the near ones.
    pub open: Option<[Vec<f64>; 2]>,
}

impl View {
    /// An idle server always has room: else a service time learnt in a jam would lock everyone out.
    pub fn is_open(&self, candidate: &Candidate) -> bool {
        (candidate.healthy || self.anyone) && (candidate.idle || candidate.wait <= self.room)
    }

    pub fn is_near(&self, candidate: &Candidate) -> bool {
        candidate.near && candidate.wait <= self.near_limit
    }
}

impl Upstream {
    pub fn new(entry: &UpstreamRecord) -> Upstream {
        Upstream {
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.machine_type,
            ring_position: entry.ring_position,
            serving: entry.lifecycle == Lifecycle::Serving,
            weight: entry.weight,
            started: entry.started_at,
            kappa: None,
            mean_in_flight: 0.0,
            others: 0.0,
            reported_at: f64::NEG_INFINITY,
            probe_sent: f64::NEG_INFINITY,
            outstanding: Vec::new(),
            slowness: 1.0,
            learnt_at: f64::NEG_INFINITY,
            answered_at: f64::NEG_INFINITY,
            failure_rate: 0.0,
            judged_at: f64::NEG_INFINITY,
            health: Health::Ready,
            allowance: 0.0,
            allowed_at: f64::NEG_INFINITY,
        }
    }

    /// Takes over what discovery says. A new life under the same id leaves nothing known but what is out.
    pub fn relist(&mut self, entry: &UpstreamRecord) {
        if entry.started_at.is_some_and(|at| self.started.is_none_or(|known| at > known)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            *self = Upstream { outstanding, ..Upstream::new(entry) };
        }
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.kind = entry.machine_type;
        self.serving = entry.lifecycle == Lifecycle::Serving;
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// The share of its capacity that a server surely has: a line from the cold share to all of it.
    pub fn warmth(&self, now: Millis, cold_start: &ColdStartLimits) -> f64 {
        match self.started {
            Some(started) if now < started + cold_start.warm_up => {
                let age = (now - started).max(0.0);
                (cold_start.initial_capacity_fraction
                    + (1.0 - cold_start.initial_capacity_fraction) * age / cold_start.warm_up)
                    .max(0.01)
            }
            _ => 1.0,
        }
    }

    /// Sends that it may be given now while it is cold: what was saved up.
    pub fn allowance(&self, per_s: f64, now: Millis) -> f64 {
        (self.allowance + per_s * (now - self.allowed_at).max(0.0) / 1_000.0).min(COLD_BURST)
    }

    /// Strikes a send off the books.
    pub fn take(&mut self, request: RequestId, attempt: AttemptNo) -> Option<Outstanding> {
        let matching = |o: &Outstanding| o.request == request && o.attempt == attempt;
        Some(self.outstanding.remove(self.outstanding.iter().position(matching)?))
    }
}
