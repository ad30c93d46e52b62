//! No attempt is sent for a request whose client has disconnected: in the decision module, and in the sidecar process
//! when it was paused and finds the disconnect together with the event that would trigger an attempt.

mod common;
mod loopback;

use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{BalancerHarness, sent_to, settings, upstream_record};
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

/// Abandons a request after `finished_attempts` attempts that ended with `outcome`, while the next one, if any, is in
/// flight and ends with `last_outcome`. The module may only cancel the attempt in flight.
fn assert_no_action_after_abandonment(
    finished_attempts: u32,
    class: ClassId,
    outcome: Outcome,
    last_outcome: Outcome,
    limits: &Limits,
) {
    let mut settings = settings();
    settings.limits = limits.clone();
    let mut harness = BalancerHarness::new(settings, [1, 2, 3, 4].map(upstream_record).to_vec());
    let (request, mut actions) = harness.arrive(class);
    for attempt in 0..finished_attempts {
        let Some(upstream) = sent_to(&actions) else { return };
        harness.now += 20.0;
        actions = harness.finish(request, attempt, upstream, outcome, 20.0);
    }
    let in_flight = sent_to(&actions);
    let mut later_actions = harness.handle_event(Event::RequestAbandoned(request));
    if let Some(upstream) = in_flight {
        for request_completed in [false, true] {
            later_actions.extend(harness.handle_event(Event::AttemptFinished(AttemptFinished {
                request,
                attempt: AttemptNo(finished_attempts),
                upstream,
                outcome: last_outcome,
                latency: 20.0,
                request_completed,
                report: None,
            })));
        }
    }
    // Events that could trigger a postponed action: a second abandonment, timers, load reports and a host list.
    later_actions.extend(harness.handle_event(Event::RequestAbandoned(request)));
    for token in 0..8 {
        harness.now += 50.0;
        later_actions.extend(harness.handle_event(Event::TimerFired(token)));
        later_actions.extend(harness.probe_answered(1, 0.0, 0.1));
    }
    later_actions.extend(harness.handle_event(Event::DiscoveryUpdated(DiscoveryUpdate::Snapshot(
        [5, 6, 7].map(upstream_record).to_vec(),
    ))));
    let cancel = Action::Cancel { request, attempt: AttemptNo(finished_attempts) };
    let expected: Vec<Action> =
        in_flight.filter(|_| limits.allow_cancellation).map(|_| cancel).into_iter().collect();
    later_actions.retain(|action| !matches!(action, Action::Probe(_) | Action::Log(_)));
    assert_eq!(
        later_actions, expected,
        "{class:?}: {finished_attempts} attempts ended with {outcome:?}, the last one with {last_outcome:?}"
    );
}

#[test]
fn decision_module_only_cancels_the_attempt_of_an_abandoned_request() {
    let classes_and_outcomes = (0..5).flat_map(|class| OUTCOMES.map(|outcome| (ClassId(class), outcome)));
    for (class, outcome) in classes_and_outcomes {
        for last_outcome in OUTCOMES {
            for (finished_attempts, allow_cancellation, allow_concurrent_attempts) in
                (0..3).flat_map(|finished| [(finished, true, false), (finished, false, true)])
            {
                let limits = Limits { allow_cancellation, allow_concurrent_attempts, ..settings().limits };
                assert_no_action_after_abandonment(finished_attempts, class, outcome, last_outcome, &limits);
            }
        }
    }
}

/// How long the sidecar stays paused after the disconnects. Any send after that is far later than permitted.
const PAUSE: Duration = Duration::from_millis(400);
/// The time in which a request sent after the pause would arrive at an upstream.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// A shell that is ready to send SIGSTOP to the sidecar, which avoids the time to start `kill` at that moment.
struct PreparedPause {
    shell: Child,
    /// The path of the sidecar's `/proc` status, which shows whether it is stopped.
    stat_path: String,
}

impl PreparedPause {
    fn new(sidecar: &Sidecar) -> PreparedPause {
        let process_id = sidecar.child.id();
        let script = format!("echo ready; read now; kill -STOP {process_id}");
        let mut command = Command::new("sh");
        let command = command.args(["-c", &script]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut shell = command.spawn().unwrap();
        shell.stdout.as_mut().unwrap().read_exact(&mut [0; 6]).unwrap();
        PreparedPause { shell, stat_path: format!("/proc/{process_id}/stat") }
    }

    /// Sends SIGSTOP and waits until the sidecar is stopped.
    fn stop(mut self) {
        self.shell.stdin.take().unwrap().write_all(b"now\n").unwrap();
        assert!(self.shell.wait().unwrap().success());
        wait_until("the sidecar is stopped", || {
            std::fs::read_to_string(&self.stat_path).unwrap().contains(") T ")
        });
    }
}

/// Runs an action while the sidecar is paused, and resumes the sidecar after [`PAUSE`]. Also returns the number of
/// fetches received by the end of the pause, when all that was sent before it has been read.
fn while_paused<T>(
    sidecar: &Sidecar,
    pause: PreparedPause,
    received: &RequestLog,
    action: impl FnOnce() -> T,
) -> (T, usize) {
    pause.stop();
    let result = action();
    std::thread::sleep(PAUSE);
    let fetch_count = count_received(received, "fetch");
    sidecar.signal("-CONT");
    (result, fetch_count)
}

/// Every kind of disconnect, each with the bytes to write just before it: none, a complete pipelined request, and more
/// than the sidecar buffers.
fn immediate_disconnect_cases() -> Vec<(Disconnect, String)> {
    let pipelined = [String::new(), http_request("fetch", 60_000), "x".repeat(40_000)];
    let kinds = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];
    kinds.into_iter().flat_map(|how| pipelined.clone().map(|bytes| (how, bytes))).collect()
}

/// The number of [`immediate_disconnect_cases`]; as many clients cover all of them.
const DISCONNECT_CASE_COUNT: usize = 9;

/// New clients that have each sent a fetch.
fn clients_with_open_request(sidecar: &Sidecar, count: usize) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..count).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| client.send("fetch", 60_000));
    clients
}

/// Clients with an idle connection that has already carried a request.
fn idle_clients(sidecar: &Sidecar, count: usize) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..count).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| drop(client.get("/up")));
    clients
}

/// Disconnects clients in all the ways of [`immediate_disconnect_cases`]. Returns the half-closed ones, so that their
/// connections stay open.
fn disconnect_all(clients: Vec<Client>) -> Vec<Client> {
    let cases = clients.into_iter().zip(immediate_disconnect_cases().into_iter().cycle());
    cases.filter_map(|(client, (how, pipelined))| disconnect(client, how, pipelined.as_bytes())).collect()
}

/// The request lines that the upstreams of a test have received.
type RequestLog = Arc<Mutex<Vec<String>>>;

/// The number of requests of a class that were received.
fn count_received(received: &RequestLog, class: &str) -> usize {
    let path = format!("/{class}?");
    received.lock().unwrap().iter().filter(|line| line.contains(&path)).count()
}

/// Upstreams with this behaviour for fetches. They answer other requests after a delay, so that many are in flight at
/// once.
fn start_upstreams(
    received: &RequestLog,
    on_fetch: impl Fn() -> Behaviour + Send + Sync + Clone + 'static,
) -> [Upstream; 6] {
    [(); 6].map(|()| {
        let (received, on_fetch) = (received.clone(), on_fetch.clone());
        Upstream::new(move |message| {
            received.lock().unwrap().push(message.start_line.clone());
            if message.start_line.contains("/fetch?") {
                return on_fetch();
            }
            std::thread::sleep(Duration::from_millis(30));
            Behaviour::ok("served")
        })
    })
}

/// Fills the pool with idle connections to the upstreams, so that a further attempt would be sent without delay.
fn fill_connection_pool(sidecar: &Sidecar) {
    let mut clients: Vec<Client> = (0..24).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| client.send("log", 60_000));
    clients.iter_mut().for_each(|client| assert!(client.read().is_some()));
    std::thread::sleep(Duration::from_millis(50));
}

/// Disconnects `total` clients while the sidecar is paused, and asserts that no fetch is sent afterwards. `in_flight` of
/// them have sent their requests `attempt_age` before the pause, and `end_attempts` ends their first attempts during
/// the pause. The others have only just sent theirs. On a busy machine an attempt may end before the pause; such rounds
/// are repeated.
fn assert_no_send_after_disconnects(
    settings: &str,
    in_flight: usize,
    total: usize,
    attempt_age: Duration,
    on_fetch: fn(&AtomicUsize) -> Behaviour,
    end_attempts: impl Fn(&AtomicUsize),
) {
    wait_until("a round is paused between the arrival and the end of the attempts", || {
        let received = RequestLog::default();
        let released = Arc::new(AtomicUsize::new(0));
        let response_released = released.clone();
        let upstreams = start_upstreams(&received, move || on_fetch(&response_released));
        let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&upstreams.each_ref(), settings);
        fill_connection_pool(&sidecar);
        let mut idle = idle_clients(&sidecar, (total - in_flight) / 2);
        let pause = PreparedPause::new(&sidecar);
        let mut leaving = clients_with_open_request(&sidecar, in_flight);
        let sent_at = Instant::now();
        while count_received(&received, "fetch") < in_flight && sent_at.elapsed() < Duration::from_millis(200)
        {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(attempt_age.saturating_sub(sent_at.elapsed()));
        let (_half_closed, before) = while_paused(&sidecar, pause, &received, || {
            idle.iter_mut().for_each(|client| client.send("fetch", 60_000));
            leaving.append(&mut idle);
            leaving.extend(clients_with_open_request(&sidecar, total - leaving.len()));
            let half_closed = disconnect_all(leaving);
            end_attempts(&released);
            half_closed
        });
        // The sidecar has handled the disconnects once it answers a later request, with whatever status.
        Client::connect(sidecar.address).exchange("log");
        std::thread::sleep(ARRIVAL_TIME);
        assert_eq!(count_received(&received, "fetch"), before, "sent after the client disconnected");
        before == in_flight
    });
}

/// The age of a first attempt shortly before its timeout of about 2.3 s. Until 3 s it would be retried.
const NEARLY_TIMED_OUT: Duration = Duration::from_millis(2_100);

#[test]
fn attempt_timeout_coinciding_with_a_disconnect_is_not_retried() {
    let with_concurrent_attempts =
        SETTINGS_JSON.replace(r#""may_duplicate":false"#, r#""may_duplicate":true"#);
    for settings in [SETTINGS_JSON, &with_concurrent_attempts] {
        assert_no_send_after_disconnects(
            settings,
            DISCONNECT_CASE_COUNT,
            DISCONNECT_CASE_COUNT,
            NEARLY_TIMED_OUT,
            |_| Behaviour::NoResponse,
            |_| {},
        );
    }
}

#[test]
fn two_hundred_simultaneous_disconnects_cause_no_further_sends() {
    assert_no_send_after_disconnects(
        SETTINGS_JSON,
        20,
        200,
        NEARLY_TIMED_OUT,
        |_| Behaviour::NoResponse,
        |_| {},
    );
}

#[test]
fn attempt_failure_coinciding_with_a_disconnect_is_not_retried() {
    fn wait_for_release(released: &AtomicUsize) {
        wait_until("the test releases the response", || released.load(Ordering::SeqCst) > 0);
    }
    let failures: [fn(&AtomicUsize) -> Behaviour; 3] = [
        |released| {
            wait_for_release(released);
            Behaviour::Close
        },
        |released| {
            wait_for_release(released);
            Behaviour::Respond(500, "", vec![])
        },
        |released| {
            wait_for_release(released);
            Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![])
        },
    ];
    for failure in failures {
        assert_no_send_after_disconnects(
            SETTINGS_JSON,
            DISCONNECT_CASE_COUNT,
            DISCONNECT_CASE_COUNT,
            Duration::ZERO,
            failure,
            |released| released.store(1, Ordering::SeqCst),
        );
    }
}

/// A fetch that waits for the only upstream connection, which may not be reused so soon after a response.
struct WaitingRequest {
    sidecar: Sidecar,
    _discovery: Discovery,
    /// The client that has just received that response.
    first_client: Client,
    /// The client of the fetch.
    client: Client,
    pause: PreparedPause,
    /// The number of fetches received before.
    fetches_before: usize,
}

fn start_waiting_request(received: &RequestLog, upstream: &Upstream, settings: &str) -> WaitingRequest {
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[upstream], settings);
    let mut first_client = Client::connect(sidecar.address);
    let mut client = Client::connect(sidecar.address);
    let pause = PreparedPause::new(&sidecar);
    let fetches_before = count_received(received, "fetch");
    assert_eq!(first_client.exchange("bill").status(), 200);
    client.send("fetch", 60_000);
    // Time to read the request, but less than the delay before the connection is reused.
    std::thread::sleep(Duration::from_millis(3));
    WaitingRequest { sidecar, _discovery, first_client, client, pause, fetches_before }
}

#[test]
fn request_waiting_for_a_reusable_connection_is_not_sent_after_a_disconnect() {
    // Probes would open further connections.
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    for (how, pipelined) in immediate_disconnect_cases() {
        let received = RequestLog::default();
        let upstreams = start_upstreams(&received, || Behaviour::ok("served"));
        wait_until("a round is paused before the fetch is sent", || {
            let WaitingRequest { sidecar, _discovery, mut first_client, client, pause, fetches_before } =
                start_waiting_request(&received, &upstreams[0], &settings);
            let (_half_closed, fetches_at_resume) =
                while_paused(&sidecar, pause, &received, || disconnect(client, how, pipelined.as_bytes()));
            assert_eq!(first_client.exchange("bill").status(), 200);
            std::thread::sleep(Duration::from_millis(50));
            assert_eq!(
                count_received(&received, "fetch"),
                fetches_at_resume,
                "{how:?} with {} pipelined bytes",
                pipelined.len()
            );
            fetches_at_resume == fetches_before
        });
    }
}

#[test]
fn pipelined_request_is_answered_after_the_first_response() {
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    let received = RequestLog::default();
    let upstreams = start_upstreams(&received, || Behaviour::ok("served"));
    wait_until("a round is paused before the fetch is sent", || {
        let WaitingRequest {
            sidecar,
            _discovery,
            first_client: _first_client,
            mut client,
            pause,
            fetches_before,
        } = start_waiting_request(&received, &upstreams[0], &settings);
        // The check for a disconnect reads this request from the socket.
        let ((), fetches_at_resume) = while_paused(&sidecar, pause, &received, || client.send("log", 60_000));
        assert_eq!(client.read().expect("the first response").status(), 200);
        assert_eq!(client.read().expect("the second response").status(), 200);
        fetches_at_resume == fetches_before
    });
}

#[test]
fn connection_established_during_a_disconnect_is_not_written_to() {
    let upstream = FullAcceptQueue::new();
    let known = host_list(5, true, &[host_entry("a", upstream.listener.local_addr().unwrap(), "ready")]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json(
        "127.0.0.1:0",
        discovery.address,
        &known,
        1024,
        &long_timeout_settings_json(),
    ));
    sidecar.wait_until_up();
    let clients = clients_with_open_request(&sidecar, DISCONNECT_CASE_COUNT);
    // Time to start connecting; otherwise the test would pass without testing anything.
    std::thread::sleep(Duration::from_millis(300));
    let pause = PreparedPause::new(&sidecar);
    let ((_half_closed, requests_received), _) =
        while_paused(&sidecar, pause, &RequestLog::default(), || {
            let half_closed = disconnect_all(clients);
            let requests_received = upstream.start_accepting("fetch");
            // The kernel retries to connect after 1 and 3 s.
            std::thread::sleep(Duration::from_millis(3_200));
            (half_closed, requests_received)
        });
    // The sidecar has handled the disconnects once it answers a later request, with whatever status.
    Client::connect(sidecar.address).exchange("bill");
    std::thread::sleep(ARRIVAL_TIME);
    assert_eq!(requests_received.load(Ordering::SeqCst), 0, "sent after the client disconnected");
}

#[test]
fn request_read_after_its_client_disconnected_is_not_sent() {
    // 100 clients on idle connections and 100 in the accept queue, with idle connections to upstreams in the pool.
    for on_fetch in [|| Behaviour::ok("served"), || Behaviour::RespondAndClose] {
        let received = RequestLog::default();
        let upstreams = start_upstreams(&received, on_fetch);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&upstreams.each_ref());
        fill_connection_pool(&sidecar);
        let mut leaving = idle_clients(&sidecar, 100);
        // In the second case, the upstreams close the connections of these requests during the pause.
        let mut last_clients: Vec<Client> = (0..10).map(|_| Client::connect(sidecar.address)).collect();
        let pause = PreparedPause::new(&sidecar);
        last_clients.iter_mut().for_each(|client| client.send("fetch", 60_000));
        last_clients.iter_mut().for_each(|client| drop(client.read()));
        let (_half_closed, before) = while_paused(&sidecar, pause, &received, || {
            leaving.extend((0..100).map(|_| Client::connect(sidecar.address)));
            leaving.iter_mut().for_each(|client| client.send("fetch", 60_000));
            disconnect_all(leaving)
        });
        assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 200);
        std::thread::sleep(ARRIVAL_TIME);
        assert_eq!(count_received(&received, "fetch"), before, "sent after the client disconnected");
    }
}

/// Guards against running a request twice: its client disconnects while an attempt is in flight, and the same id comes
/// again on another connection. The answer must not claim that the request has not run.
#[test]
fn an_id_that_may_have_run_is_not_run_again_after_its_client_disconnected() {
    for class in ["fetch", "log", "bill"] {
        for (how, pipelined) in disconnect_cases() {
            let upstream = Upstream::new(|_| Behaviour::NoResponse);
            let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
            let mut leaving = Client::connect(sidecar.address);
            let request = http_request(class, 60_000);
            leaving.write(request.as_bytes());
            wait_until("the upstream receives the request", || upstream.requests().len() == 1);
            let _half_closed = disconnect_after_write(leaving, how, &pipelined);
            let connection = upstream.requests()[0].connection;
            wait_until("the attempt is cancelled", || upstream.close_sequence(connection).is_some());
            let mut repeating = Client::connect(sidecar.address);
            repeating.write(request.as_bytes());
            let status = repeating.read().expect("a response").status();
            assert_eq!(status, 409, "{class}, {how:?}, {} pipelined bytes", pipelined.len());
            assert_eq!(upstream.requests().len(), 1, "{class}, {how:?}");
        }
    }
}
