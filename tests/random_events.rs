//! Property-based test: for any legal order of events the module does not panic, sends only to serving servers,
//! retries no request where a second execution is unsafe, and ends every request with one response.

mod common;

use std::collections::BTreeMap;

use common::*;
use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;

/// Consecutive server ids that share a zone.
const IDS_PER_ZONE: u64 = 20;
/// Consecutive server ids that share a cell, as in [`upstream_record`].
const IDS_PER_CELL: u64 = 10;

struct AttemptState {
    upstream: UpstreamId,
    sent_at: Millis,
    /// Limited to the deadline of the request.
    timeout: Millis,
    outcome: Option<Outcome>,
}

struct RequestState {
    /// Index into the classes of the settings.
    class: usize,
    deadline: Millis,
    attempts: Vec<AttemptState>,
    /// Whether the client has its final response or has disconnected.
    ended: bool,
}

/// Generates random events and checks every action of the module against the invariants.
struct Environment {
    settings: Settings,
    rng: Rand64,
    now: Millis,
    requests: BTreeMap<RequestId, RequestState>,
    /// All servers that were ever listed, and whether each accepts requests now.
    serving: BTreeMap<UpstreamId, bool>,
    pending_probes: Vec<UpstreamId>,
    /// Expiry times and tokens of the timers that have not fired.
    pending_timers: Vec<(Millis, u64)>,
}

impl Environment {
    fn random_below(&mut self, bound: usize) -> usize {
        self.rng.rand_range(0..bound as u64) as usize
    }

    /// Checks actions against the invariants and records their effects.
    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!state.ended, "attempt sent after the end of the request");
                    assert!(self.serving[upstream], "attempt sent to a server that is not serving");
                    assert!(
                        (state.attempts.len() as u32) < self.settings.limits.max_attempts,
                        "more attempts than allowed"
                    );
                    assert!(
                        state.attempts.iter().all(|attempt| attempt.outcome.is_some()),
                        "two attempts of one request in flight"
                    );
                    let first_that_may_have_run = state
                        .attempts
                        .iter()
                        .find(|attempt| attempt.outcome.is_none_or(Outcome::may_have_run));
                    if let Some(first) = first_that_may_have_run {
                        match self.settings.classes[state.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => panic!("a non-idempotent request may run twice"),
                            Idempotency::Keyed { scope, window } => {
                                assert!(
                                    self.now <= first.sent_at + window,
                                    "attempt sent after the deduplication window"
                                );
                                match scope {
                                    DedupScope::All => {}
                                    DedupScope::Zone => {
                                        assert_eq!(upstream.0 / IDS_PER_ZONE, first.upstream.0 / IDS_PER_ZONE)
                                    }
                                    DedupScope::Cell => {
                                        assert_eq!(upstream.0 / IDS_PER_CELL, first.upstream.0 / IDS_PER_CELL)
                                    }
                                }
                            }
                        }
                    }
                    assert!(timeout.is_finite() && *timeout >= 0.0, "timeout of {timeout} ms");
                    let timeout = timeout.min(state.deadline - self.now);
                    let (upstream, sent_at) = (*upstream, self.now);
                    state.attempts.push(AttemptState { upstream, sent_at, timeout, outcome: None });
                }
                Action::Refuse { request, .. } => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut state.ended, true), "two final responses to one request");
                    let may_have_run = state
                        .attempts
                        .iter()
                        .any(|attempt| attempt.outcome.is_none_or(Outcome::may_have_run));
                    match self.settings.classes[state.class].idempotency {
                        Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => {}
                        _ => assert!(!may_have_run, "request refused although it may have run"),
                    }
                }
                Action::Fail(request) => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut state.ended, true), "two final responses to one request");
                }
                Action::Probe(upstream) => self.pending_probes.push(*upstream),
                Action::Cancel { request, attempt } => {
                    assert!(
                        self.requests[request].attempts.len() > attempt.0 as usize,
                        "an attempt was cancelled that was never sent"
                    );
                }
                Action::SetTimer { at, token } => {
                    assert!(at.is_finite(), "timer set to {at} ms");
                    self.pending_timers.push((*at, *token));
                }
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    /// A server with a valid or invalid weight.
    fn random_record(&mut self) -> UpstreamRecord {
        let id = 1 + self.random_below(39) as u64;
        let lifecycle = if self.random_below(4) == 0 { Lifecycle::Draining } else { Lifecycle::Serving };
        let started_at = (self.random_below(6) == 0).then_some(self.now);
        let weight = [1.0, 2.0, 0.0, f64::NAN, -1.0, 0.5][self.random_below(6)];
        UpstreamRecord {
            zone: ZoneId(id / IDS_PER_ZONE),
            lifecycle,
            started_at,
            weight,
            ..upstream_record(id)
        }
    }

    /// A report with valid or invalid values, or none.
    fn random_report(&mut self) -> Option<LoadReport> {
        let values = [0.0, -3.0, f64::NAN, f64::INFINITY, 1e300, 0.5, 7.0, 30.0];
        let (in_flight, utilisation) = (values[self.random_below(8)], values[self.random_below(8)]);
        let report = LoadReport {
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            ..LoadReport::default()
        };
        (self.random_below(5) > 0).then_some(report)
    }

    /// Generates the next event: a timeout or an expired timer if there is one, otherwise a random event.
    fn next_event(&mut self, number: u64) -> Event {
        let now = self.now;
        let expired_attempt = self.requests.iter().find_map(|(id, state)| {
            let index = state
                .attempts
                .iter()
                .position(|attempt| attempt.outcome.is_none() && attempt.sent_at + attempt.timeout <= now)?;
            Some((*id, index))
        });
        if let Some((request, index)) = expired_attempt {
            return self.end_attempt(request, index, Outcome::TimedOut);
        }
        if let Some(index) = self.pending_timers.iter().position(|(at, _)| *at <= now) {
            return Event::TimerFired(self.pending_timers.remove(index).1);
        }
        let outstanding: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, state)| {
                state.attempts.iter().enumerate().map(move |(index, attempt)| (*id, index, attempt))
            })
            .filter(|(_, _, attempt)| attempt.outcome.is_none())
            .map(|(id, index, _)| (id, index))
            .collect();
        match self.random_below(10) {
            0..=3 => {
                let class = self.random_below(5);
                let time_left = [0.0, 3.0, 90.0, 300.0, 800.0][self.random_below(5)];
                let request = RequestId(number);
                let state =
                    RequestState { class, deadline: now + time_left, attempts: Vec::new(), ended: false };
                self.requests.insert(request, state);
                Event::RequestArrived {
                    request,
                    class: ClassId(class),
                    tenant: TenantId(self.random_below(3)),
                    time_left,
                    cost: [None, Some(0.0), Some(1e300), Some(30.0)][self.random_below(4)],
                }
            }
            4..=6 if !outstanding.is_empty() => {
                let (request, index) = outstanding[self.random_below(outstanding.len())];
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::Unreachable,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::NotSent,
                ];
                let outcome = outcomes[self.random_below(outcomes.len())];
                self.end_attempt(request, index, outcome)
            }
            7 => {
                let records: Vec<UpstreamRecord> =
                    (0..self.random_below(12)).map(|_| self.random_record()).collect();
                let update_kind = self.random_below(4);
                if update_kind < 2 {
                    self.serving.values_mut().for_each(|serving| *serving = false);
                }
                if update_kind < 3 {
                    for record in &records {
                        self.serving.insert(record.upstream, record.lifecycle == Lifecycle::Serving);
                    }
                }
                Event::DiscoveryUpdated(match update_kind {
                    0 => DiscoveryUpdate::Snapshot(records),
                    1 => DiscoveryUpdate::Restored(records),
                    2 => DiscoveryUpdate::Delta(records),
                    _ => DiscoveryUpdate::Unavailable,
                })
            }
            8 if !self.requests.is_empty() => {
                let open_requests: Vec<RequestId> =
                    self.requests.iter().filter(|(_, state)| !state.ended).map(|(id, _)| *id).collect();
                let request = if open_requests.is_empty() {
                    RequestId(u64::MAX)
                } else {
                    open_requests[self.random_below(open_requests.len())]
                };
                if let Some(state) = self.requests.get_mut(&request) {
                    state.ended = true;
                }
                Event::RequestAbandoned(request)
            }
            _ => match self.pending_probes.pop() {
                Some(upstream) => {
                    let answered = self.random_below(4) > 0;
                    Event::ProbeFinished { upstream, answered, report: self.random_report() }
                }
                // Events that the module did not cause.
                None => match self.random_below(3) {
                    0 => Event::TimerFired(number),
                    1 => Event::ProbeFinished {
                        upstream: UpstreamId(999),
                        answered: true,
                        report: self.random_report(),
                    },
                    _ => Event::AttemptFinished(AttemptFinished {
                        request: RequestId(number),
                        attempt: AttemptNo(9),
                        upstream: UpstreamId(1),
                        outcome: Outcome::Ok,
                        latency: f64::NAN,
                        request_completed: true,
                        report: None,
                    }),
                },
            },
        }
    }

    /// Records the outcome of an attempt and returns the event that reports it.
    fn end_attempt(&mut self, request: RequestId, index: usize, outcome: Outcome) -> Event {
        let report = self.random_report();
        let now = self.now;
        let state = self.requests.get_mut(&request).expect("a known request");
        state.ended |= outcome == Outcome::Ok;
        let request_completed = state.ended;
        let ended_attempt = &mut state.attempts[index];
        ended_attempt.outcome = Some(outcome);
        let (upstream, latency) = (ended_attempt.upstream, now - ended_attempt.sent_at);
        let attempt = AttemptNo(index as u32);
        Event::AttemptFinished(AttemptFinished {
            request,
            attempt,
            upstream,
            outcome,
            latency,
            request_completed,
            report,
        })
    }
}

#[test]
fn invariants_hold_for_any_order_of_events() {
    for seed in 0..60 {
        let mut settings = settings();
        settings.limits.allow_probes = seed % 3 > 0;
        settings.zone_crossing_cost = [0.0, 0.02, 0.2][seed as usize % 3];
        if seed % 2 == 0 {
            settings.discovery = DiscoveryMode::Subscribe { subscribe_within: 5_000.0 };
        }
        let start = if seed % 5 == 0 { 0.0 } else { 50_000.0 };
        let mut balancer = Balancer::new(settings.clone(), seed);
        let mut environment = Environment {
            settings,
            rng: Rand64::new(u128::from(seed) + 1_000),
            now: start,
            requests: BTreeMap::new(),
            serving: BTreeMap::new(),
            pending_probes: Vec::new(),
            pending_timers: Vec::new(),
        };
        for number in 0..1_500 {
            environment.now += [0.0, 0.5, 3.0, 12.0][environment.random_below(4)];
            let event = environment.next_event(number);
            let mut actions = Vec::new();
            balancer.handle(environment.now, event, &mut actions);
            environment.check_actions(&actions);
            // No request is lost: each has ended, or has an attempt in flight whose timeout comes by the deadline,
            // or waits for a timer that fires before the deadline.
            for (id, state) in &environment.requests {
                let in_flight = state.attempts.iter().any(|attempt| attempt.outcome.is_none());
                let waiting = environment
                    .pending_timers
                    .iter()
                    .any(|(at, token)| *token == id.0 >> 1 && *at < state.deadline);
                assert!(state.ended || in_flight || waiting, "seed {seed}: request {id:?} was lost");
            }
        }
    }
}
