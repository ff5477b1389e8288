//! Datagrams of any bytes at a forwarder: nothing panics, and nothing leaves for a wrong place.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::{
    FlowBinding, FlowOption, FlowOptionKind, Forwarder, Output, SystemClock, packet,
};
use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_tests::inputs::{for_each_bytes, for_each_input};
use bambooseam_view::{FrontendKind, View};
use bolero::generator::{ValueGenerator, produce};
use etherparse::PacketBuilder;

/// Longest datagram in bytes; the largest that is taken is 9,000 and its head.
const LIMIT: usize = 1_024;

/// What a forwarder sent: where to, and the whole datagram.
type Sent = Rc<RefCell<Vec<(SocketAddr, Vec<u8>)>>>;

/// Keeps all that is sent.
struct Kept(Sent);

impl Output for Kept {
    fn send(&mut self, to: SocketAddr, head: &Header, payload: &[u8]) {
        self.0
            .borrow_mut()
            .push((to, geneve::encode(head, payload)));
    }
}

/// Port on which the kernel of a VM takes packets for its proxy.
const GENEVE_PORT: u16 = 6081;

/// A forwarder with a view, what it sent, and the view.
struct Bench {
    forwarder: Forwarder<Kept, SystemClock, BoundedPick>,
    sent: Sent,
    view: Arc<View>,
    /// Whether members send, who are believed.
    trusts_members: bool,
}

/// A target that the view does not list.
fn foreign() -> SocketAddr {
    ([10, 66, 6, 6], 6081).into()
}

impl Bench {
    fn new() -> Self {
        let source = Deployment::of(DeploymentKind::Cascade).source(1);
        let view = Arc::new(View::build(&source).expect("a checked view"));
        let sent = Sent::default();
        let vm = view.vms[0].entry.id.clone();
        let output = Kept(Rc::clone(&sent));
        let mut forwarder = Forwarder::new(
            vm,
            10_000,
            output,
            SystemClock::new(),
            BoundedPick::default(),
        );
        assert!(forwarder.set_view(Arc::clone(&view)));
        Self {
            forwarder,
            sent,
            view,
            trusts_members: false,
        }
    }

    /// Hands a datagram in, and checks where everything went that left in answer.
    fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        let before = self.forwarder.counters().received;
        self.forwarder.receive(source, bytes);
        assert_eq!(self.forwarder.counters().received, before + 1);
        assert_eq!(self.forwarder.counters().violations, 0);
        // A forwarder that the view lacks may be new, so the target that it names is taken for
        // this one packet, and remembered if the view has it too. Members are believed.
        let mark = geneve::decode(bytes)
            .ok()
            .and_then(|datagram| datagram.option);
        let names_target = mark.is_some_and(|mark| {
            let kind = mark.kind;
            matches!(
                kind,
                FlowOptionKind::Found(_)
                    | FlowOptionKind::Replicate { .. }
                    | FlowOptionKind::Update(_)
            )
        });
        let is_strict = !self.trusts_members && !names_target;
        for (to, datagram) in self.sent.borrow_mut().drain(..) {
            let place = Place::of(&self.view, to, &datagram);
            match place {
                Place::Forwarder => {}
                Place::Sender => assert_eq!(to, source, "a marked datagram went to {to}"),
                Place::Service => {}
                Place::SameVni => assert!(!is_strict, "a packet went to {to}"),
            }
        }
    }
}

/// Where a datagram went.
#[derive(Debug, PartialEq, Eq)]
enum Place {
    /// A marked one to a forwarder of the view.
    Forwarder,
    /// A marked one to somebody else.
    Sender,
    /// A delivered one to a target or proxy of its service.
    Service,
    /// A delivered one elsewhere, under the identifier of its service: a kernel that serves
    /// another one drops it.
    SameVni,
}

impl Place {
    fn of(view: &View, to: SocketAddr, bytes: &[u8]) -> Self {
        let datagram = geneve::decode(bytes).expect("a datagram that forwarders can read");
        if datagram.option.is_some() {
            let is_forwarder = view.vms.iter().any(|vm| vm.entry.forwarder == to);
            return if is_forwarder {
                Self::Forwarder
            } else {
                Self::Sender
            };
        }
        let Payload::Packet(inner) = datagram.payload else {
            panic!("keys without a mark went to {to}");
        };
        let packet = packet::decode(inner).expect("a packet that was read before");
        let entrance = view.frontend(packet.flow.service).expect("an entrance");
        assert_eq!(
            datagram.vni,
            view.vni(entrance.service).get(),
            "sent to {to}"
        );
        let mut targets = view.targets_of(entrance.service).iter();
        let is_right = match entrance.kind {
            FrontendKind::Flows => targets.any(|target| target.entry.flows == to),
            FrontendKind::Requests => {
                let mut kernels = view.vms.iter().map(|vm| vm.entry.forwarder.ip());
                kernels.any(|ip| SocketAddr::new(ip, GENEVE_PORT) == to)
            }
        };
        if is_right {
            Self::Service
        } else {
            Self::SameVni
        }
    }
}

/// A good datagram that the choices describe, with some bytes changed.
fn datagram_of(view: &View, choices: &[u8]) -> Vec<u8> {
    let mut choices = choices.iter().copied();
    let mut choose = |limit: usize| usize::from(choices.next().unwrap_or_default()) % limit;
    let service = &view.preset.services[choose(view.preset.services.len())];
    let ports = [7000, 8081, 8082, 9];
    let port = ports[choose(ports.len())];
    let caller = [10, 0, 0, choose(4) as u8];
    let std::net::IpAddr::V4(address) = service.address else {
        panic!("the stand-in has IPv4 addresses");
    };
    let ip = PacketBuilder::ipv4(caller, address.octets(), 64);
    let tcp = ip.tcp(5_000 + choose(4) as u16, port, 1, 1_000);
    let tcp = match choose(4) {
        0 => tcp.syn(),
        1 => tcp.fin().ack(1),
        _ => tcp.ack(1),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, &[7; 20][..choose(20)])
        .expect("a packet in memory");

    let target = &view.targets[choose(view.targets.len())].entry;
    let recalled = FlowBinding {
        target: [target.flows, foreign()][choose(2)],
        age: choose(200) as u32,
    };
    let rank = choose(8) as u8;
    let kinds = [
        FlowOptionKind::Relay,
        FlowOptionKind::Query { rank },
        FlowOptionKind::Found(recalled),
        FlowOptionKind::NotFound { rank },
        FlowOptionKind::Replicate {
            binding: recalled,
            is_final: choose(2) == 1,
        },
        FlowOptionKind::Update(recalled),
    ];
    let mark = FlowOption {
        kind: kinds[choose(kinds.len())],
        hops: choose(10) as u8,
        revision: (choose(3) as u64).into(),
    };
    let mark = Some(mark).filter(|_| choose(3) > 0);
    let vni = match mark {
        None => 0,
        Some(_) => [101, 102, 0][choose(3)],
    };
    let head = Header::new(vni, mark.as_ref(), &Payload::Packet(&inner));
    let mut bytes = geneve::encode(&head, &inner);
    for _ in 0..choose(4) {
        let at = choose(256) % bytes.len();
        bytes[at] = choose(256) as u8;
    }
    let cut = choose(8);
    if cut == 0 {
        bytes.truncate(choose(256));
    }
    bytes
}

#[test]
fn datagrams_of_any_bytes_are_dropped_and_counted() {
    let mut bench = Bench::new();
    let fabric = SocketAddr::from(([10, 9, 9, 9], 40_000));
    for_each_bytes(LIMIT, |bytes| {
        let _ = geneve::decode(bytes);
        let _ = packet::decode(bytes);
        bench.receive(fabric, bytes);
    });
}

/// Hands in changed datagrams from the sources that `source` chooses.
fn receive_changed(bench: &mut Bench, source: impl Fn(&View, usize) -> SocketAddr) {
    let choices = produce::<Vec<u8>>().with().len(0..=32_usize);
    for_each_input(&choices, |choices| {
        let datagram = datagram_of(&bench.view, choices);
        let source = source(&bench.view, choices.len());
        bench.receive(source, &datagram);
    });
    let counters = bench.forwarder.counters();
    assert!(counters.delivered > 0, "{counters:?}");
}

#[test]
fn marked_datagrams_of_outsiders_teach_no_wrong_place() {
    receive_changed(&mut Bench::new(), |_, _| ([10, 9, 9, 9], 6081).into());
}

#[test]
fn changed_datagrams_of_members_keep_to_their_service() {
    let mut bench = Bench::new();
    bench.trusts_members = true;
    receive_changed(&mut bench, |view, choice| {
        view.vms[choice % view.vms.len()].entry.forwarder
    });
}

#[test]
fn inner_packets_of_any_kind_are_read_or_refused() {
    let header = |version: u8| [version, 0].into_iter().chain(std::iter::repeat_n(0, 38));
    let inputs = produce::<Vec<u8>>().with().len(0..=128_usize);
    let inputs = inputs.map_gen(move |bytes: Vec<u8>| {
        // Version and length fit, so that the reader comes further than the first byte.
        let version = if bytes.len().is_multiple_of(2) {
            0x45
        } else {
            0x60
        };
        let mut packet: Vec<u8> = header(version).collect();
        for (at, byte) in bytes.iter().enumerate().take(38) {
            packet[at + 2] = *byte;
        }
        packet.extend_from_slice(&bytes);
        let length = packet.len() as u16;
        match version {
            0x45 => packet[2..4].copy_from_slice(&length.to_be_bytes()),
            _ => packet[4..6].copy_from_slice(&(length - 40).to_be_bytes()),
        }
        packet
    });
    for_each_input(&inputs, |bytes| {
        let Ok(packet) = packet::decode(bytes) else {
            return;
        };
        assert_eq!(packet.bytes.len(), bytes.len());
    });
}
