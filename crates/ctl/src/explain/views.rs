//! Views to explain under: from documents or an agent, and with what each agent knows of VMs.

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

/// Name under which the agent lists this program.
const PROGRAM: &str = "ctl";

/// A view and whose it is.
#[derive(Debug)]
pub enum NamedView {
    /// It is known.
    Known {
        /// Documents, agent or VM that it comes from.
        name: String,
        /// The view.
        view: Arc<View>,
    },
    /// The VM gave none.
    Unreachable {
        /// The VM.
        name: String,
        /// Why.
        cause: String,
    },
}

impl NamedView {
    /// Whose view it is.
    pub fn name(&self) -> &str {
        match self {
            Self::Known { name, .. } | Self::Unreachable { name, .. } => name,
        }
    }
}

/// Reads the views that the command line names.
///
/// # Errors
///
/// Findings of documents, or one when an agent gives no view.
pub async fn read_views(matches: &ArgMatches) -> Result<Vec<NamedView>, Findings> {
    if let Some(address) = matches.get_one::<SocketAddr>("views") {
        let view = receive(*address, response_timeout(matches)).await?;
        let name = address.to_string();
        return Ok(vec![NamedView::Known { name, view }]);
    }
    let Some(directory) = matches.get_one::<PathBuf>("documents") else {
        return Ok(Vec::new());
    };
    let published = Published::read(directory)?;
    let mut source = published.source(&[])?;
    if let Some(preset) = matches.get_one::<PresetName>("preset") {
        suppose(&mut source, &published, preset)?;
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

/// The view of one VM: the documents with what its agent knows of VMs and of the preset.
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

/// VMs that the agent takes for dead or suspects, sorted.
fn suspects_of(agent: &ProgramStatus) -> Vec<VmId> {
    let is_away = |health: &str| health.starts_with("suspect") || health.starts_with("dead");
    let mut suspects = Vec::new();
    for held in &agent.health {
        if !is_away(&held.health) {
            continue;
        }
        suspects.extend(held.vm.parse::<VmId>());
    }
    suspects.sort();
    suspects
}

/// Receives the view that the agent at `address` serves.
async fn receive(address: SocketAddr, patience: Duration) -> Result<Arc<View>, Findings> {
    let name = address.to_string();
    let failed = |cause: String| single_finding(&name, cause, "a view of an agent", "");
    let mut receiver = subscribe(address, PROGRAM).map_err(|error| failed(error.to_string()))?;
    let arrival = receiver.wait_for(Option::is_some);
    let arrival = tokio::time::timeout(patience, arrival).await;
    let view = arrival
        .map_err(|_| failed("no view in time".into()))?
        .map_err(|_| failed("no view".into()))?
        .clone();
    view.ok_or_else(|| failed("no view".into()))
}

/// Points the source at another preset of the directory.
fn suppose(
    source: &mut ViewSource,
    published: &Published,
    name: &PresetName,
) -> Result<(), Findings> {
    let found = published.preset(name).ok_or_else(|| {
        let found = format!("preset {name}");
        single_finding("command line", found, "a preset of the directory", "")
    })?;
    let pointer: PresetPointer = published.pointer.parse()?;
    let preset: Preset = found.parse()?;
    source.preset = found.text.clone();
    source.pointer = PresetPointer {
        revision: pointer.revision,
        name: preset.name,
        digest: digest_of(&found.text),
    }
    .to_text();
    Ok(())
}
