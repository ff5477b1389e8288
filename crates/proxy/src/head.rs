//! Request heads: validation, and rewriting for the next hop.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use bambooseam_types::{Finding, Findings, Location, ParseIdError, RequestId};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Uri, Version};

use crate::local_response::insert_text;
use crate::trace::Trace;

/// Identifies one attempt of a caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Identifies one piece of work across attempts.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Number of the caller's attempt, starting at 1.
pub const REQUEST_ATTEMPT: HeaderName = HeaderName::from_static("request-attempt");
/// Time left until the deadline, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Whether a request without a target's response ran.
pub const OUTCOME: HeaderName = HeaderName::from_static("bambooseam-outcome");
/// Set to 1 on a 503 of a target that did not run the request.
pub const TARGET_SHED: HeaderName = HeaderName::from_static("target-shed");
/// W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Hop-by-hop headers, which concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Maximum length of an idempotency key in bytes.
const KEY_LIMIT: usize = 255;

/// Parts of the request head that the proxy uses.
#[derive(Debug, Clone)]
pub struct Head {
    /// Identifier of the attempt.
    pub id: RequestId,
    /// Idempotency key, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Remaining time set by the caller, if any.
    pub timeout: Option<Duration>,
    /// Path without the query.
    pub path: String,
    /// Whether running the request twice is harmless.
    pub is_idempotent: bool,
    /// Whether the caller requests a protocol upgrade.
    pub is_upgrade: bool,
    /// Trace that the request belongs to.
    pub trace: Trace,
}

/// Key that identifies one piece of work across attempts: 1 to 255 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for IdempotencyKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > KEY_LIMIT || !is_visible {
            return Err(ParseIdError {
                found: text.chars().take(KEY_LIMIT).collect(),
                allowed: "1 to 255 visible ASCII characters",
            });
        }
        Ok(Self(text.into()))
    }
}

impl<B> TryFrom<&Request<B>> for Head {
    type Error = Findings;

    fn try_from(request: &Request<B>) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let headers = request.headers();
        check_framing(request, &mut findings);
        check_host(request, &mut findings);
        let id = read(headers, &REQUEST_ID, "a request id", &mut findings);
        let key = read(headers, &IDEMPOTENCY_KEY, "a key", &mut findings);
        let attempt = read(headers, &REQUEST_ATTEMPT, "a whole number", &mut findings);
        let timeout: Option<u32> = read(headers, &REQUEST_TIMEOUT, "a whole number", &mut findings);
        let method = request.method();
        let head = Self {
            id: id.unwrap_or_else(random_id),
            key,
            attempt: attempt.unwrap_or(1),
            timeout: timeout.map(|time| Duration::from_millis(time.into())),
            path: request.uri().path().to_owned(),
            is_idempotent: method.is_idempotent(),
            is_upgrade: request.version() == Version::HTTP_11 && headers.contains_key(UPGRADE),
            trace: Trace::from_headers(headers),
        };
        findings.into_result(head)
    }
}

impl Head {
    /// Whether running the request twice could do harm.
    pub fn is_non_idempotent(&self) -> bool {
        !self.is_idempotent
    }

    /// Rewrites a validated request for its target.
    pub fn rewrite<B>(&self, request: &mut Request<B>) {
        let host = request.uri().authority().map(ToString::to_string);
        let target = request.uri().path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.version_mut() = Version::HTTP_11;
        let upgrade = request.headers().get(UPGRADE).cloned();
        let headers = request.headers_mut();
        remove_hop_headers(headers);
        headers.remove(OUTCOME);
        if let Some(host) = host {
            insert_text(headers, HOST, &host);
        }
        insert_text(headers, REQUEST_ID, self.id.as_str());
        if let Some(upgrade) = upgrade.filter(|_| self.is_upgrade) {
            headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
            headers.insert(UPGRADE, upgrade);
        }
    }
}

/// Removes hop-by-hop headers, and the headers that `Connection` lists.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        named.extend(text.split(',').filter_map(|name| name.trim().parse().ok()));
    }
    for name in named {
        let name: HeaderName = name;
        // Removing these headers would let a caller strip headers that routing and framing depend
        // on.
        if name == HOST || name == CONTENT_LENGTH {
            continue;
        }
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Checks that all hops agree on where the body ends, which prevents request smuggling.
fn check_framing<B>(request: &Request<B>, findings: &mut Findings) {
    let headers = request.headers();
    let encodings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let is_chunked = |value: &&HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    if encodings.len() > 1 || !encodings.iter().all(is_chunked) {
        report(
            &TRANSFER_ENCODING,
            "another coding",
            "chunked, once",
            findings,
        );
    }
    if !encodings.is_empty() && headers.contains_key(CONTENT_LENGTH) {
        let allowed = "one of transfer-encoding and content-length";
        report(&TRANSFER_ENCODING, "both", allowed, findings);
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        report(&CONTENT_LENGTH, "several lengths", "one length", findings);
    }
    if request.method() == Method::CONNECT {
        findings.push(finding("method", "CONNECT", "a method with a path"));
    }
}

/// Checks that the request names exactly one host.
fn check_host<B>(request: &Request<B>, findings: &mut Findings) {
    let hosts: Vec<_> = request.headers().get_all(HOST).iter().collect();
    let authority = request.uri().authority();
    let is_one = match (&hosts[..], authority) {
        ([], authority) => authority.is_some(),
        ([host], Some(authority)) => host.as_bytes() == authority.as_str().as_bytes(),
        ([_], None) => true,
        _ => false,
    };
    if !is_one {
        let found = format!("{} hosts", hosts.len());
        report(&HOST, &found, "one host", findings);
    }
}

/// Reads and parses a header that may occur at most once.
fn read<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    allowed: &str,
    findings: &mut Findings,
) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    if parsed.is_none() || values.next().is_some() {
        let found = format!("{:?}", String::from_utf8_lossy(value.as_bytes()));
        report(name, &found, allowed, findings);
        return None;
    }
    parsed
}

fn report(name: &HeaderName, found: &str, allowed: &str, findings: &mut Findings) {
    findings.push(finding(name.as_str(), found, allowed));
}

fn finding(key: &str, found: &str, allowed: &str) -> Finding {
    Finding::new(Location::new("request", 0, key), found, allowed)
}

/// Generates an identifier for a request without one.
fn random_id() -> RequestId {
    let text = format!("{:032x}", rand::random::<u128>());
    text.parse()
        .expect("32 hexadecimal digits are a valid request id")
}
