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

use crate::documents::{Published, single};
use crate::fleet::{ProgramStatus, VmReading, ask_all, read_fleet};
use crate::status::patience;

/// Name under which the agent lists this program.
const PROGRAM: &str = "ctl";

/// A view and whose it is.
#[derive(Debug)]
pub enum HeldView {
    /// It is known.
    Known {
        /// Documents, agent or VM that it comes from.
        from: String,
        /// The view.
        view: Arc<View>,
    },
    /// The VM gave none.
    Unreachable {
        /// The VM.
        from: String,
        /// Why.
        cause: String,
    },
}

impl HeldView {
    /// Whose view it is.
    pub fn from(&self) -> &str {
        match self {
            Self::Known { from, .. } | Self::Unreachable { from, .. } => from,
        }
    }
}

/// Reads the views that the command line names.
///
/// # Errors
///
/// Findings of documents, or one when an agent gives no view.
pub async fn read_views(matches: &ArgMatches) -> Result<Vec<HeldView>, Findings> {
    if let Some(address) = matches.get_one::<SocketAddr>("views") {
        let view = receive(*address, patience(matches)).await?;
        let from = address.to_string();
        return Ok(vec![HeldView::Known { from, view }]);
    }
    let Some(directory) = matches.get_one::<PathBuf>("documents") else {
        return Ok(Vec::new());
    };
    let published = Published::read(directory)?;
    let mut source = published.source(&[])?;
    if let Some(preset) = matches.get_one::<PresetName>("preset") {
        suppose(&mut source, &published, preset)?;
    }
    let mut views = vec![HeldView::Known {
        from: directory.display().to_string(),
        view: Arc::new(View::build(&source)?),
    }];
    for reading in ask_all(&read_fleet(matches)?, patience(matches)).await {
        views.push(view_of(&reading, &source)?);
    }
    Ok(views)
}

/// The view of one VM: the documents with what its agent knows of VMs and of the preset.
fn view_of(reading: &VmReading, source: &ViewSource) -> Result<HeldView, Findings> {
    let from = reading.vm().to_owned();
    let Some(agent) = reading.agent.status() else {
        let error = reading.agent.error().map(ToString::to_string);
        let cause = error.unwrap_or_default();
        return Ok(HeldView::Unreachable { from, cause });
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
    Ok(HeldView::Known { from, view })
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
    let failed = |cause: String| single(&name, cause, "a view of an agent", "");
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
        single("command line", found, "a preset of the directory", "")
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
