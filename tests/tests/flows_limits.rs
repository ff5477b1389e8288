//! Limits of a single forwarder: table size, hops, revisions, pauses and idle flows.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use bambooseam_config::VmState;
use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::{Clock, DropCause, FlowOptionKind, Forwarder, Moment, Output};
use bambooseam_standin::{Deployment, DeploymentKind, Plan};
use bambooseam_view::View;
use etherparse::PacketBuilder;

/// Source address of the datagrams.
const FABRIC: ([u8; 4], u16) = ([127, 1, 9, 9], 6081);
/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// A datagram and its destination.
type Datagram = (SocketAddr, Vec<u8>);

/// Output that stores the sent datagrams.
#[derive(Clone, Default)]
struct Sent(Rc<RefCell<Vec<Datagram>>>);

/// A clock that the test sets.
#[derive(Clone, Default)]
struct FakeClock(Rc<Cell<u64>>);

/// A forwarder with a stored output and a test clock.
struct Fixture {
    forwarder: Forwarder<Sent, FakeClock, BoundedPick>,
    sent: Sent,
    clock: FakeClock,
}

impl Output for Sent {
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]) {
        let bytes = geneve::encode(header, payload);
        self.0.borrow_mut().push((to, bytes));
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

impl Fixture {
    /// Creates the forwarder of the VM at `index` and runs the forwarder for 40 s, after which its
    /// view of the members is stable.
    fn new(deployment: &Deployment, index: usize, limit: usize) -> Self {
        let (sent, clock) = (Sent::default(), FakeClock::default());
        let vm = deployment.vms.0[index].id.clone();
        let pick = BoundedPick::default();
        let mut forwarder = Forwarder::new(vm, limit, sent.clone(), clock.clone(), pick);
        assert!(forwarder.set_view(view_of(deployment, 1)));
        let mut fixture = Self {
            forwarder,
            sent,
            clock,
        };
        fixture.run(40_000);
        fixture
    }

    /// Advances the clock by `millis` in steps of 100 ms, and calls `tick` after each step.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.clock.0.set(self.clock.0.get() + 100);
            self.forwarder.tick();
        }
    }

    /// Passes a datagram of the fabric to the forwarder and returns the datagrams sent in response.
    fn receive(&mut self, bytes: &[u8]) -> Vec<Datagram> {
        self.forwarder.receive(SocketAddr::from(FABRIC), bytes);
        self.sent.0.borrow_mut().drain(..).collect()
    }
}

fn view_of(deployment: &Deployment, number: u64) -> Arc<View> {
    Arc::new(View::build(&deployment.source(number)).expect("valid documents"))
}

fn deployment_of(vms: usize) -> Deployment {
    Plan::of(DeploymentKind::Cascade).with_vms(vms).build()
}

fn datagram(caller: u32, is_first: bool) -> Vec<u8> {
    datagram_to(7_000, caller, is_first)
}

fn datagram_to(port: u16, caller: u32, is_first: bool) -> Vec<u8> {
    let caller = Ipv4Addr::from((10 << 24) + caller).octets();
    let tcp = PacketBuilder::ipv4(caller, [127, 1, 0, 1], 64).tcp(40_000, port, 1, 9);
    let tcp = match is_first {
        true => tcp.syn(),
        false => tcp.ack(1),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, &[]).expect("a write to a vector");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

#[test]
fn full_table_refuses_new_flows_and_keeps_known_ones() {
    let mut fixture = Fixture::new(&deployment_of(1), 0, 100);
    let delivered: usize = (0..150)
        .map(|n| fixture.receive(&datagram(n, true)).len())
        .sum();
    assert_eq!(delivered, 100);
    assert_eq!(
        fixture.forwarder.counters().dropped(DropCause::TableFull),
        50
    );
    for caller in 0..100 {
        assert_eq!(fixture.receive(&datagram(caller, false)).len(), 1);
    }
    assert_eq!(fixture.forwarder.table().len(), 100);
}

#[test]
fn packet_between_forwarders_that_each_name_the_other_as_owner_does_not_loop() {
    let deployment = deployment_of(2);
    let without = |index: usize| {
        let mut deployment = deployment.clone();
        deployment.vms.0[index].state = VmState::Leaving;
        deployment
    };
    let mut fixtures = [
        Fixture::new(&without(0), 0, 100),
        Fixture::new(&without(1), 1, 100),
    ];
    let addresses: Vec<SocketAddr> = deployment.vms.0.iter().map(|vm| vm.forwarder).collect();
    for caller in 0..20 {
        for is_first in [true, false] {
            let mut at = 0;
            let mut bytes = datagram(caller, is_first);
            for hop in 0.. {
                assert!(hop < 16, "the packet was forwarded 16 times");
                fixtures[at].forwarder.receive(addresses[1 - at], &bytes);
                let sent = fixtures[at].sent.0.borrow_mut().pop();
                let Some((to, next)) = sent else { break };
                let Some(next_at) = addresses.iter().position(|address| *address == to) else {
                    break;
                };
                (at, bytes) = (next_at, next);
            }
        }
    }
}

#[test]
fn view_of_a_lower_revision_is_refused() {
    let mut deployment = deployment_of(1);
    let earlier = view_of(&deployment, 3);
    let mut fixture = Fixture::new(&deployment, 0, 100);
    assert!(deployment.switch(&"peak-season".parse().expect("a name")));
    assert!(fixture.forwarder.set_view(view_of(&deployment, 2)));
    assert!(!fixture.forwarder.set_view(earlier));
    let view = fixture.forwarder.view().expect("a view");
    assert_eq!(view.revision().get(), 2);
    assert_eq!(fixture.forwarder.counters().views_refused, 1);
}

#[test]
fn forwarder_that_was_paused_leaves_new_flows_to_the_next_in_rank() {
    let deployment = deployment_of(2);
    let mut fixture = Fixture::new(&deployment, 0, 100);
    let is_owner = |fixture: &mut Fixture, caller: u32| {
        let before = fixture.forwarder.counters().flows_new;
        fixture.receive(&datagram(caller, true));
        fixture.forwarder.counters().flows_new > before
    };
    let owned: Vec<u32> = (0..40).filter(|n| is_owner(&mut fixture, *n)).collect();
    assert!(!owned.is_empty());
    let mut fresh = Fixture::new(&deployment, 0, 100);
    fresh.clock.0.set(fresh.clock.0.get() + 30_000);
    assert_eq!(
        fresh.receive(&datagram(owned[0], true)),
        [],
        "the packet may have waited in the socket during the pause"
    );
    fresh.run(1_000);
    for caller in owned {
        let sent = fresh.receive(&datagram(caller, true));
        let query = sent.first().expect("a query to the next forwarder");
        assert_eq!(query.0, deployment.vms.0[1].forwarder);
    }
    assert_eq!(fresh.forwarder.counters().flows_new, 0);
    assert_eq!(fresh.forwarder.counters().pauses, 1);
}

#[test]
fn idle_flow_is_kept_until_the_idle_time_of_its_service() {
    let mut fixture = Fixture::new(&deployment_of(1), 0, 100);
    fixture.receive(&datagram(1, true));
    fixture.receive(&datagram(1, false));
    let target = fixture.receive(&datagram(1, false))[0].0;
    for _ in 0..23 {
        fixture.clock.0.set(fixture.clock.0.get() + HOUR_MS);
        fixture.run(30_000);
    }
    assert_eq!(
        fixture.forwarder.table().len(),
        1,
        "the pause of 23 hours is shorter than the idle time"
    );
    assert_eq!(fixture.receive(&datagram(1, false))[0].0, target);
    fixture.clock.0.set(fixture.clock.0.get() + 25 * HOUR_MS);
    fixture.run(30_000);
    assert_eq!(fixture.forwarder.table().len(), 0);
}

#[test]
fn flow_that_never_opens_is_removed_after_a_minute() {
    let mut fixture = Fixture::new(&deployment_of(1), 0, 100);
    for caller in 0..50 {
        fixture.receive(&datagram(caller, true));
    }
    fixture.run(90_000);
    assert_eq!(fixture.forwarder.table().len(), 0);
}

#[test]
fn second_retransmission_of_a_first_packet_goes_to_another_target() {
    let mut fixture = Fixture::new(&deployment_of(1), 0, 100);
    let mut targets = Vec::new();
    for _ in 0..3 {
        targets.push(fixture.receive(&datagram(1, true))[0].0);
        fixture.run(1_000);
    }
    assert_eq!(targets[0], targets[1]);
    assert_ne!(targets[1], targets[2], "the first target may have failed");
}

#[test]
fn unexpected_vni_and_exceeded_hop_limit_are_dropped() {
    let mut fixture = Fixture::new(&deployment_of(1), 0, 100);
    let inner = &datagram(1, true)[8..];
    let payload = Payload::Packet(inner);
    let unexpected_vni = geneve::encode(&Header::new(101, None, &payload), inner);
    assert_eq!(fixture.receive(&unexpected_vni), []);
    assert_eq!(
        fixture
            .forwarder
            .counters()
            .dropped(DropCause::UnexpectedVni),
        1
    );
    let relay = bambooseam_forwarder::FlowOption {
        kind: FlowOptionKind::Relay,
        hops: 200,
        revision: Default::default(),
    };
    let over_limit = geneve::encode(&Header::new(0, Some(&relay), &payload), inner);
    assert_eq!(fixture.receive(&over_limit), []);
    assert_eq!(fixture.forwarder.counters().dropped(DropCause::HopLimit), 1);
}

#[test]
fn connections_to_the_request_port_go_to_serving_proxies() {
    let mut deployment = deployment_of(1);
    for index in 1..4_u8 {
        let mut vm = deployment.vms.0[0].clone();
        vm.id = format!("vm-{:03}", index + 1).parse().expect("a name");
        for address in [&mut vm.agent, &mut vm.forwarder, &mut vm.proxy] {
            address.set_ip([127, 1, 1, index + 1].into());
        }
        vm.state = VmState::Leaving;
        deployment.vms.0.push(vm);
    }
    let mut fixture = Fixture::new(&deployment, 0, 1_000);
    for caller in 0..50 {
        let sent = fixture.receive(&datagram_to(8_081, caller, true));
        let (to, bytes) = &sent[0];
        assert_eq!(
            *to,
            SocketAddr::from(([127, 1, 1, 1], 6_081)),
            "the only proxy that is not leaving"
        );
        assert_eq!(geneve::decode(bytes).map(|datagram| datagram.vni), Ok(101));
    }
}

#[test]
fn connections_of_a_service_are_spread_over_a_bounded_number_of_proxies() {
    let deployment = deployment_of(100);
    let fixture = Fixture::new(&deployment, 0, 1_000);
    // 15 targets of one service and 4 of the other, and at most 32 proxies for each service.
    assert!(fixture.forwarder.targets().records().len() <= 19 + 2 * 32);
}

#[test]
fn stop_does_not_wait_for_an_unreachable_forwarder() {
    let mut fixture = Fixture::new(&deployment_of(2), 0, 100);
    for caller in 0..50 {
        fixture.receive(&datagram(caller, true));
        fixture.receive(&datagram(caller, false));
    }
    assert!(!fixture.forwarder.table().is_empty());
    fixture.forwarder.leave();
    assert!(!fixture.forwarder.is_handover_done());
    fixture.run(30_000);
    assert!(
        fixture.forwarder.is_handover_done(),
        "the other forwarder never acknowledges, but the stop must not wait"
    );
}
