//! Command-line definition of `bambooseam-ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bambooseam_steer::FlowId;
use bambooseam_types::{PresetName, Protocol, Revision, ServiceName, TargetId, VmId};
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

use crate::documents::FileKind;
use crate::fleet::AdminAddresses;
use crate::report::Format;

/// Exit codes, shown at the end of the help text.
const EXIT_CODES: &str = "\
Exit codes: 0 good or yes, 1 failed or no, 2 bad input, 3 unknown because a program could not be \
reached or does not report it";

/// Returns the command line of `bambooseam-ctl`.
pub fn command() -> Command {
    Command::new("bambooseam-ctl")
        .about("Checks configuration before publication and queries the fleet for its status")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .arg_required_else_help(true)
        .arg(
            Arg::new("settings")
                .long("settings")
                .global(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of a VM, in INI format: its programs are queried too"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .requires("settings")
                .help("Check the settings file and exit with 0 if it is valid, 2 if not"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .global(true)
                .value_name("FORMAT")
                .default_value("human")
                .value_parser(|text: &str| text.parse::<Format>().map_err(|_| "human or json"))
                .help("Output format: human or json"),
        )
        .subcommand(check())
        .subcommand(status())
        .subcommand(wait())
        .subcommand(explain())
        .subcommand(can_stop())
        .subcommand(logs())
}

fn check() -> Command {
    with_fleet(Command::new("check"))
        .about("Checks a settings file, documents, or a directory with all documents")
        .long_about(
            "Checks a settings file, documents, or a directory with all documents. With --vm or \
             --fleet, the pointer is also compared with the revision in force in the fleet.",
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Files, or a directory with preset-in-force, presets/, vms and targets"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .value_parser(FileKind::from_argument)
                .help(format!(
                    "{}; by default detected from the file name and sections",
                    FileKind::ALLOWED
                )),
        )
        .arg(
            Arg::new("in-force")
                .long("in-force")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help(
                    "Version in force of the checked preset or platform-config: the differences \
                     and their effect on open flows are shown",
                ),
        )
}

fn status() -> Command {
    with_fleet(Command::new("status"))
        .about("Compares what each VM has in force and shows the differences")
        .arg(
            Arg::new("events")
                .long("events")
                .value_name("COUNT")
                .default_value("5")
                .value_parser(value_parser!(usize))
                .help("Number of recent decisions to show for each VM"),
        )
}

fn wait() -> Command {
    with_fleet(Command::new("wait"))
        .about("Waits until a revision is in force in all programs of all VMs")
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_name("REVISION")
                .required(true)
                .value_parser(|text: &str| text.parse::<Revision>())
                .help("Revision to wait for; a later revision also counts"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("TIME")
                .default_value("60s")
                .value_parser(value_parser!(humantime::Duration))
                .help("Timeout of the wait, such as 8s"),
        )
}

fn explain() -> Command {
    let flow = Command::new("flow")
        .about("Explains where the packets of a flow are sent")
        .arg(address("from", "Address and port of the caller").required(true))
        .arg(address("to", "Address and port of the service").required(true))
        .arg(
            Arg::new("protocol")
                .long("protocol")
                .value_name("PROTOCOL")
                .default_value("tcp")
                .value_parser(parse_protocol)
                .help("tcp or udp"),
        );
    let request = Command::new("request")
        .about("Explains where a request is sent")
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .value_parser(|text: &str| text.parse::<ServiceName>())
                .help("Service that receives the request"),
        )
        .arg(address("to", "Address and request port of the service"))
        .group(
            ArgGroup::new("which")
                .args(["service", "to"])
                .required(true),
        )
        .arg(
            Arg::new("path")
                .long("path")
                .value_name("PATH")
                .default_value("/")
                .help("Path of the request"),
        );
    Command::new("explain")
        .about("Explains where a flow or request is sent under the view of each VM")
        .subcommand_required(true)
        .subcommand(with_views(flow))
        .subcommand(with_views(request))
}

fn can_stop() -> Command {
    let vm = Arg::new("stop-vm")
        .value_name("VM")
        .required(true)
        .value_parser(|text: &str| text.parse::<VmId>())
        .help("VM to stop");
    let target = Arg::new("stop-target")
        .value_name("TARGET")
        .required(true)
        .value_parser(|text: &str| text.parse::<TargetId>())
        .help("Target to stop");
    Command::new("can-stop")
        .about("Checks whether stopping a VM or target now would interrupt service")
        .subcommand_required(true)
        .subcommand(with_views(
            Command::new("vm").about("Checks an entry VM").arg(vm),
        ))
        .subcommand(with_views(
            Command::new("target").about("Checks a target").arg(target),
        ))
}

fn logs() -> Command {
    let files = || {
        Arg::new("files")
            .value_name("FILE")
            .required(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf))
            .help("Log files, one per VM or with the VM name before time=; - for standard input")
    };
    let flow = Arg::new("flow")
        .long("flow")
        .value_name("CALLER>FRONTEND")
        .required(true)
        .value_parser(|text: &str| text.parse::<FlowId>())
        .help("Address and port of the caller and of the frontend, as in the logs");
    let target = Arg::new("target")
        .long("target")
        .value_name("TARGET")
        .required(true)
        .value_parser(|text: &str| text.parse::<TargetId>())
        .help("Identifier of the target");
    let vms = Command::new("vms").about("Compares what each VM has in force");
    let of_flow = Command::new("flow").about("Explains the outcome of a flow");
    let of_target = Command::new("target")
        .about("Explains why a target receives or does not receive new flows");
    Command::new("logs")
        .about("Analyses the logs of entry programs, whose ports are not reachable for operators")
        .subcommand_required(true)
        .subcommand(vms.arg(files()))
        .subcommand(of_flow.arg(flow).arg(files()))
        .subcommand(of_target.arg(target).arg(files()))
}

/// Adds the arguments that select the VMs to query.
fn with_fleet(command: Command) -> Command {
    command
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("AGENT[,FORWARDER,PROXY]")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<AdminAddresses>())
                .help("Admin endpoints of one VM; may be given several times"),
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("INI file with a section [vm NAME] for each VM: agent, forwarder, proxy"),
        )
        .arg(
            Arg::new("patience")
                .long("patience")
                .value_name("TIME")
                .default_value("2s")
                .value_parser(value_parser!(humantime::Duration))
                .help("Timeout for one response"),
        )
}

/// Adds the arguments that select the source of the views.
fn with_views(command: Command) -> Command {
    with_fleet(command)
        .arg(
            Arg::new("documents")
                .long("documents")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Directory with preset-in-force, presets/, vms and targets"),
        )
        .arg(
            Arg::new("preset")
                .long("preset")
                .value_name("NAME")
                .value_parser(|text: &str| text.parse::<PresetName>())
                .requires("documents")
                .help("Preset to use instead of the one that the pointer names"),
        )
        .arg(
            address("views", "View port of an agent (setting agent.views)")
                .conflicts_with("documents"),
        )
        .group(
            ArgGroup::new("source")
                .args(["documents", "views"])
                .required(true),
        )
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn parse_protocol(text: &str) -> Result<Protocol, &'static str> {
    match text {
        "tcp" => Ok(Protocol::Tcp),
        "udp" => Ok(Protocol::Udp),
        _ => Err("tcp or udp"),
    }
}
