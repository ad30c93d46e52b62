//! Runs with hundreds of real sidecar processes that watch one stub of discovery over loopback. When a sidecar has
//! applied a change is observed from outside: it closes its idle connections to a server that starts to drain.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::report::{BinnedCounts, Distribution, Report};

/// Interval of the keep-alive lines on an open watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long the idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(15);
/// How long each fault is observed: longer than two idle timeouts of a watch.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(8);
/// Time within which a sidecar must log its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the start of the last sidecar until the idle fleet is measured.
const SETTLING_PERIOD: Duration = Duration::from_secs(3);
/// Interval of the checks whether a sidecar listens or a change has propagated.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pauses before a change is published and after it has propagated, for work that still goes on.
const PAUSE_BEFORE_CHANGE: Duration = Duration::from_millis(300);
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(200);
/// Number of single changes that are measured without a fault.
const CHANGE_COUNT: usize = 8;
/// Sidecars to which requests are sent without a pause, which limits the load on a shared machine.
const REQUEST_BATCH: usize = 20;
/// The pause after each batch of requests.
const PAUSE_AFTER_BATCH: Duration = Duration::from_millis(10);
/// How long discovery is down in the outage scenarios.
const OUTAGE_DURATION: Duration = Duration::from_secs(5);

/// How the discovery stub treats calls and watches.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StubMode {
    /// Serves all calls and the watches of the current generation.
    Serving,
    /// Keeps watches of earlier generations open but silent; serves new ones.
    OldWatchesSilent,
    /// Answers no call and sends nothing on open watches.
    Down,
}

/// A fault of the discovery stub.
struct DiscoveryFault<'a> {
    /// Its name in the report.
    name: &'a str,
    mode: StubMode,
    /// Whether open watches are reset. If not, they fall silent.
    reset_old_watches: bool,
    /// How long a call takes from then on.
    answer_delay: Duration,
}

/// The state of the discovery stub, to which all its watches react.
#[derive(Debug, Clone)]
struct StubState {
    mode: StubMode,
    /// Incremented by each fault. Watches that were opened in an earlier generation are reset or silent.
    generation: u64,
    /// Whether watches of earlier generations are reset. If not, they fall silent.
    reset_old_watches: bool,
    /// How long a call takes.
    answer_delay: Duration,
    /// The version of the host list.
    seq: u64,
    /// The latest change as a JSON line.
    latest_delta: Arc<str>,
    /// The complete list as a JSON line.
    snapshot: Arc<str>,
}

/// What the stubs have observed.
#[derive(Default)]
struct Observations {
    discovery_calls: Vec<Instant>,
    snapshots: u64,
    deltas: u64,
    /// Bytes written on watches.
    bytes: u64,
    /// When sidecars closed connections to a server, by the index of the server's listener.
    connections_closed: HashMap<usize, Vec<Instant>>,
}

type SharedObservations = Arc<Mutex<Observations>>;

fn lock(observations: &Mutex<Observations>) -> MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listening socket and its address.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

async fn bind() -> io::Result<BoundListener> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok(BoundListener { listener, address })
}

/// Reads an HTTP head up to its empty line; `None` at the end of the connection.
async fn read_head(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok().filter(|read| *read > 0)?;
        if line.trim_end().is_empty() {
            return Some(head);
        }
        head.push_str(&line);
    }
}

/// Accepts the calls to the discovery stub.
async fn serve_discovery(
    listener: TcpListener,
    state: watch::Receiver<StubState>,
    observations: SharedObservations,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (state, observations) = (state.clone(), observations.clone());
        tokio::spawn(async move {
            let _ = serve_watch(stream, state, observations).await;
        });
    }
}

/// Serves one watch until the client closes it or a fault resets it.
async fn serve_watch(
    stream: TcpStream,
    mut state: watch::Receiver<StubState>,
    observations: SharedObservations,
) -> io::Result<()> {
    let (read_half, mut writer) = stream.into_split();
    let mut reader = BufReader::new(read_half);
    let Some(request) = read_head(&mut reader).await else { return Ok(()) };
    let from_seq =
        request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(0);
    lock(&observations).discovery_calls.push(Instant::now());
    // The client sends nothing after its request, so the next read ends with the connection.
    let client_closed = async move {
        let _ = reader.read_u8().await;
    };
    let send_updates = async {
        // Calls that arrive while discovery is down are answered when it is back.
        let mut current =
            state.wait_for(|state| state.mode != StubMode::Down).await.map_err(io::Error::other)?.clone();
        if !current.answer_delay.is_zero() {
            sleep(current.answer_delay).await;
            current = state.borrow_and_update().clone();
        }
        let generation = current.generation;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut sent_seq = from_seq;
        // Only the latest delta is kept: a client that missed more than one change gets a snapshot.
        if sent_seq + 1 < current.seq || sent_seq == 0 {
            lock(&observations).snapshots += 1;
            write_chunk(&mut writer, &current.snapshot, &observations).await?;
        } else if sent_seq < current.seq {
            lock(&observations).deltas += 1;
            write_chunk(&mut writer, &current.latest_delta, &observations).await?;
        }
        sent_seq = current.seq;
        loop {
            let changed = tokio::time::timeout(KEEPALIVE_INTERVAL, state.changed()).await;
            current = state.borrow_and_update().clone();
            if current.generation > generation && current.reset_old_watches {
                return Ok(());
            }
            // The watch stays open but silent until the client closes it.
            if current.generation > generation || current.mode == StubMode::Down {
                std::future::pending::<()>().await;
            }
            match changed {
                // No update for a keep-alive interval.
                Err(_) => write_chunk(&mut writer, "\n", &observations).await?,
                Ok(Err(_)) => return Ok(()),
                Ok(Ok(())) if current.seq > sent_seq => {
                    sent_seq = current.seq;
                    lock(&observations).deltas += 1;
                    write_chunk(&mut writer, &current.latest_delta, &observations).await?;
                }
                Ok(Ok(())) => {}
            }
        }
    };
    tokio::select! {
        () = client_closed => Ok(()),
        result = send_updates => result,
    }
}

async fn write_chunk(
    writer: &mut (impl AsyncWriteExt + Unpin),
    text: &str,
    observations: &SharedObservations,
) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    lock(observations).bytes += chunk.len() as u64;
    writer.write_all(chunk.as_bytes()).await
}

/// A stub server that answers at once and records when its connections are closed.
async fn serve_requests(listener: TcpListener, server_index: usize, observations: SharedObservations) {
    while let Ok((stream, _)) = listener.accept().await {
        let observations = observations.clone();
        tokio::spawn(async move {
            let (read_half, mut writer) = stream.into_split();
            let mut reader = BufReader::new(read_half);
            while read_head(&mut reader).await.is_some() {
                let response = b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=0, eps=0, util=0.1\r\nContent-Length: 2\r\n\r\nok";
                if writer.write_all(response).await.is_err() {
                    break;
                }
            }
            lock(&observations).connections_closed.entry(server_index).or_default().push(Instant::now());
        });
    }
}

/// A running sidecar process, killed on drop.
struct Sidecar {
    child: Child,
    address: SocketAddr,
    config_file: PathBuf,
    log_file: PathBuf,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
        let _ = std::fs::remove_file(&self.log_file);
    }
}

impl Sidecar {
    /// Starts a sidecar and waits until it listens. `known` is the host list in its configuration file.
    async fn start(
        index: usize,
        sidecar_count: usize,
        discovery: SocketAddr,
        known: &str,
        subscribe: bool,
    ) -> io::Result<Sidecar> {
        let stem =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hollow-{}-{index}", std::process::id()));
        let (config_file, log_file) = (stem.with_extension("json"), stem.with_extension("log"));
        std::fs::write(&config_file, configuration(index, sidecar_count, discovery, known, subscribe))?;
        let child = Command::new(env!("CARGO_BIN_EXE_sagemast"))
            .env("ROUTER_CONFIG", &config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log_file)?)
            .spawn()?;
        let mut sidecar = Sidecar { child, address: discovery, config_file, log_file };
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let log = std::fs::read_to_string(&sidecar.log_file)?;
            if let Some(address) =
                log.split_once("listening on ").and_then(|(_, rest)| rest.lines().next()?.parse().ok())
            {
                sidecar.address = address;
                return Ok(sidecar);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other("sidecar did not log its listening address in time"))
    }

    /// CPU time so far, in nanoseconds. The sidecar has a single thread.
    fn cpu_ns(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).unwrap_or_default();
        text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0)
    }

    /// Resident memory, in KiB.
    fn resident_kib(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(0)
    }

    /// Sends one request through the sidecar. Returns whether it was served.
    async fn send_request(&self, id: u64) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address).await?;
        let request = format!(
            "GET /fetch?k=1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: fetch\r\n\
             X-Timeout-Ms: 8000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        Ok(response.starts_with(b"HTTP/1.1 200"))
    }
}

/// The content of a sidecar's configuration file.
fn configuration(
    index: usize,
    sidecar_count: usize,
    discovery: SocketAddr,
    known: &str,
    subscribe: bool,
) -> String {
    let mode = if subscribe { "subscribe" } else { "automatic" };
    format!(
        r#"{{"name":"n{index}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{index:x}",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":1024}},"known":{known},"settings":{{
"allowed":{{"cancel":true,"connect_timeout":2000.0,"keepalive":600000.0,"max_attempts":4,"probes":false}},
"azs":["east","west"],"classes":[{{"aim":3000.0,"effect":"repeatable","hard_limit":8000.0,"importance":3.0,"name":"fetch"}}],
"fees":{{"cross_zone":0.03}},"invariants":{{"cold_share":0.16,"drain_grace":2000.0,"fall":1500.0,"fall_multiple":2.5,
"must_ask_in":2000.0,"warm_up":21000.0}},"kinds":["std"],"membership_mode":"{mode}","peers_total":{sidecar_count},"rank":{index},
"period":5.0,"telemetry":{{"columns":["inflight","eps","util"],"how":"piggyback"}},"tenants":[],"zone":0}}}}"#
    )
}

/// An entry of the host list.
fn host_entry(host: &str, dial: SocketAddr, site: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"{site}","class":"std","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// The sidecars and the stubs around them.
struct Fleet {
    sidecars: Vec<Sidecar>,
    state: watch::Sender<StubState>,
    observations: SharedObservations,
    /// The two servers in the sidecars' zone. One of them is ready, the other drains.
    local_servers: [SocketAddr; 2],
    /// The index of the local server that is ready.
    ready_index: usize,
    /// The host list entries of the remote servers, which are in the other zone, each with a leading comma.
    remote_entries: String,
    next_request_id: u64,
}

impl Fleet {
    /// The complete host list under the next version.
    fn next_snapshot(&self) -> String {
        let mut text = format!(r#"{{"seq":{},"whole":true,"hosts":["#, self.state.borrow().seq + 1);
        text.push_str(&self.local_entries().join(","));
        text.push_str(&self.remote_entries);
        text + "]}\n"
    }

    fn local_entries(&self) -> [String; 2] {
        let health = |index| if index == self.ready_index { "ready" } else { "draining" };
        [0, 1].map(|index| {
            host_entry(&format!("near-{index}"), self.local_servers[index], "east", health(index))
        })
    }

    /// Makes every sidecar open a connection to the ready local server. Returns how many requests were served.
    async fn open_connections(&mut self) -> io::Result<usize> {
        let mut served = 0;
        for batch in self.sidecars.chunks(REQUEST_BATCH) {
            let ids = self.next_request_id..self.next_request_id + batch.len() as u64;
            self.next_request_id = ids.end;
            for (sidecar, id) in batch.iter().zip(ids) {
                served += usize::from(sidecar.send_request(id).await?);
            }
            sleep(PAUSE_AFTER_BATCH).await;
        }
        lock(&self.observations).connections_closed.clear();
        Ok(served)
    }

    /// Publishes a change in which the local servers swap their health. Returns the time of publication.
    fn swap_local_servers(&mut self) -> Instant {
        self.ready_index = 1 - self.ready_index;
        let (snapshot, entries) = (self.next_snapshot(), self.local_entries());
        let published_at = Instant::now();
        self.state.send_modify(|state| {
            state.seq += 1;
            state.latest_delta =
                format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}\n", state.seq, entries.join(","))
                    .into();
            state.snapshot = snapshot.into();
        });
        published_at
    }

    /// Waits until all sidecars have closed their connections to the draining local server, or the observation
    /// period ends. Returns how long each of them took.
    async fn await_propagation(&self, published_at: Instant) -> Vec<Duration> {
        let started = Instant::now();
        while started.elapsed() < OBSERVATION_PERIOD {
            let closed =
                lock(&self.observations).connections_closed.get(&(1 - self.ready_index)).map_or(0, Vec::len);
            if closed >= self.sidecars.len() {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        let observations = lock(&self.observations);
        let closed_at = observations.connections_closed.get(&(1 - self.ready_index)).into_iter().flatten();
        closed_at.map(|at| at.saturating_duration_since(published_at)).collect()
    }

    fn cpu_ns(&self) -> u64 {
        self.sidecars.iter().map(Sidecar::cpu_ns).sum()
    }

    fn watch_bytes(&self) -> u64 {
        lock(&self.observations).bytes
    }

    /// Injects a fault into the discovery stub, publishes a change during it and reports the propagation of the change.
    async fn measure_fault(&mut self, fault: DiscoveryFault<'_>, report: &mut Report) -> io::Result<()> {
        let DiscoveryFault { name, mode, reset_old_watches, answer_delay } = fault;
        // Inject the fault and publish a change that open watches do not deliver.
        let connected = self.open_connections().await?;
        let (snapshots_before, deltas_before, bytes_before) = {
            let observations = lock(&self.observations);
            (observations.snapshots, observations.deltas, observations.bytes)
        };
        let fault_at = Instant::now();
        self.state.send_modify(|state| {
            state.generation += 1;
            (state.mode, state.reset_old_watches) = (mode, reset_old_watches);
            state.answer_delay = answer_delay;
        });
        let (mut outage_ended_at, mut published_at) = (fault_at, self.swap_local_servers());
        // An outage ends after a while; propagation is then counted from its end.
        if mode == StubMode::Down {
            sleep(OUTAGE_DURATION).await;
            outage_ended_at = Instant::now();
            published_at = outage_ended_at;
            self.state.send_modify(|state| state.mode = StubMode::Serving);
        }
        // Observe how the sidecars recover, and report it.
        let delays = self.await_propagation(published_at).await;
        sleep(OBSERVATION_PERIOD.saturating_sub(published_at.elapsed())).await;
        let mut delay_distribution = Distribution::default();
        delays.iter().for_each(|delay| delay_distribution.record(delay.as_micros() as u64));
        let observations = lock(&self.observations);
        let calls_since = |start: Instant| {
            let mut calls = BinnedCounts::starting_at(0);
            for called_at in observations.discovery_calls.iter().filter(|called_at| **called_at >= start) {
                calls.add((*called_at - start).as_micros() as u64, 1);
            }
            calls
        };
        report.add_value(&format!("{name}: connected before"), connected as f64);
        report.add_value(&format!("{name}: sidecars in force"), delays.len() as f64);
        report.add_binned_counts(&format!("{name}: calls"), &calls_since(fault_at));
        if mode == StubMode::Down {
            report
                .add_binned_counts(&format!("{name}: calls after the return"), &calls_since(outage_ended_at));
        }
        report.add_value(&format!("{name}: whole lists"), (observations.snapshots - snapshots_before) as f64);
        report.add_value(&format!("{name}: deltas"), (observations.deltas - deltas_before) as f64);
        report.add_value(&format!("{name}: bytes"), (observations.bytes - bytes_before) as f64);
        report.add_distribution(&format!("{name}: in force, ms"), &mut delay_distribution, 1e3);
        Ok(())
    }
}

/// Runs sidecars that list `server_count` servers each and reports their load on discovery.
pub fn run(name: &str, sidecar_count: usize, server_count: usize, subscribe: bool) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_fleet(name, sidecar_count, server_count, subscribe))
}

async fn run_fleet(
    name: &str,
    sidecar_count: usize,
    server_count: usize,
    subscribe: bool,
) -> io::Result<Report> {
    let observations = SharedObservations::default();
    let discovery = bind().await?;
    let (first_local, second_local, remote) = (bind().await?, bind().await?, bind().await?);
    let local_servers = [first_local.address, second_local.address];
    let mut remote_entries = String::new();
    // The two local servers and the remote ones, which share one address, make up the list.
    for number in 2..server_count {
        let entry = host_entry(&format!("far-{number:05}"), remote.address, "west", "ready");
        let _ = write!(remote_entries, ",{entry}");
    }
    for (server_index, bound) in [first_local, second_local, remote].into_iter().enumerate() {
        tokio::spawn(serve_requests(bound.listener, server_index, observations.clone()));
    }
    // The first snapshot is published as version 5.
    let empty: Arc<str> = "".into();
    let state = StubState {
        mode: StubMode::Serving,
        generation: 0,
        reset_old_watches: false,
        answer_delay: Duration::ZERO,
        seq: 4,
        latest_delta: empty.clone(),
        snapshot: empty,
    };
    let (state, state_receiver) = watch::channel(state);
    let mut fleet = Fleet {
        sidecars: Vec::new(),
        state,
        observations: observations.clone(),
        local_servers,
        ready_index: 0,
        remote_entries,
        next_request_id: 0,
    };
    let known = fleet.next_snapshot();
    fleet.state.send_modify(|state| (state.seq, state.snapshot) = (5, known.clone().into()));
    tokio::spawn(serve_discovery(discovery.listener, state_receiver, observations.clone()));
    // Start the sidecars, whose configuration already holds the current list.
    let start = Instant::now();
    for index in 0..sidecar_count {
        let sidecar =
            Sidecar::start(index, sidecar_count, discovery.address, known.trim_end(), subscribe).await?;
        fleet.sidecars.push(sidecar);
    }
    let start_duration = start.elapsed();
    sleep(SETTLING_PERIOD).await;
    let mut report = Report::new(name);
    report.add_value("sidecars", sidecar_count as f64);
    report.add_value("servers listed", server_count as f64);
    report.add_value("started within, s", start_duration.as_secs_f64());
    report.add_value("calls at the start", lock(&observations).discovery_calls.len() as f64);

    // The costs of the idle fleet.
    let (cpu_ns_before, bytes_before, idle_start) = (fleet.cpu_ns(), fleet.watch_bytes(), Instant::now());
    sleep(IDLE_PERIOD).await;
    let sidecar_seconds = sidecar_count as f64 * idle_start.elapsed().as_secs_f64();
    let idle_cpu_ns_per_s = (fleet.cpu_ns() - cpu_ns_before) as f64 / sidecar_seconds;
    let idle_bytes_per_s = (fleet.watch_bytes() - bytes_before) as f64 / sidecar_seconds;
    report.add_value("idle: processor, us a second a sidecar", idle_cpu_ns_per_s / 1e3);
    report.add_value("idle: bytes a second a sidecar", idle_bytes_per_s);

    // The propagation and the costs of single changes, less the costs of the idle fleet.
    let (mut sidecar_delays, mut fleet_delays) = (Distribution::default(), Distribution::default());
    let (mut cpu_ns, mut bytes, mut seconds, mut not_observed) = (0, 0, 0.0, 0);
    for _ in 0..CHANGE_COUNT {
        fleet.open_connections().await?;
        sleep(PAUSE_BEFORE_CHANGE).await;
        let (cpu_ns_before, bytes_before) = (fleet.cpu_ns(), fleet.watch_bytes());
        let published_at = fleet.swap_local_servers();
        let delays = fleet.await_propagation(published_at).await;
        sleep(PAUSE_AFTER_CHANGE).await;
        cpu_ns += fleet.cpu_ns() - cpu_ns_before;
        bytes += fleet.watch_bytes() - bytes_before;
        seconds += published_at.elapsed().as_secs_f64();
        not_observed += sidecar_count - delays.len().min(sidecar_count);
        delays.iter().for_each(|delay| sidecar_delays.record(delay.as_micros() as u64));
        fleet_delays.record(delays.iter().max().map_or(0, Duration::as_micros) as u64);
    }
    let applied_changes = (CHANGE_COUNT * sidecar_count) as f64;
    report.add_value("changes", CHANGE_COUNT as f64);
    report.add_value("changes not seen in force", not_observed as f64);
    report.add_distribution("in force at one sidecar, ms", &mut sidecar_delays, 1e3);
    report.add_distribution("in force everywhere, ms", &mut fleet_delays, 1e3);
    report.add_value(
        "a change: processor, us a sidecar",
        cpu_ns as f64 / applied_changes / 1e3 - idle_cpu_ns_per_s * seconds / CHANGE_COUNT as f64 / 1e3,
    );
    report.add_value(
        "a change: bytes a sidecar",
        bytes as f64 / applied_changes - idle_bytes_per_s * seconds / CHANGE_COUNT as f64,
    );

    // Keep-alive lines are in phase with the start of each watch. The first silence meets watches whose starts are
    // spread out; the one after the reset meets watches that reopened almost together.
    let faults = [
        ("all watches silent", StubMode::OldWatchesSilent, false, Duration::ZERO),
        ("all watches reset", StubMode::Serving, true, Duration::ZERO),
        ("silent after the reset", StubMode::OldWatchesSilent, false, Duration::ZERO),
        ("reset and down for 5 s", StubMode::Down, true, Duration::ZERO),
        ("silent and down for 5 s", StubMode::Down, false, Duration::ZERO),
        ("reset, 0.2 s a call", StubMode::Serving, true, Duration::from_millis(200)),
        ("reset, 3 s a call", StubMode::Serving, true, Duration::from_secs(3)),
    ];
    for (name, mode, reset_old_watches, answer_delay) in faults {
        let fault = DiscoveryFault { name, mode, reset_old_watches, answer_delay };
        fleet.measure_fault(fault, &mut report).await?;
    }
    let max_resident_kib = fleet.sidecars.iter().map(Sidecar::resident_kib).max().unwrap_or(0);
    report.add_value("resident memory, most, KiB", max_resident_kib as f64);
    let exited =
        fleet.sidecars.iter_mut().filter_map(|sidecar| sidecar.child.try_wait().ok().flatten()).count();
    report.add_value("sidecars that ended", exited as f64);
    Ok(report)
}
