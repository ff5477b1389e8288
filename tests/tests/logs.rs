//! The rate limit of log lines, and the decision log.

use std::time::{Duration, Instant};

use bambooseam_observe::{DecisionLog, LogLimit};
use bambooseam_types::Revision;

#[test]
fn log_limit_counts_all_and_admits_a_few_a_second() {
    let limit = LogLimit::new("bad_packet", 2);
    let start = Instant::now();
    let first: Vec<_> = (0..5).map(|_| limit.admit(start)).collect();
    assert_eq!(first, [Some(0), Some(0), None, None, None]);
    let later = start + Duration::from_secs(1);
    assert_eq!(limit.admit(later), Some(3));
    assert_eq!(limit.admit(later), Some(0));
    assert_eq!(limit.admit(later), None);
    assert_eq!(limit.total(), 8);
}

#[test]
fn decision_log_keeps_the_latest_entries() {
    let log = DecisionLog::with_capacity(3);
    let preset = "peak-season".parse().expect("valid name");
    for number in [1, 2, 2, 3] {
        log.record_preset(&preset, Revision::from(number));
    }
    log.push("target_ejected", "target a: failures");
    let revisions: Vec<_> = log
        .list()
        .iter()
        .map(|event| event.revision.get())
        .collect();
    assert_eq!(revisions, [2, 3, 3]);
    let events = log.to_json();
    assert_eq!(events[1]["kind"], "preset_switched");
    assert_eq!(events[1]["cause"], "preset peak-season");
    assert_eq!(events[2]["kind"], "target_ejected");
    assert_eq!(events[2]["revision"], 3);
    assert!(events[2]["time_ms"].is_u64());
}
