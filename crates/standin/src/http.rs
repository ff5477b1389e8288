//! HTTP/1.1 service of the stand-ins.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// An error that ends a connection without an answer.
pub type ServeError = Box<dyn std::error::Error + Send + Sync>;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves until `stop`; then all connections are closed at once.
pub async fn serve<A, F, B>(listener: TcpListener, stop: CancellationToken, answer: A)
where
    A: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, ServeError>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<ServeError>,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service_fn(answer.clone()));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("event=standin_connection_ended cause={:?}", error.to_string());
                    }
                }
            }
        });
    }
}

/// A whole plain answer.
pub fn plain(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}
