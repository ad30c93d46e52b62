//! Compares incrementally updated state with a recomputation from scratch: the totals over the servers, the
//! rings and the subset. Also compares the random selection, which examines few servers, with all servers
//! that are allowed.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::api::*;
use crate::balancer::Balancer;
use crate::model::*;
use crate::server_list::{REPORT_MAX_AGE, Ring, RingEntry};
use crate::subset::{RATE_TIME_CONSTANT, ReachableUpstreams};

const ZONE_COUNT: u64 = 4;
/// Placements from this on determine the zone and cell of a server.
const MIN_EXPLICIT_PLACEMENT: u8 = 240;

// The values of src/subset.rs, repeated so that the recomputation does not depend on the code under test.
const MIN_SUBSET_SIZE: f64 = 12.0;
const MIN_SIDECARS_PER_SERVER: f64 = 10.0;
const COLD_START_SAFETY_FACTOR: f64 = 0.5;
const COLD_START_RANDOM_FRACTION: f64 = 0.6;
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

fn settings(sidecar_count: u32, zone_crossing_cost: f64) -> Settings {
    let class =
        |idempotency| Class { latency_target: 300.0, value: 1.0, late_value_fraction: 0.0, idempotency };
    let keyed = |scope| class(Idempotency::Keyed { scope, window: 400.0 });
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            keyed(DedupScope::Cell),
            keyed(DedupScope::Zone),
            keyed(DedupScope::All),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(1),
        sidecar_count,
        sidecar_index: Some(2),
        zone_crossing_cost,
        probe_cost: 0.01,
        reports_in_responses: true,
        limits: Limits {
            max_attempts: 3,
            allow_concurrent_attempts: false,
            allow_probes: true,
            allow_cancellation: true,
            max_retry_after: 100.0,
            max_send_delay: 1.0,
        },
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.3,
            warm_up: 4_000.0,
            overload_multiple: 3.0,
            overload_duration: 1_000.0,
        },
        discovery: DiscoveryMode::Push,
    }
}

/// A generated entry of the server list.
#[derive(Debug, Clone)]
struct RecordInput {
    id: u8,
    /// Determines zone and cell; below [`MIN_EXPLICIT_PLACEMENT`] the id does instead.
    placement: u8,
    serving: bool,
    restarted: bool,
}

impl RecordInput {
    fn new(id: u8, placement: u8, serving: bool, restarted: bool) -> RecordInput {
        RecordInput { id, placement, serving, restarted }
    }
}

/// A generated input. Indices wrap around, so that any number is valid.
#[derive(Debug, Clone)]
enum Step {
    AdvanceMs(u16),
    /// A request of this class arrives.
    Arrive(u8),
    /// An attempt ends with an outcome and perhaps a report of in-flight count and utilisation in percent.
    Finish(u16, u8, Option<(u8, u8)>),
    /// A probe of a server returns an in-flight count and a utilisation in percent.
    Probe(u8, u8, u8),
    /// Discovery sends changed records.
    Delta(Vec<RecordInput>),
    /// Discovery sends the complete list.
    Snapshot(Vec<RecordInput>),
}

fn step() -> impl Strategy<Value = Step> {
    let record = || {
        (0..60_u8, any::<u8>(), prop::bool::weighted(0.8), prop::bool::weighted(0.1)).prop_map(
            |(id, placement, serving, restarted)| RecordInput::new(id, placement, serving, restarted),
        )
    };
    prop_oneof![
        4 => (0..400_u16).prop_map(Step::AdvanceMs),
        1 => (400..6_000_u16).prop_map(Step::AdvanceMs),
        10 => (0..5_u8).prop_map(Step::Arrive),
        10 => (any::<u16>(), 0..12_u8, prop::option::of((0..40_u8, 0..101_u8)))
            .prop_map(|(index, outcome, report)| Step::Finish(index, outcome, report)),
        3 => (0..60_u8, 0..40_u8, 0..101_u8)
            .prop_map(|(id, in_flight, utilisation)| Step::Probe(id, in_flight, utilisation)),
        2 => prop::collection::vec(record(), 1..4).prop_map(Step::Delta),
        1 => prop::collection::vec(record(), 0..60).prop_map(Step::Snapshot),
    ]
}

/// A balancer with the attempts that it has in flight. Its state is checked after each step.
struct Harness {
    balancer: Balancer,
    now: Millis,
    last_request_id: u64,
    in_flight: Vec<(RequestId, AttemptNo, UpstreamId)>,
    attempt_counts: BTreeMap<RequestId, u32>,
}

impl Harness {
    /// Starts with 50 serving servers.
    fn new(sidecar_count: u32, zone_crossing_cost: f64, seed: u64) -> Harness {
        let mut harness = Harness {
            balancer: Balancer::new(settings(sidecar_count, zone_crossing_cost), seed),
            now: 1_000.0,
            last_request_id: 0,
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
        };
        let all: Vec<RecordInput> = (0..50).map(|id| RecordInput::new(id, 0, true, false)).collect();
        harness.step(&Step::Snapshot(all));
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, upstream, .. } = action {
                let attempt_count = self.attempt_counts.entry(request).or_default();
                self.in_flight.push((request, AttemptNo(*attempt_count), upstream));
                *attempt_count += 1;
            }
        }
    }

    fn records(&self, inputs: &[RecordInput]) -> Vec<UpstreamRecord> {
        let record = |&RecordInput { id, placement, serving, restarted }: &RecordInput| {
            // Most servers stay where they are; some move to another zone or cell.
            let placement = if placement < MIN_EXPLICIT_PLACEMENT { id } else { placement };
            UpstreamRecord {
                upstream: UpstreamId(u64::from(id)),
                zone: ZoneId(u64::from(placement) % ZONE_COUNT),
                cell: CellId(u64::from(placement) % (3 * ZONE_COUNT)),
                // Only 16 positions, so that many servers share one.
                ring_position: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60,
                machine_type: MachineTypeId(u64::from(id) % 3),
                lifecycle: if serving { Lifecycle::Serving } else { Lifecycle::Draining },
                weight: 1.0,
                started_at: restarted.then_some(self.now),
            }
        };
        inputs.iter().map(record).collect()
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::AdvanceMs(duration_ms) => self.now += f64::from(*duration_ms),
            Step::Arrive(class) => {
                self.last_request_id += 1;
                let (request, class) = (RequestId(self.last_request_id), ClassId(usize::from(*class)));
                let event = Event::RequestArrived {
                    request,
                    class,
                    tenant: TenantId(0),
                    time_left: 900.0,
                    cost: None,
                };
                self.handle(event);
            }
            Step::Finish(index, outcome, report) if !self.in_flight.is_empty() => {
                let index = usize::from(*index) % self.in_flight.len();
                let (request, attempt, upstream) = self.in_flight.remove(index);
                let outcome = match outcome {
                    0..=5 => Outcome::Ok,
                    6 | 7 => Outcome::Error,
                    8 => Outcome::Rejected,
                    9 => Outcome::TimedOut,
                    10 => Outcome::Unreachable,
                    _ => Outcome::Reset,
                };
                let report = report.map(|(in_flight, utilisation)| load_report(in_flight, utilisation));
                let request_completed = outcome == Outcome::Ok;
                let latency = 40.0;
                self.handle(Event::AttemptFinished(AttemptFinished {
                    request,
                    attempt,
                    upstream,
                    outcome,
                    latency,
                    request_completed,
                    report,
                }));
            }
            Step::Finish(..) => {}
            Step::Probe(id, in_flight, utilisation) => {
                let upstream = UpstreamId(u64::from(*id));
                let report = Some(load_report(*in_flight, *utilisation));
                self.handle(Event::ProbeFinished { upstream, answered: true, report });
            }
            Step::Delta(records) => {
                self.handle(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(self.records(records))));
                self.check_removals();
            }
            Step::Snapshot(records) => {
                self.handle(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(self.records(records))));
                self.check_removals();
            }
        }
        self.check_totals();
        self.check_subset();
        self.check_selections();
    }

    /// A server that does not serve is kept only while attempts to it are outstanding.
    fn check_removals(&self) {
        let needed = |upstream: &Upstream| upstream.serving || !upstream.outstanding.is_empty();
        assert!(self.balancer.server_list.upstreams.values().all(needed));
    }

    fn check_totals(&mut self) {
        let now = self.balancer.now;
        let totals = self.balancer.server_list.totals(now).clone();
        let server_list = &self.balancer.server_list;
        let serving: Vec<(&UpstreamId, &Upstream)> =
            server_list.upstreams.iter().filter(|(_, upstream)| upstream.serving).collect();
        assert_eq!(totals.serving, serving.len() as i64);
        let ejected = serving.iter().filter(|(_, upstream)| upstream.health != Health::Ready).count();
        assert_eq!(totals.ejected, ejected as i64);
        let is_fresh = |upstream: &&Upstream| now - upstream.last_report_at <= REPORT_MAX_AGE;
        let reporting: Vec<&Upstream> =
            serving.iter().map(|(_, upstream)| *upstream).filter(is_fresh).collect();
        assert_eq!(totals.fresh_reports, reporting.len() as i64);
        let others_in_flight =
            reporting.iter().map(|upstream| upstream.fixed_point_others_in_flight()).sum::<i64>();
        assert_eq!(totals.others_in_flight, others_in_flight);
        let failure_rate_sum: f64 = serving.iter().map(|(_, upstream)| upstream.failure_rate_at(now)).sum();
        let expected = failure_rate_sum / serving.len().max(1) as f64;
        let actual = totals.mean_failure_rate(now);
        assert!((actual - expected).abs() < 1e-9, "{actual} {expected}");
        let mut rings: BTreeMap<ZoneId, Ring> = BTreeMap::new();
        for (id, upstream) in serving {
            let entry =
                RingEntry { ring_position: upstream.ring_position, upstream: *id, cell: upstream.cell };
            rings.entry(upstream.zone).or_default().push(entry);
        }
        // Sorts by the fields themselves rather than by the derived order that the code under test uses.
        rings.values_mut().for_each(|ring| {
            ring.sort_by_key(|entry| (entry.ring_position, entry.upstream, entry.cell));
        });
        assert_eq!(rings, server_list.rings);
    }

    /// The subset, recomputed from all servers.
    fn expected_subset(&self) -> BTreeSet<UpstreamId> {
        let balancer = &self.balancer;
        let server_list = &balancer.server_list;
        let serving = server_list.upstreams.values().filter(|upstream| upstream.serving).count() as f64;
        let size_for_coverage =
            MIN_SIDECARS_PER_SERVER * serving / f64::from(balancer.settings.sidecar_count);
        let arrivals_per_s = balancer.state.arrivals.per_s_at(balancer.now, RATE_TIME_CONSTANT);
        // One request per second and server.
        let fraction = arrivals_per_s.max(size_for_coverage).max(MIN_SUBSET_SIZE) / serving;
        if fraction >= 1.0 || serving == 0.0 {
            return server_list.rings.values().flatten().map(|entry| entry.upstream).collect();
        }
        let mut members = BTreeSet::new();
        for (zone, ring) in &server_list.rings {
            // The sidecar's index is 2, so that the factor is 3.
            let start = (3.0 * GOLDEN_RATIO_CONJUGATE
                + zone.0 as f64 * GOLDEN_RATIO_CONJUGATE * GOLDEN_RATIO_CONJUGATE)
                .fract();
            let start = (start * ring.len() as f64) as usize;
            let mut remaining_size = fraction * ring.len() as f64;
            for entry in ring[start..].iter().chain(&ring[..start]) {
                if remaining_size <= 0.0 {
                    break;
                }
                members.insert(entry.upstream);
                let upstream = &server_list.upstreams[&entry.upstream];
                if upstream.health == Health::Ready {
                    remaining_size -= upstream.capacity_fraction(balancer.now, &balancer.settings.cold_start);
                }
            }
        }
        members
    }

    fn check_subset(&mut self) {
        let pending = PendingRequest::new(ClassId(0), TenantId(0), self.balancer.now, 500.0);
        // An earlier subset still contains only serving servers; one from this instant is up to date.
        let reachable = self.balancer.reachable_upstreams(&pending);
        assert!(reachable.ids.iter().all(|id| self.balancer.server_list.upstreams[id].serving));
        if self.balancer.subset.basis.as_ref().is_some_and(|basis| basis.computed_at == self.balancer.now) {
            assert_eq!(reachable.ids.iter().copied().collect::<BTreeSet<_>>(), self.expected_subset());
        }
        self.balancer.subset.basis = None;
        let pending = PendingRequest::new(ClassId(0), TenantId(0), self.balancer.now, 500.0);
        let ReachableUpstreams { ids, local_count } = self.balancer.reachable_upstreams(&pending);
        assert_eq!(ids.iter().copied().collect::<BTreeSet<_>>(), self.expected_subset());
        let own_zone = self.balancer.settings.zone;
        let is_local = |id: &UpstreamId| self.balancer.server_list.upstreams[id].zone == own_zone;
        assert!(
            ids[..local_count].iter().all(is_local) && !ids[local_count..].iter().any(is_local),
            "servers in the sidecar's zone come first"
        );
    }

    /// Whether earlier attempts that may have run allow sending the request to this server.
    fn may_reach(&self, pending: &PendingRequest, id: UpstreamId, subset: &BTreeSet<UpstreamId>) -> bool {
        let balancer = &self.balancer;
        let upstream = &balancer.server_list.upstreams[&id];
        let may_have_run = |attempt: &&Attempt| attempt.in_flight || attempt.may_have_run;
        let Some(first) = pending.attempts.iter().find(may_have_run) else {
            return subset.contains(&id);
        };
        match balancer.settings.classes[pending.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => upstream.zone == first.zone,
                    DedupScope::Cell => upstream.cell == first.cell,
                };
                let margin = balancer.settings.limits.max_send_delay;
                in_scope && balancer.now + margin < first.sent_at + window
            }
        }
    }

    /// Whether the cold-start limit admits a candidate, from the probability of a pick among all with room.
    fn is_admitted(
        &self,
        candidate: &Candidate,
        pending: &PendingRequest,
        context: &SelectionContext,
        with_room: &[Candidate],
    ) -> bool {
        if candidate.capacity_fraction >= 1.0 {
            return true;
        }
        if pending.may_have_run() {
            return candidate.cold_start_tokens >= 1.0;
        }
        let is_peer = |other: &&Candidate| {
            other.id != candidate.id && context.is_preferred(other) == context.is_preferred(candidate)
        };
        let peers: Vec<&Candidate> = with_room.iter().filter(is_peer).collect();
        let is_worse = |other: &&&Candidate| other.projected_utilisation >= candidate.projected_utilisation;
        let worse_count = peers.iter().filter(is_worse).count() as f64;
        let peer_count = peers.len() as f64;
        let pick_probability =
            if peer_count > 0.0 { 2.0 / (peer_count + 1.0) * worse_count / peer_count } else { 1.0 };
        let arrivals_per_s = self.balancer.state.arrivals.per_s_at(self.balancer.now, RATE_TIME_CONSTANT);
        candidate.cold_start_tokens >= 0.0
            && context.cold_start_draw * pick_probability * arrivals_per_s * COLD_START_SAFETY_FACTOR
                < COLD_START_RANDOM_FRACTION * candidate.cold_start_rate_per_s
    }

    /// Checks the selection for a new request and, per class, a retry after a failure at the first server.
    fn check_selections(&mut self) {
        let now = self.balancer.now;
        let mut requests = vec![PendingRequest::new(ClassId(0), TenantId(0), now, 500.0)];
        let first = self.balancer.server_list.upstreams.iter().find(|(_, upstream)| upstream.serving);
        if let Some((&id, upstream)) = first {
            requests.extend((0..5).map(|class| {
                let mut pending = PendingRequest::new(ClassId(class), TenantId(0), now - 30.0, 500.0);
                let attempt = Attempt::new(id, upstream, now - 30.0);
                pending.attempts.push(Attempt { in_flight: false, ..attempt });
                pending
            }));
        }
        let subset = self.expected_subset();
        for pending in requests {
            let ids: Vec<UpstreamId> = self.balancer.server_list.upstreams.keys().copied().collect();
            let is_serving = |id: &UpstreamId| self.balancer.server_list.upstreams[id].serving;
            let reachable: Vec<UpstreamId> = ids
                .into_iter()
                .filter(|id| is_serving(id) && self.may_reach(&pending, *id, &subset))
                .collect();
            // Restoring the generator gives the selection below the same `cold_start_draw`.
            let rng = self.balancer.rng;
            let mut context = self.balancer.selection_context(&pending);
            self.balancer.rng = rng;
            let all: Vec<Candidate> =
                reachable.iter().filter_map(|id| self.balancer.candidate(*id, &pending, &context)).collect();
            let mut allowed: Vec<Candidate> =
                all.iter().filter(|candidate| candidate.eligible).copied().collect();
            if allowed.is_empty() {
                context.ignore_eligibility = true;
                allowed = all.clone();
            }
            allowed.retain(|candidate| {
                candidate.idle || candidate.typical_response_time <= context.response_time_limit
            });
            let expected_room = !allowed.is_empty();
            let with_room = allowed.clone();
            allowed.retain(|candidate| self.is_admitted(candidate, &pending, &context, &with_room));
            if allowed.iter().any(|candidate| context.is_preferred(candidate)) {
                allowed.retain(|candidate| context.is_preferred(candidate));
            }
            let Selection { has_room, has_alternatives, pair } =
                self.balancer.select(&pending, &mut Vec::new());
            assert_eq!((has_room, has_alternatives), (expected_room, all.len() > 1));
            let allowed: BTreeSet<UpstreamId> = allowed.iter().map(|candidate| candidate.id).collect();
            assert_eq!(pair.is_some(), !allowed.is_empty());
            if let Some([a, b]) = pair {
                assert!(
                    allowed.contains(&a.id) && allowed.contains(&b.id),
                    "{} {} of {allowed:?}",
                    a.id.0,
                    b.id.0
                );
                assert_eq!(a.id == b.id, allowed.len() == 1);
            }
        }
    }
}

fn load_report(in_flight: u8, utilisation_percent: u8) -> LoadReport {
    let utilisation = Some(f64::from(utilisation_percent) / 100.0);
    LoadReport { in_flight: Some(f64::from(in_flight)), utilisation, ..LoadReport::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(0x5a9e_3a57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_state_matches_recomputation(
        few_sidecars in any::<bool>(),
        crossing_costs in any::<bool>(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let (sidecar_count, zone_crossing_cost) =
            (if few_sidecars { 2 } else { 100 }, if crossing_costs { 0.03 } else { 0.0 });
        let mut harness = Harness::new(sidecar_count, zone_crossing_cost, 7);
        steps.iter().for_each(|step| harness.step(step));
    }
}

/// Guards against counting a server twice that reports, restarts and reports again at the same time.
#[test]
fn restart_and_second_report_at_the_same_time_count_once() {
    let mut harness = Harness::new(100, 0.0, 3);
    harness.step(&Step::Probe(5, 10, 50));
    harness.step(&Step::Delta(vec![RecordInput::new(5, 0, true, true)]));
    harness.step(&Step::Probe(5, 10, 50));
    harness.step(&Step::Probe(6, 10, 50));
    harness.step(&Step::AdvanceMs(REPORT_MAX_AGE as u16 + 1));
    harness.step(&Step::Probe(7, 10, 50));
}

/// Guards against a subset that counts ejected servers towards its size until the next periodic refresh.
#[test]
fn ejection_refreshes_subset_immediately() {
    let mut harness = Harness::new(100, 0.0, 5);
    let now = harness.balancer.now;
    for id in harness.expected_subset() {
        let ejected = Health::Ejected { until: now + 1_000.0, duration: 1_000.0 };
        harness.balancer.server_list.update(id, now, |upstream| upstream.health = ejected);
        harness.check_subset();
        harness.check_totals();
    }
}

/// Each ordered pair of available servers is drawn with the same probability.
#[test]
fn pairs_are_drawn_uniformly() {
    const DRAWS_PER_PAIR: u32 = 400;
    /// Ordered pairs of the eight serving servers.
    const PAIR_COUNT: u32 = 8 * 7;
    let mut harness = Harness::new(2, 0.0, 11);
    // Every third of the twelve servers is draining.
    let records: Vec<RecordInput> = (0..12).map(|id| RecordInput::new(id, 0, id % 3 > 0, false)).collect();
    harness.step(&Step::Snapshot(records));
    let pending = PendingRequest::new(ClassId(0), TenantId(0), harness.now, 500.0);
    let mut draws: BTreeMap<(u64, u64), u32> = BTreeMap::new();
    for _ in 0..PAIR_COUNT * DRAWS_PER_PAIR {
        let selection = harness.balancer.select(&pending, &mut Vec::new());
        let [a, b] = selection.pair.expect("eight servers are idle");
        *draws.entry((a.id.0, b.id.0)).or_default() += 1;
    }
    assert_eq!(draws.len(), PAIR_COUNT as usize);
    let deviation =
        |count: &u32| (f64::from(*count) - f64::from(DRAWS_PER_PAIR)).powi(2) / f64::from(DRAWS_PER_PAIR);
    let chi_squared: f64 = draws.values().map(deviation).sum();
    // The 99.9th percentile of the chi-squared distribution with 55 degrees of freedom.
    assert!(chi_squared < 93.0, "{chi_squared}: {draws:?}");
}
