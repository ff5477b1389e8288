//! Compares the packet path of the entry program with a bare UDP relay over loopback.
//!
//! The entry program and the relay each use one thread, and one system call to read a datagram and
//! one to send the datagram on. The relay makes no decision, so the difference between the ratio of
//! the two throughputs and 1 is the cost of headers, decisions and logs.

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bambooseam_config::LogSettings;
use bambooseam_entry::packets::Packets;
use bambooseam_entry::{BootClock, LastPacket, Node, Source};
use bambooseam_observe::{LogError, init_logs};
use bambooseam_replica::{Change, Changes};
use bambooseam_standin::site::{Flags, Packet};
use bambooseam_steer::{Steering, SteeringSettings};
use bambooseam_types::{Clock, Revision};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;
use tokio::task::LocalSet;

/// Length of one run.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Number of flows in a run.
const FLOWS: u16 = 2_000;
/// Size of the program's flow table; flows beyond the limit are placed again on each packet.
const FLOW_LIMIT: usize = 100;
/// Frontend address that callers send to.
const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("entry")
        .about("Compares the packet path of the entry program with a bare relay")
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("N")
                .default_value("12")
                .value_parser(value_parser!(usize))
                .help("Number of runs of each kind, which alternate"),
        )
        .arg(
            Arg::new("openings")
                .long("openings")
                .action(ArgAction::SetTrue)
                .help("Send packets that open flows; each writes a line to the log"),
        )
        .arg(
            Arg::new("log").long("log").action(ArgAction::SetTrue).help(
                "Write the program's log to standard output; the result goes to standard error",
            ),
        )
}

/// Kind of packets that are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// Packets of open flows.
    Inside,
    /// Packets that open flows. The flow table is full, so each packet opens a new flow.
    Openings,
}

/// Runs the measurement.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let rounds: usize = *matches.get_one("rounds").expect("has a default");
    let has_log = matches.get_flag("log");
    if has_log && let Err(error) = start_log() {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let load = match matches.get_flag("openings") {
        true => Load::Openings,
        false => Load::Inside,
    };
    let (line, code) = match measure(rounds, load) {
        Ok(line) => (line, ExitCode::SUCCESS),
        Err(error) => (
            format!("result=failed cause={:?}", error.to_string()),
            ExitCode::FAILURE,
        ),
    };
    let line = format!("measurement=entry load={load:?} log={has_log} {line}");
    match has_log {
        true => eprintln!("{line}"),
        false => println!("{line}"),
    }
    code
}

fn start_log() -> Result<(), LogError> {
    init_logs(&LogSettings {
        level: "info".into(),
        file: None,
    })
}

fn measure(rounds: usize, load: Load) -> io::Result<String> {
    let mut ratios = Vec::new();
    let (mut bare, mut entry) = (0.0, 0.0);
    for _ in 0..rounds {
        let bare_rate = Run::new()?.throughput(relay, load)?;
        let entry_rate = Run::new()?.throughput(program, load)?;
        ratios.push(entry_rate / bare_rate);
        bare += bare_rate / rounds as f64;
        entry += entry_rate / rounds as f64;
    }
    ratios.sort_by(f64::total_cmp);
    Ok(format!(
        "rounds={rounds} bare_packets_s={bare:.0} entry_packets_s={entry:.0} \
         ratio={:.3} ratio_least={:.3} ratio_most={:.3}",
        ratios[ratios.len() / 2],
        ratios[0],
        ratios[ratios.len() - 1]
    ))
}

/// Sockets and addresses of one run.
struct Run {
    target: UdpSocket,
    relay: SocketAddr,
}

/// Relays datagrams from the first address to the second until the flag is set.
type RelayFn = fn(SocketAddr, SocketAddr, Arc<AtomicBool>) -> io::Result<()>;

impl Run {
    fn new() -> io::Result<Self> {
        let target = UdpSocket::bind("127.0.0.1:0")?;
        target.set_read_timeout(Some(Duration::from_millis(50)))?;
        // The port was free a moment ago, and nothing else binds ports during the run.
        let relay = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Self { target, relay })
    }

    /// Measures the packets per second that arrive at the target while the relay is overloaded.
    fn throughput(self, relay: RelayFn, load: Load) -> io::Result<f64> {
        let stop = Arc::new(AtomicBool::new(false));
        let target = self.target.local_addr()?;
        let (address, flag) = (self.relay, Arc::clone(&stop));
        let relay = thread::spawn(move || relay(address, target, flag));
        let (sink, flag) = (self.target, Arc::clone(&stop));
        let count = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&count);
        let sink = thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !flag.load(Ordering::Relaxed) {
                if sink.recv(&mut buffer).is_ok() {
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        thread::sleep(Duration::from_millis(100));
        let start = Instant::now();
        send(self.relay, load, start + RUN_TIME)?;
        let throughput = count.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        sink.join()
            .map_err(|_| io::Error::other("the sink thread panicked"))?;
        let ended = relay.join();
        ended.map_err(|_| io::Error::other("the relay thread panicked"))??;
        Ok(throughput)
    }
}

/// Sends packets of the given kind until `end`.
fn send(to: SocketAddr, load: Load, end: Instant) -> io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let token = bambooseam_steer::Target::token(&target_of(to)).get();
    let packets: Vec<Vec<u8>> = (0..FLOWS)
        .map(|flow| {
            let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 20_000 + flow);
            match load {
                Load::Openings => Packet::new(caller, FRONTEND, Flags::SYN).encode(),
                Load::Inside => Packet {
                    echo: token,
                    data: vec![b'.'; 100],
                    ..Packet::new(caller, FRONTEND, Flags::ACK)
                }
                .encode(),
            }
        })
        .collect();
    for packet in packets.iter().cycle() {
        if Instant::now() >= end {
            return Ok(());
        }
        // The run overloads the relay on purpose, so a full queue is expected.
        let _ = socket.send_to(packet, to);
    }
    Ok(())
}

/// Returns the target of a run; its token does not depend on its address.
fn target_of(address: SocketAddr) -> bambooseam_steer::Target {
    let entry = entry_of(address);
    let kind = bambooseam_platform::DocumentKind::from_key("servers/i-1").expect("a valid key");
    match kind.parse(entry.as_bytes()) {
        Ok(bambooseam_platform::Document::Target(target)) => target,
        other => panic!("not a target: {other:?}"),
    }
}

fn entry_of(address: SocketAddr) -> String {
    json!({
        "service": "orders", "address": address.to_string(), "zone": "a", "config_version": "v1",
        "capacity": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
    })
    .to_string()
}

fn relay(address: SocketAddr, target: SocketAddr, stop: Arc<AtomicBool>) -> io::Result<()> {
    run_until(stop, async move {
        let socket = tokio::net::UdpSocket::bind(address).await?;
        let mut buffer = [0; 2_048];
        loop {
            socket.readable().await?;
            while let Ok(len) = socket.try_recv(&mut buffer) {
                // A full queue drops the datagram, as in the entry program.
                let _ = socket.try_send_to(&buffer[..len], target);
            }
            tokio::task::yield_now().await;
        }
    })
}

fn program(address: SocketAddr, target: SocketAddr, stop: Arc<AtomicBool>) -> io::Result<()> {
    run_until(stop, async move {
        let mut node = Node::new(Steering::new(SteeringSettings {
            zone: "a".parse().map_err(io::Error::other)?,
            flow_limit: FLOW_LIMIT,
            cold_policy: None,
            target_speed: true,
            evacuated_last_resort: true,
        }));
        let now = BootClock.now();
        node.apply(documents(target), now, now, Source::Store);
        let node = Rc::new(RefCell::new(node));
        let packets = Packets::bind(address, node).await?;
        packets.run(LastPacket::default()).await;
        Ok(())
    })
}

/// Builds the documents of one route and one target.
fn documents(target: SocketAddr) -> Changes {
    let config = json!({
        "config_version": 1,
        "routes": [{"host": FRONTEND.ip(), "prefix": format!("/{}/", FRONTEND.port()),
                    "timeout_ms": 1_000, "service": "orders"}],
    });
    let documents = [
        ("op/config", config.to_string()),
        ("servers/i-1", entry_of(target)),
    ];
    let list = documents.map(|(key, text)| Change {
        key: key.into(),
        revision: Revision::from(1),
        value: Some(text.into_bytes().into()),
    });
    Changes {
        era: None,
        kept: Vec::new(),
        gap: None,
        after: None,
        upto: Revision::from(1),
        list: list.into(),
    }
}

/// Runs a task on a single-threaded runtime until `stop` is set.
fn run_until(
    stop: Arc<AtomicBool>,
    work: impl Future<Output = io::Result<()>> + 'static,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let stopped = async {
            while !stop.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            result = work => result,
            () = stopped => Ok(()),
        }
    })
}
