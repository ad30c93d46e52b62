//! A subscription and a model of discovery on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use sagemast::api::Millis;
use sagemast::subscription::{
    Action, ConnectionId, Subscription, SubscriptionSettings, UpdateInfo, UpdateVerdict,
};

/// Interval of the empty lines on a watch.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;
/// The version of the list that the sidecar has saved.
pub const SAVED_VERSION: u64 = 5;
/// The longest wait of the decision module before it subscribes to discovery again.
const LONGEST_MODULE_WAIT: Millis = 1_500.0;
/// How soon a refused call fails.
const REFUSAL_TIME: Millis = 1.0;

/// How discovery treats a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// Answers after this time, with the list of that moment.
    Answer(Millis),
    /// Reads the list as the call arrives, and answers with a snapshot of it after this time.
    AnswerFromArrival(Millis),
    /// Sends the head of the response at once, and the list after this time.
    AcceptThenAnswer(Millis),
    /// Sends the head of the response at once, and fails after this time.
    AcceptThenFail(Millis),
    /// Never answers.
    Lost,
    /// Refuses the call at once.
    Refused,
    /// Fails the call after this time.
    FailAfter(Millis),
}

/// What the world does at a scheduled time.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Answer { connection: ConnectionId, version: Option<u64> },
    Accept(ConnectionId),
    Fail(ConnectionId),
    KeepAlive(ConnectionId),
    Request,
    Publish,
    Reload(SocketAddr),
    EndWatches,
    SilenceWatches,
}

/// An open connection as discovery sees it.
#[derive(Debug, Clone, Copy)]
struct OpenConnection {
    from_version: u64,
    watching: bool,
    silent: bool,
}

/// A subscription, and discovery.
pub struct World {
    pub subscription: Subscription,
    pub now: Millis,
    /// Decides on each call by its number, its time and its address.
    pub call_outcome: Box<dyn FnMut(usize, Millis, SocketAddr) -> CallOutcome>,
    /// The times of all calls.
    pub calls: Vec<Millis>,
    /// The versions that were applied, with the times.
    pub applied: Vec<(Millis, u64)>,
    pub most_connections: usize,
    /// How often the decision module was told that discovery is unavailable.
    pub failures_reported: usize,
    version: u64,
    connections: BTreeMap<ConnectionId, OpenConnection>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    last_step: u64,
}

/// An address of discovery.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_000 + number))
}

impl World {
    /// Starts a sidecar at time 0. Where lists are requested the module asks for the first one after `first_request`.
    pub fn new(
        pushed: bool,
        first_request: Millis,
        seed: u64,
        call_outcome: impl FnMut(usize, Millis, SocketAddr) -> CallOutcome + 'static,
    ) -> World {
        let settings = SubscriptionSettings { pushed, drain_grace: 2_000.0 };
        let mut world = World {
            subscription: Subscription::new(settings, address(0), SAVED_VERSION, seed),
            now: 0.0,
            call_outcome: Box::new(call_outcome),
            calls: Vec::new(),
            applied: Vec::new(),
            most_connections: 0,
            failures_reported: 0,
            version: SAVED_VERSION,
            connections: BTreeMap::new(),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            last_step: 0,
        };
        if !pushed {
            world.schedule(first_request, Step::Request);
        }
        world
    }

    /// Discovery learns of a change at this time.
    pub fn publish_at(&mut self, at: Millis) {
        self.schedule(at, Step::Publish);
    }

    /// The configuration is reloaded at this time.
    pub fn reload_at(&mut self, at: Millis, address: SocketAddr) {
        self.schedule(at, Step::Reload(address));
    }

    /// All open watches end at this time.
    pub fn end_watches_at(&mut self, at: Millis) {
        self.schedule(at, Step::EndWatches);
    }

    /// All open watches fall silent at this time.
    pub fn silence_watches_at(&mut self, at: Millis) {
        self.schedule(at, Step::SilenceWatches);
    }

    fn schedule(&mut self, at: Millis, step: Step) {
        self.last_step += 1;
        self.steps.insert(self.last_step, step);
        self.queue.push(Reverse(((at * 1e3).ceil() as u64, self.last_step)));
    }

    /// Advances the clock to this time.
    pub fn run_until(&mut self, end: Millis) {
        loop {
            let wakeup = self.subscription.next_wakeup().unwrap_or(f64::INFINITY).max(self.now);
            let step_at = self.queue.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1e3);
            let next = wakeup.min(step_at);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next.max(self.now);
            let mut actions = Vec::new();
            if step_at <= wakeup {
                let Some(Reverse((_, number))) = self.queue.pop() else { continue };
                let Some(step) = self.steps.remove(&number) else { continue };
                self.take_step(step, &mut actions);
            } else {
                self.subscription.on_wakeup(self.now, &mut actions);
            }
            self.execute(actions);
        }
    }

    fn take_step(&mut self, step: Step, actions: &mut Vec<Action>) {
        let now = self.now;
        match step {
            Step::Request => self.subscription.on_requested(now, actions),
            Step::Reload(address) => self.subscription.on_reload(address, now, actions),
            Step::Publish => {
                self.version += 1;
                let watching: Vec<ConnectionId> = self.watching().collect();
                watching.into_iter().for_each(|id| self.send_update(id, self.version, false, actions));
            }
            Step::EndWatches => {
                let watching: Vec<ConnectionId> = self.watching().collect();
                for id in watching {
                    self.connections.remove(&id);
                    self.subscription.on_ended(id, "closed", false, now, actions);
                }
            }
            Step::SilenceWatches => {
                self.connections
                    .values_mut()
                    .filter(|open| open.watching)
                    .for_each(|open| open.silent = true);
            }
            Step::Accept(id) if self.connections.contains_key(&id) => self.subscription.on_accepted(id, now),
            Step::Fail(id) => {
                if self.connections.remove(&id).is_some() {
                    self.subscription.on_ended(id, "failed", false, now, actions);
                }
            }
            Step::Answer { connection, version } => self.answer(connection, version, actions),
            Step::KeepAlive(id) if self.watching().any(|watching| watching == id) => {
                self.subscription.on_keep_alive(id, now, actions);
                self.schedule(now + KEEP_ALIVE_INTERVAL, Step::KeepAlive(id));
            }
            Step::Accept(_) | Step::KeepAlive(_) => {}
        }
    }

    /// The connections on which discovery sends updates.
    fn watching(&self) -> impl Iterator<Item = ConnectionId> {
        self.connections.iter().filter(|(_, open)| open.watching && !open.silent).map(|(id, _)| *id)
    }

    /// Answers a call with a snapshot of this version, or with the changes up to the present one.
    fn answer(&mut self, id: ConnectionId, version: Option<u64>, actions: &mut Vec<Action>) {
        let Some(open) = self.connections.get_mut(&id) else { return };
        open.watching = true;
        let from_version = open.from_version;
        self.subscription.on_accepted(id, self.now);
        let is_snapshot = version.is_some() || from_version == 0;
        self.send_update(id, version.unwrap_or(self.version), is_snapshot, actions);
        // The changes since the snapshot was read follow on the watch.
        if version.is_some_and(|version| version < self.version) {
            self.send_update(id, self.version, false, actions);
        }
        self.schedule(self.now + KEEP_ALIVE_INTERVAL, Step::KeepAlive(id));
    }

    fn send_update(&mut self, id: ConnectionId, version: u64, is_snapshot: bool, actions: &mut Vec<Action>) {
        let update = UpdateInfo { version, is_snapshot, has_invalid_entries: false };
        if self.subscription.on_update(id, update, self.now, actions) == UpdateVerdict::Apply {
            self.applied.push((self.now, version));
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { connection, address, from_version } => {
                    let call = self.calls.len();
                    self.calls.push(self.now);
                    let open = OpenConnection { from_version, watching: false, silent: false };
                    self.connections.insert(connection, open);
                    self.most_connections = self.most_connections.max(self.connections.len());
                    let outcome = (self.call_outcome)(call, self.now, address);
                    self.schedule_outcome(connection, outcome);
                }
                Action::Close(connection) => drop(self.connections.remove(&connection)),
                Action::ReportUnavailable => {
                    self.failures_reported += 1;
                    self.schedule(self.now + LONGEST_MODULE_WAIT, Step::Request);
                }
                Action::Log(_) => {}
            }
        }
    }

    fn schedule_outcome(&mut self, connection: ConnectionId, outcome: CallOutcome) {
        let now = self.now;
        match outcome {
            CallOutcome::Answer(delay) => {
                self.schedule(now + delay, Step::Answer { connection, version: None });
            }
            CallOutcome::AnswerFromArrival(delay) => {
                let version = Some(self.version);
                self.schedule(now + delay, Step::Answer { connection, version });
            }
            CallOutcome::AcceptThenAnswer(delay) => {
                self.schedule(now, Step::Accept(connection));
                self.schedule(now + delay, Step::Answer { connection, version: None });
            }
            CallOutcome::AcceptThenFail(delay) => {
                self.schedule(now, Step::Accept(connection));
                self.schedule(now + delay, Step::Fail(connection));
            }
            CallOutcome::Lost => {}
            CallOutcome::Refused => self.schedule(now + REFUSAL_TIME, Step::Fail(connection)),
            CallOutcome::FailAfter(delay) => self.schedule(now + delay, Step::Fail(connection)),
        }
    }

    /// When the list of this version was applied.
    pub fn applied_at(&self, version: u64) -> Option<Millis> {
        self.applied.iter().find(|(_, applied)| *applied >= version).map(|(at, _)| *at)
    }

    /// The number of calls from `start` up to `end`.
    pub fn calls_between(&self, start: Millis, end: Millis) -> usize {
        self.calls.iter().filter(|at| (start..end).contains(at)).count()
    }
}
