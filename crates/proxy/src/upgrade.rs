//! Tunnels for connections that are upgraded to another protocol, such as WebSocket feeds.
//!
//! A feed may last a whole shift, so its slot is freed when the feed starts. A feed ends with the
//! proxy that carries it; feeds that must survive a planned change belong on a flow port.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::upgrade::OnUpgrade;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::copy_bidirectional;

use crate::body::ResponseBody;
use crate::exchange::ActiveRequest;
use crate::proxy::Proxy;

/// Connects the caller to the target and returns the upgrade response to the caller.
pub fn tunnel(
    proxy: &Arc<Proxy>,
    mut response: Response<Incoming>,
    mut request: ActiveRequest,
    caller: Option<OnUpgrade>,
) -> Response<ResponseBody> {
    let target = hyper::upgrade::on(&mut response);
    let mut reply = Response::new(ResponseBody::Local(http_body_util::Full::default()));
    *reply.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    *reply.headers_mut() = response.headers().clone();
    request.complete();
    let Some(caller) = caller else { return reply };
    proxy.upgraded.spawn(async move {
        let (Ok(caller), Ok(target)) = (caller.await, target.await) else {
            return;
        };
        let (mut caller, mut target) = (TokioIo::new(caller), TokioIo::new(target));
        let _ = copy_bidirectional(&mut caller, &mut target).await;
    });
    reply
}
