//! Determines from the kernel when the last bytes arrived on a connection.
//!
//! A process that has no core or is stopped reads its clients' commands late, and so does one whose client
//! table is full, while the clients' deadlines run. The kernel is queried through its sock_diag interface,
//! sock_diag(7). A query costs two system calls, a few microseconds, whatever the number of connections.
//! Without an answer, the time that the process waited for a core is used as the age of the bytes. If several
//! commands are read at once, the kernel has only the time of the last one: the others are older.

use crate::run_queue::RunQueue;
use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, AF_INET6, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponse, SocketId, StateFlags};
use netlink_sys::{Socket, protocols::NETLINK_SOCK_DIAG};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Buffer size for the kernel's answer.
const ANSWER_BYTES: usize = 4096;
/// Matches any socket with the given addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// Upper limit of a reported age: no request waits longer.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The addresses by which the kernel finds a connection.
pub struct ConnectionId {
    family: u8,
    socket_id: SocketId,
}

impl ConnectionId {
    /// The id of a connection; None if it has already ended.
    pub fn of(stream: &TcpStream) -> Option<ConnectionId> {
        let (local, remote) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        let (family, empty) = match local {
            SocketAddr::V4(_) => (AF_INET, SocketId::new_v4()),
            SocketAddr::V6(_) => (AF_INET6, SocketId::new_v6()),
        };
        let socket_id = SocketId {
            source_port: local.port(),
            destination_port: remote.port(),
            source_address: local.ip(),
            destination_address: remote.ip(),
            cookie: ANY_COOKIE,
            ..empty
        };
        Some(ConnectionId { family, socket_id })
    }
}

/// Queries receive times from the kernel. Where that fails for a connection, the time that this process
/// waited for a core is used as the age of what it reads.
pub struct ReceiveTimes {
    socket: Option<Socket>,
    run_queue: Arc<RunQueue>,
}

impl ReceiveTimes {
    /// Opens the netlink socket. If that fails, all ages are taken from `run_queue`.
    pub fn open(run_queue: Arc<RunQueue>) -> ReceiveTimes {
        let socket = open_socket();
        if let Err(error) = &socket {
            tracing::info!("cannot query receive times from the kernel, using run-queue delays: {error}");
        }
        ReceiveTimes { socket: socket.ok(), run_queue }
    }

    /// When the last bytes arrived on this connection.
    pub fn last_received(&self, connection: &ConnectionId) -> Instant {
        let now = Instant::now();
        let age = self.socket.as_ref().and_then(|socket| age_of_last_bytes(socket, connection));
        let age = age.unwrap_or_else(|| self.run_queue.last_delay()).min(MAX_AGE);
        now.checked_sub(age).unwrap_or(now)
    }
}

/// Opens a non-blocking sock_diag socket.
fn open_socket() -> std::io::Result<Socket> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.set_non_blocking(true)?;
    Ok(socket)
}

/// Queries how long ago the last bytes arrived.
fn age_of_last_bytes(socket: &Socket, connection: &ConnectionId) -> Option<Duration> {
    socket.send(&encode_request(connection), 0).ok()?;
    let mut answer = Vec::with_capacity(ANSWER_BYTES);
    socket.recv(&mut answer, 0).ok()?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer).ok()?;
    let NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) = answer.payload else {
        return None;
    };
    is_answer_for(&response, connection).then_some(())?;
    response.nlas.iter().find_map(|attribute| match attribute {
        Nla::TcpInfo(info) => Some(Duration::from_millis(u64::from(info.last_data_recv))),
        _ => None,
    })
}

/// Whether the kernel's answer is about this connection.
fn is_answer_for(response: &InetResponse, connection: &ConnectionId) -> bool {
    let (found, requested) = (&response.header.socket_id, &connection.socket_id);
    found.source_port == requested.source_port && found.destination_port == requested.destination_port
}

/// Encodes the sock_diag request for this connection.
fn encode_request(connection: &ConnectionId) -> Vec<u8> {
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let request = InetRequest {
        family: connection.family,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::INFO,
        states: StateFlags::all(),
        socket_id: connection.socket_id.clone(),
    };
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
