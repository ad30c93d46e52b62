//! Case 10: discovery is slow: it answers each call, 3 s after it came. A ticket server begins to drain. Nothing new may
//! go to it later than the grace after the sidecar counts as told.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::io::Write;
use std::time::Instant;

use stand::*;

const SERVERS: usize = 9;
/// How long discovery needs for a call.
const SLOW_MS: u64 = 3_000;
/// When the ticket server begins to drain, after the sidecar is ready.
const DRAIN_AT_MS: u64 = 4_000;
/// A change counts as told this long after discovery had it and could be reached.
const TOLD_MS: u64 = 6_000;
/// `invariants.drain_grace`, and the slack of every time limit.
const GRACE_MS: u64 = 2_000;
const SLACK_MS: u64 = 50;
const RUN_MS: u64 = 24_000;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|index| {
            let name = format!("s{index}");
            let address = start_server(&name, &record, &runs, move |message, writer| {
                let id = message.header("x-request-id").unwrap_or("none").to_owned();
                std::thread::sleep(ms(40));
                let report = "X-Server-Load: TEXT qps=10, util=0.3, inflight=1\r\n";
                writer.write_all(&response(200, report, format!("ticket for {id}").as_bytes())).is_ok()
            });
            Host { block: 1 + index as u64 / 5, ..Host::ready(&name, address) }
        })
        .collect();
    let discovery = Discovery::start(&record, &hosts);
    if trouble() {
        discovery.answer_after(ms(SLOW_MS));
        record.line(format!("discovery needs {SLOW_MS} ms for each call"));
    }
    let asked = settings(&[(r#""membership_mode":"automatic""#, r#""membership_mode":"subscribe""#)]);
    let sidecar = Sidecar::start(
        &record,
        &Start {
            name: "n1",
            discovery: discovery.address,
            memory_mb: 48,
            sockets: 384,
            settings: &asked,
            known: &list_json(41, true, &hosts),
        },
    );
    let ready = Instant::now();
    let address = sidecar.address;
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let record = record.clone();
            spawn(move || {
                let Some(mut client) = Client::connect(address) else { return };
                while ready.elapsed() < ms(RUN_MS) {
                    let class = ["menetrend", "jegykiadas", "menetrend", "helyfoglalas"][index];
                    let id = fresh_id();
                    client.write(&request(class, &id, 900, if index % 2 == 0 { b"" } else { b"one seat" }));
                    let answer = client.read(ms(1_500));
                    let status = answer.map(|answer| answer.status());
                    record.line(format!("client {index} sent {id} ({class}): answer {status:?}"));
                    if status.is_none() {
                        let Some(next) = Client::connect(address) else { return };
                        client = next;
                    }
                    std::thread::sleep(ms(60));
                }
            })
        })
        .collect();
    std::thread::sleep(ms(DRAIN_AT_MS).saturating_sub(ready.elapsed()));
    let drains = Instant::now();
    discovery.change(Host { health: "draining", ..hosts[0].clone() });
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let last_allowed = drains + ms(TOLD_MS + GRACE_MS + SLACK_MS);
    let before = runs.iter().filter(|run| run.server == hosts[0].name && run.at < drains).count();
    let too_late: Vec<_> =
        runs.iter().filter(|run| run.server == hosts[0].name && run.at > last_allowed).collect();
    let last = runs.iter().filter(|run| run.server == hosts[0].name).map(|run| run.at).max();
    record.say(format!(
        "requests to {}: {before} before it began to drain; {} later than {} ms after that; the last one {:?} after it",
        hosts[0].name,
        too_late.len(),
        TOLD_MS + GRACE_MS + SLACK_MS,
        last.map(|last| last.saturating_duration_since(drains))
    ));
    if before == 0 {
        cannot_run("the ticket server got no request before it began to drain");
    }
    record.say(if too_late.is_empty() { "held" } else { "broken: new requests went to a draining ticket server" });
    drop(sidecar);
    std::process::exit(i32::from(!too_late.is_empty()));
}
