//! Entries of another writer among those of the targets: they name no target to use, and the others
//! hold.

use std::net::SocketAddrV4;

use bambooseam_entry::{Node, Source};
use bambooseam_replica::{Change, Changes};
use bambooseam_steer::{Decision, DropCause, Steering, SteeringSettings};
use bambooseam_tests::odd_entries::{
    BORN, OddEntry, contradicting_entries, own_entry, unreadable_entries, unusual_entries,
};
use bambooseam_tests::steering::*;
use bambooseam_types::{Moment, Revision, Token};
use serde_json::{Value, json};

/// Key of the target under test.
const KEY: &str = "servers/i-00000001";

/// Time from the other writer's entry to the target's next one.
const HEARTBEAT_MS: u64 = 770;

/// A VM that applies changes as they are written.
struct Vm {
    node: Node,
    revision: u64,
    now: u64,
}

impl Vm {
    fn new() -> Self {
        let node = Node::new(Steering::new(SteeringSettings {
            zone: "a".parse().expect("a zone"),
            flow_limit: 1_000,
            cold_policy: None,
            target_speed: true,
            evacuated_last_resort: true,
        }));
        Self {
            node,
            revision: 0,
            now: 0,
        }
    }

    /// A VM that starts and reads a configuration and the entries of targets 1 to 3, where `value`
    /// takes the place of the first.
    fn started(value: &[u8]) -> Self {
        let mut vm = Self::new();
        let mut list = vec![change("op/config", 1, &config())];
        list.push(change(KEY, 2, value));
        for number in 2..=3 {
            let own = own_entry(&address(number).to_string()).to_string();
            list.push(change(&key(number), 2, own.as_bytes()));
        }
        vm.revision = 10;
        vm.apply(None, list);
        vm
    }

    /// A VM that has known the targets for some time.
    fn running() -> Self {
        let mut vm = Self::started(&own());
        vm.pass(10_000);
        vm
    }

    fn moment(&self) -> Moment {
        at(self.now)
    }

    fn apply(&mut self, after: Option<u64>, list: Vec<Change>) {
        let changes = Changes {
            era: None,
            kept: Vec::new(),
            gap: None,
            after: after.map(Revision::from),
            upto: Revision::from(self.revision),
            list,
        };
        let now = self.moment();
        assert!(self.node.apply(changes, now, now, Source::Store));
    }

    /// Reads an entry of target 1 before the first complete copy.
    fn apply_early(&mut self, value: &[u8], millis: u64) {
        self.node.apply_early(&[change(KEY, 2, value)], at(millis));
    }

    /// Applies the write of a document.
    fn write(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        let list = vec![change(key, self.revision, value)];
        self.apply(Some(self.revision - 1), list);
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        let removal = Change {
            key: key.into(),
            revision: Revision::from(self.revision),
            value: None,
        };
        self.apply(Some(self.revision - 1), vec![removal]);
    }

    /// Lets time pass, in which the VM hears from the store that nothing has changed.
    fn pass(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 100);
            self.apply(Some(self.revision), Vec::new());
            let now = self.moment();
            self.node.sweep(now);
        }
    }

    /// Opens flows until one is at target `number`, and returns the number of that flow.
    fn open_at(&mut self, number: u8, from: u16) -> u16 {
        for port in from..from + 200 {
            let packet = opening_packet(flow(port, ORDERS), 0);
            let now = self.moment();
            let decision = self.node.steering_mut().decide(&packet, now);
            if decision.forwarded().map(|(address, _)| address) == Some(address(number)) {
                return port;
            }
        }
        panic!("no flow was placed at target {number}");
    }

    /// Decides about a packet of an open flow at target `number`.
    fn decide(&mut self, number: u8, port: u16) -> Decision {
        let token = token_of_own(number);
        let packet = flow_packet(flow(port, ORDERS), token, 101, 501, 30);
        let now = self.moment();
        self.node.steering_mut().decide(&packet, now)
    }

    /// Addresses of the targets that take new flows; `from` is the port of the first one tried.
    fn places(&mut self, from: u16) -> Vec<SocketAddrV4> {
        let targets = self.node.steering().targets();
        let mut list = Vec::new();
        for service in ["orders", "charts"] {
            let service = service.parse().expect("a service");
            let records = targets.of_service(&service).map(|(_, record)| record);
            let open = records.filter(|record| record.is_open());
            list.extend(open.map(|record| record.target.address));
        }
        list.sort_unstable();
        for port in from..from + 20 {
            for frontend in [ORDERS, CHARTS] {
                let packet = opening_packet(flow(port, frontend), 0);
                let now = self.moment();
                let decision = self.node.steering_mut().decide(&packet, now);
                let placed = decision.forwarded().map(|(address, _)| address);
                assert!(
                    placed.is_none_or(|placed| list.contains(&placed)),
                    "{placed:?}"
                );
            }
        }
        list
    }
}

fn config() -> Vec<u8> {
    let route = |frontend: SocketAddrV4, service| {
        json!({
            "name": service, "host": frontend.ip(), "prefix": format!("/{}/", frontend.port()),
            "route_type": "safe", "timeout_ms": 2_000, "latency_goal_ms": 150, "priority": 2,
            "service": service, "max_attempts": 2,
        })
    };
    let config = json!({
        "config_version": 1, "services": [], "limits": {"idle_timeout_ms": 15_000},
        "routes": [route(ORDERS, "orders"), route(CHARTS, "charts")],
    });
    config.to_string().into_bytes()
}

fn change(key: &str, revision: u64, value: &[u8]) -> Change {
    Change {
        key: key.into(),
        revision: Revision::from(revision),
        value: Some(value.into()),
    }
}

fn key(number: u8) -> String {
    format!("servers/i-{number:08x}")
}

fn address(number: u8) -> SocketAddrV4 {
    target(number).address
}

/// Returns the entry of target 1.
fn own() -> Vec<u8> {
    own_entry(&address(1).to_string()).to_string().into_bytes()
}

fn token_of_own(number: u8) -> Token {
    let mut target = target(number);
    target.start = BORN.into();
    target.token()
}

/// Returns all entries that name no target to use.
fn unusable() -> Vec<OddEntry> {
    let own = own_entry(&address(1).to_string());
    let mut list = unreadable_entries(&own);
    list.extend(contradicting_entries(&own));
    list
}

/// Whether a VM that starts can't tell which of two addresses is that of a flow, because its token
/// fits both. The target at the wrong address ignores the packets, as they are labelled for another.
fn is_same_start_elsewhere(odd: &OddEntry, is_first: bool) -> bool {
    let Ok(Value::Object(object)) = serde_json::from_slice(&odd.value) else {
        return false;
    };
    let is_elsewhere = object.get("address") == Some(&json!("10.0.9.9:8080"));
    let is_same = object.get("born") == Some(&json!(BORN));
    let is_routed = object.get("service") == Some(&json!("orders"));
    is_elsewhere && is_same && (is_first || is_routed)
}

/// Asserts that a packet of an open flow goes to target `number`, with whatever token.
fn assert_forwarded(decision: Decision, number: u8, context: &str) {
    let to = decision.forwarded().map(|(address, _)| address);
    assert_eq!(to, Some(address(number)), "{context}: {decision:?}");
}

/// Review case 5: an entry under the key of a running target ended that target at the VM.
#[test]
fn odd_entry_under_the_key_of_a_running_target_breaks_no_flow() {
    for odd in unusable() {
        for has_flow in [true, false] {
            let mut vm = Vm::running();
            let port = match has_flow {
                true => vm.open_at(1, 1),
                // The flow was opened through another VM.
                false => 1,
            };
            let other = vm.open_at(2, 300);
            vm.write(KEY, &odd.value);
            let mut elapsed = 0;
            while elapsed < HEARTBEAT_MS {
                let context = format!("{} after {elapsed} ms", odd.name);
                assert_forwarded(vm.decide(1, port), 1, &context);
                assert_forwarded(vm.decide(2, other), 2, &context);
                vm.pass(70);
                elapsed += 70;
            }
            assert_eq!(vm.places(600), [address(2), address(3)], "{}", odd.name);
            vm.write(KEY, &own());
            assert_forwarded(vm.decide(1, port), 1, &odd.name);
            let all = [address(1), address(2), address(3)];
            assert_eq!(vm.places(900), all, "{}", odd.name);
        }
    }
}

#[test]
fn unusual_entry_of_a_running_target_breaks_no_flow() {
    for odd in unusual_entries(&own_entry(&address(1).to_string())) {
        let mut vm = Vm::running();
        let port = vm.open_at(1, 1);
        vm.write(KEY, &odd.value);
        for _ in 0..8 {
            assert_forwarded(vm.decide(1, port), 1, &odd.name);
            vm.pass(100);
        }
        vm.write(KEY, &own());
        assert_forwarded(vm.decide(1, port), 1, &odd.name);
        assert!(vm.places(900).contains(&address(1)), "{}", odd.name);
    }
}

/// A VM that starts may read the other writer's entry before that of the target, or after it.
#[test]
fn odd_entry_breaks_no_flow_at_a_vm_that_starts() {
    for odd in unusable() {
        for is_first in [true, false] {
            let is_ambiguous = is_same_start_elsewhere(&odd, is_first);
            let first = match is_first {
                true => odd.value.clone(),
                false => own(),
            };
            let mut vm = Vm::started(&first);
            vm.pass(100);
            if !is_first {
                vm.write(KEY, &odd.value);
            }
            for elapsed in (0..700).step_by(100) {
                let context = format!("{}, first {is_first}, after {elapsed} ms", odd.name);
                match vm.decide(1, 1) {
                    Decision::Drop(DropCause::TokenNotKnownYet) if is_first => {}
                    Decision::Forward { .. } if is_ambiguous => {}
                    decision => assert_forwarded(decision, 1, &context),
                }
                vm.pass(100);
            }
            vm.write(KEY, &own());
            for _ in 0..40 {
                let context = format!("{}, first {is_first}", odd.name);
                assert_forwarded(vm.decide(1, 1), 1, &context);
                vm.pass(100);
            }
            let all = [address(1), address(2), address(3)];
            assert_eq!(vm.places(900), all, "{}, first {is_first}", odd.name);
        }
    }
}

/// The entries of targets are read before the configuration that names their services.
#[test]
fn odd_entry_breaks_no_flow_before_the_configuration_arrives() {
    for odd in unusable() {
        let mut vm = Vm::new();
        vm.apply_early(&odd.value, 10);
        vm.apply_early(&own(), 20);
        vm.now = 400;
        let context = format!("{} without a configuration", odd.name);
        assert_forwarded(vm.decide(1, 1), 1, &context);
        vm.revision = 20;
        vm.apply(
            None,
            vec![change("op/config", 1, &config()), change(KEY, 20, &own())],
        );
        for _ in 0..40 {
            assert_forwarded(vm.decide(1, 1), 1, &odd.name);
            vm.pass(100);
        }
        assert_eq!(vm.places(900), [address(1)], "{}", odd.name);
    }
}

#[test]
fn odd_entry_under_a_free_key_takes_no_flows() {
    for odd in unusable() {
        // Entries for a named service may be those of a target.
        if odd.name.contains("charts") || odd.name.contains("born") && !odd.name.contains(" is ") {
            continue;
        }
        let mut vm = Vm::running();
        let (first, second) = (vm.open_at(1, 1), vm.open_at(2, 300));
        for key in [
            "servers/i-0000000f",
            "servers/",
            "servers/i-",
            "servers/i-xyz",
            "odd",
        ] {
            vm.write(key, &odd.value);
        }
        let all = [address(1), address(2), address(3)];
        assert_eq!(vm.places(600), all, "{}", odd.name);
        assert_forwarded(vm.decide(1, first), 1, &odd.name);
        assert_forwarded(vm.decide(2, second), 2, &odd.name);
    }
}

/// The other writer removes its entry, or its lease lapses, before the target writes again.
#[test]
fn removal_of_an_odd_entry_breaks_no_flow_of_a_running_target() {
    for odd in unusable() {
        let mut vm = Vm::running();
        let port = vm.open_at(1, 1);
        vm.write(KEY, &odd.value);
        vm.pass(50);
        vm.remove(KEY);
        for elapsed in (0..800).step_by(100) {
            let context = format!("{}, {elapsed} ms after its removal", odd.name);
            assert_forwarded(vm.decide(1, port), 1, &context);
            assert_eq!(vm.places(600), [address(2), address(3)], "{context}");
            vm.pass(100);
        }
        vm.write(KEY, &own());
        assert_forwarded(vm.decide(1, port), 1, &odd.name);
        assert!(vm.places(900).contains(&address(1)), "{}", odd.name);
    }
}

/// No flow of the target has had a packet lately, so that none shows that it responds.
#[test]
fn removal_of_an_odd_entry_breaks_no_quiet_flow() {
    for odd in unusable() {
        let mut vm = Vm::running();
        vm.write(KEY, &odd.value);
        vm.pass(50);
        vm.remove(KEY);
        vm.pass(HEARTBEAT_MS);
        assert_forwarded(vm.decide(1, 1), 1, &odd.name);
    }
}

/// Without the store no target can write again, which is no sign that it has ended.
#[test]
fn odd_entry_breaks_no_flow_while_the_store_is_unavailable() {
    for odd in unusable() {
        let mut vm = Vm::running();
        let port = vm.open_at(1, 1);
        vm.write(KEY, &odd.value);
        for _ in 0..60 {
            let now = vm.moment();
            vm.node.record_outage(now);
            vm.now += 100;
            let now = vm.moment();
            vm.node.sweep(now);
            assert_forwarded(vm.decide(1, port), 1, &odd.name);
        }
        vm.pass(1_500);
        assert_forwarded(vm.decide(1, port), 1, &odd.name);
        vm.write(KEY, &own());
        assert_forwarded(vm.decide(1, port), 1, &odd.name);
        assert!(vm.places(900).contains(&address(1)), "{}", odd.name);
    }
}

/// An entry under another key has the same label and start as that of a running target, and thus the
/// same token.
#[test]
fn entry_with_the_label_and_start_of_a_running_target_takes_none_of_its_flows() {
    for id in ["a-00000001", "z-00000001"] {
        for service in ["orders", "charts", "stocktake"] {
            for has_flow in [true, false] {
                let mut vm = Vm::running();
                let port = match has_flow {
                    true => vm.open_at(1, 1),
                    false => 1,
                };
                let mut twin = own_entry("10.0.9.9:8080");
                twin["service"] = json!(service);
                let key = format!("servers/{id}");
                vm.write(&key, twin.to_string().as_bytes());
                let context = format!("{id} of {service}");
                for _ in 0..10 {
                    assert_forwarded(vm.decide(1, port), 1, &context);
                    vm.write(KEY, &own());
                    vm.pass(100);
                }
                let places = vm.places(600);
                assert!(places.contains(&address(1)), "{context}: {places:?}");
                vm.remove(&key);
                for _ in 0..10 {
                    assert_forwarded(vm.decide(1, port), 1, &context);
                    vm.pass(100);
                }
            }
        }
    }
}

/// As above, and a new version of the configuration sends new flows to another service.
#[test]
fn entry_with_the_label_and_start_of_a_target_takes_no_flow_of_a_changed_route() {
    for (has_flow, service) in [(true, "stocktake"), (true, "charts"), (false, "stocktake")] {
        let mut vm = Vm::running();
        let port = match has_flow {
            true => vm.open_at(1, 1),
            false => 1,
        };
        let changed = String::from_utf8(config()).expect("text");
        let changed = changed.replace("\"service\":\"orders\"", "\"service\":\"charts\"");
        let changed = changed.replace("\"config_version\":1", "\"config_version\":2");
        vm.write("op/config", changed.as_bytes());
        assert_forwarded(vm.decide(1, port), 1, "before the entry");
        let mut twin = own_entry("10.0.9.9:8080");
        twin["service"] = json!(service);
        vm.write("servers/a-00000001", twin.to_string().as_bytes());
        assert_forwarded(vm.decide(1, port), 1, "after the entry");
    }
}
