//! How soon a process that starts is ready: `GET /up` answers 200.

mod loopback;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use loopback::*;
use socket2::{Domain, Socket, Type};

/// Nine in ten of the processes that start are ready within this time.
const READY: Duration = Duration::from_secs(10);
/// The same where a day ends sooner, which one process beside few others keeps.
const READY_ALONE: Duration = Duration::from_secs(6);

/// Asks until it is up; how long it took since `began`.
fn up_after(address: SocketAddr, began: Instant) -> Duration {
    loop {
        if Client::connect(address).get("/up").is_some_and(|got| got.status() == 200) {
            return began.elapsed();
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "it is not up after {:?}", began.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A port that is taken and not listened on: connections to it are refused, and nobody else gets it.
fn refusing() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket
}

fn address_of(socket: &Socket) -> SocketAddr {
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Ways for discovery to be down, each for as long as its socket is kept.
fn downs() -> [(&'static str, SocketAddr, Socket); 3] {
    let refusing = refusing();
    let hanging = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let taking = silent.try_clone().unwrap();
    std::thread::spawn(move || taking.incoming().flatten().collect::<Vec<TcpStream>>());
    [
        ("refuses", address_of(&refusing), refusing),
        ("hangs", hanging.local_addr().unwrap(), hanging.into()),
        ("says nothing", silent.local_addr().unwrap(), silent.into()),
    ]
}

fn modes() -> [String; 2] {
    ["automatic", "subscribe"].map(|mode| SETTINGS_JSON.replace("automatic", mode))
}

#[test]
fn with_a_known_list_it_is_up_at_once_though_discovery_is_down() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    for settings in modes() {
        for (how, address, _kept) in downs() {
            let began = Instant::now();
            let text = config_json("127.0.0.1:0", address, &ready_hosts(&[&upstream]), 256, &settings);
            let sidecar = Sidecar::start(&text);
            let took = up_after(sidecar.address, began);
            assert!(took < Duration::from_secs(2), "{how}: up after {took:?}");
            assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{how}");
        }
    }
}

/// Lists that are of no use, and whether the log has to say so.
const USELESS: [(&str, bool); 9] = [
    ("null", false),
    (r#"{"seq":0,"whole":true,"hosts":[]}"#, false),
    ("[]", true),
    ("7", true),
    (r#""gone""#, true),
    (r#"{"seq":41}"#, true),
    (r#"{"seq":41,"whole":true,"hosts":{}}"#, true),
    (r#"{"seq":-1,"whole":true,"hosts":[7]}"#, true),
    (r#"{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"nowhere","health":"ready"},null]}"#, true),
];

#[test]
fn without_any_list_it_is_up_in_time_and_refuses() {
    let waiting: Vec<_> = modes()
        .into_iter()
        .flat_map(|settings| USELESS.map(|(known, told)| (settings.clone(), known, told)))
        .enumerate()
        .map(|(number, (settings, known, told))| {
            std::thread::spawn(move || {
                // One after another, each way for one in three.
                let (how, address, _kept) = downs().into_iter().nth(number % 3).unwrap();
                let began = Instant::now();
                let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, known, 256, &settings));
                let first = Client::connect(sidecar.address).get("/up").map(|answer| answer.status());
                let early = began.elapsed() < Duration::from_secs(2);
                assert!(first == Some(503) || !early, "{known}, {how}: {first:?} at first");
                let took = up_after(sidecar.address, began);
                assert!(took < READY_ALONE, "{known}, {how}: up after {took:?}");
                let mut client = Client::connect(sidecar.address);
                for class in ["fetch", "bill"] {
                    let answer = client.exchange(class);
                    assert_eq!(answer.status(), 503, "{known}, {how}");
                    assert!(answer.header("retry-after").is_some(), "{known}, {how}");
                }
                sidecar.wait_for_log("no list of upstreams yet");
                let log = sidecar.log.lock().unwrap();
                assert_eq!(log.iter().any(|line| line.contains("cannot be read")), told, "{known}: {log:?}");
            })
        })
        .collect();
    waiting.into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn a_broken_known_list_loses_nothing() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Behaviour::ok("served")));
    let sound = host_entry("a", a.address, "ready");
    let nobody = refusing();
    // What can be read of it is used.
    for known in [
        format!(r#"{{"seq":41,"whole":true,"hosts":[{sound},{{"host":"b","dial":7}}]}}"#),
        format!(r#"{{"seq":5,"whole":true,"hosts":[7,{sound}]}}"#),
        format!(r#"{{"seq":"x","whole":"y","hosts":[{sound}]}}"#),
        format!(r#"{{"hosts":[{sound},{{}}]}}"#),
    ] {
        let sidecar =
            Sidecar::start(&config_json("127.0.0.1:0", address_of(&nobody), &known, 256, SETTINGS_JSON));
        sidecar.wait_until_up();
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{known}");
        let discovery = Discovery::new(&host_list(41, true, std::slice::from_ref(&sound)));
        sidecar.reload(&config_json("127.0.0.1:0", discovery.address, &known, 256, SETTINGS_JSON));
        wait_until("all there is is asked for", || discovery.watches().iter().any(|w| w.contains("from=0 ")));
    }
    // And discovery makes up for the rest: it is asked for all that there is.
    for (known, _) in USELESS.into_iter().skip(2) {
        let discovery = Discovery::new(&host_list(41, true, &[host_entry("b", b.address, "ready")]));
        let sidecar =
            Sidecar::start(&config_json("127.0.0.1:0", discovery.address, known, 256, SETTINGS_JSON));
        sidecar.wait_until_up();
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200, "{known}");
        assert!(discovery.watches()[0].contains("from=0 "), "{known}");
        // Nor does it keep a new configuration from being taken over.
        let next = Discovery::new(&host_list(42, true, &[host_entry("a", a.address, "ready")]));
        let before = a.requests().len();
        sidecar.reload(&config_json("127.0.0.1:0", next.address, known, 256, SETTINGS_JSON));
        wait_until("the new discovery is heard", || {
            Client::connect(sidecar.address).exchange("fetch").status() == 200 && a.requests().len() > before
        });
    }
}

/// Discovery for many watches, each answered at once with this.
fn agent(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let watches = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
    let kept = watches.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = read_message(&mut BufReader::new(&stream));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
            kept.lock().unwrap().push(stream);
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

/// A process of which only the time until it is ready counts; ended when this is dropped.
struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts so many at once; how long each took from the moment in which all were started, in order.
fn start_at_once(count: usize, config: &str) -> Vec<Duration> {
    let start = Arc::new(Barrier::new(count));
    let threads: Vec<_> = (0..count)
        .map(|_| {
            let (start, config) = (start.clone(), config.to_owned());
            std::thread::spawn(move || {
                start.wait();
                let began = Instant::now();
                let mut started = Started(spawn_sidecar(&config));
                let mut errors = BufReader::new(started.0.stderr.take().unwrap());
                let mut address = None;
                while address.is_none() {
                    let mut line = String::new();
                    assert!(errors.read_line(&mut line).unwrap() > 0, "it has ended");
                    address = line.split_once("listening on ").and_then(|(_, at)| at.trim().parse().ok());
                }
                std::thread::spawn(move || errors.read_to_end(&mut Vec::new()));
                (up_after(address.unwrap(), began), started)
            })
        })
        .collect();
    // All run until the last is ready.
    let (mut times, _started): (Vec<_>, Vec<_>) = threads.into_iter().map(|t| t.join().unwrap()).unzip();
    times.sort();
    times
}

#[test]
fn of_300_that_start_at_once_nine_in_ten_are_ready_in_time() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let many: Vec<String> =
        (0..200).map(|n| host_entry(&format!("s{n}"), upstream.address, "ready")).collect();
    let discovery = agent(host_list(41, true, &many));
    // Without a list of its own each has to hear from discovery.
    let times = start_at_once(300, &config_json("127.0.0.1:0", discovery, "null", 256, SETTINGS_JSON));
    let (median, ninth, last) = (times[149], times[269], times[299]);
    println!("300 at once: median {median:.2?}, nine in ten {ninth:.2?}, last {last:.2?}");
    assert!(ninth < READY, "nine in ten are ready after {ninth:?}");
}

#[test]
fn of_300_that_start_at_once_without_any_list_nine_in_ten_are_ready_in_time() {
    let nobody = refusing();
    let times =
        start_at_once(300, &config_json("127.0.0.1:0", address_of(&nobody), "null", 256, SETTINGS_JSON));
    let (median, ninth, last) = (times[149], times[269], times[299]);
    println!("300 at once, no list: median {median:.2?}, nine in ten {ninth:.2?}, last {last:.2?}");
    assert!(ninth < READY, "nine in ten are ready after {ninth:?}");
}
