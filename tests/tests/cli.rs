//! Command lines of all programs, run as child processes.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_tests::programs::program;
use serde_json::Value;

/// Programs of an entry VM.
const VM_PROGRAMS: [&str; 3] = [
    "bambooseam-agent",
    "bambooseam-forwarder",
    "bambooseam-proxy",
];

/// All programs that operators run.
const PROGRAMS: [&str; 4] = [
    VM_PROGRAMS[0],
    VM_PROGRAMS[1],
    VM_PROGRAMS[2],
    "bambooseam-ctl",
];

/// A temporary file, removed on drop.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bambooseam-cli-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("file written");
        Self(path)
    }

    fn settings(name: &str) -> Self {
        let deployment = Deployment::of(DeploymentKind::Cascade);
        let platform = ([127, 0, 0, 1], 1).into();
        Self::new(name, &deployment.settings(&deployment.vms.0[0], platform))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path is ASCII")
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn run(name: &str, args: &[&str]) -> Output {
    let mut command = Command::new(program(name));
    command.args(args).output().expect("program started")
}

fn output(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    text
}

#[track_caller]
fn assert_exit_code(run: &Output, code: i32) {
    assert_eq!(run.status.code(), Some(code), "{}", output(run));
}

#[test]
fn every_program_prints_help_and_version() {
    for name in PROGRAMS {
        let help = run(name, &["--help"]);
        assert_exit_code(&help, 0);
        for word in ["--settings", "--check", "--version", "--help"] {
            assert!(output(&help).contains(word), "{name}: {}", output(&help));
        }
        let version = run(name, &["--version"]);
        assert_exit_code(&version, 0);
        let expected = format!("{name} {}\n", env!("CARGO_PKG_VERSION"));
        assert_eq!(output(&version), expected);
        assert_exit_code(&run(name, &["--nonsense"]), 2);
    }
}

#[test]
fn every_program_accepts_valid_settings() {
    let settings = TestFile::settings("good");
    for name in PROGRAMS {
        let checked = run(name, &["--settings", settings.path(), "--check"]);
        assert_exit_code(&checked, 0);
        assert!(
            output(&checked).contains("result=good"),
            "{}",
            output(&checked)
        );
    }
}

#[test]
fn every_program_refuses_invalid_settings_with_all_findings() {
    let text = "[vm]\nid = vm-1\nzone =\naddress = 127.0.0.1\n[platform]\nadresses = x\n";
    let settings = TestFile::new("bad", text);
    for name in PROGRAMS {
        for args in [&["--check"][..], &[]] {
            if name == "bambooseam-ctl" && args.is_empty() {
                continue;
            }
            let refused = run(name, &[&["--settings", settings.path()], args].concat());
            assert_exit_code(&refused, 2);
            let text = output(&refused);
            assert!(text.contains(":3: vm.zone"), "{name}: {text}");
            assert!(text.contains(":6: platform.adresses"), "{name}: {text}");
            assert!(text.contains("did you mean addresses?"), "{name}: {text}");
        }
        assert_exit_code(&run(name, &["--settings", "/absent", "--check"]), 2);
    }
}

#[test]
fn programs_need_settings() {
    for name in VM_PROGRAMS {
        assert_exit_code(&run(name, &[]), 2);
        assert_exit_code(&run(name, &["--check"]), 2);
    }
    assert_exit_code(&run("bambooseam-ctl", &[]), 2);
    assert_exit_code(&run("bambooseam-ctl", &["--check"]), 2);
}

#[test]
fn ctl_exits_with_the_documented_codes() {
    let settings = TestFile::settings("codes");
    let list = TestFile::new("list", "[vm a]\nzone = n\naddress = 127.0.0.1\n");
    let bad = TestFile::new("bad-list", "[vm a]\nzone = n\naddress = x\n");
    let ctl = |args: &[&str]| run("bambooseam-ctl", args);
    assert_exit_code(&ctl(&["check", list.path()]), 0);
    assert_exit_code(&ctl(&["check", bad.path()]), 2);
    assert_exit_code(&ctl(&["check", "--kind", "targets", list.path()]), 2);
    assert_exit_code(&ctl(&["check", "--kind", "nonsense", list.path()]), 2);
    assert_exit_code(&ctl(&["status"]), 2);
    assert_exit_code(&ctl(&["status", "--settings", settings.path()]), 3);
    assert_exit_code(&ctl(&["wait", "--vm", "127.0.0.1:1"]), 2);
    let wait = [
        "wait",
        "--vm",
        "127.0.0.1:1",
        "--revision",
        "1",
        "--timeout",
        "100ms",
    ];
    assert_exit_code(&ctl(&wait), 3);
}

#[test]
fn ctl_prints_json_for_scripts_and_progress_only_on_terminals() {
    let bad = TestFile::new("json", "[vm a]\nzone = n\naddress = x\n");
    let checked = run("bambooseam-ctl", &["check", "--format", "json", bad.path()]);
    assert_exit_code(&checked, 2);
    let report: Value = serde_json::from_slice(&checked.stdout).expect("valid JSON");
    assert_eq!(report["result"], "bad-input");
    assert_eq!(report["findings"][0]["line"], 3);
    assert_eq!(report["findings"][0]["allowed"], "an IP address");

    let wait = [
        "wait",
        "--vm",
        "127.0.0.1:1",
        "--revision",
        "1",
        "--timeout",
        "0s",
    ];
    let waited = run(
        "bambooseam-ctl",
        &[&wait[..], &["--format", "json"]].concat(),
    );
    assert_exit_code(&waited, 3);
    assert!(waited.stderr.is_empty(), "{}", output(&waited));
    let report: Value = serde_json::from_slice(&waited.stdout).expect("valid JSON");
    assert_eq!(report["programs"], 3);
}

/// Longest time that a test waits for a program to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between the first response of a program's admin endpoint and the signal, in which the
/// program installs its signal handlers.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);

/// A child process, killed on drop if it still runs.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A loopback address that only this test process uses, derived from its process id.
fn process_address() -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, 201, high, low.clamp(1, 254)])
}

/// Response of an admin endpoint to `GET path`; `None` if the endpoint does not respond.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

/// Response of an admin endpoint to `GET path`, retried until the program has started.
///
/// # Panics
///
/// Panics if the program exits or does not respond within [`START_TIMEOUT`].
fn get_with_retry(running: &mut Running, address: SocketAddr, path: &str) -> String {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if let Some(response) = get(address, path) {
            return response;
        }
        let ended = running.0.try_wait().expect("process state read");
        assert!(
            ended.is_none(),
            "program exited during its start: {ended:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{address} did not respond within {START_TIMEOUT:?}");
}

#[test]
fn running_programs_report_their_state_and_stop_on_sigterm() {
    let deployment = Deployment::of(DeploymentKind::Cascade);
    let address = process_address();
    let mut vm = deployment.vms.0[0].clone();
    for listener in [&mut vm.agent, &mut vm.forwarder, &mut vm.proxy] {
        listener.set_ip(address);
    }
    // No process listens on the addresses of the platform and of the peers.
    let text = deployment.settings(&vm, SocketAddr::new(address, 1));
    let text = text.replace("127.1.1.", "127.202.1.");
    let log = TestFile::new("log", "");
    let text = format!("{text}\n[log]\nfile = {}\n", log.path());
    let settings = TestFile::new("running", &text);
    for (name, port) in VM_PROGRAMS.into_iter().zip(7110..) {
        let child = Command::new(program(name))
            .args(["--settings", settings.path()])
            .stdout(Stdio::null())
            .spawn()
            .expect("program started");
        let mut running = Running(child);
        let admin = SocketAddr::new(address, port);
        let status = get_with_retry(&mut running, admin, "/status");
        let body = status.split("\r\n\r\n").nth(1).unwrap_or_default();
        let status: Value = serde_json::from_str(body).expect("valid JSON");
        assert_eq!(status["program"], name.trim_start_matches("bambooseam-"));
        assert_eq!(status["vm"], vm.id.as_str());
        assert_eq!(status["zone"], vm.zone.as_str());
        for key in ["view", "revision", "preset", "in_force_since_ms"] {
            assert!(
                status.get(key).is_some(),
                "status of {name} lacks {key}: {status}"
            );
        }
        let response = |path| get(admin, path).unwrap_or_default();
        assert!(response("/healthz").starts_with("HTTP/1.1 200"), "{name}");
        assert!(
            response("/readyz").starts_with("HTTP/1.1 503"),
            "{name} is ready without a configuration"
        );
        assert!(response("/metrics").starts_with("HTTP/1.1 200"), "{name}");

        std::thread::sleep(SIGNAL_DELAY);
        // The standard library can send only SIGKILL.
        let kill = format!("kill -TERM {}", running.0.id());
        let sent = Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("shell started");
        assert!(sent.success());
        let ended = running.0.wait().expect("process ended");
        assert_eq!(ended.code(), Some(0), "{name}: {ended:?}");
    }
    let log = fs::read_to_string(&log.0).expect("log file read");
    assert!(log.lines().count() >= VM_PROGRAMS.len(), "{log}");
    for line in log.lines() {
        let keys = keys_of(line)
            .unwrap_or_else(|| panic!("log line is not made of key=value pairs: {line}"));
        assert_eq!(keys[..4], ["time", "level", "from", "event"], "{line}");
    }
}

/// Keys of a line of `key=value` pairs, where a value is a word or a quoted text; `None` for other
/// lines.
fn keys_of(line: &str) -> Option<Vec<&str>> {
    let mut keys = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, value) = rest.split_once('=')?;
        let is_key = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        if key.is_empty() || !key.chars().all(is_key) {
            return None;
        }
        keys.push(key);
        rest = match value.strip_prefix('"') {
            Some(quoted) => after_quote(quoted)?,
            None => value.find(' ').map_or("", |at| &value[at..]),
        };
        if !rest.is_empty() {
            rest = rest.strip_prefix(' ')?;
        }
    }
    Some(keys)
}

/// Text after the quote that closes a value; a quote after a backslash belongs to the value.
fn after_quote(text: &str) -> Option<&str> {
    let mut is_escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !is_escaped => return Some(&text[at + 1..]),
            '\\' => is_escaped = !is_escaped,
            _ => is_escaped = false,
        }
    }
    None
}
