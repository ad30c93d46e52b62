//! Unusual settings and deployments: the decision module serves or refuses requests and does not panic.

mod common;

use common::*;
use sagemast::api::*;

#[derive(Debug, PartialEq)]
struct ServeCounts {
    requests_served: usize,
    probes_sent: usize,
}

/// Sends 300 requests and ends each first attempt with success. `reports_in_responses` adds a load report to each
/// response.
fn serve(settings: Settings, servers: Vec<UpstreamRecord>, reports_in_responses: bool) -> ServeCounts {
    let mut harness = BalancerHarness::new(settings, servers);
    let (mut requests_served, mut probes_sent) = (0, 0);
    for _ in 0..300 {
        harness.now += 30.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        probes_sent += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        let Some(upstream) = sent_to(&actions) else { continue };
        let report = LoadReport { in_flight: Some(2.0), utilisation: Some(0.5), ..LoadReport::default() };
        harness.handle_event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: AttemptNo(0),
            upstream,
            outcome: Outcome::Ok,
            latency: 25.0,
            request_completed: true,
            report: reports_in_responses.then_some(report),
        }));
        requests_served += 1;
    }
    ServeCounts { requests_served, probes_sent }
}

#[test]
fn all_requests_are_served_without_probes_or_reports() {
    let mut settings = settings();
    settings.limits.allow_probes = false;
    assert_eq!(
        serve(settings, (1..=4).map(upstream_record).collect(), false),
        ServeCounts { requests_served: 300, probes_sent: 0 }
    );
}

#[test]
fn all_requests_are_served_without_probes_but_with_reports_in_responses() {
    let mut settings = settings();
    settings.limits.allow_probes = false;
    assert_eq!(
        serve(settings, (1..=4).map(upstream_record).collect(), true),
        ServeCounts { requests_served: 300, probes_sent: 0 }
    );
}

#[test]
fn all_requests_are_served_by_a_single_server_in_another_zone() {
    let mut settings = settings();
    settings.zone_crossing_cost = 0.2;
    let in_other_zone = UpstreamRecord { zone: ZoneId(5), ..upstream_record(1) };
    assert_eq!(serve(settings, vec![in_other_zone], false).requests_served, 300);
}

#[test]
fn request_is_refused_if_no_classes_are_configured() {
    let mut settings = settings();
    settings.classes.clear();
    settings.sidecar_count = 0;
    let mut harness = BalancerHarness::new(settings, vec![upstream_record(1)]);
    assert!(refused(&harness.arrive(IDEMPOTENT).1), "a request of an unknown class must be refused");
}

#[test]
fn all_requests_are_served_if_all_quotas_are_zero() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 0.0 }];
    assert_eq!(serve(settings, (1..=4).map(upstream_record).collect(), false).requests_served, 300);
}

#[test]
fn all_requests_are_served_if_concurrent_attempts_are_allowed() {
    let mut settings = settings();
    settings.limits.allow_concurrent_attempts = true;
    assert_eq!(serve(settings, (1..=4).map(upstream_record).collect(), false).requests_served, 300);
}
