//! One sidecar among many: what is harmless alone must stay so when a hundred do it.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use sagemast::api::*;

const SERVERS: u64 = 60;

/// Servers of three zones; neighbours by id are of different ones.
fn servers(count: u64) -> Vec<UpstreamRecord> {
    let ring_position = |id: u64| id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (1..=count)
        .map(|id| UpstreamRecord { zone: ZoneId(id % 3), ring_position: ring_position(id), ..listing(id) })
        .collect()
}

fn sidecar(rank: u32, sidecars: u32, count: u64) -> BalancerHarness {
    let settings = Settings { sidecar_count: sidecars, sidecar_index: Some(rank), ..settings() };
    BalancerHarness::with_seed(settings, servers(count), u64::from(rank))
}

/// The servers that a sidecar sends to when it gets a request every so often; those in `failing` only err.
fn sent(stage: &mut BalancerHarness, requests: usize, gap: Millis, failing: &[u64]) -> BTreeMap<u64, usize> {
    let mut sends = BTreeMap::new();
    for _ in 0..requests {
        stage.now += gap;
        let (request, actions) = stage.arrive(ONCE);
        let Some(to) = sent_to(&actions) else { continue };
        *sends.entry(to.0).or_default() += 1;
        let outcome = if failing.contains(&to.0) { Outcome::Error } else { Outcome::Ok };
        stage.finish(request, 0, to, outcome, 20.0);
    }
    sends
}

/// A hundred sidecars that each drew over sixty servers had a connection for every other request, and heard of
/// a server once in four seconds.
#[test]
fn one_of_many_keeps_to_a_part_of_the_servers_and_all_together_cover_them() {
    let mut drawn_by: BTreeMap<u64, usize> = BTreeMap::new();
    for rank in 0..100 {
        let drawn = sent(&mut sidecar(rank, 100, SERVERS), 200, 70.0, &[]);
        assert!((12..=20).contains(&drawn.len()), "sidecar {rank}: {drawn:?}");
        drawn.keys().for_each(|id| *drawn_by.entry(*id).or_default() += 1);
    }
    assert_eq!(drawn_by.len() as u64, SERVERS, "every server is drawn by some");
    let (least, most) = (drawn_by.values().min().unwrap(), drawn_by.values().max().unwrap());
    assert!(*least >= 10 && *most <= 40, "evenly: {drawn_by:?}");
}

#[test]
fn a_small_fleet_and_a_busy_sidecar_draw_over_all() {
    assert_eq!(sent(&mut sidecar(1, 4, 14), 400, 70.0, &[]).len(), 14);
    assert_eq!(sent(&mut sidecar(1, 100, SERVERS), 4_000, 10.0, &[]).len() as u64, SERVERS);
    let mut untold = BalancerHarness::new(
        Settings { sidecar_count: 100, sidecar_index: None, ..settings() },
        servers(SERVERS),
    );
    assert_eq!(sent(&mut untold, 2_000, 70.0, &[]).len() as u64, SERVERS, "its number is not known");
}

#[test]
fn others_step_in_for_those_that_fail_or_leave() {
    let mut stage = sidecar(7, 100, SERVERS);
    let before: Vec<u64> = sent(&mut stage, 400, 70.0, &[]).into_keys().collect();
    let failing = &before[..3];
    sent(&mut stage, 200, 70.0, failing);
    let healthy = |sends: &BTreeMap<u64, usize>| sends.keys().filter(|id| !failing.contains(id)).count();
    let after = sent(&mut stage, 200, 70.0, failing);
    assert!(healthy(&after) >= 12, "{before:?}, then {after:?}");
    let leaving = |id: &u64| UpstreamRecord { lifecycle: Lifecycle::Draining, ..listing(*id) };
    stage.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(before.iter().map(leaving).collect())));
    let renewed: BTreeSet<u64> = sent(&mut stage, 400, 70.0, &[]).into_keys().collect();
    assert!(renewed.len() >= 12 && before.iter().all(|id| !renewed.contains(id)), "{renewed:?}");
}

/// A sidecar that seldom sends to one server found no report fresh and probed one server a request. Each of a
/// hundred did: half of all connections were the probes', and the servers answered one probe in three.
#[test]
fn probes_stay_within_what_their_price_allows() {
    let asked = |probe_cost: f64, reports_in_responses: bool| {
        let settings = Settings {
            sidecar_count: 100,
            sidecar_index: Some(3),
            probe_cost,
            reports_in_responses,
            ..settings()
        };
        let mut stage = BalancerHarness::new(settings, servers(SERVERS));
        let mut probes = 0;
        for _ in 0..500 {
            stage.now += 70.0;
            let (request, actions) = stage.arrive(ONCE);
            probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
            let Some(to) = sent_to(&actions) else { continue };
            stage.finish(request, 0, to, Outcome::Ok, 20.0);
        }
        probes
    };
    assert!((1..=10).contains(&asked(0.08, true)), "dear: {}", asked(0.08, true));
    assert!((20..=55).contains(&asked(0.01, true)), "cheap: {}", asked(0.01, true));
    assert!(asked(0.0, true) > 200, "free: {}", asked(0.0, true));
    assert!(asked(0.08, false) > 200, "nothing else tells: {}", asked(0.08, false));
}

/// While most servers are cold a random pair often holds none that may be sent more. The request then goes to one
/// of the others: refused by chance, clients came back at once, more was refused, and less was let through still.
#[test]
fn cold_servers_do_not_get_requests_refused_that_others_have_room_for() {
    let settings = Settings { probe_cost: 0.08, ..settings() };
    let cold = |entry: UpstreamRecord| UpstreamRecord {
        started_at: (entry.upstream.0 > 4).then_some(1_000.0),
        ..entry
    };
    let mut stage = BalancerHarness::new(settings, servers(16).into_iter().map(cold).collect());
    let (mut to_cold, mut sends) = (0, 0);
    for _ in 0..600 {
        stage.now += 10.0;
        let (request, actions) = stage.arrive(ONCE);
        let to = sent_to(&actions).expect("four servers are idle and warm");
        sends += 1;
        to_cold += usize::from(to.0 > 4);
        stage.finish(request, 0, to, Outcome::Ok, 20.0);
    }
    assert!(to_cold > sends / 20, "they get work as well: {to_cold} of {sends}");
}

/// Room shrank with every server that was full and came back with every good answer: one sidecar of a hundred gets so
/// few that it refused on idle servers for half a minute after a release.
#[test]
fn room_comes_back_as_time_passes_however_few_the_answers() {
    let mut stage = BalancerHarness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 6.0, 0.75);
    // Two requests for each that can be in work: an answer takes twice the service time, well within the aim.
    let crowded = |stage: &mut BalancerHarness| stage.report_steady_load(&[1, 2], 15.0, 1.0);
    crowded(&mut stage);
    let (_, actions) = stage.arrive(ONCE);
    assert!(sent_to(&actions).is_some(), "there is room for that");
    for _ in 0..20 {
        let (request, actions) = stage.arrive(ONCE);
        let (mut next, mut attempt) = (sent_to(&actions), 0);
        while let Some(to) = next {
            next = sent_to(&stage.finish(request, attempt, to, Outcome::Rejected, 1.0));
            attempt += 1;
        }
    }
    crowded(&mut stage);
    assert!(refused(&stage.arrive(ONCE).1), "servers were full");
    for _ in 0..80 {
        [1, 2].into_iter().for_each(|id| stage.report(id, 2.0, 0.25));
        let (request, actions) = stage.arrive(ONCE);
        stage.now += 100.0;
        if let Some(to) = sent_to(&actions) {
            stage.finish(request, 0, to, Outcome::Ok, 30.0);
        }
    }
    crowded(&mut stage);
    assert!(sent_to(&stage.arrive(ONCE).1).is_some(), "eight seconds of good answers");
}
