//! Graceful shutdown: how long new connections are accepted, how long commands are started, and when the
//! process ends.
//!
//! The platform sends SIGTERM, routes new connections here for up to 0.4 s more, and sends SIGKILL no sooner
//! than the longest deadline (at most 3 s) plus `GRACE` later. A request that arrived within `GRACE` and is
//! unanswered at SIGKILL does not count against the gatekeeper. A request that arrives later has to be
//! answered before SIGKILL, which cannot be guaranteed. So no request is started from shortly before the end
//! of `GRACE` on. Requests that have been started are answered within their own deadlines: the process ends
//! at most that much later, plus `client::LINGER_TIMEOUT`.

use crate::client::ConnectionState;
use crate::clients::Clients;
use crate::gatekeeper::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// Time during which new connections are accepted: they arrive for up to 0.4 s after SIGTERM.
const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// A request that arrives later than this after SIGTERM and is unanswered at SIGKILL counts as lost.
const GRACE: Duration = Duration::from_millis(700);
/// Longest time that an arrived command may wait here to be processed.
const MAX_PROCESSING_DELAY: Duration = Duration::from_millis(50);

/// Closes all clients' connections gracefully. Commands that have arrived before are still answered: from
/// shortly before the end of `GRACE` on, with `-BUSY`.
pub async fn graceful(clients: &Rc<Clients>, listener: TcpListener, gatekeeper: &Shared) {
    let started_at = Instant::now();
    let _ =
        timeout_at(started_at + ACCEPT_DURATION, clients.clone().accept(&listener, gatekeeper.clone())).await;
    clients.advance_all_to(ConnectionState::Stopping);
    let all_closed = async {
        clients.accept_rest(&listener, gatekeeper).await;
        drop(listener);
        clients.wait_until_empty().await;
    };
    tokio::pin!(all_closed);
    if timeout_at(started_at + GRACE - MAX_PROCESSING_DELAY, &mut all_closed).await.is_err() {
        clients.advance_all_to(ConnectionState::Rejecting);
        all_closed.await;
    }
}
