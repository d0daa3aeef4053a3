//! HTTP requests from tasks to daemons and stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::block_on;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use serde::de::DeserializeOwned;

use crate::error::Result;
use crate::error::TaskError;

/// Timeout of the connection attempt, and of the request after it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum response size. The list of all calls that an upstream ran during a demo fits into it.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Sends a request over a new connection.
pub fn send(to: SocketAddr, req: Request) -> Result<Response> {
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    let target = req.target.clone();
    let failed = |e: String| TaskError::Failed(format!("{to}{target}: {e}"));
    block_on(async {
        let mut conn = Conn::connect(to, REQUEST_TIMEOUT, limits)
            .await
            .map_err(|e| failed(e.to_string()))?;
        let res = conn.call(req, REQUEST_TIMEOUT).await;
        res.map_err(|e| failed(e.to_string()))
    })
}

/// Sends a GET request and parses the JSON response.
pub fn get<T: DeserializeOwned>(from: SocketAddr, path: &str) -> Result<T> {
    let res = send(from, Request::get(path))?;
    serde_json::from_slice(&res.body)
        .map_err(|e| TaskError::Failed(format!("{from}{path}: {}: {e}", res.status)))
}

/// Requests the status of a daemon from its local listener.
pub fn status(daemon: SocketAddr) -> Result<Status> {
    get(daemon, STATUS_PATH)
}
