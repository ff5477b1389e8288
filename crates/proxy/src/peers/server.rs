//! Server side: grants slots and key claims to other proxies.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_peer::serve;
use bambooseam_peer::slot_capnp::{self, claim, desk, slot};
use bambooseam_view::FlowKey;
use tokio::net::TcpListener;

use super::ask::FRACTION_SCALE;
use crate::keys::{Claim, KeyRegistry};
use crate::routes::TargetGroup;
use crate::slots::{Grant, SlotOwner, SlotRequest, WorkOutcome};

/// Slot owners and key registry that a proxy offers to other proxies.
pub trait PeerService: Clone + 'static {
    /// Returns the owner of a group, or `None` if no view in force has the group's service.
    fn owner(&self, group: &TargetGroup) -> Option<Arc<SlotOwner>>;

    /// Returns the registry of the keys that this proxy owns.
    fn keys(&self) -> &Arc<KeyRegistry>;
}

/// Serves the proxies that connect. Must run in a `LocalSet`.
pub async fn serve_peers<S: PeerService>(listener: TcpListener, service: S) {
    serve(listener, |_| {
        let client: desk::Client = capnp_rpc::new_client(PeerServer(service.clone()));
        client.client
    })
    .await;
}

struct PeerServer<S>(S);

struct SlotServer(RefCell<Option<Grant>>);

struct ClaimServer(RefCell<Option<Claim>>);

impl<S: PeerService> desk::Server for PeerServer<S> {
    async fn acquire(
        self: Rc<Self>,
        params: desk::AcquireParams,
        mut results: desk::AcquireResults,
    ) -> Result<(), capnp::Error> {
        let (group, request) = read_request(params.get()?.get_ask()?)?;
        let Some(owner) = self.0.owner(&group) else {
            return Err(capnp::Error::failed(
                "no view in force on this proxy has the service".into(),
            ));
        };
        let result = owner.acquire(request).await;
        let mut builder = results.get().init_answer();
        match result {
            Ok(grant) => {
                builder.set_target(grant.target().as_str());
                let server = SlotServer(RefCell::new(Some(grant)));
                builder.set_slot(capnp_rpc::new_client(server));
            }
            Err(refusal) => {
                let wait = u32::try_from(refusal.wait.as_millis()).unwrap_or(u32::MAX);
                builder.set_refusal(wait);
                builder.set_is_doubtful(refusal.has_suspect);
            }
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: desk::ClaimParams,
        mut results: desk::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = FlowKey::from(params.get_key());
        if let Some(claim) = self.0.keys().claim(key, params.get_attempt()) {
            let server = ClaimServer(RefCell::new(Some(claim)));
            results.get().set_claim(capnp_rpc::new_client(server));
        }
        Ok(())
    }
}

impl slot::Server for SlotServer {
    async fn finish(
        self: Rc<Self>,
        params: slot::FinishParams,
        _results: slot::FinishResults,
    ) -> Result<(), capnp::Error> {
        let outcome = params.get()?.get_report()?.into();
        if let Some(grant) = self.0.borrow_mut().take() {
            grant.finish(outcome);
        }
        Ok(())
    }
}

impl claim::Server for ClaimServer {
    async fn settle_not_run(
        self: Rc<Self>,
        _params: claim::SettleNotRunParams,
        _results: claim::SettleNotRunResults,
    ) -> Result<(), capnp::Error> {
        if let Some(claim) = self.0.borrow_mut().take() {
            claim.settle_not_run();
        }
        Ok(())
    }
}

/// Decodes and validates a request for a slot.
fn read_request(
    reader: slot_capnp::ask::Reader<'_>,
) -> Result<(TargetGroup, SlotRequest), capnp::Error> {
    let invalid = |_| capnp::Error::failed("service, zone or target is not a valid name".into());
    let group = TargetGroup {
        service: reader.get_service()?.to_str()?.parse().map_err(invalid)?,
        zone: reader.get_zone()?.to_str()?.parse().map_err(invalid)?,
    };
    let mut avoid = Vec::new();
    for target in reader.get_avoid()? {
        avoid.push(target?.to_str()?.parse().map_err(invalid)?);
    }
    let class = match reader.get_class()? {
        slot_capnp::WorkClass::Short => WorkClass::Short,
        slot_capnp::WorkClass::Long => WorkClass::Long,
    };
    let fraction = reader.get_short_part();
    let request = SlotRequest {
        short_fraction: (fraction > 0).then(|| f64::from(fraction) / FRACTION_SCALE),
        class,
        waited: Duration::from_millis(reader.get_waited_ms().into()),
        may_wait: reader.get_may_wait(),
        is_remote: reader.get_is_far(),
        service_time: Duration::from_millis(reader.get_time_ms().into()),
        owners: reader.get_owners(),
        avoid,
    };
    Ok((group, request))
}

impl From<slot_capnp::Report> for WorkOutcome {
    fn from(outcome: slot_capnp::Report) -> Self {
        match outcome {
            slot_capnp::Report::Left => Self::Cancelled,
            slot_capnp::Report::Served => Self::Served,
            slot_capnp::Report::Shed => Self::Shed,
            slot_capnp::Report::Failed => Self::Failed,
            slot_capnp::Report::Unreachable => Self::Unreachable,
        }
    }
}
