//! A connection to discovery: requests a watch, a streaming response with snapshots and deltas of the host list, and
//! reports what arrives on it.

use std::convert::Infallible;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use sagemast::subscription::ConnectionId;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use super::AbortOnDrop;
use super::json_framer::{FramingError, JsonFramer};
use crate::net::descriptors::Descriptors;
use crate::net::host_list::HostList;

/// An update must be complete this long after its first byte: until then it keeps others from being received.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(6);

/// The request of a watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchRequest {
    /// Address of discovery.
    pub address: SocketAddr,
    /// The version after which the watch starts; 0 requests a snapshot.
    pub from_version: u64,
}

/// Something that happened on a connection.
pub struct ConnectionEvent {
    /// The connection.
    pub connection: ConnectionId,
    /// What happened.
    pub kind: ConnectionEventKind,
}

/// What happened on a connection.
pub enum ConnectionEventKind {
    /// The head of a successful response arrived.
    Accepted,
    /// An empty line arrived.
    KeepAlive,
    /// The first part of an update arrived.
    UpdateStarted,
    /// An update is complete.
    Update(HostList),
    /// The connection could not be opened, or it has ended.
    Ended(ConnectionError),
}

/// Why a connection ended.
#[derive(Debug)]
pub enum ConnectionError {
    /// It could not be opened.
    Connect(io::Error),
    /// It failed.
    Http(hyper::Error),
    /// The request could not be built.
    Request(hyper::http::Error),
    /// The call was answered with this status.
    Status(StatusCode),
    /// Discovery has closed the watch.
    Closed,
    /// The stream cannot be split into updates.
    Framing(FramingError),
    /// An update cannot be read.
    Decode(serde_json::Error),
    /// An update was not complete within [`UPDATE_TIMEOUT`].
    UpdateTimeout,
}

impl ConnectionError {
    /// Whether an update was sent that cannot be read. Later deltas do not repeat it.
    pub fn loses_update(&self) -> bool {
        matches!(
            self,
            ConnectionError::Framing(_) | ConnectionError::Decode(_) | ConnectionError::UpdateTimeout
        )
    }
}

impl Display for ConnectionError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Connect(error) => write!(f, "cannot connect: {error}"),
            ConnectionError::Http(error) => write!(f, "{error}"),
            ConnectionError::Request(error) => write!(f, "cannot build the request: {error}"),
            ConnectionError::Status(status) => write!(f, "unexpected response status {status}"),
            ConnectionError::Closed => write!(f, "the watch was closed"),
            ConnectionError::Framing(error) => write!(f, "{error}"),
            ConnectionError::Decode(error) => write!(f, "a JSON object cannot be read: {error}"),
            ConnectionError::UpdateTimeout => {
                write!(f, "an update was not complete within {UPDATE_TIMEOUT:?}")
            }
        }
    }
}

impl From<hyper::Error> for ConnectionError {
    fn from(error: hyper::Error) -> ConnectionError {
        ConnectionError::Http(error)
    }
}

/// Opens a connection, requests a watch and reports what arrives until the connection ends.
pub async fn run_connection(
    connection: ConnectionId,
    request: WatchRequest,
    descriptors: Arc<Descriptors>,
    event_sender: mpsc::Sender<ConnectionEvent>,
    update_permits: Arc<Semaphore>,
) {
    let events = EventSink { connection, event_sender };
    let Err(error) = forward_watch(request, descriptors, &events, update_permits).await;
    events.send(ConnectionEventKind::Ended(error)).await;
}

/// Sends the events of one connection.
struct EventSink {
    connection: ConnectionId,
    event_sender: mpsc::Sender<ConnectionEvent>,
}

impl EventSink {
    async fn send(&self, kind: ConnectionEventKind) {
        // Fails only if the receiver has ended: then this task is about to be aborted.
        let _ = self.event_sender.send(ConnectionEvent { connection: self.connection, kind }).await;
    }
}

async fn forward_watch(
    request: WatchRequest,
    descriptors: Arc<Descriptors>,
    events: &EventSink,
    update_permits: Arc<Semaphore>,
) -> Result<Infallible, ConnectionError> {
    let mut watch = request_watch(request, descriptors).await?;
    events.send(ConnectionEventKind::Accepted).await;
    let mut reader = UpdateReader { framer: JsonFramer::default(), update_permits, current: None };
    loop {
        let frame = match &reader.current {
            Some(current) => timeout_at(current.deadline, watch.body.frame())
                .await
                .map_err(|_| ConnectionError::UpdateTimeout)?,
            None => watch.body.frame().await,
        };
        let frame = frame.ok_or(ConnectionError::Closed)??;
        if let Ok(chunk) = frame.into_data() {
            reader.read(&chunk, events).await?;
        }
    }
}

/// An open watch; dropping it closes the connection.
struct OpenWatch {
    body: Incoming,
    /// The task that runs the connection.
    _connection: AbortOnDrop,
}

/// Sends the request of a watch and waits for the head of the response.
async fn request_watch(
    request: WatchRequest,
    descriptors: Arc<Descriptors>,
) -> Result<OpenWatch, ConnectionError> {
    let WatchRequest { address, from_version } = request;
    let stream = descriptors.connect(address, &mut false).await.map_err(ConnectionError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(format!("/discovery/hosts?watch=1&from={from_version}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(ConnectionError::Request)?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(ConnectionError::Status(response.status()));
    }
    Ok(OpenWatch { body: response.into_body(), _connection: connection })
}

/// Splits the stream of a watch into updates and empty lines.
struct UpdateReader {
    framer: JsonFramer,
    update_permits: Arc<Semaphore>,
    /// The update that is being received.
    current: Option<CurrentUpdate>,
}

/// An update that is being received.
struct CurrentUpdate {
    deadline: Instant,
    _permit: Option<OwnedSemaphorePermit>,
}

impl UpdateReader {
    /// Reads a chunk of the stream and reports what it completes.
    async fn read(&mut self, chunk: &[u8], events: &EventSink) -> Result<(), ConnectionError> {
        if self.current.is_none() && chunk.contains(&b'{') {
            self.current = Some(self.start_update().await);
        }
        let mut starts_update = !self.framer.in_object();
        let mut rest = chunk;
        while !rest.is_empty() {
            let (object, consumed) = self.framer.push(rest).map_err(ConnectionError::Framing)?;
            rest = &rest[consumed..];
            if let Some(object) = object {
                let list = serde_json::from_slice(&object).map_err(ConnectionError::Decode)?;
                events.send(ConnectionEventKind::Update(list)).await;
                starts_update = true;
            }
        }
        // Further parts of an update and spaces do not count as progress: they could continue indefinitely.
        let line_ended = self.framer.take_line_end();
        if self.framer.in_object() {
            if starts_update {
                events.send(ConnectionEventKind::UpdateStarted).await;
                let deadline = Instant::now() + UPDATE_TIMEOUT;
                self.current.iter_mut().for_each(|current| current.deadline = deadline);
            }
        } else {
            self.current = None;
            if line_ended {
                events.send(ConnectionEventKind::KeepAlive).await;
            }
        }
        Ok(())
    }

    /// Waits until an update may be received.
    async fn start_update(&self) -> CurrentUpdate {
        let permit = self.update_permits.clone().acquire_owned().await;
        CurrentUpdate { deadline: Instant::now() + UPDATE_TIMEOUT, _permit: permit.ok() }
    }
}
