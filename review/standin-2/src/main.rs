//! Runs one case of the review: `review-cases-2 CASE PROGRAM RECORD`. Exits with 1 if a rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod backend;
mod client;
mod lost_starts;
mod odd_entries;
mod record;
mod rotation;
mod silent_flows;
mod stray_copies;
mod world;

use std::process::ExitCode;
use std::time::Duration;

/// A run takes less than 120 seconds.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Result of a case: the breaches that were found.
type Outcome = std::io::Result<Vec<String>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, path] = arguments.as_slice() else {
        eprintln!("usage: review-cases-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    let program = program.into();
    let outcome = runtime.block_on(async {
        let run = async {
            match case.as_str() {
                "lost-starts" => lost_starts::run(program, path, has_trouble).await,
                "stray-copies" => stray_copies::run(program, path, has_trouble).await,
                "silent-flows" => silent_flows::run(program, path, has_trouble).await,
                "odd-entries" => odd_entries::run(program, path, has_trouble).await,
                _ => Err(std::io::Error::other("unknown case")),
            }
        };
        // The VMs end when the run is dropped.
        let result = tokio::time::timeout(TIME_LIMIT, run).await;
        result.unwrap_or_else(|_| Err(std::io::Error::other("time limit")))
    });
    match outcome {
        Ok(breaches) if breaches.is_empty() => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            for breach in &breaches {
                println!("broken: {breach}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
