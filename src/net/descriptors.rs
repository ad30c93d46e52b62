//! The budget of descriptors: what the configuration allows, and what turns out to be there.
//!
//! A process that may hold `limits.sockets` descriptors holds at most
//!
//! | how many | what for |
//! | --- | --- |
//! | 3 | standard streams |
//! | 1 | the listener |
//! | 3 | the runtime's poll, its own handle on it, and what wakes it |
//! | 3 | signals: a pair of sockets and the runtime's handle on one |
//! | 1 | the configuration, while it is read at SIGHUP |
//! | 10 | discovery: the calls that may hang, the next one, and one that is being closed |
//! | 3 | spare, for what whoever starts the process may leave open in it |
//!
//! which is [`RESERVED_DESCRIPTORS`], and of the rest one half for clients, those being closed for others among them,
//! and one half for servers. Each of the two is held on its own: however many idle clients there are, they take
//! nothing of what discovery and the servers need.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

/// Descriptors set aside for everything but client and upstream connections: the table above.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// What of it is always open: all but the configuration, discovery and what is spare.
const ALWAYS: usize = 10;
/// The error of an operation that would open one descriptor more than this process may hold (POSIX, EMFILE).
const TOO_MANY_OPEN_FILES: i32 = 24;
/// The wait before a connection is tried again that lacked a descriptor: idle clients are closed meanwhile, and
/// the shortest deadlines are tens of milliseconds.
const AGAIN: Duration = Duration::from_millis(5);
/// What is over the limit that was found is closed by then. Before, less and less is held while others still lack a
/// descriptor: counted again, it would look like an ever lower limit.
const CLOSED_AFTER: Duration = Duration::from_secs(1);

/// How many connections there may be on each side. The limit in force may be lower than the configured one: who
/// finds no descriptor says so, and from then on there are fewer.
pub struct Descriptors {
    /// How many the configuration allows.
    configured: usize,
    /// How many there may be on each side.
    each: AtomicUsize,
    /// For connections to servers; as many as are configured.
    permits: Arc<Semaphore>,
    /// Told when there was no descriptor.
    lacking: Notify,
    /// When it was last worked out how many there may be.
    counted_at: Mutex<Option<Instant>>,
}

/// Whether an operation failed because the process has reached its limit of open descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(TOO_MANY_OPEN_FILES)
}

impl Descriptors {
    /// So many connections on each side.
    pub fn new(each: usize) -> Descriptors {
        Descriptors {
            configured: each,
            each: AtomicUsize::new(each),
            permits: Arc::new(Semaphore::new(each)),
            lacking: Notify::new(),
            counted_at: Mutex::new(None),
        }
    }

    /// The current limit on connections on each side.
    pub fn connections_per_side(&self) -> usize {
        self.each.load(Ordering::Relaxed)
    }

    /// How many connections to servers there are.
    fn servers(&self) -> usize {
        self.configured - self.permits.available_permits()
    }

    /// Whether the upstream connections, with `wanted` more, exceed the limit.
    pub fn is_over_limit(&self, wanted: usize) -> bool {
        self.servers() + wanted > self.connections_per_side()
    }

    /// Returns a permit for one more upstream connection, unless the limit is reached.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        if self.is_over_limit(1) {
            return None;
        }
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Reports that an operation found no free descriptor.
    pub fn report_exhausted(&self) {
        self.lacking.notify_one();
    }

    /// Waits until an operation has found no free descriptor.
    pub async fn exhausted(&self) {
        self.lacking.notified().await;
    }

    /// Lowers the limit after an operation found no free descriptor while `clients` clients were connected: what is
    /// held now is all that there is, and discovery needs its share of it. Returns whether the limit became lower.
    pub fn lower_limit(&self, clients: usize) -> bool {
        let mut counted_at = self.counted_at.lock().unwrap_or_else(PoisonError::into_inner);
        if counted_at.is_some_and(|at| at.elapsed() < CLOSED_AFTER) {
            return false;
        }
        *counted_at = Some(Instant::now());
        let all = ALWAYS + clients + self.servers();
        let each = (all.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1);
        self.each.fetch_min(each, Ordering::Relaxed) > each
    }

    /// Connects, retrying until a descriptor is free. `exhausted` tells whether the last try found none, also when this
    /// future is dropped.
    pub async fn connect(&self, address: SocketAddr, exhausted: &mut bool) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(address).await;
            *exhausted = result.as_ref().is_err_and(is_out_of_descriptors);
            if !*exhausted {
                return result;
            }
            self.report_exhausted();
            sleep(AGAIN).await;
        }
    }
}
