//! Timeouts forwarded to upstreams, incomplete responses at shutdown, and the deduplication window of keyed requests.

mod loopback;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use loopback::*;

/// By how many milliseconds the `x-timeout-ms` of a forwarded request exceeds the time that the client still waited
/// when the request arrived. Includes the network delay to the upstream.
fn excess_ms(request: &Message, arrived: Instant, sent: Instant, client_timeout_ms: u64) -> f64 {
    let forwarded_timeout_ms: f64 = request.header("x-timeout-ms").unwrap().parse().unwrap();
    forwarded_timeout_ms - (client_timeout_ms as f64 - (arrived - sent).as_secs_f64() * 1e3)
}

/// Guards against forwarding a timeout from which the wait for an idle connection is not deducted: the upstream would
/// work for a client that has disconnected.
#[test]
fn forwarded_timeout_excludes_the_wait_for_an_idle_connection() {
    let (arrival_sender, arrivals) = mpsc::channel();
    let arrival_sender = Mutex::new(arrival_sender);
    let upstream = Upstream::new(move |request| {
        arrival_sender.lock().unwrap().send((request.clone(), Instant::now())).unwrap();
        Behaviour::ok("served")
    });
    // Probes would open a second connection, which could be idle when a request arrives.
    let settings = SETTINGS_JSON.replace(r#""probes":true"#, r#""probes":false"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&upstream], &settings);
    let mut client = Client::connect(sidecar.address);
    let mut excess = Vec::new();
    for _ in 0..40 {
        let sent = Instant::now();
        client.send("bill", 6_000);
        assert_eq!(client.read().expect("a response").status(), 200);
        let (request, arrived) = arrivals.recv_timeout(WAIT_TIMEOUT).unwrap();
        excess.push(excess_ms(&request, arrived, sent, 6_000));
    }
    assert_eq!(upstream.connections(), 1, "every request waits for the same connection to be idle");
    // The sidecar keeps a reserve of 3 ms and waits 15 ms for an idle connection. The fifth lowest excess tolerates
    // delays of a busy machine.
    excess.sort_by(f64::total_cmp);
    assert!(excess[4] < 6.0, "{excess:?}");
}

#[test]
fn forwarded_timeout_of_a_retry_is_the_remaining_time() {
    let (arrival_sender, arrivals) = mpsc::channel();
    let arrival_sender = Arc::new(Mutex::new(arrival_sender));
    let upstreams = [0, 1, 2].map(|_| {
        let arrival_sender = arrival_sender.clone();
        Upstream::new(move |request| {
            arrival_sender.lock().unwrap().send((request.clone(), Instant::now())).unwrap();
            std::thread::sleep(Duration::from_millis(400));
            Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![])
        })
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstreams[0], &upstreams[1], &upstreams[2]]);
    let sent = Instant::now();
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 5_000);
    assert_eq!(client.read().expect("a response").status(), 503);
    let excess: Vec<f64> =
        arrivals.try_iter().map(|(request, arrived)| excess_ms(&request, arrived, sent, 5_000)).collect();
    assert!(excess.len() >= 3, "{excess:?}");
    assert!(excess.iter().all(|excess| *excess < 150.0), "{excess:?}");
}

/// While the accept queue of an upstream is full, the kernel retries the connection after 1 s.
#[test]
fn forwarded_timeout_after_a_slow_connect_is_the_remaining_time() {
    let FullAcceptQueue { listener, queue } = FullAcceptQueue::new();
    let address = listener.local_addr().unwrap();
    let settings = SETTINGS_JSON.replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":25000.0"#);
    let (sidecar, _discovery) = Sidecar::for_addresses(&[address], &settings);
    let sent = Instant::now();
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 20_000);
    std::thread::sleep(Duration::from_millis(300));
    drop(queue);
    let (arrival_sender, arrivals) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrival_sender = arrival_sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    if message.start_line.contains("/bill?") {
                        let _ = arrival_sender.send((message, Instant::now()));
                    }
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    assert_eq!(client.read().expect("a response").status(), 200);
    let (request, arrived) = arrivals.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(arrived - sent > Duration::from_millis(500), "the connection was delayed");
    let excess = excess_ms(&request, arrived, sent, 20_000);
    assert!(excess < 150.0, "the forwarded timeout is {excess} ms too long");
}

/// An upstream sends a partial status line on idle connections, and on one with a request, just as the sidecar receives
/// SIGTERM. Requests at the other upstream are answered, the one at this upstream is retried, and the sidecar exits
/// successfully.
#[test]
fn partial_response_during_shutdown_loses_no_request() {
    let released = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (listener_released, held_requests) = (released.clone(), Arc::new(AtomicUsize::new(0)));
    let listener_held_requests = held_requests.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (released, held_requests) = (listener_released.clone(), listener_held_requests.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let send_partial_response = || {
                    wait_until("the test releases the responses", || released.load(Ordering::SeqCst) > 0);
                    let _ = (&stream).write_all(b"HTTP/1.1 20");
                };
                std::thread::scope(|scope| {
                    let mut partial_response_scheduled = false;
                    while let Some(message) = read_message(&mut reader) {
                        if message.start_line.contains("/fetch?") && message.header("x-hold").is_some() {
                            held_requests.fetch_add(1, Ordering::SeqCst);
                            if !std::mem::replace(&mut partial_response_scheduled, true) {
                                scope.spawn(send_partial_response);
                            }
                            continue;
                        }
                        let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
                        if !std::mem::replace(&mut partial_response_scheduled, true) {
                            scope.spawn(send_partial_response);
                        }
                    }
                });
            });
        }
    });
    let upstream_released = released.clone();
    let other = Upstream::new(move |_| Behaviour::RespondWhenReleased(upstream_released.clone()));
    let (mut sidecar, _discovery) = Sidecar::for_addresses(&[address, other.address], SETTINGS_JSON);
    let mut clients = Vec::new();
    wait_until("both upstreams hold a request", || {
        let mut client = Client::connect(sidecar.address);
        let text = http_request("fetch", 20_000).replace("Host:", "X-Hold: 1\r\nHost:");
        client.write(text.as_bytes());
        clients.push(client);
        std::thread::sleep(Duration::from_millis(20));
        held_requests.load(Ordering::SeqCst) > 0 && !other.requests().is_empty()
    });
    sidecar.signal("-TERM");
    released.store(1, Ordering::SeqCst);
    for client in &mut clients {
        let response = client.read().expect("a response");
        assert!(
            matches!(response.status(), 200 | 503),
            "served, or refused for lack of capacity: {}",
            response.start_line
        );
        assert!(
            response.status() == 503 || response.body == b"late",
            "only the other upstream sends complete responses"
        );
    }
    assert!(sidecar.wait_for_exit().success());
}

/// Guards against retrying a keyed request after its deduplication window, which starts with the first send.
#[test]
fn keyed_request_is_not_retried_after_its_window() {
    // Attempts time out after about 200 ms, and connecting may take another 100 ms: within the first window, but not
    // the second. The third is shorter than the connect timeout, the fourth shorter than an attempt.
    for (window_ms, retried) in [(600, true), (250, false), (60, false), (150, false)] {
        let (arrival_sender, arrivals) = mpsc::channel();
        let arrival_sender = Arc::new(Mutex::new(arrival_sender));
        let upstreams = [0, 1, 2].map(|_| {
            let arrival_sender = arrival_sender.clone();
            Upstream::new(move |_| {
                arrival_sender.lock().unwrap().send(Instant::now()).unwrap();
                Behaviour::NoResponse
            })
        });
        let settings = SETTINGS_JSON
            .replace(r#""window":5000.0"#, &format!(r#""window":{window_ms}.0"#))
            .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":100.0"#)
            .replace(r#""aim":3000.0"#, r#""aim":260.0"#);
        let (sidecar, _discovery) =
            Sidecar::for_upstreams_with_settings(&[&upstreams[0], &upstreams[1], &upstreams[2]], &settings);
        let sent = Instant::now();
        let mut client = Client::connect(sidecar.address);
        client.send("log", 2_000);
        let status = client.read().expect("a response").status();
        assert_eq!(status, 502, "the request may have been executed");
        let delays: Vec<Duration> = arrivals.try_iter().map(|arrived: Instant| arrived - sent).collect();
        assert_eq!(delays.len() > 1, retried, "{window_ms} ms: {delays:?}");
        assert!(!delays.is_empty(), "{window_ms} ms: no attempt was sent");
        let limit = Duration::from_millis(window_ms + 50);
        assert!(delays.iter().all(|delay| *delay <= limit), "{window_ms} ms: {delays:?}");
    }
}
