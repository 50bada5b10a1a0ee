//! What the kernel knows of one TCP connection, asked for by its addresses. The cost does not grow with the number of
//! sockets on the machine.

use crate::rig::LONG;
use netlink_packet_core::{NLM_F_DUMP, NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::*;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::{Socket, protocols::NETLINK_SOCK_DIAG};
use std::net::SocketAddr;
use std::time::Instant;

/// Room for one datagram of the kernel's answer.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Stands for whichever socket has the addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// One end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct End {
    state: u8,
    /// Sent and not acknowledged yet.
    unacknowledged_bytes: u32,
    /// 0 until a process has accepted it.
    inode: u32,
    remote: SocketAddr,
}

impl End {
    /// Whether all that was sent is acknowledged, the end of sending too where there was one.
    pub fn all_acknowledged(&self) -> bool {
        let acknowledged = [TCP_ESTABLISHED, TCP_FIN_WAIT2, TCP_CLOSE_WAIT].contains(&self.state);
        acknowledged && self.unacknowledged_bytes == 0
    }

    pub fn accepted(&self) -> bool {
        self.inode != 0
    }

    pub fn established(&self) -> bool {
        self.state == TCP_ESTABLISHED
    }
}

/// Asks the kernel, and gives what it tells.
fn ask(flags: u16, states: StateFlags, socket_id: SocketId) -> Vec<End> {
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
    socket.send(&bytes, 0).expect("asked");
    let mut ends = Vec::new();
    loop {
        let mut datagram = Vec::with_capacity(DATAGRAM_BYTES);
        socket.recv(&mut datagram, 0).expect("told");
        let mut rest = &datagram[..];
        while !rest.is_empty() {
            let message = NetlinkMessage::<SockDiagMessage>::deserialize(rest).expect("a message");
            let length = (message.header.length as usize).next_multiple_of(4).min(rest.len());
            rest = &rest[length..];
            match message.payload {
                NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
                    let id = &response.header.socket_id;
                    ends.push(End {
                        state: response.header.state,
                        unacknowledged_bytes: response.header.send_queue,
                        inode: response.header.inode,
                        remote: SocketAddr::new(id.destination_address, id.destination_port),
                    });
                    if flags & NLM_F_DUMP == 0 {
                        return ends;
                    }
                }
                // Not there, or all told.
                _ => return ends,
            }
        }
    }
}

/// Waits until this holds of one end of a connection, or of its absence.
pub fn wait_for(own: SocketAddr, remote: SocketAddr, holds: impl Fn(Option<&End>) -> bool) {
    let id = SocketId {
        source_port: own.port(),
        destination_port: remote.port(),
        source_address: own.ip(),
        destination_address: remote.ip(),
        cookie: ANY_COOKIE,
        ..SocketId::new_v4()
    };
    let begun = Instant::now();
    loop {
        // Where there is no such connection the kernel tells of the listener at its address.
        let found = ask(0, StateFlags::all(), id.clone());
        let end = found.first().filter(|end| end.state != TCP_LISTEN);
        if holds(end) {
            return;
        }
        assert!(begun.elapsed() < LONG, "{end:?}");
    }
}

/// Returns once somebody is connecting to this address and has no answer.
pub fn connecting(to: SocketAddr) {
    let begun = Instant::now();
    let all = SocketId::new_v4();
    while !ask(NLM_F_DUMP, StateFlags::SYN_SENT, all.clone()).iter().any(|end| end.remote == to) {
        assert!(begun.elapsed() < LONG, "nobody connects to {to}");
    }
}
