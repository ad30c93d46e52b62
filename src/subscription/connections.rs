//! The open connections to discovery.

use std::net::SocketAddr;

use crate::api::Millis;

/// A watch on which no update starts or ends and no empty line arrives for this long is silent: discovery sends an empty
/// line every 2 s. Calls are then made beside it.
pub const WATCH_IDLE_TIMEOUT: Millis = 2_500.0;
/// Maximum number of open connections: a watch, and calls without an answer.
pub const MAX_CONNECTIONS: usize = 9;
/// While all connections are in use, the one that has waited longest keeps its place for this long, so that a
/// discovery that needs longer than the other calls are kept can be heard as well.
const LONGEST_KEPT_WAIT: Millis = 30_000.0;

/// Identifies a connection to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// Discovery has not answered yet.
    Calling,
    /// Discovery has sent the head of its response.
    Accepted,
    /// Discovery has sent an update or an empty line.
    Delivering,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub id: ConnectionId,
    pub address: SocketAddr,
    pub stage: Stage,
    pub opened_at: Millis,
    /// When it was opened, or when something that counts as progress last arrived on it.
    pub last_progress: Millis,
    /// When it began to deliver.
    pub delivering_since: Millis,
    /// Whether an update has begun and not ended.
    pub update_incomplete: bool,
    /// The version of its last update, or the one from which it started.
    pub version: u64,
    /// Whether it has delivered a version that was not in force before.
    pub delivered_news: bool,
    /// Whether the log already says that it has fallen silent.
    pub silence_logged: bool,
    /// Whether the log already says that it delivers an older list.
    pub older_list_logged: bool,
}

impl Connection {
    /// Whether nothing that counts as progress has arrived for [`WATCH_IDLE_TIMEOUT`].
    pub fn is_idle(&self, now: Millis) -> bool {
        now >= self.last_progress + WATCH_IDLE_TIMEOUT
    }
}

/// The open connections of a subscription.
#[derive(Debug, Default)]
pub(super) struct Connections {
    open: Vec<Connection>,
    last_id: u64,
}

impl Connections {
    /// Adds a connection that starts a call after this version of the list.
    pub fn open(&mut self, address: SocketAddr, from_version: u64, now: Millis) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.open.push(Connection {
            id,
            address,
            stage: Stage::Calling,
            opened_at: now,
            last_progress: now,
            delivering_since: now,
            update_incomplete: false,
            version: from_version,
            delivered_news: false,
            silence_logged: false,
            older_list_logged: false,
        });
        id
    }

    /// The connection with this id, unless it was closed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.open.iter_mut().find(|open| open.id == id)
    }

    /// Removes a connection and returns it, unless it was closed before.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let index = self.open.iter().position(|open| open.id == id)?;
        Some(self.open.swap_remove(index))
    }

    /// The connections to an address.
    pub fn to(&self, address: SocketAddr) -> impl Iterator<Item = &Connection> {
        self.open.iter().filter(move |open| open.address == address)
    }

    /// Like [`Connections::to`], to change them.
    pub fn to_mut(&mut self, address: SocketAddr) -> impl Iterator<Item = &mut Connection> {
        self.open.iter_mut().filter(move |open| open.address == address)
    }

    /// Removes all connections but one. Returns the ids of those removed.
    pub fn remove_others(&mut self, kept: ConnectionId) -> Vec<ConnectionId> {
        let removed = self.open.extract_if(.., |open| open.id != kept);
        removed.map(|open| open.id).collect()
    }

    /// Removes a connection if no further one may be opened: the one that has waited longest, or the next one while the
    /// first has waited less than [`LONGEST_KEPT_WAIT`]. Returns its id.
    pub fn make_room(&mut self, now: Millis) -> Option<ConnectionId> {
        if self.open.len() < MAX_CONNECTIONS {
            return None;
        }
        self.open.sort_by(|a, b| a.last_progress.total_cmp(&b.last_progress));
        let keep_first = now - self.open[0].last_progress < LONGEST_KEPT_WAIT;
        Some(self.open.remove(usize::from(keep_first)).id)
    }
}
