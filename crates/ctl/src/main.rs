//! Entry point of `bambooseam-ctl`.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = bambooseam_ctl::command().get_matches();
    bambooseam_ctl::run(&matches).await.into()
}
