//! Case 9: idle clients fill the descriptors. Each request of the other clients still has to get its final answer no
//! later than half a second after its time, or its connection has to be shut unread.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use stand::*;

const SERVERS: usize = 9;
/// The limits that the sidecar is told.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Together with the other clients fewer than the descriptors.
const IDLE_CLIENTS: usize = 1_000;
const CLIENTS: usize = 12;
const REQUESTS_PER_CLIENT: usize = 25;
/// 55% of the give-up time of the class.
const TIMEOUT_MS: u64 = 137;
/// Up to this long after its time an answer only earns nothing; every time limit is extended by the slack.
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

/// The settings of `turnstile-short` for one of its classes.
const SETTINGS: &str = r#"{"allowed":{"cancel":false,"connect_timeout":100.0,"cpu_us_per_request":0.0,"cpu_us_per_s":40000,
"keepalive":2000.0,"max_attempts":1,"max_retry_after":300.0,"may_duplicate":false,"most_held":30000,"multiplex":1,
"peers":false,"probes":false,"retry_after":false},
"azs":["north-hall"],"callers":{"marks_retry":false},
"classes":[{"aim":100.0,"dedup_scope":"all","effect":"repeatable","hard_limit":250.0,"importance":1.0,"late_worth":0.3,"name":"balance-check","stream":false,"window":5000.0}],
"counted_by":"work","family":"mesh","fees":{"cross_zone":0.0,"late_fail":0.05,"probe":0.01,"waste":0.02},
"invariants":{"answer_slack":20.0,"cold_share":0.36,"drain_grace":400.0,"fall":3000.0,"fall_multiple":3.0,"must_ask_in":10000.0,"warm_up":8600.0},
"kinds":["uj-gep"],"layer":0,"membership_mode":"automatic","over_share_worth":0.1,"peers_total":2,"period":5.0,"rank":1,
"telemetry":{"columns":[],"how":"silent"},"tenants":[],"tiers":["gate-server"],"weights":"rough","zone":0}"#;

/// Whether the sidecar has closed this connection.
fn is_closed(client: &mut Client) -> bool {
    let stream = client.reader.get_mut();
    let _ = stream.set_nonblocking(true);
    let read = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match read {
        Err(error) => error.kind() != ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|index| {
            let name = format!("s{index}");
            let address = start_server(&name, &record, &runs, move |message, writer| {
                let id = message.header("x-request-id").unwrap_or("none").to_owned();
                std::thread::sleep(ms(15));
                writer.write_all(&response(200, "", format!("balance for {id}").as_bytes())).is_ok()
            });
            Host { site: "north-hall", block: 1 + index as u64 / 5, ..Host::ready(&name, address) }
        })
        .collect();
    let discovery = Discovery::start(&record, &hosts);
    let sidecar = Sidecar::start(
        &record,
        &Start {
            name: "n1",
            discovery: discovery.address,
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            settings: SETTINGS,
            known: &list_json(41, true, &hosts),
        },
    );
    let address = sidecar.address;
    let stop = Arc::new(AtomicBool::new(false));
    let mut idle = Vec::new();
    if trouble() {
        for _ in 0..IDLE_CLIENTS {
            let stop = stop.clone();
            idle.push(spawn(move || {
                // Rests until the sidecar closes the connection, and connects again.
                while !stop.load(Ordering::SeqCst) {
                    if let Some(mut client) = Client::connect(address) {
                        let _ = client.reader.get_ref().set_read_timeout(Some(ms(5_000)));
                        let _ = client.reader.get_mut().read(&mut [0; 16]);
                    }
                    std::thread::sleep(ms(50));
                }
            }));
        }
        std::thread::sleep(ms(1_000));
        record.line(format!("{IDLE_CLIENTS} idle clients rest on connections of their own"));
    }
    let results = Arc::new(Mutex::new(BTreeMap::<&str, u64>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, results) = (record.clone(), results.clone());
            spawn(move || {
                std::thread::sleep(ms(37 * index as u64));
                let mut kept: Option<Client> = None;
                for _ in 0..REQUESTS_PER_CLIENT {
                    // A kept connection is used again, unless the sidecar has closed it.
                    let open = kept.take().filter_map_open();
                    let Some(mut client) = open.or_else(|| Client::connect(address)) else { continue };
                    let id = fresh_id();
                    let text = request("menetrend", &id, TIMEOUT_MS, b"");
                    let text = String::from_utf8_lossy(&text).replace("menetrend", "balance-check");
                    let written = client.write(text.as_bytes());
                    let sent = Instant::now();
                    let due = ms(TIMEOUT_MS + LATE_MS + SLACK_MS);
                    let answer = if written { client.read(due) } else { None };
                    let waited = sent.elapsed();
                    let result = match &answer {
                        Some(_) if waited <= due => "answered",
                        Some(_) => "lost",
                        None if waited < due => "shut without an answer",
                        None => "lost",
                    };
                    let status = answer.as_ref().map(Message::status);
                    record.line(format!("client {index} sent {id}: {status:?} after {waited:?} ({result})"));
                    *results.lock().unwrap().entry(result).or_insert(0) += 1;
                    if answer.is_some() {
                        kept = Some(client);
                    }
                    std::thread::sleep(ms(300));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    let results = results.lock().unwrap();
    record.say(format!("requests by result: {results:?}"));
    if results.get("answered").copied().unwrap_or(0) + results.get("lost").copied().unwrap_or(0) == 0 {
        cannot_run("no request was answered or lost");
    }
    let lost = results.get("lost").copied().unwrap_or(0);
    record.say(if lost > 0 { "broken: requests were taken and got no answer in time" } else { "held" });
    drop(sidecar);
    std::process::exit(i32::from(lost > 0));
}

trait FilterOpen {
    fn filter_map_open(self) -> Option<Client>;
}

impl FilterOpen for Option<Client> {
    fn filter_map_open(self) -> Option<Client> {
        self.and_then(|mut client| (!is_closed(&mut client)).then_some(client))
    }
}
