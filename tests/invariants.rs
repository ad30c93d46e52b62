//! Invariants of the decision module: every request ends with one response, no request is retried where a second
//! execution is unsafe, only listed serving servers get requests, and cold servers stay within their overload budget.

mod common;

use common::*;
use sagemast::api::*;

/// Three servers in each cell: cells 0 and 1 are in zone 0, cell 2 is in zone 1.
fn three_cells() -> Vec<UpstreamRecord> {
    [1, 2, 3, 11, 12, 13, 21, 22, 23]
        .map(|id| UpstreamRecord { zone: ZoneId(id / 20), ..upstream_record(id) })
        .to_vec()
}

#[test]
fn requests_are_refused_without_servers() {
    let mut harness = BalancerHarness::new(settings(), vec![]);
    for class in 0..5 {
        let (_, actions) = harness.arrive(ClassId(class));
        assert!(refused(&actions), "class {class}: {actions:?}");
    }
}

#[test]
fn single_server_receives_requests() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1)]);
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
}

#[test]
fn request_of_unknown_class_is_refused() {
    let mut harness = BalancerHarness::new(settings(), three_cells());
    let (_, actions) = harness.arrive(ClassId(99));
    assert!(refused(&actions));
}

#[test]
fn abandoned_request_gets_no_attempt_and_no_response() {
    let mut harness = BalancerHarness::new(settings(), three_cells());
    let (request, actions) = harness.arrive(IDEMPOTENT);
    let upstream = sent_to(&actions).unwrap();
    let actions = harness.handle_event(Event::RequestAbandoned(request));
    assert_eq!(actions, vec![Action::Cancel { request, attempt: AttemptNo(0) }]);
    let actions = harness.finish(request, 0, upstream, Outcome::Error, 20.0);
    assert_eq!(sent_to(&actions), None);
    assert!(!refused(&actions) && !failed(&actions), "the client has disconnected");
}

#[test]
fn non_idempotent_request_fails_after_timeout_at_deadline() {
    let mut harness = BalancerHarness::new(settings(), three_cells());
    let (request, actions) = harness.arrive(NON_IDEMPOTENT);
    let upstream = sent_to(&actions).unwrap();
    harness.now += 500.0;
    let actions = harness.finish(request, 0, upstream, Outcome::TimedOut, 500.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_did_not_run() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = BalancerHarness::new(settings(), three_cells());
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        harness.now += 10.0;
        let actions = harness.finish(request, 0, upstream, outcome, 10.0);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(failed(&actions), "{outcome:?}: the request may have run, so a refusal would be wrong");
    }
    for outcome in [Outcome::Rejected, Outcome::Unreachable] {
        let mut harness = BalancerHarness::new(settings(), three_cells());
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        harness.now += 10.0;
        let actions = harness.finish(request, 0, upstream, outcome, 10.0);
        assert!(sent_to(&actions).is_some(), "{outcome:?}: the request did not run");
    }
}

#[test]
fn keyed_request_is_retried_only_within_dedup_scope() {
    for preceding_arrivals in 0..40 {
        for (class, ids_per_scope) in [(KEYED_PER_CELL, 10), (KEYED_PER_ZONE, 20)] {
            let mut harness = BalancerHarness::new(settings(), three_cells());
            // Preceding arrivals advance the random number generator.
            (0..preceding_arrivals).for_each(|_| drop(harness.arrive(IDEMPOTENT)));
            let (request, actions) = harness.arrive(class);
            let Some(first) = sent_to(&actions) else { continue };
            harness.now += 20.0;
            let actions = harness.finish(request, 0, first, Outcome::Error, 20.0);
            if let Some(next) = sent_to(&actions) {
                assert_eq!(next.0 / ids_per_scope, first.0 / ids_per_scope, "{first:?}, then {next:?}");
            }
            assert!(!refused(&actions), "a client retry could reach a server outside the scope");
        }
    }
}

/// The window counts from the first attempt that may have run, not from the latest.
#[test]
fn keyed_request_is_not_retried_after_dedup_window() {
    let mut settings = settings();
    settings.classes[KEYED_PER_CELL.0].latency_target = 5_000.0;
    let mut harness = BalancerHarness::new(settings, three_cells());
    harness.handle_event(arrival(9_000, KEYED_PER_CELL, 5_000.0));
    // Timers that the module did not set have no effect.
    (0..2).for_each(|_| drop(harness.handle_event(Event::TimerFired(9_000 >> 1))));
    let request = RequestId(9_000);
    let mut attempt = 0;
    let mut retried_at = None;
    for id in [1, 2, 3, 11, 12, 13, 21, 22, 23] {
        // The outcome ends attempt 0 of the request, whichever server it names.
        harness.now = 1_200.0;
        let actions = harness.finish(request, 0, UpstreamId(id), Outcome::Error, 200.0);
        if let Some(next) = sent_to(&actions) {
            attempt = 1;
            retried_at = Some(next);
            break;
        }
    }
    let second = retried_at.expect("the request is retried within the window");
    harness.now = 1_310.0;
    let actions = harness.finish(request, attempt, second, Outcome::Error, 110.0);
    assert_eq!(sent_to(&actions), None);
    assert!(failed(&actions));
}

/// The arrival of a request of any tenant, without a cost hint.
fn arrival(id: u64, class: ClassId, time_left: Millis) -> Event {
    Event::RequestArrived { request: RequestId(id), class, tenant: TenantId(0), time_left, cost: None }
}

#[test]
fn attempts_are_limited_to_max_attempts() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let mut harness = BalancerHarness::new(settings, three_cells());
    let (request, actions) = harness.arrive(IDEMPOTENT);
    let first = sent_to(&actions).unwrap();
    let actions = harness.finish(request, 0, first, Outcome::Rejected, 1.0);
    let second = sent_to(&actions).expect("a second attempt");
    let actions = harness.finish(request, 1, second, Outcome::Rejected, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(refused(&actions));
}

#[test]
fn draining_and_unlisted_servers_get_no_requests() {
    let mut harness =
        BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2), upstream_record(3)]);
    let draining = UpstreamRecord { lifecycle: Lifecycle::Draining, ..upstream_record(1) };
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(vec![draining])));
    for _ in 0..30 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        assert_ne!(upstream, UpstreamId(1));
        harness.now += 5.0;
        harness.finish(request, 0, upstream, Outcome::Ok, 5.0);
    }
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(vec![upstream_record(3)])));
    for _ in 0..30 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(3)), "server 2 is not in the snapshot");
        harness.now += 5.0;
        harness.finish(request, 0, UpstreamId(3), Outcome::Ok, 5.0);
    }
}

#[test]
fn server_list_stays_in_use_while_discovery_is_unavailable() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1)]);
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn subscription_is_requested_with_jitter_and_again_after_failure() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Subscribe { subscribe_within: 10_000.0 };
    let mut harness = BalancerHarness::new(settings, vec![]);
    let mut call_delays = Vec::new();
    let mut actions =
        harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Restored(vec![upstream_record(1)])));
    for _ in 0..12 {
        // `BalancerHarness::new` already set the timer of the first call; only one call is pending at a time.
        assert!(actions.iter().all(|action| !matches!(action, Action::SetTimer { .. })));
        actions = harness.handle_event(Event::TimerFired(0));
        assert!(actions.contains(&Action::Subscribe));
        let after_failure = harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
        call_delays.extend(after_failure.iter().filter_map(|action| match action {
            Action::SetTimer { at, .. } => Some(at - harness.now),
            _ => None,
        }));
        actions = vec![];
    }
    assert_eq!(call_delays.len(), 12);
    // The list must be current 6 s after discovery becomes reachable; longer delays leave too little of that.
    assert!(call_delays.iter().all(|delay| (0.0..1_500.0).contains(delay)), "{call_delays:?}");
    assert!(
        call_delays.iter().any(|delay| *delay > 750.0),
        "calls must be spread over time: {call_delays:?}"
    );
}

/// Sidecars share the overload budget of a cold server without coordination. Guards against exceeding it, and
/// against sending nothing when each sidecar's share is less than one request.
#[test]
fn sidecars_together_use_but_do_not_exceed_overload_budget_of_cold_server() {
    const SERVERS: u64 = 10;
    const SERVICE_TIME: Millis = 30.0;
    for (sidecars, first_cold) in [(5, 10), (200, 10), (1_000, 10), (200, 1)] {
        let mut settings = settings();
        settings.sidecar_count = sidecars;
        settings.limits.allow_probes = false;
        let start = 1_000.0;
        let servers: Vec<UpstreamRecord> = (1..=SERVERS)
            .map(|id| UpstreamRecord {
                started_at: (id >= first_cold).then_some(start),
                ..upstream_record(id)
            })
            .collect();
        let (overload_duration, overload_multiple) =
            (settings.cold_start.overload_duration, settings.cold_start.overload_multiple);
        // Each server processes one request at a time; all sidecars together send 90% of the warm capacity.
        let (duration, arrivals_per_ms) = (3.0 * overload_duration, 0.9 * SERVERS as f64 / SERVICE_TIME);
        let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
        for sidecar in 0..sidecars {
            let mut harness =
                BalancerHarness::with_seed(settings.clone(), servers.clone(), u64::from(sidecar));
            let interval = f64::from(sidecars) / arrivals_per_ms;
            harness.now = start + interval * f64::from(sidecar) / f64::from(sidecars);
            while harness.now < start + duration {
                let (request, actions) = harness.arrive(NON_IDEMPOTENT);
                if let Some(upstream) = sent_to(&actions) {
                    sends.push((upstream, harness.now));
                    harness.finish(request, 0, upstream, Outcome::Ok, SERVICE_TIME);
                }
                harness.now += interval;
            }
        }
        for id in first_cold..=SERVERS {
            let mut send_times: Vec<Millis> =
                sends.iter().filter(|(upstream, _)| upstream.0 == id).map(|(_, sent_at)| *sent_at).collect();
            send_times.sort_by(f64::total_cmp);
            // A cold server next to idle warm ones need not be chosen; if all are cold, each must be.
            assert!(
                first_cold > 1 || !send_times.is_empty(),
                "{sidecars} sidecars: server {id} received no requests"
            );
            for window_start in &send_times {
                let sent_work = send_times
                    .iter()
                    .filter(|sent_at| (*window_start..window_start + overload_duration).contains(*sent_at))
                    .count() as f64
                    * SERVICE_TIME;
                let capacity_fraction = 0.2 + 0.8 * (window_start - start) / settings.cold_start.warm_up;
                assert!(
                    sent_work <= overload_multiple * capacity_fraction * overload_duration,
                    "{sidecars} sidecars: server {id} received {sent_work} ms of work in one window"
                );
            }
        }
    }
}

#[test]
fn restarted_server_with_same_id_is_cold() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1)]);
    let count_accepted = |harness: &mut BalancerHarness| {
        let mut accepted = 0;
        for _ in 0..50 {
            // The send allowance of a cold server accrues over time.
            harness.now += 20.0;
            let (request, actions) = harness.arrive(IDEMPOTENT);
            accepted += u32::from(sent_to(&actions).is_some());
            harness.handle_event(Event::RequestAbandoned(request));
            harness.finish(request, 0, UpstreamId(1), Outcome::Cancelled, 1.0);
        }
        accepted
    };
    assert_eq!(count_accepted(&mut harness), 50, "the server is warm");
    let restarted = UpstreamRecord { started_at: Some(harness.now), ..upstream_record(1) };
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(vec![restarted])));
    let accepted = count_accepted(&mut harness);
    assert!((1..25).contains(&accepted), "{accepted} of 50 requests accepted while the server is cold");
}
