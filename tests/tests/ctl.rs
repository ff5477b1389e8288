//! Tests of `bambooseam-ctl` against fake admin endpoints and directories of documents.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bambooseam_config::EvacuatedZone;
use bambooseam_ctl::can_stop::{can_stop_target, can_stop_vm};
use bambooseam_ctl::check::{CheckReport, check_paths};
use bambooseam_ctl::documents::Published;
use bambooseam_ctl::explain::{explain_flow, explain_request};
use bambooseam_ctl::fleet::{AdminAddresses, FleetVm, ProgramResponse, ProgramStatus, VmResponse};
use bambooseam_ctl::report::Report;
use bambooseam_ctl::status::StatusReport;
use bambooseam_ctl::wait::wait_for;
use bambooseam_ctl::{Outcome, command, run};
use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_types::{Flow, Protocol, Revision, ZoneId};
use bambooseam_view::{FrontendKind, ServiceIndex, View};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Timeout of a request to an admin endpoint that answers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A temporary directory of documents, removed on drop.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("bambooseam-ctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("presets")).expect("directory created");
        Self(path)
    }

    fn of(deployment: &Deployment) -> Self {
        let directory = Self::new();
        directory.write("preset-in-force", &deployment.pointer.to_text());
        directory.write("vms", &deployment.vms.to_text());
        directory.write("targets", &deployment.targets.to_text());
        for (name, text) in &deployment.presets {
            directory.write(&format!("presets/{name}.ini"), text);
        }
        directory
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file written");
        path
    }

    fn check(&self) -> CheckReport {
        check_paths([&self.0], None)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An admin endpoint that answers each request with a status that the test sets.
#[derive(Clone)]
struct FakeAdmin {
    address: SocketAddr,
    status: Arc<Mutex<Value>>,
}

impl FakeAdmin {
    async fn start(status: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
        let address = listener.local_addr().expect("socket address");
        let status = Arc::new(Mutex::new(status));
        let shared_status = Arc::clone(&status);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut header = Vec::new();
                while !header.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else {
                        break;
                    };
                    header.push(byte);
                }
                let body = shared_status.lock().expect("status lock").to_string();
                let response = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        Self { address, status }
    }

    fn set(&self, status: Value) {
        *self.status.lock().expect("status lock") = status;
    }

    fn fleet_vm(&self) -> FleetVm {
        fleet_vm(self.address)
    }
}

fn fleet_vm(agent: SocketAddr) -> FleetVm {
    FleetVm {
        name: agent.to_string(),
        addresses: AdminAddresses {
            agent,
            forwarder: None,
            proxy: None,
        },
    }
}

fn now_ms() -> u64 {
    let now = bambooseam_ctl::fleet::since_epoch();
    u64::try_from(now.as_millis()).expect("time fits into 64 bits")
}

/// Status of an agent with view 7 whose programs have acknowledged view `program_view`.
fn agent_status(vm: &str, revision: u64, program_view: u64) -> Value {
    json!({
        "program": "agent", "vm": vm, "zone": "skagit", "view": 7, "revision": revision,
        "preset": "ordinary", "digest": "d1", "in_force_since_ms": 1,
        "programs": [
            { "program": "forwarder", "view": program_view, "time_ms": now_ms() },
            { "program": "proxy", "view": program_view, "time_ms": now_ms() },
        ],
        "vms": [
            { "vm": "vm-001", "health": "live", "cause": "platform" },
            { "vm": "vm-002", "health": "live", "cause": "platform" },
        ],
        "refused": [],
        "events": [{ "time_ms": 1, "kind": "preset_switched", "cause": "c", "revision": 3 }],
    })
}

fn program_response(status: Value) -> ProgramResponse {
    ProgramResponse::from(ProgramStatus::try_from(status).map_err(Into::into))
}

fn vm_response(agent: Value) -> VmResponse {
    VmResponse {
        name: "listed".into(),
        agent: program_response(agent),
        forwarder: ProgramResponse::NotQueried,
        proxy: ProgramResponse::NotQueried,
    }
}

fn unreachable() -> VmResponse {
    VmResponse {
        agent: ProgramResponse::Unreachable(bambooseam_ctl::fleet::FetchError::Timeout),
        ..vm_response(agent_status("vm-009", 1, 1))
    }
}

fn cascade() -> (Deployment, View) {
    let deployment = Deployment::of(DeploymentKind::Cascade);
    let view = View::build(&deployment.source(1)).expect("valid view");
    (deployment, view)
}

fn run_command(line: &[&str]) -> Outcome {
    let matches = command()
        .try_get_matches_from([&["bambooseam-ctl"], line].concat())
        .expect("valid command line");
    tokio::runtime::Runtime::new()
        .expect("runtime built")
        .block_on(run(&matches))
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("path is ASCII")
}

#[test]
fn published_directory_of_both_deployments_is_valid() {
    for kind in [DeploymentKind::Cascade, DeploymentKind::Swanbourne] {
        let directory = Directory::of(&Deployment::of(kind));
        let report = directory.check();
        assert_eq!(report.outcome(), Outcome::Good, "{report}");
        assert_eq!(report.files.len(), 6);
    }
}

#[test]
fn preset_with_another_digest_is_found() {
    let (deployment, _) = cascade();
    let directory = Directory::of(&deployment);
    directory.write(
        "presets/ordinary.ini",
        &deployment.presets[1].1.replace("peak-season", "ordinary"),
    );
    let report = directory.check();
    assert_eq!(report.outcome(), Outcome::BadInput);
    assert!(report.to_string().contains("in-force.digest"), "{report}");
}

#[test]
fn target_of_an_unknown_service_and_service_without_target_are_found() {
    let (mut deployment, _) = cascade();
    for target in &mut deployment.targets.targets {
        if target.service.as_str() == "fill-charts" {
            target.service = "fill-chart".parse().expect("valid name");
        }
    }
    let report = Directory::of(&deployment).check();
    let found = report.to_string();
    assert_eq!(report.findings.len(), 5, "{found}");
    assert!(
        found.contains("target file-0001.service: found fill-chart"),
        "{found}"
    );
    assert!(
        found.contains("service fill-charts: found no live target"),
        "{found}"
    );
}

/// Returns a deployment with a zone evacuated, and the zone.
fn evacuated_deployment() -> (Deployment, ZoneId) {
    let (mut deployment, _) = cascade();
    let zone = deployment.targets.targets[0].zone.clone();
    deployment.targets.evacuated = vec![EvacuatedZone {
        zone: zone.clone(),
        since: std::time::SystemTime::UNIX_EPOCH.into(),
        by: Some("night shift".into()),
    }];
    (deployment, zone)
}

#[test]
fn evacuated_zone_is_checked_against_the_lists() {
    let (mut deployment, zone) = evacuated_deployment();
    let report = Directory::of(&deployment).check();
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
    // A service that is left without a target would refuse everything.
    for target in &mut deployment.targets.targets {
        if target.service.as_str() == "fill-charts" {
            target.zone = zone.clone();
        }
    }
    let found = Directory::of(&deployment).check().to_string();
    assert!(
        found.contains("service fill-charts: found live targets in evacuated zones only"),
        "{found}"
    );
    // A mistyped name would evacuate nothing.
    let (mut deployment, _) = evacuated_deployment();
    deployment.targets.evacuated[0].zone = "skagti".parse().expect("a name");
    let found = Directory::of(&deployment).check().to_string();
    assert!(
        found.contains("zone skagti: found no VM and no target in the zone"),
        "{found}"
    );
}

#[test]
fn evacuated_zone_is_explained() {
    let (deployment, zone) = evacuated_deployment();
    let view = View::build(&deployment.source(2)).expect("valid view");
    let service = &view.preset.services;
    let index = service
        .iter()
        .position(|service| !service.flow_ports.is_empty());
    let index = ServiceIndex(index.expect("a service with flows"));
    let port = view.service(index).flow_ports[0].get();
    for caller in 1..200 {
        let flow = Flow {
            protocol: Protocol::Tcp,
            caller: SocketAddr::from(([10, 0, 0, 1], caller)),
            service: SocketAddr::new(view.service(index).address, port),
        };
        let answer = explain_flow(&view, &flow).expect("a service");
        let pick = answer.pick.as_ref().expect("a target");
        assert!(!pick.ends_with(&format!("({zone})")), "{pick}");
        assert_eq!(answer.evacuated, [zone.to_string()]);
        assert!(answer.to_string().contains("evacuated"), "{answer}");
    }
    let answer = explain_request(&view, index, "/a");
    for target in &answer.targets {
        assert_eq!(target.evacuated, target.zone == zone.as_str());
        assert_eq!(target.open, !target.evacuated);
    }
    assert!(
        answer
            .to_string()
            .contains("accepts no new work, zone evacuated"),
        "{answer}"
    );
}

#[test]
fn status_shows_evacuated_zones_and_agents_that_differ() {
    let evacuated = |mut status: Value, zones: &[&str]| {
        let zone =
            |zone: &&str| json!({ "zone": zone, "since": "2026-03-01T08:30:00Z", "by": "x" });
        status["evacuated"] = zones.iter().map(zone).collect();
        vm_response(status)
    };
    let agents = ["vm-001", "vm-002", "vm-003"].map(|vm| agent_status(vm, 3, 7));
    let all = agents.clone().map(|status| evacuated(status, &["skagit"]));
    let report = StatusReport::new(all.into(), 0);
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
    assert!(
        report
            .to_string()
            .contains("zone=skagit evacuated_since=2026-03-01T08:30:00Z evacuated_by=\"x\" vms=3"),
        "{report}"
    );
    assert_eq!(
        report.to_json()["evacuated"][0]["vms"],
        json!(["vm-001", "vm-002", "vm-003"])
    );
    let [first, second, third] = agents;
    let mixed = vec![
        evacuated(first, &["skagit"]),
        evacuated(second, &[]),
        evacuated(third, &["skagit"]),
    ];
    let report = StatusReport::new(mixed, 0);
    assert_eq!(report.outcome(), Outcome::Failed, "{report}");
    assert!(
        report.to_string().contains("has no zone evacuated"),
        "{report}"
    );
    // Agents of an earlier version do not report zones.
    let (old, new) = (agent_status("vm-001", 3, 7), agent_status("vm-002", 3, 7));
    let mixed = vec![vm_response(old), evacuated(new, &["skagit"])];
    let report = StatusReport::new(mixed, 0);
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
}

#[test]
fn all_findings_of_several_files_are_reported() {
    let directory = Directory::new();
    let first = directory.write("vms.ini", "[vm a]\nzone = n\nadress = 127.0.0.1\n");
    let second = directory.write("other", "[target t]\nservice = s\nzone = n\naddress = x\n");
    let third = directory.write("blank", "");
    let report = check_paths([&first, &second, &third], None);
    let found = report.to_string();
    assert_eq!(report.findings.len(), 4, "{found}");
    assert!(found.contains("did you mean address?"), "{found}");
    assert!(found.contains("other:4: target t.address"), "{found}");
    assert!(found.contains("--kind"), "{found}");
    let json = report.to_json();
    assert_eq!(json["findings"].as_array().map(Vec::len), Some(4));
    assert!(json["findings"][0]["line"].is_u64());
}

#[test]
fn pointer_must_be_above_what_the_fleet_has_in_force() {
    let (mut deployment, _) = cascade();
    let digest = deployment.pointer.digest.to_string();
    let mut same = agent_status("vm-001", 1, 7);
    same["digest"] = digest.into();
    let check = |deployment: &Deployment, fleet: &[VmResponse]| {
        let mut report = Directory::of(deployment).check();
        report.check_revision(fleet);
        report
    };
    let again = check(&deployment, &[vm_response(same.clone())]);
    assert_eq!(again.outcome(), Outcome::Good, "{again}");
    let partly = check(&deployment, &[vm_response(same.clone()), unreachable()]);
    assert_eq!(partly.outcome(), Outcome::Unknown, "{partly}");

    let other = check(
        &deployment,
        &[
            vm_response(agent_status("vm-001", 1, 7)),
            vm_response(same.clone()),
        ],
    );
    assert_eq!(other.outcome(), Outcome::BadInput);
    let older = check(
        &deployment,
        &[
            vm_response(same.clone()),
            vm_response(agent_status("vm-002", 4, 7)),
        ],
    );
    let found = older.to_string();
    assert!(
        found.contains("in-force.revision: found 1, allowed: above 4"),
        "{found}"
    );
    assert!(found.contains("hint: revision = 5"), "{found}");

    assert!(deployment.switch(&"peak-season".parse().expect("valid name")));
    let next = check(&deployment, &[vm_response(same)]);
    assert_eq!(next.outcome(), Outcome::Good, "{next}");
}

#[test]
fn status_of_a_consistent_fleet_is_good() {
    let responses = vec![
        vm_response(agent_status("vm-001", 3, 7)),
        vm_response(agent_status("vm-002", 3, 7)),
    ];
    let report = StatusReport::new(responses, 5);
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
    assert_eq!(report.newest, Some(Revision::from(3)));
    assert!(
        report.to_string().contains("event=preset_switched"),
        "{report}"
    );
}

#[test]
fn status_marks_each_difference() {
    let mut other = agent_status("vm-003", 3, 7);
    other["digest"] = "d2".into();
    other["vms"][1] = json!({ "vm": "vm-002", "health": "suspected", "cause": "silent" });
    other["refused"] = json!([{ "key": "vms", "findings": ["vms:1: no zone"] }]);
    let responses = vec![
        vm_response(agent_status("vm-001", 3, 7)),
        vm_response(agent_status("vm-002", 2, 6)),
        vm_response(other),
        vm_response(agent_status("vm-004", 3, 7)),
    ];
    let report = StatusReport::new(responses, 0);
    let table = report.to_string();
    assert_eq!(report.outcome(), Outcome::Failed);
    assert!(report.vms[0].differences.is_empty(), "{table}");
    assert!(table.contains("agent behind at revision 2"), "{table}");
    assert!(
        table.contains("another document under this revision (ordinary, d2)"),
        "{table}"
    );
    assert!(
        table.contains("sees vm-002 as suspected (silent)"),
        "{table}"
    );
    assert!(
        table.contains("vm=vm-003 refused=\"vms: vms:1: no zone\""),
        "{table}"
    );
}

#[test]
fn status_is_reported_although_a_vm_is_unreachable() {
    let report = StatusReport::new(
        vec![unreachable(), vm_response(agent_status("vm-001", 3, 7))],
        0,
    );
    assert_eq!(report.outcome(), Outcome::Unknown, "{report}");
    assert_eq!(report.newest, Some(Revision::from(3)));
    let json = report.to_json();
    assert_eq!(json["vms"][0]["reached"], false);
    assert_eq!(json["vms"][1]["revisions"]["proxy"], 3);
}

#[test]
fn unresponsive_program_has_no_revision_in_force() {
    let mut dead = agent_status("vm-001", 3, 7);
    dead["programs"][1]["time_ms"] = (now_ms() - 120_000).into();
    let response = vm_response(dead);
    assert_eq!(response.revision_of("forwarder"), Some(Revision::from(3)));
    assert_eq!(response.revision_of("proxy"), None);
}

#[test]
fn agent_without_configuration_has_no_revision() {
    let mut starting = agent_status("vm-001", 0, 0);
    starting["view"] = 0.into();
    let report = StatusReport::new(vec![vm_response(starting)], 0);
    assert_eq!(report.newest, None);
    assert_eq!(report.outcome(), Outcome::Unknown);
}

#[tokio::test]
async fn wait_ends_when_the_last_program_has_the_revision() {
    let outdated = FakeAdmin::start(agent_status("vm-001", 3, 6)).await;
    let current = FakeAdmin::start(agent_status("vm-002", 3, 7)).await;
    let vms = [outdated.fleet_vm(), current.fleet_vm()];
    let waiting = tokio::spawn(async move {
        wait_for(
            &vms,
            Revision::from(3),
            Duration::from_secs(60),
            RESPONSE_TIMEOUT,
        )
        .await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    outdated.set(agent_status("vm-001", 4, 7));
    let report = waiting.await.expect("task finished");
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
}

#[tokio::test]
async fn wait_names_outdated_and_unreachable_programs() {
    let outdated = FakeAdmin::start(agent_status("vm-001", 2, 7)).await;
    let unreachable_vm: SocketAddr = ([127, 0, 0, 1], 1).into();
    let timeout = Duration::from_millis(100);
    let vms = [outdated.fleet_vm(), fleet_vm(unreachable_vm)];
    let report = wait_for(&vms, Revision::from(3), timeout, RESPONSE_TIMEOUT).await;
    assert_eq!(report.outcome(), Outcome::Failed);
    assert!(
        report
            .to_string()
            .contains("vm=vm-001 program=proxy reached=true revision=2")
    );
    assert!(
        report
            .to_string()
            .contains("vm=127.0.0.1:1 program=agent reached=false")
    );
    let report = wait_for(&vms[1..], Revision::from(3), timeout, RESPONSE_TIMEOUT).await;
    assert_eq!(report.outcome(), Outcome::Unknown, "{report}");
}

#[tokio::test]
async fn endpoint_that_sends_garbage_or_nothing_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
    let unresponsive = listener.local_addr().expect("socket address");
    let garbage = FakeAdmin::start("no object".into()).await;
    let timeout = Duration::from_millis(200);
    let responses =
        bambooseam_ctl::fleet::fetch_all(&[fleet_vm(unresponsive), garbage.fleet_vm()], timeout)
            .await;
    for response in &responses {
        assert!(response.agent.error().is_some(), "{response:?}");
    }
}

#[test]
fn explained_flow_has_service_owner_shadow_and_pick() {
    let (deployment, view) = cascade();
    let service = &view.preset.services[1];
    assert_eq!(service.name.as_str(), "fill-orders");
    let flow = |port: u16| Flow {
        protocol: Protocol::Tcp,
        caller: ([10, 0, 0, 1], 5000).into(),
        service: SocketAddr::new(service.address, port),
    };
    let answer = explain_flow(&view, &flow(7000)).expect("service exists");
    assert_eq!(answer.service, "fill-orders");
    assert_eq!(answer.kind, FrontendKind::Flows);
    assert!(answer.pick.expect("target picked").starts_with("bay-"));
    assert!(answer.owner.is_some() && answer.owner != answer.shadow);
    assert_eq!(explain_flow(&view, &flow(9)), None);

    let source = Published::read(&Directory::of(&deployment).0)
        .and_then(|published| published.source(&["vm-002".parse().expect("valid name")]))
        .expect("view source read");
    let other = View::build(&source).expect("valid view");
    for port in 5000..5100 {
        let mut flow = flow(7000);
        flow.caller.set_port(port);
        let answer = explain_flow(&other, &flow).expect("service exists");
        assert!(!answer.owner.expect("owner assigned").starts_with("vm-002"));
    }
}

#[test]
fn explained_request_has_class_and_owner_of_each_target() {
    let (_, view) = cascade();
    let name = "fill-charts".parse().expect("valid name");
    let index = view.service_index(&name).expect("service exists");
    let answer = explain_request(&view, index, "/full/chart");
    assert_eq!(
        answer.class.map(|class| class.to_string()).as_deref(),
        Some("long")
    );
    assert_eq!(answer.targets.len(), 4);
    for target in &answer.targets {
        let owner = target
            .owner
            .as_deref()
            .expect("owner assigned")
            .parse()
            .expect("valid name");
        let owner = view.vm(&owner).expect("VM exists");
        assert_eq!(owner.entry.zone.as_str(), target.zone);
    }
    assert_eq!(explain_request(&view, index, "/small").class, None);
}

#[test]
fn live_vm_and_live_target_may_not_be_stopped() {
    let (_, view) = cascade();
    let vm = can_stop_vm(&view, &[], &"vm-001".parse().expect("valid name")).expect("VM exists");
    assert_eq!(vm.outcome(), Outcome::Failed);
    assert!(
        vm.to_string().contains("publish it as leaving first"),
        "{vm}"
    );
    let target = "bay-0001".parse().expect("valid name");
    let target = can_stop_target(&view, &[], &target).expect("target exists");
    assert_eq!(target.outcome(), Outcome::Failed, "{target}");
    assert!(can_stop_vm(&view, &[], &"vm-099".parse().expect("valid name")).is_none());
}

#[test]
fn leaving_vm_may_be_stopped_when_all_programs_allow_it() {
    let (mut deployment, _) = cascade();
    deployment.vms.0[0].state = bambooseam_config::VmState::Leaving;
    let view = View::build(&deployment.source(2)).expect("valid view");
    let id = "vm-001".parse().expect("valid name");
    let mut leaving = vm_response(agent_status("vm-001", 3, 7));
    let mut other = agent_status("vm-002", 3, 7);
    other["vms"][0]["health"] = "leaving".into();
    let unknown = can_stop_vm(&view, &[vm_response(other.clone())], &id).expect("VM exists");
    assert_eq!(unknown.outcome(), Outcome::Unknown, "{unknown}");

    leaving.forwarder = program_response(json!({
        "program": "forwarder", "handover_waiting": 0, "handed_over": true,
    }));
    leaving.proxy = program_response(json!({ "program": "proxy", "feeds": 0 }));
    let fleet = [leaving, vm_response(other.clone())];
    let yes = can_stop_vm(&view, &fleet, &id).expect("VM exists");
    assert_eq!(yes.outcome(), Outcome::Good, "{yes}");

    let [mut leaving, other] = fleet;
    leaving.proxy = program_response(json!({ "program": "proxy", "feeds": 2 }));
    let no = can_stop_vm(&view, &[leaving, other], &id).expect("VM exists");
    assert!(no.to_string().contains("2 upgraded connections"), "{no}");
    assert_eq!(no.outcome(), Outcome::Failed);
}

#[test]
fn leaving_target_may_be_stopped_when_its_work_is_done() {
    let (mut deployment, _) = cascade();
    for target in &mut deployment.targets.targets {
        if target.id.as_str() == "bay-0001" {
            target.state = bambooseam_config::TargetState::Leaving;
        }
    }
    let view = View::build(&deployment.source(2)).expect("valid view");
    let id = "bay-0001".parse().expect("valid name");
    let mut busy = vm_response(agent_status("vm-001", 3, 7));
    let mut idle = vm_response(agent_status("vm-002", 3, 7));
    let flows = |count: u64| {
        json!({
            "program": "forwarder", "flows": 9,
            "leaving": [{ "target": "bay-0001", "flows": count }],
        })
    };
    let owned = |busy: u64| {
        json!({
            "program": "proxy",
            "owned": [{ "service": "fill-orders", "zone": "skagit", "busy": busy }],
        })
    };
    busy.forwarder = program_response(flows(3));
    busy.proxy = program_response(owned(0));
    idle.forwarder = program_response(flows(0));
    idle.proxy = program_response(owned(0));
    let fleet = [busy, idle];
    let no = can_stop_target(&view, &fleet, &id).expect("target exists");
    assert!(
        no.to_string().contains("vm-001 has 3 flows to the target"),
        "{no}"
    );
    assert_eq!(no.outcome(), Outcome::Failed);
    let yes = can_stop_target(&view, &fleet[1..], &id).expect("target exists");
    assert_eq!(yes.outcome(), Outcome::Good, "{yes}");

    let [_, mut idle] = fleet;
    idle.proxy = program_response(owned(1));
    let unknown = can_stop_target(&view, &[idle], &id).expect("target exists");
    assert_eq!(unknown.outcome(), Outcome::Unknown, "{unknown}");
}

#[test]
fn command_lines_end_with_their_outcome() {
    let (deployment, _) = cascade();
    let directory = Directory::of(&deployment);
    let documents = path_text(&directory.0);
    assert_eq!(run_command(&["check", documents]), Outcome::Good);
    assert_eq!(run_command(&["check", "absent"]), Outcome::BadInput);
    assert_eq!(run_command(&["status"]), Outcome::BadInput);
    assert_eq!(
        run_command(&["status", "--vm", "127.0.0.1:1"]),
        Outcome::Unknown
    );
    let to = format!("{}:7000", view_address(&deployment));
    let flow = [
        "explain",
        "flow",
        "--documents",
        documents,
        "--from",
        "10.0.0.1:9",
        "--to",
        &to,
    ];
    assert_eq!(run_command(&flow), Outcome::Good);
    let with_vm = [&flow[..], &["--vm", "127.0.0.1:1", "--format", "json"]].concat();
    assert_eq!(run_command(&with_vm), Outcome::Unknown);
    let request = [
        "explain",
        "request",
        "--documents",
        documents,
        "--service",
        "fill-orders",
    ];
    assert_eq!(run_command(&request), Outcome::Good);
    let stop = ["can-stop", "vm", "vm-001", "--documents", documents];
    assert_eq!(run_command(&stop), Outcome::Failed);
}

fn view_address(deployment: &Deployment) -> std::net::IpAddr {
    let view = View::build(&deployment.source(1)).expect("valid view");
    view.preset.services[1].address
}
