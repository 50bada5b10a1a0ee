//! Queries the kernel (netlink `sock_diag`) for the state of one TCP connection by its addresses. The cost
//! does not grow with the number of sockets on the machine.

use crate::harness::TIMEOUT;
use netlink_packet_core::{NLM_F_DUMP, NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::*;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::{Socket, protocols::NETLINK_SOCK_DIAG};
use std::net::SocketAddr;
use std::time::Instant;

/// Buffer size for one datagram of the kernel's answer.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Cookie that matches any socket with the given addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// State of one end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct SocketInfo {
    state: u8,
    /// Bytes sent and not acknowledged yet.
    unacknowledged_bytes: u32,
    /// Bytes received that the process has not read.
    unread_bytes: u32,
    /// 0 until a process has accepted the connection.
    inode: u32,
    remote: SocketAddr,
}

impl SocketInfo {
    /// Whether all that was sent is acknowledged, including the end of sending if there was one.
    pub fn has_all_acknowledged(&self) -> bool {
        let acknowledged = [TCP_ESTABLISHED, TCP_FIN_WAIT2, TCP_CLOSE_WAIT].contains(&self.state);
        acknowledged && self.unacknowledged_bytes == 0
    }

    /// Whether the process has read all that was received.
    pub fn has_all_read(&self) -> bool {
        self.unread_bytes == 0
    }

    pub fn is_accepted(&self) -> bool {
        self.inode != 0
    }

    pub fn is_established(&self) -> bool {
        self.state == TCP_ESTABLISHED
    }
}

/// Sends a query to the kernel and returns the sockets of its answer.
fn query(flags: u16, states: StateFlags, socket_id: SocketId) -> Vec<SocketInfo> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG).expect("a netlink socket");
    socket.bind_auto().expect("bound");
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST | flags;
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states,
        socket_id,
    };
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    socket.send(&bytes, 0).expect("query sent");
    let mut sockets = Vec::new();
    loop {
        let mut datagram = Vec::with_capacity(DATAGRAM_BYTES);
        socket.recv(&mut datagram, 0).expect("kernel answer");
        let mut rest = &datagram[..];
        while !rest.is_empty() {
            let message = NetlinkMessage::<SockDiagMessage>::deserialize(rest).expect("a message");
            let length = (message.header.length as usize).next_multiple_of(4).min(rest.len());
            rest = &rest[length..];
            match message.payload {
                NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
                    let id = &response.header.socket_id;
                    sockets.push(SocketInfo {
                        state: response.header.state,
                        unacknowledged_bytes: response.header.send_queue,
                        unread_bytes: response.header.recv_queue,
                        inode: response.header.inode,
                        remote: SocketAddr::new(id.destination_address, id.destination_port),
                    });
                    if flags & NLM_F_DUMP == 0 {
                        return sockets;
                    }
                }
                // No such socket, or the end of the answer.
                _ => return sockets,
            }
        }
    }
}

/// Waits until `predicate` holds for one end of a connection, or for `None` if there is no such connection.
pub fn wait_for_socket(own: SocketAddr, remote: SocketAddr, predicate: impl Fn(Option<&SocketInfo>) -> bool) {
    let id = SocketId {
        source_port: own.port(),
        destination_port: remote.port(),
        source_address: own.ip(),
        destination_address: remote.ip(),
        cookie: ANY_COOKIE,
        ..SocketId::new_v4()
    };
    let started_at = Instant::now();
    loop {
        // If there is no such connection the kernel returns the listener at its address.
        let found = query(0, StateFlags::all(), id.clone());
        let socket_info = found.first().filter(|socket_info| socket_info.state != TCP_LISTEN);
        if predicate(socket_info) {
            return;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{socket_info:?}");
    }
}

/// Waits until a connection attempt to this address is pending without an answer.
pub fn wait_for_connection_attempt(address: SocketAddr) {
    let started_at = Instant::now();
    let all = SocketId::new_v4();
    while !query(NLM_F_DUMP, StateFlags::SYN_SENT, all.clone())
        .iter()
        .any(|socket_info| socket_info.remote == address)
    {
        assert!(started_at.elapsed() < TIMEOUT, "no connection attempt to {address}");
    }
}
