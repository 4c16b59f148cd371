//! The project's own programs as separate processes, with the platform's stand-ins around them.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
};

const PROGRAM: &str = "target/release/waxwing-node";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Returns loopback addresses that differ between runs, so that the same port is free on each.
fn loopback(number: u8) -> IpAddr {
    let [high, low] = u16::try_from(std::process::id() % 60_000)
        .unwrap_or(1)
        .to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + high / 2, low, number))
}

/// Returns ports that are free at all addresses, for TCP and UDP.
fn free_ports(ips: &[IpAddr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut port = 20_000 + u16::try_from(std::process::id() % 8_000).unwrap_or(0);
    while ports.len() < count {
        port += 1;
        let is_free = ips.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        });
        if is_free {
            ports.push(port);
        }
    }
    ports
}

/// The platform's list of replicas, as bytes of JSON entries.
#[derive(Clone, Default)]
pub struct Platform {
    pub entries: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Platform {
    /// Serves the list in pages of 50 entries, and returns its address.
    pub fn start(&self, record: &Record) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = Arc::clone(&self.entries);
        let record = record.clone();
        http::serve(listener, move |connection| {
            let request = connection.read_message()?;
            let entries = entries.lock().unwrap().clone();
            record.line(&format!(
                "list: {} answered with {} entries",
                request.start,
                entries.len()
            ));
            let mut body = b"{\"Instances\":[".to_vec();
            body.extend_from_slice(&entries.join(&b","[..]));
            body.extend_from_slice(b"],\"Next\":null}");
            connection.send(&http::response(
                "200 OK",
                &[("Content-Type", "application/json")],
                &body,
            ))
        });
        Ok(address)
    }

    pub fn set(&self, entries: Vec<Vec<u8>>) {
        *self.entries.lock().unwrap() = entries;
    }
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub replica: String,
    pub request: String,
    pub at: Duration,
}

/// A sound replica of a plain service, which records what it runs.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (own, record, arrivals) = (id.to_owned(), record.clone(), Arc::clone(arrivals));
        http::serve(listener, move |connection| {
            answer(connection, &own, &record, &arrivals)
        });
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
        })
    }

    /// Returns the entry of the list.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":6,\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Models\":[],\"born\":1772000000000,\
             \"Id\":\"{}\"}}",
            self.service, self.address, self.id
        )
        .into_bytes()
    }
}

fn answer(
    connection: &mut Connection,
    own: &str,
    record: &Record,
    arrivals: &Mutex<Vec<Arrival>>,
) -> io::Result<()> {
    let request = connection.read_message()?;
    if request.path() == "/health" {
        let fields = [("X-Waxwinglatch-Instance-Id", own)];
        return connection.send(&http::response("200 OK", &fields, b""));
    }
    let id = request
        .field("x-waxwinglatch-request-id")
        .unwrap_or("-")
        .to_owned();
    let mut fields = vec![("X-Waxwinglatch-Request-Id", id.as_str())];
    if request
        .field("x-waxwinglatch-expect-instance")
        .is_some_and(|expected| expected != own)
    {
        fields.push(("X-Waxwinglatch-Not-Executed", "1"));
        return connection.send(&http::response("421 Misdirected Request", &fields, b""));
    }
    let at = record.now();
    record.line(&format!("run: {own} runs {id} {}", request.start));
    arrivals.lock().unwrap().push(Arrival {
        replica: own.to_owned(),
        request: id.clone(),
        at,
    });
    thread::sleep(Duration::from_millis(15));
    let stamp = format!("stamp.{own}.{id}");
    fields.push(("X-Waxwinglatch-Response-Stamp", &stamp));
    connection.send(&http::response(
        "200 OK",
        &fields,
        format!("answer to {id}").as_bytes(),
    ))
}

/// One process of the project.
pub struct Node {
    pub name: String,
    child: Child,
}

impl Node {
    pub fn signal(&self, signal: i32) {
        let process = i32::try_from(self.child.id()).unwrap_or(0);
        if process > 1 {
            // The process was started by this run and has not been waited for, so that its id is its own.
            unsafe { kill(process, signal) };
        }
    }
}

/// Number of the core's machines at the start, and of addresses for machines that replace them.
const CORE: u8 = 3;
const SPARE: u8 = 2;

/// A small deployment: three machines of the core and some of the edge, in one zone.
pub struct Fleet {
    pub coordinators: Vec<Node>,
    pub gateways: Vec<Node>,
    /// Addresses of the operators' API, also of machines that have not been added.
    pub control: Vec<SocketAddr>,
    pub front: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
    list: SocketAddr,
    ports: Vec<u16>,
    folder: PathBuf,
}

impl Fleet {
    pub fn start(gateways: u8, list: SocketAddr, record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let core: Vec<IpAddr> = (1..=CORE + SPARE).map(loopback).collect();
        let edge: Vec<IpAddr> = (11..11 + gateways).map(loopback).collect();
        let all: Vec<IpAddr> = core.iter().chain(&edge).copied().collect();
        let ports = free_ports(&all, 5);
        let at = |ips: &[IpAddr], port: u16| -> Vec<SocketAddr> {
            ips.iter().map(|ip| SocketAddr::new(*ip, port)).collect()
        };
        let mut fleet = Self {
            coordinators: Vec::new(),
            gateways: Vec::new(),
            control: at(&core, ports[2]),
            front: at(&edge, ports[3]),
            ready: at(&edge, ports[4]),
            list,
            ports,
            folder,
        };
        let seeds = [0, 1, 2];
        for number in seeds {
            let node = fleet.spawn_coordinator(number, &seeds, true)?;
            fleet.coordinators.push(node);
        }
        for number in 0..fleet.front.len() {
            let name = format!("edge-{}", number + 1);
            let listen = format!(
                "CountsAsLoss = false\n[Listen]\nFront = \"{}\"\nReady = \"{}\"\n",
                fleet.front[number], fleet.ready[number],
            );
            let ip = fleet.front[number].ip();
            let settings = fleet.settings(&name, "edge", ip, &seeds, true, &listen);
            let node = fleet.spawn(&name, "gateway", &settings)?;
            fleet.gateways.push(node);
        }
        record.line(&format!(
            "fleet: control {:?} front {:?}",
            &fleet.control[..usize::from(CORE)],
            fleet.front
        ));
        Ok(fleet)
    }

    /// Returns a settings file as the platform writes it.
    fn settings(
        &self,
        name: &str,
        serves: &str,
        ip: IpAddr,
        seeds: &[usize],
        is_bootstrap: bool,
        listen: &str,
    ) -> String {
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.control[*seed]));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let class = if serves == "edge" { "edge" } else { "core" };
        format!(
            "Node = \"{name}\"\nRole = \"{class}\"\nClass = \"{class}\"\nServes = [\"{serves}\"]\n\
             Ip = \"{ip}\"\nZone = \"z\"\nRegion = \"r\"\nPortRange = [{},{}]\nSeeds = [{seeds}]\n\
             Bootstrap = {is_bootstrap}\nDiscovery = \"cloud\"\nEntry = \"vip\"\nBeatMs = 1200\n\
             ConfigMode = \"highest\"\n{listen}\
             [Limits]\nCpuShare = 1.0\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n\
             DiskMb = 128\n[Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
             ReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\n\
             GraceS = 8\nLostSlackMs = 200\nConfigApplyMs = 2000\nRevertSlackMs = 250\n\
             SkewMaxMs = 5000\nRecoverS = 12\nFencing = true\nLeaseMs = 3000\nThawMs = 300\n\
             [Cloud]\nAddr = \"{}\"\nRatePerS = 47.0\nDuties = []\nLagMs = 800\n",
            self.ports[0], self.ports[1], self.list
        )
    }

    fn spawn_coordinator(
        &self,
        number: usize,
        seeds: &[usize],
        is_bootstrap: bool,
    ) -> io::Result<Node> {
        let name = format!("core-{}", number + 1);
        let data = self.data_folder(number);
        fs::create_dir_all(&data)?;
        let listen = format!(
            "CountsAsLoss = true\nDataDir = \"{}\"\n[Listen]\nControl = \"{}\"\n",
            data.display(),
            self.control[number],
        );
        let ip = self.control[number].ip();
        let settings = self.settings(&name, "control", ip, seeds, is_bootstrap, &listen);
        self.spawn(&name, "coordinator", &settings)
    }

    fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("core-{}", number + 1))
    }

    /// Adds a machine of the core with an empty disk at an address of its own, and returns its number.
    pub fn add_coordinator(&mut self, seeds: &[usize]) -> io::Result<usize> {
        let number = self.coordinators.len();
        let node = self.spawn_coordinator(number, seeds, false)?;
        self.coordinators.push(node);
        Ok(number)
    }

    /// Ends a coordinator as a loss of power does.
    pub fn kill_coordinator(&mut self, number: usize) -> io::Result<()> {
        let node = &mut self.coordinators[number];
        node.child.kill()?;
        node.child.wait().map(drop)
    }

    /// Lets connections to a machine that has ended hang, as those to one without power do, until the result is
    /// dropped. A loopback address refuses them otherwise.
    pub fn darken(&self, number: usize) -> io::Result<Vec<DarkPort>> {
        let ip = self.control[number].ip();
        let ports = [self.ports[0], self.ports[2]];
        ports
            .into_iter()
            .map(|port| DarkPort::open(SocketAddr::new(ip, port)))
            .collect()
    }

    /// Starts a coordinator that has ended with an empty disk, at its old address.
    pub fn restart_without_disk(&mut self, number: usize, seeds: &[usize]) -> io::Result<()> {
        fs::remove_dir_all(self.data_folder(number))?;
        self.coordinators[number] = self.spawn_coordinator(number, seeds, false)?;
        Ok(())
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) -> io::Result<Node> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("WAXWINGLATCH_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns whether all gateways say that they are ready, within a time.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let probe = http::request("GET", "/-/ready", "ready", &[], b"");
        while Instant::now() < end {
            let is_ready = |address: &SocketAddr| {
                let answer = http::call(*address, &probe, Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if self.ready.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies the last lines of a process's log into the record.
    pub fn copy_log(&self, name: &str, record: &Record, is_kept: impl Fn(&str) -> bool) {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        for line in log.lines().filter(|line| is_kept(line)) {
            record.line(&format!("log of {name}: {line}"));
        }
    }
}

/// A port that neither accepts nor refuses connections: its queue of new connections is full.
pub struct DarkPort {
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl DarkPort {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // The socket is listening already; this shortens its queue.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        Ok(Self {
            _listener: listener,
            _queued: queued,
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in self.coordinators.iter_mut().chain(&mut self.gateways) {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a configuration with one plain service and routes to it, each with name, prefix and kind.
pub fn config(version: u64, routes: &[(&str, &str, &str)]) -> Vec<u8> {
    let routes = routes.iter().map(|(name, prefix, kind)| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"a.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":2500,\"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"order-desk\",\
             \"Attempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false}}"
        )
    });
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"order-desk\",\
         \"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"shops\",\"ApiKeys\":[\"key-of-shops\"],\
         \"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":500000,\"Burst\":500000}}]}}",
        routes.collect::<Vec<_>>().join(",")
    )
    .into_bytes()
}

/// Answer of an operator's attempt, after at most two redirects.
pub struct Attempt {
    pub status: Option<u16>,
    pub hops: Vec<String>,
    pub answer: Option<Message>,
}

/// Sends a call of the operator to a daemon and follows a 307 twice.
pub fn operator_attempt(first: SocketAddr, request: impl Fn(&str, &str) -> Vec<u8>) -> Attempt {
    let (mut address, mut path) = (first, "/-/config".to_owned());
    let mut attempt = Attempt {
        status: None,
        hops: Vec::new(),
        answer: None,
    };
    for _ in 0..3 {
        let bytes = request(&path, &address.to_string());
        let answer = http::call(address, &bytes, Duration::from_secs(1));
        let Ok(answer) = answer else {
            attempt.hops.push(format!("{address} no answer"));
            attempt.status = None;
            return attempt;
        };
        attempt.hops.push(format!("{address} {}", answer.status()));
        attempt.status = Some(answer.status());
        let location = answer.field("location").map(str::to_owned);
        let is_redirect = answer.status() == 307;
        attempt.answer = Some(answer);
        let next = location.filter(|_| is_redirect).and_then(|location| {
            let rest = location.strip_prefix("http://")?.to_owned();
            let (host, path) = rest.split_once('/')?;
            Some((host.parse().ok()?, format!("/{path}")))
        });
        match next {
            Some((next_address, next_path)) => (address, path) = (next_address, next_path),
            None => return attempt,
        }
    }
    attempt
}

/// Publishes a configuration, as the operator does at the start: until it is acknowledged.
pub fn publish_first(fleet: &Fleet, document: &[u8], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let put = |path: &str, host: &str| {
        http::request(
            "PUT",
            path,
            host,
            &[("Content-Type", "application/json")],
            document,
        )
    };
    let mut turn = 0;
    while Instant::now() < end {
        let daemon = fleet.control[turn % usize::from(CORE)];
        if operator_attempt(daemon, put).status == Some(200) {
            return true;
        }
        turn += 1;
        thread::sleep(Duration::from_millis(200));
    }
    false
}
