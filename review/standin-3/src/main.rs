//! Stand-ins and checks for the cases of the third review.
//!
//! `bambooseam-review-3 CASE RECORD` starts the entry program on each VM of a small site, plays the
//! case and writes what was sent, answered and run to the file RECORD. The exit code is 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod backend;
mod bed;
mod client;
mod evacuation_lost;
mod record;
mod route_moved;
mod router;

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use crate::record::Record;

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: bambooseam-review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::default();
    // The programs that a case has started end with it.
    let outcome = tokio::select! {
        outcome = play(&case, &record, has_trouble) => outcome,
        () = interrupted() => Err("interrupted".into()),
    };
    let code = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            2
        }
    };
    record.note(format!("exit code {code}"));
    if let Err(error) = record.write(&path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

async fn play(case: &str, record: &Record, has_trouble: bool) -> Outcome {
    match case {
        "evacuation-lost" => evacuation_lost::run(record, has_trouble).await,
        "route-moved" => route_moved::run(record, has_trouble).await,
        _ => Err(format!("no case {case:?}").into()),
    }
}

/// Waits for a signal that ends the process.
async fn interrupted() {
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminated.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
