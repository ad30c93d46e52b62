//! A client that has left its request is not sent on: on the module, and on the real program where it was held up
//! and finds the leave together with what would have gone on.

mod common;
mod loopback;

use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{BalancerHarness, listing, sent_to, settings};
use loopback::*;
use sagemast::api::{Action, AttemptFinished, AttemptNo, ClassId, DiscoveryUpdate, Event, Limits, Outcome};

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// One request on the module that is abandoned after so many ended attempts; whatever comes then, it is over.
fn abandoned_after(ended: u32, class: ClassId, first: Outcome, last: Outcome, limits: &Limits) {
    let mut settings = settings();
    settings.limits = limits.clone();
    let mut stage = BalancerHarness::new(settings, [1, 2, 3, 4].map(listing).to_vec());
    let (request, mut actions) = stage.arrive(class);
    for attempt in 0..ended {
        let Some(to) = sent_to(&actions) else { return };
        stage.now += 20.0;
        actions = stage.finish(request, attempt, to, first, 20.0);
    }
    let out = sent_to(&actions);
    let mut after = stage.handle_event(Event::RequestAbandoned(request));
    if let Some(upstream) = out {
        for closed in [false, true] {
            after.extend(stage.handle_event(Event::AttemptFinished(AttemptFinished {
                request,
                attempt: AttemptNo(ended),
                upstream,
                outcome: last,
                latency: 20.0,
                request_completed: closed,
                report: None,
            })));
        }
    }
    // What might bring up something that was held back: a second word of it, time, timers, news, reports.
    after.extend(stage.handle_event(Event::RequestAbandoned(request)));
    for token in 0..8 {
        stage.now += 50.0;
        after.extend(stage.handle_event(Event::TimerFired(token)));
        after.extend(stage.probe_answered(1, 0.0, 0.1));
    }
    after.extend(
        stage.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(
            [5, 6, 7].map(listing).to_vec(),
        ))),
    );
    let cancel = Action::Cancel { request, attempt: AttemptNo(ended) };
    let owed: Vec<Action> = out.filter(|_| limits.allow_cancellation).map(|_| cancel).into_iter().collect();
    after.retain(|action| !matches!(action, Action::Probe(_) | Action::Log(_)));
    assert_eq!(after, owed, "{class:?}, {ended} ended with {first:?}, then {last:?}");
}

#[test]
fn the_module_is_done_with_an_abandoned_request() {
    let all = (0..5).flat_map(|class| OUTCOMES.map(|first| (ClassId(class), first)));
    for (class, first) in all {
        for last in OUTCOMES {
            for (ended, cancel, duplicates) in
                (0..3).flat_map(|ended| [(ended, true, false), (ended, false, true)])
            {
                let limits = Limits {
                    allow_cancellation: cancel,
                    allow_concurrent_attempts: duplicates,
                    ..settings().limits
                };
                abandoned_after(ended, class, first, last, &limits);
            }
        }
    }
}

/// So long the program is held up: what begins after that is later than the rule allows by far.
const HELD_UP: Duration = Duration::from_millis(400);
/// What would still go out once it goes on has arrived by then.
const SETTLED: Duration = Duration::from_millis(200);

/// Stands ready to hold the program up: to start another program for it only then would take some time.
struct Brake {
    shell: Child,
    stat: String,
}

impl Brake {
    fn on(sidecar: &Sidecar) -> Brake {
        let id = sidecar.child.id();
        let script = format!("echo ready; read now; kill -STOP {id}");
        let mut command = Command::new("sh");
        let command = command.args(["-c", &script]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut shell = command.spawn().unwrap();
        shell.stdout.as_mut().unwrap().read_exact(&mut [0; 6]).unwrap();
        Brake { shell, stat: format!("/proc/{id}/stat") }
    }

    fn hold(mut self) {
        self.shell.stdin.take().unwrap().write_all(b"now\n").unwrap();
        assert!(self.shell.wait().unwrap().success());
        wait_until("it stands still", || std::fs::read_to_string(&self.stat).unwrap().contains(") T "));
    }
}

/// Holds the program up while this is done, and for some time more. How many fetches had come by the end of it: what
/// was written before has been read by then, and nothing is written meanwhile.
fn held_up<T>(sidecar: &Sidecar, brake: Brake, came: &Came, done: impl FnOnce() -> T) -> (T, usize) {
    brake.hold();
    let result = done();
    std::thread::sleep(HELD_UP);
    let before = count(came, "fetch");
    sidecar.signal("-CONT");
    (result, before)
}

/// All ways to leave, each with nothing behind the request, with another request, and with more than is kept.
fn ways() -> Vec<(Disconnect, String)> {
    let behind = [String::new(), http_request("fetch", 60_000), "x".repeat(40_000)];
    let ways = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];
    ways.into_iter().flat_map(|way| behind.clone().map(|bytes| (way, bytes))).collect()
}

/// Clients that have each sent a request.
fn clients(sidecar: &Sidecar, number: usize) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..number).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| client.send("fetch", 60_000));
    clients
}

/// Clients that may send one on a connection that has carried something.
fn resting(sidecar: &Sidecar, number: usize) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..number).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| drop(client.get("/up")));
    clients
}

/// They leave, in all ways; what is given back keeps the half-closed ones open.
fn all_leave(clients: Vec<Client>) -> Vec<Client> {
    let leaving = clients.into_iter().zip(ways().into_iter().cycle());
    leaving.filter_map(|(client, (way, behind))| disconnect(client, way, behind.as_bytes())).collect()
}

/// What came to the servers of a test: the first lines.
type Came = Arc<Mutex<Vec<String>>>;

/// How many of a class came.
fn count(came: &Came, class: &str) -> usize {
    let path = format!("/{class}?");
    came.lock().unwrap().iter().filter(|line| line.contains(&path)).count()
}

/// Servers that do this with a fetch, and answer the rest after a moment in which many are out.
fn servers(came: &Came, fetch: impl Fn() -> Behaviour + Send + Sync + Clone + 'static) -> [Upstream; 6] {
    [(); 6].map(|()| {
        let (came, fetch) = (came.clone(), fetch.clone());
        Upstream::new(move |message| {
            came.lock().unwrap().push(message.start_line.clone());
            if message.start_line.contains("/fetch?") {
                return fetch();
            }
            std::thread::sleep(Duration::from_millis(30));
            Behaviour::ok("served")
        })
    })
}

/// Leaves idle connections to the servers behind: a further attempt that has one goes out without a wait.
fn warm(sidecar: &Sidecar) {
    let mut clients: Vec<Client> = (0..24).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| client.send("log", 60_000));
    clients.iter_mut().for_each(|client| assert!(client.read().is_some()));
    std::thread::sleep(Duration::from_millis(50));
}

/// So many clients leave while the program is held up with their first attempts out for this long; `then` the attempts end in the
/// same time. With them leave as many as make `all`, which have just sent theirs. No more may arrive than had when it
/// stood still. Where the machine is busy some may have ended before: that tells less, so it is done again.
fn none_goes_on(
    settings: &str,
    out: usize,
    all: usize,
    wait: Duration,
    fetch: fn(&AtomicUsize) -> Behaviour,
    then: impl Fn(&AtomicUsize),
) {
    wait_until("a round was in time", || {
        let came = Came::default();
        let go = Arc::new(AtomicUsize::new(0));
        let seen = go.clone();
        let upstreams = servers(&came, move || fetch(&seen));
        let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&upstreams.each_ref(), settings);
        warm(&sidecar);
        let mut resting = resting(&sidecar, (all - out) / 2);
        let brake = Brake::on(&sidecar);
        let mut leaving = clients(&sidecar, out);
        let sent = Instant::now();
        while count(&came, "fetch") < out && sent.elapsed() < Duration::from_millis(200) {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(wait.saturating_sub(sent.elapsed()));
        let (_half_open, before) = held_up(&sidecar, brake, &came, || {
            resting.iter_mut().for_each(|client| client.send("fetch", 60_000));
            leaving.append(&mut resting);
            leaving.extend(clients(&sidecar, all - leaving.len()));
            let half_open = all_leave(leaving);
            then(&go);
            half_open
        });
        // It goes on, whatever it makes of its servers.
        Client::connect(sidecar.address).exchange("log");
        std::thread::sleep(SETTLED);
        assert_eq!(count(&came, "fetch"), before, "sent on after their clients had left");
        before == out
    });
}

/// A first attempt is given up after some 2.3 s, and until 3 s another is tried.
const NEARLY_TIMED_OUT: Duration = Duration::from_millis(2_100);

#[test]
fn a_time_out_that_comes_due_while_the_client_leaves_is_not_followed_by_another_attempt() {
    let duplicates = SETTINGS_JSON.replace(r#""may_duplicate":false"#, r#""may_duplicate":true"#);
    for settings in [SETTINGS_JSON, &duplicates] {
        none_goes_on(settings, 9, 9, NEARLY_TIMED_OUT, |_| Behaviour::NoResponse, |_| {});
    }
}

#[test]
fn of_two_hundred_that_leave_at_once_none_is_sent_on() {
    none_goes_on(SETTINGS_JSON, 20, 200, NEARLY_TIMED_OUT, |_| Behaviour::NoResponse, |_| {});
}

#[test]
fn a_failure_that_comes_while_the_client_leaves_is_not_followed_by_another_attempt() {
    fn let_go(go: &AtomicUsize) {
        wait_until("the test lets go", || go.load(Ordering::SeqCst) > 0);
    }
    let deeds: [fn(&AtomicUsize) -> Behaviour; 3] = [
        |go| {
            let_go(go);
            Behaviour::Close
        },
        |go| {
            let_go(go);
            Behaviour::Respond(500, "", vec![])
        },
        |go| {
            let_go(go);
            Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![])
        },
    ];
    for deed in deeds {
        none_goes_on(SETTINGS_JSON, 9, 9, Duration::ZERO, deed, |go| go.store(1, Ordering::SeqCst));
    }
}

/// A request that waits for the one connection to its server to be quiet: an answer has just come on it.
struct Waiting {
    sidecar: Sidecar,
    _discovery: Discovery,
    /// Whose answer that was, and the client that waits.
    first: Client,
    client: Client,
    brake: Brake,
    /// How many fetches had come before.
    before: usize,
}

fn waiting(came: &Came, upstream: &Upstream, settings: &str) -> Waiting {
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[upstream], settings);
    let mut first = Client::connect(sidecar.address);
    let mut client = Client::connect(sidecar.address);
    let brake = Brake::on(&sidecar);
    let before = count(came, "fetch");
    assert_eq!(first.exchange("bill").status(), 200);
    client.send("fetch", 60_000);
    // Enough to read it, and less than the wait.
    std::thread::sleep(Duration::from_millis(3));
    Waiting { sidecar, _discovery, first, client, brake, before }
}

#[test]
fn a_request_that_waits_for_a_quiet_connection_is_not_written_after_its_client_has_left() {
    // Probes would come with connections of their own.
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    for (way, behind) in ways() {
        let came = Came::default();
        let upstreams = servers(&came, || Behaviour::ok("served"));
        wait_until("a round was in time", || {
            let Waiting { sidecar, _discovery, mut first, client, brake, before } =
                waiting(&came, &upstreams[0], &settings);
            let (_half_open, out) =
                held_up(&sidecar, brake, &came, || disconnect(client, way, behind.as_bytes()));
            assert_eq!(first.exchange("bill").status(), 200);
            std::thread::sleep(Duration::from_millis(50));
            assert_eq!(count(&came, "fetch"), out, "{way:?} with {} bytes behind", behind.len());
            out == before
        });
    }
}

#[test]
fn what_a_client_that_stays_has_sent_behind_its_request_is_read_after_its_answer() {
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    let came = Came::default();
    let upstreams = servers(&came, || Behaviour::ok("served"));
    wait_until("a round was in time", || {
        let Waiting { sidecar, _discovery, first: _first, mut client, brake, before } =
            waiting(&came, &upstreams[0], &settings);
        // The socket is asked for its end and holds this instead.
        let ((), out) = held_up(&sidecar, brake, &came, || client.send("log", 60_000));
        assert_eq!(client.read().expect("the first answer").status(), 200);
        assert_eq!(client.read().expect("the second answer").status(), 200);
        out == before
    });
}

#[test]
fn a_connection_that_comes_up_while_the_client_leaves_is_not_written_to() {
    let late = FullAcceptQueue::new();
    let known = host_list(5, true, &[host_entry("a", late.listener.local_addr().unwrap(), "ready")]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json(
        "127.0.0.1:0",
        discovery.address,
        &known,
        1024,
        &long_timeout_settings_json(),
    ));
    sidecar.wait_until_up();
    let clients = clients(&sidecar, 9);
    // Long enough to begin to connect; were it not, nothing would fail here.
    std::thread::sleep(Duration::from_millis(300));
    let brake = Brake::on(&sidecar);
    let ((_half_open, written), _) = held_up(&sidecar, brake, &Came::default(), || {
        let half_open = all_leave(clients);
        let written = late.start_accepting("fetch");
        // The kernel tries anew to connect after 1 and 3 s.
        std::thread::sleep(Duration::from_millis(3_200));
        (half_open, written)
    });
    // It goes on, whatever it makes of its server.
    Client::connect(sidecar.address).exchange("bill");
    std::thread::sleep(SETTLED);
    assert_eq!(written.load(Ordering::SeqCst), 0);
}

#[test]
fn a_request_that_is_read_after_its_client_has_left_is_not_sent_on() {
    // On resting connections and in the accept queue, with idle connections to servers: two hundred in all.
    for deed in [|| Behaviour::ok("served"), || Behaviour::RespondAndClose] {
        let came = Came::default();
        let upstreams = servers(&came, deed);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&upstreams.each_ref());
        warm(&sidecar);
        let mut resting = resting(&sidecar, 100);
        // These connections to servers are closed by them just as it stands still.
        let mut last: Vec<Client> = (0..10).map(|_| Client::connect(sidecar.address)).collect();
        let brake = Brake::on(&sidecar);
        last.iter_mut().for_each(|client| client.send("fetch", 60_000));
        last.iter_mut().for_each(|client| drop(client.read()));
        let (_half_open, before) = held_up(&sidecar, brake, &came, || {
            resting.extend((0..100).map(|_| Client::connect(sidecar.address)));
            resting.iter_mut().for_each(|client| client.send("fetch", 60_000));
            all_leave(resting)
        });
        assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 200);
        std::thread::sleep(SETTLED);
        assert_eq!(count(&came, "fetch"), before);
    }
}
