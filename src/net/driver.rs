//! The driver owns the decision module. It converts events of the other tasks into module events and carries out the
//! module's actions in order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use oorandom::Rand64;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::{ReportColumn, SettingsObject, report_from_text};
use sagemast::subscription::SubscriptionSettings;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::client::{ClientRequest, FinalResponse, ForwardedRequest, Frontend, end_to_end_headers};
use super::client_stream::DisconnectDetector;
use super::descriptors::Descriptors;
use super::discovery::{DiscoveryClient, DiscoveryParameters};
use super::host_list::HostList;
use super::log;
use super::memory_budget::MessageMemory;
use super::recent_request_ids::RecentRequestIds;
use super::upstream_connection::{
    AttemptResult, Connect, ConnectError, Connection, ProbeConnection, UpstreamResponse, run_attempt,
    run_probe,
};
use super::upstream_registry::UpstreamRegistry;

/// The module's deadline for a request is this much before the client's, so that the final response reaches the
/// client in time even if the driver is busy.
const MODULE_DEADLINE_MARGIN: Duration = Duration::from_millis(3);
/// The driver ends a request that the module has not ended this long before the client's deadline.
const DEADLINE_TIMER_MARGIN: Duration = Duration::from_micros(1_500);
/// The probe timeout as a fraction of the shortest latency target. A later report is useless: the request that the
/// probe was sent for has been routed by then. Upstreams answer probes without queueing them behind requests.
const PROBE_TIMEOUT_FRACTION: f64 = 0.5;
/// The interval at which expired idle connections and upstreams that are gone are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The idle timeout of connections as a fraction of the upstreams' keep-alive timeout: a request that is written while
/// the upstream closes the connection fails with a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Without a host list the process reports readiness this long after its start and refuses requests. Clients can retry
/// a refusal at once, whereas a process that does not become ready counts as crashed. Nine in ten restarted processes
/// have to be ready within 6 s: this leaves 2 s for the start on a busy machine and time for eight calls to discovery.
const READY_WITHOUT_LIST_DELAY: Duration = Duration::from_secs(4);

/// An attempt that has been started and has not ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlightAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNo,
    /// The upstream that the attempt is sent to.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream: connections are not reused across restarts.
    pub incarnation: u64,
    /// When the attempt times out.
    pub deadline: Instant,
}

/// An event sent to the driver by another task.
pub enum DriverEvent {
    /// A complete client request was read.
    RequestArrived(Box<ClientRequest>),
    /// The client of a request disconnected before its response.
    ClientDisconnected(RequestId),
    /// Opening a connection for an attempt succeeded or failed.
    ConnectFinished(InFlightAttempt, Result<Box<Connection>, ConnectError>),
    /// An attempt ended.
    AttemptFinished {
        /// The attempt.
        in_flight: InFlightAttempt,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// A connection may be put back into the pool.
    ConnectionReturned {
        /// The upstream that it leads to.
        upstream: UpstreamId,
        /// The incarnation of the upstream for which it was opened.
        incarnation: u64,
        /// The connection.
        connection: Box<Connection>,
    },
    /// A probe finished.
    ProbeFinished {
        /// The upstream that was probed.
        upstream: UpstreamId,
        /// The response, if one came in time.
        response: Option<UpstreamResponse>,
    },
    /// Discovery sent a snapshot or a delta of the host list.
    HostListReceived(HostList),
    /// The configuration file was reloaded.
    ConfigReloaded {
        /// The address of discovery from now on.
        discovery: SocketAddr,
    },
    /// The limit on connections was lowered.
    ConnectionLimitLowered,
    /// The process is about to exit: pending requests are answered now, and new ones are refused at once.
    ShutdownDeadline,
    /// A call to discovery failed that is not repeated until the module requests it.
    DiscoveryFailed,
}

/// The state of an attempt that has not ended.
struct AttemptState {
    in_flight: InFlightAttempt,
    started_at: Instant,
    /// Whether the request may have been written to a connection.
    sent: bool,
    /// Dropped to cancel the attempt; `None` if the attempt is cancelled or not yet connecting.
    cancel: Option<oneshot::Sender<()>>,
}

/// A request that has not received its final response.
struct PendingRequest {
    /// The value of the X-Request-ID header.
    x_request_id: Box<str>,
    forwarded: Arc<ForwardedRequest>,
    /// Detects whether the client has disconnected.
    client: Weak<DisconnectDetector>,
    response_sender: oneshot::Sender<FinalResponse>,
    attempts_started: u32,
    /// Whether an attempt that has ended may have run the request.
    may_have_run: bool,
    /// The module's deadline.
    deadline: Instant,
    /// The key of the deadline timer.
    deadline_timer: (Instant, u64),
}

/// What to do when a timer expires.
enum Timer {
    /// Pass [`Event::TimerFired`] with this token to the module.
    Module(u64),
    /// End a request whose deadline has passed.
    RequestDeadline(RequestId),
    /// Remove expired idle connections and upstreams that are gone.
    Sweep,
    /// Report readiness if there is still no host list.
    ReadyWithoutList,
}

/// The task that owns the decision module.
pub struct Driver {
    module: Balancer,
    settings: SettingsObject,
    report_columns: Vec<ReportColumn>,
    /// Whether discovery pushes its lists. Otherwise it is called when the module asks for it with
    /// [`Action::Subscribe`].
    lists_are_pushed: bool,
    frontend: Arc<Frontend>,
    event_receiver: mpsc::UnboundedReceiver<DriverEvent>,
    event_sender: mpsc::UnboundedSender<DriverEvent>,
    discovery_address: SocketAddr,
    /// The client of discovery, once the driver runs.
    discovery: Option<DiscoveryClient>,
    /// Seeds the jitter of calls to discovery.
    discovery_seed: u64,
    /// The origin of the module's clock.
    epoch: Instant,
    pending: HashMap<RequestId, PendingRequest>,
    /// The X-Request-ID values of the pending requests.
    pending_x_request_ids: HashSet<Box<str>>,
    /// The X-Request-ID values of the requests that have ended and may have run.
    recent_x_request_ids: RecentRequestIds,
    attempts: BTreeMap<(RequestId, AttemptNo), AttemptState>,
    upstreams: UpstreamRegistry,
    /// Timers by expiry time; the number distinguishes timers of the same time.
    timers: BTreeMap<(Instant, u64), Timer>,
    last_timer_number: u64,
    descriptors: Arc<Descriptors>,
    memory: Arc<MessageMemory>,
    probe_timeout: Duration,
    /// A buffer that is reused for the module's actions.
    actions: Vec<Action>,
    /// Whether [`DriverEvent::ShutdownDeadline`] was received.
    shutdown_deadline_reached: bool,
}

impl Driver {
    /// Creates a driver without upstreams.
    pub fn new(
        settings: SettingsObject,
        seed: u64,
        discovery_address: SocketAddr,
        frontend: Arc<Frontend>,
        event_receiver: mpsc::UnboundedReceiver<DriverEvent>,
        descriptors: Arc<Descriptors>,
        memory: Arc<MessageMemory>,
    ) -> Driver {
        let unix_time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut module_settings = settings.to_settings();
        // The module retries no keyed request whose deduplication window could end before the retry is sent. Here a
        // retry may have to connect first, so the delay must cover the connect timeout.
        module_settings.limits.max_send_delay =
            module_settings.limits.max_send_delay.max(settings.connect_timeout_ms());
        Driver {
            lists_are_pushed: module_settings.discovery == DiscoveryMode::Push,
            module: Balancer::new(module_settings, seed),
            report_columns: settings.columns(),
            event_sender: frontend.event_sender.clone(),
            frontend,
            event_receiver,
            discovery_address,
            discovery: None,
            // Differs between sidecars and from the module's seed.
            discovery_seed: Rand64::new(u128::from(!seed)).rand_u64(),
            epoch: Instant::now(),
            pending: HashMap::new(),
            pending_x_request_ids: HashSet::new(),
            recent_x_request_ids: RecentRequestIds::default(),
            attempts: BTreeMap::new(),
            upstreams: UpstreamRegistry::new(unix_time.map_or(0.0, |since| since.as_secs_f64() * 1e3)),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            descriptors,
            memory,
            probe_timeout: Duration::from_secs_f64(
                settings.shortest_latency_target_ms() * PROBE_TIMEOUT_FRACTION / 1e3,
            ),
            actions: Vec::new(),
            shutdown_deadline_reached: false,
            settings,
        }
    }

    /// Starts from a saved host list, if there is one, and handles events until the process exits.
    pub async fn run(mut self, saved_list: Option<HostList>) {
        let saved_list = saved_list.unwrap_or_else(HostList::empty);
        self.discovery = Some(self.start_discovery_client(saved_list.version));
        self.apply_host_list(&saved_list, true);
        self.set_timer(Instant::now() + SWEEP_INTERVAL, Timer::Sweep);
        self.set_timer(self.epoch + READY_WITHOUT_LIST_DELAY, Timer::ReadyWithoutList);
        loop {
            let next_expiry = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                event = self.event_receiver.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep_until(next_expiry.unwrap_or_else(|| Instant::now() + SWEEP_INTERVAL)) => {}
            }
            self.fire_expired_timers();
        }
    }

    /// Starts the client of discovery from the version of the saved list.
    fn start_discovery_client(&self, list_version: u64) -> DiscoveryClient {
        DiscoveryClient::start(DiscoveryParameters {
            settings: SubscriptionSettings {
                pushed: self.lists_are_pushed,
                drain_grace: self.settings.drain_grace_ms(),
            },
            address: self.discovery_address,
            list_version,
            seed: self.discovery_seed,
            event_sender: self.event_sender.clone(),
            descriptors: self.descriptors.clone(),
        })
    }

    /// Converts a time to the module's clock.
    fn module_time(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    /// Sets a timer and returns its key in `timers`.
    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.last_timer_number += 1;
        let key = (at, self.last_timer_number);
        self.timers.insert(key, timer);
        key
    }

    fn fire_expired_timers(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::Module(token) => self.notify_module(Event::TimerFired(token)),
                Timer::RequestDeadline(request) => self.end_at_deadline(request),
                Timer::ReadyWithoutList if !self.frontend.ready.swap(true, Ordering::Relaxed) => {
                    log::line(
                        "no list of upstreams yet: reporting ready and refusing requests until one arrives",
                    );
                }
                Timer::ReadyWithoutList => {}
                Timer::Sweep => {
                    let idle_timeout = self.idle_timeout();
                    self.upstreams.pools().for_each(|pool| pool.close_expired(idle_timeout));
                    self.upstreams.remove_gone(self.attempts.values().map(|state| state.in_flight.upstream));
                    self.set_timer(now + SWEEP_INTERVAL, Timer::Sweep);
                }
            }
        }
    }

    /// Ends a request at its deadline or at that of the shutdown. Attempts that are still in flight, for example after
    /// the process was suspended, are reported to the module as timed out first, so that it can choose the final
    /// response. A request that the module does not end even then fails.
    fn end_at_deadline(&mut self, request: RequestId) {
        let in_flight_attempts: Vec<InFlightAttempt> =
            self.attempts_of(request).map(|state| state.in_flight).collect();
        for in_flight in in_flight_attempts {
            self.on_attempt_finished(in_flight, AttemptResult::Outcome(Outcome::TimedOut, None));
        }
        if self.pending.contains_key(&request) {
            self.respond(request, FinalResponse::Failed);
            self.abandon_request(request);
        }
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.settings.keepalive_ms() * IDLE_TIMEOUT_FRACTION / 1e3)
    }

    /// Passes an event to the module and carries out the actions that it returns.
    fn notify_module(&mut self, event: Event) {
        let now = self.module_time(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(action);
        }
        self.actions = actions;
    }

    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestArrived(client_request) => self.on_request_arrived(*client_request),
            DriverEvent::ClientDisconnected(request) => self.on_client_disconnected(request),
            DriverEvent::ConnectFinished(in_flight, connection) => {
                self.on_connect_finished(in_flight, connection)
            }
            DriverEvent::AttemptFinished { in_flight, result } => self.on_attempt_finished(in_flight, result),
            DriverEvent::ConnectionReturned { upstream, incarnation, connection } => {
                self.return_to_pool(upstream, incarnation, *connection)
            }
            DriverEvent::ProbeFinished { upstream, response } => {
                let answered = response.as_ref().is_some_and(|response| response.status == 200);
                let successful_response = response.filter(|_| answered);
                let text = successful_response
                    .as_ref()
                    .and_then(|response| std::str::from_utf8(&response.body).ok());
                let report = text.and_then(|text| report_from_text(&self.report_columns, text));
                self.notify_module(Event::ProbeFinished { upstream, answered, report });
            }
            DriverEvent::HostListReceived(list) => self.apply_host_list(&list, false),
            DriverEvent::DiscoveryFailed => {
                self.notify_module(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
            }
            DriverEvent::ConfigReloaded { discovery } => {
                self.discovery.iter().for_each(|client| client.reload(discovery));
            }
            DriverEvent::ConnectionLimitLowered => {
                while self.descriptors.is_over_limit(0) && self.close_oldest_idle() {}
            }
            DriverEvent::ShutdownDeadline => {
                self.shutdown_deadline_reached = true;
                let pending: Vec<RequestId> = self.pending.keys().copied().collect();
                pending.into_iter().for_each(|request| self.end_at_deadline(request));
            }
        }
    }

    fn on_request_arrived(&mut self, client_request: ClientRequest) {
        let ClientRequest {
            request,
            class,
            tenant,
            x_request_id,
            received_at,
            time_left,
            cost,
            forwarded,
            client,
            response_sender,
        } = client_request;
        if self.shutdown_deadline_reached {
            let _ = response_sender.send(FinalResponse::Refused(0.0));
            return;
        }
        // Upstreams identify a request by its X-Request-ID and would take a second one with the same value for a retry.
        // It must not run again, and the client must not be told that it has not run.
        if self.recent_x_request_ids.contains(&x_request_id, Instant::now())
            || !self.pending_x_request_ids.insert(x_request_id.clone())
        {
            let _ = response_sender.send(FinalResponse::Rejected(StatusCode::CONFLICT));
            return;
        }
        let deadline = received_at + time_left.saturating_sub(MODULE_DEADLINE_MARGIN);
        let deadline_timer = self.set_timer(
            received_at + time_left.saturating_sub(DEADLINE_TIMER_MARGIN),
            Timer::RequestDeadline(request),
        );
        let pending = PendingRequest {
            x_request_id,
            forwarded: Arc::new(forwarded),
            client,
            response_sender,
            attempts_started: 0,
            may_have_run: false,
            deadline,
            deadline_timer,
        };
        self.pending.insert(request, pending);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        self.notify_module(Event::RequestArrived { request, class, tenant, time_left, cost });
    }

    fn on_client_disconnected(&mut self, request: RequestId) {
        self.remove_pending(request);
        self.abandon_request(request);
    }

    /// Tells the module that a request needs no response any more, and cancels its attempts.
    fn abandon_request(&mut self, request: RequestId) {
        self.notify_module(Event::RequestAbandoned(request));
        self.cancel_attempts(request);
    }

    fn cancel_attempts(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, state) in self.attempts.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            state.cancel = None;
        }
    }

    /// Removes a request from the pending requests, together with its X-Request-ID and its deadline timer.
    fn remove_pending(&mut self, request: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&request)?;
        self.timers.remove(&pending.deadline_timer);
        self.pending_x_request_ids.remove(&pending.x_request_id);
        if pending.may_have_run || self.attempts_of(request).any(|state| state.sent) {
            self.recent_x_request_ids.remember(&pending.x_request_id, Instant::now());
        }
        Some(pending)
    }

    /// The attempts of a request that have not ended.
    fn attempts_of(&self, request: RequestId) -> impl Iterator<Item = &AttemptState> {
        let all_attempts = (request, AttemptNo(0))..=(request, AttemptNo(u32::MAX));
        self.attempts.range(all_attempts).map(|(_, state)| state)
    }

    /// Sends the final response to a request that is still pending. Returns whether it could be handed over.
    fn respond(&mut self, request: RequestId, response: FinalResponse) -> bool {
        let Some(pending) = self.remove_pending(request) else { return false };
        // Fails if the client has just disconnected.
        pending.response_sender.send(response).is_ok()
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.start_attempt(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(state) = self.attempts.get_mut(&(request, attempt)) {
                    state.cancel = None;
                }
            }
            Action::Refuse { request, retry_after } => {
                self.respond(request, FinalResponse::Refused(retry_after));
            }
            Action::Fail(request) => {
                self.respond(request, FinalResponse::Failed);
            }
            Action::Probe(upstream) => self.start_probe(upstream),
            Action::SetTimer { at, token } => {
                let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::Module(token));
            }
            Action::Subscribe => self.discovery.iter().for_each(DiscoveryClient::subscribe),
            Action::Log(text) => log::line(text),
        }
    }

    // --- Attempts and probes -----------------------------------------------------------------

    fn start_attempt(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let now = Instant::now();
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let attempt = AttemptNo(pending.attempts_started);
        pending.attempts_started += 1;
        let timeout = Duration::try_from_secs_f64(timeout / 1e3).unwrap_or_default();
        let deadline = match now.checked_add(timeout) {
            Some(deadline) if !timeout.is_zero() => deadline.min(pending.deadline),
            _ => pending.deadline,
        };
        let incarnation = self.upstreams.get(upstream).map_or(0, |server| server.incarnation);
        let in_flight = InFlightAttempt { request, attempt, upstream, incarnation, deadline };
        let state = AttemptState { in_flight, started_at: now, sent: false, cancel: None };
        self.attempts.insert((request, attempt), state);
        self.send_or_connect(in_flight);
    }

    /// Sends an attempt over an idle connection, or starts to open a new connection for it.
    fn send_or_connect(&mut self, in_flight: InFlightAttempt) {
        let idle_timeout = self.idle_timeout();
        let Some(server) = self.upstreams.get_mut(in_flight.upstream) else {
            return self.queue_attempt_finished(in_flight, Outcome::NotSent);
        };
        if let Some(connection) = server.pool.take(idle_timeout) {
            return self.send_attempt(in_flight, connection);
        }
        let address = server.address;
        // Without a free connection the attempt is not sent; this must not count against the upstream.
        let Some(permit) = self.acquire_connection_permit() else {
            return self.queue_attempt_finished(in_flight, Outcome::NotSent);
        };
        let (cancel, cancelled) = oneshot::channel();
        if let Some(state) = self.attempts.get_mut(&(in_flight.request, in_flight.attempt)) {
            state.cancel = Some(cancel);
        }
        let connect = self.connect(address, in_flight.deadline, permit);
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            let result = tokio::select! {
                result = connect.open() => result,
                _ = cancelled => Err(ConnectError::Cancelled),
            };
            let _ = event_sender.send(DriverEvent::ConnectFinished(in_flight, result.map(Box::new)));
        });
    }

    /// Opens a connection within the connect timeout and until `deadline`.
    fn connect(&self, address: SocketAddr, deadline: Instant, permit: OwnedSemaphorePermit) -> Connect {
        let connect_timeout = Duration::from_secs_f64(self.settings.connect_timeout_ms() / 1e3);
        Connect {
            address,
            deadline: deadline.min(Instant::now() + connect_timeout),
            permit,
            descriptors: self.descriptors.clone(),
            memory: self.memory.responses.clone(),
        }
    }

    /// Returns a permit for one more upstream connection. Closes idle connections if the limit is reached.
    fn acquire_connection_permit(&mut self) -> Option<OwnedSemaphorePermit> {
        while self.descriptors.is_over_limit(1) && self.close_oldest_idle() {}
        self.descriptors.try_acquire()
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_oldest_idle(&mut self) -> bool {
        let pools = self.upstreams.pools().filter(|pool| pool.oldest_idle_since().is_some());
        let Some(pool) = pools.min_by_key(|pool| pool.oldest_idle_since()) else { return false };
        pool.close_oldest();
        true
    }

    fn on_connect_finished(
        &mut self,
        in_flight: InFlightAttempt,
        connection: Result<Box<Connection>, ConnectError>,
    ) {
        let key = (in_flight.request, in_flight.attempt);
        let cancelled = self.attempts.get(&key).is_none_or(|state| state.cancel.is_none());
        let connection = match connection {
            Ok(connection) => *connection,
            Err(ConnectError::Failed(reason)) if !cancelled => {
                let name = self.upstreams.get(in_flight.upstream).map_or("?", |server| &server.name);
                log::line(format!("upstream {name}: {reason}"));
                return self
                    .on_attempt_finished(in_flight, AttemptResult::Outcome(Outcome::Unreachable, None));
            }
            Err(_) => {
                return self.on_attempt_finished(in_flight, AttemptResult::Outcome(Outcome::NotSent, None));
            }
        };
        // Meanwhile the attempt may have timed out, the request may have ended, or the upstream may have started to
        // drain or restarted: then the request must not be written.
        let still_pending = self.pending.contains_key(&in_flight.request) && !cancelled;
        let in_time = Instant::now() < in_flight.deadline;
        let upstream_unchanged = self.upstreams.get(in_flight.upstream).is_some_and(|server| {
            server.incarnation == in_flight.incarnation && server.record.lifecycle == Lifecycle::Serving
        });
        if still_pending && upstream_unchanged && in_time {
            return self.send_attempt(in_flight, connection);
        }
        self.return_to_pool(in_flight.upstream, in_flight.incarnation, connection);
        let outcome = if still_pending { Outcome::Unreachable } else { Outcome::NotSent };
        self.on_attempt_finished(in_flight, AttemptResult::Outcome(outcome, None));
    }

    /// Sends an attempt over a connection.
    fn send_attempt(&mut self, in_flight: InFlightAttempt, connection: Connection) {
        let key = (in_flight.request, in_flight.attempt);
        let Some(pending) = self.pending.get(&in_flight.request) else {
            self.return_to_pool(in_flight.upstream, in_flight.incarnation, connection);
            return self.queue_attempt_finished(in_flight, Outcome::NotSent);
        };
        let address = self.upstreams.get(in_flight.upstream).map(|server| server.address);
        let time_left =
            in_flight.deadline.saturating_duration_since(connection.reusable_at().max(Instant::now()));
        let request = upstream_request(&pending.forwarded, address, time_left);
        let body_len = pending.forwarded.body.len();
        let (cancel, cancelled) = oneshot::channel();
        if let Some(state) = self.attempts.get_mut(&key) {
            state.cancel = Some(cancel);
            state.sent = true;
        }
        let (client, event_sender) = (pending.client.clone(), self.event_sender.clone());
        tokio::spawn(run_attempt(connection, request, body_len, client, in_flight, cancelled, event_sender));
    }

    /// Ends an attempt that was never sent. The end is queued as an event, so that the module is told only after the
    /// current actions are carried out.
    fn queue_attempt_finished(&self, in_flight: InFlightAttempt, outcome: Outcome) {
        let _ = self
            .event_sender
            .send(DriverEvent::AttemptFinished { in_flight, result: AttemptResult::Outcome(outcome, None) });
    }

    /// Handles the end of an attempt: tells the module, and sends the client a response that ends the request. An
    /// attempt whose connection was found closed before anything was written continues over another connection instead.
    fn on_attempt_finished(&mut self, in_flight: InFlightAttempt, result: AttemptResult) {
        let key = (in_flight.request, in_flight.attempt);
        let nothing_written =
            matches!(result, AttemptResult::StaleConnection | AttemptResult::ClientDisconnected);
        if let Some(state) = self.attempts.get_mut(&key).filter(|_| nothing_written) {
            state.sent = false;
        }
        let (outcome, response) = match result {
            AttemptResult::Outcome(outcome, response) => (outcome, response),
            // Nothing was written: unless cancelled or late, the same attempt continues over another connection.
            AttemptResult::StaleConnection => {
                let not_cancelled = self.attempts.get(&key).is_some_and(|state| state.cancel.is_some());
                if not_cancelled && Instant::now() < in_flight.deadline {
                    return self.send_or_connect(in_flight);
                }
                (Outcome::Unreachable, None)
            }
            // The client's connection reports the disconnect as well, possibly later.
            AttemptResult::ClientDisconnected => {
                self.on_client_disconnected(in_flight.request);
                (Outcome::NotSent, None)
            }
        };
        let Some(state) = self.attempts.remove(&key) else { return };
        if let Some(pending) = self.pending.get_mut(&in_flight.request) {
            pending.may_have_run |= state.sent && outcome.may_have_run();
        }
        let latency = state.started_at.elapsed().as_secs_f64() * 1e3;
        let report = response.as_ref().and_then(|response| {
            let text =
                response.headers.get("x-server-load").filter(|_| self.settings.reports_in_responses())?;
            report_from_text(&self.report_columns, text.to_str().ok()?)
        });
        // A successful response goes to the client at once and ends the request. So does a response that rejects the
        // request itself, since other upstreams would reject it as well.
        let mut completed = !self.pending.contains_key(&in_flight.request);
        match (outcome, response) {
            (Outcome::Ok, Some(response)) => {
                self.respond(
                    in_flight.request,
                    FinalResponse::Served(forwarded_response_headers(&response.headers), response.body),
                );
                completed = true;
            }
            (Outcome::Cancelled, Some(response)) => {
                self.respond(in_flight.request, FinalResponse::Rejected(response.status));
                completed = true;
            }
            _ => {}
        }
        self.notify_module(Event::AttemptFinished(AttemptFinished {
            request: in_flight.request,
            attempt: in_flight.attempt,
            upstream: in_flight.upstream,
            outcome,
            latency,
            request_completed: completed,
            report,
        }));
    }

    /// Returns a connection to its pool, or closes it if it may not be reused.
    fn return_to_pool(&mut self, upstream: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(server) = self.upstreams.get_mut(upstream) else { return };
        if server.incarnation == incarnation
            && server.record.lifecycle == Lifecycle::Serving
            && connection.is_usable()
        {
            server.pool.put(connection);
        }
    }

    /// Starts a probe over an idle or a new connection. If none is available, the probe ends without a response.
    fn start_probe(&mut self, upstream: UpstreamId) {
        let idle_timeout = self.idle_timeout();
        let deadline = Instant::now() + self.probe_timeout;
        let no_response = DriverEvent::ProbeFinished { upstream, response: None };
        let Some(server) = self.upstreams.get_mut(upstream) else {
            let _ = self.event_sender.send(no_response);
            return;
        };
        let (address, incarnation) = (server.address, server.incarnation);
        let source = match server.pool.take(idle_timeout) {
            Some(connection) => ProbeConnection::Idle(Box::new(connection)),
            None => match self.acquire_connection_permit() {
                Some(permit) => ProbeConnection::New(self.connect(address, deadline, permit)),
                None => {
                    let _ = self.event_sender.send(no_response);
                    return;
                }
            },
        };
        let path = if self.report_columns.is_empty() { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        tokio::spawn(run_probe(source, request, upstream, incarnation, deadline, self.event_sender.clone()));
    }

    // --- Host list ---------------------------------------------------------------------------

    /// Applies a snapshot or a delta of the host list. `restored` marks the list that was saved before a restart.
    fn apply_host_list(&mut self, list: &HostList, restored: bool) {
        if let Some(description) = list.hosts.describe_invalid() {
            log::line(description);
        }
        let is_complete = list.is_snapshot || restored;
        let now = self.module_time(Instant::now());
        let records = self.upstreams.apply_list(list, is_complete, &self.settings, now);
        self.memory.set_listed_upstreams(self.upstreams.len());
        self.frontend.ready.fetch_or(!records.is_empty() || (is_complete && !restored), Ordering::Relaxed);
        self.notify_module(Event::DiscoveryUpdated(match (restored, is_complete) {
            (true, _) => DiscoveryUpdate::Restored(records),
            (false, true) => DiscoveryUpdate::Snapshot(records),
            (false, false) => DiscoveryUpdate::Delta(records),
        }));
    }
}

/// Builds the request to an upstream. `time_left` is the time until the attempt's deadline when it is written.
fn upstream_request(
    forwarded: &ForwardedRequest,
    address: Option<SocketAddr>,
    time_left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.target.clone();
    let mut headers = forwarded.headers.clone();
    // HTTP/1.1 requires a Host header. One that the client sent is forwarded with its other headers.
    let host = address.filter(|_| !headers.contains_key(header::HOST));
    if let Some(host) = host.and_then(|address| HeaderValue::from_str(&address.to_string()).ok()) {
        headers.insert(header::HOST, host);
    }
    let timeout_ms = time_left.as_millis().max(1) as u64;
    headers.insert("x-timeout-ms", HeaderValue::from(timeout_ms));
    if forwarded.method != Method::GET || !forwarded.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forwarded.body.len()));
    }
    *request.headers_mut() = headers;
    request
}

/// Copies the headers of an upstream's response that are forwarded to the client.
fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    kept.remove("x-server-load");
    kept
}
