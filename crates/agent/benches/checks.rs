//! Measures checks through the agent against a server that answers OK without a decision (the baseline,
//! printed as "floor"), and the CPU time that a check costs a gatekeeper against that of a RESP2 request. Run
//! `cargo build --release --workspace` first, then `cargo bench -p frostvale-agent`. Only ratios within one
//! run are comparable.

use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_standin::client::{ClientPool, Shop, rate_limit_call, rls_client};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use frostvale_standin::rls::Rls;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// Calls the service from this many concurrent clients. Returns calls per second, and p50 and p99 in µs.
async fn measure(at: SocketAddr, callers: u32) -> (f64, u64, u64) {
    let mut tasks = Vec::new();
    let started = Instant::now();
    for c in 0..callers {
        tasks.push(tokio::spawn(async move {
            let mut client = rls_client(at).expect("valid address");
            let (mut times, mut n) = (Vec::new(), 0u64);
            while started.elapsed() < MEASUREMENT_DURATION {
                n += 1;
                let id = format!("{:016x}", (u64::from(c) * 31 + n) % 2000);
                let shop = Shop { id, plan: "wide".into(), first: 0, spread: 3 };
                let sent = Instant::now();
                let answer =
                    client.should_rate_limit(rate_limit_call(&shop, true, 1)).await.expect("answered");
                assert_eq!(answer.get_ref().overall_code(), Code::Ok);
                times.push(sent.elapsed().as_micros() as u64);
            }
            times
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.expect("task ended"));
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    all.sort_unstable();
    let percentile = |quantile: f64| all[((all.len() - 1) as f64 * quantile) as usize];
    (all.len() as f64 / elapsed_s, percentile(0.5), percentile(0.99))
}

#[tokio::main]
async fn main() {
    if std::env::args().nth(1).as_deref() == Some("floor") {
        let rls = Rls::start(std::net::Ipv4Addr::LOCALHOST.into()).await.expect("started");
        println!("{}", rls.at);
        return std::future::pending().await;
    }
    let mut floor_process =
        tokio::process::Command::new(std::env::current_exe().expect("own executable path"))
            .arg("floor")
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
    let stdout = floor_process.stdout.take().expect("stdout is piped");
    let address = BufReader::new(stdout).lines().next_line().await.expect("read").expect("address line");
    let floor_at: SocketAddr = address.parse().expect("valid address");
    let plans = json!([{"Name": "wide", "UnitsPerS": 1e6, "PeakUnits": 1e6, "ValueFactor": 1.0}]);
    let cluster =
        LocalCluster::start(ClusterOptions { plans: Some(plans), servers: 3, ..ClusterOptions::default() })
            .await
            .expect("started");
    for callers in [1, 64] {
        let (floor, floor_p50, floor_p99) = measure(floor_at, callers).await;
        let before: u64 = cluster.gatekeepers.iter().map(|g| g.process.cpu_ms()).sum();
        let agent_before = cluster.agent.as_ref().map_or(0, |a| a.cpu_ms());
        let (ours, p50, p99) = measure(cluster.rls, callers).await;
        let after: u64 = cluster.gatekeepers.iter().map(|g| g.process.cpu_ms()).sum();
        let agent = cluster.agent.as_ref().map_or(0, |a| a.cpu_ms()) - agent_before;
        let count = ours * MEASUREMENT_DURATION.as_secs_f64();
        println!(
            "{callers} callers: floor {floor:.0} a second, p50 {floor_p50} us, p99 {floor_p99} us; agent {ours:.0}, \
             p50 {p50} us, p99 {p99} us; ratio {:.2}; a check costs the gatekeepers {:.1} us of CPU, the agent {:.1}",
            ours / floor,
            (after - before) as f64 * 1000.0 / count,
            agent as f64 * 1000.0 / count,
        );
    }
    for conns in [1u64, 64] {
        let before: u64 = cluster.gatekeepers.iter().map(|g| g.process.cpu_ms()).sum();
        let started = Instant::now();
        let mut tasks = Vec::new();
        for c in 0..conns {
            let at = cluster.gatekeepers[(c % 3) as usize].resp;
            tasks.push(tokio::spawn(async move {
                let pool = ClientPool::new(at);
                let mut n = 0u64;
                while started.elapsed() < MEASUREMENT_DURATION {
                    n += 1;
                    let id = format!("{:016x}", (c * 31 + n) % 2000);
                    let shop = Shop { id, plan: "wide".into(), first: 0, spread: 3 };
                    pool.send_request(&shop, "formula-read", None, 1, Duration::from_millis(900))
                        .await
                        .expect("answered");
                }
                n
            }));
        }
        let mut count = 0;
        for task in tasks {
            count += task.await.expect("task ended");
        }
        let after: u64 = cluster.gatekeepers.iter().map(|g| g.process.cpu_ms()).sum();
        let cpu_us = (after - before) as f64 * 1000.0 / count as f64;
        println!(
            "{conns} connections by RESP2: {count} requests; one costs the gatekeepers {cpu_us:.1} us of CPU"
        );
    }
}
