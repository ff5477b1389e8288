//! Bounds of one forwarder: table, hops, revisions, pauses and idle flows.

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

/// Where datagrams come from.
const FABRIC: ([u8; 4], u16) = ([127, 1, 9, 9], 6081);
/// Milliseconds in an hour.
const HOUR: u64 = 3_600_000;

/// A datagram and where it goes.
type Datagram = (SocketAddr, Vec<u8>);

/// Keeps what is sent.
#[derive(Clone, Default)]
struct Sent(Rc<RefCell<Vec<Datagram>>>);

/// A clock that shows what it was set to.
#[derive(Clone, Default)]
struct FakeClock(Rc<Cell<u64>>);

/// A forwarder over fakes.
struct Bench {
    forwarder: Forwarder<Sent, FakeClock, BoundedPick>,
    sent: Sent,
    clock: FakeClock,
}

impl Output for Sent {
    fn send(&mut self, to: SocketAddr, head: &Header, payload: &[u8]) {
        let bytes = geneve::encode(head, payload);
        self.0.borrow_mut().push((to, bytes));
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

impl Bench {
    /// The forwarder of the VM at `index`, its members long settled.
    fn new(deployment: &Deployment, index: usize, limit: usize) -> Self {
        let (sent, clock) = (Sent::default(), FakeClock::default());
        let vm = deployment.vms.0[index].id.clone();
        let pick = BoundedPick::default();
        let mut forwarder = Forwarder::new(vm, limit, sent.clone(), clock.clone(), pick);
        assert!(forwarder.set_view(view_of(deployment, 1)));
        let mut bench = Self {
            forwarder,
            sent,
            clock,
        };
        bench.run(40_000);
        bench
    }

    /// Lets time pass in steps of the regular work.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.clock.0.set(self.clock.0.get() + 100);
            self.forwarder.tick();
        }
    }

    /// Takes a datagram of the fabric and gives what is sent.
    fn take(&mut self, bytes: &[u8]) -> Vec<Datagram> {
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
    tcp.write(&mut inner, &[]).expect("a vector takes all");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

#[test]
fn full_table_refuses_new_flows_and_keeps_known_ones() {
    let mut bench = Bench::new(&deployment_of(1), 0, 100);
    let taken: usize = (0..150).map(|n| bench.take(&datagram(n, true)).len()).sum();
    assert_eq!(taken, 100);
    assert_eq!(bench.forwarder.counters().dropped(DropCause::TableFull), 50);
    for caller in 0..100 {
        assert_eq!(bench.take(&datagram(caller, false)).len(), 1);
    }
    assert_eq!(bench.forwarder.table().len(), 100);
}

#[test]
fn packet_between_forwarders_that_name_each_other_does_not_loop() {
    let deployment = deployment_of(2);
    let without = |index: usize| {
        let mut deployment = deployment.clone();
        deployment.vms.0[index].state = VmState::Leaving;
        deployment
    };
    let mut benches = [
        Bench::new(&without(0), 0, 100),
        Bench::new(&without(1), 1, 100),
    ];
    let addresses: Vec<SocketAddr> = deployment.vms.0.iter().map(|vm| vm.forwarder).collect();
    for caller in 0..20 {
        for is_first in [true, false] {
            let mut at = 0;
            let mut bytes = datagram(caller, is_first);
            for hop in 0.. {
                assert!(hop < 16, "the packet loops");
                benches[at].forwarder.receive(addresses[1 - at], &bytes);
                let sent = benches[at].sent.0.borrow_mut().pop();
                let Some((to, next)) = sent else { break };
                let Some(next_at) = addresses.iter().position(|held| *held == to) else {
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
    let mut bench = Bench::new(&deployment, 0, 100);
    assert!(deployment.switch(&"peak-season".parse().expect("a name")));
    assert!(bench.forwarder.set_view(view_of(&deployment, 2)));
    assert!(!bench.forwarder.set_view(earlier));
    let view = bench.forwarder.view().expect("a view");
    assert_eq!(view.revision().get(), 2);
    assert_eq!(bench.forwarder.counters().views_refused, 1);
}

#[test]
fn forwarder_that_was_paused_leaves_new_flows_to_the_next_in_rank() {
    let deployment = deployment_of(2);
    let mut bench = Bench::new(&deployment, 0, 100);
    let is_own = |bench: &mut Bench, caller: u32| {
        let before = bench.forwarder.counters().flows_new;
        bench.take(&datagram(caller, true));
        bench.forwarder.counters().flows_new > before
    };
    let owned: Vec<u32> = (0..40).filter(|n| is_own(&mut bench, *n)).collect();
    assert!(!owned.is_empty());
    let mut fresh = Bench::new(&deployment, 0, 100);
    fresh.clock.0.set(fresh.clock.0.get() + 30_000);
    assert_eq!(
        fresh.take(&datagram(owned[0], true)),
        [],
        "it may have waited for long"
    );
    fresh.run(1_000);
    for caller in owned {
        let sent = fresh.take(&datagram(caller, true));
        let asked = sent.first().expect("the other is asked first");
        assert_eq!(asked.0, deployment.vms.0[1].forwarder);
    }
    assert_eq!(fresh.forwarder.counters().flows_new, 0);
    assert_eq!(fresh.forwarder.counters().pauses, 1);
}

#[test]
fn silent_flow_is_kept_until_the_idle_time_of_its_service() {
    let mut bench = Bench::new(&deployment_of(1), 0, 100);
    bench.take(&datagram(1, true));
    bench.take(&datagram(1, false));
    let target = bench.take(&datagram(1, false))[0].0;
    for _ in 0..23 {
        bench.clock.0.set(bench.clock.0.get() + HOUR);
        bench.run(30_000);
    }
    assert_eq!(
        bench.forwarder.table().len(),
        1,
        "a shift is shorter than the idle time"
    );
    assert_eq!(bench.take(&datagram(1, false))[0].0, target);
    bench.clock.0.set(bench.clock.0.get() + 25 * HOUR);
    bench.run(30_000);
    assert_eq!(bench.forwarder.table().len(), 0);
}

#[test]
fn flow_that_never_opens_is_forgotten_after_a_minute() {
    let mut bench = Bench::new(&deployment_of(1), 0, 100);
    for caller in 0..50 {
        bench.take(&datagram(caller, true));
    }
    bench.run(90_000);
    assert_eq!(bench.forwarder.table().len(), 0);
}

#[test]
fn first_packets_sent_again_find_another_target() {
    let mut bench = Bench::new(&deployment_of(1), 0, 100);
    let mut targets = Vec::new();
    for _ in 0..3 {
        targets.push(bench.take(&datagram(1, true))[0].0);
        bench.run(1_000);
    }
    assert_eq!(targets[0], targets[1]);
    assert_ne!(targets[1], targets[2], "the first target may be dead");
}

#[test]
fn marks_are_read_only_where_they_belong() {
    let mut bench = Bench::new(&deployment_of(1), 0, 100);
    let inner = &datagram(1, true)[8..];
    let payload = Payload::Packet(inner);
    let foreign = geneve::encode(&Header::new(101, None, &payload), inner);
    assert_eq!(bench.take(&foreign), []);
    assert_eq!(
        bench.forwarder.counters().dropped(DropCause::UnexpectedVni),
        1
    );
    let relay = bambooseam_forwarder::FlowOption {
        kind: FlowOptionKind::Relay,
        hops: 200,
        revision: Default::default(),
    };
    let looping = geneve::encode(&Header::new(0, Some(&relay), &payload), inner);
    assert_eq!(bench.take(&looping), []);
    assert_eq!(bench.forwarder.counters().dropped(DropCause::HopLimit), 1);
}

#[test]
fn connections_to_the_request_port_go_to_live_proxies() {
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
    let mut bench = Bench::new(&deployment, 0, 1_000);
    for caller in 0..50 {
        let sent = bench.take(&datagram_to(8_081, caller, true));
        let (to, bytes) = &sent[0];
        assert_eq!(
            *to,
            SocketAddr::from(([127, 1, 1, 1], 6_081)),
            "the one live proxy"
        );
        assert_eq!(geneve::decode(bytes).map(|datagram| datagram.vni), Ok(101));
    }
}

#[test]
fn connections_of_a_service_are_spread_over_a_bounded_number_of_proxies() {
    let deployment = deployment_of(100);
    let bench = Bench::new(&deployment, 0, 1_000);
    // 15 targets and 4 of the other service, and at most 32 proxies for each of the two.
    assert!(bench.forwarder.targets().records().len() <= 19 + 2 * 32);
}

#[test]
fn stop_does_not_wait_for_a_forwarder_that_is_gone() {
    let mut bench = Bench::new(&deployment_of(2), 0, 100);
    for caller in 0..50 {
        bench.take(&datagram(caller, true));
        bench.take(&datagram(caller, false));
    }
    assert!(!bench.forwarder.table().is_empty());
    bench.forwarder.leave();
    assert!(!bench.forwarder.is_handover_done());
    bench.run(30_000);
    assert!(
        bench.forwarder.is_handover_done(),
        "no confirmation ever comes"
    );
}
