//! The discovery watch: reads the list of upstreams and its changes, and tells the driver.

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
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::descriptors::Descriptors;
use super::driver::DriverEvent;
use super::log;

/// An empty line comes every 2 s; when neither one nor an object has come whole for this long, the watch is dead.
/// What it misses counts as told 6 s after it fell silent: that leaves time for one more watch that falls silent
/// at once, and for calls that hang before and after it.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A call that the module asks for must be answered in this time.
const CALL: Duration = Duration::from_millis(2_500);
/// The first wait after a watch has ended. It doubles while nothing is told, up to the pace.
const BACK_OFF: Duration = Duration::from_millis(50);
/// While calls hang another is made beside them at this pace, as what discovery gets when it returns counts at
/// once: well within the time in which sends must stop. Each wait is drawn from nothing up to the pace (full
/// jitter): the watches of a whole fleet end in one moment, and must not come back in one.
const PACE_SHARE: f64 = 0.25;
/// The pace is no faster, so that trying costs little, and no slower, so that some tries fit into 6 s.
const PACE: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(500)];
/// So many calls may hang at a time. The oldest makes room for the next, but no sooner than a call may take: a
/// discovery that is slower than a few of these waits must be heard as well.
const HANGING: usize = 8;
/// A whole list with an entry that cannot be read is fetched again after this long, as it may stay so.
const FETCH_AGAIN: Duration = Duration::from_millis(2_000);
/// The longest object: thousands of hosts. One that never ends must not fill the memory.
const OBJECT_BYTES: usize = 2 << 20;

/// A list, or what changed in it, in discovery's form.
#[derive(Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// Whether it is complete.
    #[serde(default)]
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<HostEntry>,
}

/// An entry of a host list. Each is decoded by itself, so that an invalid one does not affect the others.
#[derive(Deserialize)]
#[serde(from = "serde_json::Value")]
pub enum HostEntry {
    /// A valid entry.
    Decoded(Host),
    /// An entry that cannot be decoded.
    Invalid {
        /// Its host, as far as that can be read.
        host: Option<String>,
        /// Why.
        error: String,
    },
}

impl From<serde_json::Value> for HostEntry {
    fn from(entry: serde_json::Value) -> HostEntry {
        match read(&entry) {
            Ok(host) => HostEntry::Decoded(host),
            Err(error) => {
                let host = entry.get("host").and_then(serde_json::Value::as_str).map(str::to_owned);
                HostEntry::Invalid { host, error: error.to_string() }
            }
        }
    }
}

/// An upstream as discovery tells it.
#[derive(Deserialize, Clone)]
pub struct Host {
    /// Its name, the same at every sidecar.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u64,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size compared with others.
    #[serde(default = "one")]
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Whether an upstream takes new work.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

impl HostList {
    /// The valid entries; the others are logged.
    pub fn valid_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter_map(|entry| match entry {
            HostEntry::Decoded(host) => Some(host),
            HostEntry::Invalid { error, .. } => {
                log::line(format!("discovery: an entry cannot be read: {error}"));
                None
            }
        })
    }

    /// Whether an entry could not be decoded.
    pub fn has_invalid_entries(&self) -> bool {
        self.hosts.iter().any(|entry| matches!(entry, HostEntry::Invalid { .. }))
    }

    /// The names of the hosts whose entries are invalid, as far as they can be read.
    pub fn invalid_host_names(&self) -> impl Iterator<Item = &str> {
        self.hosts.iter().filter_map(|entry| match entry {
            HostEntry::Invalid { host, .. } => host.as_deref(),
            HostEntry::Decoded(_) => None,
        })
    }
}

/// Reads one entry.
fn read(entry: &serde_json::Value) -> Result<Host> {
    let host = Host::deserialize(entry)?;
    if !host.share.is_finite() || !host.born_ms.is_finite() {
        bail!("absurd figures for {}", host.host);
    }
    Ok(host)
}

/// Cuts a stream into the JSON objects in it, however it is chunked and wherever its lines end.
#[derive(Default)]
struct Objects {
    /// What has come of the object that has begun.
    begun: BytesMut,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether a line has ended outside of any object since this was last asked.
    line_ended: bool,
}

impl Objects {
    /// Takes in a chunk, up to the end of the first object in it; that object if it ends, and how much was taken.
    fn push(&mut self, chunk: &[u8]) -> Result<(Option<BytesMut>, usize)> {
        for (at, byte) in chunk.iter().enumerate() {
            if self.depth == 0 {
                match byte {
                    b'{' => {}
                    b'\n' => self.line_ended = true,
                    _ if byte.is_ascii_whitespace() => {}
                    _ => bail!("what it says is no object"),
                }
            }
            self.step(*byte);
            if self.depth > 0 || *byte == b'}' {
                self.begun.put_u8(*byte);
            }
            if self.begun.len() > OBJECT_BYTES {
                bail!("an object is longer than {OBJECT_BYTES} bytes");
            }
            if self.depth == 0 && !self.begun.is_empty() {
                return Ok((Some(self.begun.split()), at + 1));
            }
        }
        Ok((None, chunk.len()))
    }

    /// Follows braces, but for those in strings.
    fn step(&mut self, byte: u8) {
        match (self.in_string, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') if self.depth > 0 => self.in_string = !self.in_string,
            (false, b'{') => self.depth += 1,
            (false, b'}') => self.depth -= 1,
            _ => {}
        }
    }

    /// Whether an object has begun and not ended.
    fn inside(&self) -> bool {
        self.depth > 0
    }
}

/// Where watches start from and what they tell.
pub struct Watch {
    /// Discovery's address.
    pub address: SocketAddr,
    /// Identifies the watch: events of an earlier one that are still queued are ignored.
    pub id: u64,
    /// The version that the sidecar has.
    pub seq: u64,
    /// Events for the driver.
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// How long sends may go on to a server once it is told that it drains.
    pub drain_grace: Duration,
    /// Spreads its calls.
    pub rng: Rand64,
    /// Calls take theirs from there.
    pub descriptors: Arc<Descriptors>,
}

/// A watch that is open; it is closed when this is dropped.
struct Opened {
    body: Incoming,
    _connection: AbortOnDrop,
}

/// How a watch ended.
enum End {
    /// It broke without a sign.
    Silent,
    /// In any other way.
    Other(anyhow::Error),
}

impl<E: Into<anyhow::Error>> From<E> for End {
    fn from(error: E) -> End {
        End::Other(error.into())
    }
}

impl std::fmt::Display for End {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            End::Silent => write!(f, "the watch fell silent"),
            End::Other(error) => write!(f, "{error:#}"),
        }
    }
}

impl Watch {
    /// Watches until it is aborted, for settings under which updates are pushed.
    pub async fn run_forever(mut self) {
        let mut wait = BACK_OFF;
        loop {
            let before = self.seq;
            let opened = self.open().await;
            let Err(end) = self.follow(opened).await;
            log::line(format!("discovery: {end}; watching again"));
            // A watch that told something was in order; others back off, so as not to storm a discovery in need.
            // One that fell silent has taken its time already.
            let silent = matches!(end, End::Silent);
            wait = if self.seq == before && !silent { (wait * 2).min(self.pace()) } else { BACK_OFF };
            sleep(self.jittered(wait)).await;
        }
    }

    /// Watches once, for settings under which the module asks; the driver is told when the watch ends.
    /// A watch that falls silent is opened again. With `moved`, as after discovery has moved, calls are repeated
    /// until one is answered.
    pub async fn run_once(mut self, moved: bool) {
        let mut opened = if moved { Ok(self.open().await) } else { self.call_in_time().await };
        let end = loop {
            match opened {
                Ok(open) => match self.follow(open).await {
                    Err(End::Silent) => {
                        log::line(format!("discovery: {}; watching again", End::Silent));
                        opened = Ok(self.open().await);
                    }
                    Err(end) => break end,
                },
                Err(end) => break end,
            }
        };
        log::line(format!("discovery: {end}"));
        let _ = self.events.send(DriverEvent::DiscoveryFailed { watch_id: self.id, seq: self.seq });
    }

    /// How often discovery is tried at least while it does not answer.
    fn pace(&self) -> Duration {
        self.drain_grace.mul_f64(PACE_SHARE).clamp(PACE[0], PACE[1])
    }

    /// A wait drawn from nothing up to this one.
    fn jittered(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.rng.rand_float())
    }

    /// Opens a watch, whatever it takes.
    async fn open(&mut self) -> Opened {
        let mut calls = JoinSet::new();
        let mut hanging = VecDeque::new();
        let mut logged = false;
        loop {
            let this = call(self.address, self.seq, self.descriptors.clone());
            hanging.push_back((Instant::now(), calls.spawn(this)));
            if hanging.len() > HANGING {
                let young = hanging.front().is_some_and(|(since, _)| since.elapsed() < CALL);
                if let Some((_, given_up)) = hanging.remove(usize::from(young)) {
                    given_up.abort();
                }
            }
            let longest = self.pace();
            let next = sleep(self.jittered(longest));
            tokio::pin!(next);
            loop {
                tokio::select! {
                    Some(called) = calls.join_next() => match called {
                        Ok(Ok(opened)) => return opened,
                        Ok(Err(error)) if !std::mem::replace(&mut logged, true) => {
                            log::line(format!("discovery: {error:#}; calling again"));
                        }
                        Ok(Err(_)) | Err(_) => {}
                    },
                    () = &mut next => break,
                }
            }
        }
    }

    async fn call_in_time(&self) -> Result<Opened, End> {
        Ok(timeout(CALL, call(self.address, self.seq, self.descriptors.clone()))
            .await
            .context("no answer in time")??)
    }

    /// Tells what a watch says until it ends.
    async fn follow(&mut self, mut opened: Opened) -> Result<std::convert::Infallible, End> {
        let mut objects = Objects::default();
        let mut by = Instant::now() + SILENCE;
        let mut fetch_by: Option<Instant> = None;
        loop {
            let until = fetch_by.map_or(by, |fetch_by| fetch_by.min(by));
            let frame = timeout_at(until, opened.body.frame()).await;
            let broken = match frame {
                Err(_) if until < by => Err(anyhow!("something was missed").into()),
                Err(_) => Err(End::Silent),
                Ok(None) => Err(anyhow!("the watch ended").into()),
                Ok(Some(Err(error))) => Err(error.into()),
                Ok(Some(Ok(frame))) => Ok(frame),
            };
            let frame = match broken {
                Ok(frame) => frame,
                Err(end) => {
                    // What was missed is in no change that is told later: only the whole list can make up for it.
                    if objects.inside() || fetch_by.is_some() {
                        self.seq = 0;
                    }
                    return Err(end);
                }
            };
            let Ok(chunk) = frame.into_data() else { continue };
            let was_inside = objects.inside();
            let mut told = false;
            let mut rest = &chunk[..];
            while !rest.is_empty() {
                let pushed = objects.push(rest).and_then(|(object, taken)| {
                    rest = &rest[taken..];
                    let again = object.map(|object| self.tell(&object)).transpose()?;
                    told |= again.is_some();
                    Ok(again.flatten())
                });
                match pushed {
                    Ok(again) => fetch_by = again.or(fetch_by),
                    Err(error) => {
                        self.seq = 0;
                        return Err(error.into());
                    }
                }
            }
            // Part of an object is no sign of life, nor is space in no line: they may go on for ever.
            let line_ended = std::mem::take(&mut objects.line_ended) && !objects.inside();
            let begun = objects.inside() && !was_inside;
            if told || begun || line_ended {
                by = Instant::now() + SILENCE;
            }
        }
    }

    /// Tells the driver. When something in it could not be read, by when it is to be fetched again.
    fn tell(&mut self, object: &[u8]) -> Result<Option<Instant>> {
        let list: HostList = serde_json::from_slice(object).context("an object cannot be read")?;
        if !list.whole && list.seq < self.seq {
            bail!("version {} came after {}", list.seq, self.seq);
        }
        self.seq = list.seq;
        let (whole, unread) = (list.whole, list.has_invalid_entries());
        let event = DriverEvent::HostListReceived { watch_id: self.id, list };
        self.events.send(event).ok().context("the driver has ended")?;
        match (unread, whole) {
            (false, _) => Ok(None),
            (true, true) => Ok(Some(Instant::now() + FETCH_AGAIN)),
            (true, false) => Ok(Some(Instant::now())),
        }
    }
}

/// Asks for a watch from a version on.
async fn call(address: SocketAddr, seq: u64, descriptors: Arc<Descriptors>) -> Result<Opened> {
    let stream = descriptors.connect(address, &mut false).await.context("cannot connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(format!("/discovery/hosts?watch=1&from={seq}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        bail!("answered {}", response.status());
    }
    Ok(Opened { body: response.into_body(), _connection: connection })
}

/// A task that ends with its owner.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_discovery.rs"]
mod tests;
