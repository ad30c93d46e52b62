//! Validates and parses the heads of client requests.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode};
use sagemast::api::*;

use super::body::MAX_BODY_BYTES;

/// Limit on the length of the X-Request-ID header, which is stored while the request is open.
const MAX_X_REQUEST_ID_BYTES: usize = 256;
/// The longest timeout that a request may ask for.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// The classes and tenants that requests may name.
pub struct NameTable {
    /// Names and idempotency of the classes, indexed by [`ClassId`].
    pub classes: Vec<(String, Idempotency)>,
    /// Names of the tenants, indexed by [`TenantId`].
    pub tenants: Vec<String>,
}

/// Why a request is rejected.
pub struct RequestError {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    pub reason: &'static str,
}

impl RequestError {
    fn new(status: StatusCode, reason: &'static str) -> RequestError {
        RequestError { status, reason }
    }

    fn bad_request(reason: &'static str) -> RequestError {
        RequestError::new(StatusCode::BAD_REQUEST, reason)
    }
}

/// The validated contents of a request head.
pub struct RequestHead {
    /// The class.
    pub class: ClassId,
    /// The tenant.
    pub tenant: TenantId,
    /// How long the client waits.
    pub time_left: Duration,
    /// The client's estimate of the work.
    pub cost: Option<f64>,
    /// The value of the X-Request-ID header.
    pub x_request_id: Box<str>,
}

/// Validates and parses a request head. Requests that upstreams could not use or might parse differently are rejected.
pub fn parse_head(request: &Request<Incoming>, names: &NameTable) -> Result<RequestHead, RequestError> {
    let class_name = request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let Some(class) = names.classes.iter().position(|(name, _)| name == class_name) else {
        return Err(RequestError::new(StatusCode::NOT_FOUND, "no such path"));
    };
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::bad_request("the path is not plain text"));
    }
    let headers = request.headers();
    // Guards against request smuggling: with both framings present, two parsers may disagree on where the body
    // ends, and hyper drops a Content-Length after Transfer-Encoding. So Transfer-Encoding is rejected even alone.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(RequestError::new(StatusCode::LENGTH_REQUIRED, "Content-Length is missing"));
    }
    let content_length = match single_header(headers, "content-length")? {
        Some(text) => {
            parse_decimal(text).ok_or(RequestError::bad_request("Content-Length is not a number"))?
        }
        None => 0,
    };
    if content_length > MAX_BODY_BYTES as u64 {
        return Err(RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    match single_header(headers, "x-priority-class")? {
        None => return Err(RequestError::bad_request("X-Priority-Class is missing")),
        Some(name) if name != class_name => {
            return Err(RequestError::bad_request("X-Priority-Class does not fit the path"));
        }
        Some(_) => {}
    }
    let idempotency_key = single_header(headers, "idempotency-key")?;
    match (request.method(), names.classes[class].1) {
        (&Method::GET, Idempotency::Idempotent) if content_length > 0 => {
            return Err(RequestError::bad_request("GET has no body"));
        }
        (&Method::GET, Idempotency::Idempotent) => {}
        // Upstreams need the key to detect repeats.
        (&Method::POST, Idempotency::Keyed { .. }) if idempotency_key.is_none_or(str::is_empty) => {
            return Err(RequestError::bad_request("Idempotency-Key is missing"));
        }
        // A key promises deduplication, which this class does not have.
        (&Method::POST, Idempotency::NonIdempotent) if idempotency_key.is_some() => {
            return Err(RequestError::bad_request("the class takes no Idempotency-Key"));
        }
        (&Method::POST, Idempotency::Keyed { .. } | Idempotency::NonIdempotent) => {}
        _ => {
            return Err(RequestError::new(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
    }
    let x_request_id = single_header(headers, "x-request-id")?
        .filter(|id| !id.is_empty() && id.len() <= MAX_X_REQUEST_ID_BYTES);
    let x_request_id =
        x_request_id.ok_or(RequestError::bad_request("X-Request-ID is missing or too long"))?.into();
    let timeout = single_header(headers, "x-timeout-ms")?
        .ok_or(RequestError::bad_request("X-Timeout-Ms is missing"))?;
    let timeout_ms = parse_decimal(timeout).filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let time_left = Duration::from_millis(
        timeout_ms.ok_or(RequestError::bad_request("X-Timeout-Ms is not a number of milliseconds"))?,
    );
    let tenant = match single_header(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(RequestError::bad_request("X-Tenant-Id is missing")),
        Some(name) => names
            .tenants
            .iter()
            .position(|tenant| tenant == name)
            .ok_or(RequestError::bad_request("unknown tenant"))?,
    };
    // The cost is only a hint: an unreadable value is ignored.
    let cost = headers.get("x-cost").and_then(|value| value.to_str().ok()?.trim().parse().ok());
    Ok(RequestHead { class: ClassId(class), tenant: TenantId(tenant), time_left, cost, x_request_id })
}

/// Parses a number of decimal digits only; `parse` alone would accept a sign.
fn parse_decimal(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The trimmed value of a header that must not be repeated; `None` if it is absent.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        (Err(_), _) => Err(RequestError::bad_request("a header is not text")),
        (_, Some(_)) => Err(RequestError::bad_request("a header comes twice")),
    }
}
