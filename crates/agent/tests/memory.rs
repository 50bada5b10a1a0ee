//! The agent's memory beside callers that stop half way through their calls.

use frostvale_standin::client::{Shop, rate_limit_call, rls_client};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use std::net::SocketAddr;
use std::time::Duration;
use tonic::Request;

/// Connections, and calls on each, that stop half way. What they send is more than the agent may take.
const CONNECTIONS: usize = 4;
const CALLS_PER_CONNECTION: usize = 250;
/// Bytes of a call that are sent, of those that its header announces.
const SENT_BYTES: usize = 400_000;
const ANNOUNCED_BYTES: u32 = 500_000;
/// What the agent may take: its memory without calls, and its limit for calls that are not complete.
const MEMORY_LIMIT_KB: u64 = 160 * 1024;

/// Opens a connection, begins calls on it and sends a part of each. The calls stay open for `open_for`.
async fn begin_calls(at: SocketAddr, open_for: Duration) {
    let stream = tokio::net::TcpStream::connect(at).await.expect("connected");
    let (client, connection) = h2::client::handshake(stream).await.expect("a connection");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let mut client = client.ready().await.expect("ready");
    let mut calls = Vec::new();
    for _ in 0..CALLS_PER_CONNECTION {
        let request = http::Request::post(format!(
            "http://{at}/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
        ))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .expect("a request");
        let (answer, mut body) = client.send_request(request, false).expect("begun");
        let mut part = vec![0];
        part.extend_from_slice(&ANNOUNCED_BYTES.to_be_bytes());
        part.resize(SENT_BYTES, b'x');
        let _ = body.send_data(part.into(), false);
        calls.push((answer, body));
    }
    tokio::time::sleep(open_for).await;
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim_end_matches("kB").trim().parse().expect("a number")
}

#[tokio::test]
async fn agent_memory_is_bounded_when_many_calls_stop_half_way() {
    let cluster = LocalCluster::start(ClusterOptions::default()).await.expect("a cluster");
    let pid = cluster.agent.as_ref().and_then(|agent| agent.pid()).expect("an agent");
    let open_for = Duration::from_secs(4);
    let floods: Vec<_> = (0..CONNECTIONS).map(|_| tokio::spawn(begin_calls(cluster.rls, open_for))).collect();
    tokio::time::sleep(open_for / 2).await;
    let shop = Shop { id: "00000000b4d65521".into(), plan: cluster.plans[0].clone(), first: 0, spread: 1 };
    let mut client = rls_client(cluster.rls).expect("an address");
    let mut request = Request::new(rate_limit_call(&shop, true, 1));
    request.set_timeout(Duration::from_secs(2));
    client.should_rate_limit(request).await.expect("a call that is complete is answered");
    for flood in floods {
        flood.await.expect("ended");
    }
    let peak_kb = resident_kb(pid);
    assert!(peak_kb < MEMORY_LIMIT_KB, "{peak_kb} KiB");
}
