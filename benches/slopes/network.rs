//! The real program on loopback, between a client, ticket servers and a discovery that stand in for others.

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

use super::Plan;
use super::proc::{cpu_us, status_kib};
use super::stats::{Run, Size, Times, median};

/// Calls a second at a mean sidecar.
const MEAN_RATE: f64 = 87.0;
/// Zones apart from the sidecar's own, and servers in a cell.
const ZONES: u64 = 20;
const CELL: u64 = 10;
/// Nothing here takes this long unless it never comes.
const FOREVER: Duration = Duration::from_secs(20);
/// How often it is tried whether a change is in force.
const TRY_EVERY: Duration = Duration::from_millis(2);
/// Before that calls rest for so long: on a connection that has just carried an answer the program lets the next
/// one wait, which would be taken for the change.
const REST: Duration = Duration::from_millis(30);
/// As long as nothing changes, discovery says an empty line this often.
const ALIVE_EVERY: Duration = Duration::from_secs(2);
/// The version of the list that the program is told at its start.
const FIRST_SEQ: u64 = 41;

const START_KNOWN: &str = "network/start-with-list";
const START_UNKNOWN: &str = "network/start-without-list";
const CALL_TIME: &str = "network/call-time";
const CALL_DIRECT: &str = "network/call-without-sidecar";
const CALL_CPU: &str = "network/call-cpu";
const WHOLE_BYTES: &str = "network/whole-list-bytes";
const WHOLE_CPU: &str = "network/whole-list-cpu";
const WHOLE_TIME: &str = "network/whole-list-in-force";
const CHANGE_BYTES: &str = "network/change-bytes";
const CHANGE_CPU: &str = "network/change-cpu";
const CHANGE_TIME: &str = "network/change-in-force";
const CONNECTIONS: &str = "network/connections";
const PROBES: &str = "network/probes";
const MEMORY_LIST: &str = "network/memory-list";
const MEMORY_CALLS: &str = "network/memory-calls";
const MEMORY_END: &str = "network/memory-end";
const MEMORY_PEAK: &str = "network/memory-peak";
const IDLE_BYTES: &str = "network/idle-bytes";
const IDLE_CPU: &str = "network/idle-cpu";

/// Names of what is measured here.
pub const NAMES: &[&str] = &[
    START_UNKNOWN,
    START_KNOWN,
    CALL_TIME,
    CALL_DIRECT,
    CALL_CPU,
    CONNECTIONS,
    PROBES,
    CHANGE_BYTES,
    CHANGE_CPU,
    CHANGE_TIME,
    WHOLE_BYTES,
    WHOLE_CPU,
    WHOLE_TIME,
    MEMORY_LIST,
    MEMORY_CALLS,
    MEMORY_END,
    MEMORY_PEAK,
    IDLE_BYTES,
    IDLE_CPU,
];

/// The servers and discovery that one sidecar has, on a thread of their own.
struct Stage {
    size: Size,
    /// The one server in the sidecar's zone: while it is ready, calls go there, and else to the others.
    near: SocketAddr,
    /// All others listen here; to the sidecar they are as many servers as have names.
    far: SocketAddr,
    discovery: SocketAddr,
    agent: Arc<Agent>,
}

/// What discovery holds and has said, and what ticket servers have seen.
struct Agent {
    seq: AtomicU64,
    bytes: AtomicU64,
    /// Connections that ticket servers have now, and probes that they have answered.
    connections: AtomicU64,
    probes: AtomicU64,
    first: Mutex<String>,
    watches: Mutex<Vec<mpsc::UnboundedSender<Arc<str>>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stage {
    fn new(size: Size) -> Result<Stage> {
        let listeners = (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let at = listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let agent = Arc::new(Agent {
            seq: AtomicU64::new(FIRST_SEQ),
            bytes: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            first: Mutex::new(String::new()),
            watches: Mutex::new(Vec::new()),
        });
        let stage = Stage { size, near: at[0], far: at[1], discovery: at[2], agent: agent.clone() };
        *lock(&agent.first) = stage.whole(FIRST_SEQ, "draining");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || runtime.block_on(play(listeners, agent)));
        Ok(stage)
    }

    /// The entry of the one server in the sidecar's zone.
    fn near_entry(&self, health: &str) -> String {
        entry("s-near0000", self.near, "z0", 0, health)
    }

    fn whole(&self, seq: u64, near: &str) -> String {
        let far = (1..self.size.servers).map(|id| {
            let zone = format!("z{}", 1 + id / CELL % ZONES);
            entry(&format!("s-{id:08x}"), self.far, &zone, 1 + id / CELL, "ready")
        });
        let entries: Vec<String> = std::iter::once(self.near_entry(near)).chain(far).collect();
        list(seq, true, &entries)
    }

    /// Tells one change, or the whole list, on the open watches. How many bytes that took.
    fn tell(&self, whole: bool, near: &str) -> u64 {
        let seq = self.agent.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let text = if whole { self.whole(seq, near) } else { list(seq, false, &[self.near_entry(near)]) };
        let bytes = chunk(&text).len() as u64;
        let text: Arc<str> = text.into();
        lock(&self.agent.watches).retain(|watch| watch.send(text.clone()).is_ok());
        bytes
    }
}

fn entry(host: &str, dial: SocketAddr, zone: &str, cell: u64, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"{zone}","class":"m2","block":{cell},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A line as a chunk.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

async fn play(listeners: Vec<TcpListener>, agent: Arc<Agent>) {
    let tasks: Vec<_> = listeners
        .into_iter()
        .zip(["near", "far", ""])
        .map(|(listener, name)| tokio::spawn(accept(listener, name, agent.clone())))
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

async fn accept(listener: TcpListener, name: &'static str, agent: Arc<Agent>) -> Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let agent = agent.clone();
        tokio::spawn(async move {
            if name.is_empty() {
                return agent.watched(stream).await;
            }
            agent.connections.fetch_add(1, Ordering::SeqCst);
            let end = serve(stream, name, &agent).await;
            agent.connections.fetch_sub(1, Ordering::SeqCst);
            end
        });
    }
}

/// Reads the head of a message; all messages to these stand-ins are heads alone.
async fn head(stream: &mut tokio::net::TcpStream, buffer: &mut Vec<u8>) -> Result<String> {
    loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = buffer.drain(..at + 4).collect();
            return Ok(String::from_utf8(head)?);
        }
        ensure!(stream.read_buf(buffer).await? > 0, "the other side closed");
    }
}

/// A ticket server's connection: answers at once with its name and a report.
async fn serve(mut stream: tokio::net::TcpStream, name: &str, agent: &Agent) -> Result<()> {
    let mut buffer = Vec::new();
    let load = "TEXT inflight=2, eps=0, util=0.4";
    let answer = |body: &str| {
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Server-Load: {load}\r\n\r\n{body}", body.len())
    };
    loop {
        let head = head(&mut stream, &mut buffer).await?;
        let probe = head.starts_with("GET /metrics/load ");
        agent.probes.fetch_add(u64::from(probe), Ordering::SeqCst);
        let body = if probe { load } else { name };
        stream.write_all(answer(body).as_bytes()).await?;
    }
}

impl Agent {
    async fn watched(&self, mut stream: tokio::net::TcpStream) -> Result<()> {
        let request = head(&mut stream, &mut Vec::new()).await?;
        let from = request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
        let (tell, mut told) = mpsc::unbounded_channel();
        lock(&self.watches).push(tell);
        self.say(&mut stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        if from != Some(self.seq.load(Ordering::SeqCst)) {
            let first = chunk(&lock(&self.first));
            self.say(&mut stream, &first).await?;
        }
        loop {
            match tokio::time::timeout(ALIVE_EVERY, told.recv()).await {
                Ok(Some(line)) => self.say(&mut stream, &chunk(&line)).await?,
                Ok(None) => return Ok(()),
                Err(_) => self.say(&mut stream, &chunk("")).await?,
            }
        }
    }

    async fn say(&self, stream: &mut tokio::net::TcpStream, text: &str) -> Result<()> {
        stream.write_all(text.as_bytes()).await?;
        self.bytes.fetch_add(text.len() as u64, Ordering::SeqCst);
        Ok(())
    }
}

/// The real program.
struct Sidecar {
    child: Child,
    address: SocketAddr,
    file: PathBuf,
    /// From its start until it answered that it is up.
    ready_in: Duration,
}

impl Sidecar {
    /// Starts it with the list in its configuration, or with none.
    fn start(stage: &Stage, known: bool) -> Result<Sidecar> {
        let known = if known { lock(&stage.agent.first).clone() } else { "null".to_owned() };
        let zones: Vec<String> = (0..=ZONES).map(|zone| format!("\"z{zone}\"")).collect();
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
            stage.discovery,
            zones.join(","),
            stage.size.sidecars,
            stage.size.sidecars / 3
        );
        let name = format!("slopes-{}-{}.json", std::process::id(), stage.discovery.port());
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        File::create(&file)?.write_all(config.as_bytes())?;
        let start = Instant::now();
        let mut child = Command::new(env!("CARGO_BIN_EXE_sagemast"))
            .env("ROUTER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut errors = BufReader::new(child.stderr.take().context("standard error is piped")?);
        let mut sidecar = Sidecar { child, address: stage.near, file, ready_in: Duration::ZERO };
        let mut line = String::new();
        sidecar.address = loop {
            line.clear();
            ensure!(errors.read_line(&mut line)? > 0, "the program ended");
            if let Some((_, at)) = line.split_once("listening on ") {
                break at.trim().parse()?;
            }
        };
        std::thread::spawn(move || std::io::copy(&mut errors, &mut std::io::sink()));
        while !Client::to(sidecar.address)?.ask("/up")?.starts_with("HTTP/1.1 200") {
            ensure!(start.elapsed() < FOREVER, "the program is not up");
            std::thread::sleep(Duration::from_millis(1));
        }
        sidecar.ready_in = start.elapsed();
        Ok(sidecar)
    }

    /// Processor time so far, once it has nothing more to do.
    fn cpu(&self) -> Result<f64> {
        let (mut before, mut quiet) = (cpu_us(self.child.id())?, 0);
        let start = Instant::now();
        while quiet < 3 {
            ensure!(start.elapsed() < FOREVER, "the program does not come to rest");
            std::thread::sleep(Duration::from_millis(15));
            let now = cpu_us(self.child.id())?;
            quiet = if now == before { quiet + 1 } else { 0 };
            before = now;
        }
        Ok(before)
    }

    fn memory(&self, name: &str) -> Result<f64> {
        status_kib(self.child.id(), name)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client with one connection.
struct Client {
    stream: TcpStream,
    next: u64,
}

impl Client {
    fn to(address: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(FOREVER))?;
        Ok(Client { stream, next: 0 })
    }

    /// The whole answer to a request.
    fn ask(&mut self, path: &str) -> Result<String> {
        self.next += 1;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {:016x}\r\nX-Priority-Class: fetch\r\n\
             X-Timeout-Ms: 6000\r\n\r\n",
            self.next
        );
        self.stream.write_all(request.as_bytes())?;
        let (mut answer, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            let read = self.stream.read(&mut piece)?;
            ensure!(read > 0, "the other side closed");
            answer.extend_from_slice(&piece[..read]);
            let text = String::from_utf8_lossy(&answer);
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok()).flatten()
            });
            if body.len() >= length.unwrap_or(0) {
                return Ok(text.into_owned());
            }
        }
    }

    /// Which of the servers answered a call.
    fn call(&mut self) -> Result<bool> {
        let answer = self.ask("/fetch?k=7f3a9c21")?;
        match answer.split_once("\r\n\r\n").map(|(_, body)| body) {
            Some("near") => Ok(true),
            Some("far") => Ok(false),
            _ => bail!("no server answered: {}", answer.lines().next().unwrap_or_default()),
        }
    }
}

/// One run at all sizes. They are left alone together at its end, as that takes time and nothing else.
pub fn run(plan: &Plan, sizes: &[Size], runs: &mut Vec<Run>) -> Result<()> {
    let mut left = Vec::new();
    for size in sizes {
        left.push(
            one(plan, *size, runs)
                .with_context(|| format!("{} servers, {} sidecars", size.servers, size.sidecars))?,
        );
    }
    if ![IDLE_BYTES, IDLE_CPU].iter().any(|name| plan.wants(name)) {
        return Ok(());
    }
    let state = |(stage, sidecar): &(Stage, Sidecar)| -> Result<[f64; 2]> {
        Ok([stage.agent.bytes.load(Ordering::SeqCst) as f64, cpu_us(sidecar.child.id())?])
    };
    let before = left.iter().map(state).collect::<Result<Vec<_>>>()?;
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(plan.idle_s));
    for (each, before) in left.iter().zip(before) {
        let (after, seconds) = (state(each)?, start.elapsed().as_secs_f64());
        let names = [(IDLE_BYTES, "B/s"), (IDLE_CPU, "us/s")];
        for (at, (name, unit)) in names.into_iter().enumerate().filter(|(_, (name, _))| plan.wants(name)) {
            let value = (after[at] - before[at]) / seconds;
            runs.push(Run { name, unit, size: each.0.size, value, samples: None });
        }
    }
    Ok(())
}

/// One run at one size; what it leaves running.
fn one(plan: &Plan, size: Size, runs: &mut Vec<Run>) -> Result<(Stage, Sidecar)> {
    let stage = Stage::new(size)?;
    let mut add = |run: Run| {
        if plan.wants(run.name) {
            runs.push(run);
        }
    };
    let single = |name, unit, value| Run { name, unit, size, value, samples: None };
    let millis = |span: Duration| span.as_secs_f64() * 1e3;
    if plan.wants(START_UNKNOWN) {
        add(single(START_UNKNOWN, "ms", millis(Sidecar::start(&stage, false)?.ready_in)));
    }
    let sidecar = Sidecar::start(&stage, true)?;
    add(single(START_KNOWN, "ms", millis(sidecar.ready_in)));
    let idle = sidecar.cpu()?;
    add(single(MEMORY_LIST, "KiB", sidecar.memory("VmRSS")?));
    let mut client = Client::to(sidecar.address)?;
    if [CALL_TIME, CALL_DIRECT, CALL_CPU, CONNECTIONS, PROBES, MEMORY_CALLS]
        .iter()
        .any(|name| plan.wants(name))
    {
        let mut direct = Client::to(stage.far)?;
        paced(plan.calls_s[0], &mut client, &mut direct)?;
        let before = sidecar.cpu()?.max(idle);
        let probes = || stage.agent.probes.load(Ordering::SeqCst) as f64;
        let probes_before = probes();
        let (through, without) = paced(plan.calls_s[1], &mut client, &mut direct)?;
        let calls = (plan.calls_s[1] * MEAN_RATE).floor();
        add(single(CALL_CPU, "us", (sidecar.cpu()? - before) / calls));
        // The client's own, which goes past the sidecar, does not count.
        let connections = stage.agent.connections.load(Ordering::SeqCst).saturating_sub(1);
        add(single(CONNECTIONS, "open", connections as f64));
        add(single(PROBES, "/s", (probes() - probes_before) / plan.calls_s[1]));
        add(single(MEMORY_CALLS, "KiB", sidecar.memory("VmRSS")?));
        for (name, times) in [(CALL_TIME, through), (CALL_DIRECT, without)] {
            times.run(name, size).into_iter().for_each(&mut add);
        }
    }
    for (whole, [bytes_name, cpu_name, time_name]) in
        [(false, [CHANGE_BYTES, CHANGE_CPU, CHANGE_TIME]), (true, [WHOLE_BYTES, WHOLE_CPU, WHOLE_TIME])]
    {
        if ![bytes_name, cpu_name, time_name, MEMORY_END, MEMORY_PEAK].iter().any(|name| plan.wants(name)) {
            continue;
        }
        let health = |number: u64| if number.is_multiple_of(2) { "ready" } else { "draining" };
        let before = sidecar.cpu()?;
        let (count, mut bytes) = (plan.lists * if whole { 1 } else { 5 }, 0);
        // With the agent's writing done and the program at rest before the next.
        for number in 0..count {
            bytes = stage.tell(whole, health(number));
            std::thread::sleep(Duration::from_millis(if whole { 30 } else { 8 }));
        }
        add(single(cpu_name, "us", (sidecar.cpu()? - before) / count as f64));
        add(single(bytes_name, "B", bytes as f64));
        let mut times = Vec::new();
        for number in 0..plan.lists / 2 * 2 {
            times.push(millis(in_force(&stage, whole, health(number), &mut client)?));
        }
        add(single(time_name, "ms", median(&times)));
    }
    add(single(MEMORY_END, "KiB", sidecar.memory("VmRSS")?));
    add(single(MEMORY_PEAK, "KiB", sidecar.memory("VmHWM")?));
    Ok((stage, sidecar))
}

/// Calls at the mean rate for so long, each through the sidecar and once more without it.
fn paced(seconds: f64, client: &mut Client, direct: &mut Client) -> Result<(Times, Times)> {
    let (mut through, mut without) = (Times::new(), Times::new());
    let begun = Instant::now();
    for number in 0..(seconds * MEAN_RATE) as u64 {
        let due = begun + Duration::from_secs_f64(number as f64 / MEAN_RATE);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        for (client, times) in [(&mut *client, &mut through), (&mut *direct, &mut without)] {
            let start = Instant::now();
            client.call()?;
            times.add(start.elapsed().as_nanos() as u64);
        }
    }
    Ok((through, without))
}

/// Tells a change and calls until an answer shows that it counts.
fn in_force(stage: &Stage, whole: bool, near: &str, client: &mut Client) -> Result<Duration> {
    std::thread::sleep(REST);
    let start = Instant::now();
    stage.tell(whole, near);
    while client.call()? != (near == "ready") {
        ensure!(start.elapsed() < FOREVER, "a change never came into force");
        std::thread::sleep(TRY_EVERY);
    }
    Ok(start.elapsed())
}
