//! Behaviour of one sidecar among many: the subset of servers it uses, its probe rate and its admission limit.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use sagemast::api::*;

/// The number of servers, more than one of 100 sidecars uses.
const SERVERS: u64 = 60;

/// Servers in three zones; servers with consecutive ids are in different zones.
fn servers(count: u64) -> Vec<UpstreamRecord> {
    /// Odd, so that different ids have different positions.
    const RING_POSITION_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let ring_position = |id: u64| id.wrapping_mul(RING_POSITION_MULTIPLIER);
    (1..=count)
        .map(|id| UpstreamRecord {
            zone: ZoneId(id % 3),
            ring_position: ring_position(id),
            ..upstream_record(id)
        })
        .collect()
}

/// The decision module of one sidecar of a fleet, with its index as the seed.
fn sidecar(index: u32, sidecar_count: u32, server_count: u64) -> BalancerHarness {
    let settings = Settings { sidecar_count, sidecar_index: Some(index), ..settings() };
    BalancerHarness::with_seed(settings, servers(server_count), u64::from(index))
}

/// Sends a request every `interval`; servers in `failing` return errors. Returns the number of sends by server.
fn count_sends(
    harness: &mut BalancerHarness,
    requests: usize,
    interval: Millis,
    failing: &[u64],
) -> BTreeMap<u64, usize> {
    let mut sends = BTreeMap::new();
    for _ in 0..requests {
        harness.now += interval;
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        *sends.entry(upstream.0).or_default() += 1;
        let outcome = if failing.contains(&upstream.0) { Outcome::Error } else { Outcome::Ok };
        harness.finish(request, 0, upstream, outcome, 20.0);
    }
    sends
}

/// Guards against many sidecars that each use all servers: their connections are rarely reused and their load
/// estimates are stale.
#[test]
fn each_of_many_sidecars_uses_a_subset_and_all_subsets_cover_all_servers() {
    let mut sidecars_by_server: BTreeMap<u64, usize> = BTreeMap::new();
    for index in 0..100 {
        let subset = count_sends(&mut sidecar(index, 100, SERVERS), 200, 70.0, &[]);
        assert!((12..=20).contains(&subset.len()), "sidecar {index}: {subset:?}");
        subset.keys().for_each(|id| *sidecars_by_server.entry(*id).or_default() += 1);
    }
    assert_eq!(sidecars_by_server.len() as u64, SERVERS, "every server is in some subset");
    let (min, max) = (sidecars_by_server.values().min().unwrap(), sidecars_by_server.values().max().unwrap());
    assert!(*min >= 10 && *max <= 40, "sidecars by server: {sidecars_by_server:?}");
}

#[test]
fn sidecar_uses_all_servers_if_they_are_few_or_it_is_busy_or_has_no_index() {
    assert_eq!(count_sends(&mut sidecar(1, 4, 14), 400, 70.0, &[]).len(), 14);
    assert_eq!(count_sends(&mut sidecar(1, 100, SERVERS), 4_000, 10.0, &[]).len() as u64, SERVERS);
    let mut without_index = BalancerHarness::new(
        Settings { sidecar_count: 100, sidecar_index: None, ..settings() },
        servers(SERVERS),
    );
    assert_eq!(
        count_sends(&mut without_index, 2_000, 70.0, &[]).len() as u64,
        SERVERS,
        "sidecar index unknown"
    );
}

#[test]
fn failed_and_drained_servers_in_subset_are_replaced() {
    let mut harness = sidecar(7, 100, SERVERS);
    let initial_subset: Vec<u64> = count_sends(&mut harness, 400, 70.0, &[]).into_keys().collect();
    let failing = &initial_subset[..3];
    count_sends(&mut harness, 200, 70.0, failing);
    let count_healthy =
        |sends: &BTreeMap<u64, usize>| sends.keys().filter(|id| !failing.contains(id)).count();
    let sends_after_failures = count_sends(&mut harness, 200, 70.0, failing);
    assert!(
        count_healthy(&sends_after_failures) >= 12,
        "subset before the failures: {initial_subset:?}, sends after: {sends_after_failures:?}"
    );
    let draining = |id: &u64| UpstreamRecord { lifecycle: Lifecycle::Draining, ..upstream_record(*id) };
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(
        initial_subset.iter().map(draining).collect(),
    )));
    let subset_after_draining: BTreeSet<u64> =
        count_sends(&mut harness, 400, 70.0, &[]).into_keys().collect();
    assert!(
        subset_after_draining.len() >= 12
            && initial_subset.iter().all(|id| !subset_after_draining.contains(id)),
        "{subset_after_draining:?}"
    );
}

/// Guards against one probe per request by sidecars that seldom send to the same server and so find all reports
/// stale.
#[test]
fn probe_rate_is_limited_by_probe_cost() {
    let count_probes = |probe_cost: f64, reports_in_responses: bool| {
        let settings = Settings {
            sidecar_count: 100,
            sidecar_index: Some(3),
            probe_cost,
            reports_in_responses,
            ..settings()
        };
        let mut harness = BalancerHarness::new(settings, servers(SERVERS));
        let mut probes = 0;
        for _ in 0..500 {
            harness.now += 70.0;
            let (request, actions) = harness.arrive(NON_IDEMPOTENT);
            probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
            let Some(upstream) = sent_to(&actions) else { continue };
            harness.finish(request, 0, upstream, Outcome::Ok, 20.0);
        }
        probes
    };
    assert!((1..=10).contains(&count_probes(0.08, true)), "high cost: {}", count_probes(0.08, true));
    assert!((20..=55).contains(&count_probes(0.01, true)), "low cost: {}", count_probes(0.01, true));
    assert!(count_probes(0.0, true) > 200, "no cost: {}", count_probes(0.0, true));
    assert!(count_probes(0.08, false) > 200, "no other reports: {}", count_probes(0.08, false));
}

/// Guards against refusals because both randomly chosen servers are cold and have no send allowance left while
/// warm servers are idle.
#[test]
fn requests_go_to_warm_servers_when_cold_ones_have_no_allowance() {
    let settings = Settings { probe_cost: 0.08, ..settings() };
    let cold = |record: UpstreamRecord| UpstreamRecord {
        started_at: (record.upstream.0 > 4).then_some(1_000.0),
        ..record
    };
    let mut harness = BalancerHarness::new(settings, servers(16).into_iter().map(cold).collect());
    let (mut sent_to_cold, mut sends) = (0, 0);
    for _ in 0..600 {
        harness.now += 10.0;
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("four servers are idle and warm");
        sends += 1;
        sent_to_cold += usize::from(upstream.0 > 4);
        harness.finish(request, 0, upstream, Outcome::Ok, 20.0);
    }
    assert!(sent_to_cold > sends / 20, "only {sent_to_cold} of {sends} requests sent to cold servers");
}

/// Guards against a sidecar with little traffic that keeps refusing requests long after an overload: its admission
/// limit must recover over time, not only with each response.
#[test]
fn admission_limit_recovers_over_time_with_few_responses() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 6.0, 0.75);
    // Twice as many requests as the servers process concurrently: responses are still well within the latency
    // target.
    let report_queues = |harness: &mut BalancerHarness| harness.report_steady_load(&[1, 2], 15.0, 1.0);
    report_queues(&mut harness);
    let (_, actions) = harness.arrive(NON_IDEMPOTENT);
    assert!(sent_to(&actions).is_some(), "the usual admission limit allows such a queue");
    for _ in 0..20 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let (mut next, mut attempt) = (sent_to(&actions), 0);
        while let Some(upstream) = next {
            next = sent_to(&harness.finish(request, attempt, upstream, Outcome::Rejected, 1.0));
            attempt += 1;
        }
    }
    report_queues(&mut harness);
    assert!(refused(&harness.arrive(NON_IDEMPOTENT).1), "rejections must lower the admission limit");
    for _ in 0..80 {
        [1, 2].into_iter().for_each(|id| harness.report(id, 2.0, 0.25));
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        harness.now += 100.0;
        if let Some(upstream) = sent_to(&actions) {
            harness.finish(request, 0, upstream, Outcome::Ok, 30.0);
        }
    }
    report_queues(&mut harness);
    assert!(
        sent_to(&harness.arrive(NON_IDEMPOTENT).1).is_some(),
        "the admission limit must recover within 8 s"
    );
}
