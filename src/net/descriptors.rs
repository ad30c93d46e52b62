//! The file-descriptor budget of the process: the configured limit, and a lower one if descriptors run out.
//!
//! Of the `limits.sockets` descriptors that the configuration allows, [`RESERVED_DESCRIPTORS`] are set aside:
//!
//! | descriptors | purpose |
//! | --- | --- |
//! | 3 | standard streams |
//! | 1 | listener |
//! | 3 | epoll instance of the runtime, its duplicate, and the waker |
//! | 3 | signals: a socket pair and the runtime's duplicate of one end |
//! | 1 | configuration file, while it is read on SIGHUP |
//! | 10 | discovery: the watch and calls without an answer, and one connection being closed |
//! | 3 | spare, for descriptors inherited from the parent process |
//!
//! The rest is divided equally between client connections, including those being evicted, and upstream connections.
//! The two limits are enforced separately, so that idle clients cannot exhaust the descriptors of discovery and the
//! upstreams.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

/// Descriptors set aside for everything but client and upstream connections, as in the table above.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// The reserved descriptors that are always open: all but those of the configuration file, discovery and the spares.
const ALWAYS_OPEN_DESCRIPTORS: usize = 10;
/// The error number of an operation that would exceed the descriptor limit of the process (POSIX).
const EMFILE: i32 = 24;
/// The delay before connecting is retried without a free descriptor. Idle clients are evicted meanwhile; the shortest
/// request deadlines are tens of milliseconds.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The minimum time between two reductions of the limit. Until the connections above a reduced limit are closed,
/// operations still fail while fewer and fewer descriptors are in use, which would reduce the limit again and again.
const LIMIT_REDUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// The limit on connections on each side, that is, from clients and to upstreams. It starts at the configured value and
/// is lowered when an operation finds no free descriptor.
pub struct Descriptors {
    /// The configured limit on each side.
    configured_limit: usize,
    /// The current limit on each side.
    current_limit: AtomicUsize,
    /// Permits for upstream connections, as many as the configured limit.
    upstream_permits: Arc<Semaphore>,
    /// Notified when an operation found no free descriptor.
    exhausted: Notify,
    /// When [`Descriptors::lower_limit`] last computed the limit.
    limit_computed_at: Mutex<Option<Instant>>,
}

/// Whether an operation failed because the process has reached its limit of open descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(EMFILE)
}

impl Descriptors {
    /// Creates a budget with this limit on connections on each side.
    pub fn new(limit: usize) -> Descriptors {
        Descriptors {
            configured_limit: limit,
            current_limit: AtomicUsize::new(limit),
            upstream_permits: Arc::new(Semaphore::new(limit)),
            exhausted: Notify::new(),
            limit_computed_at: Mutex::new(None),
        }
    }

    /// The current limit on connections on each side.
    pub fn connections_per_side(&self) -> usize {
        self.current_limit.load(Ordering::Relaxed)
    }

    /// The number of upstream connections that hold a permit.
    fn upstream_connections(&self) -> usize {
        self.configured_limit - self.upstream_permits.available_permits()
    }

    /// Whether the upstream connections, with `wanted` more, exceed the limit.
    pub fn is_over_limit(&self, wanted: usize) -> bool {
        self.upstream_connections() + wanted > self.connections_per_side()
    }

    /// Returns a permit for one more upstream connection, unless the limit is reached.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        if self.is_over_limit(1) {
            return None;
        }
        self.upstream_permits.clone().try_acquire_owned().ok()
    }

    /// Reports that an operation found no free descriptor.
    pub fn report_exhausted(&self) {
        self.exhausted.notify_one();
    }

    /// Waits until an operation has found no free descriptor.
    pub async fn exhausted(&self) {
        self.exhausted.notified().await;
    }

    /// Lowers the limit after an operation found no free descriptor while `clients` clients were connected. The
    /// descriptors in use at that moment are taken as the budget, and the reserved ones are deducted from it. Returns
    /// whether the limit became lower.
    pub fn lower_limit(&self, clients: usize) -> bool {
        let mut limit_computed_at = self.limit_computed_at.lock().unwrap_or_else(PoisonError::into_inner);
        if limit_computed_at.is_some_and(|at| at.elapsed() < LIMIT_REDUCTION_INTERVAL) {
            return false;
        }
        *limit_computed_at = Some(Instant::now());
        let open_descriptors = ALWAYS_OPEN_DESCRIPTORS + clients + self.upstream_connections();
        let limit = (open_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1);
        self.current_limit.fetch_min(limit, Ordering::Relaxed) > limit
    }

    /// Connects, retrying until a descriptor is free. `exhausted` is set to whether the last attempt found none, and
    /// stays readable when this future is dropped.
    pub async fn connect(&self, address: SocketAddr, exhausted: &mut bool) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(address).await;
            *exhausted = result.as_ref().is_err_and(is_out_of_descriptors);
            if !*exhausted {
                return result;
            }
            self.report_exhausted();
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }
}
