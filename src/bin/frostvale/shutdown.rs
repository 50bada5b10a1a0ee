//! Graceful shutdown: until when connections are taken in, until when commands are begun, and when all is over.
//!
//! The platform sends SIGTERM, lets new connections come for 0.4 s more, and kills no sooner than the longest deadline (3 s
//! at most) and `GRACE` later. What came within `GRACE` and is open when it kills is not held against the gatekeeper; what
//! comes later has to be answered by then, and cannot surely be. So nothing is begun from a little before `GRACE` on, and what
//! was begun is answered within its own deadline: the process ends that much later, and `client::LINGER`, at the latest.

use crate::client::ConnectionState;
use crate::clients::Clients;
use crate::gatekeeper::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// New connections go on coming for up to 0.4 s after SIGTERM.
const ACCEPT: Duration = Duration::from_millis(500);
/// What comes later than this after SIGTERM and is not answered when SIGKILL comes is lost.
const GRACE: Duration = Duration::from_millis(700);
/// A command that has come may wait this long for its turn here.
const TURN: Duration = Duration::from_millis(50);

/// Ends all clients' connections in order. What they have sent by then is answered.
pub async fn graceful(clients: &Rc<Clients>, listener: TcpListener, gatekeeper: &Shared) {
    let began = Instant::now();
    let _ = timeout_at(began + ACCEPT, clients.clone().accept(&listener, gatekeeper.clone())).await;
    clients.advance_all_to(ConnectionState::Stopping);
    let ended = async {
        clients.accept_rest(&listener, gatekeeper).await;
        drop(listener);
        clients.wait_until_empty().await;
    };
    tokio::pin!(ended);
    if timeout_at(began + GRACE - TURN, &mut ended).await.is_err() {
        clients.advance_all_to(ConnectionState::Declining);
        ended.await;
    }
}
