//! The text format of served metrics, and the cost of metrics at the start of a program.

use std::fs;
use std::path::Path;

use bambooseam_observe::Admin;
use bambooseam_standin::http;
use tokio::sync::watch;

#[test]
fn no_library_measures_a_clock_when_a_program_starts() {
    // The crate quanta measures a clock at the start, which takes up to 200 ms on a slow core.
    let lock = Path::new(env!("CARGO_MANIFEST_DIR")).join("../Cargo.lock");
    let lock = fs::read_to_string(lock).expect("lock file read");
    assert!(!lock.contains("name = \"quanta\""));
}

#[tokio::test]
async fn metrics_are_served_as_text() {
    let address = "127.0.0.1:0".parse().expect("socket address");
    let admin = Admin::bind(address).await.expect("endpoint bound");
    assert!(
        Admin::bind(address).await.is_err(),
        "a process can have only one metrics recorder"
    );
    let address = admin.address().expect("socket address");
    let (_sender, ready) = watch::channel(true);
    tokio::spawn(admin.serve(ready, || serde_json::json!({})));
    metrics::counter!("calls", "outcome" => "a \"b\"").increment(2);
    metrics::counter!("calls", "outcome" => "lost").increment(1);
    metrics::gauge!("flows").set(7.5);
    for time in [0.001, 0.03, 0.04, 60.0] {
        metrics::histogram!("call_seconds").record(time);
    }
    let text = http::get(address, "/metrics")
        .await
        .expect("response received")
        .text;
    let first_lines = "# TYPE call_seconds histogram\ncall_seconds_bucket{le=\"0.001\"} 1\n";
    assert!(text.starts_with(first_lines), "{text}");
    let bucket_lines = "call_seconds_bucket{le=\"0.025\"} 1\n\
                call_seconds_bucket{le=\"0.05\"} 3\n\
                call_seconds_bucket{le=\"0.1\"} 3\n";
    assert!(text.contains(bucket_lines), "{text}");
    let last_lines = "call_seconds_bucket{le=\"+Inf\"} 4\n\
               call_seconds_sum 60.071\n\
               call_seconds_count 4\n\
               # TYPE calls counter\n\
               calls{outcome=\"a \\\"b\\\"\"} 2\n\
               calls{outcome=\"lost\"} 1\n\
               # TYPE flows gauge\n\
               flows 7.5\n";
    assert!(text.ends_with(last_lines), "{text}");
}
