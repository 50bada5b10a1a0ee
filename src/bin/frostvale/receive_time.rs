//! When the last bytes came on a connection, as the kernel has it.
//!
//! A process that gets no core, or is stopped, reads late what its clients sent, and so does one whose table of clients is
//! full; their time runs meanwhile. The kernel is asked through its sock_diag interface, sock_diag(7). A question costs two
//! system calls, a few microseconds, whatever the number of connections. Where there is no answer, what the process has
//! waited for a core is taken for the age of the bytes. Of several commands that are read at once the kernel knows the last one's time alone: the others are older.

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

/// Room for the kernel's answer.
const ANSWER_BYTES: usize = 4096;
/// Stands for whichever socket has the addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// No request waits for longer.
const AGE_MOST: Duration = Duration::from_secs(60);

/// A connection, as the kernel finds it.
pub struct ConnectionId {
    family: u8,
    socket_id: SocketId,
}

impl ConnectionId {
    /// None where the connection has ended already.
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

/// The way to ask the kernel. Where it can't be asked for a connection, what this process waited for a core stands in for
/// the age of what it reads.
pub struct ReceiveTimes {
    socket: Option<Socket>,
    run_queue: Arc<RunQueue>,
}

impl ReceiveTimes {
    /// Opens the way.
    pub fn open(run_queue: Arc<RunQueue>) -> ReceiveTimes {
        let socket = open_socket();
        if let Err(error) = &socket {
            tracing::info!("the kernel does not tell when bytes came, waits for a core are counted: {error}");
        }
        ReceiveTimes { socket: socket.ok(), run_queue }
    }

    /// When the last bytes came on this connection.
    pub fn last_received(&self, connection: &ConnectionId) -> Instant {
        let now = Instant::now();
        let age = self.socket.as_ref().and_then(|socket| age_of_last_bytes(socket, connection));
        let age = age.unwrap_or_else(|| self.run_queue.last_delay()).min(AGE_MOST);
        now.checked_sub(age).unwrap_or(now)
    }
}

fn open_socket() -> std::io::Result<Socket> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.set_non_blocking(true)?;
    Ok(socket)
}

/// How long ago the last bytes came.
fn age_of_last_bytes(socket: &Socket, connection: &ConnectionId) -> Option<Duration> {
    socket.send(&question(connection), 0).ok()?;
    let mut answer = Vec::with_capacity(ANSWER_BYTES);
    socket.recv(&mut answer, 0).ok()?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer).ok()?;
    let NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) = answer.payload else {
        return None;
    };
    answers(&response, connection).then_some(())?;
    response.nlas.iter().find_map(|attribute| match attribute {
        Nla::TcpInfo(info) => Some(Duration::from_millis(u64::from(info.last_data_recv))),
        _ => None,
    })
}

/// Whether the kernel tells of this connection.
fn answers(response: &InetResponse, connection: &ConnectionId) -> bool {
    let (found, asked) = (&response.header.socket_id, &connection.socket_id);
    found.source_port == asked.source_port && found.destination_port == asked.destination_port
}

fn question(connection: &ConnectionId) -> Vec<u8> {
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
