//! A minimal agent, which sends and reads single frames.

use frostvale_link::VERSION;
use frostvale_link::codec::{FrameReader, append_frame};
use frostvale_link::proto::{Check, FromNode, Hello, ToNode, Welcome};
use frostvale_standin::local_cluster::LocalCluster;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Limit of every wait; only a failing test reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A minimal agent.
pub struct Agent {
    pub stream: UnixStream,
    pub frames: FrameReader,
}

impl Agent {
    pub async fn connect(cluster: &LocalCluster) -> Agent {
        let stream = UnixStream::connect(&cluster.gatekeepers[0].socket).await.expect("connected");
        Agent { stream, frames: FrameReader::default() }
    }

    /// Connects, sends a hello and returns the agent with the welcome it got.
    pub async fn join(cluster: &LocalCluster) -> (Agent, Welcome) {
        let mut agent = Agent::connect(cluster).await;
        agent.send_hello(VERSION).await;
        let welcome = agent.next_frame().await.expect("a frame").welcome.expect("a welcome");
        (agent, welcome)
    }

    pub async fn send_hello(&mut self, version: u32) {
        let hello =
            Hello { version, peer: "test".into(), outside: false, record: false, zones: true, audit: true };
        self.send(&ToNode { hello: Some(hello), ..ToNode::default() }).await;
    }

    pub async fn send(&mut self, frame: &ToNode) {
        let mut bytes = Vec::new();
        append_frame(&mut bytes, frame).expect("short");
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// Reads the next frame; `None` once the gatekeeper has closed the connection.
    pub async fn next_frame(&mut self) -> Option<FromNode> {
        loop {
            if let Some(frame) = self.frames.next_message::<FromNode>().expect("a frame") {
                return Some(frame);
            }
            let read =
                timeout(TIMEOUT, self.stream.read_buf(self.frames.read_buffer())).await.expect("in time");
            match read {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// Sends a check and waits for its decision.
    pub async fn decide(&mut self, check: Check) -> frostvale_link::proto::Decision {
        let id = check.id;
        self.send(&ToNode { checks: vec![check], ..ToNode::default() }).await;
        loop {
            let frame = self.next_frame().await.expect("a frame");
            if let Some(decision) = frame.decisions.into_iter().find(|d| d.id == id) {
                return decision;
            }
        }
    }
}

pub fn new_check(id: u64, shop: u64) -> Check {
    Check {
        id,
        shop: format!("{shop:016x}"),
        plan: 0,
        class: 0,
        units_milli: 1000,
        first: 0,
        spread: 1,
        within_ms: 1000,
        hold: false,
    }
}
