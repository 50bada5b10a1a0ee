//! Messages between gatekeepers: one UDP socket, datagrams of at most 256 bytes.

use crate::fair_share::Source;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::UdpSocket;

/// The longest datagram, in bytes. A longer one makes the platform's run invalid, so none is sent or
/// accepted.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// The socket and the addresses of the other gatekeepers of the tier.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    /// Binds the socket. `all` is an address that reaches every gatekeeper, if there is one.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> std::io::Result<Peers> {
        Ok(Peers { socket: Rc::new(UdpSocket::bind(listen).await?), addresses, all })
    }

    /// Sends a message if the socket accepts it now. Messages may be lost, so no caller waits for one.
    pub fn send(&self, to: u32, text: &str) {
        if let Some(address) = self.addresses.get(to as usize)
            && text.len() <= MAX_MESSAGE_BYTES
        {
            let _ = self.socket.try_send_to(text.as_bytes(), *address);
        }
    }

    /// Sends a message to all gatekeepers. A sender that receives its own message ignores it.
    pub fn broadcast(&self, text: &str) {
        if text.len() > MAX_MESSAGE_BYTES {
            return;
        }
        match &self.all {
            Some(all) => {
                let _ = self.socket.try_send_to(text.as_bytes(), *all);
            }
            None => self.addresses.iter().for_each(|address| {
                let _ = self.socket.try_send_to(text.as_bytes(), *address);
            }),
        }
    }

    /// The task that receives messages; `on_message` is called with the sender's number and the text. Of each
    /// sender no more than `intake` messages per second are handled, the most that a gatekeeper takes in of all
    /// of them, so that one that sends more does not delay those of others.
    pub async fn listen(self, own_index: u32, intake: f64, source: Source, on_message: impl Fn(u32, &str)) {
        let indexed = self.addresses.iter().zip(0u32..);
        let index_of: HashMap<SocketAddr, u32> = indexed.map(|(address, k)| (*address, k)).collect();
        let mut limits = vec![IntakeLimit::new(intake, Instant::now()); self.addresses.len()];
        let mut bytes = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error is an earlier message that could not be delivered, or a lasting one: the pause keeps
            // the loop from spinning.
            let Ok((len, from)) = self.socket.recv_from(&mut bytes).await else {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                continue;
            };
            let received_at = Instant::now();
            // Only datagrams of other gatekeepers that may be a message are accepted.
            let from = index_of.get(&from).copied().filter(|k| *k != own_index && len <= MAX_MESSAGE_BYTES);
            if let Some(from) = from
                && limits[from as usize].admit(received_at)
                && let Ok(text) = std::str::from_utf8(&bytes[..len])
            {
                on_message(from, text);
            }
            source.pay_since(received_at).await;
        }
    }
}

/// Limits the messages of one sender: a second's intake at once, and the intake's rate after that.
#[derive(Clone)]
struct IntakeLimit {
    rate: f64,
    /// Messages that may be handled as of `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

impl IntakeLimit {
    fn new(rate: f64, now: Instant) -> IntakeLimit {
        let rate = rate.max(1.0);
        IntakeLimit { rate, tokens: rate, refilled_at: now }
    }

    /// Whether one more message is handled.
    fn admit(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.rate);
        self.refilled_at = now;
        let is_admitted = self.tokens >= 1.0;
        self.tokens -= if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }
}

#[cfg(test)]
mod tests;
