//! Transport of views from an agent to the programs of the same VM.
//!
//! [`subscribe`] keeps a program's current view in a `watch` channel. While the agent is
//! unavailable, the channel holds the last view and the program continues with it. A restarted
//! agent numbers its views above the earlier ones, so a program always acknowledges the number of
//! the view that it has in force.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_view::{View, ViewNumber, ViewSource};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::view_capnp::{view_feed, view_source};
use crate::{Link, PeerError, connect_metered, serve, spawn_local_thread};

/// Pause before reconnecting a lost feed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a view with a lower revision than the one in force was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Longest wait for a response, after which the connection counts as dead.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an agent responds to a watch without a new view, below [`WATCH_TIMEOUT`].
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// A program's current view; `None` until the first one has arrived.
pub type ViewReceiver = watch::Receiver<Option<Arc<View>>>;

/// Receives acknowledgements of the view that a program has in force.
pub trait Acknowledge: 'static {
    /// Records that `program` has view `number` in force; number 0 means no view yet.
    fn acknowledge(&self, program: &str, number: ViewNumber);
}

impl<F: Fn(&str, ViewNumber) + 'static> Acknowledge for F {
    fn acknowledge(&self, program: &str, number: ViewNumber) {
        self(program, number);
    }
}

/// Keeps the current view that the agent at `address` serves; runs on its own thread.
///
/// # Errors
///
/// Returns an error when the thread can't be started.
pub fn subscribe(address: SocketAddr, program: &'static str) -> std::io::Result<ViewReceiver> {
    let (sender, receiver) = watch::channel(None);
    spawn_local_thread("view-feed", move || async move {
        let mut logged = None;
        while !sender.is_closed() {
            if let Err(error) = watch_views(address, program, &sender).await {
                let current = sender.borrow().as_ref().map(|view| view.number);
                let failure = Some((error.to_string(), current));
                // Retries continue while an agent is unavailable; only a new cause or view is
                // logged.
                if failure != logged {
                    log::warn!(
                        "event=view_feed_lost agent={address} cause={:?}",
                        error.to_string()
                    );
                    logged = failure;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    })?;
    Ok(receiver)
}

/// Serves the newest source to the programs that connect; must run in a `LocalSet`.
pub async fn serve_views<A: Acknowledge>(
    listener: TcpListener,
    sources: watch::Receiver<Arc<ViewSource>>,
    acknowledge: A,
) {
    let acknowledge = Rc::new(acknowledge);
    serve(listener, |_| {
        let feed = Feed {
            sources: sources.clone(),
            acknowledge: Rc::clone(&acknowledge),
        };
        let client: view_feed::Client = capnp_rpc::new_client(feed);
        client.client
    })
    .await;
}

/// The object that a program calls.
struct Feed<A> {
    sources: watch::Receiver<Arc<ViewSource>>,
    acknowledge: Rc<A>,
}

impl<A: Acknowledge> view_feed::Server for Feed<A> {
    async fn watch(
        self: Rc<Self>,
        params: view_feed::WatchParams,
        mut results: view_feed::WatchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let program = params.get_program()?.to_str()?;
        let after = ViewNumber::from(params.get_after());
        self.acknowledge.acknowledge(program, after);
        let mut sources = self.sources.clone();
        let newer = sources.wait_for(|source| source.number != after);
        let Ok(newer) = tokio::time::timeout(LONG_POLL_TIMEOUT, newer).await else {
            return Ok(());
        };
        let source =
            newer.map_err(|_| capnp::Error::disconnected("the agent is stopping".into()))?;
        write_source(&source, results.get().init_source());
        Ok(())
    }
}

/// Receives views over one connection until it fails.
async fn watch_views(
    address: SocketAddr,
    program: &str,
    sender: &watch::Sender<Option<Arc<View>>>,
) -> Result<(), PeerError> {
    let link: Link<view_feed::Client> = connect_metered(address, None, Arc::default()).await?;
    loop {
        let current = sender.borrow().as_ref().map(|view| view.number);
        let after = current.unwrap_or_default();
        let mut request = link.client.watch_request();
        request.get().set_program(program);
        request.get().set_after(after.get());
        let response = tokio::time::timeout(WATCH_TIMEOUT, request.send().promise);
        let response = response.await.map_err(std::io::Error::from)??;
        let results = response.get()?;
        if !results.has_source() {
            continue;
        }
        let source = read_source(results.get_source()?)?;
        if !apply_source(&source, sender)? {
            // The agent would return the refused view again immediately.
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
    }
}

/// Puts a view in force unless its revision is below the one in force; returns false in that case.
fn apply_source(
    source: &ViewSource,
    sender: &watch::Sender<Option<Arc<View>>>,
) -> Result<bool, PeerError> {
    let view = View::build(source)?;
    let current = sender.borrow().as_ref().map(|current| current.revision());
    if current.is_some_and(|current| current > view.revision()) {
        let revision = view.revision();
        log::warn!("event=view_refused cause=lower_revision revision={revision}");
        return Ok(false);
    }
    log::info!(
        "event=view_in_force number={} revision={}",
        view.number,
        view.revision()
    );
    sender.send_replace(Some(Arc::new(view)));
    Ok(true)
}

/// Writes a source into a message.
fn write_source(source: &ViewSource, mut builder: view_source::Builder<'_>) {
    builder.set_number(source.number.get());
    builder.set_pointer(&source.pointer);
    builder.set_preset(&source.preset);
    builder.set_vms(&source.vms);
    builder.set_targets(&source.targets);
    let count = u32::try_from(source.suspects.len()).unwrap_or(u32::MAX);
    let mut suspects = builder.init_suspects(count);
    for (index, suspect) in (0..count).zip(&source.suspects) {
        suspects.set(index, suspect.as_str());
    }
}

/// Reads a source from a message.
fn read_source(reader: view_source::Reader<'_>) -> Result<ViewSource, PeerError> {
    let mut suspects = Vec::new();
    for suspect in reader.get_suspects()? {
        let suspect = suspect?.to_str().map_err(capnp::Error::from)?;
        let id = suspect
            .parse()
            .map_err(|_| capnp::Error::failed("invalid VM identifier in suspects".into()))?;
        suspects.push(id);
    }
    suspects.sort();
    let text = |reader: capnp::Result<capnp::text::Reader<'_>>| -> Result<String, PeerError> {
        Ok(reader?.to_str().map_err(capnp::Error::from)?.to_owned())
    };
    Ok(ViewSource {
        number: ViewNumber::from(reader.get_number()),
        pointer: text(reader.get_pointer())?,
        preset: text(reader.get_preset())?,
        vms: text(reader.get_vms())?,
        targets: text(reader.get_targets())?,
        suspects,
    })
}
