//! Tells the fleet how loaded this host is.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;
use coordination::host::Load;

const PERIOD: Duration = Duration::from_millis(500);

/// Compares the requests in flight with the connections allowed, until the task is dropped.
pub async fn watch(context: Arc<Context>) {
    let Some(entry) = &context.settings.entry else {
        return;
    };
    let most = entry.connections.max(1) as u64;
    let mut load = Load::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        let in_flight = context.in_flight.load(Ordering::SeqCst);
        let next = load.next(in_flight * 100 / most);
        if next != load && context.member.load(next).is_ok() {
            load = next;
        }
    }
}
