//! How soon a change is known: whatever was refused, hung or was given up before, a sidecar asks discovery again in
//! time, and the sidecars of a fleet do not ask together.

mod common;
mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{BalancerHarness, listing};
use loopback::{
    SETTINGS_JSON, Sidecar, Upstream, WAIT_TIMEOUT, config_json, host_entry, host_list, read_message,
    ready_hosts, wait_until,
};
use sagemast::api::*;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Millis = 6_000.0;
/// A call that is not answered is given up after this.
const CALL: Millis = 2_500.0;

/// A module that asks, with this seed, after it was told a list once.
fn asking(subscribe_within: Millis, seed: u64) -> BalancerHarness {
    let settings =
        Settings { discovery: DiscoveryMode::Subscribe { subscribe_within }, ..common::settings() };
    let mut stage = BalancerHarness::with_seed(settings, vec![listing(1)], seed);
    stage.handle_event(Event::TimerFired(0));
    stage.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(vec![listing(1)])));
    stage
}

/// A call has failed: how long the module waits before the next.
fn wait(stage: &mut BalancerHarness) -> Millis {
    let actions = stage.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Unavailable));
    let at = actions.iter().find_map(|action| match action {
        Action::SetTimer { at, token: 0 } => Some(*at),
        _ => None,
    });
    let waited = at.expect("it asks again") - stage.now;
    stage.now += waited;
    assert!(stage.handle_event(Event::TimerFired(0)).contains(&Action::Subscribe));
    waited
}

/// Discovery can be reached from the moment in which a call began that hangs nevertheless; the next one is refused.
#[test]
fn a_call_that_hangs_and_one_that_is_refused_leave_time_for_a_third() {
    for subscribe_within in [300.0, 2_000.0, 10_000.0, 600_000.0] {
        for seed in 0..500 {
            let mut stage = asking(subscribe_within, seed);
            // Each has failed before, more or less often.
            for _ in 0..seed % 6 {
                wait(&mut stage);
            }
            stage.now += CALL;
            let sum = CALL + wait(&mut stage) + wait(&mut stage);
            assert!(sum < TOLD - 400.0, "must ask in {subscribe_within}, seed {seed}: {sum}");
        }
    }
}

#[test]
fn it_backs_off_as_far_as_that_leaves_time() {
    for (subscribe_within, spans) in [(400.0, [200.0, 400.0, 400.0]), (2_000.0, [1_000.0, 1_500.0, 1_500.0])]
    {
        let mut longest = [0.0_f64; 3];
        for seed in 0..300 {
            let mut stage = asking(subscribe_within, seed);
            longest.iter_mut().for_each(|longest| *longest = longest.max(wait(&mut stage)));
        }
        let spread = longest.iter().zip(spans).all(|(wait, span)| (0.9 * span..span).contains(wait));
        assert!(spread, "must ask in {subscribe_within}: {longest:?}");
    }
}

/// A fleet of two thousand loses discovery at one moment: no tenth of a second sees many times the mean.
#[test]
fn a_fleet_that_loses_discovery_at_once_does_not_ask_at_once() {
    for failures in [1, 2, 5] {
        let mut bins = [0_usize; 15];
        for seed in 0..2_000 {
            let mut stage = asking(10_000.0, seed);
            let begin = stage.now;
            for _ in 0..failures {
                wait(&mut stage);
            }
            let at = (stage.now - begin) / (100.0 * f64::from(failures));
            bins[(at as usize).min(14)] += 1;
        }
        let most = *bins.iter().max().unwrap();
        // One wait is drawn evenly; sums of several are bell-shaped over their whole span.
        assert!(most < 2_000 * 3 / 10, "after {failures} failures: {bins:?}");
        assert!(bins.iter().filter(|count| **count > 0).count() >= 10, "after {failures}: {bins:?}");
    }
}

/// What a discovery in need does with a call.
#[derive(Clone, Copy, Debug)]
enum Need {
    /// Says nothing.
    Hangs,
    /// Says that it cannot.
    Refuses,
    /// Ends the connection without a word.
    Closes,
    /// Says that it will tell, and then nothing.
    BeginsOnly,
}

/// A discovery that is in need until it is told to serve.
struct Recovering {
    address: SocketAddr,
    serves: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Recovering {
    fn new(need: Need, news: String) -> Recovering {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serves = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicUsize::new(0));
        let this = Recovering { address, serves: serves.clone(), served: served.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serves, served) = (serves.load(Ordering::SeqCst), served.clone());
                let news = news.clone();
                std::thread::spawn(move || answer(stream, (!serves).then_some(need), &news, &served));
            }
        });
        this
    }
}

fn answer(mut stream: TcpStream, need: Option<Need>, news: &str, served: &AtomicUsize) {
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    if read_message(&mut reader).is_none() {
        return;
    }
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = match need {
        None => {
            let _ = stream.write_all(HEAD);
            let _ = stream.write_all(format!("{:x}\r\n{news}\n\r\n", news.len() + 1).as_bytes());
            served.fetch_add(1, Ordering::SeqCst);
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_secs(1));
            }
            return;
        }
        Some(Need::Hangs) => Ok(()),
        Some(Need::Refuses) => {
            return drop(stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"));
        }
        Some(Need::Closes) => return,
        Some(Need::BeginsOnly) => stream.write_all(HEAD),
    };
    // Until the other side lets go.
    let _ = read_message(&mut reader);
}

#[test]
fn a_change_is_in_force_in_time_whatever_discovery_did_before() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let news = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let asked = |subscribe_within: &str| {
        SETTINGS_JSON
            .replace("automatic", "subscribe")
            .replace(r#""must_ask_in":400.0"#, &format!(r#""must_ask_in":{subscribe_within}"#))
            .replace(r#""drain_grace":2000.0"#, r#""drain_grace":5000.0"#)
    };
    let modes = [SETTINGS_JSON.to_owned(), asked("400.0"), asked("10000.0"), asked("60000.0")];
    let needs = [Need::Hangs, Need::Refuses, Need::Closes, Need::BeginsOnly];
    let cases: Vec<(&str, Need, Recovering)> = modes
        .iter()
        .flat_map(|mode| needs.map(|need| (mode.as_str(), need, Recovering::new(need, news.clone()))))
        .collect();
    const EACH: usize = 3;
    let sidecars: Vec<Sidecar> = cases
        .iter()
        .flat_map(|(mode, _, discovery)| (0..EACH).map(|n| (*mode, discovery.address, n)))
        .map(|(mode, address, number)| {
            let text = config_json("127.0.0.1:0", address, &ready_hosts(&[&a]), 1024, mode);
            Sidecar::start(&text.replace("8c1f30d27a5be964", &format!("{}7", number + 1)))
        })
        .collect();
    sidecars.iter().for_each(Sidecar::wait_until_up);
    // Long enough for each to have failed some times.
    std::thread::sleep(Duration::from_millis(5_500));
    cases.iter().for_each(|(_, _, discovery)| discovery.serves.store(true, Ordering::SeqCst));
    let began = Instant::now();
    let open = |(_, need, discovery): &&(&str, Need, Recovering)| {
        (discovery.served.load(Ordering::SeqCst) < EACH).then_some(*need).is_some()
    };
    while cases.iter().any(|case| open(&case)) {
        let late: Vec<_> =
            cases.iter().filter(open).map(|(mode, need, d)| (need, mode.len(), d.address)).collect();
        assert!(began.elapsed() < Duration::from_millis(TOLD as u64), "not told yet: {late:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    for sidecar in &sidecars {
        let before = b.requests().len();
        let mut client = loopback::Client::connect(sidecar.address);
        wait_until("it serves", || client.exchange("fetch").status() == 200 && b.requests().len() > before);
    }
    assert!(began.elapsed() < WAIT_TIMEOUT);
}

/// A discovery that takes calls and never answers; when they came.
fn hanging() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let kept = calls.clone();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            kept.lock().unwrap().push(Instant::now());
            held.push(stream);
        }
    });
    (address, calls)
}

/// In step, all watches of a fleet that end in one moment come back in one, again and again.
#[test]
fn calls_to_a_discovery_that_hangs_keep_no_step() {
    let upstream = Upstream::new(|_| loopback::Behaviour::ok("served"));
    let (address, calls) = hanging();
    let sidecar =
        Sidecar::start(&config_json("127.0.0.1:0", address, &ready_hosts(&[&upstream]), 1024, SETTINGS_JSON));
    wait_until("it has called often", || calls.lock().unwrap().len() > 16);
    drop(sidecar);
    let calls = calls.lock().unwrap().clone();
    let gaps: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    // A quarter of the drain grace is the longest.
    let short = gaps.iter().filter(|gap| **gap < Duration::from_millis(250)).count();
    assert!(short >= 3 && gaps.len() - short >= 3, "{gaps:?}");
}

/// Where sends must stop soon after a drain is told, calls follow each other fast; a discovery that takes longer to
/// answer than some of them has to be heard all the same.
#[test]
fn a_discovery_that_is_slower_than_the_pace_is_heard() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let news = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let news = news.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(1_200));
                answer(stream, None, &news, &AtomicUsize::new(0));
            });
        }
    });
    let settings = SETTINGS_JSON.replace(r#""drain_grace":2000.0"#, r#""drain_grace":100.0"#);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, &ready_hosts(&[&a]), 1024, &settings));
    let began = Instant::now();
    let mut client = loopback::Client::connect(sidecar.address);
    wait_until("it serves", || client.exchange("fetch").status() == 200 && !b.requests().is_empty());
    assert!(began.elapsed() < Duration::from_millis(TOLD as u64), "{:?}", began.elapsed());
}

/// The module asks often while the old address refuses. What it asks for after SIGHUP is asked for already, until an
/// answer comes: another call in its place would be given up only after 2.5 s.
#[test]
fn what_the_module_asks_for_does_not_replace_the_call_after_sighup() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| loopback::Behaviour::ok("served")));
    let news = host_list(9, true, &[host_entry("b", b.address, "ready")]);
    let settings = SETTINGS_JSON.replace("automatic", "subscribe");
    let old = Recovering::new(Need::Refuses, news.clone());
    let new = Recovering::new(Need::Hangs, news);
    let sidecar =
        Sidecar::start(&config_json("127.0.0.1:0", old.address, &ready_hosts(&[&a]), 1024, &settings));
    sidecar.wait_until_up();
    std::thread::sleep(Duration::from_millis(1_000));
    sidecar.reload(&config_json("127.0.0.1:0", new.address, "null", 1024, &settings));
    // By then the module has asked again.
    std::thread::sleep(Duration::from_millis(900));
    new.serves.store(true, Ordering::SeqCst);
    let began = Instant::now();
    wait_until("it is told", || new.served.load(Ordering::SeqCst) > 0);
    assert!(began.elapsed() < Duration::from_millis(1_300), "{:?}", began.elapsed());
    let mut client = loopback::Client::connect(sidecar.address);
    wait_until("it serves", || client.exchange("fetch").status() == 200 && !b.requests().is_empty());
}
