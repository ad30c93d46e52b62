//! Case 6: one in ten answers of the ticket servers is followed by a second answer some milliseconds later. Each 200
//! that a client gets must hold what a ticket server answered to this very request, and no paid ticket is issued twice.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use stand::*;

/// How long after the first answer the second one is written.
const SECOND_ANSWER_AFTER_MS: u64 = 20;
const SPOILT_ONE_IN: u64 = 10;
/// A full ticket server turns requests away: one in this many.
const TURNED_AWAY_ONE_IN: u64 = 5;
const SERVERS: usize = 9;
const CLIENTS: usize = 6;
const REQUESTS_PER_CLIENT: usize = 150;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let answered = Arc::new(AtomicU64::new(0));
    // By request of the class that must never run twice: the ticket servers that have run it.
    let issued = Arc::new(Mutex::new(BTreeMap::<String, Vec<String>>::new()));
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|index| {
            let name = format!("s{index}");
            let (answered, issued) = (answered.clone(), issued.clone());
            let (log, own_name) = (record.clone(), name.clone());
            let address = start_server(&name, &record, &runs, move |message, writer| {
                let id = message.header("x-request-id").unwrap_or("none").to_owned();
                let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
                let report = "X-Server-Load: TEXT qps=10, util=0.3, inflight=1\r\n";
                let whole = if count % TURNED_AWAY_ONE_IN == 0 {
                    log.line(format!("server {own_name} turns {id} away unseen"));
                    response(503, "X-Not-Processed: 1\r\n", b"")
                } else {
                    if message.start_line.starts_with("POST /jegykiadas") {
                        log.line(format!("server {own_name} issues the ticket of {id}"));
                        issued.lock().unwrap().entry(id.clone()).or_default().push(own_name.clone());
                    }
                    std::thread::sleep(ms(40));
                    response(200, report, format!("ticket for {id}").as_bytes())
                };
                if writer.write_all(&whole).is_err() {
                    return false;
                }
                // Every tenth answer of either kind: the kinds take turns.
                if trouble() && (count / TURNED_AWAY_ONE_IN) % SPOILT_ONE_IN == count % TURNED_AWAY_ONE_IN {
                    std::thread::sleep(ms(SECOND_ANSWER_AFTER_MS));
                    log.line(format!("server {own_name} writes its answer to {id} a second time"));
                    return writer.write_all(&whole).is_ok();
                }
                true
            });
            Host { block: 1 + index as u64 / 5, ..Host::ready(&name, address) }
        })
        .collect();
    let discovery = Discovery::start(&record, &hosts);
    let sidecar = Sidecar::start(
        &record,
        &Start {
            discovery: discovery.address,
            memory_mb: 48,
            sockets: 384,
            settings: &settings(&[]),
            known: &list_json(41, true, &hosts),
        },
    );
    let address = sidecar.address;
    let results = Arc::new(Mutex::new(BTreeMap::<&str, u64>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, results) = (record.clone(), results.clone());
            spawn(move || {
                let Some(mut client) = Client::connect(address) else { return };
                for number in 0..REQUESTS_PER_CLIENT {
                    let class = ["menetrend", "jegykiadas", "helyfoglalas", "jegykiadas"][(index + number) % 4];
                    let id = fresh_id();
                    let body: &[u8] = if class == "menetrend" { b"" } else { b"one seat, morning boat" };
                    record.line(format!("client {index} sends {id} ({class})"));
                    let sent = Instant::now();
                    client.write(&request(class, &id, 900, body));
                    let answer = client.read(ms(1_500));
                    let result = match &answer {
                        Some(answer) if answer.status() == 200 && answer.text() == format!("ticket for {id}") => "own",
                        Some(answer) if answer.status() == 200 => "foreign",
                        Some(_) => "refused or failed",
                        None => "no answer",
                    };
                    let text = answer.as_ref().map(|answer| format!("{}, {:?}", answer.status(), answer.text()));
                    record.line(format!(
                        "client {index} gets for {id} after {:?}: {} ({result})",
                        sent.elapsed(),
                        text.unwrap_or_default()
                    ));
                    *results.lock().unwrap().entry(result).or_insert(0) += 1;
                    if answer.is_none() {
                        match Client::connect(address) {
                            Some(next) => client = next,
                            None => return,
                        }
                    }
                    std::thread::sleep(ms(5 * (index as u64 % 3)));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    record.say(format!("200 answers by whose they were, and others: {results:?}"));
    let issued = issued.lock().unwrap();
    let twice: Vec<_> = issued.iter().filter(|(_, servers)| servers.len() > 1).collect();
    record.say(format!("tickets issued twice: {} of {} {twice:?}", twice.len(), issued.len()));
    if results.get("own").copied().unwrap_or(0) == 0 {
        cannot_run("no request was served");
    }
    let foreign = results.get("foreign").copied().unwrap_or(0);
    let broken = foreign > 0 || !twice.is_empty();
    record.say(match (foreign > 0, !twice.is_empty()) {
        (true, true) => "broken: clients got the answers of other requests, and paid tickets were issued twice",
        (true, false) => "broken: clients got the answers of other requests",
        (false, true) => "broken: paid tickets were issued twice",
        (false, false) => "held",
    });
    drop(sidecar);
    std::process::exit(i32::from(broken));
}
