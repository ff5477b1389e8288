//! End-to-end runs with processes: the platform, targets, and three programs on each VM.

use std::path::PathBuf;
use std::process::Command;
use std::sync::LazyLock;

/// Directory of the programs, which are built once with the features of the whole workspace.
static PROGRAMS: LazyLock<PathBuf> = LazyLock::new(|| {
    let executable = std::env::current_exe().expect("path of the test executable");
    let profile = executable
        .ancestors()
        .nth(2)
        .expect("target/PROFILE/deps/NAME");
    // For a test, Cargo does not build programs of other packages.
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--workspace", "--bins", "--locked"]);
    if profile.ends_with("release") {
        build.arg("--release");
    }
    let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
    assert!(
        status.expect("cargo starts").success(),
        "cargo build of the workspace programs failed"
    );
    profile.to_owned()
});

/// Runs the demonstration in a separate network and returns its output.
fn demo(args: &[&str]) -> String {
    let output = Command::new(PROGRAMS.join("bambooseam-measure"))
        .arg("demo")
        .args(args)
        .output()
        .expect("the demonstration starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    text
}

/// Returns the last value of `key` in the first line that starts with `step`.
fn value_of(text: &str, step: &str, key: &str) -> f64 {
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
    let text = demo(&["--feeds", "45", "--callers", "4", "--step-time", "1"]);
    for step in ["preset_switch", "planned_vm", "planned_target", "killed_vm"] {
        let step = format!("step={step}");
        assert_eq!(value_of(&text, &step, "broken_flows"), 0.0, "{text}");
    }
    let time = value_of(&text, "step=preset_switch", "everywhere_s");
    assert!(time < 8.0, "{text}");
}

#[test]
fn requests_and_feeds_pass_through_three_vms() {
    let text = demo(&["--short", "--vms", "3", "--feeds", "20", "--callers", "4"]);
    assert!(value_of(&text, "step=steady", "whole") > 10.0, "{text}");
    assert_eq!(
        value_of(&text, "step=steady", "broken_flows"),
        0.0,
        "{text}"
    );
    assert!(text.contains("result=good"), "{text}");
}
