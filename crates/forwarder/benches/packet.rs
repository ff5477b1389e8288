//! Time to process one packet: of a known flow, the first of a flow, and a truncated one, with one
//! forwarder and with flows spread over many.

use std::cell::Cell;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::{Clock, Forwarder, Moment, Output};
use bambooseam_standin::deployment::FEED_PORT;
use bambooseam_standin::{DeploymentKind, Plan};
use bambooseam_view::View;
use criterion::{BatchSize, Criterion};
use etherparse::PacketBuilder;

/// Number of known flows.
const FLOWS: u32 = 1_000;
/// Seconds after which the membership counts as settled.
const SETTLED_SECONDS: u64 = 60;

/// Output that discards all datagrams.
struct Discard;

/// A clock that is set by hand.
#[derive(Clone, Default)]
struct ManualClock(Rc<Cell<u64>>);

impl Output for Discard {
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]) {
        black_box((to, header, payload));
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

/// Creates a forwarder of a fleet whose membership is settled.
fn settled(view: &Arc<View>) -> Forwarder<Discard, ManualClock, BoundedPick> {
    let clock = ManualClock::default();
    let vm = view.vms[0].entry.id.clone();
    let pick = BoundedPick::default();
    let mut forwarder = Forwarder::new(vm, 1_000_000, Discard, clock.clone(), pick);
    forwarder.set_view(Arc::clone(view));
    for second in 1..=SETTLED_SECONDS {
        clock.0.set(second * 1_000);
        forwarder.tick();
    }
    forwarder
}

/// Returns a datagram as the fabric sends it.
fn datagram(caller: u32, is_first: bool) -> Vec<u8> {
    let caller = Ipv4Addr::from((10 << 24) + caller).octets();
    let tcp = PacketBuilder::ipv4(caller, [127, 1, 0, 1], 64).tcp(40_000, FEED_PORT, 1, 1_000);
    let tcp = match is_first {
        true => tcp.syn(),
        false => tcp.ack(1),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, &[])
        .expect("writing to a vector cannot fail");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

fn packets(criterion: &mut Criterion) {
    let source = SocketAddr::from(([127, 1, 9, 9], 6081));
    for (forwarders, name) in [(1, "known"), (5, "spread_over_5"), (850, "spread_over_850")] {
        let plan = Plan::of(DeploymentKind::Cascade).with_vms(forwarders);
        let view =
            View::build(&plan.build().source(1)).expect("the documents of the plan are valid");
        let view = Arc::new(view);
        let mut forwarder = settled(&view);
        for caller in 0..FLOWS {
            forwarder.receive(source, &datagram(caller, true));
        }
        let known: Vec<Vec<u8>> = (0..FLOWS).map(|caller| datagram(caller, false)).collect();
        let mut at = 0;
        criterion.bench_function(&format!("packet_{name}"), |bencher| {
            bencher.iter(|| {
                at = (at + 1) % known.len();
                forwarder.receive(source, black_box(&known[at]));
            });
        });
        let mut caller = FLOWS;
        criterion.bench_function(&format!("first_packet_{name}"), |bencher| {
            let next = || {
                caller += 1;
                datagram(caller, true)
            };
            bencher.iter_batched(
                next,
                |bytes| forwarder.receive(source, black_box(&bytes)),
                BatchSize::SmallInput,
            );
        });
    }
    let truncated = &datagram(0, false)[..30];
    criterion.bench_function("truncated", |bencher| {
        bencher.iter(|| geneve::decode(black_box(truncated)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    packets(&mut criterion);
    criterion.final_summary();
}
