//! Views for `explain`: from documents or an agent, combined with the VM health that each agent
//! reports.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::{Preset, PresetPointer, digest_of};
use bambooseam_peer::feed::subscribe;
use bambooseam_types::{Findings, PresetName, VmId};
use bambooseam_view::{View, ViewSource};
use clap::ArgMatches;

use crate::documents::{Published, single_finding};
use crate::fleet::{ProgramStatus, VmResponse, fetch_all, read_fleet};
use crate::status::response_timeout;

/// Name of this program in its subscription to an agent.
const PROGRAM: &str = "ctl";

/// A view with the name of its source.
#[derive(Debug)]
pub enum NamedView {
    /// The view is known.
    Known {
        /// Directory, agent address or VM that the view comes from.
        name: String,
        /// The view.
        view: Arc<View>,
    },
    /// The VM's agent could not be reached.
    Unreachable {
        /// Name of the VM.
        name: String,
        /// Cause of the failure.
        cause: String,
    },
}

impl NamedView {
    /// Returns the name of the source.
    pub fn name(&self) -> &str {
        match self {
            Self::Known { name, .. } | Self::Unreachable { name, .. } => name,
        }
    }
}

/// Reads the views that the command line selects.
///
/// # Errors
///
/// Returns findings in the documents, or one if an agent returns no view.
pub async fn read_views(matches: &ArgMatches) -> Result<Vec<NamedView>, Findings> {
    if let Some(address) = matches.get_one::<SocketAddr>("views") {
        let view = receive_view(*address, response_timeout(matches)).await?;
        let name = address.to_string();
        return Ok(vec![NamedView::Known { name, view }]);
    }
    let Some(directory) = matches.get_one::<PathBuf>("documents") else {
        return Ok(Vec::new());
    };
    let published = Published::read(directory)?;
    let mut source = published.source(&[])?;
    if let Some(preset) = matches.get_one::<PresetName>("preset") {
        replace_preset(&mut source, &published, preset)?;
    }
    let mut views = vec![NamedView::Known {
        name: directory.display().to_string(),
        view: Arc::new(View::build(&source)?),
    }];
    for response in fetch_all(&read_fleet(matches)?, response_timeout(matches)).await {
        views.push(view_of(&response, &source)?);
    }
    Ok(views)
}

/// Returns the view of one VM: the documents with the suspected VMs, the revision and the view
/// number that its agent reports.
fn view_of(response: &VmResponse, source: &ViewSource) -> Result<NamedView, Findings> {
    let name = response.vm().to_owned();
    let Some(agent) = response.agent.status() else {
        let error = response.agent.error().map(ToString::to_string);
        let cause = error.unwrap_or_default();
        return Ok(NamedView::Unreachable { name, cause });
    };
    let mut source = source.clone();
    source.suspects = suspects_of(agent);
    let mut view = View::build(&source)?;
    if let Some(revision) = agent.revision {
        view.pointer.revision = revision;
    }
    if let Some(view_number) = agent.view {
        view.number = view_number;
    }
    let view = Arc::new(view);
    Ok(NamedView::Known { name, view })
}

/// Returns the VMs that the agent reports as suspected or dead, sorted.
fn suspects_of(agent: &ProgramStatus) -> Vec<VmId> {
    let is_unavailable = |health: &str| health.starts_with("suspect") || health.starts_with("dead");
    let mut suspects = Vec::new();
    for vm in &agent.health {
        if !is_unavailable(&vm.health) {
            continue;
        }
        suspects.extend(vm.vm.parse::<VmId>());
    }
    suspects.sort();
    suspects
}

/// Subscribes to the agent at `address` and returns its view.
async fn receive_view(address: SocketAddr, timeout: Duration) -> Result<Arc<View>, Findings> {
    let name = address.to_string();
    let failed =
        |cause: String| single_finding(&name, cause, "the address of an agent's view port", "");
    let mut receiver = subscribe(address, PROGRAM).map_err(|error| failed(error.to_string()))?;
    let arrival = receiver.wait_for(Option::is_some);
    let arrival = tokio::time::timeout(timeout, arrival).await;
    let view = arrival
        .map_err(|_| failed("no view within the timeout".into()))?
        .map_err(|_| failed("a closed view feed".into()))?
        .clone();
    view.ok_or_else(|| failed("no view".into()))
}

/// Replaces the preset in force with another preset of the directory.
fn replace_preset(
    source: &mut ViewSource,
    published: &Published,
    name: &PresetName,
) -> Result<(), Findings> {
    let file = published.preset(name).ok_or_else(|| {
        let found = format!("preset {name}");
        single_finding("command line", found, "a preset of the directory", "")
    })?;
    let pointer: PresetPointer = published.pointer.parse()?;
    let preset: Preset = file.parse()?;
    source.preset = file.text.clone();
    source.pointer = PresetPointer {
        revision: pointer.revision,
        name: preset.name,
        digest: digest_of(&file.text),
    }
    .to_text();
    Ok(())
}
