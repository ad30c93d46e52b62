//! Measurements of the real program on loopback, with a client and with stubs of the servers and of discovery.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use super::Workload;
use super::proc::{cpu_us, status_kib};
use super::stats::{LatencyHistogram, RunResult, Size, median};

/// Request rate of an average sidecar: 400,000 requests per second over 4,600 sidecars.
const MEAN_REQUESTS_PER_S: f64 = 87.0;
/// Zones besides the sidecar's own.
const REMOTE_ZONES: u64 = 20;
const SERVERS_PER_CELL: u64 = 10;
/// Upper bound of every wait; reaching it is an error.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the calls that check whether an update is in effect.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval of the checks whether the program is up.
const UP_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Pause before the propagation of an update is timed. The program may delay a request on a connection that has just
/// carried a response, which would count as propagation time.
const PAUSE_BEFORE_UPDATE: Duration = Duration::from_millis(30);
/// Interval of the keep-alive lines on an open watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Single changes per snapshot in the measurements of bytes and CPU time.
const CHANGES_PER_SNAPSHOT: u64 = 5;
/// Pauses after an update, in which the stub finishes writing and the program becomes idle.
const PAUSE_AFTER_SNAPSHOT: Duration = Duration::from_millis(30);
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(8);
/// Interval of the samples of the CPU time that show whether the program is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// The program is idle after this many samples without an increase.
const IDLE_CHECKS: u32 = 3;
/// The response bodies of the local server and of the remote servers.
const LOCAL_BODY: &str = "near";
const REMOTE_BODY: &str = "far";
/// The load report of all servers.
const LOAD_REPORT: &str = "TEXT inflight=2, eps=0, util=0.4";
/// Version of the host list in the program's configuration.
const INITIAL_SEQ: u64 = 41;

const START_WITH_LIST: &str = "network/start-with-list";
const START_WITHOUT_LIST: &str = "network/start-without-list";
const CALL_TIME: &str = "network/call-time";
const CALL_WITHOUT_SIDECAR: &str = "network/call-without-sidecar";
const CALL_CPU: &str = "network/call-cpu";
const SNAPSHOT_BYTES: &str = "network/whole-list-bytes";
const SNAPSHOT_CPU: &str = "network/whole-list-cpu";
const SNAPSHOT_PROPAGATION: &str = "network/whole-list-in-force";
const CHANGE_BYTES: &str = "network/change-bytes";
const CHANGE_CPU: &str = "network/change-cpu";
const CHANGE_PROPAGATION: &str = "network/change-in-force";
const CONNECTIONS: &str = "network/connections";
const PROBES: &str = "network/probes";
const MEMORY_LIST: &str = "network/memory-list";
const MEMORY_CALLS: &str = "network/memory-calls";
const MEMORY_END: &str = "network/memory-end";
const MEMORY_PEAK: &str = "network/memory-peak";
const IDLE_BYTES: &str = "network/idle-bytes";
const IDLE_CPU: &str = "network/idle-cpu";

/// Names of the measurements in this file.
pub const NAMES: &[&str] = &[
    START_WITHOUT_LIST,
    START_WITH_LIST,
    CALL_TIME,
    CALL_WITHOUT_SIDECAR,
    CALL_CPU,
    CONNECTIONS,
    PROBES,
    CHANGE_BYTES,
    CHANGE_CPU,
    CHANGE_PROPAGATION,
    SNAPSHOT_BYTES,
    SNAPSHOT_CPU,
    SNAPSHOT_PROPAGATION,
    MEMORY_LIST,
    MEMORY_CALLS,
    MEMORY_END,
    MEMORY_PEAK,
    IDLE_BYTES,
    IDLE_CPU,
];

/// The servers and discovery of one sidecar, on a thread of their own.
struct Stubs {
    size: Size,
    /// The only server in the sidecar's zone. Requests go to it while it is ready, otherwise to remote servers.
    local_address: SocketAddr,
    /// The common address of the remote servers, which are all servers in other zones.
    remote_address: SocketAddr,
    discovery_address: SocketAddr,
    state: Arc<StubState>,
}

/// State that the stub tasks share with the measurements.
struct StubState {
    /// The version of the host list.
    seq: AtomicU64,
    /// Bytes written on watches.
    watch_bytes: AtomicU64,
    /// Open connections to the servers.
    connections: AtomicU64,
    /// Probes that the servers have answered.
    probes: AtomicU64,
    /// The initial host list.
    initial_list: Mutex<String>,
    /// Senders of host list lines to the open watches.
    watches: Mutex<Vec<mpsc::UnboundedSender<Arc<str>>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stubs {
    /// Starts the stubs. The local server drains in the initial list.
    fn start(size: Size) -> Result<Stubs> {
        let listeners = (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let state = Arc::new(StubState {
            seq: AtomicU64::new(INITIAL_SEQ),
            watch_bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            initial_list: Mutex::new(String::new()),
            watches: Mutex::new(Vec::new()),
        });
        let stubs = Stubs {
            size,
            local_address: addresses[0],
            remote_address: addresses[1],
            discovery_address: addresses[2],
            state: state.clone(),
        };
        *lock(&state.initial_list) = stubs.snapshot(INITIAL_SEQ, "draining");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || runtime.block_on(run_stubs(listeners, state)));
        Ok(stubs)
    }

    /// The entry of the local server.
    fn local_entry(&self, health: &str) -> String {
        host_entry("s-near0000", self.local_address, "z0", 0, health)
    }

    /// The complete host list, with the given health of the local server.
    fn snapshot(&self, seq: u64, local_health: &str) -> String {
        let remote_entries = (1..self.size.servers).map(|id| {
            let zone = format!("z{}", 1 + id / SERVERS_PER_CELL % REMOTE_ZONES);
            host_entry(&format!("s-{id:08x}"), self.remote_address, &zone, 1 + id / SERVERS_PER_CELL, "ready")
        });
        let entries: Vec<String> =
            std::iter::once(self.local_entry(local_health)).chain(remote_entries).collect();
        host_list(seq, true, &entries)
    }

    /// Sends the health of the local server on the open watches, in a snapshot or as a single change. Returns the size
    /// of the update.
    fn publish(&self, as_snapshot: bool, local_health: &str) -> u64 {
        let seq = self.state.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let line = if as_snapshot {
            self.snapshot(seq, local_health)
        } else {
            host_list(seq, false, &[self.local_entry(local_health)])
        };
        let bytes = chunk(&line).len() as u64;
        let line: Arc<str> = line.into();
        lock(&self.state.watches).retain(|watch| watch.send(line.clone()).is_ok());
        bytes
    }
}

/// An entry of the host list, as JSON.
fn host_entry(host: &str, dial: SocketAddr, zone: &str, cell: u64, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"{zone}","class":"m2","block":{cell},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A host list, complete or with changed entries only, as JSON.
fn host_list(seq: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{complete},"hosts":[{}]}}"#, entries.join(","))
}

/// Frames a line as a chunk of an HTTP response.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

async fn run_stubs(listeners: Vec<TcpListener>, state: Arc<StubState>) {
    let tasks: Vec<_> = listeners
        .into_iter()
        .zip([Some(LOCAL_BODY), Some(REMOTE_BODY), None])
        .map(|(listener, response_body)| {
            tokio::spawn(accept_connections(listener, response_body, state.clone()))
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

/// Accepts connections as a server with the given response body or, without one, as discovery.
async fn accept_connections(
    listener: TcpListener,
    response_body: Option<&'static str>,
    state: Arc<StubState>,
) -> Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let state = state.clone();
        tokio::spawn(async move {
            let Some(response_body) = response_body else {
                return state.serve_watch(stream).await;
            };
            state.connections.fetch_add(1, Ordering::SeqCst);
            let result = serve_requests(stream, response_body, &state).await;
            state.connections.fetch_sub(1, Ordering::SeqCst);
            result
        });
    }
}

/// Reads the head of a request. Requests to the stubs have no bodies.
async fn read_head(stream: &mut tokio::net::TcpStream, buffer: &mut Vec<u8>) -> Result<String> {
    loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = buffer.drain(..at + 4).collect();
            return Ok(String::from_utf8(head)?);
        }
        ensure!(stream.read_buf(buffer).await? > 0, "connection closed before the end of a request head");
    }
}

/// Responds at once to the requests on a server's connection, with the given body and a load report.
async fn serve_requests(
    mut stream: tokio::net::TcpStream,
    response_body: &str,
    state: &StubState,
) -> Result<()> {
    let mut buffer = Vec::new();
    let response = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Server-Load: {LOAD_REPORT}\r\n\r\n{body}",
            body.len()
        )
    };
    loop {
        let head = read_head(&mut stream, &mut buffer).await?;
        let is_probe = head.starts_with("GET /metrics/load ");
        state.probes.fetch_add(u64::from(is_probe), Ordering::SeqCst);
        let body = if is_probe { LOAD_REPORT } else { response_body };
        stream.write_all(response(body).as_bytes()).await?;
    }
}

impl StubState {
    /// Serves a watch: the initial list unless the sidecar has the current version, then each published update.
    async fn serve_watch(&self, mut stream: tokio::net::TcpStream) -> Result<()> {
        let request = read_head(&mut stream, &mut Vec::new()).await?;
        let from_seq =
            request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
        let (sender, mut updates) = mpsc::unbounded_channel();
        lock(&self.watches).push(sender);
        self.write_watch(&mut stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        if from_seq != Some(self.seq.load(Ordering::SeqCst)) {
            let initial_list = chunk(&lock(&self.initial_list));
            self.write_watch(&mut stream, &initial_list).await?;
        }
        loop {
            match tokio::time::timeout(KEEPALIVE_INTERVAL, updates.recv()).await {
                Ok(Some(line)) => self.write_watch(&mut stream, &chunk(&line)).await?,
                Ok(None) => return Ok(()),
                Err(_) => self.write_watch(&mut stream, &chunk("")).await?,
            }
        }
    }

    /// Writes on a watch and counts the bytes.
    async fn write_watch(&self, stream: &mut tokio::net::TcpStream, text: &str) -> Result<()> {
        stream.write_all(text.as_bytes()).await?;
        self.watch_bytes.fetch_add(text.len() as u64, Ordering::SeqCst);
        Ok(())
    }
}

/// A running process of the program, killed on drop.
struct Sidecar {
    child: Child,
    address: SocketAddr,
    config_file: PathBuf,
    /// Time from its start until it reported that it is up.
    startup: Duration,
}

impl Sidecar {
    /// Starts the program, with or without the host list in its configuration, and waits until it is up.
    fn start(stubs: &Stubs, with_list: bool) -> Result<Sidecar> {
        let known = if with_list { lock(&stubs.state.initial_list).clone() } else { "null".to_owned() };
        let zones: Vec<String> = (0..=REMOTE_ZONES).map(|zone| format!("\"z{zone}\"")).collect();
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":1024}},"known":{known},"settings":{{
"allowed":{{"cancel":true,"connect_timeout":2000.0,"keepalive":60000.0,"max_attempts":3,"max_retry_after":600.0,
"may_duplicate":false,"multiplex":1,"probes":true,"retry_after":true}},"azs":[{}],"classes":[
{{"aim":3000.0,"effect":"repeatable","hard_limit":8000.0,"importance":3.0,"name":"fetch"}}],
"fees":{{"cross_zone":0.03,"probe":0.01}},"invariants":{{"cold_share":0.2,"drain_grace":2000.0,"fall":2000.0,
"fall_multiple":2.5,"must_ask_in":400.0,"warm_up":20000.0}},"kinds":["m2"],"membership_mode":"automatic",
"peers_total":{},"period":5.0,"rank":{},"telemetry":{{"columns":["inflight","eps","util"],"how":"piggyback"}},
"tenants":[],"zone":0}}}}"#,
            stubs.discovery_address,
            zones.join(","),
            stubs.size.sidecars,
            stubs.size.sidecars / 3
        );
        let file_name = format!("slopes-{}-{}.json", std::process::id(), stubs.discovery_address.port());
        let config_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file_name);
        File::create(&config_file)?.write_all(config.as_bytes())?;
        let start = Instant::now();
        let mut child = Command::new(env!("CARGO_BIN_EXE_sagemast"))
            .env("ROUTER_CONFIG", &config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        // The log shows the address; the remaining lines are discarded.
        let mut log = BufReader::new(child.stderr.take().context("standard error is not piped")?);
        let mut sidecar =
            Sidecar { child, address: stubs.local_address, config_file, startup: Duration::ZERO };
        let mut line = String::new();
        sidecar.address = loop {
            line.clear();
            ensure!(log.read_line(&mut line)? > 0, "sidecar exited before it listened");
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.trim().parse()?;
            }
        };
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        while !Client::connect(sidecar.address)?.get("/up")?.starts_with("HTTP/1.1 200") {
            ensure!(start.elapsed() < TIMEOUT, "sidecar did not report that it is up within {TIMEOUT:?}");
            std::thread::sleep(UP_CHECK_INTERVAL);
        }
        sidecar.startup = start.elapsed();
        Ok(sidecar)
    }

    /// Waits until the program is idle and returns its CPU time so far, in microseconds.
    fn cpu_us_when_idle(&self) -> Result<f64> {
        let (mut previous, mut unchanged_samples) = (cpu_us(self.child.id())?, 0);
        let start = Instant::now();
        while unchanged_samples < IDLE_CHECKS {
            ensure!(start.elapsed() < TIMEOUT, "sidecar did not become idle within {TIMEOUT:?}");
            std::thread::sleep(IDLE_CHECK_INTERVAL);
            let current = cpu_us(self.child.id())?;
            unchanged_samples = if current == previous { unchanged_samples + 1 } else { 0 };
            previous = current;
        }
        Ok(previous)
    }

    /// A memory field of `/proc/PID/status`, in KiB.
    fn memory_kib(&self, field: &str) -> Result<f64> {
        status_kib(self.child.id(), field)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// An HTTP client with a single connection.
struct Client {
    stream: TcpStream,
    last_request_id: u64,
}

impl Client {
    fn connect(address: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { stream, last_request_id: 0 })
    }

    /// Sends a GET request and returns the complete response.
    fn get(&mut self, path: &str) -> Result<String> {
        self.last_request_id += 1;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {:016x}\r\nX-Priority-Class: fetch\r\n\
             X-Timeout-Ms: 6000\r\n\r\n",
            self.last_request_id
        );
        self.stream.write_all(request.as_bytes())?;
        let (mut response, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            let read = self.stream.read(&mut buffer)?;
            ensure!(read > 0, "connection closed before the end of the response to GET {path}");
            response.extend_from_slice(&buffer[..read]);
            let text = String::from_utf8_lossy(&response);
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let content_length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok()).flatten()
            });
            if body.len() >= content_length.unwrap_or(0) {
                return Ok(text.into_owned());
            }
        }
    }

    /// Makes one call. Returns whether the local server responded, and not a remote one.
    fn call_reaches_local(&mut self) -> Result<bool> {
        let response = self.get("/fetch?k=7f3a9c21")?;
        match response.split_once("\r\n\r\n").map(|(_, body)| body) {
            Some(LOCAL_BODY) => Ok(true),
            Some(REMOTE_BODY) => Ok(false),
            _ => bail!("no server responded to the call: {}", response.lines().next().unwrap_or_default()),
        }
    }
}

/// A sidecar and its stubs.
struct Deployment {
    stubs: Stubs,
    sidecar: Sidecar,
}

/// Totals since the start of a deployment.
struct Counters {
    watch_bytes: f64,
    cpu_us: f64,
}

impl Deployment {
    fn counters(&self) -> Result<Counters> {
        Ok(Counters {
            watch_bytes: self.stubs.state.watch_bytes.load(Ordering::SeqCst) as f64,
            cpu_us: cpu_us(self.sidecar.child.id())?,
        })
    }
}

/// Performs one run at all sizes. The idle costs are measured last and for all sizes at the same time, as each takes
/// seconds of waiting.
pub fn run(workload: &Workload, sizes: &[Size], results: &mut Vec<RunResult>) -> Result<()> {
    let mut deployments = Vec::new();
    for size in sizes {
        deployments.push(
            run_size(workload, *size, results)
                .with_context(|| format!("{} servers, {} sidecars", size.servers, size.sidecars))?,
        );
    }
    if ![IDLE_BYTES, IDLE_CPU].iter().any(|name| workload.selects(name)) {
        return Ok(());
    }
    // The idle deployments.
    let counters_before = deployments.iter().map(Deployment::counters).collect::<Result<Vec<_>>>()?;
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(workload.idle_s));
    for (deployment, before) in deployments.iter().zip(counters_before) {
        let (after, seconds) = (deployment.counters()?, start.elapsed().as_secs_f64());
        let increases = [
            (IDLE_BYTES, "B/s", after.watch_bytes - before.watch_bytes),
            (IDLE_CPU, "us/s", after.cpu_us - before.cpu_us),
        ];
        for (name, unit, increase) in increases.into_iter().filter(|(name, _, _)| workload.selects(name)) {
            let value = increase / seconds;
            results.push(RunResult { name, unit, size: deployment.stubs.size, value, samples: None });
        }
    }
    Ok(())
}

/// Performs one run at one size. Returns the deployment, which is still running.
fn run_size(workload: &Workload, size: Size, results: &mut Vec<RunResult>) -> Result<Deployment> {
    let stubs = Stubs::start(size)?;
    let mut add = |result: RunResult| {
        if workload.selects(result.name) {
            results.push(result);
        }
    };
    let single_value = |name, unit, value| RunResult { name, unit, size, value, samples: None };
    let to_ms = |duration: Duration| duration.as_secs_f64() * 1e3;
    // The start.
    if workload.selects(START_WITHOUT_LIST) {
        add(single_value(START_WITHOUT_LIST, "ms", to_ms(Sidecar::start(&stubs, false)?.startup)));
    }
    let sidecar = Sidecar::start(&stubs, true)?;
    add(single_value(START_WITH_LIST, "ms", to_ms(sidecar.startup)));
    let startup_cpu_us = sidecar.cpu_us_when_idle()?;
    add(single_value(MEMORY_LIST, "KiB", sidecar.memory_kib("VmRSS")?));
    // Calls through the sidecar and, for comparison, without it.
    let mut client = Client::connect(sidecar.address)?;
    if [CALL_TIME, CALL_WITHOUT_SIDECAR, CALL_CPU, CONNECTIONS, PROBES, MEMORY_CALLS]
        .iter()
        .any(|name| workload.selects(name))
    {
        let mut direct_client = Client::connect(stubs.remote_address)?;
        make_calls(workload.call_warm_up_s, &mut client, &mut direct_client)?;
        let cpu_us_before = sidecar.cpu_us_when_idle()?.max(startup_cpu_us);
        let probes = || stubs.state.probes.load(Ordering::SeqCst) as f64;
        let probes_before = probes();
        let call_times = make_calls(workload.call_measurement_s, &mut client, &mut direct_client)?;
        let calls = (workload.call_measurement_s * MEAN_REQUESTS_PER_S).floor();
        add(single_value(CALL_CPU, "us", (sidecar.cpu_us_when_idle()? - cpu_us_before) / calls));
        // Excludes the connection of the direct client.
        let connections = stubs.state.connections.load(Ordering::SeqCst).saturating_sub(1);
        add(single_value(CONNECTIONS, "open", connections as f64));
        add(single_value(PROBES, "/s", (probes() - probes_before) / workload.call_measurement_s));
        add(single_value(MEMORY_CALLS, "KiB", sidecar.memory_kib("VmRSS")?));
        for (name, times) in
            [(CALL_TIME, call_times.through_sidecar), (CALL_WITHOUT_SIDECAR, call_times.direct)]
        {
            times.run_result(name, size).into_iter().for_each(&mut add);
        }
    }
    // Updates of the host list. The local server alternates between ready and draining, beginning with ready.
    for (as_snapshot, [bytes_name, cpu_name, propagation_name]) in [
        (false, [CHANGE_BYTES, CHANGE_CPU, CHANGE_PROPAGATION]),
        (true, [SNAPSHOT_BYTES, SNAPSHOT_CPU, SNAPSHOT_PROPAGATION]),
    ] {
        if ![bytes_name, cpu_name, propagation_name, MEMORY_END, MEMORY_PEAK]
            .iter()
            .any(|name| workload.selects(name))
        {
            continue;
        }
        let local_health = |number: u64| if number.is_multiple_of(2) { "ready" } else { "draining" };
        let cpu_us_before = sidecar.cpu_us_when_idle()?;
        let (count, mut bytes) = (workload.snapshots * if as_snapshot { 1 } else { CHANGES_PER_SNAPSHOT }, 0);
        for number in 0..count {
            bytes = stubs.publish(as_snapshot, local_health(number));
            std::thread::sleep(if as_snapshot { PAUSE_AFTER_SNAPSHOT } else { PAUSE_AFTER_CHANGE });
        }
        add(single_value(cpu_name, "us", (sidecar.cpu_us_when_idle()? - cpu_us_before) / count as f64));
        add(single_value(bytes_name, "B", bytes as f64));
        let mut propagation_times_ms = Vec::new();
        // An even number, so that the local server drains again at the end.
        for number in 0..workload.snapshots / 2 * 2 {
            propagation_times_ms.push(to_ms(measure_propagation(
                &stubs,
                as_snapshot,
                local_health(number),
                &mut client,
            )?));
        }
        add(single_value(propagation_name, "ms", median(&propagation_times_ms)));
    }
    add(single_value(MEMORY_END, "KiB", sidecar.memory_kib("VmRSS")?));
    add(single_value(MEMORY_PEAK, "KiB", sidecar.memory_kib("VmHWM")?));
    Ok(Deployment { stubs, sidecar })
}

/// Times of the same number of calls on two paths.
struct CallTimes {
    through_sidecar: LatencyHistogram,
    direct: LatencyHistogram,
}

/// Makes calls at the mean rate, each once through the sidecar and once directly to a server.
fn make_calls(seconds: f64, sidecar_client: &mut Client, direct_client: &mut Client) -> Result<CallTimes> {
    let mut call_times =
        CallTimes { through_sidecar: LatencyHistogram::new(), direct: LatencyHistogram::new() };
    let start = Instant::now();
    for number in 0..(seconds * MEAN_REQUESTS_PER_S) as u64 {
        let scheduled_at = start + Duration::from_secs_f64(number as f64 / MEAN_REQUESTS_PER_S);
        std::thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        for (client, times) in [
            (&mut *sidecar_client, &mut call_times.through_sidecar),
            (&mut *direct_client, &mut call_times.direct),
        ] {
            let call_start = Instant::now();
            client.call_reaches_local()?;
            times.record(call_start.elapsed().as_nanos() as u64);
        }
    }
    Ok(call_times)
}

/// Publishes the health of the local server and makes calls until a response shows that the update is in effect.
fn measure_propagation(
    stubs: &Stubs,
    as_snapshot: bool,
    local_health: &str,
    client: &mut Client,
) -> Result<Duration> {
    std::thread::sleep(PAUSE_BEFORE_UPDATE);
    let start = Instant::now();
    stubs.publish(as_snapshot, local_health);
    while client.call_reaches_local()? != (local_health == "ready") {
        ensure!(start.elapsed() < TIMEOUT, "an update of the host list was not in effect within {TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(start.elapsed())
}
