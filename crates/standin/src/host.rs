//! Runs many targets in one process, with an HTTP control endpoint.
//!
//! `GET /standin/stats` returns one line for each target and `GET /standin/runs` one line for each
//! run. `POST /standin/target` accepts `ok ID`, `drain ID` or `stop ID`.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bambooseam_types::TargetId;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::http::{ServeError, bind, serve, text_response};
use crate::{Target, TargetSpec};

/// Maximum length of a command in bytes.
const MAX_COMMAND_BYTES: usize = 1 << 10;

/// Targets of one process; they stop when the host is dropped.
#[derive(Debug)]
pub struct TargetHost {
    address: SocketAddr,
    stop: CancellationToken,
}

/// All targets; a stopped target keeps its counters and runs.
type Targets = Mutex<Vec<Target>>;

impl TargetHost {
    /// Starts the targets, and the control endpoint at `control`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(control: SocketAddr, specs: Vec<TargetSpec>) -> io::Result<Self> {
        let mut targets = Vec::new();
        for spec in specs {
            targets.push(Target::start(spec).await?);
        }
        let listener = bind(control).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let targets = Arc::new(Mutex::new(targets));
        tokio::spawn(serve(listener, stop.clone(), move |request| {
            handle(Arc::clone(&targets), request)
        }));
        Ok(Self { address, stop })
    }

    /// Returns the address of the control endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for TargetHost {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Handles a request to the control endpoint.
async fn handle(
    targets: Arc<Targets>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ServeError> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/standin/stats") => {
            let lines = |target: &Target| {
                let id = &target.entry().id;
                format!(
                    "target={id} {} {}\n",
                    target.work_stats(),
                    target.flow_stats()
                )
            };
            let text: String = lock(&targets).iter().map(lines).collect();
            Ok(text_response(StatusCode::OK, text))
        }
        (&Method::GET, "/standin/runs") => {
            let runs = lock(&targets)
                .iter()
                .flat_map(Target::runs)
                .collect::<Vec<_>>();
            let text: String = runs.iter().map(|run| format!("{run}\n")).collect();
            Ok(text_response(StatusCode::OK, text))
        }
        (&Method::POST, "/standin/target") => {
            let body = Limited::new(request.into_body(), MAX_COMMAND_BYTES);
            let bytes = body.collect().await?.to_bytes();
            Ok(apply_command(&targets, std::str::from_utf8(&bytes)?))
        }
        _ => Ok(text_response(StatusCode::NOT_FOUND, "unknown path\n")),
    }
}

/// Applies a mode or the command `stop` to one target.
fn apply_command(targets: &Targets, text: &str) -> Response<Full<Bytes>> {
    let bad_request = |text: &str| text_response(StatusCode::BAD_REQUEST, format!("{text}\n"));
    let Some((word, id)) = text.trim().split_once(' ') else {
        return bad_request("expected ok ID, drain ID or stop ID");
    };
    let Ok(id) = id.parse::<TargetId>() else {
        return bad_request("invalid target id");
    };
    let targets = lock(targets);
    let Some(target) = targets.iter().find(|target| target.entry().id == id) else {
        return bad_request("no target has this id");
    };
    if word == "stop" {
        target.stop();
        return text_response(StatusCode::OK, "");
    }
    let Ok(mode) = word.parse() else {
        return bad_request("unknown command; expected ok, drain or stop");
    };
    target.set_mode(mode);
    text_response(StatusCode::OK, "")
}

fn lock(targets: &Targets) -> MutexGuard<'_, Vec<Target>> {
    targets.lock().unwrap_or_else(PoisonError::into_inner)
}
