//! Case 7: under a burst, three in ten ticket servers come back cold. What all sidecars together send to one of them has
//! to stay under what makes it fall over.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::time::{Duration, Instant};

use stand::*;

const SIDECARS: usize = 24;
const SERVERS: usize = 9;
/// The ticket servers that come back cold, one of each kind of machine.
const COLD: [usize; 3] = [0, 1, 2];
/// Work of a request on a core of speed 1, cores of a ticket server, and its waiting room.
const WORK_MS: f64 = 80.0;
const CORES: usize = 2;
const WAITING: usize = 42;
const SPEEDS: [f64; 3] = [1.4, 1.0, 0.7];
/// As in the settings: `cold_share`, `warm_up`, `fall_multiple`, `fall`.
const COLD_SHARE: f64 = 0.36;
const WARM_UP_S: f64 = 8.6;
const FALL_MULTIPLE: f64 = 3.0;
const FALL_S: f64 = 3.0;
/// First tries a second as a share of what all warm ticket servers can do, and what the burst makes of it.
const LOAD: f64 = 0.75;
const BURST: f64 = 2.4;
/// The ticket servers restart this long after the clients begin; the burst lasts from before to after.
const RESTART_AT_MS: u64 = 14_000;
const BURST_FROM_MS: u64 = 10_500;
const BURST_TO_MS: u64 = 17_500;
const END_MS: u64 = 20_000;
/// 58% of the give-up time, and how often a client tries again at once.
const TIMEOUT_MS: u64 = 870;
const RETRIES: usize = 3;

/// What a ticket server holds, and what has arrived since its last start.
#[derive(Default)]
struct State {
    started: Option<Instant>,
    working: usize,
    waiting: VecDeque<u64>,
    connections: Vec<Weak<TcpStream>>,
    arrived: Vec<Instant>,
}

struct Server {
    name: String,
    speed: f64,
    address: SocketAddr,
    state: Mutex<State>,
    freed: Condvar,
    ticket: AtomicU64,
    record: Record,
}

/// The share of its full capacity that a ticket server has.
fn share(started: Option<Instant>, at: Instant) -> f64 {
    let age = started.map_or(f64::MAX, |started| at.saturating_duration_since(started).as_secs_f64());
    (COLD_SHARE + (1.0 - COLD_SHARE) * age / WARM_UP_S).min(1.0)
}

impl Server {
    /// Requests of mean work a second, when warm.
    fn capacity(&self) -> f64 {
        CORES as f64 * 1e3 / WORK_MS * self.speed
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let mut connections = self.state.lock().unwrap();
        connections.connections.retain(|open| open.strong_count() > 0);
        connections.connections.push(Arc::downgrade(&stream));
        drop(connections);
        let (mut reader, mut writer) = (BufReader::new(&*stream), &*stream);
        while let Some(message) = read_message(&mut reader) {
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            state.arrived.push(now);
            let id = message.header("x-request-id").unwrap_or("none").to_owned();
            self.record.line(format!("server {} got {id}", self.name));
            let answer = if state.working >= CORES && state.waiting.len() >= WAITING {
                drop(state);
                response(503, "X-Not-Processed: 1\r\n", b"")
            } else {
                let ticket = self.ticket.fetch_add(1, Ordering::SeqCst);
                state.waiting.push_back(ticket);
                while state.working >= CORES || state.waiting.front() != Some(&ticket) {
                    state = self.freed.wait(state).unwrap();
                }
                state.waiting.pop_front();
                state.working += 1;
                let started = state.started;
                drop(state);
                self.freed.notify_all();
                let work = WORK_MS / self.speed / share(started, Instant::now());
                std::thread::sleep(Duration::from_secs_f64(work / 1e3));
                self.state.lock().unwrap().working -= 1;
                self.freed.notify_all();
                response(200, "", id.as_bytes())
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// The process ends and starts anew: its connections break, and it is cold.
    fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        for connection in state.connections.drain(..).filter_map(|open| open.upgrade()) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.started = Some(Instant::now());
        state.arrived.clear();
        self.record.line(format!("server {} starts again, cold", self.name));
    }

    /// The fullest window since the start: requests, and the most that may come in it.
    fn fullest_window(&self) -> (usize, f64, f64) {
        let state = self.state.lock().unwrap();
        let Some(started) = state.started else { return (0, 1.0, 0.0) };
        let window = Duration::from_secs_f64(FALL_S);
        let mut worst = (0, 1.0, 0.0);
        let mut first = 0;
        for (last, &at) in state.arrived.iter().enumerate() {
            while at.duration_since(state.arrived[first]) >= window {
                first += 1;
            }
            // What it could do at the end of the window, which is the most in it.
            let end = at.max(started + window);
            let allowed = FALL_MULTIPLE * self.capacity() * share(Some(started), end) * FALL_S;
            let root = if allowed < 30.0 { 3.0 } else { 2.0 };
            let most = allowed + root * allowed.sqrt() + root;
            let count = last - first + 1;
            if count as f64 / most > worst.0 as f64 / worst.1 {
                worst = (count, most, at.duration_since(started).as_secs_f64());
            }
        }
        worst
    }
}

fn start(index: usize, record: &Record) -> Arc<Server> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let server = Arc::new(Server {
        name: format!("s{index}"),
        speed: SPEEDS[index % SPEEDS.len()],
        address: listener.local_addr().unwrap(),
        state: Mutex::default(),
        freed: Condvar::new(),
        ticket: AtomicU64::new(0),
        record: record.clone(),
    });
    let accepting = server.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = accepting.clone();
            spawn(move || server.serve(stream));
        }
    });
    server
}

/// A number from 0 to 1 that depends on the run's seed.
fn random() -> f64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut bits = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed).wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

type Pool = Arc<Mutex<Vec<Client>>>;

/// One request with its client's retries; returns whether it was served, and the tries.
fn ask(address: SocketAddr, pool: &Pool, record: &Record) -> (bool, u64) {
    for number in 0..=RETRIES {
        let kept = pool.lock().unwrap().pop();
        let Some(mut client) = kept.or_else(|| Client::connect(address)) else { continue };
        let id = fresh_id();
        client.write(&request("menetrend", &id, TIMEOUT_MS, b""));
        let answer = client.read(ms(TIMEOUT_MS));
        record.line(format!("client's try {number} {id}: {:?}", answer.as_ref().map(Message::status)));
        if let Some(answer) = answer {
            pool.lock().unwrap().push(client);
            if answer.status() == 200 {
                return (true, number as u64 + 1);
            }
        }
    }
    (false, RETRIES as u64 + 1)
}

fn main() {
    let record = Record::create();
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(|index| start(index, &record)).collect();
    let kinds = ["uj-gep", "kozepes-gep", "regi-gep"];
    let host = |index: usize, born_ms: u64| Host {
        class: kinds[index % 3],
        block: 1 + index as u64 / 5,
        born_ms,
        ..Host::ready(&servers[index].name, servers[index].address)
    };
    let hosts: Vec<Host> = (0..SERVERS).map(|index| host(index, 0)).collect();
    let discovery = Discovery::start(&record, &hosts);
    let sidecars: Vec<Sidecar> = (0..SIDECARS)
        .map(|rank| {
            let own = format!(r#""peers_total":{SIDECARS},"period":5.0,"rank":{rank}"#);
            let settings = settings(&[
                (r#""peers_total":2,"period":5.0,"rank":1"#, &own),
                (r#""max_attempts":3"#, r#""max_attempts":1"#),
                (r#""probes":true"#, r#""probes":false"#),
                (r#""retry_after":true"#, r#""retry_after":false"#),
                (r#""aim":750.0"#, r#""aim":600.0"#),
                (r#""telemetry":{"columns":["qps","util","inflight"],"how":"piggyback"}"#, r#""telemetry":{"columns":[],"how":"silent"}"#),
            ]);
            Sidecar::start(
                &record,
                &Start {
                    name: &format!("n{rank}"),
                    discovery: discovery.address,
                    memory_mb: 48,
                    sockets: 384,
                    settings: &settings,
                    known: &list_json(41, true, &hosts),
                },
            )
        })
        .collect();
    let capacity: f64 = servers.iter().map(|server| server.capacity()).sum();
    let begin = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let sources: Vec<_> = sidecars
        .iter()
        .map(|sidecar| {
            let (address, stop, counts) = (sidecar.address, stop.clone(), counts.clone());
            let record = record.clone();
            spawn(move || {
                let pool = Pool::default();
                let mut next = begin;
                while !stop.load(Ordering::SeqCst) {
                    let in_burst = (ms(BURST_FROM_MS)..ms(BURST_TO_MS)).contains(&begin.elapsed());
                    let rate = LOAD * capacity / SIDECARS as f64 * if in_burst { BURST } else { 1.0 };
                    next += Duration::from_secs_f64(-(1.0 - random()).ln() / rate);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    let (pool, counts, record) = (pool.clone(), counts.clone(), record.clone());
                    spawn(move || {
                        let (served, tries) = ask(address, &pool, &record);
                        counts[0].fetch_add(1, Ordering::SeqCst);
                        counts[1].fetch_add(tries, Ordering::SeqCst);
                        counts[2].fetch_add(u64::from(served), Ordering::SeqCst);
                    });
                }
            })
        })
        .collect();
    std::thread::sleep(ms(RESTART_AT_MS).saturating_sub(begin.elapsed()));
    if trouble() {
        for index in COLD {
            servers[index].restart();
            discovery.change(host(index, unix_ms()));
        }
    }
    std::thread::sleep(ms(END_MS).saturating_sub(begin.elapsed()));
    stop.store(true, Ordering::SeqCst);
    for source in sources {
        let _ = source.join();
    }
    let mut broken = false;
    for index in COLD {
        let server = &servers[index];
        let (count, most, at) = server.fullest_window();
        let over = trouble() && count as f64 > most;
        broken |= over;
        record.say(format!(
            "server {} (warm {:.1} requests a second): {count} requests in {FALL_S} s, up to {at:.1} s after its \
             start; it falls over with more than {most:.1}{}",
            server.name,
            server.capacity(),
            if over { ": it falls" } else { "" }
        ));
    }
    record.say(format!(
        "clients: {} requests, {} tries, {} served",
        counts[0].load(Ordering::SeqCst),
        counts[1].load(Ordering::SeqCst),
        counts[2].load(Ordering::SeqCst)
    ));
    record.say(if broken { "broken: a cold ticket server was sent more than it stands" } else { "held" });
    drop(sidecars);
    std::process::exit(i32::from(broken));
}
