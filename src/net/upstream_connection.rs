//! Connections to upstreams, and the one exchange at a time that each carries: attempts and probes.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use sagemast::api::*;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::client_stream::DisconnectDetector;
use super::descriptors::Descriptors;
use super::driver::{DriverEvent, InFlightAttempt};
use super::log;
use super::upstream_stream::{ExchangeProgress, UpstreamStream};

/// Limit on the size of request and response bodies.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// Once an answer has begun, its bytes follow each other: it is small and made before it is sent. When none has
/// come in two such spans in a row, what is missing is not on its way.
const STALL: Duration = Duration::from_millis(15);
/// A connection carries no other request so soon after an answer: a server may send a second one some milliseconds
/// behind it, and what comes once the next request has begun would be taken for that one's. 4 ms is the longest
/// seen; the way between zones makes it longer. To wait so long costs less than to open another.
const QUIET: Duration = Duration::from_millis(15);
/// How long a connection may take to become ready for the next request once an answer was read.
const SETTLE: Duration = Duration::from_millis(100);

/// An open connection. It is closed when this is dropped; [`Connection::close`] waits until it is.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    progress: Arc<ExchangeProgress>,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Since when it has carried nothing.
    pub idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Opens a connection before `deadline`.
    pub async fn open(
        address: SocketAddr,
        deadline: Instant,
        permit: OwnedSemaphorePermit,
        descriptors: &Descriptors,
    ) -> Result<Connection, ConnectError> {
        let mut exhausted = false;
        let stream = match timeout_at(deadline, descriptors.connect(address, &mut exhausted)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectError::Failed(format!("cannot connect: {error}"))),
            Err(_) if exhausted => return Err(ConnectError::OutOfDescriptors),
            Err(_) => return Err(ConnectError::Failed("connecting took too long".to_owned())),
        };
        // Without it the kernel may hold back a small request.
        stream.set_nodelay(true).map_err(|error| ConnectError::Failed(error.to_string()))?;
        let (stream, progress) = UpstreamStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Failed(error.to_string()))?;
        let task = tokio::spawn(async move {
            // How an exchange failed shows at the exchange.
            let _ = connection.await;
        });
        Ok(Connection { sender, task, progress, used: false, idle_since: Instant::now(), _permit: permit })
    }

    /// Whether it can take a request now, as far as this side knows.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// The earliest time at which the next request may be written to it.
    pub fn reusable_at(&self) -> Instant {
        if self.used { self.idle_since + QUIET } else { self.idle_since }
    }

    /// Closes it; when this returns, the socket is closed.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the next request can be sent. `None` if the upstream closes it.
    async fn settle(mut self) -> Option<Connection> {
        timeout(SETTLE, self.sender.ready()).await.ok()?.ok()?;
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
    /// This process had no free file descriptor: not a fault of the upstream.
    OutOfDescriptors,
    /// The attempt was given up while connecting.
    Cancelled,
}

/// A complete response of an upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no answer.
enum Broken {
    /// Nothing was written, since nobody waits for the answer.
    Unwanted,
    /// The request's last byte was never written: it has not run.
    Unsent,
    /// It may have run.
    Cut,
    /// An answer came that cannot be taken for one; the request may have run.
    Unfit(&'static str),
}

/// The bytes that a request takes on the wire at least. Fewer written mean that its last byte was not.
fn least_size(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + 2 + value.len() + 2).sum();
    (line + headers + 2 + body) as u64
}

/// Tells from its head that an answer cannot be read whole, or that two readers would differ on where it ends.
fn unfit(head: &hyper::http::response::Parts) -> Option<&'static str> {
    let headers = &head.headers;
    let length = headers.get(header::CONTENT_LENGTH);
    match (head.status, length, headers.contains_key(header::TRANSFER_ENCODING)) {
        (StatusCode::SWITCHING_PROTOCOLS, ..) => Some("an answer that leaves HTTP"),
        (_, Some(_), true) => Some("an answer with two framings"),
        // It ends with the connection: nothing tells a whole one from one that broke off.
        (StatusCode::OK, None, false) => Some("an answer of no stated length"),
        (_, Some(length), false)
            if length.to_str().ok().and_then(|l| l.parse().ok()) > Some(MAX_BODY_BYTES) =>
        {
            Some("an answer that is too long")
        }
        _ => None,
    }
}

/// Sends a request once the connection is quiet, if it is still `wanted` then, and reads its answer whole.
async fn exchange(
    connection: &mut Connection,
    mut request: Request<Full<Bytes>>,
    complete_at: u64,
    wanted: impl FnOnce() -> bool,
) -> Result<UpstreamResponse, Broken> {
    let reusable_at = connection.reusable_at();
    if reusable_at > Instant::now() {
        sleep_until(reusable_at).await;
    }
    if !wanted() {
        return Err(Broken::Unwanted);
    }
    let Connection { sender, progress, .. } = connection;
    let broken = || if progress.bytes_written() < complete_at { Broken::Unsent } else { Broken::Cut };
    let notices = progress.clone();
    hyper::ext::on_informational(&mut request, move |_| notices.mark_response_pending());
    let response = sender.send_request(request).await.map_err(|_| broken())?;
    progress.mark_response_started();
    let (head, body): (_, hyper::body::Incoming) = Response::into_parts(response);
    if let Some(reason) = unfit(&head) {
        return Err(Broken::Unfit(reason));
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            progress.mark_response_complete();
            Ok(UpstreamResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
        }
        Err(error) if error.is::<LengthLimitError>() => Err(Broken::Unfit("an answer that is too long")),
        Err(_) => Err(broken()),
    }
}

/// Comes back when an answer that has begun comes no further.
async fn stalled(progress: &ExchangeProgress) {
    loop {
        progress.response_started().await;
        let mut still = 0;
        let mut read = progress.bytes_read();
        while still < 2 {
            sleep(STALL).await;
            let now = progress.bytes_read();
            (still, read) = if now == read { (still + 1, read) } else { (0, now) };
        }
        // A notice ahead of the answer may have ended meanwhile.
        if progress.is_reading_response() {
            return;
        }
    }
}

/// What an answer means for the attempt.
fn outcome_of(response: &UpstreamResponse) -> Outcome {
    let not_run = response.headers.get("x-not-processed").is_some_and(|value| value == "1");
    match response.status {
        StatusCode::OK => Outcome::Ok,
        // Without the mark nothing says that it never ran.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Rejected,
        // About this sidecar's pace or the upstream's patience, not about the request.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Outcome::Error,
        // The client's fault: it must not count against the upstream, and another would say the same. What ends
        // so tells the module nothing.
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

/// The result of an attempt.
pub enum AttemptResult {
    /// It ended with this outcome, and with a response if one was read.
    Outcome(Outcome, Option<UpstreamResponse>),
    /// The idle connection had been closed and no byte was written: the attempt may use another connection.
    StaleConnection,
    /// The client disconnected before a byte was written.
    ClientDisconnected,
}

/// Carries out one attempt over a connection until it ends or times out, or until `give_up` is dropped or used.
pub async fn run_attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    body_len: usize,
    client: Weak<DisconnectDetector>,
    in_flight: InFlightAttempt,
    give_up: oneshot::Receiver<()>,
    events: mpsc::UnboundedSender<DriverEvent>,
) {
    let progress = connection.progress.clone();
    let before = progress.bytes_written();
    let complete_at = before + least_size(&request, body_len);
    let (result, keep) = {
        let used = connection.used;
        let wanted = || client.upgrade().is_some_and(|client| !client.is_disconnected());
        let exchange = exchange(&mut connection, request, complete_at, wanted);
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok(response) => (AttemptResult::Outcome(outcome_of(&response), Some(response)), true),
                Err(Broken::Unwanted) => (AttemptResult::ClientDisconnected, false),
                Err(Broken::Unsent) if used && progress.bytes_written() == before =>
                    (AttemptResult::StaleConnection, false),
                Err(Broken::Unsent) => (AttemptResult::Outcome(Outcome::Unreachable, None), false),
                Err(Broken::Cut) => (AttemptResult::Outcome(Outcome::Reset, None), false),
                Err(Broken::Unfit(reason)) => {
                    log::line(format!("upstream {}: {reason}", in_flight.upstream.0));
                    (AttemptResult::Outcome(Outcome::Error, None), false)
                }
            },
            () = stalled(&progress) => {
                log::line(format!("upstream {}: an answer that does not end", in_flight.upstream.0));
                (AttemptResult::Outcome(Outcome::Error, None), false)
            }
            _ = give_up => (AttemptResult::Outcome(Outcome::Cancelled, None), false),
            () = sleep_until(in_flight.deadline) => (AttemptResult::Outcome(Outcome::TimedOut, None), false),
        }
    };
    if matches!(result, AttemptResult::ClientDisconnected) {
        let _ = events.send(DriverEvent::AttemptEnded { in_flight, result });
        // As it was before: it has carried nothing.
        return give_back(Some(connection), in_flight.upstream, in_flight.incarnation, &events);
    }
    if keep {
        let _ = events.send(DriverEvent::AttemptEnded { in_flight, result });
        give_back(connection.settle().await, in_flight.upstream, in_flight.incarnation, &events);
        return;
    }
    // Closed before the driver hears of it: the next attempt must not go out while this one may still run.
    connection.close().await;
    let result = match result {
        // The last byte was never written and now never will be.
        AttemptResult::Outcome(Outcome::TimedOut, None) if progress.bytes_written() < complete_at => {
            AttemptResult::Outcome(Outcome::Unreachable, None)
        }
        result => result,
    };
    let _ = events.send(DriverEvent::AttemptEnded { in_flight, result });
}

/// Probes an upstream over an idle or a new connection.
pub async fn run_probe(
    source: ProbeConnection,
    request: Request<Full<Bytes>>,
    upstream: UpstreamId,
    incarnation: u64,
    deadline: Instant,
    events: mpsc::UnboundedSender<DriverEvent>,
) {
    let opened = match source {
        ProbeConnection::Idle(connection) => Ok(*connection),
        ProbeConnection::Connect(address, by, permit, descriptors) => {
            Connection::open(address, by.min(deadline), permit, &descriptors).await
        }
    };
    let mut response = None;
    if let Ok(mut connection) = opened {
        let result = timeout_at(deadline, exchange(&mut connection, request, 0, || true)).await;
        if let Ok(Ok(got)) = result {
            response = Some(got);
            let _ = events.send(DriverEvent::ProbeFinished { upstream, response });
            return give_back(connection.settle().await, upstream, incarnation, &events);
        }
        connection.close().await;
    }
    let _ = events.send(DriverEvent::ProbeFinished { upstream, response });
}

fn give_back(
    connection: Option<Connection>,
    upstream: UpstreamId,
    incarnation: u64,
    events: &mpsc::UnboundedSender<DriverEvent>,
) {
    if let Some(connection) = connection {
        let _ = events.send(DriverEvent::ConnectionReturned {
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
    /// A new connection to this address, to be opened by this time.
    Connect(SocketAddr, Instant, OwnedSemaphorePermit, Arc<Descriptors>),
}

/// The idle connections to one upstream, in the order in which they were returned.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Vec<Connection>,
}

impl ConnectionPool {
    /// Takes the one used last of those that have been quiet for long enough, so that the others can grow old and
    /// close; else the one that will be first.
    pub fn take(&mut self, idle_limit: Duration) -> Option<Connection> {
        self.close_expired(idle_limit);
        let now = Instant::now();
        let at = self.idle.iter().rposition(|connection| connection.reusable_at() <= now).unwrap_or(0);
        (at < self.idle.len()).then(|| self.idle.remove(at))
    }

    /// Takes one back.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes connections that the upstream has closed or that have been idle for `idle_limit`.
    pub fn close_expired(&mut self, idle_limit: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_limit);
    }

    /// Since when the longest idle connection has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Closes the longest idle connection.
    pub fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
