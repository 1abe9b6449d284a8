//! A client of the platform's list of upstream hosts.
//!
//! No other module of this crate sends or parses messages of that contract.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::upstream::Connection;
use crate::upstream::Error;
use crate::upstream::FormatError;
use crate::upstream::Limits;
use protocol::platform::HOSTS_PATH;
use protocol::platform::HostList;

/// Fetches the list of hosts from the platform at `address`.
///
/// # Errors
///
/// Returns the error of the exchange.
pub async fn fetch_hosts(address: SocketAddr, limits: Limits) -> Result<HostList, Error> {
    let format_error = |source: FormatError| Error::Format { address, source };
    let request = Request::get(HOSTS_PATH).body(Full::<Bytes>::default());
    let request = request.map_err(|e| format_error(e.into()))?;
    let mut connection = Connection::open(address, limits).await?;
    let response = connection.send(request).await?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(Error::Status { address, status });
    }
    let bytes = connection.read_body(response.into_body()).await?;
    HostList::decode(&bytes).map_err(|e| format_error(e.into()))
}
