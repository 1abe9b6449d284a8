//! Checks that an engine is told to run urgent work first.

mod support;

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use protocol::engine;
use support::MAPS_KEY;
use support::Test;

/// Reads the body of the next completion that reaches `listener` and closes the connection.
async fn asked(listener: &TcpListener) -> engine::Request {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        if let Some(request) = completion(&mut stream).await {
            return request;
        }
    }
}

async fn completion(stream: &mut TcpStream) -> Option<engine::Request> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer).await.ok()?;
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        if !head.starts_with("POST /v1/completions") && head.len() > 30 {
            return None;
        }
        if let Ok(request) = serde_json::from_str(body) {
            return Some(request);
        }
        if read == 0 {
            return None;
        }
    }
}

async fn priority(rank: &str) -> u8 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let bench = Test::new().start().await;
    let cells = json!({"address": address.to_string(), "model": "m", "type": "engine"});
    bench.add("upstreams", "recorder", cells).await;
    let ask: Value = json!({"model": "m", "prompt": "cove"});
    let headers = [("x-rank", rank), ("x-deadline-ms", "5000")];
    tokio::select! {
        request = asked(&listener) => request.priority,
        response = bench.post("/v1/completions", MAPS_KEY, &headers, &ask) => {
            panic!("answered before the engine was asked: {response:?}")
        }
    }
}

#[tokio::test]
async fn the_least_number_goes_to_urgent_work() {
    assert!(priority("urgent").await < priority("background").await);
}
