//! Builds the programs of the workspace for tests that run them as processes.

use std::path::PathBuf;
use std::process::Command;
use std::sync::LazyLock;

/// Directory of the programs, which are built once with the features of the whole workspace.
static DIRECTORY: LazyLock<PathBuf> = LazyLock::new(|| {
    // For a test, Cargo does not build programs of other packages.
    let status = Command::new(env!("CARGO"))
        .args(["build", "--workspace", "--bins", "--locked"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo starts");
    assert!(
        status.success(),
        "cargo build of the workspace programs failed: {status}"
    );
    let executable = std::env::current_exe().expect("path of the test executable");
    let profile = executable
        .ancestors()
        .nth(2)
        .expect("target/PROFILE/deps/NAME");
    profile.to_owned()
});

/// Returns the path of the program `name`.
pub fn program(name: &str) -> PathBuf {
    DIRECTORY.join(name)
}
