//! The packet program over real sockets on loopback.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_config::{Document, Settings};
use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::run;
use bambooseam_peer::{feed, spawn_local_thread};
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use etherparse::PacketBuilder;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

/// First of the networks that this test may use, and their number.
const NETWORKS: (u8, u8) = (160, 40);
/// Longest wait for anything.
const PATIENCE: Duration = Duration::from_secs(30);
/// Flows that are opened.
const FLOWS: u8 = 60;

/// Network of this run's addresses; runs of several work trees may meet on loopback.
fn network() -> [u8; 2] {
    let (first, count) = NETWORKS;
    let at = std::process::id() % u32::from(count);
    [127, first + u8::try_from(at).expect("below the count")]
}

/// A free TCP address on loopback.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Settings of the first VM.
fn settings_of(deployment: &Deployment, views: SocketAddr, admin: SocketAddr) -> Settings {
    let vm = &deployment.vms.0[0];
    let text = format!(
        "[vm]\nid = {}\nzone = {}\naddress = {}\n[platform]\naddresses = 127.0.0.1:1\n\
         [agent]\nviews = {views}\n[forwarder]\nlisten = {}\nadmin = {admin}\n",
        vm.id,
        vm.zone,
        vm.forwarder.ip(),
        vm.forwarder,
    );
    let document = Document::parse("settings", &text).expect("valid INI");
    Settings::try_from(&document).expect("valid settings")
}

/// A datagram of the fabric for the feeds' entrance.
fn datagram(caller: u8, is_first: bool) -> Vec<u8> {
    let [a, b] = network();
    let tcp = PacketBuilder::ipv4([10, 0, 0, caller], [a, b, 0, 1], 64).tcp(40_000, 7_000, 1, 9);
    let tcp = match is_first {
        true => tcp.syn(),
        false => tcp.ack(1),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, &[]).expect("a vector takes all");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

/// The JSON object of `/status`.
async fn read_status(admin: SocketAddr) -> Option<Value> {
    let mut stream = tokio::net::TcpStream::connect(admin).await.ok()?;
    let request = b"GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    let (_, body) = answer.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

/// Waits until the status is as wanted.
async fn wait_for_status(admin: SocketAddr, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let start = Instant::now();
    loop {
        if let Some(status) = read_status(admin).await
            && is_wanted(&status)
        {
            return status;
        }
        assert!(start.elapsed() < PATIENCE, "the status did not come");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Takes datagrams off the targets' sockets: for each caller, which targets got how many.
fn take_all(sinks: &[UdpSocket], counts: &mut [Vec<usize>]) -> usize {
    let mut buffer = [0; 2_048];
    let mut taken = 0;
    for (target, sink) in sinks.iter().enumerate() {
        while let Ok((len, _)) = sink.recv_from(&mut buffer) {
            let datagram = geneve::decode(&buffer[..len]).expect("Geneve");
            assert_eq!(datagram.vni, 101, "the service of the feeds");
            assert_eq!(datagram.option, None, "marks stay between forwarders");
            let caller = datagram.payload.as_bytes()[15];
            counts[usize::from(caller)].push(target);
            taken += 1;
        }
    }
    taken
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn program_delivers_flows_and_tells_its_status() {
    let plan = Plan::of(DeploymentKind::Cascade)
        .with_vms(1)
        .with_network(network());
    let mut deployment = plan.build();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    let views = listener.local_addr().expect("an address");
    let admin = free_address();
    let (publish, sources) = watch::channel(Arc::new(deployment.source(1)));
    spawn_local_thread("agent", move || async move {
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
        feed::serve_views(listener, sources, |_: &str, _| {}).await;
    })
    .expect("a thread");
    let mut sinks = Vec::new();
    for target in &deployment.targets.0 {
        let sink = UdpSocket::bind(target.flows).expect("the target's address");
        sink.set_nonblocking(true).expect("a socket");
        sinks.push(sink);
    }
    let forwarder = deployment.vms.0[0].forwarder;
    // The program is not `Send`, so it runs on a thread of its own.
    let settings = settings_of(&deployment, views, admin);
    spawn_local_thread("forwarder", move || async move {
        run(settings).await.expect("the program runs");
    })
    .expect("a thread");
    let status = wait_for_status(admin, |status| status["view"] == 1).await;
    assert_eq!(
        (&status["program"], &status["vm"]),
        (&"forwarder".into(), &"vm-001".into())
    );
    assert_eq!(
        (&status["revision"], &status["preset"]),
        (&1.into(), &"ordinary".into())
    );

    let [a, b] = network();
    let fabric = UdpSocket::bind(SocketAddr::from(([a, b, 9, 9], 0))).expect("an address");
    let mut counts = vec![Vec::new(); 256];
    let start = Instant::now();
    let send = |caller, is_first| {
        fabric
            .send_to(&datagram(caller, is_first), forwarder)
            .expect("sent");
    };
    for caller in 0..FLOWS {
        send(caller, true);
        send(caller, false);
        send(caller, false);
    }
    fabric.send_to(&[1, 2, 3], forwarder).expect("sent");
    let mut taken = 0;
    while taken < usize::from(FLOWS) * 3 && start.elapsed() < PATIENCE {
        taken += take_all(&sinks, &mut counts);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for targets in &counts[..usize::from(FLOWS)] {
        assert_eq!(targets.len(), 3);
        assert!(
            targets.iter().all(|target| *target == targets[0]),
            "one target a flow"
        );
    }

    deployment.switch(&"peak-season".parse().expect("a name"));
    publish.send_replace(Arc::new(deployment.source(2)));
    let is_switched = |status: &Value| status["revision"] == 2 && status["drops"]["truncated"] == 1;
    let status = wait_for_status(admin, is_switched).await;
    assert_eq!(status["preset"], "peak-season");
    assert_eq!(status["counters"]["violations"], 0);
    assert_eq!(status["flows"], FLOWS);
}
