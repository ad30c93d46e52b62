//! Retries of calls to discovery: after refused, unanswered or aborted calls a change is still applied within its
//! deadline, and the retries of a fleet are spread over time.

mod common;
mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{BalancerHarness, upstream_record};
use loopback::{
    SETTINGS_JSON, Sidecar, Upstream, WAIT_TIMEOUT, config_json, host_entry, host_list, read_message,
    ready_hosts, wait_until,
};
use sagemast::api::*;

/// The time within which a change must be applied once discovery responds again.
const UPDATE_DEADLINE: Millis = 6_000.0;
/// How long a call hangs before it fails.
const CALL_TIMEOUT: Millis = 2_500.0;

/// A balancer that subscribes to discovery itself and has received one snapshot.
fn subscribed_balancer(subscribe_within: Millis, seed: u64) -> BalancerHarness {
    let settings =
        Settings { discovery: DiscoveryMode::Subscribe { subscribe_within }, ..common::settings() };
    let mut harness = BalancerHarness::with_seed(settings, vec![upstream_record(1)], seed);
    harness.handle_event(Event::TimerFired(0));
    harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(vec![upstream_record(1)])));
    harness
}

/// Reports a failed call, advances the clock to the next one and returns the wait between the two.
fn fail_call(harness: &mut BalancerHarness) -> Millis {
    let actions = harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
    let at = actions.iter().find_map(|action| match action {
        Action::SetTimer { at, token: 0 } => Some(*at),
        _ => None,
    });
    let wait = at.expect("no timer for the next call") - harness.now;
    harness.now += wait;
    assert!(harness.handle_event(Event::TimerFired(0)).contains(&Action::Subscribe));
    wait
}

/// One call times out, the next is refused: the third one still starts within the update deadline.
#[test]
fn third_call_starts_in_time_after_a_timeout_and_a_refusal() {
    for subscribe_within in [300.0, 2_000.0, 10_000.0, 600_000.0] {
        for seed in 0..500 {
            let mut harness = subscribed_balancer(subscribe_within, seed);
            // Earlier failures, so that the backoff starts at different levels.
            for _ in 0..seed % 6 {
                fail_call(&mut harness);
            }
            harness.now += CALL_TIMEOUT;
            let third_call_after = CALL_TIMEOUT + fail_call(&mut harness) + fail_call(&mut harness);
            assert!(
                third_call_after < UPDATE_DEADLINE - 400.0,
                "subscribe within {subscribe_within} ms, seed {seed}: third call after {third_call_after} ms"
            );
        }
    }
}

/// Guards against a first call that starts too late after a restart: one that takes 5.5 s must still be answered in time.
#[test]
fn first_call_after_a_restart_leaves_time_for_a_slow_answer() {
    const LONGEST_CALL: Millis = 5_500.0;
    for subscribe_within in [300.0, 2_000.0, 10_000.0, 600_000.0] {
        let mut waits = Vec::new();
        for seed in 0..500 {
            let settings =
                Settings { discovery: DiscoveryMode::Subscribe { subscribe_within }, ..common::settings() };
            let mut balancer = sagemast::Balancer::new(settings, seed);
            let mut actions = Vec::new();
            let restored = DiscoveryUpdate::Restored(vec![upstream_record(1)]);
            balancer.handle(0.0, Event::DiscoveryUpdated(restored), &mut actions);
            waits.extend(actions.iter().find_map(|action| match action {
                Action::SetTimer { at, token: 0 } => Some(*at),
                _ => None,
            }));
        }
        assert_eq!(waits.len(), 500, "one call each");
        let longest = waits.iter().copied().fold(0.0, f64::max);
        assert!(longest + LONGEST_CALL < UPDATE_DEADLINE, "within {subscribe_within} ms: {longest} ms");
        // Sidecars that restart together do not call together.
        let early = waits.iter().filter(|wait| **wait < longest / 2.0).count();
        assert!(
            (150..350).contains(&early),
            "within {subscribe_within} ms: {early} of 500 in the first half"
        );
    }
}

#[test]
fn backoff_grows_up_to_its_cap() {
    for (subscribe_within, max_waits) in
        [(400.0, [200.0, 400.0, 400.0]), (2_000.0, [1_000.0, 1_500.0, 1_500.0])]
    {
        let mut longest = [0.0_f64; 3];
        for seed in 0..300 {
            let mut harness = subscribed_balancer(subscribe_within, seed);
            longest.iter_mut().for_each(|longest| *longest = longest.max(fail_call(&mut harness)));
        }
        let within_bounds = longest.iter().zip(max_waits).all(|(wait, max)| (0.9 * max..max).contains(wait));
        assert!(within_bounds, "subscribe within {subscribe_within} ms, longest waits: {longest:?}");
    }
}

/// Guards against synchronised retries when a fleet of 2000 sidecars loses discovery at the same time.
#[test]
fn fleet_retries_are_spread_over_time() {
    for failures in [1, 2, 5] {
        let mut histogram = [0_usize; 15];
        for seed in 0..2_000 {
            let mut harness = subscribed_balancer(10_000.0, seed);
            let start = harness.now;
            for _ in 0..failures {
                fail_call(&mut harness);
            }
            let bin = (harness.now - start) / (100.0 * f64::from(failures));
            histogram[(bin as usize).min(14)] += 1;
        }
        let fullest = *histogram.iter().max().unwrap();
        // One wait is uniformly distributed; the sum of several has a bell-shaped distribution.
        assert!(fullest < 2_000 * 3 / 10, "after {failures} failures: {histogram:?}");
        assert!(
            histogram.iter().filter(|count| **count > 0).count() >= 10,
            "after {failures} failures: {histogram:?}"
        );
    }
}

/// How a discovery server fails a call.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Reads the request and sends nothing.
    NoResponse,
    /// Responds with status 503.
    Unavailable,
    /// Closes the connection without a response.
    Close,
    /// Sends the response header and no body.
    HeaderOnly,
}

/// A discovery server that fails all calls until it recovers.
struct FailingDiscovery {
    address: SocketAddr,
    recovered: Arc<AtomicBool>,
    /// Number of watches answered with the list.
    watches_served: Arc<AtomicUsize>,
}

impl FailingDiscovery {
    fn new(failure: Failure, list: String) -> FailingDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let recovered = Arc::new(AtomicBool::new(false));
        let watches_served = Arc::new(AtomicUsize::new(0));
        let discovery = FailingDiscovery {
            address,
            recovered: recovered.clone(),
            watches_served: watches_served.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (recovered, watches_served) = (recovered.load(Ordering::SeqCst), watches_served.clone());
                let list = list.clone();
                std::thread::spawn(move || {
                    answer_watch(stream, (!recovered).then_some(failure), &list, &watches_served)
                });
            }
        });
        discovery
    }
}

/// Answers one call: with `failure`, or with the host list and an empty line per second.
fn answer_watch(mut stream: TcpStream, failure: Option<Failure>, list: &str, watches_served: &AtomicUsize) {
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    if read_message(&mut reader).is_none() {
        return;
    }
    const RESPONSE_HEADER: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = match failure {
        None => {
            let _ = stream.write_all(RESPONSE_HEADER);
            let _ = stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes());
            watches_served.fetch_add(1, Ordering::SeqCst);
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_secs(1));
            }
            return;
        }
        Some(Failure::NoResponse) => Ok(()),
        Some(Failure::Unavailable) => {
            return drop(stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"));
        }
        Some(Failure::Close) => return,
        Some(Failure::HeaderOnly) => stream.write_all(RESPONSE_HEADER),
    };
    // Keeps the connection open until the sidecar closes it.
    let _ = read_message(&mut reader);
}

/// A kind of failure under one variant of the settings.
struct FailureCase<'a> {
    settings_name: &'a str,
    settings: &'a str,
    failure: Failure,
    discovery: FailingDiscovery,
}

#[test]
fn change_is_applied_in_time_after_every_kind_of_failure() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let list = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let subscribe_settings = |subscribe_within: &str| {
        SETTINGS_JSON
            .replace("automatic", "subscribe")
            .replace(r#""must_ask_in":400.0"#, &format!(r#""must_ask_in":{subscribe_within}"#))
            .replace(r#""drain_grace":2000.0"#, r#""drain_grace":5000.0"#)
    };
    let settings_variants = [
        ("automatic", SETTINGS_JSON.to_owned()),
        ("subscribe within 400 ms", subscribe_settings("400.0")),
        ("subscribe within 10 s", subscribe_settings("10000.0")),
        ("subscribe within 60 s", subscribe_settings("60000.0")),
    ];
    let failures = [Failure::NoResponse, Failure::Unavailable, Failure::Close, Failure::HeaderOnly];
    let cases: Vec<FailureCase> = settings_variants
        .iter()
        .flat_map(|(settings_name, settings)| {
            failures.map(|failure| FailureCase {
                settings_name,
                settings,
                failure,
                discovery: FailingDiscovery::new(failure, list.clone()),
            })
        })
        .collect();
    const SIDECARS_PER_CASE: usize = 3;
    let sidecars: Vec<Sidecar> = cases
        .iter()
        .flat_map(|case| (0..SIDECARS_PER_CASE).map(|number| (case.settings, case.discovery.address, number)))
        .map(|(settings, address, number)| {
            let config = config_json("127.0.0.1:0", address, &ready_hosts(&[&a]), 1024, settings);
            // Another seed for each sidecar.
            Sidecar::start(&config.replace("8c1f30d27a5be964", &format!("{}7", number + 1)))
        })
        .collect();
    sidecars.iter().for_each(Sidecar::wait_until_up);
    // Long enough for several failed calls of each sidecar.
    std::thread::sleep(Duration::from_millis(5_500));
    cases.iter().for_each(|case| case.discovery.recovered.store(true, Ordering::SeqCst));
    let start = Instant::now();
    let incomplete =
        |case: &&FailureCase| case.discovery.watches_served.load(Ordering::SeqCst) < SIDECARS_PER_CASE;
    while cases.iter().any(|case| incomplete(&case)) {
        let late_cases: Vec<_> =
            cases.iter().filter(incomplete).map(|case| (case.settings_name, case.failure)).collect();
        assert!(
            start.elapsed() < Duration::from_millis(UPDATE_DEADLINE as u64),
            "the list was not delivered in time: {late_cases:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    for sidecar in &sidecars {
        let requests_before = b.requests().len();
        let mut client = loopback::Client::connect(sidecar.address);
        wait_until("the sidecar sends to the new upstream", || {
            client.exchange("fetch").status() == 200 && b.requests().len() > requests_before
        });
    }
    assert!(start.elapsed() < WAIT_TIMEOUT);
}

/// Starts a discovery server that accepts calls and never answers. Returns its address and the arrival times of the
/// calls.
fn unresponsive_discovery() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let recorded_calls = calls.clone();
    std::thread::spawn(move || {
        let mut open_streams = Vec::new();
        for stream in listener.incoming().flatten() {
            recorded_calls.lock().unwrap().push(Instant::now());
            open_streams.push(stream);
        }
    });
    (address, calls)
}

/// Guards against calls at fixed intervals, which would keep the retries of a fleet synchronised, and against more than
/// one call a second to a discovery that may only be slow.
#[test]
fn retries_against_an_unresponsive_discovery_are_jittered() {
    let upstream = Upstream::new(|_| loopback::Behaviour::ok("served"));
    let (address, calls) = unresponsive_discovery();
    let sidecar =
        Sidecar::start(&config_json("127.0.0.1:0", address, &ready_hosts(&[&upstream]), 1024, SETTINGS_JSON));
    wait_until("the sidecar has called discovery more than 16 times", || calls.lock().unwrap().len() > 16);
    drop(sidecar);
    let calls = calls.lock().unwrap().clone();
    let gaps: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] < Duration::from_millis(600), "the first call may be lost: {gaps:?}");
    // Further waits last 1.1 to 1.5 s.
    let short_gaps = gaps[1..].iter().filter(|gap| **gap < Duration::from_millis(1_300)).count();
    assert!(short_gaps >= 3 && gaps.len() - 1 - short_gaps >= 3, "{gaps:?}");
    let calls_per_s = gaps.len() as f64 / (calls[calls.len() - 1] - calls[0]).as_secs_f64();
    assert!(calls_per_s < 1.0, "{calls_per_s} calls a second: {gaps:?}");
}

/// A short drain grace makes retries frequent. Guards against cancelling each call before a slow discovery server answers
/// it.
#[test]
fn discovery_slower_than_the_retry_interval_can_answer() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let list = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(1_200));
                answer_watch(stream, None, &list, &AtomicUsize::new(0));
            });
        }
    });
    let settings = SETTINGS_JSON.replace(r#""drain_grace":2000.0"#, r#""drain_grace":100.0"#);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, &ready_hosts(&[&a]), 1024, &settings));
    let start = Instant::now();
    let mut client = loopback::Client::connect(sidecar.address);
    wait_until("the sidecar sends to the new upstream", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
    assert!(start.elapsed() < Duration::from_millis(UPDATE_DEADLINE as u64), "{:?}", start.elapsed());
}

/// After SIGHUP the sidecar retries the new address until it answers. A watch that the decision module requests
/// meanwhile must not replace these calls with a single one that times out only after 2.5 s.
#[test]
fn watch_request_of_the_decision_module_does_not_replace_the_calls_after_sighup() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let list = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let settings = SETTINGS_JSON.replace("automatic", "subscribe");
    let old_discovery = FailingDiscovery::new(Failure::Unavailable, list.clone());
    let new_discovery = FailingDiscovery::new(Failure::NoResponse, list);
    let sidecar = Sidecar::start(&config_json(
        "127.0.0.1:0",
        old_discovery.address,
        &ready_hosts(&[&a]),
        1024,
        &settings,
    ));
    sidecar.wait_until_up();
    std::thread::sleep(Duration::from_millis(1_000));
    sidecar.reload(&config_json("127.0.0.1:0", new_discovery.address, "null", 1024, &settings));
    // Meanwhile the decision module requests a watch again.
    std::thread::sleep(Duration::from_millis(900));
    new_discovery.recovered.store(true, Ordering::SeqCst);
    let start = Instant::now();
    wait_until("the new discovery has served a watch", || {
        new_discovery.watches_served.load(Ordering::SeqCst) > 0
    });
    assert!(start.elapsed() < Duration::from_millis(1_300), "{:?}", start.elapsed());
    let mut client = loopback::Client::connect(sidecar.address);
    wait_until("the sidecar sends to the new upstream", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
}
