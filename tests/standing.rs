//! Terms of the standing test that no other file forces, on the real program.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use loopback::*;
use socket2::SockRef;

/// Starts the program on servers that the test plays itself.
fn start(addresses: &[SocketAddr], settings: &str) -> (Sidecar, Discovery) {
    let entries: Vec<String> =
        addresses.iter().enumerate().map(|(n, at)| host_entry(&format!("s{n}"), *at, "ready")).collect();
    let known = host_list(5, true, &entries);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, settings));
    sidecar.wait_until_up();
    (sidecar, discovery)
}

/// How much more a server was told than its client would wait, in milliseconds: from a request's header, when it
/// came, when its client sent it and what that one said. What the way to the server took counts as told too much.
fn excess_ms(request: &Message, came: Instant, sent: Instant, said_ms: u64) -> f64 {
    let told: f64 = request.header("x-timeout-ms").unwrap().parse().unwrap();
    told - (said_ms as f64 - (came - sent).as_secs_f64() * 1e3)
}

/// A server may work for as long as it is told, and its client is gone by then.
#[test]
fn a_server_is_told_no_more_than_is_left_behind_the_wait_for_a_quiet_connection() {
    let (came, arrivals) = mpsc::channel();
    let came = Mutex::new(came);
    let upstream = Upstream::new(move |m| {
        came.lock().unwrap().send((m.clone(), Instant::now())).unwrap();
        Behaviour::ok("served")
    });
    // Probes would open a second connection, and then there would be one that is quiet.
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&upstream], &settings);
    let mut client = Client::connect(sidecar.address);
    let mut excess = Vec::new();
    for _ in 0..40 {
        let sent = Instant::now();
        client.send("bill", 6_000);
        assert_eq!(client.read().expect("an answer").status(), 200);
        let (request, at) = arrivals.recv_timeout(WAIT_TIMEOUT).unwrap();
        excess.push(excess_ms(&request, at, sent, 6_000));
    }
    assert_eq!(upstream.connections(), 1, "each waits until the one before has been quiet for long enough");
    // 3 ms are kept in hand, and the wait is 15 ms. A busy machine adds to many of these, hardly to all.
    excess.sort_by(f64::total_cmp);
    assert!(excess[4] < 6.0, "{excess:?}");
}

#[test]
fn a_further_attempt_tells_what_is_left_by_then() {
    let (came, arrivals) = mpsc::channel();
    let came = Arc::new(Mutex::new(came));
    let upstreams = [0, 1, 2].map(|_| {
        let came = came.clone();
        Upstream::new(move |m| {
            came.lock().unwrap().send((m.clone(), Instant::now())).unwrap();
            std::thread::sleep(Duration::from_millis(400));
            Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![])
        })
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstreams[0], &upstreams[1], &upstreams[2]]);
    let sent = Instant::now();
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 5_000);
    assert_eq!(client.read().expect("an answer").status(), 503);
    let told: Vec<f64> = arrivals.try_iter().map(|(m, at)| excess_ms(&m, at, sent, 5_000)).collect();
    assert!(told.len() >= 3, "{told:?}");
    assert!(told.iter().all(|excess| *excess < 150.0), "{told:?}");
}

/// A server whose accept queue is full: the kernel tries anew to connect after 1 s.
#[test]
fn a_connection_that_comes_up_late_tells_what_is_left_by_then() {
    let FullAcceptQueue { listener, queue } = FullAcceptQueue::new();
    let address = listener.local_addr().unwrap();
    let settings = SETTINGS_JSON.replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":25000.0"#);
    let (sidecar, _discovery) = start(&[address], &settings);
    let sent = Instant::now();
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 20_000);
    std::thread::sleep(Duration::from_millis(300));
    drop(queue);
    let (came, arrivals) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let came = came.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    if message.start_line.contains("/bill?") {
                        let _ = came.send((message, Instant::now()));
                    }
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    assert_eq!(client.read().expect("an answer").status(), 200);
    let (request, at) = arrivals.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(at - sent > Duration::from_millis(500), "it came up late");
    let excess = excess_ms(&request, at, sent, 20_000);
    assert!(excess < 150.0, "{excess}");
}

/// A server that answers the first request that it or its like gets with these bytes and then resets the connection;
/// all others are served.
fn resets_first(bytes: &'static [u8], first: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let first = first.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let first = first.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    let probe = message.start_line.starts_with("GET /metrics/");
                    if !probe && first.fetch_add(1, Ordering::SeqCst) == 0 {
                        let _ = reader.get_mut().write_all(bytes);
                        // What was read before the reset is all that there is.
                        std::thread::sleep(Duration::from_millis(5));
                        SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                        return;
                    }
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
                }
            });
        }
    });
    address
}

#[test]
fn a_reset_is_no_end_of_an_answer() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\n\r\nsome of it"[..],
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome of it",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n\r\nsome of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nsome of it\r\n",
        b"HTTP/1.1 500 Oh\r\n\r\nsome of it",
    ] {
        for (class, status, sends) in [("fetch", 200, 2), ("log", 200, 2), ("bill", 502, 1)] {
            let count = Arc::new(AtomicUsize::new(0));
            let addresses = [0, 1].map(|_| resets_first(bytes, &count));
            let (sidecar, _discovery) = start(&addresses, SETTINGS_JSON);
            let answer = Client::connect(sidecar.address).exchange(class);
            let said = String::from_utf8_lossy(bytes);
            assert_eq!(answer.status(), status, "{class}: {said}");
            assert_eq!(answer.body == b"served", status == 200, "{class}: {said}");
            assert_eq!(count.load(Ordering::SeqCst), sends, "{class}: {said}");
        }
    }
}

/// A server says half a line on idle connections just as the sidecar is told to end, and on one that carries a
/// request: what others hold is served, what it holds is tried elsewhere, and the sidecar ends in order.
#[test]
fn half_a_line_from_a_server_at_sigterm_costs_nobody_an_answer() {
    let go = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (let_go, held) = (go.clone(), Arc::new(AtomicUsize::new(0)));
    let holds = held.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (go, holds) = (let_go.clone(), holds.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let half = || {
                    wait_until("the test lets go", || go.load(Ordering::SeqCst) > 0);
                    let _ = (&stream).write_all(b"HTTP/1.1 20");
                };
                std::thread::scope(|scope| {
                    let mut waits = false;
                    while let Some(message) = read_message(&mut reader) {
                        if message.start_line.contains("/fetch?") && message.header("x-hold").is_some() {
                            holds.fetch_add(1, Ordering::SeqCst);
                            if !std::mem::replace(&mut waits, true) {
                                scope.spawn(half);
                            }
                            continue;
                        }
                        let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
                        if !std::mem::replace(&mut waits, true) {
                            scope.spawn(half);
                        }
                    }
                });
            });
        }
    });
    let slow = go.clone();
    let other = Upstream::new(move |_| Behaviour::RespondWhenReleased(slow.clone()));
    let (mut sidecar, _discovery) = start(&[address, other.address], SETTINGS_JSON);
    let mut clients = Vec::new();
    // Until both servers hold some.
    wait_until("both hold a request", || {
        let mut client = Client::connect(sidecar.address);
        let text = http_request("fetch", 20_000).replace("Host:", "X-Hold: 1\r\nHost:");
        client.write(text.as_bytes());
        clients.push(client);
        std::thread::sleep(Duration::from_millis(20));
        held.load(Ordering::SeqCst) > 0 && !other.requests().is_empty()
    });
    sidecar.signal("-TERM");
    go.store(1, Ordering::SeqCst);
    for client in &mut clients {
        let answer = client.read().expect("an answer");
        assert!(
            matches!(answer.status(), 200 | 503),
            "served, or refused for want of room: {}",
            answer.start_line
        );
        assert!(answer.status() == 503 || answer.body == b"late", "only the other has answered whole");
    }
    assert!(sidecar.wait_for_exit().success());
}

/// A keyed request is repeated within its window, counted from its first send, or not at all.
#[test]
fn however_short_the_window_no_repeat_comes_behind_it() {
    // Attempts are given up after 200 ms or so, and connecting may take 100 ms more: within the first window, past
    // the second. The third is shorter than connecting alone, the fourth than an attempt takes.
    for (window, repeats) in [(600, true), (250, false), (60, false), (150, false)] {
        let (came, arrivals) = mpsc::channel();
        let came = Arc::new(Mutex::new(came));
        let upstreams = [0, 1, 2].map(|_| {
            let came = came.clone();
            Upstream::new(move |_| {
                came.lock().unwrap().send(Instant::now()).unwrap();
                Behaviour::NoResponse
            })
        });
        let settings = SETTINGS_JSON
            .replace(r#""window":5000.0"#, &format!(r#""window":{window}.0"#))
            .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":100.0"#)
            .replace(r#""aim":3000.0"#, r#""aim":260.0"#);
        let (sidecar, _discovery) =
            Sidecar::for_upstreams_with_settings(&[&upstreams[0], &upstreams[1], &upstreams[2]], &settings);
        let sent = Instant::now();
        let mut client = Client::connect(sidecar.address);
        client.send("log", 2_000);
        let status = client.read().expect("an answer").status();
        assert_eq!(status, 502, "it may have run");
        let at: Vec<Duration> = arrivals.try_iter().map(|at: Instant| at - sent).collect();
        assert_eq!(at.len() > 1, repeats, "{window} ms: {at:?}");
        assert!(!at.is_empty());
        let last = Duration::from_millis(window + 50);
        assert!(at.iter().all(|at| *at <= last), "{window} ms: {at:?}");
    }
}
