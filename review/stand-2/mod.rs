//! Stand-ins for the cases 6 to 10: ticket servers, discovery, clients, and the sidecar as a child process. Only the
//! standard library is used. All sockets are on loopback addresses.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether the disruption of the case is played: `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// The record of a run: a line for each thing sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| cannot_run("RECORD is not set"));
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Milliseconds since the start of the run.
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} ms  {}\n", self.at(Instant::now()), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A request or a response as read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body[..self.body.len().min(80)]).into_owned()
    }
}

/// Reads one message with a Content-Length; `None` if the connection ends or fails before it is whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok().filter(|read| *read > 0)?;
    message.start_line = message.start_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A response with a Content-Length.
pub fn response(status: u16, more_headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{more_headers}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A request as a ticket server has received it whole.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub id: String,
    pub line: String,
    pub at: Instant,
    pub timeout_ms: u64,
}

/// What all ticket servers have received whole, in order, without probes.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a ticket server that passes each request to `handle`, which writes the answer and returns whether the
/// connection stays open. Probes are answered here.
pub fn start_server(
    name: &str,
    record: &Record,
    runs: &Runs,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap();
    let (name, record, runs, handle) = (name.to_owned(), record.clone(), runs.clone(), Arc::new(handle));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, runs, handle) = (name.clone(), record.clone(), runs.clone(), handle.clone());
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    if message.start_line.starts_with("GET /metrics/load ") {
                        let _ = writer.write_all(&response(200, "", b"TEXT qps=10, util=0.3, inflight=1"));
                        continue;
                    }
                    let id = message.header("x-request-id").unwrap_or("none").to_owned();
                    let timeout = message.header("x-timeout-ms").unwrap_or("0").to_owned();
                    record.line(format!(
                        "server {name} got {id} whole: {} (X-Timeout-Ms {timeout}, body {})",
                        message.start_line,
                        message.body.len()
                    ));
                    runs.lock().unwrap().push(Run {
                        server: name.clone(),
                        id,
                        line: message.start_line.clone(),
                        at: Instant::now(),
                        timeout_ms: timeout.parse().unwrap_or(0),
                    });
                    if !handle(&message, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::Builder::new().stack_size(256 << 10).spawn(run).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// An entry of the host list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub site: &'static str,
    pub class: &'static str,
    pub block: u64,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn ready(name: &str, address: SocketAddr) -> Host {
        Host { name: name.to_owned(), address, site: "angyalfold", class: "uj-gep", block: 1, health: "ready", born_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.address, self.site, self.class, self.block, self.health, self.born_ms
        )
    }
}

/// A list in discovery's form.
pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let entries: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

struct Listing {
    seq: u64,
    /// The hosts, each with the version of its last change.
    hosts: Vec<(u64, Host)>,
    /// How long a call waits until it is answered.
    answer_after: Duration,
    /// Watches of an earlier epoch are reset.
    epoch: u64,
}

/// Discovery as on the protocol page: any number of watches, a changed entry at once, an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<(Mutex<Listing>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, hosts: &[Host]) -> Discovery {
        let hosts = hosts.iter().map(|host| (41, host.clone())).collect();
        let listing = Listing { seq: 41, hosts, answer_after: Duration::ZERO, epoch: 0 };
        let mut discovery = Discovery {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listing: Arc::new((Mutex::new(listing), Condvar::new())),
            record: record.clone(),
        };
        discovery.address = discovery.open_address();
        discovery
    }

    /// Starts to listen; returns the address.
    fn open_address(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let served = self.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                spawn(move || served.serve(stream));
            }
        });
        address
    }

    /// Changes an entry and tells all open watches.
    pub fn change(&self, host: Host) {
        self.record.line(format!("discovery has: {} is {}", host.name, host.health));
        let mut listing = self.listing.0.lock().unwrap();
        listing.seq += 1;
        let seq = listing.seq;
        listing.hosts.retain(|(_, known)| known.name != host.name);
        listing.hosts.push((seq, host));
        self.listing.1.notify_all();
    }

    /// From now on calls are answered after this time.
    pub fn answer_after(&self, delay: Duration) {
        self.listing.0.lock().unwrap().answer_after = delay;
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        self.record.line("discovery ends all open watches");
        self.listing.0.lock().unwrap().epoch += 1;
        self.listing.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        let Some(request) = read_message(&mut reader) else { return };
        let started = Instant::now();
        self.record.line(format!("discovery gets {}", request.start_line));
        let (lock, changed) = &*self.listing;
        // Slow: the answer comes late, unless the caller has gone by then.
        let _ = writer.set_read_timeout(Some(ms(20)));
        loop {
            let delay = lock.lock().unwrap().answer_after;
            if started.elapsed() >= delay {
                break;
            }
            match reader.get_mut().read(&mut [0; 16]) {
                Ok(0) => {
                    self.record.line(format!("a call to discovery was given up after {:?}", started.elapsed()));
                    return;
                }
                Ok(_) => return,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    self.record.line(format!("a call to discovery was given up after {:?}", started.elapsed()));
                    return;
                }
            }
        }
        let from: u64 = request
            .start_line
            .split("from=")
            .nth(1)
            .and_then(|rest| rest.split([' ', '&']).next()?.parse().ok())
            .unwrap_or(0);
        let watches = request.start_line.contains("watch=1");
        let listing = lock.lock().unwrap();
        let epoch = listing.epoch;
        let mut told = listing.seq;
        let whole = from == 0 || !watches;
        let hosts: Vec<Host> = listing
            .hosts
            .iter()
            .filter(|(seq, host)| if whole { host.health != "gone" } else { *seq > from })
            .map(|(_, host)| host.clone())
            .collect();
        let first = list_json(told, whole, &hosts);
        drop(listing);
        if !watches {
            let _ = writer.write_all(&response(200, "", first.as_bytes()));
            return;
        }
        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if write_chunk(&mut writer, &format!("{first}\n")).is_err() {
            return;
        }
        self.record.line(format!("discovery answers a watch from {from} after {:?}: {first}", started.elapsed()));
        let mut last_line = Instant::now();
        loop {
            let mut listing = lock.lock().unwrap();
            if listing.seq == told && listing.epoch == epoch {
                let longest = ms(2_000).saturating_sub(last_line.elapsed()).max(ms(1));
                listing = changed.wait_timeout(listing, longest).unwrap().0;
            }
            if listing.epoch != epoch {
                return;
            }
            let text = if listing.seq > told {
                let news: Vec<Host> =
                    listing.hosts.iter().filter(|(seq, _)| *seq > told).map(|(_, host)| host.clone()).collect();
                told = listing.seq;
                format!("{}\n", list_json(told, false, &news))
            } else if last_line.elapsed() >= ms(2_000) {
                "\n".to_owned()
            } else {
                continue;
            };
            drop(listing);
            last_line = Instant::now();
            if text != "\n" {
                self.record.line(format!("discovery tells {}", text.trim()));
            }
            if write_chunk(&mut writer, &text).is_err() {
                return;
            }
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// The settings of a small deployment, in the form of the wire page. The classes, limits and bounds are those of
/// `jegy-budapest`; `replace` changes single values of the text.
pub fn settings(replace: &[(&str, &str)]) -> String {
    let mut text = r#"{"allowed":{"cancel":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":120000,
"keepalive":5000.0,"max_attempts":3,"max_retry_after":2000.0,"may_duplicate":true,"most_held":30000,"multiplex":1,
"peers":false,"probes":true,"retry_after":true},
"azs":["angyalfold","kelenfold","csepel"],"callers":{"marks_retry":false},
"classes":[
{"aim":750.0,"dedup_scope":"all","effect":"repeatable","hard_limit":1500.0,"importance":1.0,"late_worth":0.5,"name":"menetrend","stream":false,"window":5000.0},
{"aim":1200.0,"dedup_scope":"all","effect":"once","hard_limit":4000.0,"importance":3.0,"late_worth":0.25,"name":"jegykiadas","stream":false,"window":5000.0},
{"aim":800.0,"dedup_scope":"cell","effect":"by_key","hard_limit":1500.0,"importance":3.0,"late_worth":0.2,"name":"helyfoglalas","stream":false,"window":1000.0}],
"counted_by":"work","family":"mesh","family_info":{"warm_keys":false},
"fees":{"connection":0.0,"cross_zone":0.03,"handshake":0.0,"late_fail":0.05,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.02},
"invariants":{"answer_slack":20.0,"cold_share":0.36,"drain_grace":2000.0,"fall":3000.0,"fall_multiple":3.0,"must_ask_in":10000.0,"warm_up":8600.0},
"kinds":["uj-gep","kozepes-gep","regi-gep"],"layer":0,"membership_mode":"automatic",
"objective_mix":{"whole":0.75,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.05},
"over_share_worth":0.1,"peers_total":2,"period":5.0,"rank":1,
"telemetry":{"columns":["qps","util","inflight"],"how":"piggyback"},"tenants":[],"tiers":["jegyszerver"],
"weights":"nominal","zone":0}"#
        .to_owned();
    for (from, to) in replace {
        if !text.contains(from) {
            cannot_run(&format!("the settings do not contain {from}"));
        }
        text = text.replace(from, to);
    }
    text
}

/// The sidecar, started with the command of the deploy file.
pub struct Sidecar {
    child: Child,
    pub address: SocketAddr,
    log_path: PathBuf,
}

/// How to start the sidecar.
pub struct Start<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: &'a str,
    pub known: &'a str,
}

impl Sidecar {
    pub fn start(record: &Record, start: &Start) -> Sidecar {
        // A free port: bound once here and released.
        let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = address.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK is not set")));
        // Each sidecar has a seed of its own; that of `n1` is the run's.
        let seed = std::env::var("SEED").unwrap_or_else(|_| "8c1f30d27a5be964".to_owned());
        let seed = u64::from_str_radix(&seed, 16).unwrap_or_else(|_| cannot_run("SEED is not hexadecimal"));
        let number: u64 = start.name.trim_start_matches('n').parse().unwrap_or(1);
        let seed = format!("{:016x}", seed.wrapping_add(number.wrapping_sub(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let config = format!(
            r#"{{"name":"{}","listen":"{address}","discovery":"{}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            start.name, start.discovery, start.memory_mb, start.sockets, start.known, start.settings
        );
        let config_path = folder.join(format!("{}.json", start.name));
        let log_path = folder.join(format!("{}.log", start.name));
        std::fs::write(&config_path, config).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .unwrap_or_else(|| cannot_run("the deploy file has no run command"));
        let log = File::create(&log_path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("ROUTER_NAME", start.name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", start.discovery.to_string())
            .env("ROUTER_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        // Known to the script, which ends the process if this one is ended before it.
        let mut processes = File::options().create(true).append(true).open(folder.join("processes")).unwrap();
        let _ = processes.write_all(format!("{}\n", child.id()).as_bytes());
        record.line(format!("the sidecar starts: process {}, listens on {address}", child.id()));
        let sidecar = Sidecar { child, address, log_path };
        let begin = Instant::now();
        loop {
            if get_up(address) {
                record.line("the sidecar is ready");
                return sidecar;
            }
            if begin.elapsed() > ms(30_000) {
                cannot_run("the sidecar is not ready after 30 s");
            }
            std::thread::sleep(ms(20));
        }
    }

    /// A value of /proc/PID/status in KiB.
    pub fn memory_kib(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        value.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or(0)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends SIGKILL, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, option: &str) {
        let _ = Command::new("kill").args([option, &self.child.id().to_string()]).status();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get_up(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
    read_message(&mut BufReader::new(stream)).is_some_and(|message| message.status() == 200)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A fresh value for X-Request-ID.
pub fn fresh_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// The text of a request of one of the three classes, as on the protocol page.
pub fn request(class: &str, id: &str, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let (method, key) = match class {
        "menetrend" => ("GET", String::new()),
        "helyfoglalas" => ("POST", format!("Idempotency-Key: 5c0f6e1a2b3d4c59{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} /{class}?k=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A client on one connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { reader: BufReader::new(stream) })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads an answer for at most this long.
    pub fn read(&mut self, longest: Duration) -> Option<Message> {
        let _ = self.reader.get_ref().set_read_timeout(Some(longest.max(ms(1))));
        read_message(&mut self.reader)
    }
}

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
