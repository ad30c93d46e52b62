//! The driver: owns the module, turns what happens into its events and carries out its actions in order.

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
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::client::{ClientRequest, FinalResponse, ForwardedRequest, Frontend, end_to_end_headers};
use super::client_stream::DisconnectDetector;
use super::descriptors::Descriptors;
use super::discovery::{AbortOnDrop, HostList, Watch};
use super::log;
use super::upstream_connection::{
    AttemptResult, ConnectError, Connection, ProbeConnection, UpstreamResponse, run_attempt, run_probe,
};
use super::upstream_registry::UpstreamRegistry;

/// The module is told this much less than the client waits: its last word must reach the client in time. An
/// answer takes a fraction of a millisecond to it; the rest is for a turn in which much else is to be done.
const IN_HAND: Duration = Duration::from_millis(3);
/// What the module has not ended by then, the driver does.
const BACKSTOP: Duration = Duration::from_micros(1_500);
/// A probe that has not come back in this share of the shortest aim says nothing: servers answer them beside
/// their queue, and by then the request that it was for has gone on.
const PROBE_SHARE: f64 = 0.5;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// Idle connections are closed after this share of the time that upstreams keep them: one that is written to
/// just as the upstream closes it ends as a reset.
const IDLE_SHARE: f64 = 0.7;
/// A process that has had no list for this long says that it is up and refuses what comes. While it says nothing
/// its clients wait, and so long a wait would count as a crash; what is refused may be tried again at once. Of
/// restarted processes nine in ten have to be ready within 6 s on the shortest days: 2 s are left for the start on a
/// busy machine, and discovery has had the time for eight calls.
const UP_WITHOUT_LIST: Duration = Duration::from_secs(4);
/// An attempt that has been sent and has not ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlightAttempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its number among the attempts of that request.
    pub attempt: AttemptNo,
    /// The upstream that it is sent to.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream: connections are not reused across restarts.
    pub incarnation: u64,
    /// When the attempt times out.
    pub deadline: Instant,
}

/// An event that the driver handles.
pub enum DriverEvent {
    /// A complete client request was read.
    RequestArrived(Box<ClientRequest>),
    /// The client of a request disconnected before its response.
    ClientDisconnected(RequestId),
    /// Opening a connection for an attempt succeeded or failed.
    ConnectFinished(InFlightAttempt, Result<Box<Connection>, ConnectError>),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        in_flight: InFlightAttempt,
        /// How it ended.
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
    /// Discovery sent a host list or a change of it.
    HostListReceived {
        /// The watch that received it.
        watch_id: u64,
        /// The list or the change.
        list: HostList,
    },
    /// The configuration file was read again.
    ConfigReloaded {
        /// Where discovery is asked from now on.
        discovery: SocketAddr,
    },
    /// The limit on connections may have been lowered.
    ConnectionLimitLowered,
    /// The process is about to exit: open requests are answered now, and new ones are refused at once.
    ShutdownDeadline,
    /// A call to discovery failed or the watch ended.
    DiscoveryFailed {
        /// The watch or call that failed.
        watch_id: u64,
        /// The version to go on from: 0 if something was missed.
        seq: u64,
    },
}

/// A send that has not ended.
struct Sent {
    in_flight: InFlightAttempt,
    at: Instant,
    /// Dropped or used to give it up; `None` once that was done.
    give_up: Option<oneshot::Sender<()>>,
}

/// A request without its final answer.
struct Open {
    id: Box<str>,
    forwarded: Arc<ForwardedRequest>,
    client: Weak<DisconnectDetector>,
    reply: oneshot::Sender<FinalResponse>,
    sends: u32,
    deadline: Instant,
    timer: (Instant, u64),
}

enum Timer {
    Wake(u64),
    Backstop(RequestId),
    Sweep,
    UpWithoutList,
}

/// The driver.
pub struct Driver {
    module: Balancer,
    settings: SettingsObject,
    columns: Vec<ReportColumn>,
    subscribed: bool,
    frontend: Arc<Frontend>,
    inbox: mpsc::UnboundedReceiver<DriverEvent>,
    events: mpsc::UnboundedSender<DriverEvent>,
    discovery: SocketAddr,
    seq: u64,
    watch: Option<AbortOnDrop>,
    /// The number of the present watch.
    watches: u64,
    /// Whether it is called for until discovery answers, as after SIGHUP, and has not told anything yet.
    moving: bool,
    /// Spreads calls to discovery.
    rng: Rand64,
    epoch: Instant,
    open: HashMap<RequestId, Open>,
    /// The ids that clients gave the open requests.
    ids: HashSet<Box<str>>,
    sent: BTreeMap<(RequestId, AttemptNo), Sent>,
    upstreams: UpstreamRegistry,
    timers: BTreeMap<(Instant, u64), Timer>,
    next_timer: u64,
    descriptors: Arc<Descriptors>,
    probe_time: Duration,
    actions: Vec<Action>,
    /// Whether the program is about to end.
    ending: bool,
}

impl Driver {
    /// A driver that knows the settings and nothing else.
    pub fn new(
        settings: SettingsObject,
        seed: u64,
        discovery: SocketAddr,
        frontend: Arc<Frontend>,
        inbox: mpsc::UnboundedReceiver<DriverEvent>,
        descriptors: Arc<Descriptors>,
    ) -> Driver {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut told = settings.to_settings();
        // The module keeps one event interval in hand before a key's window ends, since in the simulator a send
        // is on its way at once. Here it may first have to connect.
        told.limits.min_event_interval = told.limits.min_event_interval.max(settings.connect_timeout_ms());
        Driver {
            subscribed: matches!(told.discovery, DiscoveryMode::Subscribe { .. }),
            module: Balancer::new(told, seed),
            columns: settings.columns(),
            events: frontend.events.clone(),
            frontend,
            inbox,
            discovery,
            seq: 0,
            watch: None,
            watches: 0,
            moving: false,
            // Any seed of its own will do, so long as it differs between sidecars.
            rng: Rand64::new(u128::from(!seed)),
            epoch: Instant::now(),
            open: HashMap::new(),
            ids: HashSet::new(),
            sent: BTreeMap::new(),
            upstreams: UpstreamRegistry::new(unix.map_or(0.0, |since| since.as_secs_f64() * 1e3)),
            timers: BTreeMap::new(),
            next_timer: 0,
            descriptors,
            probe_time: Duration::from_secs_f64(settings.shortest_latency_target_ms() * PROBE_SHARE / 1e3),
            actions: Vec::new(),
            ending: false,
            settings,
        }
    }

    /// Runs for good.
    pub async fn run(mut self, known: Option<HostList>) {
        let known = known.unwrap_or(HostList { seq: 0, whole: true, hosts: Vec::new() });
        self.listed(&known, true);
        if !self.subscribed {
            self.watch(false);
        }
        self.set_timer(Instant::now() + SWEEP, Timer::Sweep);
        self.set_timer(self.epoch + UP_WITHOUT_LIST, Timer::UpWithoutList);
        loop {
            let due = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                event = self.inbox.recv() => match event {
                    Some(event) => self.happened(event),
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + SWEEP)) => {}
            }
            self.fire();
        }
    }

    /// Watches from here on in place of the watch before. What that one had on its way is dropped; the new
    /// one tells it again, since it goes on from the last version that was taken in.
    fn watch(&mut self, moved: bool) {
        self.watches += 1;
        let (address, id, events) = (self.discovery, self.watches, self.events.clone());
        let drain_grace = Duration::from_secs_f64(self.settings.drain_grace_ms() / 1e3);
        let rng = Rand64::new(u128::from(self.rng.rand_u64()));
        let descriptors = self.descriptors.clone();
        let watch = Watch { address, id, seq: self.seq, events, drain_grace, rng, descriptors };
        self.moving = moved;
        self.watch = Some(AbortOnDrop(if self.subscribed {
            tokio::spawn(watch.run_once(moved))
        } else {
            tokio::spawn(watch.run_forever())
        }));
    }

    /// The module's clock.
    fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.next_timer += 1;
        let key = (at, self.next_timer);
        self.timers.insert(key, timer);
        key
    }

    /// Fires the timers that are due.
    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::Wake(token) => self.event(Event::TimerFired(token)),
                Timer::Backstop(request) => self.backstop(request),
                Timer::UpWithoutList if !self.frontend.ready.swap(true, Ordering::Relaxed) => {
                    log::line("no list of upstreams yet: up without one, and what comes is refused");
                }
                Timer::UpWithoutList => {}
                Timer::Sweep => {
                    let limit = self.idle_limit();
                    self.upstreams.pools().for_each(|pool| pool.close_expired(limit));
                    self.upstreams.remove_gone(self.sent.values().map(|sent| sent.in_flight.upstream));
                    self.set_timer(now + SWEEP, Timer::Sweep);
                }
            }
        }
    }

    /// Ends a request whose time is over. Where the process was held up, its attempts have run out of time as
    /// well and could not say so yet: the module hears of them and has the last word. Only where it is at fault
    /// has it none.
    fn backstop(&mut self, request: RequestId) {
        let all = (request, AttemptNo(0))..=(request, AttemptNo(u32::MAX));
        let out: Vec<InFlightAttempt> = self.sent.range(all).map(|(_, sent)| sent.in_flight).collect();
        for in_flight in out {
            self.ended(in_flight, AttemptResult::Outcome(Outcome::TimedOut, None));
        }
        if self.open.contains_key(&request) {
            self.finish(request, FinalResponse::Failed);
            self.leave(request);
        }
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs_f64(self.settings.keepalive_ms() * IDLE_SHARE / 1e3)
    }

    /// Hands an event to the module and does what it says.
    fn event(&mut self, event: Event) {
        let now = self.millis(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn happened(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestArrived(client_request) => self.arrived(*client_request),
            DriverEvent::ClientDisconnected(request) => self.client_left(request),
            DriverEvent::ConnectFinished(in_flight, connection) => self.connected(in_flight, connection),
            DriverEvent::AttemptEnded { in_flight, result } => self.ended(in_flight, result),
            DriverEvent::ConnectionReturned { upstream, incarnation, connection } => {
                self.put_back(upstream, incarnation, *connection)
            }
            DriverEvent::ProbeFinished { upstream, response } => {
                let answered = response.as_ref().is_some_and(|response| response.status == 200);
                let text = response.filter(|_| answered);
                let text = text.as_ref().and_then(|response| std::str::from_utf8(&response.body).ok());
                let report = text.and_then(|text| report_from_text(&self.columns, text));
                self.event(Event::ProbeFinished { upstream, answered, report });
            }
            DriverEvent::HostListReceived { watch_id, list } if watch_id == self.watches => {
                self.listed(&list, false)
            }
            DriverEvent::DiscoveryFailed { watch_id, seq } if watch_id == self.watches => {
                self.seq = seq;
                self.moving = false;
                self.event(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
            }
            // Of a watch that another has taken the place of.
            DriverEvent::HostListReceived { .. } | DriverEvent::DiscoveryFailed { .. } => {}
            DriverEvent::ConfigReloaded { discovery } => {
                self.discovery = discovery;
                self.watch(true);
            }
            DriverEvent::ConnectionLimitLowered => {
                while self.descriptors.is_over_limit(0) && self.close_oldest() {}
            }
            DriverEvent::ShutdownDeadline => {
                self.ending = true;
                let open: Vec<RequestId> = self.open.keys().copied().collect();
                open.into_iter().for_each(|request| self.backstop(request));
            }
        }
    }

    fn arrived(&mut self, client_request: ClientRequest) {
        let ClientRequest {
            request,
            class,
            tenant,
            id,
            received_at,
            time_left,
            cost,
            forwarded,
            client,
            reply,
        } = client_request;
        if self.ending {
            let _ = reply.send(FinalResponse::Refused(0.0));
            return;
        }
        // Upstreams know a request by its id. One that says it is another's would be taken for that one's
        // next attempt.
        if !self.ids.insert(id.clone()) {
            let _ = reply.send(FinalResponse::Rejected(StatusCode::CONFLICT));
            return;
        }
        let deadline = received_at + time_left.saturating_sub(IN_HAND);
        let timer =
            self.set_timer(received_at + time_left.saturating_sub(BACKSTOP), Timer::Backstop(request));
        let open = Open { id, forwarded: Arc::new(forwarded), client, reply, sends: 0, deadline, timer };
        self.open.insert(request, open);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        self.event(Event::RequestArrived { request, class, tenant, time_left, cost });
    }

    /// Ends a request whose client has gone.
    fn client_left(&mut self, request: RequestId) {
        self.close(request);
        self.leave(request);
    }

    /// Tells the module that a request is over without it, and ends what is out for it.
    fn leave(&mut self, request: RequestId) {
        self.event(Event::RequestAbandoned(request));
        self.give_up_all(request);
    }

    fn give_up_all(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, sent) in self.sent.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            sent.give_up = None;
        }
    }

    /// Takes a request off the books.
    fn close(&mut self, request: RequestId) -> Option<Open> {
        let open = self.open.remove(&request)?;
        self.timers.remove(&open.timer);
        self.ids.remove(&open.id);
        Some(open)
    }

    /// Answers a request, if it is still owed one.
    fn finish(&mut self, request: RequestId, response: FinalResponse) -> bool {
        let Some(open) = self.close(request) else { return false };
        // The client may have gone in this very moment.
        open.reply.send(response).is_ok()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(sent) = self.sent.get_mut(&(request, attempt)) {
                    sent.give_up = None;
                }
            }
            Action::Refuse { request, retry_after } => {
                self.finish(request, FinalResponse::Refused(retry_after));
            }
            Action::Fail(request) => {
                self.finish(request, FinalResponse::Failed);
            }
            Action::Probe(upstream) => self.probe(upstream),
            Action::SetTimer { at, token } => {
                let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::Wake(token));
            }
            // A call that is made until it is answered needs no other beside it, which might hang and be given up.
            Action::Subscribe if self.moving => {}
            Action::Subscribe => self.watch(false),
            Action::Log(text) => log::line(text),
        }
    }

    // --- Attempts ----------------------------------------------------------------------------

    fn send(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let now = Instant::now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = AttemptNo(open.sends);
        open.sends += 1;
        let timeout = Duration::try_from_secs_f64(timeout / 1e3).unwrap_or_default();
        let deadline = match now.checked_add(timeout) {
            Some(deadline) if !timeout.is_zero() => deadline.min(open.deadline),
            _ => open.deadline,
        };
        let incarnation = self.upstreams.get(upstream).map_or(0, |server| server.incarnation);
        let in_flight = InFlightAttempt { request, attempt, upstream, incarnation, deadline };
        self.sent.insert((request, attempt), Sent { in_flight, at: now, give_up: None });
        self.start(in_flight);
    }

    /// Gets a connection for an attempt: an idle one, or a new one.
    fn start(&mut self, in_flight: InFlightAttempt) {
        let limit = self.idle_limit();
        let Some(server) = self.upstreams.get_mut(in_flight.upstream) else {
            return self.end_later(in_flight, Outcome::NotSent);
        };
        if let Some(connection) = server.pool.take(limit) {
            return self.write(in_flight, connection);
        }
        let address = server.address;
        // Out of sockets of our own: no fault of the upstream's.
        let Some(permit) = self.permit() else { return self.end_later(in_flight, Outcome::NotSent) };
        let (give_up, given_up) = oneshot::channel();
        if let Some(sent) = self.sent.get_mut(&(in_flight.request, in_flight.attempt)) {
            sent.give_up = Some(give_up);
        }
        let by = Instant::now() + Duration::from_secs_f64(self.settings.connect_timeout_ms() / 1e3);
        let (events, descriptors) = (self.events.clone(), self.descriptors.clone());
        tokio::spawn(async move {
            let result = tokio::select! {
                result = Connection::open(address, by.min(in_flight.deadline), permit, &descriptors) => result,
                _ = given_up => Err(ConnectError::Cancelled),
            };
            let _ = events.send(DriverEvent::ConnectFinished(in_flight, result.map(Box::new)));
        });
    }

    /// The right to one more connection; an idle one is closed for it if need be.
    fn permit(&mut self) -> Option<OwnedSemaphorePermit> {
        while self.descriptors.is_over_limit(1) && self.close_oldest() {}
        self.descriptors.try_acquire()
    }

    /// Closes the connection that is longest idle. Whether there was one.
    fn close_oldest(&mut self) -> bool {
        let pools = self.upstreams.pools().filter(|pool| pool.oldest_idle_since().is_some());
        let Some(pool) = pools.min_by_key(|pool| pool.oldest_idle_since()) else { return false };
        pool.close_oldest();
        true
    }

    fn connected(&mut self, in_flight: InFlightAttempt, connection: Result<Box<Connection>, ConnectError>) {
        let key = (in_flight.request, in_flight.attempt);
        let given_up = self.sent.get(&key).is_none_or(|sent| sent.give_up.is_none());
        let connection = match connection {
            Ok(connection) => *connection,
            Err(ConnectError::Failed(reason)) if !given_up => {
                let host = self.upstreams.get(in_flight.upstream).map_or("?", |server| &server.host);
                log::line(format!("upstream {host}: {reason}"));
                return self.ended(in_flight, AttemptResult::Outcome(Outcome::Unreachable, None));
            }
            Err(_) => return self.ended(in_flight, AttemptResult::Outcome(Outcome::NotSent, None)),
        };
        // While it connected, its time may have run out, the request may have ended or the upstream may have
        // begun to drain or to live anew: what is not written yet must not be.
        let open = self.open.contains_key(&in_flight.request) && !given_up;
        let in_time = Instant::now() < in_flight.deadline;
        let wanted = self.upstreams.get(in_flight.upstream).is_some_and(|server| {
            server.incarnation == in_flight.incarnation && server.listing.lifecycle == Lifecycle::Serving
        });
        if open && wanted && in_time {
            return self.write(in_flight, connection);
        }
        self.put_back(in_flight.upstream, in_flight.incarnation, connection);
        let outcome = if open { Outcome::Unreachable } else { Outcome::NotSent };
        self.ended(in_flight, AttemptResult::Outcome(outcome, None));
    }

    /// Writes an attempt to a connection.
    fn write(&mut self, in_flight: InFlightAttempt, connection: Connection) {
        let key = (in_flight.request, in_flight.attempt);
        let Some(open) = self.open.get(&in_flight.request) else {
            self.put_back(in_flight.upstream, in_flight.incarnation, connection);
            return self.end_later(in_flight, Outcome::NotSent);
        };
        let address = self.upstreams.get(in_flight.upstream).map(|server| server.address);
        let left = in_flight.deadline.saturating_duration_since(connection.reusable_at().max(Instant::now()));
        let request = outgoing(&open.forwarded, address, left);
        let body_len = open.forwarded.body.len();
        let (give_up, given_up) = oneshot::channel();
        if let Some(sent) = self.sent.get_mut(&key) {
            sent.give_up = Some(give_up);
        }
        let (client, events) = (open.client.clone(), self.events.clone());
        tokio::spawn(run_attempt(connection, request, body_len, client, in_flight, given_up, events));
    }

    /// Ends an attempt that never began, after the actions at hand.
    fn end_later(&self, in_flight: InFlightAttempt, outcome: Outcome) {
        let _ = self
            .events
            .send(DriverEvent::AttemptEnded { in_flight, result: AttemptResult::Outcome(outcome, None) });
    }

    fn ended(&mut self, in_flight: InFlightAttempt, result: AttemptResult) {
        let key = (in_flight.request, in_flight.attempt);
        let (outcome, response) = match result {
            AttemptResult::Outcome(outcome, response) => (outcome, response),
            // Nothing was written: the same attempt goes on over another connection, if it still may.
            AttemptResult::StaleConnection => {
                let wanted = self.sent.get(&key).is_some_and(|sent| sent.give_up.is_some());
                if wanted && Instant::now() < in_flight.deadline {
                    return self.start(in_flight);
                }
                (Outcome::Unreachable, None)
            }
            // Its connection tells the same, if later.
            AttemptResult::ClientDisconnected => {
                self.client_left(in_flight.request);
                (Outcome::NotSent, None)
            }
        };
        let Some(sent) = self.sent.remove(&key) else { return };
        let latency = sent.at.elapsed().as_secs_f64() * 1e3;
        let report = response.as_ref().and_then(|response| {
            let text =
                response.headers.get("x-server-load").filter(|_| self.settings.reports_in_responses())?;
            report_from_text(&self.columns, text.to_str().ok()?)
        });
        // The first answer goes to the client by itself and ends the request; so does one that finds fault
        // with the request itself, which other upstreams would find as well.
        let mut closed = !self.open.contains_key(&in_flight.request);
        match (outcome, response) {
            (Outcome::Ok, Some(response)) => {
                self.finish(
                    in_flight.request,
                    FinalResponse::Served(client_headers(&response.headers), response.body),
                );
                closed = true;
            }
            (Outcome::Cancelled, Some(response)) => {
                self.finish(in_flight.request, FinalResponse::Rejected(response.status));
                closed = true;
            }
            _ => {}
        }
        self.event(Event::AttemptFinished(AttemptFinished {
            request: in_flight.request,
            attempt: in_flight.attempt,
            upstream: in_flight.upstream,
            outcome,
            latency,
            request_completed: closed,
            report,
        }));
    }

    fn put_back(&mut self, upstream: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(server) = self.upstreams.get_mut(upstream) else { return };
        if server.incarnation == incarnation
            && server.listing.lifecycle == Lifecycle::Serving
            && connection.is_usable()
        {
            server.pool.put(connection);
        }
    }

    fn probe(&mut self, upstream: UpstreamId) {
        let limit = self.idle_limit();
        let now = Instant::now();
        let nothing = DriverEvent::ProbeFinished { upstream, response: None };
        let Some(server) = self.upstreams.get_mut(upstream) else {
            let _ = self.events.send(nothing);
            return;
        };
        let (address, incarnation) = (server.address, server.incarnation);
        let source = match server.pool.take(limit) {
            Some(connection) => ProbeConnection::Idle(Box::new(connection)),
            None => match self.permit() {
                Some(permit) => {
                    let by = now + Duration::from_secs_f64(self.settings.connect_timeout_ms() / 1e3);
                    ProbeConnection::Connect(address, by, permit, self.descriptors.clone())
                }
                None => {
                    let _ = self.events.send(nothing);
                    return;
                }
            },
        };
        let path = if self.columns.is_empty() { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        tokio::spawn(run_probe(
            source,
            request,
            upstream,
            incarnation,
            now + self.probe_time,
            self.events.clone(),
        ));
    }

    // --- The list ----------------------------------------------------------------------------

    fn listed(&mut self, list: &HostList, restored: bool) {
        self.seq = list.seq;
        self.moving = false;
        let whole = list.whole || restored;
        let now = self.millis(Instant::now());
        let listings = self.upstreams.apply_list(list, whole, &self.settings, now);
        self.frontend.ready.fetch_or(!listings.is_empty() || (whole && !restored), Ordering::Relaxed);
        self.event(Event::DiscoveryUpdated(match (restored, whole) {
            (true, _) => DiscoveryUpdate::Restored(listings),
            (false, true) => DiscoveryUpdate::Snapshot(listings),
            (false, false) => DiscoveryUpdate::Delta(listings),
        }));
    }
}

/// The request as it goes to an upstream, which has so much time left for it when it is written.
fn outgoing(
    forwarded: &ForwardedRequest,
    address: Option<SocketAddr>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.target.clone();
    let mut headers = forwarded.headers.clone();
    // The application's own Host goes on with its other headers; HTTP/1.1 wants one in any case.
    let host = address.filter(|_| !headers.contains_key(header::HOST));
    if let Some(host) = host.and_then(|address| HeaderValue::from_str(&address.to_string()).ok()) {
        headers.insert(header::HOST, host);
    }
    let left = left.as_millis().max(1) as u64;
    headers.insert("x-timeout-ms", HeaderValue::from(left));
    if forwarded.method != Method::GET || !forwarded.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forwarded.body.len()));
    }
    *request.headers_mut() = headers;
    request
}

/// An upstream's headers as they go on to the client.
fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    kept.remove("x-server-load");
    kept
}
