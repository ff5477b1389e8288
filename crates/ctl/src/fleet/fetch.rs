//! Fetches `/status` from one admin endpoint, or from all endpoints of the fleet concurrently.

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

/// Largest accepted status body, in bytes.
const MAX_STATUS_BYTES: usize = 8 << 20;

/// Why the status of a program could not be fetched.
#[derive(Debug, Display, Error, From)]
pub enum FetchError {
    /// The TCP connection failed.
    #[display("no connection: {_0}")]
    Connect(std::io::Error),
    /// The connection failed before the response was complete.
    #[display("connection failed during the response: {_0}")]
    Http(hyper::Error),
    /// The body exceeds the limit or was truncated.
    #[display("response body can't be read: {_0}")]
    #[from(ignore)]
    Body(#[error(not(source))] String),
    /// The HTTP status is not 200.
    #[display("HTTP status {_0} instead of 200")]
    Refused(#[error(not(source))] StatusCode),
    /// The body is not a valid status.
    #[display("{_0}")]
    Status(StatusError),
    /// The program did not respond within the timeout.
    #[display("no response within the timeout")]
    Timeout,
}

/// Fetches the status of all programs of all VMs concurrently; `timeout` limits each fetch.
pub async fn fetch_all(vms: &[FleetVm], timeout: Duration) -> Vec<VmResponse> {
    join_all(vms.iter().map(|vm| fetch_vm(vm, timeout))).await
}

/// Fetches the status of the program at `address`.
///
/// # Errors
///
/// Returns an error when the program can't be reached within `timeout` or its response is not a
/// valid status.
pub async fn fetch_status(
    address: SocketAddr,
    timeout: Duration,
) -> Result<ProgramStatus, FetchError> {
    let response = tokio::time::timeout(timeout, fetch_body(address)).await;
    let body = response.map_err(|_| FetchError::Timeout)??;
    let value: serde_json::Value =
        serde_json::from_slice(&body).map_err(|_| StatusError::NotJson)?;
    Ok(ProgramStatus::try_from(value)?)
}

/// Fetches the status of the programs of one VM.
async fn fetch_vm(vm: &FleetVm, timeout: Duration) -> VmResponse {
    let addresses = vm.addresses;
    let (agent, forwarder, proxy) = tokio::join!(
        fetch_status(addresses.agent, timeout),
        fetch_optional(addresses.forwarder, timeout),
        fetch_optional(addresses.proxy, timeout),
    );
    VmResponse {
        name: vm.name.clone(),
        agent: agent.into(),
        forwarder,
        proxy,
    }
}

async fn fetch_optional(address: Option<SocketAddr>, timeout: Duration) -> ProgramResponse {
    match address {
        Some(address) => fetch_status(address, timeout).await.into(),
        None => ProgramResponse::NotQueried,
    }
}

/// Sends the request for `/status` and returns the body of the response.
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
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES)
        .collect()
        .await;
    task.abort();
    let body = body.map_err(|error| FetchError::Body(error.to_string()))?;
    Ok(body.to_bytes())
}
