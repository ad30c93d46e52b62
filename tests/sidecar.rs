//! The sidecar as a process on loopback sockets: what it sends, and what it answers.

mod loopback;

use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loopback::*;

/// All requests that reached any of these.
fn total(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.requests().len()).sum()
}

/// One that treats the first request of all of its kind so, and serves later ones.
fn first_then_ok(first: Behaviour) -> [Upstream; 2] {
    let count = Arc::new(AtomicUsize::new(0));
    [0, 1].map(|_| {
        let (count, first) = (count.clone(), first.clone());
        Upstream::new(move |_| {
            if count.fetch_add(1, Ordering::SeqCst) == 0 { first.clone() } else { Behaviour::ok("served") }
        })
    })
}

#[test]
fn a_request_goes_on_and_comes_back_unchanged() {
    let upstream = Upstream::new(|m| Behaviour::Respond(200, "X-Note: kept\r\n", m.body.repeat(1_000)));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let answer = client.exchange("log");
    assert_eq!((answer.status(), answer.body), (200, b"entry".repeat(1_000)));
    let got = upstream.requests().remove(0);
    assert_eq!(got.start_line, "POST /log?k=7f3a9c21 HTTP/1.1");
    assert_eq!(got.body, b"entry");
    assert_eq!(got.header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(got.header("x-request-id").map(str::len), Some(16));
    let left: u64 = got.header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((1..=6_000).contains(&left));
    assert_eq!(client.exchange("fetch").status(), 200);
    assert_eq!(upstream.requests()[1].start_line, "GET /fetch?k=7f3a9c21 HTTP/1.1");
}

#[test]
fn connections_are_used_again() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    for _ in 0..50 {
        assert_eq!(client.exchange("bill").status(), 200);
    }
    assert_eq!(upstream.requests().len(), 50);
    // A probe and a request may be out together; 50 requests in a row need no third connection, but one may
    // be asked for just before the last is given back.
    assert!(upstream.connections() <= 4, "{} connections", upstream.connections());
}

#[test]
fn what_may_have_run_is_not_sent_again_when_it_must_not() {
    for deed in [
        Behaviour::Close,
        Behaviour::TruncateResponse,
        Behaviour::Respond(500, "", vec![]),
        Behaviour::Respond(503, "", vec![]),
    ] {
        let [a, b] = first_then_ok(deed);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let answer = Client::connect(sidecar.address).exchange("bill");
        assert_eq!(answer.status(), 502, "a failure promises nothing; a refusal would");
        assert_eq!(total(&[&a, &b]), 1);
        assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    }
}

#[test]
fn what_never_ran_is_sent_again() {
    let [a, b] = first_then_ok(Behaviour::Respond(503, "X-Not-Processed: 1\r\n", vec![]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    assert_eq!(total(&[&a, &b]), 2);
}

#[test]
fn a_torn_answer_is_never_passed_on() {
    let [a, b] = first_then_ok(Behaviour::TruncateResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
    let answer = Client::connect(sidecar.address).exchange("fetch");
    assert_eq!((answer.status(), answer.body), (200, b"served".to_vec()));
}

#[test]
fn an_answer_that_is_too_long_is_an_error() {
    let upstream = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; (64 << 10) + 1]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    let whole = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; 64 << 10]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&whole]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").body.len(), 64 << 10);
}

#[test]
fn a_spoilt_answer_is_a_failed_attempt_at_once() {
    for deed in [
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Le"),
        Behaviour::WriteRaw(
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        Behaviour::WriteRawAndClose(b"HTTP/1.1 200 OK\r\n\r\nsome, or all?"),
        Behaviour::WriteRaw(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        Behaviour::WriteRaw(b"\x00\x16noise\r\n\r\n"),
    ] {
        let [a, b] = first_then_ok(deed);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let mut client = Client::connect(sidecar.address);
        // Its time is longer than this test's: it is answered because the attempt has failed.
        client.send("bill", 600_000);
        assert_eq!(client.read().expect("an answer").status(), 502);
        assert_eq!(total(&[&a, &b]), 1, "it has run");
        let at = [&a, &b].into_iter().find(|upstream| !upstream.requests().is_empty()).unwrap();
        let connection = at.requests()[0].connection;
        wait_until("its connection is closed", || at.close_sequence(connection).is_some());
        assert_eq!(client.exchange("fetch").body, b"served");
    }
}

#[test]
fn what_comes_with_a_good_answer_does_not_spoil_it() {
    for deed in [
        Behaviour::WriteRaw(b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nX-Server-Load: \xff\xfe=1e300\r\nContent-Length: 4\r\n\r\ngood"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood\x00\x16noise"),
    ] {
        let [a, b] = first_then_ok(deed);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let mut client = Client::connect(sidecar.address);
        assert_eq!(client.exchange("bill").body, b"good");
        for _ in 0..10 {
            assert_eq!(client.exchange("fetch").body, b"served");
        }
    }
}

#[test]
fn a_server_that_refuses_connections_has_run_nothing() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known =
        host_list(5, true, &[host_entry("a", upstream.address, "ready"), host_entry("b", dead, "ready")]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    for _ in 0..10 {
        assert_eq!(
            client.exchange("bill").status(),
            200,
            "unsafe, but it cannot have run, and goes elsewhere"
        );
    }
    assert_eq!(upstream.requests().len(), 10);
}

#[test]
fn an_idle_connection_that_was_closed_is_not_written_to() {
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
fn an_attempt_is_closed_before_the_next_goes_out() {
    // The first attempt meets silence. The second is answered only once the first's connection is closed:
    // were it left open, or closed with the request's end, no answer would ever come.
    let silent = Arc::new(Mutex::new(None::<mpsc::Receiver<()>>));
    let upstreams = [0, 1].map(|_| {
        let silent = silent.clone();
        Upstream::new(move |_| {
            let mut first = silent.lock().unwrap();
            match first.take() {
                None => {
                    let (closed, notice) = mpsc::channel();
                    *first = Some(notice);
                    Behaviour::NoResponseNotifyClose(closed)
                }
                Some(notice) => match notice.recv_timeout(WAIT_TIMEOUT) {
                    Ok(()) => Behaviour::ok("served"),
                    Err(_) => Behaviour::Close,
                },
            }
        })
    });
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstreams[0], &upstreams[1]]);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    let mut requests: Vec<Message> = upstreams.iter().flat_map(|u| u.requests()).collect();
    requests.sort_by_key(|request| request.sequence);
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[0].header("x-request-id"), requests[1].header("x-request-id"));
}

#[test]
fn every_request_is_answered_before_its_client_gives_up() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    for (class, refusal) in [("fetch", true), ("bill", false)] {
        let mut client = Client::connect(sidecar.address);
        client.send(class, 400);
        let answer = client.read().expect("an answer, not a closed connection");
        assert_eq!(answer.status(), if refusal { 503 } else { 502 }, "{class}");
    }
}

/// Guards against a last word that depends on which of two timers a sidecar that was held up looks at first.
#[test]
fn a_sidecar_that_was_held_up_lets_the_module_have_the_last_word() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    let mut client = Client::connect(sidecar.address);
    client.send("fetch", 400);
    wait_until("it has arrived", || silent.requests().len() == 1);
    sidecar.signal("-STOP");
    std::thread::sleep(Duration::from_millis(500));
    sidecar.signal("-CONT");
    assert_eq!(client.read().expect("an answer").status(), 503, "trying again is harmless, and it says so");
}

#[test]
fn a_request_with_little_time_is_tried_all_the_same() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    // Loopback takes well under a millisecond; now and then a busy machine takes longer than there is.
    wait_until("one is served", || {
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 7);
        client.read().expect("an answer").status() == 200
    });
}

#[test]
fn a_client_that_leaves_takes_its_attempt_with_it() {
    let silent = Upstream::new(|_| Behaviour::NoResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&silent]);
    let mut client = Client::connect(sidecar.address);
    // Long past all that this test waits for: only the client's leaving can end the attempt.
    client.send("bill", 600_000);
    wait_until("it has arrived", || silent.requests().len() == 1);
    drop(client);
    let connection = silent.requests()[0].connection;
    wait_until("the attempt is closed", || silent.close_sequence(connection).is_some());
}

#[test]
fn malformed_requests_never_reach_an_upstream() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let sound = http_request("log", 5_000);
    let oversized = format!("Content-Length: {}\r\n", (64 << 10) + 1);
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
        // A second request may hide behind a body that two readers end in different places.
        ("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked", 411),
        ("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5", 411),
        ("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6", 400),
        ("X-Timeout-Ms: 5000", "X-Timeout-Ms: +5000", 400),
        ("POST", "GET", 405),
        ("HTTP/1.1", "HTP/7", 400),
    ] {
        assert!(sound.contains(from), "{from}");
        let mut client = Client::connect(sidecar.address);
        // What follows on the same connection may be a part of it: it is not read as another request.
        client.write(format!("{}{}", sound.replacen(from, to, 1), http_request("fetch", 5_000)).as_bytes());
        assert_eq!(client.read().expect("an answer").status(), status, "{to}");
        assert_eq!(client.read_to_close(), Some(vec![]), "{to}");
    }
    // The method, the key and the body follow from the class.
    for (class, from, to, status) in [
        ("fetch", "X-Tenant-Id", "Content-Length: 4\r\nX-Tenant-Id", 400),
        ("fetch", "GET", "POST", 405),
        ("bill", "POST", "GET", 405),
        ("bill", "X-Tenant-Id", "Idempotency-Key: 5c0f6e1a\r\nX-Tenant-Id", 400),
    ] {
        let mut client = Client::connect(sidecar.address);
        client.write(http_request(class, 5_000).replacen(from, to, 1).as_bytes());
        assert_eq!(client.read().expect("an answer").status(), status, "{class} {to}");
    }
    assert_eq!(upstream.requests().len(), 0);
    assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 200);
}

#[test]
fn what_does_not_come_whole_is_closed() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let log = http_request("log", 5_000);
    let mut clients = ["", "GET /fetch HTTP/1.1\r\nX-", log.strip_suffix("ry").unwrap()].map(|part| {
        let mut client = Client::connect(sidecar.address);
        client.write(part.as_bytes());
        client
    });
    let mut used = Client::connect(sidecar.address);
    assert_eq!(used.exchange("fetch").status(), 200);
    for client in clients.iter_mut().chain([&mut used]) {
        let answer = client.read_to_close().expect("a close long before this test gives up");
        assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 408 "), "{answer:?}");
    }
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_twice() {
    let go = Arc::new(AtomicUsize::new(0));
    let let_go = go.clone();
    let upstream = Upstream::new(move |_| Behaviour::RespondWhenReleased(let_go.clone()));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let text = http_request("bill", 20_000);
    let [mut first, mut second] = [0, 1].map(|_| Client::connect(sidecar.address));
    first.write(text.as_bytes());
    wait_until("it is out", || upstream.requests().len() == 1);
    second.write(text.as_bytes());
    assert_eq!(second.read().expect("an answer").status(), 409);
    assert_eq!(second.read_to_close(), Some(vec![]));
    go.store(1, Ordering::SeqCst);
    assert_eq!(first.read().expect("an answer").body, b"late");
    assert_eq!(upstream.requests().len(), 1);
    // Once it has its answer nothing of it is kept.
    first.write(text.as_bytes());
    assert_eq!(first.read().expect("an answer").status(), 200);
}

#[test]
fn a_fault_of_the_client_is_not_the_upstreams() {
    let upstreams = [0, 1, 2].map(|_| {
        Upstream::new(|m| match m.start_line.starts_with("GET /fetch?k=bad ") {
            true => Behaviour::Respond(404, "", vec![]),
            false => Behaviour::ok("served"),
        })
    });
    let [a, b, c] = &upstreams;
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[a, b, c]);
    for count in 1..=40 {
        let mut client = Client::connect(sidecar.address);
        client.write(http_request("fetch", 5_000).replace("k=7f3a9c21", "k=bad").as_bytes());
        assert_eq!(client.read().expect("an answer").status(), 404);
        assert_eq!(total(&[a, b, c]), count, "another upstream would say the same");
    }
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    let log = sidecar.log.lock().unwrap();
    assert!(!log.iter().any(|line| line.contains("ejected")), "{log:?}");
}

#[test]
fn silent_connections_do_not_keep_others_out() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = ready_hosts(&[&upstream]);
    let discovery = Discovery::new(&known);
    // Room for 20 clients.
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS_JSON));
    sidecar.wait_until_up();
    let mut usual = Client::connect(sidecar.address);
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.extend((0..6).map(|_| Client::connect(sidecar.address)));
        std::thread::sleep(Duration::from_millis(20));
        let answer = usual.exchange("fetch");
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "its connection stays");
        let answer = Client::connect(sidecar.address).exchange("fetch");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, None),
            "newcomers get in and may stay"
        );
    }
}

#[test]
fn unknown_tenants_are_turned_away_where_there_are_tenants() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let settings = SETTINGS_JSON
        .replace(r#""tenants":[]"#, r#""tenants":[{"name":"acme","quota_per_s":90.0,"fraction":1.0}]"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&upstream], &settings);
    let mut client = Client::connect(sidecar.address);
    client.write(http_request("fetch", 5_000).replace("acme", "nobody").as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 400);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
}

#[test]
fn a_drain_is_kept_and_news_come_however_they_are_cut() {
    let [a, b, c] = [0, 1, 2].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let (sidecar, discovery) = Sidecar::for_upstreams(&[&a, &b]);
    let mut client = Client::connect(sidecar.address);
    wait_until("both serve", || {
        client.exchange("fetch");
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    // One line in three pieces, a second with nothing between, and a line that no one can read first.
    let drain = host_list(6, false, &[host_entry("a", a.address, "draining")]);
    let (head, tail) = drain.split_at(30);
    discovery.send_chunk(head);
    std::thread::sleep(Duration::from_millis(50));
    discovery
        .send_chunk(&format!("{tail}\n{}\n", host_list(7, false, &[host_entry("c", c.address, "ready")])));
    wait_until("the newcomer serves", || {
        client.exchange("fetch");
        !c.requests().is_empty()
    });
    let before = a.requests().len();
    (0..40).for_each(|_| drop(client.exchange("fetch")));
    assert_eq!(a.requests().len(), before, "nothing new to one that drains");
    // Who is missing from a whole list is gone.
    discovery.send_chunk(&format!("{}\n", host_list(8, true, &[host_entry("c", c.address, "ready")])));
    wait_until("b is left alone", || {
        let before = b.requests().len();
        (0..20).for_each(|_| drop(client.exchange("fetch")));
        b.requests().len() == before
    });
}

#[test]
fn the_watch_survives_breaks_and_nonsense() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let known = ready_hosts(&[&a]);
    // What discovery says first on every watch brings the newcomer, too.
    let discovery = Discovery::new(&host_list(
        9,
        true,
        &[host_entry("a", a.address, "ready"), host_entry("b", b.address, "ready")],
    ));
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON));
    sidecar.wait_until_up();
    wait_until("it watches", || discovery.watches().len() == 1);
    assert_eq!(discovery.watches()[0], "GET /discovery/hosts?watch=1&from=5 HTTP/1.1");
    discovery.send_chunk("{\"seq\":10,\"whole\":true,\"hosts\"\n");
    discovery.close_watch();
    wait_until("it watches again", || discovery.watches().len() >= 2);
    assert!(discovery.watches()[1].contains("from=0 "), "what the broken line said was missed");
    discovery.close_watch();
    wait_until("and again", || discovery.watches().len() >= 3);
    let mut client = Client::connect(sidecar.address);
    wait_until("the newcomer serves", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
}

#[test]
fn a_new_address_drops_the_old_connections() {
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
fn where_discovery_is_asked_the_module_asks() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let known = ready_hosts(&[&a]);
    let discovery = Discovery::new(&host_list(9, true, &[host_entry("b", b.address, "ready")]));
    let settings = SETTINGS_JSON.replace("automatic", "subscribe");
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, &settings));
    sidecar.wait_until_up();
    wait_until("it watches", || !discovery.watches().is_empty());
    let mut client = Client::connect(sidecar.address);
    wait_until("the list is taken over", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
    discovery.close_watch();
    wait_until("it asks again", || discovery.watches().len() >= 2);
}

#[test]
fn sighup_moves_the_watch_and_keeps_list_and_connections() {
    let go = Arc::new(AtomicUsize::new(0));
    let let_go = go.clone();
    let a = Upstream::new(move |m| {
        if m.start_line.starts_with("POST") {
            Behaviour::RespondWhenReleased(let_go.clone())
        } else {
            Behaviour::ok("old")
        }
    });
    let b = Upstream::new(|_| Behaviour::ok("new"));
    let (sidecar, old) = Sidecar::for_upstreams(&[&a]);
    let mut held = Client::connect(sidecar.address);
    held.send("bill", 20_000);
    wait_until("it is held", || a.requests().len() == 1);
    wait_until("it watches", || old.watches().len() == 1);
    let sound = |discovery| config_json("127.0.0.1:0", discovery, "null", 1024, SETTINGS_JSON);
    // What is not sound is told and changes nothing.
    for text in ["", "{\"discovery\":\"127.0.0.1:1\"}"] {
        sidecar.log.lock().unwrap().clear();
        sidecar.reload(text);
        sidecar.wait_for_log("the old configuration stays");
    }
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").body, b"old");
    // Twice: the second must not find that the first has used up what there is.
    let entries = [host_entry("a", a.address, "ready"), host_entry("b", b.address, "ready")];
    let next = Discovery::new(&host_list(6, true, &entries));
    sidecar.reload(&sound(next.address));
    let mut client = Client::connect(sidecar.address);
    wait_until("the newcomer serves", || client.exchange("fetch").body == b"new");
    assert_eq!(next.watches()[0], "GET /discovery/hosts?watch=1&from=5 HTTP/1.1");
    let last = Discovery::new(&host_list(7, false, &[host_entry("b", b.address, "draining")]));
    sidecar.reload(&sound(last.address));
    wait_until("it watches the last one", || last.watches().len() == 1);
    assert!(last.watches()[0].contains("from=6 "));
    // The old ones are believed no more.
    let withdrawn = format!("{}\n", host_list(90, true, &[]));
    old.send_chunk(&withdrawn);
    next.send_chunk(&withdrawn);
    wait_until("the drain is kept", || (0..20).all(|_| client.exchange("fetch").body == b"old"));
    go.store(1, Ordering::SeqCst);
    assert_eq!(held.read().expect("a whole answer").body, b"late");
}

#[test]
fn it_is_up_only_with_a_list() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = nobody.local_addr().unwrap();
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, SETTINGS_JSON));
    assert_eq!(Client::connect(sidecar.address).get("/up").expect("an answer").status(), 503);
    // Discovery comes up at last.
    let (mut watch, _) = nobody.accept().unwrap();
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
fn sigterm_finishes_what_is_held_and_what_still_comes() {
    let go = Arc::new(AtomicUsize::new(0));
    let let_go = go.clone();
    let upstream = Upstream::new(move |m| {
        if m.start_line.starts_with("POST") {
            Behaviour::RespondWhenReleased(let_go.clone())
        } else {
            Behaviour::ok("served")
        }
    });
    let (mut sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let (mut held, mut idle, mut silent) = (
        Client::connect(sidecar.address),
        Client::connect(sidecar.address),
        Client::connect(sidecar.address),
    );
    assert_eq!(idle.exchange("fetch").status(), 200);
    held.send("bill", 8_000);
    wait_until("it is held", || upstream.requests().len() == 2);
    sidecar.signal("-TERM");
    wait_until("it has heard", || sidecar.log.lock().unwrap().iter().any(|line| line.contains("SIGTERM")));
    // Clients still come, on new connections and on ones that have carried nothing so far.
    for client in [&mut Client::connect(sidecar.address), &mut silent] {
        let answer = client.exchange("fetch");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert!(idle.read().is_none(), "an idle connection is closed");
    go.store(1, Ordering::SeqCst);
    assert_eq!(held.read().expect("a whole answer").body, b"late");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn after_sigkill_the_next_start_takes_the_same_address() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (mut sidecar, discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    assert_eq!(client.exchange("fetch").status(), 200);
    sidecar.child.kill().unwrap();
    sidecar.child.wait().unwrap();
    let listen = sidecar.address.to_string();
    let next = Sidecar::start(&config_json(
        &listen,
        discovery.address,
        &ready_hosts(&[&upstream]),
        1024,
        SETTINGS_JSON,
    ));
    next.wait_until_up();
    assert_eq!(Client::connect(next.address).exchange("fetch").status(), 200);
}

#[test]
fn bad_configurations_end_it_with_one_plain_line() {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let sound = config_json("127.0.0.1:0", nowhere, "null", 1024, SETTINGS_JSON);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let busy = config_json(&taken.local_addr().unwrap().to_string(), nowhere, "null", 1024, SETTINGS_JSON);
    for text in ["", "{}", "[1", &sound.replace("\"aim\":3000.0", "\"aim\":\"x\""), &busy] {
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
fn more_clients_than_sockets_are_all_served_in_the_end() {
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
                let answers = (0..3).map_while(|_| {
                    client.send("fetch", 20_000);
                    client.read()
                });
                let count = answers.filter(|answer| matches!(answer.status(), 200 | 503)).count();
                // Its connection stays open for as long as the sidecar lets it.
                (count, client)
            })
        })
        .collect();
    let served: Vec<(usize, Client)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(served.iter().all(|(count, _)| *count >= 1), "each gets a whole answer");
}

/// What was held was once counted only after the clients that left had been taken off: one connection was left on each
/// side, and idle clients took it in turn for 22 s.
#[test]
fn running_out_of_descriptors_is_survived() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let known = ready_hosts(&[&upstream]);
    let discovery = Discovery::new(&known);
    // Told that there are many, it finds that there are few.
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON);
    let sidecar = Sidecar::start_with_descriptor_limit(&text, Some(32));
    sidecar.wait_until_up();
    let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(sidecar.address)).collect();
    wait_until("accepting fails", || {
        sidecar.log.lock().unwrap().iter().any(|line| line.contains("cannot accept"))
    });
    clients.drain(..50);
    let began = Instant::now();
    wait_until("it serves again", || {
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 5_000);
        client.read().is_some_and(|answer| answer.status() == 200)
    });
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

#[test]
fn a_whole_url_is_asked_for_by_its_path() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.write(http_request("fetch", 5_000).replace("GET /", "GET http://api.internal/").as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(upstream.requests()[0].start_line, "GET /fetch?k=7f3a9c21 HTTP/1.1");
}

#[test]
fn a_keyed_request_is_not_sent_again_so_late_that_connecting_could_outlast_its_window() {
    let [a, b] = first_then_ok(Behaviour::NoResponse);
    // The first attempt is given up after 2.3 s or so. Connecting may take 2 s more: past the window of 3 s.
    let settings = SETTINGS_JSON.replace(r#""window":5000.0"#, r#""window":3000.0"#);
    let (sidecar, _discovery) = Sidecar::for_upstreams_with_settings(&[&a, &b], &settings);
    assert_eq!(Client::connect(sidecar.address).exchange("log").status(), 502);
    assert_eq!(total(&[&a, &b]), 1);
}

#[test]
fn an_attempt_that_is_still_connecting_when_its_upstream_drains_is_not_written() {
    let FullAcceptQueue { listener: slow, queue } = FullAcceptQueue::new();
    let address = slow.local_addr().unwrap();
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
    // Long enough for its probes to fail and the attempt to begin; were it not, nothing would fail here.
    std::thread::sleep(Duration::from_millis(1_000));
    let news = [host_entry("slow", address, "draining"), host_entry("other", other.address, "ready")];
    discovery.send_chunk(&format!("{}\n", host_list(6, false, &news)));
    wait_until("the news have come", || {
        Client::connect(sidecar.address).exchange("fetch").body == b"elsewhere"
    });
    let written = Arc::new(AtomicUsize::new(0));
    let seen = written.clone();
    std::thread::spawn(move || {
        for mut stream in slow.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || {
                let mut head = [0; 4];
                if stream.read_exact(&mut head).is_ok() && &head == b"POST" {
                    seen.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    drop(queue);
    assert_eq!(client.read().expect("an answer").body, b"elsewhere");
    assert_eq!(written.load(Ordering::SeqCst), 0);
}
