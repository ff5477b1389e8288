//! Messages between VMs about the published documents: their size, and programs of other versions.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::replica::{
    ReplicaClient, ReplicaService, SyncRequest, SyncResponse, TokenReading, TokenSupport,
    serve_replica,
};
use bambooseam_peer::replica_capnp::replica;
use bambooseam_peer::{Meter, connect};
use bambooseam_replica::{Change, Changes, Held};
use bambooseam_tests::inputs::for_many_bytes;
use bambooseam_types::{EarlierStart, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Bytes that a link of 20 Mbit/s, the narrowest of the large fleet, carries in 50 ms.
const MAX_COPY_BYTES: u64 = 125_000;

/// Number of targets of the large fleet.
const TARGETS: u64 = 600;

/// What the answers say about the tokens that VMs read.
const SUPPORT: TokenSupport = TokenSupport {
    reads_numbered: true,
    older_age: Some(Duration::from_millis(7_300)),
};

/// A VM that answers each request alike and keeps the last request.
struct FixedService {
    changes: Changes,
    earlier_starts: Vec<EarlierStart>,
    request: Rc<RefCell<Option<SyncRequest>>>,
}

impl ReplicaService for FixedService {
    async fn sync(&self, request: SyncRequest) -> SyncResponse {
        self.request.replace(Some(request));
        SyncResponse {
            changes: Some(self.changes.clone()),
            earlier_starts: self.earlier_starts.clone(),
            token_support: SUPPORT,
            ..SyncResponse::default()
        }
    }

    fn record_sent(&self, _: usize) {}
}

/// A VM of a version that knows neither packed lists nor starting VMs.
struct EarlierService;

impl replica::Server for EarlierService {
    async fn sync(
        self: Rc<Self>,
        _: replica::SyncParams,
        mut results: replica::SyncResults,
    ) -> Result<(), capnp::Error> {
        let mut changes = results.get().init_news().init_changes();
        changes.set_is_whole(true);
        changes.set_upto(7);
        let mut change = changes.init_list(1).get(0);
        change.set_key("servers/i-00000001");
        change.set_revision(7);
        change.set_value(b"{}");
        Ok(())
    }
}

/// A VM that answers each request with the same bytes as its packed list.
struct PackedService(Rc<RefCell<Vec<u8>>>);

impl replica::Server for PackedService {
    async fn sync(
        self: Rc<Self>,
        _: replica::SyncParams,
        mut results: replica::SyncResults,
    ) -> Result<(), capnp::Error> {
        let mut changes = results.get().init_news().init_changes();
        changes.set_is_whole(true);
        changes.set_packed(&self.0.borrow());
        Ok(())
    }
}

/// A full copy of the large fleet.
fn copy() -> Changes {
    let mut random = StdRng::seed_from_u64(1);
    let entry = |number: u64| {
        let value = format!(
            "{{\"service\":\"huvo11a\",\"address\":\"10.{}.{}.{}:8080\",\"zone\":\"pnw-{}\",\
             \"config_version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\
             \"sequence\":{},\"born\":{}}}",
            128 + number % 5,
            number / 250,
            number % 250,
            ["a", "b", "c", "d", "e"][number as usize % 5],
            random.random_range(1..40),
            1_796_000_000_000_u64 + random.random_range(0..90_000),
        );
        Change {
            key: format!("servers/i-{:08x}", random.random::<u32>()).into(),
            revision: (10 + number).into(),
            value: Some(Arc::from(value.as_bytes())),
        }
    };
    Changes {
        upto: (10 + TARGETS).into(),
        list: (0..TARGETS).map(entry).collect(),
        ..Changes::default()
    }
}

/// The request of a VM without a copy.
fn request() -> SyncRequest {
    SyncRequest {
        requester: None,
        held: Held::default(),
        wait: Duration::ZERO,
        may_be_large: true,
        is_starting: true,
        accepts_referral: true,
        token_reading: TokenReading::default(),
    }
}

/// An earlier start of target `number`.
fn earlier_start(number: u32) -> EarlierStart {
    EarlierStart {
        token: Token::from_hash(number),
        target: format!("i-{number:08x}").parse().expect("an id"),
        service: "orders".parse().expect("a service"),
        address: SocketAddrV4::new(Ipv4Addr::from(number), 8080),
        elapsed: Duration::from_millis(number.into()),
    }
}

/// Serves `changes` on an address of its own.
async fn serve(changes: Changes) -> (SocketAddr, Rc<RefCell<Option<SyncRequest>>>) {
    serve_with(changes, Vec::new()).await
}

/// Serves `changes` and `earlier_starts` on an address of its own.
async fn serve_with(
    changes: Changes,
    earlier_starts: Vec<EarlierStart>,
) -> (SocketAddr, Rc<RefCell<Option<SyncRequest>>>) {
    let (listener, address) = bind().await;
    let request = Rc::default();
    let service = FixedService {
        changes,
        earlier_starts,
        request: Rc::clone(&request),
    };
    spawn_local(serve_replica(listener, Arc::default(), service));
    (address, request)
}

/// Serves the calls of each connection by a service of its own, on an address of its own.
async fn serve_calls<S: replica::Server + 'static>(
    service: impl Fn() -> S + 'static,
) -> SocketAddr {
    let (listener, address) = bind().await;
    spawn_local(bambooseam_peer::serve(listener, move |_| {
        let client: replica::Client = capnp_rpc::new_client(service());
        client.client
    }));
    address
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

async fn client(address: SocketAddr, meter: &Arc<Meter>) -> ReplicaClient {
    let client = ReplicaClient::connect(address, Arc::clone(meter)).await;
    client.expect("a listening VM")
}

#[tokio::test]
async fn first_copy_fills_a_narrow_link_for_50_ms_at_most() {
    let run = async {
        let changes = copy();
        let (address, _) = serve(changes.clone()).await;
        let meter = Arc::default();
        let response = client(address, &meter).await.sync(&request()).await;
        let received = response.expect("an answer").changes.expect("a copy");
        assert_eq!(received.list, changes.list);
        let bytes = meter.received().get();
        println!("bytes={bytes} documents={}", changes.size());
        assert!(
            bytes <= MAX_COPY_BYTES,
            "{bytes} bytes of at most {MAX_COPY_BYTES}"
        );
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn earlier_program_receives_a_plain_list() {
    let run = async {
        let changes = copy();
        let (address, seen) = serve(changes.clone()).await;
        // An earlier program sets none of the later fields.
        let earlier: replica::Client = connect(address).await.expect("a listening VM");
        let mut call = earlier.sync_request();
        call.get().set_is_eager(true);
        call.get().init_copy().set_is_empty(true);
        let response = call.send().promise.await.expect("an answer");
        let news = response.get().and_then(|r| r.get_news()).expect("news");
        let received = news.get_changes().expect("changes");
        assert!(!received.has_packed());
        assert_eq!(
            received.get_list().expect("a list").len() as usize,
            changes.list.len()
        );
        let seen = seen.borrow().clone().expect("a request");
        assert!(!seen.held.knows_gaps && !seen.is_starting);
        assert_eq!(seen.token_reading, TokenReading::default());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn answer_of_an_earlier_program_is_applied() {
    let run = async {
        let address = serve_calls(|| EarlierService).await;
        let client = client(address, &Arc::default()).await;
        let response = client.sync(&request()).await.expect("an answer");
        assert!(!response.is_referral);
        assert_eq!(response.earlier_starts, []);
        assert_eq!(response.token_support, TokenSupport::default());
        let changes = response.changes.expect("a copy");
        assert_eq!((changes.list.len(), changes.gap), (1, None));
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn tokens_that_vms_read_are_exchanged() {
    let run = async {
        let (address, seen) = serve(Changes::default()).await;
        let client = client(address, &Arc::default()).await;
        for knows_older in [false, true] {
            let token_reading = TokenReading {
                reads_numbered: true,
                knows_older,
            };
            let request = SyncRequest {
                token_reading,
                ..request()
            };
            let response = client.sync(&request).await.expect("an answer");
            assert_eq!(response.token_support, SUPPORT);
            let seen = seen.borrow().clone().expect("a request");
            assert_eq!(seen.token_reading, token_reading);
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn earlier_starts_reach_the_requester() {
    let run = async {
        let starts: Vec<_> = (1..=600).map(earlier_start).collect();
        for count in [0, 1, 512, 600] {
            let offered = starts[..count].to_vec();
            let (address, _) = serve_with(Changes::default(), offered).await;
            let client = client(address, &Arc::default()).await;
            let response = client.sync(&request()).await.expect("an answer");
            assert_eq!(response.earlier_starts, starts[..count.min(512)]);
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn invalid_packed_lists_are_refused() {
    let run = async {
        let packed = Rc::new(RefCell::new(Vec::new()));
        let served = Rc::clone(&packed);
        let address = serve_calls(move || PackedService(Rc::clone(&served))).await;
        let client = client(address, &Arc::default()).await;
        let mut inputs = vec![Vec::new(), zlib(&[]), zlib(&vec![0; 64 << 20])];
        for_many_bytes(1_000, 4 << 10, |bytes| {
            inputs.push(bytes.to_vec());
            inputs.push(zlib(bytes));
        });
        let mut refused = 0;
        for input in inputs {
            packed.replace(input);
            // Random bytes may be a valid list without an entry.
            match client.sync(&request()).await {
                Ok(response) => {
                    let changes = response.changes.expect("changes");
                    assert!(changes.list.len() < 1_000);
                }
                Err(_) => refused += 1,
            }
        }
        println!("refused={refused}");
        assert!(
            refused > 1_000,
            "{refused} of about 2,000 lists are refused"
        );
    };
    LocalSet::new().run_until(run).await;
}

fn zlib(bytes: &[u8]) -> Vec<u8> {
    use std::io::Write;

    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(bytes).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes")
}
