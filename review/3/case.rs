//! A discovery that has to be asked and is slow to answer: a change counts as told at the latest 6 s after discovery had
//! it and could be reached, and nothing new goes to a draining ticket server after the drain grace.

#[path = "../stand/mod.rs"]
mod stand;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand::*;

const SERVERS: usize = 9;
const ZONES: [&str; 3] = ["angyalfold", "kelenfold", "csepel"];
const KINDS: [&str; 3] = ["uj-gep", "kozepes-gep", "regi-gep"];
/// How long discovery takes to answer a call.
const ANSWER_DELAY_MS: u64 = 3_200;
/// The number of ticket servers that begin to drain, and when. Long after told and grace are over, their processes end:
/// from `SERVER_END_AT` on, each as soon as it works on a request. The case ends at `END_AT`.
const DRAINING: usize = 2;
const DRAIN_AT: Duration = Duration::from_secs(8);
const SERVER_END_AT: Duration = Duration::from_secs(24);
const END_AT: Duration = Duration::from_secs(28);
/// A change is told at the latest this long after discovery had it; then the grace of the settings, and the slack of
/// the sockets.
const TOLD_AFTER_MS: u128 = 6_000;
const DRAIN_GRACE_MS: u128 = 2_000;
const SLACK_MS: u128 = 50;
/// Clients, each with one request at a time, and their pace.
const CLIENTS: u32 = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(600);
const SERVICE_TIME: Duration = Duration::from_millis(400);

fn main() {
    let case = Case::from_env();
    let delay_ms =
        std::env::var("DELAY_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(ANSWER_DELAY_MS);
    let delay = Duration::from_millis(if case.trouble { delay_ms } else { 0 });
    let mode = std::env::var("MODE").unwrap_or("subscribe".to_owned());
    // What ticket servers received, by server, and what they work on.
    let received: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let in_work: Arc<Mutex<HashSet<(usize, String)>>> = Arc::default();
    let servers: Vec<TicketServer> = (0..SERVERS)
        .map(|index| {
            let (received, record, in_work) = (received.clone(), case.record.clone(), in_work.clone());
            TicketServer::start(&format!("s-{index}"), move |name, request, stream| {
                let id = request.header("x-request-id").to_owned();
                received.lock().unwrap().push((index, Instant::now()));
                record.line(format!("{name} received {id}"));
                in_work.lock().unwrap().insert((index, id.clone()));
                std::thread::sleep(SERVICE_TIME);
                in_work.lock().unwrap().remove(&(index, id));
                let load = "X-Server-Load: TEXT qps=5, util=0.2, inflight=1\r\n";
                let _ = write_answer(stream, 200, load, b"issued");
                After::Keep
            })
        })
        .collect();
    let hosts: Vec<Host> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.entry(ZONES[index % 3], KINDS[index % 3], (index % 3) as u64, "ready"))
        .collect();
    let discovery = Discovery::start(&case.record, 41, hosts.clone(), delay);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let settings = SETTINGS.replace("\"automatic\"", &format!("\"{mode}\""));
    let sidecar = Sidecar::start(&case, discovery.address, limits, &list_json(41, true, &hosts), &settings);
    if !sidecar.wait_until_up() {
        case.finish(2, "the sidecar did not become ready");
    }

    let start = Instant::now();
    let statuses: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let workers: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, address, statuses) = (case.record.clone(), sidecar.address, statuses.clone());
            std::thread::spawn(move || {
                let mut client = None;
                for round in 0.. {
                    let due = start + REQUEST_INTERVAL * round + REQUEST_INTERVAL / CLIENTS * number;
                    if due > start + END_AT {
                        return;
                    }
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let id = format!("c{number}-{round}");
                    let text = request_text("jegykiadas", "POST", &id, 4_000, None, b"{\"seats\":2}");
                    let Some(mut connection) = client.take().or_else(|| Client::connect(address).ok()) else {
                        continue;
                    };
                    let answer = connection
                        .write(&text)
                        .and_then(|()| connection.read_answer(Duration::from_millis(4_500)));
                    match answer {
                        Ok(answer) => {
                            record.line(format!("client: {id} answered {}", answer.status));
                            statuses.lock().unwrap().push((id, answer.status));
                            client = Some(connection);
                        }
                        Err(error) => record.line(format!("client: {id} not answered: {error}")),
                    }
                }
            })
        })
        .collect();
    std::thread::sleep((start + DRAIN_AT).saturating_duration_since(Instant::now()));
    for host in &hosts[..DRAINING] {
        discovery.change(Host { health: "draining".to_owned(), ..host.clone() });
    }
    let draining_since = Instant::now();
    case.record.line(format!("discovery has the first {DRAINING} ticket servers as draining"));
    std::thread::sleep((start + SERVER_END_AT).saturating_duration_since(Instant::now()));
    let mut cut: Vec<String> = Vec::new();
    let mut left: Vec<usize> = (0..DRAINING).collect();
    while start.elapsed() < END_AT && !left.is_empty() {
        left.retain(|server| {
            let in_work = in_work.lock().unwrap();
            let ids: Vec<&String> =
                in_work.iter().filter(|(index, _)| index == server).map(|(_, id)| id).collect();
            if ids.is_empty() {
                return true;
            }
            servers[*server].end();
            case.record.line(format!("s-{server}, drained long ago, ends; it works on {ids:?}"));
            cut.extend(ids.into_iter().cloned());
            false
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    for worker in workers {
        let _ = worker.join();
    }
    if !sidecar.is_running() {
        case.finish(1, "the sidecar has ended");
    }

    let received = received.lock().unwrap();
    let after_drain: Vec<u128> = received
        .iter()
        .filter(|(index, at)| *index < DRAINING && *at > draining_since)
        .map(|(_, at)| (*at - draining_since).as_millis())
        .collect();
    let late = after_drain.iter().filter(|ms| **ms > TOLD_AFTER_MS + DRAIN_GRACE_MS + SLACK_MS).count();
    let last = after_drain.last().copied().unwrap_or(0);
    let statuses = statuses.lock().unwrap();
    let lost: Vec<&(String, u16)> =
        statuses.iter().filter(|(id, status)| cut.contains(id) && *status != 200).collect();
    case.record.line(format!(
        "{} requests reached ticket servers, {} draining ones, {late} of these later than told and grace allow; the last \
         {last} ms after discovery had the drain; cut off when the drained servers ended: {lost:?}",
        received.len(),
        after_drain.len()
    ));
    let verdict = format!(
        "{late} requests to draining ticket servers after the grace, the last {last} ms after the drain"
    );
    case.finish(i32::from(late > 0), &verdict)
}
