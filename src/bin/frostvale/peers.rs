//! Messages between gatekeepers: one UDP socket, datagrams of at most 256 bytes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
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

    /// The task that receives messages; `on_message` is called with the sender's number and the text.
    pub async fn listen(self, own_index: u32, on_message: impl Fn(u32, &str)) {
        let indexed = self.addresses.iter().zip(0u32..);
        let index_of: HashMap<SocketAddr, u32> = indexed.map(|(address, k)| (*address, k)).collect();
        let mut bytes = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error is an earlier message that could not be delivered, or a lasting one: the pause keeps
            // the loop from spinning.
            let Ok((len, from)) = self.socket.recv_from(&mut bytes).await else {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                continue;
            };
            // Only datagrams of other gatekeepers that may be a message are accepted.
            let Some(from) =
                index_of.get(&from).copied().filter(|k| *k != own_index && len <= MAX_MESSAGE_BYTES)
            else {
                continue;
            };
            let Ok(text) = std::str::from_utf8(&bytes[..len]) else { continue };
            on_message(from, text);
        }
    }
}
