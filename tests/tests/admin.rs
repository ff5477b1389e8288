//! Tests of `bambooseam-ctl` with a small fleet of real programs: the preset is switched, a target
//! leaves, and an agent ends.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bambooseam_config::{EvacuatedZone, TargetState};
use bambooseam_measure::requests::network::Network;
use bambooseam_standin::deployment::FEED_PORT;
use bambooseam_standin::settings::{
    AGENT_ADMIN_PORT, FORWARDER_ADMIN_PORT, PROXY_ADMIN_PORT, VIEW_PORT,
};
use bambooseam_standin::{Deployment, DeploymentKind, Plan, Platform};
use bambooseam_tests::programs::program;
use bambooseam_view::View;
use serde_json::Value;

/// Number of entry VMs of the fleet, each in its own zone.
const VMS: usize = 3;

/// Time in which a change must be in force on all VMs, the target of the project.
const SWITCH_TIMEOUT: &str = "8s";

/// Longest time for the programs to start, also on a busy machine.
const START_TIMEOUT: &str = "60s";

/// Longest time that a test repeats a command until all agents have received a change.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Programs of a VM.
const PROGRAMS: [&str; 3] = [
    "bambooseam-agent",
    "bambooseam-forwarder",
    "bambooseam-proxy",
];

/// A platform, and the programs of all VMs as child processes.
struct Fleet {
    deployment: Deployment,
    platform: Platform,
    programs: Vec<Child>,
    directory: PathBuf,
    _network: Network,
}

impl Fleet {
    async fn start() -> Self {
        let network = Network::reserve();
        let deployment = Plan::of(DeploymentKind::Cascade)
            .with_vms(VMS)
            .with_network(network.prefix())
            .build();
        let listen = SocketAddr::from(([127, network.prefix()[1], 4, 1], 8500));
        let platform = Platform::start(listen).await.expect("platform started");
        platform.publish(Plan::PREFIX, &deployment);
        let name = format!("bambooseam-admin-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(directory.join("presets")).expect("directory created");
        let mut fleet = Self {
            deployment,
            platform,
            programs: Vec::new(),
            directory,
            _network: network,
        };
        fleet.write_documents();
        fleet.start_programs();
        fleet
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.directory.join(name), text).expect("file written");
    }

    fn write_documents(&self) {
        let deployment = &self.deployment;
        self.write("preset-in-force", &deployment.pointer.to_text());
        self.write("vms", &deployment.vms.to_text());
        self.write("targets", &deployment.targets.to_text());
        for (name, text) in &deployment.presets {
            self.write(&format!("presets/{name}"), text);
        }
    }

    /// Starts the programs and writes the file that lists their admin endpoints.
    fn start_programs(&mut self) {
        let mut list = String::new();
        for vm in self.deployment.vms.0.clone() {
            let settings = format!("{}.ini", vm.id);
            let text = self.deployment.settings(&vm, self.platform.address());
            self.write(&settings, &text);
            for name in PROGRAMS {
                let child = Command::new(program(name))
                    .arg("--settings")
                    .arg(self.directory.join(&settings))
                    .stdout(Stdio::null())
                    .spawn()
                    .expect("program started");
                self.programs.push(child);
            }
            let admin = |port| SocketAddr::new(vm.agent.ip(), port);
            list.push_str(&format!(
                "[vm {}]\nagent = {}\nforwarder = {}\nproxy = {}\n",
                vm.id,
                admin(AGENT_ADMIN_PORT),
                admin(FORWARDER_ADMIN_PORT),
                admin(PROXY_ADMIN_PORT)
            ));
        }
        self.write("fleet.ini", &list);
    }

    /// Runs `bambooseam-ctl`; `DIR` and `FLEET` in `line` stand for the paths of this fleet.
    fn ctl(&self, line: &str) -> Output {
        let directory = self.directory.display().to_string();
        let fleet = self.directory.join("fleet.ini").display().to_string();
        let line = line.replace("DIR", &directory).replace("FLEET", &fleet);
        let mut command = Command::new(program("bambooseam-ctl"));
        command
            .args(line.split(' '))
            .output()
            .expect("bambooseam-ctl started")
    }

    /// Repeats a command until the command exits with `code`, because the agents receive changes
    /// from each other at different times.
    #[track_caller]
    fn expect_eventually(&self, code: i32, line: &str) -> Value {
        let start = Instant::now();
        while start.elapsed() < AGREEMENT_TIMEOUT && self.ctl(line).status.code() != Some(code) {
            std::thread::sleep(Duration::from_millis(200));
        }
        self.expect_code(code, line)
    }

    /// Evacuates the zone of a target, waits until every agent shows it, and returns the zone.
    #[track_caller]
    fn evacuate_zone_of(&mut self, target: &str) -> String {
        let target = target.parse().expect("valid name");
        let zone = self.deployment.targets.get(&target).expect("a target");
        let zone = zone.zone.clone();
        self.deployment.targets.evacuated = vec![EvacuatedZone {
            zone: zone.clone(),
            since: std::time::SystemTime::UNIX_EPOCH.into(),
            by: Some("night shift".into()),
        }];
        self.write_documents();
        self.expect_code(0, "check DIR");
        self.platform.publish(Plan::PREFIX, &self.deployment);
        let start = Instant::now();
        loop {
            let status = self.expect_eventually(0, "status --fleet FLEET");
            let evacuated = &status["evacuated"][0];
            if evacuated["vms"].as_array().map(Vec::len) == Some(VMS) {
                assert_eq!(evacuated["zone"], zone.as_str());
                assert_eq!(evacuated["by"], "night shift");
                return zone.to_string();
            }
            assert!(start.elapsed() < AGREEMENT_TIMEOUT, "{status}");
        }
    }

    #[track_caller]
    fn expect_code(&self, code: i32, line: &str) -> Value {
        let output = self.ctl(&format!("{line} --format json"));
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{line}: {text}{errors}");
        serde_json::from_str(&text).unwrap_or(Value::Null)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.programs {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_follow_a_change_and_a_failure() {
    let mut fleet = Fleet::start().await;
    fleet.expect_code(0, "check DIR");
    fleet.expect_code(
        0,
        &format!("wait --revision 1 --timeout {START_TIMEOUT} --fleet FLEET"),
    );
    let status = fleet.expect_eventually(0, "status --fleet FLEET");
    assert_eq!(status["newest_revision"], 1);
    assert_eq!(status["vms"].as_array().map(Vec::len), Some(VMS));
    for vm in status["vms"].as_array().expect("list of VMs") {
        assert_eq!(vm["preset"], "ordinary");
        for program in ["agent", "forwarder", "proxy"] {
            assert_eq!(vm["revisions"][program], 1, "{vm}");
        }
    }

    let peak = "peak-season".parse().expect("valid name");
    assert!(fleet.deployment.switch(&peak));
    fleet.write_documents();
    fleet.expect_code(0, "check DIR");
    fleet.platform.publish(Plan::PREFIX, &fleet.deployment);
    fleet.expect_code(
        0,
        &format!("wait --revision 2 --timeout {SWITCH_TIMEOUT} --fleet FLEET"),
    );
    let status = fleet.expect_eventually(0, "status --fleet FLEET");
    assert_eq!(status["vms"][0]["preset"], "peak-season");
    for program in ["agent", "forwarder", "proxy"] {
        let events = status["vms"][0]["events"]
            .as_array()
            .expect("list of events");
        let is_switch = |event: &&Value| {
            event["program"] == program
                && event["kind"] == "preset_switched"
                && event["revision"] == 2
        };
        assert!(
            events.iter().any(|event| is_switch(&event)),
            "{program}: {events:?}"
        );
    }

    let view = View::build(&fleet.deployment.source(1)).expect("valid view");
    let orders = view.service_index(&"fill-orders".parse().expect("valid name"));
    let service = SocketAddr::new(
        view.service(orders.expect("service exists")).address,
        FEED_PORT,
    );
    let views = SocketAddr::new(fleet.deployment.vms.0[0].agent.ip(), VIEW_PORT);
    let flow = format!("explain flow --from 10.0.0.1:999 --to {service}");
    let by_agent = fleet.expect_code(0, &format!("{flow} --views {views}"));
    let by_all = fleet.expect_eventually(0, &format!("{flow} --documents DIR --fleet FLEET"));
    assert_eq!(by_all["views"].as_array().map(Vec::len), Some(VMS + 1));
    for view in by_all["views"].as_array().expect("list of views") {
        assert_eq!(view["answer"], by_agent["views"][0]["answer"]);
        assert_eq!(view["revision"], 2);
    }
    let request = "explain request --service fill-orders --path /a --documents DIR --fleet FLEET";
    fleet.expect_eventually(0, request);
    let stop = fleet.expect_code(1, "can-stop vm vm-001 --documents DIR --fleet FLEET");
    assert_eq!(stop["can_stop"], "no");
    let stop = "can-stop target bay-0001 --documents DIR --fleet FLEET";
    fleet.expect_code(1, stop);
    for target in &mut fleet.deployment.targets.targets {
        if target.id.as_str() == "bay-0001" {
            target.state = TargetState::Leaving;
        }
    }
    fleet.write_documents();
    fleet.platform.publish(Plan::PREFIX, &fleet.deployment);
    let stop = fleet.expect_eventually(0, stop);
    assert_eq!(stop["can_stop"], "yes");

    let zone = fleet.evacuate_zone_of("bay-0002");
    let views = format!("explain request --service fill-orders --path /a --views {views}");
    let answer = &fleet.expect_code(0, &views)["views"][0]["answer"];
    for target in answer["targets"].as_array().expect("list of targets") {
        assert_eq!(target["evacuated"], target["zone"] == zone, "{target}");
    }

    let agent = &mut fleet.programs[0];
    agent.kill().expect("process killed");
    agent.wait().expect("process ended");
    // The other agents may disagree on the health of the VM for a while, in which case the command
    // exits with 1.
    let status = fleet.expect_eventually(3, "status --fleet FLEET");
    assert_eq!(status["vms"][0]["reached"], false);
    assert_eq!(
        status["vms"][0]["revisions"]["forwarder"], 2,
        "the forwarder keeps its view without the agent"
    );
    assert_eq!(status["vms"][1]["reached"], true);
}
