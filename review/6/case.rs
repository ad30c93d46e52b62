//! Case 6: one in twenty-five answers of the ticket servers is followed by a second answer some milliseconds later.
//! Each 200 that a client gets must hold what a ticket server answered to this very request.

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
const SPOILT_ONE_IN: u64 = 25;
const SERVERS: usize = 9;
const CLIENTS: usize = 6;
const REQUESTS_PER_CLIENT: usize = 150;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let answered = Arc::new(AtomicU64::new(0));
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|index| {
            let name = format!("s{index}");
            let (answered, log, own_name) = (answered.clone(), record.clone(), name.clone());
            let address = start_server(&name, &record, &runs, move |message, writer| {
                let id = message.header("x-request-id").unwrap_or("none").to_owned();
                std::thread::sleep(ms(40));
                let report = "X-Server-Load: TEXT qps=10, util=0.3, inflight=1\r\n";
                let whole = response(200, report, format!("ticket for {id}").as_bytes());
                if writer.write_all(&whole).is_err() {
                    return false;
                }
                let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
                if trouble() && count % SPOILT_ONE_IN == 0 {
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
                    let class = ["menetrend", "jegykiadas", "menetrend", "helyfoglalas"][(index + number) % 4];
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
    if results.get("own").copied().unwrap_or(0) == 0 {
        cannot_run("no request was served");
    }
    let foreign = results.get("foreign").copied().unwrap_or(0);
    record.say(if foreign > 0 { "broken: clients got the answers of other requests" } else { "held" });
    drop(sidecar);
    std::process::exit(i32::from(foreign > 0));
}
