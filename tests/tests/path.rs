//! The whole path as processes: platform, targets, and three programs on each VM.

use std::path::PathBuf;
use std::process::Command;
use std::sync::LazyLock;

/// Directory of the programs, built once with the features of the whole workspace.
static PROGRAMS: LazyLock<PathBuf> = LazyLock::new(|| {
    // Cargo builds no programs of other packages for a test.
    let status = Command::new(env!("CARGO"))
        .args(["build", "--workspace", "--bins", "--locked"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo runs");
    assert!(status.success(), "the programs do not build");
    let own = std::env::current_exe().expect("a path");
    let profile = own.ancestors().nth(2).expect("target/PROFILE/deps/NAME");
    profile.to_owned()
});

/// Networks that one test may have, one for each process at a time.
const NETWORKS: u32 = 100;

/// Second byte of the addresses of a run, so that runs side by side do not meet.
fn network(first: u32) -> String {
    (first + std::process::id() % NETWORKS).to_string()
}

/// Runs the demonstration in the networks from `first`; gives its output.
fn demo(first: u32, args: &[&str]) -> String {
    let output = Command::new(PROGRAMS.join("bambooseam-measure"))
        .args(["demo", "--network", &network(first)])
        .args(args)
        .output()
        .expect("the demonstration runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    text
}

/// Value of `key` in the line of `step`.
fn figure(text: &str, step: &str, key: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(step));
    let line = line.unwrap_or_else(|| panic!("no {step} in {text}"));
    let pair = line.split(' ').filter_map(|pair| pair.split_once('='));
    let mut values = pair
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value);
    let value = values
        .next_back()
        .unwrap_or_else(|| panic!("no {key} in {line}"));
    value.parse().expect("a number")
}

#[test]
fn planned_changes_and_a_killed_vm_break_no_flow() {
    let text = demo(20, &["--feeds", "45", "--callers", "4", "--step-time", "1"]);
    for step in ["preset_switch", "planned_vm", "planned_target", "killed_vm"] {
        let step = format!("step={step}");
        assert_eq!(figure(&text, &step, "broken_flows"), 0.0, "{text}");
    }
    let time = figure(&text, "step=preset_switch", "everywhere_s");
    assert!(time < 8.0, "{text}");
}

#[test]
fn requests_and_feeds_pass_through_three_vms() {
    let text = demo(
        120,
        &["--short", "--vms", "3", "--feeds", "20", "--callers", "4"],
    );
    assert!(figure(&text, "step=steady", "whole") > 10.0, "{text}");
    assert_eq!(figure(&text, "step=steady", "broken_flows"), 0.0, "{text}");
    assert!(text.contains("result=good"), "{text}");
}
