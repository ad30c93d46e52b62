//! The client side: the listener, the connections of clients, their requests and the responses.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use sagemast::api::*;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{Id, JoinSet};
use tokio::time::{Instant, sleep, timeout_at};

use super::body::{BodyError, body_capacity, discard_body, read_body};
use super::client_stream::{ClientStream, DisconnectDetector};
use super::descriptors::{Descriptors, is_out_of_descriptors};
use super::driver::DriverEvent;
use super::log;
use super::memory_budget::{MemoryBudget, header_map_bytes};
use super::request_head::{NameTable, RequestError, RequestHead, parse_head};

/// Length of the accept queue, in which clients wait while the sidecar starts or is busy.
const LISTEN_BACKLOG: u32 = 4096;
/// Limit on the read buffer of a connection, and thereby on the size of a request head.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// A connection on which no complete request head arrives for this long is closed, since clients keep idle connections
/// open indefinitely. One without any request must be closed within 3 s, a used one not before it was idle for 2 s.
const HEADER_READ_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The header read timeout of connections that are accepted in [`ShutdownPhase::Closing`].
const CLOSING_HEADER_READ_TIMEOUT: Duration = Duration::from_millis(150);
/// How long after its head a request body must be complete. For the first request on a connection the time counts
/// from the accept.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection is not evicted before it has been idle for this long: its last response may still be on the way to
/// the client, or its first request on the way to the sidecar.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// The part of the connection limit that is kept free for new clients while evicted connections close.
const EVICTION_HEADROOM: usize = 8;
/// The delay after a failed accept. Without it, accepting in a busy loop while out of descriptors would starve the
/// tasks that could free some.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Header maps of an open request: the one that is forwarded, and a copy for an attempt.
const HEADER_MAPS: usize = 2;
/// The id that the decision module uses for the first request.
const FIRST_REQUEST_ID: u64 = 2;

/// The phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal operation.
    Serving,
    /// After SIGTERM: clients are still accepted, but every response closes its connection.
    Draining,
    /// No new clients are expected, but any that still connect are served until no connection is open.
    Closing,
}

/// State shared by the client connections and the driver. The driver alone owns the state of requests and upstreams.
pub struct Frontend {
    /// The class and tenant names that requests may carry.
    pub names: NameTable,
    /// Whether `/up` returns 200.
    pub ready: AtomicBool,
    /// The current phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
    /// Sends events to the driver.
    pub event_sender: mpsc::UnboundedSender<DriverEvent>,
    /// The memory of requests.
    memory: Arc<MemoryBudget>,
    /// The next id for the decision module. The values of X-Request-ID that clients choose need not be unique.
    next_request_id: AtomicU64,
}

/// The parts of a client request that are forwarded to upstreams.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
}

/// A complete client request, as handed to the driver.
pub struct ClientRequest {
    /// The id under which the decision module knows it.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The value of its X-Request-ID header.
    pub x_request_id: Box<str>,
    /// When its last byte was read.
    pub received_at: Instant,
    /// How long the client waits, counted from `received_at`.
    pub time_left: Duration,
    /// The client's estimate of the work from X-Cost, comparable only within the class.
    pub cost: Option<f64>,
    /// The parts that are forwarded to upstreams.
    pub forwarded: ForwardedRequest,
    /// Detects whether the client has disconnected; can be upgraded until the request has its response.
    pub client: Weak<DisconnectDetector>,
    /// Sends the final response to the client connection.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// The final response to a client request.
#[derive(Debug)]
pub enum FinalResponse {
    /// Headers and body of an upstream's response.
    Served(HeaderMap, Bytes),
    /// The client may safely retry the request, preferably after this delay.
    Refused(Millis),
    /// The request failed and may have run.
    Failed,
    /// The request itself is invalid: this status is returned to the client.
    Rejected(StatusCode),
}

impl Frontend {
    /// Creates a frontend that is not ready yet.
    pub fn new(
        names: NameTable,
        phase: watch::Receiver<ShutdownPhase>,
        event_sender: mpsc::UnboundedSender<DriverEvent>,
        memory: Arc<MemoryBudget>,
    ) -> Frontend {
        Frontend {
            names,
            memory,
            ready: AtomicBool::new(false),
            phase,
            event_sender,
            next_request_id: AtomicU64::new(FIRST_REQUEST_ID),
        }
    }
}

/// Listens on an address. SO_REUSEADDR allows a restart while connections of a killed process linger.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot listen on {address}"))?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}

/// The state of a client connection that its task shares with the accept loop. A request is open from the time it has
/// been read completely until its response is ready.
struct ConnectionState {
    /// When its last request ended, or when it was accepted, in milliseconds since the epoch of its
    /// [`ConnectionTable`]; [`NOT_IDLE`] while a request is open.
    idle_since_ms: AtomicU64,
    /// Tells the connection to close once it has no open request.
    evict: Notify,
}

/// The value of [`ConnectionState::idle_since_ms`] while a request is open.
const NOT_IDLE: u64 = u64::MAX;

/// The open connections that have not been told to close.
struct ConnectionTable {
    /// The origin of [`ConnectionState::idle_since_ms`].
    epoch: Instant,
    /// The states of the connections, by the task that serves the connection.
    by_task: HashMap<Id, Arc<ConnectionState>>,
}

impl ConnectionTable {
    /// The time since the epoch.
    fn elapsed_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Evicts the connection that has been idle longest. Connections with an open request are never evicted, since
    /// the sidecar cannot tell which of its clients are honest. Returns whether there was one to evict.
    fn evict_longest_idle(&mut self) -> bool {
        let latest_idle_since = self.elapsed_ms().saturating_sub(MIN_IDLE_BEFORE_EVICTION.as_millis() as u64);
        let candidates =
            self.by_task.iter().map(|(id, state)| (state.idle_since_ms.load(Ordering::Relaxed), *id));
        let longest_idle = candidates
            .filter(|(idle_since, _)| *idle_since <= latest_idle_since)
            .min_by_key(|(idle_since, _)| *idle_since);
        let Some(state) = longest_idle.and_then(|(_, id)| self.by_task.remove(&id)) else { return false };
        state.evict.notify_one();
        true
    }

    /// Evicts idle connections until `target` are left, or until none may be evicted.
    fn evict_down_to(&mut self, target: usize) {
        while self.by_task.len() > target && self.evict_longest_idle() {}
    }
}

/// Accepts clients until the shutdown ends: in [`ShutdownPhase::Closing`], once no connection is open and none waits
/// in the accept queue. Idle connections are evicted to keep room for new clients below the connection limit.
pub async fn serve(listener: TcpListener, frontend: Arc<Frontend>, descriptors: Arc<Descriptors>) {
    let mut phase = frontend.phase.clone();
    let mut table = ConnectionTable { epoch: Instant::now(), by_task: HashMap::new() };
    let mut tasks = JoinSet::new();
    loop {
        let closing = *phase.borrow_and_update() == ShutdownPhase::Closing;
        let below_limit = tasks.len() < descriptors.connections_per_side();
        tokio::select! {
            biased;
            Some(ended) = tasks.join_next_with_id() => remove_ended(&mut table, ended),
            () = descriptors.exhausted() =>
                lower_connection_limit(&descriptors, &frontend, tasks.len(), &mut table),
            accepted = listener.accept(), if below_limit => match accepted {
                Ok((stream, _)) => {
                    let idle_since_ms = AtomicU64::new(table.elapsed_ms());
                    let state = Arc::new(ConnectionState { idle_since_ms, evict: Notify::new() });
                    let (frontend, task_state, epoch) = (frontend.clone(), state.clone(), table.epoch);
                    let task = tasks
                        .spawn(async move { serve_connection(stream, &frontend, &task_state, epoch).await });
                    table.by_task.insert(task.id(), state);
                    table.evict_down_to(eviction_target(descriptors.connections_per_side()));
                }
                Err(error) => {
                    log::line(format!("cannot accept a client: {error}"));
                    if is_out_of_descriptors(&error) {
                        // The limit is lowered before the backoff: it is computed from the number of clients, and
                        // some may disconnect meanwhile.
                        lower_connection_limit(&descriptors, &frontend, tasks.len(), &mut table);
                    } else {
                        table.evict_longest_idle();
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            // At the limit, every connection is in use or already being evicted: try again later.
            () = sleep(ACCEPT_BACKOFF), if !below_limit =>
                table.evict_down_to(eviction_target(descriptors.connections_per_side())),
            () = std::future::ready(()), if closing && tasks.is_empty() => return,
            changed = phase.changed(), if !closing => if changed.is_err() { return },
        }
    }
}

/// Lowers the connection limit after an operation found no free descriptor while `client_count` clients were
/// connected, and evicts the connections above it.
fn lower_connection_limit(
    descriptors: &Descriptors,
    frontend: &Frontend,
    client_count: usize,
    table: &mut ConnectionTable,
) {
    if descriptors.lower_limit(client_count) {
        let limit = descriptors.connections_per_side();
        log::line(format!("out of descriptors: connections on each side are now limited to {limit}"));
        let _ = frontend.event_sender.send(DriverEvent::ConnectionLimitLowered);
    }
    table.evict_down_to(eviction_target(descriptors.connections_per_side()));
}

/// The number of connections down to which idle ones are evicted: the limit less [`EVICTION_HEADROOM`], or half of
/// a low limit.
fn eviction_target(connection_limit: usize) -> usize {
    connection_limit.saturating_sub(EVICTION_HEADROOM).max(connection_limit / 2).max(1)
}

/// Removes a connection whose task has ended, normally or by a panic. Other connections are not affected.
fn remove_ended(table: &mut ConnectionTable, ended: Result<(Id, ()), tokio::task::JoinError>) {
    let id = match ended {
        Ok((id, ())) => id,
        Err(error) => error.id(),
    };
    table.by_task.remove(&id);
}

/// Serves one client connection until it is closed. `epoch` is that of the [`ConnectionTable`].
async fn serve_connection(
    stream: TcpStream,
    frontend: &Arc<Frontend>,
    state: &ConnectionState,
    epoch: Instant,
) {
    let _ = stream.set_nodelay(true);
    let mut phase = frontend.phase.clone();
    let initial_phase = *phase.borrow_and_update();
    let has_received_request = AtomicBool::new(false);
    let first_body_deadline = Instant::now() + BODY_READ_TIMEOUT;
    let (stream, detector) = ClientStream::new(stream, frontend.memory.empty_charge());
    let service = service_fn(|request| {
        let is_first = !has_received_request.swap(true, Ordering::Relaxed);
        let (frontend, detector) = (frontend.clone(), detector.clone());
        async move {
            let body_deadline =
                if is_first { first_body_deadline } else { Instant::now() + BODY_READ_TIMEOUT };
            let mut response = handle_request(request, &frontend, state, detector, body_deadline).await;
            state.idle_since_ms.store(epoch.elapsed().as_millis() as u64, Ordering::Relaxed);
            // The unread rest of a rejected request must not be parsed as another request.
            if response.status().is_client_error() || *frontend.phase.borrow() > ShutdownPhase::Serving {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(if initial_phase == ShutdownPhase::Closing {
            CLOSING_HEADER_READ_TIMEOUT
        } else {
            HEADER_READ_TIMEOUT
        })
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Evaluated each time this task is polled: a request may start while the select waits.
    let has_open_request = || state.idle_since_ms.load(Ordering::Relaxed) == NOT_IDLE;
    loop {
        tokio::select! {
            // Input is read before the phase is checked: a request that waits in the socket when its idle
            // connection is closed would have to be sent again.
            biased;
            // Errors here are disconnects and malformed requests; hyper has answered the latter if it could.
            _ = connection.as_mut() => return,
            // Dropping the connection drops its open request, which cancels the attempts in flight.
            () = poll_fn(|cx| {
                if has_open_request() { detector.poll_disconnected(cx) } else { Poll::Pending }
            }) => return,
            changed = phase.changed() => {
                let new_phase = *phase.borrow_and_update();
                // While draining, a connection without a request so far stays open for its first one. All others
                // are closed as soon as they have no open request.
                if changed.is_err()
                    || new_phase == ShutdownPhase::Closing
                    || has_received_request.load(Ordering::Relaxed)
                {
                    connection.as_mut().graceful_shutdown();
                }
                if changed.is_err() {
                    let _ = connection.as_mut().await;
                    return;
                }
            }
            () = state.evict.notified() => {
                // A request may have arrived since this connection was chosen: it is answered first.
                if !has_open_request() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Notifies the driver when it is dropped before the response, that is, when the client has disconnected.
struct DisconnectNotifier<'a> {
    request: RequestId,
    frontend: &'a Frontend,
    responded: bool,
}

impl Drop for DisconnectNotifier<'_> {
    fn drop(&mut self) {
        if !self.responded {
            let _ = self.frontend.event_sender.send(DriverEvent::ClientDisconnected(self.request));
        }
    }
}

/// Answers a request: the readiness check and invalid requests itself, all others with the final response from the
/// driver.
async fn handle_request(
    request: Request<Incoming>,
    frontend: &Frontend,
    state: &ConnectionState,
    detector: DisconnectDetector,
    body_deadline: Instant,
) -> Response<Full<Bytes>> {
    if request.uri().path() == "/up" {
        let ready = frontend.ready.load(Ordering::Relaxed);
        return match (request.method() == Method::GET, ready) {
            (false, _) => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            (true, true) => text_response(StatusCode::OK, "up"),
            (true, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
        };
    }
    let RequestHead { class, tenant, time_left, cost, x_request_id } =
        match parse_head(&request, &frontend.names) {
            Ok(head) => head,
            Err(RequestError { status, reason }) => return text_response(status, reason),
        };
    let (parts, body) = request.into_parts();
    let body = match timeout_at(body_deadline, receive_body(&parts.headers, body, &frontend.memory)).await {
        Ok(Ok(Some(body))) => body,
        Ok(Ok(None)) => return refusal(0.0),
        Ok(Err(BodyError::TooLong)) => {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Ok(Err(BodyError::Incomplete)) => {
            return text_response(StatusCode::BAD_REQUEST, "the body is broken");
        }
        Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
    };
    let received_at = Instant::now();
    state.idle_since_ms.store(NOT_IDLE, Ordering::Relaxed);
    // A request target in absolute form is reduced to path and query.
    let target = parts.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let request = RequestId(frontend.next_request_id.fetch_add(1, Ordering::Relaxed));
    let (response_sender, response_receiver) = oneshot::channel();
    let headers = end_to_end_headers(&parts.headers);
    drop(parts.headers);
    let forwarded = ForwardedRequest { method: parts.method, target, headers, body };
    // Dropped with this future, when the client has its response or has disconnected.
    let detector = Arc::new(detector);
    let client = Arc::downgrade(&detector);
    let client_request = ClientRequest {
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
    };
    let mut disconnect_notifier = DisconnectNotifier { request, frontend, responded: false };
    let _ = frontend.event_sender.send(DriverEvent::RequestArrived(Box::new(client_request)));
    let response = response_receiver.await;
    disconnect_notifier.responded = true;
    match response {
        Ok(FinalResponse::Served(headers, body)) => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        Ok(FinalResponse::Refused(retry_after)) => refusal(retry_after),
        Ok(FinalResponse::Rejected(status)) => text_response(status, "the request cannot be served"),
        Ok(FinalResponse::Failed) | Err(_) => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Reads the body of a request into memory that is charged together with the head. `None` if the budget has no room:
/// then the body is read without keeping it, since it must not be parsed as another request.
async fn receive_body(
    head: &HeaderMap,
    body: Incoming,
    memory: &Arc<MemoryBudget>,
) -> Result<Option<Bytes>, BodyError> {
    let head_bytes = HEADER_MAPS * header_map_bytes(head);
    match memory.try_charge(head_bytes + body_capacity(&body)) {
        Some(charge) => read_body(body, charge, head_bytes).await.map(Some),
        None => discard_body(body).await.map(|()| None),
    }
}

/// The response that refuses a request: the client may retry it, preferably after this delay.
fn refusal(retry_after: Millis) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
    if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Copies the end-to-end headers, leaving out hop-by-hop headers and those of message framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const DROPPED_HEADERS: [HeaderName; 9] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut end_to_end = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = DROPPED_HEADERS.contains(name) || name == "keep-alive";
        if !is_dropped && !connection_options.iter().any(|option| option == name.as_str()) {
            end_to_end.append(name, value.clone());
        }
    }
    end_to_end
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
