//! The budget of descriptors: whatever clients hold, discovery and the servers get their sockets.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use loopback::*;

/// A newcomer is owed an answer or a close in this time.
const OWED: Duration = Duration::from_secs(3);
/// What discovery has to tell counts as told at the latest this long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Discovery that hangs for as long as it is down: it takes calls and says nothing on them, also later.
struct Agent {
    address: SocketAddr,
    up: Arc<AtomicBool>,
    calls: Arc<AtomicUsize>,
    answered: Arc<Mutex<Vec<TcpStream>>>,
}

impl Agent {
    /// One that is down and will tell this.
    fn down(list: String) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            up: Arc::default(),
            calls: Arc::default(),
            answered: Arc::default(),
        };
        let (up, calls, answered) = (agent.up.clone(), agent.calls.clone(), agent.answered.clone());
        std::thread::spawn(move || {
            let mut unanswered = Vec::new();
            for mut stream in listener.incoming().flatten() {
                calls.fetch_add(1, Ordering::SeqCst);
                if !up.load(Ordering::SeqCst) {
                    unanswered.push(stream);
                    continue;
                }
                stream.set_read_timeout(Some(OWED)).unwrap();
                let _ = read_message(&mut BufReader::new(&stream));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1);
                answered.lock().unwrap().push(stream);
            }
        });
        let answered = agent.answered.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(1));
                answered.lock().unwrap().retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
            }
        });
        agent
    }

    fn returns(&self) {
        self.up.store(true, Ordering::SeqCst);
    }

    /// Ends all watches and hangs from now on.
    fn fails(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.answered.lock().unwrap().clear();
    }
}

/// Clients that connect, say nothing and come again as soon as they are closed.
struct Idlers {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Idlers {
    /// So many at a time.
    fn new(address: SocketAddr, count: usize) -> Idlers {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                open.retain(|stream| {
                    let closed = stream.peek(&mut [0]);
                    matches!(closed, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
                });
                while open.len() < count {
                    let Ok(stream) = TcpStream::connect(address) else { break };
                    stream.set_nonblocking(true).unwrap();
                    open.push(stream);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Idlers { stop, thread: Some(thread) }
    }
}

impl Drop for Idlers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// The descriptors that the program holds.
fn held(sidecar: &Sidecar) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).unwrap().count()
}

/// Asks as a newcomer. Closed without an answer it comes again, as a client does: what counts is the time until
/// an answer or a close.
fn newcomer(address: SocketAddr) -> Option<u16> {
    let began = Instant::now();
    let mut client = Client::connect(address);
    client.send("fetch", 2_500);
    let status = client.read().map(|answer| answer.status());
    assert!(began.elapsed() < OWED, "a newcomer waited {:?} for {status:?}", began.elapsed());
    status
}

fn assert_in_order(sidecar: &mut Sidecar) {
    assert!(sidecar.child.try_wait().unwrap().is_none(), "it runs on");
    let log = sidecar.log.lock().unwrap();
    assert!(!log.iter().any(|line| line.contains("panicked")), "{log:?}");
}

fn modes() -> [String; 2] {
    ["automatic", "subscribe"].map(|mode| SETTINGS_JSON.replace("automatic", mode))
}

/// Waits for the server that only discovery knows, with newcomers whom others crowd.
fn serves_in_time(sidecar: &Sidecar, newly: &Upstream, by: Instant) {
    while newly.requests().is_empty() {
        newcomer(sidecar.address);
        assert!(Instant::now() < by, "discovery was not heard: {:?}", sidecar.log.lock().unwrap());
    }
}

/// With the limit that the process is told of, or `real`, discovery is heard when it returns: after it was down
/// from the start, after it went down, and at a new address.
fn discovery_is_heard(sockets: usize, real: usize) {
    for settings in modes() {
        let [a, b, c, d] = [0; 4].map(|_| Upstream::new(|_| Behaviour::ok("served")));
        let agent = Agent::down(host_list(6, true, &[host_entry("b", b.address, "ready")]));
        let text = |address, known: &str| config_json("127.0.0.1:0", address, known, sockets, &settings);
        let first = text(agent.address, &ready_hosts(&[&a]));
        let mut sidecar = Sidecar::start_with_descriptor_limit(&first, Some(real as u32));
        sidecar.wait_until_up();
        let idlers = Idlers::new(sidecar.address, 2 * real);
        // Long enough for as many calls to hang as may.
        std::thread::sleep(Duration::from_millis(4_500));
        let served = (0..20).filter(|_| newcomer(sidecar.address) == Some(200)).count();
        assert!(served >= 10, "{served} of 20 newcomers were served: {:?}", sidecar.log.lock().unwrap());
        agent.returns();
        serves_in_time(&sidecar, &b, Instant::now() + TOLD);
        agent.fails();
        std::thread::sleep(Duration::from_millis(2_000));
        let next = Agent::down(host_list(7, true, &[host_entry("c", c.address, "ready")]));
        sidecar.reload(&text(next.address, "null"));
        std::thread::sleep(Duration::from_millis(2_000));
        next.returns();
        serves_in_time(&sidecar, &c, Instant::now() + TOLD);
        let last = Agent::down(host_list(8, true, &[host_entry("d", d.address, "ready")]));
        last.returns();
        sidecar.reload(&text(last.address, "null"));
        serves_in_time(&sidecar, &d, Instant::now() + TOLD);
        drop(idlers);
        assert_in_order(&mut sidecar);
    }
}

#[test]
fn discovery_is_heard_while_idle_clients_hold_what_they_can_of_256() {
    discovery_is_heard(256, 256);
}

#[test]
fn discovery_is_heard_while_idle_clients_hold_what_they_can_of_64() {
    discovery_is_heard(64, 64);
}

#[test]
fn discovery_is_heard_though_the_real_limit_is_lower_than_the_configured_one() {
    discovery_is_heard(1024, 64);
}

/// The most descriptors held at once while clients, servers and discovery take all that they can.
fn most_held(sockets: usize, settings: &str) -> usize {
    // More servers than there may be connections to them: an idle one to each takes all that there may be.
    let deed = |message: &Message| {
        if message.start_line.starts_with("POST") { Behaviour::NoResponse } else { Behaviour::ok("served") }
    };
    let servers: Vec<Upstream> = (0..sockets / 2).map(|_| Upstream::new(deed)).collect();
    let entry =
        |(number, server): (usize, &Upstream)| host_entry(&format!("s{number}"), server.address, "ready");
    let known = host_list(5, true, &servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    let agent = Agent::down(String::new());
    // Without a real limit: more than it may hold must show.
    let mut sidecar = Sidecar::start(&config_json("127.0.0.1:0", agent.address, &known, sockets, settings));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    let warm = Instant::now();
    while held(&sidecar) < sockets / 2 && warm.elapsed() < WAIT_TIMEOUT {
        client.send("fetch", 4_000);
        if client.read().is_none() {
            client = Client::connect(sidecar.address);
        }
    }
    let address = sidecar.address;
    let stop = Arc::new(AtomicBool::new(false));
    let busy: Vec<_> = (0..sockets)
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
    let idlers = Idlers::new(address, sockets);
    let watch = |span: Duration| {
        let began = Instant::now();
        let mut most = 0;
        while began.elapsed() < span {
            most = most.max(held(&sidecar));
            std::thread::sleep(Duration::from_millis(2));
        }
        most
    };
    let before = watch(Duration::from_millis(6_000));
    // A new address, with the calls to the old one hanging.
    let next = Agent::down(String::new());
    sidecar.reload(&config_json("127.0.0.1:0", next.address, "null", sockets, settings));
    let after = watch(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    drop(idlers);
    assert_in_order(&mut sidecar);
    assert!(next.calls.load(Ordering::SeqCst) > 0, "the new address is called");
    drop(sidecar);
    busy.into_iter().for_each(|client| client.join().unwrap());
    before.max(after)
}

fn holds_no_more_than(sockets: usize) {
    for settings in modes() {
        let most = most_held(sockets, &settings);
        println!("{most} of {sockets} held");
        assert!(most <= sockets, "{most} descriptors are held of {sockets}");
        // Else this has not met the worst moment.
        assert!(most + 16 >= sockets, "only {most} descriptors were held of {sockets}");
    }
}

#[test]
fn it_holds_no_more_descriptors_than_256() {
    holds_no_more_than(256);
}

#[test]
fn it_holds_no_more_descriptors_than_64() {
    holds_no_more_than(64);
}

#[test]
fn no_server_is_blamed_for_a_lack_of_descriptors() {
    let slow = |_: &Message| {
        std::thread::sleep(Duration::from_millis(200));
        Behaviour::ok("served")
    };
    let servers: Vec<Upstream> = (0..6).map(|_| Upstream::new(slow)).collect();
    let known = ready_hosts(&servers.iter().collect::<Vec<_>>());
    let discovery = Discovery::new(&known);
    // Told that there are many, it finds that there are few.
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS_JSON);
    let mut sidecar = Sidecar::start_with_descriptor_limit(&text, Some(64));
    sidecar.wait_until_up();
    let address = sidecar.address;
    let idlers = Idlers::new(address, 60);
    let clients: Vec<_> = (0..60)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                (0..5)
                    .filter(|_| {
                        client.send("bill", 6_000);
                        let status = client.read().map(|answer| answer.status());
                        client = Client::connect(address);
                        status == Some(200)
                    })
                    .count()
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    drop(idlers);
    assert_in_order(&mut sidecar);
    let log = sidecar.log.lock().unwrap();
    // An accept or an attempt was the first to find none.
    assert!(log.iter().any(|line| line.contains("out of descriptors")), "it lacked none: {log:?}");
    let blamed = |line: &&String| line.contains("ejected") || line.contains("cannot connect");
    assert_eq!(log.iter().find(blamed), None);
    assert!(served >= 100, "{served} of 300 were served");
}
