//! Notes between gatekeepers: one UDP socket, datagrams of at most 256 bytes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// A longer datagram voids the run, and none is taken in.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// The way to the other gatekeepers of the tier.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    /// `all` is an address that reaches every one of them, if there is one.
    pub async fn bind(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> std::io::Result<Peers> {
        Ok(Peers { socket: Rc::new(UdpSocket::bind(listen).await?), addresses, all })
    }

    /// Sends a note if the socket takes it now. Notes may be lost, so nothing waits for one.
    pub fn send(&self, to: u32, text: &str) {
        if let Some(address) = self.addresses.get(to as usize)
            && text.len() <= MAX_MESSAGE_BYTES
        {
            let _ = self.socket.try_send_to(text.as_bytes(), *address);
        }
    }

    /// Sends a note to all of them. One that comes back to its sender is passed over there.
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

    /// The task that takes notes in.
    pub async fn listen(self, me: u32, heard: impl Fn(u32, &str)) {
        let numbered = self.addresses.iter().zip(0u32..);
        let numbers: HashMap<SocketAddr, u32> = numbered.map(|(address, k)| (*address, k)).collect();
        let mut bytes = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error is an earlier note that could not be delivered, or lasting: then this must not spin.
            let Ok((len, from)) = self.socket.recv_from(&mut bytes).await else {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                continue;
            };
            // Only peers are heard, and only in words that may be a note.
            let Some(from) = numbers.get(&from).copied().filter(|k| *k != me && len <= MAX_MESSAGE_BYTES)
            else {
                continue;
            };
            let Ok(text) = std::str::from_utf8(&bytes[..len]) else { continue };
            heard(from, text);
        }
    }
}
