//! The client of discovery: carries out what the [subscription](sagemast::subscription) decides and forwards the host
//! lists to the driver.

mod connection;
mod json_framer;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sagemast::subscription::{
    Action, ConnectionId, MAX_CONNECTIONS, Subscription, SubscriptionSettings, UpdateInfo, UpdateVerdict,
};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::descriptors::Descriptors;
use super::driver::DriverEvent;
use super::host_list::HostList;
use super::log;
use connection::{ConnectionEvent, ConnectionEventKind, WatchRequest, run_connection};

/// Number of connections that may receive an update at the same time, which bounds the memory of incomplete updates.
const CONCURRENT_UPDATES: usize = 2;

/// What the client needs to start.
pub struct DiscoveryParameters {
    /// The settings of the subscription.
    pub settings: SubscriptionSettings,
    /// Address of discovery.
    pub address: SocketAddr,
    /// Version of the saved list; 0 requests a snapshot.
    pub list_version: u64,
    /// Seeds the jitter of calls.
    pub seed: u64,
    /// Sends events to the driver.
    pub event_sender: mpsc::UnboundedSender<DriverEvent>,
    /// Opens the connections of calls; learns of calls that find no free file descriptor.
    pub descriptors: Arc<Descriptors>,
}

/// What the driver asks of the client.
enum Command {
    /// The decision module requests a subscription.
    Subscribe,
    /// The configuration was reloaded and names this address.
    Reload(SocketAddr),
}

/// The driver's handle to the task that calls discovery; dropping it ends the task.
pub struct DiscoveryClient {
    command_sender: mpsc::UnboundedSender<Command>,
    _task: AbortOnDrop,
}

impl DiscoveryClient {
    /// Starts the task.
    pub fn start(parameters: DiscoveryParameters) -> DiscoveryClient {
        let (command_sender, commands) = mpsc::unbounded_channel();
        let task = tokio::spawn(DiscoveryTask::new(parameters).run(commands));
        DiscoveryClient { command_sender, _task: AbortOnDrop(task) }
    }

    /// Subscribes, unless a subscription is open or being opened.
    pub fn subscribe(&self) {
        self.send(Command::Subscribe);
    }

    /// Uses the address of a configuration that was reloaded.
    pub fn reload(&self, address: SocketAddr) {
        self.send(Command::Reload(address));
    }

    fn send(&self, command: Command) {
        // Fails only if the task has ended: then the process is about to exit.
        let _ = self.command_sender.send(command);
    }
}

/// The state of the task.
struct DiscoveryTask {
    subscription: Subscription,
    /// The origin of the subscription's clock.
    epoch: Instant,
    connections: HashMap<ConnectionId, AbortOnDrop>,
    event_sender: mpsc::Sender<ConnectionEvent>,
    events: mpsc::Receiver<ConnectionEvent>,
    update_permits: Arc<Semaphore>,
    driver: mpsc::UnboundedSender<DriverEvent>,
    descriptors: Arc<Descriptors>,
}

impl DiscoveryTask {
    fn new(parameters: DiscoveryParameters) -> DiscoveryTask {
        let DiscoveryParameters { settings, address, list_version, seed, event_sender: driver, descriptors } =
            parameters;
        // Room for one event of each connection.
        let (event_sender, events) = mpsc::channel(MAX_CONNECTIONS);
        DiscoveryTask {
            subscription: Subscription::new(settings, address, list_version, seed),
            epoch: Instant::now(),
            connections: HashMap::new(),
            event_sender,
            events,
            update_permits: Arc::new(Semaphore::new(CONCURRENT_UPDATES)),
            driver,
            descriptors,
        }
    }

    /// Runs until the driver ends.
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut actions = Vec::new();
        loop {
            let wakeup = self.subscription.next_wakeup().map(|at| self.instant(at));
            tokio::select! {
                // What has arrived may make a call unnecessary.
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command, &mut actions),
                    None => return,
                },
                Some(event) = self.events.recv() => self.on_event(event, &mut actions),
                () = sleep_until(wakeup.unwrap_or_else(Instant::now)), if wakeup.is_some() => {
                    self.subscription.on_wakeup(self.now(), &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    /// The time on the subscription's clock, in milliseconds.
    fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64() * 1e3
    }

    /// Converts a time on the subscription's clock. The microsecond makes up for rounding, so that a timer never fires
    /// before its time.
    fn instant(&self, at: f64) -> Instant {
        let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
        self.epoch + after + Duration::from_micros(1)
    }

    fn on_command(&mut self, command: Command, out: &mut Vec<Action>) {
        let now = self.now();
        match command {
            Command::Subscribe => self.subscription.on_requested(now, out),
            Command::Reload(address) => self.subscription.on_reload(address, now, out),
        }
    }

    fn on_event(&mut self, event: ConnectionEvent, out: &mut Vec<Action>) {
        let (connection, now) = (event.connection, self.now());
        match event.kind {
            ConnectionEventKind::Accepted => self.subscription.on_accepted(connection, now),
            ConnectionEventKind::KeepAlive => self.subscription.on_keep_alive(connection, now, out),
            ConnectionEventKind::UpdateStarted => self.subscription.on_update_started(connection, now),
            ConnectionEventKind::Update(list) => self.on_update(connection, list, now, out),
            ConnectionEventKind::Ended(error) => {
                self.connections.remove(&connection);
                let update_lost = error.loses_update();
                self.subscription.on_ended(connection, &error.to_string(), update_lost, now, out);
            }
        }
    }

    fn on_update(&mut self, connection: ConnectionId, list: HostList, now: f64, out: &mut Vec<Action>) {
        let update = UpdateInfo {
            version: list.version,
            is_snapshot: list.is_snapshot,
            has_invalid_entries: list.hosts.has_invalid(),
        };
        match self.subscription.on_update(connection, update, now, out) {
            UpdateVerdict::Apply => self.tell_driver(DriverEvent::HostListReceived(list)),
            UpdateVerdict::Ignore => {}
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open { connection, address, from_version } => {
                let request = WatchRequest { address, from_version };
                let (events, permits) = (self.event_sender.clone(), self.update_permits.clone());
                let task = run_connection(connection, request, self.descriptors.clone(), events, permits);
                self.connections.insert(connection, AbortOnDrop(tokio::spawn(task)));
            }
            Action::Close(connection) => {
                self.connections.remove(&connection);
            }
            Action::ReportUnavailable => self.tell_driver(DriverEvent::DiscoveryFailed),
            Action::Log(text) => log::line(text),
        }
    }

    fn tell_driver(&self, event: DriverEvent) {
        // Fails only if the driver has ended: then the process is about to exit.
        let _ = self.driver.send(event);
    }
}

/// A task that is aborted when this is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
