//! The programs of the workspace, for tests that run them as processes.

use std::path::PathBuf;
use std::process::Command;
use std::sync::LazyLock;

/// Directory of the programs, built once with the features of the whole workspace.
static DIRECTORY: LazyLock<PathBuf> = LazyLock::new(|| {
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

/// Path of the program called `name`.
pub fn program(name: &str) -> PathBuf {
    DIRECTORY.join(name)
}
