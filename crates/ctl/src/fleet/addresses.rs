//! Admin endpoints to query, from the command line, a settings file or a fleet file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use bambooseam_config::{Document, Settings};
use bambooseam_types::Findings;
use clap::ArgMatches;
use derive_more::{Display, Error};

use crate::documents::single_finding;

/// Addresses of the admin endpoints of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdminAddresses {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Address of the forwarder, if the forwarder itself is queried.
    pub forwarder: Option<SocketAddr>,
    /// Address of the proxy, if the proxy itself is queried.
    pub proxy: Option<SocketAddr>,
}

/// A VM to query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVm {
    /// Name to show until the VM reports its own name.
    pub name: String,
    /// Admin endpoints of its programs.
    pub addresses: AdminAddresses,
}

/// Error for text that is not a list of admin addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("IP:PORT of the agent, or of agent, forwarder and proxy, separated by commas")]
pub struct ParseAddressesError;

impl FromStr for AdminAddresses {
    type Err = ParseAddressesError;

    fn from_str(text: &str) -> Result<Self, ParseAddressesError> {
        let mut parts = Vec::new();
        for part in text.split(',') {
            let address = part.trim().parse::<SocketAddr>();
            parts.push(address.map_err(|_| ParseAddressesError)?);
        }
        match parts[..] {
            [agent] => Ok(Self {
                agent,
                forwarder: None,
                proxy: None,
            }),
            [agent, forwarder, proxy] => Ok(Self {
                agent,
                forwarder: Some(forwarder),
                proxy: Some(proxy),
            }),
            _ => Err(ParseAddressesError),
        }
    }
}

impl From<&Settings> for FleetVm {
    fn from(settings: &Settings) -> Self {
        Self {
            name: settings.vm.id.to_string(),
            addresses: AdminAddresses {
                agent: settings.agent.admin,
                forwarder: Some(settings.forwarder.admin),
                proxy: Some(settings.proxy.admin),
            },
        }
    }
}

/// Reads the VMs to query from the command line.
///
/// # Errors
///
/// Returns findings of the settings file or of the fleet file.
pub fn read_fleet(matches: &ArgMatches) -> Result<Vec<FleetVm>, Findings> {
    let mut vms = Vec::new();
    for addresses in matches.get_many::<AdminAddresses>("vm").unwrap_or_default() {
        vms.push(FleetVm {
            name: addresses.agent.to_string(),
            addresses: *addresses,
        });
    }
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        vms.push(FleetVm::from(&Settings::load(path)?));
    }
    if let Some(path) = matches.get_one::<PathBuf>("fleet") {
        vms.extend(read_file(path)?);
    }
    Ok(vms)
}

/// Reads a fleet file, which has a section `[vm NAME]` for each VM.
fn read_file(path: &Path) -> Result<Vec<FleetVm>, Findings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| single_finding(&file, error.to_string(), "a readable fleet file", ""))?;
    let document = Document::parse(&file, &text)?;
    let mut findings = Findings::new();
    document.report_unknown_sections(&["vm"], &mut findings);
    let mut vms = Vec::new();
    for (name, mut section) in document.sections_of("vm") {
        let agent = section.required("agent", &mut findings);
        let forwarder = section.optional("forwarder", &mut findings);
        let proxy = section.optional("proxy", &mut findings);
        section.report_unknown_keys(&mut findings);
        let Some(agent) = agent else { continue };
        vms.push(FleetVm {
            name: name.into(),
            addresses: AdminAddresses {
                agent,
                forwarder,
                proxy,
            },
        });
    }
    findings.into_result(vms)
}
