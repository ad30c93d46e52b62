//! Connections to upstreams. Each carries one exchange at a time: an attempt or a probe.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use sagemast::api::*;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::body::{BodyError, MAX_BODY_BYTES, body_capacity, read_body};
use super::client_stream::DisconnectDetector;
use super::descriptors::Descriptors;
use super::driver::{DriverEvent, InFlightAttempt};
use super::log;
use super::memory_budget::{MemoryBudget, header_map_bytes};
use super::upstream_stream::{ExchangeProgress, UpstreamStream};

/// Limit on the size of a response head; hyper also reads bodies through a buffer of this size.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// The interval at which a response that has started is checked for new bytes. It is short because responses are small
/// and upstreams complete them before they send them.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// The number of intervals in a row without a new byte after which a response counts as stalled.
const INTERVALS_BEFORE_STALL: u32 = 2;
/// How long a connection carries no other request after a response. An upstream may send a second, unsolicited response
/// shortly after the first; it would be taken for the response to the next request. The wait costs less than opening
/// another connection.
const QUARANTINE_AFTER_RESPONSE: Duration = Duration::from_millis(15);
/// How long a connection may take to become ready for the next request after a response was read.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// The length of the line end in HTTP/1.1.
const CRLF_BYTES: usize = 2;
/// The length of the ": " between the name and the value of a header.
const HEADER_SEPARATOR_BYTES: usize = 2;
/// The `request_end` of an exchange whose errors need not tell whether the request was written completely.
const REQUEST_END_UNUSED: u64 = 0;

/// An open connection. Dropping it closes the socket soon after; [`Connection::close`] waits until it is closed.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that runs the connection.
    task: JoinHandle<()>,
    progress: Arc<ExchangeProgress>,
    /// The memory of responses.
    memory: Arc<MemoryBudget>,
    /// Whether the connection has carried a request before.
    pub used: bool,
    /// When the last exchange ended, or when the connection was opened.
    pub idle_since: Instant,
    /// Counts the connection against the limit while it is open.
    _permit: OwnedSemaphorePermit,
}

/// What is needed to open a connection.
pub struct Connect {
    /// The address of the upstream.
    pub address: SocketAddr,
    /// When connecting fails.
    pub deadline: Instant,
    /// Counts the connection against the limit.
    pub permit: OwnedSemaphorePermit,
    /// The limit on connections.
    pub descriptors: Arc<Descriptors>,
    /// The memory of the responses that are read from the connection.
    pub memory: Arc<MemoryBudget>,
}

impl Connect {
    /// Opens the connection.
    pub async fn open(self) -> Result<Connection, ConnectError> {
        let Connect { address, deadline, permit, descriptors, memory } = self;
        let mut exhausted = false;
        let stream = match timeout_at(deadline, descriptors.connect(address, &mut exhausted)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectError::Failed(format!("cannot connect: {error}"))),
            Err(_) if exhausted => return Err(ConnectError::OutOfDescriptors),
            Err(_) => return Err(ConnectError::Failed("connect timed out".to_owned())),
        };
        // Nagle's algorithm may delay small requests.
        stream.set_nodelay(true).map_err(|error| ConnectError::Failed(error.to_string()))?;
        let (stream, progress) = UpstreamStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Failed(error.to_string()))?;
        let task = tokio::spawn(async move {
            // Errors are reported by the exchange that fails.
            let _ = connection.await;
        });
        let idle_since = Instant::now();
        Ok(Connection { sender, task, progress, memory, used: false, idle_since, _permit: permit })
    }
}

impl Connection {
    /// Whether the connection is open and free, as far as is known on this side.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// The earliest time at which the next request may be written.
    pub fn reusable_at(&self) -> Instant {
        if self.used { self.idle_since + QUARANTINE_AFTER_RESPONSE } else { self.idle_since }
    }

    /// Closes the connection and waits until the socket is closed.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the connection is free for the next request. `None` if the upstream closes it or on a timeout.
    async fn wait_until_ready(mut self) -> Option<Connection> {
        timeout(READY_TIMEOUT, self.sender.ready()).await.ok()?.ok()?;
        self.used = true;
        self.idle_since = Instant::now();
        Some(self)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why no connection was opened.
pub enum ConnectError {
    /// Connecting failed for the reason given.
    Failed(String),
    /// This process had no free file descriptor; the upstream is not at fault.
    OutOfDescriptors,
    /// The attempt was cancelled while connecting.
    Cancelled,
}

/// A complete response from an upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why an exchange returned no response.
enum ExchangeError {
    /// The client disconnected before anything was written.
    ClientDisconnected,
    /// The connection broke before the request was written completely: the request has not run.
    RequestIncomplete,
    /// The connection broke after the request was written: the request may have run.
    ConnectionLost,
    /// The response is invalid for the reason given; the request may have run.
    InvalidResponse(&'static str),
}

/// The minimum number of bytes of a request in HTTP/1.1. If fewer were written, the request is incomplete.
fn min_request_bytes(request: &Request<Full<Bytes>>, body_len: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + HEADER_SEPARATOR_BYTES + value.len() + CRLF_BYTES)
        .sum();
    (request_line + headers + CRLF_BYTES + body_len) as u64
}

/// Returns why the body of a response must not be read: its end is ambiguous, or it is too long.
///
/// Without a length and chunks the body lasts until the upstream closes the connection. [`read_body`] then reports a
/// reset, which would leave it incomplete, as an error.
fn framing_error(head: &hyper::http::response::Parts) -> Option<&'static str> {
    let headers = &head.headers;
    let length = headers.get(header::CONTENT_LENGTH);
    match (head.status, length, headers.contains_key(header::TRANSFER_ENCODING)) {
        (StatusCode::SWITCHING_PROTOCOLS, ..) => Some("response switches protocols"),
        (_, Some(_), true) => Some("response has both Content-Length and Transfer-Encoding"),
        (_, None, true) if !is_supported_transfer_encoding(headers) => {
            Some("response has an unsupported Transfer-Encoding")
        }
        (_, Some(length), false)
            if length.to_str().ok().and_then(|text| text.parse().ok()) > Some(MAX_BODY_BYTES) =>
        {
            Some("response body is too long")
        }
        _ => None,
    }
}

/// Whether the body can be decoded: hyper decodes chunks only, and the client does not see the Transfer-Encoding of an
/// upstream.
fn is_supported_transfer_encoding(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return false };
    let coding = value.as_bytes().trim_ascii();
    coding.eq_ignore_ascii_case(b"chunked") || coding.eq_ignore_ascii_case(b"identity")
}

/// Sends a request and reads the complete response. Waits first until the connection may be reused, and sends nothing
/// unless `client_connected` returns true then. `request_end` is the number of bytes written on the connection at which
/// the request is complete.
async fn exchange(
    connection: &mut Connection,
    mut request: Request<Full<Bytes>>,
    request_end: u64,
    client_connected: impl FnOnce() -> bool,
) -> Result<UpstreamResponse, ExchangeError> {
    let reusable_at = connection.reusable_at();
    if reusable_at > Instant::now() {
        sleep_until(reusable_at).await;
    }
    if !client_connected() {
        return Err(ExchangeError::ClientDisconnected);
    }
    let Connection { sender, progress, memory, .. } = connection;
    let connection_error = || {
        if progress.bytes_written() < request_end {
            ExchangeError::RequestIncomplete
        } else {
            ExchangeError::ConnectionLost
        }
    };
    let informational_progress = progress.clone();
    hyper::ext::on_informational(&mut request, move |_| informational_progress.mark_response_pending());
    let response = sender.send_request(request).await.map_err(|_| connection_error())?;
    progress.mark_response_started();
    let (head, body): (_, hyper::body::Incoming) = Response::into_parts(response);
    if let Some(reason) = framing_error(&head) {
        return Err(ExchangeError::InvalidResponse(reason));
    }
    let head_bytes = header_map_bytes(&head.headers);
    let response_bytes = head_bytes + body_capacity(&body);
    // Without room the body stays unread in the socket until other responses have been written to their clients.
    progress.set_waiting_for_memory(true);
    let charge = memory.charge(response_bytes).await;
    progress.set_waiting_for_memory(false);
    match read_body(body, charge, head_bytes).await {
        Ok(body) => {
            progress.mark_response_complete();
            Ok(UpstreamResponse { status: head.status, headers: head.headers, body })
        }
        Err(BodyError::TooLong) => Err(ExchangeError::InvalidResponse("response body is too long")),
        Err(BodyError::Incomplete) => Err(connection_error()),
    }
}

/// Returns once a response has started and then stalled.
async fn wait_for_stall(progress: &ExchangeProgress) {
    loop {
        progress.response_started().await;
        let mut idle_intervals = 0;
        let mut last_read = progress.bytes_read();
        while idle_intervals < INTERVALS_BEFORE_STALL {
            sleep(STALL_CHECK_INTERVAL).await;
            let read = progress.bytes_read();
            let idle = read == last_read && !progress.is_waiting_for_memory();
            (idle_intervals, last_read) = if idle { (idle_intervals + 1, last_read) } else { (0, read) };
        }
        // What was read may have been an informational response, complete by now.
        if progress.is_reading_response() {
            return;
        }
    }
}

/// The outcome of an attempt that received this response.
fn outcome_of(response: &UpstreamResponse) -> Outcome {
    let not_processed = response.headers.get("x-not-processed").is_some_and(|value| value == "1");
    match response.status {
        StatusCode::OK => Outcome::Ok,
        // Without the header the request may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::Rejected,
        // Caused by the sidecar's request rate or by the upstream's own timeout, not by the request itself.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Outcome::Error,
        // An error of the client: other upstreams would respond alike, and it must not count against this one. The
        // module draws no conclusion from a cancelled attempt.
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

/// How an attempt ended on its connection.
pub enum AttemptResult {
    /// The attempt is over: its outcome, with the response if one was read.
    Outcome(Outcome, Option<UpstreamResponse>),
    /// The idle connection had been closed and no byte was written: the attempt may use another connection.
    StaleConnection,
    /// The client disconnected before a byte was written.
    ClientDisconnected,
}

/// Runs one attempt over a connection until it ends, times out, or the sender of `cancelled` is dropped or used. Then
/// sends the driver [`DriverEvent::AttemptFinished`].
pub async fn run_attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    body_len: usize,
    client: Weak<DisconnectDetector>,
    in_flight: InFlightAttempt,
    cancelled: oneshot::Receiver<()>,
    event_sender: mpsc::UnboundedSender<DriverEvent>,
) {
    let progress = connection.progress.clone();
    let written_before = progress.bytes_written();
    let request_end = written_before + min_request_bytes(&request, body_len);
    let (result, reusable) = {
        let used = connection.used;
        let client_connected = || client.upgrade().is_some_and(|client| !client.is_disconnected());
        let exchange = exchange(&mut connection, request, request_end, client_connected);
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok(response) => (AttemptResult::Outcome(outcome_of(&response), Some(response)), true),
                Err(ExchangeError::ClientDisconnected) => (AttemptResult::ClientDisconnected, false),
                Err(ExchangeError::RequestIncomplete) if used && progress.bytes_written() == written_before => {
                    (AttemptResult::StaleConnection, false)
                }
                Err(ExchangeError::RequestIncomplete) => {
                    (AttemptResult::Outcome(Outcome::Unreachable, None), false)
                }
                Err(ExchangeError::ConnectionLost) => (AttemptResult::Outcome(Outcome::Reset, None), false),
                Err(ExchangeError::InvalidResponse(reason)) => {
                    log::line(format!("upstream id {}: {reason}", in_flight.upstream.0));
                    (AttemptResult::Outcome(Outcome::Error, None), false)
                }
            },
            () = wait_for_stall(&progress) => {
                log::line(format!("upstream id {}: response stalled", in_flight.upstream.0));
                (AttemptResult::Outcome(Outcome::Error, None), false)
            }
            _ = cancelled => (AttemptResult::Outcome(Outcome::Cancelled, None), false),
            () = sleep_until(in_flight.deadline) => (AttemptResult::Outcome(Outcome::TimedOut, None), false),
        }
    };
    if matches!(result, AttemptResult::ClientDisconnected) {
        let _ = event_sender.send(DriverEvent::AttemptFinished { in_flight, result });
        // Nothing was written, so the connection can be reused as it is.
        return return_connection(Some(connection), in_flight.upstream, in_flight.incarnation, &event_sender);
    }
    if reusable {
        let _ = event_sender.send(DriverEvent::AttemptFinished { in_flight, result });
        return_connection(
            connection.wait_until_ready().await,
            in_flight.upstream,
            in_flight.incarnation,
            &event_sender,
        );
        return;
    }
    // The connection is closed before the end is reported: no other attempt may start while this one can still run.
    connection.close().await;
    let result = match result {
        // The request was not written completely, so it has not run.
        AttemptResult::Outcome(Outcome::TimedOut, None) if progress.bytes_written() < request_end => {
            AttemptResult::Outcome(Outcome::Unreachable, None)
        }
        result => result,
    };
    let _ = event_sender.send(DriverEvent::AttemptFinished { in_flight, result });
}

/// Probes an upstream over an idle or a new connection and sends the driver [`DriverEvent::ProbeFinished`].
pub async fn run_probe(
    source: ProbeConnection,
    request: Request<Full<Bytes>>,
    upstream: UpstreamId,
    incarnation: u64,
    deadline: Instant,
    event_sender: mpsc::UnboundedSender<DriverEvent>,
) {
    let opened = match source {
        ProbeConnection::Idle(connection) => Ok(*connection),
        ProbeConnection::New(connect) => connect.open().await,
    };
    let mut response = None;
    if let Ok(mut connection) = opened {
        let result =
            timeout_at(deadline, exchange(&mut connection, request, REQUEST_END_UNUSED, || true)).await;
        if let Ok(Ok(received)) = result {
            response = Some(received);
            let _ = event_sender.send(DriverEvent::ProbeFinished { upstream, response });
            return return_connection(
                connection.wait_until_ready().await,
                upstream,
                incarnation,
                &event_sender,
            );
        }
        connection.close().await;
    }
    let _ = event_sender.send(DriverEvent::ProbeFinished { upstream, response });
}

/// Returns a connection to the driver, unless it was closed.
fn return_connection(
    connection: Option<Connection>,
    upstream: UpstreamId,
    incarnation: u64,
    event_sender: &mpsc::UnboundedSender<DriverEvent>,
) {
    if let Some(connection) = connection {
        let _ = event_sender.send(DriverEvent::ConnectionReturned {
            upstream,
            incarnation,
            connection: Box::new(connection),
        });
    }
}

/// The connection that a probe uses.
pub enum ProbeConnection {
    /// An idle connection of the pool.
    Idle(Box<Connection>),
    /// A new connection.
    New(Connect),
}

/// The idle connections to one upstream, in the order in which they were returned.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Vec<Connection>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that may be reused now, so that surplus connections reach the idle
    /// timeout. If there is none, takes the connection that may be reused first.
    pub fn take(&mut self, idle_timeout: Duration) -> Option<Connection> {
        self.close_expired(idle_timeout);
        let now = Instant::now();
        let index = self.idle.iter().rposition(|connection| connection.reusable_at() <= now).unwrap_or(0);
        (index < self.idle.len()).then(|| self.idle.remove(index))
    }

    /// Returns a connection to the pool.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes connections that the upstream has closed or that have been idle for `idle_timeout`.
    pub fn close_expired(&mut self, idle_timeout: Duration) {
        self.idle
            .retain(|connection| connection.is_usable() && connection.idle_since.elapsed() < idle_timeout);
    }

    /// When the connection that has been idle longest became idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Closes the connection that has been idle longest.
    pub fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_upstream_connection.rs"]
mod tests;
