//! Correctness of reported outcomes in randomised runs, and of the checker that verifies them.

use std::sync::atomic::{AtomicU32, Ordering};

use bambooseam_measure::requests::caller::CallResult;
use bambooseam_measure::requests::target::RunLog;
use bambooseam_measure::requests::truth::{Attempt, check, run};
use hyper::{HeaderMap, StatusCode};

/// Number of panics in all tasks.
static PANICS: AtomicU32 = AtomicU32::new(0);

fn attempt(work: u64, id: &str, status: u16, outcome: &str, body: &str) -> Attempt {
    let mut headers = HeaderMap::new();
    if !outcome.is_empty() {
        headers.insert("bambooseam-outcome", outcome.parse().expect("a value"));
        headers.insert("retry-after", "1".parse().expect("a value"));
    }
    Attempt {
        work,
        id: id.into(),
        is_once: true,
        frames: 4,
        result: CallResult::Complete {
            status: StatusCode::from_u16(status).expect("a status"),
            headers,
            body: body.to_owned().into(),
        },
    }
}

#[test]
fn checker_finds_each_false_outcome() {
    let log = RunLog::default();
    log.record("a-1");
    log.record("a-2");
    log.record("b-1");
    let attempts = [
        attempt(1, "a-1", 502, "unknown", ""),
        attempt(1, "a-2", 200, "", "id=a-2 \nxxxx"),
        attempt(2, "b-1", 503, "not-run", ""),
        attempt(3, "c-1", 200, "", "id=d-1 \nxxxx"),
        attempt(4, "d-1", 200, "", "id=d-1 \nxxx"),
        attempt(5, "e-1", 500, "", ""),
    ];
    let found = check(&attempts, &log);
    assert_eq!(found.duplicated, 1);
    assert_eq!(found.false_not_run, 1);
    assert_eq!(found.misdelivered, 1);
    assert_eq!(found.undetected_truncations, 1);
    assert_eq!(found.incomplete_refusals, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_true_while_things_fail() {
    let count = std::env::var("REQUESTS_WORKS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(2_000);
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        default_hook(info);
    }));
    for seed in [11, 12] {
        let found = run(seed, count).await;
        println!("seed={seed} found={found:?}");
        assert!(found.served > 0);
        assert_eq!(found.duplicated, 0, "seed {seed}");
        assert_eq!(found.false_not_run, 0, "seed {seed}");
        assert_eq!(found.misdelivered, 0, "seed {seed}");
        assert_eq!(found.undetected_truncations, 0, "seed {seed}");
        assert_eq!(found.incomplete_refusals, 0, "seed {seed}");
    }
    // A violated invariant inside the programs panics in this profile.
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}
