//! Reads the sections of a settings file.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use bambooseam_types::{ByteCount, ByteRate, EventRate, Finding, Findings, Location};

use super::{
    AgentSettings, ColdLimit, EntrySettings, ForwarderSettings, LogSettings, PlatformSettings,
    ProxySettings, VmSettings,
};
use crate::fleet::check_address;
use crate::unique::UniqueKeys;
use crate::{Document, Section};

/// Section kinds of a settings file.
pub(super) const SECTIONS: [&str; 8] = [
    "vm",
    "platform",
    "agent",
    "forwarder",
    "proxy",
    "entry",
    "log",
    "trace",
];
/// Allowed log levels.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Default prefix of all keys.
const DEFAULT_PREFIX: &str = "bambooseam";
/// Default watch time.
const DEFAULT_WATCH_TIME: Duration = Duration::from_secs(30);
/// Default poll time.
const DEFAULT_POLL_TIME: Duration = Duration::from_secs(30);
/// Default control budget.
const DEFAULT_BUDGET: ByteRate = ByteRate::new(3_000);
/// Default rate of exchanges.
const DEFAULT_EXCHANGE_RATE: EventRate = EventRate::new(2.0);
/// Default time from the request to stop until the process is killed.
const DEFAULT_STOP_TIME: Duration = Duration::from_secs(6);
/// Allowed stop times.
const STOP_TIMES: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(3600);
/// Default flow limit.
const DEFAULT_FLOW_LIMIT: u64 = 1_000_000;
/// Allowed factors on the rate of a cold target.
const EXCESSES: RangeInclusive<f64> = 0.0..=1_000.0;
/// Allowed openings in any second beyond the rate.
const SLACKS: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Default connection limit.
const DEFAULT_CONNECTION_LIMIT: u64 = 20_000;
/// Default head limit.
const DEFAULT_HEAD_LIMIT: ByteCount = ByteCount::new(64 << 10);
/// Default head time.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(10);
/// Default drain time.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(300);
/// Allowed watch and poll times.
const POLL_TIMES: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(3600);
/// Allowed control budgets.
const BUDGETS: RangeInclusive<ByteRate> = ByteRate::new(100)..=ByteRate::new(1 << 30);
/// Allowed rates of exchanges.
const EXCHANGE_RATES: RangeInclusive<EventRate> = EventRate::new(0.01)..=EventRate::new(1_000.0);
/// Allowed head limits; the HTTP library needs at least 8 KiB.
const HEAD_LIMITS: RangeInclusive<ByteCount> = ByteCount::new(8 << 10)..=ByteCount::new(1 << 20);
/// Allowed head times.
const HEAD_TIMES: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(600);
/// Allowed drain times.
const DRAIN_TIMES: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(24 * 3600);
/// Default ports, on the VM's address or on loopback.
const AGENT_PORT: u16 = 7100;
const VIEW_PORT: u16 = 7101;
const AGENT_ADMIN_PORT: u16 = 7110;
const FORWARDER_ADMIN_PORT: u16 = 7111;
const PROXY_ADMIN_PORT: u16 = 7112;
const FORWARDER_PORT: u16 = 6082;
const PROXY_PORT: u16 = 7200;
const ENTRY_ADMIN_PORT: u16 = 7113;

/// Reads a section; an absent section has all defaults.
pub(super) fn read_section<T>(
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
pub(super) fn read_vm(document: &Document, findings: &mut Findings) -> Option<VmSettings> {
    let mut section = document.required_section("vm", findings)?;
    let id = section.required("id", findings);
    let zone = section.required("zone", findings);
    let address: Option<IpAddr> = section.required("address", findings);
    if let Some(address) = address {
        check_address(address, section.location("address"), findings);
    }
    section.report_unknown_keys(findings);
    Some(VmSettings {
        id: id?,
        zone: zone?,
        address: address?,
    })
}

/// Reads `[platform]`.
pub(super) fn read_platform(
    document: &Document,
    findings: &mut Findings,
) -> Option<PlatformSettings> {
    let mut section = document.required_section("platform", findings)?;
    let addresses: Vec<SocketAddr> = section.list("addresses", findings);
    if addresses.is_empty() {
        let location = section.location("addresses");
        findings.push(Finding::new(
            location,
            "no address",
            "IP:PORT, separated by commas",
        ));
    }
    check_remote(&addresses, "addresses", &section, findings);
    let prefix = section.or("prefix", DEFAULT_PREFIX.to_owned(), findings);
    check_prefix(&prefix, &section, findings);
    let watch_time =
        section.duration_within("watch-time", DEFAULT_WATCH_TIME, POLL_TIMES, findings);
    let poll_time = section.duration_within("poll-time", DEFAULT_POLL_TIME, POLL_TIMES, findings);
    section.report_unknown_keys(findings);
    Some(PlatformSettings {
        addresses,
        prefix,
        watch_time,
        poll_time,
    })
}

/// Reads `[agent]`.
pub(super) fn read_agent(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> AgentSettings {
    let views: SocketAddr = section.or("views", loopback(VIEW_PORT), findings);
    if !views.ip().is_loopback() {
        let finding = Finding::new(
            section.location("views"),
            views.to_string(),
            "a loopback address",
        );
        findings.push(finding.with_hint("only programs of this VM get their view here"));
    }
    let peers: Vec<SocketAddr> = section.list("peers", findings);
    check_remote(&peers, "peers", section, findings);
    AgentSettings {
        listen: section.or("listen", SocketAddr::new(address, AGENT_PORT), findings),
        views,
        admin: section.or("admin", loopback(AGENT_ADMIN_PORT), findings),
        peers,
        budget: ranged(section, "budget", DEFAULT_BUDGET, &BUDGETS, findings),
        exchanges: ranged(
            section,
            "exchanges",
            DEFAULT_EXCHANGE_RATE,
            &EXCHANGE_RATES,
            findings,
        ),
    }
}

/// Reads `[forwarder]`.
pub(super) fn read_forwarder(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> ForwarderSettings {
    ForwarderSettings {
        listen: section.or("listen", SocketAddr::new(address, FORWARDER_PORT), findings),
        admin: section.or("admin", loopback(FORWARDER_ADMIN_PORT), findings),
        flow_limit: section.within("flow-limit", DEFAULT_FLOW_LIMIT, 1..=100_000_000, findings),
    }
}

/// Reads `[proxy]`.
pub(super) fn read_proxy(
    section: &mut Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> ProxySettings {
    ProxySettings {
        address: section.or("address", address, findings),
        listen: section.or("listen", SocketAddr::new(address, PROXY_PORT), findings),
        admin: section.or("admin", loopback(PROXY_ADMIN_PORT), findings),
        connection_limit: section.within(
            "connection-limit",
            DEFAULT_CONNECTION_LIMIT,
            1..=10_000_000,
            findings,
        ),
        head_limit: ranged(
            section,
            "head-limit",
            DEFAULT_HEAD_LIMIT,
            &HEAD_LIMITS,
            findings,
        ),
        head_time: section.duration_within("head-time", DEFAULT_HEAD_TIME, HEAD_TIMES, findings),
        drain_time: section.duration_within(
            "drain-time",
            DEFAULT_DRAIN_TIME,
            DRAIN_TIMES,
            findings,
        ),
    }
}

/// Reads `[entry]`.
pub(super) fn read_entry(
    mut section: Section<'_>,
    address: IpAddr,
    findings: &mut Findings,
) -> Option<EntrySettings> {
    let listen: Option<SocketAddr> = section.required("listen", findings);
    let ready = section.required("ready", findings);
    let peer = section.required("peer", findings);
    let seeds: Vec<SocketAddr> = section.list("seeds", findings);
    check_remote(&seeds, "seeds", &section, findings);
    let coordination: Option<SocketAddrV4> = section.optional("coordination", findings);
    let addresses: Vec<_> = coordination.map(SocketAddr::V4).into_iter().collect();
    check_remote(&addresses, "coordination", &section, findings);
    let admin = section.or(
        "admin",
        SocketAddr::new(address, ENTRY_ADMIN_PORT),
        findings,
    );
    let stop_time = section.duration_within("stop-time", DEFAULT_STOP_TIME, STOP_TIMES, findings);
    let flow_limit = section.within("flow-limit", DEFAULT_FLOW_LIMIT, 1..=100_000_000, findings);
    let cold_limit = read_cold_limit(&mut section, findings);
    let target_speed = read_switch(&mut section, "target-speed", true, findings);
    let evacuated_last_resort = read_switch(&mut section, "evacuated-last-resort", true, findings);
    section.report_unknown_keys(findings);
    Some(EntrySettings {
        listen: listen?,
        ready: ready?,
        peer: peer?,
        admin,
        coordination,
        seeds,
        stop_time,
        flow_limit,
        cold_limit,
        target_speed,
        evacuated_last_resort,
    })
}

/// Reads the margins of the limit on openings at cold targets; `None` without either key.
fn read_cold_limit(section: &mut Section<'_>, findings: &mut Findings) -> Option<ColdLimit> {
    let before = findings.len();
    let excess = section.optional::<f64>("cold-excess", findings);
    let slack = section.optional::<f64>("cold-slack", findings);
    if findings.len() > before {
        return None;
    }
    if excess.is_some_and(|excess| !EXCESSES.contains(&excess)) {
        let allowed = format!("a number from {} to {}", EXCESSES.start(), EXCESSES.end());
        let found = excess.unwrap_or_default().to_string();
        findings.push(Finding::new(
            section.location("cold-excess"),
            found,
            allowed,
        ));
    }
    if slack.is_some_and(|slack| !SLACKS.contains(&slack)) {
        let allowed = format!("a number from {} to {}", SLACKS.start(), SLACKS.end());
        let found = slack.unwrap_or_default().to_string();
        findings.push(Finding::new(section.location("cold-slack"), found, allowed));
    }
    // A platform may leave out a margin that adds nothing.
    (excess.is_some() || slack.is_some()).then(|| ColdLimit {
        excess: excess.unwrap_or(1.0),
        slack: slack.unwrap_or(0.0),
    })
}

/// Reads a key that is `on` or `off`; returns `default` when the key is absent.
fn read_switch(
    section: &mut Section<'_>,
    key: &'static str,
    default: bool,
    findings: &mut Findings,
) -> bool {
    let Some(value) = section.optional::<String>(key, findings) else {
        return default;
    };
    if !["on", "off"].contains(&value.as_str()) {
        let finding = Finding::new(section.location(key), format!("{value:?}"), "on or off");
        findings.push(finding);
    }
    value == "on"
}

/// Reads `[log]`.
pub(super) fn read_log(section: &mut Section<'_>, findings: &mut Findings) -> LogSettings {
    let level = section.or("level", "info".to_owned(), findings);
    if !LEVELS.contains(&level.as_str()) {
        let location = section.location("level");
        findings.push(Finding::new(
            location,
            format!("{level:?}"),
            LEVELS.join(", "),
        ));
    }
    LogSettings {
        level,
        file: read_path(section, findings),
    }
}

/// Reads the file of `[log]` or `[trace]`.
pub(super) fn read_path(section: &mut Section<'_>, findings: &mut Findings) -> Option<PathBuf> {
    let path: Option<PathBuf> = section.optional("file", findings);
    if path
        .as_ref()
        .is_some_and(|path| path.as_os_str().is_empty())
    {
        let location = section.location("file");
        findings.push(Finding::new(
            location,
            "an empty path",
            "a path, or no such key",
        ));
    }
    path
}

/// Parses a quantity and reports one outside `allowed`; returns `default` when the key is absent.
fn ranged<T>(
    section: &mut Section<'_>,
    key: &'static str,
    default: T,
    allowed: &RangeInclusive<T>,
    findings: &mut Findings,
) -> T
where
    T: crate::Value + PartialOrd + std::fmt::Display,
{
    let value = section.or(key, default, findings);
    if !allowed.contains(&value) {
        let range = format!("from {} to {}", allowed.start(), allowed.end());
        findings.push(Finding::new(
            section.location(key),
            value.to_string(),
            range,
        ));
    }
    value
}

/// Reports addresses at which no machine can be reached.
fn check_remote(
    addresses: &[SocketAddr],
    key: &str,
    section: &Section<'_>,
    findings: &mut Findings,
) {
    for address in addresses {
        if address.port() > 0 && !address.ip().is_unspecified() {
            continue;
        }
        let allowed = "IP:PORT of one machine, the port from 1";
        findings.push(Finding::new(
            section.location(key),
            address.to_string(),
            allowed,
        ));
    }
}

/// Reports a prefix that can't be part of a key's path.
fn check_prefix(prefix: &str, section: &Section<'_>, findings: &mut Findings) {
    let is_part = |part: &str| {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !part.is_empty() && part.chars().all(is_allowed)
    };
    if prefix.split('/').all(is_part) {
        return;
    }
    let allowed = "names of letters, digits, '-', '_' and '.', with '/' between them";
    findings.push(Finding::new(
        section.location("prefix"),
        format!("{prefix:?}"),
        allowed,
    ));
}

/// Reports listeners that share an address and port; with port 0 the system selects the port.
pub(super) fn check_listeners(
    agent: &AgentSettings,
    forwarder: &ForwarderSettings,
    proxy: &ProxySettings,
    document: &Document,
    findings: &mut Findings,
) {
    let listeners = [
        ("agent", "listen", agent.listen),
        ("agent", "views", agent.views),
        ("agent", "admin", agent.admin),
        ("forwarder", "admin", forwarder.admin),
        ("proxy", "listen", proxy.listen),
        ("proxy", "admin", proxy.admin),
    ];
    let mut keys = UniqueKeys::new();
    for (name, key, address) in listeners {
        if address.port() == 0 {
            continue;
        }
        let location = match document.section(name) {
            Some(section) => section.location(key),
            None => Location::new(document.file(), 0, format!("{name}.{key}")),
        };
        keys.add(address, format!("{name}.{key}"), location);
    }
    keys.report("an address and port of its own", findings);
}

/// A port on loopback.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
