//! Which admin endpoints to ask: from the command line or a file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use bambooseam_config::{Document, Settings};
use bambooseam_types::Findings;
use clap::ArgMatches;
use derive_more::{Display, Error};

use crate::documents::single_finding;

/// Admin endpoints of the programs of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdminAddresses {
    /// Of the agent.
    pub agent: SocketAddr,
    /// Of the forwarder, when it is to be asked too.
    pub forwarder: Option<SocketAddr>,
    /// Of the proxy, when it is to be asked too.
    pub proxy: Option<SocketAddr>,
}

/// A VM to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVm {
    /// Name until the VM tells its own.
    pub name: String,
    /// Whom to ask.
    pub addresses: AdminAddresses,
}

/// Text that names no programs.
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

/// Reads whom to ask from the command line.
///
/// # Errors
///
/// Findings of the fleet file, or one when nobody is named.
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

/// Reads a fleet file.
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
