//! The decisions of the load balancer. Its inputs, outputs and settings are defined in `src/api.rs`.
//!
//! Two available servers are drawn at random for each request, which goes to the one with the lower projected
//! utilisation, (in-flight + 1) / capacity. The functions follow the path of a request.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;

use crate::api::*;
use crate::model::*;
use crate::server_list::{REPORT_MAX_AGE, ServerList};
use crate::subset::{MAX_PROBE_TOKENS, RATE_TIME_CONSTANT, ReachableUpstreams, Subset};

/// Time constant of the mean in-flight count; about that of the utilisation that servers report.
const IN_FLIGHT_TIME_CONSTANT: Millis = 700.0;
/// Time constant of the in-flight count from other sidecars: each report is a sample of a single moment.
const OTHERS_IN_FLIGHT_TIME_CONSTANT: Millis = 2_000.0;
/// From this utilisation on, in-flight / utilisation exceeds the capacity: in-flight counts include queues.
const SATURATED_UTILISATION: f64 = 0.9;
/// Factor on the weight of a capacity sample above the estimate.
const CAPACITY_RISE_FACTOR: f64 = 0.1;
/// Below this reported utilisation, in-flight / utilisation is dominated by rounding.
const MIN_REPORTED_UTILISATION: f64 = 0.1;
/// Moving-average weight of a sample for one server.
const SERVER_EWMA_WEIGHT: f64 = 0.15;
/// Weight of a timeout in a server's service time ratio: only a lower bound, perhaps of one costly request.
const TIMEOUT_EWMA_WEIGHT: f64 = 0.3;
/// Moving-average weight of a sample for the fleet, a machine type, a class or a tenant.
const FLEET_EWMA_WEIGHT: f64 = 0.02;
/// Initial service time of a class as a fraction of its latency target.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.15;
/// Time constant with which a server's estimates decay to those of its machine type.
const SERVER_ESTIMATE_TIME_CONSTANT: Millis = 2_000.0;
/// Weight of an unanswered attempt's age relative to a response time; below 1, as service times vary.
const UNANSWERED_AGE_WEIGHT: f64 = 0.5;
/// Admission limit: the expected response time as a fraction of the time left to the latency target.
const MAX_RESPONSE_TIME_FRACTION: f64 = 0.6;
/// A larger fraction of late attempts lowers the admission limit: crowded servers slow down unpredictably.
const TARGET_LATE_FRACTION: f64 = 0.15;
/// Time constant of the admission limit, like that of [`FLEET_EWMA_WEIGHT`] at 50 to 60 attempts a second.
const ADMISSION_TIME_CONSTANT: Millis = 800.0;
/// Exponent of a request's relative value in the admission limit; 0 ignores the value.
const ADMISSION_VALUE_EXPONENT: f64 = 0.4;
/// Gain by which the admission limit rises for a class with a refusal rate above the overall rate.
const CLASS_FAIRNESS_GAIN: f64 = 0.5;
/// A server is idle up to this utilisation or in-flight count, each including the request; refusals lower the
/// count. Up to a factor of 1.5 an empty server is always idle, so that wrong estimates can be corrected.
const IDLE_UTILISATION: f64 = 0.5;
const IDLE_IN_FLIGHT: f64 = 2.5;
const IDLE_REFUSAL_FACTOR: f64 = 1.0;
/// Retry budget: tokens that each request adds, and the capacity of the bucket.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Longest retry delay as a fraction of the latency target: the retry can still meet the target.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// Minimum attempt timeout as a multiple of the expected response time.
const MIN_TIMEOUT_FACTOR: f64 = 4.0;
/// Time that a timeout leaves for a retry before the latency target, in service times of the same request.
const RETRY_RESERVE_SERVICE_TIMES: f64 = 1.5;
/// A failure rate up to this far above the mean may be chance and is not held against a server.
const FAILURE_DEVIATION: f64 = 0.1;
/// Exponent of the success rate in the projected utilisation: a server that fails fast looks idle.
const SUCCESS_RATE_EXPONENT: i32 = 4;
/// A server is ejected when its failure rate is this far above the mean.
const EJECTION_FAILURE_DEVIATION: f64 = 0.4;
/// Maximum fraction of ejected servers: failures of more point at this sidecar or the network.
const MAX_EJECTED_FRACTION: f64 = 0.4;
/// Duration of the first ejection; doubles with each failed trial up to the maximum.
const INITIAL_EJECTION_DURATION: Millis = 1_000.0;
const MAX_EJECTION_DURATION: Millis = 8_000.0;
/// Statistics of machine types without listed servers are removed above this number of types.
const MAX_MACHINE_TYPES: usize = 64;
/// Token of the timer for a subscription to discovery.
const SUBSCRIBE_TIMER_TOKEN: u64 = 0;

/// The decision module of one sidecar. The same settings, seed and events produce the same actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand64,
    pub(crate) now: Millis,
    requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) server_list: ServerList,
    pub(crate) subset: Subset,
    pub(crate) state: SidecarState,
}

impl Balancer {
    /// Creates a balancer with an empty server list.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let initial = |class: &Class| ClassStats::new(class.latency_target * INITIAL_SERVICE_TIME_FRACTION);
        let classes = settings.classes.iter().map(initial).collect();
        let state = SidecarState::new(classes, settings.tenants.len(), MAX_RETRY_TOKENS);
        Balancer {
            settings,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            requests: BTreeMap::new(),
            server_list: ServerList::default(),
            subset: Subset::default(),
            state,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::RequestArrived { request, class, tenant, time_left, cost } => {
                let pending = PendingRequest::new(class, tenant, self.now, time_left.max(0.0));
                self.on_arrival(request, PendingRequest { cost, ..pending }, out)
            }
            Event::AttemptFinished(result) => {
                self.record_result(result, out);
                self.on_attempt_finished(result, out);
            }
            Event::RequestAbandoned(request) => self.close_request(request, out),
            Event::ProbeFinished { upstream, answered, report } => self.on_probe(upstream, answered, report),
            Event::DiscoveryUpdated(update) => self.on_discovery(update, out),
            Event::TimerFired(SUBSCRIBE_TIMER_TOKEN) if self.state.subscription_requests.take_scheduled() => {
                out.push(Action::Subscribe)
            }
            Event::TimerFired(_) => {}
        }
    }

    fn on_arrival(&mut self, request: RequestId, mut pending: PendingRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request) {
            return;
        }
        if pending.class.0 >= self.settings.classes.len() {
            return out.push(Action::Refuse { request, retry_after: 0.0 });
        }
        pending.relative_cost = self.state.classes[pending.class.0].relative_cost(pending.cost);
        self.state.retry_tokens = (self.state.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        self.state.probe_tokens = (self.state.probe_tokens + self.probe_refill()).min(MAX_PROBE_TOKENS);
        self.state.record_arrival(self.now);
        for (index, share) in self.state.tenant_shares.iter_mut().enumerate() {
            *share += FLEET_EWMA_WEIGHT * (f64::from(u8::from(index == pending.tenant.0)) - *share);
        }
        let value = self.value_per_service_ms(&pending);
        let mean_value = self.state.mean_value_per_service_ms.unwrap_or(value);
        self.state.mean_value_per_service_ms = Some(mean_value + FLEET_EWMA_WEIGHT * (value - mean_value));
        self.requests.insert(request, pending);
        self.dispatch(request, out);
    }

    /// Sends a request to the better server of a random pair; refuses or fails it if there is none.
    fn dispatch(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        let Selection { has_room, has_alternatives, pair } = self.select(&pending, out);
        let refused = f64::from(u8::from(!has_room));
        self.state.refusal_rate += FLEET_EWMA_WEIGHT * (refused - self.state.refusal_rate);
        let class = &mut self.state.classes[pending.class.0];
        class.refusal_rate += FLEET_EWMA_WEIGHT * (refused - class.refusal_rate);
        match pair.map(|[a, b]| if b.projected_utilisation < a.projected_utilisation { b } else { a }) {
            Some(chosen) => self.send(request, chosen, has_alternatives, out),
            None => self.refuse_or_fail(request, out),
        }
    }

    /// Admission limit on the expected response time, as a fraction of the time to the latency target. Under
    /// overload, queues grow up to the limit, so requests of low value per service time are refused first.
    fn response_time_fraction(&self, pending: &PendingRequest) -> f64 {
        let value = self.value_per_service_ms(pending);
        let relative_value = value / self.state.mean_value_per_service_ms.unwrap_or(value);
        let value_factor = relative_value.powf(ADMISSION_VALUE_EXPONENT).clamp(0.5, 1.5);
        // Without this correction the class of lowest value would receive nearly all refusals.
        let excess_refusal_rate = self.state.classes[pending.class.0].refusal_rate - self.state.refusal_rate;
        let fairness_factor = (1.0 + CLASS_FAIRNESS_GAIN * excess_refusal_rate).max(0.5);
        self.state.admission_scale * MAX_RESPONSE_TIME_FRACTION * value_factor * fairness_factor
    }

    /// Value of a request per millisecond of service time. Fleet-wide quota usage is unknown; a tenant whose
    /// share of the arrivals here exceeds its share of all quotas is assumed to be over quota.
    fn value_per_service_ms(&self, pending: &PendingRequest) -> f64 {
        let quotas_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota_per_s = self.settings.tenants.get(pending.tenant.0).map_or(0.0, |t| t.quota_per_s);
        let share = self.state.tenant_shares.get(pending.tenant.0).copied().unwrap_or(0.0);
        let has_quota = quota_per_s > 0.0 && share > 0.0;
        let within_quota = if has_quota { (quota_per_s / quotas_per_s / share).min(1.0) } else { 1.0 };
        let value = self.settings.classes[pending.class.0].value;
        value * (within_quota + (1.0 - within_quota) * self.settings.over_quota_value_fraction)
            / self.state.classes[pending.class.0].service_time.max(1.0)
    }

    /// Time left to the latency target or the deadline, whichever is earlier.
    fn time_to_target(&self, pending: &PendingRequest) -> Millis {
        let target = pending.arrived_at + self.settings.classes[pending.class.0].latency_target;
        pending.deadline.min(target) - self.now
    }

    /// Ends a request: refuses it if the client may safely retry, otherwise fails it.
    fn refuse_or_fail(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let class = &self.settings.classes[pending.class.0];
        let may_have_run = pending.attempts.iter().any(|attempt| attempt.may_have_run);
        let safe_to_retry = match class.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_run,
        };
        if safe_to_retry {
            // Jitter spreads the retries of requests that were refused together.
            let delay = RETRY_AFTER_FRACTION * class.latency_target * self.rng.rand_float();
            let retry_after = delay.min(self.settings.limits.max_retry_after);
            out.push(Action::Refuse { request, retry_after });
        } else {
            out.push(Action::Fail(request));
        }
    }

    /// The inputs of a selection that do not depend on the server.
    pub(crate) fn selection_context(&mut self, pending: &PendingRequest) -> SelectionContext {
        let ReachableUpstreams { ids, local_count } = self.reachable_upstreams(pending);
        let time_to_target = self.time_to_target(pending);
        // An exponentially distributed response time with mean t misses the target with probability
        // exp(-target / t). Crossing zones pays off once that exceeds its cost.
        let cost = self.settings.zone_crossing_cost;
        let local_limit = if cost > 0.0 { time_to_target / (1.0 / cost).ln().max(1.0) } else { 0.0 };
        let totals = self.server_list.totals(self.now);
        let mean_others_in_flight = totals.mean_others_in_flight();
        let mean_failure_rate = totals.mean_failure_rate(self.now);
        SelectionContext {
            ids,
            local_count: if local_limit > 0.0 { local_count } else { 0 },
            response_time_limit: self.response_time_fraction(pending) * time_to_target,
            local_response_time_limit: local_limit,
            mean_others_in_flight,
            mean_failure_rate,
            cold_start_draw: self.rng.rand_float(),
            ..SelectionContext::default()
        }
    }

    /// Evaluates a server for a request.
    pub(crate) fn candidate(
        &self,
        id: UpstreamId,
        pending: &PendingRequest,
        context: &SelectionContext,
    ) -> Option<Candidate> {
        let upstream = self.server_list.upstreams.get(&id)?;
        let in_flight = self.in_flight(upstream, context.mean_others_in_flight);
        let capacity = self.capacity(upstream);
        let capacity_fraction = upstream.capacity_fraction(self.now, &self.settings.cold_start);
        let service_time_ratio = self.service_time_ratio(upstream) / capacity_fraction;
        let queueing_factor = ((in_flight + 1.0) / capacity).max(1.0);
        // During trials, failures from before the ejection are ignored.
        let ready = upstream.health == Health::Ready;
        let failure_rate = if ready { upstream.failure_rate_at(self.now) } else { 0.0 };
        let deviation = failure_rate - context.mean_failure_rate;
        let excess_failure_rate = if deviation > FAILURE_DEVIATION { deviation.min(0.9) } else { 0.0 };
        let success_factor = (1.0 - excess_failure_rate).powi(SUCCESS_RATE_EXPONENT);
        let service_time = self.state.classes[pending.class.0].service_time;
        let cold_start_rate_per_s = self.cold_start_rate_per_s(upstream.machine_type, capacity_fraction);
        let idle_limit =
            (IDLE_UTILISATION * capacity).max(IDLE_IN_FLIGHT - IDLE_REFUSAL_FACTOR * self.state.refusal_rate);
        Some(Candidate {
            id,
            local: upstream.zone == self.settings.zone && excess_failure_rate == 0.0,
            eligible: self.is_available(upstream)
                && pending.attempts.iter().all(|attempt| attempt.upstream != id),
            projected_utilisation: (in_flight + 1.0) / capacity * service_time_ratio / success_factor,
            queueing_factor,
            idle: in_flight + 1.0 <= idle_limit,
            typical_response_time: service_time * service_time_ratio * queueing_factor,
            // The requests in the queue are taken to be of median cost.
            response_factor: queueing_factor - 1.0 + pending.relative_cost,
            capacity_fraction,
            cold_start_tokens: upstream.cold_start_tokens_at(cold_start_rate_per_s, self.now),
            cold_start_rate_per_s,
        })
    }

    /// Estimated capacity: decays from the server's own estimate to that of its machine type or the fleet.
    fn capacity(&self, upstream: &Upstream) -> f64 {
        let mean_capacity = |group: &ServerGroupStats| {
            (group.report_count > 0.0).then(|| group.mean_in_flight / group.mean_utilisation)
        };
        let listed = upstream.weight * mean_capacity(&self.state.fleet).unwrap_or(1.0);
        let machine_type = self.state.machine_types.get(&upstream.machine_type);
        let expected = machine_type.and_then(mean_capacity).unwrap_or(listed);
        let decay = (-(self.now - upstream.last_report_at) / SERVER_ESTIMATE_TIME_CONSTANT).exp();
        (expected + (upstream.capacity.unwrap_or(expected) - expected) * decay).max(0.1)
    }

    /// Estimated in-flight count of a server: this sidecar's outstanding attempts and the requests of others.
    fn in_flight(&self, upstream: &Upstream, mean_others_in_flight: f64) -> f64 {
        let fresh = self.now - upstream.last_report_at <= REPORT_MAX_AGE;
        let others = if fresh { upstream.others_in_flight.max(0.0) } else { mean_others_in_flight };
        upstream.outstanding.len() as f64 + others
    }

    /// Service time of a server relative to the fleet, from its responses and its oldest unanswered attempt.
    fn service_time_ratio(&self, upstream: &Upstream) -> f64 {
        let learned = self.learned_service_time_ratio(upstream);
        // A hanging server sends no responses, so the time without one counts as well.
        let unanswered = upstream.outstanding.first().map_or(0.0, |oldest| {
            let service_time = self.state.classes[oldest.class.0].service_time;
            UNANSWERED_AGE_WEIGHT * (self.now - oldest.sent_at.max(upstream.last_response_at))
                / (oldest.candidate.response_factor * service_time)
        });
        learned.max(unanswered).max(0.05)
    }

    /// Service time of a server relative to the fleet from its responses; decays to that of its machine type.
    fn learned_service_time_ratio(&self, upstream: &Upstream) -> f64 {
        let machine_type = self.state.machine_types.get(&upstream.machine_type);
        let group = machine_type.filter(|group| group.response_count > 0.0).unwrap_or(&self.state.fleet);
        let elapsed = self.now - upstream.service_time_ratio_updated_at;
        let decay = (-elapsed / SERVER_ESTIMATE_TIME_CONSTANT).exp();
        group.service_time_ratio + (upstream.service_time_ratio - group.service_time_ratio) * decay
    }

    /// Whether a server is not ejected, or its ejection has expired and no trial request is in flight.
    fn is_available(&self, upstream: &Upstream) -> bool {
        match upstream.health {
            Health::Ready => true,
            Health::Ejected { until, .. } => self.now >= until && upstream.outstanding.is_empty(),
        }
    }

    /// Draws a pair of servers for a request and probes them if their reports are stale.
    pub(crate) fn select(&mut self, pending: &PendingRequest, out: &mut Vec<Action>) -> Selection {
        let mut context = self.selection_context(pending);
        let mut pair = self.draw_pair(pending, &mut context);
        if pair.is_none() && !context.examined.iter().any(|candidate| candidate.eligible) {
            context.ignore_eligibility = true;
            pair = self.draw_pair(pending, &mut context);
        }
        let has_room = pair.is_some() || context.examined.iter().any(|candidate| context.has_room(candidate));
        // If all servers look full, two of them are probed: without requests no other reports would arrive.
        let probed = pair.as_ref().map_or(&context.examined[..], |pair| pair);
        probed.iter().take(2).for_each(|candidate| self.probe_if_stale(candidate.id, out));
        Selection { has_room, has_alternatives: context.ids.len() > 1, pair }
    }

    fn probe_if_stale(&mut self, id: UpstreamId, out: &mut Vec<Action>) {
        let Some(upstream) = self.server_list.upstreams.get_mut(&id) else { return };
        let in_flight = self.now - upstream.probe_sent_at < REPORT_MAX_AGE;
        let needed = !in_flight && self.now - upstream.last_report_at > REPORT_MAX_AGE;
        if self.settings.limits.allow_probes && needed && self.state.probe_tokens >= 1.0 {
            self.state.probe_tokens -= 1.0;
            upstream.probe_sent_at = self.now;
            out.push(Action::Probe(id));
        }
    }

    fn send(&mut self, request: RequestId, server: Candidate, has_alternatives: bool, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request) else { return };
        let timeout = self.attempt_timeout(pending, server, has_alternatives);
        let (class, attempt, sent_at) = (pending.class, AttemptNo(pending.attempts.len() as u32), self.now);
        let Some(upstream) = self.server_list.upstreams.get_mut(&server.id) else { return };
        upstream.outstanding.push(OutstandingAttempt { request, attempt, class, sent_at, candidate: server });
        if server.capacity_fraction < 1.0 {
            upstream.cold_start_tokens = server.cold_start_tokens - 1.0;
            upstream.cold_start_tokens_updated_at = sent_at;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempts.push(Attempt::new(server.id, upstream, sent_at));
        }
        out.push(Action::Send { request, upstream: server.id, timeout });
    }

    /// Timeout of an attempt: if a retry is possible, leaves time for one before the latency target.
    fn attempt_timeout(&self, pending: &PendingRequest, server: Candidate, has_alternatives: bool) -> Millis {
        let time_left = (pending.deadline - self.now).max(0.0);
        let class = &self.settings.classes[pending.class.0];
        let is_last = pending.attempts.len() as u32 + 1 >= self.settings.limits.max_attempts;
        let non_idempotent = class.idempotency == Idempotency::NonIdempotent;
        if is_last || !has_alternatives || non_idempotent || self.state.retry_tokens < 1.0 {
            return time_left;
        }
        let service_time = self.state.classes[pending.class.0].service_time;
        let retry_reserve = RETRY_RESERVE_SERVICE_TIMES * pending.relative_cost * service_time;
        let available = pending.arrived_at + class.latency_target - self.now - retry_reserve;
        available.max(MIN_TIMEOUT_FACTOR * server.expected_response_time()).min(time_left)
    }

    /// Closes the request of a finished attempt, retries it, or refuses or fails it.
    fn on_attempt_finished(&mut self, result: AttemptFinished, out: &mut Vec<Action>) {
        let (request, outcome) = (result.request, result.outcome);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let attempt = pending.attempts.get_mut(result.attempt.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else { return };
        attempt.in_flight = false;
        // A fast rejection counts as late, or it would raise the admission limit under overload.
        let rejected = outcome == Outcome::Rejected;
        let latency_target = self.settings.classes[pending.class.0].latency_target;
        let late = rejected || self.now > pending.arrived_at + latency_target;
        // Weighted by the time since the last result, so that the limit also recovers at low request rates.
        let weight = 1.0 - (-(self.now - self.state.last_attempt_ended_at) / ADMISSION_TIME_CONSTANT).exp();
        let weight =
            if rejected { SERVER_EWMA_WEIGHT } else { weight.clamp(FLEET_EWMA_WEIGHT, SERVER_EWMA_WEIGHT) };
        let step = weight * (TARGET_LATE_FRACTION - f64::from(u8::from(late)));
        self.state.admission_scale = (self.state.admission_scale * (1.0 + step)).clamp(0.25, 1.0);
        self.state.last_attempt_ended_at = self.now;
        attempt.may_have_run = outcome.may_have_run();
        if result.request_completed || outcome == Outcome::Ok {
            return self.close_request(request, out);
        }
        let pending = pending.clone();
        let attempts_left = (pending.attempts.len() as u32) < self.settings.limits.max_attempts;
        let worthwhile = self.time_to_target(&pending) > 0.0 && outcome != Outcome::NotSent;
        if attempts_left && worthwhile && self.state.retry_tokens >= 1.0 {
            self.state.retry_tokens -= 1.0;
            self.dispatch(request, out);
        } else {
            self.refuse_or_fail(request, out);
        }
    }

    /// Removes a request that needs no response any more and cancels its attempts in flight.
    fn close_request(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let allowed = self.settings.limits.allow_cancellation;
        let attempts = pending.attempts.iter().enumerate();
        for (index, _) in attempts.filter(|(_, attempt)| attempt.in_flight && allowed) {
            out.push(Action::Cancel { request, attempt: AttemptNo(index as u32) });
        }
    }

    /// Updates a server's estimates with the result of an attempt, even if the request has already ended.
    fn record_result(&mut self, result: AttemptFinished, out: &mut Vec<Action>) {
        let AttemptFinished { upstream: id, outcome, latency, .. } = result;
        let Some(upstream) = self.server_list.upstreams.get_mut(&id) else { return };
        let Some(attempt) = upstream.take_outstanding(result.request, result.attempt) else { return };
        let silent = upstream.last_response_at <= attempt.sent_at;
        if outcome == Outcome::Ok {
            self.state.record_success(upstream, self.now, &self.settings.cold_start);
        }
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.add_latency(id, attempt, latency, outcome == Outcome::Ok);
        }
        if let Some(report) = result.report {
            self.apply_report(id, report, 0.0);
        }
        let hang_threshold = MIN_TIMEOUT_FACTOR * attempt.candidate.expected_response_time();
        let failed = match outcome {
            Outcome::Ok => false,
            // A server that rejects more than its peers, for example while draining, must not look idle.
            Outcome::Error | Outcome::Unreachable | Outcome::Reset | Outcome::Rejected => true,
            // Timeouts also occur under overload; a server that sent no response meanwhile is hanging.
            Outcome::TimedOut if silent && latency >= hang_threshold => true,
            _ => return,
        };
        self.update_health(id, attempt.sent_at, failed, outcome != Outcome::Rejected, out);
    }

    /// Updates service times with a latency corrected for queueing and warm-up; a timeout is a lower bound.
    fn add_latency(&mut self, id: UpstreamId, attempt: OutstandingAttempt, latency: Millis, answered: bool) {
        let Some(upstream) = self.server_list.upstreams.get(&id).filter(|_| latency > 0.0) else { return };
        let learned = self.learned_service_time_ratio(upstream);
        let capacity_fraction = upstream.capacity_fraction(self.now, &self.settings.cold_start);
        let Some(upstream) = self.server_list.upstreams.get_mut(&id) else { return };
        let service_time = latency * capacity_fraction / attempt.candidate.response_factor;
        let class = &mut self.state.classes[attempt.class.0];
        let ratio = service_time / class.service_time;
        let sample = if answered { ratio } else { learned.max(UNANSWERED_AGE_WEIGHT * ratio) };
        let weight = if answered { SERVER_EWMA_WEIGHT } else { TIMEOUT_EWMA_WEIGHT };
        upstream.service_time_ratio = learned + weight * (sample - learned);
        upstream.service_time_ratio_updated_at = self.now;
        let machine_type = self.state.machine_types.entry(upstream.machine_type).or_default();
        machine_type.add_response(sample, FLEET_EWMA_WEIGHT);
        self.state.fleet.add_response(sample, FLEET_EWMA_WEIGHT);
        upstream.last_response_at = if answered { self.now } else { upstream.last_response_at };
        // Without responses that queued: an underestimated queue would inflate it, and cause refusals.
        if answered && attempt.candidate.queueing_factor <= 1.0 {
            class.add_service_time(service_time, FLEET_EWMA_WEIGHT);
        }
    }

    fn on_probe(&mut self, id: UpstreamId, answered: bool, report: Option<LoadReport>) {
        let Some(upstream) = self.server_list.upstreams.get_mut(&id) else { return };
        upstream.probe_sent_at = f64::NEG_INFINITY;
        if let (Some(report), true) = (report, answered) {
            self.apply_report(id, report, 1.0);
        }
    }

    /// Updates a server's estimates with a load report. `min_others_weight` is the report's minimum weight in
    /// the in-flight count from other sidecars.
    fn apply_report(&mut self, id: UpstreamId, report: LoadReport, min_others_weight: f64) {
        let Some(in_flight) = report.in_flight.filter(|n| n.is_finite() && *n >= 0.0) else { return };
        let (now, state, cold_start) = (self.now, &mut self.state, &self.settings.cold_start);
        self.server_list.update(id, now, |upstream| {
            let utilisation = report.utilisation.unwrap_or(1.0).clamp(0.0, 1.0);
            let warm_utilisation = utilisation * upstream.capacity_fraction(now, cold_start);
            state.add_utilisation(warm_utilisation, now, RATE_TIME_CONSTANT);
            let elapsed = now - upstream.last_report_at;
            let weight_for = |time_constant: Millis| 1.0 - (-elapsed / time_constant).exp();
            let in_flight_weight = weight_for(IN_FLIGHT_TIME_CONSTANT);
            let others_weight = weight_for(OTHERS_IN_FLIGHT_TIME_CONSTANT).max(min_others_weight);
            // The age of a report is unknown, so its count may not include all outstanding attempts;
            // the error averages out over several reports.
            let others_in_flight = in_flight - upstream.outstanding.len() as f64;
            upstream.others_in_flight += others_weight * (others_in_flight - upstream.others_in_flight);
            upstream.last_report_at = now;
            // Utilisation is reported as a running mean, so it is compared with the mean in-flight count.
            upstream.mean_in_flight += in_flight_weight * (in_flight - upstream.mean_in_flight);
            let is_usable = |utilisation: &f64| *utilisation >= MIN_REPORTED_UTILISATION;
            let Some(utilisation) = report.utilisation.filter(is_usable) else { return };
            // Servers that started with this sidecar report too low a mean utilisation at first.
            if now < *state.first_report_at.get_or_insert(now) + 2.0 * IN_FLIGHT_TIME_CONSTANT {
                return;
            }
            let below_saturation = utilisation < SATURATED_UTILISATION;
            if below_saturation {
                let machine_type = state.machine_types.entry(upstream.machine_type).or_default();
                machine_type.add_report(in_flight, utilisation, FLEET_EWMA_WEIGHT);
                state.fleet.add_report(in_flight, utilisation, FLEET_EWMA_WEIGHT);
            }
            // In-flight counts include queues, so a sample is an upper bound: the estimate falls to it at
            // once, but rises slowly, and not at all while the server is saturated.
            let rise_weight = if below_saturation { in_flight_weight * CAPACITY_RISE_FACTOR } else { 0.0 };
            let sample = (upstream.mean_in_flight / utilisation.min(1.0)).max(1.0);
            let known = *upstream.capacity.get_or_insert(sample);
            let weight = if sample < known { 1.0 } else { rise_weight };
            upstream.capacity = Some(known + (sample - known) * weight);
        });
    }

    /// Updates a server's failure rate and ejects or reinstates it. After an ejection, single trial requests
    /// decide; attempts sent earlier are not trials. Without `may_eject`, a ready server stays ready.
    fn update_health(
        &mut self,
        id: UpstreamId,
        sent_at: Millis,
        failed: bool,
        may_eject: bool,
        out: &mut Vec<Action>,
    ) {
        let totals = self.server_list.totals(self.now);
        let serving = totals.serving as f64;
        let threshold = EJECTION_FAILURE_DEVIATION + totals.mean_failure_rate(self.now);
        let max_ejected = (MAX_EJECTED_FRACTION * serving).max(1.0);
        let below_limit = serving > 1.0 && totals.ejected as f64 + 1.0 <= max_ejected;
        let (now, jitter) = (self.now, 0.75 + 0.5 * self.rng.rand_float());
        let eject = |duration: Millis| Health::Ejected { until: now + duration * jitter, duration };
        self.server_list.update(id, now, |upstream| {
            let known = upstream.failure_rate_at(now);
            let failure_rate = known + SERVER_EWMA_WEIGHT * (f64::from(u8::from(failed)) - known);
            upstream.failure_rate = failure_rate;
            upstream.failure_rate_updated_at = now;
            match upstream.health {
                Health::Ready if failed && may_eject && below_limit && failure_rate > threshold => {
                    upstream.health = eject(INITIAL_EJECTION_DURATION);
                    out.push(Action::Log(format!("upstream {} ejected: too many failures", id.0)));
                }
                Health::Ejected { until, duration } if failed && sent_at >= until => {
                    upstream.health = eject((duration * 2.0).min(MAX_EJECTION_DURATION));
                }
                Health::Ejected { until, .. } if !failed && sent_at >= until && failure_rate < threshold => {
                    upstream.health = Health::Ready;
                    out.push(Action::Log(format!("upstream {} reinstated after trial requests", id.0)));
                }
                Health::Ready | Health::Ejected { .. } => {}
            }
        });
    }

    fn on_discovery(&mut self, update: DiscoveryUpdate, out: &mut Vec<Action>) {
        self.state.fleet_utilisation_updated_at.get_or_insert(self.now);
        let (now, rng, list) = (self.now, &mut self.rng, &mut self.server_list);
        match &update {
            DiscoveryUpdate::Restored(records) | DiscoveryUpdate::Snapshot(records) => {
                list.apply(records, true, now, rng)
            }
            DiscoveryUpdate::Delta(records) => list.apply(records, false, now, rng),
            DiscoveryUpdate::Unavailable => out.push(Action::Log("discovery is unavailable".to_owned())),
        }
        if self.state.machine_types.len() > MAX_MACHINE_TYPES {
            let listed: BTreeSet<_> = self.server_list.upstreams.values().map(|u| u.machine_type).collect();
            self.state.machine_types.retain(|machine_type, _| listed.contains(machine_type));
        }
        let DiscoveryMode::Subscribe { subscribe_within } = self.settings.discovery else { return };
        let requests = &mut self.state.subscription_requests;
        if let Some(wait) = requests.wait_after(&update, subscribe_within, &mut self.rng) {
            out.push(Action::SetTimer { at: self.now + wait, token: SUBSCRIBE_TIMER_TOKEN });
        }
    }
}
