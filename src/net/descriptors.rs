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
//! which is [`OWN`], and of the rest one half for clients, those being closed for others among them, and one half
//! for servers. Each of the two is held on its own: however many idle clients there are, they take nothing of what
//! discovery and the servers need.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

/// What is neither a client's nor a server's: the table above.
pub const OWN: usize = 24;
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

/// Whether an operation failed because this process holds all the descriptors that it may.
pub fn is_lack(error: &io::Error) -> bool {
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

    /// How many connections there may be on each side.
    pub fn each(&self) -> usize {
        self.each.load(Ordering::Relaxed)
    }

    /// How many connections to servers there are.
    fn servers(&self) -> usize {
        self.configured - self.permits.available_permits()
    }

    /// Whether there are more connections to servers than there may be, by one that is wanted or not.
    pub fn is_over(&self, wanted: usize) -> bool {
        self.servers() + wanted > self.each()
    }

    /// The right to one more connection to a server.
    pub fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.is_over(1) {
            return None;
        }
        self.permits.clone().try_acquire_owned().ok()
    }

    /// There was no descriptor.
    pub fn lack(&self) {
        self.lacking.notify_one();
    }

    /// Comes back once there was no descriptor.
    pub async fn lacked(&self) {
        self.lacking.notified().await;
    }

    /// There was no descriptor while so many clients were connected: what is held now is all that there is, and
    /// what discovery needs has to come out of it. Whether that makes fewer connections.
    pub fn shrink(&self, clients: usize) -> bool {
        let mut counted_at = self.counted_at.lock().unwrap_or_else(PoisonError::into_inner);
        if counted_at.is_some_and(|at| at.elapsed() < CLOSED_AFTER) {
            return false;
        }
        *counted_at = Some(Instant::now());
        let all = ALWAYS + clients + self.servers();
        let each = (all.saturating_sub(OWN) / 2).max(1);
        self.each.fetch_min(each, Ordering::Relaxed) > each
    }

    /// Connects as soon as there is a descriptor. `lacks` tells afterwards, also if this is dropped before, whether
    /// there was none at the last try.
    pub async fn connect(&self, address: SocketAddr, lacks: &mut bool) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(address).await;
            *lacks = result.as_ref().is_err_and(is_lack);
            if !*lacks {
                return result;
            }
            self.lack();
            sleep(AGAIN).await;
        }
    }
}
