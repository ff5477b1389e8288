//! Settings of one entry VM: one INI file that all its programs read.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bambooseam_types::{ByteCount, ByteRate, EventRate, Finding, Findings, Location, VmId, ZoneId};

use crate::Document;
use read::{
    SECTIONS, check_listeners, read_agent, read_entry, read_forwarder, read_log, read_path,
    read_platform, read_proxy, read_section, read_vm,
};

mod read;

/// Checked settings of an entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The VM itself.
    pub vm: VmSettings,
    /// The platform's configuration service.
    pub platform: PlatformSettings,
    /// The control program.
    pub agent: AgentSettings,
    /// The packet program.
    pub forwarder: ForwarderSettings,
    /// The request program.
    pub proxy: ProxySettings,
    /// The program of a VM whose packets name their target; `None` where it does not run.
    pub entry: Option<EntrySettings>,
    /// Logs.
    pub log: LogSettings,
    /// Traces.
    pub trace: TraceSettings,
}

/// Section `[vm]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmSettings {
    /// Identifier of this VM.
    pub id: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Address of this VM.
    pub address: IpAddr,
}

/// Section `[platform]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the configuration service.
    pub addresses: Vec<SocketAddr>,
    /// Start of all keys.
    pub prefix: String,
    /// Longest time that one watch waits.
    pub watch_time: Duration,
    /// Mean time between slow polls of an agent that holds no watch.
    pub poll_time: Duration,
}

/// Section `[agent]`.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Where peers reach this agent.
    pub listen: SocketAddr,
    /// Where the programs of this VM get their view; loopback.
    pub views: SocketAddr,
    /// Admin endpoint.
    pub admin: SocketAddr,
    /// Agents to ask at start, before the platform is believed.
    pub peers: Vec<SocketAddr>,
    /// Budget of control bytes sent.
    pub budget: ByteRate,
    /// Digest exchanges begun.
    pub exchanges: EventRate,
}

/// Section `[forwarder]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwarderSettings {
    /// Where encapsulated packets arrive.
    pub listen: SocketAddr,
    /// Admin endpoint.
    pub admin: SocketAddr,
    /// Most flows in the table.
    pub flow_limit: u64,
}

/// Section `[proxy]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxySettings {
    /// Address on which each service's request port is opened.
    pub address: IpAddr,
    /// Where other proxies reach this one.
    pub listen: SocketAddr,
    /// Admin endpoint.
    pub admin: SocketAddr,
    /// Most connections of callers.
    pub connection_limit: u64,
    /// Largest request head.
    pub head_limit: ByteCount,
    /// Time in which a request head must arrive.
    pub head_time: Duration,
    /// Time that a planned stop gives to requests in progress.
    pub drain_time: Duration,
}

/// Section `[entry]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Where callers' packets arrive; callers receive answers at the same port number.
    pub listen: SocketAddr,
    /// Where the platform asks whether this VM may get packets.
    pub ready: SocketAddr,
    /// Where peers reach this VM.
    pub peer: SocketAddr,
    /// Admin endpoint.
    pub admin: SocketAddr,
    /// VMs to ask first; they may be stale, or this VM itself.
    pub seeds: Vec<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    pub stop_time: Duration,
    /// Most flows to remember.
    pub flow_limit: u64,
}

/// Section `[log]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: String,
    /// File to write to; standard output when absent.
    pub file: Option<PathBuf>,
}

/// Section `[trace]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceSettings {
    /// File to which spans are written, one JSON object a line; none are when absent.
    pub file: Option<PathBuf>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All findings of the file; one finding when it can't be read.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let mut findings = Findings::new();
            let place = Location::new(&file, 0, "");
            findings.push(Finding::new(
                place,
                error.to_string(),
                "a readable settings file",
            ));
            findings
        })?;
        Self::try_from(&Document::parse(&file, &text)?)
    }
}

impl TryFrom<&Document> for Settings {
    type Error = Findings;

    fn try_from(document: &Document) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        document.check_sections(&SECTIONS, &[], &mut findings);
        let vm = read_vm(document, &mut findings);
        let platform = read_platform(document, &mut findings);
        let address = vm
            .as_ref()
            .map_or(IpAddr::from([127, 0, 0, 1]), |vm| vm.address);
        let agent = read_section(document, "agent", &mut findings, |section, findings| {
            read_agent(section, address, findings)
        });
        let forwarder = read_section(document, "forwarder", &mut findings, |section, findings| {
            read_forwarder(section, address, findings)
        });
        let proxy = read_section(document, "proxy", &mut findings, |section, findings| {
            read_proxy(section, address, findings)
        });
        let entry = document
            .section("entry")
            .and_then(|section| read_entry(section, address, &mut findings));
        let log = read_section(document, "log", &mut findings, read_log);
        let trace = read_section(document, "trace", &mut findings, |section, findings| {
            TraceSettings {
                file: read_path(section, findings),
            }
        });
        check_listeners(&agent, &forwarder, &proxy, document, &mut findings);
        match (vm, platform) {
            (Some(vm), Some(platform)) => findings.into_result(Self {
                vm,
                platform,
                agent,
                forwarder,
                proxy,
                entry,
                log,
                trace,
            }),
            _ => Err(findings.sorted()),
        }
    }
}
