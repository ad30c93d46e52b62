//! Outlier ejection and admission control: failing servers are ejected and return through half-open trials;
//! requests that no server can complete in time are refused.

mod common;

use common::*;
use sagemast::api::*;

/// Sends `rounds` requests and ends every attempt at once: at server 1, or at all servers if `all_fail`, with `outcome`
/// after 2 ms, at the others with success after 30 ms. Returns the number of attempts sent to server 1.
fn run_with_outcome(harness: &mut BalancerHarness, rounds: usize, outcome: Outcome, all_fail: bool) -> usize {
    let mut sent_to_first = 0;
    for _ in 0..rounds {
        harness.now += 10.0;
        let (request, mut actions) = harness.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(upstream) = sent_to(&actions) {
            let fails = all_fail || upstream.0 == 1;
            sent_to_first += usize::from(upstream.0 == 1);
            let (outcome, latency) = if fails { (outcome, 2.0) } else { (Outcome::Ok, 30.0) };
            actions = harness.finish(request, attempt, upstream, outcome, latency);
            attempt += 1;
        }
    }
    sent_to_first
}

/// Guards against servers that fail fast: they look idle and would be preferred over all others.
#[test]
fn fast_failing_server_is_ejected() {
    for outcome in [Outcome::Error, Outcome::Unreachable, Outcome::Reset] {
        let mut harness = BalancerHarness::new(settings(), (1..=5).map(upstream_record).collect());
        run_with_outcome(&mut harness, 50, outcome, false);
        let sends = run_with_outcome(&mut harness, 500, outcome, false);
        assert!(sends < 10, "{outcome:?}: {sends} sends to the failing server in 500 requests");
    }
}

#[test]
fn recovered_server_returns_through_trials() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(upstream_record).collect());
    run_with_outcome(&mut harness, 100, Outcome::Error, false);
    let sends = run_with_outcome(&mut harness, 2_000, Outcome::Ok, false);
    assert!(sends > 100, "{sends} sends in 2,000 requests after the recovery");
}

/// Guards against servers that fail a third of their requests, which is too seldom for an ejection.
#[test]
fn server_with_elevated_failure_rate_gets_fewer_requests() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(upstream_record).collect());
    let (mut sent_to_first, mut failures) = (0, 0);
    for _ in 0..1_000 {
        harness.now += 10.0;
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        sent_to_first += usize::from(upstream.0 == 1);
        let fails = upstream.0 == 1 && sent_to_first % 3 == 0;
        failures += usize::from(fails);
        harness.finish(request, 0, upstream, if fails { Outcome::Error } else { Outcome::Ok }, 30.0);
    }
    assert!(
        failures > 0 && sent_to_first < 130,
        "{sent_to_first} of 1,000 requests sent to the failing server, {failures} failed"
    );
}

/// Guards against an ejection that ends at once: only a trial sent after the ejection may end it.
#[test]
fn response_to_attempt_sent_before_ejection_does_not_end_it() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(upstream_record).collect());
    harness.report_steady_load(&[1, 2, 3, 4, 5], 2.0, 0.1);
    let mut requests_at_first_server = Vec::new();
    for _ in 0..60 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        if sent_to(&actions) == Some(UpstreamId(1)) {
            requests_at_first_server.push(request);
        }
    }
    let (failing, succeeding) = requests_at_first_server.split_at(6);
    assert!(
        succeeding.len() > 2,
        "{} requests sent to the first server before the failures",
        requests_at_first_server.len()
    );
    let ejected = failing.iter().any(|request| {
        let actions = harness.finish(*request, 0, UpstreamId(1), Outcome::Error, 30.0);
        actions.iter().any(|action| matches!(action, Action::Log(text) if text.contains("ejected")))
    });
    assert!(ejected, "six failures in a row must eject the server");
    for request in succeeding {
        let actions = harness.finish(*request, 0, UpstreamId(1), Outcome::Ok, 30.0);
        assert_eq!(actions, [], "the server must stay ejected");
    }
}

/// Guards against ejecting all servers when the network or the sidecar itself is at fault.
#[test]
fn share_of_ejected_servers_is_limited() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(upstream_record).collect());
    run_with_outcome(&mut harness, 200, Outcome::Error, true);
    let mut servers_used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("some servers are not ejected");
        servers_used.insert(upstream);
        harness.finish(request, 0, upstream, Outcome::Ok, 30.0);
    }
    assert!(servers_used.len() >= 3, "{servers_used:?}");
}

/// Guards against hung servers: their attempts end only by timeout.
#[test]
fn unanswered_attempts_count_against_a_server_before_they_time_out() {
    let mut harness = BalancerHarness::new(settings(), (1..=4).map(upstream_record).collect());
    let mut sent_to_hung = 0;
    for round in 0..200 {
        harness.now += 5.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        for action in &actions {
            // The hung server still answers probes and reports that it is idle.
            if let Action::Probe(upstream) = action {
                harness.report(upstream.0, 0.0, 0.0);
            }
        }
        let Some(upstream) = sent_to(&actions) else { continue };
        if upstream.0 == 1 {
            sent_to_hung += usize::from(round >= 40);
        } else {
            harness.finish(request, 0, upstream, Outcome::Ok, 20.0);
        }
    }
    assert!(sent_to_hung <= 5, "{sent_to_hung} of 160 requests sent to the hung server");
}

/// Guards against ejecting servers that reject requests because they are full: that removes capacity under
/// overload.
#[test]
fn rejections_do_not_eject_a_server() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for _ in 0..60 {
        harness.now += 50.0;
        harness.report(2, 3.0, 0.5);
        let (request, mut actions) = harness.arrive(NON_IDEMPOTENT);
        for attempt in 0.. {
            assert!(
                actions.iter().all(|action| !matches!(action, Action::Log(_))),
                "the full server was ejected"
            );
            let Some(upstream) = sent_to(&actions) else { break };
            let outcome = if upstream.0 == 1 { Outcome::Rejected } else { Outcome::Ok };
            actions = harness.finish(request, attempt, upstream, outcome, 1.0);
        }
    }
    harness.report(1, 0.0, 0.0);
    harness.report(2, 5.0, 0.9);
    assert_eq!(sent_to(&harness.arrive(NON_IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn requests_are_refused_when_no_server_can_complete_them_in_time() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for id in [1, 2] {
        harness.report(id, 1.0, 0.5);
        harness.report(id, 60.0, 1.0);
    }
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(refused(&actions));
}

/// Guards against permanent refusal: a service time measured during an overload must not block idle servers.
#[test]
fn idle_server_accepts_requests_after_high_measured_service_times() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for _ in 0..300 {
        harness.now += 400.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        for id in [1, 2] {
            harness.report(id, 1.0, 0.25);
        }
        if let Some(upstream) = sent_to(&actions) {
            harness.finish(request, 0, upstream, Outcome::Ok, 190.0);
        }
    }
    for id in [1, 2] {
        harness.report(id, 0.0, 0.0);
    }
    assert!(sent_to(&harness.arrive(IDEMPOTENT).1).is_some());
}

#[derive(Debug, Default)]
struct RequestCount {
    arrived: u32,
    refused: u32,
}

/// Guards against random load shedding: under overload, requests of low value and of tenants above their quota are
/// refused first.
#[test]
fn requests_of_low_value_and_above_quota_are_refused_first() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].value = 0.2;
    settings.classes[KEYED_FLEET_WIDE.0].value = 4.0;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    settings.over_quota_value_fraction = 0.05;
    let mut counts = std::collections::BTreeMap::new();
    let mut harness = BalancerHarness::new(settings, vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 4.0, 1.0);
    for number in 0..2_000_u64 {
        harness.now += 5.0;
        // The in-flight count of both servers varies around 17; they process 4 requests concurrently.
        let in_flight = 9.0 + (number % 16) as f64;
        for id in [1, 2] {
            harness.report(id, in_flight, 1.0);
        }
        let (class, tenant) =
            ([IDEMPOTENT, KEYED_FLEET_WIDE][(number / 16 % 2) as usize], u64::from(number % 5 == 0));
        let request = RequestId(number);
        let tenant = TenantId(tenant as usize);
        let actions = harness.handle_event(Event::RequestArrived {
            request,
            class,
            tenant,
            time_left: 500.0,
            cost: None,
        });
        let count: &mut RequestCount = counts.entry((class, tenant)).or_default();
        count.arrived += 1;
        count.refused += u32::from(refused(&actions));
        if let Some(upstream) = sent_to(&actions) {
            harness.handle_event(Event::RequestAbandoned(request));
            harness.finish(request, 0, upstream, Outcome::Cancelled, 1.0);
        }
    }
    let refusal_rate = |class, tenant| {
        let count: &RequestCount = &counts[&(class, TenantId(tenant))];
        f64::from(count.refused) / f64::from(count.arrived)
    };
    assert!(
        refusal_rate(IDEMPOTENT, 0) > refusal_rate(KEYED_FLEET_WIDE, 0) + 0.1,
        "requests by class and tenant: {counts:?}"
    );
    assert!(
        refusal_rate(KEYED_FLEET_WIDE, 0) > refusal_rate(KEYED_FLEET_WIDE, 1) + 0.1,
        "requests by class and tenant: {counts:?}"
    );
}

/// Guards against feeding an overload: when all servers have become slow, a server without recent responses must
/// be assumed to be slow as well.
#[test]
fn server_without_recent_responses_is_assumed_as_slow_as_the_fleet() {
    let mut harness = BalancerHarness::new(settings(), (1..=20).map(upstream_record).collect());
    let ids: Vec<u64> = (1..=20).collect();
    harness.report_steady_load(&ids, 3.0, 0.75);
    let count_refusals = |harness: &mut BalancerHarness, rounds: usize, latency: Millis| {
        let mut refusals = 0;
        for _ in 0..rounds {
            harness.now += 100.0;
            ids.iter().for_each(|id| harness.report(*id, 7.0, 0.95));
            let (request, actions) = harness.arrive(IDEMPOTENT);
            refusals += usize::from(refused(&actions));
            if let Some(upstream) = sent_to(&actions) {
                harness.finish(request, 0, upstream, Outcome::Ok, latency);
            }
        }
        refusals
    };
    assert_eq!(count_refusals(&mut harness, 200, 40.0), 0);
    count_refusals(&mut harness, 100, 400.0);
    let refusals = count_refusals(&mut harness, 100, 400.0);
    assert!(refusals > 60, "only {refusals} of 100 refused although every response is late");
}

/// Guards against overload that load reports do not show: late responses must lower the admission limit.
#[test]
fn fewer_requests_are_accepted_while_responses_are_late() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_target = 400.0;
    let ids: Vec<u64> = (1..=6).collect();
    let count_accepted = |late: bool| {
        let mut harness =
            BalancerHarness::new(settings.clone(), ids.iter().copied().map(upstream_record).collect());
        harness.report_steady_load(&ids, 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..600_u64 {
            harness.now += 50.0;
            ids.iter().for_each(|id| harness.report(*id, 3.0 + (round % 8) as f64, 0.95));
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let Some(upstream) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 300);
            // Every second request is slow, so the median service time does not change.
            let slow = late && round % 2 == 0;
            harness.now += if slow { 450.0 } else { 0.0 };
            harness.finish(request, 0, upstream, Outcome::Ok, if slow { 450.0 } else { 60.0 });
        }
        accepted
    };
    let (on_time, late) = (count_accepted(false), count_accepted(true));
    assert!(late * 10 < on_time * 9, "{late} accepted with late responses, {on_time} without");
}

/// Guards against retry delays beyond the latency target, after which a retry has lost its value.
#[test]
fn retry_delay_after_refusal_is_jittered_and_below_latency_target() {
    let mut harness = BalancerHarness::new(settings(), vec![]);
    let retry_delays: Vec<Millis> = (0..200)
        .flat_map(|_| harness.arrive(IDEMPOTENT).1)
        .filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(retry_delays.len(), 200);
    assert!(
        retry_delays.iter().all(|delay| *delay < 100.0),
        "above half of the latency target of 200 ms: {retry_delays:?}"
    );
    let spread =
        retry_delays.iter().copied().fold(0.0, f64::max) - retry_delays.iter().copied().fold(1e9, f64::min);
    assert!(spread > 30.0, "retry delays spread over only {spread} ms");
}

/// Guards against refusals while the fleet grows: long service times of cold servers must not count against warm
/// ones.
#[test]
fn slow_cold_server_does_not_reduce_admission_at_warm_servers() {
    let mut settings = settings();
    settings.cold_start.warm_up = 100_000.0;
    let mut harness = BalancerHarness::new(settings, vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 0.8, 0.1);
    let (mut sent_to_cold, mut cold_since) = (0, f64::INFINITY);
    for round in 0..120 {
        if round == 40 {
            cold_since = harness.now;
            let cold = UpstreamRecord { started_at: Some(harness.now), ..upstream_record(2) };
            harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(vec![cold])));
        }
        harness.now += 100.0;
        harness.report(1, if round < 40 { 0.8 } else { 7.5 }, 0.05);
        harness.report(2, 0.5, 0.05);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        let is_cold = upstream == UpstreamId(2) && round >= 40;
        sent_to_cold += usize::from(is_cold);
        // The service time falls as the capacity of the cold server grows.
        let latency =
            if is_cold { 20.0 / (0.2 + 0.8 * (harness.now - cold_since) / 100_000.0) } else { 20.0 };
        harness.now += latency;
        harness.finish(request, 0, upstream, Outcome::Ok, latency);
    }
    assert!(sent_to_cold > 3, "only {sent_to_cold} requests sent to the cold server");
    harness.report(1, 6.0, 0.05);
    harness.report(2, 20.0, 0.05);
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against starving a class: if only value per service time counted, the class with the longer service time
/// would get all refusals under overload.
#[test]
fn refusals_are_spread_over_classes() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 0.8, 0.1);
    let mut sends_by_class = [0, 0];
    for round in 0..600 {
        let busy = round >= 200;
        let (class_index, class, service_time) =
            if round % 2 == 0 { (0, IDEMPOTENT, 40.0) } else { (1, KEYED_FLEET_WIDE, 64.0) };
        harness.now += 50.0;
        // Reports of such low utilisation do not change the estimated capacity.
        [1, 2].into_iter().for_each(|id| harness.report(id, if busy { 15.0 } else { 0.8 }, 0.05));
        let (request, actions) = harness.arrive(class);
        let Some(upstream) = sent_to(&actions) else { continue };
        sends_by_class[class_index] += usize::from(busy);
        let latency = if busy { 2.0 * service_time } else { service_time };
        harness.now += latency;
        harness.finish(request, 0, upstream, Outcome::Ok, latency);
    }
    assert!(sends_by_class[1] > 20, "sends by class: {sends_by_class:?}");
}

/// Guards against permanent refusal: on servers of small capacity a reduced limit below one request would admit
/// nothing, and the estimates would never be corrected.
#[test]
fn empty_server_accepts_requests_after_slow_responses() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 1.0, 0.5);
    for round in 0..200 {
        let latency = if round < 60 { 30.0 } else { 190.0 };
        harness.now += 50.0;
        [1, 2].into_iter().for_each(|id| harness.report(id, 0.0, 0.0));
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("empty servers accept requests");
        harness.now += latency;
        harness.finish(request, 0, upstream, Outcome::Ok, latency);
    }
}

/// Guards against refusals that outlast an overload: after timeouts servers look slow, and only a response from an
/// accepted request can correct that.
#[test]
fn empty_server_accepts_requests_after_timeouts_and_refusals() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 1.0, 0.8);
    for _ in 0..20 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        harness.now += 480.0;
        harness.finish(request, 0, upstream, Outcome::TimedOut, 480.0);
        [1, 2].into_iter().for_each(|id| harness.report(id, 0.0, 0.8));
    }
    [1, 2].into_iter().for_each(|id| harness.report(id, 60.0, 1.0));
    let refusals = (0..300).filter(|_| refused(&harness.arrive(IDEMPOTENT).1)).count();
    assert!(refusals > 200, "only {refusals} of 300 refused");
    harness.now += 50.0;
    [1, 2].into_iter().for_each(|id| harness.report(id, 0.0, 0.8));
    assert!(sent_to(&harness.arrive(IDEMPOTENT).1).is_some(), "both servers are empty");
}

/// Guards against refusing everything on stale reports: once the reports of busy servers are stale, one of the
/// servers must be tried.
#[test]
fn busy_servers_are_tried_again_once_their_reports_are_stale() {
    let ids: Vec<u64> = (1..=12).collect();
    for interval in [20.0, 50.0, 200.0] {
        let mut harness =
            BalancerHarness::new(settings(), ids.iter().map(|id| upstream_record(*id)).collect());
        harness.report_steady_load(&ids, 4.0, 0.5);
        ids.iter().for_each(|id| harness.report(*id, 60.0, 1.0));
        let (mut last_sent_at, mut refusals, end) = (harness.now, 0, harness.now + 20_000.0);
        while harness.now < end {
            harness.now += interval;
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let (mut next, mut attempt) = (sent_to(&actions), 0);
            refusals += usize::from(next.is_none());
            // Probes stay unanswered and every attempt is rejected.
            while let Some(upstream) = next {
                last_sent_at = harness.now;
                let actions = harness.finish(request, attempt, upstream, Outcome::Rejected, 5.0);
                (next, attempt) = (sent_to(&actions), attempt + 1);
            }
            assert!(
                harness.now - last_sent_at < 4_000.0,
                "no attempt was sent for 4 s with one request every {interval} ms"
            );
        }
        assert!(refusals > 0, "requests must be refused while the reports are fresh");
    }
}

/// Guards against blocking a server after one timeout, which may be due to a single large request.
#[test]
fn one_timeout_does_not_block_a_server() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    let ids = [1, 2];
    harness.report_steady_load(&ids, 3.0, 0.75);
    let mut servers_timed_out = Vec::new();
    for _ in 0..40 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        harness.now += 30.0;
        if servers_timed_out.contains(&upstream) || servers_timed_out.len() == 2 {
            harness.finish(request, 0, upstream, Outcome::Ok, 30.0);
        } else {
            servers_timed_out.push(upstream);
            harness.finish(request, 0, upstream, Outcome::TimedOut, 480.0);
        }
        if servers_timed_out.len() == 2 {
            break;
        }
        ids.iter().for_each(|id| harness.report(*id, 3.0, 0.75));
    }
    assert_eq!(servers_timed_out.len(), 2, "one timeout on each server");
    ids.iter().for_each(|id| harness.report(*id, 3.0, 0.75));
    assert!(
        sent_to(&harness.arrive(IDEMPOTENT).1).is_some(),
        "three requests at an estimated capacity of four are no queue"
    );
}

/// Guards against preferring a hung server that reports itself idle: an attempt that is long unanswered counts as
/// slow.
#[test]
fn long_unanswered_attempt_counts_as_slow() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..60 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        harness.now += 20.0;
        harness.finish(request, 0, sent_to(&actions).expect("a server has capacity left"), Outcome::Ok, 20.0);
    }
    let hung = sent_to(&harness.arrive(IDEMPOTENT).1).expect("a server has capacity left");
    let other = if hung.0 == 1 { 2 } else { 1 };
    harness.now += 120.0;
    for _ in 0..20 {
        harness.report(hung.0, 0.0, 0.0);
        harness.report(other, 3.0, 0.05);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(other)));
        harness.finish(request, 0, UpstreamId(other), Outcome::Ok, 20.0);
    }
}

/// Guards against stale load estimates: servers at their admission limit get no requests, so only probes can show
/// that they have become idle.
#[test]
fn servers_at_their_admission_limit_are_probed() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    for id in [1, 2] {
        harness.report(id, 1.0, 0.5);
        harness.report(id, 60.0, 1.0);
    }
    harness.now += 300.0;
    assert!(refused(&harness.arrive(IDEMPOTENT).1));
    let probed = (0..20).any(|_| {
        harness.now += 100.0;
        let (_, actions) = harness.arrive(IDEMPOTENT);
        actions.iter().any(|action| matches!(action, Action::Probe(_)))
    });
    assert!(probed, "stale reports must lead to a probe");
}

/// Guards against penalising a server permanently for slow responses in the past.
#[test]
fn slowness_estimate_decays() {
    let mut harness = BalancerHarness::new(settings(), vec![upstream_record(1), upstream_record(2)]);
    harness.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..200 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity left");
        let latency = if upstream.0 == 1 { 100.0 } else { 20.0 };
        harness.now += latency;
        harness.finish(request, 0, upstream, Outcome::Ok, latency);
    }
    harness.now += 20_000.0;
    [1, 2].into_iter().for_each(|id| harness.report(id, 1.0, 0.05));
    harness.report(2, 1.5, 0.05);
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against a self-sustaining overload: rejections arrive fast and must not count as responses in time,
/// which would raise the admission limit.
#[test]
fn rejections_lower_the_admission_limit() {
    let mut settings = settings();
    settings.limits.max_attempts = 1;
    let count_accepted_after = |outcome: Outcome| {
        let mut harness =
            BalancerHarness::new(settings.clone(), vec![upstream_record(1), upstream_record(2)]);
        harness.report_steady_load(&[1, 2], 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..60 {
            harness.now += 20.0;
            // The last 20 requests find a queue just below the usual admission limit.
            let in_flight = if round < 40 { 1.0 } else { 6.0 };
            [1, 2].into_iter().for_each(|id| harness.report(id, in_flight, 0.05));
            let (request, actions) = harness.arrive(NON_IDEMPOTENT);
            let Some(upstream) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 40);
            let outcome = if round < 40 { outcome } else { Outcome::Ok };
            harness.finish(request, 0, upstream, outcome, 20.0);
        }
        accepted
    };
    let (after_success, after_rejection) =
        (count_accepted_after(Outcome::Ok), count_accepted_after(Outcome::Rejected));
    assert!(
        after_success >= 15 && after_rejection * 2 < after_success,
        "accepted: {after_rejection} after rejections, {after_success} after successes"
    );
}

/// Guards against a server that drains before discovery lists it so: it rejects all requests and reports that it
/// is idle.
#[test]
fn server_that_rejects_all_requests_gets_few() {
    let mut harness = BalancerHarness::new(settings(), (1..=6).map(upstream_record).collect());
    harness.report_steady_load(&[1, 2, 3, 4, 5, 6], 2.0, 0.5);
    let mut sent_to_rejecting = 0;
    for _ in 0..300 {
        harness.report(1, 0.0, 0.1);
        (2..=6).for_each(|id| harness.report(id, 2.0, 0.5));
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let (mut next, mut attempt) = (sent_to(&actions), 0);
        while let Some(upstream) = next {
            harness.now += 10.0;
            let rejects = upstream.0 == 1;
            sent_to_rejecting += usize::from(rejects);
            let outcome = if rejects { Outcome::Rejected } else { Outcome::Ok };
            next = sent_to(&harness.finish(request, attempt, upstream, outcome, 10.0));
            attempt += 1;
        }
    }
    assert!(
        (1..30).contains(&sent_to_rejecting),
        "{sent_to_rejecting} attempts at the rejecting server in 300 requests"
    );
}
