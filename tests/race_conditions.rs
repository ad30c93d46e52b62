//! Race conditions of the sidecar, forced over loopback sockets: client disconnects, watches of discovery, shutdown and
//! reload with open requests, and upstream connections that fail or open late.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use loopback::*;

#[test]
fn disconnect_with_pipelined_bytes_cancels_the_attempt() {
    for (how, pipelined) in disconnect_cases() {
        let silent = Upstream::new(|_| Behaviour::NoResponse);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
        let mut client = Client::connect(sidecar.address);
        // The timeout exceeds the duration of the test, so only the disconnect can end the attempt.
        client.send("bill", 600_000);
        wait_until("the request has arrived", || silent.requests().len() == 1);
        let _half_closed = disconnect_after_write(client, how, &pipelined);
        let connection = silent.requests()[0].connection;
        wait_until(&format!("the attempt is cancelled after {how:?}"), || {
            silent.close_sequence(connection).is_some()
        });
        let mut other_client = Client::connect(sidecar.address);
        other_client.send("log", 600_000);
        wait_until("a later request has arrived", || count_requests_of_class(&silent, "log") == 1);
        assert_eq!(silent.requests().len(), 2, "{how:?}, with {} pipelined bytes", pipelined.len());
    }
}

#[test]
fn disconnect_during_the_first_attempt_prevents_a_retry() {
    for (how, pipelined) in disconnect_cases() {
        let silent = [0, 1].map(|_| Upstream::new(|_| Behaviour::NoResponse));
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent[0], &silent[1]]);
        let mut client = Client::connect(sidecar.address);
        // The first attempt times out after about 2.3 s and would then be retried.
        client.send("fetch", 600_000);
        let fetch_count =
            || silent.iter().map(|upstream| count_requests_of_class(upstream, "fetch")).sum::<usize>();
        wait_until("the request has arrived", || fetch_count() == 1);
        let _half_closed = disconnect_after_write(client, how, &pipelined);
        let attempted = silent.iter().find(|upstream| !upstream.requests().is_empty()).unwrap();
        let connection = attempted.requests()[0].connection;
        wait_until(&format!("the attempt is cancelled after {how:?}"), || {
            attempted.close_sequence(connection).is_some()
        });
        let mut other_client = Client::connect(sidecar.address);
        other_client.send("bill", 600_000);
        let later_arrived = || silent.iter().any(|upstream| count_requests_of_class(upstream, "bill") == 1);
        wait_until("a later request has arrived", later_arrived);
        assert_eq!(fetch_count(), 1, "{how:?}, with {} pipelined bytes", pipelined.len());
    }
}

#[test]
fn disconnect_while_connecting_prevents_the_send() {
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
    let mut half_closed = Vec::new();
    for (how, pipelined) in disconnect_cases() {
        let mut client = Client::connect(sidecar.address);
        client.send("bill", 600_000);
        half_closed.push(disconnect_after_write(client, how, &pipelined));
    }
    let mut other_client = Client::connect(sidecar.address);
    other_client.send("log", 600_000);
    std::thread::sleep(Duration::from_millis(300));
    let requests_received = upstream.start_accepting("bill");
    // The kernel retries to connect after 1, 3 and 7 s. Attempts that are still connecting are connected no later
    // than this request.
    assert_eq!(other_client.read().expect("a response").status(), 200);
    assert_eq!(requests_received.load(Ordering::SeqCst), 0);
}

#[test]
fn late_unsolicited_response_is_not_delivered_to_the_next_request() {
    let (delay_sender, measured_delays) = mpsc::channel();
    let request_count = AtomicUsize::new(0);
    let upstream = Upstream::new(move |message| {
        let responds_twice = message.start_line.starts_with("POST")
            && request_count.fetch_add(1, Ordering::SeqCst).is_multiple_of(2);
        let delay = Duration::from_millis(1 + request_count.load(Ordering::SeqCst) as u64 % 3);
        if responds_twice {
            Behaviour::RespondTwice(delay, delay_sender.clone())
        } else {
            Behaviour::ok("own")
        }
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    // On a busy machine the second response may be delayed for longer than intended; such rounds do not count.
    let mut valid_rounds = 0;
    wait_until("40 rounds had a short enough delay", || {
        assert_eq!(client.exchange("bill").body, b"first");
        let next_body = client.exchange("bill").body;
        if measured_delays.recv().unwrap() < Duration::from_millis(7) {
            assert_eq!(next_body, b"own");
            valid_rounds += 1;
        }
        valid_rounds == 40
    });
}

/// The time within which a change must be applied once discovery responds again.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// A step of a scripted watch. After the last step the server sends nothing and waits until the peer closes.
#[derive(Clone)]
enum WatchStep {
    /// Sends the response head.
    SendHead,
    SendChunk(String),
    /// Sends the same chunk every 200 ms until the peer closes.
    RepeatChunk(&'static str),
    Close,
}

/// A discovery server that runs one script per connection, in this order. Further connections run the last script.
struct ScriptedDiscovery {
    address: SocketAddr,
    /// The request lines of all watches so far.
    watches: Arc<Mutex<Vec<String>>>,
}

impl ScriptedDiscovery {
    fn new(scripts: &[&[WatchStep]]) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let watches = Arc::new(Mutex::new(Vec::new()));
        let (watch_log, scripts) =
            (watches.clone(), scripts.iter().map(|script| script.to_vec()).collect::<Vec<_>>());
        std::thread::spawn(move || {
            for (index, mut stream) in listener.incoming().flatten().enumerate() {
                let script = scripts[index.min(scripts.len() - 1)].clone();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut reader) else { continue };
                watch_log.lock().unwrap().push(request.start_line);
                std::thread::spawn(move || {
                    for step in script {
                        match step {
                            WatchStep::SendHead => {
                                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                                let _ = stream.write_all(head.as_bytes());
                            }
                            WatchStep::SendChunk(text) => {
                                let _ = write_chunk(&mut stream, &text);
                            }
                            WatchStep::RepeatChunk(text) => {
                                while write_chunk(&mut stream, text).is_ok() {
                                    std::thread::sleep(Duration::from_millis(200));
                                }
                            }
                            WatchStep::Close => return drop(stream.shutdown(Shutdown::Both)),
                        }
                    }
                    let _ = read_message(&mut reader);
                });
            }
        });
        ScriptedDiscovery { address, watches }
    }

    fn watches(&self) -> Vec<String> {
        self.watches.lock().unwrap().clone()
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// A watch that sends this chunk and then empty lines as heartbeats.
fn healthy_watch(text: &str) -> [WatchStep; 3] {
    [WatchStep::SendHead, WatchStep::SendChunk(text.to_owned()), WatchStep::RepeatChunk("\n")]
}

fn pretty_json(text: &str) -> String {
    serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(text).unwrap()).unwrap()
}

/// Starts a sidecar with these known upstreams and waits until it is up.
fn start_sidecar(discovery: &ScriptedDiscovery, known: &[&Upstream], settings: &str) -> Sidecar {
    let text = config_json("127.0.0.1:0", discovery.address, &ready_hosts(known), 1024, settings);
    let sidecar = Sidecar::start(&text);
    sidecar.wait_until_up();
    sidecar
}

/// Waits until the sidecar routes requests to an upstream.
fn wait_until_served_by(sidecar: &Sidecar, upstream: &Upstream) {
    let mut client = Client::connect(sidecar.address);
    wait_until("the upstream serves requests", || {
        client.exchange("fetch").status() == 200 && !upstream.requests().is_empty()
    });
}

#[test]
fn host_lists_are_parsed_regardless_of_whitespace() {
    let [a, b, c] = [0, 1, 2].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let snapshot =
        host_list(6, true, &[host_entry("a", a.address, "ready"), host_entry("b", b.address, "ready")]);
    // A snapshot and three deltas in one chunk, separated by empty lines, by a line break and not at all.
    let deltas = [
        pretty_json(&host_list(7, false, &[host_entry("a", a.address, "draining")])),
        pretty_json(&host_list(8, false, &[host_entry("c", c.address, "ready")])),
        host_list(9, false, &[host_entry("b", b.address, "draining")]),
    ];
    let text = format!("{}\n\n\n{}\r\n{}{}", pretty_json(&snapshot), deltas[0], deltas[1], deltas[2]);
    let discovery = ScriptedDiscovery::new(&[&healthy_watch(&text)]);
    let sidecar = start_sidecar(&discovery, &[&a], SETTINGS_JSON);
    wait_until_served_by(&sidecar, &c);
    let mut client = Client::connect(sidecar.address);
    let before = a.requests().len() + b.requests().len();
    (0..40).for_each(|_| drop(client.exchange("fetch")));
    assert_eq!(a.requests().len() + b.requests().len(), before, "draining upstreams get no requests");
    assert_eq!(discovery.watches().len(), 1, "a readable list must not end the watch");
}

/// Watches that stay open but never deliver this host list.
fn stalled_watches(list: &str) -> [Vec<WatchStep>; 5] {
    let part = &list[..list.len() / 2];
    [
        vec![WatchStep::SendHead],
        vec![WatchStep::SendHead, WatchStep::SendChunk(part.to_owned())],
        vec![WatchStep::SendHead, WatchStep::SendChunk(format!("{part}\n")), WatchStep::RepeatChunk("\n")],
        vec![WatchStep::SendHead, WatchStep::RepeatChunk("{")],
        vec![WatchStep::SendHead, WatchStep::RepeatChunk(" ")],
    ]
}

#[test]
fn stalled_watch_is_reopened_in_time_despite_hanging_calls() {
    for (settings, hanging_calls) in
        [(SETTINGS_JSON.to_owned(), 2), (SETTINGS_JSON.replace("automatic", "subscribe"), 1)]
    {
        let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
        let delta = host_list(9, false, &[host_entry("b", b.address, "ready")]);
        // `hanging_calls` calls hang before one is answered; the missed delta must be applied in time.
        let servers = stalled_watches(&delta).map(|stalled_watch| {
            let mut scripts: Vec<Vec<WatchStep>> = vec![stalled_watch];
            scripts.extend(vec![vec![]; hanging_calls]);
            scripts.push(healthy_watch(&delta).into());
            ScriptedDiscovery::new(&scripts.iter().map(Vec::as_slice).collect::<Vec<_>>())
        });
        let sidecars = servers.each_ref().map(|discovery| start_sidecar(discovery, &[&a], &settings));
        wait_until("every sidecar watches", || {
            servers.iter().all(|discovery| !discovery.watches().is_empty())
        });
        let start = Instant::now();
        wait_until("every sidecar watches again", || {
            servers.iter().all(|discovery| discovery.watches().len() > hanging_calls + 1)
        });
        assert!(start.elapsed() < UPDATE_DEADLINE, "{:?}", start.elapsed());
        for sidecar in &sidecars {
            let before = b.requests().len();
            let mut client = Client::connect(sidecar.address);
            wait_until("the upstream serves requests", || {
                client.exchange("fetch").status() == 200 && b.requests().len() > before
            });
        }
    }
}

#[test]
fn unreadable_host_list_triggers_a_request_for_a_snapshot() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let broken = host_list(
        6,
        false,
        &[host_entry("a", a.address, "draining"), host_entry("b", b.address, "gibberish")],
    );
    let snapshot =
        host_list(6, true, &[host_entry("a", a.address, "draining"), host_entry("b", b.address, "ready")]);
    // An unreadable entry in a delta and in a snapshot, and input that is neither.
    for unreadable in
        [broken.clone(), broken.replace("false", "true"), "gibberish".to_owned(), "7\n".to_owned()]
    {
        let discovery = ScriptedDiscovery::new(&[&healthy_watch(&unreadable), &healthy_watch(&snapshot)]);
        let sidecar = start_sidecar(&discovery, &[&a], SETTINGS_JSON);
        let before = b.requests().len();
        let mut client = Client::connect(sidecar.address);
        wait_until("the upstream serves requests", || {
            client.exchange("fetch").status() == 200 && b.requests().len() > before
        });
        assert!(discovery.watches()[1].contains("from=0 "), "{unreadable}");
    }
}

#[test]
fn delta_with_an_older_version_is_not_applied() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let snapshot =
        host_list(9, true, &[host_entry("a", a.address, "draining"), host_entry("b", b.address, "ready")]);
    let older =
        host_list(7, false, &[host_entry("a", a.address, "ready"), host_entry("b", b.address, "draining")]);
    let discovery = ScriptedDiscovery::new(&[
        &healthy_watch(&format!("{snapshot}\n{older}\n")),
        &healthy_watch(&snapshot),
    ]);
    let sidecar = start_sidecar(&discovery, &[&a], SETTINGS_JSON);
    wait_until("the sidecar requests a snapshot", || {
        discovery.watches().iter().any(|watch| watch.contains("from=0 "))
    });
    wait_until_served_by(&sidecar, &b);
    let mut client = Client::connect(sidecar.address);
    let before = a.requests().len();
    (0..20).for_each(|_| assert_eq!(client.exchange("fetch").status(), 200));
    assert_eq!(a.requests().len(), before);
}

#[test]
fn new_watch_resumes_from_the_last_applied_version() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let snapshot = host_list(9, true, &[host_entry("a", a.address, "ready")]);
    let closed_watch = [WatchStep::SendHead, WatchStep::SendChunk(format!("{snapshot}\n")), WatchStep::Close];
    let discovery = ScriptedDiscovery::new(&[
        &closed_watch,
        &healthy_watch(&host_list(10, false, &[host_entry("b", b.address, "ready")])),
    ]);
    let sidecar = start_sidecar(&discovery, &[&a], SETTINGS_JSON);
    wait_until_served_by(&sidecar, &b);
    assert!(discovery.watches()[1].contains("from=9 "));
}

#[test]
fn new_discovery_after_sighup_is_reached_in_time_despite_hanging_calls() {
    for settings in [SETTINGS_JSON.to_owned(), SETTINGS_JSON.replace("automatic", "subscribe")] {
        let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
        let old_discovery = ScriptedDiscovery::new(&[&healthy_watch(&ready_hosts(&[&a]))]);
        let sidecar = start_sidecar(&old_discovery, &[&a], &settings);
        wait_until("the sidecar watches", || !old_discovery.watches().is_empty());
        let healthy = healthy_watch(&host_list(9, false, &[host_entry("b", b.address, "ready")]));
        let new_discovery = ScriptedDiscovery::new(&[&[], &[], &healthy]);
        sidecar.reload(&config_json("127.0.0.1:0", new_discovery.address, "null", 1024, &settings));
        let start = Instant::now();
        wait_until("the sidecar watches the new discovery", || new_discovery.watches().len() > 2);
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
        wait_until_served_by(&sidecar, &b);
    }
}

/// Reads the response to a request sent to a sidecar in shutdown. If the connection is closed without a response, retries
/// the request on a new one. Returns whether there was a response.
fn answered_after_at_most_one_retry(client: &mut Client, address: SocketAddr) -> bool {
    let retry = || {
        let mut retry_client = Client { reader: BufReader::new(TcpStream::connect(address).ok()?) };
        retry_client.send("fetch", 6_000);
        retry_client.read()
    };
    client.read().or_else(retry).is_some()
}

#[test]
fn requests_sent_before_sigterm_are_answered() {
    let upstream = Upstream::new(|message| {
        let large = message.start_line.contains("/log");
        if large { Behaviour::Respond(200, "", vec![b'x'; MAX_BODY_BYTES]) } else { Behaviour::ok("served") }
    });
    let (mut sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut idle: Vec<Client> = (0..10).map(|_| Client::connect(sidecar.address)).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.exchange("fetch").status(), 200));
    // A request whose head and part of the body have been sent.
    let text = http_request("bill", 6_000);
    let (first_part, rest) = text.split_at(text.len() - 2);
    let mut partial_sender = Client::connect(sidecar.address);
    partial_sender.write(first_part.as_bytes());
    // A request whose response is written to a client that does not read yet.
    let mut slow_reader = Client::connect(sidecar.address);
    slow_reader.send("log", 6_000);
    wait_until("the request is served", || count_requests_of_class(&upstream, "log") == 1);
    // Everything arrives while the process is stopped: requests on idle connections, new connections in the accept
    // queue, and SIGTERM twice.
    sidecar.signal("-STOP");
    idle.iter_mut().for_each(|client| client.send("fetch", 6_000));
    let mut queued: Vec<Client> = (0..10).map(|_| Client::connect(sidecar.address)).collect();
    queued.iter_mut().for_each(|client| client.send("fetch", 6_000));
    sidecar.signal("-TERM");
    sidecar.signal("-TERM");
    sidecar.signal("-CONT");
    sidecar.wait_for_log("SIGTERM");
    partial_sender.write(rest.as_bytes());
    for client in &mut queued {
        let response = client.read().expect("a response to a client in the accept queue");
        assert!(
            matches!(response.status(), 200 | 503),
            "neither served nor refused: {}",
            response.start_line
        );
    }
    assert!(
        idle.iter_mut().all(|client| answered_after_at_most_one_retry(client, sidecar.address)),
        "a request on an idle connection got no response"
    );
    assert!(matches!(partial_sender.read().expect("a response").status(), 200 | 503));
    assert_eq!(slow_reader.read().expect("a response").body.len(), MAX_BODY_BYTES);
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn requests_open_during_shutdown_are_answered_despite_short_latency_limits() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let settings = SETTINGS_JSON.replace("8000.0", "300.0").replace("3000.0", "200.0");
    let (mut sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&silent], &settings);
    let text = http_request("bill", 300);
    let (first_part, rest) = text.split_at(text.len() - 2);
    let mut partial_sender = Client::connect(sidecar.address);
    partial_sender.write(first_part.as_bytes());
    let mut long_timeout = Client::connect(sidecar.address);
    // The timeout exceeds the latency limits of all classes; the request must still be answered before SIGKILL.
    long_timeout.send("log", 600_000);
    wait_until("the request has arrived", || silent.requests().len() == 1);
    let start = Instant::now();
    sidecar.signal("-TERM");
    std::thread::sleep(Duration::from_millis(1_200));
    partial_sender.write(rest.as_bytes());
    assert_eq!(partial_sender.read().expect("a response").status(), 502);
    assert_eq!(long_timeout.read().expect("a response").status(), 502);
    assert!(sidecar.wait_for_exit().success());
    assert!(
        start.elapsed() >= Duration::from_secs(3),
        "the sidecar exited early, while clients may still connect"
    );
}

#[test]
fn shutdown_ends_as_soon_as_no_request_is_open() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (mut sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    let _idle = Client::connect(sidecar.address);
    let start = Instant::now();
    sidecar.signal("-TERM");
    assert!(sidecar.wait_for_exit().success());
    // With a latency limit of 8 s, SIGKILL would follow after 8.7 s.
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

#[test]
fn sigterm_without_a_host_list_or_free_descriptors_exits_cleanly() {
    let unresponsive_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let text =
        config_json("127.0.0.1:0", unresponsive_discovery.local_addr().unwrap(), "null", 1024, SETTINGS_JSON);
    let mut sidecar = Sidecar::start(&text);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 503);
    sidecar.signal("-TERM");
    assert!(sidecar.wait_for_exit().success());
    let mut sidecar = Sidecar::start_with_descriptor_limit(&text, Some(32));
    let _clients: Vec<Client> = (0..60).map(|_| Client::connect(sidecar.address)).collect();
    sidecar.wait_for_log("cannot accept");
    sidecar.signal("-TERM");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn host_list_received_after_sighup_applies_to_requests_open_at_shutdown() {
    let released = Arc::new(AtomicUsize::new(0));
    let response_released = released.clone();
    let overloaded = Upstream::new(move |_| {
        wait_until("the test releases the response", || response_released.load(Ordering::SeqCst) > 0);
        Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![])
    });
    let other = Upstream::new(|_| Behaviour::ok("served"));
    let (mut sidecar, _discovery) = Sidecar::for_upstreams(&[&overloaded]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 8_000);
    wait_until("the request is in flight", || overloaded.connections() > 0);
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    let new_list = host_list(
        9,
        true,
        &[host_entry("a", overloaded.address, "draining"), host_entry("b", other.address, "ready")],
    );
    let discovery = Discovery::new(&new_list);
    sidecar.reload(&config_json("127.0.0.1:0", discovery.address, "null", 1024, SETTINGS_JSON));
    wait_until("the sidecar watches", || !discovery.watches().is_empty());
    // The list follows the response head. It must be applied before the upstream responds.
    std::thread::sleep(Duration::from_millis(200));
    released.store(1, Ordering::SeqCst);
    assert_eq!(client.read().expect("a response").body, b"served");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn truncated_configuration_at_sighup_is_read_again() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let (sidecar, _old_discovery) = Sidecar::for_upstreams(&[&a]);
    let new_discovery = Discovery::new(&host_list(9, false, &[host_entry("b", b.address, "ready")]));
    let text = config_json("127.0.0.1:0", new_discovery.address, "null", 1024, SETTINGS_JSON);
    sidecar.reload(&text[..text.len() / 2]);
    sidecar.wait_for_log("the old configuration stays");
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    std::fs::write(&sidecar.config_path, &text).unwrap();
    wait_until_served_by(&sidecar, &b);
}

#[test]
fn sigterm_waits_for_an_attempt_that_is_connecting() {
    let upstream = FullAcceptQueue::new();
    let known = host_list(5, true, &[host_entry("a", upstream.listener.local_addr().unwrap(), "ready")]);
    let discovery = Discovery::new(&known);
    let mut sidecar = Sidecar::start(&config_json(
        "127.0.0.1:0",
        discovery.address,
        &known,
        1024,
        &long_timeout_settings_json(),
    ));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 8_000);
    // Time to start connecting; otherwise the signal would find the request unread in the socket.
    std::thread::sleep(Duration::from_millis(300));
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    let requests_received = upstream.start_accepting("bill");
    assert_eq!(client.read().expect("a response").status(), 200);
    assert_eq!(requests_received.load(Ordering::SeqCst), 1);
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn flood_of_pipelined_bytes_does_not_prevent_the_response() {
    let released = Arc::new(AtomicUsize::new(0));
    let response_released = released.clone();
    let upstream = Upstream::new(move |_| Behaviour::RespondWhenReleased(response_released.clone()));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 20_000);
    wait_until("the request has arrived", || upstream.requests().len() == 1);
    // Far more than the read-ahead and socket buffers hold, so the write only completes if the sidecar reads.
    client.write(&vec![b'x'; 60_000_000]);
    released.store(1, Ordering::SeqCst);
    assert_eq!(client.read().expect("a response").body, b"late");
    assert!(client.read_to_close().is_some(), "the connection must be closed after dropped pipelined bytes");
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn oversized_input_is_answered_with_an_error_or_a_close() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let long_body = http_request("log", 5_000).replace("Content-Length: 5", "Content-Length: 60000000");
    for input in [long_body, "\u{1}\u{16}".to_owned(), http_request("bill", 5_000).replace("bill?", "other?")]
    {
        let mut client = Client::connect(sidecar.address);
        let start = Instant::now();
        client.write(input.as_bytes());
        client.write(&vec![b'x'; 60_000_000]);
        let received = client.read_to_close().expect("a close");
        assert!(received.is_empty() || received.starts_with(b"HTTP/1.1 4"), "{input}");
        assert!(start.elapsed() < Duration::from_secs(6), "{input}: {:?}", start.elapsed());
    }
    assert_eq!(upstream.requests().len(), 0);
}

/// The upstream closes the connection after the last byte of a request, so the request may have run.
#[test]
fn request_on_a_reused_connection_that_closes_is_retried_unless_non_idempotent() {
    // The first request to each upstream is answered. The first of the later ones to either upstream is read, and its
    // connection closed without a response.
    let cases = [("fetch", 200), ("log", 200), ("bill", 502)];
    for (class, expected_status) in cases {
        let close_count = Arc::new(AtomicUsize::new(0));
        let upstreams = [0, 1].map(|_| {
            let close_count = close_count.clone();
            let request_count = AtomicUsize::new(0);
            Upstream::new(move |_| {
                let is_reused = request_count.fetch_add(1, Ordering::SeqCst) > 0;
                if is_reused && close_count.fetch_add(1, Ordering::SeqCst) == 0 {
                    Behaviour::Close
                } else {
                    Behaviour::ok("served")
                }
            })
        });
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstreams[0], &upstreams[1]]);
        let mut client = Client::connect(sidecar.address);
        let mut last_status = 200;
        wait_until("a connection is closed", || {
            last_status = client.exchange(class).status();
            close_count.load(Ordering::SeqCst) > 0
        });
        assert_eq!(
            last_status, expected_status,
            "{class}: only idempotent and keyed requests may be retried"
        );
    }
}

#[test]
fn connection_to_an_outdated_address_is_not_written_to() {
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
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 60_000);
    // Time to start connecting; otherwise the test would pass without testing anything.
    std::thread::sleep(Duration::from_millis(300));
    let moved = Upstream::new(|_| Behaviour::ok("moved"));
    discovery.send_chunk(&format!("{}\n", host_list(6, false, &[host_entry("a", moved.address, "ready")])));
    wait_until("the new address is applied", || {
        Client::connect(sidecar.address).exchange("fetch").body == b"moved"
    });
    let requests_received = upstream.start_accepting("bill");
    assert_eq!(client.read().expect("a response").body, b"moved");
    assert_eq!(requests_received.load(Ordering::SeqCst), 0);
}

#[test]
fn all_upstreams_are_used_when_they_outnumber_the_connection_limit() {
    let upstreams: Vec<Upstream> = (0..25).map(|_| Upstream::new(|_| Behaviour::ok("served"))).collect();
    let entries: Vec<String> = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| host_entry(&format!("u{index}"), upstream.address, "ready"))
        .collect();
    let known = host_list(5, true, &entries);
    let discovery = Discovery::new(&known);
    // 64 descriptors leave 20 connections to upstreams; opening another one closes an idle one.
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS_JSON));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    wait_until("every upstream has served a request", || {
        assert_eq!(client.exchange("bill").status(), 200);
        upstreams.iter().all(|upstream| !upstream.requests().is_empty())
    });
}

#[test]
fn settings_that_forbid_retries_and_retry_after_are_honoured() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let settings = SETTINGS_JSON
        .replace(r#""cancel":true"#, r#""cancel":false"#)
        .replace(r#""retry_after":true"#, r#""retry_after":false"#)
        .replace(r#""probes":true"#, r#""probes":false"#)
        .replace(r#""max_attempts":4"#, r#""max_attempts":1"#)
        .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":20.0"#)
        .replace(r#""window":5000.0"#, r#""window":30.0"#)
        .replace("8000.0", "60.0")
        .replace("3000.0", "40.0")
        .replace(r#""how":"pull""#, r#""how":"silent""#)
        .replace(r#"["inflight","eps","util"]"#, "[]")
        .replace(r#""name":"fetch""#, r#""name":"Fetch_It""#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&silent], &settings);
    let fetch_request = || {
        http_request("fetch", 60).replace("/fetch", "/Fetch_It").replace("Class: fetch", "Class: Fetch_It")
    };
    let exchange = |request: String| {
        let mut client = Client::connect(sidecar.address);
        client.write(request.as_bytes());
        let response = client.read().expect("a response");
        assert_eq!(response.header("retry-after"), None);
        let id = request.split("X-Request-ID: ").nth(1).unwrap()[..16].to_owned();
        (response.status(), id)
    };
    wait_until("an attempt has arrived", || {
        assert_eq!(exchange(fetch_request()).0, 503);
        !silent.requests().is_empty()
    });
    let responses: Vec<_> =
        (0..10).flat_map(|_| ["log", "bill"]).map(|class| exchange(http_request(class, 60))).collect();
    let attempted_ids: Vec<String> =
        silent.requests().iter().map(|request| request.header("x-request-id").unwrap().to_owned()).collect();
    for (status, id) in responses {
        // A request that was sent has failed, since it may have run; others may be refused.
        assert!(
            status == 502 || status == 503 && !attempted_ids.contains(&id),
            "status {status}, request {id}"
        );
    }
    let distinct_ids: std::collections::HashSet<&String> = attempted_ids.iter().collect();
    assert_eq!(
        distinct_ids.len(),
        attempted_ids.len(),
        "a request was attempted more than once: {attempted_ids:?}"
    );
}
