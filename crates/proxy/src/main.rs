//! `bambooseam-proxy`: the request program of an entry VM.

use std::process::ExitCode;
use std::sync::Arc;

use bambooseam_config::Settings;
use bambooseam_observe::{Admin, Program, Start, finish, stop_signal};
use bambooseam_peer::feed::subscribe;
use bambooseam_proxy::Proxy;

fn main() -> ExitCode {
    let settings = match Program::new("bambooseam-proxy", "Request program of an entry VM").start()
    {
        Start::Run { settings, .. } => settings,
        Start::Exit(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(run(&settings)));
    finish(result)
}

/// Serves until a signal requests a planned stop.
async fn run(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let admin = Admin::bind(settings.proxy.admin).await?;
    let views = subscribe(settings.agent.views, "proxy")?;
    let proxy = Proxy::start(settings, views.clone()).await?;
    let status = Arc::clone(&proxy);
    tokio::spawn(admin.serve(proxy.ready(), move || status.status()));
    let vm = &settings.vm.id;
    log::info!("event=started program=proxy vm={vm}");
    let stop = async {
        match stop_signal().await {
            Ok(signal) => log::info!("event=stop_asked signal={signal}"),
            Err(error) => log::error!("event=no_signals cause={:?}", error.to_string()),
        }
    };
    proxy.run(views, stop).await;
    Ok(())
}
