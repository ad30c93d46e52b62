//! The discovery watch: a streaming HTTP call that delivers snapshots and deltas of the host list to the driver.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::descriptors::Descriptors;
use super::driver::DriverEvent;
use super::host_list::HostList;
use super::log;

/// A watch on which no object starts or ends and no empty line arrives for this long is dead: discovery sends an empty
/// line every 2 s. Updates must be applied within 6 s: that leaves time for a second watch that delivers nothing at all
/// and for unanswered calls before and after it.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time in which a call that the decision module requests must be answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait after a watch that delivered updates or ended with an idle timeout. It doubles, up to the backoff cap,
/// for each further watch that fails before it delivers an update.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Backoff cap as a fraction of the drain grace: once discovery is reachable again, a drain that it announces must be
/// known well before the grace ends.
const BACKOFF_CAP_PER_DRAIN_GRACE: f64 = 0.25;
/// Lower bound of the backoff cap; limits the cost of retries.
const MIN_BACKOFF_CAP: Duration = Duration::from_millis(50);
/// Upper bound of the backoff cap; leaves time for several calls within 6 s.
const MAX_BACKOFF_CAP: Duration = Duration::from_millis(500);
/// Maximum number of concurrent calls that have not been answered. One more cancels the oldest, or the second oldest
/// while the oldest is within [`CALL_TIMEOUT`]. So a call can be answered even if discovery needs longer for it than
/// the interval between calls.
const MAX_PENDING_CALLS: usize = 8;
/// Delay before a snapshot with invalid entries is requested again.
const INVALID_ENTRY_REFETCH_DELAY: Duration = Duration::from_millis(2_000);
/// Maximum size of a JSON object in the stream, enough for thousands of hosts. Bounds the memory that an unterminated
/// object takes.
const MAX_OBJECT_BYTES: usize = 2 << 20;

/// Splits a byte stream into JSON objects, regardless of chunk and line boundaries.
#[derive(Default)]
struct JsonFramer {
    /// Bytes received so far of an incomplete object.
    partial_object: BytesMut,
    /// Number of braces that are open.
    depth: usize,
    /// Whether the next byte belongs to a string.
    in_string: bool,
    /// Whether the next byte is escaped by a backslash.
    escaped: bool,
    /// Whether a line has ended outside any object since the caller last reset this.
    line_ended: bool,
}

impl JsonFramer {
    /// Consumes a chunk up to the end of the first object in it. Returns that object, if it is complete, and the number
    /// of bytes consumed.
    fn push(&mut self, chunk: &[u8]) -> Result<(Option<BytesMut>, usize)> {
        for (index, byte) in chunk.iter().enumerate() {
            if self.depth == 0 {
                match byte {
                    b'{' => {}
                    b'\n' => self.line_ended = true,
                    _ if byte.is_ascii_whitespace() => {}
                    _ => bail!("unexpected data outside a JSON object"),
                }
            }
            self.track_nesting(*byte);
            if self.depth > 0 || *byte == b'}' {
                self.partial_object.put_u8(*byte);
            }
            if self.partial_object.len() > MAX_OBJECT_BYTES {
                bail!("a JSON object is longer than {MAX_OBJECT_BYTES} bytes");
            }
            if self.depth == 0 && !self.partial_object.is_empty() {
                return Ok((Some(self.partial_object.split()), index + 1));
            }
        }
        Ok((None, chunk.len()))
    }

    /// Updates `depth`, ignoring braces in strings.
    fn track_nesting(&mut self, byte: u8) {
        match (self.in_string, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') if self.depth > 0 => self.in_string = !self.in_string,
            (false, b'{') => self.depth += 1,
            (false, b'}') => self.depth -= 1,
            _ => {}
        }
    }

    /// Whether an object is incomplete.
    fn in_object(&self) -> bool {
        self.depth > 0
    }
}

/// Parameters and state of the watch.
pub struct Watch {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Identifies the watch: events of an earlier one that are still queued are ignored.
    pub id: u64,
    /// Version of the list that the sidecar has; 0 requests a snapshot.
    pub list_version: u64,
    /// Sends events to the driver.
    pub event_sender: mpsc::UnboundedSender<DriverEvent>,
    /// How long requests may still be sent to a server after it has been listed as draining.
    pub drain_grace: Duration,
    /// Random numbers for the jitter of retries.
    pub rng: Rand64,
    /// Opens the connections of calls; learns of calls that find no free file descriptor.
    pub descriptors: Arc<Descriptors>,
}

/// An open watch; dropping it closes the connection.
struct OpenWatch {
    body: Incoming,
    /// The task that runs the connection.
    _connection: AbortOnDrop,
}

/// Why a watch ended.
enum WatchEnd {
    /// No object started or ended and no empty line arrived within [`WATCH_IDLE_TIMEOUT`].
    IdleTimeout,
    /// Any other reason.
    Other(anyhow::Error),
}

impl<E: Into<anyhow::Error>> From<E> for WatchEnd {
    fn from(error: E) -> WatchEnd {
        WatchEnd::Other(error.into())
    }
}

impl std::fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchEnd::IdleTimeout => write!(f, "no data on the watch for {WATCH_IDLE_TIMEOUT:?}"),
            WatchEnd::Other(error) => write!(f, "{error:#}"),
        }
    }
}

impl Watch {
    /// Watches and reconnects until the task is aborted, for settings under which discovery pushes updates.
    pub async fn run_forever(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let version_before = self.list_version;
            let watch = self.connect_with_retries().await;
            let Err(end) = self.forward_updates(watch).await;
            log::line(format!("discovery: {end}; reconnecting"));
            // Backs off from a discovery that fails before it delivers an update. An idle timeout needs no further
            // backoff.
            let idle_timeout = matches!(end, WatchEnd::IdleTimeout);
            backoff = if self.list_version == version_before && !idle_timeout {
                (backoff * 2).min(self.backoff_cap())
            } else {
                INITIAL_BACKOFF
            };
            sleep(self.jittered(backoff)).await;
        }
    }

    /// Watches once, for settings under which the decision module requests watches, and sends the driver
    /// [`DriverEvent::DiscoveryFailed`] at the end. Reconnects by itself only after an idle timeout. With
    /// `retry_until_answered`, as after a reload of the configuration, the first call is retried as well.
    pub async fn run_once(mut self, retry_until_answered: bool) {
        let mut opened = if retry_until_answered {
            Ok(self.connect_with_retries().await)
        } else {
            self.connect_with_timeout().await
        };
        let end = loop {
            match opened {
                Ok(watch) => match self.forward_updates(watch).await {
                    Err(WatchEnd::IdleTimeout) => {
                        log::line(format!("discovery: {}; reconnecting", WatchEnd::IdleTimeout));
                        opened = Ok(self.connect_with_retries().await);
                    }
                    Err(end) => break end,
                },
                Err(end) => break end,
            }
        };
        log::line(format!("discovery: {end}"));
        let _ = self
            .event_sender
            .send(DriverEvent::DiscoveryFailed { watch_id: self.id, list_version: self.list_version });
    }

    /// The longest wait between two calls while discovery does not answer.
    fn backoff_cap(&self) -> Duration {
        self.drain_grace.mul_f64(BACKOFF_CAP_PER_DRAIN_GRACE).clamp(MIN_BACKOFF_CAP, MAX_BACKOFF_CAP)
    }

    /// Full jitter: a random wait between zero and `longest`, so that sidecars that lose discovery at the same time do
    /// not reconnect at the same time.
    fn jittered(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.rng.rand_float())
    }

    /// Opens a watch with concurrent calls: starts another one after each jittered wait until one is answered.
    async fn connect_with_retries(&mut self) -> OpenWatch {
        let mut calls = JoinSet::new();
        let mut pending = VecDeque::new();
        let mut error_logged = false;
        loop {
            let call = request_watch(self.address, self.list_version, self.descriptors.clone());
            pending.push_back((Instant::now(), calls.spawn(call)));
            if pending.len() > MAX_PENDING_CALLS {
                let oldest_within_timeout =
                    pending.front().is_some_and(|(started, _)| started.elapsed() < CALL_TIMEOUT);
                if let Some((_, call)) = pending.remove(usize::from(oldest_within_timeout)) {
                    call.abort();
                }
            }
            let longest = self.backoff_cap();
            let next_call = sleep(self.jittered(longest));
            tokio::pin!(next_call);
            loop {
                tokio::select! {
                    Some(finished) = calls.join_next() => match finished {
                        Ok(Ok(watch)) => return watch,
                        Ok(Err(error)) if !std::mem::replace(&mut error_logged, true) => {
                            log::line(format!("discovery: {error:#}; retrying"));
                        }
                        Ok(Err(_)) | Err(_) => {}
                    },
                    () = &mut next_call => break,
                }
            }
        }
    }

    /// Opens a watch with one call.
    async fn connect_with_timeout(&self) -> Result<OpenWatch, WatchEnd> {
        Ok(timeout(CALL_TIMEOUT, request_watch(self.address, self.list_version, self.descriptors.clone()))
            .await
            .context("a call was not answered in time")??)
    }

    /// Forwards updates to the driver until the watch ends.
    async fn forward_updates(&mut self, mut watch: OpenWatch) -> Result<std::convert::Infallible, WatchEnd> {
        let mut framer = JsonFramer::default();
        let mut idle_deadline = Instant::now() + WATCH_IDLE_TIMEOUT;
        let mut refetch_deadline: Option<Instant> = None;
        loop {
            let deadline = refetch_deadline
                .map_or(idle_deadline, |refetch_deadline| refetch_deadline.min(idle_deadline));
            let frame = timeout_at(deadline, watch.body.frame()).await;
            let received = match frame {
                Err(_) if deadline < idle_deadline => {
                    Err(anyhow!("requesting a snapshot because of invalid entries").into())
                }
                Err(_) => Err(WatchEnd::IdleTimeout),
                Ok(None) => Err(anyhow!("the watch was closed").into()),
                Ok(Some(Err(error))) => Err(error.into()),
                Ok(Some(Ok(frame))) => Ok(frame),
            };
            let frame = match received {
                Ok(frame) => frame,
                Err(end) => {
                    // Later deltas do not repeat an update that was lost or invalid, so request a snapshot.
                    if framer.in_object() || refetch_deadline.is_some() {
                        self.list_version = 0;
                    }
                    return Err(end);
                }
            };
            let Ok(chunk) = frame.into_data() else { continue };
            let was_in_object = framer.in_object();
            let mut object_completed = false;
            let mut rest = &chunk[..];
            while !rest.is_empty() {
                let forwarded = framer.push(rest).and_then(|(object, consumed)| {
                    rest = &rest[consumed..];
                    let refetch_at = object.map(|object| self.forward_object(&object)).transpose()?;
                    object_completed |= refetch_at.is_some();
                    Ok(refetch_at.flatten())
                });
                match forwarded {
                    Ok(refetch_at) => refetch_deadline = refetch_at.or(refetch_deadline),
                    Err(error) => {
                        // Request a snapshot, since later deltas do not repeat this update.
                        self.list_version = 0;
                        return Err(error.into());
                    }
                }
            }
            // Further parts of an object and spaces do not extend the deadline: they could continue indefinitely.
            let line_ended = std::mem::take(&mut framer.line_ended) && !framer.in_object();
            let object_started = framer.in_object() && !was_in_object;
            if object_completed || object_started || line_ended {
                idle_deadline = Instant::now() + WATCH_IDLE_TIMEOUT;
            }
        }
    }

    /// Decodes an object and forwards it to the driver. If it has invalid entries, returns when to request a snapshot.
    fn forward_object(&mut self, object: &[u8]) -> Result<Option<Instant>> {
        let list: HostList = serde_json::from_slice(object).context("a JSON object cannot be read")?;
        if !list.is_snapshot && list.version < self.list_version {
            bail!("received a delta of version {} after version {}", list.version, self.list_version);
        }
        self.list_version = list.version;
        let (is_snapshot, has_invalid_entries) = (list.is_snapshot, list.hosts.has_invalid());
        let event = DriverEvent::HostListReceived { watch_id: self.id, list };
        self.event_sender.send(event).ok().context("the driver has stopped")?;
        match (has_invalid_entries, is_snapshot) {
            (false, _) => Ok(None),
            // The next snapshot may have the same invalid entries.
            (true, true) => Ok(Some(Instant::now() + INVALID_ENTRY_REFETCH_DELAY)),
            (true, false) => Ok(Some(Instant::now())),
        }
    }
}

/// Opens a watch that starts after a version of the list; version 0 requests a snapshot.
async fn request_watch(
    address: SocketAddr,
    list_version: u64,
    descriptors: Arc<Descriptors>,
) -> Result<OpenWatch> {
    let stream = descriptors.connect(address, &mut false).await.context("cannot connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(format!("/discovery/hosts?watch=1&from={list_version}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        bail!("unexpected response status {}", response.status());
    }
    Ok(OpenWatch { body: response.into_body(), _connection: connection })
}

/// A task that is aborted when this is dropped.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_discovery.rs"]
mod tests;
