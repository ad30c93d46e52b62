//! Drives a single [`Balancer`] without a network or a clock: settings, server records and events.
#![allow(dead_code)]

use sagemast::Balancer;
use sagemast::api::*;

// Classes of [`settings`].
pub const IDEMPOTENT: ClassId = ClassId(0);
pub const KEYED_PER_CELL: ClassId = ClassId(1);
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
pub const KEYED_PER_ZONE: ClassId = ClassId(3);
pub const KEYED_FLEET_WIDE: ClassId = ClassId(4);

/// A class with a latency target of 200 ms.
pub fn class(idempotency: Idempotency) -> Class {
    Class { latency_target: 200.0, value: 1.0, late_value_fraction: 0.0, idempotency }
}

/// A keyed class with this deduplication scope and a window of 300 ms.
pub fn keyed_class(scope: DedupScope) -> Class {
    class(Idempotency::Keyed { scope, window: 300.0 })
}

/// Settings with one class of each idempotency and deduplication scope, and without tenants.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            keyed_class(DedupScope::Cell),
            class(Idempotency::NonIdempotent),
            keyed_class(DedupScope::Zone),
            keyed_class(DedupScope::All),
        ],
        tenants: Vec::new(),
        over_quota_value_fraction: 1.0,
        zone: ZoneId(0),
        sidecar_count: 2,
        sidecar_index: Some(0),
        zone_crossing_cost: 0.0,
        probe_cost: 0.0,
        reports_in_responses: true,
        limits: Limits {
            max_attempts: 4,
            allow_concurrent_attempts: false,
            allow_probes: true,
            allow_cancellation: true,
            max_retry_after: 400.0,
            max_send_delay: 4.0,
        },
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.2,
            warm_up: 20_000.0,
            overload_multiple: 2.5,
            overload_duration: 2_000.0,
        },
        discovery: DiscoveryMode::Push,
    }
}

/// A warm, serving server of zone 0. Ten consecutive ids, from a multiple of ten on, share a cell.
pub fn upstream_record(id: u64) -> UpstreamRecord {
    UpstreamRecord {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: CellId(id / 10),
        ring_position: id,
        machine_type: MachineTypeId(0),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started_at: None,
    }
}

/// A balancer with a simulated clock.
pub struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Millis,
    last_request_id: u64,
}

impl BalancerHarness {
    /// A balancer that has restored this server list, at a time of 1 s.
    pub fn new(settings: Settings, servers: Vec<UpstreamRecord>) -> BalancerHarness {
        BalancerHarness::with_seed(settings, servers, 7)
    }

    /// Like [`BalancerHarness::new`], with a seed for the random numbers of the balancer.
    pub fn with_seed(settings: Settings, servers: Vec<UpstreamRecord>, seed: u64) -> BalancerHarness {
        let mut harness =
            BalancerHarness { balancer: Balancer::new(settings, seed), now: 1_000.0, last_request_id: 0 };
        harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Restored(servers)));
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

    /// A request of a class arrives with 500 ms left. Returns its id and the resulting actions.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        let event =
            Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 500.0, cost: None };
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
        self.handle_event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: AttemptNo(attempt),
            upstream,
            outcome,
            latency,
            request_completed: outcome == Outcome::Ok,
            report: None,
        }))
    }

    /// A probe of a server is answered with this load report; the resulting actions are ignored.
    pub fn report(&mut self, id: u64, in_flight: f64, utilisation: f64) {
        self.probe_answered(id, in_flight, utilisation);
    }

    /// Like [`BalancerHarness::report`], but returns the resulting actions.
    pub fn probe_answered(&mut self, id: u64, in_flight: f64, utilisation: f64) -> Vec<Action> {
        let report = LoadReport {
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            ..LoadReport::default()
        };
        self.handle_event(Event::ProbeFinished {
            upstream: UpstreamId(id),
            answered: true,
            report: Some(report),
        })
    }
}

/// The upstream of the first attempt that these actions send.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

/// Whether these actions end a request with a refusal, after which a retry is safe.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// Whether these actions end a request with a failure, after which a retry may be unsafe.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
