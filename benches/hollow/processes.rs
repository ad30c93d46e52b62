//! Hundreds of real sidecars, one process each, that watch one stand-in for discovery over loopback. What they take
//! in is seen from outside: a sidecar closes its idle connections to a server that it has been told drains.

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

use crate::figures::{Calls, Report, Spread};

/// An empty line comes this often (the protocol page).
const LINE_EVERY: Duration = Duration::from_secs(2);
/// How long the fleet is watched while nothing happens.
const IDLE: Duration = Duration::from_secs(15);
/// And after each trouble: longer than two silences.
const AFTER: Duration = Duration::from_secs(8);
/// Nothing here takes longer than this unless it never comes.
const LONGEST: Duration = Duration::from_secs(60);
/// Changes that are told one by one.
const CHANGES: usize = 8;
/// Sidecars that are started, or asked, at a time: the machine is shared.
const AT_A_TIME: usize = 20;
/// How long discovery is down.
const DOWN: Duration = Duration::from_secs(5);

/// What the stand-in does with its watches.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mood {
    /// Tells what there is.
    Well,
    /// Watches of an earlier turn say nothing more; new ones are served.
    Mute,
    /// Nobody is answered; open watches say nothing.
    Down,
}

/// What all watches follow.
#[derive(Debug, Clone)]
struct State {
    mood: Mood,
    /// Watches of an earlier turn are reset or mute.
    turn: u64,
    reset: bool,
    seq: u64,
    /// The last change, as a line.
    change: Arc<str>,
    /// The whole list, as a line.
    whole: Arc<str>,
}

#[derive(Default)]
struct Seen {
    calls: Vec<(Instant, u64)>,
    whole: u64,
    deltas: u64,
    bytes: u64,
    /// Idle connections that sidecars have closed, by the server's number.
    closed: HashMap<usize, Vec<Instant>>,
}

type Shared = Arc<Mutex<Seen>>;

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A head up to its empty line; `None` at the end of the connection.
async fn head(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut text = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok().filter(|read| *read > 0)?;
        if line.trim_end().is_empty() {
            return Some(text);
        }
        text.push_str(&line);
    }
}

async fn discovery(listener: TcpListener, state: watch::Receiver<State>, seen: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        let (state, seen) = (state.clone(), seen.clone());
        tokio::spawn(async move {
            let _ = watched(stream, state, seen).await;
        });
    }
}

/// One watch, for as long as the other side or the play lets it be.
async fn watched(stream: TcpStream, mut state: watch::Receiver<State>, seen: Shared) -> io::Result<()> {
    let (reading, mut writing) = stream.into_split();
    let mut reader = BufReader::new(reading);
    let Some(request) = head(&mut reader).await else { return Ok(()) };
    let from =
        request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(0);
    lock(&seen).calls.push((Instant::now(), from));
    // The other side says no more: whatever comes is its end.
    let gone = async move {
        let _ = reader.read_u8().await;
    };
    let telling = async {
        // While discovery is down it says nothing, and answers what has waited when it is back.
        let mut now =
            state.wait_for(|state| state.mood != Mood::Down).await.map_err(io::Error::other)?.clone();
        let turn = now.turn;
        writing.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut told = from;
        // Who has not even the version before gets all of it.
        if told + 1 < now.seq || told == 0 {
            lock(&seen).whole += 1;
            chunk(&mut writing, &now.whole, &seen).await?;
        } else if told < now.seq {
            lock(&seen).deltas += 1;
            chunk(&mut writing, &now.change, &seen).await?;
        }
        told = now.seq;
        loop {
            let changed = tokio::time::timeout(LINE_EVERY, state.changed()).await;
            now = state.borrow_and_update().clone();
            if now.turn > turn && now.reset {
                return Ok(());
            }
            if now.turn > turn || now.mood == Mood::Down {
                std::future::pending::<()>().await;
            }
            match changed {
                Err(_) => chunk(&mut writing, "\n", &seen).await?,
                Ok(Err(_)) => return Ok(()),
                Ok(Ok(())) if now.seq > told => {
                    told = now.seq;
                    lock(&seen).deltas += 1;
                    chunk(&mut writing, &now.change, &seen).await?;
                }
                Ok(Ok(())) => {}
            }
        }
    };
    tokio::select! {
        () = gone => Ok(()),
        ended = telling => ended,
    }
}

async fn chunk(to: &mut (impl AsyncWriteExt + Unpin), text: &str, seen: &Shared) -> io::Result<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    lock(seen).bytes += framed.len() as u64;
    to.write_all(framed.as_bytes()).await
}

/// A ticket server that answers at once and notes when its connections are closed.
async fn server(listener: TcpListener, number: usize, seen: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        let seen = seen.clone();
        tokio::spawn(async move {
            let (reading, mut writing) = stream.into_split();
            let mut reader = BufReader::new(reading);
            while head(&mut reader).await.is_some() {
                let answer = b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=0, eps=0, util=0.1\r\nContent-Length: 2\r\n\r\nok";
                if writing.write_all(answer).await.is_err() {
                    break;
                }
            }
            lock(&seen).closed.entry(number).or_default().push(Instant::now());
        });
    }
}

/// A sidecar's process; it ends with this.
struct Sidecar {
    child: Child,
    address: SocketAddr,
    files: [PathBuf; 2],
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

impl Sidecar {
    async fn start(
        number: usize,
        count: usize,
        discovery: SocketAddr,
        known: &str,
        asked: bool,
    ) -> io::Result<Sidecar> {
        let stem =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hollow-{}-{number}", std::process::id()));
        let files = [stem.with_extension("json"), stem.with_extension("log")];
        std::fs::write(&files[0], config(number, count, discovery, known, asked))?;
        let child = Command::new(env!("CARGO_BIN_EXE_sagemast"))
            .env("ROUTER_CONFIG", &files[0])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&files[1])?)
            .spawn()?;
        let mut sidecar = Sidecar { child, address: discovery, files };
        let began = Instant::now();
        while began.elapsed() < LONGEST {
            let log = std::fs::read_to_string(&sidecar.files[1])?;
            if let Some(at) =
                log.split_once("listening on ").and_then(|(_, at)| at.lines().next()?.parse().ok())
            {
                sidecar.address = at;
                return Ok(sidecar);
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("it does not listen"))
    }

    /// Processor time so far, in nanoseconds: the program has one thread.
    fn processor_ns(&self) -> u64 {
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

    /// One request through it; whether it was served.
    async fn ask(&self, id: u64) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address).await?;
        let request = format!(
            "GET /fetch?k=1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: fetch\r\n\
             X-Timeout-Ms: 8000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok(answer.starts_with(b"HTTP/1.1 200"))
    }
}

/// A configuration file.
fn config(number: usize, count: usize, discovery: SocketAddr, known: &str, asked: bool) -> String {
    let mode = if asked { "subscribe" } else { "automatic" };
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{number:x}",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":1024}},"known":{known},"settings":{{
"allowed":{{"cancel":true,"connect_timeout":2000.0,"keepalive":600000.0,"max_attempts":4,"probes":false}},
"azs":["east","west"],"classes":[{{"aim":3000.0,"effect":"repeatable","hard_limit":8000.0,"importance":3.0,"name":"fetch"}}],
"fees":{{"cross_zone":0.03}},"invariants":{{"cold_share":0.16,"drain_grace":2000.0,"fall":1500.0,"fall_multiple":2.5,
"must_ask_in":2000.0,"warm_up":21000.0}},"kinds":["std"],"membership_mode":"{mode}","peers_total":{count},"rank":{number},
"period":5.0,"telemetry":{{"columns":["inflight","eps","util"],"how":"piggyback"}},"tenants":[],"zone":0}}}}"#
    )
}

fn entry(host: &str, dial: SocketAddr, site: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"{site}","class":"std","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// The fleet and its surroundings.
struct Play {
    sidecars: Vec<Sidecar>,
    state: watch::Sender<State>,
    seen: Shared,
    /// The two servers next to the sidecars; one of them is ready, the other drains.
    near: [SocketAddr; 2],
    ready: usize,
    /// The servers that are further away, as text.
    far: String,
    asked: u64,
}

impl Play {
    /// The list with one or the other near server ready.
    fn whole(&self) -> String {
        let mut text = format!(r#"{{"seq":{},"whole":true,"hosts":["#, self.state.borrow().seq + 1);
        text.push_str(&self.near_entries().join(","));
        text.push_str(&self.far);
        text + "]}\n"
    }

    fn near_entries(&self) -> [String; 2] {
        let health = |number| if number == self.ready { "ready" } else { "draining" };
        [0, 1].map(|number| entry(&format!("near-{number}"), self.near[number], "east", health(number)))
    }

    /// Has every sidecar open a connection to the near server that is ready.
    async fn connect(&mut self) -> io::Result<usize> {
        let mut served = 0;
        for some in self.sidecars.chunks(AT_A_TIME) {
            let ids = self.asked..self.asked + some.len() as u64;
            self.asked = ids.end;
            for (sidecar, id) in some.iter().zip(ids) {
                served += usize::from(sidecar.ask(id).await?);
            }
            sleep(Duration::from_millis(10)).await;
        }
        lock(&self.seen).closed.clear();
        Ok(served)
    }

    /// The near servers change places; tells when that was said.
    fn change(&mut self) -> Instant {
        self.ready = 1 - self.ready;
        let (whole, entries) = (self.whole(), self.near_entries());
        let at = Instant::now();
        self.state.send_modify(|state| {
            state.seq += 1;
            state.change =
                format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}\n", state.seq, entries.join(","))
                    .into();
            state.whole = whole.into();
        });
        at
    }

    /// Waits until all have closed their connections to the server that drains; how long each took.
    async fn in_force(&self, since: Instant) -> Vec<Duration> {
        let began = Instant::now();
        while began.elapsed() < AFTER {
            let closed = lock(&self.seen).closed.get(&(1 - self.ready)).map_or(0, Vec::len);
            if closed >= self.sidecars.len() {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let seen = lock(&self.seen);
        let closed = seen.closed.get(&(1 - self.ready)).into_iter().flatten();
        closed.map(|at| at.saturating_duration_since(since)).collect()
    }

    fn processor_ns(&self) -> u64 {
        self.sidecars.iter().map(Sidecar::processor_ns).sum()
    }

    fn bytes(&self) -> u64 {
        lock(&self.seen).bytes
    }

    /// A trouble, told of by what follows at the stand-in; a change comes in its midst.
    async fn trouble(&mut self, name: &str, report: &mut Report, mood: Mood, reset: bool) -> io::Result<()> {
        let connected = self.connect().await?;
        let (whole, deltas, bytes) = {
            let seen = lock(&self.seen);
            (seen.whole, seen.deltas, seen.bytes)
        };
        let at = Instant::now();
        self.state.send_modify(|state| {
            state.turn += 1;
            (state.mood, state.reset) = (mood, reset);
        });
        let (mut back, mut said) = (at, self.change());
        if mood == Mood::Down {
            sleep(DOWN).await;
            back = Instant::now();
            said = back;
            self.state.send_modify(|state| state.mood = Mood::Well);
        }
        let took = self.in_force(said).await;
        sleep(AFTER.saturating_sub(said.elapsed())).await;
        let mut spread = Spread::default();
        took.iter().for_each(|took| spread.record(took.as_micros() as u64));
        let seen = lock(&self.seen);
        let since = |from: Instant| {
            let mut calls = Calls::since(0);
            for (called, _) in seen.calls.iter().filter(|(called, _)| *called >= from) {
                calls.count((*called - from).as_micros() as u64, 1);
            }
            calls
        };
        report.put(&format!("{name}: connected before"), connected as f64);
        report.calls(&format!("{name}: calls"), &since(at));
        if mood == Mood::Down {
            report.calls(&format!("{name}: calls after the return"), &since(back));
        }
        report.put(&format!("{name}: whole lists"), (seen.whole - whole) as f64);
        report.put(&format!("{name}: deltas"), (seen.deltas - deltas) as f64);
        report.put(&format!("{name}: bytes"), (seen.bytes - bytes) as f64);
        report.spread(&format!("{name}: in force, ms"), &mut spread, 1e3);
        Ok(())
    }
}

/// Plays a fleet of so many real sidecars that list so many servers.
pub fn play(name: &str, count: usize, servers: usize, asked: bool) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(name, count, servers, asked))
}

async fn run(name: &str, count: usize, servers: usize, asked: bool) -> io::Result<Report> {
    let seen = Shared::default();
    let (listener, discovery_at) = bind().await?;
    let (first, second, rest) = (bind().await?, bind().await?, bind().await?);
    let near = [first.1, second.1];
    let mut far = String::new();
    for number in 2..servers {
        let _ = write!(far, ",{}", entry(&format!("far-{number:05}"), rest.1, "west", "ready"));
    }
    for (number, listener) in [first.0, second.0, rest.0].into_iter().enumerate() {
        tokio::spawn(server(listener, number, seen.clone()));
    }
    let empty: Arc<str> = "".into();
    let state =
        State { mood: Mood::Well, turn: 0, reset: false, seq: 4, change: empty.clone(), whole: empty };
    let (state, states) = watch::channel(state);
    let mut play = Play { sidecars: Vec::new(), state, seen: seen.clone(), near, ready: 0, far, asked: 0 };
    let known = play.whole();
    play.state.send_modify(|state| (state.seq, state.whole) = (5, known.clone().into()));
    tokio::spawn(discovery(listener, states, seen.clone()));
    let began = Instant::now();
    for number in 0..count {
        play.sidecars.push(Sidecar::start(number, count, discovery_at, known.trim_end(), asked).await?);
    }
    let started = began.elapsed();
    sleep(Duration::from_secs(3)).await;
    let mut report = Report::named(name);
    report.put("sidecars", count as f64);
    report.put("servers listed", servers as f64);
    report.put("started within, s", started.as_secs_f64());
    report.put("calls at the start", lock(&seen).calls.len() as f64);

    let (ns, bytes, at) = (play.processor_ns(), play.bytes(), Instant::now());
    sleep(IDLE).await;
    let each = count as f64 * at.elapsed().as_secs_f64();
    let idle_ns_per_s = (play.processor_ns() - ns) as f64 / each;
    let idle_bytes_per_s = (play.bytes() - bytes) as f64 / each;
    report.put("idle: processor, us a second a sidecar", idle_ns_per_s / 1e3);
    report.put("idle: bytes a second a sidecar", idle_bytes_per_s);

    let (mut each_took, mut all_took) = (Spread::default(), Spread::default());
    let (mut ns, mut bytes, mut seconds, mut unseen) = (0, 0, 0.0, 0);
    for _ in 0..CHANGES {
        play.connect().await?;
        sleep(Duration::from_millis(300)).await;
        let (ns_before, bytes_before) = (play.processor_ns(), play.bytes());
        let at = play.change();
        let took = play.in_force(at).await;
        sleep(Duration::from_millis(200)).await;
        ns += play.processor_ns() - ns_before;
        bytes += play.bytes() - bytes_before;
        seconds += at.elapsed().as_secs_f64();
        unseen += count - took.len().min(count);
        took.iter().for_each(|took| each_took.record(took.as_micros() as u64));
        all_took.record(took.iter().max().map_or(0, Duration::as_micros) as u64);
    }
    let per = (CHANGES * count) as f64;
    report.put("changes", CHANGES as f64);
    report.put("changes not seen in force", unseen as f64);
    report.spread("in force at one sidecar, ms", &mut each_took, 1e3);
    report.spread("in force everywhere, ms", &mut all_took, 1e3);
    report.put(
        "a change: processor, us a sidecar",
        ns as f64 / per / 1e3 - idle_ns_per_s * seconds / CHANGES as f64 / 1e3,
    );
    report.put("a change: bytes a sidecar", bytes as f64 / per - idle_bytes_per_s * seconds / CHANGES as f64);

    // Empty lines come in step with the starts of the watches: at first as these were spread, then as one.
    play.trouble("all watches silent", &mut report, Mood::Mute, false).await?;
    play.trouble("all watches reset", &mut report, Mood::Well, true).await?;
    play.trouble("silent after the reset", &mut report, Mood::Mute, false).await?;
    play.trouble("reset and down for 5 s", &mut report, Mood::Down, true).await?;
    play.trouble("silent and down for 5 s", &mut report, Mood::Down, false).await?;
    let resident = play.sidecars.iter().map(Sidecar::resident_kib).max().unwrap_or(0);
    report.put("resident memory, most, KiB", resident as f64);
    let ended =
        play.sidecars.iter_mut().filter_map(|sidecar| sidecar.child.try_wait().ok().flatten()).count();
    report.put("sidecars that ended", ended as f64);
    Ok(report)
}
