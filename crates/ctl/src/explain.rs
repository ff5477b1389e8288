//! `explain`: shows where a flow or request is sent under a view, and why.
//!
//! The view comes from an agent or from documents. With `--vm` or `--fleet`, the answer is also
//! computed with the VM health that each agent reports, and all answers are compared.

mod flow;
mod request;
mod views;

pub use flow::{FlowAnswer, explain_flow};
pub use request::{RequestAnswer, TargetOwner, explain_request};
pub use views::{NamedView, read_views};

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use bambooseam_types::{Findings, Flow, Protocol, ServiceName};
use bambooseam_view::View;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::single_finding;
use crate::report::{BadInput, Report, print};

/// Answer under one view.
pub trait Answer: Display + PartialEq {
    /// Returns the answer as JSON.
    fn to_json(&self) -> Value;
}

/// Comparison of the answers under all views.
#[derive(Debug)]
pub struct ExplainReport<A> {
    rows: Vec<Row<A>>,
    unreachable: Vec<String>,
}

/// Row of the comparison: one view and the answer under it.
#[derive(Debug)]
struct Row<A> {
    name: String,
    revision: u64,
    answer: Option<A>,
    differs: bool,
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    match matches.subcommand() {
        Some(("flow", matches)) => run_flow(matches).await,
        Some(("request", matches)) => run_request(matches).await,
        _ => Outcome::BadInput,
    }
}

async fn run_flow(matches: &ArgMatches) -> Outcome {
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let (Some(caller), Some(service)) = (address("from"), address("to")) else {
        return Outcome::BadInput;
    };
    let flow = Flow {
        protocol: matches
            .get_one("protocol")
            .copied()
            .unwrap_or(Protocol::Tcp),
        caller,
        service,
    };
    answer_all(matches, |view| explain_flow(view, &flow)).await
}

async fn run_request(matches: &ArgMatches) -> Outcome {
    let name = matches.get_one::<ServiceName>("service");
    let address = matches.get_one::<SocketAddr>("to");
    let path = matches
        .get_one::<String>("path")
        .map_or("/", String::as_str);
    answer_all(matches, |view| {
        let service = match (name, address) {
            (Some(name), _) => view.service_index(name)?,
            (None, Some(address)) => view.frontend(*address)?.service,
            (None, None) => return None,
        };
        Some(explain_request(view, service, path))
    })
    .await
}

/// Computes the answer under each view and prints the comparison.
async fn answer_all<A: Answer>(
    matches: &ArgMatches,
    explain: impl Fn(&View) -> Option<A>,
) -> Outcome {
    let views = match read_views(matches).await {
        Ok(views) => views,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let report = ExplainReport::new(&views, explain);
    if report.rows.is_empty() {
        return print(matches, &BadInput(no_view_finding()));
    }
    print(matches, &report)
}

/// Returns the finding that the command line selects no view.
fn no_view_finding() -> Findings {
    single_finding("command line", "no view", "--documents or --views", "")
}

impl<A: Answer> ExplainReport<A> {
    /// Computes the answer under each view and compares it with the answer under the first view.
    pub fn new(views: &[NamedView], explain: impl Fn(&View) -> Option<A>) -> Self {
        let mut rows: Vec<Row<A>> = Vec::new();
        let mut unreachable = Vec::new();
        for named in views {
            let view = match named {
                NamedView::Known { view, .. } => view,
                NamedView::Unreachable { name, cause } => {
                    unreachable.push(format!("vm={name} unreachable={cause:?}"));
                    continue;
                }
            };
            let answer = explain(view);
            let revision = view.revision().get();
            let differs = rows
                .first()
                .is_some_and(|first| first.answer != answer || first.revision != revision);
            rows.push(Row {
                name: named.name().to_owned(),
                revision,
                answer,
                differs,
            });
        }
        Self { rows, unreachable }
    }
}

impl<A: Answer> Display for ExplainReport<A> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let Row {
                name,
                revision,
                differs,
                ..
            } = row;
            writeln!(f, "view={name} revision={revision} differs={differs}")?;
            match &row.answer {
                Some(answer) => writeln!(f, "{answer}")?,
                None => writeln!(f, "  the view has no such service: packets are dropped")?,
            }
        }
        for line in &self.unreachable {
            writeln!(f, "{line}")?;
        }
        write!(f, "result={}", self.outcome())
    }
}

impl<A: Answer> Report for ExplainReport<A> {
    fn to_json(&self) -> Value {
        let row = |row: &Row<A>| {
            json!({
                "view": row.name,
                "revision": row.revision,
                "differs": row.differs,
                "answer": row.answer.as_ref().map(Answer::to_json),
            })
        };
        json!({
            "views": self.rows.iter().map(row).collect::<Value>(),
            "unreachable": self.unreachable,
        })
    }

    fn outcome(&self) -> Outcome {
        if self
            .rows
            .iter()
            .any(|row| row.differs || row.answer.is_none())
        {
            return Outcome::Failed;
        }
        match self.unreachable.is_empty() {
            true => Outcome::Good,
            false => Outcome::Unknown,
        }
    }
}
