//! Fuzz tests of a forwarder with arbitrary datagrams: the forwarder does not panic and sends no
//! datagram to a wrong destination.

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

/// Longest datagram in bytes; a forwarder accepts up to 9,000 bytes and the header.
const LIMIT: usize = 1_024;

/// Datagrams that a forwarder sent, each with its destination.
type Sent = Rc<RefCell<Vec<(SocketAddr, Vec<u8>)>>>;

/// Output that records all datagrams.
struct RecordingOutput(Sent);

impl Output for RecordingOutput {
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]) {
        self.0
            .borrow_mut()
            .push((to, geneve::encode(header, payload)));
    }
}

/// Port on which the kernel of a VM receives packets for the proxy of the VM.
const GENEVE_PORT: u16 = 6081;

/// A forwarder with a view, the datagrams that it sent, and the view.
struct Fixture {
    forwarder: Forwarder<RecordingOutput, SystemClock, BoundedPick>,
    sent: Sent,
    view: Arc<View>,
    /// Whether the datagrams come from VMs of the view, whose flow options the forwarder trusts.
    is_trusted: bool,
}

/// A target that the view does not list.
fn unlisted_target() -> SocketAddr {
    ([10, 66, 6, 6], 6081).into()
}

impl Fixture {
    fn new() -> Self {
        let source = Deployment::of(DeploymentKind::Cascade).source(1);
        let view = Arc::new(View::build(&source).expect("valid view"));
        let sent = Sent::default();
        let vm = view.vms[0].entry.id.clone();
        let output = RecordingOutput(Rc::clone(&sent));
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
            is_trusted: false,
        }
    }

    /// Passes a datagram to the forwarder and checks where the forwarder sends datagrams in return.
    fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        let before = self.forwarder.counters().received;
        self.forwarder.receive(source, bytes);
        assert_eq!(self.forwarder.counters().received, before + 1);
        assert_eq!(self.forwarder.counters().violations, 0);
        // A sender that the view lacks may be a new forwarder, so the target in its flow option is
        // used for this one packet, and stored only if the view lists the target too. Senders that
        // the view lists are trusted.
        let option = geneve::decode(bytes)
            .ok()
            .and_then(|datagram| datagram.option);
        let names_target = option.is_some_and(|option| {
            let kind = option.kind;
            matches!(
                kind,
                FlowOptionKind::Found(_)
                    | FlowOptionKind::Replicate { .. }
                    | FlowOptionKind::Update(_)
            )
        });
        let is_strict = !self.is_trusted && !names_target;
        for (to, datagram) in self.sent.borrow_mut().drain(..) {
            let destination = Destination::of(&self.view, to, &datagram);
            match destination {
                Destination::Forwarder => {}
                Destination::Outside => {
                    assert_eq!(to, source, "a datagram with a flow option was sent to {to}")
                }
                Destination::Service => {}
                Destination::SameVni => assert!(!is_strict, "a packet was sent to {to}"),
            }
        }
    }
}

/// Kind of destination of a datagram.
#[derive(Debug, PartialEq, Eq)]
enum Destination {
    /// A datagram with a flow option to a forwarder of the view.
    Forwarder,
    /// A datagram with a flow option to an address outside the view.
    Outside,
    /// A delivered packet to a target or proxy of its service.
    Service,
    /// A delivered packet to another address under the VNI of its service; a kernel that serves
    /// another VNI drops the packet.
    SameVni,
}

impl Destination {
    fn of(view: &View, to: SocketAddr, bytes: &[u8]) -> Self {
        let datagram = geneve::decode(bytes).expect("valid datagram");
        if datagram.option.is_some() {
            let is_forwarder = view.vms.iter().any(|vm| vm.entry.forwarder == to);
            return if is_forwarder {
                Self::Forwarder
            } else {
                Self::Outside
            };
        }
        let Payload::Packet(inner) = datagram.payload else {
            panic!("keys without a flow option were sent to {to}");
        };
        let packet = packet::decode(inner).expect("packet decoded before");
        let frontend = view.frontend(packet.flow.service).expect("frontend exists");
        assert_eq!(
            datagram.vni,
            view.vni(frontend.service).get(),
            "sent to {to}"
        );
        let mut targets = view.targets_of(frontend.service).iter();
        let is_of_service = match frontend.kind {
            FrontendKind::Flows => targets.any(|target| target.entry.flows == to),
            FrontendKind::Requests => {
                let mut kernels = view.vms.iter().map(|vm| vm.entry.forwarder.ip());
                kernels.any(|ip| SocketAddr::new(ip, GENEVE_PORT) == to)
            }
        };
        if is_of_service {
            Self::Service
        } else {
            Self::SameVni
        }
    }
}

/// Builds the valid datagram that the choices describe, and changes some bytes of it.
fn datagram_of(view: &View, choices: &[u8]) -> Vec<u8> {
    let mut choices = choices.iter().copied();
    let mut choose = |limit: usize| usize::from(choices.next().unwrap_or_default()) % limit;
    let service = &view.preset.services[choose(view.preset.services.len())];
    let ports = [7000, 8081, 8082, 9];
    let port = ports[choose(ports.len())];
    let caller = [10, 0, 0, choose(4) as u8];
    let std::net::IpAddr::V4(address) = service.address else {
        panic!("the stand-in deployment has only IPv4 addresses");
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
        .expect("packet written");

    let target = &view.targets[choose(view.targets.len())].entry;
    let binding = FlowBinding {
        target: [target.flows, unlisted_target()][choose(2)],
        age: choose(200) as u32,
    };
    let rank = choose(8) as u8;
    let kinds = [
        FlowOptionKind::Relay,
        FlowOptionKind::Query { rank },
        FlowOptionKind::Found(binding),
        FlowOptionKind::NotFound { rank },
        FlowOptionKind::Replicate {
            binding,
            is_final: choose(2) == 1,
        },
        FlowOptionKind::Update(binding),
    ];
    let option = FlowOption {
        kind: kinds[choose(kinds.len())],
        hops: choose(10) as u8,
        revision: (choose(3) as u64).into(),
    };
    let option = Some(option).filter(|_| choose(3) > 0);
    let vni = match option {
        None => 0,
        Some(_) => [101, 102, 0][choose(3)],
    };
    let header = Header::new(vni, option.as_ref(), &Payload::Packet(&inner));
    let mut bytes = geneve::encode(&header, &inner);
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
    let mut fixture = Fixture::new();
    let fabric = SocketAddr::from(([10, 9, 9, 9], 40_000));
    for_each_bytes(LIMIT, |bytes| {
        let _ = geneve::decode(bytes);
        let _ = packet::decode(bytes);
        fixture.receive(fabric, bytes);
    });
}

/// Passes modified datagrams, from the sources that `source` chooses, to the forwarder.
fn receive_modified(fixture: &mut Fixture, source: impl Fn(&View, usize) -> SocketAddr) {
    let choices = produce::<Vec<u8>>().with().len(0..=32_usize);
    for_each_input(&choices, |choices| {
        let datagram = datagram_of(&fixture.view, choices);
        let source = source(&fixture.view, choices.len());
        fixture.receive(source, &datagram);
    });
    let counters = fixture.forwarder.counters();
    assert!(counters.delivered > 0, "{counters:?}");
}

#[test]
fn flow_options_of_unlisted_senders_redirect_no_flow() {
    receive_modified(&mut Fixture::new(), |_, _| ([10, 9, 9, 9], 6081).into());
}

#[test]
fn modified_datagrams_of_members_stay_within_their_service() {
    let mut fixture = Fixture::new();
    fixture.is_trusted = true;
    receive_modified(&mut fixture, |view, choice| {
        view.vms[choice % view.vms.len()].entry.forwarder
    });
}

#[test]
fn inner_packets_of_any_kind_are_decoded_or_refused() {
    let header = |version: u8| [version, 0].into_iter().chain(std::iter::repeat_n(0, 38));
    let inputs = produce::<Vec<u8>>().with().len(0..=128_usize);
    let inputs = inputs.map_gen(move |bytes: Vec<u8>| {
        // Version and length are valid, so that the decoder reads more than the first byte.
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
