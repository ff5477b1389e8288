//! Calls between agents.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use bambooseam_types::VmId;
use tokio::net::TcpListener;

use super::codec::{read_summary, read_update, read_vm, write_summary, write_update};
use super::{Summary, Update};
use crate::agent_capnp::agent;
use crate::{Link, Meter, PeerError, connect_metered, serve_metered};

/// Handler of the calls of peer agents.
pub trait PeerService: 'static {
    /// Compares versions with a peer; returns this agent's summary and the documents that the peer
    /// lacks.
    fn exchange(&self, summary: Summary) -> (Summary, Update);

    /// Applies an update that a peer sent because this agent lacked its documents.
    fn deliver(&self, vm: &VmId, update: Update);
}

/// A connection to a peer agent.
pub struct PeerClient {
    link: Link<agent::Client>,
}

/// Serves peers until dropped; must run in a `LocalSet`.
pub async fn serve_peers<S: PeerService>(listener: TcpListener, meter: Arc<Meter>, service: S) {
    let service = Rc::new(service);
    serve_metered(listener, meter, |_| {
        let server = Server {
            service: Rc::clone(&service),
        };
        let client: agent::Client = capnp_rpc::new_client(server);
        client.client
    })
    .await;
}

/// The object that a peer calls.
struct Server<S> {
    service: Rc<S>,
}

impl<S: PeerService> agent::Server for Server<S> {
    async fn exchange(
        self: Rc<Self>,
        params: agent::ExchangeParams,
        mut results: agent::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let summary = read_summary(params.get()?.get_summary()?).map_err(call_error)?;
        let (summary, update) = self.service.exchange(summary);
        let mut results = results.get();
        write_summary(&summary, results.reborrow().init_summary());
        if !update.is_empty() {
            write_update(&update, results.init_update());
        }
        Ok(())
    }

    async fn deliver(
        self: Rc<Self>,
        params: agent::DeliverParams,
        _results: agent::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let vm = read_vm(params.get_vm()?).map_err(call_error)?;
        let update = read_update(params.get_update()?).map_err(call_error)?;
        self.service.deliver(&vm, update);
        Ok(())
    }
}

impl PeerClient {
    /// Connects from the local address `source` to the agent at `address`; must run in a
    /// `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn connect(
        address: SocketAddr,
        source: IpAddr,
        meter: Arc<Meter>,
    ) -> Result<Self, PeerError> {
        let link = connect_metered(address, Some(source), meter).await?;
        Ok(Self { link })
    }

    /// Compares versions with the peer; returns the peer's summary and the documents that this
    /// agent lacks.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the response is malformed.
    pub async fn exchange(&self, summary: &Summary) -> Result<(Summary, Update), PeerError> {
        let mut request = self.link.client.exchange_request();
        write_summary(summary, request.get().init_summary());
        let response = request.send().promise.await?;
        let results = response.get()?;
        let summary = read_summary(results.get_summary()?)?;
        let update = match results.has_update() {
            true => read_update(results.get_update()?)?,
            false => Update::default(),
        };
        Ok((summary, update))
    }

    /// Sends the documents that the peer lacks.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub async fn deliver(&self, vm: &VmId, update: &Update) -> Result<(), PeerError> {
        let mut request = self.link.client.deliver_request();
        request.get().set_vm(vm.as_str());
        write_update(update, request.get().init_update());
        request.send().promise.await?;
        Ok(())
    }
}

/// Converts an error into the form returned to the caller.
fn call_error(error: PeerError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
