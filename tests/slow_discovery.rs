//! A discovery that takes long for each call, over sockets: a change is applied in time and an older list never replaces
//! a newer one. The same cases, and more of them, run on a virtual clock in `tests/subscription.rs`.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use loopback::{
    Behaviour, Client, SETTINGS_JSON, Sidecar, Upstream, config_json, host_entry, host_list, read_message,
    ready_hosts, wait_until,
};

/// A change must be applied this long after discovery had it and could be reached.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// How long discovery takes for a call, in milliseconds.
const DELAYS_MS: [u64; 8] = [200, 1_200, 2_400, 2_600, 3_200, 4_000, 4_800, 5_500];
/// Interval of the empty lines on a watch.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The most calls of a sidecar until a change is applied.
const MAX_CALLS: usize = 7;
/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The version of the list that a sidecar has saved.
const SAVED_VERSION: u64 = 5;

/// How discovery answers.
#[derive(Clone, Copy)]
struct Answers {
    /// How long a call takes.
    delay: Duration,
    /// Whether the first call is never answered.
    first_call_lost: bool,
}

/// The state of discovery.
struct State {
    answers: Answers,
    /// The lists so far, as the entries of each version; the first has [`SAVED_VERSION`].
    versions: Vec<Vec<String>>,
    /// Watches that were opened in an earlier epoch have ended or are silent.
    epoch: u64,
    old_watches_are_silent: bool,
    calls: usize,
}

impl State {
    fn version(&self) -> u64 {
        SAVED_VERSION + self.versions.len() as u64 - 1
    }

    fn entries(&self, version: u64) -> &[String] {
        &self.versions[(version - SAVED_VERSION) as usize]
    }

    /// The changes after a version, or a snapshot.
    fn update_after(&self, from_version: u64) -> String {
        let entries = self.entries(self.version());
        match from_version {
            0 => host_list(self.version(), true, entries),
            from if from < self.version() => host_list(self.version(), false, entries),
            _ => host_list(self.version(), false, &[]),
        }
    }
}

/// A discovery server with any number of addresses and watches.
#[derive(Clone)]
struct SlowDiscovery {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl SlowDiscovery {
    fn new(answers: Answers, entries: Vec<String>) -> SlowDiscovery {
        let state =
            State { answers, versions: vec![entries], epoch: 0, old_watches_are_silent: false, calls: 0 };
        SlowDiscovery { state: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Starts to listen on an address.
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        address
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }

    fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }

    /// Answers one call with a watch.
    fn serve(&self, mut stream: TcpStream) {
        let Some(request) = read_message(&mut BufReader::new(stream.try_clone().unwrap())) else { return };
        let (call, answers) = {
            let mut state = self.state.0.lock().unwrap();
            state.calls += 1;
            (state.calls, state.answers)
        };
        if answers.first_call_lost && call == 1 {
            std::thread::sleep(Duration::from_secs(60));
            return;
        }
        std::thread::sleep(answers.delay);
        let from =
            request.start_line.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let epoch = state.epoch;
        let mut sent_version = from.unwrap_or(0);
        let mut text = format!("{}\n", state.update_after(sent_version));
        loop {
            sent_version = state.version();
            drop(state);
            if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                return;
            }
            let last_line = Instant::now();
            state = lock.lock().unwrap();
            while state.version() == sent_version
                && state.epoch == epoch
                && last_line.elapsed() < KEEP_ALIVE_INTERVAL
            {
                let longest = KEEP_ALIVE_INTERVAL.saturating_sub(last_line.elapsed());
                state = changed.wait_timeout(state, longest).unwrap().0;
            }
            if state.epoch != epoch {
                if state.old_watches_are_silent {
                    drop(state);
                    std::thread::sleep(Duration::from_secs(60));
                }
                return;
            }
            text = if state.version() > sent_version {
                format!("{}\n", state.update_after(sent_version))
            } else {
                "\n".to_owned()
            };
        }
    }
}

/// Two upstreams: the list has the old one first, and then drains it and has the new one.
struct Upstreams {
    old: Upstream,
    new: Upstream,
}

impl Upstreams {
    fn start() -> Upstreams {
        Upstreams {
            old: Upstream::new(|_| Behaviour::ok("old")),
            new: Upstream::new(|_| Behaviour::ok("new")),
        }
    }

    fn entries_before(&self) -> Vec<String> {
        vec![host_entry("a", self.old.address, "ready")]
    }

    fn entries_after(&self) -> Vec<String> {
        vec![host_entry("a", self.old.address, "draining"), host_entry("b", self.new.address, "ready")]
    }
}

/// A sidecar beside a discovery of its own.
struct Case {
    name: String,
    settings: String,
    discovery: SlowDiscovery,
    address: SocketAddr,
    sidecar: Sidecar,
}

/// Starts a sidecar for each delay and mode of membership.
fn start_cases(upstreams: &Upstreams, delays_ms: &[u64], answers: impl Fn(Duration) -> Answers) -> Vec<Case> {
    let mut cases = Vec::new();
    for delay_ms in delays_ms {
        for mode in ["automatic", "subscribe"] {
            let settings = SETTINGS_JSON.replace("automatic", mode);
            let answers = answers(Duration::from_millis(*delay_ms));
            let discovery = SlowDiscovery::new(answers, upstreams.entries_before());
            let address = discovery.listen();
            let known = ready_hosts(&[&upstreams.old]);
            let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, &known, 1024, &settings));
            let name = format!("{delay_ms} ms, {mode}");
            cases.push(Case { name, settings, discovery, address, sidecar });
        }
    }
    cases
}

/// Sends requests until the new upstream serves one, or for twice the deadline. Returns the time since the change.
fn wait_for_change(case: &Case, changed_at: Instant) -> Duration {
    let mut client = Client::connect(case.sidecar.address);
    while changed_at.elapsed() < 2 * UPDATE_DEADLINE && client.exchange("fetch").body != b"new" {
        std::thread::sleep(REQUEST_INTERVAL);
    }
    changed_at.elapsed()
}

/// Asserts that the change is applied in time in all cases, and with few calls.
fn assert_applied_in_time(cases: &[Case], changed_at: Instant) {
    let times: Vec<Duration> = std::thread::scope(|scope| {
        let waits: Vec<_> =
            cases.iter().map(|case| scope.spawn(move || wait_for_change(case, changed_at))).collect();
        waits.into_iter().map(|wait| wait.join().unwrap()).collect()
    });
    let results: Vec<String> = cases
        .iter()
        .zip(&times)
        .map(|(case, time)| format!("{}: {time:?}, {} calls", case.name, case.discovery.calls()))
        .collect();
    let in_time = times.iter().all(|time| *time < UPDATE_DEADLINE);
    let few_calls = cases.iter().all(|case| case.discovery.calls() <= MAX_CALLS);
    assert!(in_time && few_calls, "{results:#?}");
}

fn slow_answers(delay: Duration) -> Answers {
    Answers { delay, first_call_lost: false }
}

/// Publishes the change in all cases, after `change_state`.
fn publish(cases: &[Case], upstreams: &Upstreams, change_state: impl Fn(&mut State)) -> Instant {
    let changed_at = Instant::now();
    for case in cases {
        case.discovery.change(|state| {
            change_state(state);
            state.versions.push(upstreams.entries_after());
        });
    }
    changed_at
}

/// Guards against calls that are given up because they are late: discovery would never be heard.
#[test]
fn discovery_that_is_slow_from_the_start_is_heard() {
    let upstreams = Upstreams::start();
    let cases = start_cases(&upstreams, &DELAYS_MS, slow_answers);
    let changed_at = publish(&cases, &upstreams, |_| {});
    assert_applied_in_time(&cases, changed_at);
}

/// Starts sidecars whose watch is open, beside a discovery that needs this long for later calls.
fn start_watching_cases(upstreams: &Upstreams, delays_ms: &[u64]) -> Vec<Case> {
    let cases = start_cases(upstreams, delays_ms, |_| slow_answers(Duration::ZERO));
    wait_until("every sidecar has called", || cases.iter().all(|case| case.discovery.calls() > 0));
    // Long enough for the watches to count as useful: one that ends early is reopened after a longer wait.
    std::thread::sleep(Duration::from_millis(1_500));
    for (case, delay_ms) in cases.iter().zip(delays_ms.iter().flat_map(|delay_ms| [*delay_ms; 2])) {
        case.discovery.change(|state| state.answers = slow_answers(Duration::from_millis(delay_ms)));
    }
    cases
}

/// Guards against a watch that is not reopened because the calls for it are slow.
#[test]
fn discovery_that_becomes_slow_as_its_watches_end_is_heard() {
    let upstreams = Upstreams::start();
    let cases = start_watching_cases(&upstreams, &DELAYS_MS);
    let changed_at = publish(&cases, &upstreams, |state| state.epoch += 1);
    assert_applied_in_time(&cases, changed_at);
}

/// The silence is noticed after 2.5 s, which leaves 3.5 s for the call.
#[test]
fn discovery_that_becomes_slow_as_its_watches_fall_silent_is_heard() {
    let upstreams = Upstreams::start();
    let cases = start_watching_cases(&upstreams, &[200, 1_200, 2_400, 2_600, 3_200]);
    let changed_at = publish(&cases, &upstreams, |state| {
        state.epoch += 1;
        state.old_watches_are_silent = true;
    });
    assert_applied_in_time(&cases, changed_at);
}

/// Guards against a lost call that keeps the place of those that are answered.
#[test]
fn discovery_is_heard_beside_a_lost_call() {
    let upstreams = Upstreams::start();
    let cases = start_cases(&upstreams, &DELAYS_MS, |delay| Answers { delay, first_call_lost: true });
    let changed_at = publish(&cases, &upstreams, |_| {});
    assert_applied_in_time(&cases, changed_at);
}

/// Guards against a reload that ends the calls of the configuration before it: nothing would be heard until a series of
/// reloads is over. Where nothing has changed a reload adds no calls.
#[test]
fn reloads_in_quick_succession_do_not_end_calls() {
    let upstreams = Upstreams::start();
    let series: Vec<(u64, bool)> = [100, 400, 700, 1_000]
        .into_iter()
        .flat_map(|interval_ms| [(interval_ms, false), (interval_ms, true)])
        .collect();
    std::thread::scope(|scope| {
        for (interval_ms, address_changes) in series {
            let upstreams = &upstreams;
            scope.spawn(move || {
                let cases = start_cases(upstreams, &[1_200, 3_200, 4_800], slow_answers);
                cases.iter().for_each(|case| case.sidecar.wait_until_up());
                let changed_at = publish(&cases, upstreams, |_| {});
                std::thread::scope(|reloads| {
                    for case in &cases {
                        reloads.spawn(move || {
                            reload_repeatedly(case, Duration::from_millis(interval_ms), address_changes)
                        });
                    }
                    if address_changes {
                        assert_applied_in_time_at_two_addresses(&cases, changed_at);
                    } else {
                        assert_applied_in_time(&cases, changed_at);
                    }
                });
            });
        }
    });
}

/// Reloads the configuration until the deadline of the update, with the same address of discovery or with two in turn.
fn reload_repeatedly(case: &Case, interval: Duration, address_changes: bool) {
    let second_address = if address_changes { case.discovery.listen() } else { case.address };
    let start = Instant::now();
    for address in [second_address, case.address].into_iter().cycle() {
        if start.elapsed() >= UPDATE_DEADLINE {
            return;
        }
        case.sidecar.reload(&config_json("127.0.0.1:0", address, "null", 1024, &case.settings));
        std::thread::sleep(interval);
    }
}

/// Like [`assert_applied_in_time`]; each of the two addresses may be called as often.
fn assert_applied_in_time_at_two_addresses(cases: &[Case], changed_at: Instant) {
    for case in cases {
        let time = wait_for_change(case, changed_at);
        let calls = case.discovery.calls();
        assert!(time < UPDATE_DEADLINE && calls <= 2 * MAX_CALLS, "{}: {time:?}, {calls} calls", case.name);
    }
}

/// A late snapshot is older than the changes that came meanwhile. Guards against a server that drains being used again.
#[test]
fn older_list_does_not_replace_a_newer_one() {
    let upstreams = Upstreams::start();
    for mode in ["automatic", "subscribe"] {
        let settings = SETTINGS_JSON.replace("automatic", mode);
        let discovery = SlowDiscovery::new(slow_answers(Duration::ZERO), upstreams.entries_before());
        discovery.change(|state| state.versions.push(upstreams.entries_after()));
        let known = ready_hosts(&[&upstreams.old]);
        let sidecar =
            Sidecar::start(&config_json("127.0.0.1:0", discovery.listen(), &known, 1024, &settings));
        let mut client = Client::connect(sidecar.address);
        wait_until("the new upstream serves", || client.exchange("fetch").body == b"new");
        // Another address answers with the list as it was before, first as a snapshot.
        let outdated = SlowDiscovery::new(slow_answers(Duration::ZERO), upstreams.entries_before());
        let address = outdated.listen();
        let list = host_list(SAVED_VERSION, true, &upstreams.entries_before());
        let snapshot_discovery = loopback::Discovery::new(&list);
        for address in [snapshot_discovery.address, address] {
            sidecar.reload(&config_json("127.0.0.1:0", address, "null", 1024, &settings));
            sidecar.wait_for_log("version 6 is in force");
            sidecar.log.lock().unwrap().clear();
            for _ in 0..30 {
                assert_eq!(client.exchange("fetch").body, b"new", "{mode}");
            }
        }
        // A later version of that discovery is used again.
        outdated.change(|state| {
            state.versions.push(upstreams.entries_after());
            state.versions.push(upstreams.entries_before());
        });
        wait_until("the old upstream serves", || client.exchange("fetch").body == b"old");
    }
}

/// Number of calls that are answered with an update that never ends.
const INCOMPLETE_UPDATES: usize = 4;
/// Size of such an update, just below the longest one that is accepted.
const INCOMPLETE_UPDATE_BYTES: usize = 2_000_000;

/// Answers the first calls with updates that never end, and later ones with this list.
fn discovery_with_incomplete_updates(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let incomplete =
            format!(r#"{{"seq":9,"whole":true,"hosts":[{}"#, " ".repeat(INCOMPLETE_UPDATE_BYTES));
        for (call, stream) in listener.incoming().flatten().enumerate() {
            let text = if call < INCOMPLETE_UPDATES { incomplete.clone() } else { format!("{list}\n") };
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = read_message(&mut BufReader::new(stream.try_clone().unwrap()));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
                std::thread::sleep(Duration::from_secs(60));
            });
        }
    });
    address
}

/// Guards against the memory of several updates that are received at the same time, and against updates that never end
/// and keep later ones from being received.
#[test]
fn incomplete_updates_neither_exceed_the_memory_limit_nor_hold_up_others() {
    let upstreams = Upstreams::start();
    let address = discovery_with_incomplete_updates(host_list(9, true, &upstreams.entries_after()));
    let known = ready_hosts(&[&upstreams.old]);
    let memory_limit = format!(r#""memory_mb":{}"#, loopback::LOWEST_MEMORY_LIMIT_MIB);
    let config = config_json("127.0.0.1:0", address, &known, 1024, SETTINGS_JSON);
    let sidecar = Sidecar::start(&config.replace(r#""memory_mb":192"#, &memory_limit));
    let mut client = Client::connect(sidecar.address);
    wait_until("the new upstream serves", || client.exchange("fetch").body == b"new");
    let peak_kib = sidecar.peak_memory_kib();
    assert!(peak_kib < loopback::LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB");
}
