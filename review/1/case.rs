//! Clients that write their requests slowly, in small pieces: the sidecar has to stay within its memory.

#[path = "../stand/mod.rs"]
mod stand;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand::*;

const SERVERS: usize = 9;
const ZONES: [&str; 3] = ["angyalfold", "kelenfold", "csepel"];
const KINDS: [&str; 3] = ["uj-gep", "kozepes-gep", "regi-gep"];
/// The limits of the sidecar, within those of TERMS. A third of the descriptors would allow for 170 open requests.
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 512;
/// Clients that write slowly, and how: the body in pieces at a steady pace, complete in about 2.1 s.
const SLOW_CLIENTS: u64 = 30;
const BODY_BYTES: usize = 2_048;
const PIECE_BYTES: usize = 4;
const PIECE_INTERVAL: Duration = Duration::from_millis(4);
/// Clients that write each request in one piece, ten requests a second in all.
const PROMPT_CLIENTS: u64 = 2;
const PROMPT_INTERVAL: Duration = Duration::from_millis(200);
/// The slow clients begin at this time; the case ends at that one.
const SLOW_FROM: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(15);

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What became of the requests that were written whole.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    other: AtomicU64,
    unanswered: AtomicU64,
}

/// Sends a request of the class `jegykiadas` and waits for its answer. With `pieces` the body leaves bit by bit.
fn send(client: &mut Client, record: &Record, counts: &Counts, id: &str, body: &[u8], pieces: bool) -> bool {
    let text = request_text("jegykiadas", "POST", id, 4_000, None, body);
    let head_bytes = text.len() - body.len();
    let written = if pieces {
        let start = Instant::now();
        client.write(&text[..head_bytes]).and_then(|()| {
            for (number, piece) in text[head_bytes..].chunks(PIECE_BYTES).enumerate() {
                let due = start + PIECE_INTERVAL * (number as u32 + 1);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                client.write(piece)?;
            }
            Ok(())
        })
    } else {
        client.write(&text)
    };
    let answer = written.and_then(|()| client.read_answer(Duration::from_millis(4_500)));
    let counter = match &answer {
        Ok(answer) if answer.status == 200 => &counts.served,
        Ok(_) => &counts.other,
        Err(_) => &counts.unanswered,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    let what = answer
        .as_ref()
        .map_or_else(|error| format!("not answered: {error}"), |answer| answer.status.to_string());
    record.line(format!(
        "client: {id} ({} bytes, {}): {what}",
        body.len(),
        if pieces { "in pieces" } else { "at once" }
    ));
    answer.is_ok()
}

fn main() {
    let case = Case::from_env();
    let runs = Arc::new(AtomicU64::new(0));
    let servers: Vec<TicketServer> = (0..SERVERS)
        .map(|index| {
            let runs = runs.clone();
            TicketServer::start(&format!("s-{index}"), move |_, _, stream| {
                runs.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(20));
                let _ = write_answer(
                    stream,
                    200,
                    "X-Server-Load: TEXT qps=5, util=0.2, inflight=1\r\n",
                    b"issued",
                );
                After::Keep
            })
        })
        .collect();
    let hosts: Vec<Host> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.entry(ZONES[index % 3], KINDS[index % 3], (index % 3) as u64, "ready"))
        .collect();
    let discovery = Discovery::start(&case.record, 41, hosts.clone(), Duration::ZERO);
    let memory_mb = env("MEMORY_MB", MEMORY_MB);
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{SOCKETS}}}");
    let sidecar = Sidecar::start(&case, discovery.address, &limits, &list_json(41, true, &hosts), SETTINGS);
    if !sidecar.wait_until_up() {
        case.finish(2, "the sidecar did not become ready");
    }

    let (start, address, trouble) = (Instant::now(), sidecar.address, case.trouble);
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut workers = Vec::new();
    for number in 0..PROMPT_CLIENTS + env("SLOW_CLIENTS", SLOW_CLIENTS) {
        let (record, counts, stop) = (case.record.clone(), counts.clone(), stop.clone());
        workers.push(std::thread::spawn(move || {
            let prompt = number < PROMPT_CLIENTS;
            if !prompt {
                std::thread::sleep(SLOW_FROM);
            }
            let body = vec![b'x'; if prompt { 212 } else { BODY_BYTES }];
            let mut client = None;
            for round in 0.. {
                if stop.load(Ordering::Relaxed) || start.elapsed() > END_AT - Duration::from_secs(5) {
                    return;
                }
                let id = format!("c{number}-{round}");
                let Some(mut connection) = client.take().or_else(|| Client::connect(address).ok()) else {
                    return;
                };
                if send(&mut connection, &record, &counts, &id, &body, trouble && !prompt) {
                    client = Some(connection);
                }
                // Without the disruption the pace stays similar; a connection rests for less than 2 s.
                let pause = if prompt {
                    PROMPT_INTERVAL
                } else {
                    Duration::from_millis(if trouble { 100 } else { 1_500 })
                };
                std::thread::sleep(pause);
            }
        }));
    }

    // The platform: over `memory_mb` the sidecar is killed. Memory that is backed by files is left out.
    let peaks = Mutex::new((0, 0));
    let mut killed = false;
    while start.elapsed() < END_AT && sidecar.is_running() {
        let (anonymous, resident) =
            (sidecar.memory_kib("RssAnon").unwrap_or(0), sidecar.memory_kib("VmRSS").unwrap_or(0));
        let mut peaks = peaks.lock().unwrap();
        if anonymous > peaks.0 + 1_024 {
            case.record
                .line(format!("platform: the sidecar holds {anonymous} KiB, {resident} KiB with files"));
        }
        *peaks = (anonymous.max(peaks.0), resident.max(peaks.1));
        if anonymous > memory_mb * 1_024 {
            case.record.line(format!(
                "platform: {anonymous} KiB are over memory_mb = {memory_mb}: the sidecar is killed"
            ));
            sidecar.signal(SIGKILL);
            killed = true;
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let running = sidecar.is_running();
    stop.store(true, Ordering::Relaxed);
    for worker in workers {
        let _ = worker.join();
    }
    let (anonymous, resident) = *peaks.lock().unwrap();
    let [served, other, unanswered] =
        [&counts.served, &counts.other, &counts.unanswered].map(|count| count.load(Ordering::Relaxed));
    case.record.line(format!(
        "requests: {served} served, {other} answered otherwise, {unanswered} written or begun and never answered; runs at \
         ticket servers: {}; peak {anonymous} KiB, {resident} KiB with files, limit {} KiB",
        runs.load(Ordering::Relaxed),
        memory_mb * 1_024
    ));
    if killed {
        case.finish(
            1,
            &format!("over its memory of {memory_mb} MB ({anonymous} KiB), {unanswered} requests unanswered"),
        );
    }
    if !running {
        case.finish(1, "the sidecar has ended");
    }
    case.finish(0, &format!("within its memory of {memory_mb} MB: {anonymous} KiB at most"))
}
