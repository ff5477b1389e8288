//! Feeds that change protocol, such as WebSocket.
//!
//! A feed may last a whole shift, so it frees its slot when it begins. It ends with the proxy it
//! passes through; feeds that must survive planned change belong on a flow port.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::upgrade::OnUpgrade;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::copy_bidirectional;

use crate::body::ResponseBody;
use crate::exchange::ActiveRequest;
use crate::proxy::Proxy;

/// Joins caller and target, and answers the caller.
pub fn tunnel(
    proxy: &Arc<Proxy>,
    mut response: Response<Incoming>,
    mut request: ActiveRequest,
    caller: Option<OnUpgrade>,
) -> Response<ResponseBody> {
    let target = hyper::upgrade::on(&mut response);
    let mut answer = Response::new(ResponseBody::Local(http_body_util::Full::default()));
    *answer.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    *answer.headers_mut() = response.headers().clone();
    request.complete();
    let Some(caller) = caller else { return answer };
    proxy.upgraded.spawn(async move {
        let (Ok(caller), Ok(target)) = (caller.await, target.await) else {
            return;
        };
        let (mut caller, mut target) = (TokioIo::new(caller), TokioIo::new(target));
        let _ = copy_bidirectional(&mut caller, &mut target).await;
    });
    answer
}
