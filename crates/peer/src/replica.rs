//! Calls between entry VMs, by which each VM keeps its copy of the published documents current.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_replica::{Changes, Held};
use bambooseam_types::{EarlierStart, Era, Moment, Revision, ServiceName, TargetId, Token, ZoneId};
use tokio::net::TcpListener;

use crate::changes::{PackedList, read_changes, write_changes};
use crate::replica_capnp::{copy, earlier_start, news, peer, replica};
use crate::{Link, Meter, PeerError, connect_metered, serve_metered};

/// Longest wait for a change that a server accepts.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Most VMs that one response names.
const PEER_LIMIT: u32 = 64;

/// Most earlier starts in one response.
pub const EARLIER_START_LIMIT: u32 = 512;

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
    /// The VM that sends the request, which names itself in the first request of a connection;
    /// `None` when its address or zone can't be parsed, as from a later version.
    pub requester: Option<PeerInfo>,
    /// What the requester holds.
    pub held: Held,
    /// Longest time to wait for a change.
    pub wait: Duration,
    /// Whether the response may contain a large copy.
    pub may_be_large: bool,
    /// Whether the requester has no copy yet and asks where to get it.
    pub is_starting: bool,
    /// Whether the requester takes a referral; an earlier program would take it for a change.
    pub accepts_referral: bool,
    /// What the requester knows of the tokens that VMs read. One that does not read numbered tokens is
    /// sent those of all targets as earlier starts.
    pub token_reading: TokenReading,
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
    /// Whether the responder sends the requester on to `peers`.
    pub is_referral: bool,
    /// Earlier starts of targets that ended lately; only the first [`EARLIER_START_LIMIT`] are sent.
    pub earlier_starts: Vec<EarlierStart>,
    /// What the responder knows of the tokens that VMs read.
    pub token_support: TokenSupport,
    /// Size of a received response in bytes.
    pub size: usize,
}

/// What a requester says about the tokens that VMs read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenReading {
    /// Whether the requester itself reads numbered tokens.
    pub reads_numbered: bool,
    /// Whether it has lately heard of a VM that does not.
    pub knows_older: bool,
}

/// What a VM tells others about the tokens that the VMs of the deployment read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenSupport {
    /// Whether the VM itself reads numbered tokens.
    pub reads_numbered: bool,
    /// Time since a VM that does not was last heard of; `None` if the VM has heard of none.
    pub older_age: Option<Duration>,
}

impl SyncResponse {
    /// Time at which the copy was last known to be current, for a response that was sent at `at` or
    /// later.
    pub fn synced(&self, at: Moment) -> Moment {
        at.before(self.age)
    }
}

/// Handler of the requests of peers.
pub trait ReplicaService: 'static {
    /// Returns the changes that a peer lacks, as soon as there is one or the peer's wait has
    /// elapsed.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncResponse>;

    /// Records that a response of `size` bytes is sent.
    fn record_sent(&self, size: usize);
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
    let packed = Rc::default();
    serve_metered(listener, meter, |_| {
        let server = Server {
            service: Rc::clone(&service),
            requester: RefCell::default(),
            packed: Rc::clone(&packed),
        };
        let client: replica::Client = capnp_rpc::new_client(server);
        client.client
    })
    .await;
}

/// The object that a peer calls.
struct Server<S> {
    service: Rc<S>,
    /// The VM that calls. It may name itself only in the first call on its connection.
    requester: RefCell<Option<PeerInfo>>,
    packed: Rc<RefCell<PackedList>>,
}

impl<S: ReplicaService> replica::Server for Server<S> {
    async fn sync(
        self: Rc<Self>,
        params: replica::SyncParams,
        mut results: replica::SyncResults,
    ) -> Result<(), capnp::Error> {
        let (request, accepts_packed) = {
            let params = params.get()?;
            if let Some(requester) = read_peer(params.get_asker()?)? {
                self.requester.replace(Some(requester));
            }
            let request = SyncRequest {
                requester: self.requester.borrow().clone(),
                held: read_held(params.get_copy()?),
                wait: Duration::from_millis(params.get_wait_ms()).min(WAIT_LIMIT),
                may_be_large: params.get_is_eager(),
                is_starting: params.get_is_starting(),
                // Packed lists and referrals came with the same version.
                accepts_referral: params.get_accepts_packed(),
                token_reading: TokenReading {
                    reads_numbered: params.get_reads_numbered(),
                    knows_older: params.get_knows_older(),
                },
            };
            (request, params.get_accepts_packed())
        };
        let response = self.service.sync(request).await;
        let mut packed = self.packed.borrow_mut();
        let packed = accepts_packed.then_some(&mut *packed);
        write_response(&response, packed, results.get().init_news())?;
        let size = results.get().into_reader().total_size()?;
        self.service.record_sent(bytes(size));
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
        call.get().set_accepts_packed(request.accepts_referral);
        call.get().set_is_starting(request.is_starting);
        let reading = request.token_reading;
        call.get().set_reads_numbered(reading.reads_numbered);
        call.get().set_knows_older(reading.knows_older);
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

fn write_earlier_start(value: &EarlierStart, mut builder: earlier_start::Builder<'_>) {
    builder.set_token(value.token.get());
    builder.set_target(value.target.as_str());
    builder.set_service(value.service.as_str());
    builder.set_address(value.address.to_string());
    builder.set_elapsed_ms(millis(value.elapsed));
}

/// Reads an earlier start; `None` when a later version names it in a form that can't be parsed.
fn read_earlier_start(
    reader: earlier_start::Reader<'_>,
) -> Result<Option<EarlierStart>, capnp::Error> {
    let token = Token::from_wire(reader.get_token());
    let target: Option<TargetId> = reader.get_target()?.to_str()?.parse().ok();
    let service: Option<ServiceName> = reader.get_service()?.to_str()?.parse().ok();
    let address: Option<SocketAddrV4> = reader.get_address()?.to_str()?.parse().ok();
    let (Some(token), Some(target), Some(service), Some(address)) =
        (token, target, service, address)
    else {
        return Ok(None);
    };
    Ok(Some(EarlierStart {
        token,
        target,
        service,
        address,
        elapsed: Duration::from_millis(reader.get_elapsed_ms()),
    }))
}

/// Size of a message in bytes.
fn bytes(size: capnp::MessageSize) -> usize {
    usize::try_from(size.word_count * 8).unwrap_or(usize::MAX)
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

fn write_response(
    value: &SyncResponse,
    packed: Option<&mut PackedList>,
    mut builder: news::Builder<'_>,
) -> Result<(), capnp::Error> {
    builder.set_age_ms(millis(value.age));
    builder.set_is_referral(value.is_referral);
    let TokenSupport {
        reads_numbered,
        older_age,
    } = value.token_support;
    builder.set_reads_numbered(reads_numbered);
    builder.set_has_older(older_age.is_some());
    builder.set_older_age_ms(older_age.map_or(0, millis));
    let count = PEER_LIMIT.min(value.peers.len() as u32);
    let mut peers = builder.reborrow().init_peers(count);
    for (index, peer) in (0..count).zip(&value.peers) {
        write_peer(peer, peers.reborrow().get(index));
    }
    let count = EARLIER_START_LIMIT.min(value.earlier_starts.len() as u32);
    let mut starts = builder.reborrow().init_earlier_starts(count);
    for (index, start) in (0..count).zip(&value.earlier_starts) {
        write_earlier_start(start, starts.reborrow().get(index));
    }
    if let Some(changes) = &value.changes {
        write_changes(changes, packed, builder.init_changes())?;
    }
    Ok(())
}

fn read_response(reader: news::Reader<'_>) -> Result<SyncResponse, capnp::Error> {
    let mut peers = Vec::new();
    for peer in reader.get_peers()?.iter().take(PEER_LIMIT as usize) {
        peers.extend(read_peer(peer)?);
    }
    let mut earlier_starts = Vec::new();
    let starts = reader.get_earlier_starts()?.iter();
    for start in starts.take(EARLIER_START_LIMIT as usize) {
        earlier_starts.extend(read_earlier_start(start)?);
    }
    let changes = match reader.has_changes() {
        true => Some(read_changes(reader.get_changes()?)?),
        false => None,
    };
    Ok(SyncResponse {
        changes,
        age: Duration::from_millis(reader.get_age_ms()),
        peers,
        is_referral: reader.get_is_referral(),
        earlier_starts,
        token_support: TokenSupport {
            reads_numbered: reader.get_reads_numbered(),
            older_age: reader
                .get_has_older()
                .then(|| Duration::from_millis(reader.get_older_age_ms())),
        },
        size: bytes(reader.total_size()?),
    })
}
