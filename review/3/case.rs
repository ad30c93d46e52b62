//! Ticket servers that send some of their answers with no length: of those that come whole, half at least are to be
//! forwarded.

#[path = "../stand/mod.rs"]
mod stand;

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand::*;

const SERVERS: usize = 9;
const REQUESTS: usize = 300;
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const ZONES: [&str; 3] = ["angyalfold", "kelenfold", "csepel"];
const KINDS: [&str; 3] = ["uj-gep", "kozepes-gep", "regi-gep"];
/// One answer in this many has no length.
const ONE_IN: u64 = 5;

/// What the ticket servers did, by request id.
#[derive(Default)]
struct Runs {
    /// The ids that were answered without a length, and whether every byte and the end were written.
    without_length: HashMap<String, Vec<bool>>,
    count: HashMap<String, usize>,
}

fn body_of(id: &str, server: &str) -> String {
    format!("{{\"ticket\":\"{id}\",\"server\":\"{server}\",\"state\":\"issued\"}}")
}

fn main() {
    let case = Case::from_env();
    let runs = Arc::new(Mutex::new(Runs::default()));
    let answers = Arc::new(AtomicU64::new(0));
    let trouble = case.trouble;
    let servers: Vec<TicketServer> = (0..SERVERS)
        .map(|index| {
            let (runs, answers, record) = (runs.clone(), answers.clone(), case.record.clone());
            TicketServer::start(&format!("s-{index}"), move |name, request, stream| {
                let id = request.header("x-request-id").to_owned();
                std::thread::sleep(Duration::from_millis(20));
                let body = body_of(&id, name);
                let load = "X-Server-Load: TEXT qps=5, util=0.2, inflight=1\r\n";
                let without_length = trouble && answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == 0;
                *runs.lock().unwrap().count.entry(id.clone()).or_default() += 1;
                if !without_length {
                    record.line(format!("{name} ran {id}, answers 200 with a length"));
                    let _ = write_answer(stream, 200, load, body.as_bytes());
                    return After::Keep;
                }
                // HTTP/1.1: a body with no length lasts to the end of the connection. Head, body and end leave at once.
                let text = format!("HTTP/1.1 200 OK\r\n{load}Connection: close\r\n\r\n{body}");
                let whole = stream.write_all(text.as_bytes()).is_ok();
                record.line(format!("{name} ran {id}, answers 200 with no length and closes"));
                runs.lock().unwrap().without_length.entry(id).or_default().push(whole);
                After::Close
            })
        })
        .collect();
    let hosts: Vec<Host> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.entry(ZONES[index % 3], KINDS[index % 3], (index % 3) as u64, "ready"))
        .collect();
    let discovery = Discovery::start(&case.record, 41, hosts.clone(), Duration::ZERO);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let sidecar = Sidecar::start(&case, discovery.address, limits, &list_json(41, true, &hosts), SETTINGS);
    if !sidecar.wait_until_up() {
        case.finish(2, "the sidecar did not become ready");
    }

    // Three clients, one for each class, each with one connection and one request at a time.
    let start = Instant::now();
    let workers: Vec<_> =
        [("menetrend", "GET", 1_500), ("jegykiadas", "POST", 4_000), ("helyfoglalas", "POST", 1_500)]
            .into_iter()
            .map(|(class, method, timeout_ms)| {
                let (record, address) = (case.record.clone(), sidecar.address);
                std::thread::spawn(move || {
                    let mut client = None;
                    let mut answered = Vec::new();
                    for number in 0..REQUESTS / 3 {
                        let due = start + REQUEST_INTERVAL * number as u32;
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        let id = format!("{class}-{number}");
                        let key = (class == "helyfoglalas").then(|| format!("key-{id}"));
                        let body: &[u8] = if method == "GET" { b"" } else { b"{\"seats\":2}" };
                        let text = request_text(class, method, &id, timeout_ms, key.as_deref(), body);
                        // A connection may have been closed between requests: then the request is sent once more.
                        let mut answer = None;
                        for _ in 0..2 {
                            let Some(connection) = client.take().or_else(|| Client::connect(address).ok())
                            else {
                                break;
                            };
                            let mut connection = connection;
                            if connection.write(&text).is_ok()
                                && let Ok(got) =
                                    connection.read_answer(Duration::from_millis(timeout_ms + 500))
                            {
                                if got.headers.get("connection").is_none_or(|value| value != "close") {
                                    client = Some(connection);
                                }
                                answer = Some(got);
                                break;
                            }
                        }
                        let status = answer.as_ref().map_or(0, |answer| answer.status);
                        record.line(format!("client: {id} answered {status}"));
                        answered.push((id, answer));
                    }
                    answered
                })
            })
            .collect();
    let mut answered = Vec::new();
    for worker in workers {
        answered.extend(worker.join().unwrap_or_default());
    }
    if !sidecar.is_running() {
        case.finish(1, "the sidecar has ended");
    }

    let runs = runs.lock().unwrap();
    let (mut whole, mut forwarded, mut issued_but_failed, mut others_failed) = (0, 0, 0, 0);
    for (id, answer) in &answered {
        let served = answer.as_ref().is_some_and(|answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            answer.status == 200 && (0..SERVERS).any(|index| text == body_of(id, &format!("s-{index}")))
        });
        let without_length =
            runs.without_length.get(id).map_or(0, |ends| ends.iter().filter(|whole| **whole).count());
        let with_length = runs.count.get(id).copied().unwrap_or(0) - without_length;
        if without_length == 0 {
            others_failed += usize::from(!served);
            continue;
        }
        whole += without_length;
        // An answer counts as forwarded unless the client can only have got another attempt's.
        forwarded += usize::from(served && with_length == 0);
        if !served && id.starts_with("jegykiadas") {
            issued_but_failed += 1;
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            case.record.line(format!(
                "{id}: ran once, answered whole by its ticket server, the client got {status}"
            ));
        }
    }
    case.record.line(format!(
        "{} requests; {whole} whole answers with no length, {forwarded} of them forwarded; {issued_but_failed} tickets issued \
         and reported as failed; {others_failed} other requests not served",
        answered.len()
    ));
    if !case.trouble {
        let held = others_failed == 0;
        case.finish(
            i32::from(!held),
            if held { "all answers had a length and were forwarded" } else { "answers were lost" },
        );
    }
    if whole < 10 {
        case.finish(2, "too few answers with no length");
    }
    let verdict =
        format!("{forwarded} of {whole} whole answers with no length were forwarded, half at least are owed");
    case.finish(i32::from(2 * forwarded < whole), &verdict)
}
