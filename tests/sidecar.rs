//! End-to-end tests of the sidecar process on loopback sockets.

mod loopback;

use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loopback::*;

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let upstream =
        Upstream::new(|message| Behaviour::Respond(200, "X-Note: kept\r\n", message.body.repeat(1_000)));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let response = client.exchange("log");
    assert_eq!((response.status(), response.body), (200, b"entry".repeat(1_000)));
    let forwarded = upstream.requests().remove(0);
    assert_eq!(forwarded.start_line, "POST /log?k=7f3a9c21 HTTP/1.1");
    assert_eq!(forwarded.body, b"entry");
    assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(forwarded.header("x-request-id").map(str::len), Some(16));
    let timeout_ms: u64 = forwarded.header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((1..=6_000).contains(&timeout_ms), "{timeout_ms} ms");
    assert_eq!(client.exchange("fetch").status(), 200);
    assert_eq!(upstream.requests()[1].start_line, "GET /fetch?k=7f3a9c21 HTTP/1.1");
}

#[test]
fn upstream_connections_are_reused() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    for _ in 0..50 {
        assert_eq!(client.exchange("bill").status(), 200);
    }
    assert_eq!(upstream.requests().len(), 50);
    // A probe and a request may be in flight together. Sequential requests need no more connections, but one may be
    // opened just before the previous one is returned to the pool.
    assert!(upstream.connections() <= 4, "{} connections", upstream.connections());
}

#[test]
fn non_idempotent_requests_that_may_have_run_are_not_retried() {
    for behaviour in [
        Behaviour::Close,
        Behaviour::WriteRawAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"),
        Behaviour::Respond(500, "", vec![]),
        Behaviour::Respond(503, "", vec![]),
    ] {
        let [a, b] = first_then_ok(behaviour);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let response = Client::connect(sidecar.address).exchange("bill");
        assert_eq!(response.status(), 502, "a 503 would allow the client to retry");
        assert_eq!(request_count(&[&a, &b]), 1);
        assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    }
}

#[test]
fn unprocessed_requests_are_retried() {
    let [a, b] = first_then_ok(Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    assert_eq!(request_count(&[&a, &b]), 2);
}

#[test]
fn refused_connections_are_retried_on_another_upstream() {
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = host_list(
        5,
        true,
        &[host_entry("a", upstream.address, "ready"), host_entry("b", unused_address, "ready")],
    );
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    for _ in 0..10 {
        assert_eq!(client.exchange("bill").status(), 200, "not idempotent, but cannot have run");
    }
    assert_eq!(upstream.requests().len(), 10);
}

#[test]
fn connections_closed_while_idle_are_not_reused() {
    let upstream = Upstream::new(|_| Behaviour::RespondAndClose);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    for count in 1..=5 {
        assert_eq!(client.exchange("bill").status(), 200);
        assert_eq!(upstream.requests().len(), count);
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn an_attempt_is_closed_before_its_retry_is_sent() {
    // The first attempt gets no response. The retry gets one only after the connection of the first attempt is closed.
    let first_closed = Arc::new(Mutex::new(None::<mpsc::Receiver<()>>));
    let upstreams = [0, 1].map(|_| {
        let first_closed = first_closed.clone();
        Upstream::new(move |_| {
            let mut first_closed = first_closed.lock().unwrap();
            match first_closed.take() {
                None => {
                    let (close_sender, close_receiver) = mpsc::channel();
                    *first_closed = Some(close_receiver);
                    Behaviour::NoResponseNotifyClose(close_sender)
                }
                Some(close_receiver) => match close_receiver.recv_timeout(WAIT_TIMEOUT) {
                    Ok(()) => Behaviour::ok("served"),
                    Err(_) => Behaviour::Close,
                },
            }
        })
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstreams[0], &upstreams[1]]);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    let mut requests: Vec<Message> = upstreams.iter().flat_map(|upstream| upstream.requests()).collect();
    requests.sort_by_key(|request| request.sequence);
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[0].header("x-request-id"), requests[1].header("x-request-id"));
}

#[test]
fn requests_are_answered_before_the_client_times_out() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    for (class, idempotent) in [("fetch", true), ("bill", false)] {
        let mut client = Client::connect(sidecar.address);
        client.send(class, 400);
        let response = client.read().expect("a response, not a closed connection");
        assert_eq!(response.status(), if idempotent { 503 } else { 502 }, "{class}");
    }
}

/// Guards against a final response that depends on which of several expired timers fires first after the process was
/// suspended.
#[test]
fn the_decision_module_chooses_the_final_response_after_a_suspension() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    let mut client = Client::connect(sidecar.address);
    client.send("fetch", 400);
    wait_until("the upstream receives the request", || silent.requests().len() == 1);
    sidecar.signal("-STOP");
    std::thread::sleep(Duration::from_millis(500));
    sidecar.signal("-CONT");
    assert_eq!(
        client.read().expect("a response").status(),
        503,
        "the class is idempotent, so the client may retry"
    );
}

#[test]
fn requests_with_a_short_timeout_are_attempted() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    // Repeated, since a busy machine may take longer than the timeout now and then.
    wait_until("a request is served", || {
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 7);
        client.read().expect("a response").status() == 200
    });
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    let mut client = Client::connect(sidecar.address);
    // The client would wait longer than this test, so only the disconnect can end the attempt.
    client.send("bill", 600_000);
    wait_until("the upstream receives the request", || silent.requests().len() == 1);
    drop(client);
    let connection = silent.requests()[0].connection;
    wait_until("the sidecar closes the connection", || silent.close_sequence(connection).is_some());
}

#[test]
fn malformed_requests_never_reach_an_upstream() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let valid_request = http_request("log", 5_000);
    let oversized = format!("Content-Length: {}\r\n", MAX_BODY_BYTES + 1);
    for (from, to, status) in [
        ("/log?", "/other?", 404),
        ("X-Priority-Class: log", "X-Priority-Class: fetch", 400),
        ("X-Priority-Class: log\r\n", "", 400),
        ("X-Request-ID", "X-Other-ID", 400),
        ("X-Timeout-Ms: 5000\r\n", "", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: soon", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: -3", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: 0", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: 5000\r\nX-Timeout-Ms: 1", 400),
        ("Idempotency-Key", "Other-Key", 400),
        ("POST", "DELETE", 405),
        ("Content-Length: 5\r\n", &oversized, 413),
        ("Content-Length: 5", "Content-Length: -5", 400),
        ("Content-Length: 5", "Content-Length: +5", 400),
        ("Content-Length: 5", "Content-Length: 99999999999999999999999", 400),
        ("Content-Length: 5", "Transfer-Encoding: chunked", 411),
        // Ambiguous framing allows request smuggling.
        ("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked", 411),
        ("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5", 411),
        ("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: +5000", 400),
        ("POST", "GET", 405),
        ("HTTP/1.1", "HTP/7", 400),
    ] {
        assert!(valid_request.contains(from), "{from}");
        let mut client = Client::connect(sidecar.address);
        // Bytes after a rejected request may belong to its body, so they must not be read as another request.
        client.write(
            format!("{}{}", valid_request.replacen(from, to, 1), http_request("fetch", 5_000)).as_bytes(),
        );
        assert_eq!(client.read().expect("a response").status(), status, "{to}");
        assert_eq!(client.read_to_close(), Some(vec![]), "{to}");
    }
    // The class determines the method and whether a key and a body are allowed.
    for (class, from, to, status) in [
        ("fetch", "X-Tenant-Id", "Content-Length: 4\r\nX-Tenant-Id", 400),
        ("fetch", "GET", "POST", 405),
        ("bill", "POST", "GET", 405),
        ("bill", "X-Tenant-Id", "Idempotency-Key: 5c0f6e1a\r\nX-Tenant-Id", 400),
    ] {
        let mut client = Client::connect(sidecar.address);
        client.write(http_request(class, 5_000).replacen(from, to, 1).as_bytes());
        assert_eq!(client.read().expect("a response").status(), status, "{class} {to}");
    }
    assert_eq!(upstream.requests().len(), 0);
    assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 200);
}

#[test]
fn incomplete_and_idle_client_connections_are_closed() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let valid_request = http_request("log", 5_000);
    let mut clients =
        ["", "GET /fetch HTTP/1.1\r\nX-", valid_request.strip_suffix("ry").unwrap()].map(|incomplete| {
            let mut client = Client::connect(sidecar.address);
            client.write(incomplete.as_bytes());
            client
        });
    let mut idle = Client::connect(sidecar.address);
    assert_eq!(idle.exchange("fetch").status(), 200);
    for client in clients.iter_mut().chain([&mut idle]) {
        let response = client.read_to_close().expect("a close before the read timeout");
        assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 408 "), "{response:?}");
    }
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn duplicate_ids_are_rejected_while_the_request_is_pending_and_after_it_has_run() {
    let released = Arc::new(AtomicUsize::new(0));
    let response_released = released.clone();
    let upstream = Upstream::new(move |_| Behaviour::RespondWhenReleased(response_released.clone()));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let request = http_request("bill", 20_000);
    let [mut first, mut second] = [0, 1].map(|_| Client::connect(sidecar.address));
    first.write(request.as_bytes());
    wait_until("the upstream receives the request", || upstream.requests().len() == 1);
    second.write(request.as_bytes());
    assert_eq!(second.read().expect("a response").status(), 409);
    assert_eq!(second.read_to_close(), Some(vec![]));
    released.store(1, Ordering::SeqCst);
    assert_eq!(first.read().expect("a response").body, b"late");
    first.write(request.as_bytes());
    assert_eq!(first.read().expect("a response").status(), 409);
    assert_eq!(first.read_to_close(), Some(vec![]));
    assert_eq!(upstream.requests().len(), 1);
}

/// An id may come again if its request was refused and proof exists that it has not run.
#[test]
fn ids_of_requests_that_have_not_run_may_come_again() {
    let rejecting = Arc::new(AtomicUsize::new(1));
    let still_rejecting = rejecting.clone();
    let upstream = Upstream::new(move |_| match still_rejecting.load(Ordering::SeqCst) {
        0 => Behaviour::ok("served"),
        _ => Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![]),
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let request = http_request("bill", 6_000);
    client.write(request.as_bytes());
    assert_eq!(client.read().expect("a response").status(), 503);
    assert!(!upstream.requests().is_empty(), "the request was not sent");
    rejecting.store(0, Ordering::SeqCst);
    client.write(request.as_bytes());
    assert_eq!(client.read().expect("a response").body, b"served");
}

#[test]
fn client_errors_do_not_count_against_upstreams() {
    let upstreams = [0, 1, 2].map(|_| {
        Upstream::new(|message| match message.start_line.starts_with("GET /fetch?k=bad ") {
            true => Behaviour::Respond(404, "", vec![]),
            false => Behaviour::ok("served"),
        })
    });
    let [a, b, c] = &upstreams;
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[a, b, c]);
    for count in 1..=40 {
        let mut client = Client::connect(sidecar.address);
        client.write(http_request("fetch", 5_000).replace("k=7f3a9c21", "k=bad").as_bytes());
        assert_eq!(client.read().expect("a response").status(), 404);
        assert_eq!(request_count(&[a, b, c]), count, "a client error must not be retried");
    }
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    let log = sidecar.log.lock().unwrap();
    assert!(!log.iter().any(|line| line.contains("ejected")), "{log:?}");
}

#[test]
fn silent_connections_do_not_exclude_other_clients() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = ready_hosts(&[&upstream]);
    let discovery = Discovery::new(&known);
    // Allows 20 client connections.
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS_JSON));
    sidecar.wait_until_up();
    let mut active = Client::connect(sidecar.address);
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.extend((0..6).map(|_| Client::connect(sidecar.address)));
        std::thread::sleep(Duration::from_millis(20));
        let response = active.exchange("fetch");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, None),
            "an active connection is kept"
        );
        let response = Client::connect(sidecar.address).exchange("fetch");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, None),
            "a new connection is accepted and kept"
        );
    }
}

#[test]
fn unknown_tenants_are_rejected_if_tenants_are_configured() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let settings = SETTINGS_JSON
        .replace(r#""tenants":[]"#, r#""tenants":[{"name":"acme","quota_per_s":90.0,"fraction":1.0}]"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&upstream], &settings);
    let mut client = Client::connect(sidecar.address);
    client.write(http_request("fetch", 5_000).replace("acme", "nobody").as_bytes());
    assert_eq!(client.read().expect("a response").status(), 400);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
}

#[test]
fn discovery_updates_apply_regardless_of_chunk_boundaries() {
    let [a, b, c] = [0, 1, 2].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let (sidecar, discovery) = Sidecar::for_upstreams(&[&a, &b]);
    let mut client = Client::connect(sidecar.address);
    wait_until("both upstreams serve", || {
        client.exchange("fetch");
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    // The first line is split over two chunks; the second line follows in the same chunk.
    let drain = host_list(6, false, &[host_entry("a", a.address, "draining")]);
    let (head, tail) = drain.split_at(30);
    discovery.send_chunk(head);
    std::thread::sleep(Duration::from_millis(50));
    discovery
        .send_chunk(&format!("{tail}\n{}\n", host_list(7, false, &[host_entry("c", c.address, "ready")])));
    wait_until("the new upstream serves", || {
        client.exchange("fetch");
        !c.requests().is_empty()
    });
    let before = a.requests().len();
    (0..40).for_each(|_| drop(client.exchange("fetch")));
    assert_eq!(a.requests().len(), before, "a draining upstream received a request");
    // An upstream that is missing from a snapshot is gone.
    discovery.send_chunk(&format!("{}\n", host_list(8, true, &[host_entry("c", c.address, "ready")])));
    wait_until("b receives no more requests", || {
        let before = b.requests().len();
        (0..20).for_each(|_| drop(client.exchange("fetch")));
        b.requests().len() == before
    });
}

#[test]
fn the_watch_recovers_from_disconnects_and_malformed_lines() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let known = ready_hosts(&[&a]);
    // Every watch begins with a snapshot that contains the new upstream.
    let discovery = Discovery::new(&host_list(
        9,
        true,
        &[host_entry("a", a.address, "ready"), host_entry("b", b.address, "ready")],
    ));
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON));
    sidecar.wait_until_up();
    wait_until("the sidecar opens a watch", || discovery.watches().len() == 1);
    assert_eq!(discovery.watches()[0], "GET /discovery/hosts?watch=1&from=5 HTTP/1.1");
    discovery.send_chunk("{\"seq\":10,\"whole\":true,\"hosts\"\n");
    discovery.close_watch();
    wait_until("the sidecar opens a second watch", || discovery.watches().len() >= 2);
    assert!(
        discovery.watches()[1].contains("from=0 "),
        "the malformed update was missed, so a snapshot must be requested"
    );
    discovery.close_watch();
    wait_until("the sidecar opens a third watch", || discovery.watches().len() >= 3);
    let mut client = Client::connect(sidecar.address);
    wait_until("the new upstream serves", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
}

#[test]
fn an_address_change_closes_the_old_connections() {
    let [old, new] = ["old", "new"].map(|name| Upstream::new(move |_| Behaviour::ok(name)));
    let (sidecar, discovery) = Sidecar::for_upstreams(&[&old]);
    let mut client = Client::connect(sidecar.address);
    assert_eq!(client.exchange("fetch").body, b"old");
    discovery.send_chunk(&format!("{}\n", host_list(6, false, &[host_entry("a", new.address, "ready")])));
    wait_until("the new address serves", || client.exchange("fetch").body == b"new");
    wait_until("the old connections are closed", || {
        (0..old.connections()).all(|connection| old.close_sequence(connection).is_some())
    });
}

#[test]
fn the_decision_module_requests_watches_in_subscribe_mode() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let known = ready_hosts(&[&a]);
    let discovery = Discovery::new(&host_list(9, true, &[host_entry("b", b.address, "ready")]));
    let settings = SETTINGS_JSON.replace("automatic", "subscribe");
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, &settings));
    sidecar.wait_until_up();
    wait_until("the sidecar opens a watch", || !discovery.watches().is_empty());
    let mut client = Client::connect(sidecar.address);
    wait_until("the host list of discovery replaces the known one", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
    discovery.close_watch();
    wait_until("the sidecar opens a second watch", || discovery.watches().len() >= 2);
}

#[test]
fn sighup_moves_the_watch_and_keeps_the_list_and_connections() {
    let released = Arc::new(AtomicUsize::new(0));
    let response_released = released.clone();
    let a = Upstream::new(move |message| {
        if message.start_line.starts_with("POST") {
            Behaviour::RespondWhenReleased(response_released.clone())
        } else {
            Behaviour::ok("old")
        }
    });
    let b = Upstream::new(|_| Behaviour::ok("new"));
    let (sidecar, first_discovery) = Sidecar::for_upstreams(&[&a]);
    let mut pending = Client::connect(sidecar.address);
    pending.send("bill", 20_000);
    wait_until("the upstream receives the request", || a.requests().len() == 1);
    wait_until("the sidecar opens a watch", || first_discovery.watches().len() == 1);
    let valid_config = |discovery| config_json("127.0.0.1:0", discovery, "null", 1024, SETTINGS_JSON);
    // An invalid configuration is logged and changes nothing.
    for text in ["", "{\"discovery\":\"127.0.0.1:1\"}"] {
        sidecar.log.lock().unwrap().clear();
        sidecar.reload(text);
        sidecar.wait_for_log("the old configuration stays");
    }
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").body, b"old");
    // Two reloads: the second must work like the first.
    let entries = [host_entry("a", a.address, "ready"), host_entry("b", b.address, "ready")];
    let second_discovery = Discovery::new(&host_list(6, true, &entries));
    sidecar.reload(&valid_config(second_discovery.address));
    let mut client = Client::connect(sidecar.address);
    wait_until("the new upstream serves", || client.exchange("fetch").body == b"new");
    assert_eq!(second_discovery.watches()[0], "GET /discovery/hosts?watch=1&from=5 HTTP/1.1");
    let third_discovery = Discovery::new(&host_list(7, false, &[host_entry("b", b.address, "draining")]));
    sidecar.reload(&valid_config(third_discovery.address));
    wait_until("the sidecar opens a watch at the third discovery server", || {
        third_discovery.watches().len() == 1
    });
    assert!(third_discovery.watches()[0].contains("from=6 "));
    // Once the third discovery server is heard, updates from the ones before are ignored.
    wait_until("only the upstream that is not draining serves", || {
        (0..20).all(|_| client.exchange("fetch").body == b"old")
    });
    let empty_list = format!("{}\n", host_list(90, true, &[]));
    first_discovery.send_chunk(&empty_list);
    second_discovery.send_chunk(&empty_list);
    let sent_at = Instant::now();
    while sent_at.elapsed() < Duration::from_millis(300) {
        assert_eq!(client.exchange("fetch").body, b"old");
    }
    released.store(1, Ordering::SeqCst);
    assert_eq!(pending.read().expect("a complete response").body, b"late");
}

#[test]
fn readiness_requires_a_host_list() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let discovery_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = discovery_listener.local_addr().unwrap();
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, SETTINGS_JSON));
    assert_eq!(Client::connect(sidecar.address).get("/up").expect("a response").status(), 503);
    // Discovery starts to answer.
    let (mut watch, _) = discovery_listener.accept().unwrap();
    watch.read_exact(&mut [0; 16]).unwrap();
    let line = ready_hosts(&[&upstream]);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\n\r\n",
        line.len() + 1
    )
    .unwrap();
    sidecar.wait_until_up();
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
}

#[test]
fn sigterm_finishes_pending_and_newly_arriving_requests() {
    let released = Arc::new(AtomicUsize::new(0));
    let response_released = released.clone();
    let upstream = Upstream::new(move |message| {
        if message.start_line.starts_with("POST") {
            Behaviour::RespondWhenReleased(response_released.clone())
        } else {
            Behaviour::ok("served")
        }
    });
    let (mut sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let (mut pending, mut idle, mut silent) = (
        Client::connect(sidecar.address),
        Client::connect(sidecar.address),
        Client::connect(sidecar.address),
    );
    assert_eq!(idle.exchange("fetch").status(), 200);
    pending.send("bill", 8_000);
    wait_until("the upstream receives the request", || upstream.requests().len() == 2);
    sidecar.signal("-TERM");
    wait_until("the sidecar handles SIGTERM", || {
        sidecar.log.lock().unwrap().iter().any(|line| line.contains("SIGTERM"))
    });
    // Requests are still accepted, on new connections and on connections that have carried none yet.
    for client in [&mut Client::connect(sidecar.address), &mut silent] {
        let response = client.exchange("fetch");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    }
    assert!(idle.read().is_none(), "the idle connection must be closed");
    released.store(1, Ordering::SeqCst);
    assert_eq!(pending.read().expect("a complete response").body, b"late");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn a_restart_after_sigkill_reuses_the_listen_address() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (mut sidecar, discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    assert_eq!(client.exchange("fetch").status(), 200);
    sidecar.child.kill().unwrap();
    sidecar.child.wait().unwrap();
    let listen = sidecar.address.to_string();
    let restarted = Sidecar::start(&config_json(
        &listen,
        discovery.address,
        &ready_hosts(&[&upstream]),
        1024,
        SETTINGS_JSON,
    ));
    restarted.wait_until_up();
    assert_eq!(Client::connect(restarted.address).exchange("fetch").status(), 200);
}

#[test]
fn invalid_configurations_exit_with_a_one_line_error() {
    let discovery_address = "127.0.0.1:9".parse().unwrap();
    let valid_config = config_json("127.0.0.1:0", discovery_address, "null", 1024, SETTINGS_JSON);
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address_in_use_config = config_json(
        &occupied.local_addr().unwrap().to_string(),
        discovery_address,
        "null",
        1024,
        SETTINGS_JSON,
    );
    for text in
        ["", "{}", "[1", &valid_config.replace("\"aim\":3000.0", "\"aim\":\"x\""), &address_in_use_config]
    {
        let output = spawn_sidecar(text).wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(1), "{text}");
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sagemast"))
        .env_remove("ROUTER_CONFIG")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("ROUTER_CONFIG"));
}

#[test]
fn clients_beyond_the_connection_limit_are_served_eventually() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = ready_hosts(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS_JSON));
    sidecar.wait_until_up();
    let address = sidecar.address;
    let clients: Vec<_> = (0..100)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                let responses = (0..3).map_while(|_| {
                    client.send("fetch", 20_000);
                    client.read()
                });
                let count = responses.filter(|response| matches!(response.status(), 200 | 503)).count();
                // The client keeps its connection open until the sidecar closes it.
                (count, client)
            })
        })
        .collect();
    let served: Vec<(usize, Client)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(served.iter().all(|(count, _)| *count >= 1), "every client must get a complete response");
}

/// Guards against a connection limit that is lowered too far because connections closed meanwhile are not counted.
#[test]
fn the_sidecar_recovers_from_descriptor_exhaustion() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = ready_hosts(&[&upstream]);
    let discovery = Discovery::new(&known);
    // The configuration allows more descriptors than the process can open.
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON);
    let sidecar = Sidecar::start_with_descriptor_limit(&text, Some(32));
    sidecar.wait_until_up();
    let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(sidecar.address)).collect();
    wait_until("accept fails", || {
        sidecar.log.lock().unwrap().iter().any(|line| line.contains("cannot accept"))
    });
    clients.drain(..50);
    let start = Instant::now();
    wait_until("a request is served again", || {
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 5_000);
        client.read().is_some_and(|response| response.status() == 200)
    });
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}

#[test]
fn absolute_request_targets_are_forwarded_as_paths() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.write(http_request("fetch", 5_000).replace("GET /", "GET http://api.internal/").as_bytes());
    assert_eq!(client.read().expect("a response").status(), 200);
    assert_eq!(upstream.requests()[0].start_line, "GET /fetch?k=7f3a9c21 HTTP/1.1");
}

#[test]
fn keyed_requests_are_not_retried_if_connecting_could_outlast_the_dedup_window() {
    let [a, b] = first_then_ok(Behaviour::NoResponse);
    // The first attempt times out after about 2.3 s. Connecting may take 2 s more, past the window of 3 s.
    let settings = SETTINGS_JSON.replace(r#""window":5000.0"#, r#""window":3000.0"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&a, &b], &settings);
    assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 502);
    assert_eq!(request_count(&[&a, &b]), 1);
}

#[test]
fn an_attempt_still_connecting_is_not_sent_once_its_upstream_drains() {
    let FullAcceptQueue { listener: slow_listener, queue } = FullAcceptQueue::new();
    let address = slow_listener.local_addr().unwrap();
    let other = Upstream::new(|_| Behaviour::ok("elsewhere"));
    let known = host_list(5, true, &[host_entry("slow", address, "ready")]);
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
    // Gives the attempt time to start connecting. If it has not, the test passes without testing anything.
    std::thread::sleep(Duration::from_millis(1_000));
    let update = [host_entry("slow", address, "draining"), host_entry("other", other.address, "ready")];
    discovery.send_chunk(&format!("{}\n", host_list(6, false, &update)));
    wait_until("the update is applied", || {
        Client::connect(sidecar.address).exchange("fetch").body == b"elsewhere"
    });
    let received_posts = Arc::new(AtomicUsize::new(0));
    let counter = received_posts.clone();
    std::thread::spawn(move || {
        for mut stream in slow_listener.incoming().flatten() {
            let counter = counter.clone();
            std::thread::spawn(move || {
                let mut head = [0; 4];
                if stream.read_exact(&mut head).is_ok() && &head == b"POST" {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    drop(queue);
    assert_eq!(client.read().expect("a response").body, b"elsewhere");
    assert_eq!(received_posts.load(Ordering::SeqCst), 0);
}
