//! Data model of the decision module: requests, attempts, servers and running statistics. Decisions are made
//! in `src/balancer.rs`.

use std::collections::BTreeMap;

use crate::api::*;
use crate::subscription::RequestSchedule;
use crate::subset::RATE_TIME_CONSTANT;

/// Capacity of a cold server's token bucket; small, as many sidecars may spend their tokens at once.
const MAX_COLD_START_TOKENS: f64 = 2.0;
/// First step of a running median as a fraction of the median; later steps are smaller.
const INITIAL_MEDIAN_STEP: f64 = 0.5;
/// Smallest step of the running median of costs, as a fraction of the median: about a hundred requests move it by
/// as much as costs spread.
const MIN_MEDIAN_COST_STEP: f64 = 0.01;
/// Relative costs are clamped to this factor in both directions, since clients' estimates may be wrong.
const MAX_RELATIVE_COST: f64 = 10.0;
/// Lower bound on samples of the service time ratio, so that their geometric average stays positive.
const MIN_SERVICE_TIME_RATIO_SAMPLE: f64 = 0.01;
/// Lower bound on the capacity fraction of a cold server, since estimates are divided by it.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// An attempt as kept with its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Millis,
    pub in_flight: bool,
    /// Whether the server may have executed the request.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt that is being sent now.
    pub fn new(id: UpstreamId, upstream: &Upstream, sent_at: Millis) -> Attempt {
        Attempt {
            upstream: id,
            zone: upstream.zone,
            cell: upstream.cell,
            sent_at,
            in_flight: true,
            may_have_run: true,
        }
    }
}

/// A request that has not received its final response.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived_at: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// The client's estimate of the work.
    pub cost: Option<f64>,
    /// The estimated work relative to the median of the class.
    pub relative_cost: f64,
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived_at: Millis, time_left: Millis) -> PendingRequest {
        let deadline = arrived_at + time_left;
        PendingRequest {
            class,
            tenant,
            arrived_at,
            deadline,
            cost: None,
            relative_cost: 1.0,
            attempts: Vec::new(),
        }
    }

    /// Whether a server may have executed the request, which restricts further attempts.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight || attempt.may_have_run)
    }
}

/// An attempt that a server has not answered yet. It is kept with the server, as it may outlive its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutstandingAttempt {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    pub sent_at: Millis,
    /// The server's estimates when the attempt was sent.
    pub candidate: Candidate,
}

/// Statistics of one request class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassStats {
    /// Running median of the service time, from responses that did not wait in a queue.
    pub service_time: Millis,
    pub service_time_samples: f64,
    /// Moving average of the fraction of selections for its requests for which no server had room.
    pub refusal_rate: f64,
    /// Running median of the clients' cost estimates.
    median_cost: f64,
    cost_samples: f64,
}

impl ClassStats {
    pub fn new(service_time: Millis) -> ClassStats {
        ClassStats {
            service_time,
            service_time_samples: 0.0,
            refusal_rate: 0.0,
            median_cost: 0.0,
            cost_samples: 0.0,
        }
    }

    /// Adds a client's cost estimate to the median and returns its ratio to it, or 1 without an estimate.
    pub fn relative_cost(&mut self, cost: Option<f64>) -> f64 {
        let Some(cost) = cost.filter(|cost| cost.is_finite() && *cost > 0.0) else { return 1.0 };
        self.cost_samples += 1.0;
        let step = self.median_cost * (INITIAL_MEDIAN_STEP / self.cost_samples).max(MIN_MEDIAN_COST_STEP);
        if self.cost_samples == 1.0 {
            self.median_cost = cost;
        } else if cost > self.median_cost {
            self.median_cost += step;
        } else if cost < self.median_cost {
            self.median_cost -= step;
        }
        (cost / self.median_cost).clamp(1.0 / MAX_RELATIVE_COST, MAX_RELATIVE_COST)
    }

    /// Moves the median service time towards a sample by the fraction `min_step`, or more for the first samples.
    pub fn add_service_time(&mut self, sample: Millis, min_step: f64) {
        self.service_time_samples += 1.0;
        let step = self.service_time * min_step.max(INITIAL_MEDIAN_STEP / self.service_time_samples);
        self.service_time += if sample > self.service_time { step } else { -step };
    }
}

/// Statistics of a group of servers: those of one machine type, or the whole fleet. A small sidecar hears from a single
/// server too seldom to estimate it alone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerGroupStats {
    /// Moving average of reported in-flight counts. Its ratio to `mean_utilisation` estimates the capacity of
    /// one server of the group.
    pub mean_in_flight: f64,
    /// Moving average of reported utilisations.
    pub mean_utilisation: f64,
    pub report_count: f64,
    /// Geometric moving average of the service time relative to the fleet.
    pub service_time_ratio: f64,
    pub response_count: f64,
}

impl Default for ServerGroupStats {
    fn default() -> ServerGroupStats {
        ServerGroupStats {
            mean_in_flight: 0.0,
            mean_utilisation: 0.0,
            report_count: 0.0,
            service_time_ratio: 1.0,
            response_count: 0.0,
        }
    }
}

impl ServerGroupStats {
    /// Adds a load report to the averages with weight `min_weight`, or more for the first reports.
    pub fn add_report(&mut self, in_flight: f64, utilisation: f64, min_weight: f64) {
        self.report_count += 1.0;
        let weight = min_weight.max(1.0 / self.report_count);
        self.mean_in_flight += weight * (in_flight - self.mean_in_flight);
        self.mean_utilisation += weight * (utilisation - self.mean_utilisation);
    }

    /// Adds a service time relative to the fleet with weight `min_weight`, or more for the first responses.
    pub fn add_response(&mut self, service_time_ratio: f64, min_weight: f64) {
        self.response_count += 1.0;
        self.service_time_ratio *= (service_time_ratio.max(MIN_SERVICE_TIME_RATIO_SAMPLE)
            / self.service_time_ratio)
            .powf(min_weight.max(1.0 / (1.0 + self.response_count)));
    }
}

/// An exponentially decaying event rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventRate {
    per_s: f64,
    updated_at: Millis,
}

impl EventRate {
    /// Counts one event.
    pub fn record(&mut self, now: Millis, time_constant: Millis) {
        self.record_weighted(1.0, now, time_constant);
    }

    /// Counts an event as this many.
    pub fn record_weighted(&mut self, weight: f64, now: Millis, time_constant: Millis) {
        self.per_s = self.per_s_at(now, time_constant) + weight * 1_000.0 / time_constant;
        self.updated_at = now;
    }

    /// Events per second as of `now`, if none could be recorded before `since`: the average is taken over the time since
    /// then, or over `min_duration` if that is longer.
    pub fn per_s_since(
        &self,
        since: Millis,
        min_duration: Millis,
        now: Millis,
        time_constant: Millis,
    ) -> f64 {
        let duration = (now - since).max(min_duration);
        self.per_s_at(now, time_constant) / (1.0 - (-duration / time_constant).exp())
    }

    /// Events per second as of `now`.
    pub fn per_s_at(&self, now: Millis, time_constant: Millis) -> f64 {
        self.per_s * (-(now - self.updated_at) / time_constant).exp()
    }
}

/// Statistics, token buckets and discovery backoff of this sidecar as a whole.
#[derive(Debug, Default)]
pub(crate) struct SidecarState {
    /// Indexed by class.
    pub classes: Vec<ClassStats>,
    pub machine_types: BTreeMap<MachineTypeId, ServerGroupStats>,
    /// Statistics of all servers together.
    pub fleet: ServerGroupStats,
    /// Moving average of the fraction of selections for which no server had room.
    pub refusal_rate: f64,
    /// Tokens in the retry budget.
    pub retry_tokens: f64,
    /// Tokens in the probe budget.
    pub probe_tokens: f64,
    /// Factor on the admission limit; falls below 1 while too many responses are late.
    pub admission_scale: f64,
    pub last_attempt_ended_at: Millis,
    /// Moving average of the value per millisecond of service time over arriving requests.
    pub mean_value_per_service_ms: Option<f64>,
    /// Each tenant's fraction of the arrivals at this sidecar, indexed by tenant.
    pub tenant_shares: Vec<f64>,
    /// Rate of arriving requests.
    pub arrivals: EventRate,
    /// When the first request arrived.
    pub first_arrival_at: Option<Millis>,
    /// Rate of successful attempts.
    pub successes: EventRate,
    /// Rate of successful attempts that the same servers would complete when warm: one by a cold server counts as more.
    pub completed_when_warm: EventRate,
    /// Moving average of the reported load as a fraction of the servers' full capacity when warm.
    pub fleet_utilisation: f64,
    /// Time of the last report or, before any report, of the first update from discovery.
    pub fleet_utilisation_updated_at: Option<Millis>,
    /// Time of the first report from which a capacity can be estimated.
    pub first_report_at: Option<Millis>,
    /// When the next subscription to discovery is requested.
    pub subscription_requests: RequestSchedule,
}

impl SidecarState {
    /// Counts a request.
    pub fn record_arrival(&mut self, now: Millis) {
        self.arrivals.record(now, RATE_TIME_CONSTANT);
        self.first_arrival_at.get_or_insert(now);
    }

    /// Counts a successful attempt at a server.
    pub fn record_success(&mut self, upstream: &Upstream, now: Millis, cold_start: &ColdStartLimits) {
        let weight = 1.0 / upstream.capacity_fraction(now, cold_start);
        self.successes.record(now, RATE_TIME_CONSTANT);
        self.completed_when_warm.record_weighted(weight, now, RATE_TIME_CONSTANT);
    }

    /// Adds a reported utilisation to the fleet average. The time constant is that of the success rate, so
    /// that the two can be divided, and the average starts at 0 as the rate does. The load of this moment alone would
    /// be divided into what the servers completed while they were warm.
    pub fn add_utilisation(&mut self, utilisation: f64, now: Millis, time_constant: Millis) {
        let elapsed = now - self.fleet_utilisation_updated_at.unwrap_or(now);
        let weight = 1.0 - (-elapsed / time_constant).exp();
        self.fleet_utilisation += weight * (utilisation - self.fleet_utilisation);
        self.fleet_utilisation_updated_at = Some(now);
    }

    pub fn new(classes: Vec<ClassStats>, tenant_count: usize, retry_tokens: f64) -> SidecarState {
        let (last_attempt_ended_at, tenant_shares) = (f64::NEG_INFINITY, vec![0.0; tenant_count]);
        SidecarState {
            classes,
            retry_tokens,
            admission_scale: 1.0,
            last_attempt_ended_at,
            tenant_shares,
            ..SidecarState::default()
        }
    }
}

/// Outlier ejection state of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Health {
    /// Not ejected.
    Ready,
    /// Receives no requests until `until`, then one trial request at a time, unless no server is eligible.
    Ejected {
        until: Millis,
        /// Duration of the ejection before jitter; doubles with each failed trial.
        duration: Millis,
    },
}

/// A server and the estimates kept for it.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub zone: ZoneId,
    pub cell: CellId,
    pub machine_type: MachineTypeId,
    pub ring_position: u64,
    pub serving: bool,
    /// Capacity relative to other servers as listed by discovery.
    pub weight: f64,
    pub started_at: Option<Millis>,
    /// Estimated number of requests in flight at full utilisation; `None` before the first usable report.
    pub capacity: Option<f64>,
    /// Moving average of reported in-flight counts.
    pub mean_in_flight: f64,
    /// Moving average of reported in-flight counts less this sidecar's outstanding attempts.
    pub others_in_flight: f64,
    pub last_report_at: Millis,
    /// When the unanswered probe was sent, or negative infinity if there is none.
    pub probe_sent_at: Millis,
    /// Unanswered attempts of this sidecar, oldest first.
    pub outstanding: Vec<OutstandingAttempt>,
    /// Moving average of the service time relative to the fleet, adjusted for warm-up: that a cold server is slow
    /// shows neither a queue nor the speed that it will have.
    pub service_time_ratio: f64,
    pub service_time_ratio_updated_at: Millis,
    pub last_response_at: Millis,
    /// Moving average of the fraction of failed attempts.
    pub failure_rate: f64,
    pub failure_rate_updated_at: Millis,
    pub health: Health,
    /// Token bucket that limits the rate of requests while the server is cold.
    pub cold_start_tokens: f64,
    pub cold_start_tokens_updated_at: Millis,
}

/// A server as evaluated for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    /// Whether the server is in this sidecar's zone and does not fail more often than its peers.
    pub local: bool,
    /// Whether the server is not ejected or may receive a trial request, and the request has not been sent to it
    /// before: a server that has just failed a request is the likeliest to fail it again.
    pub eligible: bool,
    /// Fraction of its full capacity that the server has; below 1 while it is cold.
    pub capacity_fraction: f64,
    /// Tokens in the bucket that limits the rate of requests while the server is cold.
    pub cold_start_tokens: f64,
    /// Refill rate of the tokens.
    pub cold_start_rate_per_s: f64,
    /// Projected utilisation with this request, weighted by service time and failures.
    pub projected_utilisation: f64,
    /// Expected response time of a request of median cost, in service times of this server.
    pub queueing_factor: f64,
    /// Whether the load of the server is so low that admission control always accepts the request.
    pub idle: bool,
    /// Expected response time of a request of median cost.
    pub typical_response_time: Millis,
    /// Expected response time of this request, in service times of this server.
    pub response_factor: f64,
}

impl Candidate {
    /// Expected response time of this request.
    pub fn expected_response_time(&self) -> Millis {
        self.typical_response_time / self.queueing_factor * self.response_factor
    }
}

/// The two candidates drawn for a request, if any; both are the same if only one was available.
pub(crate) type CandidatePair = Option<[Candidate; 2]>;

/// The result of selecting servers for a request.
pub(crate) struct Selection {
    /// Whether admission control accepts the request on any server. The pair may still be missing if only
    /// cold servers have room and none of them may be sent more.
    pub has_room: bool,
    /// Whether the request may be sent to more than one server.
    pub has_alternatives: bool,
    pub pair: CandidatePair,
}

/// Inputs and intermediate results of selecting a server for one request.
#[derive(Default)]
pub(crate) struct SelectionContext {
    /// The servers that the request may be sent to. Those in this sidecar's zone come first until drawing a pair
    /// shuffles the list.
    pub ids: Vec<UpstreamId>,
    /// Number of servers in this sidecar's zone; 0 if they are not preferred.
    pub local_count: usize,
    /// Admission limit on the expected response time.
    pub response_time_limit: Millis,
    /// Limit on the expected response time up to which a server in this zone is preferred.
    pub local_response_time_limit: Millis,
    /// Mean in-flight count from other sidecars; stands in for servers without a recent report.
    pub mean_others_in_flight: f64,
    pub mean_failure_rate: f64,
    /// The candidates evaluated so far, in random order.
    pub examined: Vec<Candidate>,
    /// Set if no candidate is eligible: a request to an ineligible server is better than none.
    pub ignore_eligibility: bool,
    /// Uniform random number from 0 to 1 that decides on all cold servers. With one number per server, some
    /// cold server would be admitted for nearly every request.
    pub cold_start_draw: f64,
    /// Sorted projected utilisations of the candidates with room, indexed by whether they are preferred.
    pub utilisations_with_room: Option<[Vec<f64>; 2]>,
}

impl SelectionContext {
    /// Whether admission control accepts the request on this candidate. An idle server always has room, so
    /// that an overestimated service time cannot close all servers for good.
    pub fn has_room(&self, candidate: &Candidate) -> bool {
        (candidate.eligible || self.ignore_eligibility)
            && (candidate.idle || candidate.typical_response_time <= self.response_time_limit)
    }

    /// Whether the candidate is preferred over servers in other zones.
    pub fn is_preferred(&self, candidate: &Candidate) -> bool {
        candidate.local && candidate.typical_response_time <= self.local_response_time_limit
    }
}

impl Upstream {
    pub fn new(record: &UpstreamRecord) -> Upstream {
        Upstream {
            zone: record.zone,
            cell: record.cell,
            machine_type: record.machine_type,
            ring_position: record.ring_position,
            serving: record.lifecycle == Lifecycle::Serving,
            weight: record.weight,
            started_at: record.started_at,
            capacity: None,
            mean_in_flight: 0.0,
            others_in_flight: 0.0,
            last_report_at: f64::NEG_INFINITY,
            probe_sent_at: f64::NEG_INFINITY,
            outstanding: Vec::new(),
            service_time_ratio: 1.0,
            service_time_ratio_updated_at: f64::NEG_INFINITY,
            last_response_at: f64::NEG_INFINITY,
            failure_rate: 0.0,
            failure_rate_updated_at: f64::NEG_INFINITY,
            health: Health::Ready,
            cold_start_tokens: 0.0,
            cold_start_tokens_updated_at: f64::NEG_INFINITY,
        }
    }

    /// Applies a record from discovery. A restart resets everything except the outstanding attempts.
    pub fn apply_record(&mut self, record: &UpstreamRecord) {
        if record.started_at.is_some_and(|at| self.started_at.is_none_or(|known| at > known)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            *self = Upstream { outstanding, ..Upstream::new(record) };
        }
        self.zone = record.zone;
        self.cell = record.cell;
        self.machine_type = record.machine_type;
        self.serving = record.lifecycle == Lifecycle::Serving;
        self.weight = if record.weight.is_finite() && record.weight > 0.0 { record.weight } else { 1.0 };
    }

    /// The minimum fraction of its full capacity that the server has: it rises linearly during warm-up.
    pub fn capacity_fraction(&self, now: Millis, cold_start: &ColdStartLimits) -> f64 {
        match self.started_at {
            Some(started_at) if now < started_at + cold_start.warm_up => {
                let age = (now - started_at).max(0.0);
                (cold_start.initial_capacity_fraction
                    + (1.0 - cold_start.initial_capacity_fraction) * age / cold_start.warm_up)
                    .max(MIN_CAPACITY_FRACTION)
            }
            _ => 1.0,
        }
    }

    /// Tokens in the cold-start bucket as of `now`.
    pub fn cold_start_tokens_at(&self, refill_per_s: f64, now: Millis) -> f64 {
        let elapsed = (now - self.cold_start_tokens_updated_at).max(0.0);
        (self.cold_start_tokens + refill_per_s * elapsed / 1_000.0).min(MAX_COLD_START_TOKENS)
    }

    /// Removes and returns an outstanding attempt.
    pub fn take_outstanding(&mut self, request: RequestId, attempt: AttemptNo) -> Option<OutstandingAttempt> {
        let matching = |other: &OutstandingAttempt| other.request == request && other.attempt == attempt;
        Some(self.outstanding.remove(self.outstanding.iter().position(matching)?))
    }
}
