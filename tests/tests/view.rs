//! Construction of views, rendezvous ranking and weighted picks.

use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_types::Weight;
use bambooseam_view::{FlowKey, FrontendKind, Ranking, View, VmHealth, pick_weighted};

/// Number of keys in each statistical test.
const KEYS: u64 = 20_000;

fn keys() -> impl Iterator<Item = FlowKey> {
    (0..KEYS).map(|n| FlowKey::from_name(&n.to_string()))
}

#[test]
fn both_deployments_build_a_view() {
    for kind in [DeploymentKind::Cascade, DeploymentKind::Swanbourne] {
        let view = View::build(&Deployment::of(kind).source(1)).expect("valid documents");
        assert_eq!(view.vms.len(), 5);
        assert_eq!(view.targets.len(), 19);
        assert_eq!(view.forwarders().len(), 5);
        let service = &view.preset.services[0];
        let frontend = view
            .frontend((service.address, service.request_port.expect("a port").get()).into())
            .expect("a frontend");
        assert_eq!(frontend.kind, FrontendKind::Requests);
    }
}

#[test]
fn targets_of_an_evacuated_zone_are_closed_to_new_work_only() {
    let deployment = Deployment::of(DeploymentKind::Cascade);
    let zone = deployment.targets.targets[0].zone.clone();
    let mut source = deployment.source(1);
    let section = format!("[zone {zone}]\nevacuated-since = 2026-03-01T08:30:00Z\n");
    source.targets.push_str(&section);
    let view = View::build(&source).expect("valid documents");
    assert_eq!(view.targets.len(), 19);
    for target in &view.targets {
        assert_eq!(target.is_open(), target.entry.zone != zone);
        assert_eq!(target.is_evacuated, target.entry.zone == zone);
    }
    // VMs of the zone stay in service.
    assert_eq!((view.forwarders().len(), view.evacuated.len()), (5, 1));
}

#[test]
fn suspected_vm_is_not_ranked() {
    let mut source = Deployment::of(DeploymentKind::Cascade).source(1);
    source.suspects = vec!["vm-002".parse().expect("a name")];
    let view = View::build(&source).expect("valid documents");
    assert_eq!(view.vms[1].health, VmHealth::Suspected);
    assert_eq!(view.forwarders().len(), 4);
}

#[test]
fn top_agrees_with_the_full_ranking() {
    let names: Vec<String> = (0..9).map(|n| format!("vm-{n}")).collect();
    let ranking = Ranking::new(names.iter().map(String::as_str).enumerate());
    for key in keys() {
        let ranked = ranking.rank_all(key);
        let top = ranking.top::<3>(key);
        assert_eq!(top, [Some(ranked[0]), Some(ranked[1]), Some(ranked[2])]);
    }
}

#[test]
fn leaving_member_moves_only_its_own_keys() {
    let names: Vec<String> = (0..5).map(|n| format!("vm-{n}")).collect();
    let all = Ranking::new(names.iter().map(String::as_str).enumerate());
    let rest = Ranking::new(
        names
            .iter()
            .map(String::as_str)
            .enumerate()
            .filter(|(i, _)| *i != 2),
    );
    for key in keys() {
        let first = all.first(key);
        if first == Some(2) {
            assert_eq!(rest.first(key), all.top::<2>(key)[1]);
            continue;
        }
        assert_eq!(rest.first(key), first);
    }
}

#[test]
fn weighted_pick_follows_the_weights() {
    let weights = [100, 200, 0, 100];
    let mut counts = [0_u64; 4];
    for key in keys() {
        let members = weights.iter().enumerate().map(|(i, weight)| {
            let hash = FlowKey::from_name(&format!("target-{i}")).get();
            (i, hash, Weight::try_from(*weight).expect("a weight"))
        });
        counts[pick_weighted(key, members).expect("a pick")] += 1;
    }
    assert_eq!(counts[2], 0);
    for (count, share) in [(counts[0], 0.25), (counts[1], 0.5), (counts[3], 0.25)] {
        let found = count as f64 / KEYS as f64;
        assert!((found - share).abs() < 0.02, "{counts:?}");
    }
}
