//! Server selection: the better of two random servers by projected utilisation, and the load estimates behind it.

mod common;

use std::collections::BTreeMap;

use common::*;
use sagemast::Balancer;
use sagemast::api::*;

/// A request whose attempt has not ended yet.
struct OutstandingRequest {
    completes_at: Millis,
    request: RequestId,
    upstream: UpstreamId,
    latency: Millis,
}

/// Sends `rounds` requests that take `latency` each to servers that report their load when probed. `capacities`
/// holds the id and the capacity of each server. Returns the number of sends by server.
fn count_sends(capacities: &[(u64, f64)], rounds: usize, latency: Millis) -> BTreeMap<u64, usize> {
    let mut harness =
        BalancerHarness::new(settings(), capacities.iter().map(|(id, _)| upstream_record(*id)).collect());
    let mut outstanding: Vec<OutstandingRequest> = Vec::new();
    let mut in_flight_by_server: BTreeMap<u64, usize> = BTreeMap::new();
    let mut sends: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..rounds {
        harness.now += 5.0;
        let now = harness.now;
        for OutstandingRequest { request, upstream, latency, .. } in
            outstanding.extract_if(.., |outstanding| outstanding.completes_at <= now).collect::<Vec<_>>()
        {
            *in_flight_by_server.entry(upstream.0).or_default() -= 1;
            harness.finish(request, 0, upstream, Outcome::Ok, latency);
        }
        let (request, actions) = harness.arrive(IDEMPOTENT);
        if let Some(upstream) = sent_to(&actions) {
            *in_flight_by_server.entry(upstream.0).or_default() += 1;
            *sends.entry(upstream.0).or_default() += 1;
            outstanding.push(OutstandingRequest {
                completes_at: harness.now + latency,
                request,
                upstream,
                latency,
            });
        }
        for action in actions {
            if let Action::Probe(upstream) = action {
                let (_, capacity) = capacities.iter().find(|(id, _)| *id == upstream.0).unwrap();
                let in_flight = *in_flight_by_server.get(&upstream.0).unwrap_or(&0) as f64;
                harness.report(upstream.0, in_flight, (in_flight / capacity).min(1.0));
            }
        }
    }
    sends
}

#[test]
fn server_of_double_capacity_gets_about_double_load() {
    let sends = count_sends(&[(1, 4.0), (2, 4.0), (3, 8.0), (4, 8.0)], 4_000, 60.0);
    let sends_to =
        |ids: [u64; 2]| ids.iter().map(|id| sends.get(id).copied().unwrap_or(0)).sum::<usize>() as f64;
    let ratio = sends_to([3, 4]) / sends_to([1, 2]);
    assert!((1.5..2.6).contains(&ratio), "ratio {ratio}: {sends:?}");
}

#[test]
fn every_serving_server_is_selected() {
    let capacities: Vec<(u64, f64)> = (1..=8).map(|id| (id, 4.0)).collect();
    let sends = count_sends(&capacities, 2_000, 40.0);
    assert_eq!(sends.len(), 8, "{sends:?}");
    assert!(sends.values().all(|count| *count > 120), "{sends:?}");
}

/// Guards against overestimating a saturated server: its in-flight count includes the queue, so in-flight divided
/// by utilisation exceeds its capacity.
#[test]
fn report_of_saturated_server_does_not_raise_its_estimated_capacity() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 6.0, 0.75);
    for _ in 0..10 {
        // The estimated capacity is 8 for both; computed as 24 / 1.0, it would be 24 for the first.
        harness.report(1, 24.0, 1.0);
        harness.report(2, 8.0, 1.0);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)));
        harness.handle_event(Event::RequestAbandoned(request));
        harness.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
    for _ in 0..10 {
        harness.report(1, 24.0, 1.0);
        harness.report(2, 9.0, 1.0);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)), "9 requests are fewer than 24 at equal capacity");
        harness.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
}

/// Guards against stale reports: a report below the sidecar's own in-flight count cannot be current.
#[test]
fn report_below_own_in_flight_count_is_not_used() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_target = 450.0;
    let mut harness = BalancerHarness::new(settings, vec![upstream_record(1), upstream_record(2)]);
    harness.report(1, 2.0, 1.0);
    harness.report(2, 2.0, 1.0);
    let mut sends = BTreeMap::new();
    for _ in 0..8 {
        harness.now += 1.0;
        let (_, actions) = harness.arrive(IDEMPOTENT);
        *sends.entry(sent_to(&actions).unwrap().0).or_insert(0) += 1;
        harness.now += 1.0;
        // Both servers keep reporting that they are idle.
        harness.report(1, 0.0, 0.0);
        harness.report(2, 0.0, 0.0);
    }
    assert_eq!(sends, BTreeMap::from([(1, 4), (2, 4)]));
}

/// Guards against a capacity estimate that ignores speed: servers of equal concurrency may differ in service time.
#[test]
fn slower_servers_get_fewer_requests() {
    let mut harness = BalancerHarness::new(settings(), (1..=4).map(upstream_record).collect());
    let mut sends = BTreeMap::new();
    let mut outstanding: Vec<OutstandingRequest> = Vec::new();
    for _ in 0..3_000 {
        harness.now += 10.0;
        let now = harness.now;
        for OutstandingRequest { request, upstream, latency, .. } in
            outstanding.extract_if(.., |outstanding| outstanding.completes_at <= now).collect::<Vec<_>>()
        {
            harness.finish(request, 0, upstream, Outcome::Ok, latency);
        }
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        *sends.entry(upstream.0).or_insert(0.0) += 1.0;
        let latency = if upstream.0 <= 2 { 60.0 } else { 30.0 };
        outstanding.push(OutstandingRequest {
            completes_at: harness.now + latency,
            request,
            upstream,
            latency,
        });
    }
    assert!(sends[&3] + sends[&4] > 1.4 * (sends[&1] + sends[&2]), "{sends:?}");
}

#[test]
fn same_seed_and_events_give_same_actions() {
    let run = |seed: u64| {
        let mut balancer = Balancer::new(settings(), seed);
        let mut actions = Vec::new();
        let servers = (1..=6).map(upstream_record).collect();
        balancer.handle(0.0, Event::DiscoveryUpdated(DiscoveryUpdate::Restored(servers)), &mut actions);
        for id in 0..300 {
            let event = Event::RequestArrived {
                request: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: TenantId(0),
                time_left: 400.0,
                cost: None,
            };
            balancer.handle(id as f64 * 7.0, event, &mut actions);
        }
        actions
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn other_zones_get_requests_only_when_own_zone_is_at_its_limit() {
    let mut settings = settings();
    settings.zone_crossing_cost = 0.1;
    let servers = (1..=6).map(|id| UpstreamRecord { zone: ZoneId(id % 2), ..upstream_record(id) }).collect();
    let mut harness = BalancerHarness::new(settings, servers);
    harness.report_steady_load(&[1, 2, 3, 4, 5, 6], 1.0, 0.25);
    let mut sent_to_other_zone = 0;
    for round in 0..60 {
        let (_, actions) = harness.arrive(IDEMPOTENT);
        sent_to_other_zone += usize::from(sent_to(&actions).is_some_and(|upstream| upstream.0 % 2 == 1));
        if round == 5 {
            assert_eq!(sent_to_other_zone, 0, "servers in the own zone have capacity left");
        }
    }
    assert!(sent_to_other_zone > 0, "requests spill over once the own zone is busy");
}

/// Guards against estimating capacity from a single report: utilisation lags, so after a burst a low in-flight
/// count comes with a high utilisation.
#[test]
fn estimated_capacity_is_ratio_of_moving_averages() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for _ in 0..60 {
        harness.now += 50.0;
        harness.report(1, 6.0, 0.75);
        harness.report(2, 6.0, 0.75);
    }
    harness.now += 30.0;
    harness.report(1, 1.0, 0.89);
    harness.report(1, 4.0, 0.75);
    harness.report(2, 6.0, 0.75);
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert_eq!(
        sent_to(&actions),
        Some(UpstreamId(1)),
        "server 1 has about the same estimated capacity and fewer requests in flight"
    );
}

/// Guards against herding on stale reports: they lack requests already in flight, and would lead every sidecar to
/// the servers that were idle earlier.
#[test]
fn stale_reports_do_not_cause_herding() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_target = 450.0;
    let mut harness =
        BalancerHarness::new(settings, vec![upstream_record(1), upstream_record(2), upstream_record(3)]);
    harness.report_steady_load(&[1, 2, 3], 4.0, 0.9);
    let mut sends = BTreeMap::new();
    for round in 0..400 {
        harness.now += 10.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        if round >= 200 {
            *sends.entry(upstream.0).or_insert(0) += 1;
        }
        // The reports of the first server are always too low, those of the others too high.
        for id in 1..=3 {
            harness.now += 1.0;
            harness.report(id, if id == 1 { 0.0 } else { 4.0 }, if id == 1 { 0.0 } else { 0.9 });
        }
        // The request of seven rounds ago ends. Its outcome counts only for the server that it was sent to.
        if round >= 7 {
            for id in 1..=3 {
                harness.finish(RequestId(request.0 - 7), 0, UpstreamId(id), Outcome::Ok, 90.0);
            }
        }
    }
    assert!(sends[&2] > 40 && sends[&3] > 40, "{sends:?}");
}

/// Guards against overload after start-up: a server's moving average of utilisation starts at 0, so in-flight
/// divided by utilisation is far too high at first.
#[test]
fn first_reports_do_not_set_estimated_capacity() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for id in [1, 2] {
        harness.report(id, 12.0, 0.12);
    }
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(refused(&actions), "12 requests on a server of unknown capacity are a long queue");
}

/// A sidecar with little traffic hears from each server too seldom to estimate its capacity. Guards against
/// treating all servers alike: reports from servers of one machine type must count for the others of that type.
#[test]
fn server_without_reports_gets_estimated_capacity_of_its_machine_type() {
    let machine_type = |id: u64| MachineTypeId(id % 2);
    let sends_to_unreported = |counted_type: MachineTypeId| {
        let servers = (1..=12)
            .map(|id| UpstreamRecord { machine_type: machine_type(id), ..upstream_record(id) })
            .collect();
        let mut harness = BalancerHarness::new(settings(), servers);
        // Of the reporting servers, those with odd ids have four times the capacity.
        harness.report_steady_load(&[1, 3], 4.0, 0.5);
        harness.report_steady_load(&[2, 4], 1.0, 0.5);
        harness.now += 30_000.0;
        let mut sends = 0;
        for _ in 0..400 {
            harness.now += 500.0;
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let upstream = sent_to(&actions).expect("a server has capacity left");
            sends += u32::from(upstream.0 > 4 && machine_type(upstream.0) == counted_type);
            harness.finish(request, 0, upstream, Outcome::Ok, 20.0);
        }
        sends
    };
    let (large, small) = (sends_to_unreported(MachineTypeId(1)), sends_to_unreported(MachineTypeId(0)));
    assert!(large > 2 * small, "{large} to the large machine type, {small} to the small one");
}

/// Guards against requests that wait for probes: an answer that queues behind other work can use up much of the
/// latency target.
#[test]
fn request_is_sent_without_waiting_for_probes_of_stale_servers() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 2.0, 0.5);
    harness.now += 5_000.0;
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(sent_to(&actions).is_some(), "the request was not sent: {actions:?}");
    for id in [1, 2] {
        assert!(actions.contains(&Action::Probe(UpstreamId(id))), "server {id} must be probed");
    }
    assert!(
        !actions.iter().any(|action| matches!(action, Action::SetTimer { .. })),
        "the request must not wait for a timer"
    );
}

/// Guards against herding on one low report: reports in responses describe an earlier moment and vary.
#[test]
fn one_low_report_in_a_response_does_not_make_a_busy_server_look_idle() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 2.0, 0.25);
    let request_at_first = loop {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        if upstream == UpstreamId(1) {
            break request;
        }
        harness.finish(request, 0, upstream, Outcome::Ok, 20.0);
    };
    harness.report_steady_load(&[2], 2.0, 0.25);
    harness.report_steady_load(&[1], 6.0, 0.75);
    harness.report_steady_load(&[2], 2.0, 0.25);
    harness.report_steady_load(&[1], 6.0, 0.75);
    harness.handle_event(Event::AttemptFinished(AttemptFinished {
        request: request_at_first,
        attempt: AttemptNo(0),
        upstream: UpstreamId(1),
        outcome: Outcome::Ok,
        latency: 20.0,
        request_completed: true,
        report: Some(LoadReport { in_flight: Some(0.0), utilisation: Some(0.75), ..LoadReport::default() }),
    }));
    harness.report(2, 2.0, 0.25);
    assert_eq!(
        sent_to(&harness.arrive(IDEMPOTENT).1),
        Some(UpstreamId(2)),
        "the first server still has six requests of other sidecars"
    );
}

/// Guards against needless probes: each costs the server work and a connection, and responses carry the same
/// reports.
#[test]
fn servers_with_reports_in_responses_are_rarely_probed() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    let report = LoadReport { in_flight: Some(1.0), utilisation: Some(0.3), ..LoadReport::default() };
    let mut probes = 0;
    for round in 0..200 {
        harness.now += 100.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        let probes_now = actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        probes += if round < 20 { 0 } else { probes_now };
        harness.handle_event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: AttemptNo(0),
            upstream,
            outcome: Outcome::Ok,
            latency: 20.0,
            request_completed: true,
            report: Some(report),
        }));
    }
    // Ten random choices in a row sometimes leave one server without a response for a second.
    assert!(probes <= 10, "{probes} probes in 180 requests");
}

/// Guards against refusals while servers are idle: with little time left, the service time alone can exceed the
/// admission limit, so the limit must apply only where a queue has formed.
#[test]
fn request_with_little_time_left_is_refused_only_behind_a_queue() {
    let arrive_at_load = |in_flight: f64| {
        let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
        harness.report_steady_load(&[1, 2], in_flight, in_flight / 1.4 * 0.8);
        let (request, tenant) = (RequestId(9), TenantId(0));
        harness.handle_event(Event::RequestArrived {
            request,
            class: IDEMPOTENT,
            tenant,
            time_left: 40.0,
            cost: None,
        })
    };
    assert!(sent_to(&arrive_at_load(1.0)).is_some());
    assert!(refused(&arrive_at_load(3.0)), "the response would be late behind a queue");
}

/// Guards against timing out large requests early: another attempt takes as much work and would time out as well.
#[test]
fn request_with_large_cost_hint_gets_longer_attempt_timeout() {
    let mut harness = BalancerHarness::new(settings(), (1..=4).map(upstream_record).collect());
    harness.report_steady_load(&[1, 2, 3, 4], 1.0, 0.25);
    const USUAL_COST: f64 = 50_000.0;
    const LARGE_COST: f64 = 400_000.0;
    let mut attempt_timeout = |id: u64, cost: f64| {
        let request = RequestId(10_000 + id);
        let tenant = TenantId(0);
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant, time_left: 500.0, cost: Some(cost) };
        let actions = harness.handle_event(event);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { upstream, timeout, .. } => Some((*upstream, *timeout)),
            _ => None,
        });
        let (upstream, timeout) = sent.expect("the servers are idle");
        harness.now += 30.0;
        harness.finish(request, 0, upstream, Outcome::Ok, 30.0);
        timeout
    };
    for id in 0..100 {
        assert!(
            attempt_timeout(id, USUAL_COST) < 200.0,
            "at the usual cost another attempt must still meet the latency target"
        );
    }
    assert!(
        attempt_timeout(100, LARGE_COST) >= 500.0,
        "at eight times the usual cost one attempt gets all the time left"
    );
    assert!(
        attempt_timeout(101, USUAL_COST) < 200.0,
        "a single large request does not change the usual cost"
    );
}
