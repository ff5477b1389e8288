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

use super::{FleetVm, ProgramResponse, ProgramStatus, StatusError, VmResponse};

/// Largest status that is read, in bytes.
const STATUS_LIMIT: usize = 8 << 20;

/// Why a program gave no status.
#[derive(Debug, Display, Error, From)]
pub enum FetchError {
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
pub async fn fetch_all(vms: &[FleetVm], patience: Duration) -> Vec<VmResponse> {
    join_all(vms.iter().map(|vm| fetch_vm(vm, patience))).await
}

/// Asks the program at `address` for its status.
///
/// # Errors
///
/// An error when it can't be reached or answers otherwise than with a status.
pub async fn fetch_status(
    address: SocketAddr,
    patience: Duration,
) -> Result<ProgramStatus, FetchError> {
    let answer = tokio::time::timeout(patience, fetch_body(address)).await;
    let body = answer.map_err(|_| FetchError::Timeout)??;
    let value: serde_json::Value =
        serde_json::from_slice(&body).map_err(|_| StatusError::NotJson)?;
    Ok(ProgramStatus::try_from(value)?)
}

/// Asks the programs of one VM.
async fn fetch_vm(vm: &FleetVm, patience: Duration) -> VmResponse {
    let addresses = vm.addresses;
    let (agent, forwarder, proxy) = tokio::join!(
        fetch_status(addresses.agent, patience),
        fetch_optional(addresses.forwarder, patience),
        fetch_optional(addresses.proxy, patience),
    );
    VmResponse {
        name: vm.name.clone(),
        agent: agent.into(),
        forwarder,
        proxy,
    }
}

async fn fetch_optional(address: Option<SocketAddr>, patience: Duration) -> ProgramResponse {
    match address {
        Some(address) => fetch_status(address, patience).await.into(),
        None => ProgramResponse::NotQueried,
    }
}

/// Fetches the body of `/status`.
async fn fetch_body(address: SocketAddr) -> Result<Bytes, FetchError> {
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
        return Err(FetchError::Refused(response.status()));
    }
    let body = Limited::new(response.into_body(), STATUS_LIMIT)
        .collect()
        .await;
    task.abort();
    let body = body.map_err(|error| FetchError::Body(error.to_string()))?;
    Ok(body.to_bytes())
}
