//! The file-descriptor budget: however many connections clients hold open, discovery and upstreams get descriptors, and
//! the process stays within its limit.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loopback::*;

/// The time within which a new client must get a response or a close.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(3);
/// The time within which a change must be applied once discovery responds again.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// A discovery server that can be made unresponsive: it then accepts calls and never responds to them.
struct InterruptibleDiscovery {
    address: SocketAddr,
    responsive: Arc<AtomicBool>,
    call_count: Arc<AtomicUsize>,
    /// The open watches.
    watches: Arc<Mutex<Vec<TcpStream>>>,
}

impl InterruptibleDiscovery {
    /// Starts an unresponsive server that will send this host list on its watches.
    fn start_unresponsive(list: String) -> InterruptibleDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = InterruptibleDiscovery {
            address: listener.local_addr().unwrap(),
            responsive: Arc::default(),
            call_count: Arc::default(),
            watches: Arc::default(),
        };
        let (responsive, call_count, watches) =
            (discovery.responsive.clone(), discovery.call_count.clone(), discovery.watches.clone());
        std::thread::spawn(move || {
            let mut hanging_calls = Vec::new();
            for mut stream in listener.incoming().flatten() {
                call_count.fetch_add(1, Ordering::SeqCst);
                if !responsive.load(Ordering::SeqCst) {
                    hanging_calls.push(stream);
                    continue;
                }
                stream.set_read_timeout(Some(MAX_CLIENT_WAIT)).unwrap();
                let _ = read_message(&mut BufReader::new(&stream));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1);
                watches.lock().unwrap().push(stream);
            }
        });
        let watches = discovery.watches.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(1));
                watches.lock().unwrap().retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
            }
        });
        discovery
    }

    /// Responds to later calls.
    fn resume(&self) {
        self.responsive.store(true, Ordering::SeqCst);
    }

    /// Closes all watches and becomes unresponsive.
    fn interrupt(&self) {
        self.responsive.store(false, Ordering::SeqCst);
        self.watches.lock().unwrap().clear();
    }
}

/// Clients that connect, send nothing, and reconnect as soon as they are closed.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl IdleClients {
    /// Keeps `count` clients connected until dropped.
    fn new(address: SocketAddr, count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !stop_requested.load(Ordering::SeqCst) {
                open.retain(|stream| {
                    let peeked = stream.peek(&mut [0]);
                    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
                });
                while open.len() < count {
                    let Ok(stream) = TcpStream::connect(address) else { break };
                    stream.set_nonblocking(true).unwrap();
                    open.push(stream);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        IdleClients { stop, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// The number of descriptors that the sidecar has open.
fn open_descriptors(sidecar: &Sidecar) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).unwrap().count()
}

/// Sends a request on a new connection and returns the status, or `None` if the connection was closed without a
/// response. Either must happen within [`MAX_CLIENT_WAIT`].
fn request_status(address: SocketAddr) -> Option<u16> {
    let start = Instant::now();
    let mut client = Client::connect(address);
    client.send("fetch", 2_500);
    let status = client.read().map(|response| response.status());
    assert!(start.elapsed() < MAX_CLIENT_WAIT, "a new client waited {:?} for {status:?}", start.elapsed());
    status
}

fn assert_running_without_panic(sidecar: &mut Sidecar) {
    assert!(sidecar.child.try_wait().unwrap().is_none(), "the sidecar has exited");
    let log = sidecar.log.lock().unwrap();
    assert!(!log.iter().any(|line| line.contains("panicked")), "{log:?}");
}

/// The default settings in either membership mode.
fn settings_per_membership_mode() -> [String; 2] {
    ["automatic", "subscribe"].map(|mode| SETTINGS_JSON.replace("automatic", mode))
}

/// Sends requests until one reaches an upstream that only discovery lists, which must happen by the deadline.
fn assert_served_by(sidecar: &Sidecar, upstream: &Upstream, deadline: Instant) {
    while upstream.requests().is_empty() {
        request_status(sidecar.address);
        assert!(
            Instant::now() < deadline,
            "the host list was not applied: {:?}",
            sidecar.log.lock().unwrap()
        );
    }
}

/// Checks that, with a configured and an actual descriptor limit, changes are applied once discovery is responsive:
/// after it was unresponsive from the start, after an interruption, and at a new address.
fn assert_discovery_recovers(configured_limit: usize, actual_limit: usize) {
    for settings in settings_per_membership_mode() {
        let [a, b, c, d] = [0; 4].map(|_| Upstream::new(|_| Behaviour::ok("served")));
        let discovery = InterruptibleDiscovery::start_unresponsive(host_list(
            6,
            true,
            &[host_entry("b", b.address, "ready")],
        ));
        let config =
            |address, known: &str| config_json("127.0.0.1:0", address, known, configured_limit, &settings);
        let initial_config = config(discovery.address, &ready_hosts(&[&a]));
        let mut sidecar = Sidecar::start_with_descriptor_limit(&initial_config, Some(actual_limit as u32));
        sidecar.wait_until_up();
        let idle_clients = IdleClients::new(sidecar.address, 2 * actual_limit);
        // Time for the maximum number of calls to hang.
        std::thread::sleep(Duration::from_millis(4_500));
        let served = (0..20).filter(|_| request_status(sidecar.address) == Some(200)).count();
        assert!(served >= 10, "{served} of 20 new clients were served: {:?}", sidecar.log.lock().unwrap());
        discovery.resume();
        assert_served_by(&sidecar, &b, Instant::now() + UPDATE_DEADLINE);
        discovery.interrupt();
        std::thread::sleep(Duration::from_millis(2_000));
        let next = InterruptibleDiscovery::start_unresponsive(host_list(
            7,
            true,
            &[host_entry("c", c.address, "ready")],
        ));
        sidecar.reload(&config(next.address, "null"));
        std::thread::sleep(Duration::from_millis(2_000));
        next.resume();
        assert_served_by(&sidecar, &c, Instant::now() + UPDATE_DEADLINE);
        let last = InterruptibleDiscovery::start_unresponsive(host_list(
            8,
            true,
            &[host_entry("d", d.address, "ready")],
        ));
        last.resume();
        sidecar.reload(&config(last.address, "null"));
        assert_served_by(&sidecar, &d, Instant::now() + UPDATE_DEADLINE);
        drop(idle_clients);
        assert_running_without_panic(&mut sidecar);
    }
}

#[test]
fn discovery_recovers_while_idle_clients_exhaust_a_limit_of_256() {
    assert_discovery_recovers(256, 256);
}

#[test]
fn discovery_recovers_while_idle_clients_exhaust_a_limit_of_64() {
    assert_discovery_recovers(64, 64);
}

#[test]
fn discovery_recovers_when_the_actual_limit_is_below_the_configured_one() {
    assert_discovery_recovers(1024, 64);
}

/// The highest number of open descriptors while clients, upstreams and discovery use as many as they can.
fn peak_open_descriptors(limit: usize, settings: &str) -> usize {
    // More upstreams than the connection limit, so that idle connections to them reach it.
    let behaviour = |message: &Message| {
        if message.start_line.starts_with("POST") { Behaviour::NoResponse } else { Behaviour::ok("served") }
    };
    let upstreams: Vec<Upstream> = (0..limit / 2).map(|_| Upstream::new(behaviour)).collect();
    let entry =
        |(index, upstream): (usize, &Upstream)| host_entry(&format!("s{index}"), upstream.address, "ready");
    let known = host_list(5, true, &upstreams.iter().enumerate().map(entry).collect::<Vec<_>>());
    let discovery = InterruptibleDiscovery::start_unresponsive(String::new());
    // The process runs without a limit of its own, so that an excess would show.
    let mut sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, limit, settings));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    let start = Instant::now();
    while open_descriptors(&sidecar) < limit / 2 && start.elapsed() < WAIT_TIMEOUT {
        client.send("fetch", 4_000);
        if client.read().is_none() {
            client = Client::connect(sidecar.address);
        }
    }
    let address = sidecar.address;
    let stop = Arc::new(AtomicBool::new(false));
    let busy_clients: Vec<_> = (0..limit)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
                    let mut client = Client { reader: BufReader::new(stream) };
                    client.send("bill", 4_000);
                    client.read();
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let idle_clients = IdleClients::new(address, limit);
    let peak_during = |duration: Duration| {
        let start = Instant::now();
        let mut peak = 0;
        while start.elapsed() < duration {
            peak = peak.max(open_descriptors(&sidecar));
            std::thread::sleep(Duration::from_millis(2));
        }
        peak
    };
    let peak_before_reload = peak_during(Duration::from_millis(6_000));
    // Discovery moves to a new address while calls to the old one hang.
    let next = InterruptibleDiscovery::start_unresponsive(String::new());
    sidecar.reload(&config_json("127.0.0.1:0", next.address, "null", limit, settings));
    let peak_after_reload = peak_during(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    drop(idle_clients);
    assert_running_without_panic(&mut sidecar);
    assert!(next.call_count.load(Ordering::SeqCst) > 0, "the new address was not called");
    drop(sidecar);
    busy_clients.into_iter().for_each(|client| client.join().unwrap());
    peak_before_reload.max(peak_after_reload)
}

fn assert_descriptor_limit_is_kept(limit: usize) {
    for settings in settings_per_membership_mode() {
        let peak = peak_open_descriptors(limit, &settings);
        println!("peak of {peak} open descriptors with a limit of {limit}");
        assert!(peak <= limit, "{peak} descriptors were open with a limit of {limit}");
        // A lower peak means that the test has not put the limit under pressure.
        assert!(peak + 16 >= limit, "only {peak} descriptors were open with a limit of {limit}");
    }
}

#[test]
fn open_descriptors_stay_within_a_limit_of_256() {
    assert_descriptor_limit_is_kept(256);
}

#[test]
fn open_descriptors_stay_within_a_limit_of_64() {
    assert_descriptor_limit_is_kept(64);
}

#[test]
fn upstreams_are_not_ejected_when_descriptors_run_out() {
    let slow_response = |_: &Message| {
        std::thread::sleep(Duration::from_millis(200));
        Behaviour::ok("served")
    };
    let upstreams: Vec<Upstream> = (0..6).map(|_| Upstream::new(slow_response)).collect();
    let known = ready_hosts(&upstreams.iter().collect::<Vec<_>>());
    let discovery = Discovery::new(&known);
    // The actual limit is far below the configured one.
    let config = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON);
    let mut sidecar = Sidecar::start_with_descriptor_limit(&config, Some(64));
    sidecar.wait_until_up();
    let address = sidecar.address;
    let idle_clients = IdleClients::new(address, 60);
    let clients: Vec<_> = (0..60)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                (0..5)
                    .filter(|_| {
                        client.send("bill", 6_000);
                        let status = client.read().map(|response| response.status());
                        client = Client::connect(address);
                        status == Some(200)
                    })
                    .count()
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    drop(idle_clients);
    assert_running_without_panic(&mut sidecar);
    let log = sidecar.log.lock().unwrap();
    // Either an accept or an attempt has found no free descriptor.
    assert!(
        log.iter().any(|line| line.contains("out of descriptors")),
        "descriptors did not run out: {log:?}"
    );
    let blames_upstream = |line: &&String| line.contains("ejected") || line.contains("cannot connect");
    assert_eq!(log.iter().find(blames_upstream), None);
    assert!(served >= 100, "{served} of 300 requests were served");
}
