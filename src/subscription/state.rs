//! The state of the subscription and its transitions.

use std::net::SocketAddr;

use super::call_schedule::CallSchedule;
use super::connections::{Connection, ConnectionId, Connections, Stage, WATCH_IDLE_TIMEOUT};
use super::list_versions::{ListVersions, UpdateInfo};
use crate::api::Millis;

/// A call that fails within this time was refused without waiting for its turn.
const PROMPT_FAILURE_TIME: Millis = 250.0;
/// A watch that was open for this long counts as useful even if nothing has changed meanwhile.
const USEFUL_WATCH_TIME: Millis = 1_000.0;
/// Delay before a snapshot with invalid entries is requested again: the next one may have the same.
const INVALID_SNAPSHOT_DELAY: Millis = 2_000.0;

/// The settings of a subscription.
#[derive(Debug, Clone, Copy)]
pub struct SubscriptionSettings {
    /// Whether discovery pushes its lists. Otherwise a call that fails is repeated when the decision module asks for it.
    pub pushed: bool,
    /// How long requests may still be sent to a server after it has been listed as draining.
    pub drain_grace: Millis,
}

/// What the network code has to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection and request a watch on it.
    Open {
        /// The new connection.
        connection: ConnectionId,
        /// The address of discovery.
        address: SocketAddr,
        /// The version after which the watch starts; 0 requests a snapshot.
        from_version: u64,
    },
    /// Close a connection. Events of it that still arrive are ignored.
    Close(ConnectionId),
    /// Tell the decision module that discovery is unavailable.
    ReportUnavailable,
    /// Write a line to the operator log.
    Log(String),
}

/// What to do with an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateVerdict {
    /// Apply it.
    Apply,
    /// Drop it: it is older than the list in force, or its connection has been closed.
    Ignore,
}

/// A snapshot that will be requested again.
#[derive(Debug, Clone, Copy)]
struct Refetch {
    at: Millis,
    /// The watch that it replaces.
    connection: ConnectionId,
}

/// The subscription to discovery. All times are on the caller's clock.
#[derive(Debug)]
pub struct Subscription {
    pushed: bool,
    address: SocketAddr,
    connections: Connections,
    versions: ListVersions,
    schedule: CallSchedule,
    /// When to call next, unless a watch delivers until then. `None` while the decision module has to ask for a call.
    next_call_at: Option<Millis>,
    refetch: Option<Refetch>,
    /// Whether failed calls are repeated without the decision module, as after a reload or a silent watch.
    retry_until_answered: bool,
    failure_logged: bool,
}

impl Subscription {
    /// Creates a subscription that resumes after the saved version of the list; 0 stands for none. Where lists are
    /// pushed the first call is due at once.
    pub fn new(
        settings: SubscriptionSettings,
        address: SocketAddr,
        saved_version: u64,
        seed: u64,
    ) -> Subscription {
        Subscription {
            pushed: settings.pushed,
            address,
            connections: Connections::default(),
            versions: ListVersions::new(saved_version),
            schedule: CallSchedule::new(settings.drain_grace, settings.pushed, seed),
            next_call_at: settings.pushed.then_some(0.0),
            refetch: None,
            retry_until_answered: settings.pushed,
            failure_logged: false,
        }
    }

    /// When [`Subscription::on_wakeup`] is to be called at the latest.
    pub fn next_wakeup(&self) -> Option<Millis> {
        let refetch_at = self.refetch.map(|refetch| refetch.at);
        match (self.next_call_at, refetch_at) {
            (Some(call), Some(refetch)) => Some(call.min(refetch)),
            (call, refetch) => call.or(refetch),
        }
    }

    /// Makes the calls that are due.
    pub fn on_wakeup(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(refetch) = self.refetch.filter(|refetch| refetch.at <= now) {
            self.refetch(refetch.connection, now, out);
        }
        if self.next_call_at.is_none_or(|at| at > now) {
            return;
        }
        match self.idle_deadline(now) {
            Some(deadline) => self.next_call_at = Some(deadline),
            None => self.call(now, out),
        }
    }

    /// The decision module asks for a subscription. Ignored while one is open or being opened.
    pub fn on_requested(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.next_call_at.is_none() && !self.has_current_connection() {
            self.call(now, out);
        }
    }

    /// The configuration was reloaded. What is open at this address is kept; connections to another one are kept until
    /// this one is heard.
    pub fn on_reload(&mut self, address: SocketAddr, now: Millis, out: &mut Vec<Action>) {
        let unchanged = std::mem::replace(&mut self.address, address) == address;
        let delivers =
            self.current_connections().any(|open| open.stage == Stage::Delivering && !open.is_idle(now));
        if delivers {
            self.next_call_at = self.idle_deadline(now);
            return;
        }
        self.retry_until_answered = true;
        if self.has_current_connection() {
            let latest = now + self.schedule.wait_beside_call();
            self.next_call_at = Some(self.next_call_at.map_or(latest, |at| at.min(latest)));
        } else if !unchanged || self.next_call_at.is_none() {
            self.schedule.restart();
            self.next_call_at = Some(now + self.schedule.wait_after_reload(now));
            self.on_wakeup(now, out);
        }
    }

    /// Discovery has sent the head of a successful response.
    pub fn on_accepted(&mut self, id: ConnectionId, now: Millis) {
        self.record_progress(id, now);
        let address = self.address;
        let Some(open) = self.connections.get_mut(id) else { return };
        open.stage = open.stage.max(Stage::Accepted);
        if open.address == address {
            let answer_time = now - open.opened_at;
            self.schedule.record_answer(answer_time);
        }
    }

    /// The first part of an update has arrived.
    pub fn on_update_started(&mut self, id: ConnectionId, now: Millis) {
        self.record_progress(id, now);
        if let Some(open) = self.connections.get_mut(id) {
            open.update_incomplete = true;
        }
    }

    /// An empty line has arrived: nothing has changed.
    pub fn on_keep_alive(&mut self, id: ConnectionId, now: Millis, out: &mut Vec<Action>) {
        self.record_progress(id, now);
        self.on_delivered(id, now, out);
        self.schedule_refetch(id, true, now);
    }

    /// A complete update has arrived. Decides whether it is to be applied.
    pub fn on_update(
        &mut self,
        id: ConnectionId,
        update: UpdateInfo,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> UpdateVerdict {
        self.record_progress(id, now);
        let Some(open) = self.connections.get_mut(id) else { return UpdateVerdict::Ignore };
        open.update_incomplete = false;
        let previous = std::mem::replace(&mut open.version, update.version);
        if !update.is_snapshot && update.version < previous {
            out.push(Action::Close(id));
            let reason = format!("received a delta of version {} after version {previous}", update.version);
            self.on_ended(id, &reason, true, now, out);
            return UpdateVerdict::Ignore;
        }
        let in_force = self.versions.applied();
        let accepted = self.versions.accept(update);
        if let Some(open) = self.connections.get_mut(id) {
            open.delivered_news |= update.version > in_force;
            if !accepted && !std::mem::replace(&mut open.older_list_logged, true) {
                out.push(Action::Log(format!(
                    "discovery: ignoring a list of version {}, version {in_force} is in force",
                    update.version
                )));
            }
        }
        self.on_delivered(id, now, out);
        self.schedule_refetch(id, update.is_snapshot, now);
        if accepted { UpdateVerdict::Apply } else { UpdateVerdict::Ignore }
    }

    /// A connection has failed or ended. `update_lost` tells whether an update could not be read.
    pub fn on_ended(
        &mut self,
        id: ConnectionId,
        reason: &str,
        update_lost: bool,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(ended) = self.connections.remove(id) else { return };
        self.refetch = self.refetch.filter(|refetch| refetch.connection != id);
        if update_lost || ended.update_incomplete {
            self.versions.request_snapshot();
        }
        if ended.address != self.address {
            return;
        }
        if ended.stage == Stage::Delivering {
            self.on_watch_ended(&ended, reason, now, out);
        } else {
            self.on_call_failed(&ended, reason, now, out);
        }
    }

    /// The connections to the current address.
    fn current_connections(&self) -> impl Iterator<Item = &Connection> {
        self.connections.to(self.address)
    }

    fn has_current_connection(&self) -> bool {
        self.current_connections().next().is_some()
    }

    /// Until when the current address is not called because it has answered; `None` if all answers are silent.
    fn idle_deadline(&self, now: Millis) -> Option<Millis> {
        let answered =
            self.current_connections().filter(|open| open.stage > Stage::Calling && !open.is_idle(now));
        answered.map(|open| open.last_progress + WATCH_IDLE_TIMEOUT).reduce(f64::max)
    }

    /// Records progress on a connection. While an answer of the current address makes progress no call is made.
    fn record_progress(&mut self, id: ConnectionId, now: Millis) {
        let address = self.address;
        let Some(open) = self.connections.get_mut(id) else { return };
        open.last_progress = now;
        if open.address == address {
            self.next_call_at = Some(now + WATCH_IDLE_TIMEOUT + self.schedule.wait_after_silence());
        }
    }

    /// A connection delivers. If it leads to the current address and is up to date, it is the watch, and all others are
    /// closed.
    fn on_delivered(&mut self, id: ConnectionId, now: Millis, out: &mut Vec<Action>) {
        let (address, in_force) = (self.address, self.versions.applied());
        let Some(open) = self.connections.get_mut(id) else { return };
        let began_delivering = std::mem::replace(&mut open.stage, Stage::Delivering) != Stage::Delivering;
        if began_delivering {
            open.delivering_since = now;
        }
        open.silence_logged = false;
        if open.address != address || open.version < in_force {
            return;
        }
        self.schedule.restart();
        self.retry_until_answered = self.pushed;
        self.failure_logged = false;
        out.extend(self.connections.remove_others(id).into_iter().map(Action::Close));
        self.refetch = self.refetch.filter(|refetch| refetch.connection == id);
    }

    /// Schedules the request of a snapshot if the list in force lacks an update.
    fn schedule_refetch(&mut self, connection: ConnectionId, delayed: bool, now: Millis) {
        if !self.versions.snapshot_needed() {
            self.refetch = None;
            return;
        }
        if !self.current_connections().any(|open| open.id == connection) {
            return;
        }
        let at = if delayed { now + INVALID_SNAPSHOT_DELAY } else { now };
        let at = self.refetch.map_or(at, |refetch| refetch.at.min(at));
        self.refetch = Some(Refetch { at, connection });
    }

    /// Replaces a watch by one that starts with a snapshot.
    fn refetch(&mut self, connection: ConnectionId, now: Millis, out: &mut Vec<Action>) {
        self.refetch = None;
        out.push(Action::Close(connection));
        self.on_ended(connection, "requesting a snapshot because of invalid entries", true, now, out);
    }

    fn on_watch_ended(&mut self, ended: &Connection, reason: &str, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Log(format!("discovery: {reason}; reconnecting")));
        if self.has_current_connection() {
            let latest = now + self.schedule.wait_beside_call();
            self.next_call_at = Some(self.next_call_at.map_or(latest, |at| at.min(latest)));
            return;
        }
        let useful = ended.delivered_news || now - ended.delivering_since >= USEFUL_WATCH_TIME;
        self.next_call_at = Some(now + self.schedule.wait_after_watch(useful));
    }

    fn on_call_failed(&mut self, failed: &Connection, reason: &str, now: Millis, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.failure_logged, true) {
            out.push(Action::Log(format!("discovery: {reason}; retrying")));
        }
        if !self.retry_until_answered && !self.has_current_connection() {
            self.next_call_at = None;
            out.push(Action::ReportUnavailable);
            return;
        }
        if self.idle_deadline(now).is_some() {
            return;
        }
        // Calls that fail after a wait keep the pace of pending ones: discovery is slow, and further calls would have to
        // wait as well. After the head of a response, none has been made meanwhile.
        let answered = failed.stage > Stage::Calling;
        let refused = now - failed.opened_at < PROMPT_FAILURE_TIME;
        if answered || (refused && self.retry_until_answered) {
            let retry_at = now + self.schedule.wait_after_failure();
            let earlier = self.next_call_at.filter(|_| self.has_current_connection());
            self.next_call_at = Some(earlier.map_or(retry_at, |at| at.min(retry_at)));
        }
    }

    /// Calls discovery beside the connections that are open.
    fn call(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.note_silent_watches(now, out);
        out.extend(self.connections.make_room(now).map(Action::Close));
        let from_version = self.versions.resume_from();
        let connection = self.connections.open(self.address, from_version, now);
        out.push(Action::Open { connection, address: self.address, from_version });
        self.next_call_at = Some(now + self.schedule.wait_beside_call());
    }

    /// Handles watches of the current address that have fallen silent: the calls beside them are repeated until one is
    /// answered, and request a snapshot if an update was cut off.
    fn note_silent_watches(&mut self, now: Millis, out: &mut Vec<Action>) {
        let answered = self.connections.to_mut(self.address).filter(|open| open.stage > Stage::Calling);
        let silent = answered.filter(|open| open.is_idle(now));
        for open in silent {
            self.retry_until_answered = true;
            if open.update_incomplete {
                self.versions.request_snapshot();
            }
            if !std::mem::replace(&mut open.silence_logged, true) {
                out.push(Action::Log(format!(
                    "discovery: no data on the watch for {} s; reconnecting",
                    WATCH_IDLE_TIMEOUT / 1e3
                )));
            }
        }
    }
}
