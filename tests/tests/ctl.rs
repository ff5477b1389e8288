//! The operators' command line, against fake admin endpoints and files.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
use bambooseam_types::{Flow, Protocol, Revision};
use bambooseam_view::{FrontendKind, View};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Longest wait for an answer that comes.
const PATIENCE: Duration = Duration::from_secs(10);

/// A directory of documents that is removed at the end.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("bambooseam-ctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("presets")).expect("a directory");
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
        fs::write(&path, text).expect("a file");
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

/// An admin endpoint that answers each request with the status it holds.
#[derive(Clone)]
struct FakeAdmin {
    address: SocketAddr,
    status: Arc<Mutex<Value>>,
}

impl FakeAdmin {
    async fn start(status: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let status = Arc::new(Mutex::new(status));
        let held = Arc::clone(&status);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else {
                        break;
                    };
                    head.push(byte);
                }
                let body = held.lock().expect("a status").to_string();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        Self { address, status }
    }

    fn set(&self, status: Value) {
        *self.status.lock().expect("a status") = status;
    }

    fn listed(&self) -> FleetVm {
        listed(self.address)
    }
}

fn listed(agent: SocketAddr) -> FleetVm {
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
    u64::try_from(now.as_millis()).expect("a time")
}

/// Status of an agent whose programs are at `programs`, its own view being 7.
fn agent(vm: &str, revision: u64, programs: u64) -> Value {
    json!({
        "program": "agent", "vm": vm, "zone": "skagit", "view": 7, "revision": revision,
        "preset": "ordinary", "digest": "d1", "in_force_since_ms": 1,
        "programs": [
            { "program": "forwarder", "view": programs, "time_ms": now_ms() },
            { "program": "proxy", "view": programs, "time_ms": now_ms() },
        ],
        "vms": [
            { "vm": "vm-001", "health": "live", "cause": "platform" },
            { "vm": "vm-002", "health": "live", "cause": "platform" },
        ],
        "refused": [],
        "events": [{ "time_ms": 1, "kind": "preset_switched", "cause": "c", "revision": 3 }],
    })
}

fn known(status: Value) -> ProgramResponse {
    ProgramResponse::from(ProgramStatus::try_from(status).map_err(Into::into))
}

fn response(agent: Value) -> VmResponse {
    VmResponse {
        name: "listed".into(),
        agent: known(agent),
        forwarder: ProgramResponse::NotQueried,
        proxy: ProgramResponse::NotQueried,
    }
}

fn unreachable() -> VmResponse {
    VmResponse {
        agent: ProgramResponse::Unreachable(bambooseam_ctl::fleet::FetchError::Timeout),
        ..response(agent("vm-009", 1, 1))
    }
}

fn cascade() -> (Deployment, View) {
    let deployment = Deployment::of(DeploymentKind::Cascade);
    let view = View::build(&deployment.source(1)).expect("a checked view");
    (deployment, view)
}

fn run_line(line: &[&str]) -> Outcome {
    let matches = command()
        .try_get_matches_from([&["bambooseam-ctl"], line].concat())
        .expect("a good command line");
    tokio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(run(&matches))
}

fn text(path: &Path) -> &str {
    path.to_str().expect("a path of ASCII")
}

#[test]
fn published_directory_of_both_places_is_good() {
    for kind in [DeploymentKind::Cascade, DeploymentKind::Swanbourne] {
        let directory = Directory::of(&Deployment::of(kind));
        let report = directory.check();
        assert_eq!(report.outcome(), Outcome::Good, "{report}");
        assert_eq!(report.files.len(), 6);
    }
}

#[test]
fn preset_that_the_digest_does_not_fit_is_found() {
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
    for target in &mut deployment.targets.0 {
        if target.service.as_str() == "fill-charts" {
            target.service = "fill-chart".parse().expect("a name");
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
    let mut same = agent("vm-001", 1, 7);
    same["digest"] = digest.into();
    let check = |deployment: &Deployment, fleet: &[VmResponse]| {
        let mut report = Directory::of(deployment).check();
        report.check_revision(fleet);
        report
    };
    let again = check(&deployment, &[response(same.clone())]);
    assert_eq!(again.outcome(), Outcome::Good, "{again}");
    let partly = check(&deployment, &[response(same.clone()), unreachable()]);
    assert_eq!(partly.outcome(), Outcome::Unknown, "{partly}");

    let other = check(
        &deployment,
        &[response(agent("vm-001", 1, 7)), response(same.clone())],
    );
    assert_eq!(other.outcome(), Outcome::BadInput);
    let older = check(
        &deployment,
        &[response(same.clone()), response(agent("vm-002", 4, 7))],
    );
    let found = older.to_string();
    assert!(
        found.contains("in-force.revision: found 1, allowed: above 4"),
        "{found}"
    );
    assert!(found.contains("hint: revision = 5"), "{found}");

    assert!(deployment.switch(&"peak-season".parse().expect("a name")));
    let next = check(&deployment, &[response(same)]);
    assert_eq!(next.outcome(), Outcome::Good, "{next}");
}

#[test]
fn status_of_a_fleet_that_agrees_is_good() {
    let responses = vec![
        response(agent("vm-001", 3, 7)),
        response(agent("vm-002", 3, 7)),
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
    let mut other = agent("vm-003", 3, 7);
    other["digest"] = "d2".into();
    other["vms"][1] = json!({ "vm": "vm-002", "health": "suspected", "cause": "silent" });
    other["refused"] = json!([{ "key": "vms", "findings": ["vms:1: no zone"] }]);
    let responses = vec![
        response(agent("vm-001", 3, 7)),
        response(agent("vm-002", 2, 6)),
        response(other),
        response(agent("vm-004", 3, 7)),
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
fn status_answers_though_a_vm_is_away() {
    let report = StatusReport::new(vec![unreachable(), response(agent("vm-001", 3, 7))], 0);
    assert_eq!(report.outcome(), Outcome::Unknown, "{report}");
    assert_eq!(report.newest, Some(Revision::from(3)));
    let json = report.to_json();
    assert_eq!(json["vms"][0]["reached"], false);
    assert_eq!(json["vms"][1]["revisions"]["proxy"], 3);
}

#[test]
fn program_that_fell_silent_has_nothing_in_force() {
    let mut dead = agent("vm-001", 3, 7);
    dead["programs"][1]["time_ms"] = (now_ms() - 120_000).into();
    let response = response(dead);
    assert_eq!(response.revision_of("forwarder"), Some(Revision::from(3)));
    assert_eq!(response.revision_of("proxy"), None);
}

#[test]
fn agent_without_configuration_is_no_revision() {
    let mut starting = agent("vm-001", 0, 0);
    starting["view"] = 0.into();
    let report = StatusReport::new(vec![response(starting)], 0);
    assert_eq!(report.newest, None);
    assert_eq!(report.outcome(), Outcome::Unknown);
}

#[tokio::test]
async fn wait_ends_when_the_last_program_follows() {
    let late = FakeAdmin::start(agent("vm-001", 3, 6)).await;
    let early = FakeAdmin::start(agent("vm-002", 3, 7)).await;
    let vms = [late.listed(), early.listed()];
    let waiting = tokio::spawn(async move {
        wait_for(&vms, Revision::from(3), Duration::from_secs(60), PATIENCE).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    late.set(agent("vm-001", 4, 7));
    let report = waiting.await.expect("a report");
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
}

#[tokio::test]
async fn wait_names_who_is_behind_and_who_is_away() {
    let behind = FakeAdmin::start(agent("vm-001", 2, 7)).await;
    let away: SocketAddr = ([127, 0, 0, 1], 1).into();
    let timeout = Duration::from_millis(100);
    let vms = [behind.listed(), listed(away)];
    let report = wait_for(&vms, Revision::from(3), timeout, PATIENCE).await;
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
    let report = wait_for(&vms[1..], Revision::from(3), timeout, PATIENCE).await;
    assert_eq!(report.outcome(), Outcome::Unknown, "{report}");
}

#[tokio::test]
async fn endpoint_that_answers_garbage_or_nothing_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let silent = listener.local_addr().expect("an address");
    let garbage = FakeAdmin::start("no object".into()).await;
    let patience = Duration::from_millis(200);
    let responses =
        bambooseam_ctl::fleet::fetch_all(&[listed(silent), garbage.listed()], patience).await;
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
    let answer = explain_flow(&view, &flow(7000)).expect("a service");
    assert_eq!(answer.service, "fill-orders");
    assert_eq!(answer.kind, FrontendKind::Flows);
    assert!(answer.pick.expect("a pick").starts_with("bay-"));
    assert!(answer.owner.is_some() && answer.owner != answer.shadow);
    assert_eq!(explain_flow(&view, &flow(9)), None);

    let source = Published::read(&Directory::of(&deployment).0)
        .and_then(|published| published.source(&["vm-002".parse().expect("a name")]))
        .expect("a source");
    let other = View::build(&source).expect("a checked view");
    for port in 5000..5100 {
        let mut flow = flow(7000);
        flow.caller.set_port(port);
        let answer = explain_flow(&other, &flow).expect("a service");
        assert!(!answer.owner.expect("an owner").starts_with("vm-002"));
    }
}

#[test]
fn explained_request_has_class_and_owner_of_each_target() {
    let (_, view) = cascade();
    let name = "fill-charts".parse().expect("a name");
    let index = view.service_index(&name).expect("a service");
    let answer = explain_request(&view, index, "/full/chart");
    assert_eq!(
        answer.class.map(|class| class.to_string()).as_deref(),
        Some("long")
    );
    assert_eq!(answer.targets.len(), 4);
    for held in &answer.targets {
        let owner = held
            .owner
            .as_deref()
            .expect("an owner")
            .parse()
            .expect("a name");
        let owner = view.vm(&owner).expect("a VM");
        assert_eq!(owner.entry.zone.as_str(), held.zone);
    }
    assert_eq!(explain_request(&view, index, "/small").class, None);
}

#[test]
fn live_vm_and_target_may_not_be_stopped() {
    let (_, view) = cascade();
    let vm = can_stop_vm(&view, &[], &"vm-001".parse().expect("a name")).expect("a VM");
    assert_eq!(vm.outcome(), Outcome::Failed);
    assert!(
        vm.to_string().contains("publish it as leaving first"),
        "{vm}"
    );
    let target = "bay-0001".parse().expect("a name");
    let target = can_stop_target(&view, &[], &target).expect("a target");
    assert_eq!(target.outcome(), Outcome::Failed, "{target}");
    assert!(can_stop_vm(&view, &[], &"vm-099".parse().expect("a name")).is_none());
}

#[test]
fn leaving_vm_may_be_stopped_when_all_say_so() {
    let (mut deployment, _) = cascade();
    deployment.vms.0[0].state = bambooseam_config::VmState::Leaving;
    let view = View::build(&deployment.source(2)).expect("a checked view");
    let id = "vm-001".parse().expect("a name");
    let mut own = response(agent("vm-001", 3, 7));
    let mut other = agent("vm-002", 3, 7);
    other["vms"][0]["health"] = "leaving".into();
    let unknown = can_stop_vm(&view, &[response(other.clone())], &id).expect("a VM");
    assert_eq!(unknown.outcome(), Outcome::Unknown, "{unknown}");

    own.forwarder = known(json!({
        "program": "forwarder", "handover_waiting": 0, "handed_over": true,
    }));
    own.proxy = known(json!({ "program": "proxy", "feeds": 0 }));
    let fleet = [own, response(other.clone())];
    let yes = can_stop_vm(&view, &fleet, &id).expect("a VM");
    assert_eq!(yes.outcome(), Outcome::Good, "{yes}");

    let [mut own, other] = fleet;
    own.proxy = known(json!({ "program": "proxy", "feeds": 2 }));
    let no = can_stop_vm(&view, &[own, other], &id).expect("a VM");
    assert!(no.to_string().contains("2 upgraded connections"), "{no}");
    assert_eq!(no.outcome(), Outcome::Failed);
}

#[test]
fn leaving_target_may_be_stopped_when_its_work_is_done() {
    let (mut deployment, _) = cascade();
    for target in &mut deployment.targets.0 {
        if target.id.as_str() == "bay-0001" {
            target.state = bambooseam_config::TargetState::Leaving;
        }
    }
    let view = View::build(&deployment.source(2)).expect("a checked view");
    let id = "bay-0001".parse().expect("a name");
    let mut busy = response(agent("vm-001", 3, 7));
    let mut idle = response(agent("vm-002", 3, 7));
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
    busy.forwarder = known(flows(3));
    busy.proxy = known(owned(0));
    idle.forwarder = known(flows(0));
    idle.proxy = known(owned(0));
    let fleet = [busy, idle];
    let no = can_stop_target(&view, &fleet, &id).expect("a target");
    assert!(
        no.to_string().contains("vm-001 has 3 flows to the target"),
        "{no}"
    );
    assert_eq!(no.outcome(), Outcome::Failed);
    let yes = can_stop_target(&view, &fleet[1..], &id).expect("a target");
    assert_eq!(yes.outcome(), Outcome::Good, "{yes}");

    let [_, mut idle] = fleet;
    idle.proxy = known(owned(1));
    let maybe = can_stop_target(&view, &[idle], &id).expect("a target");
    assert_eq!(maybe.outcome(), Outcome::Unknown, "{maybe}");
}

#[test]
fn whole_command_lines_end_with_their_outcome() {
    let (deployment, _) = cascade();
    let directory = Directory::of(&deployment);
    let documents = text(&directory.0);
    assert_eq!(run_line(&["check", documents]), Outcome::Good);
    assert_eq!(run_line(&["check", "absent"]), Outcome::BadInput);
    assert_eq!(run_line(&["status"]), Outcome::BadInput);
    assert_eq!(
        run_line(&["status", "--vm", "127.0.0.1:1"]),
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
    assert_eq!(run_line(&flow), Outcome::Good);
    let away = [&flow[..], &["--vm", "127.0.0.1:1", "--format", "json"]].concat();
    assert_eq!(run_line(&away), Outcome::Unknown);
    let request = [
        "explain",
        "request",
        "--documents",
        documents,
        "--service",
        "fill-orders",
    ];
    assert_eq!(run_line(&request), Outcome::Good);
    let stop = ["can-stop", "vm", "vm-001", "--documents", documents];
    assert_eq!(run_line(&stop), Outcome::Failed);
}

fn view_address(deployment: &Deployment) -> std::net::IpAddr {
    let view = View::build(&deployment.source(1)).expect("a checked view");
    view.preset.services[1].address
}
