//! Settings of one entry VM: one INI file that all its programs read.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
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
    /// The local VM.
    pub vm: VmSettings,
    /// The platform's configuration service.
    pub platform: PlatformSettings,
    /// The agent, the control program.
    pub agent: AgentSettings,
    /// The forwarder, which handles packets.
    pub forwarder: ForwarderSettings,
    /// The proxy, which handles requests.
    pub proxy: ProxySettings,
    /// The entry program of a VM whose packets name their target; `None` where this program does
    /// not run.
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
    /// Prefix of all keys.
    pub prefix: String,
    /// Longest wait of one long poll.
    pub watch_time: Duration,
    /// Shortest time between polls of an agent that does not watch; jitter adds up to half of it.
    pub poll_time: Duration,
}

/// Section `[agent]`.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// Address on which this agent listens for peers.
    pub listen: SocketAddr,
    /// Address on which the programs of this VM receive their view; loopback.
    pub views: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Agents to ask at start, before documents of the platform are served.
    pub peers: Vec<SocketAddr>,
    /// Budget for control bytes sent.
    pub budget: ByteRate,
    /// Rate at which the agent begins exchanges with all its peers together.
    pub exchanges: EventRate,
}

/// Section `[forwarder]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwarderSettings {
    /// Address on which encapsulated packets arrive.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Most flows in the table.
    pub flow_limit: u64,
}

/// Section `[proxy]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxySettings {
    /// Address on which the request port of each service is opened.
    pub address: IpAddr,
    /// Address on which this proxy listens for other proxies.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Most connections of callers.
    pub connection_limit: u64,
    /// Largest request head.
    pub head_limit: ByteCount,
    /// Time in which a request head must arrive.
    pub head_time: Duration,
    /// Time that a planned stop leaves for requests in progress.
    pub drain_time: Duration,
}

/// Section `[entry]`.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Address on which callers' packets arrive; callers receive responses at the same port number.
    pub listen: SocketAddr,
    /// Address on which the platform checks whether this VM may receive packets.
    pub ready: SocketAddr,
    /// Address on which this VM listens for peers.
    pub peer: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Address at which other VMs of the zone reach this one for coordination; `None` turns
    /// coordination off. All VMs use the same port.
    pub coordination: Option<SocketAddrV4>,
    /// VMs to contact first; the list may be stale or include this VM.
    pub seeds: Vec<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    pub stop_time: Duration,
    /// Most flows in the table.
    pub flow_limit: u64,
    /// Margins of the limit on openings at cold targets; no limit when absent.
    pub cold_limit: Option<ColdLimit>,
    /// Whether placement follows the learned speeds of targets.
    pub target_speed: bool,
    /// Whether a VM that is cut off opens flows in its own zone although the zone is evacuated.
    pub evacuated_last_resort: bool,
}

/// Margins of the limit on openings at a target that has just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor on the rate of the service.
    pub excess: f64,
    /// Openings in any second beyond the rate.
    pub slack: f64,
}

/// Section `[log]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: String,
    /// Log file; standard output when absent.
    pub file: Option<PathBuf>,
}

/// Section `[trace]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceSettings {
    /// File for spans, one JSON object per line; no spans are written when absent.
    pub file: Option<PathBuf>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings of the file, or one finding when the file can't be read.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let mut findings = Findings::new();
            let location = Location::new(&file, 0, "");
            findings.push(Finding::new(
                location,
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
