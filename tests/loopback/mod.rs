//! Test doubles on loopback sockets: upstreams, discovery and clients with scripted behaviour, and the sidecar under
//! test as a child process.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// Number of bytes in the longest request or response body that the sidecar forwards.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The lowest memory limit of a deployment.
pub const LOWEST_MEMORY_LIMIT_MIB: u64 = 32;
/// The same in KiB.
pub const LOWEST_MEMORY_LIMIT_KIB: u64 = LOWEST_MEMORY_LIMIT_MIB << 10;
/// Upper bound on every wait in these tests; reaching it fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition and panics if it does not hold within [`WAIT_TIMEOUT`]. `what` names it in the panic message.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition not met within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP/1.1 request or response as received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// On an upstream: index of the connection that carried the message.
    pub connection: usize,
    /// On an upstream: position in the order of events over all upstreams of the test process.
    pub sequence: u64,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `None` if the connection ends or fails before the message is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok().filter(|read| *read > 0)?;
    message.start_line = message.start_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        // The empty line ends the headers.
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// How an upstream handles a request.
#[derive(Clone)]
pub enum Behaviour {
    /// Sends a response: status, additional header lines (each with its CRLF), body.
    Respond(u16, &'static str, Vec<u8>),
    /// Writes these bytes and leaves the connection open.
    WriteRaw(&'static [u8]),
    /// Writes these bytes and closes the connection.
    WriteRawAndClose(&'static [u8]),
    /// Writes these bytes and, after a pause of this length, resets the connection.
    WriteRawAndReset(&'static [u8], Duration),
    /// Writes these pieces, each after a pause of this length, and closes the connection.
    WriteInPieces(Vec<&'static [u8]>, Duration),
    /// Sends nothing and leaves the connection open.
    NoResponse,
    /// Sends nothing, and signals the channel when the peer closes the connection.
    NoResponseNotifyClose(mpsc::Sender<()>),
    /// Closes the connection without a response.
    Close,
    /// Sends a response without `Connection: close` and closes the connection shortly after.
    RespondAndClose,
    /// Sends a response, and after the given delay a second, unsolicited one; reports the actual delay.
    RespondTwice(Duration, mpsc::Sender<Duration>),
    /// Sends a response once the counter is above zero.
    RespondWhenReleased(Arc<AtomicUsize>),
}

impl Behaviour {
    /// A response with status 200.
    pub fn ok(body: &str) -> Behaviour {
        Behaviour::Respond(200, "", body.as_bytes().to_vec())
    }
}

/// What an upstream has received so far.
#[derive(Default)]
struct UpstreamLog {
    requests: Mutex<Vec<Message>>,
    closed: Mutex<Vec<ConnectionClose>>,
    /// Number of accepted connections.
    connections: AtomicUsize,
}

/// A close of a connection by the peer.
struct ConnectionClose {
    connection: usize,
    sequence: u64,
}

/// Orders requests and closes of connections over all upstreams of the test process.
static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// An upstream that listens on an ephemeral loopback port.
pub struct Upstream {
    pub address: SocketAddr,
    log: Arc<UpstreamLog>,
}

impl Upstream {
    /// Starts an upstream that handles each request with the behaviour that this function returns for it, and answers
    /// load probes itself.
    pub fn new(behaviour: impl Fn(&Message) -> Behaviour + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::new(UpstreamLog::default());
        let (behaviour, server_log) = (Arc::new(behaviour), log.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behaviour, log) = (behaviour.clone(), server_log.clone());
                std::thread::spawn(move || serve(stream, &*behaviour, &log));
            }
        });
        Upstream { address, log }
    }

    /// The complete requests received so far, without load probes.
    pub fn requests(&self) -> Vec<Message> {
        self.log.requests.lock().unwrap().clone()
    }

    /// The number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.log.connections.load(Ordering::SeqCst)
    }

    /// Sequence number of the close of this connection by the peer; `None` while it is open.
    pub fn close_sequence(&self, connection: usize) -> Option<u64> {
        self.log
            .closed
            .lock()
            .unwrap()
            .iter()
            .find(|close| close.connection == connection)
            .map(|close| close.sequence)
    }
}

/// Handles the requests on one connection until it closes.
fn serve(stream: TcpStream, behaviour: &dyn Fn(&Message) -> Behaviour, log: &UpstreamLog) {
    let connection = log.connections.fetch_add(1, Ordering::SeqCst);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let response = |status: u16, more_headers: &str, body: &[u8]| {
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{more_headers}\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    while let Some(mut message) = read_message(&mut reader) {
        if message.start_line.starts_with("GET /metrics/load ") {
            let _ = writer.write_all(&response(200, "", b"TEXT inflight=0, eps=0, util=0.1"));
            continue;
        }
        message.connection = connection;
        message.sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::SeqCst);
        let action = behaviour(&message);
        log.requests.lock().unwrap().push(message);
        match action {
            Behaviour::Respond(status, more_headers, body) => {
                drop(writer.write_all(&response(status, more_headers, &body)))
            }
            Behaviour::WriteRaw(bytes) => drop(writer.write_all(bytes)),
            Behaviour::WriteRawAndClose(bytes) => {
                let _ = writer.write_all(bytes);
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                break;
            }
            Behaviour::WriteRawAndReset(bytes, pause) => {
                let _ = writer.write_all(bytes);
                std::thread::sleep(pause);
                SockRef::from(&writer).set_linger(Some(Duration::ZERO)).unwrap();
                break;
            }
            Behaviour::WriteInPieces(pieces, interval) => {
                let _ = writer.set_nodelay(true);
                for piece in pieces {
                    std::thread::sleep(interval);
                    let _ = writer.write_all(piece);
                }
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                break;
            }
            Behaviour::NoResponse => {}
            Behaviour::NoResponseNotifyClose(close_sender) => {
                let _ = read_message(&mut reader);
                let _ = close_sender.send(());
                return;
            }
            Behaviour::Close => return drop(reader.get_ref().shutdown(Shutdown::Both)),
            Behaviour::RespondAndClose => {
                let _ = writer.write_all(&response(200, "", b"last"));
                std::thread::sleep(Duration::from_millis(20));
                return drop(reader.get_ref().shutdown(Shutdown::Both));
            }
            Behaviour::RespondTwice(delay, delay_sender) => {
                let _ = writer.write_all(&response(200, "", b"first"));
                let start = Instant::now();
                std::thread::sleep(delay);
                let _ = writer.write_all(&response(200, "", b"again"));
                let _ = delay_sender.send(start.elapsed());
            }
            Behaviour::RespondWhenReleased(released) => {
                wait_until("the test releases the response", || released.load(Ordering::SeqCst) > 0);
                let _ = writer.write_all(&response(200, "", b"late"));
            }
        }
    }
    let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::SeqCst);
    log.closed.lock().unwrap().push(ConnectionClose { connection, sequence });
}

/// Interval between the empty lines that [`Discovery`] sends on an idle watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A discovery server. It serves one watch at a time and sends the chunks that the test queues.
pub struct Discovery {
    pub address: SocketAddr,
    /// Chunks to send on the watch; `None` closes it.
    chunks: mpsc::Sender<Option<Vec<u8>>>,
    watches: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Starts a server that begins every watch with this host list.
    pub fn new(initial_list: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (chunks, queued_chunks) = mpsc::channel::<Option<Vec<u8>>>();
        let watches = Arc::new(Mutex::new(Vec::new()));
        let (watch_log, initial_list) = (watches.clone(), initial_list.to_owned());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut reader) else { continue };
                watch_log.lock().unwrap().push(request.start_line);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write_chunk(&mut stream, format!("{initial_list}\n").as_bytes());
                loop {
                    match queued_chunks.recv_timeout(HEARTBEAT_INTERVAL) {
                        Ok(Some(bytes)) => drop(write_chunk(&mut stream, &bytes)),
                        // The test closes the watch.
                        Ok(None) => break,
                        Err(mpsc::RecvTimeoutError::Timeout) if write_chunk(&mut stream, b"\n").is_err() => {
                            break;
                        }
                        Err(mpsc::RecvTimeoutError::Timeout) => {}
                        Err(mpsc::RecvTimeoutError::Disconnected) => return,
                    }
                }
            }
        });
        Discovery { address, chunks, watches }
    }

    /// Sends text as one chunk on the open watch, or on the next one if none is open.
    pub fn send_chunk(&self, text: &str) {
        self.chunks.send(Some(text.as_bytes().to_vec())).unwrap();
    }

    /// Closes the open watch, or the next one if none is open.
    pub fn close_watch(&self) {
        self.chunks.send(None).unwrap();
    }

    /// The request lines of all watches so far.
    pub fn watches(&self) -> Vec<String> {
        self.watches.lock().unwrap().clone()
    }
}

/// Writes a chunk of a body with chunked transfer encoding.
fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
    stream.write_all(bytes)?;
    stream.write_all(b"\r\n")
}

/// An entry of a host list in the JSON of discovery. All entries share a zone and a cell.
pub fn host_entry(host: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"east","class":"std","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A host list of version `seq` in the JSON of discovery: a snapshot if `whole`, otherwise a delta.
pub fn host_list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A snapshot, of version 5, of ready upstreams named a, b, c and so on.
pub fn ready_hosts(upstreams: &[&Upstream]) -> String {
    let letter = |index: usize| char::from(b'a' + index as u8).to_string();
    let hosts = upstreams.iter().enumerate();
    ready_list(hosts.map(|(index, upstream)| (letter(index), upstream.address)))
}

/// A snapshot, of version 5, of ready upstreams at these addresses, named s0, s1 and so on.
pub fn ready_addresses(addresses: &[SocketAddr]) -> String {
    let hosts = addresses.iter().enumerate();
    ready_list(hosts.map(|(index, address)| (format!("s{index}"), *address)))
}

/// A snapshot, of version 5, of ready upstreams with these names and addresses.
fn ready_list(hosts: impl Iterator<Item = (String, SocketAddr)>) -> String {
    let entries: Vec<String> = hosts.map(|(name, address)| host_entry(&name, address, "ready")).collect();
    host_list(5, true, &entries)
}

/// Default settings in wire format. The classes are idempotent (`fetch`), keyed per cell (`log`) and non-idempotent
/// (`bill`).
pub const SETTINGS_JSON: &str = r#"{"allowed":{"cancel":true,"connect_timeout":2000.0,"keepalive":60000.0,
"max_attempts":4,"max_retry_after":600.0,"may_duplicate":false,"multiplex":1,"probes":true,"retry_after":true},
"azs":["east","west"],"classes":[
{"aim":3000.0,"dedup_scope":"all","effect":"repeatable","hard_limit":8000.0,"importance":3.0,"name":"fetch"},
{"aim":3000.0,"dedup_scope":"cell","effect":"by_key","hard_limit":8000.0,"importance":3.0,"name":"log","window":5000.0},
{"aim":3000.0,"dedup_scope":"all","effect":"once","hard_limit":8000.0,"importance":2.0,"name":"bill"}],
"fees":{"cross_zone":0.03},"invariants":{"answer_slack":20.0,"cold_share":0.16,"drain_grace":2000.0,
"fall":1500.0,"fall_multiple":2.5,"must_ask_in":400.0,"warm_up":21000.0},"kinds":["std"],
"membership_mode":"automatic","peers_total":3,"period":5.0,"rank":0,
"telemetry":{"columns":["inflight","eps","util"],"how":"pull"},"tenants":[],"weights":"rough","zone":0}"#;

/// Content of a configuration file. `known` is the last known host list in the JSON of discovery, or `null`; `sockets`
/// is the limit on open file descriptors.
pub fn config_json(
    listen: &str,
    discovery: SocketAddr,
    known: &str,
    sockets: usize,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// A running `sagemast` process that listens. It is killed on drop.
pub struct Sidecar {
    pub child: Child,
    pub config_path: PathBuf,
    pub address: SocketAddr,
    /// The lines that it has written to standard error.
    pub log: Arc<Mutex<Vec<String>>>,
}

static NEXT_CONFIG_FILE: AtomicUsize = AtomicUsize::new(0);

/// Starts the program with this configuration and standard error piped. The caller must end the process.
pub fn spawn_sidecar(config: &str) -> Child {
    spawn_with_descriptor_limit(config, None).0
}

/// Like [`spawn_sidecar`], with a limit on open file descriptors; also returns the path of the configuration file.
fn spawn_with_descriptor_limit(config: &str, descriptor_limit: Option<u32>) -> (Child, PathBuf) {
    let number = NEXT_CONFIG_FILE.fetch_add(1, Ordering::SeqCst);
    let name = format!("sagemast-{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let ulimit = descriptor_limit.map_or(String::new(), |count| format!("ulimit -n {count} && "));
    let child = Command::new("sh")
        .args(["-c", &format!("{ulimit}exec \"$0\""), env!("CARGO_BIN_EXE_sagemast")])
        .env("ROUTER_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, path)
}

impl Sidecar {
    /// Starts the program and waits until it listens.
    pub fn start(config: &str) -> Sidecar {
        Sidecar::start_with_descriptor_limit(config, None)
    }

    /// Like [`Sidecar::start`], with a limit on open file descriptors.
    pub fn start_with_descriptor_limit(config: &str, descriptor_limit: Option<u32>) -> Sidecar {
        let (mut child, config_path) = spawn_with_descriptor_limit(config, descriptor_limit);
        let mut stderr = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_writer = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while stderr.read_line(&mut line).is_ok_and(|read| read > 0) {
                log_writer.lock().unwrap().push(std::mem::take(&mut line));
            }
        });
        let mut address = None;
        wait_until("the sidecar listens", || {
            let log = log.lock().unwrap();
            let found =
                log.iter().find_map(|line| line.split_once("listening on ").map(|(_, address)| address));
            address = found.and_then(|text| text.trim().parse().ok());
            address.is_some()
        });
        Sidecar { child, config_path, address: address.unwrap(), log }
    }

    /// Starts a sidecar and a discovery server that lists these upstreams, and waits until the sidecar is up.
    pub fn for_upstreams(upstreams: &[&Upstream]) -> (Sidecar, Discovery) {
        Sidecar::for_upstreams_with_settings(upstreams, SETTINGS_JSON)
    }

    /// Like [`Sidecar::for_upstreams`], with these settings.
    pub fn for_upstreams_with_settings(upstreams: &[&Upstream], settings: &str) -> (Sidecar, Discovery) {
        Sidecar::for_host_list(&ready_hosts(upstreams), settings)
    }

    /// Like [`Sidecar::for_upstreams_with_settings`], for upstreams at these addresses.
    pub fn for_addresses(addresses: &[SocketAddr], settings: &str) -> (Sidecar, Discovery) {
        Sidecar::for_host_list(&ready_addresses(addresses), settings)
    }

    /// Starts a sidecar that knows this host list and a discovery server that sends it, and waits until the sidecar is
    /// up.
    fn for_host_list(known: &str, settings: &str) -> (Sidecar, Discovery) {
        let discovery = Discovery::new(known);
        let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, known, 1024, settings));
        sidecar.wait_until_up();
        (sidecar, discovery)
    }

    /// Starts a sidecar with the lowest memory limit and long timeouts that knows this host list and a discovery server
    /// that sends it, and waits until the sidecar is up.
    pub fn with_lowest_memory_limit(known: &str) -> (Sidecar, Discovery) {
        let discovery = Discovery::new(known);
        let settings = long_timeout_settings_json();
        let config = config_json("127.0.0.1:0", discovery.address, known, 1024, &settings);
        let memory_limit = format!(r#""memory_mb":{LOWEST_MEMORY_LIMIT_MIB}"#);
        let sidecar = Sidecar::start(&config.replace(r#""memory_mb":192"#, &memory_limit));
        sidecar.wait_until_up();
        (sidecar, discovery)
    }

    /// Waits until a log line contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(&format!("the log contains {text:?}"), || {
            self.log.lock().unwrap().iter().any(|line| line.contains(text))
        });
    }

    /// Replaces the configuration file atomically and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, config).unwrap();
        std::fs::rename(&new_path, &self.config_path).unwrap();
        self.signal("-HUP");
    }

    /// Waits until `/up` answers 200.
    pub fn wait_until_up(&self) {
        wait_until("the sidecar is up", || {
            Client::connect(self.address).get("/up").is_some_and(|response| response.status() == 200)
        });
    }

    /// Sends a signal, named as an option of `kill`, such as `-HUP`.
    pub fn signal(&self, option: &str) {
        let process_id = self.child.id().to_string();
        assert!(
            Command::new("kill").args([option, &process_id]).status().unwrap().success(),
            "kill {option} {process_id} failed"
        );
    }

    /// The memory that the process holds, in KiB, without pages that are backed by files.
    pub fn anonymous_memory_kib(&self) -> u64 {
        self.memory_kib("RssAnon:")
    }

    /// The most memory that the process has held so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_kib("VmHWM:")
    }

    /// A value of the kernel's process status, in KiB.
    fn memory_kib(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        value.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok()).expect("a value in KiB")
    }

    /// Waits until the process exits by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the sidecar exits", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An HTTP client on a single connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// Writes bytes; ignores an error if the sidecar has closed the connection.
    pub fn write(&mut self, text: &[u8]) {
        match self.reader.get_mut().write_all(text) {
            Ok(()) => {}
            // The sidecar may reject a request early and close; its response is still to be read.
            Err(error) if matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => {}
            Err(error) => panic!("{error}"),
        }
    }

    /// Reads one response. `None` if the connection ends or fails before it is complete.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Reads until the peer closes or resets the connection and returns the bytes received. `None` on a timeout.
    pub fn read_to_close(&mut self) -> Option<Vec<u8>> {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => Some(rest),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Some(rest),
            Err(_) => None,
        }
    }

    /// Sends a GET request for one of the sidecar's own paths and reads its response.
    pub fn get(&mut self, path: &str) -> Option<Message> {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes());
        self.read()
    }

    /// Sends a complete request of a class.
    pub fn send(&mut self, class: &str, timeout_ms: u64) {
        self.write(http_request(class, timeout_ms).as_bytes());
    }

    /// Sends a request of a class, with a timeout of 6 s, and reads its response.
    pub fn exchange(&mut self, class: &str) -> Message {
        self.send(class, 6_000);
        self.read().expect("a complete response")
    }
}

static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// The text of a complete request of class `fetch`, `log` or `bill`, with a new request id.
pub fn http_request(class: &str, timeout_ms: u64) -> String {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    let (method, key, body) = match class {
        "fetch" => ("GET", "", ""),
        "log" => ("POST", "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", "entry"),
        _ => ("POST", "", "bill"),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}?k=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n{body}"
    )
}

/// How a client disconnects while its request is in flight.
#[derive(Debug, Clone, Copy)]
pub enum Disconnect {
    Close,
    /// Shuts down the write side only.
    HalfClose,
    /// Closes with a TCP reset.
    Reset,
}

/// Every kind of disconnect, each with the bytes to write before it: none, part of a pipelined request, a complete
/// one, and more than the sidecar buffers.
pub fn disconnect_cases() -> Vec<(Disconnect, String)> {
    let pipelined =
        [String::new(), "GET /fetch?k".to_owned(), http_request("fetch", 60_000), "x".repeat(100_000)];
    let kinds = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];
    kinds.into_iter().flat_map(|how| pipelined.clone().map(|bytes| (how, bytes))).collect()
}

/// Writes pipelined bytes, gives the sidecar time to read them, and disconnects. Returns the client if it is only
/// half-closed, so that the connection stays open.
pub fn disconnect_after_write(mut client: Client, how: Disconnect, pipelined: &str) -> Option<Client> {
    client.write(pipelined.as_bytes());
    // Bytes that the sidecar has buffered must not hide the disconnect from it.
    std::thread::sleep(Duration::from_millis(50));
    disconnect(client, how, &[])
}

/// Like [`disconnect_after_write`], without a pause between the bytes and the disconnect.
pub fn disconnect(mut client: Client, how: Disconnect, pipelined: &[u8]) -> Option<Client> {
    client.write(pipelined);
    match how {
        Disconnect::Close => None,
        Disconnect::HalfClose => {
            let _ = client.reader.get_ref().shutdown(Shutdown::Write);
            Some(client)
        }
        Disconnect::Reset => {
            SockRef::from(client.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
    }
}

/// The number of requests of a class that an upstream has received.
pub fn count_requests_of_class(upstream: &Upstream, class: &str) -> usize {
    let path = format!("/{class}?");
    upstream.requests().iter().filter(|request| request.start_line.contains(&path)).count()
}

/// A listener with a full accept queue: connecting to it hangs until [`FullAcceptQueue::start_accepting`].
pub struct FullAcceptQueue {
    pub listener: TcpListener,
    /// The connections that fill the queue.
    pub queue: Vec<TcpStream>,
}

impl FullAcceptQueue {
    /// Starts a listener and fills its accept queue, which holds one connection more than the backlog of 1.
    pub fn new() -> FullAcceptQueue {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        FullAcceptQueue { listener, queue: [0, 1].map(|_| TcpStream::connect(address).unwrap()).into() }
    }

    /// Accepts connections and answers every request with status 200; returns a counter of the requests of a class.
    pub fn start_accepting(self, class: &'static str) -> Arc<AtomicUsize> {
        let request_count = Arc::new(AtomicUsize::new(0));
        let counter = request_count.clone();
        drop(self.queue);
        std::thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let counter = counter.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Some(message) = read_message(&mut reader) {
                        if message.start_line.contains(&format!("/{class}?")) {
                            counter.fetch_add(1, Ordering::SeqCst);
                        }
                        let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        request_count
    }
}

/// Default settings with a connect timeout of 25 s and a latency target of 60 s, which do not expire during a test.
pub fn long_timeout_settings_json() -> String {
    SETTINGS_JSON
        .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":25000.0"#)
        .replace(r#""aim":3000.0"#, r#""aim":60000.0"#)
}

/// The number of requests that the upstreams have received together.
pub fn request_count(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.requests().len()).sum()
}

/// Two upstreams. The first request that either of them receives gets this behaviour, all later ones a 200 response.
pub fn first_then_ok(first: Behaviour) -> [Upstream; 2] {
    let received = Arc::new(AtomicUsize::new(0));
    [0, 1].map(|_| {
        let (received, first) = (received.clone(), first.clone());
        Upstream::new(move |_| {
            if received.fetch_add(1, Ordering::SeqCst) == 0 { first.clone() } else { Behaviour::ok("served") }
        })
    })
}
