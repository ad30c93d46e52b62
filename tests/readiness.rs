//! Time until a started sidecar is ready, that is until `GET /up` responds with status 200.

mod loopback;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use loopback::*;
use socket2::{Domain, Socket, Type};

/// Time within which 90 % of sidecars that start at once must be ready.
const P90_READY_LIMIT: Duration = Duration::from_secs(10);
/// Time within which a sidecar must be ready if few others start at the same time.
const READY_LIMIT: Duration = Duration::from_secs(6);

/// Polls `/up` until the sidecar is ready; returns the time since `start`.
fn time_until_up(address: SocketAddr, start: Instant) -> Duration {
    loop {
        if Client::connect(address).get("/up").is_some_and(|response| response.status() == 200) {
            return start.elapsed();
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "not up after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A bound port without a listener: connections to it are refused, and no other process can take it.
fn refusing_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket
}

fn address_of(socket: &Socket) -> SocketAddr {
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// An address at which discovery is down for as long as the socket is open.
struct UnavailableDiscovery {
    failure: &'static str,
    address: SocketAddr,
    _socket: Socket,
}

/// Discovery servers that are down in different ways.
fn unavailable_discovery_servers() -> [UnavailableDiscovery; 3] {
    let refusing = refusing_socket();
    let never_accepts = TcpListener::bind("127.0.0.1:0").unwrap();
    let never_responds = TcpListener::bind("127.0.0.1:0").unwrap();
    let accepting = never_responds.try_clone().unwrap();
    std::thread::spawn(move || accepting.incoming().flatten().collect::<Vec<TcpStream>>());
    [
        UnavailableDiscovery {
            failure: "connection refused",
            address: address_of(&refusing),
            _socket: refusing,
        },
        UnavailableDiscovery {
            failure: "connection never accepted",
            address: never_accepts.local_addr().unwrap(),
            _socket: never_accepts.into(),
        },
        UnavailableDiscovery {
            failure: "no response",
            address: never_responds.local_addr().unwrap(),
            _socket: never_responds.into(),
        },
    ]
}

/// The default settings in either membership mode.
fn settings_per_membership_mode() -> [String; 2] {
    ["automatic", "subscribe"].map(|mode| SETTINGS_JSON.replace("automatic", mode))
}

#[test]
fn sidecar_with_a_known_list_is_up_at_once_without_discovery() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    for settings in settings_per_membership_mode() {
        for UnavailableDiscovery { failure, address, _socket } in unavailable_discovery_servers() {
            let start = Instant::now();
            let config = config_json("127.0.0.1:0", address, &ready_hosts(&[&upstream]), 256, &settings);
            let sidecar = Sidecar::start(&config);
            let elapsed = time_until_up(sidecar.address, start);
            assert!(elapsed < Duration::from_secs(2), "{failure}: up after {elapsed:?}");
            assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{failure}");
        }
    }
}

/// A known host list without any valid entry.
#[derive(Clone, Copy)]
struct UnusableList {
    known: &'static str,
    /// Whether the sidecar must log an error.
    logs_error: bool,
}

const UNUSABLE_LISTS: [UnusableList; 9] = [
    UnusableList { known: "null", logs_error: false },
    UnusableList { known: r#"{"seq":0,"whole":true,"hosts":[]}"#, logs_error: false },
    UnusableList { known: "[]", logs_error: true },
    UnusableList { known: "7", logs_error: true },
    UnusableList { known: r#""gone""#, logs_error: true },
    UnusableList { known: r#"{"seq":41}"#, logs_error: true },
    UnusableList { known: r#"{"seq":41,"whole":true,"hosts":{}}"#, logs_error: true },
    UnusableList { known: r#"{"seq":-1,"whole":true,"hosts":[7]}"#, logs_error: true },
    UnusableList {
        known: r#"{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"nowhere","health":"ready"},null]}"#,
        logs_error: true,
    },
];

#[test]
fn sidecar_without_any_list_is_up_in_time_and_refuses_requests() {
    let threads: Vec<_> = settings_per_membership_mode()
        .into_iter()
        .flat_map(|settings| UNUSABLE_LISTS.map(|list| (settings.clone(), list)))
        .enumerate()
        .map(|(number, (settings, UnusableList { known, logs_error }))| {
            std::thread::spawn(move || {
                // Each kind of failure for a third of the cases.
                let UnavailableDiscovery { failure, address, _socket } =
                    unavailable_discovery_servers().into_iter().nth(number % 3).unwrap();
                let start = Instant::now();
                let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, known, 256, &settings));
                let first_status =
                    Client::connect(sidecar.address).get("/up").map(|response| response.status());
                let early = start.elapsed() < Duration::from_secs(2);
                assert!(
                    first_status == Some(503) || !early,
                    "{known}, {failure}: first status {first_status:?}"
                );
                let elapsed = time_until_up(sidecar.address, start);
                assert!(elapsed < READY_LIMIT, "{known}, {failure}: up after {elapsed:?}");
                let mut client = Client::connect(sidecar.address);
                for class in ["fetch", "bill"] {
                    let response = client.exchange(class);
                    assert_eq!(response.status(), 503, "{known}, {failure}");
                    assert!(response.header("retry-after").is_some(), "{known}, {failure}");
                }
                sidecar.wait_for_log("no list of upstreams yet");
                let log = sidecar.log.lock().unwrap();
                assert_eq!(
                    log.iter().any(|line| line.contains("cannot be read")),
                    logs_error,
                    "{known}: {log:?}"
                );
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn invalid_known_list_is_replaced_by_a_snapshot() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let valid_entry = host_entry("a", a.address, "ready");
    let refusing = refusing_socket();
    // The valid entries are used.
    for known in [
        format!(r#"{{"seq":41,"whole":true,"hosts":[{valid_entry},{{"host":"b","dial":7}}]}}"#),
        format!(r#"{{"seq":5,"whole":true,"hosts":[7,{valid_entry}]}}"#),
        format!(r#"{{"seq":"x","whole":"y","hosts":[{valid_entry}]}}"#),
        format!(r#"{{"hosts":[{valid_entry},{{}}]}}"#),
    ] {
        let sidecar =
            Sidecar::start(&config_json("127.0.0.1:0", address_of(&refusing), &known, 256, SETTINGS_JSON));
        sidecar.wait_until_up();
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{known}");
        let discovery = Discovery::new(&host_list(41, true, std::slice::from_ref(&valid_entry)));
        sidecar.reload(&config_json("127.0.0.1:0", discovery.address, &known, 256, SETTINGS_JSON));
        wait_until("the sidecar requests a snapshot", || {
            discovery.watches().iter().any(|watch| watch.contains("from=0 "))
        });
    }
    // A list without any valid entry: the sidecar requests a snapshot. The first two cases are a missing list and an
    // empty one, which are not invalid.
    for UnusableList { known, .. } in UNUSABLE_LISTS.into_iter().skip(2) {
        let discovery = Discovery::new(&host_list(41, true, &[host_entry("b", b.address, "ready")]));
        let sidecar =
            Sidecar::start(&config_json("127.0.0.1:0", discovery.address, known, 256, SETTINGS_JSON));
        sidecar.wait_until_up();
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{known}");
        assert!(discovery.watches()[0].contains("from=0 "), "{known}");
        // A new configuration with such a list is accepted.
        let new_discovery = Discovery::new(&host_list(42, true, &[host_entry("a", a.address, "ready")]));
        let requests_before = a.requests().len();
        sidecar.reload(&config_json("127.0.0.1:0", new_discovery.address, known, 256, SETTINGS_JSON));
        wait_until("the sidecar sends to the upstream of the new discovery", || {
            Client::connect(sidecar.address).exchange("fetch").status() == 200
                && a.requests().len() > requests_before
        });
    }
}

/// Starts a discovery server that serves many watches concurrently and sends this host list on each at once.
fn start_concurrent_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let watches = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
    let opened_watches = watches.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = read_message(&mut BufReader::new(&stream));
            let header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{header}{:x}\r\n{list}\n\r\n", list.len() + 1);
            opened_watches.lock().unwrap().push(stream);
        }
    });
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_secs(1));
            watches.lock().unwrap().retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
        }
    });
    address
}

/// A sidecar process that is killed when this is dropped.
struct SidecarProcess(Child);

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts `count` sidecars at once; returns the times until they were ready, sorted.
fn start_sidecars(count: usize, config: &str) -> Vec<Duration> {
    let barrier = Arc::new(Barrier::new(count));
    let threads: Vec<_> = (0..count)
        .map(|_| {
            let (barrier, config) = (barrier.clone(), config.to_owned());
            std::thread::spawn(move || {
                barrier.wait();
                let start = Instant::now();
                let mut process = SidecarProcess(spawn_sidecar(&config));
                let mut log = BufReader::new(process.0.stderr.take().unwrap());
                let mut address = None;
                while address.is_none() {
                    let mut line = String::new();
                    assert!(log.read_line(&mut line).unwrap() > 0, "the sidecar has exited");
                    address = line.split_once("listening on ").and_then(|(_, text)| text.trim().parse().ok());
                }
                std::thread::spawn(move || log.read_to_end(&mut Vec::new()));
                (time_until_up(address.unwrap(), start), process)
            })
        })
        .collect();
    // No process is killed before all are ready.
    let (mut times, _processes): (Vec<_>, Vec<_>) =
        threads.into_iter().map(|thread| thread.join().unwrap()).unzip();
    times.sort();
    times
}

#[test]
fn p90_of_300_sidecars_started_at_once_is_ready_in_time() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let entries: Vec<String> =
        (0..200).map(|number| host_entry(&format!("s{number}"), upstream.address, "ready")).collect();
    let discovery = start_concurrent_discovery(host_list(41, true, &entries));
    // Without a known list each sidecar needs a snapshot from discovery.
    let times = start_sidecars(300, &config_json("127.0.0.1:0", discovery, "null", 256, SETTINGS_JSON));
    let (median, p90, max) = (times[149], times[269], times[299]);
    println!("300 at once: median {median:.2?}, p90 {p90:.2?}, max {max:.2?}");
    assert!(p90 < P90_READY_LIMIT, "90 % are ready after {p90:?}");
}

#[test]
fn p90_of_300_sidecars_started_at_once_without_any_list_is_ready_in_time() {
    let refusing = refusing_socket();
    let times =
        start_sidecars(300, &config_json("127.0.0.1:0", address_of(&refusing), "null", 256, SETTINGS_JSON));
    let (median, p90, max) = (times[149], times[269], times[299]);
    println!("300 at once, no list: median {median:.2?}, p90 {p90:.2?}, max {max:.2?}");
    assert!(p90 < P90_READY_LIMIT, "90 % are ready after {p90:?}");
}
