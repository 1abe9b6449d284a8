//! Tests of the check whether an upstream still runs.

use std::time::Duration;

use tokio::net::TcpListener;

use transport::reachability::refuses_connections;

/// Limit of a check; an answer that depends on it comes only after this time.
const LIMIT: Duration = Duration::from_secs(2);
/// Time by which a process that ends closes its listener later than its connections.
const LATER: Duration = Duration::from_millis(20);

#[tokio::test]
async fn an_address_where_nothing_listens_refuses_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(refuses_connections(address, LIMIT).await);
}

/// Guards against a crash that goes unnoticed because the check comes before the process has closed
/// its listener.
#[tokio::test]
async fn a_process_that_closes_its_listener_last_refuses_connections() {
    for accepts in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ending = tokio::spawn(async move {
            let mut accepted = Vec::new();
            let accepting = async {
                while accepts && let Ok((stream, _)) = listener.accept().await {
                    accepted.push(stream);
                }
                std::future::pending::<()>().await;
            };
            let _ = tokio::time::timeout(LATER, accepting).await;
            drop(listener);
        });
        assert!(refuses_connections(address, LIMIT).await, "{accepts}");
        ending.await.unwrap();
    }
}

#[tokio::test]
async fn a_process_that_runs_refuses_no_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert!(!refuses_connections(address, Duration::from_millis(50)).await);
    // One that closes each connection at once runs too.
    let closing = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    assert!(!refuses_connections(address, LIMIT).await);
    closing.abort();
}
