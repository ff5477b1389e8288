//! Asks one admin endpoint, or those of the whole fleet at once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::future::join_all;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{ListedVm, ProgramStatus, Reading, StatusError, VmReading};

/// Largest status that is read, in bytes.
const STATUS_LIMIT: usize = 8 << 20;

/// Why a program gave no status.
#[derive(Debug, Display, Error, From)]
pub enum AskError {
    /// No connection.
    #[display("no connection: {_0}")]
    Connect(std::io::Error),
    /// The connection failed before the answer was whole.
    #[display("broken answer: {_0}")]
    Http(hyper::Error),
    /// The answer was too long or broke off.
    #[display("broken answer: {_0}")]
    #[from(ignore)]
    Body(#[error(not(source))] String),
    /// The answer has another status than 200.
    #[display("answer {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// The answer is no status.
    #[display("{_0}")]
    Status(StatusError),
    /// The answer took too long.
    #[display("no answer in time")]
    Timeout,
}

/// Asks all programs of all VMs at once; `patience` limits each answer.
pub async fn ask_all(vms: &[ListedVm], patience: Duration) -> Vec<VmReading> {
    join_all(vms.iter().map(|vm| ask_vm(vm, patience))).await
}

/// Asks the program at `address` for its status.
///
/// # Errors
///
/// An error when it can't be reached or answers otherwise than with a status.
pub async fn ask(address: SocketAddr, patience: Duration) -> Result<ProgramStatus, AskError> {
    let answer = tokio::time::timeout(patience, fetch(address)).await;
    let body = answer.map_err(|_| AskError::Timeout)??;
    let value: serde_json::Value =
        serde_json::from_slice(&body).map_err(|_| StatusError::NotJson)?;
    Ok(ProgramStatus::try_from(value)?)
}

/// Asks the programs of one VM.
async fn ask_vm(vm: &ListedVm, patience: Duration) -> VmReading {
    let programs = vm.programs;
    let (agent, forwarder, proxy) = tokio::join!(
        ask(programs.agent, patience),
        ask_optional(programs.forwarder, patience),
        ask_optional(programs.proxy, patience),
    );
    VmReading {
        name: vm.name.clone(),
        agent: agent.into(),
        forwarder,
        proxy,
    }
}

async fn ask_optional(address: Option<SocketAddr>, patience: Duration) -> Reading {
    match address {
        Some(address) => ask(address, patience).await.into(),
        None => Reading::NotAsked,
    }
}

/// Fetches the body of `/status`.
async fn fetch(address: SocketAddr) -> Result<Bytes, AskError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = hyper::Uri::from_static("/status");
    let host = hyper::header::HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AskError::Refused(response.status()));
    }
    let body = Limited::new(response.into_body(), STATUS_LIMIT)
        .collect()
        .await;
    task.abort();
    let body = body.map_err(|error| AskError::Body(error.to_string()))?;
    Ok(body.to_bytes())
}
