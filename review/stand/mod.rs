//! Stand-ins for the platform, discovery, ticket servers and clients, on loopback sockets and the real clock. Standard
//! library only, so that `review/build.sh` can compile each case with `rustc` alone.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

// --- The case --------------------------------------------------------------------------------

/// What `run.sh` tells a case: its folder, a temporary folder, and whether the disruption is played.
pub struct Case {
    pub trouble: bool,
    pub temporary: PathBuf,
    pub record: Record,
}

impl Case {
    pub fn from_env() -> Case {
        // A fault of the stand-ins ends the case as one that could not run, and no sidecar stays behind.
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            end_sidecars();
            std::process::exit(2)
        }));
        let folder = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR"));
        let temporary = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(folder.join("record.txt"));
        record.line(format!("case starts, disruption {}", if trouble { "on" } else { "off" }));
        Case { trouble, temporary, record }
    }

    /// Ends the case and every sidecar that it started: 0 if the rule held, 1 if it was broken, 2 if the case could not
    /// run.
    pub fn finish(&self, code: i32, verdict: &str) -> ! {
        end_sidecars();
        self.record.line(format!("verdict: {verdict} (exit {code})"));
        println!("{verdict} (exit {code})");
        std::process::exit(code)
    }
}

/// `record.txt`: a line per event, with the time since the start of the case in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::io::BufWriter<std::fs::File>>>,
    start: Instant,
}

impl Record {
    fn create(path: PathBuf) -> Record {
        let file = std::fs::File::create(path).expect("record.txt");
        Record { file: Arc::new(Mutex::new(std::io::BufWriter::new(file))), start: Instant::now() }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.start.elapsed().as_millis(), text.as_ref());
        let _ = file.flush();
    }
}

// --- The sidecar -----------------------------------------------------------------------------

/// The sidecars that were started; [`Case::finish`] ends them.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends the sidecars that were started.
fn end_sidecars() {
    for mut child in std::mem::take(&mut *lock(&CHILDREN)) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A sidecar, started by the command `run` of the deploy file.
pub struct Sidecar {
    pub process_id: u32,
    pub address: SocketAddr,
    config: PathBuf,
}

/// A loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The value of `run` in `deploy/balancer.toml`; the case runs in the root folder.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.split('"').nth(1).expect("the command").to_owned()
}

impl Sidecar {
    /// Starts a sidecar. `limits` and `settings` are JSON objects, `known` a list in discovery's form.
    pub fn start(case: &Case, discovery: SocketAddr, limits: &str, known: &str, settings: &str) -> Sidecar {
        let address = free_address();
        let config = case.temporary.join("config.json");
        std::fs::write(&config, config_json(address, discovery, limits, known, settings)).expect("config");
        let log = std::fs::File::create(case.temporary.join("sidecar.log")).expect("log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &case.temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("start the sidecar");
        let process_id = child.id();
        lock(&CHILDREN).push(child);
        case.record.line(format!("sidecar {process_id} started, listens at {address}"));
        Sidecar { process_id, address, config }
    }

    /// Waits until `GET /up` returns 200; false after 30 s.
    pub fn wait_until_up(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if let Ok(mut client) = Client::connect(self.address)
                && client.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n").is_ok()
                && client.read_answer(Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for, so its id is not used again.
        unsafe { kill(self.process_id as i32, signal) };
    }

    /// Writes a new configuration and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr, limits: &str, known: &str, settings: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, config_json(self.address, discovery, limits, known, settings)).expect("config");
        std::fs::rename(new, &self.config).expect("config");
        self.signal(SIGHUP);
    }

    /// Whether the process is still there.
    pub fn is_running(&self) -> bool {
        let mut children = lock(&CHILDREN);
        let child = children.iter_mut().find(|child| child.id() == self.process_id);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// A line of `/proc/PID/status`, in KiB.
    pub fn memory_kib(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process_id)).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

fn config_json(
    listen: SocketAddr,
    discovery: SocketAddr,
    limits: &str,
    known: &str,
    settings: &str,
) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\
         \"limits\":{limits},\n\"known\":{known},\n\"settings\":{settings}}}\n"
    )
}

// --- HTTP ------------------------------------------------------------------------------------

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the start line and the headers, with names in lower case. `None` at the end of the stream.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, HashMap<String, String>)>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some((start.trim_end().to_owned(), headers)))
}

fn content_length(headers: &HashMap<String, String>) -> usize {
    headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(reader)? else { return Ok(None) };
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body)?;
    let mut words = start.split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    Ok(Some(Request { method, target, headers, body }))
}

/// An answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A client connection that carries one request at a time.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one answer, each read within `timeout`. The answers of a sidecar have a length.
    pub fn read_answer(&mut self, timeout: Duration) -> std::io::Result<Answer> {
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        let end = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "closed without an answer");
        let (start, headers) = read_head(&mut self.reader)?.ok_or_else(end)?;
        let mut body = vec![0; content_length(&headers)];
        self.reader.read_exact(&mut body)?;
        let status = start.split(' ').nth(1).and_then(|code| code.parse().ok()).ok_or_else(end)?;
        Ok(Answer { status, headers, body })
    }
}

/// The text of a client's request. `GET` carries no body; a key makes it a keyed request.
pub fn request_text(
    class: &str,
    method: &str,
    id: &str,
    timeout_ms: u64,
    key: Option<&str>,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout-Ms: {timeout_ms}\r\n"
    );
    if let Some(key) = key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    if method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --- Ticket servers --------------------------------------------------------------------------

/// What a ticket server does with a connection after an answer.
pub enum After {
    Keep,
    Close,
}

/// A ticket server: answers each request as `handler` says; 404 without an id. Every connection has its own thread.
pub struct TicketServer {
    pub name: String,
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl TicketServer {
    pub fn start(
        name: &str,
        handler: impl Fn(&str, &Request, &mut TcpStream) -> After + Send + Sync + 'static,
    ) -> TicketServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a ticket server");
        let address = listener.local_addr().expect("address");
        let (name, handler) = (name.to_owned(), Arc::new(handler));
        let (ended, connections) =
            (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (thread_name, thread_ended, thread_connections) =
            (name.clone(), ended.clone(), connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The listener goes with this thread: later connections are refused.
                if thread_ended.load(Ordering::SeqCst) {
                    return;
                }
                thread_connections.lock().unwrap().extend(stream.try_clone().ok());
                let (name, handler) = (thread_name.clone(), handler.clone());
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_request(&mut reader) {
                        if request.target == "/alive" || request.target == "/metrics/load" {
                            let body = "TEXT qps=5, util=0.1, inflight=0";
                            let _ = write_answer(&mut writer, 200, "", body.as_bytes());
                            continue;
                        }
                        if request.header("x-request-id").is_empty() {
                            let _ = write_answer(&mut writer, 404, "", b"no id");
                            continue;
                        }
                        if let After::Close = handler(&name, &request, &mut writer) {
                            let _ = writer.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        TicketServer { name, address, ended, connections }
    }

    /// Ends it as the end of its process would: connections break and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Its entry in a list.
    pub fn entry(&self, zone: &str, kind: &str, block: u64, health: &str) -> Host {
        Host {
            name: self.name.clone(),
            address: self.address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            block,
            health: health.to_owned(),
        }
    }
}

/// Writes an answer with a length in one piece.
pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// --- Discovery -------------------------------------------------------------------------------

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub block: u64,
    pub health: String,
}

impl Host {
    fn json(&self) -> String {
        let Host { name, address, zone, kind, block, health } = self;
        format!(
            "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{zone}\",\"class\":\"{kind}\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
        )
    }
}

/// A list in discovery's form.
pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

struct DiscoveryState {
    seq: u64,
    hosts: Vec<Host>,
    /// Each change with its version.
    changes: Vec<(u64, Host)>,
}

/// Discovery: a whole list for a caller without a version, changes for others, an empty line every 2 s. Each call is
/// answered `delay` after it was read.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(record: &Record, seq: u64, hosts: Vec<Host>, delay: Duration) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let address = listener.local_addr().expect("address");
        let state =
            Arc::new((Mutex::new(DiscoveryState { seq, hosts, changes: Vec::new() }), Condvar::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (record, thread_state, thread_stopped) = (record.clone(), state.clone(), stopped.clone());
        std::thread::spawn(move || {
            for (call, stream) in listener.incoming().flatten().enumerate() {
                let (record, state, stopped) = (record.clone(), thread_state.clone(), thread_stopped.clone());
                std::thread::spawn(move || {
                    let end = serve_discovery(call, stream, &record, &state, &stopped, delay);
                    record.line(format!(
                        "discovery: call {call} ended: {}",
                        end.unwrap_or_else(|error| error.to_string())
                    ));
                });
            }
        });
        Discovery { address, state, stopped }
    }

    /// Changes an entry. Every open watch is told at once.
    pub fn change(&self, host: Host) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        state
            .hosts
            .iter_mut()
            .filter(|known| known.name == host.name)
            .for_each(|known| *known = host.clone());
        state.changes.push((seq, host));
        self.state.1.notify_all();
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Whether the peer has closed, without waiting.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn serve_discovery(
    call: usize,
    mut stream: TcpStream,
    record: &Record,
    state: &(Mutex<DiscoveryState>, Condvar),
    stopped: &AtomicBool,
    delay: Duration,
) -> std::io::Result<String> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(request) = read_request(&mut reader)? else { return Ok("closed before a request".to_owned()) };
    record.line(format!("discovery: call {call}: {}", request.target));
    let read_at = Instant::now();
    while read_at.elapsed() < delay {
        std::thread::sleep(Duration::from_millis(10).min(delay));
        if is_closed(&stream) {
            return Ok(format!(
                "given up by the sidecar after {} ms, before its answer",
                read_at.elapsed().as_millis()
            ));
        }
    }
    let from: u64 = request.target.split("from=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    if !request.target.contains("watch=1") {
        let text = {
            let state = state.0.lock().unwrap();
            list_json(state.seq, true, &state.hosts)
        };
        write_answer(&mut stream, 200, "", text.as_bytes())?;
        return Ok("list sent".to_owned());
    }
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let (mut sent, mut first) = (from, true);
    let mut last_write = Instant::now();
    loop {
        let (text, seq) = {
            let mut state_now = state.0.lock().unwrap();
            if !first && state_now.seq == sent {
                state_now = state.1.wait_timeout(state_now, Duration::from_millis(50)).unwrap().0;
            }
            let known = state_now.seq - state_now.changes.len() as u64;
            let text = if first && (sent < known || sent > state_now.seq) {
                Some(list_json(state_now.seq, true, &state_now.hosts))
            } else if first || state_now.seq > sent {
                let new: Vec<Host> = state_now
                    .changes
                    .iter()
                    .filter(|(seq, _)| *seq > sent)
                    .map(|(_, host)| host.clone())
                    .collect();
                Some(list_json(state_now.seq, false, &new))
            } else {
                None
            };
            (text, state_now.seq)
        };
        if let Some(text) = text {
            chunk(&mut stream, &format!("{text}\n"))?;
            record.line(format!("discovery: call {call} is told version {seq}"));
            (sent, first, last_write) = (seq, false, Instant::now());
        } else if last_write.elapsed() >= Duration::from_secs(2) {
            chunk(&mut stream, "\n")?;
            last_write = Instant::now();
        }
        if is_closed(&stream) {
            return Ok("closed by the sidecar".to_owned());
        }
        if stopped.load(Ordering::Relaxed) {
            return Ok("closed by discovery".to_owned());
        }
    }
}

// --- Settings --------------------------------------------------------------------------------

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The settings of the small deployment of WIRE-ironpier.md, for one of three sidecars.
pub const SETTINGS: &str = r#"{"allowed": {"cancel": true, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 120000, "keepalive": 5000.0, "max_attempts": 3, "max_retry_after": 2000.0, "may_duplicate": true, "most_held": 30000, "multiplex": 1, "peers": false, "probes": true, "retry_after": true},
 "azs": ["angyalfold", "kelenfold", "csepel"],
 "callers": {"marks_retry": false},
 "classes": [{"aim": 750.0, "dedup_scope": "all", "effect": "repeatable", "hard_limit": 1500.0, "importance": 1.0, "late_worth": 0.5, "name": "menetrend", "stream": false, "window": 5000.0}, {"aim": 1200.0, "dedup_scope": "all", "effect": "once", "hard_limit": 4000.0, "importance": 3.0, "late_worth": 0.25, "name": "jegykiadas", "stream": false, "window": 5000.0}, {"aim": 800.0, "dedup_scope": "cell", "effect": "by_key", "hard_limit": 1500.0, "importance": 3.0, "late_worth": 0.2, "name": "helyfoglalas", "stream": false, "window": 1000.0}],
 "counted_by": "work", "family": "mesh", "family_info": {"warm_keys": false},
 "fees": {"connection": 0.0, "cross_zone": 0.03, "handshake": 0.0, "late_fail": 0.05, "membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.02},
 "invariants": {"answer_slack": 20.0, "cold_share": 0.36, "drain_grace": 2000.0, "fall": 3000.0, "fall_multiple": 3.0, "must_ask_in": 10000.0, "warm_up": 8600.0},
 "kinds": ["uj-gep", "kozepes-gep", "regi-gep"], "layer": 0, "membership_mode": "automatic",
 "objective_mix": {"whole": 0.75, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.05},
 "over_share_worth": 0.1, "peers_total": 3, "period": 5.0, "rank": 1,
 "telemetry": {"columns": ["qps", "util", "inflight"], "how": "piggyback"},
 "tenants": [], "tiers": ["jegyszerver"], "weights": "nominal", "zone": 0}"#;
