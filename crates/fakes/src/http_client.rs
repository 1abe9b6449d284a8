//! A minimal HTTP client for requests between fakes.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sends a request on a new connection and returns the status and the body.
///
/// # Errors
///
/// Returns an error when connecting fails or the response does not arrive whole.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> io::Result<(u16, Bytes)> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let connection = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(io::Error::other)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    connection.abort();
    Ok((status, body.map_err(io::Error::other)?.to_bytes()))
}
