//! Calls between entry VMs, by which each VM keeps its copy of the published documents current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_replica::{Change, Changes, Gap, Held, KeptDocument};
use bambooseam_types::{Era, Moment, Revision, ZoneId};
use tokio::net::TcpListener;

use crate::replica_capnp::{change, changes, copy, news, peer, replica};
use crate::{Link, Meter, PeerError, connect_metered, serve_metered};

/// Longest wait for a change that a server accepts.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Most VMs that one response names.
const PEER_LIMIT: u32 = 64;

/// A VM that serves its copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Address on which the VM serves peers.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

/// Request for the changes that the requester's copy lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncRequest {
    /// The VM that sends the request; `None` when its address or zone can't be parsed, as from a
    /// later version.
    pub requester: Option<PeerInfo>,
    /// What the requester holds.
    pub held: Held,
    /// Longest time to wait for a change.
    pub wait: Duration,
    /// Whether the response may contain a large copy.
    pub may_be_large: bool,
}

/// Response to a [`SyncRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SyncResponse {
    /// Changes that the requester lacks; `None` when the responder holds no copy.
    pub changes: Option<Changes>,
    /// Time since the responder's copy was last known to be current.
    pub age: Duration,
    /// VMs known from recent messages.
    pub peers: Vec<PeerInfo>,
}

impl SyncResponse {
    /// Time at which the copy was last known to be current, for a response that was sent at `at` or
    /// later.
    pub fn synced(&self, at: Moment) -> Moment {
        let age = u64::try_from(self.age.as_millis()).unwrap_or(u64::MAX);
        Moment::from_millis(at.as_millis().saturating_sub(age))
    }
}

/// Handler of the requests of peers.
pub trait ReplicaService: 'static {
    /// Returns the changes that a peer lacks, as soon as there is one or the peer's wait has
    /// elapsed.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncResponse>;
}

/// A connection to a peer; closes when dropped.
pub struct ReplicaClient {
    link: Link<replica::Client>,
}

/// Serves peers until dropped; must run in a `LocalSet`.
pub async fn serve_replica<S: ReplicaService>(
    listener: TcpListener,
    meter: Arc<Meter>,
    service: S,
) {
    let service = Rc::new(service);
    serve_metered(listener, meter, |_| {
        let server = Server {
            service: Rc::clone(&service),
        };
        let client: replica::Client = capnp_rpc::new_client(server);
        client.client
    })
    .await;
}

/// The object that a peer calls.
struct Server<S> {
    service: Rc<S>,
}

impl<S: ReplicaService> replica::Server for Server<S> {
    async fn sync(
        self: Rc<Self>,
        params: replica::SyncParams,
        mut results: replica::SyncResults,
    ) -> Result<(), capnp::Error> {
        let request = {
            let params = params.get()?;
            SyncRequest {
                requester: read_peer(params.get_asker()?)?,
                held: read_held(params.get_copy()?),
                wait: Duration::from_millis(params.get_wait_ms()).min(WAIT_LIMIT),
                may_be_large: params.get_is_eager(),
            }
        };
        let response = self.service.sync(request).await;
        write_response(&response, results.get().init_news());
        Ok(())
    }
}

impl ReplicaClient {
    /// Connects to the peer at `address`; must run in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn connect(address: SocketAddr, meter: Arc<Meter>) -> Result<Self, PeerError> {
        let link = connect_metered(address, None, meter).await?;
        Ok(Self { link })
    }

    /// Sends a request to the peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the response is malformed.
    pub async fn sync(&self, request: &SyncRequest) -> Result<SyncResponse, PeerError> {
        let mut call = self.link.client.sync_request();
        if let Some(requester) = &request.requester {
            write_peer(requester, call.get().init_asker());
        }
        write_held(&request.held, call.get().init_copy());
        call.get().set_wait_ms(millis(request.wait));
        call.get().set_is_eager(request.may_be_large);
        let results = call.send().promise.await?;
        let response = read_response(results.get()?.get_news()?)?;
        Ok(response)
    }
}

fn write_peer(value: &PeerInfo, mut builder: peer::Builder<'_>) {
    builder.set_address(value.address.to_string());
    builder.set_zone(value.zone.as_str());
}

/// Reads a VM; `None` when a later version names it in a form that can't be parsed.
fn read_peer(reader: peer::Reader<'_>) -> Result<Option<PeerInfo>, capnp::Error> {
    let address = reader.get_address()?.to_str()?.parse().ok();
    let zone = reader.get_zone()?.to_str()?.parse().ok();
    let peer = address.zip(zone);
    Ok(peer.map(|(address, zone)| PeerInfo { address, zone }))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn write_held(value: &Held, mut builder: copy::Builder<'_>) {
    builder.set_is_empty(value.upto.is_none());
    builder.set_upto(value.upto.unwrap_or_default().get());
    builder.set_has_era(value.era.is_some());
    builder.set_era(value.era.unwrap_or_default().get());
    builder.set_kept_digest(value.kept_digest);
    builder.set_knows_gaps(value.knows_gaps);
}

fn read_held(reader: copy::Reader<'_>) -> Held {
    Held {
        era: reader.get_has_era().then(|| Era::from(reader.get_era())),
        upto: (!reader.get_is_empty()).then(|| Revision::from(reader.get_upto())),
        kept_digest: reader.get_kept_digest(),
        knows_gaps: reader.get_knows_gaps(),
    }
}

fn write_response(value: &SyncResponse, mut builder: news::Builder<'_>) {
    builder.set_age_ms(millis(value.age));
    let count = PEER_LIMIT.min(value.peers.len() as u32);
    let mut peers = builder.reborrow().init_peers(count);
    for (index, peer) in (0..count).zip(&value.peers) {
        write_peer(peer, peers.reborrow().get(index));
    }
    if let Some(changes) = &value.changes {
        write_changes(changes, builder.init_changes());
    }
}

fn read_response(reader: news::Reader<'_>) -> Result<SyncResponse, capnp::Error> {
    let mut peers = Vec::new();
    for peer in reader.get_peers()?.iter().take(PEER_LIMIT as usize) {
        peers.extend(read_peer(peer)?);
    }
    let changes = match reader.has_changes() {
        true => Some(read_changes(reader.get_changes()?)?),
        false => None,
    };
    Ok(SyncResponse {
        changes,
        age: Duration::from_millis(reader.get_age_ms()),
        peers,
    })
}

fn write_changes(value: &Changes, mut builder: changes::Builder<'_>) {
    builder.set_is_whole(value.after.is_none());
    builder.set_after(value.after.unwrap_or_default().get());
    builder.set_upto(value.upto.get());
    builder.set_has_era(value.era.is_some());
    builder.set_era(value.era.unwrap_or_default().get());
    if let Some(gap) = value.gap {
        builder.set_has_gap(true);
        builder.set_gap_after(gap.after.get());
        builder.set_gap_before(gap.before.get());
    }
    let mut list = builder.reborrow().init_list(value.list.len() as u32);
    for (index, change) in (0..).zip(&value.list) {
        write_change(change, list.reborrow().get(index));
    }
    let mut kept = builder.init_kept(value.kept.len() as u32);
    for (index, document) in (0..).zip(&value.kept) {
        let change = Change {
            key: Arc::clone(&document.key),
            revision: document.upto,
            value: document.content.clone(),
        };
        write_change(&change, kept.reborrow().get(index));
    }
}

fn write_change(value: &Change, mut builder: change::Builder<'_>) {
    builder.set_key(value.key.as_ref());
    builder.set_revision(value.revision.get());
    builder.set_is_removed(value.value.is_none());
    if let Some(value) = &value.value {
        builder.set_value(value);
    }
}

fn read_changes(reader: changes::Reader<'_>) -> Result<Changes, capnp::Error> {
    let after = Revision::from(reader.get_after());
    let mut list = Vec::new();
    for change in reader.get_list()? {
        list.push(read_change(change)?);
    }
    let mut kept = Vec::new();
    for change in reader.get_kept()? {
        let change = read_change(change)?;
        kept.push(KeptDocument {
            key: change.key,
            upto: change.revision,
            content: change.value,
        });
    }
    let gap = Gap {
        after: Revision::from(reader.get_gap_after()),
        before: Revision::from(reader.get_gap_before()),
    };
    Ok(Changes {
        era: reader.get_has_era().then(|| Era::from(reader.get_era())),
        after: (!reader.get_is_whole()).then_some(after),
        upto: Revision::from(reader.get_upto()),
        list,
        kept,
        gap: reader.get_has_gap().then_some(gap),
    })
}

fn read_change(reader: change::Reader<'_>) -> Result<Change, capnp::Error> {
    let value = match reader.get_is_removed() {
        true => None,
        false => Some(Arc::from(reader.get_value()?)),
    };
    Ok(Change {
        key: reader.get_key()?.to_str()?.into(),
        revision: Revision::from(reader.get_revision()),
        value,
    })
}
