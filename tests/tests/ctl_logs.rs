//! Explanations that `bambooseam-ctl` derives from the logs of VMs.

use std::path::PathBuf;
use std::time::Duration;

use bambooseam_ctl::Outcome;
use bambooseam_ctl::documents::{FileKind, InputFile};
use bambooseam_ctl::logs::flow::{Cause, FlowReport};
use bambooseam_ctl::logs::target::TargetReport;
use bambooseam_ctl::logs::vms::VmsReport;
use bambooseam_ctl::logs::{LogLine, Logs, read_logs};
use bambooseam_ctl::report::Report;
use bambooseam_steer::FlowId;
use bambooseam_tests::site::RunningSite;

const FLOW: &str = "100.64.0.7:1040>198.18.0.1:443";

/// A log line of VM `vm`, `millis` milliseconds after 10:00 UTC.
fn line(millis: u64, vm: &str, rest: &str) -> LogLine {
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    let text = format!("{vm} time=2026-12-04T10:00:{seconds:02}.{millis:03}Z level=INFO {rest}");
    LogLine::parse(&text, "file").expect("valid log line")
}

fn flow() -> FlowId {
    FLOW.parse().expect("valid flow")
}

/// Log lines of the placement of the flow on target i-01 by vm-a at 1 s, with the lines of `rest`.
fn placed(rest: &[LogLine]) -> Vec<LogLine> {
    let mut lines = vec![
        line(
            100,
            "vm-a",
            "event=target_changed target=i-01 token=9bde state=live",
        ),
        line(
            1_000,
            "vm-a",
            &format!("event=flow_placed flow={FLOW} token=9bde"),
        ),
    ];
    lines.extend_from_slice(rest);
    lines.sort_by_key(|line| line.at);
    lines
}

/// Log line of a request that got no response from 8.5 s until 10 s.
fn unanswered() -> LogLine {
    let rest = format!("event=request_unanswered flow={FLOW} token=9bde waited_ms=1500");
    line(10_000, "vm-a", &rest)
}

fn cause_of(lines: &[LogLine]) -> Cause {
    FlowReport::new(lines, flow()).cause
}

#[test]
fn line_is_parsed_with_quotes_brackets_and_the_name_of_its_vm() {
    let text = "  34.31 vm-a time=2026-12-04T10:00:01.250Z level=WARN from=x event=store_lost \
                cause=\"no \\\"answer\\\" in time\" seeds=[10.0.0.1:1, 10.0.0.2:1] n=3";
    let line = LogLine::parse(text, "file").expect("valid log line");
    assert_eq!(
        (line.vm.as_str(), line.event.as_str()),
        ("vm-a", "store_lost")
    );
    assert_eq!(line.field("cause"), Some("no \"answer\" in time"));
    assert_eq!(line.field("seeds"), Some("[10.0.0.1:1, 10.0.0.2:1]"));
    assert_eq!(line.field("n"), Some("3"));
    assert_eq!(line.time(), "2026-12-04T10:00:01.250Z");
    let bare =
        LogLine::parse("time=2026-12-04T10:00:01.250Z event=x", "vm-b").expect("valid log line");
    assert_eq!(bare.vm, "vm-b");
    for text in [
        "",
        "event=x",
        "time=now event=x",
        "time=2026-12-04T10:00:01Z y=x",
    ] {
        assert!(LogLine::parse(text, "file").is_err(), "{text}");
    }
}

#[test]
fn reset_is_explained_by_its_cause() {
    let rest = format!("event=flow_reset flow={FLOW} cause=target_gone token=9bde");
    let lines = placed(&[line(2_000, "vm-a", &rest)]);
    let report = FlowReport::new(&lines, flow());
    assert!(matches!(&report.cause, Cause::Reset { cause, .. } if cause == "target_gone"));
    assert_eq!(report.outcome(), Outcome::Good);
    assert_eq!(report.steps.len(), 2);
}

#[test]
fn hung_request_is_explained_by_the_end_of_its_target() {
    let removed = line(
        10_500,
        "vm-b",
        "event=target_removed target=i-01 outcome=doubted",
    );
    let cause = cause_of(&placed(&[unanswered(), removed]));
    assert_eq!(
        cause,
        Cause::TargetEnded {
            target: "i-01".into()
        }
    );
}

#[test]
fn hung_request_is_explained_by_the_vms_that_got_no_response() {
    let unresponsive = |vm: &str| line(9_200, vm, "event=target_silent target=i-01 flows=2");
    let cause = cause_of(&placed(&[unresponsive("vm-a"), unanswered()]));
    assert!(matches!(cause, Cause::OutOfReach { vm, .. } if vm == "vm-a"));
    let cause = cause_of(&placed(&[
        unresponsive("vm-a"),
        unresponsive("vm-b"),
        unanswered(),
    ]));
    assert!(matches!(cause, Cause::TargetHung { vms: 2, .. }));
    // Lines from long before the request and lines of another target explain nothing.
    let before = line(5_000, "vm-a", "event=target_silent target=i-01 flows=2");
    let other = line(9_200, "vm-a", "event=target_silent target=i-02 flows=2");
    assert_eq!(
        cause_of(&placed(&[before, other, unanswered()])),
        Cause::Unanswered
    );
}

#[test]
fn hung_request_is_explained_by_a_start_of_its_own_vm_only() {
    let start = |vm: &str| line(9_000, vm, "event=entry_started vm=x");
    let cause = cause_of(&placed(&[start("vm-a"), unanswered()]));
    assert!(matches!(cause, Cause::VmStarted { vm } if vm == "vm-a"));
    assert_eq!(
        cause_of(&placed(&[start("vm-b"), unanswered()])),
        Cause::Unanswered
    );
}

#[test]
fn late_opening_served_flow_and_unseen_flow_are_distinguished() {
    let moved = format!("event=flow_moved flow={FLOW} token=b481 copy=1");
    let cause = cause_of(&placed(&[line(1_200, "vm-a", &moved)]));
    assert_eq!(cause, Cause::OpenedLate);
    assert_eq!(cause_of(&placed(&[])), Cause::Served);
    let other = "event=flow_placed flow=100.64.0.9:1>198.18.0.1:443 token=9bde suppressed=7";
    let report = FlowReport::new(&[line(0, "vm-a", other)], flow());
    assert_eq!(report.cause, Cause::NotSeen { suppressed: 7 });
    assert_eq!(report.outcome(), Outcome::Unknown);
}

#[test]
fn target_without_flows_is_explained_for_each_vm() {
    let id = "i-01".parse().expect("valid identifier");
    let changed = |at: u64, vm: &str, state: &str| {
        let rest = format!("event=target_changed target=i-01 token=9bde state={state}");
        line(at, vm, &rest)
    };
    let placed = line(
        20,
        "vm-a",
        &format!("event=flow_placed flow={FLOW} token=9bde"),
    );
    let mut lines = vec![
        changed(10, "vm-a", "live"),
        placed,
        changed(11, "vm-b", "live"),
    ];
    let report = TargetReport::new(&lines, &id);
    assert_eq!(report.outcome(), Outcome::Good, "{report}");
    assert_eq!(report.statuses[0].placed, 1);
    lines.push(line(
        2_000,
        "vm-b",
        "event=target_silent target=i-01 flows=3",
    ));
    let report = TargetReport::new(&lines, &id);
    assert_eq!(report.outcome(), Outcome::Failed, "{report}");
    assert!(!report.statuses[1].takes_flows);
    lines.push(line(3_000, "vm-b", "event=entry_started vm=vm-b"));
    let report = TargetReport::new(&lines, &id);
    assert_eq!(
        report.statuses.len(),
        1,
        "the restarted process of vm-b has no record of the target yet"
    );
    let unknown = TargetReport::new(&lines, &"i-09".parse().expect("valid identifier"));
    assert_eq!(unknown.outcome(), Outcome::Unknown);
}

/// Lines of a flow carry the token that packets carry, lines of its target both forms.
#[test]
fn flows_with_a_numbered_token_are_linked_to_their_target() {
    let changed = "event=target_changed target=i-01 token=9bde numbered=77a1 state=live";
    let mut lines = vec![
        line(10, "vm-a", changed),
        line(
            1_000,
            "vm-a",
            &format!("event=flow_placed flow={FLOW} token=77a1"),
        ),
    ];
    let report = TargetReport::new(&lines, &"i-01".parse().expect("valid identifier"));
    assert_eq!(report.statuses[0].placed, 1);
    let removed = "event=target_removed target=i-01 outcome=ended";
    lines.push(line(1_100, "vm-a", removed));
    let context = FlowReport::new(&lines, flow()).context;
    let events: Vec<_> = context.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["target_removed"]);
}

#[test]
fn configurations_of_vms_are_compared() {
    let config = |at: u64, vm: &str, version: u64| {
        line(at, vm, &format!("event=config_in_force version={version}"))
    };
    let ready = |vm: &str| line(30, vm, "event=readiness_changed ready=true");
    let mut lines = vec![
        line(1, "vm-a", "event=entry_started vm=vm-a"),
        config(10, "vm-a", 4),
        config(11, "vm-b", 4),
        ready("vm-a"),
        ready("vm-b"),
    ];
    assert_eq!(VmsReport::new(&lines).outcome(), Outcome::Good);
    lines.push(config(5_000, "vm-a", 9));
    let report = VmsReport::new(&lines);
    assert_eq!(
        (report.newest(), report.outcome()),
        (Some(9), Outcome::Failed)
    );
    assert!(
        report.to_string().contains("older configuration"),
        "{report}"
    );
    lines.push(line(5_010, "vm-b", "event=stopped state=Quiet"));
    assert_eq!(
        VmsReport::new(&lines).outcome(),
        Outcome::Good,
        "a stopped VM does not count"
    );
    assert_eq!(VmsReport::new(&[]).outcome(), Outcome::Unknown);
}

#[test]
fn configuration_is_checked_before_it_is_published() {
    let check = |text: &str| {
        let file = InputFile {
            name: "configuration.json".into(),
            kind: FileKind::Configuration,
            text: text.into(),
        };
        file.check()
    };
    let valid = r#"{"config_version": 3, "routes": [
        {"host": "198.18.0.1", "prefix": "/443/", "service": "orders", "timeout_ms": 2000}]}"#;
    assert!(check(valid).is_empty(), "{}", check(valid));
    let invalid = valid.replace("/443/", "/port/");
    assert_eq!(check(&invalid).len(), 1);
    assert_eq!(check("[]").len(), 1);
    assert_eq!(check(r#"{"routes": []}"#).len(), 1);
}

#[test]
fn unreadable_files_and_files_without_log_lines_are_bad_input() {
    let missing = PathBuf::from("/nonexistent/vm.log");
    assert!(read_logs([&missing]).is_err());
    let other = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    let findings = read_logs([&other]).expect_err("file has no log line");
    assert_eq!(findings.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_of_running_programs_explain_their_flows() {
    let running = RunningSite::start(&[1, 1], 2).await;
    let traffic = running.traffic(2, 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    traffic.stop().await;
    let mut logs = Logs::default();
    for vm in &running.site.vms {
        for line in vm.log().lines() {
            logs.lines
                .extend(LogLine::parse(line, &vm.ready().to_string()));
        }
    }
    logs.lines.sort_by_key(|line| line.at);
    assert_eq!(VmsReport::new(&logs.lines).outcome(), Outcome::Good);
    let placed = logs.lines.iter().find(|line| line.event == "flow_placed");
    let flow = placed
        .and_then(|line| line.field("flow"))
        .expect("valid flow");
    let report = FlowReport::new(&logs.lines, flow.parse().expect("valid flow"));
    assert_eq!(report.cause, Cause::Served, "{report}");
}
