//! The forwarder program with real sockets on loopback.

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

/// Second byte of the first loopback network that this test may use, and the number of networks.
const NETWORKS: (u8, u8) = (160, 40);
/// Timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of flows that the test opens.
const FLOWS: u8 = 60;

/// Returns the network of this run. Concurrent runs of several work trees share the loopback
/// interface, so each run selects a network by its process ID.
fn network() -> [u8; 2] {
    let (first, count) = NETWORKS;
    let at = std::process::id() % u32::from(count);
    [127, first + u8::try_from(at).expect("below the count")]
}

/// Returns a free TCP address on loopback.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns the settings of the first VM.
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

/// Returns a datagram of the fabric for the frontend of the feeds.
fn datagram(caller: u8, is_first: bool) -> Vec<u8> {
    let [a, b] = network();
    let tcp = PacketBuilder::ipv4([10, 0, 0, caller], [a, b, 0, 1], 64).tcp(40_000, 7_000, 1, 9);
    let tcp = match is_first {
        true => tcp.syn(),
        false => tcp.ack(1),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, &[]).expect("a write to a vector");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

/// Reads the JSON object at `/status`; `None` if the request fails.
async fn read_status(admin: SocketAddr) -> Option<Value> {
    let mut stream = tokio::net::TcpStream::connect(admin).await.ok()?;
    let request = b"GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let (_, body) = response.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

/// Waits until the status satisfies `is_expected`.
async fn wait_for_status(admin: SocketAddr, is_expected: impl Fn(&Value) -> bool) -> Value {
    let start = Instant::now();
    loop {
        if let Some(status) = read_status(admin).await
            && is_expected(&status)
        {
            return status;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the expected status was not reported within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Receives all queued datagrams of the targets' sockets. Appends the target of each datagram to
/// the list of its caller, and returns the number of datagrams.
fn receive_all(sockets: &[UdpSocket], targets: &mut [Vec<usize>]) -> usize {
    let mut buffer = [0; 2_048];
    let mut received = 0;
    for (target, socket) in sockets.iter().enumerate() {
        while let Ok((len, _)) = socket.recv_from(&mut buffer) {
            let datagram = geneve::decode(&buffer[..len]).expect("Geneve");
            assert_eq!(datagram.vni, 101, "the VNI must be that of the feeds");
            assert_eq!(
                datagram.option, None,
                "options are exchanged only between forwarders"
            );
            let caller = datagram.payload.as_bytes()[15];
            targets[usize::from(caller)].push(target);
            received += 1;
        }
    }
    received
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn program_delivers_flows_and_reports_its_status() {
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
    let mut sockets = Vec::new();
    for target in &deployment.targets.targets {
        let socket = UdpSocket::bind(target.flows).expect("the target's address");
        socket.set_nonblocking(true).expect("a socket");
        sockets.push(socket);
    }
    let forwarder = deployment.vms.0[0].forwarder;
    // The program is not `Send`, so it runs on a separate thread.
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
    let mut targets = vec![Vec::new(); 256];
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
    let mut received = 0;
    while received < usize::from(FLOWS) * 3 && start.elapsed() < WAIT_TIMEOUT {
        received += receive_all(&sockets, &mut targets);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for reached in &targets[..usize::from(FLOWS)] {
        assert_eq!(reached.len(), 3);
        assert!(
            reached.iter().all(|target| *target == reached[0]),
            "all packets of a flow must reach one target"
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
