//! Sends the messages of `openraft` over the [`Transport`](crate::Transport).

use crate::member::Shared;
use crate::store::{Member, TypeConfig};
use crate::wire::{self, MessageKind};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

/// Creates the clients through which `openraft` reaches other members.
pub struct NetworkFactory(pub Arc<Shared>);

impl RaftNetworkFactory<TypeConfig> for NetworkFactory {
    type Network = NetworkClient;

    async fn new_client(&mut self, target: u64, node: &Member) -> NetworkClient {
        NetworkClient { shared: self.0.clone(), target, at: node.at.clone() }
    }
}

/// Sends messages to one member.
pub struct NetworkClient {
    shared: Arc<Shared>,
    target: u64,
    at: String,
}

/// The pause before the next message to a member that could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

type RpcError<E> = RPCError<u64, Member, E>;

impl NetworkClient {
    /// Sends a message and decodes the answer. While too few voters answer, a leader's messages fail without
    /// being sent.
    async fn send<Q, A, E>(
        &self,
        kind: MessageKind,
        request: &Q,
        option: &RPCOption,
    ) -> Result<A, RpcError<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        if kind != MessageKind::Vote && !self.shared.may_send_as_leader() {
            let cause = std::io::Error::other("this leader sends nothing: too few voters answer it");
            return Err(RPCError::Unreachable(Unreachable::new(&cause)));
        }
        let body = wire::encode_body(request);
        let answer = self.shared.send_request(&self.at, self.target, kind, body, option.hard_ttl()).await;
        let answer =
            answer.map_err(|e| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(e))))?;
        let answer: Result<A, E> =
            wire::decode_body(&answer.body).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
        if kind != MessageKind::Vote {
            self.shared.record_answer(self.target);
        }
        answer.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

impl RaftNetwork<TypeConfig> for NetworkClient {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RpcError<RaftError<u64>>> {
        self.send(MessageKind::Append, &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RpcError<RaftError<u64, InstallSnapshotError>>> {
        self.send(MessageKind::Snapshot, &rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RpcError<RaftError<u64>>> {
        self.send(MessageKind::Vote, &rpc, &option).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(UNREACHABLE_BACKOFF))
    }
}
