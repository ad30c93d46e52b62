//! Case 6: requests and answers are as long as the protocol allows, and as many of them are open as clients may hold.
//! The platform kills a sidecar that needs more memory than its limit.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use stand::*;

/// The limits that the sidecar is told; the least memory of the pages.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 384;
/// Fewer than a third of the descriptors, which is 128.
const CLIENTS: usize = 120;
const SERVERS: usize = 14;
/// How long a ticket server needs for its answer.
const WORK_MS: u64 = 300;
/// All clients send one request each in every such time: 171 requests a second.
const ROUND_MS: u64 = 700;
const ROUNDS: u32 = 40;
/// A body of the longest kind, and of the kind in the example of the protocol page.
const LONG: usize = 64 << 10;
const SHORT: usize = 212;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let length = if trouble() { LONG } else { SHORT };
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|index| {
            let held = AtomicU64::new(0);
            let name = format!("s{index}");
            let address = start_server(&name, &record, &runs, move |_, writer| {
                let now_held = held.fetch_add(1, Ordering::SeqCst) + 1;
                std::thread::sleep(ms(WORK_MS));
                held.fetch_sub(1, Ordering::SeqCst);
                let util = (now_held as f64 / 24.0).min(1.0);
                let report = format!("X-Server-Load: TEXT qps=40, util={util:.2}, inflight={now_held}\r\n");
                writer.write_all(&response(200, &report, &vec![b'a'; length])).is_ok()
            });
            Host { block: 1 + index as u64 / 7, ..Host::ready(&name, address) }
        })
        .collect();
    let discovery = Discovery::start(&record, &hosts);
    let mut sidecar = Sidecar::start(
        &record,
        &Start {
            name: "n1",
            discovery: discovery.address,
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            settings: &settings(&[]),
            known: &list_json(41, true, &hosts),
        },
    );
    let address = sidecar.address;
    let stop = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(BTreeMap::<u16, u64>::new()));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, stop, results) = (record.clone(), stop.clone(), results.clone());
            spawn(move || {
                let mut client = Client::connect(address);
                for round in 0..ROUNDS {
                    let begin = start + ms(ROUND_MS) * (round + 1);
                    std::thread::sleep(begin.saturating_duration_since(Instant::now()));
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = fresh_id();
                    let text = request("jegykiadas", &id, 2_400, &vec![b'b'; length]);
                    let mut status = 0;
                    // A request that meets the close of its connection is sent once more, on a new one.
                    for _ in 0..2 {
                        let Some(connected) = client.as_mut() else { break };
                        connected.write(&text);
                        status = connected.read(ms(3_000)).map_or(0, |answer| answer.status());
                        if status != 0 {
                            break;
                        }
                        client = Client::connect(address);
                    }
                    record.line(format!("client {index} sent {id}, body {length}: answer {status}"));
                    *results.lock().unwrap().entry(status).or_insert(0) += 1;
                }
            })
        })
        .collect();
    // The platform: looks at the memory of the process, and kills it over the limit.
    let limit_kib = MEMORY_MB << 10;
    let run = ms(ROUND_MS) * (ROUNDS + 1);
    let (mut most, mut most_resident, mut killed, mut ended) = (0, 0, false, None);
    while start.elapsed() < run && !killed && ended.is_none() {
        std::thread::sleep(ms(5));
        ended = sidecar.ended();
        most = most.max(sidecar.memory_kib("RssAnon:"));
        most_resident = most_resident.max(sidecar.memory_kib("VmHWM:"));
        if most > limit_kib {
            record.say(format!(
                "after {} ms: anonymous memory {most} KiB is over {limit_kib} KiB; the platform kills the sidecar",
                start.elapsed().as_millis()
            ));
            killed = true;
            sidecar.kill();
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    record.say(format!(
        "anonymous memory at most {most} KiB, resident memory at most {most_resident} KiB, limit {limit_kib} KiB; \
         answers by status (0: none): {results:?}"
    ));
    if let Some(ended) = ended {
        cannot_run(&format!("the sidecar ended by itself: {ended}"));
    }
    if results.get(&200).copied().unwrap_or(0) == 0 && !killed {
        cannot_run("no request was served");
    }
    record.say(if killed { "broken: over the memory limit, which is a crash" } else { "held" });
    drop(sidecar);
    std::process::exit(i32::from(killed));
}
