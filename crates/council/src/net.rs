//! Raft's own messages over the transport.

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

/// Makes ways to members.
pub struct NetworkFactory(pub Arc<Shared>);

impl RaftNetworkFactory<TypeConfig> for NetworkFactory {
    type Network = NetworkClient;

    async fn new_client(&mut self, target: u64, node: &Member) -> NetworkClient {
        NetworkClient { shared: self.0.clone(), target, at: node.at.clone() }
    }
}

/// A way to one member.
pub struct NetworkClient {
    shared: Arc<Shared>,
    target: u64,
    at: String,
}

/// After a member could not be reached it is left alone for so long.
const PAUSE: Duration = Duration::from_millis(100);

type Lost<E> = RPCError<u64, Member, E>;

impl NetworkClient {
    async fn send<Q, A, E>(&self, kind: MessageKind, ask: &Q, option: &RPCOption) -> Result<A, Lost<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
    {
        if kind != MessageKind::Vote && !self.shared.may_lead() {
            let silent = std::io::Error::other("it leads, and too few answer: it falls silent");
            return Err(RPCError::Unreachable(Unreachable::new(&silent)));
        }
        let body = wire::body(ask);
        let answer = self.shared.ask(&self.at, self.target, kind, body, option.hard_ttl()).await;
        let answer =
            answer.map_err(|e| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(e))))?;
        let answer: Result<A, E> =
            wire::read(&answer.body).map_err(|e| RPCError::Network(NetworkError::new(&e)))?;
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
    ) -> Result<AppendEntriesResponse<u64>, Lost<RaftError<u64>>> {
        self.send(MessageKind::Append, &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Lost<RaftError<u64, InstallSnapshotError>>> {
        self.send(MessageKind::Snapshot, &rpc, &option).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Lost<RaftError<u64>>> {
        self.send(MessageKind::Vote, &rpc, &option).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(PAUSE))
    }
}
