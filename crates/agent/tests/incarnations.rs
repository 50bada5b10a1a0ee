//! A gatekeeper that restarts while its agent is held up, over a real agent and a scripted gatekeeper: what each
//! process sends counts for that process, also where the agent has not handled the event of the restart.

mod record_harness;

use frostvale_link::VERSION;
use frostvale_link::codec::{FrameReader, append_frame};
use frostvale_link::proto::{FromNode, OutsideAsk, Plan, Seen, ToNode, UseBatch, UseKept, UseLine, Welcome};
use frostvale_record::{Op, Reply};
use frostvale_standin::clock::unix_ms;
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster, own_ip};
use frostvale_standin::rls::{Rls, RlsBehavior};
use record_harness::{MAX_WAIT, RecordHarness, SHOP, wait_for};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// More events than the agent's queue of a link holds.
const FLOOD: u64 = 6000;
/// How long the agent waits for the outside service.
const CALL_MS: u32 = 400;
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// The gatekeeper's end of a link.
struct ScriptedLink {
    stream: UnixStream,
    frames: FrameReader,
}

impl ScriptedLink {
    /// Accepts the agent as the process that started at `started_ms`.
    async fn accept(listener: &UnixListener, started_ms: u64) -> ScriptedLink {
        let (stream, _) = timeout(MAX_WAIT, listener.accept()).await.expect("in time").expect("accepted");
        let mut link = ScriptedLink { stream, frames: FrameReader::default() };
        link.next_frame(MAX_WAIT).await.expect("a frame").hello.expect("a hello");
        let welcome = Welcome {
            version: VERSION,
            name: "n1".into(),
            started_ms,
            gateways: 1,
            plans: vec![Plan { name: "wide".into(), ..Plan::default() }],
            classes: vec!["formula-read".into()],
            ..Welcome::default()
        };
        link.send(&FromNode { welcome: Some(welcome), ..FromNode::default() }).await;
        link
    }

    async fn send(&mut self, frame: &FromNode) {
        let mut bytes = Vec::new();
        append_frame(&mut bytes, frame).expect("short");
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// The next frame; `None` if none comes within `limit`.
    async fn next_frame(&mut self, limit: Duration) -> Option<ToNode> {
        let read = async {
            loop {
                if let Some(frame) = self.frames.next_message::<ToNode>().expect("a frame") {
                    return frame;
                }
                let read = self.stream.read_buf(self.frames.read_buffer()).await;
                assert_ne!(read.expect("read"), 0, "the agent has closed the link");
            }
        };
        timeout(limit, read).await.ok()
    }
}

/// The queue of events is full as a gatekeeper restarts, so the event that says so is dropped. Its usage was
/// recorded as that of the former process, and never acknowledged to it.
#[tokio::test(flavor = "multi_thread")]
async fn use_is_recorded_for_its_process_when_the_event_of_its_restart_is_dropped() {
    let harness = RecordHarness::postgres().await;
    let mut cluster = harness.cluster(1).await;
    cluster.agent.as_mut().expect("an agent").kill().await;
    let socket = cluster.folder.join("scripted.sock");
    let listener = UnixListener::bind(&socket).expect("bound");
    let faults = harness.server.as_ref().expect("a server").faults.clone();
    // A hung database holds the agent up as it handles the first connection.
    faults.hang.store(true, Ordering::SeqCst);
    let (first_start, second_start) = (unix_ms(), unix_ms() + 1);
    let sockets = BTreeMap::from([("n1".to_string(), socket)]);
    let restart = async {
        let mut first = ScriptedLink::accept(&listener, first_start).await;
        let set = |k| Seen { shop: format!("{k:016x}"), first: 0, spread: 1 };
        first.send(&FromNode { seen: (0..FLOOD).map(set).collect(), ..FromNode::default() }).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(first);
        ScriptedLink::accept(&listener, second_start).await
    };
    let (started, mut second) = tokio::join!(cluster.start_agent_with(&sockets), restart);
    started.expect("started");
    faults.hang.store(false, Ordering::SeqCst);
    let line = UseLine { shop: SHOP.into(), passed_milli: 1000, ..UseLine::default() };
    let batch = UseBatch { seq: 1, from_ms: 1, to_ms: 2, lines: vec![line], ..UseBatch::default() };
    let wanted = UseKept { started_ms: second_start, seqs: vec![1] };
    wait_for("the batch is acknowledged to its process", async || {
        second.send(&FromNode { r#use: vec![batch.clone()], ..FromNode::default() }).await;
        let frame = second.next_frame(RESEND_INTERVAL).await?;
        frame.use_kept.contains(&wanted).then_some(())
    })
    .await;
    let backend = harness.open().await;
    let watermark =
        Op::Watermark { instance: "n1".into(), epoch_ms: i64::try_from(second_start).expect("in range") };
    wait_for("the batch is in the record", async || match backend.run(watermark.clone()).await {
        Ok(Reply::Watermark(Some((1, ..)), _)) => Some(()),
        _ => None,
    })
    .await;
    cluster.stop().await;
}

/// A gatekeeper restarts while the agent's call to an outside service for it is out. Each process numbers its
/// calls from 1: the verdict must not reach the new process, where it would decide another request.
#[tokio::test(flavor = "multi_thread")]
async fn verdict_is_not_sent_to_the_process_that_took_the_place_of_the_one_that_asked() {
    let service = Rls::start(own_ip()).await.expect("started");
    service.set_behavior(RlsBehavior::Hang);
    let options = ClusterOptions {
        gatekeepers: 1,
        agent_settings: format!("[outside]\nendpoint = \"http://{}\"\n", service.at),
        ..ClusterOptions::default()
    };
    let mut cluster = LocalCluster::start(options).await.expect("started");
    cluster.agent.as_mut().expect("an agent").kill().await;
    let socket = cluster.folder.join("scripted.sock");
    let listener = UnixListener::bind(&socket).expect("bound");
    let sockets = BTreeMap::from([("n1".to_string(), socket)]);
    let restart = async {
        let mut first = ScriptedLink::accept(&listener, 1).await;
        let ask = OutsideAsk { id: 1, shop: SHOP.into(), within_ms: CALL_MS, ..OutsideAsk::default() };
        first.send(&FromNode { outside: vec![ask], ..FromNode::default() }).await;
        wait_for("the service is asked", async || (service.calls() > 0).then_some(())).await;
        drop(first);
        ScriptedLink::accept(&listener, 2).await
    };
    let (started, mut second) = tokio::join!(cluster.start_agent_with(&sockets), restart);
    started.expect("started");
    let limit = Duration::from_millis(3 * u64::from(CALL_MS));
    let sent = second.next_frame(limit).await.unwrap_or_default();
    assert_eq!(sent.outside, [], "the verdict on a call of the former process");
    // A verdict on a call of its own does arrive.
    let ask = OutsideAsk { id: 7, shop: SHOP.into(), within_ms: CALL_MS, ..OutsideAsk::default() };
    second.send(&FromNode { outside: vec![ask], ..FromNode::default() }).await;
    let answer = second.next_frame(MAX_WAIT).await.expect("a frame");
    assert_eq!(answer.outside.iter().map(|verdict| verdict.id).collect::<Vec<_>>(), [7]);
    cluster.stop().await;
}
