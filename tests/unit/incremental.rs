//! What is kept as servers change is held against the same worked out anew from all servers, and the draw, which looks
//! at no more servers than it must, against all that a request may go to.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::api::*;
use crate::brain::Balancer;
use crate::reach::RATE_OVER;
use crate::roster::STALE;
use crate::state::*;

const ZONES: u64 = 4;

fn settings(sidecars: u32, zone_crossing_cost: f64) -> Settings {
    let class =
        |effect| Class { latency_target: 300.0, value: 1.0, late_value_fraction: 0.0, idempotency: effect };
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
        sidecar_count: sidecars,
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
            min_event_interval: 1.0,
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

/// One thing that happens, in numbers that any test case may hold.
#[derive(Debug, Clone)]
enum Step {
    /// Time goes on.
    Pass(u16),
    /// A request arrives.
    Arrive(u8),
    /// One of the open sends ends, so and with a report or none.
    End(u16, u8, Option<(u8, u8)>),
    /// A server is probed.
    Probe(u8, u8, u8),
    /// A change in the list: who, where, serving, started just now.
    Change(Vec<(u8, u8, bool, bool)>),
    /// A whole list of those.
    Whole(Vec<(u8, u8, bool, bool)>),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = || (0..60_u8, any::<u8>(), prop::bool::weighted(0.8), prop::bool::weighted(0.1));
    prop_oneof![
        4 => (0..400_u16).prop_map(Step::Pass),
        1 => (400..6_000_u16).prop_map(Step::Pass),
        10 => (0..5_u8).prop_map(Step::Arrive),
        10 => (any::<u16>(), 0..12_u8, prop::option::of((0..40_u8, 0..101_u8)))
            .prop_map(|(which, outcome, report)| Step::End(which, outcome, report)),
        3 => (0..60_u8, 0..40_u8, 0..101_u8).prop_map(|(who, m, u)| Step::Probe(who, m, u)),
        2 => prop::collection::vec(entry(), 1..4).prop_map(Step::Change),
        1 => prop::collection::vec(entry(), 0..60).prop_map(Step::Whole),
    ]
}

struct Stage {
    balancer: Balancer,
    now: Millis,
    next: u64,
    out: Vec<(RequestId, AttemptNo, UpstreamId)>,
    sends: BTreeMap<RequestId, u32>,
}

impl Stage {
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, upstream, .. } = action {
                let sends = self.sends.entry(request).or_default();
                self.out.push((request, AttemptNo(*sends), upstream));
                *sends += 1;
            }
        }
    }

    fn listings(&self, entries: &[(u8, u8, bool, bool)]) -> Vec<UpstreamRecord> {
        let listing = |&(who, place, serving, anew): &(u8, u8, bool, bool)| {
            // Most stay where they are; some move to another zone or cell.
            let place = if place < 240 { who } else { place };
            UpstreamRecord {
                upstream: UpstreamId(u64::from(who)),
                zone: ZoneId(u64::from(place) % ZONES),
                cell: CellId(u64::from(place) % (3 * ZONES)),
                ring_position: u64::from(who).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60,
                machine_type: MachineTypeId(u64::from(who) % 3),
                lifecycle: if serving { Lifecycle::Serving } else { Lifecycle::Draining },
                weight: 1.0,
                started_at: anew.then_some(self.now),
            }
        };
        entries.iter().map(listing).collect()
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Pass(time) => self.now += f64::from(*time),
            Step::Arrive(class) => {
                self.next += 1;
                let (request, class) = (RequestId(self.next), ClassId(usize::from(*class)));
                let event = Event::RequestArrived {
                    request,
                    class,
                    tenant: TenantId(0),
                    time_left: 900.0,
                    cost: None,
                };
                self.handle(event);
            }
            Step::End(which, outcome, report) if !self.out.is_empty() => {
                let (request, attempt, upstream) = self.out.remove(usize::from(*which) % self.out.len());
                let outcome = match outcome {
                    0..=5 => Outcome::Ok,
                    6 | 7 => Outcome::Error,
                    8 => Outcome::Rejected,
                    9 => Outcome::TimedOut,
                    10 => Outcome::Unreachable,
                    _ => Outcome::Reset,
                };
                let report = report.map(|(m, u)| reported(m, u));
                let closed = outcome == Outcome::Ok;
                let latency = 40.0;
                self.handle(Event::AttemptFinished(AttemptFinished {
                    request,
                    attempt,
                    upstream,
                    outcome,
                    latency,
                    request_completed: closed,
                    report,
                }));
            }
            Step::End(..) => {}
            Step::Probe(who, m, u) => {
                let (upstream, report) = (UpstreamId(u64::from(*who)), Some(reported(*m, *u)));
                self.handle(Event::ProbeFinished { upstream, answered: true, report });
            }
            Step::Change(entries) => {
                self.handle(Event::DiscoveryUpdated(DiscoveryUpdate::Delta(self.listings(entries))));
                self.check_forgotten();
            }
            Step::Whole(entries) => {
                self.handle(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(self.listings(entries))));
                self.check_forgotten();
            }
        }
        self.check_sums();
        self.check_members();
        self.check_draws();
    }

    fn check_forgotten(&self) {
        let kept = |upstream: &Upstream| upstream.serving || !upstream.outstanding.is_empty();
        assert!(self.balancer.roster.upstreams.values().all(kept));
    }

    fn check_sums(&mut self) {
        let now = self.balancer.now;
        let kept = self.balancer.roster.sums(now).clone();
        let roster = &self.balancer.roster;
        let serving: Vec<(&UpstreamId, &Upstream)> =
            roster.upstreams.iter().filter(|(_, upstream)| upstream.serving).collect();
        assert_eq!(kept.serving, serving.len() as i64);
        let ejected = serving.iter().filter(|(_, upstream)| upstream.health != Health::Ready).count();
        assert_eq!(kept.ejected, ejected as i64);
        let heard: Vec<&Upstream> =
            serving.iter().map(|(_, u)| *u).filter(|u| now - u.reported_at <= STALE).collect();
        assert_eq!(kept.heard, heard.len() as i64);
        assert_eq!(kept.others, heard.iter().map(|upstream| upstream.parts()).sum::<i64>());
        let failures: f64 = serving.iter().map(|(_, upstream)| upstream.failures(now)).sum();
        let usual = failures / serving.len().max(1) as f64;
        assert!((kept.usual_failures(now) - usual).abs() < 1e-9, "{} {usual}", kept.usual_failures(now));
        let mut zones: BTreeMap<ZoneId, Vec<(u64, UpstreamId, CellId)>> = BTreeMap::new();
        for (id, upstream) in serving {
            zones.entry(upstream.zone).or_default().push((upstream.ring_position, *id, upstream.cell));
        }
        zones.values_mut().for_each(|ring| ring.sort());
        assert_eq!(zones, roster.zones);
    }

    /// The working set, as it was worked out anew for every request before it was kept.
    fn members(&self) -> BTreeSet<UpstreamId> {
        let b = &self.balancer;
        let serving = b.roster.upstreams.values().filter(|upstream| upstream.serving).count() as f64;
        let covered = 10.0 * serving / f64::from(b.settings.sidecar_count);
        let share = b.seen.arrivals.at(b.now, RATE_OVER).max(covered).max(12.0) / serving;
        if share >= 1.0 || serving == 0.0 {
            return b.roster.zones.values().flatten().map(|(_, id, _)| *id).collect();
        }
        let mut members = BTreeSet::new();
        for (zone, ring) in &b.roster.zones {
            let golden = 0.618_033_988_749_894_9;
            let start = (3.0 * golden + zone.0 as f64 * golden * golden).fract();
            let start = (start * ring.len() as f64) as usize;
            let mut wanted = share * ring.len() as f64;
            for (_, id, _) in ring[start..].iter().chain(&ring[..start]) {
                if wanted <= 0.0 {
                    break;
                }
                members.insert(*id);
                let upstream = &b.roster.upstreams[id];
                if upstream.health == Health::Ready {
                    wanted -= upstream.warmth(b.now, &b.settings.cold_start);
                }
            }
        }
        members
    }

    fn check_members(&mut self) {
        let held = Held::new(ClassId(0), TenantId(0), self.balancer.now, 500.0);
        // Kept from before, it is still of who serves; if it is of this instant, it is as if worked out anew.
        let (ids, _) = self.balancer.reachable(&held);
        assert!(ids.iter().all(|id| self.balancer.roster.upstreams[id].serving));
        if self.balancer.reach.of.is_some_and(|(_, at)| at == self.balancer.now) {
            assert_eq!(ids.iter().copied().collect::<BTreeSet<_>>(), self.members());
        }
        self.balancer.reach.of = None;
        let held = Held::new(ClassId(0), TenantId(0), self.balancer.now, 500.0);
        let (ids, near) = self.balancer.reachable(&held);
        assert_eq!(ids.iter().copied().collect::<BTreeSet<_>>(), self.members());
        let own = |id: &UpstreamId| self.balancer.roster.upstreams[id].zone == self.balancer.settings.zone;
        assert!(ids[..near].iter().all(own) && !ids[near..].iter().any(own), "the near ones come first");
    }

    /// Whether a request may go there at all, by what may have run already.
    fn may_reach(&self, held: &Held, id: UpstreamId, members: &BTreeSet<UpstreamId>) -> bool {
        let (b, upstream) = (&self.balancer, &self.balancer.roster.upstreams[&id]);
        let Some(first) = held.tries.iter().find(|t| t.out || t.may_have_run) else {
            return members.contains(&id);
        };
        match b.settings.classes[held.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => upstream.zone == first.zone,
                    DedupScope::Cell => upstream.cell == first.cell,
                };
                in_scope && b.now + b.settings.limits.min_event_interval < first.sent + window
            }
        }
    }

    /// Whether a cold server takes part, its chance counted from all that are open.
    fn admitted(&self, c: &Candidate, held: &Held, view: &View, open: &[Candidate]) -> bool {
        if c.warmth >= 1.0 {
            return true;
        }
        if held.bound() {
            return c.allowance >= 1.0;
        }
        let peers: Vec<&Candidate> =
            open.iter().filter(|other| other.id != c.id && view.is_near(other) == view.is_near(c)).collect();
        let worse = peers.iter().filter(|other| other.projected >= c.projected).count() as f64;
        let count = peers.len() as f64;
        let picked = if count > 0.0 { 2.0 / (count + 1.0) * worse / count } else { 1.0 };
        let arrivals = self.balancer.seen.arrivals.at(self.balancer.now, RATE_OVER);
        c.allowance >= 0.0 && view.lot * picked * arrivals * 0.5 < 0.6 * c.allowed_per_s
    }

    /// A new request, and one of each class that has failed at the first server, draw what they may.
    fn check_draws(&mut self) {
        let now = self.balancer.now;
        let mut helds = vec![Held::new(ClassId(0), TenantId(0), now, 500.0)];
        let first = self.balancer.roster.upstreams.iter().find(|(_, upstream)| upstream.serving);
        if let Some((&id, upstream)) = first {
            helds.extend((0..5).map(|class| {
                let mut held = Held::new(ClassId(class), TenantId(0), now - 30.0, 500.0);
                held.tries.push(Try { out: false, ..Try::new(id, upstream, now - 30.0) });
                held
            }));
        }
        let members = self.members();
        for held in helds {
            let ids: Vec<UpstreamId> = self.balancer.roster.upstreams.keys().copied().collect();
            let serving = |id: &UpstreamId| self.balancer.roster.upstreams[id].serving;
            let reachable: Vec<UpstreamId> =
                ids.into_iter().filter(|id| serving(id) && self.may_reach(&held, *id, &members)).collect();
            // The same lot for cold servers as the draw has.
            let rng = self.balancer.rng;
            let mut view = self.balancer.view(&held);
            self.balancer.rng = rng;
            let all: Vec<Candidate> =
                reachable.iter().filter_map(|id| self.balancer.candidate(*id, &held, &view)).collect();
            let mut open: Vec<Candidate> = all.iter().filter(|c| c.healthy).copied().collect();
            if open.is_empty() {
                view.anyone = true;
                open = all.clone();
            }
            open.retain(|c| c.idle || c.wait <= view.room);
            let had_room = !open.is_empty();
            let peers = open.clone();
            open.retain(|c| self.admitted(c, &held, &view, &peers));
            if open.iter().any(|c| view.is_near(c)) {
                open.retain(|c| view.is_near(c));
            }
            let (room, others, pair) = self.balancer.draw(&held, &mut Vec::new());
            assert_eq!((room, others), (had_room, all.len() > 1));
            let open: BTreeSet<UpstreamId> = open.iter().map(|c| c.id).collect();
            assert_eq!(pair.is_some(), !open.is_empty());
            if let Some([a, b]) = pair {
                assert!(open.contains(&a.id) && open.contains(&b.id), "{} {} of {open:?}", a.id.0, b.id.0);
                assert_eq!(a.id == b.id, open.len() == 1);
            }
        }
    }
}

fn reported(in_flight: u8, utilisation: u8) -> LoadReport {
    let utilisation = Some(f64::from(utilisation) / 100.0);
    LoadReport { in_flight: Some(f64::from(in_flight)), utilisation, ..LoadReport::default() }
}

fn stage(sidecars: u32, zone_crossing_cost: f64, seed: u64) -> Stage {
    let balancer = Balancer::new(settings(sidecars, zone_crossing_cost), seed);
    let mut stage = Stage { balancer, now: 1_000.0, next: 0, out: Vec::new(), sends: BTreeMap::new() };
    let all: Vec<(u8, u8, bool, bool)> = (0..50).map(|who| (who, 0, true, false)).collect();
    stage.step(&Step::Whole(all));
    stage
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(0x5a9e_3a57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_kept_is_what_would_be_worked_out_anew(
        few in any::<bool>(),
        crossing in any::<bool>(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut stage = stage(if few { 2 } else { 100 }, if crossing { 0.03 } else { 0.0 }, 7);
        steps.iter().for_each(|step| stage.step(step));
    }
}

/// A server reports, lives anew and reports again, all in one instant: it counts once, and is forgotten once.
#[test]
fn one_that_lives_anew_within_an_instant_counts_once() {
    let mut stage = stage(100, 0.0, 3);
    stage.step(&Step::Probe(5, 10, 50));
    stage.step(&Step::Change(vec![(5, 0, true, true)]));
    stage.step(&Step::Probe(5, 10, 50));
    stage.step(&Step::Probe(6, 10, 50));
    stage.step(&Step::Pass(STALE as u16 + 1));
    stage.step(&Step::Probe(7, 10, 50));
}

/// The next on the ring steps in for one that is ejected, before any time has passed.
#[test]
fn an_ejection_renews_the_working_set_at_once() {
    let mut stage = stage(100, 0.0, 5);
    let now = stage.balancer.now;
    for id in stage.members() {
        let ejected = Health::Ejected { until: now + 1_000.0, wait: 1_000.0 };
        stage.balancer.roster.change(id, now, |upstream| upstream.health = ejected);
        stage.check_members();
        stage.check_sums();
    }
}

/// Each ordered pair of the servers that may be drawn comes as often as any other.
#[test]
fn pairs_are_drawn_evenly() {
    let mut stage = stage(2, 0.0, 11);
    // Of twelve servers every third is gone.
    let some: Vec<(u8, u8, bool, bool)> = (0..12).map(|who| (who, 0, who % 3 > 0, false)).collect();
    stage.step(&Step::Whole(some));
    let held = Held::new(ClassId(0), TenantId(0), stage.now, 500.0);
    let mut drawn: BTreeMap<(u64, u64), u32> = BTreeMap::new();
    const EACH: u32 = 400;
    for _ in 0..56 * EACH {
        let (_, _, pair) = stage.balancer.draw(&held, &mut Vec::new());
        let [a, b] = pair.expect("eight are idle");
        *drawn.entry((a.id.0, b.id.0)).or_default() += 1;
    }
    assert_eq!(drawn.len(), 8 * 7);
    let off = |count: &u32| (f64::from(*count) - f64::from(EACH)).powi(2) / f64::from(EACH);
    let chi_squared: f64 = drawn.values().map(off).sum();
    // 55 degrees of freedom: chance alone exceeds 93 once in a thousand seeds.
    assert!(chi_squared < 93.0, "{chi_squared}: {drawn:?}");
}
