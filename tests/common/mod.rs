//! Drives a single [`Balancer`] without a network or a clock: settings, listings and events.
#![allow(dead_code)]

use sagemast::Balancer;
use sagemast::api::*;

// Indices into the classes of `settings`.
pub const REPEATABLE: ClassId = ClassId(0);
pub const KEYED_PER_CELL: ClassId = ClassId(1);
pub const ONCE: ClassId = ClassId(2);
pub const KEYED_PER_ZONE: ClassId = ClassId(3);
pub const KEYED_FLEET_WIDE: ClassId = ClassId(4);

/// A class with an aim of 200 ms.
pub fn class(effect: Effect) -> Class {
    Class { aim: 200.0, worth: 1.0, late_worth: 0.0, effect }
}

/// A class deduplicated by key within a scope and a window of 300 ms.
pub fn keyed_class(scope: Scope) -> Class {
    class(Effect::ByKey { scope, window: 300.0 })
}

/// One class of each effect and scope, and no tenants.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Repeatable),
            keyed_class(Scope::Cell),
            class(Effect::Once),
            keyed_class(Scope::Zone),
            keyed_class(Scope::All),
        ],
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(0),
        sidecars: 2,
        rank: Some(0),
        crossing_fee: 0.0,
        probe_fee: 0.0,
        reports_in_answers: true,
        limits: Limits {
            max_attempts: 4,
            duplicates: false,
            probes: true,
            cancel: true,
            max_retry_after: 400.0,
            tick: 4.0,
        },
        safety: Safety { cold_share: 0.2, warm_up: 20_000.0, fall_multiple: 2.5, fall: 2_000.0 },
        discovery: Discovery::Pushed,
    }
}

/// A server of zone 0; ten consecutive ids share a cell.
pub fn listing(id: u64) -> Listing {
    Listing {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: CellId(id / 10),
        spot: id,
        kind: KindId(0),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started: None,
    }
}

/// A balancer with a simulated clock.
pub struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Millis,
    last_request_id: u64,
}

impl BalancerHarness {
    pub fn new(settings: Settings, servers: Vec<Listing>) -> BalancerHarness {
        BalancerHarness::with_seed(settings, servers, 7)
    }

    pub fn with_seed(settings: Settings, servers: Vec<Listing>, seed: u64) -> BalancerHarness {
        let mut harness =
            BalancerHarness { balancer: Balancer::new(settings, seed), now: 1_000.0, last_request_id: 0 };
        harness.handle_event(Event::Listed(ListNews::Restored(servers)));
        harness
    }

    /// Reports the same load from all these servers every 50 ms for 2 s, until the smoothed estimates settle.
    pub fn report_steady_load(&mut self, ids: &[u64], in_flight: f64, utilisation: f64) {
        for _ in 0..40 {
            self.now += 50.0;
            ids.iter().for_each(|id| self.report(*id, in_flight, utilisation));
        }
    }

    /// Passes an event to the balancer at the current time and returns the resulting actions.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// A request arrives with 500 ms left. Returns its id and the resulting actions.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        let event = Event::Arrived { request, class, tenant: TenantId(0), time_left: 500.0, cost: None };
        (request, self.handle_event(event))
    }

    /// An attempt ends; the request ends with it only on [`Outcome::Ok`].
    pub fn finish(
        &mut self,
        request: RequestId,
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        latency: Millis,
    ) -> Vec<Action> {
        self.handle_event(Event::Finished(Finished {
            request,
            attempt: AttemptNo(attempt),
            upstream,
            outcome,
            latency,
            closed: outcome == Outcome::Ok,
            report: None,
        }))
    }

    /// A load report arrives in answer to a probe.
    pub fn report(&mut self, id: u64, in_flight: f64, utilisation: f64) {
        self.probe_answered(id, in_flight, utilisation);
    }

    /// Like [`BalancerHarness::report`]; returns the resulting actions.
    pub fn probe_answered(&mut self, id: u64, in_flight: f64, utilisation: f64) -> Vec<Action> {
        let report =
            Report { in_flight: Some(in_flight), utilisation: Some(utilisation), ..Report::default() };
        self.handle_event(Event::Probed { upstream: UpstreamId(id), answered: true, report: Some(report) })
    }
}

/// The upstream of the first send among these actions.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
