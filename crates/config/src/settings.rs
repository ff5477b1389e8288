//! Settings of one entry VM: one INI file that all its programs read.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bambooseam_types::{ByteCount, ByteRate, EventRate, Finding, Findings, Place, VmId, ZoneId};

use crate::{Document, Section};

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

/// Section kinds of a settings file.
const SECTIONS: [&str; 7] = [
    "vm",
    "platform",
    "agent",
    "forwarder",
    "proxy",
    "log",
    "trace",
];
/// Levels that a log may have.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Start of all keys when none is named.
const PREFIX: &str = "bambooseam";
/// Watch time when none is named.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Poll time when none is named.
const POLL_TIME: Duration = Duration::from_secs(30);
/// Control budget when none is named.
const BUDGET: ByteRate = ByteRate::new(3_000);
/// Exchanges when no rate is named.
const EXCHANGES: EventRate = EventRate::new(2.0);
/// Flow limit when none is named.
const FLOW_LIMIT: u64 = 1_000_000;
/// Connection limit when none is named.
const CONNECTION_LIMIT: u64 = 20_000;
/// Head limit when none is named.
const HEAD_LIMIT: ByteCount = ByteCount::new(64 << 10);
/// Head time when none is named.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Drain time when none is named.
const DRAIN_TIME: Duration = Duration::from_secs(300);
/// Default ports, on the VM's address or on loopback.
const AGENT_PORT: u16 = 7100;
const VIEW_PORT: u16 = 7101;
const AGENT_ADMIN: u16 = 7110;
const FORWARDER_ADMIN: u16 = 7111;
const PROXY_ADMIN: u16 = 7112;
const GENEVE_PORT: u16 = 6081;
const PROXY_PORT: u16 = 7200;

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
            let place = Place::new(&file, 0, "");
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
        document.report_unknown_sections(&SECTIONS, &mut findings);
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
        let log = read_section(document, "log", &mut findings, read_log);
        let trace = read_section(document, "trace", &mut findings, |section, findings| {
            TraceSettings {
                file: section.optional("file", findings),
            }
        });
        match (vm, platform) {
            (Some(vm), Some(platform)) => findings.into_result(Self {
                vm,
                platform,
                agent,
                forwarder,
                proxy,
                log,
                trace,
            }),
            _ => Err(findings),
        }
    }
}

/// Reads a section that may be absent; an absent one has all defaults.
fn read_section<T>(
    document: &Document,
    name: &str,
    findings: &mut Findings,
    read: impl FnOnce(&mut Section<'_>, &mut Findings) -> T,
) -> T {
    let mut section = document
        .section(name)
        .unwrap_or_else(|| Section::absent(document.file()));
    let value = read(&mut section, findings);
    section.report_unknown_keys(findings);
    value
}

/// Reads `[vm]`.
fn read_vm(document: &Document, findings: &mut Findings) -> Option<VmSettings> {
    let mut section = document.required_section("vm", findings)?;
    let id = section.required("id", findings);
    let zone = section.required("zone", findings);
    let address = section.required("address", findings);
    section.report_unknown_keys(findings);
    Some(VmSettings {
        id: id?,
        zone: zone?,
        address: address?,
    })
}

/// Reads `[platform]`.
fn read_platform(document: &Document, findings: &mut Findings) -> Option<PlatformSettings> {
    let mut section = document.required_section("platform", findings)?;
    let addresses: Vec<SocketAddr> = section.list("addresses", findings);
    if addresses.is_empty() {
        let place = section.place("addresses");
        findings.push(Finding::new(
            place,
            "no address",
            "IP:PORT, separated by commas",
        ));
    }
    let prefix = section.or("prefix", PREFIX.to_owned(), findings);
    let watch_time = section.duration("watch-time", WATCH_TIME, findings);
    let poll_time = section.duration("poll-time", POLL_TIME, findings);
    section.report_unknown_keys(findings);
    Some(PlatformSettings {
        addresses,
        prefix,
        watch_time,
        poll_time,
    })
}

/// Reads `[agent]`.
fn read_agent(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> AgentSettings {
    AgentSettings {
        listen: section.or("listen", SocketAddr::new(address, AGENT_PORT), findings),
        views: section.or("views", loopback(VIEW_PORT), findings),
        admin: section.or("admin", loopback(AGENT_ADMIN), findings),
        peers: section.list("peers", findings),
        budget: section.or("budget", BUDGET, findings),
        exchanges: section.or("exchanges", EXCHANGES, findings),
    }
}

/// Reads `[forwarder]`.
fn read_forwarder(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> ForwarderSettings {
    ForwarderSettings {
        listen: section.or("listen", SocketAddr::new(address, GENEVE_PORT), findings),
        admin: section.or("admin", loopback(FORWARDER_ADMIN), findings),
        flow_limit: section.within("flow-limit", FLOW_LIMIT, 1..=100_000_000, findings),
    }
}

/// Reads `[proxy]`.
fn read_proxy(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> ProxySettings {
    ProxySettings {
        address: section.or("address", address, findings),
        listen: section.or("listen", SocketAddr::new(address, PROXY_PORT), findings),
        admin: section.or("admin", loopback(PROXY_ADMIN), findings),
        connection_limit: section.within(
            "connection-limit",
            CONNECTION_LIMIT,
            1..=10_000_000,
            findings,
        ),
        head_limit: section.or("head-limit", HEAD_LIMIT, findings),
        head_time: section.duration("head-time", HEAD_TIME, findings),
        drain_time: section.duration("drain-time", DRAIN_TIME, findings),
    }
}

/// Reads `[log]`.
fn read_log(section: &mut Section<'_>, findings: &mut Findings) -> LogSettings {
    let level = section.or("level", "info".to_owned(), findings);
    if !LEVELS.contains(&level.as_str()) {
        let place = section.place("level");
        findings.push(Finding::new(place, format!("{level:?}"), LEVELS.join(", ")));
    }
    LogSettings {
        level,
        file: section.optional("file", findings),
    }
}

/// A port on loopback.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
