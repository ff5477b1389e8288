//! Runs the review's cases against the project's programs. Exits with 1 if a rule was broken, with
//! 0 if it held, and with 2 if the case couldn't run.

mod backend;
mod burst;
mod client;
mod foreign;
mod memory;
mod paged_store;
mod record;
mod restart;
mod routers;
mod silent;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use tokio::time::timeout;

use crate::record::Record;

/// Largest time of a case.
const LIMIT: Duration = Duration::from_secs(100);

/// Outcome of a case: whether the rule held, or why the case couldn't run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = &words[..] else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = run(case, program, record, has_trouble);
    match outcome {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            eprintln!("could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, program: &str, record: &str, has_trouble: bool) -> Outcome {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let record = Record::create(Path::new(record)).map_err(|e| e.to_string())?;
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let outcome = async {
        match case {
            "burst" => burst::run(program, &record, has_trouble).await,
            "memory" => memory::run(program, &record, has_trouble).await,
            "silent" => silent::run(program, &record, has_trouble).await,
            "restart" => restart::run(program, &record, has_trouble).await,
            "foreign" => foreign::run(program, &record, has_trouble).await,
            _ => Err(format!("no case is named {case:?}")),
        }
    };
    // The end of the runtime ends all programs that were started.
    let outcome = runtime.block_on(async { timeout(LIMIT, outcome).await });
    outcome.unwrap_or_else(|_| Err(format!("no end within {LIMIT:?}")))
}
