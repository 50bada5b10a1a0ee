//! Listeners: the rate limit service with gRPC health and reflection, and the control socket.

use crate::call_memory::CallMemory;
use crate::config::{Config, Tls};
use crate::council::{CouncilSeat, CouncilService};
use crate::fleet::Fleet;
use crate::operators::Operators;
use crate::outside::Outside;
use crate::record::RecordKeeper;
use crate::rls::Service;
use frostvale_proto::agent::agent_server::AgentServer;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_server::RateLimitServiceServer;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio_stream::wrappers::UnixListenerStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};
use tower::util::MapRequestLayer;

/// The longest call that is accepted: longer than the allowed number of descriptors and entries can fill.
const MAX_CALL_BYTES: usize = 512 * 1024;
/// Limit of concurrent calls on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1024;
/// Memory for calls on all connections whose messages have arrived in part.
const MAX_INCOMPLETE_CALLS_BYTES: usize = 64 << 20;
/// Time limit of a call, with the arrival of its message.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of HTTP/2 keepalive pings on an idle connection. It is closed if the answer takes as long again.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// How long a stopping agent waits for the calls in flight; calls that take longer are not answered.
const SHUTDOWN_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the agent until `stop` becomes true, then collects the final usage reports of its gatekeepers.
/// `ready` is called once the listeners are open, with the address of the rate limit service, if it is
/// served.
///
/// # Errors
/// One line that names the setting, file or address that cannot be used.
pub async fn run(
    config: Config,
    mut stop: watch::Receiver<bool>,
    ready: impl FnOnce(Option<SocketAddr>),
) -> Result<(), String> {
    let outside = config.outside.as_ref().map(Outside::new).transpose()?;
    let rls = config.rls.clone();
    let listener = match &rls {
        Some(rls) => {
            let at = rls.listen;
            let listener = TcpListener::bind(at).await;
            Some(listener.map_err(|e| format!("rls.listen: cannot listen at {at}: {e}"))?)
        }
        None => None,
    };
    let tls = rls.as_ref().and_then(|rls| rls.tls.as_ref()).map(server_tls).transpose()?;
    let control = config.control.as_ref().map(|c| private_socket(&c.socket)).transpose()?;
    let record = match &config.record {
        Some(record) => Some(RecordKeeper::open(record, &config.name).await?),
        None => None,
    };
    let keeper = record.as_ref().map(|(keeper, _)| keeper.clone());
    crate::clock::set_off(&config.drill);
    let at = listener.as_ref().and_then(|l| l.local_addr().ok());
    let seat = match &config.council {
        Some(council) => {
            let at = at.map_or(String::new(), |at| at.to_string());
            Some(CouncilSeat::start(&config, council, &at, keeper.clone())?)
        }
        None => None,
    };
    if let Some(keeper) = keeper.as_ref().filter(|_| seat.is_some()) {
        keeper.set_council_governed();
    }
    let fleet = Fleet::start(&config, outside.clone(), record, seat.as_ref());
    let service = Service::new(fleet.clone(), rls.clone().unwrap_or_default());
    if let Some(listener) = control {
        let status = Operators {
            name: config.name.clone(),
            fleet: fleet.clone(),
            counts: service.counts(),
            fleet_name: config.council.as_ref().map_or(String::new(), |c| c.fleet.clone()),
            keeper: keeper.clone(),
            outside,
            seat: seat.clone(),
        };
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let served = Server::builder()
                .add_service(AgentServer::new(status))
                .serve_with_incoming_shutdown(UnixListenerStream::new(listener), async move {
                    let _ = stop.wait_for(|stop| *stop).await;
                });
            if let Err(e) = served.await {
                tracing::warn!("cannot serve the control socket: {e}; checks are still answered");
            }
        });
    }
    ready(at);
    // The service stays up at a stop until this agent's duties have been handed to other agents.
    if let Some(seat) = seat.clone() {
        let (handed_over, stopped) = watch::channel(false);
        let mut stop_requested = std::mem::replace(&mut stop, stopped);
        tokio::spawn(async move {
            let _ = stop_requested.wait_for(|stop| *stop).await;
            seat.close().await;
            let _ = handed_over.send(true);
        });
    }
    let served = match (listener, rls) {
        (Some(listener), Some(_)) => {
            let mut stopped = stop.clone();
            let council_service = seat.as_ref().map(|s| CouncilService(s.clone()));
            let served = serve_rls(listener, tls, service, council_service, fleet, stop);
            tokio::pin!(served);
            tokio::select! {
                ended = &mut served => ended,
                // A client that never closes its connection must not keep the agent from ending.
                () = async {
                    let _ = stopped.wait_for(|stop| *stop).await;
                    tokio::time::sleep(SHUTDOWN_CALL_TIMEOUT).await;
                } => Ok(()),
            }
        }
        _ => {
            let _ = stop.wait_for(|stop| *stop).await;
            Ok(())
        }
    };
    // The calls in flight may still charge units, so the final usage reports are collected after them.
    if let Some(keeper) = keeper
        && served.is_ok()
    {
        keeper.stop().await;
    }
    if let Some(seat) = seat {
        seat.council.shutdown().await;
    }
    served
}

/// Serves the rate limit service, gRPC health and reflection, and the council's service, until `stop` becomes
/// true.
async fn serve_rls(
    listener: TcpListener,
    tls: Option<ServerTlsConfig>,
    service: Service,
    council_service: Option<CouncilService>,
    fleet: Arc<Fleet>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), String> {
    let (reporter, health) = tonic_health::server::health_reporter();
    // The service is healthy while a gatekeeper is connected. Otherwise load balancers send their calls
    // elsewhere.
    let mut connected = fleet.watch_connected();
    tokio::spawn(async move {
        loop {
            if *connected.borrow_and_update() > 0 {
                reporter.set_serving::<RateLimitServiceServer<Service>>().await;
            } else {
                reporter.set_not_serving::<RateLimitServiceServer<Service>>().await;
            }
            if connected.changed().await.is_err() {
                return;
            }
        }
    });
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(frostvale_proto::RLS_DESCRIPTORS)
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1()
        .map_err(|e| format!("cannot set up gRPC reflection: {e}"))?;
    let mut server = Server::builder();
    if let Some(tls) = tls {
        server = server.tls_config(tls).map_err(|e| format!("rls.tls: {e}"))?;
    }
    let call_memory = CallMemory::new(MAX_INCOMPLETE_CALLS_BYTES);
    server
        .timeout(CALL_TIMEOUT)
        .layer(MapRequestLayer::new(move |call| call_memory.count(call)))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_service(RateLimitServiceServer::new(service).max_decoding_message_size(MAX_CALL_BYTES))
        .add_service(health)
        .add_service(reflection)
        .add_optional_service(council_service.map(CouncilService::service))
        .serve_with_incoming_shutdown(TcpIncoming::from(listener).with_nodelay(Some(true)), async move {
            let _ = stop.wait_for(|stop| *stop).await;
        })
        .await
        .map_err(|e| format!("cannot serve the rate limit service: {e}"))
}

fn server_tls(tls: &Tls) -> Result<ServerTlsConfig, String> {
    let read = |field: &str, path: &Path| {
        std::fs::read(path).map_err(|e| format!("rls.tls.{field}: cannot read {}: {e}", path.display()))
    };
    let identity = Identity::from_pem(read("cert", &tls.cert)?, read("key", &tls.key)?);
    let ca = Certificate::from_pem(read("client_ca", &tls.client_ca)?);
    Ok(ServerTlsConfig::new().identity(identity).client_ca_root(ca))
}

/// Opens a Unix socket that only its owner may connect to. The socket file of a process that no longer runs
/// is replaced.
fn private_socket(path: &Path) -> Result<UnixListener, String> {
    frostvale_link::socket::listen(path).map_err(|e| format!("control.{e}"))
}

/// Connects to an agent's control socket.
///
/// # Errors
/// If no process listens there.
pub async fn control(
    socket: &Path,
) -> Result<frostvale_proto::agent::agent_client::AgentClient<tonic::transport::Channel>, String> {
    let path = socket.to_path_buf();
    let connect = tower::service_fn(move |_: tonic::transport::Uri| {
        let path = path.clone();
        async move { UnixStream::connect(path).await.map(hyper_util::rt::TokioIo::new) }
    });
    let channel = tonic::transport::Endpoint::from_static("http://agent")
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(5))
        .connect_with_connector(connect)
        .await
        .map_err(|e| {
            format!(
                "no agent answers at {}: {e:?}; is frostagent running, and is this its control.socket?",
                socket.display()
            )
        })?;
    Ok(frostvale_proto::agent::agent_client::AgentClient::new(channel))
}
